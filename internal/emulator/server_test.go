package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// arrival is a request at a time.
type arrival struct {
	at time.Duration
	Request
}

// run brings arrivals to a server, lets all end, and returns the ends by id and the verdicts.
func run(s *Server, arrivals []arrival) (ends map[uint64]Completion, verdicts map[uint64]ArrivalResult) {
	ends, verdicts = map[uint64]Completion{}, map[uint64]ArrivalResult{}
	take := func(done []Completion) {
		for _, d := range done {
			ends[d.ID] = d
		}
	}
	for i, a := range arrivals {
		take(s.Advance(a.at))
		verdicts[a.ID] = s.Arrive(a.at, a.Request, uint64(i))
	}
	take(s.Advance(time.Duration(math.MaxInt64 / 2)))
	return ends, verdicts
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func newPod() *Pod { return NewPod(0, 2*time.Second, NewLedger()) }

func warm(spec Spec) *Server { return NewServer("s", spec, newPod(), 1, 0, true) }

// poisson makes arrivals of a rate with work that is drawn.
func poisson(n int, rate float64, work func(*rand.Rand) float64) (all []arrival) {
	random := rand.New(rand.NewPCG(11, 13))
	at := 0.0
	for i := range n {
		at += random.ExpFloat64() / rate
		all = append(all, arrival{seconds(at), Request{ID: uint64(i), Work: seconds(work(random))}})
	}
	return all
}

// near checks a figure against theory.
func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: %.4f, theory says %.4f", what, got, want)
	}
}

// erlangC is the share of arrivals that wait in M/M/c at that offered load.
func erlangC(c int, load float64) float64 {
	term, sum := 1.0, 1.0
	for k := 1; k < c; k++ {
		term *= load / float64(k)
		sum += term
	}
	last := term * load / float64(c) * float64(c) / (float64(c) - load)
	return last / (sum + last)
}

// A server with a slot a core serves first come, first served: M/M/c, with the mean wait of Erlang's formula.
func TestQueueAgainstErlangC(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64 // share of the capacity
		speed float64
	}{{1, 0.7, 1}, {2, 0.8, 1.5}, {4, 0.9, 0.8}} {
		const mean = 0.05 // seconds of work
		n, mu := 400000, c.speed/mean
		rate := c.load * float64(c.cores) * mu
		s := warm(Spec{Cores: c.cores, Speed: c.speed, Slots: c.cores, Queue: 1 << 30})
		ends, _ := run(s, poisson(n, rate, func(r *rand.Rand) float64 { return mean * r.ExpFloat64() }))
		if len(ends) != n {
			t.Fatalf("%d of %d ended", len(ends), n)
		}
		total := 0.0
		for _, d := range ends {
			total += d.Latency.Seconds()
		}
		wait := total/float64(n) - 1/mu
		want := erlangC(c.cores, rate/mu) / (float64(c.cores)*mu - rate)
		near(t, fmt.Sprintf("M/M/%d at %.1f", c.cores, c.load), wait, want, 0.05)
	}
}

// A core that is shared evenly has the mean time of M/G/1-PS, work over one less the load, whatever the spread of the
// work.
func TestSharingAgainstTheory(t *testing.T) {
	for name, work := range map[string]func(*rand.Rand) float64{
		"even":      func(*rand.Rand) float64 { return 0.05 },
		"exp":       func(r *rand.Rand) float64 { return 0.05 * r.ExpFloat64() },
		"lognormal": func(r *rand.Rand) float64 { return 0.05 * math.Exp(r.NormFloat64()-0.5) },
	} {
		const n, load = 300000, 0.7
		s := warm(Spec{Cores: 1, Speed: 1, Slots: 1 << 30})
		ends, _ := run(s, poisson(n, load/0.05, work))
		total := 0.0
		for _, d := range ends {
			total += d.Latency.Seconds()
		}
		near(t, name, total/n, 0.05/(1-load), 0.05)
	}
}

// While a server warms up, what it does is the integral of its warmth: a request's end agrees with a sum over small
// steps, whether it ends before or after the server is warm.
func TestWarmUpCurve(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1.7, Slots: 8, ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond}
	for _, work := range []float64{0.5, 5, 20} {
		for _, begin := range []time.Duration{0, 3 * time.Second, 9 * time.Second} {
			s := NewServer("s", spec, newPod(), 1, 0, false)
			ends, _ := run(s, []arrival{{begin, Request{ID: 1, Work: seconds(work)}}})
			const step = 1e-5
			at, done := begin.Seconds(), 0.0
			for done < work {
				done += step * spec.Speed * s.CapacityRatio(seconds(at))
				at += step
			}
			near(t, fmt.Sprintf("%v of work from %v on", work, begin), ends[1].Latency.Seconds(), at-begin.Seconds(), 1e-3)
		}
	}
	s := NewServer("s", spec, newPod(), 1, time.Second, false)
	for at, want := range map[time.Duration]float64{time.Second: 0.32, time.Second + spec.WarmupTime/2: 0.66, time.Second + spec.WarmupTime: 1, time.Hour: 1} {
		near(t, fmt.Sprint("warmth at ", at), s.CapacityRatio(at), want, 1e-9)
	}
}

