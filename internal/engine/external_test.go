package engine

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/balancer"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// noDeadline hides the test's deadline, which can't be asked for in a bubble.
type noDeadline struct{ rapid.TB }

// incarnation is a server's only run.
type incarnation string

func (incarnation) IsIncarnation() {}

// noPool is a ServerPool without connections.
type noPool struct{}

func (noPool) Update(_ bool, members []Member) int   { return len(members) }
func (noPool) Incarnation(server string) Incarnation { return incarnation(server) }
func (noPool) Close()                                {}

// fakeProxy is an ExternalCaller that records what it is told, and checks each attempt against the model.
type fakeProxy struct {
	model    *lifecycleModel
	id       string
	attempt  *Attempt // the latest that was handed over
	answers  []Answer
	released int
}

func (p *fakeProxy) HandOver(a *Attempt) {
	if p.attempt != nil && !p.attempt.ended {
		p.model.t.Fatalf("%s: a second attempt while one is in flight", p.id)
	}
	if len(p.answers) > 0 {
		p.model.t.Fatalf("%s: an attempt after the final answer", p.id)
	}
	p.attempt = a
	p.model.checkAttempt(p, a)
}

func (p *fakeProxy) Answer(a Answer) { p.answers = append(p.answers, a) }
func (p *fakeProxy) Released()       { p.released++ }

// possibleRun is an attempt that may have had its effect. An attempt counts as one from when it was made until it is known not
// to have been sent or not to have run.
type possibleRun struct {
	attempt       *Attempt
	serverUnknown bool // at another server, nobody knows which
}

// lifecycleModel drives an engine by hand, without its goroutine, and checks what is sent against what may have run.
type lifecycleModel struct {
	t          *rapid.T
	engine     *Engine
	proxies    []*fakeProxy
	mayHaveRun map[string][]*possibleRun // by id
	class      map[string]int

	pools   map[uint64][]int // cells that requests may go to, by generation; all where there is no entry
	boundTo map[*Call]uint64 // generations
}

const (
	window    = time.Second
	deadline  = 2 * time.Second
	retention = time.Hour
)

func testClasses() []balancer.Class {
	return []balancer.Class{
		{Name: "safe", Effect: balancer.Idempotent, LatencyObjective: 600e6, Deadline: deadline, Priority: 1},
		{Name: "keyed", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: window, LatencyObjective: 600e6, Deadline: deadline, Priority: 3},
		{Name: "unsafe", Effect: balancer.NonIdempotent, LatencyObjective: 600e6, Deadline: deadline, Priority: 10},
	}
}

func newLifecycleModel(t *rapid.T) *lifecycleModel {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 4, Classes: testClasses()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := New(b, NewClock(), noPool{}, slog.New(slog.DiscardHandler))
	e.SetOutcomeCache(1000, retention)
	e.Start()
	m := &lifecycleModel{t: t, engine: e, mayHaveRun: map[string][]*possibleRun{}, class: map[string]int{}, pools: map[uint64][]int{}, boundTo: map[*Call]uint64{}}
	if rapid.Bool().Draw(t, "generations") {
		names := generation.Names{}
		for _, c := range testClasses() {
			names.Classes = append(names.Classes, generation.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
		}
		e.SetGenerations(generation.New(generation.Options{Names: names}), nil)
	}
	m.sendEndpoints()
	return m
}

func (m *lifecycleModel) sendEndpoints() {
	l := EndpointUpdate{Full: true}
	for i := range 6 {
		state := balancer.State(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "state"))
		l.Members = append(l.Members, Member{Server: balancer.Server{ID: fmt.Sprint(i), Cell: i / 2, State: state}})
	}
	m.engine.dispatch(l)
}

