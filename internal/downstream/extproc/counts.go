package extproc

import "sync/atomic"

// Counts are the figures that operators see. All only grow.
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

// Snapshot is a copy of the counts.
type Snapshot struct {
	Decisions       uint64 // handed over to a proxy
	Unusable        uint64 // made, but not handed over: the server drained meanwhile, or its time was over
	Served          uint64 // attempts that ended as a backend's 200
	Failed          uint64 // attempts that ended as an error which may have run
	NotRun          uint64 // attempts that ended as not processed, or with no connection
	Unknown         uint64 // attempts whose end the proxy did not tell
	Refused         uint64 // final answers: trying again is harmless
	GivenUp         uint64 // final answers: failed
	Conflicts       uint64 // streams under the id of a request that is open elsewhere
	BadInput        uint64 // requests answered with a 4xx
	StreamsRefused  uint64 // streams over the limit
	GaveUpBefore    uint64 // streams that ended before their decision was handed over
	GaveUpAfter     uint64 // and after it, with no end of the response
	UnknownHints    uint64 // endpoints in subset hints that the list does not name
	Elsewhere       uint64 // responses from another endpoint than the chosen one
	UnknownServed   uint64 // and those from one that the list does not name
	UnknownMessages uint64 // messages of kinds that this version does not know
	Observed        uint64 // streams that only watch
}

// Snapshot copies the counts.
func (c *Counts) Snapshot() Snapshot {
	return Snapshot{
		Decisions: c.decisions.Load(), Unusable: c.unusable.Load(), Served: c.served.Load(), Failed: c.failed.Load(),
		NotRun: c.notRun.Load(), Unknown: c.unknown.Load(), Refused: c.refused.Load(), GivenUp: c.gaveNothing.Load(),
		Conflicts: c.conflicts.Load(), BadInput: c.badInput.Load(), StreamsRefused: c.streamsRefused.Load(),
		GaveUpBefore: c.gaveUpBefore.Load(), GaveUpAfter: c.gaveUpAfter.Load(), UnknownHints: c.unknownHints.Load(),
		Elsewhere: c.elsewhere.Load(), UnknownServed: c.unknownServed.Load(), UnknownMessages: c.unknownMessages.Load(),
		Observed: c.observed.Load(),
	}
}

// attrs are the counts for a log line.
func (s Snapshot) attrs() []any {
	return []any{"decisions", s.Decisions, "unusable", s.Unusable, "served", s.Served, "failed", s.Failed,
		"not_run", s.NotRun, "unknown", s.Unknown, "refused", s.Refused, "given_up", s.GivenUp, "conflicts", s.Conflicts,
		"bad_input", s.BadInput, "streams_refused", s.StreamsRefused, "gave_up_before", s.GaveUpBefore,
		"gave_up_after", s.GaveUpAfter, "unknown_hints", s.UnknownHints, "elsewhere", s.Elsewhere,
		"unknown_served", s.UnknownServed, "unknown_messages", s.UnknownMessages, "observed", s.Observed}
}