// A pod drops a repeat up to the last millisecond of its window, at any of its servers; another pod runs it.
func TestPodDropsRepeats(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 8}
	refund := func(id uint64) Request { return Request{ID: id, IdempotencyKey: "k", Work: 10 * time.Millisecond} }
	for _, c := range []struct {
		after      time.Duration
		samePod    bool
		sameServer bool
		runs       bool
	}{
		{1999 * time.Millisecond, true, true, false},
		{1999 * time.Millisecond, true, false, false},
		{2000 * time.Millisecond, true, true, true},
		{2001 * time.Millisecond, true, false, true},
		{1 * time.Millisecond, false, false, true},
	} {
		ledger := NewLedger()
		pod, other := NewPod(1, 2*time.Second, ledger), NewPod(2, 2*time.Second, ledger)
		first := NewServer("a", spec, pod, 1, 0, true)
		second := first
		if !c.sameServer {
			if second = NewServer("b", spec, pod, 1, 0, true); !c.samePod {
				second = NewServer("c", spec, other, 1, 0, true)
			}
		}
		first.Advance(time.Second)
		first.Arrive(time.Second, refund(1), 1)
		first.Advance(time.Second + c.after)
		second.Advance(time.Second + c.after)
		second.Arrive(time.Second+c.after, refund(2), 2)
		if n := len(ledger.Effects()); (n == 2) != c.runs {
			t.Errorf("%+v: %d executions", c, n)
		}
		if repeated := ledger.Repeated(); (len(repeated["k"]) == 2) != c.runs {
			t.Errorf("%+v: the ledger shows %v", c, repeated)
		}
	}
}

// Repeats do not prolong the window: it counts from the first.
func TestWindowCountsFromTheFirst(t *testing.T) {
	ledger := NewLedger()
	pod := NewPod(1, 2*time.Second, ledger)
	if !pod.claim(0, Request{IdempotencyKey: "k"}, "s") {
		t.Error("the first does not run")
	}
	if pod.claim(1500*time.Millisecond, Request{IdempotencyKey: "k"}, "s") || !pod.claim(2500*time.Millisecond, Request{IdempotencyKey: "k"}, "s") {
		t.Error("a repeat moved the window")
	}
}

func TestSlotsAndWaitingRoom(t *testing.T) {
	s := warm(Spec{Cores: 1, Speed: 1, Slots: 2, Queue: 1})
	var all []arrival
	for i := range 5 {
		all = append(all, arrival{0, Request{ID: uint64(i), Work: time.Second}})
	}
	ends, verdicts := run(s, all)
	for id, want := range []ArrivalResult{Accepted, Accepted, Accepted, Rejected, Rejected} {
		if verdicts[uint64(id)] != want {
			t.Errorf("request %d: %v", id, verdicts[uint64(id)])
		}
	}
	// Two share the core for 2 s, then the third has it alone.
	for id, want := range []time.Duration{2 * time.Second, 2 * time.Second, 3 * time.Second} {
		if got := ends[uint64(id)].Latency; (got - want).Abs() > time.Microsecond {
			t.Errorf("request %d took %v, want %v", id, got, want)
		}
	}
}

// Waiting on others holds a slot and no core.
func TestWaitOnOthers(t *testing.T) {
	s := warm(Spec{Cores: 1, Speed: 2, Slots: 4})
	ends, _ := run(s, []arrival{{0, Request{ID: 1, Work: time.Second, Wait: 100 * time.Millisecond}},
		{0, Request{ID: 2, Work: 200 * time.Millisecond}}})
	for id, want := range map[uint64]time.Duration{1: 600 * time.Millisecond, 2: 100 * time.Millisecond} {
		if got := ends[id].Latency; (got - want).Abs() > time.Microsecond {
			t.Errorf("request %d took %v, want %v", id, got, want)
		}
	}
}

