package overload

import (
	"math"
	"time"
)

// The rate that the fleet may admit.
const (
	// pushbackFactor is a proportional gain: the relative cut of the limit per unit of utilization over the target. It acts at once, as
	// utilization is known sooner than the arrivals that agents report.
	pushbackFactor = 1.1
	minAdmitRatio  = 0.4         // of the limit, that is admitted whatever waits at the servers
	queueDrainTime = time.Second // in which the requests that wait at servers are to be worked off
	usualTimeRatio = 0.6         // of the latency objective, that a request takes where none waits
)

// What servers do is known sooner than what all agents are asked for: where they serve more than agents report, the demand has grown.
const (
	reportedGrowthTolerance = 1.15 // times the reported attempts, that servers may serve without that
	maxDemandGrowth         = 2.5
	peakAttemptDecay        = 2 * time.Second
)

// The plan counts in so far as this agent's own answers show busy servers.
const (
	minProofUtilization  = 0.3 // from which it begins to count,
	fullProofUtilization = 0.5 // and from which it counts in full
)

// plan says whom to admit for now.
type plan struct {
	trust              float64      // from 0 to 1: the part of the requests to which the plan applies
	limit              float64      // requests a second that the fleet may admit
	admitProbabilities [][4]float64 // by class and priorityBucket; nil: all are admitted
	overQuota          [][]float64  // by class and tenant: the part of its requests that is over its quota
	rejectedRatio      float64      // part of the whole demand that is rejected
	demand             Demand
	capacity           float64 // of the servers, in requests a second
	utilization        float64
}

// priorityBucket returns the bucket of a request within its class, the first of which is filled first: tenants within their quota come
// before those over it, and first attempts before clients' retries.
func priorityBucket(isRetry, isOverQuota bool) int {
	bucket := 0
	if isOverQuota {
		bucket = 2
	}
	if isRetry {
		bucket++
	}
	return bucket
}

// admitProbability returns the probability that a tenant's request of a class is admitted; tenant is below 0 for none.
func (p *plan) admitProbability(class, tenant int, isRetry bool) float64 {
	if class >= len(p.admitProbabilities) {
		return 1
	}
	over := 0.0
	if ofTenants := p.overQuota[class]; tenant >= 0 && len(ofTenants) > 0 {
		over = ofTenants[digestIndex(tenant, len(ofTenants))]
	}
	probabilities := &p.admitProbabilities[class]
	return (1-over)*probabilities[priorityBucket(isRetry, false)] + over*probabilities[priorityBucket(isRetry, true)]
}

// newPlan fills the fleet's limit in the order of priority. An agent whose own answers show servers at rest admits all: gossip alone rejects
// nothing.
func (d *AdmissionController) newPlan(now time.Duration, demand Demand, capacity, utilization float64) plan {
	d.scaleToServed(now, &demand, capacity, utilization)
	excessUtilization := max(0, utilization-targetUtilization(demand.lateRatio()))
	p := plan{demand: demand, utilization: utilization, capacity: capacity,
		limit: d.gain * lateTargetUtilization * capacity * (1 - pushbackFactor*excessUtilization)}
	requested := 0.0
	for c := range demand.NewRequests {
		requested += demand.NewRequests[c] + demand.ClientRetries[c]
	}
	available := d.availableRate(&p)
	if requested <= available || capacity == 0 {
		return p
	}
	proof := d.overloadProof(now)
	if proof == 0 {
		return p
	}
	admitted := d.fillBuckets(&p, available, proof)
	p.rejectedRatio = proof * max(0, 1-admitted/requested)
	return p
}

// scaleToServed raises the demand where servers serve more than the agents report.
func (d *AdmissionController) scaleToServed(now time.Duration, demand *Demand, capacity, utilization float64) {
	decayed := d.peakAttemptRate * math.Exp(-float64(now-d.peakAttemptAt)/float64(peakAttemptDecay))
	d.peakAttemptRate = max(decayed, demand.Admitted+demand.ExtraAttempts) // the peak, as what servers report is of a moment ago
	d.peakAttemptAt = now
	if served := utilization * capacity; d.peakAttemptRate > 0 && served > reportedGrowthTolerance*d.peakAttemptRate {
		growth := min(served/d.peakAttemptRate, maxDemandGrowth)
		for _, rates := range [][]float64{demand.NewRequests, demand.ClientRetries, demand.Tenants} {
			for i := range rates {
				rates[i] *= growth
			}
		}
	}
}

