// Package operator answers the calls of operators. It is a front that decides nothing: it reads what the engine publishes and
// tells it what it is told.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/denylist"
	"appleledge/internal/engine"
)

const (
	maxConnections    = 12                     // connections; the oldest silent one makes room
	minConnectionAge  = 20 * time.Millisecond  // for which a connection may be silent though others wait
	readTimeout       = 5 * time.Second        // for a call to come, whoever else wants its place
	handlerTimeout    = 700 * time.Millisecond // a call is owed its answer in a second
	maxHeaderBytes    = 8 << 10                // bytes
	maxBodyBytes      = 4 << 10                // no call needs one
	maxServerIDLength = 256                    // bytes of a server's id
	shutdownTimeout   = 500 * time.Millisecond // for calls that are open at the end
)

// MaxDescriptors is how many descriptors a Server needs at the most.
const MaxDescriptors = maxConnections + 2

// Agent is what the calls are about.
type Agent interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Stats returns what it has counted, and the state of its list.
	Stats(ctx context.Context) (Stats, error)
	// SetDenied holds a server out, or takes it back, and returns when that is in force.
	SetDenied(ctx context.Context, server string, out bool) error
}

// Stats are what operators read.
type Stats struct {
	Counters              engine.Counters
	Endpoints             engine.EndpointCounts
	Reloads, ReloadErrors uint64 // configurations taken and turned down
}

// Server answers the calls.
type Server struct {
	Agent Agent
	Fleet func(context.Context) (FleetView, error) // nil: the agent has no view of one, and there is no such call
	Log   *slog.Logger
}

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadTimeout: readTimeout, WriteTimeout: readTimeout + handlerTimeout, IdleTimeout: readTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: connlimit.ConnState, ConnContext: connlimit.ConnContext,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a rude peer must not flood the log
	srv.SetKeepAlivesEnabled(false) // one call to a connection
	defer context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			besteffort.Close(srv)
		}
	})()
	s.Log.Info("listening for operators", "addr", l.Addr().String())
	if err := srv.Serve(connlimit.New(l, maxConnections, connlimit.Options{MinAge: minConnectionAge})); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}

// Handler answers a call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.handleReadiness)
	mux.HandleFunc("GET /ops/stats", s.handleStats)
	if s.Fleet != nil {
		mux.HandleFunc("GET /ops/fleet", s.handleFleet)
	}
	mux.HandleFunc("PUT /ops/backends/down/{id}", s.handleDenylistChange(true))
	mux.HandleFunc("PUT /ops/backends/up/{id}", s.handleDenylistChange(false))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connlimit.MarkInUse(r.Context())
		if r.ContentLength > maxBodyBytes {
			http.Error(w, "no call has a body that long", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout)
		defer cancel()
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.Agent.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, "ready\n"))
}

func (s *Server) handleStats(w http.ResponseWriter, r *http.Request) {
	f, err := s.Agent.Stats(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	besteffort.IgnoreResult(io.WriteString(w, f.String()))
}

// hold takes a server out or back.
func (s *Server) handleDenylistChange(out bool) http.HandlerFunc {
	done := "back"
	if out {
		done = "out"
	}
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if id == "" || len(id) > maxServerIDLength {
			http.Error(w, "the id of a server is missing or too long", http.StatusBadRequest)
			return
		}
		err := s.Agent.SetDenied(r.Context(), id, out)
		switch {
		case errors.Is(err, denylist.ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.Is(err, denylist.ErrFull):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			s.Log.Info("server taken "+done+" by an operator", "server", id)
			fmt.Fprintf(w, "%s\n", done)
		}
	}
}

// outcomes are the names that operators have for the kinds of answers. A conflict ends as a failure for its client.
var outcomeNames = [...]struct {
	name  string
	kinds []engine.AnswerKind
}{
	{"completed", []engine.AnswerKind{engine.Served}},
	{"rejected", []engine.AnswerKind{engine.Rejected}},
	{"failed", []engine.AnswerKind{engine.Failed, engine.Conflict}},
}

// String writes the figures, a line each.
func (f Stats) String() string {
	var b strings.Builder
	for class, name := range f.Counters.Classes {
		for _, o := range outcomeNames {
			var n uint64
			for _, kind := range o.kinds {
				n += f.Counters.Answers[class][kind]
			}
			fmt.Fprintf(&b, "svc.downstream_requests.%s.%s=%d\n", name, o.name, n)
		}
	}
	fmt.Fprintf(&b, "svc.upstream_requests=%d\nsvc.pending=%d\nsvc.members=%d\nsvc.members_unavailable=%d\n"+
		"svc.config_reloads=%d\nsvc.config_reload_errors=%d\n", f.Counters.Written, f.Counters.Open, f.Endpoints.Listed, f.Endpoints.Avoided,
		f.Reloads, f.ReloadErrors)
	return b.String()
}
