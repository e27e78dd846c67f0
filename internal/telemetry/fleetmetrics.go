package telemetry

import (
	"fmt"

	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
)

// writeRecovery writes the recovery ramp after an outage; nothing where st is nil, as the agent has none.
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

// writeGossip writes what gossip knows of the other agents, section [peers] of the settings.
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

// writeOverload writes fleet-wide overload control, section [overload] of the settings.
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
