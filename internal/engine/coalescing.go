package engine

import (
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
)

// lateAnswerWait is how long behind its leader's deadline, which its server was told, a flight is waited for on behalf of others.
const lateAnswerWait = 300 * time.Millisecond

// coalescer answers equal calls together. A member of its table is a call as it came; the flight that one leads is a call of its
// own, under the id of the leader, and the only one of them that admission and the balancer see.
//
// Each attempt of a flight is made in the name of the leader: under its id, with the time left to it, and only while its client waits
// (Call.Closed). When the leader is over, whatever has ended it, the flight makes no further attempt and becomes leaderless: it is waited for
// as long as an attempt is under way, and then ends unserved, so that another member leads the next flight in its own name.
type coalescer struct {
	engine     *Engine
	table      *coalesce.Table[*Call]
	retryAfter time.Duration  // for a member whose time runs out; 0: nothing is said
	answered   []flightAnswer // flights that have their answer, which the table has not been told
}

// flightAnswer is the final answer to a flight.
type flightAnswer struct {
	flight *coalesce.Flight[*Call]
	answer Answer
}

// SetCoalescing makes the engine answer calls together that ask the same, where their downstream server gives them a
// CoalesceDigest. A call whose time runs out while it waits is told to come back after retryAfter, or nothing where that is 0. It
// is called before Run.
func (e *Engine) SetCoalescing(o coalesce.Options, retryAfter time.Duration) {
	e.coalescer = &coalescer{engine: e, table: coalesce.New[*Call](o), retryAfter: retryAfter}
	e.callHooks[callCoalescing] = e.coalescer
	e.timed[timedCoalescing] = e.coalescer
}

// callArrived takes a call over as a member, if it may be. Whatever its downstream server says, one that must not run twice
// never is; and one that is bound to a pool asks other servers than one that isn't.
func (j *coalescer) callArrived(c *Call) (goesOn bool) {
	if c.CoalesceDigest == nil || c.external != nil || c.Upload != nil || c.Effect != balancer.Idempotent || c.binding.ServerIDs() != nil {
		return true
	}
	m, verdict := j.table.Arrive(j.engine.clock.Now(), coalesce.Request[*Call]{Owner: c, Digest: *c.CoalesceDigest, Class: c.Class,
		Tenant: c.Tenant, Deadline: c.Deadline})
	if verdict == coalesce.NotCoalesced {
		return true
	}
	c.member = m
	j.engine.calls[c.ID] = c // a second call under its id is a conflict, as ever
	if verdict == coalesce.Leader {
		j.startFlight(c)
	}
	return false
}

// startFlight submits the flight that a member leads.
func (j *coalescer) startFlight(c *Call) {
	f := c.member.Flight()
	f.Payload = &Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: min(f.Deadline, c.Deadline+lateAnswerWait), ClientRetry: c.ClientRetry,
		Payload: c.Payload, Transport: c.Transport, SettingsVersion: c.SettingsVersion, MaxAttempts: c.MaxAttempts,
		Responder: flightResponder{j, f}, leader: c, arrivedAt: j.engine.clock.Now()}
	j.engine.submit(f.Payload)
}

// leaderOver makes no further attempt of a flight whose leader is over, and ends the flight unless an attempt is under way.
func (j *coalescer) leaderOver(flight *Call) {
	if flight.closed.Load() || flight.isLeaderless {
		return
	}
	flight.isLeaderless = true
	isUnderWay := flight.isUnderWay()
	j.engine.logLeaderOver(flight, isUnderWay)
	j.engine.decide(balancer.ClientDisconnected{Request: flight.ID})
	if !isUnderWay {
		j.engine.finishLeaderless(flight)
	}
}

// endLeaderless ends a leaderless flight of which no attempt is in flight any more.
func (e *Engine) endLeaderless(c *Call) {
	if c.isLeaderless && c.inFlight == 0 && !c.closed.Load() {
		e.finishLeaderless(c)
	}
}

// finishLeaderless ends a flight that is not served. It is rejected, whatever became of its attempts: one flight takes its place.
func (e *Engine) finishLeaderless(flight *Call) {
	e.releasePermit(flight, admission.OutcomeCanceled)
	e.finish(flight, Answer{Kind: Rejected, Reason: UnservedLeaderOver})
}

// isUnderWay reports whether an attempt of the call is at its server, or is being written there. One that still waits for its connection is not:
// it is not written once the call is over.
func (c *Call) isUnderWay() bool {
	return c.original != nil && c.original.isUnderWay() || slices.ContainsFunc(c.laterSends, (*Attempt).isUnderWay)
}

// isUnderWay reports the same of one attempt. One whose transport does not tell its phases is taken to be.
func (a *Attempt) isUnderWay() bool {
	return !a.ended && (AttemptPhase(a.phase.Load()) >= AwaitsWrite || a.phaseSince.Load() == 0)
}

// flightResponder is the Responder of a flight. It only notes the answer, which fireTimers hands to the members: that asks the
// balancer anew, and the balancer's actions, which are being carried out here, hold only until it is asked again.
type flightResponder struct {
	coalescer *coalescer
	flight    *coalesce.Flight[*Call]
}

func (f flightResponder) Answer(a Answer) {
	f.coalescer.answered = append(f.coalescer.answered, flightAnswer{f.flight, a})
}

// leave takes a call out that needs no answer any more.
func (j *coalescer) leave(c *Call) {
	j.apply(j.table.Leave(j.engine.clock.Now(), c.member), Answer{})
	j.engine.forget(c)
}

func (j *coalescer) nextTimer() (time.Duration, bool) { return j.table.NextTimer() }

// fireTimers handles answers to flights and times that have come, until there are no more: each may bring about others.
func (j *coalescer) fireTimers() {
	for {
		if len(j.answered) > 0 {
			first := j.answered[0]
			j.answered = j.answered[1:]
			j.apply(j.table.Complete(j.engine.clock.Now(), first.flight, coalesceOutcome(first.answer)), first.answer)
			continue
		}
		j.answered = nil
		due, ok := j.table.NextTimer()
		if now := j.engine.clock.Now(); ok && due <= now {
			j.apply(j.table.HandleTimers(now), Answer{})
			continue
		}
		return
	}
}

func coalesceOutcome(a Answer) coalesce.Outcome {
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

// apply does what the table decided. answer is that of the flight, if one was answered.
func (j *coalescer) apply(c coalesce.Changes[*Call], answer Answer) {
	if len(c.Answered) == 0 { // those whose answer it was have left
		discard(answer.Payload)
	}
	for _, m := range c.Answered {
		j.engine.finish(m.Owner, answer)
	}
	for _, m := range c.Expired { // only idempotent calls are coalesced: trying again is harmless
		j.engine.finish(m.Owner, Answer{Kind: Rejected, RetryAfter: j.retryAfter, Reason: UnservedCoalescingExpiry})
	}
	for _, f := range c.Abandoned { // nobody waits for it
		if !f.Payload.closed.Swap(true) {
			j.engine.cancel(f.Payload)
		}
	}
	for _, f := range c.Leaderless {
		j.leaderOver(f.Payload)
	}
	for _, m := range c.NewLeaders {
		j.startFlight(m.Owner)
	}
}
