package overload

import (
	"math"
	"time"
)

// How servers' reports are weighed.
const (
	utilizationDecay       = 400 * time.Millisecond // in which a report's weight in the mean utilization falls to 1/e
	maxRemoteCapacityRatio = 2                      // times the capacity that own answers have shown, that others may report of a server
)

// fleetLoad is what the servers can do and how busy they are.
type fleetLoad struct {
	capacity    float64 // requests a second of all ready servers at full utilization; 0: not known
	utilization float64 // the mean, the latest reports weighing most
	recency     float64 // how recent that is, from 0 to 1: the mean weight of a report
	knownRatio  float64 // part of the ready servers with a report that counts
}

// fleetCapacity adds up the reports of the ready servers. Servers whose capacity nobody knows count as the mean of the others.
func (v *FleetView) fleetCapacity(now time.Duration, isReady func(uint32) bool) fleetLoad {
	limit := v.remoteCapacityLimit()
	var ready, reporting, capacity, withCapacity, utilization, weights float64
	for _, id := range v.serverOrder {
		s := v.servers[id]
		if !isReady(id) {
			continue
		}
		ready++
		age := now - s.report.observedAt
		if s.report.observedAt == 0 || age >= reportTTL {
			continue
		}
		reporting++
		if c := s.report.value.Capacity; c > 0 && limit > 0 {
			capacity += v.boundedCapacity(s, c, limit)
			withCapacity++
		}
		weight := math.Exp(-float64(age) / float64(utilizationDecay))
		utilization, weights = utilization+weight*s.report.value.Utilization, weights+weight
	}
	load := fleetLoad{utilization: utilization / max(weights, math.SmallestNonzeroFloat64), recency: weights / max(reporting, 1),
		knownRatio: reporting / max(ready, 1)}
	if withCapacity > 0 {
		load.capacity = capacity * reporting / withCapacity
	}
	return load
}

// remoteCapacityLimit returns the capacity that others may report of a server that hasn't answered this agent; 0 if no server has. Without
// that bound one agent could make all others believe in strong servers and admit too much.
func (v *FleetView) remoteCapacityLimit() float64 {
	sum, servers := 0.0, 0.0
	for _, id := range v.serverOrder {
		if s := v.servers[id]; s.ownCapacity > 0 {
			sum, servers = sum+s.ownCapacity, servers+1
		}
	}
	if servers == 0 {
		return 0
	}
	return maxRemoteCapacityRatio * sum / servers
}

// boundedCapacity returns the reported capacity of a server within what own answers have shown of it, or else of the others.
func (v *FleetView) boundedCapacity(s *server, reported, limit float64) float64 {
	if s.ownCapacity > 0 {
		limit = maxRemoteCapacityRatio * s.ownCapacity
	}
	if reported > limit {
		v.counts.Capped++
		return limit
	}
	return reported
}
