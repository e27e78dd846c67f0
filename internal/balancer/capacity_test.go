package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestCapacityFromNoisyReports(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1)
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
	h := newTestBalancer(t, testSettings(), 1, 1)
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

// Guards against a server that one costly request made look slow and that then stood idle for good, since it
// got nothing to show better with (almaty rough-1: two of 15 servers for 30 s).
func TestOldEstimateFades(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1)
	for range 30 {
		id, to := h.sendRequest(0)
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
	h := newTestBalancer(t, testSettings(), 1, 1, 1)
	for i := range 400 {
		id, to := h.sendRequest(0)
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

// Guards against a first report that has hardly anything to tell by: a use of 0.08 made 224 requests a second of 90.
func TestReportsOfLowUtilizationHaveLowConfidence(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1)
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

// An own-zone server is preferred while it has room, and no longer.
func TestOwnZoneIsPreferredWhileIdle(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.1
	h := newTestBalancer(t, set, 1, 1)
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
