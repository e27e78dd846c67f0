package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func options() Options {
	return Options{Classes: []Class{{Priority: 2, LatencyObjective: 600 * ms, Idempotent: true}, {Priority: 10, LatencyObjective: 600 * ms}}, Quotas: []float64{0.5, 0.5},
		MaxRetryAfter: time.Second, MaxRemembered: 256, Seed: 1}
}

// fleetSim is clients and a fleet around a Controller. The fleet answers in a time that rises with what it holds over what it can hold, or
// not at all; clients that are rejected, or not served, retry.
type fleetSim struct {
	t                  testing.TB
	controller         *Controller
	rng                *rand.Rand
	now                time.Duration
	capacity           int     // requests that the fleet can hold at the usual speed; 0: it does not answer
	rate               float64 // first attempts a second
	maxAttempts        int
	pause              time.Duration // of clients before they retry; 0: their Retry-After
	marksRetries       bool
	failureRatio       float64 // share of what is sent
	tenant             func() int
	next               int
	inFlight           int
	agenda             map[time.Duration][]func()
	requests           [2][2]int // by class, first attempts and retries
	inTime             [2]int
	rejections         [2][2]int
	rejectionsByTenant [2]int
	states             map[State]bool
}

func newFleetSim(t testing.TB) *fleetSim {
	return &fleetSim{t: t, controller: New(options()), rng: rand.New(rand.NewPCG(1, 1)), now: time.Second, capacity: 60, rate: 150, maxAttempts: 3,
		marksRetries: true, tenant: func() int { return 0 }, agenda: map[time.Duration][]func(){}, states: map[State]bool{}}
}

// run lets clients send for a time, in steps of a millisecond.
func (c *fleetSim) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += ms {
		todo := c.agenda[c.now]
		delete(c.agenda, c.now)
		for _, do := range todo {
			do()
		}
		for x := c.rate / 1000; x > 0 && c.rng.Float64() < x; x-- {
			c.next++
			class := 0
			if c.rng.Float64() < 0.33 {
				class = 1
			}
			c.send(class, c.tenant(), fmt.Sprint(c.next), 1)
		}
		c.states[c.controller.Counts().State] = true
	}
}

func (c *fleetSim) schedule(d time.Duration, do func()) {
	c.agenda[c.now+max(ms, d.Round(ms))] = append(c.agenda[c.now+max(ms, d.Round(ms))], do)
}

func (c *fleetSim) send(class, tenant int, key string, try int) {
	again := min(try-1, 1)
	c.requests[class][again]++
	p, rejection := c.controller.Arrive(c.now, Request{Class: class, Tenant: tenant, Key: key, IsRetry: try > 1 && c.marksRetries, Deadline: c.now + 2*time.Second})
	retry := func(after time.Duration) {
		if c.pause > 0 {
			after = c.pause
		}
		if try < c.maxAttempts {
			c.schedule(after, func() { c.send(class, tenant, key, try+1) })
		}
	}
	if p == nil {
		if rejection.RetryAfter <= 0 || rejection.RetryAfter > time.Second {
			c.t.Errorf("Retry-After is %v", rejection.RetryAfter)
		}
		c.rejections[class][again]++
		c.rejectionsByTenant[tenant]++
		retry(rejection.RetryAfter)
		return
	}
	if c.capacity == 0 {
		c.schedule(2*time.Second, func() { c.controller.Done(c.now, p, OutcomeFailed); retry(100 * ms) })
		return
	}
	c.inFlight++
	took := time.Duration(float64(200*ms) * max(1, float64(c.inFlight)/float64(c.capacity)))
	c.schedule(took, func() {
		c.inFlight--
		if c.rng.Float64() < c.failureRatio {
			c.controller.Done(c.now, p, OutcomeFailed)
			retry(100 * ms)
			return
		}
		c.controller.Done(c.now, p, OutcomeServed)
		if took <= 600*ms {
			c.inTime[class]++
		}
	})
}

// resetCounts forgets the counts so far.
func (c *fleetSim) resetCounts() {
	c.requests, c.rejections, c.inTime, c.rejectionsByTenant, c.states = [2][2]int{}, [2][2]int{}, [2]int{}, [2]int{}, map[State]bool{}
}

