package engine

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
)

// keeper is a door that keeps what it is told, and turns away what is not bound when it is shut.
type keeper struct {
	shut  bool
	asked []admission.Request
	ends  []admission.Outcome
}

func (k *keeper) Arrive(_ time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	k.asked = append(k.asked, a)
	if k.shut && !a.MayHaveRun {
		return nil, admission.Rejection{RetryAfter: time.Second, Limit: 7}
	}
	return &admission.Permit{}, admission.Rejection{}
}
func (k *keeper) Done(_ time.Duration, _ *admission.Permit, end admission.Outcome) {
	k.ends = append(k.ends, end)
}
func (k *keeper) Counts() admission.Counts { return admission.Counts{} }

// starter is a carrier that keeps the attempts; ear keeps the answers.
type starter struct{ attempts []*Attempt }

func (s *starter) Start(a *Attempt)                                { s.attempts = append(s.attempts, a) }
func (s *starter) RoundTrip(_ context.Context, a *Attempt) Outcome { return Outcome{Attempt: a} }

type ear []Answer

func (e *ear) Answer(a Answer) { *e = append(*e, a) }

// What a door turns away is answered at once with when to come back, and the module never hears of it; it is told of each
// end of what it let in, once; and a further try that a proxy makes of a request is bound, as an earlier one may have run.
func TestDoor(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 1, Classes: classes()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, k, s := time.Second, &keeper{}, &starter{}
	e := New(b, ManualClock(&now), noFleet{}, slog.New(slog.DiscardHandler))
	e.SetAdmission(k)
	e.Start()
	e.Handle(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "s"}}}})
	call := func(id string, try int) (*Call, *ear) {
		heard := &ear{}
		c := &Call{ID: id, Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: now + deadline, IdempotencyKey: "key-" + id, Transport: s, Responder: heard, CallerAttempt: try}
		e.Handle(CallArrived(c))
		return c, heard
	}
	served, heard := call("served", 0)
	e.Handle(Outcome{Attempt: s.attempts[0], Result: balancer.OK, Report: balancer.NoReport})
	left, _ := call("left", 0)
	e.Handle(clientLeft{left})
	e.Handle(clientLeft{left})
	failed, _ := call("failed", 0)
	e.Handle(Outcome{Attempt: s.attempts[2], Result: balancer.Reset, Report: balancer.NoReport})
	if want := []admission.Outcome{admission.OutcomeServed, admission.OutcomeCanceled, admission.OutcomeFailed}; !slices.Equal(k.ends, want) || len(*heard) != 1 || !served.Closed() || !failed.Closed() {
		t.Errorf("the door was told %v, want %v", k.ends, want)
	}
	k.shut = true
	_, heard = call("new", 0)
	if len(*heard) != 1 || (*heard)[0] != (Answer{Kind: Rejected, RetryAfter: time.Second, Limit: 7}) || len(s.attempts) != 3 {
		t.Errorf("turned away with %+v after %d attempts", *heard, len(s.attempts))
	}
	call("again", 2)
	if last := k.asked[len(k.asked)-1]; !last.MayHaveRun || last.Key != "key-again" || len(s.attempts) != 4 {
		t.Errorf("a further try: %+v, %d attempts", last, len(s.attempts))
	}
	if l := len(e.calls); l != 2 { // the one that left is out still, and the last
		t.Errorf("%d calls are held", l)
	}
}

