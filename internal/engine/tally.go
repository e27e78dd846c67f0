package engine

import (
	"slices"
	"sync"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/latency"
)

// tallyTurn is how far back the times of a Tally reach, to twice that.
const tallyTurn = 30 * time.Second

// quantilesOf are the shares of which a Tally tells the times.
var quantilesOf = [...]float64{0.5, 0.9, 0.99}

// SendKinds and AnswerKinds are the names of what is counted by kind, for logs and figures.
var (
	SendKinds   = [...]string{"first", "further", "copy"}
	AnswerKinds = [...]string{Served: "served", Rejected: "refused", Failed: "failed", Conflict: "conflict"}
)

// Counters is what became of calls and attempts since the engine was made, at one moment.
type Counters struct {
	Classes   []string                          // names, by number
	Answers   [][4]uint64                       // by class and AnswerKind; calls that are joined count one by one
	Left      []uint64                          // by class: calls whose client left first
	Open      int                               // calls that have not ended
	Written   uint64                            // attempts that were written whole to a server
	Attempts  [len(balancer.ResultNames)]uint64 // by balancer.Result
	Sends     [len(SendKinds)]uint64            // by kind
	SlowStart uint64                            // of all these, to servers that had started lately
	GivenUp   [len(balancer.ReasonNames)]uint64
	Latencies []LatencyStats // of served calls, by class, where they are kept
}

// LatencyStats are how long calls took of late, from when the engine was told of them.
type LatencyStats struct {
	Count     uint64 // since the engine was made
	Sum       time.Duration
	Quantiles map[float64]time.Duration // by share; of the last 30 s to a minute
}

// tally is the one place that counts. Its lock makes a reading one moment, which does not wait for the engine's queue.
type tally struct {
	mu      sync.Mutex
	counts  Counters
	windows []*latency.Window // none where no times are kept
}

// SetClassNames states the classes by number, as they come and go; what was counted of an earlier one stands.
func (e *Engine) SetClassNames(classes []balancer.Class) {
	t := e.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Classes = nil
	for i, c := range classes {
		t.counts.Classes = append(t.counts.Classes, c.Name)
		t.room(i)
		if len(t.windows) > 0 && i == len(t.windows) {
			t.windows = append(t.windows, latency.New(c.Deadline, tallyTurn, 0))
		}
	}
}

// TrackLatency makes the engine keep the times of calls of these classes, for Load. It is called before Run.
func (e *Engine) TrackLatency(classes []balancer.Class) {
	e.SetClassNames(classes)
	if len(e.tally.windows) > 0 {
		return
	}
	for _, c := range classes {
		e.tally.windows = append(e.tally.windows, latency.New(c.Deadline, tallyTurn, 0))
	}
}

// Counters returns what is counted. It waits for nothing that the engine does.
func (e *Engine) Counters() Counters { return e.tally.view() }

// CountRejected counts a call that its front has refused, which the engine has not seen.
func (e *Engine) CountRejected(c *Call) {
	e.tally.arrived(c)
	e.tally.answered(e.clock.Now(), c, Rejected)
}

// room makes room for a class.
func (t *tally) room(class int) {
	for len(t.counts.Answers) <= class {
		t.counts.Answers = append(t.counts.Answers, [4]uint64{})
		t.counts.Left = append(t.counts.Left, 0)
	}
}

// arrived counts a call as open.
func (t *tally) arrived(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.counted = true
	t.counts.Open++
}

// over counts a call as open no more, if it was; the lock is held.
func (t *tally) over(c *Call) {
	if c.counted {
		c.counted = false
		t.counts.Open--
	}
}

// forgotten counts a call as over that was closed from outside.
func (t *tally) forgotten(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over(c)
}

// wrote counts an attempt that was written whole; it is called from any goroutine.
func (t *tally) wrote() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Written++
}

func (t *tally) answered(now time.Duration, c *Call, kind AnswerKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.room(c.Class)
	t.counts.Answers[c.Class][kind]++
	t.over(c)
	if kind == Served && c.Class < len(t.windows) {
		for len(t.counts.Latencies) <= c.Class {
			t.counts.Latencies = append(t.counts.Latencies, LatencyStats{})
		}
		took := now - c.began
		t.counts.Latencies[c.Class].Count++
		t.counts.Latencies[c.Class].Sum += took
		t.windows[c.Class].Record(now, took)
	}
}

func (t *tally) left(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.room(c.Class)
	t.counts.Left[c.Class]++
	t.over(c)
}

// sent counts an attempt, before it counts as one of the call's.
func (t *tally) sent(c *Call, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.sends == 0:
		t.counts.Sends[0]++
	case c.out == 0:
		t.counts.Sends[1]++
	default:
		t.counts.Sends[2]++
	}
	if cold {
		t.counts.SlowStart++
	}
}

func (t *tally) givenUp(why balancer.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.GivenUp[why]++
}

func (t *tally) attempt(r balancer.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Attempts[r]++
}

// view is a copy of what is counted.
func (t *tally) view() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.counts
	v.Classes, v.Answers, v.Left = slices.Clone(v.Classes), slices.Clone(v.Answers), slices.Clone(v.Left)
	v.Latencies = nil
	for i, w := range t.windows {
		x := LatencyStats{Quantiles: map[float64]time.Duration{}}
		if i < len(t.counts.Latencies) {
			x.Count, x.Sum = t.counts.Latencies[i].Count, t.counts.Latencies[i].Sum
		}
		for _, q := range quantilesOf {
			x.Quantiles[q] = w.Quantile(q)
		}
		v.Latencies = append(v.Latencies, x)
	}
	return v
}
