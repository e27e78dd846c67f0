package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// Options say how several sources are made into one list.
type Options struct {
	// FailoverDelay is for how long a disconnected source stays active while another one could take over.
	FailoverDelay time.Duration
	// FailbackDelay is for how long a preferred source has to be connected without a break before it becomes active again.
	FailbackDelay time.Duration
	// EmptyListGracePeriod is for how long the last list is kept when its source removes all servers at once; 0 believes an empty
	// list at once. Servers that start draining meanwhile do drain.
	EmptyListGracePeriod time.Duration
}

// noSource is the active source before any has reported a whole list.
const noSource = -1

// Table makes one list of what several sources report. It is a deterministic state machine, not safe for concurrent use:
// reports and the time go in, changes come out by TakeChanges.
//
// One source is active at a time: the first, in the order of preference, that has reported a whole list and has not been
// disconnected for longer than FailoverDelay. A preferred one takes over when it has been connected for FailbackDelay, and at
// once where the active one is disconnected for too long. With no source left the last list stays in force. Servers that two
// sources name under one id keep their state in the engine, so that a change of sources is no gap.
//
// Draining wins: a server that any connected source has as draining gets no new requests, also under another id at the same
// address. Of two sources that disagree, the one that is wrong about a drain costs a little capacity; the other way
// requests would be sent to a server that is shutting down.
type Table struct {
	options Options
	sources []*sourceState // the preferred first
	active  int            // index among sources, or noSource

	// Invariant: an id whose current member differs from delivered is in pending, and in the queue that pending says; ids may also
	// stand in a queue that are not pending any more, or in both.
	delivered map[string]engine.Member // as the engine has them, or will once it has taken the changes that were handed out
	pending   map[string]bool          // ids that are to be delivered; true: in endings, false: in others
	endings   []string                 // changes that take capacity away; they go first
	others    []string
}

// sourceState is what one source has reported.
type sourceState struct {
	members        map[string]engine.Member
	idsByAddr      map[string][]string // ids of members, by address
	hasFullList    bool
	isDisconnected bool
	since          time.Duration // when it was disconnected, or connected again
	emptyListUntil time.Duration // until when an empty list is not believed; 0 while there is none
	dropRatio      float64
}

// NewTable returns an empty table for so many sources, none of which has connected yet.
func NewTable(o Options, sources int) *Table {
	t := &Table{options: o, active: noSource, delivered: map[string]engine.Member{}, pending: map[string]bool{}}
	for range sources {
		t.sources = append(t.sources, &sourceState{members: map[string]engine.Member{}, idsByAddr: map[string][]string{}, isDisconnected: true})
	}
	return t
}

// Active returns the index of the active source; -1 before any is.
func (t *Table) Active() int { return t.active }

// DropRatio returns the share of requests that the active source wants shed, from 0 to 1.
func (t *Table) DropRatio() float64 {
	if t.active == noSource {
		return 0
	}
	return t.sources[t.active].dropRatio
}

// Members returns the members that a source has reported, in the order of their ids.
func (t *Table) Members(source int) []engine.Member {
	members := slices.Collect(maps.Values(t.sources[source].members))
	slices.SortFunc(members, func(a, b engine.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Update takes a report of a source, which is connected from now on.
func (t *Table) Update(now time.Duration, source int, u Update) {
	s := t.sources[source]
	if s.isDisconnected {
		s.isDisconnected, s.since = false, now
		t.markDraining(s)
	}
	if !s.hasFullList && !u.Full {
		return // a change of an unknown list; the whole one is still to come
	}
	s.hasFullList = true
	s.dropRatio = min(max(u.DropRatio, 0), 1)
	t.apply(now, s, u)
	t.selectSource(now)
}

// Disconnected notes that a source can't be reached. Its list stays as it was.
func (t *Table) Disconnected(now time.Duration, source int) {
	if s := t.sources[source]; !s.isDisconnected {
		s.isDisconnected, s.since = true, now
		t.markDraining(s)
	}
	t.selectSource(now)
}

// apply brings a source's members up to date and marks those that change. A report that removes all servers at once and names no
// other is set aside until the grace period is over: a control plane that lost its state reports such a list, and the
// agent would have nowhere to send requests.
func (t *Table) apply(now time.Duration, s *sourceState, u Update) {
	removed := t.removedIDs(s, u)
	if remaining := len(s.members) - len(removed); t.options.EmptyListGracePeriod > 0 && remaining == 0 && len(removed) > 0 && !u.namesAnyEndpoint() {
		if s.emptyListUntil == 0 {
			s.emptyListUntil = now + t.options.EmptyListGracePeriod
		}
		return
	}
	s.emptyListUntil = 0
	for _, id := range removed {
		t.setMember(s, id, engine.Member{Server: balancer.Server{State: balancer.Removed}})
	}
	for _, m := range u.Members {
		if m.State != balancer.Removed {
			t.setMember(s, m.ID, m)
		}
	}
}

// namesAnyEndpoint reports whether an update names a server that is not removed.
func (u Update) namesAnyEndpoint() bool {
	return slices.ContainsFunc(u.Members, func(m engine.Member) bool { return m.State != balancer.Removed })
}

// removedIDs lists the ids that an update removes; of a whole list in sorted order, so that equal reports make equal changes.
func (t *Table) removedIDs(s *sourceState, u Update) (ids []string) {
	if !u.Full {
		for _, m := range u.Members {
			if _, exists := s.members[m.ID]; exists && m.State == balancer.Removed {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	isNamed := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		isNamed[m.ID] = m.State != balancer.Removed
	}
	for _, id := range u.Retained {
		isNamed[id] = true
	}
	for id := range s.members {
		if !isNamed[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setMember changes one member of a source, or removes it. Where that begins or ends a drain, members at its address are marked
// in all sources, as any of them may know the server under another id.
func (t *Table) setMember(s *sourceState, id string, m engine.Member) {
	old, existed := s.members[id]
	if existed && old == m || !existed && m.State == balancer.Removed {
		return
	}
	s.store(id, m)
	t.mark(id)
	if len(t.sources) > 1 && (m.State == balancer.Draining || existed && old.State == balancer.Draining) {
		for _, other := range t.sources {
			t.markAddress(other, m.Addr)
			t.markAddress(other, old.Addr)
		}
	}
}

// store replaces a member, or removes it, and keeps idsByAddr in step.
func (s *sourceState) store(id string, m engine.Member) {
	old, existed := s.members[id]
	if existed && (old.Addr != m.Addr || m.State == balancer.Removed) {
		ids := slices.DeleteFunc(s.idsByAddr[old.Addr], func(other string) bool { return other == id })
		if s.idsByAddr[old.Addr] = ids; len(ids) == 0 {
			delete(s.idsByAddr, old.Addr)
		}
	}
	if m.State == balancer.Removed {
		delete(s.members, id)
		return
	}
	s.members[id] = m
	if !existed || old.Addr != m.Addr {
		s.idsByAddr[m.Addr] = append(s.idsByAddr[m.Addr], id)
	}
}

// Tick lets the time pass: an empty list is believed once its grace period is over, and another source may become active.
func (t *Table) Tick(now time.Duration) {
	for _, s := range t.sources {
		if s.emptyListUntil > 0 && now >= s.emptyListUntil {
			s.emptyListUntil = 0
			for _, id := range slices.Sorted(maps.Keys(s.members)) {
				t.setMember(s, id, engine.Member{Server: balancer.Server{State: balancer.Removed}})
			}
		}
	}
	t.selectSource(now)
}