// A request of which no try could have run, and whose next try did, is not taken for one that never ran once its end is
// forgotten: it must not run twice.
func TestNeverRanIsNoLongerSo(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 1, Classes: classes()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	e := New(b, ManualClock(&now), noFleet{}, slog.New(slog.DiscardHandler))
	e.SetOutcomeCache(1, keep)
	e.Start()
	e.Handle(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "s"}}}})
	try := func(id string, number int, full bool) *proxied {
		p := &proxied{m: &machine{ran: map[string][]*run{}, class: map[string]int{}}, id: id}
		e.Handle(CallArrived(&Call{ID: id, Class: 2, Effect: balancer.NonIdempotent, Deadline: now + deadline, Responder: p, CallerAttempt: number, AtCapacity: full}))
		return p
	}
	if p := try("x", 1, true); len(p.answers) != 1 || p.answers[0].Kind != Rejected {
		t.Fatalf("a full door answers %+v", p.answers)
	}
	for _, id := range []string{"x", "y"} { // the end of y pushes out that of x
		p := try(id, map[string]int{"x": 2, "y": 1}[id], false)
		if p.attempt == nil {
			t.Fatalf("%s is answered %+v", id, p.answers)
		}
		e.Handle(Outcome{Attempt: p.attempt, Result: balancer.Reset, Report: balancer.NoReport})
		try(id, 3, false)
	}
	if p := try("x", 4, false); p.attempt != nil || len(p.answers) != 1 || p.answers[0].Kind != Failed {
		t.Errorf("x, which may have run, is sent again: %v, answers %+v", p.attempt != nil, p.answers)
	}
}

// When the process ends each call gets its final answer at once: refused where no attempt can have run, else failed. Nothing
// is sent for it any more, and how its attempt ends then is heard by nobody.
func TestLastWord(t *testing.T) {
	for name, tt := range map[string]struct {
		first balancer.Result // how the first attempt ended before; -1: it is still out
		want  AnswerKind
	}{
		"in flight":              {-1, Failed},
		"turned away, in flight": {balancer.Rejected, Failed}, // sent once more
	} {
		t.Run(name, func(t *testing.T) {
			x := newTied(t, func(*tiedEngine) {})
			a, heard := x.call("k", nil)
			if tt.first >= 0 {
				x.end(a, tt.first)
			}
			sent := len(x.out.attempts)
			x.Handle(lastWord{a.Call})
			x.Handle(lastWord{a.Call})
			if len(*heard) != 1 || (*heard)[0].Kind != tt.want {
				t.Fatalf("answers %+v", *heard)
			}
			x.end(x.out.attempts[sent-1], balancer.Reset)
			x.now += deadline
			x.Handle(nil)
			if len(*heard) != 1 || len(x.out.attempts) != sent || len(x.calls) != 0 {
				t.Errorf("%+v, %d attempts after %d, %d calls held", *heard, len(x.out.attempts), sent, len(x.calls))
			}
		})
	}
}

// Those that wait for one answer together get their last words one by one: their flight goes on for those that are left.
func TestLastWordOfJoined(t *testing.T) {
	x := newTied(t, func(x *tiedEngine) {
		class := coalesce.Class{Coalesces: true, LatencyObjective: deadline, Deadline: deadline}
		x.SetCoalescing(coalesce.Options{Classes: []coalesce.Class{class, {}, {}}, MaxGroups: 4, MaxFollowers: 4, PauseAfterPrivate: time.Second}, 0)
	})
	calls, heard := make([]*Call, 3), make([]ear, 3)
	for i := range calls {
		calls[i] = &Call{ID: string(rune('a' + i)), Effect: balancer.Idempotent, Deadline: x.now + deadline, Transport: x.out, Responder: &heard[i], CoalesceDigest: &coalesce.Digest{}}
		x.Handle(CallArrived(calls[i]))
	}
	if len(x.out.attempts) != 1 {
		t.Fatalf("%d attempts for one flight", len(x.out.attempts))
	}
	x.Handle(lastWord{calls[0]})
	x.Handle(lastWord{calls[1]})
	x.end(x.out.attempts[0], balancer.OK)
	for i, want := range []AnswerKind{Rejected, Rejected, Served} {
		if len(heard[i]) != 1 || heard[i][0].Kind != want {
			t.Errorf("%d heard %+v, want one of kind %v", i, heard[i], want)
		}
	}
	if len(x.calls) != 0 || len(x.out.attempts) != 1 {
		t.Errorf("%d calls are held, %d attempts", len(x.calls), len(x.out.attempts))
	}
}
