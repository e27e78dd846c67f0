package balancer

import "time"

// Hedging: a second attempt of a request whose answer is late.
const (
	hedgeLatencyFactor  = 2.5  // multiple of the class's usual latency after which a request is hedged
	maxHedgeUtilization = 0.65 // reported utilization of the servers (0..1) up to which requests are hedged
)

// hedgeLate hedges requests whose answer is late: it may never come, where a connection fell silent or a
// server hangs, and by the deadline nothing is gained any more. Half of the retry budget is kept for retries
// of what has failed. Nothing is hedged where servers are busy: there everything is late, and hedging makes
// it worse.
func (b *Balancer) hedgeLate() {
	if b.shedder.ratio > 0 || b.shedder.utilization > maxHedgeUtilization {
		return
	}
	for _, r := range b.lateRequests() {
		if b.retries.tokens < maxRetryBudget/2 {
			return
		}
		b.repeats.isWithheld = false
		s := b.pick(r)
		if s != nil && !r.hasTried(s) {
			b.retries.tokens--
			b.send(r, s)
			continue
		}
		if b.repeats.isWithheld && !r.isHedgeWithheld {
			r.isHedgeWithheld = true
			b.repeats.withheldHedges++
		}
	}
}

// lateRequests lists requests with one attempt in flight that has taken longer than is usual.
func (b *Balancer) lateRequests() (late []*request) {
	for _, s := range b.requests.activeServers {
		for _, a := range s.inFlight {
			limit := time.Duration(hedgeLatencyFactor * b.classLatency[a.request.Class])
			if b.now-a.sentAt > limit && a.request.inFlight == 1 {
				late = append(late, a.request)
			}
		}
	}
	return late
}
