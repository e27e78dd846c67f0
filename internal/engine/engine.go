// Package engine owns the decision module: the life of each call and its attempts, the timers, and the one final
// answer. One goroutine does it all. The engine knows no protocol: a call carries a payload that only its front and
// its carrier read.
package engine

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/generation"
	"appleledge/internal/outcomecache"
)

// Call is a client's request, by whatever front it came. A front fills it in and hands it to Engine.Arrive; the
// engine gives it to Responder once, as one final answer, unless the client leaves first.
type Call struct {
	ID                string
	Class, Tenant     int
	Key               string          // what the request is about; may be empty
	Deadline          time.Duration   // when the request is ended, on the engine's clock
	ClientRetry       bool            // the client's own repeat
	Effect            balancer.Effect // of its class
	IdempotencyWindow time.Duration   // of a keyed class: how long after the first attempt another may begin; else 0
	IdempotencyKey    string          // by which servers tell repeats; may be empty
	SettingsVersion   int             // the number of the settings under which the class is what it is
	MaxAttempts       int             // that it may have; 0: as many as the module says
	Payload           any             // what the front took, for the carrier
	Transport         Transport       // of its attempts; nil where the caller is a Chooser
	Responder         Responder
	CoalesceDigest    *coalesce.Digest // what it asks, where it may be answered together with others; else nil
	Upload            Upload           // what still comes of it, while it is sent on; nil where it is there whole

	// Read where a configuration is in force:
	Path   string
	Header map[string][]string // canonical names; only read

	// Of calls whose caller is a Chooser:
	Candidates    []string // ids of the servers to choose among, sorted; nil: any
	CallerAttempt int      // which of the caller's own tries this is, from 1; 0 where it does not say
	AtCapacity    bool     // there is no room for a new request: it is taken only as a try of one that is known

	closed     atomic.Bool // has its answer, or the client left; set by the engine only
	clientGone atomic.Bool // the client left, of which the engine may not have heard yet

	// The engine's own:
	attemptsMade, inFlight int            // attempts made and in flight
	mayHaveRunSince        time.Duration  // when the first attempt was sent that may have run; 0 without one
	external               ExternalCaller // the Caller, where it is one
	attemptsEnded          int            // attempts that ended and had been handed over
	lastAttempt            *Attempt       // the latest attempt of a chooser's call
	member                 *coalesce.Member[*Call]
	permit                 *admission.Permit // of one that a door let in
	arrivedAt              time.Duration     // when the engine was told of it
	isCountedOpen          bool              // the tally has it as open
	isFlight               bool              // it is a flight of joined calls, and nobody's own
	binding                generation.Binding
	affinityKey            affinity.Key            // of a keyed call, where ties are kept
	earlier                balancer.EarlierAttempt // what may have run of it under another id
}

// Closed reports whether the call needs no answer any more. It may be asked from any goroutine.
func (c *Call) Closed() bool { return c.closed.Load() || c.clientGone.Load() }

// Close marks a call as over, so that no attempt of it begins any more.
func (c *Call) Close() { c.closed.Store(true) }

// Upload is a request of which a part is to be read while it is sent on.
type Upload interface {
	// Consumed reports whether something was read that a further attempt would need.
	Consumed() bool
}

// Discarder is a payload that holds something on until it is used or discarded.
type Discarder interface{ Discard() }

func discard(payload any) {
	if d, ok := payload.(Discarder); ok {
		d.Discard()
	}
}

// Responder waits for the final answer of a call.
type Responder interface {
	// Answer is called at most once, on the engine's goroutine, and must not block.
	Answer(Answer)
}

// AnswerKind says how a call ended.
type AnswerKind int

// The kinds of final answers.
const (
	Served   AnswerKind = iota // Payload is what a backend made for it
	Rejected                   // trying again is harmless
	Failed                     // no promise about its effect
	Conflict                   // another call is open under the same id; this one was never looked at
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	Payload    any           // of a Served one, from the carrier
	Private    bool          // of a Served one: it was made for this caller alone
	RetryAfter time.Duration // when to come back; 0 where nothing is said
	Limit      int           // of a Refused one: so many are let in at a time; 0 where nothing is said
}

