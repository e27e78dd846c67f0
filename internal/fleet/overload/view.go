package overload

import (
	"slices"
	"time"
)

// What is remembered of others' payloads.
const (
	digestTTL                = 4 * time.Second // for which a digest counts
	reportTTL                = 3 * time.Second // and a server's report
	maxServers               = 4096
	maxObservationsPerServer = 6
)

// urgentUtilization is the utilization from which a server that reaches it is reported without delay.
const urgentUtilization = 0.85

// FleetView is the fleet as one agent sees it: the latest digest of each agent, and the latest report and the observations of each server.
// It is not safe for concurrent use.
//
// Invariants: of two digests of an agent, and of two reports of a server, the later one counts, whoever passed it on; nothing counts beyond
// its TTL, and no digest or observation of an agent that is dead; all that is remembered is bounded.
type FleetView struct {
	self, classes, tenants int
	digests                []digestRecord // by agent
	isDead                 []bool         // by agent
	aliveAgents            int
	relayQueue             []int // agents whose digests are to be passed on, in order
	servers                map[uint32]*server
	serverOrder            []uint32 // the keys of servers; sums of floats and turns go by it
	reportIndex            int      // in serverOrder: whose report was sent last
	observationIndex       int      // in serverOrder: whose observations were sent last
	isUrgent               bool     // a server has reached urgentUtilization since the last payload
	counts                 ViewCounts
}

// ViewCounts says what a FleetView has taken from payloads and own answers.
type ViewCounts struct {
	Digests, Reports, Observations uint64 // that were news
	Capped                         uint64 // claims that were over their bound
	Malformed                      uint64 // payloads
}

// sample is a value, when it was true on this agent's clock, and which agent sent it here.
type sample[T any] struct {
	value      T
	observedAt time.Duration // 0: there is none
	sender     int
}

// digestRecord is the latest digest of an agent.
type digestRecord struct {
	sample[LoadDigest]
	previousTotals [2]float64    // LoadDigest.totals of the digest before it; below 0: there was none
	sincePrevious  time.Duration // between the two
	relays         int           // how often it was passed on
	isQueued       bool          // the agent is in relayQueue
}

// server is what is known of one server.
type server struct {
	report        sample[LoadReport]
	ownCapacity   float64               // by this agent's own answers, in requests a second; 0: not known
	observations  []sample[Observation] // of agents that it doesn't serve
	attemptHealth                       // by this agent's own attempts
}

func newFleetView(self, agents, classes, tenants int) *FleetView {
	return &FleetView{self: self, classes: min(classes, MaxClasses), tenants: min(tenants, MaxTenants), digests: make([]digestRecord, agents),
		isDead: make([]bool, agents), aliveAgents: 1, servers: map[uint32]*server{}}
}

// setLiveness takes over which agents are alive, by number. Agents beyond the slice count as alive.
func (v *FleetView) setLiveness(isAlive []bool) {
	v.aliveAgents = 0
	for i := range v.isDead {
		if v.isDead[i] = i < len(isAlive) && !isAlive[i] && i != v.self; !v.isDead[i] {
			v.aliveAgents++
		}
	}
}

// server returns the server with an id, which it adds if it isn't known; nil if there are too many.
func (v *FleetView) server(id uint32) *server {
	s := v.servers[id]
	if s == nil && len(v.servers) < maxServers {
		s = &server{}
		v.servers[id] = s
		v.serverOrder = append(v.serverOrder, id)
	}
	return s
}

// forgetServers drops the servers that the endpoint list no longer names.
func (v *FleetView) forgetServers(isListed func(uint32) bool) {
	v.serverOrder = slices.DeleteFunc(v.serverOrder, func(id uint32) bool {
		if isListed(id) {
			return false
		}
		delete(v.servers, id)
		return true
	})
}

// applyPayload takes over what another agent says of itself and of others.
func (v *FleetView) applyPayload(now time.Duration, from int, p Payload) {
	for _, d := range p.Digests {
		if d.Agent < len(v.digests) && d.Agent != v.self && len(d.NewRequests) == v.classes && len(d.Tenants) == v.tenants {
			v.applyDigest(now, from, d)
		}
	}
	for _, r := range p.Reports {
		v.applyReport(now, r, false)
	}
	for _, o := range p.Observations {
		v.applyObservation(now, from, o)
	}
}

// applyDigest takes a digest over if it is later than the known one of its agent by more than ages are rounded: one that came by two ways
// would otherwise be passed on twice.
func (v *FleetView) applyDigest(now time.Duration, from int, d LoadDigest) {
	r, observedAt := &v.digests[d.Agent], now-d.Age
	if d.Age >= digestTTL || r.observedAt != 0 && observedAt <= r.observedAt+ageUnit {
		return
	}
	v.counts.Digests++
	if r.previousTotals[0] = -1; r.observedAt != 0 && now-r.observedAt < digestTTL {
		r.previousTotals, r.sincePrevious = r.value.totals(), observedAt-r.observedAt
	}
	r.value, r.observedAt, r.sender, r.relays = d, observedAt, from, 0
	if !r.isQueued {
		r.isQueued = true
		v.relayQueue = append(v.relayQueue, d.Agent)
	}
}

// applyReport takes over what a server said, to this agent or to another one.
func (v *FleetView) applyReport(now time.Duration, r LoadReport, isOwn bool) {
	s, observedAt := v.server(r.Server), now-r.Age
	if s == nil || r.Age >= reportTTL {
		return
	}
	if isOwn {
		if r.Capacity > 0 {
			s.ownCapacity = r.Capacity
		}
	} else if s.report.observedAt != 0 && observedAt <= s.report.observedAt+ageUnit {
		return
	}
	v.counts.Reports++
	if r.Utilization >= urgentUtilization && s.report.value.Utilization < urgentUtilization {
		v.isUrgent = true
	}
	if r.Capacity == 0 {
		r.Capacity = s.report.value.Capacity
	}
	s.report.value, s.report.observedAt = r, observedAt
}

// isKnown reports whether another agent's digest counts.
func (v *FleetView) isKnown(agent int, now time.Duration) bool {
	r := &v.digests[agent]
	return agent != v.self && !v.isDead[agent] && r.observedAt != 0 && now-r.observedAt < digestTTL
}
