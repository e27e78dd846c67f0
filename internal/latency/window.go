// Package latency keeps how long things took of late, in bounded memory. It reads no clock.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	resolution        = 100 * time.Microsecond // of the histograms
	significantDigits = 2                      // of their figures
)

// Window keeps the times of the last turn to two turns, in HDR histograms: one that counts and the one before it. A figure
// is off by 1% or 0.1 ms, whichever is more. It is not safe for concurrent use.
type Window struct {
	rotationInterval time.Duration // after which the one that counts becomes the one before
	maxPerHistogram  int64         // or when it holds so many; 0: no bound
	maxValue         int64         // the longest, in units; what is longer counts as that
	rotatedAt        time.Duration
	current          *hdrhistogram.Histogram
	previous         *hdrhistogram.Histogram
	merged           *hdrhistogram.Histogram // to read from
	isMerged         bool                    // both is up to date
}

// New returns an empty window of times up to most, above 0. It turns after that time, or with so many times, if full is
// above 0.
func New(maxDuration, rotationInterval time.Duration, maxPerHistogram int) *Window {
	w := &Window{rotationInterval: rotationInterval, maxPerHistogram: int64(maxPerHistogram), maxValue: max(2, int64(maxDuration/resolution))}
	w.current, w.previous, w.merged = w.newHistogram(), w.newHistogram(), w.newHistogram()
	return w
}

func (w *Window) newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, w.maxValue, significantDigits)
}

// Record notes that something took so long, at that time.
func (w *Window) Record(now, took time.Duration) {
	if now-w.rotatedAt >= w.rotationInterval || w.maxPerHistogram > 0 && w.current.TotalCount() >= w.maxPerHistogram {
		w.current, w.previous, w.rotatedAt = w.previous, w.current, now
		w.current.Reset()
	}
	w.isMerged = false
	if err := w.current.RecordValue(min(max(int64(took/resolution), 1), w.maxValue)); err != nil {
		return // only what is out of the range is an error, and that was brought into it
	}
}

func (w *Window) mergedHistogram() *hdrhistogram.Histogram {
	if !w.isMerged {
		w.merged.Reset()
		w.merged.Merge(w.current)
		w.merged.Merge(w.previous)
		w.isMerged = true
	}
	return w.merged
}

// Count is how many times are kept.
func (w *Window) Count() int64 { return w.current.TotalCount() + w.previous.TotalCount() }

// Quantile is the time at a share q of the kept ones in their order, by the nearest rank; 0 without any.
func (w *Window) Quantile(q float64) time.Duration {
	if w.Count() == 0 {
		return 0
	}
	h := w.mergedHistogram()
	return time.Duration(max(h.ValueAtQuantile(100*q), h.Min())) * resolution // a rank of 0 has no value
}
