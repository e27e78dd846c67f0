// Package coalesce decides which requests are answered together: equal ones that are in flight at the same time, of classes that may be
// repeated at will (request coalescing; RFC 9111, section 4, calls it collapsed requests). It is a state machine without I/O or a
// clock: the engine's goroutine calls it with the time of each event, and it says what becomes of whom. Nothing is stored.
//
// # Groups, flights and members
//
// Callers of equal requests form a group. For a group one or more flights are out: each is one request that goes to the balancer, in the
// name of the member that leads it; the other members follow. The first flight that is served answers the whole group. What else a
// flight comes to is its leader's alone: an error reaches nobody whose own request did not come to it. Then another member leads the
// next flight: one after a rejection, two in the place of each that failed. So a request that no server can answer costs no more
// attempts than without coalescing, and nobody queues for long behind it.
//
// A flight whose leader leaves, or whose time is over, stays out for the others, as its answer may be on the way. The caller makes no
// further attempt in that leader's name, and completes the flight when none is under way any more; then another member leads the next.
//
// # Late flights
//
// A follower does not wait for a flight longer than the response times of its class justify: when a flight of its own is clearly more
// likely to be in time, it leads one, and goes on following the others (flighttimes.go).
//
// # Bounds
//
// Groups and followers are bounded, and shared out among tenants (quota.go). A request that finds no room is not coalesced; it is never
// rejected here.
package coalesce

import (
	"container/heap"
	"slices"
	"time"
)

// Class says whether and how requests of a class are coalesced.
type Class struct {
	Coalesces        bool          // only of a class that may be repeated at will
	LatencyObjective time.Duration // after its arrival a request wants its answer within this time
	Deadline         time.Duration // for so long a flight may go on, whatever its leader's deadline
}

// Options bound a Table. All must be above 0.
type Options struct {
	Classes           []Class
	MaxGroups         int           // at a time
	MaxFollowers      int           // members without a flight of their own, in all
	PauseAfterPrivate time.Duration // without coalescing of a class, after an answer that was for one caller alone
}

// Request is a request that arrives.
type Request[T any] struct {
	Owner    T      // of the caller; Member.Owner gives it back
	Digest   Digest // equal requests have the same, and may get the same answer
	Class    int
	Tenant   int
	Deadline time.Duration // when its caller must have the final answer
}

// Role is what becomes of a Request. The numbers are part of decision traces.
type Role int

// The roles.
const (
	NotCoalesced Role = iota // it is no member, and is sent on its own
	Leader                   // it leads a flight, which is to be started
	Follower                 // it waits for the flights of others
)

// Outcome is how a flight ended. The numbers are part of decision traces.
type Outcome int

// The outcomes of flights.
const (
	OutcomeServed   Outcome = iota // with an answer for the whole group
	OutcomePrivate                 // with an answer for its leader alone
	OutcomeRejected                // trying again is harmless
	OutcomeFailed
)

// Counts are what a Table has done since it was made.
type Counts struct {
	Flights      uint64 // that were started
	Followers    uint64 // requests that waited for the flight of another
	NotCoalesced uint64 // requests of classes that coalesce which found no room, or came in a pause
	LateFlights  uint64 // flights that a follower started because others were late
	NextFlights  uint64 // flights that a follower started after one that was not served
	Private      uint64 // answers for one caller alone
	Leaderless   uint64 // flights that others waited for when their leader left or its time was over
	Shared       uint64 // requests that were served by a flight that they did not lead
	Waiting      int    // followers at present
	Groups       int    // at present
}

// Table is all groups. It is not safe for concurrent use.
//
// Invariants: a group has at least one member and one flight; a member leads at most one flight; each member is in timers once;
// followerQuota counts the members that lead no flight, groupQuota the groups by the tenants that opened them.
type Table[T any] struct {
	options       Options
	flightTimes   []*flightTimes  // by class; nil of one that does not coalesce
	pausedUntil   []time.Duration // by class
	groups        map[Digest]*group[T]
	groupQuota    tenantQuota
	followerQuota tenantQuota
	timers        timerHeap[T]
	counts        Counts
}

// group is the callers of equal requests.
type group[T any] struct {
	digest     Digest
	class      int
	openedBy   int          // tenant
	members    []*Member[T] // in the order of arrival
	flights    []*Flight[T] // the newest last
	maxFlights int          // that replacements of ended flights may bring the group to
}

