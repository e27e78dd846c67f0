package connlimit

import (
	"runtime"
	"time"

	"appleledge/internal/besteffort"
)

const (
	// roomPoll is the time between two searches for a connection to close, while there is none: one that is being read now may rest soon.
	roomPoll = 10 * time.Millisecond

	// maxBodyPause is the longest pause between two parts of a body in which its connection is not closed to make room.
	maxBodyPause = 200 * time.Millisecond

	// A body that has come for maxBodyTime, and still comes, loses its connection where for maxFullTime no other could be closed.
	maxBodyTime = 500 * time.Millisecond
	maxFullTime = 2 * maxBodyPause

	// maxLooks is the number of sockets that one search looks at. More than a few have unread bytes only after a standstill, and for a moment.
	maxLooks = 16
)

// makeRoom waits until there is room for one more connection, and ends the one that is least useful, as long as there is none.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.limit && !l.isClosed {
		c := l.reapCandidate()
		l.noteSearch(c)
		if c == nil {
			l.awaitRoom(roomPoll)
			continue
		}
		if remaining := max(l.MinAge-time.Since(c.useSince), c.answerTransit()); remaining > 0 && !c.awaitsClose() {
			l.awaitRoom(remaining)
			continue
		}
		l.reap(c)
	}
}

// noteSearch notes whether a search for room has found a connection that is not in the midst of a body that comes. The lock is held.
func (l *Listener) noteSearch(found *conn) {
	now := time.Now()
	hadRoom := now.Sub(l.searchedAt) >= maxFullTime // nobody has looked for room meanwhile
	l.searchedAt = now
	switch {
	case found != nil && (found.use != readingBody || found.awaitsClose() || found.silence(now) >= maxBodyPause):
		l.fullSince = time.Time{}
	case l.fullSince.IsZero(), hadRoom:
		l.fullSince = now
	}
}

// isFullForLong reports whether no other connection could be closed for a while than those in the midst of a body that comes. The lock is held.
func (l *Listener) isFullForLong(now time.Time) bool {
	return !l.fullSince.IsZero() && now.Sub(l.fullSince) >= maxFullTime
}

// reap ends a connection, or closes one that is ended: its place is free then, at the latest when its handler has answered. The lock is held,
// and released meanwhile.
func (l *Listener) reap(c *conn) {
	switch {
	case c.awaitsClose():
		l.mu.Unlock()
		besteffort.Ignore(c.closeNow())
		runtime.Gosched() // the descriptor is free only when its reader has run
		l.mu.Lock()
	case c.mayRefuse():
		c.endByRefusal(c.roomReason())
		l.mu.Unlock()
		c.finishRefusal()
		l.mu.Lock()
	default:
		c.endReading(c.roomReason())
	}
}

// awaitRoom waits for some time, or until a connection may have become one that can be closed. The lock is held.
func (l *Listener) awaitRoom(atMost time.Duration) {
	again := time.AfterFunc(atMost, func() {
		l.mu.Lock() // held until Wait waits: a wake-up before that would be missed
		defer l.mu.Unlock()
		l.roomFreed.Broadcast()
	})
	defer again.Stop()
	l.roomFreed.Wait()
}

// reapCandidate returns the connection to close first. It is nil if none was found that has no request: in use, on its way through net/http,
// or unread in its socket. The lock is held, and released while it looks at a socket.
func (l *Listener) reapCandidate() *conn {
	for c := range l.conns {
		c.isPassedOver = false
	}
	for range maxLooks {
		c := l.leastUseful()
		if c == nil || c.awaitsClose() {
			return c
		}
		l.mu.Unlock()
		hasUnread := c.hasUnread()
		l.mu.Lock()
		if !hasUnread && c.mayBeReaped() {
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
		silent := c.silence(now)
		if rank := l.reapRank(c, silent); least == nil || rank < lowest || rank == lowest && silent > longest {
			least, lowest, longest = c, rank, silent
		}
	}
	return least
}

// mayBeReaped reports whether a connection may be closed to make room, if nothing lies unread in its socket. One from which bytes were
// read may be only while the rest of them is waited for: else a request may be on its way to its handler. The lock is held.
func (c *conn) mayBeReaped() bool {
	if c.awaitsClose() {
		return !c.isRefusing
	}
	now := time.Now()
	if c.use == readingBody && c.silence(now) < maxBodyPause && (now.Sub(c.useSince) < maxBodyTime || !c.listener.isFullForLong(now)) {
		return false
	}
	return !c.isEnded && !c.isReading && c.use != inUse && (c.isAwaitingRequest || !c.hasRead)
}

// awaitsClose reports whether only its close is left: it has ended, or this side of it has, behind an answer. The lock is held.
func (c *conn) awaitsClose() bool {
	return c.isClosing || c.hasEndedSending
}

// silence returns for how long the connection has been in its use, and nothing has come. The lock is held.
func (c *conn) silence(now time.Time) time.Duration {
	return min(now.Sub(c.useSince), now.Sub(c.lastReadAt))
}

// mayEndReading reports whether the handler of a request waits for the rest of it. The lock is held.
func (c *conn) mayEndReading() bool {
	return (c.use == readingRequest || c.use == readingBody) && c.isAwaitingRequest && !c.isEnded
}

// reapRank orders connections by how readily they are closed to make room; the lowest go first.
func (l *Listener) reapRank(c *conn, silent time.Duration) int {
	switch {
	case c.awaitsClose():
		return -1
	case c.use == readingBody && silent >= maxBodyPause:
		return 0
	case c.use == readingBody: // its body comes, but for long
		return 4
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
