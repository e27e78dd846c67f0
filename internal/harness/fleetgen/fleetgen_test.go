package fleetgen

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
	"appleledge/internal/engine"
	"appleledge/internal/harness/controlplane"
	"appleledge/internal/membership"
	"appleledge/internal/membership/file"
	"appleledge/internal/membership/listing"
	"appleledge/internal/membership/platform"
	"appleledge/internal/membership/xds"
)

const churn = `
[fleet]
servers = 300
spread = 1000.0
[[step]]
at = "100ms"
do = "replace"
count = 7
every = "20ms"
for = "400ms"
[[step]]
at = "150ms"
do = "weigh"
count = 50
[[step]]
at = "200ms"
do = "remove"
count = 20
[[step]]
at = "250ms"
do = "restart"
count = 9
`

// A fleet that churns is told alike by all lists: what an agent's sources make of them is the fleet.
func TestAllListsTellTheFleet(t *testing.T) {
	script, err := Parse("churn", []byte(churn))
	if err != nil {
		t.Fatal(err)
	}
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	plane, err := controlplane.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer plane.Stop()
	path := filepath.Join(t.TempDir(), "servers.json")
	f := New(script.Fleet, nil)
	clock, log := engine.NewClock(), slog.New(slog.DiscardHandler)
	reader := listing.Decoder{Zones: []string{"edinburgh-dc"}, Clock: clock}
	sources := map[string]membership.Source{
		"platform": platform.New(platform.Options{Addr: d.Addr, Zones: reader.Zones}, clock, log),
		"file":     &file.Source{Path: path, PollInterval: 5 * time.Millisecond, Decoder: reader, Log: log},
	}
	for _, delta := range []bool{false, true} {
		sources[fmt.Sprint("xds, delta ", delta)] = xds.New(xds.Options{Server: plane.Addr(), NodeID: "n", Incremental: delta, Zones: reader.Zones,
			InitialFetchTimeout: agenttest.Patience, MinBackoff: 10 * time.Millisecond, MaxBackoff: time.Second, KeepaliveInterval: 10 * time.Second,
			MaxMessageBytes: 16 << 20, LogInterval: time.Minute}, clock, log)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	var mu sync.Mutex
	have := map[string]map[string]engine.Member{}
	for name, s := range sources {
		have[name] = map[string]engine.Member{}
		hub := membership.NewHub(membership.Options{}, []string{name}, clock, func(ev engine.Event) {
			mu.Lock()
			defer mu.Unlock()
			for _, m := range ev.(engine.EndpointUpdate).Members {
				if have[name][m.ID] = m; m.State == balancer.Removed {
					delete(have[name], m.ID)
				}
			}
		}, log)
		running.Go(func() { hub.Run(ctx) })
		running.Go(func() { s.Run(ctx, hub.Sink(0)) })
	}
	steps := 0
	to := []Publisher{Platform{d}, &File{Path: path}, &ControlPlane{Plane: plane, Name: "form-servers", Shards: 8}}
	if err := script.Play(ctx, f, to, func(Step, int) { steps++ }); err != nil {
		t.Fatal(err)
	}
	if steps != 24 || len(f.Servers()) < 250 {
		t.Errorf("%d steps left %d servers", steps, len(f.Servers()))
	}
	for name := range sources {
		agenttest.Eventually(t, name+" tells the fleet", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return maps.EqualFunc(have[name], want(f, clock), func(m, w engine.Member) bool { return m == w })
		})
	}
}

func want(f *Fleet, clock engine.Clock) map[string]engine.Member {
	out := map[string]engine.Member{}
	for _, s := range f.Servers() {
		m := engine.Member{Kind: kind, Addr: fmt.Sprintf("%s:%d", s.Host, s.Port), Server: balancer.Server{ID: s.ID, Cell: s.Cell, Weight: float64(s.Weight),
			Started: clock.FromUnix(s.StartedMS)}}
		if s.Draining {
			m.State = balancer.Draining
		}
		out[s.ID] = m
	}
	return out
}

// The same seed gives the same fleet and the same changes; another one gives others.
func TestFleetIsDeterministic(t *testing.T) {
	play := func(seed uint64) []Server {
		f := New(Spec{Servers: 500, Seed: seed, Cell: 5, Spread: 1e5, Ports: 1}, nil)
		f.Drain(30)
		f.Remove(40)
		f.Weigh(100)
		f.Add(7, 9)
		f.Restart(3, 11)
		return f.Servers()
	}
	if !slices.Equal(play(1), play(1)) || slices.Equal(play(1), play(2)) {
		t.Error("the seed does not say what the fleet is")
	}
	sizes := map[int]int{}
	for _, s := range play(1) {
		sizes[len(fmt.Sprint(s.Weight))]++
	}
	if len(sizes) < 5 {
		t.Errorf("sizes over five orders have %v digits", sizes)
	}
}

// A wrong script is refused with its name, the line, and what was meant.
func TestWrongScriptsAreRefused(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\nservers = -1\n":                                               "f:1: fleet: servers = -1 must be from 0",
		"[fleet]\nservers = 10\nsread = 3\n":                                    "f:3: unknown key \"fleet.sread\"",
		"\n[[step]]\ndo = \"explode\"\ncount = 1\n":                             "f:2: step 1: do = \"explode\" is none of",
		"[[step]]\ndo = \"add\"\ncount = 1\n[[step]]\ndo = \"drain\"\n":         "f:4: step 2: count = 0 must be from 1",
		"[[step]]\ndo = \"add\"\ncount = 1\nfor = \"3s\"\n":                     "f:1: step 1: at, every and for are times",
		"[[step]]\ndo = \"add\"\ncount = 1000\nevery = \"1ms\"\nfor = \"1h\"\n": "f:1: step 1: with this step there are more than",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
