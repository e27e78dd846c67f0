package generation

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// OutcomeCounts is how many requests ended, and how many of them badly: refused, failed or served later than their class's aim.
type OutcomeCounts struct {
	Ended int `json:"done"`
	Bad   int `json:"bad"`
}

func (s OutcomeCounts) of() float64 {
	if s.Ended == 0 {
		return 0
	}
	return float64(s.Bad) / float64(s.Ended)
}

func (s OutcomeCounts) plus(o OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{s.Ended + o.Ended, s.Bad + o.Bad}
}

// The sequential test. For each pair of class and tenant it sums, look by look, the logarithm of how much likelier the ends
// of the requests that a change touches are under harm than without it, and never less than 0, so that harm which begins late
// is found as well (E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954). Without harm the share of bad ends is
// at most the greatest of what it was before, and what it is meanwhile among the requests that the change does not touch:
// an outage, whether it was there before or comes after, is no fault of the change.
const (
	lookEvery    = 500 * time.Millisecond
	looksLeast   = 5    // before harm counts as found: one look tells no more than its part of that
	slack        = 0.02 // by which a harmless change may be worse
	harm         = 0.1  // more bad ends are harm
	enoughBefore = 50   // ends, for a pair's own share to count; else its class's
	enoughBeside = 10   // untouched ends, for their share to count
	unknown      = 0.05 // the share before, where there was nothing
	hopeless     = 0.85 // where so much is bad anyway, nothing can be said
	mostAccepted = 0.25 // of a pair, that limits may turn away by what the plan has said
)

// watch is a change under watch.
type watch struct {
	until   time.Duration   // it is kept then
	alarm   float64         // the sum at which harm is found
	before  []OutcomeCounts // by pair, in the minute before the switch
	limited []float64       // by pair: the share that new limits would have turned away then
	pairs   []watched
	byClass []watched // all pairs of a class together
	next    time.Duration
}

// watched is the state of a pair.
type watched struct {
	touched, beside OutcomeCounts // since the last look
	allTouched      OutcomeCounts // since the switch
	limited         float64       // of the touched ones: how many limits may turn away, as far as is known
	sum             float64
	late            OutcomeCounts // the untouched ends of the last looks, fading
}

func newWatch(now, lasts time.Duration, falseAlarms float64, before []OutcomeCounts, limited []float64, classes int) *watch {
	looks := float64(lasts/lookEvery) + 1
	tests := float64(len(before) + classes)
	return &watch{until: now + lasts, alarm: math.Log(looks * tests / falseAlarms), before: before, limited: limited,
		pairs: make([]watched, len(before)), byClass: make([]watched, classes), next: now + lookEvery}
}

// grow makes room for pairs and classes that have come: before the switch there was nothing of them.
func (w *watch) grow(pairs, classes int) {
	for len(w.pairs) < pairs {
		w.before, w.limited, w.pairs = append(w.before, OutcomeCounts{}), append(w.limited, 0), append(w.pairs, watched{})
	}
	for len(w.byClass) < classes {
		w.byClass = append(w.byClass, watched{})
	}
}

func (w *watch) ended(pair, class int, touched, bad bool) {
	s := OutcomeCounts{Ended: 1}
	if bad {
		s.Bad = 1
	}
	for _, x := range []*watched{&w.pairs[pair], &w.byClass[class]} {
		if touched {
			x.touched = x.touched.plus(s)
			x.limited += w.limited[pair]
			x.allTouched = x.allTouched.plus(s)
		} else {
			x.beside = x.beside.plus(s)
		}
	}
}

// look takes what has ended since the last one into account, and returns what harm it finds, if any.
func (w *watch) look(t *traffic) *Harm {
	var found *Harm
	for class := range w.byClass {
		x := &w.byClass[class]
		x.late = OutcomeCounts{x.late.Ended/2 + x.beside.Ended, x.late.Bad/2 + x.beside.Bad}
	}
	for pair := range w.pairs {
		class := t.class(pair)
		before := w.before[pair]
		if before.Ended < enoughBefore {
			before = w.classBefore(t, class)
		}
		found = worse(found, w.test(&w.pairs[pair], &w.byClass[class], before, class, pair))
	}
	for class := range w.byClass {
		found = worse(found, w.test(&w.byClass[class], &w.byClass[class], w.classBefore(t, class), class, anyone))
	}
	w.next += lookEvery
	return found
}

func worse(a, b *Harm) *Harm {
	if a == nil || b != nil && b.Evidence > a.Evidence {
		return b
	}
	return a
}

func (w *watch) classBefore(t *traffic, class int) (sum OutcomeCounts) {
	for pair, s := range w.before {
		if t.class(pair) == class {
			sum = sum.plus(s)
		}
	}
	return sum
}

// test looks at one stratum.
func (w *watch) test(x, class *watched, before OutcomeCounts, number, pair int) *Harm {
	s, limited := x.touched, x.limited/max(float64(x.touched.Ended), 1)
	x.touched, x.beside, x.limited = OutcomeCounts{}, OutcomeCounts{}, 0
	if s.Ended == 0 {
		return nil
	}
	usual := unknown
	if before.Ended > 0 {
		usual = (float64(before.Bad) + 1) / (float64(before.Ended) + 2)
		usual += 2 * math.Sqrt(usual*(1-usual)/float64(before.Ended+2)) // it is measured, not known
	}
	beside := 0.0
	if class.late.Ended >= enoughBeside {
		beside = class.late.of() + 2*math.Sqrt(0.25/float64(class.late.Ended))
		if class.late.of() <= usual {
			beside = 0
		}
	}
	p0 := min(max(usual, beside)+min(limited, mostAccepted)+slack, 1)
	if p0 > hopeless {
		return nil
	}
	p1 := min(p0+max(harm, p0/2), 0.99)
	gain := float64(s.Bad)*math.Log(p1/p0) + float64(s.Ended-s.Bad)*math.Log((1-p1)/(1-p0))
	x.sum = max(0, x.sum+min(gain, w.alarm/looksLeast))
	if x.sum < w.alarm {
		return nil
	}
	return &Harm{Class: number, Pair: pair, Changed: x.allTouched, Baseline: before, Unchanged: class.late, Evidence: x.sum}
}

// calm reports whether nothing points to harm at present.
func (w *watch) calm() bool {
	for _, list := range [][]watched{w.pairs, w.byClass} {
		for i := range list {
			if list[i].sum > w.alarm/4 {
				return false
			}
		}
	}
	return true
}

// Harm is what a watch has found.
type Harm struct {
	Class, Pair                  int // Pair is -1 of a whole class
	Changed, Baseline, Unchanged OutcomeCounts
	Evidence                     float64
}

// text says it in one line.
func (h *Harm) text(class, tenant string) string {
	return fmt.Sprintf("%s of %s: %.0f%% of %d requests that the change concerns were refused, failed or late; before it %.0f%% of %d, beside it %.0f%% of %d",
		class, cmp.Or(tenant, "all tenants"), 100*h.Changed.of(), h.Changed.Ended, 100*h.Baseline.of(), h.Baseline.Ended, 100*h.Unchanged.of(), h.Unchanged.Ended)
}
