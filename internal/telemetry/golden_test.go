package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/affinity"
	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/generation"
	"appleledge/internal/golden"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

var goldenClasses = []string{"form-check", "refund-record"}

func goldenGossip() *gossip.Status {
	return &gossip.Status{Listening: true, Alive: 2, States: []gossip.State{gossip.Unknown, gossip.Alive, gossip.Alive, gossip.Suspect, gossip.Suspect, gossip.Suspect,
		gossip.Dead, gossip.Dead, gossip.Dead, gossip.Dead, gossip.Left, gossip.Left, gossip.Left, gossip.Left, gossip.Left},
		Counts: gossip.Counts{Probes: 401, Unanswered: 402, Suspected: 403, DeclaredDead: 404, Refuted: 405}, Sent: 406, SentBytes: 407, Received: 408,
		Dropped: map[string]uint64{"forged": 409, "not of now": 410}}
}

func goldenOverload() *overload.Status {
	return &overload.Status{Trust: 0.51, Limit: 502, Capacity: 503, Utilization: 0.54, Gain: 0.55, AdmitProbabilities: []float64{0.56, 0.57}, RejectedRatio: 0.58,
		Demand:   overload.Demand{Requests: 509, Admitted: 510, InFlight: 511, ExtraAttempts: 512, ServedInTime: 513, LateOrFailed: 514, KnownAgents: 515, AliveAgents: 516},
		Excluded: []string{"s-1", "s-2", "s-3"},
		Counts: overload.Counts{Rejected: [][2]uint64{{517, 518}, {519, 520}}, DecidedLocally: 521, PastDeadline: 522, RejectedRetries: 523, PayloadsSent: 524,
			View: overload.ViewCounts{Capped: 525, Malformed: 526}}}
}

// Each part of the page from fixed counts, none of which is zero; maps come in any order, so the lines of a part are sorted.
func TestGoldenFigures(t *testing.T) {
	s := &Server{Gossip: goldenGossip, Overload: goldenOverload}
	var all strings.Builder
	part := func(write func(metricsWriter)) {
		var out bytes.Buffer
		write(metricsWriter{&out})
		all.WriteString(sortedLines(out.String()))
	}
	part(func(p metricsWriter) {
		s.writePool(p, connpool.Stats{Open: 30, Idle: 12, Dials: 103, FailedDials: 104, Reused: 105, Dead: 106, Exhausted: 107})
	})
	times := func(from time.Duration) engine.LatencyStats {
		return engine.LatencyStats{Count: uint64(from), Sum: from * time.Second, Quantiles: map[float64]time.Duration{
			0.5: from * time.Millisecond, 0.9: 2 * from * time.Millisecond, 0.99: 3 * from * time.Millisecond}}
	}
	part(func(p metricsWriter) {
		s.writeRequests(p, engine.Counters{Classes: goldenClasses, Answers: [][4]uint64{{111, 112, 113, 114}, {115, 116, 117, 118}}, Left: []uint64{119, 120},
			Open: 121, Written: 122, Attempts: [8]uint64{131, 132, 133, 134, 135, 136, 137, 138}, Sends: [3]uint64{141, 142, 143}, SlowStart: 144,
			GivenUp: [5]uint64{151, 152, 153, 154, 155}, Latencies: []engine.LatencyStats{times(161), times(171)}})
	})
	part(func(p metricsWriter) {
		s.writeCoalescing(p, engine.Stats{Coalescing: coalesce.Counts{Flights: 181, Followers: 182, NotCoalesced: 183, LateFlights: 184, NextFlights: 185, Private: 186, Shared: 187, Leaderless: 180,
			Waiting: 188, Groups: 189}})
	})
	for state := admission.Normal; state <= admission.Recovering; state++ {
		part(func(p metricsWriter) {
			s.writeAdmission(p, admission.Counts{State: state, Since: 201, Reason: "why", Limit: 202, InFlight: 203, Rejected: [][2]uint64{{204, 205}, {206, 207}},
				TooLate: 208, OverLimit: 209, Overloads: 210}, goldenClasses)
		})
	}
	part(func(p metricsWriter) {
		s.writeGeneration(p, generation.Status{Number: 221, IsWatched: true, DrainingServers: 222, RejectedRequests: 223, BlockedConfigs: 224, ServerCount: 225,
			EventCounts: map[string]uint64{generation.EventApplied: 226, generation.EventPromoted: 227, generation.EventRolledBack: 228, generation.EventHarmFound: 229}})
	})
	part(func(p metricsWriter) {
		s.writeAffinity(p, affinity.Counts{Entries: 241, Hits: 242, PodUnknown: 243, Overflowed: 244, Evicted: 245, Unprotected: 246, NotDurable: 247, Restored: 248})
	})
	for phase := recovery.FullService; phase <= recovery.Ramping; phase++ {
		part(func(p metricsWriter) {
			s.writeRecovery(p, &recovery.Status{Phase: phase, Reason: "why", Since: 261, AdmissionRate: 262, WarmCapacityRatio: 0.63, Servers: 264, RespondingServers: 265,
				Counts: recovery.Counts{Recoveries: 266, Trials: 267, FailedTrials: 268, Rejected: []uint64{269, 270}, Admitted: []uint64{271, 272}}}, goldenClasses)
		})
	}
	part(s.writeGossip)
	part(func(p metricsWriter) { s.writeOverload(p, goldenClasses) })
	golden.Equal(t, "telemetry/figures.prom", []byte(all.String()))
}

func sortedLines(text string) string {
	return strings.Join(slices.Sorted(strings.Lines(text)), "")
}

// The whole page as it is served: its content type, and the series of an engine with an attempt in flight, without values.
func TestGoldenSeries(t *testing.T) {
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	core, conns, _ := newEngine(t, site)
	member := engine.Member{Server: balancer.Server{ID: "s-1"}, Addr: "127.0.0.1:1"}
	core.Post(engine.EndpointUpdate{Members: []engine.Member{member}})
	agenttest.Eventually(t, "the engine is ready", core.Ready)
	core.Arrive(&engine.Call{ID: "r", Class: 0, Deadline: engine.NewClock().Now() + time.Minute, Responder: make(ear, 1), Transport: blockingTransport{}})
	agenttest.Eventually(t, "the attempt is out", func() bool { return core.Stats().InFlight["s-1"] == 1 })
	s := &Server{Engine: core, Pool: conns, Gossip: goldenGossip, Overload: goldenOverload, Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	l := agenttest.Listen(t)
	go func(l net.Listener) { served <- s.Serve(ctx, l) }(l)
	defer func() { stop(); besteffort.Ignore(<-served) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(resp.Body)
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	series := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "process_") { // what there is hangs on the machine
			continue
		}
		if strings.HasPrefix(line, "go_") { // the same of the compiler
			continue
		}
		series[line[:strings.LastIndexByte(line, ' ')]+"\n"] = true
	}
	golden.Equal(t, "telemetry/series.txt", []byte(resp.Header.Get("Content-Type")+"\n"+strings.Join(slices.Sorted(maps.Keys(series)), "")))
}

// blockingTransport is a transport whose attempts end with the engine.
type blockingTransport struct{}

func (blockingTransport) RoundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	<-ctx.Done()
	return engine.Outcome{Attempt: a, Result: balancer.TimedOut, Report: balancer.NoReport}
}