// Requests arrive and end in any order and at any time. In state Normal none is rejected, one that may have run never is, the count of
// requests in flight returns to zero, and nothing is kept of what has ended.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		controller, now := New(options()), time.Second
		var open []*Permit
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				a := Request{Class: rapid.IntRange(0, 1).Draw(rt, "class"), Tenant: rapid.IntRange(-1, 2).Draw(rt, "tenant"),
					Key: rapid.StringMatching(`[a-e]?`).Draw(rt, "key"), IsRetry: rapid.Bool().Draw(rt, "again"),
					MayHaveRun: rapid.Bool().Draw(rt, "bound"), Deadline: now + time.Duration(rapid.IntRange(1, 2000).Draw(rt, "patience"))*ms}
				p, rejection := controller.Arrive(now, a)
				if p == nil && (a.MayHaveRun || controller.Counts().State == Normal || rejection.RetryAfter <= 0 || rejection.RetryAfter > time.Second) {
					rt.Fatalf("%+v is rejected in %v until %v", a, controller.Counts().State, rejection.RetryAfter)
				}
				if p != nil {
					open = append(open, p)
				}
			},
			"done": func(rt *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
					controller.Done(now, open[i], Outcome(rapid.IntRange(0, 3).Draw(rt, "end")))
					controller.Done(now, open[i], OutcomeFailed) // a second end does not count
					open = append(open[:i], open[i+1:]...)
				}
			},
			"pass": func(rt *rapid.T) { now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "time")) * ms },
			"": func(rt *rapid.T) {
				if c := controller.Counts(); c.InFlight < 0 || c.InFlight > len(open) || c.Limit < 0 || controller.expectedRetries.Len() > 256 {
					rt.Fatalf("%+v with %d open", c, len(open))
				}
			},
		})
		for _, p := range open {
			controller.Done(now, p, OutcomeServed)
		}
		controller.advance(now + time.Second)
		if c := controller.Counts(); c.InFlight != 0 || len(controller.permits) != 0 {
			rt.Fatalf("left: %+v, %d in the queue", c, len(controller.permits))
		}
	})
}

// The fleet stops answering, then comes back at two fifths of its capacity, while clients retry at once. The outage is detected, next to no
// request that must not run twice is lost in it, refunds are served first when the fleet is back, and the state ends Normal.
func TestOutageIsDetectedAndRecoveredFrom(t *testing.T) {
	for _, marked := range []bool{true, false} {
		for _, pause := range []time.Duration{0, 100 * ms} {
			c := newFleetSim(t)
			c.marksRetries, c.pause = marked, pause
			c.run(10 * time.Second)
			if c.controller.counts.Overloads > 0 || c.rejections != [2][2]int{} {
				t.Fatalf("an overload in normal times: %+v", c.controller.Counts())
			}
			fullCapacity := c.capacity
			c.capacity = 0
			c.run(2 * time.Second)
			c.resetCounts()
			c.run(10 * time.Second)
			if s := c.controller.Counts(); s.State != Overloaded {
				t.Errorf("the outage is taken for %v", s.State)
			}
			if in := c.requests[1][0] - c.rejections[1][0]; in > 20 { // retries of what may have run are admitted, as they must be
				t.Errorf("%d new refunds were sent to a fleet that does not answer", in)
			}
			c.capacity = 2 * fullCapacity / 5
			c.run(2 * time.Second)
			c.resetCounts()
			c.run(4 * time.Second)
			refunds, checks := float64(c.inTime[1])/float64(c.requests[1][0]), float64(c.inTime[0])/float64(c.requests[0][0])
			if refunds < 0.9 || checks > refunds {
				t.Errorf("back at two fifths: %.2f of the refunds in time, %.2f of the checks", refunds, checks)
			}
			c.capacity = fullCapacity
			c.run(10 * time.Second)
			c.resetCounts()
			c.run(5 * time.Second)
			if s := c.controller.Counts(); s.State != Normal || c.inTime[0]+c.inTime[1] < (c.requests[0][0]+c.requests[1][0])*9/10 {
				t.Errorf("after it: %+v, %v in time of %v", s, c.inTime, c.requests)
			}
		}
	}
}

// Load rises without retries, half of everything fails, an agent is nearly idle, clients repeat what was served, or the clock leaps. None
// of these is an overload.
func TestNormalDaysAreNoOverload(t *testing.T) {
	for name, change := range map[string]func(*fleetSim){
		"a rise of load without retries":               func(c *fleetSim) { c.rate, c.capacity, c.maxAttempts = 450, 90, 1 },
		"half of everything fails, and nobody retries": func(c *fleetSim) { c.failureRatio, c.maxAttempts = 0.5, 1 },
		"a quiet agent": func(c *fleetSim) { c.rate, c.capacity = 0.05, 0 },
		"repeated requests that are served": func(c *fleetSim) {
			c.capacity = 120
			for i := range 2000 {
				c.schedule(time.Duration(i)*5*ms, func() { c.send(0, 0, "popular", 2) })
			}
		},
		"the clock leaps": func(c *fleetSim) {
			c.run(time.Second)
			c.agenda = map[time.Duration][]func(){}
			c.inFlight = 0
			c.now += time.Hour
		},
	} {
		c := newFleetSim(t)
		c.run(5 * time.Second)
		change(c)
		c.run(15 * time.Second)
		if s := c.controller.Counts(); s.Overloads > 0 || c.rejections != [2][2]int{} {
			t.Errorf("%s: %+v, rejected %v", name, s, c.rejections)
		}
	}
}

