package generation

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"appleledge/internal/fleetconfig"
)

// inFlightGauge counts the requests in flight under a limit's name. It passes from one generation to the next: a gauge that
// began at zero after each change of the number would admit as many requests again.
type inFlightGauge struct{ inFlight int }

// compiledLimit is a limit with its counters.
type compiledLimit struct {
	fleetconfig.Limit
	gauge       *inFlightGauge
	bucket      *rate.Limiter // nil without a rate
	fingerprint uint64        // of Limit
}

// epoch is the instant 0 of the engine's clock on the clock of rate.Limiter.
var epoch = time.Unix(0, 0)

// newCompiledLimit prepares a limit. old is the one of the same name in the generation before, or nil: its gauge is shared, and
// its bucket as well if the limit is the same.
func newCompiledLimit(l fleetconfig.Limit, old *compiledLimit) *compiledLimit {
	out := &compiledLimit{Limit: l, gauge: &inFlightGauge{}, fingerprint: fingerprint(l)}
	if l.Rate > 0 {
		out.bucket = rate.NewLimiter(rate.Limit(l.Rate), l.Burst)
	}
	if old != nil {
		out.gauge = old.gauge
		if old.fingerprint == out.fingerprint {
			out.bucket = old.bucket
		}
	}
	return out
}

// hasRoom reports whether the bound on requests in flight admits one more.
func (l *compiledLimit) hasRoom() bool {
	return l.MaxInFlight == nil || l.gauge.inFlight < *l.MaxInFlight
}

// check reports whether the limit admits a request now; else wait is the least time after which a retry makes sense.
func (l *compiledLimit) check(now time.Duration) (wait time.Duration, ok bool) {
	if !l.hasRoom() {
		return time.Duration(l.RetryAfter), false
	}
	if l.bucket == nil {
		return 0, true
	}
	if missing := 1 - l.bucket.TokensAt(epoch.Add(now)); missing > 0 {
		wait := time.Duration(math.Ceil(missing / l.Rate * float64(time.Second)))
		return max(wait, time.Duration(l.RetryAfter)), false
	}
	return 0, true
}

// reject returns the Rejection by this limit.
func (l *compiledLimit) reject(wait time.Duration) Rejection {
	rejection := Rejection{Limit: l.Name, RetryAfter: wait}
	if !l.hasRoom() {
		rejection.MaxInFlight = *l.MaxInFlight
	}
	return rejection
}

// admit counts a request that check has let through.
func (l *compiledLimit) admit(now time.Duration) {
	l.gauge.inFlight++
	if l.bucket != nil {
		l.bucket.AllowN(epoch.Add(now), 1)
	}
}

// EstimateRejected estimates how many of the last minute's requests a limit would have rejected, and of how many.
func (m *Manager) EstimateRejected(now time.Duration, l fleetconfig.Limit) (rejected, arrived float64) {
	s, isKnown := m.options.Names.scope(l.Class, l.Tenant)
	if !isKnown {
		return 0, 0
	}
	arrivals, peaks := m.traffic.arrivalsAndPeaks(now, s)
	return estimateRejected(&l, arrivals, peaks)
}

// expectedRejectRatios returns, by pair, the share of the last minute's requests that the limits which c adds or changes would
// have rejected.
func (m *Manager) expectedRejectRatios(now time.Duration, c *CompiledConfig) []float64 {
	ratios := make([]float64, len(m.traffic.pairs))
	for s, l := range c.limits {
		if old := m.active.limits[s]; old != nil && old.fingerprint == l.fingerprint {
			continue
		}
		arrivals, peaks := m.traffic.arrivalsAndPeaks(now, s)
		rejected, arrived := estimateRejected(&l.Limit, arrivals, peaks)
		if arrived == 0 {
			continue
		}
		for pair := range m.traffic.pairsMatching(s) {
			ratios[pair] = max(ratios[pair], rejected/arrived)
		}
	}
	return ratios
}

// estimateRejected estimates how many of the requests that arrived a limit would have rejected. arrivals and peaks are by second
// from the oldest. Requests in flight count by their peak of each second: what was above the limit then would have been rejected.
func estimateRejected(l *fleetconfig.Limit, arrivals, peaks []uint32) (rejected, arrived float64) {
	tokens := float64(l.Burst)
	for i := range arrivals {
		n := float64(arrivals[i])
		arrived += n
		admitted := n
		if l.Rate > 0 {
			admitted = min(n, tokens+l.Rate) // a second's arrivals are taken to be even: the tokens that come in it count too
			tokens = min(float64(l.Burst), tokens+l.Rate-admitted)
		}
		if l.MaxInFlight != nil && peaks[i] > 0 {
			admitted = min(admitted, n*min(1, float64(*l.MaxInFlight)/float64(peaks[i])))
		}
		rejected += n - admitted
	}
	return rejected, arrived
}
