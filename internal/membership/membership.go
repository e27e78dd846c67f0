// Package membership says who the servers are. Sources find out, each in its own way (the platform's list, xDS, a file on
// disk), and a Hub makes one list of what they say, of which the engine is told what changes. The engine does not know
// which sources there are.
//
// What is decided (which source counts, what a drain told by one of them means, whether an empty list is believed) is
// decided by Table, which does no I/O and reads no clock.
package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"appleledge/internal/engine"
)

// Update is what a source says: the whole list, or the members that changed.
type Update struct {
	Full      bool
	Members   []engine.Member // those whose State is Gone in changes only
	Retained  []string        // ids of members of whom what was said before stands, such as those that could not be read
	DropRatio float64         // the share of requests that the source wants turned away now, from 0 to 1
}

// Sink takes what a source says. Its methods may be called from any goroutine and do not block for long.
type Sink interface {
	Update(Update)
	// Disconnected says that the source can't be reached any more, or not yet. What it said before stands; the next Update
	// ends it.
	Disconnected(error)
}

// Source is a way to find out who the servers are.
type Source interface {
	// Run follows the source until the context ends and tells what it learns to the sink.
	Run(ctx context.Context, to Sink)
}

// ErrUnsubscribed is what a source is Lost by that waits to be asked: the module is told, and decides when to ask again.
var ErrUnsubscribed = errors.New("the subscription has ended")

// Bounds on what the engine is told at a time. Requests are handled between two parts of a large change, and small
// changes that come faster than the gap are told together: a drain waits for no longer than that.
const (
	partMost = 128 // members
	leastGap = 10 * time.Millisecond
)

// Hub carries what sources say to the engine. It holds the sockets' side of a Table: locks, timers and the log.
type Hub struct {
	clock   engine.Clock
	deliver func(engine.Event)
	log     *slog.Logger
	names   []string
	wake    chan struct{} // holds one wake-up

	mu    sync.Mutex
	table *Table
	heard bool // an update came that the engine has not been told of
	lost  bool // a subscription ended
	shown int  // the source that the log last named
}

// NewHub returns a hub for sources of these names, the preferred first, that hands events to deliver.
func NewHub(o Options, names []string, c engine.Clock, deliver func(engine.Event), log *slog.Logger) *Hub {
	return &Hub{clock: c, deliver: deliver, log: log, names: names, wake: make(chan struct{}, 1),
		table: NewTable(o, len(names)), shown: none}
}

// Sink is the one for a source, by its place among the names.
func (h *Hub) Sink(source int) Sink { return sink{h, source} }

type sink struct {
	hub    *Hub
	source int
}

func (s sink) Update(u Update) {
	s.hub.change(func(now time.Duration) {
		s.hub.heard = true
		s.hub.table.Update(now, s.source, u)
	})
}

func (s sink) Disconnected(err error) {
	s.hub.change(func(now time.Duration) {
		if errors.Is(err, ErrUnsubscribed) {
			s.hub.lost = true
		}
		s.hub.table.Disconnected(now, s.source)
	})
}

func (h *Hub) change(f func(now time.Duration)) {
	h.mu.Lock()
	f(h.clock.Now())
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run tells the engine of changes until the context ends.
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
		for h.tell() {
			if ctx.Err() != nil {
				return
			}
		}
		h.mu.Lock()
		due, ok := h.table.NextTimer()
		h.mu.Unlock()
		if ok {
			timer.Reset(max(due-h.clock.Now(), leastGap))
		}
		Sleep(ctx, leastGap) // what comes meanwhile is told together
	}
}

// tell hands the engine one part of what has changed. It reports whether there was any.
func (h *Hub) tell() bool {
	h.mu.Lock()
	h.table.Tick(h.clock.Now())
	members := h.table.TakeChanges(partMost)
	heard, lost, drop := h.heard, h.lost, h.table.DropRatio()
	h.heard, h.lost = false, false
	if active := h.table.Active(); active != h.shown {
		h.shown = active
		h.log.Info("the list of servers counts as told by", "source", h.names[active])
	}
	h.mu.Unlock()
	if heard || len(members) > 0 { // also without a change: the module counts lists
		h.deliver(engine.EndpointUpdate{Members: members, Drop: drop})
	}
	if lost {
		h.deliver(engine.EndpointsUnavailable{})
	}
	return len(members) > 0
}

// Sleep waits, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
