package agent

import (
	"context"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/operator"
)

// fleetView answers operators who ask how this agent sees the fleet.
type fleetView struct {
	name      string
	core      *engine.Engine
	clock     engine.Clock
	snapshots *snapshotStore     // nil without Features.Recovery
	peers     *gossip.Node       // nil: no others are known
	overload  *overloadComponent // nil: overload is handled alone
}

// handler returns the function that answers the call; nil where the agent knows nothing of a fleet.
func (v fleetView) handler() func(context.Context) (operator.FleetView, error) {
	if v.snapshots == nil && v.peers == nil {
		return nil
	}
	return v.view
}

func (v fleetView) view(ctx context.Context) (operator.FleetView, error) {
	f := operator.FleetView{Agent: v.name}
	load := v.core.Stats()
	if st := load.Recovery; st != nil && v.snapshots != nil {
		r := operator.Recovery{Phase: st.Phase.String(), Why: st.Reason, DurationS: operator.Seconds(v.clock.Now() - st.Since), AdmittedRate: twoDigits(st.AdmissionRate),
			WarmRatio: twoDigits(st.WarmCapacityRatio), Servers: st.Servers, Answered: st.RespondingServers, Trials: st.Counts.Trials, FailedTrials: st.Counts.FailedTrials,
			Rejected: map[string]uint64{}, Trust: v.snapshots.trust.String(), Persistence: v.snapshots.persistence()}
		for class, n := range st.Counts.Rejected {
			if class < len(load.Counters.Classes) {
				r.Rejected[load.Counters.Classes[class]] = n
			}
		}
		f.Recovery = &r
	}
	if v.peers != nil {
		st := v.peers.Status()
		held, counts, err := v.core.ExcludedByGossip(ctx)
		if err != nil {
			return f, err
		}
		p := operator.Peers{Self: v.peers.Self(), Alive: st.Alive, Sent: st.Sent, SentBytes: st.SentBytes, Received: st.Received, Dropped: st.Dropped, ExcludedServers: held,
			Claims: counts.Accepted, ClaimsOutOfBounds: counts.OverLimit, SuspectedBy: st.Counts.Refuted, Suspecting: st.Counts.Suspected}
		for _, s := range st.States {
			p.States = append(p.States, s.String())
		}
		f.Peers = &p
	}
	if v.overload != nil {
		st, err := v.overload.status(ctx)
		if err != nil {
			return f, err
		}
		f.Overload = overloadView(st, load.Counters.Classes)
	}
	return f, nil
}

func overloadView(st overload.Status, classes []string) *operator.Overload {
	o := &operator.Overload{Trust: twoDigits(st.Trust), Limit: twoDigits(st.Limit), Capacity: twoDigits(st.Capacity), Utilization: twoDigits(st.Utilization),
		RejectedRatio: twoDigits(st.RejectedRatio), OfferedRate: twoDigits(st.Demand.Requests), AdmittedRate: twoDigits(st.Demand.Admitted), InFlight: twoDigits(st.Demand.InFlight), ServedInTimeRate: twoDigits(st.Demand.ServedInTime),
		LateOrFailedRate: twoDigits(st.Demand.LateOrFailed), RetryRate: twoDigits(st.Demand.ExtraAttempts), KnownAgents: st.Demand.KnownAgents, Classes: map[string]operator.OverloadClass{}, ExcludedServers: st.Excluded,
		DecidedLocally: st.Counts.DecidedLocally, RejectedTooLate: st.Counts.PastDeadline, SuppressedRetries: st.Counts.RejectedRetries, PayloadsSent: st.Counts.PayloadsSent, PayloadsReceived: st.Counts.View.Digests + st.Counts.View.Reports + st.Counts.View.Observations,
		ClaimsOutOfBounds: st.Counts.View.Capped, Malformed: st.Counts.View.Malformed}
	for c, chance := range st.AdmitProbabilities {
		if c < len(classes) {
			o.Classes[classes[c]] = operator.OverloadClass{FirstAttemptRate: twoDigits(st.Demand.NewRequests[c]), RetryRate: twoDigits(st.Demand.ClientRetries[c]), AdmissionProbability: twoDigits(chance),
				Rejected: st.Counts.Rejected[c][0], RejectedRetries: st.Counts.Rejected[c][1]}
		}
	}
	return o
}

// persistence returns, as text, since when the present knowledge is on disk, or why it is not.
func (s *snapshotStore) persistence() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.disabledReason != "":
		return "nothing: " + s.disabledReason
	case s.writeError != nil:
		return "not what is known now: " + s.writeError.Error()
	case s.writtenAt.IsZero():
		return "nothing yet"
	}
	return "written " + time.Since(s.writtenAt).Round(time.Millisecond).String() + " ago"
}
