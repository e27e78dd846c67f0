package connlimit

import (
	"net"
	"net/http"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// listener is one of so many places whose connections a test opens.
type listener struct {
	t *testing.T
	*Listener
}

func listen(t *testing.T, most int, o Options) listener {
	return listener{t, New(agenttest.Listen(t), most, o)}
}

// accept opens a connection and takes it.
func (l listener) accept() (*conn, net.Conn) {
	l.t.Helper()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { besteffort.Close(far) })
	c, err := l.Accept()
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { besteffort.Close(c) })
	return c.(*conn), far
}

func (l listener) has(c *conn) bool {
	_, open := l.open[c]
	return open
}

// Room is made by those without a request: one that is being served stays, and so does the number of places.
func TestWhoMakesRoom(t *testing.T) {
	table := listen(t, 3, Options{})
	accept := func() *conn { c, _ := table.accept(); return c }
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
	besteffort.Close(table)
	if err := <-done; err == nil {
		t.Error("accepted beyond the limit")
	}
}

// A client that takes its time stays as long as something comes of it; one that has begun and says nothing more goes, ahead of
// those between requests, and ahead of one that has only just connected.
func TestASlowClientStays(t *testing.T) {
	const patience = 50 * time.Millisecond
	table := listen(t, 4, Options{FirstRequestTimeout: patience})
	slow, far := table.accept()
	ConnState(slow, http.StateActive)
	stalled, _ := table.accept()
	ConnState(stalled, http.StateActive)
	kept, _ := table.accept()
	kept.now(inUse)
	ConnState(kept, http.StateIdle)
	for range 4 {
		time.Sleep(patience / 2)
		if _, err := far.Write([]byte("G")); err != nil {
			t.Fatal(err)
		}
		if _, err := slow.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	fresh, _ := table.accept()
	for i, want := range []*conn{stalled, kept} {
		if !table.has(want) {
			t.Errorf("connection %d was closed too early", i)
		}
		c, _ := table.accept()
		c.now(inUse)
		if table.has(want) {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if !table.has(slow) || !table.has(fresh) {
		t.Errorf("slow open: %v, fresh open: %v", table.has(slow), table.has(fresh))
	}
}
