package connlimit

import (
	"net"
	"net/http"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// testListener is a listener whose connections a test opens.
type testListener struct {
	t *testing.T
	*Listener
}

func listen(t *testing.T, limit int, o Options) testListener {
	return testListener{t, New(agenttest.Listen(t), limit, o)}
}

// accept opens a connection and accepts it.
func (l testListener) accept() (*conn, net.Conn) {
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

func (l testListener) has(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isOpen := l.conns[c]
	return isOpen
}

// A full listener gets more connections. Idle ones are closed for them, then one that reads a request; one in use stays, and with all in
// use the next one waits.
func TestIdleConnectionsAreReapedFirst(t *testing.T) {
	table := listen(t, 3, Options{})
	accept := func() *conn { c, _ := table.accept(); return c }
	busy, kept, silent := accept(), accept(), accept()
	busy.setUse(inUse)
	kept.setUse(inUse)
	ConnState(kept, http.StateIdle)
	reader := accept()
	ConnState(reader, http.StateActive)
	for i, want := range []*conn{silent, kept, reader} {
		if _, open := table.conns[want]; i > 0 && !open {
			t.Errorf("connection %d was closed too early", i)
		}
		if i > 0 {
			accept().setUse(inUse)
		}
		if _, open := table.conns[want]; open {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if _, open := table.conns[busy]; !open || len(table.conns) != 3 {
		t.Errorf("busy open: %v, %d in all", open, len(table.conns))
	}
	// With all in use the next one waits, until one is free or the listener closes.
	done := make(chan error)
	go func() { _, err := table.Accept(); done <- err }()
	besteffort.Close(table)
	if err := <-done; err == nil {
		t.Error("accepted beyond the limit")
	}
}

// A slow client sends its request byte by byte, and another one has stalled. The stalled one is closed first, ahead of those between
// requests and of one that has only just connected; the slow one stays.
func TestSlowClientIsNotReapedWhileItSends(t *testing.T) {
	const patience = 50 * time.Millisecond
	table := listen(t, 4, Options{FirstRequestTimeout: patience})
	slow, far := table.accept()
	ConnState(slow, http.StateActive)
	stalled, _ := table.accept()
	ConnState(stalled, http.StateActive)
	kept, _ := table.accept()
	kept.setUse(inUse)
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
		c.setUse(inUse)
		if table.has(want) {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if !table.has(slow) || !table.has(fresh) {
		t.Errorf("slow open: %v, fresh open: %v", table.has(slow), table.has(fresh))
	}
}
