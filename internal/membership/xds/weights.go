package xds

import (
	"math"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// activeMembers are the members of an assignment that its priorities leave in use, with the weights that follow from them. With one
// priority in use and no weights of localities they are the endpoints' own weights, so that the health of one changes nothing
// of the others.
func (a *assignment) activeMembers() (out []engine.Member) {
	loads := a.priorityLoads()
	for p, localities := range a.priorities {
		if loads[p] == 0 && p > 0 {
			continue // in reserve
		}
		for _, l := range localities {
			scale := 1.0
			if a.hasLocalityWeights {
				scale = l.weightScale(a.overprovisioningFactor)
			}
			if loads[p] > 0 {
				scale *= loads[p]
			}
			for _, m := range l.members {
				if scale != 1 {
					m.Weight = roundToTwoDigits(m.Weight * scale)
				}
				if m.Weight == 0 {
					continue // of a locality that is to get nothing
				}
				out = append(out, m)
			}
		}
	}
	return out
}

// priorityLoads returns the shares of the requests that priorities get: each takes what its health allows of what is left.
func (a *assignment) priorityLoads() []float64 {
	loads, left, health := make([]float64, len(a.priorities)), 1.0, 0.0
	for p, localities := range a.priorities {
		all, healthy := 0, 0
		for _, l := range localities {
			all, healthy = all+len(l.members), healthy+l.healthyCount
		}
		if all == 0 {
			continue
		}
		capacity := min(1, a.overprovisioningFactor*float64(healthy)/float64(all))
		health += capacity
		loads[p] = min(left, capacity)
		left -= loads[p]
	}
	if health > 0 && health < 1 {
		for p := range loads {
			loads[p] /= health
		}
	}
	return loads
}

// weightScale brings the weights of a locality's endpoints to the locality's own weight, less as its health falls.
func (l locality) weightScale(overprovisioningFactor float64) float64 {
	sum := 0.0
	for _, m := range l.members {
		if m.State == balancer.Ready {
			sum += m.Weight
		}
	}
	if sum == 0 {
		sum = 1
	}
	return l.weight * min(1, overprovisioningFactor*float64(l.healthyCount)/float64(max(1, len(l.members)))) / sum
}

// roundToTwoDigits leaves two significant digits, so that small changes elsewhere change no member.
func roundToTwoDigits(w float64) float64 {
	if !(w > 0) {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(w))-1)
	return math.Round(w/unit) * unit
}
