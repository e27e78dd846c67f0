package connlimit

import (
	"runtime"
	"time"

	"appleledge/internal/besteffort"
)

// makeRoom waits until there is room for one more connection, and closes the one that is least useful, as long as there is none.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.limit && !l.isClosed {
		c := l.reapCandidate()
		if c == nil {
			l.roomFreed.Wait()
			continue
		}
		if remaining := l.MinAge - time.Since(c.useSince); remaining > 0 {
			l.mu.Unlock()
			time.Sleep(remaining)
			l.mu.Lock()
			continue
		}
		c.end(c.roomReason()) // under the lock: a request that it brings from now on does not begin
		l.mu.Unlock()
		besteffort.Ignore(c.closeNow())
		runtime.Gosched() // the descriptor is free only when its reader has run
		l.mu.Lock()
	}
}

// reapCandidate returns the connection to close first: by its rank, and among equal ones the one that has been silent for longest. It is nil
// if all are in use.
func (l *Listener) reapCandidate() (least *conn) {
	now := time.Now()
	var lowest int
	var longest time.Duration
	for c := range l.conns {
		if c.use == inUse && !c.isClosing {
			continue
		}
		silent := now.Sub(c.useSince)
		if l.FirstRequestTimeout > 0 {
			silent = min(silent, now.Sub(c.lastReadAt))
		}
		if rank := l.reapRank(c, silent); least == nil || rank < lowest || rank == lowest && silent > longest {
			least, lowest, longest = c, rank, silent
		}
	}
	return least
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
