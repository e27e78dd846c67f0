package agent

import (
	"context"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/operator"
)

// fleetView is the fleet as this agent sees it.
type fleetView struct {
	name  string
	core  *engine.Engine
	clock engine.Clock
	keep  *keeping     // nil: nothing is kept
	peers *gossip.Node // nil: no others are known
	share *sharing     // nil: overload is handled alone
}

// calls is what operators may ask; nil where there is nothing to see.
func (v fleetView) calls() func(context.Context) (operator.FleetView, error) {
	if v.keep == nil && v.peers == nil {
		return nil
	}
	return v.see
}

func (v fleetView) see(ctx context.Context) (operator.FleetView, error) {
	f := operator.FleetView{Agent: v.name}
	load := v.core.Stats()
	if st := load.Recovery; st != nil && v.keep != nil {
		r := operator.Recovery{Phase: st.Phase.String(), Why: st.Reason, DurationS: operator.Seconds(v.clock.Now() - st.Since), AdmittedRate: rounded(st.AdmissionRate),
			WarmRatio: rounded(st.WarmCapacityRatio), Servers: st.Servers, Answered: st.RespondingServers, Trials: st.Counts.Trials, FailedTrials: st.Counts.FailedTrials,
			Rejected: map[string]uint64{}, Trust: v.keep.trust.String(), Persistence: v.keep.standing()}
		for class, n := range st.Counts.Rejected {
			if class < len(load.Counters.Classes) {
				r.Rejected[load.Counters.Classes[class]] = n
			}
		}
		f.Recovery = &r
	}
	if v.peers != nil {
		st := v.peers.Status()
		held, counts, err := v.core.HeldByGossip(ctx)
		if err != nil {
			return f, err
		}
		p := operator.Peers{Self: v.peers.Self(), Alive: st.Alive, Sent: st.Sent, Bytes: st.SentBytes, Received: st.Received, Dropped: st.Dropped, ExcludedServers: held,
			Claims: counts.Accepted, ClaimsOutOfBounds: counts.OverLimit, SuspectedBy: st.Counts.Refuted, Suspecting: st.Counts.Suspected}
		for _, s := range st.States {
			p.States = append(p.States, s.String())
		}
		f.Peers = &p
	}
	if v.share != nil {
		st, err := v.share.status(ctx)
		if err != nil {
			return f, err
		}
		f.Overload = overloadOf(st, load.Counters.Classes)
	}
	return f, nil
}

func overloadOf(st overload.Status, classes []string) *operator.Overload {
	o := &operator.Overload{Trust: rounded(st.Trust), Limit: rounded(st.Limit), Capacity: rounded(st.Capacity), Utilization: rounded(st.Utilization),
		RejectedRatio: rounded(st.RejectedRatio), OfferedRate: rounded(st.Demand.Requests), AdmittedRate: rounded(st.Demand.Admitted), InFlight: rounded(st.Demand.InFlight), ServedInTimeRate: rounded(st.Demand.ServedInTime),
		LateOrFailedRate: rounded(st.Demand.LateOrFailed), RetryRate: rounded(st.Demand.ExtraAttempts), KnownAgents: st.Demand.KnownAgents, Classes: map[string]operator.OverloadClass{}, ExcludedServers: st.Excluded,
		DecidedAlone: st.Counts.DecidedLocally, RejectedTooLate: st.Counts.PastDeadline, SuppressedRetries: st.Counts.RejectedRetries, DigestsSent: st.Counts.PayloadsSent, DigestsReceived: st.Counts.View.Digests + st.Counts.View.Reports + st.Counts.View.Observations,
		ClaimsOutOfBounds: st.Counts.View.Capped, Malformed: st.Counts.View.Malformed}
	for c, chance := range st.AdmitProbabilities {
		if c < len(classes) {
			o.Classes[classes[c]] = operator.OverloadClass{FirstAttemptRate: rounded(st.Demand.NewRequests[c]), RetryRate: rounded(st.Demand.ClientRetries[c]), AdmissionProbability: rounded(chance),
				Rejected: st.Counts.Rejected[c][0], RejectedRetries: st.Counts.Rejected[c][1]}
		}
	}
	return o
}

// standing says since when what is known is on disk, or why it is not.
func (k *keeping) standing() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.off != "":
		return "nothing: " + k.off
	case k.trouble != nil:
		return "not what is known now: " + k.trouble.Error()
	case k.written.IsZero():
		return "nothing yet"
	}
	return "written " + time.Since(k.written).Round(time.Millisecond).String() + " ago"
}
