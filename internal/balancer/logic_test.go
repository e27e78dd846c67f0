package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func testSettings() Settings {
	return Settings{Balancers: 2, Tick: 5 * time.Millisecond, MaxAttempts: 3, SlowStartInitialRatio: 0.3,
		SlowStartDuration: 10 * time.Second, Classes: []Class{
			{Name: "cheap", Effect: Idempotent, LatencyObjective: 600e6, Deadline: 2e9, Priority: 1},
			{Name: "dear", Effect: NonIdempotent, LatencyObjective: 600e6, Deadline: 2e9, Priority: 10},
			{Name: "keyed", Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 1e9, LatencyObjective: 600e6, Deadline: 2e9, Priority: 3}}}
}

// bench drives one Balancer by hand.
type bench struct {
	*Balancer
	t   *testing.T
	at  time.Duration
	ids int
}

func newBench(t *testing.T, set Settings, weights ...float64) *bench {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &bench{Balancer: b, t: t, at: time.Hour}
	h.Start(h.at)
	l := ServerList{Full: true}
	for i, w := range weights {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprint("s", i), Weight: w, Cell: i / 2})
	}
	h.Handle(h.at, l)
	return h
}

// ask brings a request and returns its id and the server it is sent to, "" if none.
func (h *bench) ask(class int) (id, to string) {
	h.ids++
	id = fmt.Sprint("r", h.ids)
	for _, a := range h.Handle(h.at, Request{ID: id, Class: class, Deadline: h.at + 2*time.Second}) {
		if a.Kind == Send {
			to = a.Server
		}
	}
	return id, to
}

// end ends attempt n of a request and returns the actions that follow, without timers.
func (h *bench) end(id, server string, n int, result Result, report Report) []Action {
	return h.Handle(h.at, Outcome{Request: id, Attempt: n, Server: server, Result: result,
		Latency: 50 * time.Millisecond, RequestClosed: result == OK, Report: report})
}

// tick passes time, with the timer that checks health.
func (h *bench) tick(d time.Duration) (actions []Action) {
	for end := h.at + d; h.at < end; {
		h.at += h.horizon / ticksPerHorizon
		actions = append(actions, slices.Clone(h.Handle(h.at, TimerFired{tickToken}))...)
	}
	return slices.DeleteFunc(actions, func(a Action) bool { return a.Kind == SetTimer })
}

func report(util, rate float64) Report {
	r := NoReport
	r.Utilization, r.ServedRate = util, rate
	return r
}

func TestDrawsFollowCapacity(t *testing.T) {
	set := testSettings()
	set.UseListWeights = true
	h := newBench(t, set, 1, 2, 3, 4)
	d := h.subset.warmPool.At(h.capacity.meanRate)
	const n = 40000
	got := map[string]float64{}
	for range n {
		s, _ := d.Draw(h.rng)
		got[s.ID]++
	}
	for i := range 4 {
		want := n * float64(i+1) / 10
		if d := got[fmt.Sprint("s", i)] - want; math.Abs(d) > 4*math.Sqrt(want) {
			t.Errorf("server %d: drawn %v times, want about %v", i, want+d, want)
		}
	}
}

func TestPickTakesLowestLoad(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	sent := map[string]int{}
	for range 100 { // nothing ends: the counts of two equal servers stay even, but for draws that miss one
		_, to := h.ask(1)
		sent[to]++
	}
	if d := sent["s0"] - sent["s1"]; d < -4 || d > 4 {
		t.Errorf("two equal servers have %v in flight", sent)
	}
}

// serve brings n requests one after the other, each answered at once, and counts those sent to the server.
func (h *bench) serve(n int, server string) (count int) {
	for range n {
		id, to := h.ask(0)
		if to == server {
			count++
		}
		h.end(id, to, 0, OK, NoReport)
	}
	return count
}

func TestTies(t *testing.T) {
	set := testSettings()
	set.UseListWeights = true
	h := newBench(t, set, 1, 1.99)
	if _, to := h.ask(0); to != "s1" { // stays in flight
		t.Fatalf("the lowest load is at s1, the request went to %s", to)
	}
	// Loads are now 1 and 2/1.99: a little more at the larger, within the tolerance, and so the larger wins.
	if large := h.serve(200, "s1"); large < 190 {
		t.Errorf("near-tie went to the larger %d of 200 times", large)
	}
	h = newBench(t, testSettings(), 1, 1) // equal in all: at random
	if first := h.serve(400, "s0"); first < 150 || first > 250 {
		t.Errorf("a full tie went to the first %d of 400 times", first)
	}
}

func TestCapacityFromNoisyReports(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	for i := range 400 {
		h.at += 50 * time.Millisecond
		noise := 1 + 0.2*math.Sin(float64(i)*1.7)
		for s, c := range []float64{100, 40} {
			h.now = h.at
			h.recordReport(h.endpoints.byID[fmt.Sprint("s", s)], report(0.5*noise, 0.5*c*(2-noise)))
		}
	}
	for s, want := range []float64{100, 40, 70} { // the last has no estimate: the mean of the others
		if got := h.presentWeight(h.endpoints.byID[fmt.Sprint("s", s)]); math.Abs(got-want) > 0.15*want {
			t.Errorf("server %d: capacity %v, want about %v", s, got, want)
		}
	}
}

