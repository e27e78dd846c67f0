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
	maxDenied   int
	servers     map[string]*server
	departed    *list.List // ids neither listed nor banned, the earliest first
	deniedCount int
}

type server struct {
	isListed        bool
	isDenied        bool
	deniedAt        time.Duration // of a ban: when it began
	listedStart     time.Duration // its start as last listed
	allowedAt       time.Duration // when it was taken back with no known start since the ban; 0 if not
	departedElement *list.Element // among those that are gone
}

// Reasons why a call is turned down.
var (
	ErrUnknown = errors.New("no list has named it")
	ErrFull    = errors.New("too many are held out already")
)

// New returns a set of at most so many bans.
func New(most int) *Set {
	return &Set{maxDenied: most, servers: map[string]*server{}, departed: list.New()}
}

// MarkListed notes that the list names a server, with its latest start.
func (s *Set) MarkListed(id string, started time.Duration) {
	n := s.serverFor(id)
	n.isListed, n.listedStart = true, started
	s.updateDeparted(id, n)
}

// MarkUnlisted notes that the list names it no more.
func (s *Set) MarkUnlisted(id string) {
	if n := s.servers[id]; n != nil {
		n.isListed = false
		s.updateDeparted(id, n)
	}
}

// Deny holds a server out. Held out already, it stays so.
func (s *Set) Deny(now time.Duration, id string) error {
	n := s.servers[id]
	switch {
	case n == nil:
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	case n.isDenied:
		return nil
	case s.deniedCount >= s.maxDenied:
		return fmt.Errorf("%.64q: %w", id, ErrFull)
	}
	n.isDenied, n.deniedAt = true, now
	s.deniedCount++
	s.updateDeparted(id, n)
	return nil
}

// Allow takes a server back, however often it was held out. Nobody has told what happened to it meanwhile: unless the list
// knows of a start since the ban, it counts as started now.
func (s *Set) Allow(now time.Duration, id string) error {
	n := s.servers[id]
	if n == nil {
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	}
	if !n.isDenied {
		return nil
	}
	if n.isDenied = false; n.listedStart < n.deniedAt {
		n.allowedAt = now
	}
	s.deniedCount--
	s.updateDeparted(id, n)
	return nil
}

// DeniedSince reports whether a server is held out.
func (s *Set) IsDenied(id string) bool {
	n := s.servers[id]
	return n != nil && n.isDenied
}

// EffectiveStart is the start that counts of a server that the list has started then.
func (s *Set) EffectiveStart(id string, listed time.Duration) time.Duration {
	if n := s.servers[id]; n != nil && n.allowedAt != 0 {
		return max(listed, n.allowedAt)
	}
	return listed
}

// DeniedIDs are the ids that are held out, sorted; with those that the list does not name.
func (s *Set) DeniedIDs() (ids []string) {
	for id, n := range s.servers {
		if n.isDenied {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *Set) serverFor(id string) *server {
	n := s.servers[id]
	if n == nil {
		n = &server{}
		s.servers[id] = n
	}
	return n
}

// settle keeps the order of those that are gone, and forgets the earliest of too many.
func (s *Set) updateDeparted(id string, n *server) {
	switch here := n.isListed || n.isDenied; {
	case here && n.departedElement != nil:
		s.departed.Remove(n.departedElement)
		n.departedElement = nil
	case !here && n.departedElement == nil:
		n.departedElement = s.departed.PushBack(id)
	}
	for s.departed.Len() > s.maxDenied {
		delete(s.servers, s.departed.Remove(s.departed.Front()).(string))
	}
}

// Snapshot is what another process of the same agent needs to go on with: what is held out, what was taken back as cold, and
// which ids have been listed. Times are Unix milliseconds.
type Snapshot struct {
	DeniedSince  map[string]int64 `json:"out,omitempty"`  // since when
	AllowedSince map[string]int64 `json:"back,omitempty"` // since when it counts as started
	KnownIDs     []string         `json:"seen,omitempty"`
}

// Snapshot returns a copy; unix turns its times.
func (s *Set) Snapshot(unix func(time.Duration) int64) Snapshot {
	st := Snapshot{DeniedSince: map[string]int64{}, AllowedSince: map[string]int64{}}
	for id, n := range s.servers {
		if n.isDenied {
			st.DeniedSince[id] = unix(n.deniedAt)
		}
		if n.allowedAt != 0 {
			st.AllowedSince[id] = unix(n.allowedAt)
		}
	}
	st.KnownIDs = slices.Sorted(maps.Keys(s.servers))
	return st
}

// Restore adds what another process has kept; clock turns its times.
func (s *Set) Restore(st Snapshot, clock func(unixMS int64) time.Duration) {
	for _, id := range st.KnownIDs {
		s.updateDeparted(id, s.serverFor(id))
	}
	for id, since := range st.DeniedSince {
		if n := s.serverFor(id); !n.isDenied && s.deniedCount < s.maxDenied {
			n.isDenied, n.deniedAt = true, clock(since)
			s.deniedCount++
			s.updateDeparted(id, n)
		}
	}
	for id, back := range st.AllowedSince {
		n := s.serverFor(id)
		n.allowedAt = clock(back)
		s.updateDeparted(id, n)
	}
}
