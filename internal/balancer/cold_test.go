package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Where all servers are cold, as many requests are let through by balancers that see a part of a large fleet each as by those that
// see all of a small one: the cold share times what may be sent to a cold server. Behind a gap of the ring many see the same servers, and
// each lets through less, elsewhere more: but none hardly anything, and none twice as much.
func TestAllColdInAView(t *testing.T) {
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
// sends little, ask the cold ones for what these can do at present, and none of them for much more than its part.
func TestManyBalancersAndAFleetMostlyCold(t *testing.T) {
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
						t.Fatalf("a send to %+v is said to be cold: %v", b.endpoints.byID[a.Server].Server, a.WarmingUp)
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
		t.Errorf("cold servers got %.2f of all requests, want about %.2f", part, want)
	}
	if fair := balancers * requests * coldFrom / present; float64(most) > 1.5*fair {
		t.Errorf("a cold server got %d requests, its part are %.0f", most, fair)
	}
}

// A start in the future, by a clock that is ahead, is a cold server's, which is warm so long after that time.
func TestStartInTheFuture(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
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

// What balancers reckon from the ring is in how many views a server is: counted over all of them, and never less than the bound on how much more
// each sends to one that few see.
func TestInHowManyViewsAServerIs(t *testing.T) {
	const servers, balancers = 40, 120
	now := time.Minute
	var all []Server
	for i := range servers {
		all = append(all, Server{ID: fmt.Sprint("s", i), Weight: 1}) // warm: so views are as small as they get
	}
	views, reckoned, held := map[string]float64{}, map[string]float64{}, 0.0
	for me := range balancers {
		set := testSettings()
		set.Balancers, set.Index, set.WarmingOverloadRatio = balancers, me, 3
		b, err := New(set, uint64(me))
		if err != nil {
			t.Fatal(err)
		}
		b.Start(now)
		b.Handle(now, ServerList{Full: true, Servers: all})
		held += float64(b.subset.size) / balancers
		for _, s := range b.endpoints.servers {
			part := b.membershipRatio(s)
			if part < minMembershipRatio {
				t.Errorf("balancer %d takes %s to be in %.2f of the mean number of views", me, s.ID, part)
			}
			if reckoned[s.ID] += part / balancers; s.isInSubset {
				views[s.ID]++
			}
		}
	}
	if held >= servers {
		t.Fatalf("each balancer sees all %d servers", servers)
	}
	least, most := math.Inf(1), 0.0
	for id, n := range views {
		part := n / balancers * servers / held
		least, most = min(least, part), max(most, part)
		if want := max(part, minMembershipRatio); math.Abs(reckoned[id]-want) > 0.25 {
			t.Errorf("%s is in %.2f of the mean number of views, reckoned are %.2f", id, part, reckoned[id])
		}
	}
	if least > 0.7 || most < 1.3 {
		t.Errorf("servers are in %.2f to %.2f of the mean number: such a ring shows nothing", least, most)
	}
}
