package connpool

import (
	"time"

	"appleledge/internal/sockstate"
)

// sweepBatchSize is how many connections Sweep checks while it holds the lock: each check is a system call.
const sweepBatchSize = 32

// Sweep closes idle connections that can't be reused. It visits those that are idle when it begins, and holds the lock for
// sweepBatchSize of them at a time.
func (p *Pool) Sweep() {
	var from time.Time
	for range 1 + p.limit()/sweepBatchSize {
		if from = p.sweepBatch(from); from.IsZero() {
			return
		}
	}
}

// sweepBatch checks connections that are idle since a time or later, the earliest first, and returns the time from which to
// go on; zero when all were checked.
func (p *Pool) sweepBatch(from time.Time) (next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.idleRing.next
	for c != &p.idleRing && c.idleSince.Before(from) {
		c = c.next
	}
	for left := sweepBatchSize; c != &p.idleRing; left-- {
		if left == 0 {
			return c.idleSince
		}
		following := c.next
		if time.Since(c.idleSince) >= p.maxIdleTime || !c.isIdleAndOpen() {
			p.closeIdle(c)
		}
		c = following
	}
	return time.Time{}
}

// isIdleAndOpen reports whether a connection is open and has no unread bytes. A connection that the backend has closed shows
// here, before a request is sent on it.
func (c *Conn) isIdleAndOpen() bool { return sockstate.Peek(c.Conn) == sockstate.Idle }
