package overload

import (
	"slices"
	"time"
)

// Status is how a Door stands: the fleet as it sees it, and what follows.
type Status struct {
	Trust              float64   // how far the picture is trusted; the rest the agent's own watch decides
	Limit              float64   // tries a second that the fleet lets in; 0: all are let in
	Capacity           float64   // requests a second that all servers do at full use
	Utilization        float64   // of all servers
	Gain               float64   // by which the limit was corrected
	AdmitProbabilities []float64 // by class: of a first try to be let in
	RejectedRatio      float64   // part of what the fleet is asked that is refused
	Demand             Demand
	Excluded           []string // servers that are held out on the word of several agents
	Counts             Counts
}

// Status returns it.
func (d *AdmissionController) Status(now time.Duration) Status {
	d.look(now)
	p := &d.plan
	st := Status{Trust: p.trust, Utilization: p.use, Gain: d.gain, RejectedRatio: p.refused, Demand: p.asked, Excluded: d.ExcludedServers(now), Counts: d.counts,
		Capacity: p.capacity}
	st.Counts.Rejected, st.Counts.View = slices.Clone(d.counts.Rejected), d.picture.counts
	if p.chances != nil {
		st.Limit = p.limit
	}
	for c := range p.asked.NewRequests {
		st.AdmitProbabilities = append(st.AdmitProbabilities, p.chance(c, -1, false))
	}
	return st
}
