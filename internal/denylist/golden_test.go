package denylist

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// unixMS and clock convert times between the engine's clock and one that is ahead of it by 1,790,000,000,000 ms.
func unixMS(t time.Duration) int64 { return t.Milliseconds() + 1_790_000_000_000 }
func clock(ms int64) time.Duration { return time.Duration(ms-1_790_000_000_000) * time.Millisecond }

// A Snapshot with every kind of entry has the committed bytes, and another process restores the same from them.
func TestGoldenState(t *testing.T) {
	s := New(10)
	for i, id := range []string{"back", "departed", "listed", "out", "out and back"} {
		s.MarkListed(id, time.Duration(i+1)*time.Second)
	}
	s.MarkUnlisted("departed")
	for i, id := range []string{"back", "out and back", "out"} {
		must(t, s.Deny(time.Duration(i+11)*time.Second, id))
	}
	must(t, s.Allow(21*time.Second, "back"))
	must(t, s.Allow(22*time.Second, "out and back"))
	must(t, s.Deny(23*time.Second, "out and back"))
	want := Snapshot{
		DeniedSince:  map[string]int64{"out": 1_790_000_013_000, "out and back": 1_790_000_023_000},
		AllowedSince: map[string]int64{"back": 1_790_000_021_000, "out and back": 1_790_000_022_000},
		KnownIDs:     []string{"back", "departed", "listed", "out", "out and back"},
	}
	if got := s.Snapshot(unixMS); !reflect.DeepEqual(got, want) {
		t.Errorf("the state is %+v", got)
	}
	text, err := json.Marshal(s.Snapshot(unixMS))
	must(t, err)
	golden.Equal(t, "bans/state.json", text)
	var read Snapshot
	must(t, json.Unmarshal(golden.Read(t, "bans/state.json"), &read))
	if !reflect.DeepEqual(read, want) {
		t.Errorf("the committed state reads as %+v", read)
	}
	other := New(10)
	other.Restore(read, clock)
	if got := other.Snapshot(unixMS); !reflect.DeepEqual(got, want) {
		t.Errorf("a process that takes it up has %+v", got)
	}
}
