package balancer

import (
	"math"
	"time"

	"appleledge/internal/balancer/weighted"
)

// The capacity estimate: requests per second that a server can do, from its load reports or, where no server
// reports, from the own latencies.
const (
	zoneAffinityFactor        = 60      // an idle server of the own zone weighs this times CrossZoneCost more
	minInformativeUtilization = 0.05    // reported utilization (0..1) up to which a report says nothing
	fullConfidenceUtilization = 0.25    // and from which on it has full confidence
	reportAveragingHorizons   = 4       // horizons over which reports are averaged and confidence fades by e
	minConfidence             = 0.02    // confidence (0..1) below which an estimate is dropped
	maxFadesPerTick           = 128     // estimates that fade at a tick: all, where there are no more
	fadeRoundTicks            = 16      // ticks within which each fades, where there are more
	recountAfterChanges       = 64      // changes per server after which totals are added up anew
	maxListWeight             = 1 << 20 // bound on weights of the list, and its inverse the lower bound
)

// capacityEstimator holds what is known of the capacity of all listed servers.
type capacityEstimator struct {
	totals           capacityTotals
	changesSince     int       // changes of the totals since they were last added up anew
	meanRate         float64   // requests per second for a unit of list weight, of the servers with an estimate
	hasReports       bool      // some server has reported its load
	hasSilentAnswers bool      // some answer brought no report before that
	estimated        []*server // servers with an estimate that still counts
	lastFaded        int       // index among them of the one whose estimate has faded last
}

// capacityEstimate is what is known of the capacity of one server.
type capacityEstimate struct {
	ownLatency      float64       // own mean time to an answer in seconds, kept while no server reports
	rate            float64       // requests per second when warm; 0: no estimate
	confidence      float64       // in the rate, from 0 to 1: falls with time since the last report
	fadedAt         time.Duration // when the confidence was so
	servedRate      float64       // reported requests per second, smoothed
	utilization     float64       // reported utilization (0..1), smoothed
	lastUtilization float64       // and as last reported
	reportedAt      time.Duration // the latest report; 0: none
}

// capacityTotals are sums over all listed servers, or what one server adds to them.
type capacityTotals struct {
	estimated weighted.Linear // estimated rates by confidence; its slope is that confidence times list weight
	warmedUp  weighted.Linear // capacity of ready servers when they are warm
	present   weighted.Linear // at present, less failures
	healthy   weighted.Linear // the same of those that are not ejected
	reported  weighted.Linear // capacity of servers that have reported and are not ejected
	used      weighted.Linear // the same times the utilization that they report
	reporting float64         // number of those servers
}

func (t *capacityTotals) add(other *capacityTotals, sign float64) {
	t.estimated.AddScaled(other.estimated, sign)
	t.warmedUp.AddScaled(other.warmedUp, sign)
	t.present.AddScaled(other.present, sign)
	t.healthy.AddScaled(other.healthy, sign)
	t.reported.AddScaled(other.reported, sign)
	t.used.AddScaled(other.used, sign)
	t.reporting += sign * other.reporting
}

// recordReport takes a server's load report: its served rate over its utilization is what it could do at
// most.
func (b *Balancer) recordReport(s *server, r Report) {
	if !(r.Utilization >= 0) || !(r.ServedRate >= 0) || b.warmRatio(s) < 1 { // NaN fails both comparisons
		return
	}
	b.capacity.hasReports = true
	e := &s.estimate
	keep := math.Exp(-float64(b.now-e.reportedAt) / (reportAveragingHorizons * float64(b.horizon)))
	if e.reportedAt == 0 {
		keep = 0
	}
	e.reportedAt, e.lastUtilization = b.now, r.Utilization
	e.servedRate = keep*e.servedRate + (1-keep)*r.ServedRate
	e.utilization = keep*e.utilization + (1-keep)*r.Utilization
	if e.utilization > minInformativeUtilization {
		e.rate, e.confidence = e.servedRate/e.utilization, min(1, e.utilization/fullConfidenceUtilization)
		e.fadedAt = b.now
	}
	b.refresh(s)
}

// recordOwnLatency is the estimate where no server reports: by Little's law the own served rate over the own
// mean in flight is one over the mean time to an answer.
func (b *Balancer) recordOwnLatency(s *server, latency time.Duration) {
	if b.capacity.hasReports || latency <= 0 {
		return
	}
	b.capacity.hasSilentAnswers = true
	e := &s.estimate
	if e.ownLatency == 0 {
		e.ownLatency = latency.Seconds()
	}
	e.ownLatency += learningRate * (latency.Seconds() - e.ownLatency)
	e.rate, e.confidence, e.fadedAt = 1/e.ownLatency, 1, b.now
	b.refresh(s)
}

