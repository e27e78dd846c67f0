package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A server has stalled for most of a window. Then the connection of a repeat breaks whose head is out and whose body was not written, as
// where the server closes a kept connection just then. It was not cut off: a repeat with less of its window left is withheld still.
func TestBreakBehindAHeadForgetsNoStall(t *testing.T) {
	for name, o := range map[string]Outcome{
		"reset, as before two steps": {Result: Reset},
		"as the transport reports":   {Result: ConnectFailed, HeadWritten: true},
	} {
		h := newTestBalancer(t, testSettings(), 1, 1) // both in one cell
		h.serve(50, "s0")
		h.stall("s1", 700*time.Millisecond)
		headOnly, _, _ := h.sendManualRequest(keyed, "s1")
		h.at += 10 * time.Millisecond
		o.Request, o.Server, o.RequestClosed, o.Report = headOnly, "s1", true, NoReport
		h.Handle(h.at, o)
		id, _, _ := h.sendManualRequest(keyed, "s0")
		h.at += 500 * time.Millisecond
		h.answerFrom("s1")
		h.end(id, "s0", 0, Reset, NoReport)
		if to, _ := h.retry(id, "s1"); to != "" {
			t.Errorf("%s: repeated with 0.5 s left, at a server that lately stalled for 0.7 s", name)
		}
	}
}

// A head was left unread once. The agent has little traffic: its next request is an hour later. The server is healthy, and what is sent
// to it waits for its 100 anyway: the repeat must be tried there.
func TestUnreadHeadIsForgottenInTime(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	unread := h.sendKeyedTo("s1")
	h.Handle(h.at, Outcome{Request: unread, Server: "s1", Result: NotSent, Unread: true, RequestClosed: true, Report: NoReport})
	h.at += time.Hour
	id, to, _ := h.sendManualRequest(keyed, "s0")
	h.end(id, to, 0, Reset, NoReport)
	if again, final := h.retry(id, "s1"); again == "" {
		t.Errorf("%v, an hour behind the unread head", final)
	}
}

// A repeat whose head was left unread has not run, and its server has done nothing for it. The next server of the pod is tried: that
// must use up neither the retry budget of other requests nor the request's own attempts, which a server may use that reads.
func TestUnreadRepeatsAreNotCounted(t *testing.T) {
	set := testSettings() // three attempts
	h := newTestBalancer(t, set, 1, 1, 1, 1, 1, 1)
	for _, s := range h.endpoints.byID {
		m := s.Server
		m.Cell = 0
		h.Handle(h.at, ServerList{Servers: []Server{m}})
	}
	h.serve(100, "")
	before := h.retries.tokens
	id, to := h.sendRequest(keyed)
	h.at += 10 * time.Millisecond
	actions := h.end(id, to, 0, Reset, NoReport)
	n := 0
	for len(actions) == 1 && actions[0].Kind == Send && n < 3 {
		n++
		h.at += 200 * time.Millisecond
		actions = h.Handle(h.at, Outcome{Request: id, Attempt: n, Server: actions[0].Server, Result: NotSent, Unread: true, Report: NoReport})
	}
	if used := before - h.retries.tokens; used > 1 {
		t.Errorf("%d unread heads of one repeat have used %.1f tokens of %d", n, used, maxRetryBudget)
	}
	if n < 3 {
		t.Errorf("given up behind %d unread heads, with servers left in the pod: %+v", n, actions)
	}
}

// A request is late, and its hedges meet heads that are left unread, as several servers of its pod stall. The first attempt breaks. What never
// ran must leave it an attempt, for a server of the pod that reads.
func TestUnreadHedgesLeaveARetry(t *testing.T) {
	set := testSettings() // three attempts
	set.AllowHedging = true
	h := newTestBalancer(t, set, 1, 1, 1, 1)
	for _, s := range h.endpoints.byID {
		m := s.Server
		m.Cell = 0
		h.Handle(h.at, ServerList{Servers: []Server{m}})
	}
	h.serveAtRest(100)
	id, first := h.sendRequest(keyed)
	h.at += time.Millisecond
	h.answerFrom(first) // it has read the request
	hedges := 0
	sent := h.at
	for hedges < 2 && h.at < sent+900*time.Millisecond { // the window is a second
		for _, a := range h.tick(10 * time.Millisecond) {
			if a.Kind == Send && a.Request == id {
				hedges++
				h.Handle(h.at, Outcome{Request: id, Attempt: hedges, Server: a.Server, Result: NotSent, Unread: true, Report: NoReport})
			}
		}
	}
	actions := h.end(id, first, 0, Reset, NoReport)
	if hedges == 0 || len(actions) != 1 || actions[0].Kind != Send {
		t.Errorf("%d hedges were left unread; behind the reset %v later: %+v", hedges, h.at-sent, actions)
	}
}

