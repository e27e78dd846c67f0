package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// world plays clients, servers and the list against a Balancer with random events and checks every action
// against the rules. It shares no code with the module: it keeps its own books, from events and actions
// alone.
type world struct {
	set        Settings
	rng        *rand.Rand
	now        time.Duration
	servers    map[string]*worldServer
	ids        []string // of servers ever named, in order
	requests   map[string]*worldRequest
	open       []string
	timers     []worldTimer
	violations []string
	count      int
	sends      int
	rejections int
	failures   int
}

type worldServer struct {
	Server
	stoppedAt time.Duration // when the balancer was told to stop; 0 while ready
}

type worldRequest struct {
	Request
	sent   []worldAttempt
	closed bool
}

type worldAttempt struct {
	server     *worldServer
	zone       int
	cell       int
	sentAt     time.Duration
	isInFlight bool
	hasNotRun  bool
	endsAt     time.Duration
	result     Result
}

type worldTimer struct {
	at    time.Duration
	token uint64
}

func newWorld(set Settings, seed uint64) *world {
	return &world{set: set, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour,
		servers: map[string]*worldServer{}, requests: map[string]*worldRequest{}}
}

func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// act checks and carries out the actions.
func (w *world) act(actions []Action) {
	for _, a := range slices.Clone(actions) {
		r := w.requests[a.Request]
		if r == nil && (a.Kind == Send || a.Kind == Cancel || a.Kind == Reject || a.Kind == Fail) {
			w.violation("action for the unknown request %q", a.Request)
			continue
		}
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, worldTimer{w.now + a.After, a.Token})
		case Send:
			w.send(r, a)
		case Cancel:
			w.cancel(r, a)
		case Reject:
			w.rejections++
			w.reject(r)
			w.end(r)
		case Fail:
			w.failures++
			w.end(r)
		}
	}
}

func (w *world) send(r *worldRequest, a Action) {
	w.sends++
	s, c := w.servers[a.Server], w.set.Classes[r.Class]
	if s == nil {
		w.violation("send to the unknown server %q", a.Server)
		return
	}
	if r.closed {
		w.violation("send for the closed request %s", r.ID)
	}
	if s.stoppedAt != 0 {
		w.violation("send to %s, which drains or is gone", s.ID)
	}
	if len(r.sent) >= w.set.MaxAttempts {
		w.violation("attempt %d of %d allowed", len(r.sent)+1, w.set.MaxAttempts)
	}
	out := 0
	var first *worldAttempt
	for i := range r.sent {
		p := &r.sent[i]
		if p.isInFlight {
			out++
		}
		if p.hasNotRun {
			continue
		}
		if first == nil {
			first = p
		}
		switch {
		case c.Effect == NonIdempotent:
			w.violation("a non-idempotent request is repeated")
		case c.Effect == IdempotentByKey && c.DedupScope == DedupZone && p.zone != s.Zone,
			c.Effect == IdempotentByKey && c.DedupScope == DedupCell && p.cell != s.Cell:
			w.violation("a request with an idempotency key leaves its group")
		}
	}
	if c.Effect == IdempotentByKey && first != nil && w.now-first.sentAt >= c.DedupWindow {
		w.violation("a request with an idempotency key is repeated after its window")
	}
	if out > 1 || out == 1 && !w.set.AllowHedging {
		w.violation("%d attempts in flight already", out)
	}
	// Outcomes come soon, late or never until the deadline, and are of every kind.
	results := []Result{OK, OK, OK, OK, OK, Failed, Rejected, TimedOut, ConnectFailed, Reset}
	p := worldAttempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: w.now, isInFlight: true,
		result: results[w.rng.IntN(len(results))]}
	p.endsAt = w.now + time.Duration(w.rng.ExpFloat64()*float64(c.LatencyObjective)/3) + time.Millisecond
	if p.endsAt > r.Deadline {
		p.endsAt, p.result = r.Deadline, TimedOut
	}
	r.sent = append(r.sent, p)
}

func (w *world) cancel(r *worldRequest, a Action) {
	if a.Attempt >= len(r.sent) {
		w.violation("cancel is not allowed or names no attempt")
		return
	}
	if p := &r.sent[a.Attempt]; p.isInFlight {
		p.endsAt, p.result = w.now+time.Millisecond, Cancelled
	}
}

func (w *world) reject(r *worldRequest) {
	c := w.set.Classes[r.Class]
	for _, p := range r.sent {
		if !p.hasNotRun && c.Effect != Idempotent {
			w.violation("a request that may have run is rejected")
			return
		}
	}
}

func (w *world) end(r *worldRequest) {
	if r.closed {
		w.violation("a second final answer for %s", r.ID)
	}
	if w.now > r.Deadline+2*w.set.Tick {
		w.violation("a final answer %v after the deadline", w.now-r.Deadline)
	}
	r.closed = true
}

