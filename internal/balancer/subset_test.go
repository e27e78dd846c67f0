package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A balancer keeps to a part of a large fleet, a part of its own and the same after a restart; all together
// use every server; a small fleet or one with few balancers is used whole.
func TestSubsetOfALargeFleet(t *testing.T) {
	used := func(me, balancers, servers int) map[string]int {
		set := testSettings()
		set.Index, set.Balancers = me, balancers
		h := newTestBalancer(t, set, make([]float64, servers)...)
		got := map[string]int{}
		for range 60 {
			_, to := h.sendRequest(1)
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
	h := newTestBalancer(t, set, make([]float64, 40)...)
	got := map[string]bool{}
	for i := range 80 {
		if i == 40 {
			h.Handle(h.at, TimerFired{tickToken})
		}
		h.shedder.ratio = 0
		if _, to := h.sendRequest(1); i >= 40 {
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

// Balancers' subsets at scale: as servers and balancers come and go every server is in many subsets, about evenly, and a
// change of the list moves no more of them than it must.
func TestSubsetsAtScale(t *testing.T) {
	const servers, balancers = 1000, 150
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s-%05d", i)}
	}
	views := func(list []Server, balancers int) (cover map[string]int, of []map[string]bool) {
		cover = map[string]int{}
		for me := range balancers {
			set := testSettings()
			set.Index, set.Balancers = me, balancers
			h := newTestBalancer(t, set)
			h.Handle(h.at, ServerList{Full: true, Servers: list})
			mine := map[string]bool{}
			for _, s := range h.endpoints.servers[:h.subset.size] {
				mine[s.ID] = true
				cover[s.ID]++
			}
			of = append(of, mine)
		}
		return cover, of
	}
	even := func(cover map[string]int, servers int) {
		t.Helper()
		least, most := balancers, 0
		for _, n := range cover {
			least, most = min(least, n), max(most, n)
		}
		t.Logf("%d servers, each in %d to %d subsets, %d on the mean", servers, least, most, minSubsetsPerServer)
		if len(cover) != servers || least < minSubsetsPerServer/2 || most > 2*minSubsetsPerServer {
			t.Errorf("%d of %d servers covered, by %d to %d balancers", len(cover), servers, least, most)
		}
	}
	cover, before := views(list, balancers)
	even(cover, servers)
	gone := list[servers-10:]
	list = list[:servers-10]
	cover, after := views(list, balancers)
	even(cover, servers-10)
	new, had := 0, 0 // servers that a balancer did not have before, and those that it lost
	for me, mine := range after {
		for id := range mine {
			if !before[me][id] {
				new++
			}
		}
		for _, s := range gone {
			if before[me][s.ID] {
				had++
			}
		}
	}
	t.Logf("10 of %d servers gone, which %d subsets held: %d connections to new ones", servers, had, new)
	if new > had {
		t.Errorf("%d servers came into subsets where %d had gone", new, had)
	}
	for _, n := range []int{balancers - 7, balancers - 50} { // the others keep their places
		cover, _ = views(list, n)
		even(cover, servers-10)
	}
}

// What balancers reckon from the ring is in how many subsets a server is: counted over all of them, and never less than the bound on how much more
// each sends to one that few see.
func TestMembershipRatioMatchesSubsets(t *testing.T) {
	const servers, balancers = 40, 120
	now := time.Minute
	var all []Server
	for i := range servers {
		all = append(all, Server{ID: fmt.Sprint("s", i), Weight: 1}) // warm: so subsets are as small as they get
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
				t.Errorf("balancer %d takes %s to be in %.2f of the mean number of subsets", me, s.ID, part)
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
			t.Errorf("%s is in %.2f of the mean number of subsets, reckoned are %.2f", id, part, reckoned[id])
		}
	}
	if least > 0.7 || most < 1.3 {
		t.Errorf("servers are in %.2f to %.2f of the mean number: such a ring shows nothing", least, most)
	}
}