// Guards against the idle trap: rate over floored use called an idle server small, and so it stayed idle.
func TestIdleServerKeepsFairShare(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	for range 50 {
		h.at += 50 * time.Millisecond
		h.now = h.at
		h.recordReport(h.endpoints.byID["s0"], report(0.5, 50))
		h.recordReport(h.endpoints.byID["s1"], report(0.01, 0.2))
	}
	if h.presentWeight(h.endpoints.byID["s1"]) < h.presentWeight(h.endpoints.byID["s0"]) {
		t.Errorf("idle server weighs %v, a busy one %v", h.presentWeight(h.endpoints.byID["s1"]), h.presentWeight(h.endpoints.byID["s0"]))
	}
}

// Guards against a server that takes requests and answers none while others answer.
func TestSilentServerIsEjectedAndReadmitted(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for h.endpoints.byID["s0"].health.ejectedUntil == 0 {
		id, to := h.ask(0)
		if to != "s0" {
			h.end(id, to, 0, OK, report(0.5, 50))
		}
		h.at += 10 * time.Millisecond
		if h.at > time.Hour+3*time.Second {
			t.Fatal("a silent server was never ejected")
		}
		h.tick(h.horizon / ticksPerHorizon)
	}
	for range 20 {
		if _, to := h.ask(1); to == "s0" {
			t.Fatal("an unsafe request went to an ejected server")
		}
	}
	h.at = h.endpoints.byID["s0"].health.ejectedUntil
	trials, trial := 0, ""
	for range 20 {
		id, to := h.ask(0)
		if to != "s0" {
			continue
		}
		trials, trial = trials+1, id
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
	h.end(trial, "s0", 0, OK, NoReport)
	if h.endpoints.byID["s0"].health.ejectedUntil != 0 {
		t.Error("an answered trial does not readmit")
	}
}

// Guards against one costly request passing for a silent server at a quiet balancer.
func TestOneLateAnswerEjectsNone(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	_, to := h.ask(1)
	h.tick(h.horizon)
	if s := h.endpoints.byID[to]; s.health.ejectedUntil != 0 {
		t.Error("ejected for one answer that is an aim late")
	}
}

// Guards against ejecting the fleet in a jam, and against a backlog that leaves the ejected out.
func TestJamEjectsNoneAndRefuses(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 200 { // an ordinary start
		id, to := h.ask(1)
		h.end(id, to, 0, OK, report(0.5, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	for range 300 { // then nothing is answered
		h.ask(1)
	}
	h.tick(h.horizon)
	for _, s := range h.endpoints.servers {
		if h.isEjected(s) {
			t.Error("a server is kept out though all are silent")
		}
	}
	if h.shedder.ratio <= 1 {
		t.Errorf("shed level %v in a jam", h.shedder.ratio)
	}
	refused := 0
	for range 100 {
		if _, to := h.ask(0); to == "" {
			refused++
		}
	}
	if refused < 99 {
		t.Errorf("%d of 100 cheap requests refused in a jam", refused)
	}
}

// Guards against the valuable waiting behind the cheap.
func TestCheapGivesWayFirst(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	h.shedder.ratio = 0.1
	refused := [2]int{}
	for i := range 2000 {
		id, to := h.ask(i % 2)
		if to == "" {
			refused[i%2]++
		} else {
			h.end(id, to, 0, OK, NoReport)
		}
	}
	if refused[0] < 400 || refused[1] > 120 {
		t.Errorf("refused %d cheap and %d dear of 1000 each", refused[0], refused[1])
	}
}

// Guards against long work crowding out short work of the same worth in a jam.
func TestLongWorkGivesWayFirst(t *testing.T) {
	set := testSettings()
	set.Classes[1].Priority = set.Classes[0].Priority
	h := newBench(t, set, 1, 1)
	refused := [2]int{}
	for i := range 4000 {
		h.shedder.ratio = 0.3
		id, to := h.ask(i % 2)
		if to == "" {
			refused[i%2]++
			continue
		}
		h.Handle(h.at, Outcome{Request: id, Server: to, Latency: time.Duration(20+60*(i%2)) * time.Millisecond,
			RequestClosed: true, Report: NoReport})
	}
	if refused[1] < 2*refused[0] {
		t.Errorf("refused %d short and %d long of 2000 each", refused[0], refused[1])
	}
}

// Guards against a server that fails fast and so looks idle.
func TestFastFailuresDrawLess(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	bad := 0
	for range 60 {
		id, to := h.ask(1)
		result := OK
		if to == "s0" {
			bad, result = bad+1, Failed
		}
		h.end(id, to, 0, result, NoReport)
	}
	if bad > 6 {
		t.Errorf("a server that only fails got %d of 60", bad)
	}
	h.endpoints.byID["s0"].health.failureRatio = ejectionFailureRatio
	id, _ := h.ask(1)
	r := h.requests.byID[id]
	h.recordOutcome(&attempt{request: r, server: h.endpoints.byID["s0"]}, Outcome{Result: Failed})
	if h.endpoints.byID["s0"].health.ejectedUntil == 0 {
		t.Error("a server that fails again and again is not ejected")
	}
}

// Guards against pushing a cold server over: in a jam it has the lowest load of all.
func TestColdServerInAJam(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for range 500 {
		h.ask(1)
	}
	h.shedder.ratio = 0
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "new", Started: h.at}}})
	cold := 0
	const n = 300
	for range n {
		if _, to := h.ask(1); to == "new" {
			cold++
		}
	}
	if most := n*0.3/10 + 8; float64(cold) > most || cold == 0 {
		t.Errorf("a cold server got %d of %d, want 1 to %.1f", cold, n, most)
	}
}

