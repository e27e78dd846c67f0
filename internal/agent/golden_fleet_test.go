package agent

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"appleledge/internal/agenttest"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/golden"
)

// What is held of overload is shown to operators as it was, each figure in its place.
func TestGoldenOverloadView(t *testing.T) {
	st := overload.Status{Trust: 0.11, Limit: 120, Capacity: 130, Utilization: 0.14, Gain: 1.5, AdmitProbabilities: []float64{0.16, 0.17}, RejectedRatio: 0.18,
		Demand: overload.Demand{NewRequests: []float64{19, 20}, ClientRetries: []float64{21, 22}, Tenants: []float64{23}, Requests: 24, Admitted: 25, InFlight: 26, ExtraAttempts: 27, ServedInTime: 28, LateOrFailed: 29,
			KnownAgents: 30, AliveAgents: 31},
		Excluded: []string{"s-32", "s-33"},
		Counts: overload.Counts{Rejected: [][2]uint64{{34, 35}, {36, 37}}, DecidedLocally: 38, PastDeadline: 39, RejectedRetries: 40, PayloadsSent: 41,
			View: overload.ViewCounts{Digests: 1000, Reports: 200, Observations: 30, Capped: 42, Malformed: 43}}}
	data, err := json.Marshal(overloadView(st, []string{"form-check", "refund-record"}))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "operator/overload.json", data)
}

// A platform's file that states what agents need to talk to each other is read key by key. Most of its keys are fields without a tag.
func TestGoldenPlatformFile(t *testing.T) {
	for _, may := range []bool{false, true} {
		text := golden.Read(t, "agent/platform-peers.json")
		if !may {
			text = bytes.Replace(text, []byte(`"Peers":true`), []byte(`"Peers":false`), 1)
		}
		cfg, err := parseConfig(text, agenttest.NoEnv)
		if err != nil {
			t.Fatal(err)
		}
		if cfg.AllowsGossip != may || cfg.PeerListen != "10.0.0.4:7946" || !slices.Equal(cfg.Peers, []string{"10.0.0.4:7946", "10.0.0.5:7947"}) ||
			cfg.Name != "n7" || cfg.Listen != "127.0.0.1:8001" || cfg.Discovery != "127.0.0.1:8002" || cfg.Operator != "127.0.0.1:8003" ||
			cfg.Seed != 0x0123456789abcdef || cfg.Cores != 1.5 || cfg.MemoryMB != 193 || cfg.Sockets != 1025 {
			t.Errorf("read as %+v", cfg)
		}
	}
}
