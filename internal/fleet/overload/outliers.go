package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

// When a server doesn't serve this agent.
const (
	maxSilence      = 600 * time.Millisecond // without a sign from a server that owes an answer
	failureDecay    = 3 * time.Second        // in which the weight of an attempt's result falls to 1/e
	minFailures     = 2
	minFailureRatio = 0.5
	recentUse       = 10 * time.Second // for which a server counts as one that this agent uses
	// With more than this part of the servers that it uses failing, it is likely the agent itself that is cut off.
	maxOwnOutlierRatio = 1.0 / 3
)

// When a server is excluded by agreement.
const (
	observationTTL   = 5 * time.Second
	minReporters     = 2           // agents that must have sent observations of it
	maxExcludedRatio = 1.0 / 3     // of the ready servers
	testersPerServer = 2           // agents that go on using an excluded server, to learn when it is well again
	healthyTTL       = time.Second // after an own successful answer, in which the server isn't excluded here
)

// attemptHealth is how a server does for this agent.
type attemptHealth struct {
	unanswered    int           // attempts that it owes an answer to
	silentSince   time.Duration // since when there is no sign from it; counts while unanswered isn't 0
	good, bad     float64       // decaying counts of attempts' results, at decayedAt
	decayedAt     time.Duration
	lastUsedAt    time.Duration // the last attempt; 0: none
	lastHealthyAt time.Duration // the last successful answer; 0: none
}

func (h *attemptHealth) decay(now time.Duration) {
	keep := math.Exp(-float64(now-h.decayedAt) / float64(failureDecay))
	h.good, h.bad, h.decayedAt = h.good*keep, h.bad*keep, now
}

func (h *attemptHealth) attemptSent(now time.Duration) {
	if h.lastUsedAt = now; h.unanswered == 0 {
		h.silentSince = now
	}
	h.unanswered++
}

func (h *attemptHealth) attemptEnded(now time.Duration, r balancer.Result) {
	h.unanswered = max(0, h.unanswered-1)
	h.decay(now)
	switch r {
	case balancer.OK:
		h.good++
		h.lastHealthyAt, h.silentSince = now, now
	case balancer.Rejected:
		h.silentSince = now
	case balancer.Failed:
		h.bad++
		h.silentSince = now
	case balancer.ConnectFailed, balancer.Reset, balancer.TimedOut:
		h.bad++
	}
}

// isOutlier reports whether the server doesn't serve this agent.
func (h *attemptHealth) isOutlier(now time.Duration) bool {
	if h.unanswered > 0 && now-h.silentSince >= maxSilence {
		return true
	}
	h.decay(now)
	return h.bad >= minFailures && h.bad >= minFailureRatio*(h.bad+h.good)
}

// applyObservation takes over that a server doesn't serve an agent, as from has sent it.
func (v *FleetView) applyObservation(now time.Duration, from int, o Observation) {
	s, observedAt := v.server(o.Server), now-o.Age
	if s == nil || o.Age >= observationTTL || o.Agent >= len(v.digests) || v.isDead[o.Agent] {
		return
	}
	for i := range s.observations {
		if known := &s.observations[i]; known.value.Agent == o.Agent {
			if observedAt > known.observedAt+ageUnit {
				known.observedAt, known.sender = observedAt, from
				v.counts.Observations++
			}
			return
		}
	}
	s.observations = slices.DeleteFunc(s.observations, func(known sample[Observation]) bool { return now-known.observedAt >= observationTTL })
	if len(s.observations) < maxObservationsPerServer {
		s.observations = append(s.observations, sample[Observation]{value: o, observedAt: observedAt, sender: from})
		v.counts.Observations++
	}
}

// observeOutliers adds this agent's own observations, unless it is likely cut off itself: it would report the whole fleet then.
func (v *FleetView) observeOutliers(now time.Duration) {
	var outliers []uint32
	used := 0
	for id, s := range v.servers {
		if s.lastUsedAt == 0 || now-s.lastUsedAt >= recentUse {
			continue
		}
		if used++; s.isOutlier(now) {
			outliers = append(outliers, id)
		}
	}
	if float64(len(outliers)) > max(1, maxOwnOutlierRatio*float64(used)) {
		return
	}
	for _, id := range outliers {
		v.applyObservation(now, v.self, Observation{Server: id, Agent: v.self})
	}
}

// excludedServers returns the servers that are excluded on the observations of several agents, sorted. The ones that were observed first
// come first when there are too many, so that the set doesn't change with each observation.
func (v *FleetView) excludedServers(now time.Duration, isReady func(uint32) bool) (ids []uint32) {
	type candidate struct {
		id    uint32
		since time.Duration
	}
	var candidates []candidate
	ready := 0
	for id, s := range v.servers {
		if !isReady(id) {
			continue
		}
		ready++
		if since, ok := v.observedSince(now, s); ok && !v.isTester(id) {
			candidates = append(candidates, candidate{id, since})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.id, y.id)) })
	for _, c := range candidates[:min(len(candidates), int(maxExcludedRatio*float64(ready)))] {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return ids
}

// observedSince returns the time of the first of the observations of a server, if enough agents sent some, this agent has had no successful
// answer of late, and nobody has had a report since the latest observation.
func (v *FleetView) observedSince(now time.Duration, s *server) (first time.Duration, ok bool) {
	latest := time.Duration(math.MinInt64)
	first = math.MaxInt64
	var senders []int // counted by who sent them here, as one agent can send observations in the name of many
	for _, o := range s.observations {
		if now-o.observedAt < observationTTL && !v.isDead[o.value.Agent] {
			first, latest = min(first, o.observedAt), max(latest, o.observedAt)
			if !slices.Contains(senders, o.sender) {
				senders = append(senders, o.sender)
			}
		}
	}
	if len(senders) < minReporters || s.lastHealthyAt != 0 && now-s.lastHealthyAt < healthyTTL {
		return 0, false
	}
	return first, s.report.observedAt <= latest
}

// isTester reports whether this agent is one of those that go on using a server while others exclude it: by rendezvous hashing over the
// agents that are alive (D. Thaler and C. Ravishankar, 1998), so that the agents needn't agree on it.
func (v *FleetView) isTester(id uint32) bool {
	own, higher := rendezvousWeight(id, v.self), 0
	for i := range v.isDead {
		if i != v.self && !v.isDead[i] && rendezvousWeight(id, i) > own {
			if higher++; higher >= testersPerServer {
				return false
			}
		}
	}
	return true
}

func rendezvousWeight(id uint32, agent int) uint64 {
	x := uint64(id)<<32 ^ uint64(agent+1)*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}
