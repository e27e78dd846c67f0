package overload

import (
	"math"
	"slices"
	"time"
)

// What one agent may claim. Without these bounds one faulty agent could make all others reject.
const (
	maxClaimRatio         = 4       // times what all servers can do, that one agent may claim to be asked for,
	maxClaimToOthersRatio = 2       // and times what all others claim together,
	minOthersDemandRatio  = 1.0 / 8 // where these are taken to be asked for at least that part of what all servers can do
	maxInFlightTime       = 500 * time.Millisecond
	maxExtraAttemptRatio  = 0.5 // extra attempts for each request
	maxMissingFactor      = 3   // times what is known, that the demand may be scaled up for agents of which nothing is known
)

// How older digests are brought up to now.
const (
	currentDigestAge = 600 * time.Millisecond // up to which a digest is taken as it is
	maxTrend         = 1.6                    // by which the demand is taken to grow or fall between two digests
)

// Demand is what the fleet is asked for, as far as is known. Rates are a second; the fields are as in LoadDigest.
type Demand struct {
	NewRequests, ClientRetries, Tenants         []float64
	Requests, Admitted, InFlight, ExtraAttempts float64
	ServedInTime, LateOrFailed                  float64
	KnownAgents                                 int // agents whose digests count, this one among them
	AliveAgents                                 int
}

// lateRatio returns the part of the requests that are late or fail.
func (d *Demand) lateRatio() float64 {
	return d.LateOrFailed / max(d.LateOrFailed+d.ServedInTime, math.SmallestNonzeroFloat64)
}

// totalDemand adds up the digests of all agents. Those of a while ago are brought up to now by how the current ones differ from what the
// same agents said before (a ratio estimate), no agent's claim counts beyond its bounds, and agents of which nothing is known count as the
// mean of the others.
func (v *FleetView) totalDemand(now time.Duration, own LoadDigest, capacity float64) Demand {
	demand := Demand{NewRequests: slices.Clone(own.NewRequests), ClientRetries: slices.Clone(own.ClientRetries), Tenants: slices.Clone(own.Tenants),
		Requests: own.Requests, Admitted: own.Admitted, InFlight: own.InFlight, ExtraAttempts: own.ExtraAttempts,
		ServedInTime: own.ServedInTime, LateOrFailed: own.LateOrFailed, KnownAgents: 1, AliveAgents: max(1, v.aliveAgents)}
	trend := v.currentTrend(now)
	claims := v.addUpClaims(now, &own, capacity)
	for i := range v.digests {
		if v.isKnown(i, now) {
			demand.KnownAgents++
			v.addDigest(&demand, now, &v.digests[i], trend, claims)
		}
	}
	demand.scaleForMissingAgents()
	return demand
}

// demandTrend is by which factors the demand has changed between two digests of the same agents.
type demandTrend struct {
	newRequests, clientRetries float64
	interval                   time.Duration // the mean between two digests; 0: no current digest has one before it
}

// currentTrend compares the current digests with the ones before them.
func (v *FleetView) currentTrend(now time.Duration) demandTrend {
	var current, previous [2]float64
	interval, digests := time.Duration(0), time.Duration(0)
	for i := range v.digests {
		if r := &v.digests[i]; v.isKnown(i, now) && now-r.observedAt < currentDigestAge && r.previousTotals[0] >= 0 {
			for k, x := range r.value.totals() {
				current[k], previous[k] = current[k]+x, previous[k]+r.previousTotals[k]
			}
			interval, digests = interval+r.sincePrevious, digests+1
		}
	}
	factors := [2]float64{1, 1}
	for k := range factors {
		if previous[k] > 0 {
			factors[k] = min(max(current[k]/previous[k], 1/maxTrend), maxTrend)
		}
	}
	trend := demandTrend{newRequests: factors[0], clientRetries: factors[1]}
	if digests > 0 {
		trend.interval = max(1, interval/digests)
	}
	return trend
}