// Where repeats are confirmed only, an external caller gets no further attempt of what may have run: it writes the request itself, and the
// agent can't hold its body back. What never ran may be tried again.
func TestConfirmedOnlyWithholdsRepeatsOfExternalCallers(t *testing.T) {
	set := testSettings()
	set.ConfirmedRepeatsOnly = true
	for result, wants := range map[Result]bool{Failed: false, Rejected: true} {
		h := newTestBalancer(t, set, 1, 1)
		h.serve(50, "")
		id, to, _ := h.sendManualRequest(keyed, "s0", "s1")
		h.answerFrom(to)
		h.end(id, to, 0, result, NoReport)
		if again, final := h.retry(id, "s0", "s1"); (again != "") != wants {
			t.Errorf("result %v: again at %q, %v", result, again, final)
		}
	}
}

// sendManualUpload brings a keyed request whose body is forwarded while it comes, and returns its id and where it goes.
func (h *testBalancer) sendManualUpload(among ...string) (id, to string) {
	h.ids++
	id = fmt.Sprint("u", h.ids)
	to, _ = destination(h.Handle(h.at, Request{ID: id, Class: keyed, Deadline: h.at + 2*time.Second, AllowedServers: among, ManualRetry: true, StreamsBody: true}))
	return id, to
}

// Where repeats are confirmed only, a server that is known to send no 100 (Continue) gets none, until it is known to send it.
func TestConfirmedOnlyWithholdsRepeatsFromServersThatOmitContinue(t *testing.T) {
	set := testSettings()
	set.ConfirmedRepeatsOnly = true
	h := newTestBalancer(t, set, 1, 1) // both in one cell
	for _, omits := range []bool{true, false} {
		h.at += time.Millisecond
		known, to, _ := h.sendManualRequest(0, "s1")
		h.Handle(h.at, Outcome{Request: known, Server: to, Result: OK, OmitsContinue: omits, RequestClosed: true, Report: NoReport})
		id, _ := h.sendManualUpload("s0")
		h.end(id, "s0", 0, Failed, NoReport)
		if again, final := h.retry(id, "s1"); (again == "s1") == omits {
			t.Errorf("omits 100 (Continue) %v: again at %q, %v", omits, again, final)
		}
	}
}

// A repeat was not sent, as nothing shows that the server of the first attempt has read that. From then on a repeat goes to that server alone, once:
// its 100 (Continue) is the sign. When the server has answered something that was sent no earlier, others may get it.
func TestRepeatOfWhatMayLieUnreadGoesToItsServerOnce(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 10
	for _, answers := range []bool{false, true} {
		h := newTestBalancer(t, set, 1, 1) // both in one cell
		h.serve(50, "")
		h.at += time.Millisecond
		id, _, _ := h.sendManualRequest(keyed, "s0")
		h.end(id, "s0", 0, Reset, NoReport)
		notSent := func(attempt int, to string) {
			h.Handle(h.at, Outcome{Request: id, Attempt: attempt, Server: to, Result: NotSent, OriginalUnread: true, Report: NoReport})
		}
		if to, final := h.retry(id, "s1"); to != "s1" {
			t.Fatalf("no repeat whose body the caller holds: %v", final)
		}
		notSent(1, "s1")
		if answers {
			h.answerFrom("s0")
			if to, final := h.retry(id, "s1"); to != "s1" {
				t.Errorf("not repeated elsewhere though the first server reads: %v", final)
			}
			continue
		}
		if to, final := h.retry(id, "s0", "s1"); to != "s0" {
			t.Errorf("repeated at %q, %v", to, final)
		}
		notSent(2, "s0")
		if to, final := h.retry(id, "s0", "s1"); to != "" || !slices.Contains(final, Fail) {
			t.Errorf("a second time at %q, %v", to, final)
		}
	}
}

// The same by default. Where unconfirmed repeats are allowed, the server gets them.
func TestNoRepeatToAServerThatOmitsContinue(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		set := testSettings()
		set.AllowUnconfirmedRepeats = allowed
		h := newTestBalancer(t, set, 1, 1) // both in one cell
		known, to, _ := h.sendManualRequest(0, "s1")
		h.Handle(h.at, Outcome{Request: known, Server: to, Result: OK, OmitsContinue: true, RequestClosed: true, Report: NoReport})
		id, first := h.sendManualUpload("s0")
		h.end(id, first, 0, Failed, NoReport)
		again, final := h.retry(id, "s0", "s1")
		if want := map[bool]string{false: "s0", true: "s1"}[allowed]; again != want {
			t.Errorf("allowed %v: again at %q, %v", allowed, again, final)
		}
		if allowed {
			continue
		}
		h.Handle(h.at, Outcome{Request: id, Attempt: 1, Server: "s0", Result: NotSent, OmitsContinue: true, Report: NoReport})
		if again, final := h.retry(id, "s0", "s1"); again != "" || !slices.Contains(final, Fail) || h.Stats().WithheldRetries != 1 {
			t.Errorf("no server asks for its body: again at %q, %v, %d withheld", again, final, h.Stats().WithheldRetries)
		}
	}
}
