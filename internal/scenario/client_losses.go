package scenario

import (
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"appleledge/internal/sockstate"
)

// closeCrossingTime is how long after a request's last byte its connection may end without an answer because the agent closed it in the
// moment in which the request came. An agent that has read a request owes it an answer.
const closeCrossingTime = 50 * time.Millisecond

// clientConn is a client's connection to an agent. It records whether the agent had ended it when a request was written.
type clientConn struct {
	net.Conn

	mu            sync.Mutex
	closedAtWrite bool
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	closed := sockstate.HasPeerClosed(c.Conn)
	c.mu.Lock()
	c.closedAtWrite = closed
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// wasClosedAtWrite reports whether the agent had ended the connection when something was last written to it.
func (c *clientConn) wasClosedAtWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAtWrite
}

// lossWatch follows one attempt of a client over its connections: http.Transport sends a request again by itself when a kept
// connection breaks. It is safe for concurrent use.
type lossWatch struct {
	mu        sync.Mutex
	conn      *clientConn
	writtenAt time.Time     // of the request's last byte to conn; zero: it was not written
	longest   time.Duration // from a last byte to the end of its connection, which brought no answer
}

// trace returns the hooks by which http.Transport tells what it does.
func (w *lossWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { w.connEnded() }, // the connection before, if there was one, has broken
		GotConn: func(info httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conn, _ = info.Conn.(*clientConn)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if info.Err == nil {
				w.writtenAt = time.Now()
			}
		},
	}
}

// connEnded notes that the present connection has ended without a complete answer.
func (w *lossWatch) connEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writtenAt.IsZero() && w.conn != nil && !w.conn.wasClosedAtWrite() {
		w.longest = max(w.longest, time.Since(w.writtenAt))
	}
	w.conn, w.writtenAt = nil, time.Time{}
}

// unansweredFor returns the longest time between the last byte of the request and the end of its connection without an answer, where the
// two did not cross; 0: there is none.
func (w *lossWatch) unansweredFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest <= closeCrossingTime {
		return 0
	}
	return w.longest
}
