package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against requests of high priority waiting behind those of low.
func TestLowPriorityIsShedFirst(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	h.shedder.ratio = 0.1
	refused := [2]int{}
	for i := range 2000 {
		id, to := h.sendRequest(i % 2)
		if to == "" {
			refused[i%2]++
		} else {
			h.end(id, to, 0, OK, NoReport)
		}
	}
	if refused[0] < 400 || refused[1] > 120 {
		t.Errorf("rejected %d cheap and %d dear of 1000 each", refused[0], refused[1])
	}
}

// Guards against long work crowding out short work of the same priority in an overload.
func TestLongRequestsAreShedFirst(t *testing.T) {
	set := testSettings()
	set.Classes[1].Priority = set.Classes[0].Priority
	h := newTestBalancer(t, set, 1, 1)
	refused := [2]int{}
	for i := range 4000 {
		h.shedder.ratio = 0.3
		id, to := h.sendRequest(i % 2)
		if to == "" {
			refused[i%2]++
			continue
		}
		h.Handle(h.at, Outcome{Request: id, Server: to, Latency: time.Duration(20+60*(i%2)) * time.Millisecond,
			RequestClosed: true, Report: NoReport})
	}
	if refused[1] < 2*refused[0] {
		t.Errorf("rejected %d short and %d long of 2000 each", refused[0], refused[1])
	}
}