func TestCrowdedServerIsSlower(t *testing.T) {
	took := func(crowd float64) time.Duration {
		s := warm(Spec{Cores: 1, Speed: 1, Slots: 8, CrowdingPenalty: crowd, CrowdingStart: 2})
		var all []arrival
		for i := range 4 {
			all = append(all, arrival{0, Request{ID: uint64(i), Work: time.Second}})
		}
		ends, _ := run(s, all)
		return ends[3].Latency
	}
	if even, slow := took(0), took(0.25); even != 4*time.Second || slow != 6*time.Second { // 1 + 0.25 * 2 over
		t.Errorf("%v, crowded %v", even, slow)
	}
}

func TestKnownKeysAreCheaper(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 8, KeyCacheGain: 0.5, KeyCacheTTL: 5 * time.Second, KeyCacheSize: 2}
	for name, c := range map[string]struct {
		keys []string // a second each
		want time.Duration
	}{
		"met":             {[]string{"a", "a"}, 500 * time.Millisecond},
		"not met":         {[]string{"a", "b"}, time.Second},
		"long ago":        {[]string{"a", "", "", "", "", "", "", "a"}, time.Second},
		"crowded out":     {[]string{"a", "b", "c", "d", "a"}, time.Second},
		"no key":          {[]string{"", ""}, time.Second},
		"met again since": {[]string{"a", "", "a", "", "", "", "a"}, 500 * time.Millisecond},
	} {
		var all []arrival
		for i, k := range c.keys {
			all = append(all, arrival{time.Duration(i) * time.Second, Request{ID: uint64(i), RouteKey: k, Work: time.Second}})
		}
		ends, _ := run(warm(spec), all)
		if got := ends[uint64(len(c.keys)-1)].Latency; (got - c.want).Abs() > time.Microsecond {
			t.Errorf("%s: the last took %v, want %v", name, got, c.want)
		}
	}
}

// A cold server that is sent more than the multiple of what it can do, for the stated time, falls over and stays down; a
// warm one does not.
func TestColdServerTopples(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, Slots: 4, Queue: 1 << 20, ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond, CollapseOverload: 3, CollapseTime: 3 * time.Second}
	for name, c := range map[string]struct {
		warm   bool
		rate   int // requests of 0.1 s of work a second; 3 times what it can do is 19 at first
		topple bool
	}{"within": {false, 15, false}, "over": {false, 40, true}, "over, but warm": {true, 40, false}} {
		s := NewServer("s", spec, newPod(), 1, 0, c.warm)
		var all []arrival
		for i := range 8 * c.rate {
			all = append(all, arrival{seconds(float64(i) / float64(c.rate)), Request{ID: uint64(i), Work: 100 * time.Millisecond}})
		}
		_, verdicts := run(s, all)
		if s.Collapsed() != c.topple || (verdicts[uint64(8*c.rate-1)] == Unreachable) != c.topple {
			t.Errorf("%s: toppled %v, the last request: %v", name, s.Collapsed(), verdicts[uint64(8*c.rate-1)])
		}
	}
}

// Faults act from their instant on: a pause costs its own length, a throttle its share, a hang answers nothing that came
// in it, a kill loses what was there.
func TestFaults(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 8}
	one := func(at time.Duration, id uint64) arrival { return arrival{at, Request{ID: id, Work: time.Second}} }
	between := func(from, to time.Duration, change, back func(*Faults)) (map[uint64]Completion, *Server) {
		s, ends := warm(spec), map[uint64]Completion{}
		note := func(done []Completion) {
			for _, d := range done {
				ends[d.ID] = d
			}
		}
		a := one(0, 1)
		s.Arrive(0, a.Request, 1)
		note(s.ChangeFaults(from, change))
		b := one(from, 2)
		s.Arrive(from, b.Request, 2)
		note(s.ChangeFaults(to, back))
		note(s.Advance(time.Hour))
		return ends, s
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	ends, _ := between(ms(500), ms(800), func(f *Faults) { f.Paused = true }, func(f *Faults) { f.Paused = false })
	if got := ends[1].Latency; (got - ms(1800)).Abs() > time.Microsecond { // 0.5 alone, 0.3 paused, 1.0 shared
		t.Errorf("paused: %v", got)
	}
	ends, _ = between(ms(500), ms(900), func(f *Faults) { f.Throttle = 0.5 }, func(f *Faults) { f.Throttle = 0 })
	if got := ends[1].Latency; (got - ms(1700)).Abs() > time.Microsecond { // 0.4 s at a quarter: 0.1 of 0.5 done; 0.8 shared
		t.Errorf("throttled: %v", got)
	}
	ends, s := between(ms(500), ms(800), func(f *Faults) { f.Hung = true }, func(f *Faults) { f.Hung = false })
	if _, answered := ends[2]; answered || (ends[1].Latency-ms(1300)).Abs() > time.Microsecond || s.InFlight() != 0 {
		t.Errorf("hung: %v, %d held", ends, s.InFlight())
	}
	ends, s = between(ms(500), ms(800), func(f *Faults) { f.Killed = true }, func(*Faults) {})
	if len(ends) != 0 || s.InFlight() != 0 {
		t.Errorf("killed: %v, %d held", ends, s.InFlight())
	}
	ends, _ = between(ms(500), ms(800), func(f *Faults) { f.Errors = 1 }, func(f *Faults) { f.Errors = 0 })
	if ends[1].Failed || !ends[2].Failed {
		t.Errorf("errors: %v", ends)
	}
	s = warm(spec)
	s.ChangeFaults(0, func(f *Faults) { f.Draining = true })
	if v := s.Arrive(0, Request{ID: 1}, 1); v != Rejected {
		t.Errorf("draining: %v", v)
	}
}

