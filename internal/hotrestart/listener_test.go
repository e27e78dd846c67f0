package hotrestart

import (
	"net"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// A listener is shut while a call of Accept waits. That call may take the connection that arrives in that very moment; all others are
// left for the process that has the same socket, until the listener is open again.
func TestShutListenerLeavesConnectionsToOtherProcess(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	shared, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(shared)
	other, err := net.FileListener(shared)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(other)
	g := NewGatedListener(l.(*net.TCPListener))
	accept := func(l net.Listener) chan error {
		accepted := make(chan error, 1)
		go func() {
			c, err := l.Accept()
			if err == nil {
				err = c.Close()
			}
			accepted <- err
		}()
		return accepted
	}
	dial := func() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(c) })
	}
	comes := func(from <-chan error) {
		t.Helper()
		select {
		case err := <-from:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(agenttest.Patience):
			t.Fatal("nobody takes the connection")
		}
	}
	g.SetOpen(true)
	here := accept(g)
	g.SetOpen(false)
	dial()
	there := accept(other)
	select {
	case err := <-here: // in the very moment
		if err != nil {
			t.Fatal(err)
		}
		here = accept(g)
	case err := <-there:
		if err != nil {
			t.Fatal(err)
		}
		there = accept(other)
	case <-time.After(agenttest.Patience):
		t.Fatal("nobody takes the connection")
	}
	for range 20 {
		dial()
		comes(there)
		there = accept(other)
	}
	select {
	case err := <-here:
		t.Fatalf("accepted by a listener that is shut, %v", err)
	default:
	}
	besteffort.Close(other)
	besteffort.Ignore(<-there)
	g.SetOpen(true)
	dial()
	comes(here)
	here = accept(g)
	besteffort.Close(g)
	if err := <-here; err == nil {
		t.Error("accepted by a listener that is closed")
	}
}