// Transport makes attempts.
type Transport interface {
	// RoundTrip makes one attempt and returns how it ended, exactly: what may have run is never said not to have. It
	// runs in a goroutine of its own and ends with the context, or at the attempt's Until.
	RoundTrip(ctx context.Context, a *Attempt) Outcome
}

// AsyncTransport is a Transport that does not wait: it begins an attempt, and Engine.Handle with an Outcome ends it. Simulations
// carry so.
type AsyncTransport interface {
	Transport
	// Start is called on the engine's goroutine and must not block.
	Start(*Attempt)
}

// Attempt is one Send of the module: a call on its way to one server.
type Attempt struct {
	Call          *Call
	Number        int
	Server        string
	Incarnation   Incarnation // the server's, at the time of the Send
	Sent          time.Duration
	Deadline      time.Duration // when to stop waiting
	WriteDeadline time.Duration // when it is too late to begin: at Until, or earlier for a keyed request sent before

	Forbidden      bool          // it must not be sent: nobody may be left who would drop it as a repeat
	ConnectedSince time.Duration // only over a connection that was there then already; 0: over any

	ended      bool        // its outcome is known
	isBound    bool        // the table of ties counts it
	expiry     *time.Timer // of a chooser's: tells that Until has come
	tally      *counters
	bodySentAt time.Duration // when the server had it whole
	tell       func(Event)   // the engine; nil of an attempt that none made
}

// MarkWritten says that the attempt was written whole. It may be called from any goroutine, once.
func (a *Attempt) MarkWritten() {
	if a.tally != nil {
		a.tally.written()
	}
}

// UploadFinished says that the last byte of an Upload was written, and when the client will have given up its answer.
func (a *Attempt) UploadFinished(deadline time.Duration) {
	if a.tell != nil {
		a.tell(bodySent{a, deadline})
	}
}

// Outcome is how an attempt ended. Every attempt gets exactly one.
type Outcome struct {
	Attempt *Attempt
	Result  balancer.Result
	Report  balancer.Report
	Payload any  // of an OK: what the client gets
	Private bool // of an OK: the backend says that it is for this caller alone
	// FromOtherServer says that the result is that of a server which the module did not choose. What the chosen one did is
	// not known then, nor where the request may have run.
	FromOtherServer bool
}

// Member is a server of the list.
type Member struct {
	balancer.Server
	Addr string // host and port
	Kind string // of machine, as the list names it; may be empty
}

// Incarnation is one run of a server under one address, from its start to the next, as the ServerPool keeps it. The engine
// only passes it on: the transport that made it knows the type behind it. nil: the server is not known.
type Incarnation interface {
	// IsIncarnation marks the types that a ServerPool hands out; it is never called.
	IsIncarnation()
}

// ServerPool holds what transports need to reach the servers of the list.
type ServerPool interface {
	// Update takes the list or a change of it and returns how many servers are ready.
	Update(full bool, members []Member) (ready int)
	// Incarnation returns the present life of a server.
	Incarnation(server string) Incarnation
	// Close ends all connections.
	Close()
}

// Event is something that the engine is told: one of the types below, or an Outcome.
type Event interface{ event() }

type (
	// arrived brings a new request.
	callArrived struct{ call *Call }
	// unusable says that an attempt was not handed over to a chooser that still waits.
	attemptRejected struct{ attempt *Attempt }
	// abandoned says that a chooser ended with no attempt in its hands.
	abandoned struct {
		id string
		by ExternalCaller
	}
	// forceAnswer asks for the final answer of a call now.
	answerForced struct{ call *Call }
	// clientLeft says that nobody waits for the answer any more.
	clientLeft struct{ call *Call }
	// counted asks what is open.
	statsRequested struct{ reply chan<- Stats }
	// EndpointUpdate brings the list of servers or a change of it.
	EndpointUpdate struct {
		Full    bool
		Members []Member
		Drop    float64 // the share of requests that is to be turned away
	}
	// EndpointsUnavailable says that a subscription ended or could not be had.
	EndpointsUnavailable struct{}
	// SettingsChanged brings settings that have changed, and their number; what is switched on beside the module hears of the classes
	// as it needs them.
	SettingsChanged struct {
		balancer.ClassUpdate
		Version    int
		Coalescing []coalesce.Class
		Admission  []admission.Class
		Names      generation.Names
	}
	// uploaded says that the last byte of an attempt was written.
	bodySent struct {
		attempt  *Attempt
		deadline time.Duration
	}
	// commanded is work for the engine's goroutine.
	execution struct {
		do   func(time.Duration)
		done chan<- struct{}
	}
)

