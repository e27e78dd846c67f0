package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

// The page is read over a socket, in Prometheus' text format, with the figures of an engine at work; other paths are
// not found, and it ends with its context.
func TestPage(t *testing.T) {
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	core, conns, ended := newEngine(t, site)
	others := &gossip.Status{States: []gossip.State{gossip.Alive, gossip.Dead, gossip.Alive}, Sent: 7, Dropped: map[string]uint64{"forged": 3}}
	shares := &overload.Status{Trust: 0.5, Capacity: 120, AdmitProbabilities: []float64{0.25}, Counts: overload.Counts{Rejected: [][2]uint64{{7, 2}}}}
	s := &Server{Engine: core, Pool: conns, Gossip: func() *gossip.Status { return others }, Overload: func() *overload.Status { return shares }, Log: slog.New(slog.DiscardHandler)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l) }()
	heard := make(ear, 1)
	core.Arrive(&engine.Call{ID: "r", Class: 0, Deadline: engine.NewClock().Now() + time.Minute, Responder: heard})
	if a := <-heard; a.Kind != engine.Rejected { // there is no server
		t.Fatalf("%+v", a)
	}
	text := get(t, "http://"+l.Addr().String()+"/metrics", http.StatusOK)
	for _, want := range []string{`appleledge_answers_total{class="form-check",kind="refused"} 1`, "appleledge_calls 0", "appleledge_ready 0",
		`appleledge_storm_state{state="calm"} 1`, `appleledge_attempts_total{result="connect_failed"} 0`, "appleledge_join_flights_total 0",
		`appleledge_served_seconds{class="refund-record",quantile="0.99"} 0`, "process_resident_memory_bytes",
		`appleledge_peers{state="alive"} 2`, `appleledge_peers{state="left"} 0`, `appleledge_peer_datagrams_dropped_total{reason="forged"} 3`,
		`appleledge_recovery_phase{phase="full"} 1`, `appleledge_overload_chance{class="form-check"} 0.25`,
		`appleledge_overload_refused_total{class="form-check",try="again"} 2`, `appleledge_overload_fleet_per_second{what="capacity"} 120`, `appleledge_recovery_servers{state="known"} 0`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	line := regexp.MustCompile(`^[a-z_]+(\{([a-z_]+="[^"\\]*",?)+\})? [0-9.e+-]+$`)
	for one := range strings.Lines(text) {
		if one = strings.TrimSpace(one); strings.HasPrefix(one, "appleledge") && !line.MatchString(one) {
			t.Errorf("no line of a page: %s", one)
		}
	}
	get(t, "http://"+l.Addr().String()+"/", http.StatusNotFound)
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	ended()
}

type ear chan engine.Answer

func (e ear) Answer(a engine.Answer) { e <- a }

func newEngine(t *testing.T, site simwire.Site) (core *engine.Engine, conns *connpool.Pool, end func()) {
	t.Helper()
	policy, err := balancer.New(site.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	conns = connpool.New(time.Second, time.Minute, 10)
	core = engine.New(policy, engine.NewClock(), conns, slog.New(slog.DiscardHandler))
	core.TrackLatency(site.Balancer.Classes)
	behind := admission.New(admission.Options{Classes: make([]admission.Class, len(site.Balancer.Classes)), MaxRemembered: 1})
	core.SetRecovery(recovery.New(recovery.Options{Classes: make([]recovery.Class, len(site.Balancer.Classes))}, behind), func() bool { return true }, func() {})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	end = func() { stop(); <-done }
	t.Cleanup(end)
	return core, conns, end
}

func get(t *testing.T, url string, want int) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != want {
		t.Fatalf("%s: %d, %v", url, resp.StatusCode, err)
	}
	return string(body)
}
