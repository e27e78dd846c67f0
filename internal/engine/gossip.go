package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
	"appleledge/internal/fleet/gossip"
)

// worded is what the engine keeps for the word of other agents: what they hold servers for, and the list as it was told, since what is
// held out on their word lies over it.
type gossipOverlay struct {
	holds  *corroborate.Exclusions
	heard  func() bool              // the list is of now, and not from before
	tell   func(gossip.Observation) // to the others; must not block
	told   map[string]Member
	names  map[uint64]string
	held   map[uint64]bool
	sharer OverloadHandler // nil: overload is handled alone
	looked time.Duration
}

// SetGossip makes the engine heed the word of others, and tell them what it knows. It is called before Run.
func (e *Engine) SetGossip(heard func() bool, tell func(gossip.Observation)) {
	e.gossip = &gossipOverlay{holds: corroborate.New(), heard: heard, tell: tell, told: map[string]Member{}, names: map[uint64]string{}}
}

// told is word of another agent; living is which agents live.
type (
	gossipReceived struct {
		from int
		fact gossip.Observation
	}
	livenessChanged struct{ alive []bool }
)

func (gossipReceived) event()  {}
func (livenessChanged) event() {}

// HandleGossip takes word of another agent.
func (e *Engine) HandleGossip(from int, f gossip.Observation) { e.Post(GossipReceived(from, f)) }

// HandleLiveness takes which agents live, by number.
func (e *Engine) HandleLiveness(alive []bool) { e.Post(livenessChanged{alive}) }

// GossipReceived is word of another agent as an event, for Step.
func GossipReceived(from int, f gossip.Observation) Event { return gossipReceived{from, f} }

// hear takes word of another agent.
func (e *Engine) handleGossip(s gossipReceived) {
	switch now := e.clock.Now(); s.fact.Kind {
	case corroborate.Draining:
		if e.gossip.holds.Observe(now, s.from, s.fact) {
			e.settleWord(now)
		}
	case corroborate.Responding:
		if name, known := e.gossip.names[s.fact.ID]; known && e.recovery != nil {
			e.recovery.PeerReportsResponding(now, name)
		}
	}
}

// wordEvery is between two looks at what of the word of others has run out.
const wordEvery = 250 * time.Millisecond

// settleWord lets what is held out on the word of others be so, and what is not any more.
func (e *Engine) settleWord(now time.Duration) {
	w := e.gossip
	w.looked = now
	before := w.held
	held, changed := w.heldWith(now)
	if w.held = held; !changed {
		return
	}
	l := EndpointUpdate{Drop: e.dropRatio}
	for id, name := range w.names {
		if m, there := w.told[name]; there && before[id] != held[id] {
			l.Members = append(l.Members, w.overlay(m))
		}
	}
	if len(l.Members) > 0 { // in one order: the module's view hangs on it
		slices.SortFunc(l.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
		e.bring(l)
	}
}

func (w *gossipOverlay) overlay(m Member) Member {
	if m.State == balancer.Ready && w.held[corroborate.ServerID(m.ID)] {
		m.State = balancer.Draining
	}
	return m
}

// listed takes a list over, tells the others of what has begun to drain or is gone, and returns the list with what is held out.
func (w *gossipOverlay) listed(now time.Duration, l EndpointUpdate) EndpointUpdate {
	heard := w.heard()
	if l.Full {
		named := make(map[string]bool, len(l.Members))
		for _, m := range l.Members {
			named[m.ID] = true
		}
		for id := range w.told {
			if !named[id] {
				w.gone(id)
			}
		}
	}
	for _, m := range l.Members {
		id := corroborate.ServerID(m.ID)
		was, there := w.told[m.ID]
		switch {
		case m.State == balancer.Removed:
			w.gone(m.ID)
			continue
		case m.State == balancer.Draining && (!there || was.State != balancer.Draining):
			w.tell(gossip.Observation{Kind: corroborate.Draining, ID: id})
		case m.State == balancer.Ready && heard && (!there || was != m):
			w.holds.MarkReady(now, id)
		}
		w.told[m.ID], w.names[id] = m, m.ID
		if w.sharer != nil {
			w.sharer.UpdateServer(m.ID, true, m.State == balancer.Ready)
		}
	}
	if heard {
		w.holds.SetConfirmedListSize(len(w.told))
	} else {
		w.holds.SetCachedListSize(len(w.told))
	}
	w.held, _ = w.heldWith(now)
	out := EndpointUpdate{Full: l.Full, Drop: l.Drop, Members: make([]Member, 0, len(l.Members))}
	for _, m := range l.Members {
		out.Members = append(out.Members, w.overlay(m))
	}
	return out
}

// gone forgets a server that the list names no more, and tells the others.
func (w *gossipOverlay) gone(name string) {
	if _, there := w.told[name]; !there {
		return
	}
	id := corroborate.ServerID(name)
	delete(w.told, name)
	delete(w.names, id)
	w.holds.Forget(id)
	if w.sharer != nil {
		w.sharer.UpdateServer(name, false, false)
	}
	w.tell(gossip.Observation{Kind: corroborate.Draining, ID: id})
}

// HeldByGossip returns the servers that are held out on the word of others, and what was made of that. It waits for the engine.
func (e *Engine) HeldByGossip(ctx context.Context) (ids []string, n corroborate.Counts, err error) {
	err = e.execute(ctx, func(time.Duration) {
		ids, n = []string{}, e.gossip.holds.Counts()
		for id := range e.gossip.held {
			if name, known := e.gossip.names[id]; known {
				ids = append(ids, name)
			}
		}
		slices.Sort(ids)
	})
	return ids, n, err
}

// found tells the others of servers that have answered for the first time since a loss of power.
func (e *Engine) found() {
	for _, id := range e.recovery.TakeResponding() {
		if e.gossip != nil {
			e.gossip.tell(gossip.Observation{Kind: corroborate.Responding, ID: corroborate.ServerID(id)})
		}
	}
}
