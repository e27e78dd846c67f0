package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// All servers of the fleet drop each other's repeats, so that a client may be told that trying again is harmless. A server has stalled
// lately, and may take a request when the repeat is forgotten: the balancer does not repeat the request. Its client must not be asked to.
func TestWhatIsWithheldForAStallIsNotRejected(t *testing.T) {
	set := testSettings()
	set.Classes[keyed].DedupScope = DedupFleet
	h := newTestBalancer(t, set, 1, 1, 1)
	h.silenceAndReadmit("s0")
	id := h.sendKeyedTo("s0")
	h.at += 50 * time.Millisecond
	if actions := h.end(id, "s0", 0, Reset, NoReport); len(actions) != 1 || actions[0].Kind != Fail || h.Stats().WithheldRetries != 1 {
		t.Errorf("%+v, %d withheld", actions, h.Stats().WithheldRetries)
	}
}

// finalActions returns the Reject and Fail among actions.
func finalActions(actions []Action) (final []Action) {
	for _, a := range actions {
		if a.Kind == Reject || a.Kind == Fail {
			final = append(final, a)
		}
	}
	return final
}

// A client that is told that a retry is harmless sends a new request to any agent, which writes it at once: a server that has just stalled takes it
// when the key is forgotten, wherever it is remembered and for however long. So what may have run by key is never rejected, whichever rule ends it.
// What has not run is rejected by each of them, so that clients retry it.
func TestWhatMayHaveRunByKeyIsNeverRejected(t *testing.T) {
	const server = "s0"
	ends := map[string]struct {
		reason Reason
		end    func(h *testBalancer, id string, result Result) []Action
	}{
		"no server": {ReasonNoServer, func(h *testBalancer, id string, result Result) []Action {
			for _, s := range slices.Clone(h.endpoints.servers) {
				h.Handle(h.at, ServerList{Servers: []Server{{ID: s.ID, State: Removed}}})
			}
			return h.end(id, server, 0, result, NoReport)
		}},
		"retry budget": {ReasonRetryBudget, func(h *testBalancer, id string, result Result) []Action {
			h.retries.tokens = 0
			return h.end(id, server, 0, result, NoReport)
		}},
		"number of attempts": {ReasonExhausted, func(h *testBalancer, id string, result Result) []Action {
			h.settings.MaxAttempts = 1
			return h.end(id, server, 0, result, NoReport)
		}},
		"deadline": {ReasonExhausted, func(h *testBalancer, id string, result Result) []Action {
			h.settings.MaxAttempts = 1
			h.at += 2 * time.Second
			return h.end(id, server, 0, result, NoReport)
		}},
	}
	for name, c := range ends {
		for _, scope := range []DedupScope{DedupFleet, DedupZone, DedupCell} {
			for _, result := range []Result{Failed, TimedOut, Reset, Cancelled, Rejected, ConnectFailed, NotSent} {
				t.Run(fmt.Sprintf("%s, scope %d, %s", name, scope, ResultNames[result]), func(t *testing.T) {
					h := keyedBalancer(t, scope)
					final := finalActions(c.end(h, h.sendKeyedTo(server), result))
					want := Fail
					if result.ProvesNotRun() {
						want = Reject
					}
					if len(final) != 1 || final[0].Kind != want || final[0].Reason != c.reason {
						t.Errorf("%+v, want kind %d", final, want)
					}
				})
			}
		}
	}
}

// keyedBalancer returns a balancer whose requests by key are recognized in the scope for a minute, far longer than they last.
func keyedBalancer(t *testing.T, scope DedupScope) *testBalancer {
	t.Helper()
	set := testSettings()
	set.Classes[keyed].DedupScope, set.Classes[keyed].DedupWindow = scope, time.Minute
	return newTestBalancer(t, set, 1, 1, 1)
}

// The deadline of a request comes while its attempt is in flight, and it is not known whether that has run.
func TestWhatIsInFlightAtItsDeadlineIsNotRejected(t *testing.T) {
	h := keyedBalancer(t, DedupFleet)
	id := h.sendKeyedTo("s0")
	h.at += 2 * time.Second
	if to, final := destination(h.Handle(h.at, TimerFired{h.requests.byID[id].token})); to != "" || !slices.Equal(final, []ActionKind{Fail}) {
		t.Errorf("sent to %q, %v", to, final)
	}
}

// What may have run under another id is not rejected either, by a rule that ends the request before it is sent.
func TestEarlierAttemptIsNotRejectedByTheList(t *testing.T) {
	h := keyedBalancer(t, DedupFleet)
	h.Handle(h.at, ServerList{DropRatio: 1})
	final := finalActions(h.Handle(h.at, Request{ID: "again", Class: keyed, Deadline: h.at + 2*time.Second,
		Earlier: EarlierAttempt{MayHaveRun: true, SentAt: h.at - 100*time.Millisecond}}))
	if len(final) != 1 || final[0].Kind != Fail || final[0].Reason != ReasonListDrop {
		t.Errorf("%+v", final)
	}
}
