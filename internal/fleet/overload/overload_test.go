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

func watch(seed uint64) *admission.Controller {
	return admission.New(admission.Options{Classes: classes, MaxRetryAfter: time.Second, MaxRemembered: 100, Seed: seed})
}

func door(agents int) *AdmissionController {
	d := New(Options{Agents: agents, Classes: classes, TenantQuotas: []float64{0.5, 0.5}, MaxRetryAfter: time.Second, Seed: 1}, watch(2))
	d.HandleLiveness(slices.Repeat([]bool{true}, agents))
	return d
}

// digest is what an agent says that is asked so much, evenly of both tenants.
func digest(agent int, checks, refunds float64) LoadDigest {
	all := checks + refunds
	return LoadDigest{Agent: agent, NewRequests: []float64{checks, refunds}, ClientRetries: []float64{0, 0}, Tenants: []float64{all / 2, all / 2}, Requests: all, Admitted: all, ServedInTime: all}
}

const start = 10 * time.Second

// servers lets a door know of servers, with this use and capacity each, by its own answers or by others' word.
func servers(d *AdmissionController, now time.Duration, n int, use, capacity float64, own bool) {
	for i := range n {
		id := fmt.Sprint("s-", i)
		d.UpdateServer(id, true, true)
		if own {
			d.AttemptSent(now, id, false)
			d.AttemptEnded(now, id, balancer.OK, balancer.Report{Utilization: use, ServedRate: use * capacity})
		} else {
			d.picture.report(now, LoadReport{Server: ServerID(id), Utilization: use, Capacity: capacity}, false)
		}
	}
}

// settle lets trust return.
func settle(d *AdmissionController, now time.Duration) plan {
	for range 40 {
		d.planned = now - time.Second
		d.look(now)
	}
	return d.plan
}

func TestBodiesAreReadAsTheyWereWritten(t *testing.T) {
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
			NewRequests: rates(classes), ClientRetries: rates(classes), Tenants: rates(tenants), Requests: 1, Admitted: rate.Draw(t, "let in"), InFlight: 3, ServedInTime: 2, LateOrFailed: 0}
		in := Payload{IsBusy: rapid.Bool().Draw(t, "busy"), Digests: []LoadDigest{d}, Reports: []LoadReport{{7, 0.5, rate.Draw(t, "capacity"), ageUnit}}, Observations: []Observation{{8, 9, 2 * ageUnit}}}
		text := in.append(nil)
		if want := 1 + digestSize(classes, tenants) + reportSize + voiceSize; len(text) != want {
			t.Fatalf("%d bytes, not %d", len(text), want)
		}
		out, err := parse(text)
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

func FuzzBody(f *testing.F) {
	f.Add(Payload{IsBusy: true, Digests: []LoadDigest{digest(3, 10, 5)}, Reports: []LoadReport{{1, 0.5, 80, 0}}, Observations: []Observation{{1, 2, 0}}}.append(nil))
	f.Add([]byte{0, kindDigest, 0, 1, 2, 0xff})
	f.Add([]byte{1, 99})
	f.Fuzz(func(t *testing.T, text []byte) {
		d := door(4)
		for i := range 3 {
			besteffort.Ignore(d.HandlePayload(start+time.Duration(i)*time.Second, 1+i%3, text))
		}
		p := settle(d, start+3*time.Second)
		for _, x := range append(append([]float64{p.limit, p.refused, p.trust}, p.asked.NewRequests...), p.asked.ClientRetries...) {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Fatalf("%+v", p)
			}
		}
		if body, _ := d.NextPayload(start+4*time.Second, 203); len(body) > 203 {
			t.Fatalf("a body of %d bytes", len(body))
		}
	})
}

// askedMuch is a door among five agents, of which the others are asked so many checks a second at the least, and so much again; and its plan.
func askedMuch(t *rapid.T, checks float64, again *rapid.Generator[float64]) (*AdmissionController, plan) {
	const agents = 5
	d := door(agents)
	servers(d, start, 6, 0.8, rapid.Float64Range(20, 100).Draw(t, "capacity"), true)
	for i := 1; i < agents; i++ {
		of := digest(i, rapid.Float64Range(checks, 400).Draw(t, "checks"), rapid.Float64Range(0, 400).Draw(t, "refunds"))
		of.ClientRetries[check], of.ClientRetries[refund] = again.Draw(t, "again"), again.Draw(t, "again")
		d.picture.take(start, of.Agent, Payload{Digests: []LoadDigest{of}})
	}
	return d, settle(d, start)
}

