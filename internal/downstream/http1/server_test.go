package http1

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
)

// When too much is open, what comes is refused at once: past the limit on descriptors nothing would be answered at
// all.
func TestTooMuchOpen(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, MaxAttempts: 1, Classes: []balancer.Class{{Name: "form-check", LatencyObjective: time.Second, Deadline: 2 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	core := engine.New(b, engine.NewClock(), nil, nil)
	s := New(Options{Engine: core, Rules: requesthead.Rules{Classes: []balancer.Class{{Name: "form-check", Deadline: 2 * time.Second}}},
		Clock: engine.NewClock(), MaxInFlight: 1}, connlimit.New(nil, 2, connlimit.Options{}))
	s.inFlight.Store(1)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/form-check", nil)
	r.Header.Set("X-Request-ID", "1")
	r.Header.Set("X-Timeout", "100m")
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
	if n := core.Counters(); n.Answers[0][engine.Rejected] != 1 || n.Open != 0 {
		t.Errorf("counted %+v", n)
	}
	if s.inFlight.Load() != 1 {
		t.Errorf("%d are held", s.inFlight.Load())
	}
}

// A drain comes to its last part while a request is open. Its answer says that its connection ends: without that the connection would be
// ended behind an answer that the client may not have read yet.
func TestAnswerOfARequestFromBeforeTheLastPartOfADrainEndsItsConnection(t *testing.T) {
	s := New(Options{}, connlimit.New(nil, 2, connlimit.Options{}))
	for _, isClosing := range []bool{false, true} {
		s.closing.Store(isClosing)
		w := httptest.NewRecorder()
		s.writeHeadAndBody(w, engine.Answer{Kind: engine.Failed})
		if got := w.Header().Get("Connection") == "close"; got != isClosing {
			t.Errorf("closing: %v, the answer says so: %v", isClosing, got)
		}
	}
}

// A request whose connection was ended before it began is not sent on: its client sends it once more, and must not have two.
func TestARequestBehindTheEndOfItsConnection(t *testing.T) {
	l := connlimit.New(agenttest.Listen(t), 2, connlimit.Options{})
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(far)
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.Drain()
	s := New(Options{Clock: engine.NewClock()}, l) // with no engine: one that is asked is a panic of another kind
	defer func() {
		if reason := recover(); reason != any(http.ErrAbortHandler) {
			t.Errorf("%v", reason)
		}
	}()
	r := httptest.NewRequest(http.MethodGet, "/form-check", nil)
	s.ServeHTTP(httptest.NewRecorder(), r.WithContext(connlimit.ConnContext(t.Context(), raw)))
}

// A request that lay unread until its client had gone is not begun.
func TestWhoHasGoneGetsNothingBegun(t *testing.T) {
	b, err := balancer.New(balancer.Settings{Balancers: 1, MaxAttempts: 1, Classes: []balancer.Class{{Name: "form-check", LatencyObjective: time.Second, Deadline: 2 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	core := engine.New(b, engine.NewClock(), noFleet{}, slog.New(slog.DiscardHandler))
	go core.Run(t.Context())
	l := connlimit.New(agenttest.Listen(t), 2, connlimit.Options{})
	s := New(Options{Engine: core, Rules: requesthead.Rules{Classes: []balancer.Class{{Name: "form-check", Deadline: 2 * time.Second}}}, Clock: engine.NewClock()}, l)
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(raw)
	ctx := connlimit.ConnContext(t.Context(), raw)
	besteffort.Close(far)
	agenttest.Eventually(t, "the close has come", func() bool { return connlimit.HasClientLeft(ctx) })
	defer func() {
		if reason := recover(); reason != any(http.ErrAbortHandler) {
			t.Errorf("%v", reason)
		}
		if s.inFlight.Load() != 0 {
			t.Errorf("%d are held", s.inFlight.Load())
		}
	}()
	r := httptest.NewRequest(http.MethodGet, "/form-check", nil)
	r.Header.Set("X-Request-ID", "1")
	r.Header.Set("X-Timeout", "100m")
	s.ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
}

// noFleet has no servers.
type noFleet struct{}

func (noFleet) Update(bool, []engine.Member) int      { return 0 }
func (noFleet) Incarnation(string) engine.Incarnation { return nil }
func (noFleet) Close()                                {}