func (callArrived) event()          {}
func (attemptRejected) event()      {}
func (abandoned) event()            {}
func (clientLeft) event()           {}
func (answerForced) event()         {}
func (statsRequested) event()       {}
func (execution) event()            {}
func (SettingsChanged) event()      {}
func (bodySent) event()             {}
func (Outcome) event()              {}
func (EndpointUpdate) event()       {}
func (EndpointsUnavailable) event() {}

// Engine is the one goroutine that owns the module: events come in by a channel, and it carries out what the
// module decides. It does no I/O itself and waits for nothing but the next event or timer.
type Engine struct {
	balancer  *balancer.Balancer
	clock     Clock
	pool      ServerPool
	subscribe func()
	log       *slog.Logger
	events    chan Event
	done      chan struct{} // closed when the engine has ended
	ready     atomic.Bool   // there is a server to send to

	ctx             context.Context // of the attempts
	attempts        sync.WaitGroup
	calls           map[string]*Call // open, or with attempts in flight
	timers          timers
	ended           *outcomecache.Table[AnswerKind] // how choosers' calls ended that may have run; nil where there are no choosers
	neverRan        *outcomecache.Table[struct{}]   // those that ended, and of which no try can have run
	keep            time.Duration                   // for how long they are remembered
	coalescer       *coalescer                      // nil where nothing is joined
	admission       AdmissionController             // nil where all are let in
	counters        *counters                       // what is counted
	generations     *generationOverlay              // nil where no configuration is in force
	affinity        *affinityBinder                 // nil where none are kept
	denylist        *denylistOverlay                // nil where operators hold out nothing
	settingsVersion int                             // the number of those in force
	recovery        *recoveryOverlay                // nil where no recovery is switched on
	gossip          *gossipOverlay                  // nil where no word of others is heeded
	dropRatio       float64                         // the share of requests that the list wants turned away
}

const eventQueue = 1024

// New returns an engine round the module. It does nothing before Run.
func New(b *balancer.Balancer, c Clock, f ServerPool, log *slog.Logger) *Engine {
	return &Engine{balancer: b, clock: c, pool: f, log: log, subscribe: func() {},
		events: make(chan Event, eventQueue), done: make(chan struct{}), calls: map[string]*Call{}, counters: &counters{}}
}

// OnSubscribe sets what asks for the list of servers when the module wants it. It is called before Run, if at all.
func (e *Engine) OnSubscribe(ask func()) { e.subscribe = ask }

// Done is closed when the engine has ended: no call gets an answer from it any more.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Ready reports whether there is a server to send to.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Arrive hands over a call.
func (e *Engine) Arrive(c *Call) { e.Post(callArrived{c}) }

// ClientLeft says that nobody waits for the call's answer any more.
func (e *Engine) ClientLeft(c *Call) {
	c.clientGone.Store(true) // no attempt begins from here on, whatever the engine has to do first
	e.Post(clientLeft{c})
}

// ForceAnswer asks for a call's final answer now, whatever time it has left: the process ends. What may have run has failed.
func (e *Engine) ForceAnswer(c *Call) { e.Post(answerForced{c}) }

// Stats says what an engine holds.
type Stats struct {
	Calls    int            // open, or with attempts in flight
	InFlight map[string]int // attempts, by server
	// ForgottenEarly counts ended requests of choosers that a full table no longer remembers, before their time.
	ForgottenEarly uint64
	Coalescing     coalesce.Counts
	Admission      admission.Counts
	Counters       Counters
	Balancer       balancer.Stats
	Generation     generation.Status
	Affinity       affinity.Counts
	Recovery       *recovery.Status // nil where none is switched on
}

