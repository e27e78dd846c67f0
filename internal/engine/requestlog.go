package engine

import (
	"log/slog"

	"appleledge/internal/balancer"
	"appleledge/internal/eventlog"
)

// UnservedReason says why a call was not served.
type UnservedReason string

// The reasons of the engine itself. Those of the balancer are in balancer.ReasonNames.
const (
	UnservedDraining         UnservedReason = "draining"          // the process ends
	UnservedExpired          UnservedReason = "expired"           // an upload's time was up, whatever it waited for
	UnservedOldSettings      UnservedReason = "old_settings"      // it was checked under settings that are not known any more
	UnservedAdmission        UnservedReason = "admission"         // the admission controller rejected it
	UnservedGeneration       UnservedReason = "generation_limit"  // a limit of the configuration in force
	UnservedDuplicateID      UnservedReason = "duplicate_id"      // another call is open, or has ended and must not run twice, under its id
	UnservedFailedBefore     UnservedReason = "failed_before"     // its final answer was given before: failed
	UnservedUnknownAttempts  UnservedReason = "unknown_attempts"  // a further attempt, and nothing is known of those before
	UnservedCapacity         UnservedReason = "capacity"          // its downstream server has no capacity
	UnservedLeaderOver       UnservedReason = "leader_over"       // of a flight: the call that led it is over, and no attempt is under way
	UnservedCoalescingExpiry UnservedReason = "coalescing_expiry" // its time was up while it waited for an equal call's answer
	UnservedUploadConsumed   UnservedReason = "upload_consumed"   // a part of its body that a retry would need is gone
	UnservedOtherServer      UnservedReason = "other_server"      // it may have run on a server that was not chosen for it
)

// SetRequestLog sets the log of single requests: why one was retried or not served. It is called before Run; without it there is none.
func (e *Engine) SetRequestLog(l *eventlog.Logger) { e.requestLog = l }

// logRetry logs why an attempt is made that is not its call's first. It is called before the attempt is counted.
func (e *Engine) logRetry(c *Call, act balancer.Action) {
	if c.attemptsMade == 0 || !e.requestLog.Enabled(slog.LevelInfo) {
		return
	}
	message, previous := "request retried", balancer.ResultNames[c.lastResult]
	if c.inFlight > 0 {
		message, previous = "request hedged", "in_flight"
	}
	e.requestLog.Log(slog.LevelInfo, message, slog.String("id", c.ID), slog.Int("class", c.Class), slog.Int("attempt", c.attemptsMade+1),
		slog.String("server", act.Server), slog.String("previous", previous), slog.Int64("age_ms", (e.clock.Now()-c.arrivedAt).Milliseconds()))
}

// logUnserved logs why a call is not served.
func (e *Engine) logUnserved(c *Call, a Answer) {
	if a.Kind == Served || c.leader != nil || !e.requestLog.Enabled(slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("id", c.ID), slog.Int("class", c.Class), slog.String("answer", AnswerKinds[a.Kind]),
		slog.String("reason", string(a.Reason)), slog.Int("attempts", c.attemptsMade), slog.Int64("age_ms", (e.clock.Now() - c.arrivedAt).Milliseconds())}
	if c.attemptsEnded > 0 {
		attrs = append(attrs, slog.String("previous", balancer.ResultNames[c.lastResult]))
	}
	if c.inFlight > 0 && c.latestAttempt != nil {
		attrs = append(attrs, c.latestAttempt.progress(e.clock.Now())...)
	}
	e.requestLog.Log(slog.LevelInfo, "request not served", attrs...)
}

// logLeaderOver logs that the call is over which leads a flight that others wait for.
func (e *Engine) logLeaderOver(flight *Call, isUnderWay bool) {
	if !e.requestLog.Enabled(slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("id", flight.ID), slog.Int("class", flight.Class), slog.Int("attempts", flight.attemptsMade),
		slog.Int("in_flight", flight.inFlight), slog.Bool("under_way", isUnderWay)}
	if flight.inFlight > 0 && flight.latestAttempt != nil {
		attrs = append(attrs, flight.latestAttempt.progress(e.clock.Now())...)
	}
	e.requestLog.Log(slog.LevelInfo, "leader of joined requests is over", attrs...)
}
