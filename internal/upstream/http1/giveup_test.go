package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
)

// A backend has stopped, and the last part of a request lies in the agent's own kernel, as the backend's has no room for it (or as its
// machine is cut off). The agent gives the attempt up. What had not gone out by then must not go out later: the backend would find the
// request complete when it goes on, perhaps when the pod has forgotten it.
func TestWhatIsGivenUpGoesOutNoMore(t *testing.T) {
	limits := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			besteffort.Ignore(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096))
		})
	}}
	l, err := limits.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	goesOn := make(chan struct{})
	var complete atomic.Bool
	wait := agenttest.ServeConns(t, l, func(c net.Conn) {
		<-goesOn
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		complete.Store(err == nil)
	})
	f := newFixture(t, l.Addr().String(), 8)
	f.Pool.Backend("b").RecordRejectedExpectation()
	a := f.attempt(300 * time.Millisecond)
	a.Call.Payload.(*Request).Body = bytes.Repeat([]byte("x"), 60<<10)
	out := f.RoundTrip(t.Context(), a)
	close(goesOn)
	wait()
	if out.Result != balancer.TimedOut || complete.Load() {
		t.Errorf("result %v; the backend found it complete: %v", out.Result, complete.Load())
	}
}
