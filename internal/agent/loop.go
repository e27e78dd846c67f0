package agent

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/logic"
)

// call is a client's request: what the client sent, and the place for its one answer.
type call struct {
	id            string
	class, tenant int
	key           string
	method, host  string
	url           *url.URL
	header        http.Header
	body          []byte
	deadline      time.Duration
	again         bool
	window        time.Duration // of a keyed class: how long after the first attempt another may begin; else 0
	answer        chan answer   // holds one, so that the loop never waits for a client
	closed        atomic.Bool   // has its answer, or the client left; set by the loop only

	// The loop's own:
	sends, out int           // attempts made and in flight
	ranSince   time.Duration // when the first attempt was sent that may have run; 0 without one
}

// answer is the final answer to a client.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
}

// event is something that the loop is told: one of the types below, or an outcome.
type event interface{}

type (
	// arrived brings a new request.
	arrived struct{ call *call }
	// clientLeft says that nobody waits for the answer any more.
	clientLeft struct{ call *call }
	// listed brings the list of backends or a change of it.
	listed struct {
		full    bool
		members []member
	}
	// listUnavailable says that a subscription ended or could not be had.
	listUnavailable struct{}
)

// loop is the one goroutine that owns the module: events come in by a channel, and it carries out what the
// module decides. It does no I/O itself and waits for nothing but the next event or timer.
type loop struct {
	balancer  *logic.Balancer
	clock     clock
	pool      *pool
	sender    *sender
	subscribe func()
	log       *slog.Logger
	events    chan event
	done      chan struct{} // closed when the loop has ended
	ready     atomic.Bool   // there is a backend to send to

	ctx      context.Context // of the attempts
	attempts sync.WaitGroup
	calls    map[string]*call // open, or with attempts in flight
	timers   timers
}

const eventQueue = 1024

func newLoop(b *logic.Balancer, c clock, p *pool, s *sender, log *slog.Logger) *loop {
	return &loop{balancer: b, clock: c, pool: p, sender: s, log: log, subscribe: func() {},
		events: make(chan event, eventQueue), done: make(chan struct{}), calls: map[string]*call{}}
}

// tell hands an event to the loop, unless it has ended.
func (l *loop) tell(ev event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until the context ends, and returns when all attempts have.
func (l *loop) run(ctx context.Context) {
	defer l.attempts.Wait()
	defer l.pool.close()
	defer close(l.done)
	l.ctx = ctx
	l.do(l.balancer.Start(l.clock.now()))
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.handle(ev)
		case <-wake.C:
		}
		l.fire()
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.now())
		}
	}
}

func (l *loop) handle(ev event) {
	switch e := ev.(type) {
	case arrived:
		l.arrive(e.call)
	case outcome:
		l.outcome(e)
	case clientLeft:
		if !e.call.closed.Load() {
			e.call.closed.Store(true)
			l.decide(logic.ClientGone{Request: e.call.id})
			l.forget(e.call)
		}
	case listed:
		l.list(e)
	case listUnavailable:
		l.decide(logic.ListUnavailable{})
	}
}

// decide asks the module and carries out what it says.
func (l *loop) decide(ev logic.Event) { l.do(l.balancer.Handle(l.clock.now(), ev)) }

// arrive takes a new request. A second one under the id of one that is not over could not be told from it.
func (l *loop) arrive(c *call) {
	if l.calls[c.id] != nil {
		c.closed.Store(true)
		c.answer <- answer{status: http.StatusConflict}
		return
	}
	l.calls[c.id] = c
	l.decide(logic.Request{ID: c.id, Class: c.class, Tenant: c.tenant, Key: c.key, Deadline: c.deadline, Again: c.again})
}

func (l *loop) outcome(o outcome) {
	a, c := o.attempt, o.attempt.call
	c.ended(o)
	if o.result == logic.OK {
		l.finish(c, answer{status: http.StatusOK, body: o.body, contentType: o.contentType})
	}
	l.decide(logic.Outcome{Request: c.id, Attempt: a.number, Server: a.server, Result: o.result,
		Took: l.clock.now() - a.sent, Closed: c.closed.Load(), Report: o.report})
	l.forget(c)
}

func (l *loop) list(e listed) {
	ready := l.pool.update(e.full, e.members)
	servers := make([]logic.Server, len(e.members))
	for i, m := range e.members {
		servers[i] = m.Server
	}
	l.decide(logic.ServerList{Full: e.full, Servers: servers})
	if is := ready > 0; l.ready.Swap(is) != is {
		l.log.Info("backends to send to", "any", is, "ready", ready)
	}
}

// do carries out the module's actions. It makes no use of Cancel, Probe and Tell so far.
func (l *loop) do(actions []logic.Action) {
	for _, a := range actions {
		switch a.Kind {
		case logic.Send:
			l.send(a)
		case logic.Refuse:
			l.finish(l.calls[a.Request], answer{status: http.StatusServiceUnavailable, retryAfter: a.After})
		case logic.Fail:
			l.finish(l.calls[a.Request], answer{status: http.StatusBadGateway})
		case logic.SetTimer:
			heap.Push(&l.timers, timer{due: l.clock.now() + a.After, token: a.Token})
		case logic.Subscribe:
			l.subscribe()
		}
	}
}

// send starts an attempt in a goroutine of its own, so that a dead dial holds up nothing else.
func (l *loop) send(act logic.Action) {
	a := l.calls[act.Request].attempt(act, l.clock.now())
	a.backend = l.pool.backend(act.Server)
	l.attempts.Go(func() { l.tell(l.sender.try(l.ctx, a)) })
}

// attempt is the next attempt of the request.
func (c *call) attempt(act logic.Action, now time.Duration) *attempt {
	a := &attempt{call: c, number: c.sends, server: act.Server, sent: now, until: c.deadline}
	if act.After > 0 {
		a.until = min(a.until, now+act.After)
	}
	a.writeBy = a.until
	if c.ranSince == 0 {
		c.ranSince = now
	} else if c.window > 0 { // the module decides by the time now, but the dial may take until after the window
		a.writeBy = min(a.until, c.ranSince+c.window)
	}
	c.sends++
	c.out++
	return a
}

// ended counts an attempt as over.
func (c *call) ended(o outcome) {
	c.out--
	switch o.result {
	case logic.NotSent, logic.ConnectFailed, logic.Rejected:
		if c.ranSince == o.attempt.sent {
			c.ranSince = 0
		}
	}
}

// finish gives a request its answer, unless it has one.
func (l *loop) finish(c *call, a answer) {
	if c == nil || c.closed.Load() {
		return
	}
	c.closed.Store(true)
	c.answer <- a
	l.forget(c)
}

// forget drops a request that is over. While attempts are in flight it is kept: their outcomes still teach.
func (l *loop) forget(c *call) {
	if c.closed.Load() && c.out == 0 {
		delete(l.calls, c.id)
	}
}

// fire tells the module of the timers that are due.
func (l *loop) fire() {
	for len(l.timers) > 0 && l.timers[0].due <= l.clock.now() {
		l.decide(logic.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
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
