// Package operator is the HTTP server for operators: readiness, statistics, the agent's view of the fleet, and taking a
// server out of use and back. It makes no decisions: it reads what the Agent publishes and passes denylist changes to it.
//
// Paths, the lines of /ops/stats and the JSON keys of /ops/fleet are an interface that scripts read. They are older than
// the names in the code and must not change; docs/glossary.md has both.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/denylist"
)

const (
	maxConnections    = 12                     // open at once; a further one closes the oldest idle one
	minConnectionAge  = 20 * time.Millisecond  // a younger connection is not closed to make room
	readTimeout       = 5 * time.Second        // to read a request
	handlerTimeout    = 700 * time.Millisecond // of a request; operators are promised an answer within a second
	maxHeaderBytes    = 8 << 10
	maxBodyBytes      = 4 << 10                // no request needs a body
	maxServerIDLength = 256                    // bytes
	shutdownTimeout   = 500 * time.Millisecond // for requests in flight when Serve's context ends
)

// MaxDescriptors is the largest number of file descriptors that a Server uses: its connections, the listener and one in
// reserve.
const MaxDescriptors = maxConnections + 2

// Agent is the agent that operators ask about. Its methods are called by the goroutine of each request, concurrently; the
// context ends after handlerTimeout or when the operator closes the connection.
type Agent interface {
	// Ready reports whether this process is ready to serve requests.
	Ready() bool
	// Stats returns the agent's counters and the state of its endpoint list. An error is answered with 503 and its text.
	Stats(ctx context.Context) (Stats, error)
	// SetDenied puts a server on the denylist or removes it, and returns when that is in force. denylist.ErrUnknown is
	// answered with 404, denylist.ErrFull with 409, any other error with 503, each with its text.
	SetDenied(ctx context.Context, server string, denied bool) error
}

// Server is the HTTP server for operators.
type Server struct {
	Agent Agent
	Fleet func(context.Context) (FleetView, error) // nil: the agent has no view of the fleet, and /ops/fleet is not found
	Log   *slog.Logger
}

// Serve answers requests until the context ends; those in flight then have shutdownTimeout. An error is the listener's.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadTimeout: readTimeout, WriteTimeout: readTimeout + handlerTimeout, IdleTimeout: readTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: connlimit.ConnState, ConnContext: connlimit.ConnContext,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a rude peer must not flood the log
	srv.SetKeepAlivesEnabled(false) // one request a connection
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

// Handler returns the handler of all paths. It limits each request's body and time.
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

// handleReadiness answers 200 or 503.
func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.Agent.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, "ready\n"))
}

// handleStats answers with the lines of Stats.String.
func (s *Server) handleStats(w http.ResponseWriter, r *http.Request) {
	f, err := s.Agent.Stats(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	besteffort.IgnoreResult(io.WriteString(w, f.String()))
}

// handleDenylistChange returns the handler that denies the server of the path, or allows it again.
func (s *Server) handleDenylistChange(denied bool) http.HandlerFunc {
	state := "back"
	if denied {
		state = "out"
	}
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if id == "" || len(id) > maxServerIDLength {
			http.Error(w, "the id of a server is missing or too long", http.StatusBadRequest)
			return
		}
		err := s.Agent.SetDenied(r.Context(), id, denied)
		switch {
		case errors.Is(err, denylist.ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.Is(err, denylist.ErrFull):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			s.Log.Info("server taken "+state+" by an operator", "server", id)
			fmt.Fprintf(w, "%s\n", state)
		}
	}
}
