package admission

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/golden"
)

type traceCaller struct {
	request      Request
	attemptsLeft int
	at           time.Duration
	patience     time.Duration
}

type tracePermit struct {
	p      *Permit
	caller traceCaller
	at     time.Duration
	end    Outcome
}

// decisionTrace drives a Controller with a toy fleet and clients that retry: normal load, then more than the fleet can do, then an outage,
// then the return.
func decisionTrace(seed int) *golden.Trace {
	const rejectedRatio, canceledRatio = 0.02, 0.02 // of the admitted requests
	tr, rnd := golden.NewTrace(1000), golden.Random(seed)
	classes := []Class{{Priority: 1, LatencyObjective: 300e6, Idempotent: true}, {Priority: 10, LatencyObjective: 400e6}, {Priority: 10, LatencyObjective: 200e6, Idempotent: true}, {Priority: 4, LatencyObjective: 300e6}}
	controller := New(Options{Classes: classes, Quotas: []float64{0.3, 0.3, 0.4}, MaxRetryAfter: 500 * time.Millisecond, MaxRemembered: 300, Seed: uint64(seed)})
	var out []tracePermit
	var again, due []traceCaller
	now, was, owed := time.Hour, Normal, 0.0
	atWork, keys := 0, 0
	phases := []struct{ rate, speed, lost float64 }{ // 2.5 s each
		{80, 1, 0.01}, {80, 1, 0.45}, {80, 1, 0}, {900, 1, 0.02}, {300, 0.5, 0.1}, {150, 0.01, 1}, {150, 0.01, 1}, {100, 1, 0.02}, {100, 0.01, 1}, {40, 1, 0},
		{30, 1, 0}, {30, 1, 0}, {60, 1, 0.5}, {60, 1, 0}, {700, 0.4, 0.3}, {100, 0.5, 0.05}, {150, 0.01, 1}, {80, 1, 0}, {40, 1, 0}, {30, 1, 0}, {30, 1, 0}, {30, 1, 0}}
	phase := func() int { return min(int((now-time.Hour)/(2500*time.Millisecond)), len(phases)-1) }
	come := func(c traceCaller) {
		c.request.Deadline = now + c.patience
		p, r := controller.Arrive(now, c.request)
		tr.Add(now, p == nil, r.RetryAfter, r.Limit, r.IsRetry)
		if p == nil {
			tr.Count("turned away")
			tr.CountIf(r.IsRetry, "repeats turned away")
			if c.attemptsLeft--; c.attemptsLeft > 0 {
				c.at = now + time.Duration(float64(r.RetryAfter)*(0.8+rnd.Share()*0.5)) + rnd.Millis(0, 20)
				c.request.IsRetry = rnd.Chance(0.4)
				again = append(again, c)
			}
			return
		}
		class, took, by := p.Completion(now + 7)
		tr.Add(p.Endpoints, p.IsRetry, p.MayHaveRun, class, took, int(by))
		tr.Count("let in")
		tr.CountIf(p.IsRetry, "repeats let in")
		if rnd.Chance(0.02) {
			controller.Revoke(now, p)
			tr.Count("withdrawn")
			c.attemptsLeft--
			c.at = now + rnd.Millis(1, 100)
			again = append(again, c)
			return
		}
		ph := phases[phase()]
		x := tracePermit{p: p, caller: c, end: OutcomeServed}
		took = time.Duration(float64(rnd.Millis(30, 120)) * (1 + max(0, float64(atWork)-40)/15) / max(ph.speed, 0.01))
		switch {
		case rnd.Chance(ph.lost):
			x.end, took = OutcomeFailed, rnd.Millis(5, 900)
		case rnd.Chance(rejectedRatio):
			x.end, took = OutcomeRejected, rnd.Millis(1, 20)
		case rnd.Chance(canceledRatio):
			x.end, took = OutcomeCanceled, rnd.Millis(1, 200)
		case took > c.patience:
			x.end, took = OutcomeFailed, c.patience
		}
		x.at = now + took
		atWork++
		out = append(out, x)
	}
	for step := range 14 * 1000 {
		now += 5 * time.Millisecond
		rest := out[:0:0]
		for _, x := range out {
			if x.at > now {
				rest = append(rest, x)
				continue
			}
			atWork--
			controller.Done(now, x.p, x.end)
			tr.Count("ends of kind " + strconv.Itoa(int(x.end)))
			if rnd.Chance(0.02) {
				controller.Done(now, x.p, OutcomeFailed) // the first word counts
			}
			if x.caller.attemptsLeft--; (x.end == OutcomeRejected || x.end == OutcomeFailed) && x.caller.attemptsLeft > 0 {
				x.caller.request.MayHaveRun = x.end == OutcomeFailed && rnd.Chance(0.2)
				x.caller.at = now + rnd.Millis(1, 150)
				again = append(again, x.caller)
			}
		}
		out = rest
		due = due[:0]
		again = slices.DeleteFunc(again, func(c traceCaller) bool {
			if c.at <= now {
				due = append(due, c)
			}
			return c.at <= now
		})
		for _, c := range due {
			come(c)
		}
		owed += phases[phase()].rate * 0.005 * 2 * rnd.Share()
		for ; owed >= 1; owed-- {
			keys++
			c := traceCaller{request: Request{Class: rnd.Below(4), Tenant: rnd.Below(4) - 1}, attemptsLeft: 4, patience: rnd.Millis(250, 900)}
			if now-time.Hour > 7*time.Second && now-time.Hour < 45*time.Second && rnd.Chance(0.3) {
				c.patience = rnd.Millis(20, 200) // less than an answer takes
			}
			if rnd.Chance(0.5) {
				c.request.Tenant = 0
			}
			if rnd.Chance(0.8) {
				c.request.Key = "k" + strconv.Itoa(keys)
			}
			come(c)
		}
		if rnd.Chance(0.01) {
			p := NewPermit(now, Request{Class: 1, Key: "e" + strconv.Itoa(step)}, IssuedByFleet)
			controller.ObserveExternal(now+1, p, Outcome(rnd.Below(4)))
			come(traceCaller{request: Request{Class: 1, Key: "e" + strconv.Itoa(step)}, attemptsLeft: 1, patience: time.Second})
		}
		if step == 6500 {
			next := append(append([]Class{}, classes...), Class{Priority: 2, LatencyObjective: 100e6})
			next[0].Priority = 20
			controller.Retune(next)
		}
		c := controller.Counts()
		if c.State != was {
			tr.Count(fmt.Sprintf("from state %d to %d", int(was), int(c.State)))
			was = c.State
		}
		if step%10 == 0 {
			tr.Add(now, int(c.State), c.Since, c.Limit, c.InFlight, c.TooLate, c.OverLimit, c.Overloads)
			for i := range c.Rejected {
				tr.Add(c.Rejected[i][0], c.Rejected[i][1])
			}
			tr.CountIf(c.TooLate > 0, "looks after a late one")
			tr.CountIf(c.OverLimit > 0, "looks after a bound one over the limit")
			tr.CountIf(c.Limit > 0 && c.Limit < math.Inf(1), "looks at a limit")
		}
	}
	return tr
}

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/storm-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "let in", "turned away", "repeats let in", "repeats turned away", "withdrawn",
		"ends of kind 0", "ends of kind 1", "ends of kind 2", "ends of kind 3", "from state 0 to 1", "from state 1 to 0", "from state 1 to 2",
		"from state 2 to 3", "from state 3 to 0", "from state 3 to 2", "looks after a late one", "looks after a bound one over the limit", "looks at a limit")
}
