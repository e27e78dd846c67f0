package generation

import (
	"iter"
	"time"
)

const (
	trafficSeconds = 60   // that are remembered
	mostPairs      = 1024 // of class and tenant; further tenants of a class are counted together, and further classes
)

// second is what one pair did in one second.
type second struct{ arrived, peak, done, bad uint32 }

// traffic is what came and how it ended, by pair of class and tenant, in the last minute. Its memory is bounded by the pairs.
type traffic struct {
	tenants int // that are told apart
	pairs   []pairTraffic
	now     int64 // second
}

type pairTraffic struct {
	ring     [trafficSeconds]second
	inFlight uint32
}

func newTraffic(classes, tenants int) *traffic {
	apart := min(max(tenants, 1), max(1, mostPairs/max(classes, 1)))
	return &traffic{tenants: apart, pairs: make([]pairTraffic, classes*apart)}
}

func (t *traffic) pair(class, tenant int) int {
	return min(class, t.classes()-1)*t.tenants + min(max(tenant, 0), t.tenants-1)
}

// classes is how many are told apart.
func (t *traffic) classes() int { return len(t.pairs) / t.tenants }

// grow makes room for classes that have come, as far as there may be any.
func (t *traffic) grow(classes int) {
	for len(t.pairs) < classes*t.tenants && len(t.pairs)+t.tenants <= 2*mostPairs {
		t.pairs = append(t.pairs, make([]pairTraffic, t.tenants)...)
	}
}

// class is that of a pair.
func (t *traffic) class(pair int) int { return pair / t.tenants }

// at brings the ring to the second of a time, and returns the pair's.
func (t *traffic) at(now time.Duration, pair int) *second {
	sec := int64(now / time.Second)
	for steps := min(sec-t.now, trafficSeconds); steps > 0; steps-- {
		slot := (sec - steps + 1) % trafficSeconds
		for i := range t.pairs {
			t.pairs[i].ring[slot] = second{peak: t.pairs[i].inFlight}
		}
	}
	t.now = max(t.now, sec) // a clock that steps back counts into the latest second
	return &t.pairs[pair].ring[t.now%trafficSeconds]
}

func (t *traffic) arrived(now time.Duration, pair int) {
	p := &t.pairs[pair]
	p.inFlight++
	s := t.at(now, pair)
	s.arrived++
	s.peak = max(s.peak, p.inFlight)
}

// ended takes a request out; counted where its end says something of the service.
func (t *traffic) ended(now time.Duration, pair int, counted, bad bool) {
	s := t.at(now, pair)
	t.pairs[pair].inFlight--
	if counted {
		s.done++
		if bad {
			s.bad++
		}
	}
}

// sums are the ends of the last minute, by pair.
func (t *traffic) sums(now time.Duration) []OutcomeCounts {
	out := make([]OutcomeCounts, len(t.pairs))
	if len(out) == 0 {
		return out
	}
	t.at(now, 0)
	for i := range t.pairs {
		for _, s := range t.pairs[i].ring {
			out[i].Ended += int(s.done)
			out[i].Bad += int(s.bad)
		}
	}
	return out
}

// matching are the pairs that an object for that class and tenant concerns. It looks at no others: there is one object for a
// class and tenant at the most, so that all of them together look at each pair four times.
func (t *traffic) matching(w who) iter.Seq[int] {
	return func(yield func(int) bool) {
		for class := range t.classes() {
			if w.class != anyone && min(w.class, t.classes()-1) != class {
				continue
			}
			first, last := 0, t.tenants-1
			if w.tenant != anyone {
				first = min(w.tenant, last)
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

// bySecond are the arrivals and peaks of those pairs that fit, from the oldest second, without the present one.
func (t *traffic) bySecond(now time.Duration, w who) (arrived, peaks []uint32) {
	if len(t.pairs) == 0 {
		return nil, nil
	}
	t.at(now, 0)
	for back := int64(trafficSeconds - 1); back > 0; back-- {
		var sum second
		for i := range t.matching(w) {
			s := t.pairs[i].ring[(t.now-back+trafficSeconds)%trafficSeconds]
			sum.arrived += s.arrived
			sum.peak += s.peak
		}
		arrived, peaks = append(arrived, sum.arrived), append(peaks, sum.peak)
	}
	return arrived, peaks
}
