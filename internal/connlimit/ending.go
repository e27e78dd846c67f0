package connlimit

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"appleledge/internal/besteffort"
)

const (
	// refusal answers a request that comes when its connection has been ended: nobody has read it, so that trying again is harmless. A
	// client that rests reads in it that the connection ends.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	// timeoutAnswer is in its place where the time for a request's head is over (RFC 9110, section 15.5.9).
	timeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	// The refusal is written again after refusalPause, up to refusalTries times, where the system has no room or memory for it.
	refusalPause = time.Millisecond
	refusalTries = 100

	// answerTransitTime is how long an answer may be on its way to its client. A refusal behind it could be taken for a second answer to
	// the same request, and a close could take it back.
	answerTransitTime = 250 * time.Millisecond
)

// expiredDeadline ends a Read that waits.
var expiredDeadline = time.Unix(1, 0)

// end decides that the connection is closed: nothing is read from now on. The lock is held.
func (c *conn) end(reason CloseReason) {
	c.setCloseReason(reason)
	c.isEnded, c.isClosing = true, true
}

// setCloseReason notes why the connection is closed, unless that is known. The lock is held.
func (c *conn) setCloseReason(reason CloseReason) {
	if !c.hasCloseReason {
		c.hasCloseReason, c.closeReason = true, reason
	}
}

// mayRefuse reports whether the connection can be ended by a refusal: net/http has no whole request of it and writes nothing to it, and the
// client has read the answer before. The lock is held.
func (c *conn) mayRefuse() bool {
	if c.isEnded || c.isReading || c.use == inUse || c.answerTransit() > 0 {
		return false
	}
	return !c.hasRead || c.use == idle && c.isAwaitingRequest
}

// answerTransit returns how long the last answer may still be on its way; 0 where it has arrived, or there is none. The lock is held.
func (c *conn) answerTransit() time.Duration {
	if !c.hasAnswered || c.use != idle {
		return 0
	}
	return max(0, answerTransitTime-time.Since(c.useSince))
}

// endByRefusal decides that the connection is ended by a refusal, which finishRefusal has to write then. The lock is held.
func (c *conn) endByRefusal(reason CloseReason) {
	c.end(reason)
	c.isRefusing = true
	c.listener.refusals.Add(1)
}

// endsByRefusal reports whether endByRefusal was called.
func (c *conn) endsByRefusal() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.isRefusing || c.isRefused
}

// finishRefusal carries out what endByRefusal has decided: it writes the refusal and ends this side, and the client has lingerTimeout to
// close the other. A request that crosses the end has its answer, however long the process is held up in between. The lock is not held, as
// system calls may take long.
func (c *conn) finishRefusal() {
	err := c.writeRefusal([]byte(c.lastAnswer()))
	besteffort.Ignore(c.CloseWrite())
	besteffort.Ignore(c.Conn.SetReadDeadline(expiredDeadline)) // net/http stops waiting for a request
	c.listener.mu.Lock()
	c.isRefusing, c.isRefused = false, err == nil
	c.listener.roomFreed.Signal()
	c.listener.mu.Unlock()
	c.listener.refusals.Done()
	go c.awaitPeerClose()
}

// writeRefusal writes the refusal. It has no deadline: one that passes while the process is held up would keep the refusal from being written.
func (c *conn) writeRefusal(text []byte) error {
	if c.socket == nil {
		_, err := c.Conn.Write(text)
		return err
	}
	for tries := 0; ; tries++ {
		var n int
		var err error
		if closed := c.socket.Control(func(fd uintptr) { n, err = syscall.Write(int(fd), text) }); closed != nil {
			return closed
		}
		if err == nil {
			text = text[n:]
		}
		if len(text) == 0 {
			return nil
		}
		if err != nil && !isTransient(err) && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) || tries == refusalTries {
			return fmt.Errorf("writing the refusal: %w", errors.Join(err, io.ErrShortWrite))
		}
		time.Sleep(refusalPause)
	}
}

// lastAnswer returns what ends the connection. Its reason is known.
func (c *conn) lastAnswer() string {
	if c.closeReason == CloseSilent || c.closeReason == CloseUnfinished {
		return timeoutAnswer
	}
	return refusal
}

// endReading ends the reading of a request whose handler waits for the rest of it, and answers that it has not come. The lock is held.
func (c *conn) endReading(reason CloseReason) {
	c.isEnded = true
	c.setCloseReason(reason)
	besteffort.Ignore(c.Conn.SetReadDeadline(expiredDeadline))
}

// closeIfResting ends a connection on which no request has begun, and in whose socket none lies. Where its last answer may still be on its
// way, it does so later.
func (c *conn) closeIfResting() {
	if c.hasUnread() {
		return // its reader is about to take it
	}
	c.listener.mu.Lock()
	mustRefuse := c.endIfDraining()
	c.listener.mu.Unlock()
	if mustRefuse {
		c.finishRefusal()
	}
}

// endIfDraining decides that a connection is ended if the listener drains and no request has begun on the connection. It reports whether
// finishRefusal has to be called. The lock is held.
func (c *conn) endIfDraining() bool {
	if !c.listener.isDraining || !c.isResting() || c.isEnded {
		return false
	}
	if transit := c.answerTransit(); transit > 0 {
		time.AfterFunc(transit, c.closeIfResting)
		return false
	}
	if !c.mayRefuse() {
		return false
	}
	c.endByRefusal(CloseDrain)
	return true
}
