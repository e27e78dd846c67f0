package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// A restart voids what was learnt, and is seen by the new start time.
func TestRestartDropsWhatWasLearnt(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
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

// Guards against a restarted balancer that trusts its last list, which names servers that have gone since and
// has an old start of one that is warming up: what does not connect goes elsewhere, and the list counts at once.
func TestStaleRestoredList(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1, 1) // as restored; s0 is gone, s1 has just started again
	for range 20 {
		id, to := h.sendRequest(1)
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
		switch _, to := h.sendRequest(1); to {
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
func TestRemovedServerIsListedAgain(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1)
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", State: Removed}}})
	if _, to := h.sendRequest(0); to != "" {
		t.Fatalf("sent to %s, which is gone", to)
	}
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", Weight: 1}}})
	if _, to := h.sendRequest(0); to != "s0" {
		t.Errorf("named again, but the request went to %q", to)
	}
}

// Guards against a list that is late or old: what own traffic shows of a server's health outweighs a list
// that calls it ready, and nothing outweighs a list that has it draining.
func TestOutdatedListAgainstOwnObservations(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1)
	list := func(state State, id string) {
		h.Handle(h.at, ServerList{Servers: []Server{{ID: id, Weight: 1, State: state}}})
	}
	h.eject(h.endpoints.byID["s0"]) // dead, and still in the list
	list(Ready, "s0")
	list(Draining, "s1")
	for range 200 {
		id, to := h.sendRequest(0)
		if to != "s2" {
			t.Fatalf("sent to %s: s0 is dead and s1 draining", to)
		}
		h.end(id, to, 0, OK, NoReport)
	}
}

// Balancers that lose the list together ask again apart, and later each time.
func TestResubscribeBacksOffWithJitter(t *testing.T) {
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
			return fmt.Sprintf("%s at %d of a subset of %d is seen: %v", s.ID, i, b.subset.size, s.isInSubset)
		case (s.subsetPart.units > 0) != (s.isInSubset && eligible) || (s.pool != nil) != (s.subsetPart.units > 0):
			return fmt.Sprintf("%s counts as %d, seen: %v, to be drawn: %v, in a pool: %v", s.ID, s.subsetPart.units, s.isInSubset, eligible, s.pool != nil)
		case s.pool == b.subset.warmPool && b.warmRatio(s) < 1:
			return s.ID + " is warming up and drawn as if it were warm"
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
		return fmt.Sprintf("the subset can do %v, kept as %v", inView, b.subset.capacity)
	case math.Abs(all.present.At(b.capacity.meanRate)-b.capacity.totals.present.At(b.capacity.meanRate)) > 1e-6*all.warmedUp.At(b.capacity.meanRate)+1e-9,
		math.Abs(all.reported.At(b.capacity.meanRate)-b.capacity.totals.reported.At(b.capacity.meanRate)) > 1e-6*all.warmedUp.At(b.capacity.meanRate)+1e-9, all.reporting != b.capacity.totals.reporting:
		return fmt.Sprintf("sums are %v, kept as %v", all, b.capacity.totals)
	}
	return ""
}

// listService is an owner of the endpoint list that works through calls in turn and rejects those that would wait for too long, which costs
// it as much as half a call.
type listService struct {
	callTime, maxWait time.Duration
	freeAt            time.Duration // when it has done what it has taken
}

// call takes one call, and returns when it is answered, or that it is rejected.
func (s *listService) call(now time.Duration) (at time.Duration, ok bool) {
	s.freeAt = max(s.freeAt, now)
	if s.freeAt-now+s.callTime > s.maxWait {
		s.freeAt += s.callTime / 2
		return now, false
	}
	s.freeAt += s.callTime
	return s.freeAt, true
}

// All balancers lose the list together, and it stays out of reach for a while. They come back to it apart: what they
// ask in an outage is little, and after it all have the list again within a time in which the service could answer each
// of them a few times.
func TestBalancersPollApartAfterAnOutage(t *testing.T) {
	const outage = 10 * time.Second
	for _, balancers := range []int{4, 80, 800} {
		s := &listService{callTime: 5 * time.Second / time.Duration(balancers), maxWait: 2 * time.Second}
		type due struct {
			at    time.Duration
			tries int
			back  bool
		}
		all := make([]due, balancers)
		of := make([]*Balancer, balancers)
		wait := func(i int, now time.Duration) {
			for _, a := range of[i].Handle(now, ListUnavailable{}) {
				if a.Kind == SetTimer && a.Token == subscribeToken {
					all[i].at = now + a.After
				}
			}
		}
		for i := range of {
			set := testSettings()
			set.Subscribe, set.Balancers, set.Index, set.MaxPollInterval = true, balancers, i, 10*time.Second
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(0)
			of[i] = b
			wait(i, 0)
		}
		in, last, missing := 0, time.Duration(0), balancers
		for now := time.Duration(0); missing > 0 && now < 5*time.Minute; now += 5 * time.Millisecond {
			for i := range all {
				if all[i].back || all[i].at > now {
					continue
				}
				of[i].Handle(now, TimerFired{subscribeToken})
				all[i].tries++
				if now < outage {
					in++
					wait(i, now)
				} else if at, ok := s.call(now); !ok {
					wait(i, now)
				} else {
					all[i].back, last = true, max(last, at)
					missing--
				}
			}
		}
		if missing > 0 || last > outage+25*time.Second {
			t.Errorf("%d balancers: %d without the list, the last one back at %v", balancers, missing, last)
		}
		if in > 5*balancers {
			t.Errorf("%d balancers ask %d times in an outage of %v", balancers, in, outage)
		}
		t.Logf("%d balancers: %d calls in the outage, all back %v after it", balancers, in, last-outage)
	}
}
