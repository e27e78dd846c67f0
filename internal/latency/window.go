// Package latency keeps recent latencies in bounded memory and returns their quantiles. It reads no clock: the caller passes
// the time.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	resolution        = 100 * time.Microsecond // the unit of the histograms' values
	significantDigits = 2                      // decimal, of these values
)

// Window keeps the latencies of the last one to two rotation intervals, in two HDR histograms. A value is exact to 1% or
// 0.1 ms, whichever is more. It is not safe for concurrent use.
type Window struct {
	rotationInterval time.Duration // after which current becomes previous
	maxPerHistogram  int64         // latencies in current after which it becomes previous at once; 0: no limit
	maxValue         int64         // in units of resolution; a longer latency counts as that
	rotatedAt        time.Duration // on the caller's clock
	current          *hdrhistogram.Histogram
	previous         *hdrhistogram.Histogram
	merged           *hdrhistogram.Histogram // current and previous together, to read from
	isMerged         bool                    // merged is up to date
}

// New returns an empty window of latencies up to maxDuration, above 0; longer ones count as that. It rotates after
// rotationInterval and, if maxPerHistogram is above 0, after so many latencies.
func New(maxDuration, rotationInterval time.Duration, maxPerHistogram int) *Window {
	w := &Window{rotationInterval: rotationInterval, maxPerHistogram: int64(maxPerHistogram), maxValue: max(2, int64(maxDuration/resolution))}
	w.current, w.previous, w.merged = w.newHistogram(), w.newHistogram(), w.newHistogram()
	return w
}

func (w *Window) newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, w.maxValue, significantDigits)
}

// Record adds a latency, observed at the time now on the caller's clock.
func (w *Window) Record(now, took time.Duration) {
	if now-w.rotatedAt >= w.rotationInterval || w.maxPerHistogram > 0 && w.current.TotalCount() >= w.maxPerHistogram {
		w.current, w.previous, w.rotatedAt = w.previous, w.current, now
		w.current.Reset()
	}
	w.isMerged = false
	if err := w.current.RecordValue(min(max(int64(took/resolution), 1), w.maxValue)); err != nil {
		return // can't happen: only a value out of range is an error, and it was clamped
	}
}

// mergedHistogram returns all kept latencies, merged at the first read after a Record.
func (w *Window) mergedHistogram() *hdrhistogram.Histogram {
	if !w.isMerged {
		w.merged.Reset()
		w.merged.Merge(w.current)
		w.merged.Merge(w.previous)
		w.isMerged = true
	}
	return w.merged
}

// Count returns the number of kept latencies.
func (w *Window) Count() int64 { return w.current.TotalCount() + w.previous.TotalCount() }

// Quantile returns the q-quantile of the kept latencies, q from 0 to 1, by the nearest rank; 0 if there are none.
func (w *Window) Quantile(q float64) time.Duration {
	if w.Count() == 0 {
		return 0
	}
	h := w.mergedHistogram()
	return time.Duration(max(h.ValueAtQuantile(100*q), h.Min())) * resolution // a rank of 0 has no value
}