// warmCapacity is the estimate for a server when it is warm, in requests per second. The older the last
// report, the more the mean of the others counts, for the server's weight in the list: else a server that
// once looked slow would get no request to show better with, and stand idle for good.
func (b *Balancer) warmCapacity(s *server) float64 {
	usual := b.capacity.meanRate * s.Weight
	return usual + (s.estimate.rate-usual)*s.estimate.confidence
}

// refresh follows a change of what is known of a server: in the totals, its draw weight, the lists that look
// after it, and the subset.
func (b *Balancer) refresh(s *server) {
	if !s.isListed {
		return
	}
	e := &s.estimate
	warmRatio := b.warmRatio(s)
	capacity := weighted.Linear{Slope: s.Weight * (1 - e.confidence), Intercept: e.rate * e.confidence}
	b.updateTotals(s, capacity, warmRatio)
	s.DrawWeight = capacity.Scaled(1 - s.health.failureRatio)
	if warmRatio == 1 && s.Zone == b.settings.Zone { // the own zone is preferred while it has room
		s.DrawWeight = s.DrawWeight.Scaled(1 + zoneAffinityFactor*b.settings.CrossZoneCost*max(0, 1-e.utilization))
	}
	if warmRatio < 1 {
		b.slowStart.warming = enlist(b.slowStart.warming, s, &s.isWarming)
	}
	if e.confidence > 0 {
		b.capacity.estimated = enlist(b.capacity.estimated, s, &s.isEstimated)
	}
	b.place(s)
	b.fitSubset()
}

// updateTotals replaces what a server adds to the totals, and the mean rate that follows from them.
func (b *Balancer) updateTotals(s *server, capacity weighted.Linear, warmRatio float64) {
	e, totals := &s.estimate, &b.capacity.totals
	isHealthy := s.health.ejectedUntil == 0
	totals.add(&s.totals, -1)
	s.totals = capacityTotals{
		estimated: weighted.Linear{Slope: s.Weight * e.confidence, Intercept: e.rate * e.confidence}}
	if s.State == Ready {
		s.totals.warmedUp = capacity
		s.totals.present = capacity.Scaled(warmRatio * (1 - s.health.failureRatio))
		if isHealthy {
			s.totals.healthy = s.totals.present
		}
	}
	if e.reportedAt > 0 && isHealthy {
		s.totals.reported, s.totals.used, s.totals.reporting = capacity, capacity.Scaled(e.lastUtilization), 1
	}
	totals.add(&s.totals, 1)
	if known := totals.estimated; known.Slope > minConfidence/maxListWeight && known.Intercept > 0 {
		b.capacity.meanRate = known.Intercept / known.Slope
	}
	if b.capacity.changesSince++; b.capacity.changesSince >
		recountAfterChanges*(len(b.endpoints.servers)+maxIncrementalChanges) {
		b.recount()
	}
}

// recount adds up the totals and the capacity of the subset anew, so that no rounding error stays.
func (b *Balancer) recount() {
	b.capacity.changesSince, b.capacity.totals, b.subset.capacity = 0, capacityTotals{}, subsetCapacity{}
	for _, s := range b.endpoints.servers {
		b.capacity.totals.add(&s.totals, 1)
		b.subset.capacity.add(s.subsetPart, 1)
	}
}

// fadeEstimates lets the confidence in as many estimates fade as are due at a tick.
func (b *Balancer) fadeEstimates() {
	n := len(b.capacity.estimated)
	due := min(max(maxFadesPerTick, n/fadeRoundTicks), n)
	for ; due > 0 && len(b.capacity.estimated) > 0; due-- {
		b.fadeNextEstimate()
	}
}

// fadeNextEstimate lets the confidence in the next estimate in turn fade. One that has had no report for long
// is dropped and not looked at again, so that the work goes by what the balancer itself has asked lately.
func (b *Balancer) fadeNextEstimate() {
	c := &b.capacity
	c.lastFaded = (c.lastFaded + 1) % len(c.estimated)
	s := c.estimated[c.lastFaded]
	s.estimate.confidence *= math.Exp(-float64(b.now-s.estimate.fadedAt) /
		(reportAveragingHorizons * float64(b.horizon)))
	if s.estimate.fadedAt = b.now; s.estimate.confidence < minConfidence {
		s.estimate.confidence = 0
	}
	if b.refresh(s); s.isListed && s.estimate.confidence > 0 {
		return
	}
	s.isEstimated = false
	last := len(c.estimated) - 1
	c.estimated[c.lastFaded], c.estimated[last] = c.estimated[last], nil
	c.estimated = c.estimated[:last]
}
