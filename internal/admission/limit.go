package admission

import (
	"time"
)

// The limit on requests in flight. A sample is an admitted request that ended, or became overdue, since samplesSince.
const (
	minLimit        = 0.25 // below 1 a chance: many agents with little each must not add up to too much
	limitStartShare = 0.5  // of what is served within a latency objective, at the begin of an overload
	nearLimitShare  = 0.5  // of what a request's kind may fill, from which it counts as near the limit

	fastResponseRatio = 0.5 // of the latency objective, up to which an answer lets the limit grow
	slowResponseRatio = 0.8 // and from which it speaks for a cut
	limitGrowthRatio  = 0.1 // of the limit, or 1, for each limit's worth of fast answers

	minSamples     = 4
	maxSlowRatio   = 0.3 // of the answers, that may be slow without a cut
	maxLostRatio   = 0.7 // of the samples, that may come without an answer
	slowCutFactor  = 0.8
	lostCutFactor  = 0.5
	minCutInterval = 200 * time.Millisecond
	maxSampleAge   = time.Second // after which samples are counted anew

	outageSilence = 400 * time.Millisecond // without an answer in time, from which it is an outage
	probeRatio    = 0.2                    // of the arrivals of that time, that are admitted
)

// isLimiting reports whether the limit holds.
func (c *Controller) isLimiting() bool { return c.state == Overloaded || c.state == Recovering }

// isOutage reports whether the fleet has stopped answering.
func (c *Controller) isOutage(now time.Duration) bool {
	return c.state == Overloaded && now-c.lastServedInTime > outageSilence
}

// admitsProbe reports whether a request may find out whether a fleet in an outage is back. A part of the arrivals may, so that many agents
// together send few. A request that must not run twice would only get lost there, and goes only if no other has come for long.
func (c *Controller) admitsProbe(now time.Duration, class int) bool {
	c.probeCredit = min(c.probeCredit+probeRatio, 1)
	if c.probeCredit < 1 || !c.options.Classes[class].Idempotent && now-c.lastProbe < 2*c.options.Classes[class].LatencyObjective {
		return false
	}
	c.probeCredit, c.lastProbe = 0, now
	return true
}

// growLimit lets the limit grow with a fast answer, if the limit was what held others back: by one for each answer up to the threshold, and
// slowly beyond it. responseRatio is the time that the answer took, as a part of the latency objective.
func (c *Controller) growLimit(p *Permit, responseRatio float64) {
	switch {
	case responseRatio > slowResponseRatio:
		c.countSample(p, &c.slowSamples)
		return
	case responseRatio <= fastResponseRatio && p.isNearLimit && c.limit < c.slowGrowthThreshold:
		c.limit += min(1, c.limit)
	case responseRatio <= fastResponseRatio && p.isNearLimit:
		c.limit += max(min(1, c.limit), limitGrowthRatio*c.limit) / max(1, c.limit)
	}
	c.countSample(p, &c.fastSamples)
}

// countSample counts a sample. A request that was admitted before the last cut says nothing of the limit since.
func (c *Controller) countSample(p *Permit, count *int) {
	if p.admittedAt >= c.samplesSince {
		*count++
	}
}

// cutLimit cuts the limit where many answers are slow, or hardly any comes. A few requests that hang, on servers that do not answer, are no
// reason: they are no sign of load on the servers that answer.
func (c *Controller) cutLimit(now time.Duration) {
	samples := c.fastSamples + c.slowSamples + c.lostSamples
	if samples < max(1, min(int(c.limit), minSamples)) || now-c.samplesSince < minCutInterval {
		return
	}
	switch {
	case float64(c.lostSamples) > maxLostRatio*float64(samples):
		c.limit *= lostCutFactor // the threshold stays: losses say nothing of what the fleet can do when it is back
	case float64(c.slowSamples) > maxSlowRatio*float64(c.fastSamples+c.slowSamples):
		c.limit *= slowCutFactor
		c.slowGrowthThreshold = c.limit
	case now-c.samplesSince < maxSampleAge:
		return
	}
	c.limit = max(minLimit, c.limit)
	c.fastSamples, c.slowSamples, c.lostSamples, c.samplesSince = 0, 0, 0, now
}
