package simwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/golden"
)

// goldenSite is what the committed settings say; no field is zero.
func goldenSite() Site {
	return Site{
		Balancer: balancer.Settings{
			Balancers: 3, Index: 2, Tick: 4000001,
			Classes: []balancer.Class{
				{Name: "first", Effect: balancer.Idempotent, DedupScope: balancer.DedupFleet, DedupWindow: 1500000003, LatencyObjective: 600000001, Deadline: 1200000002, Priority: 1.25},
				{Name: "second", Effect: balancer.IdempotentByKey, DedupScope: balancer.DedupZone, DedupWindow: 1500000006, LatencyObjective: 600000004, Deadline: 1200000005, Priority: 2.5},
				{Name: "third", Effect: balancer.NonIdempotent, DedupScope: balancer.DedupCell, DedupWindow: 1500000009, LatencyObjective: 600000007, Deadline: 1200000008, Priority: 3.75},
			},
			Zone: 1, CrossZoneCost: 0.15, UseListWeights: true, Subscribe: true, MaxPollInterval: 2000000015, KeyAffinity: true, MaxAttempts: 4,
			AllowHedging: true, MaxRetryAfter: 1000000010, SlowStartInitialRatio: 0.3, SlowStartDuration: 7000000014, Quotas: []float64{0.6, 0.4},
			OverQuotaPriorityRatio: 0.35, WarmingOverloadRatio: 1.45,
		},
		ReportFields: []string{"util", "qps", "eps", "inflight", "queue"}, Tenants: []string{"glasgow-airport", "lerwick-port"},
		Zones: []string{"edinburgh-dc", "lerwick-dc"}, ConnectTimeout: 5000000011, ConnectionIdleTimeout: 15000000012, MaxInFlight: 1013,
		MaxRetryAfter: 1000000010,
	}
}

func TestGoldenSettings(t *testing.T) {
	text := golden.Read(t, "wire/settings.json")
	got, err := DecodeSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenSite(); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	rough, err := DecodeSettings(bytes.Replace(text, []byte(`"nominal"`), []byte(`"rough"`), 1))
	if err != nil || !rough.Balancer.UseListWeights {
		t.Errorf("rough weights: %v, %v", rough.Balancer.UseListWeights, err)
	}
}

func TestGoldenMessages(t *testing.T) {
	first := balancer.Server{ID: "10.0.0.1:1", State: balancer.Ready, Zone: 1, Cell: 2, Weight: 1.5, Started: 6}
	list := []balancer.Server{first, {ID: "10.0.0.2:2", State: balancer.Draining, Zone: 3, Cell: 4, Weight: 2.5, Started: 7},
		{ID: "10.0.0.3:3", State: balancer.Removed, Zone: 5, Cell: 6, Weight: 3.5, Started: 8}}
	removed := []balancer.Server{{ID: "10.0.0.1:1", State: balancer.Removed, Zone: 1, Cell: 2, Weight: 1.25, Started: 9}}
	event := func(e balancer.Event) Message { return Message{Kind: InstanceEvent, Instance: "agent_1", Event: e} }
	want := []Message{
		{Kind: BatchStart, Now: 5000000001},
		{Kind: InstanceStarted, Instance: "agent_1", Settings: goldenSite().Balancer, Seed: 1<<63 - 1},
		event(balancer.ServerList{Full: true, Servers: list}),
		event(balancer.ServerList{Servers: removed}),
		event(balancer.ServerList{Full: true, Servers: list}),
		event(balancer.ListUnavailable{}),
		event(balancer.Request{ID: "bb39", Class: 1, Tenant: 2, Key: "k:1", Deadline: 77, IsClientRetry: true}),
	}
	for i, result := range []balancer.Result{balancer.OK, balancer.Failed, balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.Reset,
		balancer.Cancelled, balancer.NotSent} {
		want = append(want, event(balancer.Outcome{Request: "bb39", Attempt: i + 1, Server: "10.0.0.1:1", Result: result,
			Latency: time.Duration(100 + i), RequestClosed: i == 0, Report: balancer.Report{Utilization: 0.62, ServedRate: 140, ErrorRate: 3, InFlight: 4.5, QueueLength: 5.5}}))
	}
	want = append(want,
		event(balancer.ResponseStarted{Request: "bb39", Attempt: 3}),
		event(balancer.ClientDisconnected{Request: "bb40"}),
		event(balancer.HealthCheckResult{Server: "10.0.0.2:2", Result: balancer.TimedOut, Latency: 4,
			Report: balancer.Report{Utilization: 0.25, ServedRate: 70, ErrorRate: 2, InFlight: 6.5, QueueLength: 7.5}}),
		event(balancer.PeerMessage{From: 2, Data: []byte("hi")}),
		event(balancer.TimerFired{Token: 1 << 63}),
		Message{Kind: InstanceKilled, Instance: "agent_1"},
		Message{Kind: BatchEnd})
	d := NewDecoder(bytes.NewReader(golden.Read(t, "wire/messages.jsonl")))
	for i, w := range want {
		got, err := d.Next()
		if err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		if !reflect.DeepEqual(got, w) {
			t.Errorf("message %d:\n got  %+v\n want %+v", i, got, w)
		}
	}
	if m, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last message: %+v, %v", m, err)
	}
}

// An action with all fields set shows which of them count; a second one where a field may be left out.
func TestGoldenActions(t *testing.T) {
	var out []byte
	for _, kind := range []balancer.ActionKind{balancer.Send, balancer.Cancel, balancer.Reject, balancer.Fail, balancer.SetTimer, balancer.HealthCheck,
		balancer.Subscribe, balancer.Broadcast} {
		out = AppendAction(out, "agent_1", balancer.Action{Kind: kind, Request: "bb39", Server: "10.0.0.1:1", Attempt: 2, WarmingUp: true,
			Reason: balancer.ReasonRetryBudget, After: 5, Token: 1 << 63, Data: []byte("hi")})
	}
	out = AppendAction(out, "agent_1", balancer.Action{Kind: balancer.Send, Request: "é\"r", Server: "10.0.0.1:1"})
	out = AppendAction(out, "agent_1", balancer.Action{Kind: balancer.Reject, Request: "bb39"})
	out = AppendAction(out, "agent_1", balancer.Action{Kind: balancer.SetTimer, Token: 9, After: -1})
	golden.Equal(t, "wire/actions.jsonl", AppendYield(out))
}
