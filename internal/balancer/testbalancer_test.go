package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func testSettings() Settings {
	return Settings{Balancers: 2, Tick: 5 * time.Millisecond, MaxAttempts: 3, SlowStartInitialRatio: 0.3,
		SlowStartDuration: 10 * time.Second, Classes: []Class{
			{Name: "cheap", Effect: Idempotent, LatencyObjective: 600e6, Deadline: 2e9, Priority: 1},
			{Name: "dear", Effect: NonIdempotent, LatencyObjective: 600e6, Deadline: 2e9, Priority: 10},
			{Name: "keyed", Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 1e9, LatencyObjective: 600e6, Deadline: 2e9, Priority: 3}}}
}

// testBalancer drives one Balancer by hand.
type testBalancer struct {
	*Balancer
	t   *testing.T
	at  time.Duration
	ids int
}

func newTestBalancer(t *testing.T, set Settings, weights ...float64) *testBalancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &testBalancer{Balancer: b, t: t, at: time.Hour}
	h.Start(h.at)
	l := ServerList{Full: true}
	for i, w := range weights {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprint("s", i), Weight: w, Cell: i / 2})
	}
	h.Handle(h.at, l)
	return h
}

// sendRequest brings a request and returns its id and the server it is sent to, "" if none.
func (h *testBalancer) sendRequest(class int) (id, to string) {
	h.ids++
	id = fmt.Sprint("r", h.ids)
	for _, a := range h.Handle(h.at, Request{ID: id, Class: class, Deadline: h.at + 2*time.Second}) {
		if a.Kind == Send {
			to = a.Server
		}
	}
	return id, to
}

// end ends attempt n of a request and returns the actions that follow, without timers.
func (h *testBalancer) end(id, server string, n int, result Result, report Report) []Action {
	return h.Handle(h.at, Outcome{Request: id, Attempt: n, Server: server, Result: result,
		Latency: 50 * time.Millisecond, RequestClosed: result == OK, Report: report})
}

// tick passes time, with the timer that checks health.
func (h *testBalancer) tick(d time.Duration) (actions []Action) {
	for end := h.at + d; h.at < end; {
		h.at += h.horizon / ticksPerHorizon
		actions = append(actions, slices.Clone(h.Handle(h.at, TimerFired{tickToken}))...)
	}
	return slices.DeleteFunc(actions, func(a Action) bool { return a.Kind == SetTimer })
}

func report(util, rate float64) Report {
	r := NoReport
	r.Utilization, r.ServedRate = util, rate
	return r
}

// serve brings n requests one after the other, each answered at once, and counts those sent to the server.
func (h *testBalancer) serve(n int, server string) (count int) {
	for range n {
		id, to := h.sendRequest(0)
		if to == server {
			count++
		}
		h.end(id, to, 0, OK, NoReport)
	}
	return count
}

// answerInOrder brings requests, so far apart, each of which is answered when 20 later ones have come.
func (h *testBalancer) answerInOrder(n int, apart time.Duration, took func(server string) time.Duration) {
	type sent struct{ id, to string }
	var out []sent
	for range n {
		if id, to := h.sendRequest(1); to != "" {
			out = append(out, sent{id, to})
		}
		for ; len(out) > 20; out = out[1:] {
			h.Handle(h.at, Outcome{Request: out[0].id, Server: out[0].to, Result: OK, Latency: took(out[0].to), RequestClosed: true,
				Report: report(0.5, 50)})
		}
		h.at += apart
	}
}

// sendManualRequest brings an ManualRetry request among these servers and returns its id and where it goes, or the final answer.
func (h *testBalancer) sendManualRequest(class int, among ...string) (id, to string, final []ActionKind) {
	h.ids++
	id = fmt.Sprint("d", h.ids)
	to, final = destination(h.Handle(h.at, Request{ID: id, Class: class, Deadline: h.at + 2*time.Second, AllowedServers: among, ManualRetry: true}))
	return id, to, final
}

func (h *testBalancer) retry(id string, among ...string) (to string, final []ActionKind) {
	return destination(h.Handle(h.at, Retry{Request: id, AllowedServers: among}))
}

func destination(actions []Action) (to string, final []ActionKind) {
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

// burst brings requests at even times, of which none is answered yet, and counts those that are rejected.
func (h *testBalancer) burst(n int, every time.Duration) (refused int) {
	for range n {
		if _, to := h.sendRequest(0); to == "" {
			refused++
		}
		h.tick(every)
	}
	return refused
}
