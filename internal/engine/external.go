package engine

import (
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/outcomecache"
)

// capacityRetryAfter is when to come back to an external caller's server that is at capacity.
const capacityRetryAfter = time.Second

// ExternalCaller is a Responder that carries the attempts itself: a proxy that asks where each request goes. Attempts are made
// one at a time, and a further one only when the proxy asks for it by a new call under the same id. Such a call is the same
// request: the balancer decides, with all that it knows of the earlier attempts, whether there is another one at all.
type ExternalCaller interface {
	Responder
	// HandOver hands an attempt over, which Engine.EndAttempt has to end; otherwise the engine ends it as timed out at its
	// Deadline. It is called on the engine's goroutine and must not block.
	HandOver(*Attempt)
	// Released is called once, when the engine holds this caller no more, on the engine's goroutine. It must not block.
	Released()
}

// externalCalls handles the calls of external callers, and remembers how they ended: a proxy may come again under an id when
// the call that bore it is long forgotten.
type externalCalls struct {
	engine    *Engine
	outcomes  *outcomecache.Table[AnswerKind] // of calls that may have run and must not run twice; nil where none are remembered
	neverRan  *outcomecache.Table[struct{}]   // calls that have ended and of which no attempt can have run; nil as outcomes is
	retention time.Duration                   // for how long both are remembered
}

// SetOutcomeCache makes the engine remember how external callers' calls ended that may have run and must not run twice: at most
// capacity of them, each for the retention after its end. A proxy that comes again with such an id gets no new attempt. It is
// called before Run, where there are external callers.
func (e *Engine) SetOutcomeCache(capacity int, retention time.Duration) {
	e.external.outcomes, e.external.retention = outcomecache.New[AnswerKind](capacity), retention
	e.external.neverRan = outcomecache.New[struct{}](capacity)
}

// EndAttempt tells how an attempt ended that was handed to an external caller. Only the first outcome of an attempt counts.
func (e *Engine) EndAttempt(o Outcome) { e.Post(o) }

// RejectAttempt says that an attempt was not handed on, because its server takes nothing new any more or its time is over, while
// the external caller still waits: it gets another attempt or the final answer.
func (e *Engine) RejectAttempt(a *Attempt) { e.Post(attemptRejected{a}) }

// Abandon says that an external caller is gone and holds no attempt of the call under that id: one that was made for it
// meanwhile was never handed on. If another caller has taken the call over since, that one goes on.
func (e *Engine) Abandon(id string, by ExternalCaller) { e.Post(abandoned{id, by}) }

// resume takes a call that is a further attempt of a known request. It reports whether the call was one; then it is answered, or
// its caller has taken the open call over.
func (x *externalCalls) resume(c *Call) bool {
	e := x.engine
	if x.outcomes != nil {
		switch kind, known := x.outcomes.Get(e.clock.Now(), c.ID); {
		case known && kind == Failed: // it may have run, and its final answer was given
			e.reject(c, Answer{Kind: Failed, Reason: UnservedFailedBefore})
			return true
		case known:
			e.reject(c, Answer{Kind: Conflict, Reason: UnservedDuplicateID})
			return true
		}
	}
	open := e.calls[c.ID]
	if open == nil || open.external == nil || open.closed.Load() || !open.isSameRequest(c) {
		return false
	}
	if open.inFlight > 0 {
		if c.CallerAttempt <= open.CallerAttempt || open.CallerAttempt == 0 {
			return false // nothing says that the earlier attempt is over
		}
		e.attemptEnded(Outcome{Attempt: open.lastAttempt, Result: balancer.Cancelled, Report: balancer.NoReport})
		if open.closed.Load() {
			e.reject(c, Answer{Kind: Conflict, Reason: UnservedDuplicateID})
			return true
		}
	}
	open.release()
	open.Responder, open.external, open.CallerAttempt, open.Candidates = c.Responder, c.external, c.CallerAttempt, c.Candidates
	e.decide(balancer.Retry{Request: c.ID, AllowedServers: open.allowedServers()})
	return true
}

// isSameRequest reports whether the two can be attempts of one request.
func (c *Call) isSameRequest(other *Call) bool {
	return c.Class == other.Class && c.Tenant == other.Tenant && c.Key == other.Key && c.IdempotencyKey == other.IdempotencyKey
}

