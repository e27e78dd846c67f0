// Package coalesce decides which requests are answered together: like ones that are in flight at the same time, of classes
// that may be repeated at will (request coalescing; RFC 9111, section 4, calls it collapsed requests). It does no I/O and
// reads no clock: events go in with the time, and it says what becomes of whom.
//
// Callers that ask the same form a group. For a group one or more flights are out: each is one request that goes to the
// decision module, in the name of the member that leads it. The first flight that is served answers the whole group. What
// else a flight comes to is its leader's alone: an error reaches nobody whose own request did not come to it. Then
// another member leads the next flight: one after a refusal, two in the place of each that failed, so that a form that no
// server can answer costs as many tries as without joining at the most, and nobody queues up for long behind it.
//
// A member that waits does not trust a flight further than the figures do: when a flight of its own is clearly more likely
// to be in time, it leads one, while it goes on listening to the others (see partAt).
package coalesce

import (
	"container/heap"
	"slices"
	"time"
)

// Class says of a class of requests whether and how it is joined.
type Class struct {
	Coalesces        bool          // may be; only of a class that may be repeated at will
	LatencyObjective time.Duration // after its arrival a request wants its answer within this time
	Deadline         time.Duration // for so long a flight may go on, whatever its leader's patience
}

// Options bound a Table. All must be above 0.
type Options struct {
	Classes           []Class
	MaxGroups         int           // open at a time
	MaxFollowers      int           // members that wait without a flight of their own, in all
	PauseAfterPrivate time.Duration // no joining of a class after an answer that was for one caller alone
}

// Request is a request that arrives.
type Request[T any] struct {
	Owner    T
	Digest   Digest // what it asks; who has the same may get the same answer
	Class    int
	Tenant   int
	Deadline time.Duration // when its caller must have the final answer
}

// Role is what becomes of an Ask.
type Role int

// The verdicts.
const (
	NotCoalesced Role = iota // it is no member, and goes its own way
	Leader                   // it leads a flight, which is to be started
	Follower                 // with the flights of others
)

// Outcome is how a flight came to its end.
type Outcome int

// The ends of flights.
const (
	OutcomeServed   Outcome = iota // with an answer that all may have
	OutcomePrivate                 // with an answer for its leader alone
	OutcomeRejected                // trying again is harmless
	OutcomeFailed
)

// Counts are what a table has done since it was made.
type Counts struct {
	Flights      uint64 // that were started
	Followers    uint64 // requests that waited for the flight of another
	NotCoalesced uint64 // requests of joined classes that found no room, or came in a pause
	LateFlights  uint64 // members that led a flight of their own since others were late
	NextFlights  uint64 // members that led the next flight after one that was not served
	Private      uint64 // answers for one caller alone
	Shared       uint64 // requests that were served by a flight that they did not lead
	Waiting      int    // members that wait at present
	Groups       int    // at present
}

// Table is all groups. It is not safe for concurrent use.
//
// Invariants: a group has a member, and a flight that is out; a member leads one flight at the most; each member has one
// alarm; waiting counts the members that lead no flight.
type Table[T any] struct {
	set     Options
	times   []*times        // by class; nil of one that is not joined
	pauses  []time.Duration // by class: until when
	groups  map[Digest]*group[T]
	open    quota // groups, by the tenants of those who opened them
	waiting quota // members that wait, by tenant
	alarms  alarms[T]
	counts  Counts
}

// group is the callers that ask the same.
type group[T any] struct {
	what    Digest
	class   int
	opener  int          // tenant
	members []*Member[T] // in the order of arrival
	flights []*Flight[T] // that are out, the newest last
	window  int          // members may lead so many flights at a time because others have ended
}

// Member is a caller in a group.
type Member[T any] struct {
	Owner T

	group            *group[T]
	flight           *Flight[T] // that it leads
	tenant           int
	wanted, deadline time.Duration
	alarm            time.Duration
	place            int // among the alarms
}

// Flight returns the flight that the member leads, or nil.
func (m *Member[T]) Flight() *Flight[T] { return m.flight }

// Flight is a request that is out for a group.
type Flight[T any] struct {
	Payload  T             // for the owner of the table
	Deadline time.Duration // when it has to end

	began  time.Duration
	group  *group[T]
	leader *Member[T] // nil once that has its answer or has left
	over   bool
}

