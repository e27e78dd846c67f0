// Package telemetry shows what an agent counts as Prometheus text, at a listener of its own. Each figure is kept once, by
// the engine and the pool, and read when it is asked for.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/netutil"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/generation"
	"appleledge/internal/upstream/connpool"
)

const (
	ioTimeout       = 2 * time.Second // for a request's head, and for an answer to be taken
	maxConnections  = 4               // connections; more wait
	maxServerSeries = 1000            // of which the attempts in flight are shown one by one
)

// MaxDescriptors is how many descriptors a Server needs at the most.
const MaxDescriptors = maxConnections + 1

// Server shows the figures of an agent.
type Server struct {
	Engine   *engine.Engine
	Pool     *connpool.Pool
	Gossip   func() *gossip.Status   // nil, or returning nil: the agent knows of no others
	Overload func() *overload.Status // nil, or returning nil: overload is handled alone
	Log      *slog.Logger
}

// Serve answers GET /metrics until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		s.Write(w)
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a rude peer must not flood the log
	stopped := context.AfterFunc(ctx, func() { besteffort.Close(srv) })
	defer stopped()
	s.Log.Info("telemetry listening", "addr", l.Addr().String())
	if err := srv.Serve(netutil.LimitListener(l, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving telemetry: %w", err)
	}
	return nil
}

// Write writes all figures in Prometheus' text format.
func (s *Server) Write(w io.Writer) {
	stats := s.Engine.Stats()
	page := metricsWriter{w}
	page.gauge("appleledge_ready", "", boolValue(s.Engine.Ready()))
	page.gauge("appleledge_calls", "", float64(stats.Calls))
	s.writePool(page, s.Pool.Stats())
	for i, id := range slices.Sorted(maps.Keys(stats.InFlight)) {
		if i == maxServerSeries {
			break
		}
		page.gauge("appleledge_attempts_in_flight", fmt.Sprintf("server=%q", id), float64(stats.InFlight[id]))
	}
	s.writeRequests(page, stats.Counters)
	s.writeCoalescing(page, stats)
	s.writeAdmission(page, stats.Admission, stats.Counters.Classes)
	s.writeGeneration(page, stats.Generation)
	s.writeAffinity(page, stats.Affinity)
	s.writeRecovery(page, stats.Recovery, stats.Counters.Classes)
	s.writeGossip(page)
	s.writeOverload(page, stats.Counters.Classes)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) writePool(p metricsWriter, c connpool.Stats) {
	p.gauge("appleledge_connections", `state="in_use"`, float64(c.Open-c.Idle))
	p.gauge("appleledge_connections", `state="idle"`, float64(c.Idle))
	for name, n := range map[string]uint64{"dials": c.Dials, "failed_dials": c.FailedDials, "reused": c.Reused, "found_dead": c.Dead, "no_room": c.Exhausted} {
		p.counter("appleledge_connections_"+name+"_total", "", n)
	}
}

