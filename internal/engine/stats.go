package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/denylist"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/generation"
)

// Stats says what an engine holds and what its parts count. A part that is switched off has zero values.
type Stats struct {
	Calls    int            // open, or with attempts in flight
	InFlight map[string]int // attempts, by server
	// ForgottenEarly counts ended requests of external callers that the full outcome cache no longer remembers, before their
	// time.
	ForgottenEarly uint64
	Coalescing     coalesce.Counts
	Admission      admission.Counts
	Counters       Counters
	Balancer       balancer.Stats
	Generation     generation.Status
	Affinity       affinity.Counts
	Recovery       *recovery.Status // nil where none is switched on
}

// Stats returns what the engine holds. It waits for the engine, and returns zero values once that has ended.
func (e *Engine) Stats() Stats {
	reply := make(chan Stats, 1)
	e.Post(statsRequested{reply})
	select {
	case s := <-reply:
		return s
	case <-e.done:
		return Stats{}
	}
}

func (e *Engine) stats() Stats {
	s := Stats{Calls: len(e.calls), InFlight: e.balancer.InFlight(), Balancer: e.balancer.Stats()}
	if e.external.outcomes != nil {
		s.ForgottenEarly = e.external.outcomes.Evicted()
	}
	if e.admission != nil {
		s.Admission = e.admission.Counts()
	}
	s.Counters = e.counters.snapshot()
	if e.coalescer != nil {
		s.Coalescing = e.coalescer.table.Counts()
	}
	if e.affinity != nil {
		s.Affinity = e.affinity.table.Counts()
	}
	if e.recovery != nil {
		status := e.recovery.controller.Status(e.clock.Now())
		s.Recovery = &status
	}
	if e.generations != nil {
		s.Generation = e.generations.manager.Status(e.clock.Now())
	}
	return s
}

// EndpointCounts says what an engine's endpoint list holds.
type EndpointCounts struct {
	Listed  int // servers of the list
	Avoided int // of which operators have denied or the balancer has ejected; exclusions by gossip and drains of a configuration don't count
}

// EndpointCounts counts the servers of the list. It waits for the engine, and is for one that has a denylist.
func (e *Engine) EndpointCounts(ctx context.Context) (n EndpointCounts, err error) {
	err = e.execute(ctx, func(time.Duration) {
		n.Listed = len(e.denylist.members)
		ejected := e.balancer.Ejected()
		for id := range e.denylist.members {
			if e.denylist.set.IsDenied(id) || ejected[id] {
				n.Avoided++
			}
		}
	})
	return n, err
}

// Snapshot is what an agent has to remember over a loss of power.
type Snapshot struct {
	Members  []Member // of the endpoint list, before any overlay, by id
	Recovery recovery.Baseline
	Denylist denylist.Snapshot
}

// Snapshot returns what has to be remembered. It waits for the engine, and is for one that has a recovery.
func (e *Engine) Snapshot(ctx context.Context) (s Snapshot, err error) {
	err = e.execute(ctx, func(time.Duration) {
		members := e.recovery.members
		switch { // the first overlay's: what overlays change is stored by themselves
		case e.generations != nil:
			members = e.generations.members
		case e.denylist != nil:
			members = e.denylist.members
		}
		for _, id := range slices.Sorted(maps.Keys(members)) {
			s.Members = append(s.Members, members[id])
		}
		s.Recovery = e.recovery.controller.Baseline()
		if e.denylist != nil {
			s.Denylist = e.denylist.set.Snapshot(func(t time.Duration) int64 { return e.clock.At(t).UnixMilli() })
		}
	})
	return s, err
}
