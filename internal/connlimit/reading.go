package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"appleledge/internal/sockstate"
)

const (
	// firstBytesTimeout is how long the rest of a request's first bytes may take where they come just before the idle limit, or the end
	// of a new connection's header timeout.
	firstBytesTimeout = time.Second

	// abortedBefore is the end of the Unix times, in seconds, by which net/http and handlers end a read at once. Any later deadline is a
	// limit on the wait for the client.
	abortedBefore = 2

	// A system call that fails for want of memory is made again after transientPause, up to transientTries times.
	transientPause = time.Millisecond
	transientTries = 200
)

// ReadFilter is a connection below the Listener's that decides what of the bytes that were read is handed over. The Listener's connections
// read the descriptor themselves, so that a read and the decision to close exclude each other.
type ReadFilter interface {
	// FilterRead is called with bytes that were read, and returns how many of them are handed over. After an error nothing more is: the
	// next Read that waits for a request, or for the rest of one, returns it. It must not keep p. The bytes came between sentAfter and now.
	FilterRead(p []byte, sentAfter time.Time) (admitted int, err error)
}

// Read hands over what has come, until the connection is ended. From then on nothing is read any more: the client learns by a reset that
// its request was not. A deadline ends the wait for the client, never the reading of what lies in the socket: a process that did not run
// for a while finds both there.
func (c *conn) Read(p []byte) (int, error) {
	if c.socket == nil {
		return c.readWithoutSocket(p)
	}
	for tries := 0; ; tries++ {
		n, err := c.awaitBytes(p)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readAtDeadline(p)
		}
		if !isTransient(err) || tries == transientTries {
			c.endWait(n)
			return n, c.readError(err)
		}
		time.Sleep(transientPause)
	}
}

// endWait notes that no Read waits any more: it has read so many bytes. Where the connection never waits, it is paced while a head comes, and
// yields while a body does.
func (c *conn) endWait(count int) {
	c.listener.mu.Lock()
	c.hasFoundNothing = false
	isAtFullSpeed := count > 1 && c.noteStep()
	isBody := c.use == readingBody || c.use == inUse
	c.listener.mu.Unlock()
	switch {
	case isAtFullSpeed && isBody:
		runtime.Gosched()
	case isAtFullSpeed:
		c.pace(context.Background())
	}
}

// awaitBytes waits until something has come, or the deadline, and takes it.
func (c *conn) awaitBytes(p []byte) (n int, err error) {
	isDrained := false
	waitErr := c.socket.Read(func(fd uintptr) bool {
		if n, err = c.take(int(fd), p); !errors.Is(err, syscall.EAGAIN) {
			return true
		}
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		// net/http reads one byte behind a request that it has whole; any longer read waits for a request, or the rest of one.
		c.isAwaitingRequest = len(p) > 1
		c.hasFoundNothing = c.isAwaitingRequest
		c.noteAwaited(time.Now())
		isDrained = c.endIfDraining()
		return isDrained
	})
	if isDrained {
		c.finishRefusal()
		return 0, io.EOF
	}
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// readAtDeadline takes what lies in the socket when a deadline has passed. A connection that waits for a request, or for the rest of its
// head, is ended by a refusal; of the rest of a body its handler answers that it has not come.
func (c *conn) readAtDeadline(p []byte) (n int, err error) {
	isAborted, mustRefuse := false, false
	controlErr := c.socket.Control(func(fd uintptr) {
		if isAborted = c.hasAbortedRead(); isAborted {
			return
		}
		if n, err = c.take(int(fd), p); !errors.Is(err, syscall.EAGAIN) {
			return
		}
		err = os.ErrDeadlineExceeded
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.hasTimedOut = true
		if mustRefuse = c.use == idle && !c.isEnded; mustRefuse {
			c.endByRefusal(c.reasonOfServer())
		}
	})
	if isAborted {
		return 0, os.ErrDeadlineExceeded
	}
	if mustRefuse {
		c.finishRefusal()
	}
	return n, errors.Join(err, controlErr)
}

// hasAbortedRead reports whether the read deadline is there to end a read.
func (c *conn) hasAbortedRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.isReadAborted
}

// take reads the descriptor without waiting, unless the connection is ended, and notes what has come. While it reads, nobody ends the
// connection. The lock is not held, as the system call may take long.
func (c *conn) take(fd int, p []byte) (n int, err error) {
	c.listener.mu.Lock()
	c.isAwaitingRequest = false
	switch {
	case c.isEnded:
		c.listener.mu.Unlock()
		return 0, io.EOF
	case c.filterError != nil:
		defer c.listener.mu.Unlock()
		return 0, c.filtered(len(p))
	}
	c.isReading = true
	c.listener.mu.Unlock()
	for {
		if n, err = syscall.Read(fd, p); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	sentAfter, err := c.noteResult(n, len(p), err)
	if err != nil {
		return 0, err
	}
	return c.filter(p[:n], len(p), sentAfter)
}

// noteResult notes what a read of the descriptor has brought, where size bytes were asked for. It returns when the socket was last empty before,
// or why nothing was read; then the connection may be ended again.
func (c *conn) noteResult(n, size int, err error) (sentAfter time.Time, _ error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case err != nil:
		c.isReading = false
		c.isSocketEmpty = c.isSocketEmpty || errors.Is(err, syscall.EAGAIN)
		c.hasPeerEnded = c.hasPeerEnded || !errors.Is(err, syscall.EAGAIN) && !isTransient(err)
		return time.Time{}, err
	case n == 0 && size > 0:
		c.isReading, c.hasPeerEnded = false, true
		return time.Time{}, io.EOF
	}
	c.noteRead(n, size)
	return c.sentAfter, nil
}

