package generation

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// The test for harm is a sequential likelihood ratio test. Requests are grouped by pair of class and tenant, and by class. For
// each group it adds up, test by test, the logarithm of how much likelier the outcomes of the requests that a change concerns are
// if the change does harm than if it does none. The sum never falls below 0, so that harm which begins late is found as well
// (E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954).
//
// Without harm the share of bad outcomes is at most the greatest of what it was before the change, and what it is meanwhile among
// the requests that the change does not concern: an outage, whether it was there before or comes after, is no fault of the
// change.
const (
	testInterval    = 500 * time.Millisecond
	minTestsToAlarm = 5 // one test adds at most this part of the threshold, so that no single burst raises an alarm

	toleratedIncrease = 0.02 // of the share of bad outcomes, by which a harmless change may be worse
	harmfulIncrease   = 0.1  // of the share of bad outcomes, that counts as harm
	harmfulRatio      = 1.5  // relative to the share without harm, that counts as harm where it is more than harmfulIncrease
	maxHarmfulShare   = 0.99 // the share of bad outcomes under harm that is assumed at the most

	minBaselineRequests  = 50   // for a pair's own baseline to count; below, its class's counts
	minUnchangedRequests = 10   // for the requests that the change does not concern to count
	unknownBadRatio      = 0.05 // the share of bad outcomes before the change, where no request ended
	maxTestableBadRatio  = 0.85 // above this share without harm, nothing can be told

	// maxExpectedRejectRatio is the share of a pair's requests that new limits may reject without counting as harm, as the plan has
	// told the operator. Package plan flags a limit above it.
	maxExpectedRejectRatio = 0.25

	calmThresholdPart = 4 // evidence below this part of the alarm's threshold points to no harm
	deviations        = 2 // standard deviations that are added to a measured share
)

// harmWatch is the test of one change, from its switch to its end.
//
// Invariants: baseline, expectedRejectRatio and pairs have an entry for each pair of the traffic window, byClass one for each of its
// classes. alarmThreshold is such that all tests of all groups together raise a false alarm in at most the configured share of
// harmless changes.
type harmWatch struct {
	endsAt              time.Duration
	nextTestAt          time.Duration
	alarmThreshold      float64         // of stratum.evidence
	baseline            []OutcomeCounts // in the minute before the switch
	expectedRejectRatio []float64       // the share that new limits would have rejected in that minute
	pairs               []stratum
	byClass             []stratum // all pairs of a class together
}

// stratum is the state of the test for one group of requests, as in a stratified statistical test. Requests are changed if the change concerns them.
type stratum struct {
	changed, unchanged OutcomeCounts // since the last test
	expectedRejects    float64       // how many of the changed ones the new limits may reject
	changedSinceSwitch OutcomeCounts
	recentUnchanged    OutcomeCounts // halved at each test
	evidence           float64       // the test's sum
}

func newHarmWatch(now, duration time.Duration, falseAlarms float64, baseline []OutcomeCounts, expectedRejectRatio []float64, classes int) *harmWatch {
	rounds := float64(duration/testInterval) + 1
	groups := float64(len(baseline) + classes)
	return &harmWatch{
		endsAt:              now + duration,
		nextTestAt:          now + testInterval,
		alarmThreshold:      math.Log(rounds * groups / falseAlarms),
		baseline:            baseline,
		expectedRejectRatio: expectedRejectRatio,
		pairs:               make([]stratum, len(baseline)),
		byClass:             make([]stratum, classes),
	}
}

// growTo makes room for pairs and classes that have come at run time: before the switch there were no requests of them.
func (w *harmWatch) growTo(pairs, classes int) {
	for len(w.pairs) < pairs {
		w.baseline, w.expectedRejectRatio, w.pairs = append(w.baseline, OutcomeCounts{}), append(w.expectedRejectRatio, 0), append(w.pairs, stratum{})
	}
	for len(w.byClass) < classes {
		w.byClass = append(w.byClass, stratum{})
	}
}

// recordOutcome counts the outcome of a request that was bound since the switch.
func (w *harmWatch) recordOutcome(pair, class int, isChanged, isBad bool) {
	one := OutcomeCounts{Ended: 1}
	if isBad {
		one.Bad = 1
	}
	for _, s := range []*stratum{&w.pairs[pair], &w.byClass[class]} {
		if isChanged {
			s.changed = s.changed.add(one)
			s.expectedRejects += w.expectedRejectRatio[pair]
			s.changedSinceSwitch = s.changedSinceSwitch.add(one)
		} else {
			s.unchanged = s.unchanged.add(one)
		}
	}
}

