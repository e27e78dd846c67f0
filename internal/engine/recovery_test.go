package engine

import (
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
)

// newRecoveryFixture is an engine with ties and a recovery, whose list is of now.
func newRecoveryFixture(t *testing.T, change func(*bindingFixture)) *bindingFixture {
	return newBindingFixture(t, func(x *bindingFixture) {
		x.SetRecovery(recovery.New(recovery.Options{Agents: 1, ColdCapacityRatio: 0.3, WarmupTime: time.Second,
			Classes: []recovery.Class{{Priority: 1, LatencyObjective: time.Second, Idempotent: true}, {Priority: 5, LatencyObjective: time.Second}}}, nil), func() bool { return true }, func() {})
		change(x)
	})
}

// A repeat of what may have run goes only over a connection from before it, and nowhere once all servers of its pod broke off.
func TestRetryAfterRecoveryNeedsEarlierConnection(t *testing.T) {
	x := newRecoveryFixture(t, func(*bindingFixture) {})
	first, _ := x.call("k", nil)
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
	if again, _ := x.call("k", nil); again == nil || !again.Forbidden {
		t.Errorf("a repeat to a pod that has lost its power: %+v", again)
	}
	if other, _ := x.call("new", nil); other == nil || other.Forbidden || other.ConnectedSince != 0 {
		t.Errorf("a new request: %+v", other)
	}
}

// For a while after a loss of power a client's repeat whose first try did not come since has failed, whatever the disk says.
func TestUnknownRepeatAfterRestartFails(t *testing.T) {
	again := func(x *bindingFixture, key string, marked bool) (sent bool, heard *recordingResponder) {
		heard = &recordingResponder{}
		x.lastID++
		before := len(x.transport.attempts)
		x.Handle(CallArrived(&Call{ID: "r" + string(rune('a'+x.lastID)), Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, IdempotencyKey: key,
			ClientRetry: marked, Transport: x.transport, Responder: heard}))
		return len(x.transport.attempts) > before, heard
	}
	x := newRecoveryFixture(t, func(x *bindingFixture) { x.FailUnknownRepeatsUntil(x.now + time.Minute) })
	if sent, heard := again(x, "from before", true); sent || len(*heard) != 1 || (*heard)[0].Kind != Failed {
		t.Errorf("sent %v, %+v", sent, heard)
	}
	if sent, _ := again(x, "of now", false); !sent {
		t.Error("a first try is not sent")
	}
	x.endAttempt(x.transport.attempts[len(x.transport.attempts)-1], balancer.ConnectFailed) // it never ran
	if sent, _ := again(x, "of now", true); !sent {
		t.Error("the repeat of a try that came since is not sent")
	}
	x.now += 2 * time.Minute
	if sent, _ := again(x, "long after", true); !sent {
		t.Error("a repeat long after the start is not sent")
	}
}

// A server that another agent says drains gets nothing while that word is fresh, and what the own list says is told to others.
func TestGossipOfDrainExcludesServerForAWhile(t *testing.T) {
	var told []gossip.Observation
	x := newBindingFixture(t, func(x *bindingFixture) {
		x.SetGossip(func() bool { return true }, func(f gossip.Observation) { told = append(told, f) })
	})
	uses := func() (n int) {
		for range 40 {
			if a, _ := x.call("", nil); a != nil {
				if a.Server == "s1" {
					n++
				}
				x.endAttempt(a, balancer.OK)
			}
		}
		return n
	}
	if uses() == 0 {
		t.Fatal("it is not used in calm")
	}
	x.now += time.Second
	x.Handle(GossipReceived(3, gossip.Observation{Kind: corroborate.Draining, ID: corroborate.ServerID("s1")}))
	if n := uses(); n != 0 {
		t.Errorf("%d requests went to a server that drains by word", n)
	}
	x.now += 20 * time.Second
	x.Handle(nil)
	if uses() == 0 {
		t.Error("word holds for ever")
	}
	if x.setEndpoints(EndpointUpdate{Members: []Member{{Server: balancer.Server{ID: "s2", Cell: 1, State: balancer.Draining}}}}); len(told) != 1 || told[0].ID != corroborate.ServerID("s2") {
		t.Errorf("the others are told %v", told)
	}
}
