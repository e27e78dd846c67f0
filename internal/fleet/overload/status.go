package overload

import (
	"slices"
	"time"
)

// Status is how a Door stands: the fleet as it sees it, and what follows.
type Status struct {
	Trust    float64   // how far the picture is trusted; the rest the agent's own watch decides
	Limit    float64   // tries a second that the fleet lets in; 0: all are let in
	Capacity float64   // requests a second that all servers do at full use
	Use      float64   // of all servers
	Gain     float64   // by which the limit was corrected
	Chances  []float64 // by class: of a first try to be let in
	Refused  float64   // part of what the fleet is asked that is refused
	Asked    Asked
	Held     []string // servers that are held out on the word of several agents
	Counts   Counts
}

// Status returns it.
func (d *Door) Status(now time.Duration) Status {
	d.look(now)
	p := &d.plan
	st := Status{Trust: p.trust, Use: p.use, Gain: d.gain, Refused: p.refused, Asked: p.asked, Held: d.Held(now), Counts: d.counts,
		Capacity: p.capacity}
	st.Counts.Refused, st.Counts.Picture = slices.Clone(d.counts.Refused), d.picture.counts
	if p.chances != nil {
		st.Limit = p.limit
	}
	for c := range p.asked.First {
		st.Chances = append(st.Chances, p.chance(c, -1, false))
	}
	return st
}