// Member is a caller in a group.
type Member[T any] struct {
	Owner T

	group              *group[T]
	flight             *Flight[T] // that it leads
	tenant             int
	wantedBy, deadline time.Duration
	wakeAt             time.Duration
	timerIndex         int // among the timers; -1 once it is in no group
}

// Flight returns the flight that the member leads, or nil.
func (m *Member[T]) Flight() *Flight[T] { return m.flight }

// Flight is a request that is out for a group.
type Flight[T any] struct {
	Payload  T             // for the owner of the table
	Deadline time.Duration // when it has to end

	startedAt time.Duration
	group     *group[T]
	leader    *Member[T] // nil once that has its answer or has left
	isOver    bool
}

// Changes are what becomes of members and flights. A member that is answered, expired or has left is in no group any more. The caller owns
// the slices.
type Changes[T any] struct {
	Answered   []*Member[T] // with what the flight came to
	Expired    []*Member[T] // their deadline has come: they have failed
	Leaderless []*Flight[T] // whose leader has expired or left while others wait for them: no attempt may be made in its name any more
	NewLeaders []*Member[T] // lead a flight from now on, which is to be started
	Abandoned  []*Flight[T] // for which nobody waits any more
}

// New returns an empty table.
func New[T any](o Options) *Table[T] {
	t := &Table[T]{options: o, flightTimes: make([]*flightTimes, len(o.Classes)), pausedUntil: make([]time.Duration, len(o.Classes)),
		groups: map[Digest]*group[T]{}, groupQuota: newTenantQuota(o.MaxGroups), followerQuota: newTenantQuota(o.MaxFollowers)}
	t.options.Classes = nil
	t.Retune(o.Classes)
	return t
}

// Retune replaces the classes from now on; each keeps its number. Groups of a class that coalesces no more come to their end, and nobody
// joins them.
func (t *Table[T]) Retune(classes []Class) {
	previous := t.options.Classes
	t.options.Classes = classes
	for i, c := range classes {
		if i >= len(t.flightTimes) {
			t.flightTimes, t.pausedUntil = append(t.flightTimes, nil), append(t.pausedUntil, 0)
		}
		if c.Coalesces && (t.flightTimes[i] == nil || i >= len(previous) || previous[i] != c) {
			t.flightTimes[i] = newFlightTimes(c.LatencyObjective, c.Deadline)
		}
	}
}

// Counts returns what the table has done and holds.
func (t *Table[T]) Counts() Counts {
	c := t.counts
	c.Waiting, c.Groups = t.followerQuota.total, len(t.groups)
	return c
}

// Arrive says what becomes of a request. The member is nil of one that is not coalesced.
func (t *Table[T]) Arrive(now time.Duration, r Request[T]) (*Member[T], Role) {
	if r.Class < 0 || r.Class >= len(t.options.Classes) || !t.options.Classes[r.Class].Coalesces {
		return nil, NotCoalesced
	}
	g := t.groups[r.Digest]
	if g != nil && g.class != r.Class || now < t.pausedUntil[r.Class] || now >= r.Deadline {
		t.counts.NotCoalesced++
		return nil, NotCoalesced
	}
	m := &Member[T]{Owner: r.Owner, group: g, tenant: r.Tenant, deadline: r.Deadline, timerIndex: -1,
		wantedBy: min(r.Deadline, now+t.options.Classes[r.Class].LatencyObjective)}
	if g == nil {
		if !t.groupQuota.acquire(r.Tenant) {
			t.counts.NotCoalesced++
			return nil, NotCoalesced
		}
		g = &group[T]{digest: r.Digest, class: r.Class, openedBy: r.Tenant, maxFlights: 1}
		t.groups[r.Digest], m.group = g, g
	} else if at := t.ownFlightAt(now, m); at > now { // else the newest flight is late already
		if !t.followerQuota.acquire(r.Tenant) {
			t.counts.NotCoalesced++
			return nil, NotCoalesced
		}
		t.counts.Followers++
		g.members = append(g.members, m)
		t.setTimer(m, min(at, m.deadline))
		return m, Follower
	}
	g.members = append(g.members, m)
	t.startFlight(now, m)
	return m, Leader
}

// Leave takes out a member whose caller waits no more. A member that is in no group any more is ignored.
func (t *Table[T]) Leave(now time.Duration, m *Member[T]) (c Changes[T]) {
	if m.timerIndex >= 0 {
		t.removeMember(now, m, &c)
	}
	return c
}