// runTests tests every group on the outcomes since the last call, and returns the strongest harm found, or nil.
func (w *harmWatch) runTests(t *trafficWindow) *Harm {
	var found *Harm
	for class := range w.byClass {
		s := &w.byClass[class]
		s.recentUnchanged = OutcomeCounts{s.recentUnchanged.Ended/2 + s.unchanged.Ended, s.recentUnchanged.Bad/2 + s.unchanged.Bad}
	}
	for pair := range w.pairs {
		class := t.class(pair)
		baseline := w.baseline[pair]
		if baseline.Ended < minBaselineRequests {
			baseline = w.classBaseline(t, class)
		}
		if h := w.testStratum(&w.pairs[pair], &w.byClass[class], baseline); h != nil {
			h.Class, h.Pair = class, pair
			found = strongerHarm(found, h)
		}
	}
	for class := range w.byClass {
		if h := w.testStratum(&w.byClass[class], &w.byClass[class], w.classBaseline(t, class)); h != nil {
			h.Class, h.Pair = class, matchAny
			found = strongerHarm(found, h)
		}
	}
	w.nextTestAt += testInterval
	return found
}

func strongerHarm(a, b *Harm) *Harm {
	if a == nil || b.Evidence > a.Evidence {
		return b
	}
	return a
}

// classBaseline returns the baseline of all pairs of a class together.
func (w *harmWatch) classBaseline(t *trafficWindow, class int) (sum OutcomeCounts) {
	for pair, counts := range w.baseline {
		if t.class(pair) == class {
			sum = sum.add(counts)
		}
	}
	return sum
}

// testStratum adds the evidence of the outcomes since the last test and returns the harm if that passes the threshold; its Class
// and Pair are the caller's to set. class is the stratum of the whole class, which may be s itself.
func (w *harmWatch) testStratum(s, class *stratum, baseline OutcomeCounts) *Harm {
	changed, expectedRejectRatio := s.changed, s.expectedRejects/max(float64(s.changed.Ended), 1)
	s.changed, s.unchanged, s.expectedRejects = OutcomeCounts{}, OutcomeCounts{}, 0
	if changed.Ended == 0 {
		return nil
	}
	harmless := badRatioWithoutHarm(baseline, class.recentUnchanged, expectedRejectRatio)
	if harmless > maxTestableBadRatio {
		return nil
	}
	harmful := min(harmless+max(harmfulIncrease, harmless*(harmfulRatio-1)), maxHarmfulShare)
	gain := float64(changed.Bad)*math.Log(harmful/harmless) + float64(changed.Ended-changed.Bad)*math.Log((1-harmful)/(1-harmless))
	s.evidence = max(0, s.evidence+min(gain, w.alarmThreshold/minTestsToAlarm))
	if s.evidence < w.alarmThreshold {
		return nil
	}
	return &Harm{Changed: s.changedSinceSwitch, Baseline: baseline, Unchanged: class.recentUnchanged, Evidence: s.evidence}
}

// badRatioWithoutHarm returns the greatest share of bad outcomes that a harmless change can explain.
func badRatioWithoutHarm(baseline, unchanged OutcomeCounts, expectedRejectRatio float64) float64 {
	before := unknownBadRatio
	if baseline.Ended > 0 {
		before = (float64(baseline.Bad) + 1) / (float64(baseline.Ended) + 2)
		before += deviations * math.Sqrt(before*(1-before)/float64(baseline.Ended+2)) // it is measured, not known
	}
	meanwhile := 0.0
	if unchanged.Ended >= minUnchangedRequests && unchanged.badRatio() > before {
		meanwhile = unchanged.badRatio() + deviations*math.Sqrt(0.25/float64(unchanged.Ended))
	}
	return min(max(before, meanwhile)+min(expectedRejectRatio, maxExpectedRejectRatio)+toleratedIncrease, 1)
}

// isCalm reports whether nothing points to harm at present. A rollout takes no step and no change is promoted while it is false.
func (w *harmWatch) isCalm() bool {
	for _, strata := range [][]stratum{w.pairs, w.byClass} {
		for i := range strata {
			if strata[i].evidence > w.alarmThreshold/calmThresholdPart {
				return false
			}
		}
	}
	return true
}

// Harm is what a watch has found.
type Harm struct {
	Class, Pair int           // Pair is -1 where all tenants of the class are concerned
	Changed     OutcomeCounts // of the requests that the change concerns, since the switch
	Baseline    OutcomeCounts // in the minute before the switch
	Unchanged   OutcomeCounts // of the requests of the class that the change does not concern, of late
	Evidence    float64       // logarithm of the likelihood ratio
}

// describe returns the harm in one line, for the history. An empty tenant stands for all.
func (h *Harm) describe(class, tenant string) string {
	return fmt.Sprintf("%s of %s: %.0f%% of %d requests that the change concerns were refused, failed or late; before it %.0f%% of %d, beside it %.0f%% of %d",
		class, cmp.Or(tenant, "all tenants"), 100*h.Changed.badRatio(), h.Changed.Ended, 100*h.Baseline.badRatio(), h.Baseline.Ended,
		100*h.Unchanged.badRatio(), h.Unchanged.Ended)
}
