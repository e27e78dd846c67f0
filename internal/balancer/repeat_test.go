package balancer

import (
	"slices"
	"testing"
	"time"
)

// keyed is the class of testSettings that is idempotent by key: one cell drops repeats for a second.
const keyed = 2

// sendKeyedTo brings requests by key until one is sent to the server, and ends the others.
func (h *testBalancer) sendKeyedTo(server string) (id string) {
	h.t.Helper()
	for range 1000 {
		id, to := h.sendRequest(keyed)
		if to == server {
			return id
		}
		h.end(id, to, 0, OK, NoReport)
	}
	h.t.Fatalf("nothing is sent to %s", server)
	return ""
}

// fill leaves several requests without an answer at a server.
func (h *testBalancer) fill(server string) (ids []string) {
	for range 3 {
		id, _, _ := h.sendManualRequest(keyed, server)
		ids = append(ids, id)
	}
	return ids
}

// answerFrom lets a server answer a request that is sent to it now.
func (h *testBalancer) answerFrom(server string) {
	id, to, _ := h.sendManualRequest(0, server)
	h.end(id, to, 0, OK, NoReport)
}

// serveAtRest brings requests that are answered at once by servers that report little use.
func (h *testBalancer) serveAtRest(n int) {
	for range n {
		id, to := h.sendRequest(0)
		h.end(id, to, 0, OK, report(0.2, 50))
	}
}

// stall lets a server owe several answers, give none for so long, and then answer all.
func (h *testBalancer) stall(server string, lasts time.Duration) {
	ids := h.fill(server)
	h.at += lasts
	for _, id := range ids {
		h.Handle(h.at, Outcome{Request: id, Server: server, Result: OK, Latency: lasts, Waited: lasts, RequestClosed: true, Report: NoReport})
	}
}

// timeOut ends the only attempt of a request as one that was waited for in vain.
func (h *testBalancer) timeOut(id, server string) {
	const waited = 1500 * time.Millisecond
	h.Handle(h.at, Outcome{Request: id, Server: server, Result: TimedOut, Latency: waited, Waited: waited, RequestClosed: true, Report: NoReport})
}

// A server that stalls reads nothing meanwhile. A repeat that it may read when its pod has forgotten the key is not sent to it.
func TestNoRepeatToAServerThatMayTakeItAfterTheWindow(t *testing.T) {
	const stalled = 800 * time.Millisecond
	for _, c := range []struct {
		name string
		age  time.Duration // of the first attempt when it fails
		wait time.Duration // between the stall and the request
		sent bool
	}{
		{"more of the window is left than it stalled", 100 * time.Millisecond, 0, true},
		{"less of the window is left", 300 * time.Millisecond, 0, false},
		{"it has answered quickly since", 300 * time.Millisecond, 2 * time.Second, false},
		{"the stall is long ago", 300 * time.Millisecond, 2 * stallMemoryHorizons * 600 * time.Millisecond, true},
	} {
		h := newTestBalancer(t, testSettings(), 1, 1) // both in one cell
		h.stall("s1", stalled)
		h.tick(c.wait)
		h.serve(50, "s1")
		id := h.sendKeyedTo("s0")
		h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", Weight: 1, State: Draining}}})
		h.at += c.age
		actions := h.end(id, "s0", 0, Reset, NoReport)
		if len(actions) != 1 || (actions[0].Kind == Send) != c.sent {
			t.Errorf("%s: %+v", c.name, actions)
			continue
		}
		if withheld := h.Stats().WithheldRetries; c.sent && withheld != 0 || !c.sent && (withheld != 1 || actions[0].Kind != Fail) {
			t.Errorf("%s: %d are counted as withheld, %+v", c.name, withheld, actions)
		}
		if c.sent && c.wait == 0 && actions[0].TakeDelay != stalled {
			t.Errorf("%s: it may be taken %v late, and has to be written that much earlier", c.name, actions[0].TakeDelay)
		}
	}
}

// silenceAndReadmit lets a server leave all that it is sent without an answer, and readmits it then: what is known of its silence stays.
func (h *testBalancer) silenceAndReadmit(server string) {
	ids := h.fill(server)
	h.at += 1500 * time.Millisecond
	for _, id := range ids {
		h.timeOut(id, server)
	}
	s := h.endpoints.byID[server]
	h.readmit(s)
	s.health = serverHealth{lastSignOfLife: h.at}
	h.refresh(s)
}

// A server that went silent under several requests may take what it was sent at any time after. A request that it was sent first
// is not repeated elsewhere: that server could run it when the pod has forgotten the repeat.
func TestNoRepeatOfWhatAStalledServerMayTakeLater(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1, 1)
	h.silenceAndReadmit("s0")
	id := h.sendKeyedTo("s0")
	h.at += 50 * time.Millisecond
	if actions := h.end(id, "s0", 0, Reset, NoReport); len(actions) != 1 || actions[0].Kind != Fail || h.Stats().WithheldRetries != 1 {
		t.Errorf("%+v, %d withheld", actions, h.Stats().WithheldRetries)
	}
	other := h.sendKeyedTo("s1")
	h.at += 50 * time.Millisecond
	if actions := h.end(other, "s1", 0, ConnectFailed, NoReport); len(actions) != 1 || actions[0].Kind != Send {
		t.Errorf("what never ran is not sent again: %+v", actions)
	}
}

