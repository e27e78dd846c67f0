package overload

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
)

var classes = []admission.Class{{Priority: 2, LatencyObjective: 600 * time.Millisecond, Idempotent: true}, {Priority: 10, LatencyObjective: 600 * time.Millisecond}}

const check, refund = 0, 1

func newLocal(seed uint64) *admission.Controller {
	return admission.New(admission.Options{Classes: classes, MaxRetryAfter: time.Second, MaxRemembered: 100, Seed: seed})
}

func newController(agents int) *AdmissionController {
	d := New(Options{Agents: agents, Classes: classes, TenantQuotas: []float64{0.5, 0.5}, MaxRetryAfter: time.Second, Seed: 1}, newLocal(2))
	d.HandleLiveness(slices.Repeat([]bool{true}, agents))
	return d
}

// testDigest is that of an agent with such rates of new requests, half of them of each tenant, that admits and serves all.
func testDigest(agent int, checks, refunds float64) LoadDigest {
	all := checks + refunds
	return LoadDigest{Agent: agent, NewRequests: []float64{checks, refunds}, ClientRetries: []float64{0, 0}, Tenants: []float64{all / 2, all / 2}, Requests: all, Admitted: all, ServedInTime: all}
}

const start = 10 * time.Second

// addServers lists n servers and reports the utilization and capacity of each, by own answers or by reports of others.
func addServers(d *AdmissionController, now time.Duration, n int, use, capacity float64, own bool) {
	for i := range n {
		id := fmt.Sprint("s-", i)
		d.UpdateServer(id, true, true)
		if own {
			d.AttemptSent(now, id, false)
			d.AttemptEnded(now, id, balancer.OK, balancer.Report{Utilization: use, ServedRate: use * capacity})
		} else {
			d.view.applyReport(now, LoadReport{Server: ServerID(id), Utilization: use, Capacity: capacity}, false)
		}
	}
}

// restoreTrust makes plans until the view is trusted in full, and returns the last.
func restoreTrust(d *AdmissionController, now time.Duration) plan {
	for range 40 {
		d.plannedAt = now - time.Second
		d.refreshPlan(now)
	}
	return d.plan
}

// Any payload of the largest size is written and read again: numbers of agents and ages exactly, rates within 3%.
func TestPayloadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 5000)
		rates := func(n int) (all []float64) {
			for range n {
				all = append(all, rate.Draw(t, "rate"))
			}
			return all
		}
		classes, tenants := rapid.IntRange(0, MaxClasses).Draw(t, "classes"), rapid.IntRange(0, MaxTenants).Draw(t, "tenants")
		d := LoadDigest{Agent: rapid.IntRange(0, 65535).Draw(t, "agent"), Age: time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * ageUnit,
			NewRequests: rates(classes), ClientRetries: rates(classes), Tenants: rates(tenants), Requests: 1, Admitted: rate.Draw(t, "admitted"), InFlight: 3, ServedInTime: 2, LateOrFailed: 0}
		in := Payload{IsBusy: rapid.Bool().Draw(t, "busy"), Digests: []LoadDigest{d}, Reports: []LoadReport{{7, 0.5, rate.Draw(t, "capacity"), ageUnit}}, Observations: []Observation{{8, 9, 2 * ageUnit}}}
		text := in.appendTo(nil)
		if want := 1 + digestBytes(classes, tenants) + reportBytes + observationBytes; len(text) != want {
			t.Fatalf("%d bytes, not %d", len(text), want)
		}
		out, err := parsePayload(text)
		if err != nil || out.IsBusy != in.IsBusy || len(out.Digests) != 1 || len(out.Reports) != 1 || len(out.Observations) != 1 || out.Observations[0] != in.Observations[0] {
			t.Fatalf("%+v, %v", out, err)
		}
		near := func(a, b float64) bool { return a == b || math.Abs(a/b-1) < 0.03 }
		got := out.Digests[0]
		if got.Agent != d.Agent || got.Age != d.Age || got.LateOrFailed != 0 || !near(got.Admitted, d.Admitted) || !near(out.Reports[0].Capacity, in.Reports[0].Capacity) ||
			!slices.EqualFunc(got.NewRequests, d.NewRequests, near) || !slices.EqualFunc(got.ClientRetries, d.ClientRetries, near) || !slices.EqualFunc(got.Tenants, d.Tenants, near) {
			t.Fatalf("%+v, not %+v", got, d)
		}
	})
}

