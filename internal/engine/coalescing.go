package engine

import (
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
)

// joins is what the engine keeps of calls that are answered together. A member of the table is a call as it came; the
// flight that one leads is a call of its own, under the id of the leader, and the only one of them that the module sees.
type coalescer struct {
	table  *coalesce.Table[*Call]
	after  time.Duration // when to come back whose time has run out; 0 where nothing is said
	landed []landing     // flights that have their answer and were not settled yet
}

// landing is the final answer to a flight.
type landing struct {
	flight *coalesce.Flight[*Call]
	answer Answer
}

// SetCoalescing makes the engine join calls that ask the same, where their front says what they ask. Whose time runs out while it
// waits is told to come back after that long, or nothing where that is 0. It is called before Run.
func (e *Engine) SetCoalescing(o coalesce.Options, after time.Duration) {
	e.coalescer = &coalescer{table: coalesce.New[*Call](o), after: after}
}

// join reports whether the call has become a member. Whatever its front says, one that must not run twice never does.
func (e *Engine) join(c *Call) bool {
	if c.external != nil || c.Upload != nil || c.Effect != balancer.Idempotent || c.binding.ServerIDs() != nil {
		return false // what is bound to a pool asks of other servers than what is not
	}
	m, verdict := e.coalescer.table.Arrive(e.clock.Now(), coalesce.Request[*Call]{Owner: c, Digest: *c.CoalesceDigest, Class: c.Class, Tenant: c.Tenant,
		Deadline: c.Deadline})
	if verdict == coalesce.NotCoalesced {
		return false
	}
	c.member = m
	e.calls[c.ID] = c // a second one under its id is a conflict, as ever
	if verdict == coalesce.Leader {
		e.lead(c)
	}
	return true
}

// lead starts the flight that a member leads.
func (e *Engine) lead(c *Call) {
	f := c.member.Flight()
	f.Payload = &Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: f.Deadline, ClientRetry: c.ClientRetry,
		Payload: c.Payload, Transport: c.Transport, SettingsVersion: c.SettingsVersion, MaxAttempts: c.MaxAttempts, Responder: flight{e.coalescer, f}, isFlight: true}
	e.submit(f.Payload)
}

// flight is the Caller of a flight. Its answer is settled when the module's actions are carried out: settling asks the
// module anew, whose actions hold until it is asked.
type flight struct {
	joins *coalescer
	of    *coalesce.Flight[*Call]
}

func (f flight) Answer(a Answer) { f.joins.landed = append(f.joins.landed, landing{f.of, a}) }

// leave takes a call out whose client left.
func (e *Engine) leave(c *Call) {
	e.carryOut(e.coalescer.table.Leave(e.clock.Now(), c.member), Answer{})
	e.forget(c)
}

// settle does what flights that have landed and times that have come ask for, until there is no more of it.
func (e *Engine) settle() {
	j := e.coalescer
	for {
		if len(j.landed) > 0 {
			l := j.landed[0]
			j.landed = j.landed[1:]
			e.carryOut(j.table.Complete(e.clock.Now(), l.flight, endOf(l.answer)), l.answer)
			continue
		}
		j.landed = nil
		due, ok := j.table.NextTimer()
		if now := e.clock.Now(); ok && due <= now {
			e.carryOut(j.table.HandleTimers(now), Answer{})
			continue
		}
		return
	}
}

func endOf(a Answer) coalesce.Outcome {
	switch {
	case a.Kind == Served && a.Private:
		return coalesce.OutcomePrivate
	case a.Kind == Served:
		return coalesce.OutcomeServed
	case a.Kind == Rejected:
		return coalesce.OutcomeRejected
	}
	return coalesce.OutcomeFailed
}

// carryOut does what the table says; answer is that of the flight, if one has landed.
func (e *Engine) carryOut(c coalesce.Changes[*Call], answer Answer) {
	if len(c.Answered) == 0 { // whose answer it was has left
		discard(answer.Payload)
	}
	for _, m := range c.Answered {
		e.finish(m.Owner, answer)
	}
	for _, m := range c.Expired { // only calls that may be repeated at will are joined: trying again is harmless
		e.finish(m.Owner, Answer{Kind: Rejected, RetryAfter: e.coalescer.after})
	}
	for _, f := range c.Abandoned { // nobody waits for it, as if its client had left
		if !f.Payload.closed.Swap(true) {
			e.passed(f.Payload, admission.OutcomeCanceled)
			e.decide(balancer.ClientDisconnected{Request: f.Payload.ID})
			e.forget(f.Payload)
		}
	}
	for _, m := range c.NewLeaders {
		e.lead(m.Owner)
	}
}
