// Package http1 is the downstream server for clients that speak HTTP/1.1. It reads and checks requests, hands them to the
// engine as calls, and writes each the one answer that the engine gives. It decides nothing but what must be decided before
// the engine sees a request: malformed input, and too many requests in flight. drain.go has the end of a process.
package http1

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/eventlog"
	"appleledge/internal/memorybudget"
	"appleledge/internal/upstream/http1"
)

const (
	writeTimeout = 2 * time.Second // for writing an answer to a client that does not read

	// HeaderTimeout limits the time for the head of a request, from when the client connected.
	HeaderTimeout = 1500 * time.Millisecond
	// BodyTimeout limits the time for the body of a request, from when its head was read.
	BodyTimeout = 1200 * time.Millisecond

	// IdleTimeout is after what time an idle client connection is closed.
	IdleTimeout = 20 * time.Second

	maxHeaderBytes = 16 << 10

	// MaxInFlightRatio is the share of the clients' connections that may have a request in flight; the rest are answered at once.
	MaxInFlightRatio = 0.8

	fullRetryAfter = time.Second // Retry-After of requests that are rejected because the server is full
)

// Options configure a Server. All but MaxInFlight, DrainAcceptDuration, OnDrain, Coalescing, Memory and LargeBodies must be set.
type Options struct {
	Rules               requesthead.Checker
	Engine              *engine.Engine
	Clock               engine.Clock
	Transport           engine.Transport // that forwards the calls
	MaxInFlight         int              // limit of requests in flight; 0: as many as there are connections
	DrainAcceptDuration time.Duration    // after the signal to end, in which new connections are accepted

	// OnDrain is called when the drain begins. It reports whether another process of the agent accepts new connections. It
	// may be nil.
	OnDrain     func() bool
	Log         *slog.Logger
	RequestLog  *eventlog.Logger     // why a request got no answer or was not served; nil: not logged
	Coalescing  *Coalescing          // nil: no requests are coalesced
	Memory      *memorybudget.Budget // of bodies; nil: not limited
	LargeBodies *LargeBodies         // nil: bodies have at most requesthead.MaxBody bytes, and clients must be fast
}

// Coalescing says which requests get a digest, by which the engine coalesces identical ones. It is safe for concurrent use.
type Coalescing struct {
	Identity     *coalesce.Identity
	Classes      atomic.Pointer[[]bool] // by number: whether requests of the class are coalesced
	TenantsApart bool                   // the tenant is a part of the digest
}

// Server answers clients. Its methods are safe for concurrent use.
type Server struct {
	Options
	inFlight      atomic.Int64 // requests that were accepted and have no answer yet
	longRequests  atomic.Int64 // requests whose body comes, or whose answer goes, in parts
	draining      atomic.Bool
	closing       atomic.Bool   // each answer closes its connection
	drainDeadline atomic.Int64  // by the engine's clock: when each request must have its answer; 0 before the drain
	finalAnswers  chan struct{} // closed then
	acceptEnded   chan struct{} // closed when no further connection is accepted
	clients       *connlimit.Listener
}

// New returns a server of the connections that clients accepts.
func New(o Options, clients *connlimit.Listener) *Server {
	return &Server{Options: o, clients: clients, finalAnswers: make(chan struct{}), acceptEnded: make(chan struct{})}
}

// isFull reports whether more requests are in flight than allowed.
func (s *Server) isFull(open int64) bool {
	most := int64(MaxInFlightRatio * float64(s.clients.Limit()))
	if s.MaxInFlight > 0 {
		most = min(most, int64(s.MaxInFlight))
	}
	return open > most
}

// Serve serves until the context ends and each request that was accepted has its answer. After the context's end that takes
// at most DrainAcceptDuration and longest. drainDurations returns at that time how long clients usually wait for an answer,
// and at most.
func (s *Server) Serve(ctx context.Context, drainDurations func() (usual, longest time.Duration)) error {
	srv := s.httpServer()
	failed := make(chan error, 1)
	go func() {
		failed <- srv.Serve(s.clients)
		close(s.acceptEnded)
	}()
	s.Log.Info("listening", "addr", s.clients.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	usual, longest := drainDurations()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainAcceptDuration+longest)
	defer cancel()
	s.drainDeadline.Store(int64(s.Clock.Now() + s.DrainAcceptDuration + longest - finalAnswerMargin))
	finalAnswers := time.AfterFunc(s.DrainAcceptDuration+longest-finalAnswerMargin, func() {
		close(s.finalAnswers)
		s.clients.EndUnfinished()
	})
	defer finalAnswers.Stop()
	if !s.drain(limited, s.DrainAcceptDuration+max(0, longest-usual)) {
		s.Log.Warn("drained, but some connections were still open")
	}
	s.clients.CloseAll()
	besteffort.Close(srv)
	besteffort.Ignore(<-failed)
	s.Log.Info("drained")
	return nil
}

