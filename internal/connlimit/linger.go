package connlimit

import (
	"time"

	"appleledge/internal/besteffort"
)

// A lingering close goes on reading for so long, and so much, until the client has closed too.
const (
	lingerTimeout  = 250 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Close closes the connection and frees its place. Where the client may still send, a plain close would reset the connection, and the client
// would lose an answer that it has not read yet. So the own side ends first, and what comes is dropped for a while (lingering close).
func (c *conn) Close() error {
	c.listener.mu.Lock()
	wasClosing := c.isClosing
	lingers := !c.hasPeerEnded && (c.hasAnswered || c.listener.isDraining)
	c.end(c.closeReason())
	c.listener.mu.Unlock()
	if wasClosing {
		return nil
	}
	if !lingers || c.CloseWrite() != nil {
		return c.closeNow()
	}
	go c.linger()
	return nil
}

// linger drops what comes until the client has closed, for a while, and closes. It runs in a goroutine of its own, which ends with it.
func (c *conn) linger() {
	timeout := time.AfterFunc(lingerTimeout, func() { besteffort.Ignore(c.closeNow()) })
	defer timeout.Stop()
	defer func() { besteffort.Ignore(c.closeNow()) }()
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	buf := make([]byte, 1<<10)
	for remaining := maxLingerBytes; remaining > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		remaining -= n
	}
}

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