// Whatever is asked: the worthiest are let in first, all together not over the limit, and who is refused is refused again.
func TestOneOrderOfWorth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, p := askedMuch(t, 0, rapid.Float64Range(0, 100))
		if p.trust != 1 {
			t.Fatalf("trust is %v", p.trust)
		}
		if p.chances == nil {
			return
		}
		last, letIn := 1.0, 0.0
		for _, c := range []int{refund, check} {
			for b, chance := range p.chances[c] {
				want := p.asked.NewRequests[c]
				if b%2 == 1 {
					want = p.asked.ClientRetries[c]
				}
				over := 0.0
				for _, x := range p.excess[c] {
					over += x / 2 // both ask the same
				}
				if b >= 2 {
					want *= over
				} else {
					want *= 1 - over
				}
				if letIn += want * chance; want > 1e-6 {
					if chance > 1e-9 && last < 1-1e-9 {
						t.Fatalf("class %d, bucket %d is let in with %v where a worthier one is refused: %v", c, b, chance, p.chances)
					}
					last = chance
				}
			}
		}
		if letIn > p.limit*1.0001 {
			t.Fatalf("%v are let in, over the limit of %v", letIn, p.limit)
		}
		for i := range 50 {
			a := admission.Request{Class: check, Tenant: i % 2, Key: fmt.Sprint(i), Deadline: start + 2*time.Second}
			if d.refuses(start, a, false, d.lot(start, a)) {
				if !d.refuses(start+time.Second, a, true, d.lot(start+time.Second, a)) {
					t.Fatal("what was refused is let in when it comes again")
				}
			}
		}
	})
}

// Behind a kind that is let in in part alone there is no room, whatever rounding leaves of it, for kinds of which next to nothing was asked of late either.
func TestNothingIsLeftBehindAKindLetInInPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, p := askedMuch(t, 200, rapid.Just(1e-29)) // again: some seconds ago, as rates fade, and are never 0 again
		inPart := false
		for _, c := range []int{refund, check} {
			for b, chance := range p.chances[c] {
				if inPart && chance > 0 {
					t.Fatalf("class %d, bucket %d is let in with %v: %v", c, b, chance, p.chances)
				}
				inPart = inPart || chance < 1
			}
		}
		if !inPart {
			t.Fatalf("all are let in: %v", p.chances)
		}
	})
}

// A tenant that asks for more than its share has what others leave of theirs, and no more.
func TestSharesHold(t *testing.T) {
	for _, c := range []struct {
		asked, shares []float64
		limit         float64
		let           []float64
	}{
		{[]float64{100, 100}, []float64{0.5, 0.5}, 300, []float64{100, 100}},
		{[]float64{1000, 100}, []float64{0.5, 0.5}, 300, []float64{200, 100}},
		{[]float64{1000, 1000}, []float64{0.25, 0.75}, 400, []float64{100, 300}},
		{[]float64{1000, 10, 500}, []float64{0.4, 0.2, 0.4}, 210, []float64{100, 10, 100}},
		{[]float64{1000, 0}, []float64{0.5, 0.5}, 0, []float64{0, 0}},
	} {
		over := excess(c.asked, c.shares, c.limit)
		for i, x := range c.asked {
			if got := x * (1 - over[i]); math.Abs(got-c.let[i]) > 1e-6 {
				t.Errorf("%v by %v of %v: tenant %d has %v, not %v", c.asked, c.shares, c.limit, i, got, c.let[i])
			}
		}
	}
}