// step moves the clock by a tick and returns the events that are due, in order. Each enters the books only
// when it is taken, since the balancer has not heard of the later ones.
func (w *world) step(load float64) (events []func() Event) {
	w.now += w.set.Tick
	kept := w.timers[:0]
	for _, t := range w.timers {
		if t.at > w.now {
			kept = append(kept, t)
			continue
		}
		events = append(events, func() Event { return TimerFired{t.token} })
	}
	w.timers = kept
	if w.rng.Float64() < 0.02 {
		events = append(events, w.churn)
	}
	open := w.open[:0]
	for _, id := range w.open {
		r := w.requests[id]
		waiting := false
		for i := range r.sent {
			p := &r.sent[i]
			if p.isInFlight && p.endsAt <= w.now {
				events = append(events, func() Event {
					p := &r.sent[i] // it may have moved
					p.isInFlight, p.hasNotRun = false, p.result.provesNotRunInTests()
					r.closed = r.closed || p.result == OK
					return Outcome{Request: id, Attempt: i, Server: p.server.ID, Result: p.result,
						Latency: w.now - p.sentAt, RequestClosed: r.closed, Report: w.report()}
				})
			}
			waiting = waiting || p.isInFlight
		}
		if !r.closed && w.rng.Float64() < 0.001 {
			events = append(events, func() Event {
				r.closed = true
				return ClientDisconnected{id}
			})
		}
		if !r.closed && w.now > r.Deadline+2*w.set.Tick {
			w.violation("no final answer for %s", id)
			r.closed = true
		}
		if !r.closed || waiting {
			open = append(open, id)
		}
	}
	w.open = open
	for w.rng.Float64() < load {
		w.count++
		c := w.rng.IntN(len(w.set.Classes))
		e := Request{ID: fmt.Sprint("r", w.count), Class: c, Key: fmt.Sprint("k", w.rng.IntN(20)),
			Deadline: w.now + time.Duration(float64(w.set.Classes[c].Deadline)*(0.3+0.7*w.rng.Float64()))}
		w.requests[e.ID] = &worldRequest{Request: e}
		w.open = append(w.open, e.ID)
		events = append(events, func() Event { return e })
	}
	return events
}

// provesNotRunInTests says again, apart from the module, which results prove that nothing ran.
func (r Result) provesNotRunInTests() bool {
	return slices.Contains([]Result{Rejected, ConnectFailed, NotSent}, r)
}

func (w *world) report() Report {
	if w.rng.Float64() < 0.3 {
		return NoReport
	}
	r := NoReport
	r.Utilization, r.ServedRate = w.rng.Float64(), 100*w.rng.Float64()
	return r
}

// churn adds, restarts, drains or removes a server, or repeats the whole list.
func (w *world) churn() Event {
	if w.rng.Float64() < 0.1 {
		return ListUnavailable{}
	}
	if len(w.ids) < 3 || w.rng.Float64() < 0.3 {
		s := &worldServer{Server: Server{ID: fmt.Sprint("s", len(w.ids)), Zone: w.rng.IntN(2), Cell: w.rng.IntN(3),
			Weight: 1 + w.rng.Float64(), Started: w.now}}
		w.servers[s.ID] = s
		w.ids = append(w.ids, s.ID)
		return ServerList{Servers: []Server{s.Server}}
	}
	if w.rng.Float64() < 0.2 {
		all := ServerList{Full: w.rng.Float64() < 0.8}
		for range w.rng.IntN(3) * maxIncrementalChanges { // more than are taken in one by one
			s := &worldServer{Server: Server{ID: fmt.Sprint("s", len(w.ids)), Cell: w.rng.IntN(3), Weight: 1}}
			w.servers[s.ID] = s
			w.ids = append(w.ids, s.ID)
		}
		for _, id := range w.ids {
			s := w.servers[id]
			if s.State == Removed || all.Full && w.rng.Float64() < 0.05 { // left out of a full list is gone
				s.State, s.stoppedAt = Removed, w.now
				continue
			}
			all.Servers = append(all.Servers, s.Server)
		}
		return all
	}
	s := w.servers[w.ids[w.rng.IntN(len(w.ids))]]
	s.State = []State{Ready, Ready, Draining, Removed}[w.rng.IntN(4)]
	switch {
	case s.State == Ready:
		s.Started, s.stoppedAt = w.now, 0
	case s.stoppedAt == 0:
		s.stoppedAt = w.now
	}
	return ServerList{Servers: []Server{s.Server}}
}

// tamper may change the actions before they are carried out.
type tamper func(*Balancer, []Action) []Action

