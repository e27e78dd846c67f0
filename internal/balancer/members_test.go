package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// inconsistent says what of the kept state differs from what it stands for, worked out anew from the servers; "" if
// nothing does. The rules' random events ask it after each.
func (b *Balancer) inconsistent() string {
	var all capacityTotals
	var inView subsetCapacity
	for i, s := range b.endpoints.servers {
		all.add(&s.totals, 1)
		eligible := s.State == Ready && !b.isEjected(s)
		switch {
		case i > 0 && inRingOrder(b.endpoints.servers[i-1], s) >= 0:
			return fmt.Sprintf("%s stands out of order", s.ID)
		case b.endpoints.byID[s.ID] != s || !s.isListed || s.State == Removed:
			return fmt.Sprintf("%s is no server of the list", s.ID)
		case s.isInSubset != (i < b.subset.size):
			return fmt.Sprintf("%s at %d of a view of %d is seen: %v", s.ID, i, b.subset.size, s.isInSubset)
		case (s.subsetPart.units > 0) != (s.isInSubset && eligible) || (s.pool != nil) != (s.subsetPart.units > 0):
			return fmt.Sprintf("%s counts as %d, seen: %v, to be drawn: %v, in a pool: %v", s.ID, s.subsetPart.units, s.isInSubset, eligible, s.pool != nil)
		case s.pool == b.subset.warmPool && b.warmRatio(s) < 1:
			return s.ID + " is cold and drawn as if it was warm"
		case (s.health.ejectedUntil > 0) != slices.Contains(b.outliers.ejected, s):
			return s.ID + " is ejected and not listed so, or the other way round"
		case len(s.inFlight) > 0 && !slices.Contains(b.requests.activeServers, s):
			return s.ID + " has attempts in flight and is not looked after"
		case s.estimate.confidence > 0 && !slices.Contains(b.capacity.estimated, s):
			return s.ID + " is trusted for good"
		case b.endpoints.cells != nil && !slices.Contains(b.endpoints.cells[s.Cell], s):
			return s.ID + " is missing from its cell"
		}
		inView.add(s.subsetPart, 1)
	}
	want := unitsPerServer * max(b.subset.minSize, b.subset.growthThreshold)
	spare := 0
	if b.subset.size > 0 {
		spare = b.endpoints.servers[b.subset.size-1].subsetPart.units
	}
	switch {
	case len(b.endpoints.byID) != len(b.endpoints.servers):
		return fmt.Sprintf("%d servers by id, %d in order", len(b.endpoints.byID), len(b.endpoints.servers))
	case inView.units != b.subset.capacity.units || inView.units-spare >= want && b.subset.size > 0 || inView.units < want && b.subset.size < len(b.endpoints.servers):
		return fmt.Sprintf("%d to be drawn, counted as %d, with %d wanted and an edge at %d of %d", inView.units, b.subset.capacity.units,
			want, b.subset.size, len(b.endpoints.servers))
	case math.Abs(inView.warming.At(b.capacity.meanRate)-b.subset.capacity.warming.At(b.capacity.meanRate))+math.Abs(inView.warm.At(b.capacity.meanRate)-b.subset.capacity.warm.At(b.capacity.meanRate)) > 1e-6*all.warmedUp.At(b.capacity.meanRate)+1e-9:
		return fmt.Sprintf("the view can do %v, kept as %v", inView, b.subset.capacity)
	case math.Abs(all.present.At(b.capacity.meanRate)-b.capacity.totals.present.At(b.capacity.meanRate)) > 1e-6*all.warmedUp.At(b.capacity.meanRate)+1e-9,
		math.Abs(all.reported.At(b.capacity.meanRate)-b.capacity.totals.reported.At(b.capacity.meanRate)) > 1e-6*all.warmedUp.At(b.capacity.meanRate)+1e-9, all.reporting != b.capacity.totals.reporting:
		return fmt.Sprintf("sums are %v, kept as %v", all, b.capacity.totals)
	}
	return ""
}

// What is seen in any one change of a large list: it costs what changed, and nothing else moves.
func TestListsOfAnySize(t *testing.T) {
	h, all := fleetOf(t, 10_000)
	at := time.Hour
	check := func(what string, servers int) {
		t.Helper()
		if fault := h.inconsistent(); fault != "" || len(h.endpoints.servers) != servers {
			t.Fatalf("%s: %d servers, want %d; %s", what, len(h.endpoints.servers), servers, fault)
		}
	}
	tell := func(full bool, servers ...Server) { h.Handle(at, ServerList{Full: full, Servers: servers}) }

	tell(true, all...)
	check("the whole list", 10_000)
	changes := h.capacity.changesSince
	all[77].State = Draining
	tell(true, all...)
	if check("a whole list with one change", 10_000); h.capacity.changesSince != changes+1 {
		t.Errorf("a whole list that differs in one changed %d servers", h.capacity.changesSince-changes)
	}
	tell(false, Server{ID: "new", Weight: math.NaN()}, Server{ID: "new", Weight: -1}, Server{ID: "odd", Weight: math.Inf(1)})
	check("duplicates and weights that are none", 10_002)
	if w := [2]float64{h.endpoints.byID["new"].Weight, h.endpoints.byID["odd"].Weight}; w != [2]float64{1, maxListWeight} {
		t.Errorf("weights that are none or absurd count as %v", w)
	}
	tell(false, Server{ID: "there and gone"}, Server{ID: "there and gone", State: Removed}, Server{ID: "unheard of", State: Removed},
		Server{ID: "new", State: Removed}, Server{ID: "new", State: Removed})
	check("named and taken back", 10_001)
	back := all[5]
	back.State = Removed
	tell(false, back, all[5])
	check("taken away and named again", 10_001)
	for i := range all {
		all[i].Started = at
	}
	tell(false, all...)
	check("all restart at once", 10_001)
	tell(true, all[:3000]...)
	check("two thirds gone", 3000)
	for i := range 2999 {
		all[i].State = Draining
	}
	tell(false, all[:2999]...)
	if check("all but one drain", 3000); h.subset.capacity.units == 0 || h.subset.capacity.units != h.endpoints.byID[all[2999].ID].subsetPart.units {
		t.Errorf("%d are to be drawn, want the last one", h.subset.capacity.units)
	}
	tell(true)
	if check("nothing left", 0); len(h.Handle(at, Request{ID: "r", Deadline: at + 1e9})) == 0 {
		t.Error("a request without any server has no answer")
	}
	tell(true, all...)
	check("all again", 10_000)
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
			h := newBench(t, set)
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
