package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
	"appleledge/internal/unixsocket"
)

const (
	mostAtOnce = 4                // connections; more wait
	patience   = 10 * time.Second // for a request, and for its answer to be taken
	mostBody   = plan.MaxBytes + 4096
	longestBy  = 128 // bytes of a name or a reason
)

// MaxDescriptors is how many descriptors a Server needs at the most.
const MaxDescriptors = mostAtOnce + 4

// Listen opens the socket for its owner alone. One that a process left behind which is gone is replaced; one that answers is
// not.
func Listen(path string) (net.Listener, error) {
	if _, err := os.Lstat(path); err == nil {
		c, err := net.Dial("unix", path)
		if err == nil {
			besteffort.Close(c)
			return nil, fmt.Errorf("%s: another process listens there", path)
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%s is there and is no socket of ours: %w", path, err)
		}
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	l, err := unixsocket.Listen(path)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Server answers the calls.
type Server struct {
	Changes *ChangeManager
	Log     *slog.Logger
}

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.handler(), ReadTimeout: patience, WriteTimeout: 3 * patience, IdleTimeout: patience, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)} // a rude peer must not flood the log
	stopped := context.AfterFunc(ctx, func() {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
		defer cancel()
		if srv.Shutdown(last) != nil {
			besteffort.Close(srv)
		}
	})
	defer stopped()
	s.Log.Info("operators' socket open", "path", l.Addr().String())
	if err := srv.Serve(netutil.LimitListener(l, mostAtOnce)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	c := s.Changes
	get(mux, PathStatus, func(r *http.Request) (any, error) { return c.Status(r.Context()) })
	get(mux, PathConfig, func(r *http.Request) (any, error) {
		v, err := c.view(r.Context())
		if err != nil {
			return nil, err
		}
		return Config{v.number, v.config.Hash(), v.config}, nil
	})
	get(mux, PathHistory, func(r *http.Request) (any, error) {
		status, err := c.Status(r.Context())
		if status.History == nil {
			status.History = []generation.Record{}
		}
		return status.History, err
	})
	post(mux, PathCheck, func(_ context.Context, q PlanRequest) (any, error) {
		config, err := proposed(q)
		if err == nil {
			err = c.Check(config)
		}
		if err != nil {
			return nil, err
		}
		return Config{Hash: config.Hash(), Config: config}, nil
	})
	post(mux, PathPlan, func(ctx context.Context, q PlanRequest) (any, error) {
		config, err := proposed(q)
		if err != nil {
			return nil, err
		}
		return c.Plan(ctx, config, q.MaxCapacityTaken)
	})
	post(mux, PathApply, func(ctx context.Context, q ApplyRequest) (any, error) {
		if q.Plan == nil {
			return nil, refuse(KindBadRequest, errors.New("there is no plan in it"))
		}
		data, err := json.Marshal(q.Plan)
		if err != nil {
			return nil, refuse(KindBadRequest, err)
		}
		p, err := plan.Decode(data) // it checks the sum
		if err != nil {
			return nil, refuse(KindBadRequest, err)
		}
		if err := named(q.Actor, q.Reason); err != nil {
			return nil, err
		}
		return c.Apply(ctx, p, q.Actor, q.Reason, q.Force)
	})
	post(mux, PathRollback, func(ctx context.Context, q RollbackRequest) (any, error) {
		if err := named(q.Actor, q.Reason); err != nil {
			return nil, err
		}
		return c.Rollback(ctx, q.Actor, q.Reason)
	})
	post(mux, PathLock, func(_ context.Context, q LockRequest) (any, error) {
		lasts, err := time.ParseDuration(q.Duration)
		if err != nil {
			return nil, refuse(KindBadRequest, fmt.Errorf("%q is no duration; write a number and a unit, such as \"5m\"", q.Duration))
		}
		if err := named(q.Holder, ""); err != nil {
			return nil, err
		}
		return c.Lock(q.Holder, lasts)
	})
	handle(mux, "DELETE "+PathLock, func(w http.ResponseWriter, r *http.Request) (any, error) {
		var q LockRequest
		if err := read(w, r, &q); err != nil {
			return nil, err
		}
		c.Unlock(q.Holder)
		return struct{}{}, nil
	})
	return mux
}

// named checks the words that go into the history.
func named(by, why string) error {
	if by == "" || len(by) > longestBy || len(why) > longestBy {
		return refuse(KindBadRequest, fmt.Errorf("it needs a name of 1 to %d bytes, and a reason of no more", longestBy))
	}
	return nil
}

func proposed(q PlanRequest) (*fleetconfig.Config, error) {
	if q.Config == nil {
		return nil, refuse(KindBadRequest, errors.New("there is no configuration in it"))
	}
	q.Config.Normalize()
	return q.Config, nil
}

func get(mux *http.ServeMux, path string, answer func(*http.Request) (any, error)) {
	handle(mux, "GET "+path, func(_ http.ResponseWriter, r *http.Request) (any, error) { return answer(r) })
}

func post[Q any](mux *http.ServeMux, path string, answer func(context.Context, Q) (any, error)) {
	handle(mux, "POST "+path, func(w http.ResponseWriter, r *http.Request) (any, error) {
		var q Q
		if err := read(w, r, &q); err != nil {
			return nil, err
		}
		return answer(r.Context(), q)
	})
}

// read reads a request's body, strictly.
func read(w http.ResponseWriter, r *http.Request, q any) error {
	if err := fleetconfig.DecodeStrict(http.MaxBytesReader(w, r.Body, mostBody), q); err != nil {
		return refuse(KindBadRequest, fmt.Errorf("the body can't be read: %w", err))
	}
	return nil
}

// statuses are the HTTP statuses of problems.
var statuses = map[string]int{KindBadRequest: http.StatusBadRequest, KindInvalid: http.StatusUnprocessableEntity, KindOutdated: http.StatusConflict,
	KindRejected: http.StatusForbidden, KindStorage: http.StatusInsufficientStorage, KindShuttingDown: http.StatusServiceUnavailable}

func handle(mux *http.ServeMux, pattern string, answer func(http.ResponseWriter, *http.Request) (any, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := answer(w, r)
		status := http.StatusOK
		if err != nil {
			problem := Problem{Kind: KindShuttingDown, Error: err.Error()}
			if r, ok := errors.AsType[*refusal](err); ok {
				problem.Kind, problem.Changed = r.kind, r.moved
			}
			out, status = problem, statuses[problem.Kind]
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		besteffort.Ignore(json.NewEncoder(w).Encode(out)) // whoever left does not get it
	})
}
