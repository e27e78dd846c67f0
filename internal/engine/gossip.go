package engine

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
	"appleledge/internal/fleet/gossip"
)

// gossipCheckInterval is the time between two checks whether an observation of other agents has expired.
const gossipCheckInterval = 250 * time.Millisecond

// gossipOverlay marks servers as draining that other agents observe to be draining or faulty, and reports to the other agents
// what this one's list says.
type gossipOverlay struct {
	engine      *Engine
	exclusions  *corroborate.Exclusions
	isConfirmed func() bool              // the endpoint list was confirmed since the start
	tell        func(gossip.Observation) // to the other agents; must not block
	members     map[string]Member        // as it got them: an observation expires
	names       map[uint64]string        // of the members, by their id in gossip
	excluded    map[uint64]bool          // by id in gossip
	checked     time.Duration            // when expiry was looked for last
}

// SetGossip makes the engine heed observations of other agents, and tell them its own. isConfirmed says whether the endpoint
// list has been confirmed since the start. Both functions are called on the engine's goroutine and must not block. SetGossip is
// called before Run.
func (e *Engine) SetGossip(isConfirmed func() bool, tell func(gossip.Observation)) {
	e.gossip = &gossipOverlay{engine: e, exclusions: corroborate.New(), isConfirmed: isConfirmed, tell: tell,
		members: map[string]Member{}, names: map[uint64]string{}}
	e.overlays[overlayGossip] = e.gossip
	e.timed[timedGossip] = e.gossip
}

// HandleGossip takes an observation of another agent.
func (e *Engine) HandleGossip(from int, o gossip.Observation) { e.Post(GossipReceived(from, o)) }

// HandleLiveness takes which agents are alive, by number.
func (e *Engine) HandleLiveness(alive []bool) { e.Post(livenessChanged{alive}) }

// ExcludedByGossip returns the servers that are kept away from because of other agents' observations, sorted, and what was made
// of these. It waits for the engine.
func (e *Engine) ExcludedByGossip(ctx context.Context) (ids []string, n corroborate.Counts, err error) {
	err = e.execute(ctx, func(time.Duration) {
		ids, n = []string{}, e.gossip.exclusions.Counts()
		for id := range e.gossip.excluded {
			if name, listed := e.gossip.names[id]; listed {
				ids = append(ids, name)
			}
		}
		slices.Sort(ids)
	})
	return ids, n, err
}

// applyLiveness tells the extensions which agents are alive.
func (e *Engine) applyLiveness(alive []bool) {
	if e.recovery != nil {
		e.recovery.controller.SetLiveAgents(alive)
	}
	if e.overload != nil {
		e.overload.handler.HandleLiveness(alive)
	}
}

// handleObservation takes an observation of another agent.
func (g *gossipOverlay) handleObservation(r gossipReceived) {
	switch now := g.engine.clock.Now(); r.observation.Kind {
	case corroborate.Draining:
		if g.exclusions.Observe(now, r.from, r.observation) {
			g.refresh(now)
		}
	case corroborate.Responding:
		if name, listed := g.names[r.observation.ID]; listed && g.engine.recovery != nil {
			g.engine.recovery.controller.PeerReportsResponding(now, name)
		}
	}
}

// refresh works out anew which servers are excluded, and brings on those of which that has changed.
func (g *gossipOverlay) refresh(now time.Duration) {
	g.checked = now
	before := g.excluded
	excluded, changed := g.recompute(now)
	if g.excluded = excluded; !changed {
		return
	}
	u := EndpointUpdate{Drop: g.engine.dropRatio}
	for id, name := range g.names {
		if m, listed := g.members[name]; listed && before[id] != excluded[id] {
			u.Members = append(u.Members, g.overlay(m))
		}
	}
	if len(u.Members) > 0 { // in one order: the balancer's subset depends on it
		slices.SortFunc(u.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
		g.engine.applyEndpoints(u, overlayGossip+1)
	}
}

// recompute returns the servers that other agents observe to drain, and those that they observe to be faulty where overload is
// handled by the fleet.
func (g *gossipOverlay) recompute(now time.Duration) (excluded map[uint64]bool, changed bool) {
	excluded, changed = g.exclusions.Recompute(now)
	if g.engine.overload == nil {
		return excluded, changed
	}
	excluded = maps.Clone(excluded)
	for _, id := range g.engine.overload.handler.ExcludedServers(now) {
		excluded[corroborate.ServerID(id)] = true
	}
	return excluded, !maps.Equal(excluded, g.excluded)
}

// nextTimer asks for no wake-up: an exclusion that lasts until the next event harms nobody.
func (g *gossipOverlay) nextTimer() (time.Duration, bool) { return 0, false }

func (g *gossipOverlay) fireTimers() {
	if now := g.engine.clock.Now(); now-g.checked >= gossipCheckInterval {
		g.refresh(now)
	}
}

// overlayEndpoints also tells the other agents of servers that have begun to drain or are gone.
func (g *gossipOverlay) overlayEndpoints(now time.Duration, u EndpointUpdate) EndpointUpdate {
	confirmed := g.isConfirmed()
	for _, name := range missingFrom(u, g.members) {
		g.remove(name)
	}
	for _, m := range u.Members {
		if m.State == balancer.Removed {
			g.remove(m.ID)
		} else {
			g.update(now, m, confirmed)
		}
	}
	if confirmed {
		g.exclusions.SetConfirmedListSize(len(g.members))
	} else {
		g.exclusions.SetCachedListSize(len(g.members))
	}
	g.excluded, _ = g.recompute(now)
	return overlayMembers(u, g.overlay)
}

// overlay is a member as those behind this overlay see it.
func (g *gossipOverlay) overlay(m Member) Member {
	if m.State == balancer.Ready && g.excluded[corroborate.ServerID(m.ID)] {
		m.State = balancer.Draining
	}
	return m
}

// update takes what the list says of a server.
func (g *gossipOverlay) update(now time.Duration, m Member, confirmed bool) {
	id := corroborate.ServerID(m.ID)
	was, listed := g.members[m.ID]
	switch {
	case m.State == balancer.Draining && (!listed || was.State != balancer.Draining):
		g.tell(gossip.Observation{Kind: corroborate.Draining, ID: id})
	case m.State == balancer.Ready && confirmed && (!listed || was != m):
		g.exclusions.MarkReady(now, id)
	}
	g.members[m.ID], g.names[id] = m, m.ID
	if g.engine.overload != nil {
		g.engine.overload.handler.UpdateServer(m.ID, true, m.State == balancer.Ready)
	}
}

// remove forgets a server that the list names no more, and tells the other agents.
func (g *gossipOverlay) remove(name string) {
	if _, listed := g.members[name]; !listed {
		return
	}
	id := corroborate.ServerID(name)
	delete(g.members, name)
	delete(g.names, id)
	g.exclusions.Forget(id)
	if g.engine.overload != nil {
		g.engine.overload.handler.UpdateServer(name, false, false)
	}
	g.tell(gossip.Observation{Kind: corroborate.Draining, ID: id})
}