// configure puts another configuration in force, or goes back to the one before.
func (m *lifecycleModel) configure() {
	if m.engine.generations == nil {
		return
	}
	manager, now := m.engine.generations.manager, m.engine.clock.Now()
	if rapid.IntRange(0, 3).Draw(m.t, "back") == 0 {
		before := m.pools[m.generation()-1]
		if manager.Rollback(now, "", "") == nil {
			m.pools[m.generation()] = before
		}
		m.engine.generations.applyDrainChanges()
		return
	}
	c, cells := &fleetconfig.Config{}, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(m.t, "pool")
	if len(cells) > 0 {
		c.Pools = []fleetconfig.Pool{{Name: "p", Selector: fleetconfig.Selector{Pods: cells}}}
		c.Routes = []fleetconfig.Route{{Name: "r", To: []fleetconfig.Target{{Pool: "p", Weight: 1}}}}
	}
	if n := rapid.IntRange(0, 3).Draw(m.t, "limit"); n > 0 {
		c.Limits = []fleetconfig.Limit{{Name: "l", MaxInFlight: &n, MaxAttempts: 2}}
	}
	if cell := rapid.IntRange(0, 5).Draw(m.t, "drain"); cell < 3 {
		c.Drains = []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{cell}}}}
	}
	c.Normalize()
	ready, err := generation.Compile(c, generation.Names{}, nil)
	if err != nil {
		m.t.Fatal(err)
	}
	_, _, base := manager.Config()
	if manager.Stage(ready, 0, "", base, true) != nil {
		return // it is in force already
	}
	if _, err := manager.Switch(now, ""); err != nil {
		m.t.Fatal(err)
	}
	if len(cells) > 0 {
		m.pools[m.generation()] = c.Pools[0].Pods
	}
	m.engine.generations.applyDrainChanges()
}

func (m *lifecycleModel) generation() uint64 {
	_, number, _ := m.engine.generations.manager.Config()
	return number
}

// checkBinding checks an attempt against the configuration that its request was taken under, and the drains of the one in force.
func (m *lifecycleModel) checkBinding(a *Attempt) {
	if m.engine == nil || m.engine.generations == nil {
		return
	}
	number := a.Call.binding.Generation()
	if before, again := m.boundTo[a.Call]; again && before != number {
		m.t.Fatalf("%s was taken under generation %d and is sent under %d", a.Call.ID, before, number)
	}
	m.boundTo[a.Call] = number
	if cells := m.pools[number]; cells != nil && !slices.Contains(cells, int(a.Server[0]-'0')/2) {
		m.t.Fatalf("%s is sent to %s, and generation %d keeps it to the pods %v", a.Call.ID, a.Server, number, cells)
	}
	if m.engine.generations.manager.IsDraining(a.Server) {
		m.t.Fatalf("%s is sent to %s, which the configuration drains", a.Call.ID, a.Server)
	}
}

// checkAttempt checks an attempt against what may have run before, and records it.
func (m *lifecycleModel) checkAttempt(p *fakeProxy, a *Attempt) {
	m.checkBinding(a)
	for _, before := range m.mayHaveRun[p.id] {
		switch class := testClasses()[m.class[p.id]]; class.Effect {
		case balancer.NonIdempotent:
			m.t.Fatalf("%s is sent to %s and may have run at %s", p.id, a.Server, before.attempt.Server)
		case balancer.IdempotentByKey:
			if first := before.attempt; before.serverUnknown || first.Server[0]/2 != a.Server[0]/2 || a.Sent-first.Sent >= class.DedupWindow {
				m.t.Fatalf("%s is sent to %s at %v and may have run at %s at %v", p.id, a.Server, a.Sent, first.Server, first.Sent)
			}
		}
	}
	m.mayHaveRun[p.id] = append(m.mayHaveRun[p.id], &possibleRun{attempt: a})
}

// forgetAttempt records that a proxy's attempt can't have run, unless its outcome was known before.
func (m *lifecycleModel) forgetAttempt(p *fakeProxy) {
	if a := p.attempt; a != nil && !a.ended {
		m.mayHaveRun[p.id] = slices.DeleteFunc(m.mayHaveRun[p.id], func(r *possibleRun) bool { return r.attempt == a })
	}
}

// settle lets the engine handle what is queued and due.
func (m *lifecycleModel) settle() {
	synctest.Wait()
	for len(m.engine.events) > 0 {
		m.engine.dispatch(<-m.engine.events)
	}
	m.engine.fireTimers()
}

// advance lets time go by, in steps as the engine would wake.
func (m *lifecycleModel) advance(d time.Duration) {
	for ; d > 0; d -= 25 * time.Millisecond {
		time.Sleep(min(d, 25*time.Millisecond))
		m.settle()
	}
}