// httpServer returns the net/http server that calls s.
func (s *Server) httpServer() *http.Server {
	head := HeaderTimeout
	if s.LargeBodies != nil {
		head = slowHeader
	}
	return &http.Server{
		Handler: s,
		// Only s answers requests: net/http would answer OPTIONS * by itself.
		DisableGeneralOptionsHandler: true,

		ReadHeaderTimeout: head,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
}

// ServeHTTP gives each request its one answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sentAfter := headSentAfter(r.Context())
	if connlimit.IsEnded(r.Context()) { // the connection was closed while this request arrived; it was not forwarded, and its client sends it again
		s.abort(r, abortConnectionEnded)
	}
	connlimit.Pace(r.Context())
	if r.ContentLength == 0 {
		connlimit.MarkRequestRead(r.Context())
	}
	if r.URL.Path == "/ready" {
		s.serveReadiness(w)
		return
	}
	connlimit.NameRequest(r.Context(), r.Header.Get(requesthead.RequestIDHeader))
	memory := &bodyReservation{server: s, r: r}
	defer memory.release()
	c, up, err := s.accept(w, r, sentAfter, memory)
	switch {
	case errors.Is(err, errFull):
		s.logUnserved(r, unservedMemory)
		s.reject(w, c, true)
		return
	case errors.Is(err, errLongFull):
		s.logUnserved(r, unservedLongFull)
		s.reject(w, c, true)
		return
	}
	if err != nil && c != nil && connlimit.IsEnded(r.Context()) { // to make room, or as the process ends: trying again is harmless
		s.logUnserved(r, unservedConnectionEnded)
		s.reject(w, c, true)
		return
	}
	if err != nil {
		rejectMalformed(w, err)
		return
	}
	if up == nil {
		connlimit.MarkRequestRead(r.Context())
	}
	if until := time.Duration(s.drainDeadline.Load()); until > 0 {
		if up != nil && s.Clock.Now()+up.ClientTimeout > until { // it could be answered too late, as its time begins with its last byte; nothing was forwarded yet
			s.logUnserved(r, unservedDrainTooShort)
			s.reject(w, c, true)
			return
		}
		if up == nil { // the engine answers it by then
			c.Deadline = min(c.Deadline, until)
		}
	}
	connlimit.MarkInUse(r.Context())
	defer s.inFlight.Add(-1)
	if s.isFull(s.inFlight.Add(1)) { // nothing was forwarded yet, so that a retry is harmless
		s.logUnserved(r, unservedFull)
		s.reject(w, c, up != nil)
		return
	}
	waits := newCaller()
	c.Responder = waits
	c.HasClientLeft = func() bool { return connlimit.HasClientLeft(r.Context()) }
	if c.HasClientLeft() { // before its request was read: nothing is forwarded for a client that has left
		s.abort(r, abortClientLeft)
	}
	s.Engine.Arrive(c)
	s.awaitAnswer(w, r, c, up, waits, memory)
}

// awaitAnswer waits for the engine's answer to a call and writes it, unless the client leaves first.
func (s *Server) awaitAnswer(w http.ResponseWriter, r *http.Request, c *engine.Call, up *http1.Upload, waits *caller, memory *bodyReservation) {
	last := s.finalAnswers
	overdue := time.NewTimer(overdueWait(up))
	defer overdue.Stop()
	for {
		select {
		case a := <-waits.answer:
			s.writeAnswer(w, r, up, a, memory)
			return
		case <-last: // requests from before the drain must be answered now as well
			s.Engine.ForceAnswer(c, engine.UnservedDraining)
			last = nil
		case <-overdue.C:
			if left := overdueWait(up); left > 0 { // its last byte had not been sent by then
				overdue.Reset(left)
			} else {
				s.Engine.ForceAnswer(c, engine.UnservedExpired)
			}
		case <-r.Context().Done():
			waits.leave()
			s.Engine.ClientLeft(c)
			if up != nil && end(w, up) != nil && errors.Is(up.ReadError(), os.ErrDeadlineExceeded) { // net/http reports a read time-out as the client's end
				rejectMalformed(w, badBody(up.ReadError()))
				return
			}
			s.abort(r, abortClientLeft)
		case <-s.Engine.Done(): // never before the drain has ended
			waits.leave()
			s.logUnserved(r, unservedEngineEnded)
			s.writeHeadAndBody(w, engine.Answer{Kind: engine.Failed})
			return
		}
	}
}

// overdueWait returns for how long an upload may go without its answer, whatever it waits for: a connection, a server that takes it or an
// answer. The engine has the deadlines of other requests.
func overdueWait(up *http1.Upload) time.Duration {
	if up == nil {
		return time.Duration(math.MaxInt64)
	}
	return time.Until(up.AnswerBy())
}
