package agent

import (
	"context"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/recovery"
	ondisk "appleledge/internal/fleet/snapshot"
)

const recoveryLogPoll = 100 * time.Millisecond // between two reads of the phase, for the log

// openRecovery puts the recovery ramp before the admission controller, if there is one.
func (a *assembly) openRecovery() error {
	if a.snapshots == nil {
		return nil
	}
	a.snapshots.openRecovery(a.engine, a.clock, a.cfg, a.admission, a.features.listIsCurrent(a.discovery), a.features.peerPollTime())
	a.components.add(untilAnswered, func(ctx context.Context) { a.snapshots.logRecovery(ctx, a.clock) })
	return nil
}

// openRecovery starts the recovery by how far the snapshot is trusted, and connects it to the engine, before that runs.
func (s *snapshotStore) openRecovery(core *engine.Engine, clk engine.Clock, cfg Config, next recovery.Admitter, listIsCurrent func() bool, peerPollTime time.Duration) {
	s.core = core
	site := cfg.Site.Balancer
	o := recovery.Options{Agents: site.Balancers, Self: site.Index, ColdCapacityRatio: site.SlowStartInitialRatio, WarmupTime: site.SlowStartDuration, ColdOverloadFactor: site.WarmingOverloadRatio,
		MaxRetryAfter: site.MaxRetryAfter, PeerPollTime: peerPollTime, Seed: cfg.Seed}
	for _, c := range site.Classes {
		o.Classes = append(o.Classes, recovery.Class{Name: c.Name, Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	r := recovery.New(o, next)
	baseline := s.previous.RecoveryBaseline(s.classNames(site.Classes))
	switch s.trust {
	case ondisk.TrustNames:
		r.Start(clk.Now(), baseline, "the machine has started anew")
	case ondisk.TrustEverything: // the servers have run on, as the machine has
		r.Resume(baseline)
	default:
		r.Start(clk.Now(), recovery.Baseline{}, "nothing is known from before")
	}
	core.SetRecovery(r, listIsCurrent, func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
	if s.trust != ondisk.TrustEverything { // whatever is on the disk: it may be a backup's, or of before the last that was sent
		core.FailUnknownRepeatsUntil(clk.Now() + s.repeatWindow)
	}
}

func (s *snapshotStore) classNames(classes []balancer.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// logRecovery logs each change of the phase, and the status at each interval until full service has returned.
func (s *snapshotStore) logRecovery(ctx context.Context, clk engine.Clock) {
	last, logged := recovery.Status{}, time.Duration(0)
	callEvery(ctx, recoveryLogPoll, func() {
		st := s.core.Stats().Recovery
		if st == nil {
			return
		}
		now := clk.Now()
		if st.Phase != last.Phase || st.Phase != recovery.FullService && now-logged >= s.options.LogInterval {
			logged = now
			s.log.Info("recovery", "phase", st.Phase.String(), "why", st.Reason, "let_in", twoDigits(st.AdmissionRate), "warm", twoDigits(st.WarmCapacityRatio),
				"servers", st.Servers, "answered", st.RespondingServers, "trials", st.Counts.Trials, "in_vain", st.Counts.FailedTrials)
		}
		last = *st
	})
}
