package engine

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/eventlog"
)

// A request is reset and retried, and its retry is reset too; another one is rejected by admission. The log says of each by id why.
func TestRetriesAndWhatIsNotServedAreLoggedWithTheirReason(t *testing.T) {
	now := time.Second
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 2, Classes: testClasses()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	k, s := &fakeAdmission{}, &recordingTransport{}
	e := New(b, ManualClock(&now), noPool{}, slog.New(slog.DiscardHandler))
	e.SetAdmission(k)
	e.Start()
	e.Handle(EndpointUpdate{Full: true, Members: []Member{{Server: balancer.Server{ID: "s"}}, {Server: balancer.Server{ID: "s-2"}}}})
	var out bytes.Buffer
	e.SetRequestLog(eventlog.New(slog.New(slog.NewTextHandler(&out, nil))))
	call := func(id string) {
		e.Handle(CallArrived(&Call{ID: id, Effect: balancer.Idempotent, Deadline: now + deadline, Transport: s, Responder: &recordingResponder{}}))
	}
	call("reset")
	for i := 0; i < len(s.attempts); i++ {
		e.Handle(Outcome{Attempt: s.attempts[i], Result: balancer.Reset, Report: balancer.NoReport})
	}
	k.closed = true
	call("turned-back")
	for _, want := range []string{
		`msg="request retried" id=reset class=0 attempt=2 server=s`,
		`previous=reset age_ms=0`,
		`msg="request not served" id=reset class=0 answer=refused reason=`,
		`msg="request not served" id=turned-back class=0 answer=refused reason=admission attempts=0`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing from\n%s", want, &out)
		}
	}
}
