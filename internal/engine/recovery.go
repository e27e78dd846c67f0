package engine

import (
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
)

// maxKeysSinceStart is how many keys are known whose first attempt came since the start; a retry of any other counts as one
// from before.
const maxKeysSinceStart = 1 << 14

// recoveryOverlay moves the start times of servers after an outage, so that the balancer warms them up again, and fails or
// restricts retries of what servers may have forgotten with their power.
type recoveryOverlay struct {
	engine      *Engine
	controller  *recovery.Controller
	isConfirmed func() bool       // the endpoint list was confirmed since the start
	changed     func()            // is told that the list has changed in a way that has to be stored at once; never nil
	members     map[string]Member // as it got them: start times change again

	failRepeatsUntil time.Duration       // until when a client's retry may have run before the start, unremembered
	keysSinceStart   map[string]struct{} // idempotency keys whose first attempt came since the start; only until then
}

// SetRecovery makes the engine ramp up after an outage, and puts the controller in the place of SetAdmission. isConfirmed says
// whether the endpoint list has been confirmed since the start; changed is called when the list tells of another server, or of
// one that drains or is gone. Both are called on the engine's goroutine and must not block. SetRecovery is called before Run.
func (e *Engine) SetRecovery(c *recovery.Controller, isConfirmed func() bool, changed func()) {
	e.recovery = &recoveryOverlay{engine: e, controller: c, isConfirmed: isConfirmed, changed: changed, members: map[string]Member{}}
	e.overlays[overlayRecovery] = e.recovery
	e.callHooks[callRecovery] = e.recovery
	e.attemptHooks[attemptRecovery] = e.recovery
	e.SetAdmission(c)
}

// FailUnknownRepeatsUntil says that bindings from before the start may be lost: until then a call with an idempotency key that
// its client marks as a retry, and whose first attempt did not come since the start, is not sent and has failed. It is called
// before Run, after SetRecovery.
func (e *Engine) FailUnknownRepeatsUntil(until time.Duration) {
	e.recovery.failRepeatsUntil, e.recovery.keysSinceStart = until, map[string]struct{}{}
}

// callArrived marks a call that may have run before the start as one that can be sent nowhere any more.
func (r *recoveryOverlay) callArrived(c *Call) (goesOn bool) {
	if c.Effect == balancer.IdempotentByKey && r.mayHaveRunBeforeStart(r.engine.clock.Now(), c) {
		c.earlier = balancer.EarlierAttempt{MayHaveRun: true, SentAt: r.engine.clock.Now() - c.IdempotencyWindow, Zone: -1, Cell: -1}
		c.mayHaveRunSince = max(c.earlier.SentAt, 1) // 0 stands for never
	}
	return true
}

// mayHaveRunBeforeStart reports whether a call is the client's retry of one that may have run before the start. What the disk
// holds is not asked: it may be older than the last attempt that was sent.
func (r *recoveryOverlay) mayHaveRunBeforeStart(now time.Duration, c *Call) bool {
	if now >= r.failRepeatsUntil {
		r.keysSinceStart = nil
		return false
	}
	if _, since := r.keysSinceStart[c.IdempotencyKey]; since || c.IdempotencyKey == "" {
		return false
	}
	if c.ClientRetry {
		return true
	}
	if len(r.keysSinceStart) < maxKeysSinceStart {
		r.keysSinceStart[c.IdempotencyKey] = struct{}{}
	}
	return false
}

// attemptStarting restricts a retry of what may have run: it may only use a connection from before the earlier attempt, whose
// server has run on since and recognizes the repeat, and is forbidden where no server of the pod may be left that does.
func (r *recoveryOverlay) attemptStarting(a *Attempt, earlierSent time.Duration) {
	if a.Call.Effect != balancer.IdempotentByKey || earlierSent == 0 {
		return
	}
	a.ConnectedSince = earlierSent
	if m, listed := r.members[a.Server]; listed {
		a.Forbidden = a.Forbidden || !r.controller.AllowsRetryIn(m.Cell, earlierSent)
	}
}

// attemptEnded tells the controller, and the other agents of servers that have answered for the first time since an outage.
func (r *recoveryOverlay) attemptEnded(o Outcome, _ balancer.Result) {
	broke := o.Result == balancer.ConnectFailed || o.Result == balancer.Reset
	answered := o.Result == balancer.OK || o.Result == balancer.Failed || o.Result == balancer.Rejected
	r.controller.ObserveAttempt(r.engine.clock.Now(), o.Attempt.Server, answered, broke, o.Report.ServedRate, o.Report.Utilization)
	for _, id := range r.controller.TakeResponding() {
		if r.engine.gossip != nil {
			r.engine.gossip.tell(gossip.Observation{Kind: corroborate.Responding, ID: corroborate.ServerID(id)})
		}
	}
	r.applyStartChanges()
}

func (r *recoveryOverlay) overlayEndpoints(now time.Duration, u EndpointUpdate) EndpointUpdate {
	confirmed, changed := r.isConfirmed(), false
	for _, id := range missingFrom(u, r.members) {
		delete(r.members, id)
		changed = true
		r.controller.UpdateServer(now, recovery.Server{ID: id, Gone: true}, confirmed)
	}
	for _, m := range u.Members {
		was, listed := r.members[m.ID]
		changed = changed || !listed && m.State != balancer.Removed || listed && was.State != m.State
		if m.State == balancer.Removed {
			delete(r.members, m.ID)
		} else {
			r.members[m.ID] = m
		}
		r.controller.UpdateServer(now, recovery.Server{ID: m.ID, Cell: m.Cell, Ready: m.State == balancer.Ready,
			Gone: m.State == balancer.Removed, Started: m.Started}, confirmed)
	}
	if r.controller.ListApplied(now); changed {
		r.changed()
	}
	return overlayMembers(u, r.overlay)
}

// overlay is a member as the balancer sees it.
func (r *recoveryOverlay) overlay(m Member) Member {
	m.Started = r.controller.EffectiveStart(m.ID, m.Started)
	return m
}

// applyStartChanges tells the balancer of servers whose start time the controller sees otherwise than before.
func (r *recoveryOverlay) applyStartChanges() {
	var servers []balancer.Server
	for _, id := range r.controller.TakeStartChanges() {
		if m, listed := r.members[id]; listed {
			servers = append(servers, r.overlay(m).Server)
		}
	}
	if len(servers) > 0 {
		r.engine.decide(balancer.ServerList{Servers: servers, DropRatio: r.engine.dropRatio})
	}
}
