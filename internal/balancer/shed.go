package balancer

import (
	"math"
	"time"
)

// Load shedding: in an overload, requests of low priority for their time are rejected early.
const (
	shedStartLatencyRatio    = 0.5  // mean latency over objective from which requests are rejected
	shedStartInFlightRatio   = 0.4  // and the same ratio as derived from what is in flight
	shedSlope                = 6    // rise of the ratio rejected with either
	shedStartUtilization     = 0.82 // reported utilization (0..1) from which late answers are a sign of overload
	shedFullUtilization      = 0.95 // and from which they are one for certain
	minQueueingUtilization   = 0.65 // up to which what is in flight for long is stuck, and no sign of overload
	quotaPriorRequests       = 20   // requests before which the own count says little of a tenant's usage
	maxLatencySampleWeight   = 0.1  // weight (0..1) of a new sample in the mean latency ratio, at most
	latencyAveragingHorizons = 0.5  // horizons over which this mean runs where there are more samples
	trafficAveragingHorizons = 8    // horizons over which the own traffic is counted
	reportGraceHorizons      = 0.5  // horizons for which an answer may take without a doubt in the latest report
)

// shedder holds how much load is shed, and the signs of overload that it follows from.
type shedder struct {
	ratio                float64       // of requests of mean priority that is rejected; above 1 all of them are
	latencyRatio         float64       // mean latency over latency objective
	latencyRatioAt       time.Duration // its latest sample
	inFlightLatencyRatio float64       // the same, derived from what is in flight
	utilization          float64       // of the servers, as they report it (0..1)
	meanPriority         float64       // of the latest requests, per nanosecond of their usual latency
	listDropRatio        float64       // of requests that the endpoint list's owner wants rejected
}

// ownTraffic counts the own requests, each event for less the older it is, over trafficAveragingHorizons.
type ownTraffic struct {
	sends          float64
	answers        float64
	seconds        float64 // the time that both are counted over
	peakServedRate float64 // highest rate of answers per second, of late
}

// tenantUsage counts the latest requests of each tenant and of all that have a quota.
type tenantUsage struct {
	requests []float64
	total    float64
}

// loadSample is what a look at the attempts in flight and at the reports shows.
type loadSample struct {
	inFlightRate     float64 // sum of one over the latency objective, over the attempts that count, per second
	inFlight         float64 // number of those attempts
	usedCapacity     float64 // capacity times utilization of the servers that report, requests per second
	reportedCapacity float64 // and their capacity
	reporting        float64 // their number
	minConfidence    float64 // the least confidence in any report
}

// updateShedding sets the ratio shed from the mean of latency over objective. What answers say of it counts
// as far as servers report that they are busy: else one slow server, or chance at a quiet balancer, looks
// like an overload. By Little's law the mean is also what is in flight, each by one over its objective, over
// the rate of sends: there an overload shows sooner, but the few in flight at a quiet balancer bunch by
// chance and count for less. Where servers report little utilization, what stays in flight is stuck
// somewhere: rejecting others would not help it, and as sends fall with each rejection, the same few in
// flight would look like an ever worse overload.
func (b *Balancer) updateShedding() {
	b.updateSuspension()
	load := b.sampleLoad()
	// A busy balancer must not overload the few servers of its subset.
	b.subset.growthThreshold = int(load.inFlight / inFlightPerSubsetServer)
	b.fitSubset()
	b.decayTraffic()
	shed := &b.shedder
	shed.inFlightLatencyRatio = load.inFlightRate * b.traffic.seconds / (b.traffic.sends + 1) *
		(1 - 1/math.Sqrt(max(load.inFlight, 1)))
	shed.utilization = b.estimateUtilization(load)
	shed.ratio = b.shedRatio()
}

// sampleLoad adds up the attempts in flight and the utilization of the servers.
func (b *Balancer) sampleLoad() loadSample {
	totals, mean := &b.capacity.totals, b.capacity.meanRate
	load := loadSample{usedCapacity: totals.used.At(mean), reportedCapacity: totals.reported.At(mean),
		reporting: totals.reporting, minConfidence: 1}
	if b.outliers.isSuspended { // those that are ejected count as well
		for _, s := range b.outliers.ejected {
			if s.estimate.reportedAt > 0 {
				load.usedCapacity += s.estimate.lastUtilization * b.warmCapacity(s)
				load.reportedCapacity += b.warmCapacity(s)
				load.reporting++
			}
		}
	}
	for _, s := range b.requests.activeServers { // others owe nothing, and their reports hold
		if b.isEjected(s) {
			continue
		}
		confidence := b.reportConfidence(s)
		load.minConfidence = min(load.minConfidence, confidence)
		if s.estimate.reportedAt > 0 {
			load.usedCapacity += (1 - confidence) * (1 - s.estimate.lastUtilization) * b.warmCapacity(s)
		}
		for _, a := range s.inFlight {
			objective := a.request.class.LatencyObjective
			// One in flight for longer is stuck, or late answers tell of it.
			if !a.isSendingBody && b.now-a.sentAt <= objective {
				load.inFlightRate, load.inFlight = load.inFlightRate+1/objective.Seconds(), load.inFlight+1
			}
		}
	}
	return load
}

