package engine

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/eventlog"
)

// eventQueueSize is how many events wait before Post blocks.
const eventQueueSize = 1024

// ErrEnded says that the engine has ended: what was asked of it was not done, or it is not known whether it was.
var ErrEnded = errors.New("the agent is ending")

// Engine runs the balancer: it takes events, asks the balancer and carries out what it decides. See the package comment for
// goroutines and order.
type Engine struct {
	balancer  *balancer.Balancer
	clock     Clock
	pool      ServerPool
	subscribe func()
	log       *slog.Logger
	events    chan Event
	done      chan struct{} // closed when the engine has ended
	ready     atomic.Bool   // there is a server to send to

	ctx      context.Context // of the attempts
	attempts sync.WaitGroup  // goroutines of attempts

	// Owned by the engine's goroutine:
	calls           map[string]*Call // by id: open, or with attempts in flight
	usedIDs         usedIDs
	idClaims        IDClaims // nil: there are no other processes of the agent
	timers          timers   // the balancer's
	settingsVersion int      // of the settings in force
	dropRatio       float64  // the part of requests that the endpoint list wants rejected
	readyServers    int      // as the pool counted them last

	extensions
	counters    *counters
	requestLog  *eventlog.Logger // nil: single requests are not logged
	external    *externalCalls
	admission   AdmissionController // nil: every call is admitted
	generations *generationOverlay  // this and the following: nil where switched off
	denylist    *denylistOverlay
	gossip      *gossipOverlay
	overload    *overloadHook
	affinity    *affinityBinder
	recovery    *recoveryOverlay
	coalescer   *coalescer
}

// New returns an engine that asks the balancer. It does nothing before Run or Start.
func New(b *balancer.Balancer, c Clock, p ServerPool, log *slog.Logger) *Engine {
	e := &Engine{balancer: b, clock: c, pool: p, log: log, subscribe: func() {},
		events: make(chan Event, eventQueueSize), done: make(chan struct{}), calls: map[string]*Call{}, usedIDs: newUsedIDs(), counters: &counters{}}
	e.external = &externalCalls{engine: e}
	e.callHooks[callExternal] = e.external
	e.overlays[overlayServerPool] = serverPoolUpdater{e}
	return e
}

// OnSubscribe sets what asks for the endpoint list when the balancer wants it. It is called before Run, if at all. The
// function is called on the engine's goroutine and must not block.
func (e *Engine) OnSubscribe(ask func()) { e.subscribe = ask }

// Done is closed when the engine has ended: no call gets an answer from it any more.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Ready reports whether there is a server to send to. It may be asked from any goroutine.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Post queues an event, unless the engine has ended. It may be called from any goroutine but the engine's own, and blocks while
// the queue is full.
func (e *Engine) Post(ev Event) {
	select {
	case e.events <- ev:
	case <-e.done:
	}
}

// Run handles events until the context ends, and returns when all attempts have ended.
func (e *Engine) Run(ctx context.Context) {
	defer e.attempts.Wait()
	defer e.pool.Close()
	defer close(e.done)
	e.ctx = ctx
	e.Start()
	wake := time.NewTimer(0)
	defer wake.Stop()
	var armedFor time.Duration // when the timer is set to wake
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			e.Handle(ev)
			e.handleQueued()
		case <-wake.C:
			armedFor = 0
			e.fireTimers()
		}
		if due, ok := e.NextTimer(); ok && due != armedFor {
			armedFor = due
			wake.Reset(armedFor - e.clock.Now())
		}
	}
}

// handleQueued handles events that are queued already, at most as many as the queue holds: without a bound, steady load
// would keep Run from seeing that its context has ended.
func (e *Engine) handleQueued() {
	for range cap(e.events) {
		select {
		case ev := <-e.events:
			e.Handle(ev)
		default:
			return
		}
	}
}

// Start starts the balancer. Simulations call it in place of Run, and then bring each event by Handle, with nil when the time of
// NextTimer has come.
func (e *Engine) Start() { e.perform(e.balancer.Start(e.clock.Now())) }

