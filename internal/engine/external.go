package engine

import (
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/outcomecache"
)

// ExternalCaller is a Responder that carries the attempts itself: a proxy that asks where each request goes. Attempts are made
// one at a time, and a further one only when the chooser's side asks for it with a new call under the same id. Such a
// call is the same request: the module decides, with all that it knows of the earlier attempts, whether there is
// another one at all.
type ExternalCaller interface {
	Responder
	// HandOver hands an attempt over, which Engine.EndAttempt has to end. It is called on the engine's goroutine and must not
	// block. Unless it was ended before, the engine ends the attempt as timed out when its time is over.
	HandOver(*Attempt)
	// Released is called once, when the engine holds this chooser no more.
	Released()
}

// SetOutcomeCache makes the engine remember how choosers' calls ended that may have run and must not run twice: so many
// of them, each for so long after its end. A proxy that comes again with such an id gets no new attempt. It is called
// before Run, where there are choosers.
func (e *Engine) SetOutcomeCache(most int, keep time.Duration) {
	e.ended, e.keep = outcomecache.New[AnswerKind](most), keep
	e.neverRan = outcomecache.New[struct{}](most)
}

// EndAttempt tells how an attempt that was handed to a chooser ended. Only the first word counts.
func (e *Engine) EndAttempt(o Outcome) { e.Post(o) }

// RejectAttempt says that an attempt was not handed over, because its server takes nothing new any more or its time is over,
// while the chooser's side still waits: it gets another attempt or the final answer.
func (e *Engine) RejectAttempt(a *Attempt) { e.Post(attemptRejected{a}) }

// Abandon says that a chooser's side is gone and holds no attempt of the call under that id: one that was made for it
// meanwhile was never handed over. Another try may have taken the call over since, which goes on.
func (e *Engine) Abandon(id string, by ExternalCaller) { e.Post(abandoned{id, by}) }

// resume takes a call that is a further try of a request which is known. It reports whether the call was one.
func (e *Engine) resume(c *Call) bool {
	if e.ended != nil {
		switch kind, known := e.ended.Get(e.clock.Now(), c.ID); {
		case known && kind == Failed: // it may have run, and its final answer was given
			e.reject(c, Answer{Kind: Failed})
			return true
		case known:
			e.reject(c, Answer{Kind: Conflict})
			return true
		}
	}
	old := e.calls[c.ID]
	if old == nil || old.external == nil || old.closed.Load() || !old.sameAs(c) {
		return false
	}
	if old.inFlight > 0 {
		if c.CallerAttempt <= old.CallerAttempt || old.CallerAttempt == 0 {
			return false // nothing says that the earlier try is over
		}
		e.attemptEnded(Outcome{Attempt: old.lastAttempt, Result: balancer.Cancelled, Report: balancer.NoReport})
		if old.closed.Load() {
			e.reject(c, Answer{Kind: Conflict})
			return true
		}
	}
	old.release()
	old.Responder, old.external, old.CallerAttempt, old.Candidates = c.Responder, c.external, c.CallerAttempt, c.Candidates
	e.decide(balancer.Retry{Request: c.ID, AllowedServers: old.candidates()})
	return true
}

// fullRetry is when to come back to a chooser whose door is full.
const fullRetry = time.Second

// takesNew reports whether a chooser's call of which nothing is known can be taken as a new request; else it is answered. A
// refusal promises that trying again is harmless: of this try that is true, but its front knows only the try. So it is
// worded here, where the request is known. One that comes as a further try, while nothing is remembered of the ones before
// (the memory was full, or the agent has started anew), may have run: if it must not run twice it has failed.
func (e *Engine) takesNew(c *Call) bool {
	if c.Effect != balancer.Idempotent && e.neverRan != nil {
		now := e.clock.Now()
		_, known := e.neverRan.Get(now, c.ID)
		if c.CallerAttempt > 1 && !known {
			e.reject(c, Answer{Kind: Failed})
			return false
		}
		if known { // no longer: this try may run, and how it ends may be forgotten before that it never had
			e.neverRan.Put(now, c.ID, struct{}{}, now)
		}
	}
	if c.AtCapacity && c.earlier.MayHaveRun {
		e.reject(c, Answer{Kind: Failed})
		return false
	}
	if c.AtCapacity {
		e.cameToNothing(c)
		e.reject(c, Answer{Kind: Rejected, RetryAfter: fullRetry})
		return false
	}
	return true
}

