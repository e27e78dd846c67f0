package latency

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A quantile is that of the times of the last turn to two turns, to 1% or a unit; what is older is forgotten, and nothing is
// longer than the most.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, turn = 2 * time.Second, time.Second
		w := New(most, turn, 0)
		now, began := time.Second, time.Duration(0)
		var fresh, past []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "times") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "passes")) * time.Millisecond
			took := time.Duration(rapid.IntRange(0, 4_000_000).Draw(t, "took")) * time.Microsecond
			if now-began >= turn {
				fresh, past, began = nil, fresh, now
			}
			w.Record(now, took)
			fresh = append(fresh, min(max(took, resolution), most))
		}
		all := slices.Sorted(slices.Values(slices.Concat(fresh, past)))
		if w.Count() != int64(len(all)) {
			t.Fatalf("%d times are kept of %d", w.Count(), len(all))
		}
		for _, q := range []float64{0.1, 0.5, 0.9, 1} {
			want := all[max(0, int(q*float64(len(all))+0.5)-1)]
			if got := w.Quantile(q); math.Abs(float64(got-want)) > 0.01*float64(want)+float64(resolution) {
				t.Fatalf("quantile %v is %v, want %v of %v", q, got, want, all)
			}
		}
	})
	w := New(time.Second, time.Hour, 100)
	for range 250 {
		w.Record(time.Second, time.Millisecond)
	}
	if n := w.Count(); n > 200 || n < 100 {
		t.Errorf("%d times are kept of a window that is full with 100", n)
	}
}
