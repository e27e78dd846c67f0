package balancer

import "time"

// Slow start: a server that started lately gets what it can do at present and no more.
const (
	maxWarmingOverloadShare = 0.5  // ratio of WarmingOverloadRatio that a warming server may get
	warmingRateSlack        = 1.25 // multiple of the usual served rate up to which warming servers get requests
	warmingTokenBurst       = 3    // requests to warming servers that may come at once
	peakRateHorizons        = 100  // horizons over which the peak served rate decays by e
)

// slowStart is a token bucket for requests to servers that are warming up.
type slowStart struct {
	warming  []*server // listed servers in slow start; those that have warmed up are swept at the next tick
	tokens   float64   // requests that may go to warming servers now
	tokensAt time.Duration
}

// warmRatio is the ratio of its capacity, from 0 to 1, that a server has at least, so long after its start. A
// start in the future, by a clock that is ahead, counts as one just now.
func (b *Balancer) warmRatio(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	initial := b.settings.SlowStartInitialRatio
	return initial + (1-initial)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// useWarmingServers decides whether a request is drawn among warming servers alone, so that these get what
// they can do at present, of what all that may be drawn can. In one common draw they would take everything in
// an overload, where their counts in flight are the lowest of all; and at low load they would lose to any
// warm server with nothing in flight, so that the few that a rolling release has left warm would get the work
// of all.
//
// Why the sum over all balancers overloads no warming server: subsets hold about the same present capacity
// each (see fitSubset), and a server that is in more of them counts for less (see membershipRatio). So it
// gets, of all requests, its own present capacity over that of the fleet, as if one balancer saw everything.
// Where the fleet is asked for more than it can do just now, the most that a warming server gets is
// maxWarmingOverloadShare of the multiple at which it collapses, times its present capacity, times what is
// asked for over what the fleet can do when warm. That last ratio is at most 1 while clients ask as usual,
// but after an outage they all ask again: so a balancer counts as asked for no more than its peak served
// rate, or half of its even part of the fleet. The sum of the former over all balancers is what the fleet has
// done; with warmingRateSlack it comes to maxWarmingOverloadShare * (1 + 1/2) * 1.25, below 1, of the load at
// which a server collapses.
func (b *Balancer) useWarmingServers(of subsetCapacity, turn float64) bool {
	now, warm := of.warming.At(b.capacity.meanRate), of.warm.At(b.capacity.meanRate)
	if !(b.settings.WarmingOverloadRatio > 0) {
		return turn < now/(now+warm)
	}
	limit := b.settings.WarmingOverloadRatio * maxWarmingOverloadShare * now /
		(warm + of.warmedUp.At(b.capacity.meanRate))
	return turn < min(limit, now/(now+warm)) && b.takeWarmingToken(limit)
}

// takeWarmingToken takes one request for a warming server out of the bucket, which fills at that ratio of the
// usual served rate, in requests per second. A balancer that has just started knows no usual rate and goes by
// what it is asked.
func (b *Balancer) takeWarmingToken(ratio float64) bool {
	usual := max(b.traffic.peakServedRate,
		b.capacity.totals.warmedUp.At(b.capacity.meanRate)/float64(2*b.settings.Balancers))
	rate := ratio * usual * warmingRateSlack
	bucket := &b.slowStart
	bucket.tokens = min(bucket.tokens+(b.now-bucket.tokensAt).Seconds()*rate, warmingTokenBurst+rate)
	bucket.tokensAt = b.now
	if bucket.tokens < 1 {
		return b.traffic.seconds < trafficAveragingHorizons/2*b.horizon.Seconds()
	}
	bucket.tokens--
	return true
}

// advanceSlowStart follows the rising capacity of servers that are warming up.
func (b *Balancer) advanceSlowStart() {
	b.slowStart.warming = sweep(b.slowStart.warming, func(s *server) *bool { return &s.isWarming },
		func(s *server) bool {
			b.refresh(s)
			return b.warmRatio(s) < 1
		})
}
