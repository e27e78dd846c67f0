package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/admission"
)

const (
	form, refund = 0, 1
	second       = time.Second
	start        = 10 * second // of a recovery, on the tests' clock
)

func options(agents, self int) Options {
	return Options{Agents: agents, Self: self, ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond, ColdOverloadFactor: 3, MaxRetryAfter: second, Seed: uint64(self),
		Classes: []Class{{"form-check", 2, 600 * time.Millisecond, true}, {"refund-record", 10, 600 * time.Millisecond, false}}}
}

// known is what an agent remembers that was served so much, of a fleet that was that busy.
func known(servers int, forms, refunds, use float64) Baseline {
	b := Baseline{ClassRates: []float64{forms, refunds}, Utilization: use}
	for i := range servers {
		b.Servers = append(b.Servers, BaselineServer{ID: fmt.Sprint("s-", i), Cell: i / 3, Ready: true, Capacity: 45})
	}
	return b
}

func ask(class int) admission.Request { return admission.Request{Class: class, Deadline: 1 << 62} }

// All agents come back at once to a fleet that is cold, with clients who ask for several times the usual, and nobody hears of
// anybody: in no 3 s does the sum of what is let in come to what would topple the fleet, whatever it was used to and however the
// load is spread. Agents that remember nothing are among them.
func TestTheSumOverAllAgentsTopplesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 12
		agents := rapid.SampledFrom([]int{1, 3, 20, 100}).Draw(t, "agents")
		use := rapid.Float64Range(0.1, 0.9).Draw(t, "use")
		times := rapid.Float64Range(0.5, 5).Draw(t, "asked for, times the usual")
		empty := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "share of empty disks")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		capacity := servers * 45.0
		var all []*Controller
		var rates []float64
		for i := range agents {
			rate := use * capacity / float64(agents) * (0.3 + 0.7*random.ExpFloat64())
			rates = append(rates, rate)
			r := New(options(agents, i), nil)
			before := known(servers, rate*0.67, rate*0.33, use)
			if random.Float64() < empty {
				before = Baseline{Servers: before.Servers}
			}
			r.Start(start, before, "power")
			all = append(all, r)
		}
		served := 0.0
		for _, r := range rates {
			served += r
		}
		capacity = max(capacity, served/use) // what was served was within what it can do
		step, let, window := 20*time.Millisecond, []int{}, 0
		for now := start; now < start+6*second; now += step {
			n := 0
			for i, r := range all {
				if now == start+400*time.Millisecond { // the first answers
					r.ObserveAttempt(now, fmt.Sprint("s-", i%servers), true, false, -1, -1)
				}
				for x := random.Float64(); x < rates[i]*times*step.Seconds(); x++ {
					a := ask(form)
					if random.Float64() < 0.33 {
						a.Class = refund
					}
					a.IsRetry = x > rates[i]*step.Seconds()
					if p, _ := r.Arrive(now, a); p != nil {
						n++
					}
				}
			}
			let = append(let, n)
			if window += n; len(let) > 150 {
				window -= let[len(let)-151]
			}
			cold := 0.32 + 0.68*max(0, (now-start-3*second).Seconds())/8.7
			if most := 3 * cold * capacity * min(3, (now-start).Seconds()+0.5); float64(window) > most {
				t.Fatalf("%v after the start %d were let in within 3 s, %.0f topple it", now-start, window, most)
			}
		}
	})
}

// Of what a cold fleet can do the class that is worth most gets what it asks, and the other what is left; service returns in the
// stated order, and all is let in at the end.
func TestRefundsComeFirst(t *testing.T) {
	r := New(options(4, 0), nil)
	r.Start(start, known(12, 42, 21, 0.5), "power")
	var phases []Phase
	let, asked := [2]int{}, [2]int{}
	for i := range 15 * 60 {
		now := start + time.Duration(i)*second/60
		if i == 20 {
			r.ObserveAttempt(now, "s-1", true, false, 20, 0.8)
		}
		{
			class := form
			if i%3 == 0 {
				class = refund
			}
			p, told := r.Arrive(now, ask(class))
			if now < start+4*second {
				asked[class]++
				if p != nil {
					let[class]++
				}
			}
			if p == nil && (told.RetryAfter < 300*time.Millisecond || told.RetryAfter > second) {
				t.Fatalf("to come back after %v", told.RetryAfter)
			}
		}
		if st := r.Status(now); len(phases) == 0 || phases[len(phases)-1] != st.Phase {
			phases = append(phases, st.Phase)
		}
	}
	if part := float64(let[form]) / float64(asked[form]); part > 0.6 || let[form] == 0 {
		t.Errorf("%.2f of the form-checks were let in to a cold fleet", part)
	}
	if part := float64(let[refund]) / float64(asked[refund]); part < 0.85 || part < 1.5*float64(let[form])/float64(asked[form]) {
		t.Errorf("%.2f of the refunds were let in, %v of %v", part, let, asked)
	}
	if phases[0] != TrialRequests || phases[len(phases)-1] != FullService {
		t.Errorf("the phases were %v", phases)
	}
}