// A restart voids what was learnt, and is seen by the new start time.
func TestRestartForgets(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	h.now = h.at
	s := h.endpoints.byID["s0"]
	h.recordReport(s, report(0.5, 500))
	s.health.failureRatio = 0.9
	h.eject(s)
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", Started: h.at}}})
	if s.estimate.rate != 0 || s.health.failureRatio != 0 || s.health.ejectedUntil != 0 {
		t.Errorf("after a restart: %+v", s)
	}
}

// Guards against a balancer with next to nothing in flight that refuses because its few requests bunch by
// chance (arewa quiet: 18% refused in a fleet used to a third): in a fleet that is not busy it refuses none.
func TestQuietBalancerRefusesNone(t *testing.T) {
	set := testSettings()
	set.Balancers = 500
	h := newBench(t, set, 1, 1, 1, 1)
	for i := range 300 {
		var ids, tos []string
		for range 1 + 3*(i%2) { // bunched
			id, to := h.ask(0)
			if to == "" {
				t.Fatalf("request %d is refused", i)
			}
			ids, tos = append(ids, id), append(tos, to)
		}
		h.tick(h.horizon / 2)
		for k := range ids {
			h.Handle(h.at, Outcome{Request: ids[k], Server: tos[k], Latency: h.horizon / 2, RequestClosed: true,
				Report: report(0.35, 35)})
		}
		h.tick(h.horizon)
	}
}

