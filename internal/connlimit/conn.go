package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
)

// connUse is what a connection does.
type connUse int

const (
	idle           connUse = iota // no request has begun
	readingRequest                // one has begun, but is not known to be valid
	inUse                         // a valid one is open: never closed to make room
)

// conn is one connection. The listener's lock guards its fields but for lastReadAt.
type conn struct {
	net.Conn
	listener *Listener

	use           connUse
	useSince      time.Time
	hasServed     bool               // it has brought a valid request
	hasAnswered   bool               // an answer was written, or a part of it
	isAnswered    bool               // the present or last request has its answer, or a part of it
	hasNewBytes   bool               // bytes were read since its last request was over
	hasPeerEnded  bool               // the client has ended its side
	isEnded       bool               // no bytes are handed over any more: no request begins on it
	isClosing     bool               // implies isEnded
	isWatched     bool               // a goroutine runs watchPeer
	isAborted     bool               // the handler has given its request up
	hasTimedOut   bool               // the last read ended by its deadline
	isCloseNoted  bool               // its close is counted
	requestID     string             // of its present request, where the handler has stated it
	cancelRequest context.CancelFunc // ends what is done for the client; nil before ConnContext

	lastReadAt atomic.Int64 // Unix nanoseconds, where there is a FirstRequestTimeout
	closeNow   func() error // closes the descriptor and frees the place, once
}

// Read hands over what comes until the connection is ended. Bytes that cross the end are dropped: handed over, a request could be served
// whose answer can't be written any more. Its client sends it once more.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.FirstRequestTimeout > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.hasPeerEnded = c.hasPeerEnded || err != nil && !c.hasTimedOut && !c.isEnded
	if c.isEnded {
		return 0, io.EOF
	}
	c.hasNewBytes = c.hasNewBytes || n > 0
	// net/http reads one byte behind a request at most, and does not see the end of the connection behind that byte.
	if n > 0 && c.use != idle && c.cancelRequest != nil && !c.isWatched {
		c.isWatched = true
		go c.watchPeer()
	}
	return n, err
}

// Write notes that there is an answer, which a close must not take back.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	c.hasAnswered, c.isAnswered = true, true
	c.listener.mu.Unlock()
	return c.Conn.Write(p)
}

// setUse moves the connection to another use. While the listener drains, one that becomes idle is closed.
func (c *conn) setUse(use connUse) {
	c.listener.mu.Lock()
	c.use, c.useSince = use, time.Now()
	c.hasServed = c.hasServed || use == inUse
	mustClose := use == idle && c.listener.isDraining
	if use == idle {
		c.hasNewBytes = false
	}
	c.isEnded = c.isEnded || mustClose
	if use == readingRequest {
		c.isAnswered, c.requestID = false, ""
	}
	if use != inUse {
		c.listener.roomFreed.Signal()
	}
	c.listener.mu.Unlock()
	if mustClose {
		besteffort.Close(c)
	}
}

// release closes the descriptor at once and frees the place.
func (c *conn) release() error {
	c.listener.mu.Lock()
	c.noteClose(c.closeReason())
	c.listener.mu.Unlock()
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.cancelRequest != nil {
		c.cancelRequest()
	}
	delete(c.listener.conns, c)
	c.listener.roomFreed.Signal()
	return err
}