// decayTraffic lets the counts of the own traffic, the latency ratio and the tenants' usage fade by one tick.
func (b *Balancer) decayTraffic() {
	keep := math.Exp(-1.0 / ticksPerHorizon / trafficAveragingHorizons)
	t := &b.traffic
	t.sends, t.seconds = keep*t.sends, keep*t.seconds+b.horizon.Seconds()/ticksPerHorizon
	t.answers = keep * t.answers
	b.shedder.latencyRatio *= keep
	t.peakServedRate *= math.Exp(-1.0 / ticksPerHorizon / peakRateHorizons)
	if t.seconds > trafficAveragingHorizons/4*b.horizon.Seconds() {
		t.peakServedRate = max(t.peakServedRate, t.answers/t.seconds)
	}
	b.tenants.total *= keep
	for i := range b.tenants.requests {
		b.tenants.requests[i] *= keep
	}
}

// estimateUtilization is the mean utilization of the servers, weighted by capacity. Where none reports they
// count as fully used; before an answer could have brought a report, as used in the measure in which answers
// stay away.
func (b *Balancer) estimateUtilization(load loadSample) float64 {
	used, known := load.usedCapacity, load.reportedCapacity
	if load.reporting == 0 && b.capacity.hasSilentAnswers {
		used, known = 1, 1
	} else if load.reporting == 0 {
		used, known = 1-load.minConfidence, 1
	}
	return used / max(known, math.SmallestNonzeroFloat64)
}

// shedRatio is the ratio of requests of mean priority to reject, by the signs of overload.
func (b *Balancer) shedRatio() float64 {
	shed := &b.shedder
	saturation := min(1, max(0,
		(shed.utilization-shedStartUtilization)/(shedFullUtilization-shedStartUtilization)))
	queueing := min(1, max(0,
		(shed.utilization-minQueueingUtilization)/(shedStartUtilization-minQueueingUtilization)))
	start := shedStartInFlightRatio
	if b.now-shed.latencyRatioAt < time.Duration(reportGraceHorizons*float64(b.horizon)) {
		start = shedStartLatencyRatio // answers come, and tell themselves what they take
	}
	return shedSlope * max(0, saturation*(shed.latencyRatio-shedStartLatencyRatio),
		queueing*(shed.inFlightLatencyRatio-start))
}

// reportConfidence is the confidence in the server's latest report, from 1 to 0. In an overload no reports
// come: it fades while answers are owed. Where nothing was asked nothing can come, which says nothing of the
// server.
func (b *Balancer) reportConfidence(s *server) float64 {
	if len(s.inFlight) == 0 {
		return 1
	}
	silent := float64(b.now-max(s.estimate.reportedAt, s.health.owesSince)) -
		reportGraceHorizons*float64(b.horizon)
	return math.Exp(-max(0, silent) / float64(b.horizon))
}

// recordLatencyRatio takes a sample of latency over objective. A busy balancer has many samples in a moment,
// which rise and fall together: they count for no more than their time.
func (b *Balancer) recordLatencyRatio(x float64) {
	shed := &b.shedder
	sinceLast := float64(b.now - shed.latencyRatioAt)
	weight := min(maxLatencySampleWeight, 1-math.Exp(-sinceLast/(latencyAveragingHorizons*float64(b.horizon))))
	shed.latencyRatioAt, shed.latencyRatio = b.now, shed.latencyRatio+weight*(min(x, 1)-shed.latencyRatio)
}

// shouldShed draws whether a request of that priority is rejected. What has little priority for its time goes
// first, by the square, so that the valuable is served in time, and rejecting early costs no server anything.
func (b *Balancer) shouldShed(priority float64) bool {
	shed := &b.shedder
	if shed.meanPriority == 0 {
		shed.meanPriority = priority
	}
	shed.meanPriority += learningRate * (priority - shed.meanPriority)
	ratio := shed.meanPriority / priority
	return b.rng.Float64() < shed.ratio*ratio*ratio
}

// recordPriority counts the request for its tenant and returns its priority per nanosecond that it usually
// takes, less as far as the tenant is over its quota of late: long work must not crowd out short, nor a
// tenant that sends several times its quota those within theirs. Each balancer goes by its own requests;
// until it has seen some, all are within.
func (b *Balancer) recordPriority(r *request) float64 {
	priority := r.class.Priority / b.classLatency[r.Class]
	usage := &b.tenants
	if r.Tenant < 0 || r.Tenant >= len(usage.requests) {
		return priority
	}
	usage.requests[r.Tenant]++
	usage.total++
	quota := b.settings.Quotas[r.Tenant]
	inside := min(1, quota*(usage.total+quotaPriorRequests)/(usage.requests[r.Tenant]+quotaPriorRequests*quota))
	return priority * (inside + (1-inside)*b.settings.OverQuotaPriorityRatio)
}