func TestReports(t *testing.T) {
	s := warm(Spec{Cores: 2, Speed: 1, Slots: 8, ReportInterval: 100 * time.Millisecond, ReportDelay: 50 * time.Millisecond})
	for i := range 10 { // one core in use, 10 requests a second
		at := time.Duration(i) * 100 * time.Millisecond
		s.Advance(at)
		s.Arrive(at, Request{ID: uint64(i), Work: 100 * time.Millisecond}, uint64(i))
	}
	s.Advance(940 * time.Millisecond)
	got := s.LoadReport(940 * time.Millisecond) // of the interval that ended at 800 ms
	near(t, "use", got.Utilization, 0.5, 1e-6)
	near(t, "rate", got.ServedRate, 10, 1e-6)
	if early := warm(Spec{Cores: 1, Speed: 1, Slots: 1, ReportInterval: time.Second}).LoadReport(0); early != (LoadReport{}) {
		t.Errorf("before the first: %+v", early)
	}
}

// However requests, faults and time follow each other: what is held stays within slots and waiting room; what was
// accepted ends at most once, and, unless it came in a hang or was killed, exactly once; the same again from the same
// seed.
func TestServerKeepsItsCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := Spec{Cores: rapid.IntRange(1, 4).Draw(rt, "cores"), Speed: 1.5, Slots: rapid.IntRange(1, 5).Draw(rt, "slots"),
			Queue: rapid.IntRange(0, 3).Draw(rt, "queue"), CrowdingPenalty: 0.1, CrowdingStart: 1, ColdCapacityRatio: 0.3, WarmupTime: time.Second,
			KeyCacheGain: 0.4, KeyCacheTTL: time.Second, KeyCacheSize: 3, Handshake: time.Millisecond}
		s := NewServer("s", spec, newPod(), 5, 0, rapid.Bool().Draw(rt, "warm"))
		var now time.Duration
		var id uint64
		owed, ended := map[uint64]bool{}, map[uint64]bool{}
		note := func(done []Completion) {
			for _, d := range done {
				if ended[d.ID] || !owed[d.ID] || d.Latency < 0 {
					rt.Fatalf("request %d ended: %+v", d.ID, d)
				}
				ended[d.ID] = true
				delete(owed, d.ID)
			}
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0, 1, 2:
				id++
				r := Request{ID: id, Work: time.Duration(rapid.IntRange(0, 300).Draw(rt, "work")) * time.Millisecond,
					Wait:           time.Duration(rapid.IntRange(0, 50).Draw(rt, "wait")) * time.Millisecond,
					IdempotencyKey: rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "key")}
				hung := s.Faults().Hung
				if s.Arrive(now, r, id) == Accepted && !hung {
					owed[id] = true
				}
			case 3:
				note(s.ChangeFaults(now, func(f *Faults) { f.Paused = !f.Paused }))
			case 4:
				note(s.ChangeFaults(now, func(f *Faults) { f.Hung = !f.Hung }))
			default:
				now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "pass")) * time.Millisecond
				note(s.Advance(now))
				s.Connect(now)
			}
			if len(s.inExternalWait)+len(s.onCores) > spec.Slots || len(s.waiting) > spec.Queue || s.InFlight() != len(owed) {
				rt.Fatalf("%d in work, %d waiting, %d owed", len(s.inExternalWait)+len(s.onCores), len(s.waiting), len(owed))
			}
		}
		note(s.ChangeFaults(now, func(f *Faults) { *f = Faults{} }))
		note(s.Advance(now + time.Hour))
		if len(owed) != 0 {
			rt.Fatalf("%d never ended", len(owed))
		}
	})
}
