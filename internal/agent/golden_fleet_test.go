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
	st := overload.Status{Trust: 0.11, Limit: 120, Capacity: 130, Use: 0.14, Gain: 1.5, Chances: []float64{0.16, 0.17}, Refused: 0.18,
		Asked: overload.Asked{First: []float64{19, 20}, Again: []float64{21, 22}, Tenants: []float64{23}, All: 24, LetIn: 25, Open: 26, Extra: 27, Good: 28, Late: 29,
			Heard: 30, Alive: 31},
		Held: []string{"s-32", "s-33"},
		Counts: overload.Counts{Refused: [][2]uint64{{34, 35}, {36, 37}}, Alone: 38, Late: 39, Unsent: 40, Told: 41,
			Picture: overload.PictureCounts{Digests: 1000, Reports: 200, Voices: 30, Bounded: 42, Malformed: 43}}}
	data, err := json.Marshal(overloadOf(st, []string{"form-check", "refund-record"}))
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
		if cfg.MayTell != may || cfg.PeerListen != "10.0.0.4:7946" || !slices.Equal(cfg.Peers, []string{"10.0.0.4:7946", "10.0.0.5:7947"}) ||
			cfg.Name != "n7" || cfg.Listen != "127.0.0.1:8001" || cfg.Discovery != "127.0.0.1:8002" || cfg.Operator != "127.0.0.1:8003" ||
			cfg.Seed != 0x0123456789abcdef || cfg.Cores != 1.5 || cfg.MemoryMB != 193 || cfg.Sockets != 1025 {
			t.Errorf("read as %+v", cfg)
		}
	}
}
