package engine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"appleledge/internal/balancer"
)

// Transport makes attempts.
type Transport interface {
	// RoundTrip makes one attempt and returns how it ended, exactly: one that may have run is never said not to have. It runs in a
	// goroutine of its own, may block, and ends with the context or at the attempt's Deadline.
	RoundTrip(ctx context.Context, a *Attempt) Outcome
}

// AsyncTransport is a Transport that does not block: it starts an attempt, and Engine.Handle with an Outcome ends it.
// Simulations use it.
type AsyncTransport interface {
	Transport
	// Start is called on the engine's goroutine in place of RoundTrip, and must not block.
	Start(*Attempt)
}

// Attempt is one sending of a call to one server.
type Attempt struct {
	Call          *Call
	Number        int // from 0
	Server        string
	Incarnation   Incarnation   // of the server, when the attempt was made
	Sent          time.Duration // when the attempt was made
	Deadline      time.Duration // when to stop waiting
	WriteDeadline time.Duration // when it is too late to begin, or to write a body that was held back: ClientDeadline, or earlier for a keyed repeat

	ConnectedSince time.Duration // only a connection that was open then already may be used; 0: any
	Forbidden      bool          // it must not be sent: nobody may be left who would drop it as a repeat
	IsKeyedRepeat  bool          // it repeats, under an idempotency key, what may have run
	Original       *Attempt      // of a keyed repeat: the first attempt that may have run; nil: this process has made none

	writtenAt     atomic.Int64  // when it was written completely, on the engine's clock; 0: not, or not told
	brokenAt      atomic.Int64  // when its connection ended without an answer, on the engine's clock; 0: it has not
	phase         atomic.Int32  // its AttemptPhase
	phaseSince    atomic.Int64  // when that has begun, on the engine's clock; 0: when it was made
	responseBytes atomic.Int64  // of its body that have come
	isRead        atomic.Bool   // its server has shown that it has read it, or will never read it
	isUncertain   atomic.Bool   // it may have gone to another process than its server
	isOverBudget  bool          // it is Forbidden by the fleet's retry budget
	ended         bool          // its outcome is known
	isBound       bool          // the table of bindings counts it
	expiry        *time.Timer   // of an external caller's: ends it at Deadline
	bodySentAt    time.Duration // when the server had it complete, where its body was read meanwhile; else 0
	engine        *Engine       // nil of an attempt that none made
	commit        BindingCommit // to be waited for before the first byte goes out; nil: nothing
}

// MarkWritten says that the attempt was written completely. It may be called from any goroutine, once.
func (a *Attempt) MarkWritten() {
	if a.engine != nil {
		a.writtenAt.Store(int64(a.engine.clock.Now()))
		a.engine.counters.written()
	}
}

// MarkBroken says when the connection of the attempt ended without an answer, or was given up. It may be called from any goroutine.
func (a *Attempt) MarkBroken(at time.Duration) { a.brokenAt.Store(int64(at)) }

// BrokenAt returns what MarkBroken was told; 0: it was not called.
func (a *Attempt) BrokenAt() time.Duration { return time.Duration(a.brokenAt.Load()) }

// MarkRead says that the server has shown that it has read the attempt, or that it will never read it. It may be called from any
// goroutine.
func (a *Attempt) MarkRead() { a.isRead.Store(true) }

// IsRead reports whether MarkRead was called.
func (a *Attempt) IsRead() bool { return a.isRead.Load() }

// SetServerUncertain says whether the attempt may go to another process than its server, which has come up at the address. It is called before
// the first byte is written, from any goroutine.
func (a *Attempt) SetServerUncertain(isUncertain bool) { a.isUncertain.Store(isUncertain) }

// IsServerUncertain reports what SetServerUncertain was told.
func (a *Attempt) IsServerUncertain() bool { return a.isUncertain.Load() }

// WrittenAt returns when the attempt was written completely, or made where that was not told.
func (a *Attempt) WrittenAt() time.Duration { return max(a.Sent, time.Duration(a.writtenAt.Load())) }

// ClientDeadline returns when the client in whose name the attempt is made will have given up its answer, or Deadline if that is sooner. The
// attempt of a flight may be waited for longer than that, for the calls that share its answer.
func (a *Attempt) ClientDeadline() time.Duration {
	if leader := a.Call.leader; leader != nil {
		return min(a.Deadline, leader.Deadline)
	}
	return a.Deadline
}

