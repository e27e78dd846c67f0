// Package latency keeps how long things took of late, in bounded memory. It reads no clock.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	unit   = 100 * time.Microsecond // of the histograms
	digits = 2                      // of their figures
)

// Window keeps the times of the last turn to two turns, in HDR histograms: one that counts and the one before it. A figure
// is off by 1% or 0.1 ms, whichever is more. It is not safe for concurrent use.
type Window struct {
	turn   time.Duration // after which the one that counts becomes the one before
	full   int64         // or when it holds so many; 0: no bound
	most   int64         // the longest, in units; what is longer counts as that
	began  time.Duration
	fresh  *hdrhistogram.Histogram
	past   *hdrhistogram.Histogram
	both   *hdrhistogram.Histogram // to read from
	merged bool                    // both is up to date
}

// New returns an empty window of times up to most, above 0. It turns after that time, or with so many times, if full is
// above 0.
func New(most, turn time.Duration, full int) *Window {
	w := &Window{turn: turn, full: int64(full), most: max(2, int64(most/unit))}
	w.fresh, w.past, w.both = w.histogram(), w.histogram(), w.histogram()
	return w
}

func (w *Window) histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, w.most, digits) }

// Record notes that something took so long, at that time.
func (w *Window) Record(now, took time.Duration) {
	if now-w.began >= w.turn || w.full > 0 && w.fresh.TotalCount() >= w.full {
		w.fresh, w.past, w.began = w.past, w.fresh, now
		w.fresh.Reset()
	}
	w.merged = false
	if err := w.fresh.RecordValue(min(max(int64(took/unit), 1), w.most)); err != nil {
		return // only what is out of the range is an error, and that was brought into it
	}
}

func (w *Window) read() *hdrhistogram.Histogram {
	if !w.merged {
		w.both.Reset()
		w.both.Merge(w.fresh)
		w.both.Merge(w.past)
		w.merged = true
	}
	return w.both
}

// Count is how many times are kept.
func (w *Window) Count() int64 { return w.fresh.TotalCount() + w.past.TotalCount() }

// Quantile is the time at a share q of the kept ones in their order, by the nearest rank; 0 without any.
func (w *Window) Quantile(q float64) time.Duration {
	if w.Count() == 0 {
		return 0
	}
	h := w.read()
	return time.Duration(max(h.ValueAtQuantile(100*q), h.Min())) * unit // a rank of 0 has no value
}
