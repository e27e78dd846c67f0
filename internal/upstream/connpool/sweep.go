package connpool

import (
	"time"

	"appleledge/internal/sockstate"
)

// sweepBatchSize is how many connections Sweep picks at a time.
const sweepBatchSize = 32

// idleConn is a connection that was idle since a time.
type idleConn struct {
	*Conn
	since time.Time
}

// Sweep closes idle connections that can't be reused. It visits those that are idle when it begins, sweepBatchSize of them at a time. The
// lock is not held while it looks at a socket, as each look is a system call.
func (p *Pool) Sweep() {
	var from time.Time
	for range 1 + p.limit()/sweepBatchSize {
		var batch []idleConn
		if batch, from = p.sweepBatch(from); len(batch) == 0 {
			return
		}
		p.closeUnusable(batch)
		if from.IsZero() {
			return
		}
	}
}

// sweepBatch returns some connections that are idle since a time or later, the earliest first, and the time from which to go on; zero when
// there are no more.
func (p *Pool) sweepBatch(from time.Time) (batch []idleConn, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.idleRing.next
	for c != &p.idleRing && c.idleSince.Before(from) {
		c = c.next
	}
	for ; c != &p.idleRing; c = c.next {
		if len(batch) == sweepBatchSize {
			return batch, c.idleSince
		}
		batch = append(batch, idleConn{c, c.idleSince})
	}
	return batch, time.Time{}
}

// closeUnusable closes those connections of a batch that can't be reused, and are idle as before.
func (p *Pool) closeUnusable(batch []idleConn) {
	for _, c := range batch {
		if time.Since(c.since) < p.maxIdleTime && c.isIdleAndOpen() {
			continue
		}
		p.NoteEnd(c.Conn)
		p.mu.Lock()
		if c.next != nil && c.idleSince.Equal(c.since) {
			p.closeIdle(c.Conn)
		}
		p.mu.Unlock()
	}
}

// isIdleAndOpen reports whether a connection is open and has no unread bytes. A connection that the backend has closed shows
// here, before a request is sent on it.
func (c *Conn) isIdleAndOpen() bool { return sockstate.Peek(c.Conn) == sockstate.Idle }
