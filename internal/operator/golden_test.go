package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/golden"
)

// goldenFleet sets every field of a view of the fleet.
var goldenFleet = FleetView{
	Agent: "n0",
	Recovery: &Recovery{Phase: "returning", Why: "a loss of power", DurationS: 1.5, AdmittedRate: 2.5, WarmRatio: 0.375, Servers: 4, Answered: 5, Trials: 6, FailedTrials: 7,
		Rejected: map[string]uint64{"form-check": 8, "refund-record": 9}, Trust: "names", Persistence: "written 10ms ago"},
	Peers: &Peers{Self: 11, Alive: 12, States: []string{"alive", "suspect", "dead"}, Sent: 13, SentBytes: 14, Received: 15,
		Dropped: map[string]uint64{"forged": 16, "stale": 17}, ExcludedServers: []string{"s-18"}, Claims: 19, ClaimsOutOfBounds: 20, SuspectedBy: 21, Suspecting: 22},
	Overload: &Overload{Trust: 0.23, KnownAgents: 24, Capacity: 25.5, Utilization: 0.26, Limit: 27.5, OfferedRate: 28.5, AdmittedRate: 29.5, InFlight: 30.5, ServedInTimeRate: 31.5, LateOrFailedRate: 32.5,
		RetryRate: 33.5, RejectedRatio: 0.34, Classes: map[string]OverloadClass{"form-check": {FirstAttemptRate: 35.5, RetryRate: 36.5, AdmissionProbability: 0.37, Rejected: 38, RejectedRetries: 39}},
		ExcludedServers: []string{"s-40"}, DecidedLocally: 41, RejectedTooLate: 42, SuppressedRetries: 43, PayloadsSent: 44, PayloadsReceived: 45, ClaimsOutOfBounds: 46, Malformed: 47},
}

// answers calls a server and writes what it answers.
func answers(f *fake, fleet func(context.Context) (FleetView, error), lines ...string) string {
	h := (&Server{Agent: f, Fleet: fleet, Log: slog.New(slog.DiscardHandler)}).Handler()
	var b strings.Builder
	for _, line := range lines {
		method, path, _ := strings.Cut(line, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		fmt.Fprintf(&b, "%s\n%d\n", line, w.Code)
		besteffort.Ignore(w.Header().Write(&b))
		fmt.Fprintf(&b, "%s\n", w.Body)
	}
	return strings.ReplaceAll(b.String(), "\r", "")
}

// The view of the fleet has the committed bytes, and these are read as the same view. A part that there is none of is left out.
func TestGoldenFleet(t *testing.T) {
	f := newFake()
	for name, fleet := range map[string]FleetView{"fleet": goldenFleet, "fleet-bare": {Agent: "n0"},
		"fleet-empty": {Agent: "n0", Recovery: &Recovery{}, Peers: &Peers{}, Overload: &Overload{}}} {
		w := httptest.NewRecorder()
		s := &Server{Agent: f, Fleet: func(context.Context) (FleetView, error) { return fleet, nil }, Log: slog.New(slog.DiscardHandler)}
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ops/fleet", nil))
		golden.Equal(t, "operator/"+name+".json", w.Body.Bytes())
		if got := w.Header().Get("Content-Type"); w.Code != 200 || got != "application/json" {
			t.Errorf("%d, %s", w.Code, got)
		}
	}
	var got FleetView
	if err := fleetconfig.DecodeStrict(bytes.NewReader(golden.Read(t, "operator/fleet.json")), &got); err != nil || !reflect.DeepEqual(got, goldenFleet) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// Each call, and each error, is answered with the committed bytes.
func TestGoldenCalls(t *testing.T) {
	calls := []string{"GET /ops/readiness", "GET /ops/stats", "PUT /ops/backends/down/s-1", "PUT /ops/backends/down/s%2F2", "PUT /ops/backends/up/s-1",
		"PUT /ops/backends/up/never", "PUT /ops/backends/up/" + strings.Repeat("x", maxServerIDLength+1), "GET /ops/backends/down/s-1", "GET /elsewhere", "GET /ops/fleet"}
	f := newFake()
	text := answers(f, nil, calls...)
	f.ready, f.err = false, errors.New("the agent is ending")
	text += answers(f, func(context.Context) (FleetView, error) { return FleetView{}, f.err }, calls...)
	golden.Equal(t, "operator/calls.txt", []byte(text))
}
