package denylist

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func listed(ids ...string) *Set {
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

func TestABanHoldsUntilASingleUp(t *testing.T) {
	s := listed("a")
	must(t, s.Deny(second, "a"))
	must(t, s.Deny(2*second, "a"))
	s.MarkUnlisted("a")
	s.MarkListed("a", 3*second)
	if !s.IsDenied("a") {
		t.Fatal("leaving the list and coming back has ended the ban")
	}
	must(t, s.Allow(4*second, "a"))
	must(t, s.Allow(5*second, "a"))
	if s.IsDenied("a") {
		t.Fatal("still out")
	}
}

func TestWhatNoListHasNamedIsTurnedDown(t *testing.T) {
	s := listed("a")
	for _, err := range []error{s.Deny(second, "b"), s.Allow(second, "b")} {
		if !errors.Is(err, ErrUnknown) {
			t.Errorf("got %v", err)
		}
	}
	s.MarkUnlisted("a") // one that has left is known all the same
	must(t, s.Deny(second, "a"))
	must(t, s.Allow(second, "a"))
}

// Nobody tells what becomes of a server that is out: without a start that the list knows of, it counts as cold.
func TestATakenBackServerIsCold(t *testing.T) {
	for _, c := range []struct {
		name            string
		listed, want    time.Duration
		startedMeantime bool
	}{
		{name: "no start is known of", want: 9 * second},
		{name: "the list knows of a start since", startedMeantime: true, listed: 5 * second, want: 5 * second},
	} {
		s := listed("a")
		must(t, s.Deny(2*second, "a"))
		if c.startedMeantime {
			s.MarkListed("a", c.listed)
		}
		must(t, s.Allow(9*second, "a"))
		if got := s.EffectiveStart("a", c.listed); got != c.want {
			t.Errorf("%s: started %v, want %v", c.name, got, c.want)
		}
		other := New(3) // as does a process that takes over, which hears of the list only then
		same := func(d time.Duration) int64 { return int64(d) }
		other.Restore(s.Snapshot(same), func(ms int64) time.Duration { return time.Duration(ms) })
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
	listed, out, known map[string]bool
}

// Whatever comes, a ban ends by an up alone, what is held is bounded, and another process that takes the state over holds out
// the same.
func TestBansAsAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 3
		s, m := New(most), model{map[string]bool{}, map[string]bool{}, map[string]bool{}}
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
		now := second
		t.Repeat(map[string]func(*rapid.T){
			"listed":   func(t *rapid.T) { x := id.Draw(t, "id"); s.MarkListed(x, 0); m.listed[x], m.known[x] = true, true },
			"unlisted": func(t *rapid.T) { x := id.Draw(t, "id"); s.MarkUnlisted(x); delete(m.listed, x) },
			"down": func(t *rapid.T) {
				x := id.Draw(t, "id")
				switch err := s.Deny(now, x); {
				case err == nil:
					m.out[x] = true
				case errors.Is(err, ErrFull) && len(m.out) < most, errors.Is(err, ErrUnknown) && (m.listed[x] || m.out[x]):
					t.Fatal(err)
				}
			},
			"up": func(t *rapid.T) {
				if x := id.Draw(t, "id"); s.Allow(now, x) == nil {
					delete(m.out, x)
				} else if m.listed[x] || m.out[x] {
					t.Fatal("turned down")
				}
			},
			"taken over": func(t *rapid.T) {
				same := func(d time.Duration) int64 { return int64(d) }
				other := New(most)
				other.Restore(s.Snapshot(same), func(ms int64) time.Duration { return time.Duration(ms) })
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
				if !slices.Equal(s.DeniedIDs(), slices.Sorted(maps.Keys(m.out))) {
					t.Fatalf("held out %v, want %v", s.DeniedIDs(), m.out)
				}
				if len(s.servers) > len(m.listed)+2*most || s.departed.Len() > most || s.deniedCount > most {
					t.Fatalf("%d names for %d listed", len(s.servers), len(m.listed))
				}
			},
		})
	})
}
