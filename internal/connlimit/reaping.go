package connlimit

import (
	"runtime"
	"time"

	"appleledge/internal/besteffort"
)

const (
	// roomPoll is the time between two searches for a connection to close, while there is none: one that is being read now may rest soon.
	roomPoll = 10 * time.Millisecond

	// maxLooks is the number of sockets that one search looks at. More than a few have unread bytes only after a standstill, and for a moment.
	maxLooks = 16
)

// makeRoom waits until there is room for one more connection, and closes the one that is least useful, as long as there is none.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.limit && !l.isClosed {
		c := l.reapCandidate()
		if c == nil {
			l.awaitRoom()
			continue
		}
		if remaining := l.MinAge - time.Since(c.useSince); remaining > 0 {
			l.mu.Unlock()
			time.Sleep(remaining)
			l.mu.Lock()
			continue
		}
		c.end(c.roomReason()) // under the lock of the look at its socket: what comes from now on is never read
		l.mu.Unlock()
		besteffort.Ignore(c.closeNow())
		runtime.Gosched() // the descriptor is free only when its reader has run
		l.mu.Lock()
	}
}

// awaitRoom waits until a connection may have become one that can be closed. The lock is held.
func (l *Listener) awaitRoom() {
	again := time.AfterFunc(roomPoll, l.roomFreed.Broadcast)
	defer again.Stop()
	l.roomFreed.Wait()
}

// reapCandidate returns the connection to close first. It is nil if none was found that has no request: in use, on its way through net/http,
// or unread in its socket. The lock is held.
func (l *Listener) reapCandidate() *conn {
	for c := range l.conns {
		c.isPassedOver = false
	}
	for range maxLooks {
		c := l.leastUseful()
		if c == nil || c.isClosing || !c.hasUnread() {
			return c
		}
		c.isPassedOver = true
	}
	return nil
}

// leastUseful returns the connection that ranks lowest, and among equal ones the one that has been silent for longest. It is nil if none
// may be closed. The lock is held.
func (l *Listener) leastUseful() (least *conn) {
	now := time.Now()
	var lowest int
	var longest time.Duration
	for c := range l.conns {
		if c.isPassedOver || !c.mayBeReaped() {
			continue
		}
		silent := min(now.Sub(c.useSince), now.Sub(c.lastReadAt))
		if rank := l.reapRank(c, silent); least == nil || rank < lowest || rank == lowest && silent > longest {
			least, lowest, longest = c, rank, silent
		}
	}
	return least
}

// mayBeReaped reports whether a connection may be closed to make room, if nothing lies unread in its socket. One from which bytes were
// read may be only while net/http waits for the rest of them: else a request may be on its way to its handler. The lock is held.
func (c *conn) mayBeReaped() bool {
	return c.isClosing || c.use != inUse && (c.isAwaitingRequest || !c.hasRead || c.use == readingRequest && c.isAnswered)
}

// reapRank orders connections by how readily they are closed to make room; the lowest go first.
func (l *Listener) reapRank(c *conn, silent time.Duration) int {
	switch {
	case c.isClosing:
		return -1
	case c.use == idle && c.hasServed && c.hasNewBytes: // its next request is on its way
		return 3
	case c.use == idle && c.hasServed:
		return 1
	case l.FirstRequestTimeout > 0 && silent > l.FirstRequestTimeout, l.FirstRequestTimeout == 0 && c.use == idle:
		return 0
	case c.use == idle:
		return 2
	}
	return 3
}
