package engine

import (
	"context"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// generationOverlay calls servers draining that the configuration in force drains, and binds calls to that configuration.
type generationOverlay struct {
	engine  *Engine
	manager *generation.Manager
	zones   []string
	members map[string]Member // as the list has them: drains of the configuration can be taken off again
	drop    float64           // as the list said last
}

// SetGenerations puts configuration generations in force. zones are the names of the zones, in the order of the balancer's
// numbers. It is called before Run.
func (e *Engine) SetGenerations(m *generation.Manager, zones []string) {
	e.generations = &generationOverlay{engine: e, manager: m, zones: zones, members: map[string]Member{}}
	e.overlays[overlayGenerations] = e.generations
	e.callHooks[callGenerations] = e.generations
	e.timed[timedGenerations] = e.generations
}

// WithGenerations runs do on the engine's goroutine with the manager of the generations, and waits until what it changed is in
// force. Its errors are those of a command that was not queued, or ErrEnded.
func (e *Engine) WithGenerations(ctx context.Context, do func(now time.Duration, m *generation.Manager)) error {
	return e.execute(ctx, func(now time.Duration) {
		do(now, e.generations.manager)
		e.generations.applyDrainChanges()
	})
}

// callArrived binds a new call to the configuration in force, or answers it where one of its limits rejects it. Nothing of the
// call was sent yet, so that trying again is harmless, unless it may have run under another id.
func (g *generationOverlay) callArrived(c *Call) (goesOn bool) {
	r := generation.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Path: c.Path, Header: c.Header, AffinityKey: c.Key,
		IdempotencyKey: c.IdempotencyKey, Deadline: c.Deadline}
	rejection, ok := g.manager.Bind(g.engine.clock.Now(), &r, &c.binding)
	if !ok && c.earlier.MayHaveRun {
		g.engine.reject(c, Answer{Kind: Failed, Reason: UnservedGeneration})
		return false
	}
	if !ok {
		g.engine.external.rememberNeverRan(c)
		g.engine.reject(c, Answer{Kind: Rejected, RetryAfter: rejection.RetryAfter, Limit: rejection.MaxInFlight, Reason: UnservedGeneration})
		return false
	}
	c.Deadline = c.binding.Deadline
	return true
}

// releaseGeneration ends a call's binding to its configuration, if it has one.
func (e *Engine) releaseGeneration(c *Call, end generation.Outcome) {
	if e.generations != nil {
		e.generations.manager.Release(e.clock.Now(), &c.binding, end)
	}
}

// generationOutcomes are the outcomes for the generations, by kind of answer.
var generationOutcomes = [...]generation.Outcome{Served: generation.Served, Rejected: generation.Rejected,
	Failed: generation.Failed, Conflict: generation.ClientCanceled}

func (g *generationOverlay) overlayEndpoints(_ time.Duration, u EndpointUpdate) EndpointUpdate {
	changed := generation.Servers{}
	if u.Full {
		for id := range g.members {
			changed[id] = nil
		}
		clear(g.members)
	}
	for _, m := range u.Members {
		if m.State == balancer.Removed {
			delete(g.members, m.ID)
			changed[m.ID] = nil
			continue
		}
		g.members[m.ID] = m
		changed[m.ID] = g.server(m)
	}
	g.manager.UpdateServers(changed)
	g.drop = u.Drop
	return overlayMembers(u, g.overlay)
}

// server is a member as the configuration's selectors see it.
func (g *generationOverlay) server(m Member) *fleetconfig.Server {
	s := &fleetconfig.Server{ID: m.ID, Addr: m.Addr, Kind: m.Kind, Pod: m.Cell, Weight: m.Weight, IsDraining: m.State == balancer.Draining}
	if m.Zone >= 0 && m.Zone < len(g.zones) {
		s.Zone = g.zones[m.Zone]
	}
	if m.Started != 0 {
		s.StartedMS = g.engine.clock.At(m.Started).UnixMilli()
	}
	return s
}

// overlay is a member as those behind this overlay see it.
func (g *generationOverlay) overlay(m Member) Member {
	if m.State == balancer.Ready && g.manager.IsDraining(m.ID) {
		m.State = balancer.Draining
	}
	return m
}

// applyDrainChanges brings on the servers whose drain by the configuration has begun or ended.
func (g *generationOverlay) applyDrainChanges() {
	ids := g.manager.TakeDrainChanges()
	if len(ids) == 0 {
		return
	}
	u := EndpointUpdate{Drop: g.drop}
	for _, id := range ids {
		if m, listed := g.members[id]; listed {
			u.Members = append(u.Members, g.overlay(m))
		}
	}
	g.engine.applyEndpoints(u, overlayGenerations+1)
}

func (g *generationOverlay) nextTimer() (time.Duration, bool) { return g.manager.NextTick() }

func (g *generationOverlay) fireTimers() {
	g.manager.Tick(g.engine.clock.Now())
	g.applyDrainChanges()
}
