package engine

import (
	"container/heap"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/denylist"
)

// Servers drop repeats under an idempotency key for its window only, counted from the first attempt that may have run. A retry
// whose dial outlasts the window must not be written any more: it would run twice.
func TestRetryWriteDeadlineEndsWithIdempotencyWindow(t *testing.T) {
	const deadline, window = 9 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		window time.Duration
		first  balancer.Result
		want   time.Duration // for the write, and for the answer
	}{
		"may have run": {window, balancer.Reset, time.Second + window},
		"never ran":    {window, balancer.ConnectFailed, deadline},
		"rejected":     {window, balancer.Rejected, deadline},
		"no window":    {0, balancer.Reset, deadline},
	} {
		r := &Call{Deadline: deadline, IdempotencyWindow: c.window}
		first := r.newAttempt(balancer.Action{Server: "b"}, time.Second)
		if first.WriteDeadline != deadline {
			t.Errorf("%s: the first may begin until %v", name, first.WriteDeadline)
		}
		r.attemptEnded(first, c.first)
		second := r.newAttempt(balancer.Action{Server: "b"}, 2*time.Second)
		if second.WriteDeadline != c.want || second.Number != 1 || second.Deadline != c.want || r.inFlight != 1 {
			t.Errorf("%s: %+v with %d in flight", name, second, r.inFlight)
		}
	}
}

func TestAttemptDeadlineIsItsOwnTimeout(t *testing.T) {
	r := &Call{Deadline: 9 * time.Second}
	if a := r.newAttempt(balancer.Action{After: time.Second}, time.Second); a.Deadline != 2*time.Second || a.WriteDeadline != a.Deadline {
		t.Errorf("%+v", a)
	}
}

// Timers fire in the order of their times, whatever the order in which they were set.
func TestTimersFireInOrder(t *testing.T) {
	l := &Engine{clock: NewClock()}
	for _, after := range []time.Duration{5 * time.Second, time.Second, 3 * time.Second} {
		l.perform([]balancer.Action{{Kind: balancer.SetTimer, After: after, Token: uint64(after / time.Second)}})
	}
	for _, want := range []uint64{1, 3, 5} {
		if got := heap.Pop(&l.timers).(timer); got.token != want {
			t.Errorf("timer %d, want %d", got.token, want)
		}
	}
}

// Started times come from another machine's clock: 0 means long ago, and nothing else may become 0.
func TestClockConvertsUnixTimes(t *testing.T) {
	c := NewClock()
	if c.FromUnix(0) != 0 {
		t.Error("0 does not stay 0")
	}
	if got := c.FromUnix(c.epoch.UnixMilli() + 5000); got <= 4900*time.Millisecond || got > 5*time.Second {
		t.Errorf("5 s after the epoch is %v", got)
	}
	if c.FromUnix(1) >= 0 {
		t.Error("a start before the epoch is not below 0")
	}
	exact := Clock{epoch: time.UnixMilli(77)}
	if exact.FromUnix(77) == 0 {
		t.Error("a start at the epoch became 0")
	}
	if c.Now() <= 0 {
		t.Error("the clock starts at 0")
	}
}

// When operators deny several servers at once, those behind the denylist learn of them in the same order each time.
func TestDeniedServersArePassedOnInOrder(t *testing.T) {
	for range 20 {
		b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 1, Classes: testClasses()}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, seen := time.Second, &recordingOverlay{}
		e := New(b, ManualClock(&now), noPool{}, slog.New(slog.DiscardHandler))
		set := denylist.New(20)
		e.SetDenylist(set)
		e.overlays[overlayGossip] = seen
		e.Start()
		u := EndpointUpdate{Full: true}
		for i := range 16 {
			u.Members = append(u.Members, Member{Server: balancer.Server{ID: fmt.Sprintf("s-%02d", i)}})
		}
		e.Handle(u)
		before := e.denylist.changedMembers()
		for i := range 16 {
			if err := set.Deny(now, fmt.Sprintf("s-%02d", i)); err != nil {
				t.Fatal(err)
			}
		}
		seen.ids = nil
		if e.denylist.applyChangesSince(before); len(seen.ids) != 16 || !slices.IsSorted(seen.ids) {
			t.Fatalf("passed on: %v", seen.ids)
		}
	}
}

