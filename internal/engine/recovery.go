package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/denylist"
	"appleledge/internal/fleet/recovery"
)

// returning is what the engine keeps for a recovery: the list as it was told, since starts that the recovery sees otherwise lie over
// it.
type recoveryOverlay struct {
	*recovery.Controller
	heard func() bool // the list is of now, and not from before
	moved func()      // is told of what has to be kept at once; never nil
	told  map[string]Member

	forgot time.Duration       // until when a client's repeat of a keyed request may have run before the start, unremembered
	first  map[string]struct{} // keys whose first try came since the start; only until then
}

// mostFirst is how many keys are known to have come first since the start; a repeat of any other counts as one from before.
const mostFirst = 1 << 14

// unremembered reports whether a keyed request is the client's repeat of one that may have run before the start: whatever is on the
// disk, it may be of before that.
func (r *recoveryOverlay) unremembered(now time.Duration, c *Call) bool {
	if now >= r.forgot {
		r.first = nil
		return false
	}
	if _, since := r.first[c.IdempotencyKey]; since || c.IdempotencyKey == "" {
		return false
	}
	if c.ClientRetry {
		return true
	}
	if len(r.first) < mostFirst {
		r.first[c.IdempotencyKey] = struct{}{}
	}
	return false
}

// SetRecovery puts a recovery at the door. heard says whether the list has been confirmed since the start; moved is called on the engine's
// goroutine when the list tells of another server, or of one that drains or is gone. It is called before Run, and in place of Guard.
func (e *Engine) SetRecovery(r *recovery.Controller, heard func() bool, moved func()) {
	e.recovery = &recoveryOverlay{Controller: r, heard: heard, moved: moved, told: map[string]Member{}}
	e.SetAdmission(r)
}

// FailUnknownRepeatsUntil says that what may have run before the start may not be remembered: until then a repeat of a keyed request, which its client
// marks as one and whose first try did not come since, is not sent anywhere and has failed. It is called before Run, after Return.
func (e *Engine) FailUnknownRepeatsUntil(until time.Duration) {
	e.recovery.forgot, e.recovery.first = until, map[string]struct{}{}
}

// Snapshot is what an agent has to remember over a loss of power.
type Snapshot struct {
	Members  []Member // as the list has them, by id
	Recovery recovery.Baseline
	Denylist denylist.Snapshot
}

// Snapshot returns what the engine knows. It waits for the engine, and is for one that has a recovery.
func (e *Engine) Snapshot(ctx context.Context) (k Snapshot, err error) {
	err = e.execute(ctx, func(time.Duration) {
		told := e.recovery.told
		switch { // as the list has them: what lies over it is kept for itself
		case e.generations != nil:
			told = e.generations.told
		case e.denylist != nil:
			told = e.denylist.told
		}
		for _, id := range slices.Sorted(maps.Keys(told)) {
			k.Members = append(k.Members, told[id])
		}
		k.Recovery = e.recovery.Baseline()
		if e.denylist != nil {
			k.Denylist = e.denylist.set.Snapshot(func(t time.Duration) int64 { return e.clock.At(t).UnixMilli() })
		}
	})
	return k, err
}

// listed takes a list over and returns it as the module is to see it.
func (r *recoveryOverlay) listed(now time.Duration, l EndpointUpdate) EndpointUpdate {
	heard, changed := r.heard(), false
	if l.Full {
		named := make(map[string]bool, len(l.Members))
		for _, m := range l.Members {
			named[m.ID] = true
		}
		for id := range r.told {
			if !named[id] {
				delete(r.told, id)
				changed = true
				r.Controller.UpdateServer(now, recovery.Server{ID: id, Gone: true}, heard)
			}
		}
	}
	for _, m := range l.Members {
		was, there := r.told[m.ID]
		changed = changed || !there && m.State != balancer.Removed || there && was.State != m.State
		if m.State == balancer.Removed {
			delete(r.told, m.ID)
		} else {
			r.told[m.ID] = m
		}
		r.Controller.UpdateServer(now, recovery.Server{ID: m.ID, Cell: m.Cell, Ready: m.State == balancer.Ready, Gone: m.State == balancer.Removed,
			Started: m.Started}, heard)
	}
	if r.ListApplied(now); changed {
		r.moved()
	}
	out := EndpointUpdate{Full: l.Full, Drop: l.Drop, Members: make([]Member, 0, len(l.Members))}
	for _, m := range l.Members {
		m.Started = r.EffectiveStart(m.ID, m.Started)
		out.Members = append(out.Members, m)
	}
	return out
}

// remask tells the module of servers whose start is seen otherwise than before.
func (e *Engine) remask() {
	var servers []balancer.Server
	for _, id := range e.recovery.TakeStartChanges() {
		if m, there := e.recovery.told[id]; there {
			m.Started = e.recovery.EffectiveStart(id, m.Started)
			servers = append(servers, m.Server)
		}
	}
	if len(servers) > 0 {
		e.decide(balancer.ServerList{Servers: servers, DropRatio: e.dropRatio})
	}
}

// returned tells the recovery how an attempt ended.
func (e *Engine) returned(o Outcome) {
	broke := o.Result == balancer.ConnectFailed || o.Result == balancer.Reset
	answered := o.Result == balancer.OK || o.Result == balancer.Failed || o.Result == balancer.Rejected
	e.recovery.ObserveAttempt(e.clock.Now(), o.Attempt.Server, answered, broke, o.Report.ServedRate, o.Report.Utilization)
	e.found()
	e.remask()
}

// repeats says of a repeat of what may have run whether it may go out at all, and if so, that only over a connection from before:
// who holds the other end of it has run on, and knows what it was sent. Elsewhere nobody may be left who drops it.
func (r *recoveryOverlay) repeats(c *Call, a *Attempt, since time.Duration) {
	if c.Effect != balancer.IdempotentByKey || since == 0 {
		return
	}
	a.ConnectedSince = since
	if m, there := r.told[a.Server]; there {
		a.Forbidden = a.Forbidden || !r.AllowsRetryIn(m.Cell, since)
	}
}

// recovery returns how the agent's recovery stands; nil where none is switched on.
func (e *Engine) recoveryStatus() *recovery.Status {
	if e.recovery == nil {
		return nil
	}
	st := e.recovery.Status(e.clock.Now())
	return &st
}