func (s *Server) writeRequests(p metricsWriter, t engine.Counters) {
	for class, counts := range t.Answers {
		name := t.Classes[class]
		for kind, n := range counts {
			p.counter("appleledge_answers_total", fmt.Sprintf("class=%q,kind=%q", name, engine.AnswerKinds[kind]), n)
		}
		p.counter("appleledge_clients_left_total", fmt.Sprintf("class=%q", name), t.Left[class])
		if class >= len(t.Latencies) {
			continue // nobody has asked for times
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

func (s *Server) writeCoalescing(p metricsWriter, l engine.Stats) {
	c := l.Coalescing
	for name, n := range map[string]uint64{"flights": c.Flights, "joined": c.Followers, "alone": c.NotCoalesced, "parted": c.LateFlights,
		"again": c.NextFlights, "private": c.Private, "shared": c.Shared} {
		p.counter("appleledge_join_"+name+"_total", "", n)
	}
	p.gauge("appleledge_join_waiting", "", float64(c.Waiting))
	p.gauge("appleledge_join_groups", "", float64(c.Groups))
}

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

func (s *Server) writeAffinity(p metricsWriter, c affinity.Counts) {
	p.gauge("appleledge_ties", "", float64(c.Entries))
	for name, n := range map[string]uint64{"tied": c.Hits, "lost": c.PodUnknown, "overflowed": c.Overflowed, "evicted": c.Evicted,
		"unprotected": c.Unprotected, "undurable": c.NotDurable, "restored": c.Restored} {
		p.counter("appleledge_ties_"+name+"_total", "", n)
	}
}

func (s *Server) writeRecovery(p metricsWriter, st *recovery.Status, classes []string) {
	if st == nil {
		return
	}
	for phase := recovery.FullService; phase <= recovery.Ramping; phase++ {
		p.gauge("appleledge_recovery_phase", fmt.Sprintf("phase=%q", phase), boolValue(st.Phase == phase))
	}
	p.gauge("appleledge_recovery_let_in_per_second", "", st.AdmissionRate)
	p.gauge("appleledge_recovery_warm", "", st.WarmCapacityRatio)
	p.gauge("appleledge_recovery_servers", `state="known"`, float64(st.Servers))
	p.gauge("appleledge_recovery_servers", `state="answered"`, float64(st.RespondingServers))
	p.counter("appleledge_recoveries_total", "", st.Counts.Recoveries)
	p.counter("appleledge_recovery_trials_total", "", st.Counts.Trials)
	p.counter("appleledge_recovery_trials_in_vain_total", "", st.Counts.FailedTrials)
	for class, n := range st.Counts.Rejected {
		if class < len(classes) {
			p.counter("appleledge_recovery_refused_total", fmt.Sprintf("class=%q", classes[class]), n)
		}
	}
}

func (s *Server) writeGossip(p metricsWriter) {
	if s.Gossip == nil {
		return
	}
	st := s.Gossip()
	if st == nil {
		return
	}
	states := map[gossip.State]int{}
	for _, state := range st.States {
		states[state]++
	}
	for state := gossip.Unknown; state <= gossip.Left; state++ {
		p.gauge("appleledge_peers", fmt.Sprintf("state=%q", state), float64(states[state]))
	}
	p.gauge("appleledge_peers_listening", "", boolValue(st.Listening))
	p.counter("appleledge_peer_datagrams_sent_total", "", st.Sent)
	p.counter("appleledge_peer_bytes_sent_total", "", st.SentBytes)
	p.counter("appleledge_peer_datagrams_taken_total", "", st.Received)
	for why, n := range st.Dropped {
		p.counter("appleledge_peer_datagrams_dropped_total", fmt.Sprintf("reason=%q", why), n)
	}
	p.counter("appleledge_peer_probes_total", "", st.Counts.Probes)
	p.counter("appleledge_peer_probes_unanswered_total", "", st.Counts.Unanswered)
	p.counter("appleledge_peer_suspected_total", "", st.Counts.Suspected)
	p.counter("appleledge_peer_refuted_total", "", st.Counts.Refuted)
}

func (s *Server) writeOverload(p metricsWriter, classes []string) {
	if s.Overload == nil {
		return
	}
	st := s.Overload()
	if st == nil {
		return
	}
	p.gauge("appleledge_overload_trust", "", st.Trust)
	p.gauge("appleledge_overload_agents_heard_of", "", float64(st.Demand.KnownAgents))
	p.gauge("appleledge_overload_use", "", st.Utilization)
	for name, rate := range map[string]float64{"capacity": st.Capacity, "limit": st.Limit, "asked": st.Demand.Requests, "let_in": st.Demand.Admitted,
		"in_time": st.Demand.ServedInTime, "late": st.Demand.LateOrFailed, "further": st.Demand.ExtraAttempts} {
		p.gauge("appleledge_overload_fleet_per_second", fmt.Sprintf("what=%q", name), rate)
	}
	for c, chance := range st.AdmitProbabilities {
		if c < len(classes) {
			p.gauge("appleledge_overload_chance", fmt.Sprintf("class=%q", classes[c]), chance)
			p.counter("appleledge_overload_refused_total", fmt.Sprintf(`class=%q,try="first"`, classes[c]), st.Counts.Rejected[c][0])
			p.counter("appleledge_overload_refused_total", fmt.Sprintf(`class=%q,try="again"`, classes[c]), st.Counts.Rejected[c][1])
		}
	}
	p.gauge("appleledge_overload_held_out", "", float64(len(st.Excluded)))
	p.counter("appleledge_overload_decided_alone_total", "", st.Counts.DecidedLocally)
	p.counter("appleledge_overload_unsent_total", "", st.Counts.RejectedRetries)
	p.counter("appleledge_overload_told_total", "", st.Counts.PayloadsSent)
	p.counter("appleledge_overload_claims_bounded_total", "", st.Counts.View.Capped)
	p.counter("appleledge_overload_malformed_total", "", st.Counts.View.Malformed)
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// page is a page of figures.
type metricsWriter struct{ io.Writer }

func (p metricsWriter) gauge(name, labels string, x float64) {
	metrics.WriteGaugeFloat64(p, series(name, labels), x)
}
func (p metricsWriter) counter(name, labels string, n uint64) {
	metrics.WriteCounterUint64(p, series(name, labels), n)
}

func series(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}
