package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// demand brings an ManualRetry request among these servers and returns its id and where it goes, or the final answer.
func (h *bench) demand(class int, among ...string) (id, to string, final []ActionKind) {
	h.ids++
	id = fmt.Sprint("d", h.ids)
	to, final = sentTo(h.Handle(h.at, Request{ID: id, Class: class, Deadline: h.at + 2*time.Second, AllowedServers: among, ManualRetry: true}))
	return id, to, final
}

func (h *bench) retry(id string, among ...string) (to string, final []ActionKind) {
	return sentTo(h.Handle(h.at, Retry{Request: id, AllowedServers: among}))
}

func sentTo(actions []Action) (to string, final []ActionKind) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			to = a.Server
		case Reject, Fail:
			final = append(final, a.Kind)
		}
	}
	return to, final
}

// AllowedServers narrows the candidates and leaves the draw among them as it is: by capacity.
func TestAmongNarrowsTheDraw(t *testing.T) {
	set := testSettings()
	set.UseListWeights = true
	h := newBench(t, set, 1, 2, 3, 4)
	got := map[string]int{}
	for range 300 {
		id, to, _ := h.demand(0, "s0", "s3")
		got[to]++
		h.end(id, to, 0, OK, NoReport)
	}
	if got["s0"]+got["s3"] != 300 || got["s3"] <= got["s0"] {
		t.Errorf("%v", got)
	}
	if _, to, final := h.demand(0); to == "" || final != nil {
		t.Errorf("nil narrows nothing: %q, %v", to, final)
	}
	for range 50 { // not even a server that is due to be tried again comes in from outside
		h.eject(h.endpoints.byID["s0"])
		h.at = max(h.at, h.endpoints.byID["s0"].health.ejectedUntil)
		if _, to, _ := h.demand(0, "s1"); to != "s1" {
			t.Fatalf("sent to %q", to)
		}
	}
}

// With nobody to choose among, the request is refused at once.
func TestAmongNobody(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1)
	h.ids++
	for _, among := range [][]string{{}, {"unknown"}} {
		h.ids++
		to, final := sentTo(h.Handle(h.at, Request{ID: fmt.Sprint("d", h.ids), Class: 1, Deadline: h.at + 2*time.Second,
			AllowedServers: among, ManualRetry: true}))
		if to != "" || !slices.Equal(final, []ActionKind{Reject}) {
			t.Errorf("%v: %q, %v", among, to, final)
		}
	}
}

// An ManualRetry request gets another attempt only when it is asked for, within its class, and no second copy.
func TestOnDemand(t *testing.T) {
	set := testSettings()
	set.AllowHedging = true
	h := newBench(t, set, 1, 1, 1, 1)
	warm, to, _ := h.demand(0)
	h.end(warm, to, 0, OK, report(0.3, 10)) // servers that are not busy, for which late requests are copied
	id, first, _ := h.demand(0)
	if to, final := h.retry(id); to != "" || final != nil {
		t.Errorf("with one out: %q, %v", to, final)
	}
	h.tick(1200 * time.Millisecond) // late enough for a copy
	if n := len(h.requests.byID[id].attempts); n != 1 {
		t.Errorf("%d attempts", n)
	}
	if a := h.end(id, first, 0, Failed, NoReport); len(a) != 0 {
		t.Errorf("unasked: %v", a)
	}
	to, _ = h.retry(id, "s0", "s1", "s2", "s3")
	if to == "" || to == first {
		t.Errorf("again to %q, first to %q", to, first)
	}
	h.end(id, to, 1, OK, NoReport)
	if to, final := h.retry(id); to != "" || final != nil {
		t.Errorf("after it was served: %q, %v", to, final)
	}

	unsafe, first, _ := h.demand(1)
	h.end(unsafe, first, 0, Cancelled, NoReport)
	if to, final := h.retry(unsafe); to != "" || !slices.Equal(final, []ActionKind{Fail}) {
		t.Errorf("one that must not run twice: %q, %v", to, final)
	}
	keyed, first, _ := h.demand(2)
	h.end(keyed, first, 0, Reset, NoReport)
	h.at += time.Second // its window
	if to, final := h.retry(keyed); to != "" || !slices.Equal(final, []ActionKind{Fail}) {
		t.Errorf("after the window: %q, %v", to, final)
	}
}

