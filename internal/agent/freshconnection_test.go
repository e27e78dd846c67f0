package agent

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// More clients connect at once than there are places, and each sends its request some milliseconds later. Each gets its answer: a connection that
// was accepted just now is not ended to make room for the next before its request can have come.
func TestFreshConnectionKeepsItsPlaceUntilItsRequestCanCome(t *testing.T) {
	const clients, sendsAfter = 150, 10 * time.Millisecond
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startOn(t, d, 0, func(c *Config) { c.Operator, c.Sockets = agenttest.Refusing(t), minDescriptors }, Features{}, slog.New(slog.DiscardHandler))
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			c, err := net.Dial("tcp", a.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer besteffort.Close(c)
			besteffort.Ignore(c.SetDeadline(time.Now().Add(patience)))
			time.Sleep(sendsAfter)
			if _, err := io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
				t.Error(err)
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", resp, err)
				return
			}
			besteffort.Close(resp.Body)
		})
	}
	all.Wait()
}