// Guards against a balancer with next to nothing in flight that rejects because its few requests bunch by
// chance (arewa quiet: 18% rejected in a fleet used to a third): in a fleet that is not busy it rejects none.
func TestQuietBalancerShedsNothing(t *testing.T) {
	set := testSettings()
	set.Balancers = 500
	h := newTestBalancer(t, set, 1, 1, 1, 1)
	for i := range 300 {
		var ids, tos []string
		for range 1 + 3*(i%2) { // bunched
			id, to := h.sendRequest(0)
			if to == "" {
				t.Fatalf("request %d is rejected", i)
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

// Guards against rejecting too late where queues are deep: what is in flight tells before late answers do.
func TestInFlightCountsSignalOverload(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(1)
		h.end(id, to, 0, OK, report(1, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	if h.shedder.ratio != 0 {
		t.Fatalf("shed level %v before the overload", h.shedder.ratio)
	}
	for range 40 {
		h.sendRequest(1)
	}
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio == 0 {
		t.Error("40 in flight of 200 sends say nothing")
	}
}

// What hangs is no overload: while servers report little use, requests that stay in flight reject no others.
func TestStuckRequestsAtIdleServersShedNothing(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(1)
		h.end(id, to, 0, OK, report(0.3, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	for range 40 {
		h.sendRequest(1)
	}
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio != 0 {
		t.Errorf("shed level %v with servers at three tenths", h.shedder.ratio)
	}
}

// Also where servers are busy, what is out for longer than its objective is stuck: late answers tell of an overload by then.
func TestRequestsOverTheirObjectiveShedNothing(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	for range 12 {
		h.sendRequest(1)
	}
	h.tick(h.settings.Classes[1].LatencyObjective + h.horizon/ticksPerHorizon)
	for range 100 {
		id, to := h.sendRequest(1)
		h.end(id, to, 0, OK, report(1, 50))
	}
	h.shedder.latencyRatio = 0
	h.tick(h.horizon / ticksPerHorizon)
	if h.shedder.ratio != 0 {
		t.Errorf("shed level %v with a few stuck", h.shedder.ratio)
	}
}

// Guards against one tenant that sends several times its quota crowding out those within theirs, and against
// rejecting more of any while all keep to their quotas.
func TestTenantOverItsQuotaIsShedFirst(t *testing.T) {
	set := testSettings()
	set.Quotas, set.OverQuotaPriorityRatio = []float64{0.5, 0.25, 0.25}, 0.2
	for _, burst := range []bool{false, true} {
		h := newTestBalancer(t, set, 1, 1)
		asked, refused := [3]float64{}, [3]float64{}
		for i := range 6000 {
			tenant := []int{0, 0, 1, 2}[i%4]
			if burst && i%8 > 2 {
				tenant = 1 // more than twice its quota
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
			t.Errorf("burst %v: rejected %.2f of tenant 0, %.2f of tenant 1", burst, in, over)
		}
	}
	h := newTestBalancer(t, set, 1, 1)
	h.Handle(h.at, Request{ID: "x", Tenant: 7, Deadline: h.at + 2e9}) // a tenant that settings do not name
	h.Handle(h.at, Request{ID: "y", Tenant: -1, Deadline: h.at + 2e9})
}

// Guards against rejecting for a moment's chance: at 300 answers a second ten are 33 ms.
func TestLatencyRatioAveragesOverTime(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	run := func(n int, took time.Duration) {
		h.answerInOrder(n+20, time.Second/300, func(string) time.Duration { return took })
	}
	run(600, 200*time.Millisecond)
	if run(15, 800*time.Millisecond); h.shedder.latencyRatio > shedStartLatencyRatio {
		t.Errorf("15 late answers in 50 ms make %.2f", h.shedder.latencyRatio)
	}
	if run(150, 800*time.Millisecond); h.shedder.latencyRatio < shedStartLatencyRatio {
		t.Errorf("half a second of them makes %.2f", h.shedder.latencyRatio)
	}
}

// Guards against rejecting for what is in flight where answers come, and in time (upgrade+hand+scrape, seed 11: 15 to 20%): a
// overload it is when they stay away.
func TestInFlightShedsLessWhileAnswersArrive(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	for range 200 {
		id, to := h.sendRequest(1)
		h.end(id, to, 0, OK, report(1, 50))
		h.tick(h.horizon / ticksPerHorizon)
	}
	for h.shedder.inFlightLatencyRatio < shedStartInFlightRatio+0.02 {
		h.sendRequest(1)
		h.updateShedding()
	}
	if h.shedder.inFlightLatencyRatio > shedStartLatencyRatio {
		t.Fatalf("what is in flight is at %.2f of the objective: the test says nothing", h.shedder.inFlightLatencyRatio)
	}
	if h.shedder.ratio > 0 {
		t.Errorf("shed level %.2f at %.2f of the objective while answers come", h.shedder.ratio, h.shedder.inFlightLatencyRatio)
	}
	h.now += h.horizon / 2
	if h.updateShedding(); h.shedder.ratio == 0 {
		t.Errorf("shed level 0 at %.2f of the objective when none has come for half a horizon", h.shedder.inFlightLatencyRatio)
	}
}

// A balancer that had nothing to do must take a burst: what it has in flight at once, over what it sent of late, looks
// like an overload, and no server has said lately that it is not busy, as none was asked. Seen in scenario runs: 18% of the first
// second's requests were rejected by a fleet that did nothing.
func TestBurstAfterIdleIsNotShed(t *testing.T) {
	for name, before := range map[string]func(h *testBalancer){
		"from the start": func(*testBalancer) {},
		"after reports of little use": func(h *testBalancer) {
			for range 20 {
				id, to := h.sendRequest(0)
				h.end(id, to, 0, OK, report(0.3, 10))
			}
		},
	} {
		h := newTestBalancer(t, testSettings(), 1, 1, 1, 1, 1, 1, 1, 1)
		before(h)
		h.tick(30 * time.Second)
		if refused := h.burst(3, 75*time.Millisecond); refused > 0 {
			t.Errorf("%s: %d rejected", name, refused)
		}
		for range 27 {
			h.sendRequest(0)
		}
		if h.tick(75 * time.Millisecond); h.shedder.ratio > 0 {
			t.Errorf("%s: shed level %v with 30 in flight for a tick", name, h.shedder.ratio)
		}
	}
}

// Silence while answers are waited for is still a sign that servers are busy: in an overload no reports come.
func TestSilenceUnderLoadSignalsOverload(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
	for range 20 {
		id, to := h.sendRequest(0)
		h.end(id, to, 0, OK, report(0.6, 10))
	}
	for range 40 { // a steady stream of which nothing comes back
		h.sendRequest(0)
		h.tick(75 * time.Millisecond)
	}
	if h.shedder.utilization < shedStartUtilization {
		t.Errorf("taken to be %v in use", h.shedder.utilization)
	}
	if h.shedder.ratio == 0 {
		t.Error("nothing is shed")
	}
}

// A fleet that is busy and answers in time is in no overload: what its answers usually take is near half of the objective, and some of a
// balancer's few requests are out at any time. Seen on the large days: a quarter was rejected by servers used to three
// quarters, of which 96 in 100 answers came in time.
func TestBusyFleetInTimeShedsNothing(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1, 1, 1)
	type sent struct{ id, to string }
	var out []sent
	aim := h.settings.Classes[0].LatencyObjective
	refused := 0
	for range 400 {
		id, to := h.sendRequest(0)
		if to == "" {
			refused++
		} else {
			out = append(out, sent{id, to})
		}
		h.tick(aim / 8)
		if len(out) > 4 {
			o := out[0]
			out = out[1:]
			h.Handle(h.at, Outcome{Request: o.id, Server: o.to, Result: OK, Latency: aim / 2, RequestClosed: true, Report: report(0.8, 40)})
		}
	}
	if refused > 0 {
		t.Errorf("%d of 400 rejected", refused)
	}
}
