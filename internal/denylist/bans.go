// Package denylist decides which servers operators hold out, beside what the list says of them. It does no I/O and reads no
// clock.
package denylist

import (
	"container/list"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Set is what is held out by hand. It is not safe for concurrent use.
//
// Invariants: a ban outlasts whatever the list says and ends by Up alone. An id is known from the first list that names it;
// one that is neither listed nor banned is forgotten when more than Most such ids have come after it. So a Set holds at most
// Most bans, Most departed ids and what the list names.
type Set struct {
	most  int
	names map[string]*name
	gone  *list.List // ids neither listed nor banned, the earliest first
	out   int
}

type name struct {
	listed bool
	out    bool
	since  time.Duration // of a ban: when it began
	began  time.Duration // its start as last listed
	back   time.Duration // when it was taken back with no known start since the ban; 0 if not
	place  *list.Element // among those that are gone
}

// Reasons why a call is turned down.
var (
	ErrUnknown = errors.New("no list has named it")
	ErrFull    = errors.New("too many are held out already")
)

// New returns a set of at most so many bans.
func New(most int) *Set {
	return &Set{most: most, names: map[string]*name{}, gone: list.New()}
}

// Listed notes that the list names a server, with its latest start.
func (s *Set) Listed(id string, started time.Duration) {
	n := s.named(id)
	n.listed, n.began = true, started
	s.settle(id, n)
}

// Unlisted notes that the list names it no more.
func (s *Set) Unlisted(id string) {
	if n := s.names[id]; n != nil {
		n.listed = false
		s.settle(id, n)
	}
}

// Down holds a server out. Held out already, it stays so.
func (s *Set) Down(now time.Duration, id string) error {
	n := s.names[id]
	switch {
	case n == nil:
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	case n.out:
		return nil
	case s.out >= s.most:
		return fmt.Errorf("%.64q: %w", id, ErrFull)
	}
	n.out, n.since = true, now
	s.out++
	s.settle(id, n)
	return nil
}

// Up takes a server back, however often it was held out. Nobody has told what happened to it meanwhile: unless the list
// knows of a start since the ban, it counts as started now.
func (s *Set) Up(now time.Duration, id string) error {
	n := s.names[id]
	if n == nil {
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	}
	if !n.out {
		return nil
	}
	if n.out = false; n.began < n.since {
		n.back = now
	}
	s.out--
	s.settle(id, n)
	return nil
}

// Out reports whether a server is held out.
func (s *Set) Out(id string) bool {
	n := s.names[id]
	return n != nil && n.out
}

// Started is the start that counts of a server that the list has started then.
func (s *Set) Started(id string, listed time.Duration) time.Duration {
	if n := s.names[id]; n != nil && n.back != 0 {
		return max(listed, n.back)
	}
	return listed
}

// Held are the ids that are held out, sorted; with those that the list does not name.
func (s *Set) Held() (ids []string) {
	for id, n := range s.names {
		if n.out {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *Set) named(id string) *name {
	n := s.names[id]
	if n == nil {
		n = &name{}
		s.names[id] = n
	}
	return n
}

// settle keeps the order of those that are gone, and forgets the earliest of too many.
func (s *Set) settle(id string, n *name) {
	switch here := n.listed || n.out; {
	case here && n.place != nil:
		s.gone.Remove(n.place)
		n.place = nil
	case !here && n.place == nil:
		n.place = s.gone.PushBack(id)
	}
	for s.gone.Len() > s.most {
		delete(s.names, s.gone.Remove(s.gone.Front()).(string))
	}
}

// State is what another process of the same agent needs to go on with: what is held out, what was taken back as cold, and
// which ids have been listed. Times are Unix milliseconds.
type State struct {
	Out  map[string]int64 `json:"out,omitempty"`  // since when
	Back map[string]int64 `json:"back,omitempty"` // since when it counts as started
	Seen []string         `json:"seen,omitempty"`
}

// State returns a copy; unix turns its times.
func (s *Set) State(unix func(time.Duration) int64) State {
	st := State{Out: map[string]int64{}, Back: map[string]int64{}}
	for id, n := range s.names {
		if n.out {
			st.Out[id] = unix(n.since)
		}
		if n.back != 0 {
			st.Back[id] = unix(n.back)
		}
	}
	st.Seen = slices.Sorted(maps.Keys(s.names))
	return st
}

// Restore adds what another process has kept; clock turns its times.
func (s *Set) Restore(st State, clock func(unixMS int64) time.Duration) {
	for _, id := range st.Seen {
		s.settle(id, s.named(id))
	}
	for id, since := range st.Out {
		if n := s.named(id); !n.out && s.out < s.most {
			n.out, n.since = true, clock(since)
			s.out++
			s.settle(id, n)
		}
	}
	for id, back := range st.Back {
		n := s.named(id)
		n.back = clock(back)
		s.settle(id, n)
	}
}