// Whatever three agents send, the plan that follows has no negative, infinite or undefined rate, and the next payload keeps to its length.
func FuzzPayload(f *testing.F) {
	f.Add(Payload{IsBusy: true, Digests: []LoadDigest{testDigest(3, 10, 5)}, Reports: []LoadReport{{1, 0.5, 80, 0}}, Observations: []Observation{{1, 2, 0}}}.appendTo(nil))
	f.Add([]byte{0, recordDigest, 0, 1, 2, 0xff})
	f.Add([]byte{1, 99})
	f.Fuzz(func(t *testing.T, text []byte) {
		d := newController(4)
		for i := range 3 {
			besteffort.Ignore(d.HandlePayload(start+time.Duration(i)*time.Second, 1+i%3, text))
		}
		p := restoreTrust(d, start+3*time.Second)
		for _, x := range append(append([]float64{p.limit, p.rejectedRatio, p.trust}, p.demand.NewRequests...), p.demand.ClientRetries...) {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Fatalf("%+v", p)
			}
		}
		if payload, _ := d.NextPayload(start+4*time.Second, 203); len(payload) > 203 {
			t.Fatalf("a payload of %d bytes", len(payload))
		}
	})
}

// A payload keeps to the room that it is given, however little that is, with much to tell.
func TestPayloadKeepsToItsRoom(t *testing.T) {
	for room := range 203 {
		d := newController(5)
		addServers(d, start, 20, 0.5, 80, false)
		if payload := d.view.buildPayload(start, testDigest(0, 10, 5), true, room); len(payload) > room {
			t.Errorf("%d bytes where %d are allowed", len(payload), room)
		}
	}
}

// overloadedController is one of five, of which the others are asked for at least so many form-checks a second and any number of refunds, and
// for retries as drawn; and its plan.
func overloadedController(t *rapid.T, checks float64, retries *rapid.Generator[float64]) (*AdmissionController, plan) {
	const agents = 5
	d := newController(agents)
	addServers(d, start, 6, 0.8, rapid.Float64Range(20, 100).Draw(t, "capacity"), true)
	for i := 1; i < agents; i++ {
		of := testDigest(i, rapid.Float64Range(checks, 400).Draw(t, "checks"), rapid.Float64Range(0, 400).Draw(t, "refunds"))
		of.ClientRetries[check], of.ClientRetries[refund] = retries.Draw(t, "retries"), retries.Draw(t, "retries")
		d.view.applyPayload(start, of.Agent, Payload{Digests: []LoadDigest{of}})
	}
	return d, restoreTrust(d, start)
}

// Five agents are asked for any mix of requests. Refunds, the class of the higher priority, are admitted before form-checks, within a class
// each bucket before the next, and all together not over the limit. A key that is rejected is rejected again on its retry.
func TestAdmissionFollowsPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, p := overloadedController(t, 0, rapid.Float64Range(0, 100))
		if p.trust != 1 {
			t.Fatalf("trust is %v", p.trust)
		}
		if p.admitProbabilities == nil {
			return
		}
		last, admitted := 1.0, 0.0
		for _, c := range []int{refund, check} {
			for b, chance := range p.admitProbabilities[c] {
				want := p.demand.NewRequests[c]
				if b%2 == 1 {
					want = p.demand.ClientRetries[c]
				}
				over := 0.0
				for _, x := range p.overQuota[c] {
					over += x / 2 // both tenants ask for the same
				}
				if b >= 2 {
					want *= over
				} else {
					want *= 1 - over
				}
				if admitted += want * chance; want > 1e-6 {
					if chance > 1e-9 && last < 1-1e-9 {
						t.Fatalf("class %d, bucket %d is admitted with %v where one before it is rejected: %v", c, b, chance, p.admitProbabilities)
					}
					last = chance
				}
			}
		}
		if admitted > p.limit*1.0001 {
			t.Fatalf("%v are admitted, over the limit of %v", admitted, p.limit)
		}
		for i := range 50 {
			a := admission.Request{Class: check, Tenant: i % 2, Key: fmt.Sprint(i), Deadline: start + 2*time.Second}
			if d.rejects(start, a, false, d.drawLot(start, a)) {
				if !d.rejects(start+time.Second, a, true, d.drawLot(start+time.Second, a)) {
					t.Fatal("what was rejected is admitted on its retry")
				}
			}
		}
	})
}

