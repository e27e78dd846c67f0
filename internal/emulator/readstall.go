package emulator

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/sockstate"
)

// readGate says whether a server reads what comes on its connections. While it is shut all of that stays in the kernel, as it does for a
// stopped process. It is safe for concurrent use.
type readGate struct {
	mu       sync.RWMutex  // held for reading while something is read: nothing is once set has shut the gate
	reopened chan struct{} // closed when the gate opens; nil: it is open
	openedAt time.Time     // the last time
}

// set shuts or opens the gate.
func (g *readGate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !shut && g.reopened != nil:
		g.openedAt = time.Now()
		close(g.reopened)
		g.reopened = nil
	}
}

// wait returns a channel that is closed when the gate opens; nil if it is open.
func (g *readGate) wait() <-chan struct{} {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.reopened
}

// lastOpened returns when the gate opened last; zero if it was never shut.
func (g *readGate) lastOpened() time.Time {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.openedAt
}

// stallingConn is a connection of a server that may stop reading. While the gate is shut Read returns no bytes, no end of the connection and no
// deadline that has passed. Close ends it, and so does a deadline that is set in the past: so net/http ends a Read that an answer
// would wait for.
type stallingConn struct {
	*stampedConn
	gate    *readGate
	arrived func(at time.Time) // is called when the first bytes of a request come while the gate is shut
	closed  chan struct{}      // closed with the connection

	mu        sync.Mutex
	aborted   chan struct{} // closed by a read deadline in the past, replaced by a later one
	inRequest bool          // from when a request's head has been read until it is answered
	isHeld    bool          // a request, or what has come of it, waits or has waited for the gate and isn't taken yet
	arrivedAt time.Time     // when the first bytes of the held request came
	heldUntil time.Time     // when the gate last opened for this connection
}

func newStallingConn(c net.Conn, gate *readGate, arrived func(at time.Time)) (*stallingConn, error) {
	stamped, err := newStampedConn(c)
	if err != nil {
		return nil, err
	}
	return &stallingConn{stampedConn: stamped, gate: gate, arrived: arrived, closed: make(chan struct{}), aborted: make(chan struct{})}, nil
}

// Read reads once something has come and the gate is open. As for all connections, it is not called by two goroutines at a time.
func (c *stallingConn) Read(p []byte) (int, error) {
	for {
		n, waiting, err := c.readThroughGate(p)
		reopened := c.gate.wait()
		switch {
		case waiting != nil:
			if waiting.n > 0 {
				c.markHeld(cmp.Or(waiting.at, time.Now()))
			}
		case reopened == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		}
		if err := c.awaitGate(reopened, c.abortSignal()); err != nil {
			return 0, err
		}
	}
}

// readThroughGate waits until something has come and reads it. If the gate is shut by then it reads nothing and returns what waits: its
// first byte, or none for the end of the connection.
func (c *stallingConn) readThroughGate(p []byte) (n int, waiting *received, err error) {
	var got received
	var first [1]byte
	isShut := false
	err = c.raw.Read(func(fd uintptr) (done bool) {
		c.gate.mu.RLock()
		defer c.gate.mu.RUnlock()
		if isShut = c.gate.reopened != nil; isShut {
			got = c.receive(fd, first[:], unix.MSG_PEEK)
		} else {
			got = c.receive(fd, p, 0)
		}
		return !errors.Is(got.err, unix.EAGAIN)
	})
	if err == nil && isShut {
		return 0, &got, nil
	}
	n, err = c.result(got, err, p)
	return n, nil, err
}

// awaitGate waits until the gate, which was shut, opens; reopened is nil if it has opened since. An error says that the connection was
// closed before, or the wait aborted.
func (c *stallingConn) awaitGate(reopened, aborted <-chan struct{}) error {
	if reopened != nil {
		select {
		case <-reopened:
		case <-c.closed:
			return net.ErrClosed
		case <-aborted:
			return os.ErrDeadlineExceeded
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldUntil = c.gate.lastOpened()
	return nil
}

// markHeld notes that bytes wait for the gate that came at that time.
func (c *stallingConn) markHeld(at time.Time) {
	c.mu.Lock()
	isFirst := !c.isHeld && !c.inRequest
	c.isHeld = true
	if isFirst {
		c.arrivedAt = at
	}
	c.mu.Unlock()
	if isFirst {
		c.arrived(at)
	}
}

// beginRequest is called when a request's head has been read, and returns when it came.
func (c *stallingConn) beginRequest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	if c.isHeld {
		return c.arrivedAt
	}
	return c.lastReceipt()
}

// endRequest is called when a request has been answered.
func (c *stallingConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.isHeld = false, false
}

// pass waits until the gate opens, if it is shut, with a request of which all that was read waits too. It reports false if the connection
// was closed before.
func (c *stallingConn) pass() bool {
	reopened := c.gate.wait()
	if reopened == nil {
		return true
	}
	c.mu.Lock()
	c.isHeld = true
	c.mu.Unlock()
	return c.awaitGate(reopened, nil) == nil
}

// takeRequest is called when a request has been read whole. It returns when it counts as received: when the kernel had its last byte, or
// when the gate opened for it, if that was later. wasHeld says that it has waited for the gate.
func (c *stallingConn) takeRequest() (at time.Time, wasHeld bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasHeld, c.isHeld = c.isHeld, false
	if at = c.lastReceipt(); at.Before(c.heldUntil) {
		at = c.heldUntil
	}
	return at, wasHeld
}

// lastReceipt returns when the kernel received what was read last; the present if that is not known.
func (c *stallingConn) lastReceipt() time.Time {
	if at, known := c.receivedAt(); known {
		return at
	}
	return time.Now()
}

// isUnread reports whether a request that came while the gate was shut isn't taken yet.
func (c *stallingConn) isUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isHeld
}

// hasPeerClosed reports whether the peer has closed the connection, or ended its sending.
func (c *stallingConn) hasPeerClosed() bool { return sockstate.HasPeerClosed(c.Conn) }

// SetReadDeadline sets the time at which Read gives up. One in the past ends a Read that waits for the gate.
func (c *stallingConn) SetReadDeadline(t time.Time) error {
	err := c.stampedConn.SetReadDeadline(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	isAborted := isClosed(c.aborted)
	switch isPast := !t.IsZero() && !t.After(time.Now()); {
	case isPast && !isAborted:
		close(c.aborted)
	case !isPast && isAborted:
		c.aborted = make(chan struct{})
	}
	return err
}

// SetDeadline sets the deadlines of Read and Write.
func (c *stallingConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// abortSignal returns the channel that is closed by a read deadline in the past.
func (c *stallingConn) abortSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// Close closes the connection, and then ends what waits for the gate: nothing is answered any more when that learns of it.
func (c *stallingConn) Close() error {
	err := c.stampedConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isClosed(c.closed) {
		close(c.closed)
	}
	return err
}

// isClosed reports whether a channel that nothing is sent on is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
