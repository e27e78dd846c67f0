package engine

import (
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
)

// newRecoveryFixture is an engine with bindings and a recovery, whose endpoint list is confirmed.
func newRecoveryFixture(t *testing.T, change func(*bindingFixture)) *bindingFixture {
	return newBindingFixture(t, func(x *bindingFixture) {
		x.SetRecovery(recovery.New(recovery.Options{Agents: 1, ColdCapacityRatio: 0.3, WarmupTime: time.Second,
			Classes: []recovery.Class{{Priority: 1, LatencyObjective: time.Second, Idempotent: true}, {Priority: 5, LatencyObjective: time.Second}}}, nil), func() bool { return true }, func() {})
		change(x)
	})
}

// A retry of what may have run uses only a connection from before the first attempt, whose server recognizes the repeat. Once all
// servers of its pod have broken their connections it is forbidden: they may have lost their memory with their power.
func TestRetryAfterRecoveryNeedsEarlierConnection(t *testing.T) {
	x := newRecoveryFixture(t, func(*bindingFixture) {})
	first, _ := x.call("k")
	pod := cellOf(first)
	x.endAttempt(first, balancer.Failed)
	if again := x.transport.attempts[len(x.transport.attempts)-1]; again == first || cellOf(again) != pod || again.ConnectedSince != first.Sent || again.Forbidden {
		t.Fatalf("%+v after %+v", again, first)
	}
	x.now += 10 * time.Millisecond
	for i := range 4 {
		if i/2 == pod {
			x.recovery.controller.ObserveAttempt(x.now, "s"+string(rune('0'+i)), false, true, -1, -1)
		}
	}
	x.now += 10 * time.Millisecond
	if again, _ := x.call("k"); again == nil || !again.Forbidden {
		t.Errorf("a retry to a pod that has lost its power: %+v", again)
	}
	if other, _ := x.call("new"); other == nil || other.Forbidden || other.ConnectedSince != 0 {
		t.Errorf("a new request: %+v", other)
	}
}

// For a while after a loss of power a client's retry whose first attempt did not come since the start has failed: the bindings on
// disk may be older than the attempt that ran.
func TestUnknownRepeatAfterRestartFails(t *testing.T) {
	again := func(x *bindingFixture, key string, marked bool) (sent bool, answers *recordingResponder) {
		answers = &recordingResponder{}
		x.lastID++
		before := len(x.transport.attempts)
		x.Handle(CallArrived(&Call{ID: "r" + string(rune('a'+x.lastID)), Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, IdempotencyKey: key,
			ClientRetry: marked, Transport: x.transport, Responder: answers}))
		return len(x.transport.attempts) > before, answers
	}
	x := newRecoveryFixture(t, func(x *bindingFixture) { x.FailUnknownRepeatsUntil(x.now + time.Minute) })
	if sent, answers := again(x, "from before", true); sent || len(*answers) != 1 || (*answers)[0].Kind != Failed {
		t.Errorf("sent %v, %+v", sent, answers)
	}
	if sent, _ := again(x, "of now", false); !sent {
		t.Error("a first attempt is not sent")
	}
	x.endAttempt(x.transport.attempts[len(x.transport.attempts)-1], balancer.ConnectFailed) // it can't have run
	if sent, _ := again(x, "of now", true); !sent {
		t.Error("the retry of a first attempt since the start is not sent")
	}
	x.now += 2 * time.Minute
	if sent, _ := again(x, "long after", true); !sent {
		t.Error("a retry long after the start is not sent")
	}
}

// Another agent observes that a server drains. It gets no attempt until the observation expires. What this agent's list says of
// drains is observed to the other agents.
func TestGossipOfDrainExcludesServerForAWhile(t *testing.T) {
	var observed []gossip.Observation
	x := newBindingFixture(t, func(x *bindingFixture) {
		x.SetGossip(func() bool { return true }, func(f gossip.Observation) { observed = append(observed, f) })
	})
	uses := func() (n int) {
		for range 40 {
			if a, _ := x.call(""); a != nil {
				if a.Server == "s1" {
					n++
				}
				x.endAttempt(a, balancer.OK)
			}
		}
		return n
	}
	if uses() == 0 {
		t.Fatal("it is not used before")
	}
	x.now += time.Second
	x.Handle(GossipReceived(3, gossip.Observation{Kind: corroborate.Draining, ID: corroborate.ServerID("s1")}))
	if n := uses(); n != 0 {
		t.Errorf("%d requests went to a server that drains by gossip", n)
	}
	x.now += 20 * time.Second
	x.Handle(nil)
	if uses() == 0 {
		t.Error("the observation does not expire")
	}
	if x.setEndpoints(EndpointUpdate{Members: []Member{{Server: balancer.Server{ID: "s2", Cell: 1, State: balancer.Draining}}}}); len(observed) != 1 || observed[0].ID != corroborate.ServerID("s2") {
		t.Errorf("the others are told of %v", observed)
	}
}

// Guards against a refund that runs twice after a loss of power: the binding on disk may be older than the attempt that ran, so
// that it must not lift what recovery says of a client's retry.
func TestUnknownRepeatFailsAlsoWithAnOlderBinding(t *testing.T) {
	x := newRecoveryFixture(t, func(x *bindingFixture) { x.FailUnknownRepeatsUntil(x.now + time.Minute) })
	old := x.affinity.secret.Key("k")
	if _, isNew := x.affinity.table.Bind(x.now, old, 0, 0); !isNew {
		t.Fatal("the key was bound before")
	}
	answers := &recordingResponder{}
	x.Handle(CallArrived(&Call{ID: "again", Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, IdempotencyKey: "k",
		ClientRetry: true, Transport: x.transport, Responder: answers}))
	if n := len(x.transport.attempts); n != 0 || len(*answers) != 1 || (*answers)[0].Kind != Failed {
		t.Errorf("%d attempts, %+v", n, *answers)
	}
}
