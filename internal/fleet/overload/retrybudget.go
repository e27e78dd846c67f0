package overload

import (
	"math"
	"time"
)

// The fleet's retry budget: attempts beyond a request's first, as a part of the fleet's new requests.
const (
	retryBudgetRatio         = 0.15
	overloadRetryBudgetRatio = 0.03 // while requests are rejected
)

// AllowsRetry reports whether an attempt beyond a request's first may be sent. All agents together keep to the budget. While less than half
// of it is used every agent may, however few requests it has itself: a budget of each agent alone would be too small for one attempt.
func (d *AdmissionController) AllowsRetry(now time.Duration) bool {
	d.refreshPlan(now)
	p := &d.plan
	if p.trust == 0 || d.rng.Float64() >= p.trust {
		return true
	}
	newRequests := 0.0
	for _, rate := range p.demand.NewRequests {
		newRequests += rate
	}
	ratio := retryBudgetRatio
	if p.rejectedRatio > 0 {
		ratio = overloadRetryBudgetRatio
	}
	if d.rng.Float64() < 2*(1-p.demand.ExtraAttempts/max(ratio*newRequests, math.SmallestNonzeroFloat64)) {
		return true
	}
	d.counts.RejectedRetries++
	return false
}