// Stats returns what the engine holds; it is empty once the engine has ended.
func (e *Engine) Stats() Stats {
	reply := make(chan Stats, 1)
	e.Post(statsRequested{reply})
	select {
	case l := <-reply:
		return l
	case <-e.done:
		return Stats{}
	}
}

func (e *Engine) stats() Stats {
	l := Stats{Calls: len(e.calls), InFlight: e.balancer.InFlight(), Balancer: e.balancer.Stats()}
	if e.ended != nil {
		l.ForgottenEarly = e.ended.Evicted()
	}
	if e.admission != nil {
		l.Admission = e.admission.Counts()
	}
	l.Counters = e.counters.snapshot()
	if e.coalescer != nil {
		l.Coalescing = e.coalescer.table.Counts()
	}
	if e.affinity != nil {
		l.Affinity = e.affinity.table.Counts()
	}
	l.Recovery = e.recoveryStatus()
	if e.generations != nil {
		l.Generation = e.generations.manager.Status(e.clock.Now())
	}
	return l
}

// Post hands an event to the engine, unless it has ended.
func (e *Engine) Post(ev Event) {
	select {
	case e.events <- ev:
	case <-e.done:
	}
}

// Start starts an engine that has no goroutine of its own: the caller brings each event by Step, and calls Step with nil
// when the time of Due has come. It is for simulations, in place of Run.
func (e *Engine) Start() { e.perform(e.balancer.Start(e.clock.Now())) }

// Handle handles an event, if there is one, and what is due.
func (e *Engine) Handle(ev Event) {
	if ev != nil {
		e.dispatch(ev)
	}
	e.fireTimers()
}

// CallArrived is a call as an event, for Step.
func CallArrived(c *Call) Event { return callArrived{c} }

// NextTimer is the time of the next timer, if there is one.
func (e *Engine) NextTimer() (at time.Duration, ok bool) {
	if len(e.timers) > 0 {
		at, ok = e.timers[0].due, true
	}
	if e.coalescer != nil {
		if due, is := e.coalescer.table.NextTimer(); is && (!ok || due < at) {
			at, ok = due, true
		}
	}
	if e.generations != nil {
		if due, is := e.generations.manager.NextTick(); is && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// Run handles events until the context ends, and returns when all attempts have.
func (e *Engine) Run(ctx context.Context) {
	defer e.attempts.Wait()
	defer e.pool.Close()
	defer close(e.done)
	e.ctx = ctx
	e.perform(e.balancer.Start(e.clock.Now()))
	wake := time.NewTimer(0)
	defer wake.Stop()
	var armed time.Duration // when the timer is set to wake
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			e.dispatch(ev)
			e.fireTimers()
			e.dispatchQueued()
		case <-wake.C:
			armed = 0
			e.fireTimers()
		}
		if due, ok := e.NextTimer(); ok && due != armed {
			armed = due
			wake.Reset(armed - e.clock.Now())
		}
	}
}

// dispatchQueued handles events that wait already, as many as the queue holds at most: then a look at the context is due.
func (e *Engine) dispatchQueued() {
	for range cap(e.events) {
		select {
		case ev := <-e.events:
			e.dispatch(ev)
			e.fireTimers()
		default:
			return
		}
	}
}

func (e *Engine) dispatch(ev Event) {
	switch ev := ev.(type) {
	case callArrived:
		e.arrive(ev.call)
	case Outcome:
		e.attemptEnded(ev)
	case attemptRejected:
		e.attemptRejected(ev.attempt)
	case statsRequested:
		ev.reply <- e.stats()
	case abandoned:
		e.callAbandoned(ev)
	case clientLeft:
		e.clientLeft(ev.call)
	case answerForced:
		e.forceAnswer(ev.call)
	case EndpointUpdate:
		e.setEndpoints(ev)
	case EndpointsUnavailable:
		e.decide(balancer.ListUnavailable{})
	case SettingsChanged:
		e.settingsChanged(ev)
	case bodySent:
		e.bodySent(ev)
	case execution:
		ev.do(e.clock.Now())
		close(ev.done)
	case BindingsRestored:
		e.affinity.table.Restore(e.clock.Now(), ev.Records)
	case bindingNotDurable:
		e.affinity.table.CountNotDurable()
	case bindingCommitted:
		e.handOver(ev.attempt)
	case gossipReceived:
		e.handleGossip(ev)
	case livenessChanged:
		if e.recovery != nil {
			e.recovery.SetLiveAgents(ev.alive)
		}
		if s := e.sharer(); s != nil {
			s.HandleLiveness(ev.alive)
		}
	case overloadReported:
		if s := e.sharer(); s != nil {
			besteffort.Ignore(s.HandlePayload(e.clock.Now(), ev.from, ev.body)) // what can't be read is counted there
		}
	}
}

