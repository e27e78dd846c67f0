package engine

import (
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
)

// BindingLog keeps ties over a restart.
type BindingLog interface {
	// Append hands a record over, and must not block. What it returns may be waited for from any goroutine.
	Append(affinity.Record) BindingCommit
}

// BindingCommit is a record on its way to where it lasts.
type BindingCommit interface {
	// Wait reports whether it lasts, and waits no longer than a stated budget for that.
	Wait() bool
}

// ties are what the engine keeps of keyed requests: where they went, so that a repeat under another id goes to the same pod, or
// nowhere.
type affinityBinder struct {
	table  *affinity.Table
	secret affinity.Secret
	log    BindingLog     // nil: nothing lasts
	pods   map[string]pod // of servers, by id
}

type pod struct{ cell, zone int }

// SetAffinity makes the engine remember where keyed requests go. It is called before Run.
func (e *Engine) SetAffinity(t *affinity.Table, s affinity.Secret, l BindingLog) {
	e.affinity = &affinityBinder{table: t, secret: s, log: l, pods: map[string]pod{}}
}

// BindingsRestored brings records that another process has kept.
type BindingsRestored struct{ Records []affinity.Record }

func (BindingsRestored) event() {}

// undurable says that a tie could not be kept in time.
type bindingNotDurable struct{}

func (bindingNotDurable) event() {}

// kept says that a chooser's attempt may be handed over, as its tie is kept, or was not in time.
type bindingCommitted struct{ attempt *Attempt }

func (bindingCommitted) event() {}

func (t *affinityBinder) listed(l EndpointUpdate) {
	if l.Full {
		clear(t.pods)
	}
	for _, m := range l.Members {
		if m.State == balancer.Removed {
			delete(t.pods, m.ID)
		} else {
			t.pods[m.ID] = pod{m.Cell, m.Zone}
		}
	}
}

// tied looks up what may have run of a new call under another id. It is asked before any door: what may have run is never
// refused.
func (e *Engine) tied(c *Call) {
	if r := e.recovery; r != nil && c.Effect == balancer.IdempotentByKey && r.unremembered(e.clock.Now(), c) {
		c.earlier = balancer.EarlierAttempt{MayHaveRun: true, SentAt: e.clock.Now() - c.IdempotencyWindow, Zone: -1, Cell: -1}
		c.mayHaveRunSince = max(c.earlier.SentAt, 1)
	}
	if e.affinity == nil || c.Effect != balancer.IdempotentByKey || c.IdempotencyKey == "" {
		return
	}
	c.affinityKey = e.affinity.secret.Key(c.IdempotencyKey)
	if tie, ok := e.affinity.table.Lookup(e.clock.Now(), c.affinityKey); ok {
		c.earlier = balancer.EarlierAttempt{MayHaveRun: true, SentAt: tie.Since, Zone: tie.Zone, Cell: tie.Pod}
		c.mayHaveRunSince = max(tie.Since, 1) // 0 stands for never
	}
}

// begin notes an attempt that is about to be sent. What it returns is to be waited for before the first byte goes out.
func (t *affinityBinder) begin(now time.Duration, c *Call, a *Attempt) BindingCommit {
	p, there := t.pods[a.Server]
	if !there || c.Effect != balancer.IdempotentByKey || c.IdempotencyKey == "" {
		return nil
	}
	a.isBound = true
	r, fresh := t.table.Bind(now, c.affinityKey, p.cell, p.zone)
	if !fresh || t.log == nil {
		return nil
	}
	return t.log.Append(r)
}

// ended notes how an attempt ended.
func (t *affinityBinder) ended(now time.Duration, a *Attempt, result balancer.Result) {
	if !a.isBound {
		return
	}
	var r affinity.Record
	var keep bool
	switch result {
	case balancer.NotSent, balancer.ConnectFailed, balancer.Rejected:
		r, keep = t.table.Unbind(now, a.Call.affinityKey)
	case balancer.OK:
		r, keep = t.table.Complete(now, a.Call.affinityKey, affinity.OutcomeServed)
	default:
		r, keep = t.table.Complete(now, a.Call.affinityKey, affinity.OutcomeUnknown)
	}
	if keep && t.log != nil {
		t.log.Append(r)
	}
}

// wait waits for a tie to be kept, and counts one that is not in time. It runs in the attempt's goroutine.
func (e *Engine) wait(c BindingCommit) {
	if c != nil && !c.Wait() {
		e.Post(bindingNotDurable{})
	}
}
