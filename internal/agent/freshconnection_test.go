package agent

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// More clients connect at once than there are places, and each sends its request some milliseconds later. Each that has sent it in time gets its
// answer: a connection that was accepted just now is not ended to make room for the next before its request can have come. Clients that a busy
// machine has held up prove nothing; others connect in their place.
func TestFreshConnectionKeepsItsPlaceUntilItsRequestCanCome(t *testing.T) {
	const clients = 150
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startOn(t, d, 0, func(c *Config) { c.Operator, c.Sockets = agenttest.Refusing(t), minDescriptors }, Features{}, slog.New(slog.DiscardHandler))
	var inTime atomic.Int32
	agenttest.Eventually(t, "as many clients as connect at once have sent their requests in time", func() bool {
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				if sendsInTime(t, a.addr) {
					inTime.Add(1)
				}
			})
		}
		all.Wait()
		return t.Failed() || inTime.Load() >= clients
	})
}

// sendsInTime connects and sends a request some milliseconds later. It reports whether the request has come while its connection was too young to be
// ended for room, and fails the test if it has and is not served.
func sendsInTime(t *testing.T, address string) bool {
	const sendsAfter = 10 * time.Millisecond
	connects := time.Now() // before the agent accepts
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return false
	}
	defer besteffort.Close(c)
	besteffort.Ignore(c.SetDeadline(time.Now().Add(patience)))
	time.Sleep(sendsAfter)
	_, err = io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	sentAfter := time.Since(connects)
	if sentAfter >= minClientAge {
		return false
	}
	if err != nil {
		t.Error(err)
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("sent %v after it began to connect: %v, %v", sentAfter, resp, err)
		return false
	}
	besteffort.Close(resp.Body)
	return true
}
