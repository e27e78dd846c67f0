package connlimit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// connUse is what a connection does.
type connUse int

const (
	idle           connUse = iota // no request has begun
	readingRequest                // one has begun, but is not known to be valid
	readingBody                   // a valid one has begun: closed to make room where its client sends nothing, or for long
	inUse                         // a valid one is open: never closed to make room
)

// conn is one connection. The listener's lock guards its fields.
type conn struct {
	net.Conn
	listener *Listener
	socket   syscall.RawConn // of the descriptor; nil where there is none

	use               connUse
	useSince          time.Time
	hasServed         bool // it has brought a valid request
	hasAnswered       bool // an answer was written, or a part of it
	isAnswered        bool // the present or last request has its answer, or a part of it
	hasWriteFailed    bool // a part of an answer could not be written
	isRequestWhole    bool // the present or last request was read to its end
	hasRead           bool // something was read
	hasNewBytes       bool // bytes were read since its last request was over
	hasNextBegun      bool // a byte behind the present request was read
	isAwaitingRequest bool // net/http waits for a request, or the rest of one
	hasFoundNothing   bool // a Read for a request, or for the rest of one, has found its socket empty, and waits
	hasPeerEnded      bool // the client has ended its side
	isEnded           bool // nothing is read any more: no request begins on it
	isClosing         bool // implies isEnded
	hasEndedSending   bool // this side has ended, behind an answer
	isReading         bool // a Read takes what lies in the socket
	isRefusing        bool // implies isClosing: its refusal is being written
	isRefused         bool // its refusal was written: what comes from the client has its answer
	isWatched         bool // a goroutine runs watchPeer
	isAborted         bool // the handler has given its request up
	hasTimedOut       bool // the last read ended by its deadline
	isPassedOver      bool // in the present search for room: something lies unread in its socket
	hasCloseReason    bool // closeReason is known
	closeReason       CloseReason
	filterError       error              // nothing that was read is handed over any more; nil: it is
	requestID         string             // of its present request, where the handler has stated it
	cancelRequest     context.CancelFunc // ends what is done for the client; nil before ConnContext

	readDeadline  time.Time // zero: none
	isReadAborted bool      // the deadline is there to end a read, not to limit it
	lastReadAt    time.Time
	isSocketEmpty bool         // the last read has found nothing, or less than it had room for
	sentAfter     time.Time    // when the socket was last empty before the bytes of the last read came
	awaitedUntil  time.Time    // when a Read for a request, or for the rest of one, got bytes for which it had waited
	unawaited     int          // requests and reads that came without a wait, see pacing.go
	awaitsSince   time.Time    // when the wait for the client has begun; zero: there is none
	isPaced       bool         // a step of it was paced
	closeNow      func() error // closes the descriptor and frees the place, once
}

// interimAnswer begins what net/http writes to a client that waits before it sends its body. It is no answer.
const interimAnswer = "HTTP/1.1 100 "

// Write writes an answer, and notes how far it got. It writes again what the system had no memory for.
func (c *conn) Write(p []byte) (written int, err error) {
	if c.endsByRefusal() { // net/http answers that what it reads has ended
		return 0, net.ErrClosed
	}
	written, err = c.writeAll(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if written > 0 && !bytes.HasPrefix(p, []byte(interimAnswer)) {
		c.hasAnswered, c.isAnswered = true, true
	}
	if err != nil {
		c.hasWriteFailed = true
		c.hasPeerEnded = c.hasPeerEnded || !c.isClosing && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))
	}
	return written, err
}

// writeAll writes all of p, again where the system had no memory for it.
func (c *conn) writeAll(p []byte) (written int, err error) {
	for tries := 0; ; tries++ {
		var n int
		n, err = c.Conn.Write(p[written:])
		written += n
		if !isTransient(err) || tries == transientTries {
			return written, err
		}
		time.Sleep(transientPause)
	}
}

// setUse moves the connection to another use.
func (c *conn) setUse(use connUse) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.use, c.useSince = use, time.Now()
	c.hasServed = c.hasServed || use == inUse
	switch use {
	case idle:
		c.hasNewBytes, c.hasNextBegun = c.hasNextBegun, false
	case readingRequest:
		c.isAnswered, c.isRequestWhole, c.hasNextBegun, c.requestID = false, false, false, ""
	}
	if use != inUse {
		c.listener.roomFreed.Signal()
	}
}

// release closes the descriptor at once and frees the place.
func (c *conn) release() error {
	record := c.recordClose()
	err := c.Conn.Close()
	c.logClose(record)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.noteClose(record)
	if c.cancelRequest != nil {
		c.cancelRequest()
	}
	delete(c.listener.conns, c)
	c.listener.roomFreed.Signal()
	return err
}

// descriptorOf returns the way to a connection's descriptor; nil where it has none.
func descriptorOf(c net.Conn) syscall.RawConn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
