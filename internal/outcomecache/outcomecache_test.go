package outcomecache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is the plain form of a Table: every put ever made, with no bound.
type model struct {
	puts  []string
	value map[string]int
	until map[string]time.Duration
}

// The table agrees with a plain map on all that it still holds, never gives what is over or was replaced, keeps to its
// size, and forgets early only what was put first.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 6).Draw(t, "most")
		table, m := New[int](most), model{value: map[string]int{}, until: map[string]time.Duration{}}
		var now time.Duration
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			if rapid.Bool().Draw(t, "put") {
				until := now + time.Duration(rapid.IntRange(0, 12).Draw(t, "for"))
				before := table.Evicted()
				table.Put(now, id, i, until)
				m.puts, m.value[id], m.until[id] = append(m.puts, id), i, until
				if table.Evicted() > before+1 {
					t.Fatalf("one put forgot %d", table.Evicted()-before)
				}
			}
			got, ok := table.Get(now, id)
			want, known := m.value[id]
			known = known && now < m.until[id]
			if ok && (!known || got != want) {
				t.Fatalf("%s: got %d, want %d (%v)", id, got, want, known)
			}
			if known && !ok && table.Evicted() == 0 {
				t.Fatalf("%s is forgotten with nothing evicted", id)
			}
			if table.Len() > most || len(table.order) > 2*most {
				t.Fatalf("%d ids and %d puts of at most %d", table.Len(), len(table.order), most)
			}
		}
	})
}

func TestFullTableForgetsTheFirstPut(t *testing.T) {
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

// What is over leaves the table, so that a quiet time frees its memory at the next use, and is no eviction.
func TestWhatIsOverIsNotEvicted(t *testing.T) {
	table := New[int](2)
	for i := range 10 {
		table.Put(time.Duration(i)*time.Second, fmt.Sprint(i), i, time.Duration(i+1)*time.Second)
	}
	if table.Len() != 1 || table.Evicted() != 0 {
		t.Errorf("%d held, %d evicted", table.Len(), table.Evicted())
	}
}