// arrive brings a call under a new id or a known one.
func (m *lifecycleModel) arrive() {
	id := fmt.Sprint(rapid.IntRange(0, 5).Draw(m.t, "id"))
	class, known := m.class[id]
	if !known {
		class = rapid.IntRange(0, 2).Draw(m.t, "class")
		m.class[id] = class
	}
	c := testClasses()[class]
	p := &fakeProxy{model: m, id: id}
	call := &Call{ID: id, Class: class, Deadline: m.engine.clock.Now() + c.Deadline, Effect: c.Effect, Responder: p,
		CallerAttempt: rapid.IntRange(0, 3).Draw(m.t, "try")}
	if c.Effect == balancer.IdempotentByKey {
		call.IdempotencyWindow = c.DedupWindow
	}
	m.proxies = append(m.proxies, p)
	m.engine.dispatch(callArrived{call})
}

// anyProxy returns one of the proxies so far, or nil.
func (m *lifecycleModel) anyProxy() *fakeProxy {
	if len(m.proxies) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.proxies).Draw(m.t, "which")
}

// endAttempt ends the attempt of a proxy, with any outcome.
func (m *lifecycleModel) endAttempt() {
	p := m.anyProxy()
	if p == nil || p.attempt == nil {
		return
	}
	result := rapid.SampledFrom([]balancer.Result{balancer.OK, balancer.Failed, balancer.Rejected, balancer.ConnectFailed, balancer.Reset,
		balancer.Cancelled, balancer.TimedOut}).Draw(m.t, "result")
	fromOther := rapid.IntRange(0, 9).Draw(m.t, "elsewhere") == 0
	switch {
	case p.attempt.ended:
	case fromOther:
		for _, r := range m.mayHaveRun[p.id] {
			r.serverUnknown = r.serverUnknown || r.attempt == p.attempt
		}
	case result == balancer.Rejected, result == balancer.ConnectFailed:
		m.forgetAttempt(p)
	}
	m.engine.dispatch(Outcome{Attempt: p.attempt, Result: result, Report: balancer.NoReport, FromOtherServer: fromOther})
}

func (m *lifecycleModel) check() {
	for _, p := range m.proxies {
		if p.released > 1 || len(p.answers) > 1 {
			m.t.Fatalf("%s: released %d times, answered %d times", p.id, p.released, len(p.answers))
		}
	}
	for id, c := range m.engine.calls {
		if c.inFlight > 1 {
			m.t.Fatalf("%s has %d attempts in flight", id, c.inFlight)
		}
	}
}

// rejectAttempt rejects the attempt of a proxy, as if its server took nothing new.
func (m *lifecycleModel) rejectAttempt() {
	if p := m.anyProxy(); p != nil && p.attempt != nil && !p.attempt.ended {
		m.forgetAttempt(p)
		m.engine.dispatch(attemptRejected{p.attempt})
	}
}

// abandon ends a proxy without an attempt in its hands.
func (m *lifecycleModel) abandon() {
	p := m.anyProxy()
	if p == nil {
		return
	}
	if c := m.engine.calls[p.id]; c != nil && c.external == p {
		m.forgetAttempt(p) // else another proxy has taken over, and its attempt goes on
	}
	m.engine.dispatch(abandoned{p.id, p})
}

// checkNothingHeld checks that every call has ended.
func (m *lifecycleModel) checkNothingHeld() {
	if n := len(m.engine.calls); n != 0 || len(m.engine.balancer.InFlight()) != 0 {
		m.t.Fatalf("%d calls are held, %v in flight", n, m.engine.balancer.InFlight())
	}
	if g := m.engine.generations; g != nil && len(g.manager.Status(m.engine.clock.Now()).OpenRequests) > 0 {
		m.t.Fatalf("requests are bound that have ended: %+v", g.manager.Status(m.engine.clock.Now()))
	}
	for _, p := range m.proxies {
		if p.released != 1 {
			m.t.Fatalf("%s was released %d times", p.id, p.released)
		}
	}
}

