package recovery

import (
	"fmt"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// The words for phases, and the reasons for them from a loss of power to full service and at an outage, which logs show, never change.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, p := range []Phase{FullService, NoEndpoints, PollingPeers, TrialRequests, TopPriority, Ramping} {
		out = fmt.Appendf(out, "phase %d %d %v\n", i, p, p)
	}
	var r *Controller
	last := ""
	note := func(now time.Duration) {
		if s := r.Status(now); s.Phase.String()+s.Reason != last {
			last = s.Phase.String() + s.Reason
			out = fmt.Appendf(out, "%v since %v: %s\n", s.Phase, s.Since, s.Reason)
		}
	}
	for _, c := range []struct{ rate, refunds float64 }{{20, 21}, {200, 21}, {200, 500}} { // what is asked a second, and what refunds were before
		o := testOptions(4, 0)
		o.PeerPollTime = 300 * time.Millisecond
		r = New(o, nil)
		note(0)
		r.Start(start, testBaseline(12, 42, c.refunds, 0.5), "power")
		note(start)
		for i := range int(25 * c.rate) {
			now := start + time.Duration(float64(i)/c.rate*float64(second))
			if now > start+second/2 && i%7 == 0 {
				r.ObserveAttempt(now, fmt.Sprint("s-", i%12), true, false, 20, 0.8)
			}
			class := form
			if i%3 == 0 {
				class = refund
			}
			r.Arrive(now, request(class))
			r.Tick(now)
			note(now)
		}
		now := start + 30*second
		for i := range 12 {
			r.ObserveAttempt(now, fmt.Sprint("s-", i), false, true, -1, -1)
		}
		r.Tick(now)
		note(now)
	}
	for _, c := range []struct {
		begins  bool
		started time.Duration
	}{{true, 0}, {true, start + 19*second}, {false, start + 19*second}} { // the list says so of a fleet of which nothing is known
		r = New(testOptions(4, 0), nil)
		if c.begins {
			r.Start(start, Baseline{}, "nothing")
		}
		note(start)
		for i := range 3 {
			r.UpdateServer(start+20*second, Server{ID: fmt.Sprint("s-", i), Ready: true, Started: c.started}, true)
		}
		r.ListApplied(start + 20*second)
		note(start + 20*second)
	}
	golden.Equal(t, "texts/recovery.txt", out)
}