// Guards against refusing too late where queues are deep: what is in flight tells before late answers do.
func TestCountsInFlightTellOfAJam(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.ask(1)
		h.end(id, to, 0, OK, report(1, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	if h.shedder.ratio != 0 {
		t.Fatalf("shed level %v before the jam", h.shedder.ratio)
	}
	for range 40 {
		h.ask(1)
	}
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio == 0 {
		t.Error("40 in flight of 200 sends say nothing")
	}
}

// What hangs is no jam: while servers report little use, requests that stay in flight refuse no others.
func TestHangingIsNoJam(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.ask(1)
		h.end(id, to, 0, OK, report(0.3, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	for range 40 {
		h.ask(1)
	}
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio != 0 {
		t.Errorf("shed level %v with servers at three tenths", h.shedder.ratio)
	}
}

// Also where servers are busy, what is out for longer than its aim is stuck: late answers tell of a jam by then.
func TestStuckIsNoJam(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 12 {
		h.ask(1)
	}
	h.tick(h.settings.Classes[1].LatencyObjective + h.horizon/ticksPerHorizon)
	for range 100 {
		id, to := h.ask(1)
		h.end(id, to, 0, OK, report(1, 50))
	}
	h.shedder.latencyRatio = 0
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio != 0 {
		t.Errorf("shed level %v with a few stuck", h.shedder.ratio)
	}
}

// What was not sent, as the agent had no place for it, goes elsewhere and speaks against no server.
func TestNotSentGoesElsewhere(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	id, to := h.ask(1)
	actions := h.end(id, to, 0, NotSent, NoReport)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Server == to {
		t.Errorf("after %s: %+v", to, actions)
	}
	if s := h.endpoints.byID[to]; s.health.failureRatio != 0 {
		t.Errorf("failing %v", s.health.failureRatio)
	}
}

// An answer that is late may never come: a second copy goes out where the class allows one and servers are not busy.
func TestLateRequestIsCopied(t *testing.T) {
	for name, c := range map[string]struct {
		class, copies int
		util          float64
	}{"safe": {0, 1, 0.3}, "keyed": {1, 1, 0.3}, "unsafe": {2, 0, 0.3}, "busy": {0, 0, 0.9}} {
		set := testSettings()
		set.AllowHedging = true
		set.Classes = []Class{{Name: "s", Effect: Idempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1},
			{Name: "k", Effect: IdempotentByKey, DedupWindow: 3 * time.Second, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1},
			{Name: "u", Effect: NonIdempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1}}
		h := newBench(t, set, 1, 1, 1, 1)
		for range 100 {
			id, to := h.ask(0)
			h.end(id, to, 0, OK, report(c.util, 50))
		}
		h.tick(h.horizon / ticksPerHorizon)
		id, to := h.ask(c.class)
		copies := 0
		for _, a := range h.tick(time.Duration(2 * hedgeLatencyFactor * h.classLatency[c.class])) {
			if a.Kind == Send && a.Request == id {
				copies++
				if a.Server == to {
					t.Errorf("%s: the copy went to the same server", name)
				}
			}
		}
		if copies != c.copies {
			t.Errorf("%s: %d copies", name, copies)
		}
	}
}

// A balancer keeps to a part of a large fleet, a part of its own and the same after a restart; all together
// use every server; a small fleet or one with few balancers is used whole.
func TestSubset(t *testing.T) {
	used := func(me, balancers, servers int) map[string]int {
		set := testSettings()
		set.Index, set.Balancers = me, balancers
		h := newBench(t, set, make([]float64, servers)...)
		got := map[string]int{}
		for range 60 {
			_, to := h.ask(1)
			h.shedder.ratio = 0
			got[to]++
		}
		return got
	}
	all := map[string]int{}
	for me := range 200 {
		one, again := used(me, 200, 40), used(me, 200, 40)
		if len(one) > minSubsetSize || len(again) != len(one) {
			t.Fatalf("balancer %d uses %d servers, then %d", me, len(one), len(again))
		}
		for id := range one {
			if again[id] == 0 {
				t.Fatalf("balancer %d uses %s, then not", me, id)
			}
			all[id]++
		}
	}
	if len(all) != 40 {
		t.Errorf("200 balancers use %d of 40 servers", len(all))
	}
	set := testSettings() // guards against a busy caller that crowds its few servers (arewa big-2)
	set.Balancers = 200
	h := newBench(t, set, make([]float64, 40)...)
	got := map[string]bool{}
	for i := range 80 {
		if i == 40 {
			h.Handle(h.at, TimerFired{tickToken})
		}
		h.shedder.ratio = 0
		if _, to := h.ask(1); i >= 40 {
			got[to] = true
		}
	}
	if len(got) < 2*minSubsetSize {
		t.Errorf("with 40 in flight %d servers are used", len(got))
	}
	if n := len(used(0, 4, 20)); n != 20 {
		t.Errorf("one of 4 balancers uses %d of 20 servers", n)
	}
}

func TestKeyedStaysInItsCell(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 30 {
		id, to := h.ask(2)
		next := h.end(id, to, 0, Reset, NoReport)
		if len(next) != 1 || next[0].Kind == Send && h.endpoints.byID[next[0].Server].Cell != h.endpoints.byID[to].Cell {
			t.Fatalf("after a reset at %s: %+v", to, next)
		}
		if next[0].Kind == Reject {
			t.Fatal("a keyed request that may have run was refused")
		}
	}
}

// Further attempts must not multiply an overload.
func TestRetryBudget(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	sends := 0
	const n = 1000
	for range n {
		id, to := h.ask(0)
		for try := 0; to != ""; try++ {
			sends++
			next := h.end(id, to, try, Rejected, NoReport)
			to = ""
			if len(next) == 1 && next[0].Kind == Send {
				to = next[0].Server
			}
		}
	}
	if most := n*(1+retryBudgetRatio) + maxRetryBudget; float64(sends) > most {
		t.Errorf("%d attempts for %d requests", sends, n)
	}
}

// An own-zone server is preferred while it has room, and no longer.
func TestOwnZone(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.1
	h := newBench(t, set, 1, 1)
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s1", Zone: 1}}})
	if h.presentWeight(h.endpoints.byID["s0"]) < 2*h.presentWeight(h.endpoints.byID["s1"]) {
		t.Error("an idle server of the own zone is not preferred")
	}
	h.endpoints.byID["s0"].estimate.utilization = 1
	h.refresh(h.endpoints.byID["s0"])
	if h.presentWeight(h.endpoints.byID["s0"]) != h.presentWeight(h.endpoints.byID["s1"]) {
		t.Error("a full server of the own zone is preferred")
	}
}

// Balancers that lose the list together ask again apart, and later each time.
func TestResubscribe(t *testing.T) {
	set := testSettings()
	set.Subscribe = true
	var waits []time.Duration
	for seed := range uint64(5) {
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		first := b.Handle(0, ListUnavailable{})[0]
		if first.Kind != SetTimer || first.Token != subscribeToken || slices.Contains(waits, first.After) {
			t.Errorf("seed %d: %+v, earlier waits %v", seed, first, waits)
		}
		waits = append(waits, first.After)
		if a := b.Handle(first.After, TimerFired{subscribeToken}); len(a) != 1 || a[0].Kind != Subscribe {
			t.Errorf("seed %d: %+v", seed, a)
		}
		fail := func(b *Balancer) Action { // asks again, then fails again
			b.Handle(0, TimerFired{subscribeToken})
			return b.Handle(0, ListUnavailable{})[0]
		}
		for range maxPollBackoffDoublings {
			fail(b)
			if a := b.Handle(0, ListUnavailable{}); len(a) != 0 {
				t.Errorf("seed %d: a second timer to ask again: %+v", seed, a)
			}
		}
		set := set // guards against asking so late that the balancer is held to know what it has not heard
		set.MaxPollInterval = time.Second
		bound, _ := New(set, seed)
		for range 2 * maxPollBackoffDoublings {
			if a := fail(bound); a.After > 2*time.Second {
				t.Errorf("asks again after %v, must within %v", a.After, set.MaxPollInterval)
			}
		}
		if last := fail(b); last.After <= first.After {
			t.Errorf("the wait does not grow: %v, then %v", first.After, last.After)
		}
	}
}

func TestUnknownIsPassedOver(t *testing.T) {
	h := newBench(t, testSettings(), 1)
	for _, e := range []Event{Outcome{Request: "no"}, Outcome{Request: "no", Attempt: -1}, ClientDisconnected{"no"},
		ResponseStarted{Request: "no"}, HealthCheckResult{Server: "no"}, TimerFired{99}, Request{ID: "x", Class: 9}, PeerMessage{}} {
		if a := h.Handle(h.at, e); len(a) != 0 {
			t.Errorf("%#v: %+v", e, a)
		}
	}
}

func TestNoServerRefuses(t *testing.T) {
	h := newBench(t, testSettings())
	a := h.Handle(h.at, Request{ID: "x", Deadline: h.at + 1e9})
	if last := a[len(a)-1]; last.Kind != Reject {
		t.Errorf("with no server: %+v", a)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"classes":  func(s *Settings) { s.Classes = nil },
		"aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"window":   func(s *Settings) { s.Classes[2].DedupWindow = 0 },
		"attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"cold":     func(s *Settings) { s.SlowStartInitialRatio = 0 },
		"shares":   func(s *Settings) { s.Quotas = []float64{2} },
		"over":     func(s *Settings) { s.OverQuotaPriorityRatio = 2 },
		"balancer": func(s *Settings) { s.Balancers = 0 },
		"ask":      func(s *Settings) { s.MaxPollInterval = -1 },
		"overload": func(s *Settings) { s.WarmingOverloadRatio = -1 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against pushing over what a release of the servers has left cold (incident i724a33): together they
// get what they can do at present of what a warm fleet would be asked, whether a warm server is left or not.
func TestColdFleetGetsItsPart(t *testing.T) {
	for _, warm := range []int{0, 1} {
		set := testSettings()
		set.WarmingOverloadRatio = 3
		h := newBench(t, set)
		l := ServerList{Full: true}
		for i := range 10 {
			s := Server{ID: fmt.Sprint("s", i), Started: h.at}
			if i < warm {
				s.Started = 0
			}
			l.Servers = append(l.Servers, s)
		}
		h.Handle(h.at, l)
		cold := 0
		const n = 1000
		for range n {
			h.shedder.ratio = 0
			if _, to := h.ask(1); to != "" && h.endpoints.byID[to].Started != 0 {
				cold++
			}
		}
		if most := 1.5*0.3*n*float64(10-warm)/10 + 50; float64(cold) > most || float64(cold) < most/2 {
			t.Errorf("with %d warm, cold servers got %d of %d, want at most %.0f", warm, cold, n, most)
		}
	}
}

// Guards against one tenant that sends several times its share crowding out those within theirs, and against
// refusing more of any while all keep to their shares.
func TestTenantOverItsShareGivesWayFirst(t *testing.T) {
	set := testSettings()
	set.Quotas, set.OverQuotaPriorityRatio = []float64{0.5, 0.25, 0.25}, 0.2
	for _, burst := range []bool{false, true} {
		h := newBench(t, set, 1, 1)
		asked, refused := [3]float64{}, [3]float64{}
		for i := range 6000 {
			tenant := []int{0, 0, 1, 2}[i%4]
			if burst && i%8 > 2 {
				tenant = 1 // more than twice its share
			}
			h.shedder.ratio = 0.3
			sent := false
			for _, a := range h.Handle(h.at, Request{ID: fmt.Sprint(i), Tenant: tenant, Deadline: h.at + 2e9}) {
				if sent = sent || a.Kind == Send; a.Kind == Send {
					h.end(a.Request, a.Server, 0, OK, NoReport)
				}
			}
			asked[tenant]++
			if !sent {
				refused[tenant]++
			}
		}
		in, over := refused[0]/asked[0], refused[1]/asked[1]
		if burst && over < 1.5*in || !burst && math.Abs(over-in) > 0.06 {
			t.Errorf("burst %v: refused %.2f of tenant 0, %.2f of tenant 1", burst, in, over)
		}
	}
	h := newBench(t, set, 1, 1)
	h.Handle(h.at, Request{ID: "x", Tenant: 7, Deadline: h.at + 2e9}) // a tenant that settings do not name
	h.Handle(h.at, Request{ID: "y", Tenant: -1, Deadline: h.at + 2e9})
}

// The server of a key is drawn in proportion to capacity, alike at every balancer, and gives way under load.
// homeOf is the id of the server that is home to a key.
func homeOf(h *bench, key string) string {
	h.picker.rendezvous.SetKey(key)
	d := h.subset.warmPool.At(h.capacity.meanRate)
	s, _ := d.Owner(h.picker.rendezvous)
	return s.ID
}

func TestHomeOfAKey(t *testing.T) {
	set := testSettings()
	set.UseListWeights, set.KeyAffinity = true, true
	h, other := newBench(t, set, 1, 2, 3, 4), newBench(t, set, 1, 2, 3, 4)
	other.rng.Uint64() // another state of chance
	const n = 20000
	got := make([]float64, 4)
	for i := range n {
		key := fmt.Sprint("key", i)
		s := homeOf(h, key)
		if homeOf(other, key) != s {
			t.Fatalf("%s is at home in two places", key)
		}
		got[s[1]-'0']++
	}
	for i, g := range got {
		if want := n * float64(i+1) / 10; math.Abs(g-want) > 4*math.Sqrt(want) {
			t.Errorf("server %d is home to %v keys, want about %v", i, g, want)
		}
	}
	sent := map[string]int{}
	for i := range 40 { // one key, nothing ends: its home fills up and the rest goes elsewhere
		e := Request{ID: fmt.Sprint("x", i), Key: "hot", Class: 1, Deadline: h.at + 1e9}
		for _, a := range h.Handle(h.at, e) {
			if a.Kind == Send {
				sent[a.Server]++
			}
		}
	}
	if len(sent) < 4 {
		t.Errorf("a hot key keeps to %v", sent)
	}
}

// Guards against a server that one costly request made look slow and that then stood idle for good, since it
// got nothing to show better with (almaty rough-1: two of 15 servers for 30 s).
func TestOldEstimateFades(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	for range 30 {
		id, to := h.ask(0)
		r := report(0.5, 50)
		if to == "s0" {
			r = report(0.5, 1)
		}
		h.end(id, to, 0, OK, r)
	}
	slow := h.endpoints.byID["s0"]
	if h.warmCapacity(slow) > 10 {
		t.Fatalf("after reports of 2 a second at most the capacity is %v", h.warmCapacity(slow))
	}
	late := h.at + 3*reportAveragingHorizons*h.horizon
	for h.at < late { // the others go on
		for _, s := range []string{"s1", "s2"} {
			h.recordReport(h.endpoints.byID[s], report(0.5, 50))
		}
		h.tick(h.horizon)
	}
	if h.warmCapacity(slow) < 80 {
		t.Errorf("long after its last report its capacity counts as %v, want near 100 as the others", h.warmCapacity(slow))
	}
}

// Where no server reports, own answers tell: the one that answers in half the time counts twice.
func TestCapacityWithoutReports(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	for i := range 400 {
		id, to := h.ask(0)
		took := 40 * time.Millisecond
		if to == "s1" {
			took *= 2
		}
		if to == "s2" { // never served: no estimate
			h.Handle(h.at, Outcome{Request: id, Server: to, Result: Cancelled, RequestClosed: true, Report: NoReport})
			continue
		}
		took += time.Duration(i%5-2) * time.Millisecond
		h.Handle(h.at, Outcome{Request: id, Server: to, Latency: took, RequestClosed: true, Report: NoReport})
	}
	for i, want := range []float64{25, 12.5, 18.75} {
		if got := h.endpoints.byID[fmt.Sprint("s", i)].estimate.rate; i < 2 && math.Abs(got-want) > 0.1*want {
			t.Errorf("server %d: %v, want about %v", i, got, want)
		}
		if got := h.presentWeight(h.endpoints.byID[fmt.Sprint("s", i)]); math.Abs(got-want) > 0.1*want {
			t.Errorf("server %d weighs %v, want about %v", i, got, want)
		}
	}
}

// Guards against a keyed request that leaves the cell of its first attempt because a list has moved that
// attempt's server to another cell since.
func TestKeyedStaysWhereItWasSent(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	id, to := h.ask(2)
	cell := h.endpoints.byID[to].Cell
	h.Handle(h.at, ServerList{Servers: []Server{{ID: to, Weight: 1, Cell: 1 - cell}}})
	for _, a := range h.end(id, to, 0, Reset, NoReport) {
		if a.Kind == Send && (a.Server == to || h.endpoints.byID[a.Server].Cell != cell) {
			t.Errorf("first sent to %s in cell %d, then to %s in cell %d", to, cell, a.Server, h.endpoints.byID[a.Server].Cell)
		}
	}
}

// Guards against a Send or a second answer when a request's outcome, its client's leaving and its timer come
// together, in any order.
func TestEndsTogether(t *testing.T) {
	for _, result := range []Result{Reset, Rejected, TimedOut, OK} {
		for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			h := newBench(t, testSettings(), 1, 1, 1)
			id, to := h.ask(1)
			h.at += 2 * time.Second // the deadline
			answers := 0
			for _, k := range order {
				e := []Event{Outcome{Request: id, Server: to, Result: result, RequestClosed: result == OK, Report: NoReport},
					ClientDisconnected{id}, TimerFired{h.requests.lastToken}}[k]
				for _, a := range h.Handle(h.at, e) {
					switch a.Kind {
					case Send:
						t.Errorf("result %d, order %v: sent at the deadline", result, order)
					case Reject, Fail:
						answers++
					}
				}
			}
			if answers > 1 || len(h.requests.byID) != 0 {
				t.Errorf("result %d, order %v: %d answers, %d requests kept", result, order, answers, len(h.requests.byID))
			}
		}
	}
}

// A request whose time is over when it comes is refused at once, and nothing is sent for it.
func TestExpiredOnArrival(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	refused := false
	for _, a := range h.Handle(h.at, Request{ID: "x", Deadline: h.at}) {
		refused = refused || a.Kind == Reject
		if a.Kind == Send {
			t.Error("sent after its deadline")
		}
	}
	if !refused {
		t.Error("not refused")
	}
}

// Guards against a restarted balancer that trusts its last list, which names servers that have gone since and
// has an old start of one that is cold: what does not connect goes elsewhere, and the list counts at once.
func TestStaleRestoredList(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1) // as restored; s0 is gone, s1 has just started again
	for range 20 {
		id, to := h.ask(1)
		for n := 0; to == "s0"; n++ {
			next := h.end(id, to, n, ConnectFailed, NoReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Server == "s0" {
				t.Fatalf("after no connection to a server that is gone: %+v", next)
			}
			to = next[0].Server
		}
	}
	h.Handle(h.at, ServerList{Full: true, Servers: []Server{{ID: "s1", Started: h.at}, {ID: "s2"}, {ID: "s3"}}})
	cold := 0
	for range 200 {
		h.shedder.ratio = 0
		switch _, to := h.ask(1); to {
		case "s0":
			t.Fatal("sent to a server that the list has dropped")
		case "s1":
			cold++
		}
	}
	if cold > 200*3/10/3+15 {
		t.Errorf("a server that has just started got %d of 200", cold)
	}
}

// A server that is named again after it was gone starts afresh and gets requests.
func TestNamedAgain(t *testing.T) {
	h := newBench(t, testSettings(), 1)
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", State: Removed}}})
	if _, to := h.ask(0); to != "" {
		t.Fatalf("sent to %s, which is gone", to)
	}
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", Weight: 1}}})
	if _, to := h.ask(0); to != "s0" {
		t.Errorf("named again, but the request went to %q", to)
	}
}

// Guards against a list that is late or old: what own traffic shows of a server's health outweighs a list
// that calls it ready, and nothing outweighs a list that has it draining.
func TestLateList(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	list := func(state State, id string) {
		h.Handle(h.at, ServerList{Servers: []Server{{ID: id, Weight: 1, State: state}}})
	}
	h.eject(h.endpoints.byID["s0"]) // dead, and still in the list
	list(Ready, "s0")
	list(Draining, "s1")
	for range 200 {
		id, to := h.ask(0)
		if to != "s2" {
			t.Fatalf("sent to %s: s0 is dead and s1 draining", to)
		}
		h.end(id, to, 0, OK, NoReport)
	}
}

// Guards against many servers that die at once before the list says so: each request that a dead one did not
// take is served elsewhere, and soon none is sent there.
func TestManyDieAtOnce(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1, 1, 1)
	dead := func(id string) bool { return id < "s2" }
	late := 0
	for i := range 300 {
		id, to := h.ask(0)
		n := 0
		for ; dead(to); n++ {
			if i > 150 {
				late++
			}
			next := h.end(id, to, n, ConnectFailed, NoReport)
			if len(next) != 1 || next[0].Kind != Send || next[0].Server == to {
				t.Fatalf("after a failed connection: %+v", next)
			}
			to = next[0].Server
			if n == 2 {
				t.Fatal("three attempts at dead servers")
			}
		}
		h.end(id, to, n, OK, NoReport)
	}
	if late > 2 {
		t.Errorf("%d late attempts at dead servers", late)
	}
}

// Guards against a jam in which all of the cheapest class is refused, so that ejected servers never get the
// cheap request that tries them and stand empty (incident if77e79).
func TestTrialIsNotRefused(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1)
	s := h.endpoints.byID["s0"]
	h.eject(s)
	h.shedder.ratio = 1e6
	if id, to := h.ask(0); to != "" {
		t.Fatalf("%s was sent to %s, not refused", id, to)
	}
	h.at = s.health.ejectedUntil
	if _, to := h.ask(0); to != "s0" {
		t.Errorf("a trial went to %q", to)
	}
	if _, to := h.ask(0); to != "" {
		t.Errorf("with the trial under way a request went to %q", to)
	}
}

// answers brings requests, so far apart, each of which is answered when 20 later ones have come.
func (h *bench) answers(n int, apart time.Duration, took func(server string) time.Duration) {
	type sent struct{ id, to string }
	var out []sent
	for range n {
		if id, to := h.ask(1); to != "" {
			out = append(out, sent{id, to})
		}
		for ; len(out) > 20; out = out[1:] {
			h.Handle(h.at, Outcome{Request: out[0].id, Server: out[0].to, Result: OK, Latency: took(out[0].to), RequestClosed: true,
				Report: report(0.5, 50)})
		}
		h.at += apart
	}
}

// Guards against a server that answers each request, and each too late, while others are in time: it looked well, and got its
// trickle for good (hand, seed 12: 2 to 3% of all).
func TestSlowServerIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		slow, others time.Duration
		ejected      bool
	}{
		"over the aim":                         {700 * time.Millisecond, 100 * time.Millisecond, true},
		"six times as long, within the aim":    {500 * time.Millisecond, 80 * time.Millisecond, false},
		"over the aim, as others nearly are":   {700 * time.Millisecond, 550 * time.Millisecond, false},
		"over the aim, as all are in this jam": {800 * time.Millisecond, 800 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBench(t, testSettings(), 1, 1, 1, 1)
			h.answers(1000, 5*time.Millisecond, func(to string) time.Duration {
				if to == "s0" {
					return c.slow
				}
				return c.others
			})
			if got := h.endpoints.byID["s0"].health.ejectedUntil > 0; got != c.ejected {
				t.Errorf("ejected: %v", got)
			}
		})
	}
}

// Guards against trials that each cost a request: a server that stays ill is tried less and less, one that was well and falls
// ill again as soon as before, and who is due first is tried first.
func TestTrialsInVain(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1, 1)
	s := h.endpoints.byID["s0"]
	h.now = h.at
	h.eject(s)
	for _, horizons := range []time.Duration{1, 2, 4, 8, 8} {
		if got := s.health.ejectedUntil - h.at; got != horizons*h.horizon {
			t.Fatalf("tried after %v, want %d horizons", got, horizons)
		}
		h.at = s.health.ejectedUntil
		id, to := h.ask(0)
		if to != "s0" {
			t.Fatalf("a trial went to %s", to)
		}
		h.end(id, to, 0, Failed, NoReport)
	}
	later := h.endpoints.byID["s1"]
	h.eject(later) // due before s0, which is ejected for longer
	if h.at = later.health.ejectedUntil; later.health.ejectedUntil >= s.health.ejectedUntil {
		t.Fatal("the first ejection is no shorter")
	}
	if _, to := h.ask(0); to != "s1" {
		t.Errorf("a trial of who is due first went to %s", to)
	}
	h.at = s.health.ejectedUntil
	id, to := h.ask(0)
	h.end(id, to, 0, OK, NoReport)
	if h.eject(s); s.health.ejectedUntil-h.at != h.horizon {
		t.Errorf("well again, then ejected for %v", s.health.ejectedUntil-h.at)
	}
}