// cameToNothing remembers that no try of a chooser's call can have run, so that a further one is as good as the first.
func (e *Engine) cameToNothing(c *Call) {
	if e.neverRan != nil && c.external != nil && c.Effect != balancer.Idempotent {
		now := e.clock.Now()
		e.neverRan.Put(now, c.ID, struct{}{}, now+e.keep)
	}
}

// sameAs reports whether the two can be tries of one request.
func (c *Call) sameAs(other *Call) bool {
	return c.Class == other.Class && c.Tenant == other.Tenant && c.Key == other.Key && c.IdempotencyKey == other.IdempotencyKey
}

// choose hands an attempt to its chooser. What a proxy never ends is ended when its time is over.
func (e *Engine) choose(c *Call, a *Attempt, tie BindingCommit) {
	c.lastAttempt = a
	a.expiry = time.AfterFunc(a.Deadline-a.Sent, func() {
		e.Post(Outcome{Attempt: a, Result: balancer.TimedOut, Report: balancer.NoReport})
	})
	if tie == nil {
		c.external.HandOver(a)
		return
	}
	e.attempts.Go(func() {
		e.wait(tie)
		e.Post(bindingCommitted{a})
	})
}

// handOver hands an attempt to its chooser, unless it was ended while its tie was being kept: its proxy has left then, or
// another try has taken the call over.
func (e *Engine) handOver(a *Attempt) {
	if !a.ended && !a.Call.closed.Load() {
		a.Call.external.HandOver(a)
	}
}

// rechoose ends an attempt that was not handed over and asks for another.
func (e *Engine) attemptRejected(a *Attempt) {
	if a.ended {
		return
	}
	e.withdrawAttempt(a)
	if c := a.Call; !c.closed.Load() {
		e.decide(balancer.Retry{Request: c.ID, AllowedServers: c.candidates()})
	}
}

// withdraw ends an attempt that no proxy has seen.
func (e *Engine) withdrawAttempt(a *Attempt) {
	e.attemptEnded(Outcome{Attempt: a, Result: balancer.NotSent, Report: balancer.NoReport})
	a.Call.attemptsEnded--
}

// abandon ends what a chooser has left. As long as no attempt was handed over nothing is gained by keeping the request;
// else a further try may come, and is to be told from a new request.
func (e *Engine) callAbandoned(left abandoned) {
	c := e.calls[left.id]
	if c == nil || c.external != left.by {
		return // another try took over, or it is over
	}
	if c.inFlight > 0 {
		e.withdrawAttempt(c.lastAttempt)
	}
	if c.attemptsEnded == 0 && !c.closed.Load() {
		c.closed.Store(true)
		e.cameToNothing(c)
		e.passed(c, admission.OutcomeCanceled)
		e.decide(balancer.ClientDisconnected{Request: c.ID})
		e.forget(c)
	}
}

// remember keeps how a call ended whose effect must not be repeated by a later try.
func (e *Engine) remember(c *Call, kind AnswerKind) {
	if e.ended == nil || c.external == nil || c.Effect == balancer.Idempotent {
		return
	}
	if kind == Rejected {
		if c.mayHaveRunSince == 0 {
			e.cameToNothing(c)
		}
		return
	}
	if kind == Conflict {
		return
	}
	now := e.clock.Now()
	e.ended.Put(now, c.ID, kind, now+e.keep)
}

// release tells the chooser that the engine holds it no more.
func (c *Call) release() {
	if c.external != nil {
		c.external.Released()
	}
}
