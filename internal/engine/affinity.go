package engine

import (
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
)

// BindingLog keeps bindings over a restart.
type BindingLog interface {
	// Append hands a record over. It is called on the engine's goroutine and must not block.
	Append(affinity.Record) BindingCommit
	// SetRetention says for how long records are of use from now on. It is called as Append is.
	SetRetention(time.Duration)
}

// BindingCommit is a record that is being made durable.
type BindingCommit interface {
	// Wait reports whether the record is durable, and blocks no longer than a stated budget for that. It is called from an
	// attempt's goroutine.
	Wait() bool
}

// affinityBinder binds idempotency keys to pods: a repeat under another id goes to the pod of the first attempt, whose servers
// recognize it, or nowhere.
type affinityBinder struct {
	engine *Engine
	table  *affinity.Table
	secret affinity.Secret
	log    BindingLog     // nil: nothing is durable
	pods   map[string]pod // of servers, by id
}

type pod struct{ cell, zone int }

// SetAffinity makes the engine remember where calls with an idempotency key went. l may be nil. It is called before Run.
func (e *Engine) SetAffinity(t *affinity.Table, s affinity.Secret, l BindingLog) {
	e.affinity = &affinityBinder{engine: e, table: t, secret: s, log: l, pods: map[string]pod{}}
	e.overlays[overlayAffinity] = e.affinity
	e.callHooks[callAffinity] = e.affinity
	e.attemptHooks[attemptAffinity] = e.affinity
}

// DedupWindow returns the longest time for which pods drop duplicates of any class; 0 where no class has idempotency keys.
func DedupWindow(classes []balancer.Class) (longest time.Duration) {
	for _, c := range classes {
		if c.Effect == balancer.IdempotentByKey {
			longest = max(longest, c.DedupWindow)
		}
	}
	return longest
}

// setClasses takes over the classes of other settings.
func (b *affinityBinder) setClasses(classes []balancer.Class) {
	b.table.SetDedupWindow(DedupWindow(classes))
	if b.log != nil {
		b.log.SetRetention(b.table.Retention())
	}
}

// overlayEndpoints notes the servers' pods. It changes nothing.
func (b *affinityBinder) overlayEndpoints(_ time.Duration, u EndpointUpdate) EndpointUpdate {
	if u.Full {
		clear(b.pods)
	}
	for _, m := range u.Members {
		if m.State == balancer.Removed {
			delete(b.pods, m.ID)
		} else {
			b.pods[m.ID] = pod{m.Cell, m.Zone}
		}
	}
	return u
}

// callArrived looks up what may have run of a new call under another id. What recovery knows of the call stands: it may have
// run before the start, later than the binding on disk.
func (b *affinityBinder) callArrived(c *Call) (goesOn bool) {
	if c.Effect != balancer.IdempotentByKey || c.IdempotencyKey == "" {
		return true
	}
	c.affinityKey = b.secret.Key(c.IdempotencyKey)
	if c.earlier.MayHaveRun {
		return true
	}
	if bound, ok := b.table.Lookup(b.engine.clock.Now(), c.affinityKey); ok {
		c.earlier = balancer.EarlierAttempt{MayHaveRun: true, SentAt: bound.Since, Zone: bound.Zone, Cell: bound.Pod}
		c.mayHaveRunSince = max(bound.Since, 1) // 0 stands for never
	}
	return true
}

// attemptStarting binds the key of a call to the pod of its attempt, and logs a new binding.
func (b *affinityBinder) attemptStarting(a *Attempt, _ time.Duration) {
	p, listed := b.pods[a.Server]
	if c := a.Call; !listed || c.Effect != balancer.IdempotentByKey || c.IdempotencyKey == "" {
		return
	}
	a.isBound = true
	r, isNew := b.table.Bind(b.engine.clock.Now(), a.Call.affinityKey, p.cell, p.zone)
	if isNew && b.log != nil {
		a.commit = b.log.Append(r)
	}
}

// uploadPermit says whether the last part of an attempt's body may be written, and what has to be durable before.
type uploadPermit struct {
	maySend bool
	commit  BindingCommit // nil: nothing
}

// uploadEnding renews the binding of an attempt that can run from now on, and logs that.
func (b *affinityBinder) uploadEnding(a *Attempt) uploadPermit {
	r, isRenewed, maySend := b.table.Renew(b.engine.clock.Now(), a.Call.affinityKey)
	if !isRenewed || b.log == nil {
		return uploadPermit{maySend: maySend}
	}
	return uploadPermit{maySend: maySend, commit: b.log.Append(r)}
}

// attemptEnded notes how a bound attempt ended: one that can't have run no longer binds its key.
func (b *affinityBinder) attemptEnded(o Outcome, result balancer.Result) {
	a := o.Attempt
	if !a.isBound {
		return
	}
	now := b.engine.clock.Now()
	var r affinity.Record
	var mustLog bool
	switch {
	case result.ProvesNotRun():
		r, mustLog = b.table.Unbind(now, a.Call.affinityKey)
	case result == balancer.OK:
		r, mustLog = b.table.Complete(now, a.Call.affinityKey, affinity.OutcomeServed)
	default:
		r, mustLog = b.table.Complete(now, a.Call.affinityKey, affinity.OutcomeUnknown)
	}
	if mustLog && b.log != nil {
		b.log.Append(r)
	}
}

// awaitBinding waits until an attempt's binding is durable. It runs in the attempt's goroutine.
func (e *Engine) awaitBinding(a *Attempt) {
	e.awaitCommit(a.commit)
}

// awaitCommit waits until a record is durable, if there is one, and counts one that is not in time.
func (e *Engine) awaitCommit(c BindingCommit) {
	if c != nil && !c.Wait() {
		e.Post(bindingNotDurable{})
	}
}
