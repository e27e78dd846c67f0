package extproc

import "sync/atomic"

// Counts are the server's counters. All only grow; they are safe for concurrent use. Their keys in the log are in
// Snapshot.attrs and must not change.
type Counts struct {
	decisions, unusable             atomic.Uint64
	served, failed, notRun, unknown atomic.Uint64
	refused, gaveNothing, conflicts atomic.Uint64
	badInput, streamsRefused        atomic.Uint64
	gaveUpBefore, gaveUpAfter       atomic.Uint64
	unknownHints, elsewhere         atomic.Uint64
	unknownServed, unknownMessages  atomic.Uint64
	observed                        atomic.Uint64
}

// Snapshot is a copy of the counters.
type Snapshot struct {
	Decisions               uint64 // handed over to a proxy
	DecisionsRejected       uint64 // made, but not handed over: the backend drained meanwhile, or the deadline was too near
	Served                  uint64 // attempts that ended as a backend's 200
	Failed                  uint64 // attempts that ended as an error which may have run
	NotProcessed            uint64 // attempts that ended as not processed, or with no connection
	Unknown                 uint64 // attempts whose end the proxy did not report
	Rejected                uint64 // final answers: a retry is harmless
	Abandoned               uint64 // final answers: failed
	Conflicts               uint64 // streams with the id of a request that is open on another stream
	BadInput                uint64 // requests answered with a 4xx
	StreamsRejected         uint64 // streams over the limit
	AbandonedBeforeDecision uint64 // streams that ended before their decision was handed over
	AbandonedAfterDecision  uint64 // streams that ended after it, without the end of the response
	UnknownHints            uint64 // endpoints in subset hints that are not in the endpoint list
	ServedElsewhere         uint64 // responses from another endpoint than the chosen one
	UnknownServed           uint64 // of these, from one that is not in the endpoint list
	UnknownMessages         uint64 // messages of kinds that this version does not know
	ObserveOnly             uint64 // streams in observability mode
}

// Snapshot copies the counters, each by itself: the copy is not of one instant.
func (c *Counts) Snapshot() Snapshot {
	return Snapshot{
		Decisions: c.decisions.Load(), DecisionsRejected: c.unusable.Load(), Served: c.served.Load(), Failed: c.failed.Load(),
		NotProcessed: c.notRun.Load(), Unknown: c.unknown.Load(), Rejected: c.refused.Load(), Abandoned: c.gaveNothing.Load(),
		Conflicts: c.conflicts.Load(), BadInput: c.badInput.Load(), StreamsRejected: c.streamsRefused.Load(),
		AbandonedBeforeDecision: c.gaveUpBefore.Load(), AbandonedAfterDecision: c.gaveUpAfter.Load(), UnknownHints: c.unknownHints.Load(),
		ServedElsewhere: c.elsewhere.Load(), UnknownServed: c.unknownServed.Load(), UnknownMessages: c.unknownMessages.Load(),
		ObserveOnly: c.observed.Load(),
	}
}

// attrs returns the counters as log attributes.
func (s Snapshot) attrs() []any {
	return []any{"decisions", s.Decisions, "unusable", s.DecisionsRejected, "served", s.Served, "failed", s.Failed,
		"not_run", s.NotProcessed, "unknown", s.Unknown, "refused", s.Rejected, "given_up", s.Abandoned, "conflicts", s.Conflicts,
		"bad_input", s.BadInput, "streams_refused", s.StreamsRejected, "gave_up_before", s.AbandonedBeforeDecision,
		"gave_up_after", s.AbandonedAfterDecision, "unknown_hints", s.UnknownHints, "elsewhere", s.ServedElsewhere,
		"unknown_served", s.UnknownServed, "unknown_messages", s.UnknownMessages, "observed", s.ObserveOnly}
}
