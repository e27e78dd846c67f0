package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/generation"
)

// Call is a client's request, whatever protocol it came by. A downstream server fills it in and hands it to Engine.Arrive;
// from then on the exported fields are only read. The engine gives Responder one final answer, unless the client leaves first.
type Call struct {
	ID                string
	Class, Tenant     int
	Key               string          // what the request is about; may be empty
	Deadline          time.Duration   // when the request is ended, on the engine's clock
	ClientRetry       bool            // the client marks it as its own retry
	Effect            balancer.Effect // of its class
	IdempotencyWindow time.Duration   // of a class idempotent by key: how long after the first attempt a retry may begin; else 0
	IdempotencyKey    string          // by which servers recognize repeats; may be empty
	SettingsVersion   int             // of the settings by which Class was chosen
	MaxAttempts       int             // 0: as many as the balancer allows
	Payload           any             // what the downstream server read, for the transport
	Transport         Transport       // of its attempts; nil where the responder is an ExternalCaller
	Responder         Responder
	CoalesceDigest    *coalesce.Digest // identity of what it asks, where it may share an answer with equal calls; else nil
	Upload            Upload           // its body, where that is read while it is forwarded; nil where it is there complete
	HasClientLeft     func() bool      // looks at the client's connection, from any goroutine; nil: only ClientLeft tells

	// Read only where configuration generations are switched on:
	Path   string
	Header map[string][]string // canonical names; only read

	// Of calls whose responder is an ExternalCaller:
	Candidates    []string // ids of the servers to choose among, sorted; nil: any
	CallerAttempt int      // which of the caller's own attempts this is, from 1; 0 where it does not say
	AtCapacity    bool     // there is no capacity for a new request: it is taken only as an attempt of one that is known

	closed     atomic.Bool // has its answer, or the client left; set by the engine, and by Close
	clientGone atomic.Bool // the client left, which the engine may not have handled yet

	// Owned by the engine's goroutine:
	attemptsMade    int
	inFlight        int             // attempts without an outcome
	attemptsEnded   int             // attempts that were handed over and have ended
	lastResult      balancer.Result // of the attempt that ended last, where one has
	mayHaveRunSince time.Duration   // when the first attempt was sent that may have run; 0 without one
	original        *Attempt        // that attempt; nil without one, and where it was made under another id
	laterSends      []*Attempt      // the others that may have run, in order
	external        ExternalCaller  // the responder, where it is one
	latestAttempt   *Attempt        // that was made; nil before
	lastAttempt     *Attempt        // the latest attempt of an external caller's call
	arrivedAt       time.Duration   // when the engine got its arrival
	isCountedOpen   bool            // counters has it as open
	isIDClaimed     bool            // other processes of the agent were told that it uses its id
	leader          *Call           // of a flight, which stands for coalesced calls: the one in whose name its attempts are made; else nil
	isLeaderless    bool            // of a flight: the leader is over, so that no attempt begins any more
	member          *coalesce.Member[*Call]
	permit          *admission.Permit // of one that admission let in
	binding         generation.Binding
	affinityKey     affinity.Key            // of a call with an idempotency key, where bindings are kept
	earlier         balancer.EarlierAttempt // what may have run of it under another id
}

// Upload is a request body of which a part is read while the request is forwarded.
type Upload interface {
	// Consumed reports whether something was read that a further attempt would need.
	Consumed() bool
}

// Closed reports whether the call needs no answer any more. It may be asked from any goroutine, and looks whether the client is still there: the
// news that it is not may be on its way.
func (c *Call) Closed() bool {
	return c.closed.Load() || c.clientGone.Load() || c.HasClientLeft != nil && c.HasClientLeft() || c.leader != nil && c.leader.Closed()
}

// Close marks a call as over, so that no attempt of it begins any more.
func (c *Call) Close() { c.closed.Store(true) }

// Arrive hands over a call.
func (e *Engine) Arrive(c *Call) { e.Post(callArrived{c}) }

// ClientLeft says that nobody waits for the call's answer any more. No attempt of it begins after ClientLeft was called.
func (e *Engine) ClientLeft(c *Call) {
	c.clientGone.Store(true) // at once: the event may wait behind one that would send the call
	e.Post(clientLeft{c})
}