// availableRate returns what is left of the limit for new requests and retries: extra attempts, and the requests that wait at servers beyond
// what is usual, are served first.
func (d *AdmissionController) availableRate(p *plan) float64 {
	topObjective := d.options.Classes[d.classesByPriority[0]].LatencyObjective
	waiting := max(0, p.demand.InFlight-p.limit*usualTimeRatio*topObjective.Seconds())
	return max(minAdmitRatio*p.limit, p.limit-p.demand.ExtraAttempts-waiting/queueDrainTime.Seconds())
}

// overloadProof returns from 0 to 1 how far this agent's own answers show busy servers; 1 if it has none of late.
func (d *AdmissionController) overloadProof(now time.Duration) float64 {
	if d.ownReportAt == 0 || now-d.ownReportAt >= ownAnswersDecay {
		return 1
	}
	return min(max((d.ownPeakUtilization-minProofUtilization)/(fullProofUtilization-minProofUtilization), 0), 1)
}

// fillBuckets gives each bucket of each class, in the order of priority, what is left of the available rate, sets the probabilities by that
// and returns the rate that is admitted.
func (d *AdmissionController) fillBuckets(p *plan, available, proof float64) (admitted float64) {
	demand := &p.demand
	allTenants := 0.0
	for _, rate := range demand.Tenants {
		allTenants += rate
	}
	p.admitProbabilities, p.overQuota = make([][4]float64, len(demand.NewRequests)), make([][]float64, len(demand.NewRequests))
	for _, c := range d.classesByPriority {
		byTenant := make([]float64, len(demand.Tenants)) // of the class, as if all tenants asked for the same classes
		for t, rate := range demand.Tenants {
			byTenant[t] = rate * demand.NewRequests[c] / max(allTenants, math.SmallestNonzeroFloat64)
		}
		p.overQuota[c] = overQuotaRatios(byTenant, d.options.TenantQuotas, available)
		over := 0.0
		for t, rate := range byTenant {
			over += rate * p.overQuota[c][t] / max(demand.NewRequests[c], math.SmallestNonzeroFloat64)
		}
		for bucket := range p.admitProbabilities[c] {
			requested := demand.bucketRate(c, bucket, over)
			probability := 1.0
			switch {
			case available <= 0: // also for a bucket of which nothing is requested yet
				probability = 0
			case requested > available:
				probability = available / requested
			}
			admitted += requested * probability
			// Exactly 0 behind a bucket that isn't admitted in full: what rounding leaves would admit all of the next buckets of which next to
			// nothing is requested.
			if available -= requested; probability < 1 {
				available = 0
			}
			p.admitProbabilities[c][bucket] = 1 - proof*(1-probability)
		}
	}
	return admitted
}

// bucketRate returns how many requests a second are in a bucket of a class, of which such a part is over its tenant's quota.
func (d *Demand) bucketRate(class, bucket int, overQuota float64) float64 {
	rate := d.NewRequests[class]
	if bucket%2 == 1 {
		rate = d.ClientRetries[class]
	}
	if bucket < 2 {
		return rate * (1 - overQuota)
	}
	return rate * overQuota
}

// overQuotaRatios returns the part of what each tenant requests that is over its quota of the limit. What a tenant doesn't use of its quota
// goes to the others (max-min fairness, weighted by quotas).
func overQuotaRatios(requested, quotas []float64, limit float64) []float64 {
	over := make([]float64, len(requested))
	isServed := make([]bool, len(requested)) // in full
	for range requested {
		unserved, left := 0.0, limit // quotas of the tenants that aren't served in full, and what is left for them
		for t := range requested {
			if !isServed[t] {
				unserved += quotas[t]
			}
		}
		for t := range requested {
			if isServed[t] {
				left -= requested[t]
			}
		}
		unserved = max(unserved, math.SmallestNonzeroFloat64)
		hasChanged := false
		for t := range requested {
			if !isServed[t] && requested[t] <= left*quotas[t]/unserved {
				isServed[t], hasChanged = true, true
			}
		}
		if hasChanged {
			continue
		}
		for t := range requested {
			if !isServed[t] && requested[t] > 0 {
				over[t] = min(1, max(0, 1-max(0, left)*quotas[t]/unserved/requested[t]))
			}
		}
		break
	}
	return over
}
