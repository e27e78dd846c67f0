package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
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
			if c.endWait(n) {
				c.pace(context.Background())
			}
			return n, c.readError(err)
		}
		time.Sleep(transientPause)
	}
}

// endWait notes that no Read waits any more: it has read so many bytes. It reports whether the connection has to be paced.
func (c *conn) endWait(count int) (mustPace bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasFoundNothing = false
	if count <= 1 || c.use == readingBody || c.use == inUse {
		return false
	}
	return c.noteStep()
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
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isReading = false
	switch {
	case err != nil:
		c.isSocketEmpty = c.isSocketEmpty || errors.Is(err, syscall.EAGAIN)
		c.hasPeerEnded = c.hasPeerEnded || !errors.Is(err, syscall.EAGAIN) && !isTransient(err)
		return 0, err
	case n == 0 && len(p) > 0:
		c.hasPeerEnded = true
		return 0, io.EOF
	}
	c.noteRead(n, len(p))
	return c.filter(p[:n], len(p))
}

// filter returns how much of what was read, where size bytes were asked for, is handed over. The lock is held.
func (c *conn) filter(p []byte, size int) (admitted int, err error) {
	f, ok := c.Conn.(ReadFilter)
	if !ok {
		return len(p), nil
	}
	if admitted, c.filterError = f.FilterRead(p, c.sentAfter); admitted > 0 || c.filterError == nil {
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
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.hasPeerEnded = c.hasPeerEnded || err != nil && !c.hasTimedOut && !c.isEnded
	if c.isEnded {
		return 0, io.EOF
	}
	if c.filterError != nil {
		return 0, c.filterError
	}
	c.noteRead(n, len(p))
	if n == 0 {
		return 0, err
	}
	admitted, filterError := c.filter(p[:n], len(p))
	return admitted, errors.Join(filterError, err)
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
