package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Outlier detection: a server that fails, answers too late or answers nothing is ejected for a while; then
// one request tries it.
const (
	maxMissedAnswers        = 16  // answers that a server may owe, by the usual latency, before it is ejected
	failureSampleWeight     = 0.3 // weight (0..1) of a new outcome in a server's failure ratio
	ejectionFailureRatio    = 0.6 // failure ratio above which it is ejected: three failures in a row, from 0
	slowAnswerFactor        = 2   // multiple of the usual latency above which an answer over its objective fails
	maxEjectionDoublings    = 3   // doublings of the ejection time, one for each failed trial in a row
	minHealthyCapacityRatio = 0.5 // ejections count while at least this ratio of the capacity is not ejected
)

// outlierDetector holds the ejections.
type outlierDetector struct {
	ejected     []*server // by the end of their ejection, the earliest first
	isSuspended bool      // so much capacity is ejected that no ejection counts
	trialEffect Effect    // the least harmful effect of the classes in force: its requests are the trials
}

// serverHealth is what is known of the health of one server.
type serverHealth struct {
	lastSignOfLife time.Duration // its latest answer or, if later, the first send since nothing was in flight
	owesSince      time.Duration // since when it has had attempts in flight all the time
	failureRatio   float64       // ratio of failures among the latest outcomes
	ejectedUntil   time.Duration // 0: not ejected
	isOnTrial      bool          // a trial request is in flight
	failedTrials   int           // in a row
}

// recordOutcome learns from the outcome of an attempt how its server does. Errors and rejections come fast
// and make a server look idle, so they lower its weight; only answers count as rate.
func (b *Balancer) recordOutcome(a *attempt, o Outcome) {
	s := a.server
	switch o.Result {
	case OK:
		b.updateHealth(s, b.recordAnswer(a, o.Latency))
	case TimedOut:
		if s.health.lastSignOfLife > a.sentAt && s.health.ejectedUntil == 0 {
			b.recordLatencyRatio(1)
			return // it answers others: the request is costly or the server overloaded, not faulty
		}
		b.updateHealth(s, 1)
	case Rejected:
		b.recordLatencyRatio(1)
		b.updateHealth(s, 1)
	case Failed, ConnectFailed, Reset:
		b.updateHealth(s, 1)
	default:
		s.health.isOnTrial = false
	}
}

// recordAnswer takes an answer into the averages and returns it as a sample of failure: 1 where it is too
// late to be of worth while others answer in time, else 0.
func (b *Balancer) recordAnswer(a *attempt, latency time.Duration) (failure float64) {
	usual := &b.classLatency[a.request.Class]
	objective := float64(a.request.class.LatencyObjective)
	*usual += learningRate * (float64(latency) - *usual)
	a.server.health.lastSignOfLife = b.now
	b.traffic.answers++
	b.recordOwnLatency(a.server, latency)
	b.recordLatencyRatio(float64(latency) / objective)
	if float64(latency) > max(objective, slowAnswerFactor*(*usual)) {
		return 1
	}
	return 0
}

// updateHealth takes a sample of failure, 0 or 1, into the failure ratio, and ejects or readmits the server
// by it.
func (b *Balancer) updateHealth(s *server, failure float64) {
	h := &s.health
	before := h.failureRatio
	h.failureRatio += failureSampleWeight * (failure - h.failureRatio)
	switch {
	case h.ejectedUntil > 0 && failure == 0 && (h.isOnTrial || h.failureRatio < ejectionFailureRatio):
		b.readmit(s)
		h.failureRatio = 0
		b.refresh(s)
		b.updateSuspension()
	case h.ejectedUntil == 0 && h.failureRatio > ejectionFailureRatio, h.isOnTrial:
		b.eject(s)
	case h.failureRatio != before:
		b.refresh(s)
	}
}

// missedAnswers is how many answers the server would have given, at the usual latency, since its last sign of
// life. Waiting is counted over all that is in flight: one late answer is a costly request, many are a silent
// server.
func (b *Balancer) missedAnswers(s *server) (n float64) {
	for _, a := range s.inFlight {
		if !a.isSendingBody {
			n += float64(b.now-max(a.sentAt, s.health.lastSignOfLife)) / b.classLatency[a.request.Class]
		}
	}
	return n
}

// checkSilentServers ejects servers that take requests and answer none, for longer than is usual.
func (b *Balancer) checkSilentServers() {
	for _, s := range b.requests.activeServers {
		if (s.health.ejectedUntil == 0 || s.health.isOnTrial) && b.missedAnswers(s) > maxMissedAnswers {
			b.eject(s)
		}
	}
}

// dueTrial returns the ejected server that is due for a trial and that this request may try; nil: none. Only
// a first attempt of the least harmful class is risked.
func (b *Balancer) dueTrial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Effect != b.outliers.trialEffect {
		return nil
	}
	for _, s := range b.outliers.ejected {
		if b.now < s.health.ejectedUntil {
			break // as are all that follow
		}
		if !s.health.isOnTrial && b.warmRatio(s) == 1 && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// isEjected reports whether the server is kept out as an outlier.
func (b *Balancer) isEjected(s *server) bool {
	return s.health.ejectedUntil > 0 && !b.outliers.isSuspended
}

// updateSuspension decides whether ejections count. Where most of the capacity seems faulty, the suspicion is
// what is wrong: in an overload all servers are late, and none is kept out for it.
func (b *Balancer) updateSuspension() {
	totals, mean := &b.capacity.totals, b.capacity.meanRate
	suspend := totals.healthy.At(mean) < minHealthyCapacityRatio*totals.present.At(mean)
	if suspend != b.outliers.isSuspended {
		b.outliers.isSuspended = suspend
		for _, s := range b.outliers.ejected {
			b.place(s)
		}
	}
	b.fitSubset()
}

// eject keeps a server out of the draws for a horizon, and for twice as long after each failed trial; then
// one request tries it.
func (b *Balancer) eject(s *server) {
	h := &s.health
	if h.failedTrials++; !h.isOnTrial {
		h.failedTrials = 0
	}
	b.readmit(s)
	if h.ejectedUntil = b.now + b.horizon<<min(h.failedTrials, maxEjectionDoublings); s.isListed {
		i, _ := slices.BinarySearchFunc(b.outliers.ejected, h.ejectedUntil, func(o *server, at time.Duration) int {
			return cmp.Compare(o.health.ejectedUntil, at)
		})
		b.outliers.ejected = slices.Insert(b.outliers.ejected, i, s)
	}
	b.refresh(s)
	b.updateSuspension()
}

// readmit ends the ejection of a server, if it has one. The caller refreshes it.
func (b *Balancer) readmit(s *server) {
	if s.health.ejectedUntil > 0 {
		if i := slices.Index(b.outliers.ejected, s); i >= 0 {
			b.outliers.ejected = slices.Delete(b.outliers.ejected, i, i+1)
		}
	}
	s.health.ejectedUntil, s.health.isOnTrial = 0, false
}
