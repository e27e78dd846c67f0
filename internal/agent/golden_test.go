package agent

import (
	"context"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/golden"
	"appleledge/internal/membership/listing"
	"appleledge/internal/membership/platform"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

// The platform's configuration with every key. Its settings are those of wire/settings.json, whose test compares all of them.
func TestGoldenConfig(t *testing.T) {
	text := golden.Read(t, "agent/config.json")
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"PROXY_CONFIG": path}
	got, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	site, err := simwire.DecodeSettings(golden.Read(t, "wire/settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Name: "n7", Listen: "127.0.0.1:8400", Discovery: "127.0.0.1:8500", Operator: "127.0.0.1:8600", Seed: 0x8c1f30d27a5be964,
		Cores: 1.5, MemoryMB: 190, Sockets: 1023, Site: site, PeerListen: "127.0.0.1:8700", Peers: []string{"127.0.0.1:8701", "127.0.0.1:8702"},
		AllowsGossip: true, statedKeys: got.statedKeys, drainAcceptDuration: drainAcceptDuration, servesKeptConnections: true,
		cachedList: listing.List{Version: 41, Full: true, Servers: []listing.Entry{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "edinburgh-dc",
			Kind: "twin-core", Cell: 3, State: "Ready", Weight: 1.5, StartedMS: 1764580000123}}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	golden.Equal(t, "agent/config_keys.txt", []byte(strings.Join(slices.Sorted(maps.Keys(got.statedKeys)), "\n")+"\n"))

	env = map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n8", "PROXY_LISTEN": "127.0.0.1:9", "PROXY_DISCOVERY": "127.0.0.1:10",
		"PROXY_OPERATOR": "127.0.0.1:11"}
	got, err = LoadConfig(func(name string) string { return env[name] })
	want.statedKeys, want.Name, want.Listen, want.Discovery, want.Operator = got.statedKeys, "n8", "127.0.0.1:9", "127.0.0.1:10", "127.0.0.1:11"
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("with the environment set: %v\ngot  %+v\nwant %+v", err, got, want)
	}
}

// goldenCounters count one answer, one dial in vain, and calls to a discovery that refuses.
func goldenCounters(t *testing.T) statSources {
	t.Helper()
	clock, quiet := engine.NewClock(), slog.New(slog.DiscardHandler)
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := balancer.New(site.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	conns := connpool.New(time.Second, time.Minute, 10)
	core := engine.New(policy, clock, conns, quiet)
	core.TrackLatency(site.Balancer.Classes)
	core.CountRejected(&engine.Call{ID: "r"})
	conns.Update(true, []engine.Member{{Server: balancer.Server{ID: "s-1"}, Addr: agenttest.Refusing(t)}})
	if _, err := conns.Get(t.Context(), conns.Backend("s-1")); err == nil {
		t.Fatal("a connection to where nothing listens")
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return statSources{core: core, pool: conns, discovery: platform.New(platform.Options{Addr: "127.0.0.1:1"}, clock, quiet)}
}

// The names of all figures in the order of the line, counted ones first, whether or not they are 0.
func TestGoldenFigureNames(t *testing.T) {
	f := goldenCounters(t)
	var names strings.Builder
	for _, c := range f.counts() {
		names.WriteString(c.name + "\n")
	}
	for i, part := range f.gauges() {
		if i%2 == 0 {
			names.WriteString(part.(string) + "\n")
		}
	}
	golden.Equal(t, "agent/figure_names.txt", []byte(names.String()))
}

// The line as it is written.
func TestGoldenFiguresLine(t *testing.T) {
	f := goldenCounters(t)
	log := &agenttest.LockedBuffer{}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.logEvery(ctx, time.Millisecond, slog.New(slog.NewTextHandler(log, nil)))
	}()
	agenttest.Eventually(t, "two lines", func() bool { return log.Count("\n") > 1 })
	stop()
	<-done
	lines := strings.SplitAfter(log.String(), "\n")
	at := regexp.MustCompile(`^time=\S+`)
	golden.Equal(t, "agent/figures.log", []byte(at.ReplaceAllString(lines[0], "time=2026-12-03T10:00:00.100Z")+
		at.ReplaceAllString(lines[1], "time=2026-12-03T10:00:02.100Z")))
}