// Form-checks are admitted in part, so that nothing is left for the buckets behind them. Of retries next to nothing is asked for, as decaying
// rates never become 0. They are rejected all the same: what rounding leaves of the capacity would admit all of them.
func TestNothingIsAdmittedBehindPartialBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, p := overloadedController(t, 200, rapid.Just(1e-29)) // retries: some seconds ago
		isPartial := false
		for _, c := range []int{refund, check} {
			for b, chance := range p.admitProbabilities[c] {
				if isPartial && chance > 0 {
					t.Fatalf("class %d, bucket %d is admitted with %v: %v", c, b, chance, p.admitProbabilities)
				}
				isPartial = isPartial || chance < 1
			}
		}
		if !isPartial {
			t.Fatalf("all are admitted: %v", p.admitProbabilities)
		}
	})
}

// Tenants ask for more or less than their quotas of a limit. One that asks for less is served in full, and what it leaves is divided among
// the others by their quotas. Each case states the rates that are admitted.
func TestUnusedQuotaGoesToOtherTenants(t *testing.T) {
	for _, c := range []struct {
		asked, quotas []float64
		limit         float64
		admitted      []float64
	}{
		{[]float64{100, 100}, []float64{0.5, 0.5}, 300, []float64{100, 100}},
		{[]float64{1000, 100}, []float64{0.5, 0.5}, 300, []float64{200, 100}},
		{[]float64{1000, 1000}, []float64{0.25, 0.75}, 400, []float64{100, 300}},
		{[]float64{1000, 10, 500}, []float64{0.4, 0.2, 0.4}, 210, []float64{100, 10, 100}},
		{[]float64{1000, 0}, []float64{0.5, 0.5}, 0, []float64{0, 0}},
	} {
		over := overQuotaRatios(c.asked, c.quotas, c.limit)
		for i, x := range c.asked {
			if got := x * (1 - over[i]); math.Abs(got-c.admitted[i]) > 1e-6 {
				t.Errorf("%v by %v of %v: tenant %d has %v, not %v", c.asked, c.quotas, c.limit, i, got, c.admitted[i])
			}
		}
	}
}

// One of four agents claims a million requests, reports busy or strong servers, speaks for all others, says nothing or is dead. Each time the
// others' view moves no further than its bound, and without own answers the view isn't trusted at all.
func TestFaultyAgentIsBounded(t *testing.T) {
	const now = start
	honest := func() *AdmissionController {
		d := newController(4)
		addServers(d, now, 6, 0.45, 50, true)
		for i := 1; i < 3; i++ {
			d.view.applyPayload(now, i, Payload{Digests: []LoadDigest{testDigest(i, 40, 20)}})
		}
		return d
	}
	everything := testDigest(3, 1e6, 1e6)
	d := honest()
	d.view.applyPayload(now, 3, Payload{Digests: []LoadDigest{everything}})
	if p := restoreTrust(d, now); p.demand.NewRequests[check]+p.demand.NewRequests[refund] > 120+2*120+1 || d.view.counts.Capped == 0 {
		t.Errorf("its claim counts beyond its bound: %+v", p.demand)
	}
	// Its reports of busy servers and its claim reject nothing while own answers show servers at rest.
	d = newController(4)
	addServers(d, now, 6, 0.1, 50, true)
	for range 40 { // own
		d.ownRates.countRequest(now, check, 0, false, 0, 1)
	}
	for i := range 6 {
		d.view.applyReport(now+100*time.Millisecond, LoadReport{Server: ServerID(fmt.Sprint("s-", i)), Utilization: 1, Capacity: 1}, false)
	}
	d.view.applyPayload(now, 3, Payload{Digests: []LoadDigest{everything}})
	if p := restoreTrust(d, now+100*time.Millisecond); p.rejectedRatio > 0 {
		t.Errorf("%v are rejected by gossip alone", p.rejectedRatio)
	}
	// It can't claim in the name of all the others either.
	d = honest()
	for i := 1; i < 4; i++ {
		d.view.applyPayload(now+100*time.Millisecond, 3, Payload{Digests: []LoadDigest{testDigest(i, 1e6, 1e6)}})
	}
	if a := d.view.totalDemand(now+100*time.Millisecond, d.ownDigest(now+100*time.Millisecond), 300); a.NewRequests[check]+a.NewRequests[refund] > 2*300/8+1 {
		t.Errorf("what one agent claims for all counts for %v", a.NewRequests)
	}
	// Its reports of strong servers count for no more than twice what own answers showed,
	d = honest()
	for i := range 6 {
		d.view.applyReport(now+100*time.Millisecond, LoadReport{Server: ServerID(fmt.Sprint("s-", i)), Utilization: 0.1, Capacity: 1e6}, false)
	}
	allReady := func(uint32) bool { return true }
	if load := d.view.fleetCapacity(now+100*time.Millisecond, allReady); load.capacity > 660 {
		t.Errorf("servers are taken to serve %v", load.capacity)
	}
	d = newController(4) // also of servers that never answered this agent
	addServers(d, now, 1, 0.45, 50, true)
	addServers(d, now, 6, 0.1, 1e6, false)
	if load := d.view.fleetCapacity(now, allReady); load.capacity > 660 {
		t.Errorf("servers that never answered are taken to serve %v", load.capacity)
	}
	d = newController(4) // and without an own answer the local controller decides
	addServers(d, now, 6, 0.1, 1e6, false)
	d.view.applyPayload(now, 1, Payload{Digests: []LoadDigest{testDigest(1, 40, 20)}})
	if p := restoreTrust(d, now); p.trust != 0 {
		t.Errorf("by gossip alone the view is trusted %v", p.trust)
	}
	// An agent that says nothing counts as the mean of the others.
	d = honest()
	if p := restoreTrust(d, now); math.Abs(p.demand.NewRequests[check]-80*4.0/3) > 1 {
		t.Errorf("with one of four that says nothing the demand is %v", p.demand.NewRequests[check])
	}
	// An old digest, or one of a dead agent, doesn't count.
	d = honest()
	d.HandleLiveness([]bool{true, true, false, false})
	if a := d.view.totalDemand(now, d.ownDigest(now), 300); a.KnownAgents != 2 || a.NewRequests[check] != 40 {
		t.Errorf("%+v", a)
	}
	if a := d.view.totalDemand(now+digestTTL, d.ownDigest(now), 300); a.KnownAgents != 1 {
		t.Errorf("%+v", a)
	}
}

