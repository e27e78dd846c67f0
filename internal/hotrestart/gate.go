package hotrestart

import (
	"net"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Listener is a listener whose connections wait in its queue while it is shut, where another process that shares the socket may
// take them.
type GatedListener struct {
	*net.TCPListener

	mu     sync.Mutex
	moved  *sync.Cond
	open   bool
	closed bool
}

// NewGatedListener returns a listener that is shut.
func NewGatedListener(l *net.TCPListener) *GatedListener {
	g := &GatedListener{TCPListener: l}
	g.moved = sync.NewCond(&g.mu)
	return g
}

// past ends a call to accept that waits.
var past = time.Unix(1, 0)

// SetOpen opens or shuts it.
func (g *GatedListener) SetOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == g.open || g.closed {
		return
	}
	g.open = open
	until := past
	if open {
		until = time.Time{}
	}
	besteffort.Ignore(g.SetDeadline(until)) // fails of a closed listener alone, whose Accept fails as well
	g.moved.Broadcast()
}

// Accept waits until the gate is open and a connection comes.
func (g *GatedListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for !g.open && !g.closed {
			g.moved.Wait()
		}
		g.mu.Unlock()
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		g.mu.Lock()
		shut := !g.open && !g.closed
		g.mu.Unlock()
		if shut {
			continue
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() { // it was shut and is open again
			continue
		}
		return nil, err
	}
}

// Close closes it in this process; the socket lives on where another one holds it.
func (g *GatedListener) Close() error {
	g.mu.Lock()
	g.closed = true
	g.moved.Broadcast()
	g.mu.Unlock()
	return g.TCPListener.Close()
}
