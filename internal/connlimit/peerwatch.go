package connlimit

import (
	"net"
	"time"

	"appleledge/internal/sockstate"
)

const (
	// peerCheckInterval is the time between two checks whether a client has left that has sent something behind its request.
	peerCheckInterval = 25 * time.Millisecond

	// slowPeerCheckInterval is that time where nothing of the request is forwarded: hundreds may wait so.
	slowPeerCheckInterval = 200 * time.Millisecond
)

// startPeerWatch starts watchPeer for an open request behind which something was read: net/http reads one byte there at most, and does not
// see the end of the connection behind that byte. The lock is held.
func (c *conn) startPeerWatch() {
	if c.cancelRequest != nil && !c.isWatched {
		c.isWatched = true
		go c.watchPeer()
	}
}

// watchPeer checks whether the client has left, while its request is open, and cancels the request then. It runs in a goroutine of its own,
// which ends within slowPeerCheckInterval of the request.
func (c *conn) watchPeer() {
	for {
		time.Sleep(c.peerCheckPause())
		isGone := !c.isReadWaiting() && c.isPeerGone()
		c.listener.mu.Lock()
		isOver := c.use == idle || c.isClosing || isGone
		c.isWatched = !isOver
		c.listener.mu.Unlock()
		if isGone {
			c.cancelRequest()
		}
		if isOver {
			return
		}
	}
}

// peerCheckPause returns the time until the next check.
func (c *conn) peerCheckPause() time.Duration {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.use == inUse {
		return peerCheckInterval
	}
	return slowPeerCheckInterval
}

// isReadWaiting reports whether a Read waits in the empty socket for the rest of a request: it sees the end of the connection itself.
func (c *conn) isReadWaiting() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.hasFoundNothing
}

// isPeerGone reports whether the client has ended its side.
func (c *conn) isPeerGone() bool {
	return sockstate.HasPeerClosed(c.unwrapped())
}

// unwrapped returns the connection that has the descriptor.
func (c *conn) unwrapped() net.Conn {
	if f, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return f.NetConn()
	}
	return c.Conn
}