// An agent receives nothing from the nine others. For any sequence of requests it admits and rejects exactly what its local controller alone
// would, and counts the requests in flight.
func TestWithoutGossipAgentDecidesLocally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, local := newController(10), newLocal(2)
		now := start
		type both struct{ a, b *admission.Permit }
		var open []both
		for i := range 300 {
			now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
			a := admission.Request{Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: -1, Key: fmt.Sprint(i % 90), IsRetry: i%7 == 0, Deadline: now + 2*time.Second}
			p, _ := d.Arrive(now, a)
			q, _ := local.Arrive(now, a)
			if (p == nil) != (q == nil) {
				t.Fatalf("request %d: admitted %v, by the local controller alone %v", i, p != nil, q != nil)
			}
			if p != nil {
				open = append(open, both{p, q})
			}
			if len(open) > 5 {
				end := admission.Outcome(rapid.IntRange(0, 2).Draw(t, "end"))
				d.Done(now, open[0].a, end)
				local.Done(now, open[0].b, end)
				open = open[1:]
			}
		}
		if d.inFlight != len(open) {
			t.Fatalf("%d are in flight, not %d", d.inFlight, len(open))
		}
	})
}

// Agents report that a server doesn't serve them. All but two testers exclude it if the observations come from two living agents, are recent,
// and neither a report of the server nor an own answer is later. Never more than a third of the servers is excluded.
func TestOutliersAreExcludedByAgreement(t *testing.T) {
	const agents = 12
	ill := ServerID("s-0")
	holds := func(change func(d *AdmissionController)) (n int) {
		for self := range agents {
			d := newController(agents)
			d.SetFleetPosition(self, agents)
			d.HandleLiveness(slices.Repeat([]bool{true}, agents))
			addServers(d, start-2*time.Second, 8, 0.5, 50, false)
			change(d)
			if excluded := d.ExcludedServers(start); len(excluded) > 0 {
				if len(excluded) != 1 || excluded[0] != "s-0" {
					t.Fatalf("agent %d excludes %v", self, excluded)
				}
				n++
			}
		}
		return n
	}
	say := func(d *AdmissionController, age time.Duration, by ...int) {
		for _, agent := range by {
			d.view.applyObservation(start, agent, Observation{ill, agent, age})
		}
	}
	for _, c := range []struct {
		name string
		do   func(d *AdmissionController)
		want int
	}{
		{"one observation", func(d *AdmissionController) { say(d, 0, 3) }, 0},
		{"one that is repeated", func(d *AdmissionController) { say(d, time.Second, 3); say(d, 0, 3, 3) }, 0},
		{"two observations", func(d *AdmissionController) { say(d, 0, 3, 5) }, agents - testersPerServer},
		{"two that one agent sends", func(d *AdmissionController) {
			d.view.applyObservation(start, 3, Observation{ill, 3, 0})
			d.view.applyObservation(start, 3, Observation{ill, 5, 0})
		}, 0},
		{"two that are old", func(d *AdmissionController) { say(d, observationTTL, 3, 5) }, 0},
		{"one of them of a dead agent", func(d *AdmissionController) {
			say(d, 0, 3, 5)
			alive := slices.Repeat([]bool{true}, agents)
			alive[5] = false
			d.HandleLiveness(alive)
		}, 0},
		{"a report since", func(d *AdmissionController) {
			say(d, 100*time.Millisecond, 3, 5)
			d.view.applyReport(start, LoadReport{ill, 0.5, 50, 0}, false)
		}, 0},
		{"an own answer just before", func(d *AdmissionController) {
			addServers(d, start-300*time.Millisecond, 1, 0.5, 50, true)
			say(d, 0, 3, 5)
		}, 0},
	} {
		if got := holds(c.do); got != c.want {
			t.Errorf("%s: %d of %d agents exclude it, not %d", c.name, got, agents, c.want)
		}
	}
	d := newController(agents) // and never more than a third of the servers
	addServers(d, start-2*time.Second, 9, 0.5, 50, false)
	for i := range 9 {
		for agent := range 4 {
			d.view.applyObservation(start, agent+1, Observation{ServerID(fmt.Sprint("s-", i)), agent + 1, 0})
		}
	}
	if n := len(d.ExcludedServers(start)); n > 3 {
		t.Errorf("%d of 9 servers are excluded", n)
	}
}