// Guards against refusing for a moment's chance: at 300 answers a second ten are 33 ms.
func TestLatenessIsOverTime(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	run := func(n int, took time.Duration) {
		h.answers(n+20, time.Second/300, func(string) time.Duration { return took })
	}
	run(600, 200*time.Millisecond)
	if run(15, 800*time.Millisecond); h.shedder.latencyRatio > shedStartLatencyRatio {
		t.Errorf("15 late answers in 50 ms make %.2f", h.shedder.latencyRatio)
	}
	if run(150, 800*time.Millisecond); h.shedder.latencyRatio < shedStartLatencyRatio {
		t.Errorf("half a second of them makes %.2f", h.shedder.latencyRatio)
	}
}

// Guards against a first report that has hardly anything to tell by: a use of 0.08 made 224 requests a second of 90.
func TestReportsOfLittleUseSayLittle(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	h.now = h.at
	for i, r := range []Report{report(0.08, 18), report(0.5, 45), report(0.5, 45), report(0.5, 45)} {
		h.recordReport(h.endpoints.servers[i], r)
	}
	if got := h.warmCapacity(h.endpoints.servers[0]); got < 90 || got > 160 {
		t.Errorf("capacity %.0f", got)
	}
	if got := h.warmCapacity(h.endpoints.servers[1]); got != 90 {
		t.Errorf("capacity %.0f of one that is half used", got)
	}
}