// Changes are what becomes of members and flights. A member that is answered, expired or has left is in no group any more.
type Changes[T any] struct {
	Answered   []*Member[T] // with what the flight came to
	Expired    []*Member[T] // whose deadline has come: they have failed
	NewLeaders []*Member[T] // lead a flight from now on, which is to be started
	Abandoned  []*Flight[T] // for which nobody waits any more
}

// New returns an empty table.
func New[T any](o Options) *Table[T] {
	t := &Table[T]{set: o, times: make([]*times, len(o.Classes)), pauses: make([]time.Duration, len(o.Classes)),
		groups: map[Digest]*group[T]{}, open: newQuota(o.MaxGroups), waiting: newQuota(o.MaxFollowers)}
	t.set.Classes = nil
	t.Retune(o.Classes)
	return t
}

// Retune takes the classes as they are from now on; each keeps its number. Groups of one that is joined no more come to their end,
// and nobody joins them.
func (t *Table[T]) Retune(classes []Class) {
	before := t.set.Classes
	t.set.Classes = classes
	for i, c := range classes {
		if i >= len(t.times) {
			t.times, t.pauses = append(t.times, nil), append(t.pauses, 0)
		}
		if c.Coalesces && (t.times[i] == nil || i >= len(before) || before[i] != c) {
			t.times[i] = newTimes(c.LatencyObjective, c.Deadline)
		}
	}
}

// Counts returns what the table has done and holds.
func (t *Table[T]) Counts() Counts {
	c := t.counts
	c.Waiting, c.Groups = t.waiting.all, len(t.groups)
	return c
}

// Arrive says what becomes of a request. The member is nil of one that goes alone.
func (t *Table[T]) Arrive(now time.Duration, a Request[T]) (*Member[T], Role) {
	if a.Class < 0 || a.Class >= len(t.set.Classes) || !t.set.Classes[a.Class].Coalesces {
		return nil, NotCoalesced
	}
	g := t.groups[a.Digest]
	if g != nil && g.class != a.Class || now < t.pauses[a.Class] || now >= a.Deadline {
		t.counts.NotCoalesced++
		return nil, NotCoalesced
	}
	m := &Member[T]{Owner: a.Owner, group: g, tenant: a.Tenant, deadline: a.Deadline, place: -1,
		wanted: min(a.Deadline, now+t.set.Classes[a.Class].LatencyObjective)}
	if g == nil {
		if !t.open.take(a.Tenant) {
			t.counts.NotCoalesced++
			return nil, NotCoalesced
		}
		g = &group[T]{what: a.Digest, class: a.Class, opener: a.Tenant, window: 1}
		t.groups[a.Digest], m.group = g, g
	} else if at := t.partAt(now, m); at > now { // else what is out is late already
		if !t.waiting.take(a.Tenant) {
			t.counts.NotCoalesced++
			return nil, NotCoalesced
		}
		t.counts.Followers++
		g.members = append(g.members, m)
		t.wake(m, min(at, m.deadline))
		return m, Follower
	}
	g.members = append(g.members, m)
	t.lead(now, m)
	return m, Leader
}

// Leave takes out a member whose caller waits no more.
func (t *Table[T]) Leave(now time.Duration, m *Member[T]) (c Changes[T]) {
	if m.place >= 0 {
		t.remove(now, m, &c)
	}
	return c
}

// Complete takes note of how a flight ended. One that was dropped has no say any more.
func (t *Table[T]) Complete(now time.Duration, f *Flight[T], end Outcome) (c Changes[T]) {
	if f.over {
		return c
	}
	g, leader := f.group, f.leader
	f.over = true
	g.flights = slices.DeleteFunc(g.flights, func(other *Flight[T]) bool { return other == f })
	t.learn(now, f, end)
	switch end {
	case OutcomeServed:
		t.counts.Shared += uint64(len(g.members))
		if leader != nil {
			t.counts.Shared--
		}
		for len(g.members) > 0 {
			c.Answered = append(c.Answered, g.members[0])
			t.remove(now, g.members[0], &c)
		}
		return c
	case OutcomePrivate: // as the others' answers will be: each gets its own, with no more waiting
		t.counts.Private++
		t.pauses[g.class] = now + t.set.PauseAfterPrivate
		g.window = len(g.members)
	case OutcomeFailed:
		g.window++ // so that each round of failures is followed by one of twice as many
	}
	refusedTenant := -1
	if leader != nil {
		if end == OutcomeRejected {
			refusedTenant = leader.tenant
		}
		c.Answered = append(c.Answered, leader)
		t.remove(now, leader, &c)
	}
	for len(g.flights) < g.window {
		next := g.next(refusedTenant)
		if next == nil {
			break
		}
		t.counts.NextFlights++
		t.waiting.give(next.tenant)
		t.lead(now, next)
		c.NewLeaders = append(c.NewLeaders, next)
	}
	return c
}