// Some of the eight servers that an agent uses hang. It reports one or two of them; where five or all hang it is likely cut off itself, and
// reports none.
func TestIsolatedAgentReportsNoOutliers(t *testing.T) {
	for _, c := range []struct {
		hanging, reported int
	}{{0, 0}, {1, 1}, {2, 2}, {5, 0}, {8, 0}} {
		d := newController(3)
		for i := range 8 {
			id := fmt.Sprint("s-", i)
			d.UpdateServer(id, true, true)
			d.AttemptSent(start, id, false)
			if i >= c.hanging {
				d.AttemptEnded(start+100*time.Millisecond, id, balancer.OK, balancer.NoReport)
			}
		}
		d.refreshPlan(start + maxSilence)
		n := 0
		for _, s := range d.view.servers {
			n += len(s.observations)
		}
		if n != c.reported {
			t.Errorf("%d of 8 servers hang: it reports %d, not %d", c.hanging, n, c.reported)
		}
	}
}

// Three agents together have 200 new requests a second. While their extra attempts are under half of the retry budget this agent may always
// retry, above the budget never, and in between now and then.
func TestRetryBudgetIsFleetWide(t *testing.T) {
	for _, c := range []struct {
		extra           float64
		atLeast, atMost int
	}{{0, 1000, 1000}, {10, 1000, 1000}, {27, 100, 500}, {40, 0, 0}} {
		d := newController(3)
		addServers(d, start, 6, 0.3, 100, true)
		for agent := range 2 {
			of := testDigest(agent+1, 50, 50)
			of.ExtraAttempts = c.extra / 2
			d.view.applyPayload(start, of.Agent, Payload{Digests: []LoadDigest{of}})
		}
		restoreTrust(d, start)
		n := 0
		for range 1000 {
			if d.AllowsRetry(start) {
				n++
			}
		}
		if n < c.atLeast || n > c.atMost {
			t.Errorf("with %v extra attempts for 200 requests a second, %d of 1000 retries are allowed", c.extra, n)
		}
	}
}

