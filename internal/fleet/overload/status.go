package overload

import (
	"slices"
	"time"
)

// Status is how an AdmissionController sees the fleet, and what it makes of that.
type Status struct {
	Trust              float64   // part of the requests for which the fleet's plan decides; the local controller decides for the rest
	Limit              float64   // requests a second that the fleet may admit; 0: all are admitted
	Capacity           float64   // requests a second of all servers at full utilization
	Utilization        float64   // of all servers
	Gain               float64   // by which the limit is corrected
	AdmitProbabilities []float64 // of a first attempt, by class
	RejectedRatio      float64   // part of the fleet's demand that is rejected
	Demand             Demand
	Excluded           []string // servers that are excluded on the observations of several agents
	Counts             Counts
}

// Status returns the present status. Its slices of counts belong to the caller; those of Demand must not be changed.
func (d *AdmissionController) Status(now time.Duration) Status {
	d.refreshPlan(now)
	p := &d.plan
	st := Status{Trust: p.trust, Utilization: p.utilization, Gain: d.gain, RejectedRatio: p.rejectedRatio, Demand: p.demand,
		Excluded: d.ExcludedServers(now), Counts: d.counts, Capacity: p.capacity}
	st.Counts.Rejected, st.Counts.View = slices.Clone(d.counts.Rejected), d.view.counts
	if p.admitProbabilities != nil {
		st.Limit = p.limit
	}
	for c := range p.demand.NewRequests {
		st.AdmitProbabilities = append(st.AdmitProbabilities, p.admitProbability(c, -1, false))
	}
	return st
}
