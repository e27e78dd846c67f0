package places

import (
	"net"
	"net/http"
	"testing"

	"appleledge/internal/testbed"
)

// Room is made by those without a request: one that is being served stays, and so does the number of places.
func TestWhoMakesRoom(t *testing.T) {
	table := New(testbed.Listen(t), 3, 0)
	accept := func() *conn {
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
		return c.(*conn)
	}
	busy, kept, silent := accept(), accept(), accept()
	busy.now(inUse)
	kept.now(inUse)
	ConnState(kept, http.StateIdle)
	reader := accept()
	ConnState(reader, http.StateActive)
	for i, want := range []*conn{silent, kept, reader} {
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
