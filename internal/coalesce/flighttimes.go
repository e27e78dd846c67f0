package coalesce

import (
	"sort"
	"time"

	"appleledge/internal/latency"
)

const (
	turnAfter  = 10 * time.Second // the window holds as much, to twice as much
	turnFull   = 2048             // or so many flights
	readEvery  = 32               // flights, after which the quantiles are read anew
	enough     = 32               // flights, before which the prior holds
	quantiles  = 50
	looks      = 16   // ahead, at which partAt weighs
	leastGain  = 0.25 // share of requests that a flight of their own must bring in time, to be worth it
	hardlyLeft = 0.02 // a flight that is later than all but so many is not believed in any more
)

// times is how long flights of a class take, as of the last 10 to 20 s. Until enough of them are known it goes by a prior:
// evenly from a quarter to three quarters of the aim.
type times struct {
	most   time.Duration // what takes longer, or has no end, counts as that
	window *latency.Window
	unread int
	at     [quantiles]time.Duration // the time that the share (i+0.5)/quantiles of the flights took, at most
}

func newTimes(aim, most time.Duration) *times {
	t := &times{most: most, window: latency.New(most, turnAfter, turnFull)}
	for i := range t.at {
		t.at[i] = aim/4 + aim*time.Duration(2*i+1)/(4*quantiles)
	}
	return t
}

// took notes a flight that was served.
func (t *times) took(now, d time.Duration) { t.add(now, d) }

// never notes a flight that failed: no wait would have been long enough for it.
func (t *times) never(now time.Duration) { t.add(now, t.most) }

// atLeast notes a flight that was dropped after a time. It would have taken longer; how much longer is not known, so that
// one which was dropped early says nothing: its callers may just have been impatient.
func (t *times) atLeast(now, d time.Duration) {
	if d > t.at[quantiles/2] {
		t.add(now, d)
	}
}

func (t *times) add(now, d time.Duration) {
	t.window.Record(now, d)
	if t.unread++; t.unread >= readEvery {
		t.read()
	}
}

// read reads the quantiles.
func (t *times) read() {
	t.unread = 0
	if t.window.Count() < enough {
		return
	}
	for i := range t.at {
		t.at[i] = t.window.Quantile((float64(i) + 0.5) / quantiles)
	}
}

// within is the share of flights that take so long at most.
func (t *times) within(d time.Duration) float64 {
	i := sort.Search(quantiles, func(i int) bool { return t.at[i] > d })
	switch i {
	case 0:
		return 0
	case quantiles:
		return 1
	}
	part := 0.0
	if span := t.at[i] - t.at[i-1]; span > 0 {
		part = float64(d-t.at[i-1]) / float64(span)
	}
	return (float64(i) - 0.5 + part) / quantiles
}

// partAt is when a caller that wants its answer by then, and waits for a flight that began then, had better lead one of
// its own: the first time, looking ahead from now, at which so many of its like would gain from it as leastGain says. They
// gain where the other flight is not in time, given how long it has been out already, and their own is. It is after all
// time where that never comes: where all is quick, and also where all is so slow that another request would only add to it.
func (t *times) partAt(now, began, wanted time.Duration) time.Duration {
	step := max((wanted-now)/looks, time.Millisecond)
	for at := now; at < wanted; at += step {
		own := t.within(wanted - at)
		if own < leastGain { // and ever less from here
			break
		}
		if (1-t.lands(at-began, wanted-began))*own >= leastGain {
			return at
		}
	}
	return noTime
}

const noTime = time.Duration(1<<63 - 1)

// lands is the chance that a flight of that age is over by that other age.
func (t *times) lands(age, by time.Duration) float64 {
	gone := t.within(age)
	if 1-gone < hardlyLeft {
		return 0
	}
	return max(0, t.within(by)-gone) / (1 - gone)
}
