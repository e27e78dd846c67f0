package platform

import (
	"context"
	"time"
)

// Times of a pushed list. What discovery lists behind an outage counts as notified at once, and a poll counts as a new one when it comes
// 200 ms after the one before.
const (
	pushWatchTimeout = 300 * time.Millisecond // how long a poll waits for changes
	hungCallDelay    = 150 * time.Millisecond // past that wait, after which another call begins beside it
	nextAnswerDelay  = 300 * time.Millisecond // after an answer, for that of the next open call, before another call begins
)

// pushedSchedule says when the next call for a pushed list begins, and which it is.
type pushedSchedule struct {
	nextCall  time.Time
	isWatch   bool      // the next call waits for changes; else it asks for what is new now
	firstCall time.Time // of those since the last answer or failure; zero: none is open
	silentAt  time.Time // from when on discovery counts as out of reach; zero: no call is open, or it does so already
}

// next returns when the next of the times comes.
func (s *pushedSchedule) next(cachedListAt time.Time) time.Time {
	next := s.nextCall
	for _, at := range []time.Time{s.silentAt, cachedListAt} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// isDue reports whether a time is set and has come.
func isDue(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

// followPushed follows a pushed list until the context ends.
func (d *Discovery) followPushed(ctx context.Context) {
	var s pushedSchedule
	d.needsFullList = true // at an address that may be another discovery's
	d.beginPushedCall(&s)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(s.next(d.cachedListAt)))
		select {
		case r := <-d.open.responses:
			d.handlePushed(&s, r)
		case <-d.siblingNews:
			d.handleSiblings()
		case <-timer.C:
			d.firePushedTimer(&s, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// firePushedTimer does what is due.
func (d *Discovery) firePushedTimer(s *pushedSchedule, now time.Time) {
	if isDue(d.cachedListAt, now) {
		d.useCachedList()
	}
	if isDue(s.silentAt, now) {
		s.silentAt = time.Time{}
		d.noteUnreachable(errNoAnswer(now.Sub(s.firstCall)))
	}
	if isDue(s.nextCall, now) {
		d.beginPushedCall(s)
	}
}

// beginPushedCall begins the next call, beside those that hang.
func (d *Discovery) beginPushedCall(s *pushedSchedule) {
	var c *call
	pause := d.retryBackoff()
	switch {
	case d.wantsFullList():
		c = d.beginFullListCall()
	case s.isWatch:
		c, pause = d.beginWatch(pushWatchTimeout), pushWatchTimeout+hungCallDelay
	default:
		c = d.beginWatch(0)
	}
	s.isWatch, s.nextCall = false, c.begun.Add(pause)
	if s.firstCall.IsZero() {
		s.firstCall, s.silentAt = c.begun, c.begun.Add(c.wait+d.responseTimeout)
	}
}

// wantsFullList reports whether the next call is for the whole list: none is held that could be relied on. While discovery is silent one
// such call is enough.
func (d *Discovery) wantsFullList() bool {
	if d.isUnreachable && d.open.hasFullListCall(d.session) {
		return d.watchVersion < 0
	}
	return d.watchVersion < 0 || d.needsFullList
}

// handlePushed takes a response and says when the next call begins.
func (d *Discovery) handlePushed(s *pushedSchedule, r response) {
	err := d.receive(r)
	c, now := r.call, time.Now()
	if c.session != d.session {
		return
	}
	s.firstCall, s.silentAt = time.Time{}, time.Time{}
	switch backoff := now.Add(d.retryBackoff()); {
	case err != nil:
		d.noteUnreachable(err)
		s.isWatch = false
		if backoff.Before(s.nextCall) {
			s.nextCall = backoff
		}
		return
	case d.open.hasLater(c):
		s.nextCall = now.Add(nextAnswerDelay)
		s.firstCall, s.silentAt = now, now.Add(d.responseTimeout)
	case d.watchVersion == c.since && now.Sub(c.begun) < c.wait/2: // a discovery that answers without waiting is not called in a tight loop
		s.nextCall = now.Add(earlyWatchDelay)
	case c.isFullList() && d.wantsFullList(): // it was older than the list that is held
		s.nextCall = backoff
	default:
		s.nextCall = now
	}
	s.isWatch = true
}

// noteUnreachable notes that discovery does not answer as it should, and that a pushed list may not be relied on after that.
func (d *Discovery) noteUnreachable(err error) {
	d.logUnreachable(err)
	d.needsFullList = true
	d.sink.Disconnected(err)
	if !d.cachedListAt.IsZero() {
		d.useCachedList()
	}
}