// ForceAnswer makes the engine answer the call at once for that reason: failed if an attempt may have run, rejected otherwise.
func (e *Engine) ForceAnswer(c *Call, reason UnservedReason) { e.Post(answerForced{c, reason}) }

// arrive takes a new call. A second one under the id of an open call is refused with Conflict: events could not tell the two
// apart. So is one under the id of a call that may have run and must not run twice.
func (e *Engine) arrive(c *Call) {
	c.arrivedAt = e.clock.Now()
	if c.external, _ = c.Responder.(ExternalCaller); c.external != nil && e.external.resume(c) {
		return
	}
	e.counters.arrived(c)
	if e.hasUsedID(c) {
		e.reject(c, Answer{Kind: Conflict, Reason: UnservedDuplicateID})
		return
	}
	if e.claimID(c) {
		e.passHooks(c)
	}
}

// passHooks submits a call that no hook answers or takes over.
func (e *Engine) passHooks(c *Call) {
	for _, h := range e.callHooks {
		if h != nil && !h.callArrived(c) {
			return
		}
	}
	e.submit(c)
}

// submit asks admission and then the balancer for a call.
func (e *Engine) submit(c *Call) {
	e.calls[c.ID] = c
	if c.SettingsVersion < e.settingsVersion-1 { // only the classes before the present ones are known
		e.finish(c, Answer{Kind: c.unservedKind(), Reason: UnservedOldSettings})
		return
	}
	if !e.admit(c) {
		return
	}
	e.decide(balancer.Request{UsesPreviousClasses: c.SettingsVersion < e.settingsVersion, ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key,
		Deadline: c.Deadline, IsClientRetry: c.ClientRetry, AllowedServers: c.allowedServers(),
		ManualRetry: c.external != nil || c.Upload != nil, StreamsBody: c.Upload != nil,
		MaxAttempts: stricterLimit(c.MaxAttempts, c.binding.MaxAttempts), Earlier: c.earlier})
}

// stricterLimit is the lower of two limits, of which 0 states none.
func stricterLimit(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// clientLeft ends a call for whose answer nobody waits.
func (e *Engine) clientLeft(c *Call) {
	if c.closed.Swap(true) {
		return
	}
	e.counters.clientLeft(c)
	e.rememberID(c)
	e.releaseGeneration(c, generation.ClientCanceled)
	if c.member != nil {
		e.coalescer.leave(c)
		return
	}
	e.releasePermit(c, admission.OutcomeCanceled)
	e.cancel(c)
}

// cancel ends a closed call at admission and the balancer, as if its client had left.
func (e *Engine) cancel(c *Call) {
	e.releasePermit(c, admission.OutcomeCanceled)
	e.decide(balancer.ClientDisconnected{Request: c.ID})
	e.forget(c)
}

// forceAnswer answers a call at once.
func (e *Engine) forceAnswer(c *Call, reason UnservedReason) {
	if c.closed.Load() {
		return
	}
	e.finish(c, Answer{Kind: c.unservedKind(), Reason: reason})
	if c.member != nil { // only idempotent calls are coalesced: Rejected is true of it
		e.coalescer.leave(c)
		return
	}
	e.decide(balancer.ClientDisconnected{Request: c.ID})
}

// unservedKind is the kind of the final answer to a call that the engine ends by itself. What may have run has failed: a rejection
// would promise that a retry is harmless.
func (c *Call) unservedKind() AnswerKind {
	if c.mayHaveRunSince != 0 || c.earlier.MayHaveRun {
		return Failed
	}
	return Rejected
}

// allowedServers are the ids of the servers that a call may go to, sorted; nil: any. They are those of its pool and of its
// caller's choice. The pool is that of the configuration that the call is bound to, for all of its attempts.
func (c *Call) allowedServers() []string {
	pool := c.binding.ServerIDs()
	switch {
	case c.permit != nil && c.permit.Endpoints != nil && pool == nil && c.Candidates == nil && !c.earlier.MayHaveRun:
		return c.permit.Endpoints
	case pool == nil, c.earlier.MayHaveRun: // what may have run goes to its pod, whatever the configuration makes of others
		return c.Candidates
	case c.Candidates == nil:
		return pool
	}
	both := []string{}
	for _, id := range c.Candidates {
		if _, in := slices.BinarySearch(pool, id); in {
			both = append(both, id)
		}
	}
	return both
}
