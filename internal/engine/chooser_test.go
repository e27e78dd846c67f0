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

// noFleet is a fleet that needs no connections.
type noFleet struct{}

func (noFleet) Update(_ bool, members []Member) int   { return len(members) }
func (noFleet) Incarnation(server string) Incarnation { return incarnation(server) }
func (noFleet) Close()                                {}

// proxied is a chooser that keeps what it is told.
type proxied struct {
	m        *machine
	id       string
	attempt  *Attempt // out with it
	answers  []Answer
	released int
}

func (p *proxied) HandOver(a *Attempt) {
	if p.attempt != nil && !p.attempt.over {
		p.m.t.Fatalf("%s: a second attempt while one is out", p.id)
	}
	if len(p.answers) > 0 {
		p.m.t.Fatalf("%s: an attempt after the final answer", p.id)
	}
	p.attempt = a
	p.m.sent(p, a)
}

func (p *proxied) Answer(a Answer) { p.answers = append(p.answers, a) }
func (p *proxied) Released()       { p.released++ }

// run is an attempt that may have had its effect. An attempt counts as one from when it was made until it is known not to
// have been sent or not to have run.
type run struct {
	attempt *Attempt
	stray   bool // at another server, nobody knows which
}

// machine drives an engine by hand, without its goroutine, and checks the rules as it goes.
type machine struct {
	t     *rapid.T
	e     *Engine
	tries []*proxied
	ran   map[string][]*run // by id
	class map[string]int

	pools map[uint64][]int // cells that requests may go to, by generation; without an entry all
	bound map[*Call]uint64 // generations
}

const (
	window   = time.Second
	deadline = 2 * time.Second
	keep     = time.Hour
)

func classes() []balancer.Class {
	return []balancer.Class{
		{Name: "safe", Effect: balancer.Idempotent, LatencyObjective: 600e6, Deadline: deadline, Priority: 1},
		{Name: "keyed", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: window, LatencyObjective: 600e6, Deadline: deadline, Priority: 3},
		{Name: "unsafe", Effect: balancer.NonIdempotent, LatencyObjective: 600e6, Deadline: deadline, Priority: 10},
	}
}

func newMachine(t *rapid.T) *machine {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 4, Classes: classes()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := New(b, NewClock(), noFleet{}, slog.New(slog.DiscardHandler))
	e.SetOutcomeCache(1000, keep)
	e.do(b.Start(e.clock.Now()))
	m := &machine{t: t, e: e, ran: map[string][]*run{}, class: map[string]int{}, pools: map[uint64][]int{}, bound: map[*Call]uint64{}}
	if rapid.Bool().Draw(t, "governed") {
		names := generation.Names{}
		for _, c := range classes() {
			names.Classes = append(names.Classes, generation.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
		}
		e.SetGenerations(generation.New(generation.Options{Names: names}), nil)
	}
	m.list()
	return m
}

func (m *machine) list() {
	l := EndpointUpdate{Full: true}
	for i := range 6 {
		state := balancer.State(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "state"))
		l.Members = append(l.Members, Member{Server: balancer.Server{ID: fmt.Sprint(i), Cell: i / 2, State: state}})
	}
	m.e.handle(l)
}

// configure puts another configuration in force, or goes back to the one before.
func (m *machine) configure() {
	if m.e.governed == nil {
		return
	}
	manager, now := m.e.governed.manager, m.e.clock.Now()
	if rapid.IntRange(0, 3).Draw(m.t, "back") == 0 {
		before := m.pools[m.number()-1]
		if manager.Rollback(now, "", "") == nil {
			m.pools[m.number()] = before
		}
		m.e.tellMoved()
		return
	}
	c, cells := &fleetconfig.Config{}, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(m.t, "pool")
	if len(cells) > 0 {
		c.Pools = []fleetconfig.Pool{{Name: "p", Selector: fleetconfig.Selector{Pods: cells}}}
		c.Routes = []fleetconfig.Route{{Name: "r", To: []fleetconfig.Target{{Pool: "p", Weight: 1}}}}
	}
	if n := rapid.IntRange(0, 3).Draw(m.t, "limit"); n > 0 {
		c.Limits = []fleetconfig.Limit{{Name: "l", InFlight: &n, Attempts: 2}}
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
		m.pools[m.number()] = c.Pools[0].Pods
	}
	m.e.tellMoved()
}

func (m *machine) number() uint64 {
	_, number, _ := m.e.governed.manager.Config()
	return number
}