// callArrived answers an external caller's call that can't be taken as a new request. A rejection promises that trying again is
// harmless. Of this attempt that is true, but its downstream server knows only the attempt, so it is decided here. One that comes
// as a further attempt, while nothing is remembered of those before (the cache was full, or the agent has restarted), may have
// run: if it must not run twice it has failed.
func (x *externalCalls) callArrived(c *Call) (goesOn bool) {
	if c.external == nil {
		return true
	}
	if c.Effect != balancer.Idempotent && x.neverRan != nil {
		now := x.engine.clock.Now()
		_, neverRan := x.neverRan.Get(now, c.ID)
		if c.CallerAttempt > 1 && !neverRan {
			x.engine.reject(c, Answer{Kind: Failed, Reason: UnservedUnknownAttempts})
			return false
		}
		if neverRan { // it may run now, and how it ends may be evicted before this entry: then it would be sent again
			x.neverRan.Put(now, c.ID, struct{}{}, now)
		}
	}
	if c.AtCapacity && c.earlier.MayHaveRun {
		x.engine.reject(c, Answer{Kind: Failed, Reason: UnservedCapacity})
		return false
	}
	if c.AtCapacity {
		x.rememberNeverRan(c)
		x.engine.reject(c, Answer{Kind: Rejected, RetryAfter: capacityRetryAfter, Reason: UnservedCapacity})
		return false
	}
	return true
}

// rememberNeverRan remembers that no attempt of a call can have run, so that a further one is as good as the first.
func (x *externalCalls) rememberNeverRan(c *Call) {
	if x.neverRan != nil && c.external != nil && c.Effect != balancer.Idempotent {
		now := x.engine.clock.Now()
		x.neverRan.Put(now, c.ID, struct{}{}, now+x.retention)
	}
}

// rememberAnswer remembers how a call ended whose effect must not be repeated by a later attempt.
func (x *externalCalls) rememberAnswer(c *Call, kind AnswerKind) {
	if x.outcomes == nil || c.external == nil || c.Effect == balancer.Idempotent {
		return
	}
	switch kind {
	case Rejected:
		if c.mayHaveRunSince == 0 {
			x.rememberNeverRan(c)
		}
	case Served, Failed:
		now := x.engine.clock.Now()
		x.outcomes.Put(now, c.ID, kind, now+x.retention)
	}
}

// handOver hands an attempt to its external caller, once its binding is durable. What the caller never ends is ended at its
// Deadline.
func (x *externalCalls) handOver(a *Attempt) {
	e, c := x.engine, a.Call
	c.lastAttempt = a
	a.expiry = time.AfterFunc(a.Deadline-a.Sent, func() {
		e.Post(Outcome{Attempt: a, Result: balancer.TimedOut, Report: balancer.NoReport})
	})
	if a.commit == nil {
		c.external.HandOver(a)
		return
	}
	e.attempts.Go(func() {
		e.awaitBinding(a)
		e.Post(bindingCommitted{a})
	})
}

// handOverBound hands over an attempt that has waited for its binding, unless it was ended meanwhile: its caller has left
// then, or another has taken the call over.
func (x *externalCalls) handOverBound(a *Attempt) {
	if !a.ended && !a.Call.closed.Load() {
		a.Call.external.HandOver(a)
	}
}

// reject ends an attempt that was not handed on, and asks for another.
func (x *externalCalls) reject(a *Attempt) {
	if a.ended {
		return
	}
	x.withdraw(a)
	if c := a.Call; !c.closed.Load() {
		x.engine.decide(balancer.Retry{Request: c.ID, AllowedServers: c.allowedServers()})
	}
}

// withdraw ends an attempt that no proxy has seen.
func (x *externalCalls) withdraw(a *Attempt) {
	x.engine.attemptEnded(Outcome{Attempt: a, Result: balancer.NotSent, Report: balancer.NoReport})
	a.Call.attemptsEnded--
}

// abandon ends what an external caller has left. As long as no attempt was handed over nothing is gained by keeping the call;
// else a further attempt may come, and must be distinguished from a new request.
func (x *externalCalls) abandon(left abandoned) {
	c := x.engine.calls[left.id]
	if c == nil || c.external != left.by {
		return // another caller has taken it over, or it is over
	}
	if c.inFlight > 0 {
		x.withdraw(c.lastAttempt)
	}
	if c.attemptsEnded == 0 && !c.closed.Load() {
		c.closed.Store(true)
		x.rememberNeverRan(c)
		x.engine.cancel(c)
	}
}

// release tells the external caller that the engine holds it no more.
func (c *Call) release() {
	if c.external != nil {
		c.external.Released()
	}
}