// scales returns the factors by which a digest of an age is brought up to now.
func (t demandTrend) scales(age time.Duration) (newRequests, clientRetries float64) {
	if age < currentDigestAge || t.interval == 0 {
		return 1, 1
	}
	intervals := min(1, float64(age)/float64(t.interval))
	return math.Pow(t.newRequests, intervals), math.Pow(t.clientRetries, intervals)
}

// claims are what the agents claim to be asked for.
type claims struct {
	capacity float64
	total    float64
	bySender []float64 // by the agent that passed a claim on, its own among them
}

// addUpClaims adds up what each agent claims, and what each has passed on.
func (v *FleetView) addUpClaims(now time.Duration, own *LoadDigest, capacity float64) claims {
	c := claims{capacity: capacity, bySender: make([]float64, len(v.digests))}
	c.total = c.of(own)
	for i := range v.digests {
		if r := &v.digests[i]; v.isKnown(i, now) {
			claim := c.of(&r.value)
			c.total += claim
			c.bySender[r.sender] += claim
		}
	}
	return c
}

// of returns what a digest claims, as far as it counts.
func (c *claims) of(d *LoadDigest) float64 {
	totals := d.totals()
	return min(totals[0]+totals[1], maxClaimRatio*c.capacity)
}

// bound returns how much may count of someone who claims so much of the total.
func (c *claims) bound(claim float64) float64 {
	return min(maxClaimRatio*c.capacity, maxClaimToOthersRatio*max(c.total-claim, minOthersDemandRatio*c.capacity))
}

// addDigest adds another agent's digest to the demand, brought up to now and within the bounds for the agent and for its sender: one agent
// can send digests in the name of all others.
func (v *FleetView) addDigest(demand *Demand, now time.Duration, r *digestRecord, trend demandTrend, c claims) {
	d := &r.value
	totals := d.totals()
	scaleNew, scaleRetries := trend.scales(now - r.observedAt)
	claimed := scaleNew*totals[0] + scaleRetries*totals[1]
	if bound := c.bound(c.of(d)); c.capacity > 0 && claimed > bound {
		scaleNew, scaleRetries = scaleNew*bound/claimed, scaleRetries*bound/claimed
		v.counts.Capped++
	}
	if sent := c.bySender[r.sender]; c.capacity > 0 && sent > c.bound(sent) {
		scaleNew, scaleRetries = scaleNew*c.bound(sent)/sent, scaleRetries*c.bound(sent)/sent
		v.counts.Capped++
	}
	for class := range d.NewRequests {
		demand.NewRequests[class] += scaleNew * d.NewRequests[class]
		demand.ClientRetries[class] += scaleRetries * d.ClientRetries[class]
	}
	tenants := 0.0
	for _, rate := range d.Tenants {
		tenants += rate
	}
	for t, rate := range d.Tenants { // which are parts of the same new requests
		demand.Tenants[t] += scaleNew * rate * min(1, totals[0]/max(tenants, math.SmallestNonzeroFloat64))
	}
	requests := scaleNew*totals[0] + scaleRetries*totals[1] // the rest can't be much more
	demand.Requests += scaleNew * d.Requests
	demand.Admitted += min(scaleNew*d.Admitted, requests)
	demand.InFlight += min(d.InFlight, requests*maxInFlightTime.Seconds())
	demand.ExtraAttempts += min(d.ExtraAttempts, maxExtraAttemptRatio*requests)
	demand.ServedInTime += min(d.ServedInTime, requests)
	demand.LateOrFailed += min(d.LateOrFailed, requests)
}

// scaleForMissingAgents takes the agents of which nothing is known to be like the others.
func (d *Demand) scaleForMissingAgents() {
	factor := min(maxMissingFactor, float64(d.AliveAgents)/float64(d.KnownAgents))
	if factor <= 1 {
		return
	}
	for _, rates := range [][]float64{d.NewRequests, d.ClientRetries, d.Tenants} {
		for i := range rates {
			rates[i] *= factor
		}
	}
	for _, rate := range []*float64{&d.Requests, &d.Admitted, &d.InFlight, &d.ExtraAttempts, &d.ServedInTime, &d.LateOrFailed} {
		*rate *= factor
	}
}