// waited is for how long the server has had the attempt. Of a transport that does not tell when it wrote it, that is counted from
// when the attempt was made.
func (a *Attempt) waited(now time.Duration) time.Duration {
	return now - max(a.WrittenAt(), a.bodySentAt)
}

// MayEndUpload reports whether the last part of an Upload may be written: its server can run the request from then on. It blocks until the
// binding of the request's idempotency key counts from now. It may be called from any goroutine but the engine's.
func (a *Attempt) MayEndUpload() bool {
	if !a.isBound || a.engine == nil {
		return true
	}
	reply := make(chan uploadPermit, 1)
	a.engine.Post(uploadEnding{a, reply})
	select {
	case permit := <-reply:
		a.engine.awaitCommit(permit.commit)
		return permit.maySend
	case <-a.engine.Done():
		return false
	}
}

// UploadFinished says that the last byte of an Upload was written, and when the client will have given up its answer. It may
// be called from any goroutine but the engine's.
func (a *Attempt) UploadFinished(deadline time.Duration) {
	if a.engine != nil {
		a.engine.Post(bodySent{a, deadline})
	}
}

// Outcome is how an attempt ended. Every attempt gets exactly one.
type Outcome struct {
	Attempt     *Attempt
	Result      balancer.Result
	Report      balancer.Report
	Payload     any  // of an OK: what the client gets
	Private     bool // of an OK: the server says that it is for this client alone
	Unread      bool // of a NotSent: the server was sent its head and did not ask for its body in time
	HeadWritten bool // of a ConnectFailed: the connection was there, and broke behind the head
	// OriginalUnread says of a NotSent that nothing shows that the server of the first attempt has read that.
	OriginalUnread bool
	// OmitsContinue says that the server is known not to ask for the body of a request whose head it has read.
	OmitsContinue bool
	// FromOtherServer says that the result is that of a server which the balancer did not choose. What the chosen one did is
	// not known then, nor where the request may have run.
	FromOtherServer bool
}

// send makes an attempt and starts it.
func (e *Engine) send(act balancer.Action) {
	c := e.calls[act.Request]
	e.logRetry(c, act)
	e.counters.attemptSent(c, act.WarmingUp)
	earlierSent := c.mayHaveRunSince
	act.TakeDelay += e.balancer.Tick() // what a server sees may be as late as a tick of its clock
	a := c.newAttempt(act, e.clock.Now())
	a.Incarnation, a.engine = e.pool.Incarnation(act.Server), e
	for _, h := range e.attemptHooks {
		if h != nil {
			h.attemptStarting(a, earlierSent)
		}
	}
	if c.external != nil {
		e.external.handOver(a)
		return
	}
	if t, ok := c.Transport.(AsyncTransport); ok {
		t.Start(a)
		return
	}
	e.attempts.Go(func() { // of its own: a server that doesn't answer must hold up nothing else
		e.awaitBinding(a)
		e.Post(c.Transport.RoundTrip(e.ctx, a))
	})
}

// newAttempt makes the next attempt of the call.
func (c *Call) newAttempt(act balancer.Action, now time.Duration) *Attempt {
	a := &Attempt{Call: c, Number: c.attemptsMade, Server: act.Server, Sent: now, Deadline: c.Deadline}
	if act.After > 0 {
		a.Deadline = min(a.Deadline, now+act.After)
	}
	a.WriteDeadline = a.ClientDeadline()
	if c.mayHaveRunSince != 0 && c.IdempotencyWindow > 0 { // the balancer judges by the time now, but the dial may outlast the window
		windowEnd := c.mayHaveRunSince + c.IdempotencyWindow
		a.Deadline = min(a.Deadline, windowEnd) // a server that rejects what was given up may take it later, and must not run it
		a.WriteDeadline = min(a.Deadline, windowEnd-act.TakeDelay)
		a.IsKeyedRepeat, a.Original = true, c.original
	}
	c.noteSend(a)
	c.latestAttempt = a
	c.attemptsMade++
	c.inFlight++
	return a
}

