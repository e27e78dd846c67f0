package hotrestart

import (
	"errors"
	"net"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// GatedListener is a TCP listener that accepts only while it is open. While it is not, connections wait in the socket's queue, where
// another process that has the same socket may accept them.
type GatedListener struct {
	*net.TCPListener

	mu       sync.Mutex
	changed  *sync.Cond // of isOpen or isClosed
	isOpen   bool
	isClosed bool
}

// NewGatedListener returns a listener that is not open yet. It owns l.
func NewGatedListener(l *net.TCPListener) *GatedListener {
	g := &GatedListener{TCPListener: l}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// expiredDeadline makes a pending call of accept return at once.
var expiredDeadline = time.Unix(1, 0)

// SetOpen opens the listener, or shuts it. A call of Accept that waits while it is shut may still return a connection that arrives in
// that very moment.
func (g *GatedListener) SetOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == g.isOpen || g.isClosed {
		return
	}
	g.isOpen = open
	deadline := expiredDeadline
	if open {
		deadline = time.Time{}
	}
	besteffort.Ignore(g.SetDeadline(deadline)) // fails of a closed listener alone, whose Accept fails as well
	g.changed.Broadcast()
}

// Accept waits until the listener is open and a connection arrives. The error is that of a closed listener.
func (g *GatedListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for !g.isOpen && !g.isClosed {
			g.changed.Wait()
		}
		g.mu.Unlock()
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		g.mu.Lock()
		isShut := !g.isOpen && !g.isClosed
		g.mu.Unlock()
		if isShut {
			continue
		}
		if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() { // it was shut and is open again
			continue
		}
		return nil, err
	}
}

// Close closes the listener in this process; the socket lives on where another one has it.
func (g *GatedListener) Close() error {
	g.mu.Lock()
	g.isClosed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.TCPListener.Close()
}
