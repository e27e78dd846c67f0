package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against pushing a warming server over: in an overload it has the lowest load of all.
func TestWarmingServerIsNotOverloaded(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for range 500 {
		h.sendRequest(1)
	}
	h.shedder.ratio = 0
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "new", Started: h.at}}})
	cold := 0
	const n = 300
	for range n {
		if _, to := h.sendRequest(1); to == "new" {
			cold++
		}
	}
	if most := n*0.3/10 + 8; float64(cold) > most || cold == 0 {
		t.Errorf("a warming server got %d of %d, want 1 to %.1f", cold, n, most)
	}
}

// Guards against pushing over what a release of the servers has left warming up (incident i724a33): together they
// get what they can do at present of what a warm fleet would be asked, whether a warm server is left or not.
func TestWarmingFleetGetsItsPresentCapacity(t *testing.T) {
	for _, warm := range []int{0, 1} {
		set := testSettings()
		set.WarmingOverloadRatio = 3
		h := newTestBalancer(t, set)
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
			if _, to := h.sendRequest(1); to != "" && h.endpoints.byID[to].Started != 0 {
				cold++
			}
		}
		if most := 1.5*0.3*n*float64(10-warm)/10 + 50; float64(cold) > most || float64(cold) < most/2 {
			t.Errorf("with %d warm, warming servers got %d of %d, want at most %.0f", warm, cold, n, most)
		}
	}
}

// Where all servers are warming up, as many requests are let through by balancers that see a part of a large fleet each as by those that
// see all of a small one: the initial ratio times what may be sent to a warming server. Behind a gap of the ring many see the same servers, and
// each lets through less, elsewhere more: but none hardly anything, and none twice as much.
func TestSubsetWhereAllAreWarming(t *testing.T) {
	for _, tt := range []struct{ servers, balancers int }{{12, 4}, {12, 50}, {120, 500}, {2000, 1000}} {
		var all []Server
		now := time.Minute
		for i := range tt.servers {
			all = append(all, Server{ID: fmt.Sprint(i), Weight: 1, Started: now})
		}
		const balancers, requests, want = 40, 1000, 0.48
		var sum float64
		n := min(tt.balancers, balancers)
		for i := range n {
			set := Settings{Balancers: tt.balancers, Index: i * tt.balancers / n, Tick: 5 * time.Millisecond, MaxAttempts: 3, SlowStartInitialRatio: 0.32, SlowStartDuration: 10 * time.Second,
				WarmingOverloadRatio: 3, KeyAffinity: true, Classes: []Class{{Name: "check", LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1}}}
			b, err := New(set, 7+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(now)
			b.Handle(now, ServerList{Full: true, Servers: all})
			sent := 0
			for i := range requests {
				id := fmt.Sprint("r", i)
				for _, a := range b.Handle(now, Request{ID: id, Key: id, Deadline: now + time.Second}) {
					if a.Kind == Send {
						sent++
						b.Handle(now, Outcome{Request: id, Server: a.Server, Result: OK, Latency: 50 * time.Millisecond, Report: NoReport})
					}
				}
			}
			share := float64(sent) / requests
			sum += share / float64(n)
			if share < 0.7*want || share > 2*want {
				t.Errorf("%d servers, %d balancers: number %d sends %.3f of the requests, want about %.2f", tt.servers, tt.balancers, set.Index, share, want)
			}
		}
		if sum < 0.43 || sum > 0.53 {
			t.Errorf("%d servers, %d balancers: %.3f of the requests are sent, want %.2f", tt.servers, tt.balancers, sum, want)
		}
	}
}

// Six in ten of a fleet's servers have just been replaced. Together its many balancers, each of which sees a part of it and
// sends little, ask the warming ones for what these can do at present, and none of them for much more than its part.
func TestManyBalancersAndAFleetMostlyWarming(t *testing.T) {
	const servers, balancers, requests, coldFrom = 60, 80, 400, 0.4
	now := time.Minute
	var all []Server
	for i := range servers {
		s := Server{ID: fmt.Sprint(i), Weight: 1}
		if i%5 < 3 {
			s.Started = now
		}
		all = append(all, s)
	}
	got := map[string]int{}
	for me := range balancers {
		b, err := New(Settings{Balancers: balancers, Index: me, Tick: 5 * time.Millisecond, MaxAttempts: 3, SlowStartInitialRatio: coldFrom, SlowStartDuration: 10 * time.Second,
			WarmingOverloadRatio: 3, Classes: []Class{{Name: "check", LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1}}}, uint64(me))
		if err != nil {
			t.Fatal(err)
		}
		b.Start(now)
		b.Handle(now, ServerList{Full: true, Servers: all})
		for i := range requests {
			id := fmt.Sprint("r", i)
			for _, a := range b.Handle(now, Request{ID: id, Deadline: now + time.Second}) {
				if a.Kind == Send {
					got[a.Server]++
					if a.WarmingUp != (b.endpoints.byID[a.Server].Started > 0) {
						t.Fatalf("a send to %+v is said to be warming up: %v", b.endpoints.byID[a.Server].Server, a.WarmingUp)
					}
					b.Handle(now, Outcome{Request: id, Server: a.Server, Result: OK, Latency: 50 * time.Millisecond, Report: NoReport})
				}
			}
		}
	}
	cold, most := 0, 0
	for _, s := range all {
		if s.Started > 0 {
			cold += got[s.ID]
			most = max(most, got[s.ID])
		}
	}
	const present = (0.6*coldFrom + 0.4) * servers // what they can do, in warm servers
	part, want := float64(cold)/(balancers*requests), 0.6*coldFrom*servers/present
	if part < 0.85*want || part > 1.1*want {
		t.Errorf("warming servers got %.2f of all requests, want about %.2f", part, want)
	}
	if fair := balancers * requests * coldFrom / present; float64(most) > 1.5*fair {
		t.Errorf("a warming server got %d requests, its part are %.0f", most, fair)
	}
}

// A start in the future, by a clock that is ahead, is a warming server's, which is warm so long after that time.
func TestStartInTheFuture(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	started := h.at + 3*time.Second
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", Weight: 1, Started: started}}})
	s := h.endpoints.byID["s0"]
	for _, step := range []struct {
		at    time.Duration
		share float64
	}{{h.at, h.settings.SlowStartInitialRatio}, {started, h.settings.SlowStartInitialRatio}, {started + h.settings.SlowStartDuration/2, (1 + h.settings.SlowStartInitialRatio) / 2}, {started + h.settings.SlowStartDuration, 1}} {
		if h.now = step.at; math.Abs(h.warmRatio(s)-step.share) > 1e-9 {
			t.Errorf("%v after its start its share is %v, want %v", step.at-started, h.warmRatio(s), step.share)
		}
	}
}