// attemptEnded takes the outcome of an attempt: it answers the call if this decides it, and tells the balancer, which may
// retry.
func (e *Engine) attemptEnded(o Outcome) {
	a, c := o.Attempt, o.Attempt.Call
	if a.ended { // an external caller's outcome and the expiry of the attempt may cross
		return
	}
	a.ended = true
	if a.expiry != nil {
		a.expiry.Stop()
	}
	e.counters.attemptEnded(o.Result)
	result, report := o.Result, o.Report
	if o.FromOtherServer { // it must not count for or against the chosen server
		result, report = balancer.Cancelled, balancer.NoReport
	}
	for _, h := range e.attemptHooks {
		if h != nil {
			h.attemptEnded(o, result)
		}
	}
	c.attemptEnded(a, result)
	if answer, final := c.answerTo(o); final {
		e.finish(c, answer)
	}
	e.decide(balancer.Outcome{Request: c.ID, Attempt: a.Number, Server: a.Server, Result: result,
		Latency: e.clock.Now() - max(a.Sent, a.bodySentAt), Waited: a.waited(e.clock.Now()), RequestClosed: c.closed.Load() || c.isLeaderless, Report: report,
		RetryForbidden: a.isOverBudget, Unread: o.Unread, OriginalUnread: o.OriginalUnread, HeadWritten: o.HeadWritten, OmitsContinue: o.OmitsContinue})
	e.endLeaderless(c)
	if c.Upload != nil && !c.closed.Load() {
		e.decide(balancer.Retry{Request: c.ID, AllowedServers: c.allowedServers()})
	}
	e.forget(c)
}

// attemptEnded counts an attempt as over.
func (c *Call) attemptEnded(a *Attempt, result balancer.Result) {
	c.inFlight--
	c.attemptsEnded++
	c.lastResult = result
	if result.ProvesNotRun() {
		c.withdrawSend(a)
	}
}

// noteSend notes an attempt that is sent and may run.
func (c *Call) noteSend(a *Attempt) {
	if c.mayHaveRunSince == 0 {
		c.mayHaveRunSince, c.original = a.Sent, a
		return
	}
	c.laterSends = append(c.laterSends, a)
}

// withdrawSend takes back the send of an attempt that has not run. The call may have run since the next of the others.
func (c *Call) withdrawSend(a *Attempt) {
	switch i := slices.Index(c.laterSends, a); {
	case i >= 0:
		c.laterSends = slices.Delete(c.laterSends, i, i+1)
	case c.original != a:
	case len(c.laterSends) > 0:
		c.original = c.laterSends[0]
		c.mayHaveRunSince = c.original.Sent
		c.laterSends = c.laterSends[1:]
	default:
		c.mayHaveRunSince, c.original = 0, nil
	}
}

// answerTo is the final answer to a call of which an attempt has ended so, if the outcome decides it without the balancer.
func (c *Call) answerTo(o Outcome) (answer Answer, final bool) {
	consumed := c.Upload != nil && c.Upload.Consumed() // a further attempt would need what is gone
	switch {
	case o.Result == balancer.OK:
		return Answer{Kind: Served, Payload: o.Payload, Private: o.Private}, true
	case consumed && (c.mayHaveRunSince == 0 || c.Effect == balancer.Idempotent):
		return Answer{Kind: Rejected, Reason: UnservedUploadConsumed}, true
	case consumed:
		return Answer{Kind: Failed, Reason: UnservedUploadConsumed}, true
	case (o.FromOtherServer || o.mayHaveRunElsewhere()) && c.Effect != balancer.Idempotent: // where it may be repeated is not known
		return Answer{Kind: Failed, Reason: UnservedOtherServer}, true
	}
	return Answer{}, false
}

// mayHaveRunElsewhere reports whether the attempt may have run at another process than its server.
func (o Outcome) mayHaveRunElsewhere() bool {
	return o.Attempt.IsServerUncertain() && o.Result != balancer.Cancelled && !o.Result.ProvesNotRun()
}

// bodySent notes that a server has an attempt complete: from now on it owes the answer.
func (e *Engine) bodySent(b bodySent) {
	if a := b.attempt; !a.ended {
		a.bodySentAt = e.clock.Now()
		e.decide(balancer.BodySent{Request: a.Call.ID, Attempt: a.Number, Deadline: b.deadline})
	}
}
