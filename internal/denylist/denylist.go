// Package denylist holds the servers that an operator has denied, whatever the endpoint list and health checks say of
// them.
//
// The engine asks a Set for every server that it is about to give to the balancer, and tells it what each endpoint list names.
// An operator's command reaches Deny or Allow through the engine, so that all calls come from the engine's goroutine. The package
// does no I/O and reads no clock: times go in, as durations on the engine's clock.
//
// A server is listed or not and denied or not. It is forgotten only when it is neither, and then the one that departed longest
// ago goes first. A Snapshot carries the state to another process of the same agent, on disk and during a hot restart.
package denylist

import (
	"container/list"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Set is the denylist of one agent. It is not safe for concurrent use.
//
// Invariants: a denial outlasts whatever the endpoint list says and ends by Allow alone. An id is known from the first endpoint
// list that names it. At most maxDenied ids are denied and at most maxDenied are in departed, so that memory is bounded by these
// and by what the endpoint list names. An id is in departed exactly when it is neither listed nor denied.
type Set struct {
	maxDenied   int
	servers     map[string]*server
	departed    *list.List // ids that are neither listed nor denied, the earliest first
	deniedCount int
}

// server is what a Set knows of one id.
type server struct {
	isListed        bool
	isDenied        bool
	deniedAt        time.Duration // when the denial began; kept after its end
	listedStart     time.Duration // the server's start as last listed
	allowedAt       time.Duration // when the denial ended with no start known since it began; 0 if not
	departedElement *list.Element // its place in Set.departed, or nil
}

// Errors of Deny and Allow. Both leave the Set as it was.
var (
	ErrUnknown = errors.New("no list has named it")
	ErrFull    = errors.New("too many are held out already")
)

// New returns an empty Set that denies at most maxDenied servers at a time.
func New(maxDenied int) *Set {
	return &Set{maxDenied: maxDenied, servers: map[string]*server{}, departed: list.New()}
}

// MarkListed notes that the endpoint list names a server, with its latest start.
func (s *Set) MarkListed(id string, startedAt time.Duration) {
	srv := s.serverFor(id)
	srv.isListed, srv.listedStart = true, startedAt
	s.updateDeparted(id, srv)
}

// MarkUnlisted notes that the endpoint list names a server no more. A denial of it stays.
func (s *Set) MarkUnlisted(id string) {
	if srv := s.servers[id]; srv != nil {
		srv.isListed = false
		s.updateDeparted(id, srv)
	}
}

// Deny ejects a server until Allow. One that is denied already stays so, from its first denial on. The error is ErrUnknown for an
// id that no endpoint list has named, which protects an operator from a typing error, and ErrFull at the bound.
func (s *Set) Deny(now time.Duration, id string) error {
	srv := s.servers[id]
	switch {
	case srv == nil:
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	case srv.isDenied:
		return nil
	case s.deniedCount >= s.maxDenied:
		return fmt.Errorf("%.64q: %w", id, ErrFull)
	}
	srv.isDenied, srv.deniedAt = true, now
	s.deniedCount++
	s.updateDeparted(id, srv)
	return nil
}

// Allow ends a server's denial, however often it was denied; of one that is not denied it changes nothing. Nothing was heard of
// the server meanwhile: unless the endpoint list names a start since the denial began, it counts as started now, so that it is
// warmed up and not given a full share at once. The error is ErrUnknown for an id that no endpoint list has named.
func (s *Set) Allow(now time.Duration, id string) error {
	srv := s.servers[id]
	if srv == nil {
		return fmt.Errorf("%.64q: %w", id, ErrUnknown)
	}
	if !srv.isDenied {
		return nil
	}
	if srv.isDenied = false; srv.listedStart < srv.deniedAt {
		srv.allowedAt = now
	}
	s.deniedCount--
	s.updateDeparted(id, srv)
	return nil
}

// IsDenied reports whether a server is denied.
func (s *Set) IsDenied(id string) bool {
	srv := s.servers[id]
	return srv != nil && srv.isDenied
}

// EffectiveStart returns the start by which a server is to be warmed up: the one that the endpoint list states, or the end of its
// denial where that is later.
func (s *Set) EffectiveStart(id string, listedStart time.Duration) time.Duration {
	if srv := s.servers[id]; srv != nil && srv.allowedAt != 0 {
		return max(listedStart, srv.allowedAt)
	}
	return listedStart
}

// DeniedIDs returns the denied servers' ids, sorted, with those that the endpoint list does not name.
func (s *Set) DeniedIDs() (ids []string) {
	for id, srv := range s.servers {
		if srv.isDenied {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// serverFor returns what is known of an id, which it makes known if it is not.
func (s *Set) serverFor(id string) *server {
	srv := s.servers[id]
	if srv == nil {
		srv = &server{}
		s.servers[id] = srv
	}
	return srv
}

// updateDeparted restores the invariants of departed after a change of srv, and forgets the earliest ids over the bound.
func (s *Set) updateDeparted(id string, srv *server) {
	switch isNeeded := srv.isListed || srv.isDenied; {
	case isNeeded && srv.departedElement != nil:
		s.departed.Remove(srv.departedElement)
		srv.departedElement = nil
	case !isNeeded && srv.departedElement == nil:
		srv.departedElement = s.departed.PushBack(id)
	}
	for s.departed.Len() > s.maxDenied {
		delete(s.servers, s.departed.Remove(s.departed.Front()).(string))
	}
}
