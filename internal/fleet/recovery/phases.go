package recovery

import (
	"math"
	"time"
)

// Phase is how far service has returned.
type Phase int

// The phases, in their order but for FullService, which is the first and the last. Their numbers are the values of a metric.
const (
	FullService Phase = iota // nothing is rejected here
	NoEndpoints
	PollingPeers
	TrialRequests
	TopPriority
	Ramping
)

// phaseWords are the phases in logs, metrics and operators' answers; they don't follow renamed constants.
var phaseWords = [...]string{FullService: "full", NoEndpoints: "dark", PollingPeers: "asking", TrialRequests: "trying",
	TopPriority: "worthiest", Ramping: "proving"}

// String returns the phase's word in logs, metrics and operators' answers.
func (p Phase) String() string { return phaseWords[p] }

// When a recovery begins by itself.
const (
	coldFleetRatio = 0.6 // part of the servers that have just started, from which the fleet counts as cold
	outageRatio    = 0.8 // part of the servers with a connection that broke within outageWindow, from which they count as down
	outageWindow   = time.Second
	// A single server that starts or breaks off says nothing of a common outage.
	minServersForRecovery = 2
)

// noStartRecovered is before the start of any server that is listed with one.
const noStartRecovered = time.Duration(math.MinInt64)

// When a recovery is over.
const (
	noRejectionTime    = 1500 * time.Millisecond // without a rejection, after which it may be over
	mostlyWarmRatio    = 0.9                     // ratio of warm capacity from which it is over then; a gain over 1 counts the same
	fullyWarmRatio     = 0.99                    // ratio of warm capacity from which it is over whatever is rejected
	phaseCheckInterval = 250 * time.Millisecond
)

// Start begins a recovery from what was usual before, with a reason for the log. Of the servers in the baseline it is only taken that they
// existed: whether they have started since isn't known.
func (r *Controller) Start(now time.Duration, before Baseline, reason string) {
	r.beginRecovery(now, before, reason)
	for _, s := range before.Servers {
		own := r.server(s.ID)
		own.cell, own.isReady, own.warmCapacity, own.mayRunSince = s.Cell, s.Ready, s.Capacity, now
	}
	switch {
	case len(before.Servers) == 0:
		r.enterPhase(now, NoEndpoints, reason)
	case r.options.PeerPollTime > 0:
		r.enterPhase(now, PollingPeers, reason)
	default:
		r.enterPhase(now, TrialRequests, reason)
	}
}

// beginRecovery resets what belongs to one recovery, whatever phase it begins in.
func (r *Controller) beginRecovery(now time.Duration, before Baseline, reason string) {
	r.baseline, r.startedAt, r.firstAnswerAt, r.fleetStart = before, now, 0, 0
	r.recoveredUntil = now
	r.ramp.reset(now)
	r.failedTrialsBefore = r.counts.FailedTrials
	r.counts.Recoveries++
	r.reason = reason
	for _, s := range r.serverOrder {
		s.firstAnswerAt, s.reportedAt, s.failedTrials, s.nextTrialAt, s.isTrialPending, s.peerReportedAt = 0, 0, 0, 0, false, 0
	}
}

func (r *Controller) enterPhase(now time.Duration, p Phase, reason string) {
	if r.phase != p {
		r.phase, r.phaseSince = p, now
	}
	r.reason = reason
}

// ListApplied is called when an endpoint list, or a change of it, was reported by UpdateServer. It may begin a recovery or end one.
func (r *Controller) ListApplied(now time.Duration) {
	isCold := r.coldServerRatio(now) >= coldFleetRatio
	if r.phase == FullService && isCold { // unless the last recovery was for the same start
		isCold = r.hasRestarted(now)
	}
	switch {
	case len(r.servers) == 0:
	case r.phase == FullService && isCold && len(r.servers) >= minServersForRecovery:
		r.beginRecovery(now, r.traffic.baseline(r), "the list says that most servers have just started")
		r.enterPhase(now, TrialRequests, r.reason)
		for _, s := range r.serverOrder {
			if s.effectiveStart != 0 && now-s.effectiveStart < r.options.WarmupTime {
				s.effectiveStart = 0
			}
			r.updateEffectiveStart(s)
		}
	case r.phase == NoEndpoints && !isCold:
		r.enterPhase(now, FullService, "the list says that servers are warm")
		// The list may be of before an outage: no start has been recovered from, also none before this agent's.
		r.recoveredUntil = noStartRecovered
		for _, s := range r.serverOrder {
			r.setStartMasked(s, false)
		}
	case r.phase == NoEndpoints:
		r.enterPhase(now, TrialRequests, "the list is there, and most servers have just started")
	}
}

// detectOutage begins a recovery if connections to nearly all servers broke within a moment: the servers have lost power, or the agent is
// cut off from them.
func (r *Controller) detectOutage(now time.Duration) {
	broken, all := 0.0, 0.0
	for _, s := range r.serverOrder {
		if s.isReady {
			all++
			if s.brokenAt != 0 && now-s.brokenAt < outageWindow {
				broken++
			}
		}
	}
	if all < minServersForRecovery || broken < outageRatio*all {
		return
	}
	r.beginRecovery(now, r.traffic.baseline(r), "nearly all servers broke off within a second")
	for _, s := range r.serverOrder { // the list's start times are of before the outage; whether they start again it says later
		s.isListed, s.effectiveStart = false, 0
	}
	r.enterPhase(now, TrialRequests, r.reason)
}

// Tick does what is due: it moves on to the next phase and adjusts the admission rate. Arrive calls it too.
func (r *Controller) Tick(now time.Duration) {
	switch r.phase {
	case FullService:
		r.traffic.update(now)
		return
	case PollingPeers:
		if now-r.phaseSince >= r.options.PeerPollTime {
			r.enterPhase(now, TrialRequests, r.reason)
		}
	case TrialRequests:
		if r.firstAnswerAt != 0 {
			r.ramp.refilledAt, r.ramp.checkedAt = now, now
			r.enterPhase(now, TopPriority, "a server has answered")
		}
	}
	if now-r.ramp.checkedAt < phaseCheckInterval {
		return
	}
	r.ramp.checkedAt = now
	if r.phase >= TopPriority {
		r.adjustGain(now)
		r.chooseRampPhase(now)
	}
}

// chooseRampPhase ends the recovery, or enters TopPriority or Ramping by what the highest class asks for.
func (r *Controller) chooseRampPhase(now time.Duration) {
	warm, _ := r.warmCapacity(now)
	topClassRate := r.baseline.classRate(r.classesByPriority[0])
	switch {
	case now-r.ramp.lastRejectedAt > noRejectionTime && (warm > mostlyWarmRatio || r.ramp.gain > 1):
		r.enterPhase(now, FullService, "all that is asked is let in")
	case warm > fullyWarmRatio: // to reject what is too much for a warm fleet is not a recovery's task
		r.enterPhase(now, FullService, "all servers are warm")
	case r.admissionRate(now) > topClassRate*classHeadroom:
		r.enterPhase(now, Ramping, "the worthiest class has what it asks")
	default:
		r.enterPhase(now, TopPriority, "servers have less than the worthiest class asks")
	}
}