// run plays a stretch of time, then lets all end.
func (w *world) run(t *testing.T, steps int, load float64, tamper tamper) *Balancer {
	t.Helper()
	b, err := New(w.set, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.act(b.Start(w.now))
	for i := range steps + int(w.longest()/w.set.Tick) + 4 {
		l := load
		if i >= steps {
			l = 0
		}
		for _, event := range w.step(l) {
			actions := b.Handle(w.now, event())
			if tamper != nil {
				actions = tamper(b, actions)
			}
			w.act(actions)
			if i%64 != 0 || len(w.violations) > 0 { // it looks at all servers
				continue
			}
			if fault := b.inconsistent(); fault != "" {
				w.violation("%s", fault)
			}
		}
	}
	return b
}

func (w *world) longest() (d time.Duration) {
	for _, c := range w.set.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// randomSettings draws settings of every sort.
func randomSettings(rng *rand.Rand) Settings {
	set := Settings{Balancers: []int{1, 2, 5, 200}[rng.IntN(4)], Index: rng.IntN(200), Tick: 5 * time.Millisecond, Zone: rng.IntN(2),
		CrossZoneCost: 0.1 * float64(rng.IntN(2)), UseListWeights: rng.IntN(2) == 0, Subscribe: rng.IntN(2) == 0,
		KeyAffinity: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(5), AllowHedging: rng.IntN(2) == 0,
		SlowStartInitialRatio: 0.3, SlowStartDuration: 5 * time.Second, MaxRetryAfter: time.Second}
	for i := range 1 + rng.IntN(3) {
		aim := time.Duration(100+rng.IntN(900)) * time.Millisecond
		set.Classes = append(set.Classes, Class{Name: fmt.Sprint("c", i), Effect: Effect(rng.IntN(3)),
			DedupScope: DedupScope(rng.IntN(3)), DedupWindow: aim, LatencyObjective: aim, Deadline: 3 * aim, Priority: 1 + 9*rng.Float64()})
	}
	return set
}

func TestRulesOverRandomEvents(t *testing.T) {
	sends, refusals, failures := 0, 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(randomSettings(rng), seed)
		b := w.run(t, 3000, 0.2+rng.Float64()*0.7, nil)
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
		if len(b.requests.byID) != 0 {
			t.Errorf("seed %d: %d requests are kept after all has ended", seed, len(b.requests.byID))
		}
		sends, refusals, failures = sends+w.sends, refusals+w.rejections, failures+w.failures
	}
	if sends < 10000 || refusals < 100 || failures < 100 {
		t.Errorf("the events are too tame: %d sends, %d refusals, %d failures", sends, refusals, failures)
	}
}

// Equal seeds give equal actions.
func TestDeterminism(t *testing.T) {
	trace := func() string {
		out := ""
		w := newWorld(randomSettings(rand.New(rand.NewPCG(3, 1))), 3)
		w.run(t, 1000, 0.5, func(_ *Balancer, a []Action) []Action {
			out += fmt.Sprint(a)
			return a
		})
		return out
	}
	if first, second := trace(), trace(); first != second {
		t.Error("two runs differ")
	}
}

// The checker itself must see a planted violation of each rule.
func TestCheckerCatchesViolations(t *testing.T) {
	plants := map[string]func(w *world) tamper{
		"no final answer": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				return slices.DeleteFunc(slices.Clone(a), func(a Action) bool {
					return a.Kind == Fail || a.Kind == Reject
				})
			}
		},
		"a second final answer": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				for _, x := range a {
					if x.Kind == Fail || x.Kind == Reject {
						return append(slices.Clone(a), x)
					}
				}
				return a
			}
		},
		"which drains": func(w *world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a {
					for _, id := range w.ids {
						if s := w.servers[id]; a[i].Kind == Send && s.stoppedAt != 0 {
							a[i].Server = id
						}
					}
				}
				return a
			}
		},
		"repeated": func(w *world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a { // sends again instead of ending
					if (a[i].Kind == Fail || a[i].Kind == Reject) && len(w.requests[a[i].Request].sent) > 0 {
						a[i] = Action{Kind: Send, Request: a[i].Request, Server: w.ids[0]}
					}
				}
				return a
			}
		},
		"is rejected": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a {
					if a[i].Kind == Fail {
						a[i].Kind = Reject
					}
				}
				return a
			}
		},
		"attempts in flight": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				for _, x := range a {
					if x.Kind == Send {
						return append(slices.Clone(a), x)
					}
				}
				return a
			}
		},
	}
	for name, plant := range plants {
		w := newWorld(Settings{}, 5)
		w.set = randomSettings(rand.New(rand.NewPCG(2, 1)))
		w.set.AllowHedging, w.set.MaxAttempts = false, 3
		w.set.Classes = []Class{{Effect: NonIdempotent, LatencyObjective: 200e6, Deadline: 600e6, Priority: 1},
			{Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 200e6, LatencyObjective: 200e6, Deadline: 600e6, Priority: 1}}
		w.run(t, 3000, 0.5, plant(w))
		if !slices.ContainsFunc(w.violations, func(f string) bool { return strings.Contains(f, name) }) {
			t.Errorf("a planted violation goes unseen: %s; seen: %d faults", name, len(w.violations))
		}
	}
}
