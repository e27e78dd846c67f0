package denylist

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is what another process of the same agent needs to go on with a Set. It is stored on disk and sent during a hot
// restart; its JSON keys are part of both formats. Times are in milliseconds since the Unix epoch.
type Snapshot struct {
	DeniedSince  map[string]int64 `json:"out,omitempty"`  // by id: when the denial began
	AllowedSince map[string]int64 `json:"back,omitempty"` // by id: from when the server counts as started, after a denial
	KnownIDs     []string         `json:"seen,omitempty"` // all that an endpoint list has named and that are not forgotten
}

// Snapshot returns a copy of the state. toUnixMS converts a time on the engine's clock.
func (s *Set) Snapshot(toUnixMS func(time.Duration) int64) Snapshot {
	snapshot := Snapshot{DeniedSince: map[string]int64{}, AllowedSince: map[string]int64{}}
	for id, srv := range s.servers {
		if srv.isDenied {
			snapshot.DeniedSince[id] = toUnixMS(srv.deniedAt)
		}
		if srv.allowedAt != 0 {
			snapshot.AllowedSince[id] = toUnixMS(srv.allowedAt)
		}
	}
	snapshot.KnownIDs = slices.Sorted(maps.Keys(s.servers))
	return snapshot
}

// Restore adds another process's Snapshot to the Set. What the Set has denied itself stays, with its own time; denials over the
// bound are dropped. fromUnixMS converts to a time on the engine's clock.
func (s *Set) Restore(snapshot Snapshot, fromUnixMS func(int64) time.Duration) {
	for _, id := range snapshot.KnownIDs {
		s.updateDeparted(id, s.serverFor(id))
	}
	for _, id := range slices.Sorted(maps.Keys(snapshot.DeniedSince)) { // in an order of their own: there is a bound
		deniedAt := snapshot.DeniedSince[id]
		if srv := s.serverFor(id); !srv.isDenied && s.deniedCount < s.maxDenied {
			srv.isDenied, srv.deniedAt = true, fromUnixMS(deniedAt)
			s.deniedCount++
			s.updateDeparted(id, srv)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(snapshot.AllowedSince)) {
		srv := s.serverFor(id)
		srv.allowedAt = fromUnixMS(snapshot.AllowedSince[id])
		s.updateDeparted(id, srv)
	}
}
