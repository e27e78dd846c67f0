// Package telemetry serves an agent's counters and gauges in Prometheus' text format, on a listener of its own. It keeps
// none of them: each is counted once, by the engine, the connection pool or the fleet components, and read at each scrape.
//
// The metric names are part of the operators' interface. They are older than the names in the code and must not change;
// docs/glossary.md has both.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/netutil"

	"appleledge/internal/acceptretry"
	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/engine"
	"appleledge/internal/eventlog"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/upstream/connpool"
)

const (
	ioTimeout       = 2 * time.Second // to read a request's head, to write a response, and of idle connections
	maxConnections  = 4               // open at once; further ones wait to be accepted
	maxServerSeries = 1000            // servers with a series of their own; the first by id
)

// MaxDescriptors is the largest number of file descriptors that a Server uses: its connections and the listener.
const MaxDescriptors = maxConnections + 1

// Server serves the metrics of one agent. Its functions are called by the goroutine of each scrape, concurrently.
type Server struct {
	Engine       *engine.Engine
	Pool         *connpool.Pool
	Gossip       func() *gossip.Status        // nil, or returning nil: the agent has no gossip, and there are no such series
	Overload     func() *overload.Status      // nil, or returning nil: no fleet-wide overload control, and no such series
	ClientCloses func() connlimit.CloseCounts // nil: no such series
	PacedCount   func() uint64                // requests of connections at full speed that were paced; nil: no such series
	Log          *slog.Logger
}

// Serve answers GET /metrics until the context ends, and then closes the listener and all connections and returns nil. An
// error is the listener's.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		s.Write(w)
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a rude peer must not flood the log
	stopped := context.AfterFunc(ctx, func() { besteffort.Close(srv) })
	defer stopped()
	s.Log.Info("telemetry listening", "addr", l.Addr().String())
	if err := srv.Serve(netutil.LimitListener(acceptretry.Listener{Listener: l, Events: eventlog.New(s.Log)}, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving telemetry: %w", err)
	}
	return nil
}

// Write writes all metrics in Prometheus' text format. It is safe for concurrent use; errors of w are ignored.
func (s *Server) Write(w io.Writer) {
	stats := s.Engine.Stats()
	page := metricsWriter{w}
	page.gauge("appleledge_ready", "", boolValue(s.Engine.Ready()))
	page.gauge("appleledge_calls", "", float64(stats.Calls))
	s.writePool(page, s.Pool.Stats())
	s.writeClientCloses(page)
	for i, id := range slices.Sorted(maps.Keys(stats.InFlight)) {
		if i == maxServerSeries {
			break
		}
		page.gauge("appleledge_attempts_in_flight", fmt.Sprintf("server=%q", id), float64(stats.InFlight[id]))
	}
	s.writeRequests(page, stats.Counters)
	s.writeWithheldRepeats(page, stats.Balancer)
	s.writeCoalescing(page, stats)
	s.writeAdmission(page, stats.Admission, stats.Counters.Classes)
	s.writeGeneration(page, stats.Generation)
	s.writeAffinity(page, stats.Affinity)
	s.writeRecovery(page, stats.Recovery, stats.Counters.Classes)
	s.writeGossip(page)
	s.writeOverload(page, stats.Counters.Classes)
	metrics.WriteProcessMetrics(w)
}