// decide asks the module and carries out what it says.
func (e *Engine) decide(ev balancer.Event) { e.perform(e.balancer.Handle(e.clock.Now(), ev)) }

// arrive takes a new call. A second one under the id of one that is not over could not be told from it.
func (e *Engine) arrive(c *Call) {
	c.arrivedAt = e.clock.Now()
	if c.external, _ = c.Responder.(ExternalCaller); c.external != nil && e.resume(c) {
		return
	}
	e.counters.arrived(c)
	if e.calls[c.ID] != nil {
		e.reject(c, Answer{Kind: Conflict})
		return
	}
	e.tied(c)
	if c.external != nil && !e.takesNew(c) {
		return
	}
	if e.generations != nil && !e.bind(c) {
		return
	}
	if e.coalescer != nil && c.CoalesceDigest != nil && e.join(c) {
		return
	}
	e.submit(c)
}

// clientLeft ends a call for whose answer nobody waits.
func (e *Engine) clientLeft(c *Call) {
	if c.closed.Swap(true) {
		return
	}
	e.counters.clientLeft(c)
	if c.member != nil {
		e.leave(c)
		return
	}
	e.passed(c, admission.OutcomeCanceled)
	e.unbind(c, generation.ClientCanceled)
	e.decide(balancer.ClientDisconnected{Request: c.ID})
	e.forget(c)
}

// forceAnswer answers a call whose process ends.
func (e *Engine) forceAnswer(c *Call) {
	if c.closed.Load() {
		return
	}
	end := Answer{Kind: Rejected}
	if c.mayHaveRunSince != 0 || c.earlier.MayHaveRun {
		end.Kind = Failed
	}
	e.finish(c, end)
	if c.member != nil { // only what may be repeated at will is joined
		e.leave(c)
		return
	}
	e.decide(balancer.ClientDisconnected{Request: c.ID})
}

// ask brings a call to the module, past the door.
func (e *Engine) submit(c *Call) {
	e.calls[c.ID] = c
	if c.SettingsVersion < e.settingsVersion-1 { // what its class was then is not known any more; it was never sent
		e.finish(c, Answer{Kind: Rejected})
		return
	}
	if !e.admit(c) {
		return
	}
	e.decide(balancer.Request{UsesPreviousClasses: c.SettingsVersion < e.settingsVersion, ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Deadline: c.Deadline, IsClientRetry: c.ClientRetry,
		AllowedServers: c.candidates(), ManualRetry: c.external != nil || c.Upload != nil, StreamsBody: c.Upload != nil,
		MaxAttempts: fewest(c.MaxAttempts, c.binding.MaxAttempts), Earlier: c.earlier})
}