// As long as the class that is worth most does not get all that it asks, the other gets next to nothing.
func TestNothingIsLeftForOthers(t *testing.T) {
	r := New(options(1, 0), nil)
	r.Start(start, known(12, 40, 160, 0.9), "power")
	r.ObserveAttempt(start, "s-1", true, false, 20, 0.8)
	let := [2]int{}
	for i := range 400 { // in 2 s
		if p, _ := r.Arrive(start+time.Duration(i)*5*time.Millisecond, ask(min(i%5, 1))); p != nil {
			let[min(i%5, 1)]++
		}
	}
	if let[refund] < 50 || let[refund] > 250 || let[form] > 8 {
		t.Errorf("%d form-checks and %d refunds were let in", let[form], let[refund])
	}
}

// With servers that are still dark the agents dial seldom, ever less, and each server is found by the one whose turn it is.
func TestTrialsOfADarkFleetAreFew(t *testing.T) {
	const agents, servers = 50, 12
	dials, late, first := 0, 0, map[string]int{}
	for self := range agents {
		r := New(options(agents, self), nil)
		r.Start(start, known(servers, 60, 40, 0.5), "power")
		for now := start; now < start+60*second; now += 20 * time.Millisecond {
			p, _ := r.Arrive(now, ask(form))
			if p == nil {
				continue
			}
			if now > start+50*second {
				late++
			} else if now < start+10*second {
				dials++
			}
			if len(p.Endpoints) != 1 {
				t.Fatalf("a trial may go to %v", p.Endpoints)
			}
			if now < start+second {
				first[p.Endpoints[0]]++
			}
			r.ObserveAttempt(now, p.Endpoints[0], false, true, -1, -1)
			r.Done(now, p, admission.OutcomeRejected)
		}
		if r.phase != TrialRequests {
			t.Fatal(r.phase)
		}
	}
	// Whose turn a server is tries it four times until tryMost and then every 1 to 3 s; others wait for four times as long.
	if most := servers * (10 + 5*agents); dials > most || dials < servers*agents {
		t.Errorf("%d dials in 10 s, at most %d are meant", dials, most)
	}
	if late < servers*agents/2 {
		t.Errorf("%d dials in the last 10 s: some would not find the servers when they are back", late)
	}
	if len(first) < servers/2 {
		t.Errorf("the first dials of all agents went to %d servers: %v", len(first), first)
	}
}

// A trial of which nothing is heard, as the module did not know the server yet or it hangs, does not keep it from being tried again.
func TestATrialOfWhichNothingIsHeard(t *testing.T) {
	r := New(options(1, 0), nil)
	r.Start(start, known(3, 60, 40, 0.5), "power")
	for now := start; now < start+30*second; now += 20 * time.Millisecond {
		p, _ := r.Arrive(now, ask(form))
		if p == nil {
			continue
		}
		r.Done(now, p, admission.OutcomeRejected)
		if now > start+20*second {
			return
		}
	}
	t.Error("no server is tried any more")
}

