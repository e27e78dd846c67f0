package recovery

import (
	"math"
	"slices"
	"time"

	"appleledge/internal/admission"
)

// The admission rate from the capacity that is there.
const (
	targetUtilization          = 0.8  // of the servers
	initialTargetUtilization   = 0.55 // at the first answer, while servers have forgotten the idempotency keys that they knew
	maxColdOverloadRatio       = 0.5  // of ColdOverloadFactor, that a cold server is sent at most
	defaultColdOverloadFactor  = 3
	minBaselineUtilization     = 0.3 // what was learned in a quiet hour says little of a busy one
	defaultBaselineUtilization = 0.7
	maxRateFactor              = 3 // times the usual rate, that may be admitted when clients ask for more
)

// What servers' reports prove.
const (
	reportTTL           = 2 * time.Second
	minProofUtilization = 0.1 // below it a report doesn't say what a server could do
	proofSafetyFactor   = 0.9
)

// How the admission rate is corrected by what it brings.
const (
	raiseBelowUtilization = 0.65
	lowerAboveUtilization = 0.92
	raiseFactor           = 1.25
	lowerFactor           = 0.85
	maxLateRatio          = 0.25 // of the requests that have ended, above which the rate is lowered
	minEndedRequests      = 4    // for that ratio to count
	minGain               = 0.3
	maxGain               = 20
)

// How tokens are handed out.
const (
	burstSeconds  = 0.3 // of a class's rate that may be saved up, or owed
	classHeadroom = 1.3 // times its usual rate, that a class may take before the next one gets anything
)

// ramp is the state of the limited admission rate.
type ramp struct {
	gain           float64 // by which the rate is corrected; 1 at first
	checkedAt      time.Duration
	servedInTime   int // requests since checkedAt
	lateOrFailed   int
	lastRejectedAt time.Duration

	tokens     []float64 // by class; below 0 they are owed
	isPrimed   bool      // the tokens have their first values
	refilledAt time.Duration
}

// reset begins the ramp of a new recovery. The tokens get their first values with the first refill.
func (p *ramp) reset(now time.Duration) {
	*p = ramp{gain: 1, checkedAt: now, lastRejectedAt: now, refilledAt: now, tokens: p.tokens}
}

// takeToken takes a token for a request, of its class or of one with a lower priority. An agent with few requests seldom has a whole token
// when one comes, and many such agents together must still be fair: with less than one token a request is admitted with a probability that falls with the debt.
func (r *Controller) takeToken(now time.Duration, a admission.Request) bool {
	r.refillTokens(now)
	tokens := r.ramp.tokens
	own := slices.Index(r.classesByPriority, a.Class)
	for _, class := range r.classesByPriority[own:] {
		if tokens[class] >= 1 {
			tokens[class]--
			return true
		}
	}
	limit := r.maxOwedTokens(a.Class)
	if r.rng.Float64() >= (tokens[a.Class]+limit)/(1+limit) {
		return false
	}
	tokens[a.Class]--
	return true
}

// maxOwedTokens returns how many tokens a class may owe.
func (r *Controller) maxOwedTokens(class int) float64 {
	return 1 + r.baseline.classRate(class)*burstSeconds
}

// refillTokens hands out what the admission rate has allowed since the last call: to the class of the highest priority first, and what it
// has no use for to the next.
func (r *Controller) refillTokens(now time.Duration) {
	seconds := (now - r.ramp.refilledAt).Seconds()
	r.ramp.refilledAt = now
	rate := r.admissionRate(now)
	if !r.ramp.isPrimed {
		r.primeTokens(rate)
	}
	free := rate * seconds
	for i, class := range r.classesByPriority {
		usual := r.baseline.classRate(class)
		offered := free
		if i < len(r.classesByPriority)-1 {
			offered = min(free, usual*classHeadroom*seconds)
		}
		taken := min(offered, max(0, 1+usual*burstSeconds-r.ramp.tokens[class]))
		r.ramp.tokens[class] += taken
		free -= taken
	}
}

// primeTokens gives each class the tokens that it would have in the long run. With none, or with full buckets, the first second of all
// agents together would admit far less or far more than the rate.
func (r *Controller) primeTokens(rate float64) {
	r.ramp.isPrimed = true
	left := rate
	for _, class := range r.classesByPriority {
		usual := max(r.baseline.classRate(class), math.SmallestNonzeroFloat64)
		served := min(1, left/usual)
		left -= served * usual
		r.ramp.tokens[class] = served*(1+r.maxOwedTokens(class)) - r.maxOwedTokens(class)
	}
}

