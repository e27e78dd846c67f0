package denylist

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func setWithListed(ids ...string) *Set {
	s := New(3)
	for _, id := range ids {
		s.MarkListed(id, 0)
	}
	return s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// An operator denies a server twice, and it leaves the endpoint list and comes back. It stays denied all along. One command to
// allow it ends the denial, and a second one changes nothing.
func TestDenialLastsUntilOneAllow(t *testing.T) {
	s := setWithListed("a")
	must(t, s.Deny(second, "a"))
	must(t, s.Deny(2*second, "a"))
	s.MarkUnlisted("a")
	s.MarkListed("a", 3*second)
	if !s.IsDenied("a") {
		t.Fatal("leaving the list and coming back has ended the denial")
	}
	must(t, s.Allow(4*second, "a"))
	must(t, s.Allow(5*second, "a"))
	if s.IsDenied("a") {
		t.Fatal("still denied")
	}
}

// A command names a server that no endpoint list has ever named, as after a typing error, and is rejected. One that was listed
// once and has left can still be denied and allowed.
func TestUnlistedServerIsRejectedAsUnknown(t *testing.T) {
	s := setWithListed("a")
	for _, err := range []error{s.Deny(second, "b"), s.Allow(second, "b")} {
		if !errors.Is(err, ErrUnknown) {
			t.Errorf("got %v", err)
		}
	}
	s.MarkUnlisted("a") // one that has left is known all the same
	must(t, s.Deny(second, "a"))
	must(t, s.Allow(second, "a"))
}

// An operator denies a server and allows it again. Whether it was restarted meanwhile is known from the endpoint list alone, and
// without a start there the server has to be warmed up like a new one. A process that takes over decides the same.
func TestAllowedServerCountsAsJustStarted(t *testing.T) {
	for _, c := range []struct {
		name               string
		listed, want       time.Duration
		restartedMeanwhile bool
	}{
		{name: "no start is known of", want: 9 * second},
		{name: "the list knows of a start since", restartedMeanwhile: true, listed: 5 * second, want: 5 * second},
	} {
		s := setWithListed("a")
		must(t, s.Deny(2*second, "a"))
		if c.restartedMeanwhile {
			s.MarkListed("a", c.listed)
		}
		must(t, s.Allow(9*second, "a"))
		if got := s.EffectiveStart("a", c.listed); got != c.want {
			t.Errorf("%s: started %v, want %v", c.name, got, c.want)
		}
		other := New(3) // a process that takes over hears of the list only then
		identity := func(d time.Duration) int64 { return int64(d) }
		other.Restore(s.Snapshot(identity), func(ms int64) time.Duration { return time.Duration(ms) })
		other.MarkListed("a", max(c.listed, second))
		if got := other.EffectiveStart("a", max(c.listed, second)); got != c.want {
			t.Errorf("%s: started %v for the next process, want %v", c.name, got, c.want)
		}
		s.MarkListed("a", 11*second) // what the list learns later holds
		if got := s.EffectiveStart("a", 11*second); got != 11*second {
			t.Errorf("%s: started %v after the list knew", c.name, got)
		}
	}
}

// model is a Set with no bound on what it remembers.
type model struct {
	listed, denied, known map[string]bool
}

// Endpoint lists and commands come in any order, and now and then another process takes the state over. A denial ends by Allow
// alone, memory stays bounded, and the other process denies the same servers.
func TestSetMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxDenied = 3
		s, m := New(maxDenied), model{map[string]bool{}, map[string]bool{}, map[string]bool{}}
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
		now := second
		t.Repeat(map[string]func(*rapid.T){
			"listed":   func(t *rapid.T) { x := id.Draw(t, "id"); s.MarkListed(x, 0); m.listed[x], m.known[x] = true, true },
			"unlisted": func(t *rapid.T) { x := id.Draw(t, "id"); s.MarkUnlisted(x); delete(m.listed, x) },
			"down": func(t *rapid.T) {
				x := id.Draw(t, "id")
				switch err := s.Deny(now, x); {
				case err == nil:
					m.denied[x] = true
				case errors.Is(err, ErrFull) && len(m.denied) < maxDenied, errors.Is(err, ErrUnknown) && (m.listed[x] || m.denied[x]):
					t.Fatal(err)
				}
			},
			"up": func(t *rapid.T) {
				if x := id.Draw(t, "id"); s.Allow(now, x) == nil {
					delete(m.denied, x)
				} else if m.listed[x] || m.denied[x] {
					t.Fatal("rejected")
				}
			},
			"taken over": func(t *rapid.T) {
				identity := func(d time.Duration) int64 { return int64(d) }
				other := New(maxDenied)
				other.Restore(s.Snapshot(identity), func(ms int64) time.Duration { return time.Duration(ms) })
				if !slices.Equal(other.DeniedIDs(), s.DeniedIDs()) {
					t.Fatalf("%v became %v", s.DeniedIDs(), other.DeniedIDs())
				}
				for x := range m.listed {
					other.MarkListed(x, 0)
				}
				s = other
			},
			"": func(t *rapid.T) {
				now += second
				if !slices.Equal(s.DeniedIDs(), slices.Sorted(maps.Keys(m.denied))) {
					t.Fatalf("denied %v, want %v", s.DeniedIDs(), m.denied)
				}
				if len(s.servers) > len(m.listed)+2*maxDenied || s.departed.Len() > maxDenied || s.deniedCount > maxDenied {
					t.Fatalf("%d names for %d listed", len(s.servers), len(m.listed))
				}
			},
		})
	})
}

// Of more denials than a Set may hold, the same are restored each time.
func TestRestoreOverTheBoundIsTheSameEachTime(t *testing.T) {
	snapshot := Snapshot{DeniedSince: map[string]int64{}, AllowedSince: map[string]int64{}}
	for i := range 40 {
		snapshot.DeniedSince[fmt.Sprint("denied-", i)] = int64(i)
		snapshot.AllowedSince[fmt.Sprint("allowed-", i)] = int64(i)
	}
	restored := func() string {
		s := New(10)
		s.Restore(snapshot, func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond })
		return fmt.Sprint(s.Snapshot(func(d time.Duration) int64 { return d.Milliseconds() }))
	}
	first := restored()
	for range 50 {
		if again := restored(); again != first {
			t.Fatalf("%s\nand then %s", first, again)
		}
	}
}