// Guards against refusing for what is in flight where answers come, and in time (upgrade+hand+scrape, seed 11: 15 to 20%): a
// jam it is when they stay away.
func TestInFlightWhileAnswersCome(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.ask(1)
		h.end(id, to, 0, OK, report(1, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	for h.shedder.inFlightLatencyRatio < shedStartInFlightRatio+0.02 {
		h.ask(1)
		h.updateShedding()
	}
	if h.shedder.inFlightLatencyRatio > shedStartLatencyRatio {
		t.Fatalf("what is in flight is at %.2f of the aim: the test says nothing", h.shedder.inFlightLatencyRatio)
	}
	if h.shedder.ratio > 0 {
		t.Errorf("shed level %.2f at %.2f of the aim while answers come", h.shedder.ratio, h.shedder.inFlightLatencyRatio)
	}
	h.now += h.horizon / 2
	if h.updateShedding(); h.shedder.ratio == 0 {
		t.Errorf("shed level 0 at %.2f of the aim when none has come for half a horizon", h.shedder.inFlightLatencyRatio)
	}
}

// A repeat of what may have run goes only where its class allows, and only inside its window: rule 2, for each effect, group, place and time.
func TestWhereARepeatMayGo(t *testing.T) {
	const window, tick, sent = time.Second, 5 * time.Millisecond, time.Minute
	for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, group := range []DedupScope{DedupFleet, DedupZone, DedupCell} {
			for _, to := range []struct {
				name       string
				zone, cell int
			}{{"the same cell", 1, 11}, {"another cell of the zone", 1, 12}, {"another zone", 2, 21}} {
				for _, age := range []time.Duration{0, window - tick - 1, window - tick, 2 * window} {
					b := &Balancer{now: sent + age, settings: Settings{Tick: tick, MaxAttempts: 3}}
					r := &request{Request: Request{Deadline: sent + time.Hour}, class: &Class{Effect: effect, DedupScope: group, DedupWindow: window}}
					r.attempts = []*attempt{{zone: 1, cell: 11, sentAt: sent}}
					reached := group == DedupFleet || group == DedupZone && to.zone == 1 || group == DedupCell && to.cell == 11
					want := effect == Idempotent || effect == IdempotentByKey && reached && age < window-tick
					s := &server{Server: Server{State: Ready, Zone: to.zone, Cell: to.cell}}
					if got := b.maySend(r, s); got != want {
						t.Errorf("effect %v, group %v, to %s after %v: %v", effect, group, to.name, age, got)
					}
					r.attempts[0].hasNotRun = true
					if !b.maySend(r, s) {
						t.Errorf("effect %v, group %v, to %s after %v: not sent, though it never ran", effect, group, to.name, age)
					}
				}
			}
		}
	}
}
