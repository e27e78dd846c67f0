package platform

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	defaultMaxOpenCalls     = 64
	maxOpenFullLists        = 16               // calls for the whole list, whose answers are long
	defaultOvertakenTimeout = 10 * time.Second // for an answer, after a call that began later was answered
)

// call is one call to discovery.
type call struct {
	callRecord
	session     *session
	overtakenAt time.Time // when a call that began later was answered; zero: none was
	cancel      context.CancelFunc
}

// isFullList reports whether the call is for the whole list.
func (c *call) isFullList() bool { return c.since < 0 }

// openCalls are the calls that have no answer yet. A call is not given up for its age: what discovery writes to it counts as notified,
// however late it comes, and a discovery that works through calls in turn answers the oldest first. Their number is bounded instead.
type openCalls struct {
	responses chan response // of the calls, one at a time
	running   sync.WaitGroup
	limit     int
	calls     []*call // in the order in which they began

	overtakenTimeout time.Duration
}

func newOpenCalls(limit int) openCalls {
	if limit <= 0 {
		limit = defaultMaxOpenCalls
	}
	return openCalls{responses: make(chan response), limit: limit, overtakenTimeout: defaultOvertakenTimeout}
}

// start runs a call until it has a response or is given up, or ctx ends.
func (o *openCalls) start(ctx context.Context, c *call, fetch func(context.Context) response) {
	ctx, c.cancel = context.WithCancel(ctx)
	o.calls = append(o.calls, c)
	o.running.Go(func() {
		defer c.cancel()
		r := fetch(ctx)
		r.call = c
		if ctx.Err() != nil {
			return
		}
		select {
		case o.responses <- r:
		case <-ctx.Done():
		}
	})
}

// remove takes a call off the open ones, if it is one.
func (o *openCalls) remove(c *call) {
	o.calls = slices.DeleteFunc(o.calls, func(open *call) bool { return open == c })
}

// noteAnswer marks the open calls that began before an answered one.
func (o *openCalls) noteAnswer(answered *call, now time.Time) {
	for _, c := range o.calls {
		if c.session == answered.session && c.number < answered.number && c.overtakenAt.IsZero() {
			c.overtakenAt = now
		}
	}
}

// hasLater reports whether a call is open that began after this one, at the same address: its answer is due next.
func (o *openCalls) hasLater(than *call) bool {
	return slices.ContainsFunc(o.calls, func(c *call) bool { return c.session == than.session && c.number > than.number })
}

// hasFullListCall reports whether a call for the whole list is open.
func (o *openCalls) hasFullListCall(s *session) bool {
	return slices.ContainsFunc(o.calls, func(c *call) bool { return c.session == s && c.isFullList() })
}

// expired returns the calls that were overtaken long ago.
func (o *openCalls) expired(now time.Time) (all []*call) {
	for _, c := range o.calls {
		if !c.overtakenAt.IsZero() && now.Sub(c.overtakenAt) > o.overtakenTimeout {
			all = append(all, c)
		}
	}
	return all
}

// ofEarlierSessions returns the calls to other addresses than the present one.
func (o *openCalls) ofEarlierSessions(present *session) (all []*call) {
	for _, c := range o.calls {
		if c.session != present {
			all = append(all, c)
		}
	}
	return all
}

// surplus returns the call to give up before another begins; nil where there is room.
func (o *openCalls) surplus(isFullList bool) *call {
	if isFullList {
		var fullLists []*call
		for _, c := range o.calls {
			if c.isFullList() {
				fullLists = append(fullLists, c)
			}
		}
		if len(fullLists) >= min(maxOpenFullLists, o.limit) {
			return leastUseful(fullLists)
		}
	}
	if len(o.calls) >= o.limit {
		return leastUseful(o.calls)
	}
	return nil
}

// leastUseful returns the first call that was overtaken, or else the one between whose neighbours the least time lies: the others stay spread
// over the time in which they began, and so over the queue of a discovery that works through it in turn. The first call stays, as its
// answer comes first.
func leastUseful(calls []*call) *call {
	var least *call
	for i, c := range calls {
		if !c.overtakenAt.IsZero() {
			return c
		}
		isBetween := i > 0 && i < len(calls)-1
		if isBetween && (least == nil || gap(calls, i) < gap(calls, slices.Index(calls, least))) {
			least = c
		}
	}
	if least == nil {
		return calls[len(calls)-1]
	}
	return least
}

// gap is the time between the begins of a call's neighbours.
func gap(calls []*call, i int) time.Duration { return calls[i+1].begun.Sub(calls[i-1].begun) }
