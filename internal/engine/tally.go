package engine

import (
	"time"

	"appleledge/internal/latency"
	"appleledge/logic"
)

// tallyTurn is how far back the times of a Tally reach, to twice that.
const tallyTurn = 30 * time.Second

// quantilesOf are the shares of which a Tally tells the times.
var quantilesOf = [...]float64{0.5, 0.9, 0.99}

// SendKinds and AnswerKinds are the names of what is counted by kind, for logs and figures.
var (
	SendKinds   = [...]string{"first", "further", "copy"}
	AnswerKinds = [...]string{Served: "served", Refused: "refused", Failed: "failed", Conflict: "conflict"}
)

// Tally is what became of calls and attempts since the engine was made.
type Tally struct {
	Answers  [][4]uint64                // by class and AnswerKind; calls that are joined count one by one
	Left     []uint64                   // by class: calls whose client left first
	Attempts [len(logic.Results)]uint64 // by logic.Result
	Sends    [len(SendKinds)]uint64     // by kind
	Cold     uint64                     // of all these, to servers that had started lately
	GivenUp  [len(logic.Reasons)]uint64
	Times    []Times // of served calls, by class
}

// Times are how long calls took of late, from when the engine was told of them.
type Times struct {
	Count     uint64 // since the engine was made
	Sum       time.Duration
	Quantiles map[float64]time.Duration // by share; of the last 30 s to a minute
}

// tally counts for a Tally.
type tally struct {
	counts  Tally
	windows []*latency.Window
}

// Count makes the engine count what becomes of calls of so many classes, for Load. It is called before Run.
func (e *Engine) Count(classes []logic.Class) {
	if e.tally != nil {
		return
	}
	t := &tally{counts: Tally{Answers: make([][4]uint64, len(classes)), Left: make([]uint64, len(classes)), Times: make([]Times, len(classes))}}
	for _, c := range classes {
		t.windows = append(t.windows, latency.New(c.Deadline, tallyTurn, 0))
	}
	e.tally = t
}

func (t *tally) answered(now time.Duration, c *Call, kind AnswerKind) {
	if t == nil {
		return
	}
	t.counts.Answers[c.Class][kind]++
	if kind == Served {
		took := now - c.began
		t.counts.Times[c.Class].Count++
		t.counts.Times[c.Class].Sum += took
		t.windows[c.Class].Add(now, took)
	}
}

func (t *tally) left(c *Call) {
	if t != nil {
		t.counts.Left[c.Class]++
	}
}

// sent counts an attempt, before it counts as one of the call's.
func (t *tally) sent(c *Call, cold bool) {
	if t == nil {
		return
	}
	switch {
	case c.sends == 0:
		t.counts.Sends[0]++
	case c.out == 0:
		t.counts.Sends[1]++
	default:
		t.counts.Sends[2]++
	}
	if cold {
		t.counts.Cold++
	}
}

func (t *tally) givenUp(why logic.Reason) {
	if t != nil {
		t.counts.GivenUp[why]++
	}
}

func (t *tally) attempt(r logic.Result) {
	if t != nil {
		t.counts.Attempts[r]++
	}
}

// view is a copy of what is counted.
func (t *tally) view() Tally {
	v := Tally{Attempts: t.counts.Attempts, Sends: t.counts.Sends, Cold: t.counts.Cold, GivenUp: t.counts.GivenUp}
	v.Answers = append(v.Answers, t.counts.Answers...)
	v.Left = append(v.Left, t.counts.Left...)
	for i, x := range t.counts.Times {
		x.Quantiles = map[float64]time.Duration{}
		for _, q := range quantilesOf {
			x.Quantiles[q] = t.windows[i].Quantile(q)
		}
		v.Times = append(v.Times, x)
	}
	return v
}
