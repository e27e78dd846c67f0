package corroborate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleet/gossip"
)

// The kinds of observations about servers, as they stand on the wire. Observation.ID is the server's ServerID.
const (
	Draining   gossip.ObservationKind = 1 // the reporter's endpoint list says that the server is draining, or removed it
	Responding gossip.ObservationKind = 2 // the server answered the reporter
)

// ServerID returns the number by which observations name the server with the given id.
func ServerID(id string) uint64 { return xxhash.Sum64String(id) }

// How many servers remote reports may exclude, as ratios of the servers on the agent's own list.
const (
	maxExcludedRatioPerAgent = 0.1
	maxExcludedRatio         = 1.0 / 3
)

// How long a report counts, from the time of the observation.
const (
	// With a confirmed list a report only bridges the time until the agent's own list catches up.
	reportTTL = 10 * time.Second
	// Before the first confirmed list reports are all that the agent knows.
	reportTTLBeforeList = gossip.ObservationTTL
	// A report that is newer than the known one by no more than this is the same observation, its age having been rounded on the wire.
	sameReportTolerance = time.Second
)

// How much is remembered, whatever other agents send.
const (
	maxReportedServers    = 4096
	maxReportersPerServer = 16
)

// Exclusions holds the drain reports of other agents and derives from them which servers to exclude. It is not safe for concurrent use.
//
// Invariants: a server is excluded only while the report of at least one agent has not expired and is within the limits for that agent
// and for all agents; a report older than the agent's own confirmation that the server is ready doesn't count.
type Exclusions struct {
	// drainReports has the time of each report on the agent's clock, by server and by reporting agent. A time may be negative: the
	// observation may be older than the agent's clock.
	drainReports    map[uint64]map[int]time.Duration
	confirmedReady  map[uint64]time.Duration // when the agent's own list last reported the server as ready
	isListConfirmed bool                     // the agent's own list was received since it started
	listSize        int                      // servers on that list
	excluded        map[uint64]bool          // result of the last Recompute
	counts          Counts
}

// Counts says what became of the reports since the Exclusions were made.
type Counts struct {
	Accepted  uint64 // reports that were new
	OverLimit uint64 // reports that were dropped, or didn't exclude their server, because of a limit
	Excluded  int    // servers that are excluded now
}

// New returns Exclusions without a report.
func New() *Exclusions {
	return &Exclusions{drainReports: map[uint64]map[int]time.Duration{}, confirmedReady: map[uint64]time.Duration{}, excluded: map[uint64]bool{}}
}

// Observe takes an observation that agent number reporter sent and reports whether it may change which servers are excluded.
// Observations of a kind other than Draining are ignored.
func (e *Exclusions) Observe(now time.Duration, reporter int, o gossip.Observation) bool {
	observedAt := now - o.Age
	if o.Kind != Draining || o.Age >= reportTTLBeforeList {
		return false
	}
	reports := e.drainReports[o.ID]
	if reports == nil {
		if len(e.drainReports) >= maxReportedServers {
			e.counts.OverLimit++
			return false
		}
		reports = map[int]time.Duration{}
		e.drainReports[o.ID] = reports
	}
	previous, isKnown := reports[reporter]
	// A report that is only repeated must not be prolonged: the server would stay excluded for as long as anybody repeats it.
	if isKnown && previous >= observedAt-sameReportTolerance {
		return false
	}
	if !isKnown && len(reports) >= maxReportersPerServer {
		return false
	}
	reports[reporter] = observedAt
	e.counts.Accepted++
	return true
}

// SetConfirmedListSize is called when the agent's own endpoint list was received, with the number of its servers. From then on reports
// count only for as long as the own list may be late.
func (e *Exclusions) SetConfirmedListSize(servers int) { e.isListConfirmed, e.listSize = true, servers }

// SetCachedListSize is called with the number of servers on a cached list, which nothing has confirmed since the agent started.
func (e *Exclusions) SetCachedListSize(servers int) { e.listSize = servers }

// MarkReady is called when the agent's own list reports a change by which the server is ready. It overrides older reports.
func (e *Exclusions) MarkReady(now time.Duration, server uint64) { e.confirmedReady[server] = now }

// Forget drops all that is known of a server that is no longer on the agent's own list.
func (e *Exclusions) Forget(server uint64) {
	delete(e.confirmedReady, server)
	delete(e.drainReports, server)
}

// report is one agent's report of one server.
type report struct {
	server     uint64
	reporter   int
	observedAt time.Duration
}

// Recompute drops expired reports and returns the servers that are excluded now, and whether they differ from those of the last call.
// The returned map belongs to the Exclusions and must not be changed.
func (e *Exclusions) Recompute(now time.Duration) (excluded map[uint64]bool, changed bool) {
	next, overLimit := e.applyLimits(e.currentReports(now))
	if changed = len(next) != len(e.excluded); !changed {
		for server := range next {
			changed = changed || !e.excluded[server]
		}
	}
	if changed && overLimit > 0 {
		e.counts.OverLimit += uint64(overLimit)
	}
	e.excluded, e.counts.Excluded = next, len(next)
	return next, changed
}

// currentReports drops the reports that have expired or were overridden and returns the others, the oldest first.
func (e *Exclusions) currentReports(now time.Duration) (current []report) {
	ttl := reportTTLBeforeList
	if e.isListConfirmed {
		ttl = reportTTL
	}
	for server, reports := range e.drainReports {
		for reporter, observedAt := range reports {
			readyAt, isConfirmed := e.confirmedReady[server]
			if now-observedAt >= ttl || isConfirmed && readyAt > observedAt {
				delete(reports, reporter)
				continue
			}
			current = append(current, report{server, reporter, observedAt})
		}
		if len(reports) == 0 {
			delete(e.drainReports, server)
		}
	}
	slices.SortFunc(current, func(x, y report) int {
		return cmp.Or(cmp.Compare(x.observedAt, y.observedAt), cmp.Compare(x.server, y.server), cmp.Compare(x.reporter, y.reporter))
	})
	return current
}

// applyLimits excludes the servers of reports in their order, as far as the limits allow. The oldest reports come first: if the newest
// did, each new report over the limit would exchange one excluded server for another, and traffic would move with every message.
func (e *Exclusions) applyLimits(reports []report) (excluded map[uint64]bool, overLimit int) {
	limitPerAgent, limit := exclusionLimit(maxExcludedRatioPerAgent, e.listSize), exclusionLimit(maxExcludedRatio, e.listSize)
	excludedByAgent := map[int]int{}
	excluded = map[uint64]bool{}
	for _, r := range reports {
		switch {
		case excluded[r.server]:
		case excludedByAgent[r.reporter] >= limitPerAgent || len(excluded) >= limit:
			overLimit++
		default:
			excludedByAgent[r.reporter]++
			excluded[r.server] = true
		}
	}
	return excluded, overLimit
}

// exclusionLimit returns how many of so many servers may be excluded at a ratio: at least one, but never the only server.
func exclusionLimit(ratio float64, servers int) int {
	if servers < 2 {
		return 0
	}
	return max(1, int(math.Floor(ratio*float64(servers))))
}

// Counts returns what became of the reports so far.
func (e *Exclusions) Counts() Counts { return e.counts }