// What one agent says moves nobody further than its bound.
func TestOneThatIsWrong(t *testing.T) {
	const now = start
	honest := func() *AdmissionController {
		d := door(4)
		servers(d, now, 6, 0.45, 50, true)
		for i := 1; i < 3; i++ {
			d.picture.take(now, i, Payload{Digests: []LoadDigest{digest(i, 40, 20)}})
		}
		return d
	}
	everything := digest(3, 1e6, 1e6)
	d := honest()
	d.picture.take(now, 3, Payload{Digests: []LoadDigest{everything}})
	if p := settle(d, now); p.asked.NewRequests[check]+p.asked.NewRequests[refund] > 120+2*120+1 || d.picture.counts.Capped == 0 {
		t.Errorf("its claim counts for more than its bound: %+v", p.asked)
	}
	// Its word of busy servers and of much that is asked refuses nobody while own answers show servers at rest.
	d = door(4)
	servers(d, now, 6, 0.1, 50, true)
	for range 40 { // own
		d.own.asked(now, check, 0, false, 0, 1)
	}
	for i := range 6 {
		d.picture.report(now+100*time.Millisecond, LoadReport{Server: ServerID(fmt.Sprint("s-", i)), Utilization: 1, Capacity: 1}, false)
	}
	d.picture.take(now, 3, Payload{Digests: []LoadDigest{everything}})
	if p := settle(d, now+100*time.Millisecond); p.refused > 0 {
		t.Errorf("%v are refused on word alone", p.refused)
	}
	// Nor can it say so for all the others.
	d = honest()
	for i := 1; i < 4; i++ {
		d.picture.take(now+100*time.Millisecond, 3, Payload{Digests: []LoadDigest{digest(i, 1e6, 1e6)}})
	}
	if a := d.picture.sum(now+100*time.Millisecond, d.digest(now+100*time.Millisecond), 300); a.NewRequests[check]+a.NewRequests[refund] > 2*300/8+1 {
		t.Errorf("what one tells of all counts for %v", a.NewRequests)
	}
	// Nor does its word of strong servers let in more than twice what own answers showed.
	d = honest()
	for i := range 6 {
		d.picture.report(now+100*time.Millisecond, LoadReport{Server: ServerID(fmt.Sprint("s-", i)), Utilization: 0.1, Capacity: 1e6}, false)
	}
	any := func(uint32) bool { return true }
	if capacity, _, _, _ := d.picture.capacity(now+100*time.Millisecond, any); capacity > 660 {
		t.Errorf("servers are taken to do %v", capacity)
	}
	d = door(4) // also of those that never answered this agent
	servers(d, now, 1, 0.45, 50, true)
	servers(d, now, 6, 0.1, 1e6, false)
	if capacity, _, _, _ := d.picture.capacity(now, any); capacity > 660 {
		t.Errorf("servers that are not known are taken to do %v", capacity)
	}
	d = door(4) // and without any own answer it goes by its own watch
	servers(d, now, 6, 0.1, 1e6, false)
	d.picture.take(now, 1, Payload{Digests: []LoadDigest{digest(1, 40, 20)}})
	if p := settle(d, now); p.trust != 0 {
		t.Errorf("on word alone the picture is trusted %v", p.trust)
	}
	// One that claims nothing, or says nothing, is like the others at the most.
	d = honest()
	if p := settle(d, now); math.Abs(p.asked.NewRequests[check]-80*4.0/3) > 1 {
		t.Errorf("with one of four that says nothing %v are asked", p.asked.NewRequests[check])
	}
	// What was said long ago, or by one that died, does not count.
	d = honest()
	d.HandleLiveness([]bool{true, true, false, false})
	if a := d.picture.sum(now, d.digest(now), 300); a.KnownAgents != 2 || a.NewRequests[check] != 40 {
		t.Errorf("%+v", a)
	}
	if a := d.picture.sum(now+freshFor, d.digest(now), 300); a.KnownAgents != 1 {
		t.Errorf("%+v", a)
	}
}

// Where nothing is heard of the others, an agent decides as it would alone.
func TestWithoutWordAnAgentGoesByItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, alone := door(10), watch(2)
		now := start
		type both struct{ a, b *admission.Permit }
		var open []both
		for i := range 300 {
			now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
			a := admission.Request{Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: -1, Key: fmt.Sprint(i % 90), IsRetry: i%7 == 0, Deadline: now + 2*time.Second}
			p, _ := d.Arrive(now, a)
			q, _ := alone.Arrive(now, a)
			if (p == nil) != (q == nil) {
				t.Fatalf("request %d: the fleet's door lets it in: %v, the agent's own: %v", i, p != nil, q != nil)
			}
			if p != nil {
				open = append(open, both{p, q})
			}
			if len(open) > 5 {
				end := admission.Outcome(rapid.IntRange(0, 2).Draw(t, "end"))
				d.Done(now, open[0].a, end)
				alone.Done(now, open[0].b, end)
				open = open[1:]
			}
		}
		if d.open != len(open) {
			t.Fatalf("%d are open, not %d", d.open, len(open))
		}
	})
}