// Complete takes how a flight ended. One that was abandoned counts no more.
func (t *Table[T]) Complete(now time.Duration, f *Flight[T], end Outcome) (c Changes[T]) {
	if f.isOver {
		return c
	}
	g, leader := f.group, f.leader
	f.isOver = true
	g.flights = slices.DeleteFunc(g.flights, func(other *Flight[T]) bool { return other == f })
	t.recordOutcome(now, f, end)
	switch end {
	case OutcomeServed:
		t.counts.Shared += uint64(len(g.members))
		if leader != nil {
			t.counts.Shared--
		}
		for _, other := range g.flights {
			other.isOver = true
		}
		for len(g.members) > 0 {
			c.Answered = append(c.Answered, g.members[0])
			t.removeMember(now, g.members[0], &c)
		}
		return c
	case OutcomePrivate: // the others' answers will be private too: each gets a flight of its own at once
		t.counts.Private++
		t.pausedUntil[g.class] = now + t.options.PauseAfterPrivate
		g.maxFlights = len(g.members)
	case OutcomeFailed:
		g.maxFlights++ // so that each round of failures is followed by one of twice as many
	}
	rejectedTenant := -1
	if leader != nil {
		if end == OutcomeRejected {
			rejectedTenant = leader.tenant
		}
		c.Answered = append(c.Answered, leader)
		t.removeMember(now, leader, &c)
	}
	for len(g.flights) < g.maxFlights {
		next := g.nextLeader(rejectedTenant)
		if next == nil {
			break
		}
		t.counts.NextFlights++
		t.followerQuota.release(next.tenant)
		t.startFlight(now, next)
		c.NewLeaders = append(c.NewLeaders, next)
	}
	return c
}

// nextLeader returns the member that leads the next flight. After a rejection it is of another tenant, if there is one: the rejection may
// have been for what the first tenant sends beyond its quota, and must not fall on the others one by one.
func (g *group[T]) nextLeader(rejectedTenant int) (best *Member[T]) {
	for _, m := range g.members {
		if m.flight != nil {
			continue
		}
		if m.tenant != rejectedTenant {
			return m
		}
		if best == nil {
			best = m
		}
	}
	return best
}

// startFlight makes a member the leader of a new flight.
func (t *Table[T]) startFlight(now time.Duration, m *Member[T]) {
	t.counts.Flights++
	m.flight = &Flight[T]{Deadline: now + t.options.Classes[m.group.class].Deadline, startedAt: now, group: m.group, leader: m}
	m.group.flights = append(m.group.flights, m.flight)
	t.setTimer(m, m.deadline)
}

// removeMember takes a member out of its group. With the last one the group's flights are abandoned.
func (t *Table[T]) removeMember(now time.Duration, m *Member[T], c *Changes[T]) {
	g := m.group
	heap.Remove(&t.timers, m.timerIndex)
	g.members = slices.DeleteFunc(g.members, func(other *Member[T]) bool { return other == m })
	if m.flight != nil {
		m.flight.leader = nil
	} else {
		t.followerQuota.release(m.tenant)
	}
	if len(g.members) > 0 {
		if m.flight != nil && !m.flight.isOver {
			t.counts.Leaderless++
			c.Leaderless = append(c.Leaderless, m.flight)
		}
		return
	}
	for _, f := range g.flights {
		f.isOver = true
		c.Abandoned = append(c.Abandoned, f)
		t.flightTimes[g.class].addAbandoned(now, now-f.startedAt)
	}
	g.flights = nil
	delete(t.groups, g.digest)
	t.groupQuota.release(g.openedBy)
}

// recordOutcome records how long a flight took. A rejection says nothing of that.
func (t *Table[T]) recordOutcome(now time.Duration, f *Flight[T], end Outcome) {
	switch end {
	case OutcomeServed, OutcomePrivate:
		t.flightTimes[f.group.class].addServed(now, now-f.startedAt)
	case OutcomeFailed:
		t.flightTimes[f.group.class].addFailed(now)
	}
}

// ownFlightAt returns when a follower is to lead a flight of its own, as far as is known now.
func (t *Table[T]) ownFlightAt(now time.Duration, m *Member[T]) time.Duration {
	g := m.group
	return t.flightTimes[g.class].ownFlightAt(now, g.flights[len(g.flights)-1].startedAt, m.wantedBy)
}