// fewest is the lower of two numbers of which 0 states none.
func fewest(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// retuned puts settings in force for what comes from now on.
func (e *Engine) settingsChanged(r SettingsChanged) {
	e.settingsVersion = r.Version
	e.decide(r.ClassUpdate)
	if e.coalescer != nil {
		e.coalescer.table.Retune(r.Coalescing)
	}
	if d, ok := e.admission.(retuner); ok {
		d.Retune(r.Admission)
	}
	if e.generations != nil {
		e.generations.manager.SetNames(r.Names)
	}
}

// reject answers a call that the module never sees.
func (e *Engine) reject(c *Call, a Answer) {
	c.closed.Store(true)
	e.counters.answered(e.clock.Now(), c, a.Kind)
	c.Responder.Answer(a)
	c.release()
}

func (e *Engine) attemptEnded(o Outcome) {
	a, c := o.Attempt, o.Attempt.Call
	if a.ended { // a chooser's own word and the end of its time may cross
		return
	}
	a.ended = true
	if a.expiry != nil {
		a.expiry.Stop()
	}
	e.counters.attemptEnded(o.Result)
	if e.recovery != nil {
		e.returned(o)
	}
	if s := e.sharer(); s != nil && !a.Forbidden {
		s.AttemptEnded(e.clock.Now(), a.Server, o.Result, o.Report)
	}
	served := o.Result == balancer.OK
	if o.FromOtherServer {
		o.Result, o.Report = balancer.Cancelled, balancer.NoReport
	}
	c.attemptEnded(o)
	if e.affinity != nil {
		e.affinity.ended(e.clock.Now(), a, o.Result)
	}
	c.attemptsEnded++
	spent := c.Upload != nil && c.Upload.Consumed()
	switch {
	case served:
		e.finish(c, Answer{Kind: Served, Payload: o.Payload, Private: o.Private})
	case spent && (c.mayHaveRunSince == 0 || c.Effect == balancer.Idempotent): // what it would need is gone
		e.finish(c, Answer{Kind: Rejected})
	case spent:
		e.finish(c, Answer{Kind: Failed})
	case o.FromOtherServer && c.Effect != balancer.Idempotent: // the group in which it may be repeated is not known
		e.finish(c, Answer{Kind: Failed})
	}
	e.decide(balancer.Outcome{Request: c.ID, Attempt: a.Number, Server: a.Server, Result: o.Result,
		Latency: e.clock.Now() - max(a.Sent, a.bodySentAt), RequestClosed: c.closed.Load(), Report: o.Report})
	if c.Upload != nil && !c.closed.Load() {
		e.decide(balancer.Retry{Request: c.ID, AllowedServers: c.candidates()})
	}
	e.forget(c)
}

// uploaded notes that a server has an attempt whole, which it owes the answer to from now on.
func (e *Engine) bodySent(u bodySent) {
	if a := u.attempt; !a.ended {
		a.bodySentAt = e.clock.Now()
		e.decide(balancer.BodySent{Request: a.Call.ID, Attempt: a.Number, Deadline: u.deadline})
	}
}

func (e *Engine) setEndpoints(l EndpointUpdate) {
	if e.generations != nil {
		l = e.generations.listed(l)
	}
	e.update(l)
}

// update brings the list of servers to the fleet and to the module.
func (e *Engine) update(l EndpointUpdate) {
	if e.denylist != nil {
		l = e.denylist.listed(l)
	}
	if e.gossip != nil {
		l = e.gossip.listed(e.clock.Now(), l)
	}
	e.bring(l)
}

// bring brings what is to be seen of a list to the fleet and to the module.
func (e *Engine) bring(l EndpointUpdate) {
	if e.affinity != nil {
		e.affinity.listed(l)
	}
	ready := e.pool.Update(l.Full, l.Members)
	if e.dropRatio = l.Drop; e.recovery != nil {
		l = e.recovery.listed(e.clock.Now(), l)
	}
	servers := make([]balancer.Server, len(l.Members))
	for i, m := range l.Members {
		servers[i] = m.Server
	}
	e.decide(balancer.ServerList{Full: l.Full, Servers: servers, DropRatio: l.Drop})
	if e.recovery != nil {
		e.remask()
	}
	if is := ready > 0; e.ready.Swap(is) != is {
		e.log.Info("backends to send to", "any", is, "ready", ready)
	}
}

// do carries out the module's actions. It makes no use of Cancel, Probe and Tell so far.
func (e *Engine) perform(actions []balancer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case balancer.Send:
			e.send(a)
		case balancer.Reject:
			e.counters.givenUp(a.Reason)
			e.finish(e.calls[a.Request], Answer{Kind: Rejected, RetryAfter: a.After})
		case balancer.Fail:
			e.counters.givenUp(a.Reason)
			e.finish(e.calls[a.Request], Answer{Kind: Failed})
		case balancer.SetTimer:
			heap.Push(&e.timers, timer{due: e.clock.Now() + a.After, token: a.Token})
		case balancer.Subscribe:
			e.subscribe()
		}
	}
}

