package httpfront

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/intake"
	"appleledge/internal/testbed"
	"appleledge/logic"
)

// When too much is open, what comes is refused at once: past the limit on descriptors nothing would be answered at
// all.
func TestTooMuchOpen(t *testing.T) {
	s := New(Options{Rules: intake.Rules{Classes: []logic.Class{{Name: "form-check", Deadline: 2 * time.Second}}},
		Clock: engine.NewClock(), Most: 2, MostHeld: 1})
	s.held.Store(1)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/form-check", nil)
	r.Header.Set("X-Request-ID", "1")
	r.Header.Set("X-Timeout", "100m")
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
	if s.held.Load() != 1 {
		t.Errorf("%d are held", s.held.Load())
	}
}

// Room is made by those without a request: one that is being served stays, and so does the number of places.
func TestWhoMakesRoom(t *testing.T) {
	table := newClientConns(testbed.Listen(t), 3)
	accept := func() *clientConn {
		t.Helper()
		far, err := net.Dial("tcp", table.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close() })
		c, err := table.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*clientConn)
	}
	busy, kept, silent := accept(), accept(), accept()
	busy.now(inUse)
	kept.now(inUse)
	connState(kept, http.StateIdle)
	reader := accept()
	connState(reader, http.StateActive)
	for i, want := range []*clientConn{silent, kept, reader} {
		if _, open := table.open[want]; i > 0 && !open {
			t.Errorf("connection %d was closed too early", i)
		}
		if i > 0 {
			accept().now(inUse)
		}
		if _, open := table.open[want]; open {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if _, open := table.open[busy]; !open || len(table.open) != 3 {
		t.Errorf("busy open: %v, %d in all", open, len(table.open))
	}
	// With all in use the next one waits, until one is free or the listener closes.
	done := make(chan error)
	go func() { _, err := table.Accept(); done <- err }()
	table.Close()
	if err := <-done; err == nil {
		t.Error("accepted beyond the limit")
	}
}