// A server is held out on the word of two agents, by all but two, as long as nobody has had an answer of it since.
func TestIllServersAreHeldOutTogether(t *testing.T) {
	const agents = 12
	ill := ServerID("s-0")
	holds := func(change func(d *AdmissionController)) (n int) {
		for self := range agents {
			d := door(agents)
			d.SetFleetPosition(self, agents)
			d.HandleLiveness(slices.Repeat([]bool{true}, agents))
			servers(d, start-2*time.Second, 8, 0.5, 50, false)
			change(d)
			if held := d.ExcludedServers(start); len(held) > 0 {
				if len(held) != 1 || held[0] != "s-0" {
					t.Fatalf("agent %d holds out %v", self, held)
				}
				n++
			}
		}
		return n
	}
	say := func(d *AdmissionController, age time.Duration, by ...int) {
		for _, agent := range by {
			d.picture.voice(start, agent, Observation{ill, agent, age})
		}
	}
	for _, c := range []struct {
		name string
		do   func(d *AdmissionController)
		want int
	}{
		{"one voice", func(d *AdmissionController) { say(d, 0, 3) }, 0},
		{"one that says it again", func(d *AdmissionController) { say(d, time.Second, 3); say(d, 0, 3, 3) }, 0},
		{"two voices", func(d *AdmissionController) { say(d, 0, 3, 5) }, agents - testers},
		{"two, as one agent tells", func(d *AdmissionController) {
			d.picture.voice(start, 3, Observation{ill, 3, 0})
			d.picture.voice(start, 3, Observation{ill, 5, 0})
		}, 0},
		{"two of long ago", func(d *AdmissionController) { say(d, voiceFor, 3, 5) }, 0},
		{"one of a dead agent", func(d *AdmissionController) {
			say(d, 0, 3, 5)
			alive := slices.Repeat([]bool{true}, agents)
			alive[5] = false
			d.HandleLiveness(alive)
		}, 0},
		{"an answer since", func(d *AdmissionController) {
			say(d, 100*time.Millisecond, 3, 5)
			d.picture.report(start, LoadReport{ill, 0.5, 50, 0}, false)
		}, 0},
		{"an own answer just before", func(d *AdmissionController) {
			servers(d, start-300*time.Millisecond, 1, 0.5, 50, true)
			say(d, 0, 3, 5)
		}, 0},
	} {
		if got := holds(c.do); got != c.want {
			t.Errorf("%s: %d of %d agents hold it out, not %d", c.name, got, agents, c.want)
		}
	}
	d := door(agents) // and never more than a third of the servers
	servers(d, start-2*time.Second, 9, 0.5, 50, false)
	for i := range 9 {
		for agent := range 4 {
			d.picture.voice(start, agent+1, Observation{ServerID(fmt.Sprint("s-", i)), agent + 1, 0})
		}
	}
	if n := len(d.ExcludedServers(start)); n > 3 {
		t.Errorf("%d of 9 servers are held out on word", n)
	}
}

// An agent raises its voice for a server that hangs or fails, and not when nothing that it uses answers: then it is cut off itself.
func TestIsItMe(t *testing.T) {
	for _, c := range []struct {
		ills, voices int
	}{{0, 0}, {1, 1}, {2, 2}, {5, 0}, {8, 0}} {
		d := door(3)
		for i := range 8 {
			id := fmt.Sprint("s-", i)
			d.UpdateServer(id, true, true)
			d.AttemptSent(start, id, false)
			if i >= c.ills {
				d.AttemptEnded(start+100*time.Millisecond, id, balancer.OK, balancer.NoReport)
			}
		}
		d.look(start + silentMost)
		n := 0
		for _, s := range d.picture.servers {
			n += len(s.voices)
		}
		if n != c.voices {
			t.Errorf("%d of 8 servers hang: it raises its voice for %d, not %d", c.ills, n, c.voices)
		}
	}
}