// filter returns how much of what was read, where size bytes were asked for, is handed over. The lock is not held while the filter looks at it:
// a client decides how much work that is.
func (c *conn) filter(p []byte, size int, sentAfter time.Time) (admitted int, err error) {
	admitted = len(p)
	if f, ok := c.Conn.(ReadFilter); ok {
		admitted, err = f.FilterRead(p, sentAfter)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isReading, c.filterError = false, err
	if admitted > 0 || err == nil {
		return admitted, nil
	}
	return 0, c.filtered(size)
}

// filtered is what a Read of so many bytes ends with where nothing may be handed over any more. The byte behind a request that net/http
// has whole never comes: it could complete a head of which the filter has held a line back. The lock is held.
func (c *conn) filtered(size int) error {
	if size > 1 {
		return c.filterError
	}
	c.startPeerWatch()
	return syscall.EAGAIN
}

// noteRead notes that n bytes were read where size were asked for. The lock is held.
func (c *conn) noteRead(n, size int) {
	if n == 0 {
		return
	}
	c.lastReadAt = time.Now()
	c.noteAwaitedEnd(c.lastReadAt)
	if c.isSocketEmpty {
		c.sentAfter = c.lastReadAt
	}
	c.isSocketEmpty = n < size
	if c.hasFoundNothing {
		c.hasFoundNothing, c.awaitedUntil = false, c.lastReadAt
	}
	if c.use == idle && !c.hasNewBytes {
		c.extendDeadline(firstBytesTimeout)
	}
	c.hasRead, c.hasNewBytes, c.hasTimedOut = true, true, false
	if c.use == idle {
		return
	}
	c.hasNextBegun = c.hasNextBegun || size == 1
	c.startPeerWatch()
}

// readWithoutSocket reads a connection that has no descriptor. What crosses the end is dropped.
func (c *conn) readWithoutSocket(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	sentAfter, ended := c.noteReadWithoutSocket(n, len(p), err)
	switch {
	case ended != nil:
		return 0, ended
	case n == 0:
		return 0, err
	}
	admitted, filterError := c.filter(p[:n], len(p), sentAfter)
	return admitted, errors.Join(filterError, err)
}

// noteReadWithoutSocket notes what a read has brought. It returns when the connection was last empty before, or why nothing is handed over any more.
func (c *conn) noteReadWithoutSocket(n, size int, err error) (sentAfter time.Time, ended error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.hasPeerEnded = c.hasPeerEnded || err != nil && !c.hasTimedOut && !c.isEnded
	if c.isEnded {
		return time.Time{}, io.EOF
	}
	if c.filterError != nil {
		return time.Time{}, c.filterError
	}
	c.noteRead(n, size)
	return c.sentAfter, nil
}

// SetReadDeadline limits how long a Read waits for the client. A time of 1970 ends a Read at once.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline, c.isReadAborted = t, !t.IsZero() && t.Unix() < abortedBefore
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// extendDeadline moves the read deadline, if there is one, so that at least so much is left. The lock is held.
func (c *conn) extendDeadline(atLeast time.Duration) {
	if later := time.Now().Add(atLeast); !c.readDeadline.IsZero() && !c.isReadAborted && c.readDeadline.Before(later) && c.Conn.SetReadDeadline(later) == nil {
		c.readDeadline = later
	}
}

// isResting reports whether no request has begun on the connection, as far as it was read. The lock is held.
func (c *conn) isResting() bool { return c.use == idle && !c.hasNewBytes }

// hasUnread reports whether bytes lie in the socket that nobody has read, or may lie there, as the system can't tell. The lock is held, so
// that nobody reads them meanwhile.
func (c *conn) hasUnread() bool {
	state := c.socketState()
	return state == sockstate.Readable || state == sockstate.Unknown && c.socket != nil
}

// isTransient reports whether a system call failed for want of memory, and may succeed when it is made again.
func isTransient(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// readError gives an error the form in which net/http expects it from a connection. It answers an error of the filter by 400.
func (c *conn) readError(err error) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return err
	case c.filterError != nil && errors.Is(err, c.filterError):
		return c.filterError
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = os.ErrDeadlineExceeded
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}