// Handle handles an event, if it is not nil, and what is due. It is called on the engine's goroutine only: by Run, or by a
// simulation.
func (e *Engine) Handle(ev Event) {
	if ev != nil {
		e.dispatch(ev)
	}
	e.fireTimers()
}

func (e *Engine) dispatch(ev Event) {
	switch ev := ev.(type) {
	case callArrived:
		e.arrive(ev.call)
	case clientLeft:
		e.clientLeft(ev.call)
	case answerForced:
		e.forceAnswer(ev.call, ev.reason)
	case abandoned:
		e.external.abandon(ev)
	case Outcome:
		e.attemptEnded(ev)
	case attemptRejected:
		e.external.reject(ev.attempt)
	case bodySent:
		e.bodySent(ev)
	case idClaimed:
		e.idClaimed(ev)
	case UsedIDsLearned:
		e.learnUsedIDs(ev.IDs)
	case uploadEnding:
		ev.reply <- e.affinity.uploadEnding(ev.attempt)
	case EndpointUpdate:
		e.applyEndpoints(ev, overlayGenerations)
	case EndpointsUnavailable:
		e.decide(balancer.ListUnavailable{})
	case SettingsChanged:
		e.applySettings(ev)
	case BindingsRestored:
		e.affinity.table.Restore(e.clock.Now(), ev.Records)
	case bindingNotDurable:
		e.affinity.table.CountNotDurable()
	case bindingCommitted:
		e.external.handOverBound(ev.attempt)
	case gossipReceived:
		e.gossip.handleObservation(ev)
	case livenessChanged:
		e.applyLiveness(ev.alive)
	case overloadReported:
		if e.overload != nil {
			besteffort.Ignore(e.overload.handler.HandlePayload(e.clock.Now(), ev.from, ev.body)) // what can't be read is counted there
		}
	case statsRequested:
		ev.reply <- e.stats()
	case execution:
		ev.do(e.clock.Now())
		close(ev.done)
	}
}

// decide hands an event to the balancer and carries out the actions.
func (e *Engine) decide(ev balancer.Event) { e.perform(e.balancer.Handle(e.clock.Now(), ev)) }

// perform carries out the balancer's actions. Cancel, HealthCheck and Broadcast, which the balancer never uses, are ignored.
func (e *Engine) perform(actions []balancer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case balancer.Send:
			e.send(a)
		case balancer.Reject:
			e.counters.givenUp(a.Reason)
			e.finish(e.calls[a.Request], Answer{Kind: Rejected, RetryAfter: a.After, Reason: UnservedReason(balancer.ReasonNames[a.Reason])})
		case balancer.Fail:
			e.counters.givenUp(a.Reason)
			e.finish(e.calls[a.Request], Answer{Kind: Failed, Reason: UnservedReason(balancer.ReasonNames[a.Reason])})
		case balancer.SetTimer:
			heap.Push(&e.timers, timer{due: e.clock.Now() + a.After, token: a.Token})
		case balancer.Subscribe:
			e.subscribe()
		}
	}
}

// applySettings puts settings in force for what comes from now on.
func (e *Engine) applySettings(s SettingsChanged) {
	e.settingsVersion = s.Version
	e.decide(s.ClassUpdate)
	if e.coalescer != nil {
		e.coalescer.table.Retune(s.Coalescing)
	}
	if a, ok := e.admission.(classRetuner); ok {
		a.Retune(s.Admission)
	}
	if e.generations != nil {
		e.generations.manager.SetNames(s.Names)
	}
	if e.affinity != nil {
		e.affinity.setClasses(s.Classes)
	}
}

// execute runs do on the engine's goroutine and waits until that is done. It returns ErrEnded, or the context's error if the
// context ends before do is queued; then do doesn't run.
func (e *Engine) execute(ctx context.Context, do func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case e.events <- execution{do, done}:
	case <-e.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select { // it is queued: a caller that stopped waiting now could not tell whether it was done
	case <-done:
		return nil
	case <-e.done:
		return ErrEnded
	}
}
