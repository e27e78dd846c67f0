package balancer

import (
	"testing"
	"time"
)

func TestUnknownEventsAreIgnored(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1)
	for _, e := range []Event{Outcome{Request: "no"}, Outcome{Request: "no", Attempt: -1}, ClientDisconnected{"no"},
		ResponseStarted{Request: "no"}, HealthCheckResult{Server: "no"}, TimerFired{99}, Request{ID: "x", Class: 9}, PeerMessage{}} {
		if a := h.Handle(h.at, e); len(a) != 0 {
			t.Errorf("%#v: %+v", e, a)
		}
	}
}

func TestNoServerRejects(t *testing.T) {
	h := newTestBalancer(t, testSettings())
	a := h.Handle(h.at, Request{ID: "x", Deadline: h.at + 1e9})
	if last := a[len(a)-1]; last.Kind != Reject {
		t.Errorf("with no server: %+v", a)
	}
}

// Guards against a Send or a second answer when a request's outcome, its client's leaving and its timer come
// together, in any order.
func TestSimultaneousEndsGiveOneAnswer(t *testing.T) {
	for _, result := range []Result{Reset, Rejected, TimedOut, OK} {
		for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			h := newTestBalancer(t, testSettings(), 1, 1, 1)
			id, to := h.sendRequest(1)
			h.at += 2 * time.Second // the deadline
			answers := 0
			for _, k := range order {
				e := []Event{Outcome{Request: id, Server: to, Result: result, RequestClosed: result == OK, Report: NoReport},
					ClientDisconnected{id}, TimerFired{h.requests.lastToken}}[k]
				for _, a := range h.Handle(h.at, e) {
					switch a.Kind {
					case Send:
						t.Errorf("result %d, order %v: sent at the deadline", result, order)
					case Reject, Fail:
						answers++
					}
				}
			}
			if answers > 1 || len(h.requests.byID) != 0 {
				t.Errorf("result %d, order %v: %d answers, %d requests kept", result, order, answers, len(h.requests.byID))
			}
		}
	}
}

// A request whose time is over when it comes is rejected at once, and nothing is sent for it.
func TestRequestExpiredOnArrivalIsRejected(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	refused := false
	for _, a := range h.Handle(h.at, Request{ID: "x", Deadline: h.at}) {
		refused = refused || a.Kind == Reject
		if a.Kind == Send {
			t.Error("sent after its deadline")
		}
	}
	if !refused {
		t.Error("not rejected")
	}
}
