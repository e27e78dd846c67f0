package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/atomicfile/faultfs"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/golden"
	"appleledge/internal/plan"
)

// Each value of a call, with all its fields set, has the committed bytes and is read back from them.
func TestGoldenValues(t *testing.T) {
	config, err := fleetconfig.Decode(golden.Read(t, "fleetconfig/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Decode(golden.Read(t, "plan/full.json"))
	if err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]any{
		"status": &Status{Agent: "n0", Status: generation.Status{Number: 1, Hash: "h-2", PreviousHash: "h-3", StagedHash: "h-4", IsWatched: true, WatchSecondsLeft: 5.5,
			RolloutShare: 0.625, DrainingServers: 7, RejectedRequests: 8, OpenRequests: map[uint64]int{9: 10, 11: 12}, BlockedConfigs: 13, ServerCount: 14},
			Lock: &Lock{Holder: "ann", SecondsLeft: 15.5}, IsDurable: true, Problem: "a problem"},
		"config":           &Config{Number: 16, Hash: "h-17", Config: config},
		"history":          &[]generation.Record{{Number: 18, Hash: "h-19", Event: generation.EventHarmFound, Actor: "bob", Reason: "a reason", UnixMS: 1700000000020}},
		"plan-request":     &PlanRequest{Config: config, MaxCapacityTaken: 0.21},
		"apply-request":    &ApplyRequest{Plan: p, Actor: "cat", Reason: "another reason", Force: true},
		"applied":          &ChangeResult{Number: 22, Hash: "h-23", IsDurable: true, Problem: "another problem"},
		"rollback-request": &RollbackRequest{Actor: "dan", Reason: "a third reason"},
		"lock-request":     &LockRequest{Holder: "eve", Duration: "24m"},
		"lock":             &Lock{Holder: "fay", SecondsLeft: 25.5},
		"problem":          &Problem{Kind: KindOutdated, Error: "a third problem", Changed: []string{"s-26", "s-27"}},
	} {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "admin/"+name+".json", data)
		got := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if err := fleetconfig.DecodeStrict(bytes.NewReader(golden.Read(t, "admin/"+name+".json")), got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
	}
}

// roundTrip answers the client's requests without a socket.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(q *http.Request) (*http.Response, error) { return r(q) }

// failing is a StateStore that fails, and an engine that has ended.
type failing struct{ err error }

func (f failing) Save([]byte) error { return f.err }
func (f failing) WithGenerations(context.Context, func(time.Duration, *generation.Manager)) error {
	return f.err
}

// A change is planned, applied and rolled back, with every kind of problem on the way. What the client sends and the agent answers is
// as committed, to the byte.
func TestGoldenExchange(t *testing.T) {
	x := startAgent(t, faultfs.New(1), 6)
	x.Now = func() time.Time { return time.UnixMilli(1700000000123) }
	handler := (&Server{Changes: x.ChangeManager}).handler()
	var transcript bytes.Buffer
	client := &Client{http.Client{Transport: roundTrip(func(q *http.Request) (*http.Response, error) {
		body := []byte{}
		if q.Body != nil {
			var err error
			if body, err = io.ReadAll(q.Body); err != nil {
				return nil, err
			}
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(q.Method, q.URL.Path, bytes.NewReader(body)))
		fmt.Fprintf(&transcript, "%s %s\n%s\n%d %s\n%s\n", q.Method, q.URL, body, w.Code, w.Header().Get("Content-Type"), w.Body)
		return w.Result(), nil
	})}}
	call := func(status int, method, path string, body, into any) {
		t.Helper()
		err := client.Call(t.Context(), method, path, body, into)
		got := http.StatusOK
		if e, ok := errors.AsType[*CallError](err); ok {
			got = e.Status
			fmt.Fprintf(&transcript, "error: %v\n\n", err)
		} else if err != nil {
			t.Fatal(err)
		}
		if got != status {
			t.Errorf("%s %s: %d, %v, not %d", method, path, got, err, status)
		}
	}
	var status Status
	var config Config
	var history []generation.Record
	var p plan.Plan
	var applied ChangeResult
	var lock Lock
	readAll := func() {
		t.Helper()
		call(200, "GET", PathStatus, nil, &status)
		call(200, "GET", PathConfig, nil, &config)
		call(200, "GET", PathHistory, nil, &history)
	}
	readAll()
	call(200, "POST", PathCheck, PlanRequest{Config: drainPod(1)}, &config)
	call(422, "POST", PathCheck, PlanRequest{Config: &fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d"}}}}, &config)
	call(200, "POST", PathPlan, PlanRequest{Config: drainPod(1), MaxCapacityTaken: 0.25}, &p)
	call(200, "POST", PathLock, LockRequest{Holder: "ann", Duration: "5m"}, &lock)
	call(403, "POST", PathLock, LockRequest{Holder: "bob", Duration: "5m"}, &lock)
	call(403, "POST", PathApply, ApplyRequest{Plan: &p, Actor: "bob"}, &applied)
	call(200, "POST", PathApply, ApplyRequest{Plan: &p, Actor: "ann", Reason: "pod 1 is ill"}, &applied)
	readAll()
	call(409, "POST", PathApply, ApplyRequest{Plan: &p, Actor: "ann"}, &applied)
	call(200, "DELETE", PathLock, LockRequest{Holder: "ann"}, &struct{}{})
	call(200, "POST", PathRollback, RollbackRequest{Actor: "bob", Reason: "it is well"}, &applied)
	call(403, "POST", PathRollback, RollbackRequest{Actor: "bob"}, &applied)
	call(400, "POST", PathRollback, RollbackRequest{}, &applied)
	call(400, "POST", PathPlan, PlanRequest{}, &p)
	call(400, "POST", PathPlan, map[string]int{"other": 1}, &p)
	call(400, "POST", PathApply, ApplyRequest{Actor: "bob"}, &applied)
	call(400, "POST", PathLock, LockRequest{Holder: "bob", Duration: "long"}, &lock)
	altered := p
	altered.Agent = "n1"
	call(400, "POST", PathApply, ApplyRequest{Plan: &altered, Actor: "bob"}, &applied)
	call(200, "POST", PathPlan, PlanRequest{Config: drainPod(2), MaxCapacityTaken: 0.25}, &p)
	x.Store = failing{errors.New("no space left")}
	call(507, "POST", PathApply, ApplyRequest{Plan: &p, Actor: "bob"}, &applied)
	readAll()
	x.Store = nil
	call(200, "POST", PathApply, ApplyRequest{Plan: &p, Actor: "bob"}, &applied)
	readAll()
	x.Engine = failing{errors.New("the agent ends")}
	call(503, "GET", PathStatus, nil, &status)
	golden.Equal(t, "admin/exchange.txt", transcript.Bytes())
}
