package membership

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

func member(id, addr string, state balancer.State) engine.Member {
	return engine.Member{Addr: addr, Server: balancer.Server{ID: id, State: state, Weight: 1}}
}

// receivedList is what an engine has of the list after all changes, and checks how they came.
type receivedList map[string]engine.Member

func (l receivedList) takeChanges(t interface{ Fatalf(string, ...any) }, table *Table, limit int) {
	endingsOnly := true
	for {
		part := table.TakeChanges(limit)
		if len(part) > limit {
			t.Fatalf("%d changes at a time, want %d at most", len(part), limit)
		}
		for _, m := range part {
			known, existed := l[m.ID]
			isEnding := m.State != balancer.Ready && existed
			if isEnding && !endingsOnly {
				t.Fatalf("the end of %s comes after what does not end", m.ID)
			}
			endingsOnly = isEnding
			if existed && known == m || !existed && m.State == balancer.Removed {
				t.Fatalf("%s is delivered without a change", m.ID)
			}
			if l[m.ID] = m; m.State == balancer.Removed {
				delete(l, m.ID)
			}
		}
		if len(part) == 0 {
			return
		}
	}
}

// expectedList works out anew what the engine should have.
func (t *Table) expectedList() receivedList {
	out := receivedList{}
	if t.active == noSource {
		return out
	}
	for id, m := range t.sources[t.active].members {
		for i, s := range t.sources {
			if i == t.active || s.isDisconnected {
				continue
			}
			for _, other := range s.members {
				if m.State == balancer.Ready && other.State == balancer.Draining && (other.ID == id || other.Addr == m.Addr) {
					m.State = balancer.Draining
				}
			}
		}
		out[id] = m
	}
	return out
}

// Two sources report lists and changes, are disconnected and come back, in any order and with any time between. The engine ends up with
// the list of the active source, drains first whoever reported them. A preferred source takes over only when it has been connected
// for FailbackDelay, and the list becomes empty only where its source said so for EmptyListGracePeriod.
func TestTableMatchesListOfActiveSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{FailoverDelay: 10, FailbackDelay: 30, EmptyListGracePeriod: time.Duration(rapid.IntRange(0, 1).Draw(t, "keep")) * 20}
		table := NewTable(o, 2)
		have := receivedList{}
		now := time.Duration(1)
		connectedSince := [2]time.Duration{-1, -1} // without a break; -1: disconnected
		previousSize := 0                          // servers before the step
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			from := rapid.IntRange(0, 1).Draw(t, "source")
			before := table.Active()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				table.Disconnected(now, from)
				connectedSince[from] = -1
			case 1:
				now += time.Duration(rapid.IntRange(1, 25).Draw(t, "time"))
				table.Tick(now)
			default:
				u := Update{Full: rapid.IntRange(0, 2).Draw(t, "full") == 0}
				for range rapid.IntRange(0, 6).Draw(t, "members") {
					i := rapid.IntRange(0, 7).Draw(t, "member")
					id, addr := fmt.Sprint("s", i), fmt.Sprint("a", i/2) // two ids at an address
					if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
						addr = "elsewhere"
					}
					if from == 1 {
						id = addr + id // another source, other ids
					}
					u.Members = append(u.Members, member(id, addr, balancer.State(rapid.IntRange(0, 2).Draw(t, "state"))))
				}
				table.Update(now, from, u)
				if connectedSince[from] < 0 {
					connectedSince[from] = now
				}
			}
			after := table.Active()
			if before == 1 && after == 0 && table.isUsable(now, table.sources[1]) && now-connectedSince[0] < o.FailbackDelay {
				t.Fatalf("the preferred source took over after %v", now-connectedSince[0])
			}
			if before != after && after != noSource && table.sources[after].isDisconnected {
				t.Fatalf("source %d is active, and disconnected", after)
			}
			have.takeChanges(t, table, rapid.IntRange(1, 5).Draw(t, "part"))
			if want := table.expectedList(); !maps.Equal(have, want) {
				t.Fatalf("the engine has %v, want %v", have, want)
			}
			if o.EmptyListGracePeriod > 0 && before == after && previousSize > 0 && len(have) == 0 && table.sources[after].emptyListUntil != 0 {
				t.Fatal("an empty list is believed before its time")
			}
			previousSize = len(have)
		}
	})
}