// One tenant retries without end and overloads the fleet. Its own requests are rejected rather than those of the other tenant.
func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	c := newFleetSim(t)
	c.run(5 * time.Second)
	c.maxAttempts, c.pause, c.rate, c.capacity = 8, 50*ms, 400, 60
	c.tenant = func() int { return min(1, c.rng.IntN(10)) ^ 1 } // one in ten is of tenant 1
	c.run(3 * time.Second)
	c.resetCounts()
	c.run(10 * time.Second)
	busy, quiet := c.rejectionsByTenant[0], c.rejectionsByTenant[1]
	if c.controller.counts.Overloads == 0 || quiet*9 >= busy {
		t.Errorf("rejected: %d of the busy tenant, %d of the quiet one with a ninth of the requests; %+v", busy, quiet, c.controller.Counts())
	}
}

// In an outage a retry of a request that may have run is admitted where others are rejected, however many rejected keys there are beside
// it. One rejection explains one retry: of 20 clients with the same form most are no retries.
func TestRetryOfPossiblyRunRequestIsAdmitted(t *testing.T) {
	c := newFleetSim(t)
	c.run(3 * time.Second)
	c.capacity = 0
	c.run(5 * time.Second)
	p, _ := c.controller.Arrive(c.now, Request{Class: 1, Key: "r", MayHaveRun: true, Deadline: c.now + time.Second})
	if p == nil || c.controller.Counts().State == Normal {
		t.Fatalf("in %v a request that may have run was rejected", c.controller.Counts().State)
	}
	c.controller.Done(c.now, p, OutcomeFailed)
	for i := range 1000 { // rejections push out nothing that may have run
		c.controller.Arrive(c.now, Request{Class: 1, Key: fmt.Sprint("flood", i), Deadline: c.now + time.Second})
	}
	for i, key := range append(slices.Repeat([]string{"r"}, 30), "other") { // so many that no retry budget is left
		if p, _ := c.controller.Arrive(c.now, Request{Class: 1, Key: key, IsRetry: true, Deadline: c.now + time.Second}); (p != nil) != (key == "r") {
			t.Errorf("%d: %s is admitted: %v", i, key, p != nil)
		}
	}
	c.resetCounts()
	again := c.controller.retries
	for range 20 {
		c.controller.Arrive(c.now, Request{Class: 0, Key: "popular", Deadline: c.now + time.Second})
	}
	if got := c.controller.retries - again; got > 19 || got < 1 || c.controller.expectedRetries.Len() > 256 {
		t.Errorf("%v of 20 that ask for one form count as retries", got)
	}
}

// Four hundred requests are rejected at once. Their Retry-After are spread, so that they do not come back together.
func TestRetryAfterIsSpread(t *testing.T) {
	c := newFleetSim(t)
	c.run(3 * time.Second)
	c.capacity = 0
	c.run(5 * time.Second)
	in := map[time.Duration]int{}
	for range 400 {
		if p, rejection := c.controller.Arrive(c.now, Request{Class: 1, Deadline: c.now + time.Second}); p == nil {
			in[rejection.RetryAfter.Truncate(50*ms)]++
		}
	}
	for at, n := range in {
		if n > 80 || at < 450*ms {
			t.Errorf("%d of 400 are told to retry in the 50 ms from %v", n, at)
		}
	}
}

// A class is added while the controller runs, and another one loses its priority. Each has the share of the limit that its priority gives.
func TestClassesMayChange(t *testing.T) {
	controller := New(Options{Classes: []Class{{Priority: 1, LatencyObjective: time.Second, Idempotent: true}, {Priority: 10, LatencyObjective: time.Second}}, MaxRemembered: 10})
	if controller.fillableShare[1] != 1 || controller.fillableShare[0] >= 1 {
		t.Fatalf("shares of the limit %v", controller.fillableShare)
	}
	controller.Retune([]Class{{Priority: 0, LatencyObjective: time.Second, Idempotent: true}, {Priority: 10, LatencyObjective: time.Second}, {Priority: 100, LatencyObjective: time.Second}})
	if controller.fillableShare[2] != 1 || controller.fillableShare[1] >= 1 || controller.fillableShare[0] >= controller.fillableShare[1] {
		t.Errorf("shares of the limit %v", controller.fillableShare)
	}
	p, _ := controller.Arrive(time.Second, Request{Class: 2, Deadline: 2 * time.Second})
	controller.Done(time.Second, p, OutcomeServed)
	if n := len(controller.Counts().Rejected); n != 3 {
		t.Errorf("%d classes are counted", n)
	}
}
