package generation

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"appleledge/internal/fleetconfig"
)

// gauge counts the requests in flight under a limit's name. It lasts from one generation to the next, so that a change of
// the number does not let in as many again.
type gauge struct{ inFlight int }

// limit is a limit that is ready for use.
type limit struct {
	fleetconfig.Limit
	gauge   *gauge
	bucket  *rate.Limiter // nil without a rate
	refused uint64
	sign    uint64
}

// epoch makes times on the engine's clock into the ones that rate.Limiter wants.
var epoch = time.Unix(0, 0)

func newLimit(l fleetconfig.Limit, old *limit) *limit {
	out := &limit{Limit: l, gauge: &gauge{}, sign: signOf(l)}
	if l.Rate > 0 {
		out.bucket = rate.NewLimiter(rate.Limit(l.Rate), l.Burst)
	}
	if old != nil {
		out.gauge = old.gauge
		if old.sign == out.sign {
			out.bucket, out.refused = old.bucket, old.refused
		}
	}
	return out
}

// full says for how long a request that comes now has to stay away at the least; ok where it may come in.
func (l *limit) full(now time.Duration) (wait time.Duration, ok bool) {
	if l.InFlight != nil && l.gauge.inFlight >= *l.InFlight {
		return time.Duration(l.ComeBack), false
	}
	if l.bucket == nil {
		return 0, true
	}
	if missing := 1 - l.bucket.TokensAt(epoch.Add(now)); missing > 0 {
		wait := time.Duration(math.Ceil(missing / l.Rate * float64(time.Second)))
		return max(wait, time.Duration(l.ComeBack)), false
	}
	return 0, true
}

func (l *limit) take(now time.Duration) {
	l.gauge.inFlight++
	if l.bucket != nil {
		l.bucket.AllowN(epoch.Add(now), 1)
	}
}

// turnedAway is about how many of the requests that came, by second from the oldest, the limit would have refused. Those in
// flight count by their peak of each second: what was over the limit then had been refused.
func turnedAway(l *fleetconfig.Limit, arrived, peaks []uint32) (refused, came float64) {
	tokens := float64(l.Burst)
	for i := range arrived {
		n := float64(arrived[i])
		came += n
		passed := n
		if l.Rate > 0 {
			passed = min(n, tokens+l.Rate) // a second's arrivals are taken to be even: what comes in it counts too
			tokens = min(float64(l.Burst), tokens+l.Rate-passed)
		}
		if l.InFlight != nil && peaks[i] > 0 {
			passed = min(passed, n*min(1, float64(*l.InFlight)/float64(peaks[i])))
		}
		refused += n - passed
	}
	return refused, came
}
