// Package corroborate is the one place that says what the word of other agents is worth. The rule: word may make an agent more careful at
// once, within bounds; what would make it bolder is confirmed by its own list or its own answers; no server is used that the own list
// has not named; one that lies, hangs in the past or repeats itself moves nobody further than its bound. It does no I/O and reads no
// clock.
package corroborate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleet/gossip"
)

// The kinds of facts about servers. The id is that of Server.
const (
	Draining   gossip.ObservationKind = 1 // the sender's list said that the server drains, or is gone
	Responding gossip.ObservationKind = 2 // the server answered the sender
)

// ServerID is a server's id in facts.
func ServerID(id string) uint64 { return xxhash.Sum64String(id) }

const (
	// One agent's word holds out at most this part of the servers, and that of all together the other.
	maxExcludedRatioPerAgent = 0.1
	maxExcludedRatio         = 1.0 / 3

	reportTTL             = 10 * time.Second      // for which word of a drain holds where the own list has been heard since
	reportTTLBeforeList   = gossip.ObservationTTL // and where it has not
	maxReportedServers    = 4096
	maxReportersPerServer = 16 // for one server
)

// Exclusions are the servers that are held out on the word of others. It is not safe for concurrent use.
//
// Invariants: a server is held only while some agent's word for it is fresh and within that agent's bound, and within the bound of all;
// what the own list says at a later time than the word ends it.
type Exclusions struct {
	drainReports    map[uint64]map[int]time.Duration // by server, who said it, and since when it holds
	confirmedReady  map[uint64]time.Duration         // when the own list named the server as ready last, as news
	isListConfirmed bool                             // the own list was heard in this life
	listSize        int                              // servers of the own list
	excluded        map[uint64]bool                  // as of the last Settle
	counts          Counts
}

// Counts are what was done with the word of others.
type Counts struct {
	Accepted  uint64 // that were news
	OverLimit uint64 // by a bound
	Excluded  int
}

// New returns nothing held.
func New() *Exclusions {
	return &Exclusions{drainReports: map[uint64]map[int]time.Duration{}, confirmedReady: map[uint64]time.Duration{}, excluded: map[uint64]bool{}}
}

// Observe takes another agent's word that a server drains. It reports whether that may change what is held.
func (h *Exclusions) Observe(now time.Duration, from int, f gossip.Observation) bool {
	at := now - f.Age
	if f.Kind != Draining || f.Age >= reportTTLBeforeList {
		return false
	}
	by := h.drainReports[f.ID]
	if by == nil {
		if len(h.drainReports) >= maxReportedServers {
			h.counts.OverLimit++
			return false
		}
		by = map[int]time.Duration{}
		h.drainReports[f.ID] = by
	}
	if was, said := by[from]; said && was >= at-time.Second { // the same again, which does not prolong it
		return false
	}
	if _, said := by[from]; !said && len(by) >= maxReportersPerServer {
		return false // they say the same
	}
	by[from] = at
	h.counts.Accepted++
	return true
}

// SetConfirmedListSize takes that the own list was heard, with so many servers. From then on the word of others only bridges what it is late by.
func (h *Exclusions) SetConfirmedListSize(servers int) { h.isListConfirmed, h.listSize = true, servers }

// SetCachedListSize takes how many servers the agent knows from before.
func (h *Exclusions) SetCachedListSize(servers int) { h.listSize = servers }

// MarkReady takes that the own list has news of a server, as ready: it was told later than what others said before.
func (h *Exclusions) MarkReady(now time.Duration, id uint64) {
	h.confirmedReady[id] = now
}

// Forget forgets a server that the own list names no more.
func (h *Exclusions) Forget(id uint64) {
	delete(h.confirmedReady, id)
	delete(h.drainReports, id)
}

// Recompute drops what is old and says which servers are held now. The longest told come first, so that what is held does not move
// with the latest claim.
func (h *Exclusions) Recompute(now time.Duration) (held map[uint64]bool, changed bool) {
	lasts := reportTTLBeforeList
	if h.isListConfirmed {
		lasts = reportTTL
	}
	type claim struct {
		id   uint64
		from int
		at   time.Duration
	}
	var order []claim
	for id, by := range h.drainReports {
		for from, at := range by {
			ready, named := h.confirmedReady[id]
			if now-at >= lasts || named && ready > at {
				delete(by, from)
				continue
			}
			order = append(order, claim{id, from, at})
		}
		if len(by) == 0 {
			delete(h.drainReports, id)
		}
	}
	slices.SortFunc(order, func(x, y claim) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.id, y.id), cmp.Compare(x.from, y.from))
	})
	mostOne, mostAll := exclusionLimit(maxExcludedRatioPerAgent, h.listSize), exclusionLimit(maxExcludedRatio, h.listSize)
	ofOne, next := map[int]int{}, map[uint64]bool{}
	dropped := 0
	for _, c := range order {
		switch {
		case next[c.id]:
		case ofOne[c.from] >= mostOne || len(next) >= mostAll:
			dropped++
		default:
			ofOne[c.from]++
			next[c.id] = true
		}
	}
	if changed = len(next) != len(h.excluded); !changed {
		for id := range next {
			changed = changed || !h.excluded[id]
		}
	}
	if changed && dropped > 0 {
		h.counts.OverLimit += uint64(dropped)
	}
	h.excluded, h.counts.Excluded = next, len(next)
	return next, changed
}

// bound is a part of so many servers, one at the least where there are several.
func exclusionLimit(part float64, servers int) int {
	if servers < 2 {
		return 0
	}
	return max(1, int(math.Floor(part*float64(servers))))
}

// Counts are the figures.
func (h *Exclusions) Counts() Counts { return h.counts }