// A server's start is told to the module as its age and the others' want it.
func TestStartsAsTheModuleIsTold(t *testing.T) {
	list := func(r *Controller, now, started time.Duration, ids ...string) {
		for _, id := range ids {
			r.UpdateServer(now, Server{ID: id, Ready: true, Started: started}, true)
		}
		r.ListApplied(now)
	}
	for _, c := range []struct {
		name string
		do   func(r *Controller)
		id   string
		want time.Duration
	}{
		{"in calm the list's", func(r *Controller) { list(r, 5*second, 4*second, "s-0") }, "s-0", 4 * second},
		{"of a fleet that is cold as a whole, none", func(r *Controller) {
			r.Start(start, known(3, 1, 1, 0.5), "power")
			list(r, start+second, start, "s-0", "s-1", "s-2")
		}, "s-0", 0},
		{"of one that answers long after the first, its answer", func(r *Controller) {
			r.Start(start, known(3, 1, 1, 0.5), "power")
			r.ObserveAttempt(start+second, "s-0", true, false, -1, -1)
			r.ObserveAttempt(start+5*second, "s-1", true, false, -1, -1)
		}, "s-1", start + 5*second},
		{"of one that answers soon after the first, none", func(r *Controller) {
			r.Start(start, known(3, 1, 1, 0.5), "power")
			r.ObserveAttempt(start+second, "s-0", true, false, -1, -1)
			r.ObserveAttempt(start+2*second, "s-1", true, false, -1, -1)
		}, "s-1", 0},
		{"of one that the list has started since it answered, the list's", func(r *Controller) {
			r.Start(start, known(3, 1, 1, 0.5), "power")
			r.ObserveAttempt(start+second, "s-0", true, false, -1, -1)
			list(r, start+9*second, start+8*second, "s-0")
		}, "s-0", start + 8*second},
		{"of one that the list says has run for long, none", func(r *Controller) {
			r.Start(start, known(3, 1, 1, 0.5), "power")
			list(r, start+second, 0, "s-0", "s-1", "s-2")
		}, "s-0", 0},
		{"of a few that start in calm, the list's", func(r *Controller) {
			list(r, start, 0, "s-0", "s-1", "s-2")
			list(r, start+second, start+second, "s-1")
		}, "s-1", start + second},
		{"of all that start at once in calm, none", func(r *Controller) {
			list(r, start, 0, "s-0", "s-1", "s-2")
			list(r, start+second, start+second, "s-0", "s-1", "s-2")
		}, "s-2", 0},
	} {
		r := New(options(1, 0), nil)
		if c.do(r); r.EffectiveStart(c.id, r.servers[c.id].started) != c.want {
			t.Errorf("%s: %v, want %v", c.name, r.EffectiveStart(c.id, 0), c.want)
		}
	}
}

// A pod may be asked for its memory only while one of its servers may have run on.
func TestAPodThatMayHaveForgotten(t *testing.T) {
	fresh := func() *Controller {
		r := New(options(1, 0), nil)
		for i := range 6 {
			r.UpdateServer(second, Server{ID: fmt.Sprint("s-", i), Cell: i / 3, Ready: true}, true)
		}
		r.ListApplied(second)
		return r
	}
	const sent = start
	for _, c := range []struct {
		name string
		do   func(r *Controller)
		want bool
	}{
		{"nothing has happened", func(*Controller) {}, true},
		{"one broke off", func(r *Controller) { r.ObserveAttempt(sent+1, "s-0", false, true, -1, -1) }, true},
		{"all three broke off", func(r *Controller) {
			for i := range 3 {
				r.ObserveAttempt(sent+1, fmt.Sprint("s-", i), false, true, -1, -1)
			}
		}, false},
		{"two broke off and one has started anew", func(r *Controller) {
			r.ObserveAttempt(sent+1, "s-0", false, true, -1, -1)
			r.ObserveAttempt(sent+1, "s-1", false, true, -1, -1)
			r.UpdateServer(sent+2, Server{ID: "s-2", Ready: true, Started: sent + 1}, true)
		}, false},
		{"all three broke off while service returned", func(r *Controller) {
			r.Start(sent-second, known(6, 1, 1, 0.5), "power")
			for i := range 3 {
				r.ObserveAttempt(sent+1, fmt.Sprint("s-", i), false, true, -1, -1)
			}
		}, false},
		{"another pod broke off", func(r *Controller) {
			for i := range 3 {
				r.ObserveAttempt(sent+1, fmt.Sprint("s-", 3+i), false, true, -1, -1)
			}
		}, true},
		{"the agent has lost power since", func(r *Controller) { r.Start(sent+second, known(6, 1, 1, 0.5), "power") }, false},
	} {
		r := fresh()
		if c.do(r); r.AllowsRetryIn(0, sent) != c.want {
			t.Errorf("%s: %v", c.name, !c.want)
		}
	}
}

// A door behind gets all that comes in calm, and its own passes back.
func TestTheDoorBehind(t *testing.T) {
	behind := admission.New(admission.Options{Classes: []admission.Class{{Priority: 2, LatencyObjective: second, Idempotent: true}, {Priority: 10, LatencyObjective: second}}, MaxRemembered: 8})
	r := New(options(1, 0), behind)
	calm, _ := r.Arrive(second, ask(form))
	r.Start(start, known(3, 1, 1, 0.5), "power")
	r.Done(start, calm, admission.OutcomeServed)
	for range 20 {
		if p, _ := r.Arrive(start, ask(refund)); p != nil {
			r.Done(start+second, p, admission.OutcomeServed)
		}
	}
	if n := behind.Counts().InFlight; n != 0 {
		t.Errorf("the door behind has %d in flight", n)
	}
}