// next is the member that leads the next flight. After a refusal it is of another tenant, if there is one: the refusal
// may have been for what the first tenant asks beyond its share, and must not fall on the others one by one.
func (g *group[T]) next(refusedTenant int) (best *Member[T]) {
	for _, m := range g.members {
		if m.flight != nil {
			continue
		}
		if m.tenant != refusedTenant {
			return m
		}
		if best == nil {
			best = m
		}
	}
	return best
}

// NextTimer is when Fire is to be called next, if at all.
func (t *Table[T]) NextTimer() (at time.Duration, ok bool) {
	if len(t.alarms) == 0 {
		return 0, false
	}
	return t.alarms[0].alarm, true
}

// HandleTimers does what is due.
func (t *Table[T]) HandleTimers(now time.Duration) (c Changes[T]) {
	for len(t.alarms) > 0 && t.alarms[0].alarm <= now {
		m := t.alarms[0]
		if now >= m.deadline {
			c.Expired = append(c.Expired, m)
			t.remove(now, m, &c)
			continue
		}
		if at := t.partAt(now, m); at > now {
			t.wake(m, min(at, m.deadline))
			continue
		}
		t.counts.LateFlights++
		t.waiting.give(m.tenant)
		t.lead(now, m)
		c.NewLeaders = append(c.NewLeaders, m)
	}
	return c
}

// lead lets a member lead a flight.
func (t *Table[T]) lead(now time.Duration, m *Member[T]) {
	t.counts.Flights++
	m.flight = &Flight[T]{Deadline: now + t.set.Classes[m.group.class].Deadline, began: now, group: m.group, leader: m}
	m.group.flights = append(m.group.flights, m.flight)
	t.wake(m, m.deadline)
}

// remove takes a member out of its group, and the group's flights with the last of them.
func (t *Table[T]) remove(now time.Duration, m *Member[T], c *Changes[T]) {
	g := m.group
	heap.Remove(&t.alarms, m.place)
	g.members = slices.DeleteFunc(g.members, func(other *Member[T]) bool { return other == m })
	if m.flight != nil {
		m.flight.leader = nil
	} else {
		t.waiting.give(m.tenant)
	}
	if len(g.members) > 0 {
		return
	}
	for _, f := range g.flights {
		f.over = true
		c.Abandoned = append(c.Abandoned, f)
		t.times[g.class].atLeast(now, now-f.began)
	}
	g.flights = nil
	delete(t.groups, g.what)
	t.open.give(g.opener)
}

// learn takes note of how long a flight took. A refusal says nothing of that.
func (t *Table[T]) learn(now time.Duration, f *Flight[T], end Outcome) {
	switch end {
	case OutcomeServed, OutcomePrivate:
		t.times[f.group.class].took(now, now-f.began)
	case OutcomeFailed:
		t.times[f.group.class].never(now)
	}
}

// partAt is when a member that waits is to lead a flight of its own, as far as is known now.
func (t *Table[T]) partAt(now time.Duration, m *Member[T]) time.Duration {
	g := m.group
	return t.times[g.class].partAt(now, g.flights[len(g.flights)-1].began, m.wanted)
}

// alarms are members in the order in which something is due for them.
type alarms[T any] []*Member[T]

// wake sets a member's alarm.
func (t *Table[T]) wake(m *Member[T], at time.Duration) {
	m.alarm = at
	if m.place < 0 {
		heap.Push(&t.alarms, m)
	} else {
		heap.Fix(&t.alarms, m.place)
	}
}

func (a alarms[T]) Len() int           { return len(a) }
func (a alarms[T]) Less(i, j int) bool { return a[i].alarm < a[j].alarm }
func (a alarms[T]) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *alarms[T]) Push(x any) {
	m := x.(*Member[T])
	m.place = len(*a)
	*a = append(*a, m)
}
func (a *alarms[T]) Pop() any {
	last := len(*a) - 1
	m := (*a)[last]
	(*a)[last] = nil
	*a, m.place = (*a)[:last], -1
	return m
}