// Proxies send calls under a few ids, end, reject and abandon attempts, while the endpoint list and the configuration change and
// time passes, in any order. A request has one attempt at a time. One that may have run is sent again only as its class allows:
// in the same pod and window, or never, also when it comes again after its final answer. Each proxy is answered at most once and
// released exactly once, and when every deadline has passed the engine holds nothing.
func TestExternalCallsNeverRunTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := newLifecycleModel(rt)
			action := func(do func()) func(*rapid.T) {
				return func(rt *rapid.T) { m.t = rt; do() }
			}
			rt.Repeat(map[string]func(*rapid.T){
				"arrive":    action(m.arrive),
				"end":       action(m.endAttempt),
				"reject":    action(m.rejectAttempt),
				"abandon":   action(m.abandon),
				"list":      action(m.sendEndpoints),
				"configure": action(m.configure),
				"pass": action(func() {
					m.advance(time.Duration(rapid.IntRange(1, 700).Draw(m.t, "ms")) * time.Millisecond)
				}),
				"": action(func() { m.settle(); m.check() }),
			})
			m.t = rt
			m.advance(deadline + 100*time.Millisecond)
			m.checkNothingHeld()
		})
	})
}

// One attempt of a request may have run. The proxy that retries it is gone before it gets its attempt. The request must stay
// known: as a new request it could run again anywhere.
func TestAbandonedRetryKeepsEarlierAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newLifecycleModel(rt)
		m.class["0"] = 1
		call := func(p *fakeProxy, attempt int) *Call {
			return &Call{ID: "0", Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: m.engine.clock.Now() + deadline, Responder: p, CallerAttempt: attempt}
		}
		first, second, third := &fakeProxy{model: m, id: "0"}, &fakeProxy{model: m, id: "0"}, &fakeProxy{model: m, id: "0"}
		m.engine.dispatch(callArrived{call(first, 1)})
		if first.attempt == nil {
			return // no server was ready
		}
		m.engine.dispatch(callArrived{call(second, 2)}) // takes over from the first, whose attempt may have run
		m.forgetAttempt(second)
		m.engine.dispatch(abandoned{"0", second})
		m.engine.dispatch(callArrived{call(third, 3)})
	})
}

// A proxy sends requests to another server than the chosen one, and reports that this failed. The chosen server must not be ejected
// for it: it still gets its part of the requests.
func TestOutcomeOfOtherServerIsNotCountedForChosenServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newLifecycleModel(rt)
		m.engine.dispatch(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "0"}}, {Server: balancer.Server{ID: "1"}}}})
		got := map[string]int{}
		for i := range 100 {
			p := &fakeProxy{model: m, id: fmt.Sprint(i)}
			m.engine.dispatch(callArrived{&Call{ID: p.id, Deadline: m.engine.clock.Now() + deadline, Responder: p}})
			if p.attempt == nil {
				rt.Fatalf("request %d got %v", i, p.answers)
			}
			got[p.attempt.Server]++
			out := Outcome{Attempt: p.attempt, Result: balancer.OK, Report: balancer.NoReport}
			if p.attempt.Server == "0" {
				out.Result, out.FromOtherServer = balancer.Failed, true
			}
			m.engine.dispatch(out)
			m.engine.dispatch(abandoned{p.id, p})
		}
		if got["0"] < 20 {
			rt.Fatalf("%v", got)
		}
	})
}

// recordingProxy is an ExternalCaller that keeps the attempts that it is handed.
type recordingProxy struct {
	attempts []*Attempt
	released int
}

func (p *recordingProxy) HandOver(a *Attempt) { p.attempts = append(p.attempts, a) }
func (*recordingProxy) Answer(Answer)         {}
func (p *recordingProxy) Released()           { p.released++ }

// A proxy turns down the attempt that it gets, takes another, and is gone. No attempt was handed on, so that nothing of the call may
// be kept: it would hold its permit and its id until its deadline.
func TestAbandonedCallOfWithdrawnAttemptsIsForgotten(t *testing.T) {
	x := newBindingFixture(t, func(*bindingFixture) {})
	p := &recordingProxy{}
	x.Handle(CallArrived(&Call{ID: "1", Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, Responder: p, CallerAttempt: 1}))
	x.Handle(attemptRejected{p.attempts[0]})
	if len(p.attempts) != 2 {
		t.Fatalf("%d attempts", len(p.attempts))
	}
	x.Handle(abandoned{"1", p})
	if len(x.calls) != 0 || p.released != 1 {
		t.Errorf("%d calls are kept, the proxy is released %d times", len(x.calls), p.released)
	}
}