// Retries that are asked for come out of the same budget as those that the module makes by itself.
func TestOnDemandKeepsToTheBudget(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	sent, refused := 0, 0
	for range 200 {
		id, to, _ := h.demand(0)
		h.end(id, to, 0, Failed, NoReport)
		if to, _ := h.retry(id); to != "" {
			sent++
			h.end(id, to, 1, OK, NoReport)
		} else {
			refused++
		}
	}
	if sent > 200*retryBudgetRatio+maxRetryBudget || refused == 0 {
		t.Errorf("%d further attempts for 200 requests, %d without", sent, refused)
	}
}

// A request that may have fewer attempts than others has no more than those, and is told at once that trying again is harmless
// where none of them ran.
func TestFewerAttempts(t *testing.T) {
	for _, attempts := range []int{0, 1, 2} {
		h := newBench(t, testSettings(), 1, 1, 1, 1, 1, 1)
		to, final := sentTo(h.Handle(h.at, Request{ID: "r", Deadline: h.at + 2*time.Second, MaxAttempts: attempts}))
		n := 0
		for ; final == nil; n++ {
			to, final = sentTo(h.Handle(h.at, Outcome{Request: "r", Attempt: n, Server: to, Result: Rejected, Report: NoReport}))
		}
		if want := attempts; want > 0 && n != want || want == 0 && n <= 2 || !slices.Equal(final, []ActionKind{Reject}) {
			t.Errorf("with %d at the most it had %d attempts, and then %v", attempts, n, final)
		}
	}
}

// What may have run under another id is sent within its cell and its window alone, and is never refused: with the key's class the
// module makes of it what it makes of an attempt of its own.
func TestWhatMayHaveRunBefore(t *testing.T) {
	set := testSettings()
	keyed := slices.IndexFunc(set.Classes, func(c Class) bool { return c.Effect == IdempotentByKey && c.DedupScope == DedupCell })
	unsafe := slices.IndexFunc(set.Classes, func(c Class) bool { return c.Effect == NonIdempotent })
	if keyed < 0 || unsafe < 0 {
		t.Fatal("the settings have no such class")
	}
	window := set.Classes[keyed].DedupWindow
	for name, tt := range map[string]struct {
		class int
		ago   time.Duration
		cell  int
		want  bool // it is sent
	}{
		"within the window":            {keyed, window / 2, 1, true},
		"a tick before its end":        {keyed, window - set.Tick - time.Millisecond, 1, true},
		"at its end":                   {keyed, window - set.Tick, 1, false},
		"to a cell that is not listed": {keyed, 0, 99, false},
		"of a class that never is":     {unsafe, 0, 1, false},
	} {
		for range 30 {
			h := newBench(t, set, 1, 1, 1, 1, 1, 1, 1, 1)
			for i, s := range h.endpoints.servers {
				e := s.Server
				e.Cell = i % 3
				h.Handle(h.at, ServerList{Servers: []Server{e}})
			}
			h.at += window
			to, final := sentTo(h.Handle(h.at, Request{ID: "r", Class: tt.class, Deadline: h.at + window,
				Earlier: EarlierAttempt{MayHaveRun: true, SentAt: h.at - tt.ago, Cell: tt.cell}}))
			if tt.want && (to == "" || h.endpoints.byID[to].Cell != tt.cell) || !tt.want && (to != "" || !slices.Equal(final, []ActionKind{Fail})) {
				t.Fatalf("%s: sent to %q, %v", name, to, final)
			}
			if to == "" {
				continue
			}
			// An end that proves that this attempt never ran proves nothing of the one before.
			to, final = sentTo(h.Handle(h.at+tt.ago, Outcome{Request: "r", Server: to, Result: Rejected, Report: NoReport}))
			if to != "" && h.endpoints.byID[to].Cell != tt.cell || to == "" && !slices.Equal(final, []ActionKind{Fail}) {
				t.Fatalf("%s: sent again to %q, %v", name, to, final)
			}
		}
	}
}
