package engine

import (
	"context"
	"errors"
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// governed is what the engine keeps for a configuration in force: its manager, and the list as it was told, since drains of
// the configuration lie over it and are taken off again.
type generationOverlay struct {
	manager *generation.Manager
	zones   []string
	clock   Clock
	told    map[string]Member
	drop    float64 // as the list said last
}

// SetGenerations puts a configuration in force. zones are the names of the zones, in the order of the module's numbers. It is called
// before Run.
func (e *Engine) SetGenerations(m *generation.Manager, zones []string) {
	e.generations = &generationOverlay{manager: m, zones: zones, clock: e.clock, told: map[string]Member{}}
}

// ErrEnded says that the engine has ended.
var ErrEnded = errors.New("the agent is ending")

// WithGenerations runs do on the engine's goroutine, with the manager of the configuration in force. It waits until that is done.
func (e *Engine) WithGenerations(ctx context.Context, do func(now time.Duration, m *generation.Manager)) error {
	return e.execute(ctx, func(now time.Duration) {
		do(now, e.generations.manager)
		e.applyDrainChanges()
	})
}

// command runs do on the engine's goroutine and waits until that is done.
func (e *Engine) execute(ctx context.Context, do func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case e.events <- execution{do, done}:
	case <-e.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select { // it is in the queue: a caller that stopped waiting could not tell whether it was done
	case <-done:
		return nil
	case <-e.done:
		return ErrEnded
	}
}

// bind ties a new call to the configuration in force, or answers it where a limit turns it away. Nothing of the call was
// sent, and a chooser's call comes here only as a new request, so that trying again is harmless.
func (e *Engine) bind(c *Call) bool {
	a := generation.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Path: c.Path, Header: c.Header, AffinityKey: c.Key,
		IdempotencyKey: c.IdempotencyKey, Deadline: c.Deadline}
	told, ok := e.generations.manager.Bind(e.clock.Now(), &a, &c.binding)
	if !ok && c.earlier.MayHaveRun { // a refusal would promise that trying again is harmless
		e.reject(c, Answer{Kind: Failed})
		return false
	}
	if !ok {
		e.cameToNothing(c)
		e.reject(c, Answer{Kind: Rejected, RetryAfter: told.RetryAfter, Limit: told.MaxInFlight})
		return false
	}
	c.Deadline = c.binding.Deadline
	return true
}

// unbind ends a call's tie, if it has one.
func (e *Engine) unbind(c *Call, end generation.Outcome) {
	if e.generations != nil {
		e.generations.manager.Release(e.clock.Now(), &c.binding, end)
	}
}

// boundEnds are the manager's, by the kinds of answers.
var boundEnds = [...]generation.Outcome{Served: generation.Served, Rejected: generation.Rejected, Failed: generation.Failed, Conflict: generation.ClientCanceled}

// among are the servers that a call may go to: those of its pool and of its caller's choice, where there are such. The pool
// is that of the configuration that the call is bound to, for all of its attempts.
func (c *Call) candidates() []string {
	pool := c.binding.ServerIDs()
	switch {
	case c.permit != nil && c.permit.Endpoints != nil && pool == nil && c.Candidates == nil && !c.earlier.MayHaveRun:
		return c.permit.Endpoints
	case pool == nil, c.earlier.MayHaveRun: // what may have run goes to its pod, whatever the configuration makes of others
		return c.Candidates
	case c.Candidates == nil:
		return pool
	}
	both := []string{}
	for _, id := range c.Candidates {
		if _, in := slices.BinarySearch(pool, id); in {
			both = append(both, id)
		}
	}
	return both
}

// listed takes a list over and returns it with the configuration's drains.
func (g *generationOverlay) listed(l EndpointUpdate) EndpointUpdate {
	changed := generation.Servers{}
	if l.Full {
		for id := range g.told {
			changed[id] = nil
		}
		clear(g.told)
	}
	for _, m := range l.Members {
		if m.State == balancer.Removed {
			delete(g.told, m.ID)
			changed[m.ID] = nil
			continue
		}
		g.told[m.ID] = m
		changed[m.ID] = g.server(m)
	}
	g.manager.UpdateServers(changed)
	g.drop = l.Drop
	out := EndpointUpdate{Full: l.Full, Drop: l.Drop, Members: make([]Member, 0, len(l.Members))}
	for _, m := range l.Members {
		out.Members = append(out.Members, g.drained(m))
	}
	return out
}

func (g *generationOverlay) server(m Member) *fleetconfig.Server {
	s := &fleetconfig.Server{ID: m.ID, Addr: m.Addr, Kind: m.Kind, Pod: m.Cell, Weight: m.Weight, Draining: m.State == balancer.Draining}
	if m.Zone >= 0 && m.Zone < len(g.zones) {
		s.Zone = g.zones[m.Zone]
	}
	if m.Started != 0 {
		s.StartedMS = g.clock.At(m.Started).UnixMilli()
	}
	return s
}

func (g *generationOverlay) drained(m Member) Member {
	if m.State == balancer.Ready && g.manager.IsDraining(m.ID) {
		m.State = balancer.Draining
	}
	return m
}

// applyDrainChanges tells the fleet and the module of servers whose drain by the configuration has begun or ended.
func (e *Engine) applyDrainChanges() {
	ids := e.generations.manager.TakeDrainChanges()
	if len(ids) == 0 {
		return
	}
	l := EndpointUpdate{Drop: e.generations.drop}
	for _, id := range ids {
		if m, there := e.generations.told[id]; there {
			l.Members = append(l.Members, e.generations.drained(m))
		}
	}
	e.update(l)
}
