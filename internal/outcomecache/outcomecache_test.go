package outcomecache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a Table without a bound: every put ever made.
type model struct {
	puts    []string
	value   map[string]int
	expires map[string]time.Duration
}

// Ids are put and got in any order while time passes. The table agrees with a plain map on all that it still holds, never returns
// a value that has expired or was replaced, keeps to its capacity, and evicts at most one id a put.
func TestTableAgreesWithUnboundedModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		table, m := New[int](capacity), model{value: map[string]int{}, expires: map[string]time.Duration{}}
		var now time.Duration
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			if rapid.Bool().Draw(t, "put") {
				expires := now + time.Duration(rapid.IntRange(0, 12).Draw(t, "for"))
				before := table.Evicted()
				table.Put(now, id, i, expires)
				m.puts, m.value[id], m.expires[id] = append(m.puts, id), i, expires
				if table.Evicted() > before+1 {
					t.Fatalf("one put evicted %d", table.Evicted()-before)
				}
			}
			got, ok := table.Get(now, id)
			want, known := m.value[id]
			known = known && now < m.expires[id]
			if ok && (!known || got != want) {
				t.Fatalf("%s: got %d, want %d (%v)", id, got, want, known)
			}
			if known && !ok && table.Evicted() == 0 {
				t.Fatalf("%s is gone with nothing evicted", id)
			}
			if table.Len() > capacity || len(table.insertions) > 2*capacity {
				t.Fatalf("%d ids and %d puts of at most %d", table.Len(), len(table.insertions), capacity)
			}
		}
	})
}

func TestFullTableEvictsOldestPut(t *testing.T) {
	table := New[int](2)
	for i, id := range []string{"a", "b", "a", "c"} { // a was put again after b
		table.Put(0, id, i, time.Second)
	}
	if _, ok := table.Get(0, "b"); ok || table.Evicted() != 1 {
		t.Errorf("b is held, %d evicted", table.Evicted())
	}
	if v, ok := table.Get(0, "a"); !ok || v != 2 {
		t.Errorf("a: %d, %v", v, ok)
	}
}

// Expired entries leave the table at its next use, which frees their memory after a quiet time. That is no eviction.
func TestExpiryIsNoEviction(t *testing.T) {
	table := New[int](2)
	for i := range 10 {
		table.Put(time.Duration(i)*time.Second, fmt.Sprint(i), i, time.Duration(i+1)*time.Second)
	}
	if table.Len() != 1 || table.Evicted() != 0 {
		t.Errorf("%d held, %d evicted", table.Len(), table.Evicted())
	}
}
