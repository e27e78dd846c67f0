package engine

import (
	"slices"
	"sync"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/latency"
)

// latencyWindow is how long the latency quantiles reach back, at least; at most twice that.
const latencyWindow = 30 * time.Second

// latencyQuantiles are the quantiles of LatencyStats.
var latencyQuantiles = [...]float64{0.5, 0.9, 0.99}

// SendKinds and AnswerKinds are the names of what is counted by kind, as logs and metrics show them.
var (
	SendKinds   = [...]string{"first", "further", "copy"} // first attempt, retry, hedged attempt
	AnswerKinds = [...]string{Served: "served", Rejected: "refused", Failed: "failed", Conflict: "conflict"}
)

// The indexes of SendKinds.
const (
	sendFirst = iota
	sendRetry
	sendHedged
)

// Counters says what became of calls and attempts since the engine was made, at one moment.
type Counters struct {
	Classes   []string                          // names, by number
	Answers   [][4]uint64                       // by class and AnswerKind; calls that are coalesced count one by one
	Left      []uint64                          // by class: calls whose client left first
	Open      int                               // calls that have not ended
	Written   uint64                            // attempts that were written completely to a server
	Attempts  [len(balancer.ResultNames)]uint64 // by balancer.Result
	Sends     [len(SendKinds)]uint64            // by kind
	SlowStart uint64                            // of all these, to servers that were warming up
	GivenUp   [len(balancer.ReasonNames)]uint64 // calls that the balancer rejected or failed, by balancer.Reason
	Latencies []LatencyStats                    // of served calls, by class, where they are kept
}

// LatencyStats says how long calls took, from when the engine got their arrival.
type LatencyStats struct {
	Count     uint64 // since the engine was made
	Sum       time.Duration
	Quantiles map[float64]time.Duration // by quantile; of the last 30 s to a minute
}

// counters is the one place that counts. Its lock makes a reading one moment, which doesn't wait for the engine's queue.
type counters struct {
	mu      sync.Mutex
	totals  Counters
	windows []*latency.Window // by class; none where no latencies are kept
}

// SetClassNames states the classes by number, as they come and go; what was counted of an earlier one stands. It may be called
// from any goroutine.
func (e *Engine) SetClassNames(classes []balancer.Class) {
	t := e.counters
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Classes = nil
	for i, c := range classes {
		t.totals.Classes = append(t.totals.Classes, c.Name)
		t.grow(i)
		if len(t.windows) > 0 && i == len(t.windows) {
			t.windows = append(t.windows, latency.New(c.Deadline, latencyWindow, 0))
		}
	}
}

// TrackLatency makes the engine keep the latencies of calls of these classes, for Stats. It is called before Run.
func (e *Engine) TrackLatency(classes []balancer.Class) {
	e.SetClassNames(classes)
	if len(e.counters.windows) > 0 {
		return
	}
	for _, c := range classes {
		e.counters.windows = append(e.counters.windows, latency.New(c.Deadline, latencyWindow, 0))
	}
}

// Counters returns what is counted. It may be called from any goroutine, and waits for nothing that the engine does.
func (e *Engine) Counters() Counters { return e.counters.snapshot() }

// CountRejected counts a call that its downstream server has rejected and the engine has not seen.
func (e *Engine) CountRejected(c *Call) {
	e.counters.arrived(c)
	e.counters.answered(e.clock.Now(), c, Rejected)
}

// grow makes room for a class; the lock is held.
func (t *counters) grow(class int) {
	for len(t.totals.Answers) <= class {
		t.totals.Answers = append(t.totals.Answers, [4]uint64{})
		t.totals.Left = append(t.totals.Left, 0)
	}
}

// arrived counts a call as open.
func (t *counters) arrived(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.isCountedOpen = true
	t.totals.Open++
}

// closeOpen counts a call as open no more, if it was; the lock is held.
func (t *counters) closeOpen(c *Call) {
	if c.isCountedOpen {
		c.isCountedOpen = false
		t.totals.Open--
	}
}

// forgotten counts a call as over that was closed by Call.Close.
func (t *counters) forgotten(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeOpen(c)
}

// written counts an attempt that was written completely. It may be called from any goroutine.
func (t *counters) written() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Written++
}

// answered counts the final answer of a call, and its latency.
func (t *counters) answered(now time.Duration, c *Call, kind AnswerKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grow(c.Class)
	t.totals.Answers[c.Class][kind]++
	t.closeOpen(c)
	if kind == Served && c.Class < len(t.windows) {
		for len(t.totals.Latencies) <= c.Class {
			t.totals.Latencies = append(t.totals.Latencies, LatencyStats{})
		}
		took := now - c.arrivedAt
		t.totals.Latencies[c.Class].Count++
		t.totals.Latencies[c.Class].Sum += took
		t.windows[c.Class].Record(now, took)
	}
}

// clientLeft counts a call whose client left first.
func (t *counters) clientLeft(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grow(c.Class)
	t.totals.Left[c.Class]++
	t.closeOpen(c)
}

// attemptSent counts an attempt. It is called before the call's own counts include it.
func (t *counters) attemptSent(c *Call, warmingUp bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.attemptsMade == 0:
		t.totals.Sends[sendFirst]++
	case c.inFlight == 0:
		t.totals.Sends[sendRetry]++
	default:
		t.totals.Sends[sendHedged]++
	}
	if warmingUp {
		t.totals.SlowStart++
	}
}

// givenUp counts a call that the balancer rejected or failed.
func (t *counters) givenUp(reason balancer.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.GivenUp[reason]++
}

// attemptEnded counts the result of an attempt.
func (t *counters) attemptEnded(r balancer.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Attempts[r]++
}

// snapshot is a copy of what is counted.
func (t *counters) snapshot() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.totals
	v.Classes, v.Answers, v.Left = slices.Clone(v.Classes), slices.Clone(v.Answers), slices.Clone(v.Left)
	v.Latencies = nil
	for i, w := range t.windows {
		x := LatencyStats{Quantiles: map[float64]time.Duration{}}
		if i < len(t.totals.Latencies) {
			x.Count, x.Sum = t.totals.Latencies[i].Count, t.totals.Latencies[i].Sum
		}
		for _, q := range latencyQuantiles {
			x.Quantiles[q] = w.Quantile(q)
		}
		v.Latencies = append(v.Latencies, x)
	}
	return v
}