// sentBound checks an attempt against the configuration that its request was taken under, and the drains of the one in force.
func (m *machine) sentBound(a *Attempt) {
	if m.e == nil || m.e.governed == nil {
		return
	}
	number := a.Call.bound.Generation()
	if before, again := m.bound[a.Call]; again && before != number {
		m.t.Fatalf("%s was taken under generation %d and is sent under %d", a.Call.ID, before, number)
	}
	m.bound[a.Call] = number
	if cells := m.pools[number]; cells != nil && !slices.Contains(cells, int(a.Server[0]-'0')/2) {
		m.t.Fatalf("%s is sent to %s, and generation %d keeps it to the pods %v", a.Call.ID, a.Server, number, cells)
	}
	if m.e.governed.manager.IsDraining(a.Server) {
		m.t.Fatalf("%s is sent to %s, which the configuration drains", a.Call.ID, a.Server)
	}
}

// sent checks an attempt against what may have run before.
func (m *machine) sent(p *proxied, a *Attempt) {
	m.sentBound(a)
	for _, before := range m.ran[p.id] {
		switch class := classes()[m.class[p.id]]; class.Effect {
		case balancer.NonIdempotent:
			m.t.Fatalf("%s is sent to %s and may have run at %s", p.id, a.Server, before.attempt.Server)
		case balancer.IdempotentByKey:
			if first := before.attempt; before.stray || first.Server[0]/2 != a.Server[0]/2 || a.Sent-first.Sent >= class.DedupWindow {
				m.t.Fatalf("%s is sent to %s at %v and may have run at %s at %v", p.id, a.Server, a.Sent, first.Server, first.Sent)
			}
		}
	}
	m.ran[p.id] = append(m.ran[p.id], &run{attempt: a})
}

// neverRan takes an attempt back, unless its end was told before.
func (m *machine) neverRan(p *proxied) {
	if a := p.attempt; a != nil && !a.over {
		m.ran[p.id] = slices.DeleteFunc(m.ran[p.id], func(r *run) bool { return r.attempt == a })
	}
}

// settle lets what is due come in.
func (m *machine) settle() {
	synctest.Wait()
	for len(m.e.events) > 0 {
		m.e.handle(<-m.e.events)
	}
	m.e.fire()
}

// pass lets time go by, in steps as the engine would wake.
func (m *machine) pass(d time.Duration) {
	for ; d > 0; d -= 25 * time.Millisecond {
		time.Sleep(min(d, 25*time.Millisecond))
		m.settle()
	}
}

// arrive brings a try under an id: a new one, or one that was there.
func (m *machine) arrive() {
	id := fmt.Sprint(rapid.IntRange(0, 5).Draw(m.t, "id"))
	class, known := m.class[id]
	if !known {
		class = rapid.IntRange(0, 2).Draw(m.t, "class")
		m.class[id] = class
	}
	c := classes()[class]
	p := &proxied{m: m, id: id}
	call := &Call{ID: id, Class: class, Deadline: m.e.clock.Now() + c.Deadline, Effect: c.Effect, Responder: p,
		CallerAttempt: rapid.IntRange(0, 3).Draw(m.t, "try")}
	if c.Effect == balancer.IdempotentByKey {
		call.IdempotencyWindow = c.DedupWindow
	}
	m.tries = append(m.tries, p)
	m.e.handle(arrived{call})
}

// any returns a try that was there, or nil.
func (m *machine) any() *proxied {
	if len(m.tries) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.tries).Draw(m.t, "which")
}

// end ends the attempt that a try has, in any way.
func (m *machine) end() {
	p := m.any()
	if p == nil || p.attempt == nil {
		return
	}
	result := rapid.SampledFrom([]balancer.Result{balancer.OK, balancer.Failed, balancer.Rejected, balancer.ConnectFailed, balancer.Reset,
		balancer.Cancelled, balancer.TimedOut}).Draw(m.t, "result")
	elsewhere := rapid.IntRange(0, 9).Draw(m.t, "elsewhere") == 0
	switch {
	case p.attempt.over:
	case elsewhere:
		for _, r := range m.ran[p.id] {
			r.stray = r.stray || r.attempt == p.attempt
		}
	case result == balancer.Rejected, result == balancer.ConnectFailed:
		m.neverRan(p)
	}
	m.e.handle(Outcome{Attempt: p.attempt, Result: result, Report: balancer.NoReport, FromOtherServer: elsewhere})
}