// recordingOverlay records the servers that are passed on to it.
type recordingOverlay struct{ ids []string }

func (r *recordingOverlay) overlayEndpoints(_ time.Duration, u EndpointUpdate) EndpointUpdate {
	for _, m := range u.Members {
		r.ids = append(r.ids, m.ID)
	}
	return u
}

// A repeat that its server may take late has to be written so much before the window ends, also when its dial takes long.
func TestRepeatIsWrittenEarlierWhereItMayBeTakenLate(t *testing.T) {
	const window, delay = 2 * time.Second, 800 * time.Millisecond
	c := &Call{Deadline: 9 * time.Second, IdempotencyWindow: window}
	first := c.newAttempt(balancer.Action{Server: "a"}, time.Second)
	c.attemptEnded(first, balancer.Reset)
	repeat := c.newAttempt(balancer.Action{Server: "b", TakeDelay: delay}, 2*time.Second)
	if want := time.Second + window - delay; repeat.WriteDeadline != want || repeat.Deadline != time.Second+window {
		t.Errorf("it may be written until %v, not %v", repeat.WriteDeadline, want)
	}
}

// How long a server has had an attempt counts from when it was written, and not from a dial that took long.
func TestWaitedCountsFromTheWrite(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 1, Classes: testClasses()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	a := &Attempt{Sent: now, engine: New(b, ManualClock(&now), noPool{}, slog.New(slog.DiscardHandler))}
	now += 700 * time.Millisecond
	if got := a.waited(now); got != 700*time.Millisecond {
		t.Errorf("not told when it was written: %v", got)
	}
	a.MarkWritten()
	now += 100 * time.Millisecond
	if got := a.waited(now); got != 100*time.Millisecond {
		t.Errorf("written 100 ms ago: %v", got)
	}
}

// A retry that the fleet's budget forbids ends its request. It must not use up the request's attempts, nor tokens of the agent's own
// budget, by asking again and again.
func TestRetryOverTheFleetsBudgetEndsTheCall(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 5, Classes: testClasses()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, handler, transport := time.Second, &overBudget{}, &recordingTransport{}
	e := New(b, ManualClock(&now), noPool{}, slog.New(slog.DiscardHandler))
	e.SetOverload(handler)
	e.Start()
	e.Handle(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "a"}}, {Server: balancer.Server{ID: "b"}}, {Server: balancer.Server{ID: "c"}}}})
	answers := &recordingResponder{}
	e.Handle(CallArrived(&Call{ID: "1", Class: 0, Effect: balancer.Idempotent, Deadline: now + deadline, Transport: transport, Responder: answers}))
	for i := 0; i < len(transport.attempts); i++ {
		result := balancer.Reset
		if transport.attempts[i].Forbidden {
			result = balancer.NotSent // as the transport ends it
		}
		e.Handle(Outcome{Attempt: transport.attempts[i], Result: result, Report: balancer.NoReport})
	}
	if len(transport.attempts) != 2 || handler.asked != 1 || len(*answers) != 1 || (*answers)[0].Kind != Rejected {
		t.Errorf("%d attempts, asked %d times for a retry, %+v", len(transport.attempts), handler.asked, *answers)
	}
	if n := e.Counters().GivenUp[balancer.ReasonRetryBudget]; n != 1 {
		t.Errorf("%d are counted as given up for the budget", n)
	}
}

// overBudget is an OverloadHandler that allows no retry.
type overBudget struct{ asked int }

func (o *overBudget) AllowsRetry(time.Duration) bool {
	o.asked++
	return false
}
func (*overBudget) AttemptSent(time.Duration, string, bool)                              {}
func (*overBudget) AttemptEnded(time.Duration, string, balancer.Result, balancer.Report) {}
func (*overBudget) UpdateServer(string, bool, bool)                                      {}
func (*overBudget) HandleLiveness([]bool)                                                {}
func (*overBudget) HandlePayload(time.Duration, int, []byte) error                       { return nil }
func (*overBudget) ExcludedServers(time.Duration) []string                               { return nil }
