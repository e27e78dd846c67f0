// Package membership makes one endpoint list for the engine out of what several sources say. A Source finds endpoints in its own
// way (the platform's discovery, xDS, a file on disk) and reports to a Sink; a Hub merges the reports and delivers the changes
// to the engine in batches. The engine does not know which sources there are.
//
// The decisions are Table's, a state machine without I/O or a clock: which source is active, what happens to servers that
// another source has as draining, and whether a list that is empty all at once is believed. The Hub is the shell around it: lock,
// timer and log. Nothing here is stored; package fleet/snapshot keeps the last list over a restart.
package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/engine"
)

// Update is what a source says: the whole list, or the members that changed.
type Update struct {
	Full      bool            // Members is the whole list: members neither in it nor in Retained are removed
	Members   []engine.Member // with State Removed only in changes
	Retained  []string        // ids of members that stay as they were, such as entries that could not be read
	DropRatio float64         // share of requests that the source wants shed now, from 0 to 1
	Version   int64           // of the list with this update, as the source counts; 0: it does not count
}

// Sink takes what a source reports. Its methods may be called from any goroutine, and block for no longer than a lock is held.
type Sink interface {
	// Update reports a list or a change of it. The sink does not keep the slices' backing arrays.
	Update(Update)
	// Disconnected reports that the source can't be reached any more, or not yet. What it said before stays in force; the next
	// Update ends the state. An error that is ErrUnsubscribed makes the engine decide when to subscribe again.
	Disconnected(error)
}

// Source finds endpoints.
type Source interface {
	// Run follows the source and reports what it learns to the sink. It blocks until the context ends, and is called once.
	Run(ctx context.Context, to Sink)
}

// ErrUnsubscribed is wrapped by the error with which a source disconnects that waits for a subscription: the balancer decides when to
// subscribe again.
var ErrUnsubscribed = errors.New("the subscription has ended")

// Bounds on what is delivered to the engine at a time. The engine handles requests between two batches of a large change, and small
// changes that come faster than the interval are delivered together: a drain waits for no longer than that.
const (
	maxBatchMembers  = 128
	minBatchInterval = 10 * time.Millisecond
)

// Hub delivers what sources report to the engine. Its Sinks may be used from any goroutine; Run owns the deliveries.
type Hub struct {
	clock       engine.Clock
	deliver     func(engine.Event)
	log         *slog.Logger
	sourceNames []string
	wake        chan struct{} // holds one wake-up

	mu                sync.Mutex // guards what follows
	table             *Table
	updateReceived    bool    // an update came that was not delivered yet
	subscriptionEnded bool    // and so did the end of a subscription
	loggedSource      int     // the active source that the log last named
	versions          []int64 // of the last update, by source

	listVersion atomic.Int64 // of the active source's list that was delivered
}

// NewHub returns a hub for the sources of these names, the preferred first. It calls deliver from Run alone, one call at a time.
func NewHub(o Options, names []string, c engine.Clock, deliver func(engine.Event), log *slog.Logger) *Hub {
	return &Hub{clock: c, deliver: deliver, log: log, sourceNames: names, wake: make(chan struct{}, 1),
		table: NewTable(o, len(names)), loggedSource: noSource, versions: make([]int64, len(names))}
}

// ListVersion returns the version of the list that was delivered whole, as the active source counts; 0 where it does not count, or while a
// large change is delivered. What the engine has is of that version or of a later one.
func (h *Hub) ListVersion() int64 { return h.listVersion.Load() }

// Members returns the members that a source has reported, by its index among the names, in the order of their ids.
func (h *Hub) Members(source int) []engine.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Members(source)
}

// Sink returns the sink of a source, by its index among the names.
func (h *Hub) Sink(source int) Sink { return sourceSink{h, source} }

// sourceSink is the Sink of one source.
type sourceSink struct {
	hub    *Hub
	source int
}

func (s sourceSink) Update(u Update) {
	s.hub.apply(func(now time.Duration) {
		s.hub.updateReceived = true
		s.hub.versions[s.source] = u.Version
		s.hub.table.Update(now, s.source, u)
	})
}

func (s sourceSink) Disconnected(err error) {
	s.hub.apply(func(now time.Duration) {
		if errors.Is(err, ErrUnsubscribed) {
			s.hub.subscriptionEnded = true
		}
		s.hub.table.Disconnected(now, s.source)
	})
}

// apply changes the table under the lock and wakes Run.
func (h *Hub) apply(change func(now time.Duration)) {
	h.mu.Lock()
	change(h.clock.Now())
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run delivers changes to the engine until the context ends.
func (h *Hub) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-timer.C:
		}
		for h.deliverBatch() {
			if ctx.Err() != nil {
				return
			}
		}
		h.mu.Lock()
		next, ok := h.table.NextTimer()
		h.mu.Unlock()
		if ok {
			timer.Reset(max(next-h.clock.Now(), minBatchInterval))
		}
		Sleep(ctx, minBatchInterval) // what comes meanwhile is delivered together
	}
}

// deliverBatch delivers one batch of changes and reports whether there was any. An update without a change is delivered too, as the
// balancer counts lists.
func (h *Hub) deliverBatch() bool {
	h.mu.Lock()
	h.table.Tick(h.clock.Now())
	members := h.table.TakeChanges(maxBatchMembers)
	hasUpdate, hasEnded, dropRatio := h.updateReceived, h.subscriptionEnded, h.table.DropRatio()
	h.updateReceived, h.subscriptionEnded = false, false
	active, version := h.table.Active(), int64(0)
	if active != h.loggedSource {
		h.loggedSource = active
		h.log.Info("the list of servers counts as told by", "source", h.sourceNames[active])
	}
	if isWhole := len(members) < maxBatchMembers; isWhole && active != noSource {
		version = h.versions[active]
	}
	h.mu.Unlock()
	if hasUpdate || len(members) > 0 {
		h.deliver(engine.EndpointUpdate{Members: members, Drop: dropRatio})
	}
	h.listVersion.Store(version)
	if hasEnded {
		h.deliver(engine.EndpointsUnavailable{})
	}
	return len(members) > 0
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
