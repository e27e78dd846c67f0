package generation

import (
	"iter"
	"time"
)

const (
	// trafficWindowSeconds is how long the traffic window looks back.
	trafficWindowSeconds = 60
	// maxTrafficPairs bounds the pairs of class and tenant that are counted apart. Further tenants of a class are counted with its
	// last one. Classes that come at run time may double it; further classes are counted with the last one.
	maxTrafficPairs = 1024
)

// OutcomeCounts is how many requests ended, and how many of them badly: rejected, failed or served later than their class's
// latency objective.
type OutcomeCounts struct {
	Ended int `json:"done"`
	Bad   int `json:"bad"`
}

// badRatio returns the share of bad outcomes, from 0 to 1.
func (c OutcomeCounts) badRatio() float64 {
	if c.Ended == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Ended)
}

func (c OutcomeCounts) add(other OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{c.Ended + other.Ended, c.Bad + other.Bad}
}

// trafficSecond counts the requests of one pair in one second.
type trafficSecond struct{ arrived, peakInFlight, ended, bad uint32 }

// trafficWindow counts the arrivals and outcomes of requests by pair of class and tenant, over the last trafficWindowSeconds.
//
// Invariants: pair class*tenantsPerClass+tenant is at that index of pairs, so len(pairs) is a multiple of tenantsPerClass; the
// ring's slot of a second is the second modulo its length, and no slot is older than the window behind currentSecond.
type trafficWindow struct {
	tenantsPerClass int // counted apart
	pairs           []pairTraffic
	currentSecond   int64 // of the engine's clock
}

type pairTraffic struct {
	ring     [trafficWindowSeconds]trafficSecond
	inFlight uint32
}

func newTrafficWindow(classes, tenants int) *trafficWindow {
	tenantsPerClass := min(max(tenants, 1), max(1, maxTrafficPairs/max(classes, 1)))
	return &trafficWindow{tenantsPerClass: tenantsPerClass, pairs: make([]pairTraffic, classes*tenantsPerClass)}
}

// pair returns the index of a class and tenant.
func (t *trafficWindow) pair(class, tenant int) int {
	return min(class, t.classes()-1)*t.tenantsPerClass + min(max(tenant, 0), t.tenantsPerClass-1)
}

// class returns the class of a pair.
func (t *trafficWindow) class(pair int) int { return pair / t.tenantsPerClass }

// classes returns how many classes are counted apart.
func (t *trafficWindow) classes() int { return len(t.pairs) / t.tenantsPerClass }

// growTo makes room for classes that have come, within the bound.
func (t *trafficWindow) growTo(classes int) {
	for len(t.pairs) < classes*t.tenantsPerClass && len(t.pairs)+t.tenantsPerClass <= 2*maxTrafficPairs {
		t.pairs = append(t.pairs, make([]pairTraffic, t.tenantsPerClass)...)
	}
}

// slotAt advances all rings to the second of now and returns the pair's slot. A clock that steps back counts into the latest
// second.
func (t *trafficWindow) slotAt(now time.Duration, pair int) *trafficSecond {
	second := int64(now / time.Second)
	for steps := min(second-t.currentSecond, trafficWindowSeconds); steps > 0; steps-- {
		slot := (second - steps + 1) % trafficWindowSeconds
		for i := range t.pairs {
			t.pairs[i].ring[slot] = trafficSecond{peakInFlight: t.pairs[i].inFlight}
		}
	}
	t.currentSecond = max(t.currentSecond, second)
	return &t.pairs[pair].ring[t.currentSecond%trafficWindowSeconds]
}

// recordArrival counts a request that arrives; it is in flight until recordEnd.
func (t *trafficWindow) recordArrival(now time.Duration, pair int) {
	p := &t.pairs[pair]
	p.inFlight++
	s := t.slotAt(now, pair)
	s.arrived++
	s.peakInFlight = max(s.peakInFlight, p.inFlight)
}

// recordEnd ends a request's flight. Its outcome is counted unless it says nothing of the service.
func (t *trafficWindow) recordEnd(now time.Duration, pair int, isCounted, isBad bool) {
	s := t.slotAt(now, pair)
	t.pairs[pair].inFlight--
	if isCounted {
		s.ended++
		if isBad {
			s.bad++
		}
	}
}

// outcomeCounts returns the outcomes in the window, by pair.
func (t *trafficWindow) outcomeCounts(now time.Duration) []OutcomeCounts {
	out := make([]OutcomeCounts, len(t.pairs))
	if len(out) == 0 {
		return out
	}
	t.slotAt(now, 0)
	for i := range t.pairs {
		for _, s := range t.pairs[i].ring {
			out[i].Ended += int(s.ended)
			out[i].Bad += int(s.bad)
		}
	}
	return out
}

// pairsMatching iterates over the pairs in a scope, and looks at no others. A configuration has at most one limit for a scope, so
// that all limits together look at each pair maxScopes times.
func (t *trafficWindow) pairsMatching(s scope) iter.Seq[int] {
	return func(yield func(int) bool) {
		for class := range t.classes() {
			if s.class != matchAny && min(s.class, t.classes()-1) != class {
				continue
			}
			first, last := 0, t.tenantsPerClass-1
			if s.tenant != matchAny {
				first = min(s.tenant, last)
				last = first
			}
			for tenant := first; tenant <= last; tenant++ {
				if !yield(t.pair(class, tenant)) {
					return
				}
			}
		}
	}
}

// arrivalsAndPeaks returns, by second from the oldest and without the current one, the arrivals in a scope and the sum of its pairs'
// peaks of requests in flight.
func (t *trafficWindow) arrivalsAndPeaks(now time.Duration, s scope) (arrivals, peaks []uint32) {
	if len(t.pairs) == 0 {
		return nil, nil
	}
	t.slotAt(now, 0)
	for back := int64(trafficWindowSeconds - 1); back > 0; back-- {
		var sum trafficSecond
		for pair := range t.pairsMatching(s) {
			slot := t.pairs[pair].ring[(t.currentSecond-back+trafficWindowSeconds)%trafficWindowSeconds]
			sum.arrived += slot.arrived
			sum.peakInFlight += slot.peakInFlight
		}
		arrivals, peaks = append(arrivals, sum.arrived), append(peaks, sum.peakInFlight)
	}
	return arrivals, peaks
}
