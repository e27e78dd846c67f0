package overload

import (
	"math"
	"time"
)

// How busy servers are to be.
const (
	maxTargetUtilization  = 0.85 // while hardly any answer is late,
	lateTargetUtilization = 0.72 // and from fewLateRatio on
	fewLateRatio          = 0.03 // of the fleet's answers
)

// How the limit is corrected. Rates are a second, of the logarithm of the gain.
const (
	utilizationGainRate       = 0.4 // for the whole of the utilization that servers lack or have too much
	latenessGainRate          = 0.4 // for all answers over maxLateRatio
	maxLateRatio              = 0.1 // of the fleet's answers
	minUtilizationForLateness = 0.5 // from which late answers count: below it they were sent before the overload ended
	minOwnInTimeRatio         = 0.8 // of the own requests, for the gain to rise
	minGain                   = 0.5
	maxGain                   = 8
	gainReturnRate            = 0.1 // of the way back to 1, while nothing is rejected
)

// targetUtilization returns how busy servers are to be, where such a part of the answers is late.
func targetUtilization(lateRatio float64) float64 {
	return maxTargetUtilization - (maxTargetUtilization-lateTargetUtilization)*min(1, lateRatio/fewLateRatio)
}

// adjustGain corrects the limit by what it brings: down where servers are full or answers late; up, while requests are rejected, only if
// the agent's own answers are in time. What it goes by is as late as gossip and an answer, 1 to 2 s, and the rates are below what a control
// loop with that delay bears; see docs/design/overload.md.
func (d *AdmissionController) adjustGain(now time.Duration, utilization float64, demand Demand) {
	seconds := min(now-d.gainAdjustedAt, maxPlanStep).Seconds()
	d.gainAdjustedAt = now
	if d.plan.rejectedRatio == 0 {
		d.gain += (1 - d.gain) * min(1, gainReturnRate*seconds)
		return
	}
	lateRatio := demand.lateRatio()
	lateWeight := min(max((utilization-minUtilizationForLateness)/(lateTargetUtilization-minUtilizationForLateness), 0), 1)
	rate := utilizationGainRate*(targetUtilization(lateRatio)-utilization) - latenessGainRate*lateWeight*max(0, lateRatio-maxLateRatio)
	isConfirmed := now-d.ownEndedAt < ownAnswersDecay && d.ownInTime >= minOwnInTimeRatio*(d.ownInTime+d.ownLate)
	if rate > 0 && !isConfirmed {
		return
	}
	d.gain = min(max(d.gain*math.Exp(rate*seconds), minGain), maxGain)
}
