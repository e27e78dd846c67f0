package connlimit

import (
	"time"

	"appleledge/internal/besteffort"
)

// A lingering close waits for so long until the client has closed too, and drops so much of an answered request's body.
const (
	lingerTimeout  = answerTransitTime
	maxLingerBytes = 256 << 10

	// lingerPoll is the time between two looks whether the client has closed.
	lingerPoll = 5 * time.Millisecond
)

// Close closes the connection and frees its place. A plain close over bytes that were not read would reset the connection, and the client
// would lose an answer that is still on its way. So where one may be, the own side ends first (lingering close). Meanwhile nothing is
// read but the rest of the request that was answered: what comes behind it is another request, whose client learns by the reset at the
// end that nobody has read it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	wasClosing := c.isClosing
	lingers, dropsBody := c.mayHoldAnswer(), !c.isRequestWhole
	c.end(c.reasonOfServer())
	c.listener.mu.Unlock()
	if wasClosing {
		return nil
	}
	if !lingers || c.CloseWrite() != nil {
		return c.closeNow()
	}
	if dropsBody {
		go c.dropBody()
	} else {
		go c.awaitPeerClose()
	}
	return nil
}

// mayHoldAnswer reports whether an answer may still be on its way to a client that is there. The lock is held.
func (c *conn) mayHoldAnswer() bool {
	if c.hasPeerEnded || !c.hasAnswered {
		return false
	}
	return c.use != idle && c.isAnswered || c.use == idle && c.answerTransit() > 0
}

// dropBody drops what comes until the client has closed, for a while, and closes. It runs in a goroutine of its own, which ends with it.
func (c *conn) dropBody() {
	timeout := time.AfterFunc(lingerTimeout, func() { besteffort.Ignore(c.closeNow()) })
	defer timeout.Stop()
	defer func() { besteffort.Ignore(c.closeNow()) }()
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	buf := make([]byte, 4<<10)
	for remaining := maxLingerBytes; remaining > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		remaining -= n
	}
}

// awaitPeerClose waits until the client has closed, for a while, and closes. It reads nothing, and sets no deadline: a Read that a deadline
// in the past is to end may not have seen that yet. It runs in a goroutine of its own, which ends with it.
func (c *conn) awaitPeerClose() {
	defer func() { besteffort.Ignore(c.closeNow()) }()
	if c.socket == nil {
		return
	}
	for until := time.Now().Add(lingerTimeout); time.Now().Before(until) && !c.isPeerGone(); {
		time.Sleep(lingerPoll)
	}
}

// CloseWrite lets net/http end an answer so that a client which still sends can read it. net/http waits for half a second then, and closes:
// meanwhile the connection can be closed to make room.
func (c *conn) CloseWrite() error {
	c.listener.mu.Lock()
	c.hasEndedSending = true
	c.listener.roomFreed.Signal()
	c.listener.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