// admissionRate returns how many requests a second may be admitted now; see the package comment for its bound.
func (r *Controller) admissionRate(now time.Duration) float64 {
	warm, proven := r.warmCapacity(now)
	utilization := r.baseline.Utilization
	if utilization == 0 {
		utilization = defaultBaselineUtilization
	}
	utilization = max(utilization, minBaselineUtilization)
	usual := r.baseline.TotalRate()
	if usual == 0 {
		usual = r.traffic.firstAttemptRate(now)
	}
	warm = max(warm, proven)
	overloadFactor := r.options.ColdOverloadFactor
	if overloadFactor <= 0 {
		overloadFactor = defaultColdOverloadFactor
	}
	bound := warm * maxColdOverloadRatio * overloadFactor / utilization
	target := initialTargetUtilization
	if r.firstAnswerAt != 0 {
		target += (targetUtilization - initialTargetUtilization) * min(1, float64(now-r.firstAnswerAt)/float64(r.options.WarmupTime))
	}
	return usual * min(maxRateFactor, bound, r.ramp.gain*warm*target/utilization)
}

// warmCapacity returns two parts of the fleet's capacity: the one that is there at least by the time since the servers' start, and the one
// that the servers which have just reported can serve now. A server whose capacity isn't known counts as one of the mean.
func (r *Controller) warmCapacity(now time.Duration) (atLeast, proven float64) {
	mean, known := 0.0, 0.0
	for _, s := range r.serverOrder {
		if s.isReady && s.warmCapacity > 0 {
			mean, known = mean+s.warmCapacity, known+1
		}
	}
	if mean /= max(known, 1); mean == 0 {
		mean = 1
	}
	var total, available, reporting, shown float64
	for _, s := range r.serverOrder {
		if !s.isReady {
			continue
		}
		capacity := s.warmCapacity
		if capacity == 0 {
			capacity = mean
		}
		total += capacity
		available += capacity * r.warmRatio(now, s)
		if s.reportedAt != 0 && now-s.reportedAt < reportTTL && known > 0 && s.reportedUtilization > minProofUtilization {
			reporting += capacity
			shown += min(capacity, s.reportedRate/s.reportedUtilization)
		}
	}
	if reporting > 0 {
		proven = proofSafetyFactor * shown / reporting
	}
	return available / max(total, math.SmallestNonzeroFloat64), proven
}

// warmRatio returns the part of its capacity that a server has at least. One that wasn't tried is taken to have started with the first
// one, and one that was tried and didn't answer to be down.
func (r *Controller) warmRatio(now time.Duration, s *server) float64 {
	start := s.firstAnswerAt
	switch {
	case s.isListed && s.listedStart == 0:
		return 1
	case s.isListed:
		start = s.listedStart
	case start == 0 && s.brokenAt >= r.startedAt:
		return 0
	case start == 0 && r.fleetStart != 0:
		start = r.fleetStart
	case start == 0:
		start = now
	}
	if age := now - start; age < r.options.WarmupTime {
		return r.options.ColdCapacityRatio + (1-r.options.ColdCapacityRatio)*max(0, float64(age)/float64(r.options.WarmupTime))
	}
	return 1
}

// adjustGain raises the admission rate where servers report that they aren't busy, and lowers it where they are or answers are late.
func (r *Controller) adjustGain(now time.Duration) {
	utilization, reports := 0.0, 0.0
	for _, s := range r.serverOrder {
		if s.reportedAt != 0 && now-s.reportedAt < reportTTL/2 && s.isReady {
			utilization, reports = utilization+s.reportedUtilization, reports+1
		}
	}
	p := &r.ramp
	ended := p.servedInTime + p.lateOrFailed
	switch {
	case ended >= minEndedRequests && float64(p.lateOrFailed) > maxLateRatio*float64(ended):
		p.gain *= lowerFactor
	case reports > 0 && utilization/reports > lowerAboveUtilization:
		p.gain *= lowerFactor
	case reports > 0 && utilization/reports < raiseBelowUtilization:
		p.gain *= raiseFactor
	}
	p.gain = min(max(p.gain, minGain), maxGain)
	p.servedInTime, p.lateOrFailed = 0, 0
}