// send starts an attempt in a goroutine of its own, so that a dead dial holds up nothing else.
func (e *Engine) send(act balancer.Action) {
	c := e.calls[act.Request]
	e.counters.attemptSent(c, act.WarmingUp)
	before := c.mayHaveRunSince
	a := c.newAttempt(act, e.clock.Now())
	if e.recovery != nil {
		e.recovery.repeats(c, a, before)
	}
	if s := e.sharer(); s != nil {
		if a.Forbidden = a.Forbidden || a.Number > 0 && !s.AllowsRetry(a.Sent); !a.Forbidden {
			s.AttemptSent(a.Sent, act.Server, a.Number > 0)
		}
	}
	a.Incarnation, a.tally, a.tell = e.pool.Incarnation(act.Server), e.counters, e.Post
	var tie BindingCommit
	if e.affinity != nil {
		tie = e.affinity.begin(e.clock.Now(), c, a)
	}
	if c.external != nil {
		e.choose(c, a, tie)
		return
	}
	if s, ok := c.Transport.(AsyncTransport); ok {
		s.Start(a)
		return
	}
	e.attempts.Go(func() {
		e.wait(tie)
		e.Post(c.Transport.RoundTrip(e.ctx, a))
	})
}

// attempt is the next attempt of the request.
func (c *Call) newAttempt(act balancer.Action, now time.Duration) *Attempt {
	a := &Attempt{Call: c, Number: c.attemptsMade, Server: act.Server, Sent: now, Deadline: c.Deadline}
	if act.After > 0 {
		a.Deadline = min(a.Deadline, now+act.After)
	}
	a.WriteDeadline = a.Deadline
	if c.mayHaveRunSince == 0 {
		c.mayHaveRunSince = now
	} else if c.IdempotencyWindow > 0 { // the module decides by the time now, but the dial may take until after the window
		a.WriteDeadline = min(a.Deadline, c.mayHaveRunSince+c.IdempotencyWindow)
	}
	c.attemptsMade++
	c.inFlight++
	return a
}

// ended counts an attempt as over.
func (c *Call) attemptEnded(o Outcome) {
	c.inFlight--
	switch o.Result {
	case balancer.NotSent, balancer.ConnectFailed, balancer.Rejected:
		if c.mayHaveRunSince == o.Attempt.Sent {
			c.mayHaveRunSince = 0
		}
	}
}

// finish gives a call its answer, unless it has one.
func (e *Engine) finish(c *Call, a Answer) {
	if c == nil || c.closed.Load() {
		discard(a.Payload)
		return
	}
	c.closed.Store(true)
	e.passed(c, ends[a.Kind])
	e.unbind(c, boundEnds[a.Kind])
	if !c.isFlight {
		e.counters.answered(e.clock.Now(), c, a.Kind)
	}
	c.Responder.Answer(a)
	e.remember(c, a.Kind)
	e.forget(c)
}

// forget drops a call that is over. While attempts are in flight it is kept: their outcomes still teach.
func (e *Engine) forget(c *Call) {
	if c.closed.Load() && c.inFlight == 0 && e.calls[c.ID] == c {
		e.unbind(c, generation.ClientCanceled) // one that was closed from outside has told nobody
		e.counters.forgotten(c)
		delete(e.calls, c.ID)
		c.release()
	}
}

// fire tells the module of the timers that are due, and lets joined calls go on.
func (e *Engine) fireTimers() {
	for len(e.timers) > 0 && e.timers[0].due <= e.clock.Now() {
		e.decide(balancer.TimerFired{Token: heap.Pop(&e.timers).(timer).token})
	}
	if e.coalescer != nil {
		e.settle()
	}
	if now := e.clock.Now(); e.gossip != nil && now-e.gossip.looked >= wordEvery {
		e.settleWord(now)
	}
	if e.generations != nil {
		e.generations.manager.Tick(e.clock.Now())
		e.applyDrainChanges()
	}
}

// timer is a timer of the module.
type timer struct {
	due   time.Duration
	token uint64
}

// timers is a heap by the time that they are due.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