// One attempt without an answer is a lost answer, and no stall: it holds back no repeat.
func TestOneLostAnswerIsNoStall(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	id := h.sendKeyedTo("s1")
	h.at += 1500 * time.Millisecond
	h.timeOut(id, "s1")
	id = h.sendKeyedTo("s0")
	h.at += 900 * time.Millisecond
	if actions := h.end(id, "s0", 0, Reset, NoReport); len(actions) != 1 || actions[0].Kind != Send || actions[0].Server != "s1" {
		t.Errorf("%+v", actions)
	}
}

// A server that can't be connected to was cut off, and has not read late.
func TestServerThatWasCutOffHasNotStalled(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	ids := h.fill("s1")
	h.at += 1500 * time.Millisecond
	for _, id := range ids {
		h.timeOut(id, "s1")
	}
	if h.maxTakeDelay(h.endpoints.byID["s1"]) != unknownDelay {
		t.Fatal("three attempts without an answer are no stall")
	}
	refused, _, _ := h.sendManualRequest(keyed, "s1")
	h.end(refused, "s1", 0, ConnectFailed, NoReport)
	if delay := h.maxTakeDelay(h.endpoints.byID["s1"]); delay != 0 {
		t.Errorf("it is taken to read %v late", delay)
	}
}

// A hedge is withheld for the same reason, and counted once for its request however often it is due.
func TestWithheldHedgeIsCountedOnce(t *testing.T) {
	set := testSettings()
	set.AllowHedging = true
	h := newTestBalancer(t, set, 1, 1)
	h.stall("s1", 900*time.Millisecond)
	h.serveAtRest(20)
	id := h.sendKeyedTo("s0")
	for _, a := range h.tick(900 * time.Millisecond) {
		if a.Kind == Send {
			t.Errorf("%s is hedged: %+v", id, a)
		}
	}
	if n := h.Stats().WithheldHedges; n != 1 {
		t.Errorf("%d hedges are counted as withheld", n)
	}
}

// A server that begins to stall may take what it was sent when the pod has forgotten a hedge. So a request by key is hedged as soon as its
// server has answered something that was sent no earlier, and not before.
func TestKeyedRequestIsHedgedOnceItsServerIsKnownToRead(t *testing.T) {
	set := testSettings()
	set.AllowHedging = true
	h := newTestBalancer(t, set, 1, 1)
	h.serveAtRest(50)
	earlier, _, _ := h.sendManualRequest(0, "s0")
	busy := h.fill("s1")
	h.at += time.Millisecond
	id := h.sendKeyedTo("s0")
	for _, other := range busy {
		h.end(other, "s1", 0, OK, NoReport)
	}
	h.tick(500 * time.Millisecond)
	h.end(earlier, "s0", 0, OK, NoReport) // sent earlier: it may have been read before the server stopped
	if actions := h.tick(100 * time.Millisecond); hasSend(actions, id) || h.Stats().WithheldHedges != 1 {
		t.Errorf("%+v, %d hedges are counted as withheld", actions, h.Stats().WithheldHedges)
	}
	h.answerFrom("s0")
	if actions := h.tick(100 * time.Millisecond); !hasSend(actions, id) {
		t.Errorf("not hedged though its server reads: %+v", actions)
	}
}

// hasSend reports whether the actions send an attempt of the request.
func hasSend(actions []Action, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Send && a.Request == id })
}

// A server that owes an answer for longer than is usual may have stopped reading. A repeat by key goes elsewhere, or nowhere.
func TestNoRepeatToASilentServer(t *testing.T) {
	for name, answers := range map[string]bool{"silent": false, "has answered since": true} {
		h := newTestBalancer(t, testSettings(), 1, 1) // both in one cell
		h.serve(50, "s0")
		h.at += time.Millisecond
		h.sendManualRequest(0, "s1")
		h.at += 300 * time.Millisecond
		if answers {
			h.answerFrom("s1")
		}
		id := h.sendKeyedTo("s0")
		actions := h.end(id, "s0", 0, Reset, NoReport)
		if len(actions) != 1 || (actions[0].Kind == Send && actions[0].Server == "s1") != answers {
			t.Errorf("%s: %+v", name, actions)
		}
	}
}

// A server that did not read the head of a repeat in time may have stopped reading. Until it answers something that was sent later, no repeat by
// key goes there; other requests do, and show when it reads again.
func TestNoRepeatToAServerThatLeftAHeadUnread(t *testing.T) {
	for name, answers := range map[string]bool{"silent": false, "has answered since": true} {
		h := newTestBalancer(t, testSettings(), 1, 1) // both in one cell
		h.serve(50, "s0")
		h.at += time.Millisecond
		unread := h.sendKeyedTo("s1")
		h.Handle(h.at, Outcome{Request: unread, Server: "s1", Result: NotSent, Unread: true, RequestClosed: true, Report: NoReport})
		h.at += time.Millisecond
		if answers {
			h.answerFrom("s1")
		}
		id, _, _ := h.sendManualRequest(keyed, "s0")
		h.end(id, "s0", 0, Reset, NoReport)
		if to, final := h.retry(id, "s1"); (to == "s1") != answers {
			t.Errorf("%s: repeated at %q, %v", name, to, final)
		}
		if n := h.Stats().UnreadRepeats; n != 1 {
			t.Errorf("%s: %d repeats are counted as unread", name, n)
		}
	}
}