// Attempts beyond a call's first keep to the fleet's budget, and where little of it is spent a quiet agent may make one.
func TestRetriesAreOneBudget(t *testing.T) {
	for _, c := range []struct {
		extra       float64
		least, most int
	}{{0, 1000, 1000}, {10, 1000, 1000}, {27, 100, 500}, {40, 0, 0}} {
		d := door(3)
		servers(d, start, 6, 0.3, 100, true)
		for agent := range 2 {
			of := digest(agent+1, 50, 50)
			of.ExtraAttempts = c.extra / 2
			d.picture.take(start, of.Agent, Payload{Digests: []LoadDigest{of}})
		}
		settle(d, start)
		n := 0
		for range 1000 {
			if d.AllowsRetry(start) {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("with %v of 200 first tries tried again a second, %d of 1000 may be", c.extra, n)
		}
	}
}

// What an agent remembers and tells is bounded, whatever it hears.
func TestWhatIsRememberedIsBounded(t *testing.T) {
	d := door(50)
	d.UpdateServer("s", true, true)
	for i := range 50_000 {
		now := start + time.Duration(i)*time.Millisecond
		besteffort.Ignore(d.HandlePayload(now, 1+i%49, Payload{Digests: []LoadDigest{digest(i%70_000%65_536, 1, 1)}, Reports: []LoadReport{{uint32(i), 0.5, 5, 0}},
			Observations: []Observation{{uint32(i), i % 60, 0}}}.append(nil)))
		if i%500 == 0 {
			if body, to := d.NextPayload(now, 203); len(body) > 203 || to > toBusy {
				t.Fatalf("%d bytes to %d", len(body), to)
			}
		}
	}
	if p := d.picture; len(p.servers) > mostServers || len(p.order) != len(p.servers) || len(p.news) > 50 {
		t.Errorf("%d servers, %d in order, %d agents to tell of", len(p.servers), len(p.order), len(p.news))
	}
}

// What may have run is never refused when it comes again: neither where the agent is told so, nor where it remembers it, whichever door had
// let it in.
func TestWhatMayHaveRunIsLetIn(t *testing.T) {
	for _, c := range []struct {
		name  string
		storm bool // the own watch refuses it at first, and the fleet's door alone lets it in
	}{{"let in by both", false}, {"let in by the fleet's door alone", true}} {
		d := door(3)
		servers(d, start, 6, 0.8, 100, true)
		for agent := range 2 {
			d.picture.take(start, agent+1, Payload{Digests: []LoadDigest{digest(agent+1, 10, 10)}})
		}
		settle(d, start)
		if c.storm { // hardly anything is served, and it has gone dark
			now := start - 8*time.Second
			for i := range 400 {
				now += 20 * time.Millisecond
				if p, _ := d.alone.Arrive(now, admission.Request{Class: check, Tenant: -1, Key: fmt.Sprint("other-", i), Deadline: now + time.Second}); p != nil {
					d.alone.Done(now, p, admission.OutcomeFailed)
				}
			}
		}
		ask := admission.Request{Class: refund, Tenant: 0, Key: "refund", Deadline: start + 2*time.Second}
		p, _ := d.Arrive(start, ask)
		if p == nil {
			t.Fatalf("%s: it is refused at first", c.name)
		}
		if _, _, by := p.Completion(start); (by == admission.IssuedByFleet) != c.storm {
			t.Fatalf("%s: door %d has let it in", c.name, by)
		}
		d.Done(start+100*time.Millisecond, p, admission.OutcomeFailed)
		for agent := range 2 { // and now much more is asked than there is room for
			d.picture.digests[agent+1].at = 0
			d.picture.take(start, agent+1, Payload{Digests: []LoadDigest{digest(agent+1, 4000, 4000)}})
		}
		settle(d, start+200*time.Millisecond)
		refused := 0
		for i := range 50 {
			if p, _ := d.Arrive(start+200*time.Millisecond, admission.Request{Class: refund, Tenant: 0, Key: fmt.Sprint("new-", i), Deadline: start + 2*time.Second}); p == nil {
				refused++
			}
		}
		ask.IsRetry = true
		if p, _ := d.Arrive(start+200*time.Millisecond, ask); p == nil || refused == 0 {
			t.Errorf("%s: a repeat of what may have run is refused, as %d of 50 new ones are", c.name, refused)
		}
	}
}

// While some are refused and servers have room, the limit rises, but only by own answers of late that are in time; it falls by anybody's.
func TestTheLimitRisesByOwnAnswersAlone(t *testing.T) {
	for _, c := range []struct {
		name   string
		use    float64
		inTime float64
		late   float64
		ago    time.Duration
		want   int // the sign of the change
	}{
		{"room, and own answers in time", 0.4, 9, 1, 0, 1},
		{"room, and own answers late", 0.4, 5, 5, 0, 0},
		{"room, and own answers of long ago", 0.4, 9, 1, proofFor, 0},
		{"full", 1, 9, 1, 0, -1},
		{"full, and no own answers of late", 1, 0, 0, proofFor, -1},
	} {
		d := door(3)
		d.gain, d.plan.refused, d.steered = 2, 0.5, start-time.Second
		d.inTime, d.late, d.endedAt = c.inTime, c.late, start-c.ago
		d.steer(start, c.use, Demand{ServedInTime: 100})
		if got := cmp.Compare(d.gain, 2); got != c.want {
			t.Errorf("%s: from 2 to %v", c.name, d.gain)
		}
	}
}
