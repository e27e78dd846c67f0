package balancer

import (
	"testing"
	"time"
)

// balancerBeforeClassUpdate is a balancer with servers in two cells whose classes have changed: form-check from idempotent to non-idempotent, pay is new.
func balancerBeforeClassUpdate(t *testing.T) *Balancer {
	t.Helper()
	set := Settings{Balancers: 1, MaxAttempts: 5, Classes: []Class{{Name: "form-check", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1}}}
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(time.Second)
	b.Handle(time.Second, ServerList{Full: true, Servers: []Server{{ID: "a", Cell: 1}, {ID: "b", Cell: 1}, {ID: "c", Cell: 2}}})
	return b
}

// countSends counts an attempt of a request that is asked for and then fails, as what may have run, until it is over.
func countSends(b *Balancer, r Request) (n int, servers []string, last ActionKind) {
	actions := b.Handle(2*time.Second, r)
	for {
		var sent *Action
		for i := range actions {
			switch actions[i].Kind {
			case Send:
				sent = &actions[i]
			case Reject, Fail:
				return n, servers, actions[i].Kind
			}
		}
		if sent == nil {
			return n, servers, Subscribe
		}
		n++
		servers = append(servers, sent.Server)
		actions = b.Handle(2*time.Second, Outcome{Request: r.ID, Attempt: n - 1, Server: sent.Server, Result: Failed, Report: NoReport})
	}
}

func TestClassUpdateBindsNewRequestsOnly(t *testing.T) {
	b := balancerBeforeClassUpdate(t)
	open := b.Handle(time.Second, Request{ID: "open", Deadline: 3 * time.Second})
	b.Handle(time.Second, ClassUpdate{MaxAttempts: 2, Classes: []Class{
		{Name: "form-check", Effect: NonIdempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1},
		{Name: "record", Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 2 * time.Second, LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1}}})
	again := b.Handle(2*time.Second, Outcome{Request: "open", Server: open[0].Server, Result: Failed, Report: NoReport})
	if len(again) == 0 || again[0].Kind != Send {
		t.Errorf("an open request that was idempotent is not sent again: %+v", again)
	}
	if n, _, last := countSends(b, Request{ID: "new", Deadline: 4 * time.Second}); n != 1 || last != Fail {
		t.Errorf("what is not idempotent now was sent %d times, then %v", n, last)
	}
	if n, _, _ := countSends(b, Request{ID: "was", Deadline: 4 * time.Second, UsesPreviousClasses: true}); n != 2 {
		t.Errorf("what came with its previous class was sent %d times, though there are 2 attempts", n)
	}
	cells := map[string]int{"a": 1, "b": 1, "c": 2}
	for _, id := range []string{"k1", "k2", "k3", "k4"} { // the cells are known though no class asked for them before
		if n, servers, _ := countSends(b, Request{ID: id, Class: 1, Deadline: 4 * time.Second}); n == 2 && cells[servers[0]] != cells[servers[1]] {
			t.Errorf("a request with an idempotency key went to %v", servers)
		}
	}
}

// An ejected server is tried by requests of the least harmful class that there still is.
func TestRetiredClassSendsNoTrials(t *testing.T) {
	b := balancerBeforeClassUpdate(t)
	b.Handle(time.Second, ClassUpdate{MaxAttempts: 2, Classes: []Class{
		{Name: "form-check", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, Retired: true},
		{Name: "pay", Effect: NonIdempotent, LatencyObjective: 3 * time.Second, Deadline: 4 * time.Second, Priority: 1}}})
	if b.outliers.trialEffect != NonIdempotent || b.horizon != 3*time.Second {
		t.Errorf("trials by %v, horizon %v", b.outliers.trialEffect, b.horizon)
	}
}
