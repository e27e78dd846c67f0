package agent

import (
	"container/heap"
	"testing"
	"time"

	"appleledge/logic"
)

// Backends drop a keyed request's repeats for its window only, counted from the first attempt that may have run:
// a later one whose dial outlasts the window must not be written any more.
func TestRepeatsOfAKeyedRequestStayInItsWindow(t *testing.T) {
	const deadline, window = 9 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		window time.Duration
		first  logic.Result
		want   time.Duration
	}{
		"may have run": {window, logic.Reset, time.Second + window},
		"never ran":    {window, logic.ConnectFailed, deadline},
		"turned away":  {window, logic.Rejected, deadline},
		"not keyed":    {0, logic.Reset, deadline},
	} {
		r := &call{deadline: deadline, window: c.window}
		first := r.attempt(logic.Action{Server: "b"}, time.Second)
		if first.writeBy != deadline {
			t.Errorf("%s: the first may begin until %v", name, first.writeBy)
		}
		r.ended(outcome{attempt: first, result: c.first})
		second := r.attempt(logic.Action{Server: "b"}, 2*time.Second)
		if second.writeBy != c.want || second.number != 1 || second.until != deadline || r.out != 1 {
			t.Errorf("%s: %+v with %d out", name, second, r.out)
		}
	}
}

func TestAttemptEndsWithItsOwnTimeout(t *testing.T) {
	r := &call{deadline: 9 * time.Second}
	if a := r.attempt(logic.Action{After: time.Second}, time.Second); a.until != 2*time.Second || a.writeBy != a.until {
		t.Errorf("%+v", a)
	}
}

// Timers fire in the order of their times, whatever the order in which they were set.
func TestTimersInOrder(t *testing.T) {
	l := &loop{clock: newClock()}
	for _, after := range []time.Duration{5 * time.Second, time.Second, 3 * time.Second} {
		l.do([]logic.Action{{Kind: logic.SetTimer, After: after, Token: uint64(after / time.Second)}})
	}
	for _, want := range []uint64{1, 3, 5} {
		if got := heap.Pop(&l.timers).(timer); got.token != want {
			t.Errorf("timer %d, want %d", got.token, want)
		}
	}
}
