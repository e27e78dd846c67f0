package engine

import (
	"time"

	"appleledge/internal/generation"
)

// Responder takes the final answer of a call.
type Responder interface {
	// Answer is called at most once, on the engine's goroutine, and must not block.
	Answer(Answer)
}

// AnswerKind says how a call ended. Answer.Reason says why one was not served; the counters of the rule that has rejected it
// (balancer.ReasonNames, admission, recovery, overload, generation, coalescing) say how often.
type AnswerKind int

// The kinds of final answers.
const (
	Served   AnswerKind = iota // Payload is what a server made for it
	Rejected                   // a retry is harmless: nothing ran, or the call is idempotent
	Failed                     // it may have run: no promise about its effect
	Conflict                   // duplicate id: another call is in flight under it, or has ended a short time ago
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	Payload    any            // of a Served one, from the transport
	Private    bool           // of a Served one: it was made for this client alone
	RetryAfter time.Duration  // after which the client may retry; 0: not stated
	Limit      int            // of a Rejected one: the limit of requests in flight that it met; 0: not stated
	Reason     UnservedReason // of one that is not Served
}

// Discarder is a payload that holds a resource until it is used or discarded.
type Discarder interface{ Discard() }

func discard(payload any) {
	if d, ok := payload.(Discarder); ok {
		d.Discard()
	}
}

// reject answers a call that the balancer never sees.
func (e *Engine) reject(c *Call, a Answer) {
	c.closed.Store(true)
	e.counters.answered(e.clock.Now(), c, a.Kind)
	e.logUnserved(c, a)
	c.Responder.Answer(a)
	c.release()
}

// finish gives a call its answer, unless it has one; then the answer is discarded. c may be nil.
func (e *Engine) finish(c *Call, a Answer) {
	if c == nil || c.closed.Load() {
		discard(a.Payload)
		return
	}
	c.closed.Store(true)
	e.releasePermit(c, admissionOutcomes[a.Kind])
	e.releaseGeneration(c, generationOutcomes[a.Kind])
	if c.leader == nil {
		e.counters.answered(e.clock.Now(), c, a.Kind)
	}
	e.logUnserved(c, a)
	c.Responder.Answer(a)
	e.external.rememberAnswer(c, a.Kind)
	if a.Kind != Rejected {
		e.rememberID(c)
	}
	e.forget(c)
}

// forget drops a call that is closed. While attempts are in flight it is kept: the balancer still learns from their outcomes.
func (e *Engine) forget(c *Call) {
	if c.closed.Load() && c.inFlight == 0 && e.calls[c.ID] == c {
		e.releaseGeneration(c, generation.ClientCanceled) // one that was closed by Call.Close still holds its binding
		e.releaseID(c)
		e.counters.forgotten(c)
		delete(e.calls, c.ID)
		c.release()
	}
}
