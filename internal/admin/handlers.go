package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
)

// maxAttributionBytes bounds the name of an actor or holder and a reason, as the history holds them.
const maxAttributionBytes = 128

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	get(mux, PathStatus, s.Changes.Status)
	get(mux, PathConfig, s.config)
	get(mux, PathHistory, s.history)
	post(mux, PathCheck, s.check)
	post(mux, PathPlan, s.plan)
	post(mux, PathApply, s.apply)
	post(mux, PathRollback, s.rollback)
	post(mux, PathLock, s.lock)
	handleBody(mux, "DELETE "+PathLock, s.unlock)
	return mux
}

func (s *Server) config(ctx context.Context) (Config, error) {
	current, err := s.Changes.snapshot(ctx)
	if err != nil {
		return Config{}, err
	}
	return Config{current.number, current.config.Hash(), current.config}, nil
}

func (s *Server) history(ctx context.Context) ([]generation.Record, error) {
	status, err := s.Changes.Status(ctx)
	if status.History == nil {
		status.History = []generation.Record{} // an empty list in JSON, not null
	}
	return status.History, err
}

func (s *Server) check(_ context.Context, q PlanRequest) (Config, error) {
	config, err := proposedConfig(q)
	if err == nil {
		err = s.Changes.Check(config)
	}
	if err != nil {
		return Config{}, err
	}
	return Config{Hash: config.Hash(), Config: config}, nil
}

func (s *Server) plan(ctx context.Context, q PlanRequest) (*plan.Plan, error) {
	config, err := proposedConfig(q)
	if err != nil {
		return nil, err
	}
	return s.Changes.Plan(ctx, config, q.MaxCapacityTaken)
}

func (s *Server) apply(ctx context.Context, q ApplyRequest) (ChangeResult, error) {
	if q.Plan == nil {
		return ChangeResult{}, withKind(KindBadRequest, errors.New("there is no plan in it"))
	}
	data, err := json.Marshal(q.Plan)
	if err != nil {
		return ChangeResult{}, withKind(KindBadRequest, err)
	}
	p, err := plan.Decode(data) // which verifies the checksum
	if err != nil {
		return ChangeResult{}, withKind(KindBadRequest, err)
	}
	if err := checkAttribution(q.Actor, q.Reason); err != nil {
		return ChangeResult{}, err
	}
	return s.Changes.Apply(ctx, p, q.Actor, q.Reason, q.Force)
}

func (s *Server) rollback(ctx context.Context, q RollbackRequest) (ChangeResult, error) {
	if err := checkAttribution(q.Actor, q.Reason); err != nil {
		return ChangeResult{}, err
	}
	return s.Changes.Rollback(ctx, q.Actor, q.Reason)
}

func (s *Server) lock(_ context.Context, q LockRequest) (*Lock, error) {
	duration, err := time.ParseDuration(q.Duration)
	if err != nil {
		return nil, withKind(KindBadRequest, fmt.Errorf("%q is no duration; write a number and a unit, such as \"5m\"", q.Duration))
	}
	if err := checkAttribution(q.Holder, ""); err != nil {
		return nil, err
	}
	return s.Changes.Lock(q.Holder, duration)
}

func (s *Server) unlock(_ context.Context, q LockRequest) (struct{}, error) {
	s.Changes.Unlock(q.Holder)
	return struct{}{}, nil
}

// checkAttribution checks the texts that go into the history.
func checkAttribution(actor, reason string) error {
	if actor == "" || len(actor) > maxAttributionBytes || len(reason) > maxAttributionBytes {
		return withKind(KindBadRequest, fmt.Errorf("it needs a name of 1 to %d bytes, and a reason of no more", maxAttributionBytes))
	}
	return nil
}

// proposedConfig returns the normalized configuration of a request.
func proposedConfig(q PlanRequest) (*fleetconfig.Config, error) {
	if q.Config == nil {
		return nil, withKind(KindBadRequest, errors.New("there is no configuration in it"))
	}
	q.Config.Normalize()
	return q.Config, nil
}

func get[A any](mux *http.ServeMux, path string, answer func(context.Context) (A, error)) {
	handle(mux, "GET "+path, func(_ http.ResponseWriter, r *http.Request) (A, error) { return answer(r.Context()) })
}

func post[Q, A any](mux *http.ServeMux, path string, answer func(context.Context, Q) (A, error)) {
	handleBody(mux, "POST "+path, answer)
}

// handleBody answers requests whose body is a Q in JSON, which is decoded strictly.
func handleBody[Q, A any](mux *http.ServeMux, pattern string, answer func(context.Context, Q) (A, error)) {
	handle(mux, pattern, func(w http.ResponseWriter, r *http.Request) (a A, err error) {
		var q Q
		if err := fleetconfig.DecodeStrict(http.MaxBytesReader(w, r.Body, maxBodyBytes), &q); err != nil {
			return a, withKind(KindBadRequest, fmt.Errorf("the body can't be read: %w", err))
		}
		return answer(r.Context(), q)
	})
}

// handle answers requests with an A in JSON, or with a Problem. An error without a kind is the engine's: the agent ends.
func handle[A any](mux *http.ServeMux, pattern string, answer func(http.ResponseWriter, *http.Request) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		a, err := answer(w, r)
		if err == nil {
			writeJSON(w, http.StatusOK, a)
			return
		}
		problem := Problem{Kind: KindShuttingDown, Error: err.Error()}
		if e, ok := errors.AsType[*callError](err); ok {
			problem.Kind, problem.Changed = e.kind, e.changed
		}
		writeJSON(w, statusOfKind[problem.Kind], problem)
	})
}

func writeJSON[A any](w http.ResponseWriter, status int, a A) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	besteffort.Ignore(json.NewEncoder(w).Encode(a)) // a client that has left does not get it
}