// A fleet moves from one source to another: one is lost, comes back, flaps, and reports drains and empty lists. Each line is a step
// with the ids that are ready after it; at no step does the list have a gap, and no short loss changes the active source.
func TestFailoverAndFailbackWithoutAGap(t *testing.T) {
	table := NewTable(Options{FailoverDelay: 10 * time.Second, FailbackDelay: 30 * time.Second, EmptyListGracePeriod: time.Minute}, 2)
	have := receivedList{}
	at := time.Duration(0)
	full := func(from int, members ...engine.Member) { table.Update(at, from, Update{Full: true, Members: members}) }
	ready := func() (ids string) {
		table.Tick(at)
		have.takeChanges(t, table, 100)
		for i := range 10 {
			for _, prefix := range []string{"s", "x"} {
				if m, ok := have[fmt.Sprint(prefix, i)]; ok && m.State == balancer.Ready {
					ids += m.ID + " "
				}
			}
		}
		return ids
	}
	s1, s2 := member("s1", "a1", balancer.Ready), member("s2", "a2", balancer.Ready)
	x2, x3 := member("x2", "a2", balancer.Ready), member("x3", "a3", balancer.Ready)
	for i, step := range []struct {
		what  string
		after time.Duration
		do    func()
		want  string
	}{
		{"a change before any whole list says nothing", 0, func() { table.Update(at, 1, Update{Members: []engine.Member{s1}}) }, ""},
		{"the second source alone is active", 0, func() { full(1, s1, s2) }, "s1 s2 "},
		{"the first one has to stay connected", time.Second, func() { full(0, x2, x3) }, "s1 s2 "},
		{"and takes over when it has", 31 * time.Second, func() {}, "x2 x3 "},
		{"a drain reported by the other one counts, by the address", time.Second, func() {
			table.Update(at, 1, Update{Members: []engine.Member{member("s2", "a2", balancer.Draining)}})
		}, "x3 "},
		{"and its end too", time.Second, func() { full(1, s1, s2) }, "x2 x3 "},
		{"disconnected for a short time it stays active", time.Second, func() { table.Disconnected(at, 0) }, "x2 x3 "},
		{"for longer the other one takes over", 11 * time.Second, func() {}, "s1 s2 "},
		{"back for a moment it does not", time.Second, func() { full(0, x2, x3); table.Disconnected(at, 0) }, "s1 s2 "},
		{"both disconnected, the last list stays", time.Minute, func() { table.Disconnected(at, 1) }, "s1 s2 "},
		{"back while the other is disconnected it is active at once", time.Minute, func() { full(0, x3) }, "x3 "},
		{"all removed at once is not believed yet", time.Second, func() { full(0) }, "x3 "},
		{"but a drain is", time.Second, func() {
			table.Update(at, 0, Update{Members: []engine.Member{member("x3", "a3", balancer.Draining)}})
		}, ""},
		{"a list that is not empty ends the doubt", time.Second, func() { full(0, x2, x3) }, "x2 x3 "},
		{"removed one by one, the last is kept", time.Second, func() {
			table.Update(at, 0, Update{Members: []engine.Member{member("x2", "a2", balancer.Removed)}})
			table.Update(at, 0, Update{Members: []engine.Member{member("x3", "a3", balancer.Removed)}})
		}, "x3 "},
		{"and for so long only", 61 * time.Second, func() {}, ""},
		{"an entry that can't be read stays", 0, func() {
			full(0, x2, x3)
			table.Update(at, 0, Update{Full: true, Members: []engine.Member{x3}, Retained: []string{"x2"}})
		}, "x2 x3 "},
	} {
		at += step.after
		step.do()
		if got := ready(); got != step.want {
			t.Fatalf("step %d, %s: ready are %q, want %q", i, step.what, got, step.want)
		}
	}
}
