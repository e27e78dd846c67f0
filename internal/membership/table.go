package membership

import (
	"maps"
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// Options say how several sources are made into one list.
type Options struct {
	// FailoverDelay is how long a source that can't be reached goes on counting while another one could.
	FailoverDelay time.Duration
	// FailbackDelay is how long a preferred source has to be heard without a break before it counts again.
	FailbackDelay time.Duration
	// EmptyListGracePeriod is for how long the last list is kept when its source takes away all servers at once; 0 believes it.
	// Drains that are told meanwhile count.
	EmptyListGracePeriod time.Duration
}

const none = -1

// Table makes one list of what several sources say. It is a deterministic state machine, not safe for concurrent use:
// calls and the time go in, changes come out by Take.
//
// One source counts at a time: the first, in the order of preference, that has told a whole list and is not lost for
// longer than FailoverDelay. A better one takes over when it has been heard for Hold, and at once where the present one is
// lost. With no source left the last list stands. Servers that both sources name go on under the id and the life that the
// list has for them, so that a change of sources is no gap.
//
// A drain counts whoever tells it: a server that any source, other than a lost one, has as draining gets nothing new,
// also under another id at the same address.
type Table struct {
	options Options
	sources []*source
	active  int
	told    map[string]engine.Member // what the engine has been told or will be by pending
	pending map[string]bool          // ids to be told of, and whether at once
	urgent  []string                 // those that end something; ids may stand in a queue and no longer be pending
	rest    []string
}

// source is what one source has said.
type source struct {
	members map[string]engine.Member
	byAddr  map[string][]string // ids at an address
	listed  bool                // a whole list has come
	lost    bool
	since   time.Duration // when it was lost or heard again
	keep    time.Duration // until when an empty list is not believed; 0 if there is none
	drop    float64
}

// NewTable returns a table for so many sources, the preferred first. Nothing is listed.
func NewTable(o Options, sources int) *Table {
	t := &Table{options: o, active: none, told: map[string]engine.Member{}, pending: map[string]bool{}}
	for range sources {
		t.sources = append(t.sources, &source{members: map[string]engine.Member{}, byAddr: map[string][]string{}, lost: true})
	}
	return t
}

// Active is the source that counts, by its place; -1 before any does.
func (t *Table) Active() int { return t.active }

// DropRatio is the share of requests that the source which counts wants turned away.
func (t *Table) DropRatio() float64 {
	if t.active == none {
		return 0
	}
	return t.sources[t.active].drop
}

// Update takes what a source says.
func (t *Table) Update(now time.Duration, from int, u Update) {
	s := t.sources[from]
	if s.lost {
		s.lost, s.since = false, now
		t.retouchDrains(s)
	}
	if !s.listed && !u.Full {
		return // a change of nothing: the whole list is to come
	}
	s.listed = true
	s.drop = min(max(u.DropRatio, 0), 1)
	t.apply(now, s, u)
	t.choose(now)
}

// apply brings a source's members up to date and marks what that touches.
func (t *Table) apply(now time.Duration, s *source, u Update) {
	gone := t.gone(s, u)
	if left := len(s.members) - len(gone); t.options.EmptyListGracePeriod > 0 && left == 0 && len(gone) > 0 && !s.brings(u) {
		if s.keep == 0 {
			s.keep = now + t.options.EmptyListGracePeriod
		}
		return
	}
	s.keep = 0
	for _, id := range gone {
		t.set(s, id, engine.Member{Server: balancer.Server{State: balancer.Removed}})
	}
	for _, m := range u.Members {
		if m.State != balancer.Removed {
			t.set(s, m.ID, m)
		}
	}
}

// brings reports whether an update names any server that is there.
func (s *source) brings(u Update) bool {
	return slices.ContainsFunc(u.Members, func(m engine.Member) bool { return m.State != balancer.Removed })
}

// gone lists the ids that an update takes away.
func (t *Table) gone(s *source, u Update) (ids []string) {
	if !u.Full {
		for _, m := range u.Members {
			if _, had := s.members[m.ID]; had && m.State == balancer.Removed {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	named := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		named[m.ID] = m.State != balancer.Removed
	}
	for _, id := range u.Retained {
		named[id] = true
	}
	for id := range s.members {
		if !named[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// set changes one member of a source.
func (t *Table) set(s *source, id string, m engine.Member) {
	old, had := s.members[id]
	if had && old == m || !had && m.State == balancer.Removed {
		return
	}
	if had && (old.Addr != m.Addr || m.State == balancer.Removed) {
		at := slices.DeleteFunc(s.byAddr[old.Addr], func(other string) bool { return other == id })
		if s.byAddr[old.Addr] = at; len(at) == 0 {
			delete(s.byAddr, old.Addr)
		}
	}
	if m.State == balancer.Removed {
		delete(s.members, id)
	} else {
		s.members[id] = m
		if !had || old.Addr != m.Addr {
			s.byAddr[m.Addr] = append(s.byAddr[m.Addr], id)
		}
	}
	t.touch(id)
	if len(t.sources) > 1 && (m.State == balancer.Draining || had && old.State == balancer.Draining) {
		for _, other := range t.sources { // who knows the same server by another name
			for _, addr := range []string{m.Addr, old.Addr} {
				for _, same := range other.byAddr[addr] {
					t.touch(same)
				}
			}
		}
	}
}

// Disconnected notes that a source can't be reached.
func (t *Table) Disconnected(now time.Duration, from int) {
	if s := t.sources[from]; !s.lost {
		s.lost, s.since = true, now
		t.retouchDrains(s)
	}
	t.choose(now)
}

// retouchDrains looks again at what a source has as draining, as that counts no more or counts again.
func (t *Table) retouchDrains(s *source) {
	if len(t.sources) == 1 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if m := s.members[id]; m.State == balancer.Draining {
			for _, other := range t.sources {
				for _, same := range other.byAddr[m.Addr] {
					t.touch(same)
				}
			}
			t.touch(m.ID)
		}
	}
}

// usable reports whether a source may count.
func (t *Table) usable(now time.Duration, s *source) bool {
	return s.listed && (!s.lost || now < s.since+t.options.FailoverDelay)
}

// choose settles which source counts.
func (t *Table) choose(now time.Duration) {
	next := t.active
	for i, s := range t.sources {
		if i == t.active && t.usable(now, s) {
			break // none before it may, and it still does
		}
		steady := !s.lost && now >= s.since+t.options.FailbackDelay
		if s.listed && !s.lost && (t.active == none || steady || !t.usable(now, t.sources[t.active])) {
			next = i
			break
		}
	}
	if next == t.active {
		return
	}
	before := t.active
	t.active = next
	if before != none {
		t.touchAll(t.sources[before])
	}
	t.touchAll(t.sources[next])
}

func (t *Table) touchAll(s *source) {
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		t.touch(id)
	}
}

// NextTimer is when Tick has something to do, if it has.
func (t *Table) NextTimer() (at time.Duration, ok bool) {
	note := func(when time.Duration) {
		if !ok || when < at {
			at, ok = when, true
		}
	}
	for i, s := range t.sources {
		if s.keep > 0 {
			note(s.keep)
		}
		if i == t.active && s.lost && slices.ContainsFunc(t.sources, func(s *source) bool { return s.listed && !s.lost }) {
			note(s.since + t.options.FailoverDelay)
		}
		if i < t.active && s.listed && !s.lost {
			note(s.since + t.options.FailbackDelay)
		}
	}
	return at, ok
}

// Tick lets the time pass.
func (t *Table) Tick(now time.Duration) {
	for _, s := range t.sources {
		if s.keep > 0 && now >= s.keep {
			s.keep = 0
			for _, id := range slices.Sorted(maps.Keys(s.members)) {
				t.set(s, id, engine.Member{Server: balancer.Server{State: balancer.Removed}})
			}
		}
	}
	t.choose(now)
}

// touch marks a member to be looked at by Take.
func (t *Table) touch(id string) {
	urgent, waits := t.pending[id]
	switch now, was := t.now(id), t.told[id]; {
	case urgent:
	case now.State != balancer.Ready && was.ID != "": // also one that waits already behind thousands of new ones
		t.pending[id] = true
		t.urgent = append(t.urgent, id)
	case !waits:
		t.pending[id] = false
		t.rest = append(t.rest, id)
	}
}

// now is a member as it is to be told; its State is Gone where there is none.
func (t *Table) now(id string) engine.Member {
	if t.active == none {
		return engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	}
	m, ok := t.sources[t.active].members[id]
	if !ok {
		return engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	}
	if m.State == balancer.Ready && len(t.sources) > 1 && t.drains(m) {
		m.State = balancer.Draining
	}
	return m
}

// drains reports whether a source other than the one that counts has the server as draining.
func (t *Table) drains(m engine.Member) bool {
	for i, s := range t.sources {
		if i == t.active || s.lost {
			continue
		}
		if s.members[m.ID].State == balancer.Draining {
			return true
		}
		for _, id := range s.byAddr[m.Addr] {
			if s.members[id].State == balancer.Draining {
				return true
			}
		}
	}
	return false
}

// TakeChanges returns changes that the engine is to be told of, so many at most: those first that end something.
func (t *Table) TakeChanges(most int) (changes []engine.Member) {
	for len(changes) < most {
		queue, ending := &t.urgent, true
		if len(*queue) == 0 {
			queue, ending = &t.rest, false
		}
		if len(*queue) == 0 {
			t.urgent, t.rest = nil, nil
			break
		}
		id := (*queue)[0]
		*queue = (*queue)[1:]
		if _, waits := t.pending[id]; !waits {
			continue
		}
		m, was := t.now(id), t.told[id]
		if ending && m.State == balancer.Ready { // it was to end, and was taken back
			t.pending[id] = false
			t.rest = append(t.rest, id)
			continue
		}
		delete(t.pending, id)
		switch {
		case m.State == balancer.Removed && was.ID == "" || m == was:
			continue
		case m.State == balancer.Removed:
			delete(t.told, id)
		default:
			t.told[id] = m
		}
		changes = append(changes, m)
	}
	return changes
}