// Forty-nine agents send fifty thousand payloads of ever new agents and servers. What is remembered stays within its limits, and so does the
// length and the number of payloads that are sent.
func TestMemoryIsBounded(t *testing.T) {
	d := newController(50)
	d.UpdateServer("s", true, true)
	for i := range 50_000 {
		now := start + time.Duration(i)*time.Millisecond
		besteffort.Ignore(d.HandlePayload(now, 1+i%49, Payload{Digests: []LoadDigest{testDigest(i%70_000%65_536, 1, 1)}, Reports: []LoadReport{{uint32(i), 0.5, 5, 0}},
			Observations: []Observation{{uint32(i), i % 60, 0}}}.appendTo(nil)))
		if i%500 == 0 {
			if payload, receivers := d.NextPayload(now, 203); len(payload) > 203 || receivers > busyReceivers {
				t.Fatalf("%d bytes to %d", len(payload), receivers)
			}
		}
	}
	if p := d.view; len(p.servers) > maxServers || len(p.serverOrder) != len(p.servers) || len(p.relayQueue) > 50 {
		t.Errorf("%d servers, %d in order, %d queued agents", len(p.servers), len(p.serverOrder), len(p.relayQueue))
	}
}

// A refund is admitted, by the local controller or by the fleet's plan alone, and fails, so that it may have run. Then the fleet is asked for
// far more than it can serve and new requests are rejected. The refund's retry is admitted all the same: a rejection would lose its answer.
func TestRequestThatMayHaveRunIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		name              string
		isLocalOverloaded bool // the local controller rejects the refund at first, and the fleet's plan alone admits it
	}{{"admitted by both", false}, {"admitted by the fleet's plan alone", true}} {
		d := newController(3)
		addServers(d, start, 6, 0.8, 100, true)
		for agent := range 2 {
			d.view.applyPayload(start, agent+1, Payload{Digests: []LoadDigest{testDigest(agent+1, 10, 10)}})
		}
		restoreTrust(d, start)
		if c.isLocalOverloaded { // hardly anything is served
			now := start - 8*time.Second
			for i := range 400 {
				now += 20 * time.Millisecond
				if p, _ := d.local.Arrive(now, admission.Request{Class: check, Tenant: -1, Key: fmt.Sprint("other-", i), Deadline: now + time.Second}); p != nil {
					d.local.Done(now, p, admission.OutcomeFailed)
				}
			}
		}
		ask := admission.Request{Class: refund, Tenant: 0, Key: "refund", Deadline: start + 2*time.Second}
		p, _ := d.Arrive(start, ask)
		if p == nil {
			t.Fatalf("%s: it is rejected at first", c.name)
		}
		if _, _, by := p.Completion(start); (by == admission.IssuedByFleet) != c.isLocalOverloaded {
			t.Fatalf("%s: it is admitted by issuer %d", c.name, by)
		}
		d.Done(start+100*time.Millisecond, p, admission.OutcomeFailed)
		for agent := range 2 { // and now far more is asked for than can be served
			d.view.digests[agent+1].observedAt = 0
			d.view.applyPayload(start, agent+1, Payload{Digests: []LoadDigest{testDigest(agent+1, 4000, 4000)}})
		}
		restoreTrust(d, start+200*time.Millisecond)
		rejected := 0
		for i := range 50 {
			if p, _ := d.Arrive(start+200*time.Millisecond, admission.Request{Class: refund, Tenant: 0, Key: fmt.Sprint("new-", i), Deadline: start + 2*time.Second}); p == nil {
				rejected++
			}
		}
		ask.IsRetry = true
		if p, _ := d.Arrive(start+200*time.Millisecond, ask); p == nil || rejected == 0 {
			t.Errorf("%s: the retry of what may have run is rejected, as %d of 50 new ones are", c.name, rejected)
		}
	}
}

// Requests are rejected, and the view shows servers with capacity or full ones. The gain rises only if the agent's own answers are recent and
// in time; it falls whatever they are.
func TestGainRisesOnlyByOwnAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		use    float64
		inTime float64
		late   float64
		ago    time.Duration
		want   int // the sign of the change
	}{
		{"capacity, and own answers in time", 0.4, 9, 1, 0, 1},
		{"capacity, and own answers late", 0.4, 5, 5, 0, 0},
		{"capacity, and old own answers", 0.4, 9, 1, ownAnswersDecay, 0},
		{"full", 1, 9, 1, 0, -1},
		{"full, and no recent own answer", 1, 0, 0, ownAnswersDecay, -1},
	} {
		d := newController(3)
		d.gain, d.plan.rejectedRatio, d.gainAdjustedAt = 2, 0.5, start-time.Second
		d.ownInTime, d.ownLate, d.ownEndedAt = c.inTime, c.late, start-c.ago
		d.adjustGain(start, c.use, Demand{ServedInTime: 100})
		if got := cmp.Compare(d.gain, 2); got != c.want {
			t.Errorf("%s: from 2 to %v", c.name, d.gain)
		}
	}
}