func (m *machine) check() {
	for _, p := range m.tries {
		if p.released > 1 || len(p.answers) > 1 {
			m.t.Fatalf("%s: released %d times, answered %d times", p.id, p.released, len(p.answers))
		}
	}
	for id, c := range m.e.calls {
		if c.out > 1 {
			m.t.Fatalf("%s has %d attempts out", id, c.out)
		}
	}
}

// However tries, ends, give-ups, lists and time follow each other: one attempt at a time; what may have run is sent again
// only within its class, group and window, also when it comes again after its final answer; each chooser is answered at
// most once and released exactly once; and when the time of all is over nothing is held any more.
func TestChoosersKeepTheRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := newMachine(rt)
			rt.Repeat(map[string]func(*rapid.T){
				"arrive": func(rt *rapid.T) { m.t = rt; m.arrive() },
				"end":    func(rt *rapid.T) { m.t = rt; m.end() },
				"unusable": func(rt *rapid.T) {
					if m.t = rt; len(m.tries) > 0 {
						if p := m.any(); p.attempt != nil && !p.attempt.over {
							m.neverRan(p)
							m.e.handle(unusable{p.attempt})
						}
					}
				},
				"give up": func(rt *rapid.T) {
					if m.t = rt; len(m.tries) > 0 {
						p := m.any()
						if c := m.e.calls[p.id]; c != nil && c.chooser == p {
							m.neverRan(p) // else another try has taken over, and what it has goes on
						}
						m.e.handle(gaveUp{p.id, p})
					}
				},
				"list":      func(rt *rapid.T) { m.t = rt; m.list() },
				"configure": func(rt *rapid.T) { m.t = rt; m.configure() },
				"pass": func(rt *rapid.T) {
					m.t = rt
					m.pass(time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms")) * time.Millisecond)
				},
				"": func(rt *rapid.T) { m.t = rt; m.settle(); m.check() },
			})
			m.t = rt
			m.pass(deadline + 100*time.Millisecond)
			if n := len(m.e.calls); n != 0 || len(m.e.balancer.InFlight()) != 0 {
				rt.Fatalf("%d calls are held, %v in flight", n, m.e.balancer.InFlight())
			}
			if g := m.e.governed; g != nil && len(g.manager.Status(m.e.clock.Now()).OpenRequests) > 0 {
				rt.Fatalf("requests are bound that have ended: %+v", g.manager.Status(m.e.clock.Now()))
			}
			for _, p := range m.tries {
				if p.released != 1 {
					rt.Fatalf("%s was released %d times", p.id, p.released)
				}
			}
		})
	})
}

// A request of which one try may have run stays known when the next try gives up before it holds an attempt: as a new
// request it could run again anywhere.
func TestGivenUpTryKeepsWhatRanBefore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		m.class["0"] = 1
		call := func(p *proxied, try int) *Call {
			return &Call{ID: "0", Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: m.e.clock.Now() + deadline, Responder: p, CallerAttempt: try}
		}
		first, second, third := &proxied{m: m, id: "0"}, &proxied{m: m, id: "0"}, &proxied{m: m, id: "0"}
		m.e.handle(arrived{call(first, 1)})
		if first.attempt == nil {
			return // no server was ready
		}
		m.e.handle(arrived{call(second, 2)}) // the first is overtaken, and may have run
		m.neverRan(second)
		m.e.handle(gaveUp{"0", second})
		m.e.handle(arrived{call(third, 3)})
	})
}

// What another server did teaches nothing of the chosen one: a proxy that goes its own way must not get a server shunned.
func TestElsewhereTeachesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		m.e.handle(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "0"}}, {Server: balancer.Server{ID: "1"}}}})
		got := map[string]int{}
		for i := range 100 {
			p := &proxied{m: m, id: fmt.Sprint(i)}
			m.e.handle(arrived{&Call{ID: p.id, Deadline: m.e.clock.Now() + deadline, Responder: p}})
			if p.attempt == nil {
				rt.Fatalf("request %d got %v", i, p.answers)
			}
			got[p.attempt.Server]++
			out := Outcome{Attempt: p.attempt, Result: balancer.OK, Report: balancer.NoReport}
			if p.attempt.Server == "0" {
				out.Result, out.FromOtherServer = balancer.Failed, true
			}
			m.e.handle(out)
			m.e.handle(gaveUp{p.id, p})
		}
		if got["0"] < 20 {
			rt.Fatalf("%v", got)
		}
	})
}
