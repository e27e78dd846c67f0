package admission

import (
	"time"
)

// State is what a Controller takes the present for.
type State int

// The states. Their numbers are part of decision traces, and their texts are logged and scraped.
const (
	Normal     State = iota
	Suspect          // many requests are not served in time; all but retries over their budget are admitted
	Overloaded       // and that with many retries, or with hardly anything served at all
	Recovering       // answers come in time again, and the limit grows
)

// String returns the state as it is logged.
func (s State) String() string { return [...]string{"calm", "suspected", "storm", "recovering"}[s] }

// Thresholds of the state. Ratios are of the requests that ended lately, unless stated otherwise.
const (
	minCompletions = 8 // decayed count of ends that says something

	suspectFailureRatio = 0.4 // not served in time, from which the state is Suspect
	normalFailureRatio  = 0.2 // and below which it is Normal again

	minSuspectTime            = 300 * time.Millisecond
	minSuspectTimeWithRetries = 1500 * time.Millisecond // longer, as an agent's first second is rough without overload: it knows no server yet
	overloadRetryRatio        = 0.15                    // of the arrivals that are retries, from which it is overload
	overloadServedRatio       = 0.1                     // served in time, below which it is overload without retries
	overloadSilence           = 600 * time.Millisecond  // without an answer in time, after which it is too
	minOverloadTime           = time.Second
	recoveringServedRatio     = 0.5 // served in time, above which the fleet is coming back

	relapseServedRatio    = 0.3 // served in time, below which it is gone again
	recoveredFailureRatio = 0.1 // not served in time, up to which recovery is done
	minRecoveredTime      = 3 * time.Second
)

// updateState moves from state to state.
func (c *Controller) updateState(now time.Duration) {
	completions := c.servedInTime + c.notInTime
	failureRatio, retryRatio := c.notInTime/max(completions, 1), c.retries/max(c.firstAttempts+c.retries, 1)
	inState := now - c.stateSince
	switch c.state {
	case Normal:
		if completions >= minCompletions && failureRatio > suspectFailureRatio {
			c.enterState(now, Suspect, "much is not served in time")
		}
	case Suspect:
		switch {
		case completions < minCompletions || failureRatio < normalFailureRatio:
			c.enterState(now, Normal, "it passed")
		case inState >= minSuspectTimeWithRetries && failureRatio > suspectFailureRatio && retryRatio > overloadRetryRatio:
			c.enterOverload(now, "much is not served in time, and many come again")
		case inState >= minSuspectTime && failureRatio > suspectFailureRatio && now-c.lastServedInTime > overloadSilence, inState >= minSuspectTime && 1-failureRatio < overloadServedRatio:
			c.enterOverload(now, "hardly anything is served in time")
		}
	case Overloaded:
		if inState >= minOverloadTime && completions > 0 && 1-failureRatio > recoveringServedRatio {
			c.healthySince = now
			c.enterState(now, Recovering, "answers come again")
		}
	case Recovering:
		if failureRatio > recoveredFailureRatio || c.rejected > 1 {
			c.healthySince = now
		}
		switch {
		case completions >= minCompletions && 1-failureRatio < relapseServedRatio:
			c.enterOverload(now, "answers have stopped coming again")
		case now-c.healthySince >= minRecoveredTime:
			c.enterState(now, Normal, "all is served, and none turned away")
		}
	}
}

// enterState sets the state. The reason is logged.
func (c *Controller) enterState(now time.Duration, s State, reason string) {
	c.state, c.stateSince, c.stateReason = s, now, reason
}

// enterOverload begins an overload. The limit starts at what is served in time at present; its doubling ends at what is in flight in normal
// times. After a relapse from Recovering the limit stays as it is.
func (c *Controller) enterOverload(now time.Duration, reason string) {
	c.counts.Overloads++
	c.fastSamples, c.slowSamples, c.lostSamples = 0, 0, 0 // samples of hours of normal load say nothing of the limit
	if c.state == Suspect {
		c.limit = max(minLimit, c.servedInTime*limitStartShare*c.options.Classes[0].LatencyObjective.Seconds())
		c.slowGrowthThreshold, c.samplesSince = max(minLimit, c.normalInFlight), now
	}
	c.enterState(now, Overloaded, reason)
}
