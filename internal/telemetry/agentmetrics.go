package telemetry

import (
	"fmt"
	"maps"
	"slices"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/connlimit"
	"appleledge/internal/engine"
	"appleledge/internal/generation"
	"appleledge/internal/upstream/connpool"
)

// writePool writes the connections to servers.
func (s *Server) writePool(p metricsWriter, c connpool.Stats) {
	p.gauge("appleledge_connections", `state="in_use"`, float64(c.Open-c.Idle))
	p.gauge("appleledge_connections", `state="idle"`, float64(c.Idle))
	for name, n := range map[string]uint64{"dials": c.Dials, "failed_dials": c.FailedDials, "reused": c.Reused, "found_dead": c.Dead, "no_room": c.Exhausted} {
		p.counter("appleledge_connections_"+name+"_total", "", n)
	}
}

// writeClientCloses writes why connections of clients were closed, and how many closes took a request with them.
func (s *Server) writeClientCloses(p metricsWriter) {
	if s.ClientCloses == nil {
		return
	}
	if s.PacedCount != nil {
		p.counter("appleledge_client_requests_paced_total", "", s.PacedCount())
	}
	closes := s.ClientCloses()
	for reason, name := range connlimit.CloseReasonNames {
		p.counter("appleledge_client_connections_closed_total", fmt.Sprintf("reason=%q", name), closes.ByReason[reason])
	}
	p.counter("appleledge_client_connections_closed_refused_total", "", closes.Refused)
	p.counter("appleledge_client_connections_closed_refused_requests_total", "", closes.RefusedRequests)
	p.counter("appleledge_client_connections_closed_unread_total", "", closes.Unread)
	p.counter("appleledge_client_connections_closed_unanswered_total", "", closes.Unanswered)
}

// writeRequests writes answers and latencies by class, and attempts by result.
func (s *Server) writeRequests(p metricsWriter, t engine.Counters) {
	for class, counts := range t.Answers {
		name := t.Classes[class]
		for kind, n := range counts {
			p.counter("appleledge_answers_total", fmt.Sprintf("class=%q,kind=%q", name, engine.AnswerKinds[kind]), n)
		}
		p.counter("appleledge_clients_left_total", fmt.Sprintf("class=%q", name), t.Left[class])
		if class >= len(t.Latencies) {
			continue // no latencies of this class are kept
		}
		times := t.Latencies[class]
		for _, q := range slices.Sorted(maps.Keys(times.Quantiles)) {
			p.gauge("appleledge_served_seconds", fmt.Sprintf(`class=%q,quantile="%v"`, name, q), times.Quantiles[q].Seconds())
		}
		p.gauge("appleledge_served_seconds_sum", fmt.Sprintf("class=%q", name), times.Sum.Seconds())
		p.counter("appleledge_served_seconds_count", fmt.Sprintf("class=%q", name), times.Count)
	}
	for kind, n := range t.Sends {
		p.counter("appleledge_sends_total", fmt.Sprintf("kind=%q", engine.SendKinds[kind]), n)
	}
	p.counter("appleledge_sends_cold_total", "", t.SlowStart)
	for why, n := range t.GivenUp {
		p.counter("appleledge_given_up_total", fmt.Sprintf("reason=%q", balancer.ReasonNames[why]), n)
	}
	for result, n := range t.Attempts {
		p.counter("appleledge_attempts_total", fmt.Sprintf("result=%q", balancer.ResultNames[result]), n)
	}
}

// writeWithheldRepeats writes what was not repeated because no server was sure to recognize the repeat, and what was begun and
// not completed because its server did not read.
func (s *Server) writeWithheldRepeats(p metricsWriter, b balancer.Stats) {
	for kind, n := range map[string]uint64{"retry": b.WithheldRetries, "hedge": b.WithheldHedges, "unread": b.UnreadRepeats} {
		p.counter("appleledge_repeats_withheld_total", fmt.Sprintf("kind=%q", kind), n)
	}
}

// writeCoalescing writes the counts of coalesced requests, section [join] of the settings.
func (s *Server) writeCoalescing(p metricsWriter, l engine.Stats) {
	c := l.Coalescing
	for name, n := range map[string]uint64{"flights": c.Flights, "joined": c.Followers, "alone": c.NotCoalesced, "parted": c.LateFlights,
		"again": c.NextFlights, "private": c.Private, "leaderless": c.Leaderless, "shared": c.Shared} {
		p.counter("appleledge_join_"+name+"_total", "", n)
	}
	p.gauge("appleledge_join_waiting", "", float64(c.Waiting))
	p.gauge("appleledge_join_groups", "", float64(c.Groups))
}

// writeAdmission writes the state and the rejections of admission control, section [storm] of the settings.
func (s *Server) writeAdmission(p metricsWriter, c admission.Counts, classes []string) {
	for state := admission.Normal; state <= admission.Recovering; state++ {
		p.gauge("appleledge_storm_state", fmt.Sprintf("state=%q", state), boolValue(c.State == state))
	}
	p.counter("appleledge_storms_total", "", c.Overloads)
	p.gauge("appleledge_storm_limit", "", c.Limit)
	p.gauge("appleledge_storm_in_flight", "", float64(c.InFlight))
	p.counter("appleledge_storm_too_late_total", "", c.TooLate)
	p.counter("appleledge_storm_bound_total", "", c.OverLimit)
	for class, n := range c.Rejected {
		p.counter("appleledge_storm_refused_total", fmt.Sprintf(`class=%q,try="first"`, classes[class]), n[0])
		p.counter("appleledge_storm_refused_total", fmt.Sprintf(`class=%q,try="again"`, classes[class]), n[1])
	}
}

// writeGeneration writes the configuration generation in force and what became of others.
func (s *Server) writeGeneration(p metricsWriter, g generation.Status) {
	p.gauge("appleledge_generation", "", float64(g.Number))
	p.gauge("appleledge_generation_watched", "", boolValue(g.IsWatched))
	p.gauge("appleledge_generation_drained", "", float64(g.DrainingServers))
	p.gauge("appleledge_generation_barred", "", float64(g.BlockedConfigs))
	p.counter("appleledge_generation_refused_total", "", g.RejectedRequests)
	for _, what := range []string{generation.EventApplied, generation.EventPromoted, generation.EventRolledBack, generation.EventHarmFound} {
		p.counter("appleledge_generation_changes_total", fmt.Sprintf("what=%q", what), g.EventCounts[what])
	}
}

// writeAffinity writes the sticky bindings, section [affinity] of the settings.
func (s *Server) writeAffinity(p metricsWriter, c affinity.Counts) {
	p.gauge("appleledge_ties", "", float64(c.Entries))
	for name, n := range map[string]uint64{"tied": c.Hits, "lost": c.PodUnknown, "overflowed": c.Overflowed, "evicted": c.Evicted,
		"unprotected": c.Unprotected, "undurable": c.NotDurable, "restored": c.Restored} {
		p.counter("appleledge_ties_"+name+"_total", "", n)
	}
}
