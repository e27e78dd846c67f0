package coalesce

import (
	"sort"
	"time"

	"appleledge/internal/latency"
)

const (
	windowMinAge     = 10 * time.Second // the window holds as much, to twice as much
	windowMaxFlights = 2048             // or so many flights
	flightsPerUpdate = 32               // of the quantiles
	minFlights       = 32               // before which the prior holds
	quantileCount    = 50

	lookAheadSteps    = 16   // at which ownFlightAt weighs
	minGain           = 0.25 // share of requests that a flight of their own must bring in time, to be worth it
	minRemainingShare = 0.02 // of flights that take longer; below it a flight is not believed in any more
)

// flightTimes is how long flights of a class take, as of the last 10 to 20 s. Until enough of them are known it goes by a prior: evenly
// from a quarter to three quarters of the latency objective.
type flightTimes struct {
	maxTime     time.Duration // what takes longer, or has no end, counts as that
	window      *latency.Window
	sinceUpdate int                          // flights
	quantiles   [quantileCount]time.Duration // time that the share (i+0.5)/quantileCount of the flights took, at most
}

func newFlightTimes(objective, maxTime time.Duration) *flightTimes {
	t := &flightTimes{maxTime: maxTime, window: latency.New(maxTime, windowMinAge, windowMaxFlights)}
	for i := range t.quantiles {
		t.quantiles[i] = objective/4 + objective*time.Duration(2*i+1)/(4*quantileCount)
	}
	return t
}

// addServed records a flight that was served.
func (t *flightTimes) addServed(now, d time.Duration) { t.add(now, d) }

// addFailed records a flight that failed: no wait would have been long enough for it.
func (t *flightTimes) addFailed(now time.Duration) { t.add(now, t.maxTime) }

// addAbandoned records a flight that was abandoned after a time. It would have taken longer, and how much is not known. So one that was
// abandoned early is not recorded: its callers may just have been impatient.
func (t *flightTimes) addAbandoned(now, d time.Duration) {
	if d > t.quantiles[quantileCount/2] {
		t.add(now, d)
	}
}

func (t *flightTimes) add(now, d time.Duration) {
	t.window.Record(now, d)
	if t.sinceUpdate++; t.sinceUpdate >= flightsPerUpdate {
		t.updateQuantiles()
	}
}

// updateQuantiles reads the quantiles from the window.
func (t *flightTimes) updateQuantiles() {
	t.sinceUpdate = 0
	if t.window.Count() < minFlights {
		return
	}
	for i := range t.quantiles {
		t.quantiles[i] = t.window.Quantile((float64(i) + 0.5) / quantileCount)
	}
}

// shareWithin returns the share of flights that take so long at most.
func (t *flightTimes) shareWithin(d time.Duration) float64 {
	i := sort.Search(quantileCount, func(i int) bool { return t.quantiles[i] > d })
	switch i {
	case 0:
		return 0
	case quantileCount:
		return 1
	}
	fraction := 0.0
	if span := t.quantiles[i] - t.quantiles[i-1]; span > 0 {
		fraction = float64(d-t.quantiles[i-1]) / float64(span)
	}
	return (float64(i) - 0.5 + fraction) / quantileCount
}

// ownFlightAt returns when a caller that wants its answer by wantedBy, and follows a flight that was started at startedAt, had better lead
// one of its own: the first time, looking ahead from now, at which so many of its like would gain from it as minGain says. They gain
// where the other flight is not in time, given how long it has been out already, and their own is. It is never where that time
// does not come: where all is fast, and also where all is so slow that another request would only add to the load.
func (t *flightTimes) ownFlightAt(now, startedAt, wantedBy time.Duration) time.Duration {
	step := max((wantedBy-now)/lookAheadSteps, time.Millisecond)
	for at := now; at < wantedBy; at += step {
		own := t.shareWithin(wantedBy - at)
		if own < minGain { // and ever less from here
			break
		}
		if (1-t.finishProbability(at-startedAt, wantedBy-startedAt))*own >= minGain {
			return at
		}
	}
	return never
}

// never is after all time.
const never = time.Duration(1<<63 - 1)

// finishProbability returns the probability that a flight of one age is over by another age.
func (t *flightTimes) finishProbability(age, by time.Duration) float64 {
	finished := t.shareWithin(age)
	if 1-finished < minRemainingShare {
		return 0
	}
	return max(0, t.shareWithin(by)-finished) / (1 - finished)
}
