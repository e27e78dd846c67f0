// Package http1 takes requests from clients that speak HTTP/1.1.
package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/http1"
)

const (
	writeTimeout = 2 * time.Second // for an answer that the client does not read

	// HeaderTimeout limits the time for the head of a request, from when the client connected.
	HeaderTimeout = 1500 * time.Millisecond
	// BodyTimeout limits the time for the body of a request, from when its head was read.
	BodyTimeout = 1200 * time.Millisecond

	clientIdle = 2100 * time.Millisecond // an idle client connection is closed
	maxHeader  = 16 << 10

	// MaxInFlightRatio is the share of the clients' connections that may have a request in flight; the rest are answered at once.
	MaxInFlightRatio = 0.8

	heldRetry = time.Second // the come-back time when too much is open
)

// Options are what a Server is made of. All but MaxInFlight, DrainAcceptDuration, Leave, Joins and Large must be set.
type Options struct {
	Rules               requesthead.Checker
	Engine              *engine.Engine
	Clock               engine.Clock
	Transport           engine.Transport // of the calls
	MaxInFlight         int              // requests open at a time; 0: as many as there are connections
	DrainAcceptDuration time.Duration    // new connections are accepted for so long after the signal to end
	// OnDrain is told that the signal has come. It reports whether another process serves now and takes new connections. It
	// may be nil.
	OnDrain     func() bool
	Log         *slog.Logger
	Coalescing  *Coalescing  // nil: no request says what it asks, so that the engine joins none
	LargeBodies *LargeBodies // nil: bodies have intake.MaxBody at the most, and clients are quick
}

// Coalescing says which requests say what they ask, so that the engine may answer like ones together.
type Coalescing struct {
	Identity     *coalesce.Identity
	Classes      atomic.Pointer[[]bool] // by number, as they are now
	TenantsApart bool                   // requests of two tenants are never alike
}

// Server is the side that faces the clients.
type Server struct {
	Options
	held    atomic.Int64 // requests that are open
	leaving atomic.Bool
	closing atomic.Bool   // answers close their connections
	until   atomic.Int64  // when all has to be answered, on the clock, once it is leaving
	last    chan struct{} // closed then
	clients *connlimit.Listener
}

// New returns a server of the connections from a listener.
func New(o Options, clients *connlimit.Listener) *Server {
	return &Server{Options: o, clients: clients, last: make(chan struct{})}
}

// full reports whether so many requests are open that no other one is let in.
func (s *Server) full(open int64) bool {
	most := int64(MaxInFlightRatio * float64(s.clients.Limit()))
	if s.MaxInFlight > 0 {
		most = min(most, int64(s.MaxInFlight))
	}
	return open > most
}

// Serve answers clients until the context ends and what was taken by then is answered. That takes for as long as it
// accepts and longest more, at most; waits says by then how long clients wait, as they would like to and at most.
func (s *Server) Serve(ctx context.Context, waits func() (usually, longest time.Duration)) error {
	srv := s.httpServer()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(s.clients) }()
	s.Log.Info("listening", "addr", s.clients.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	usually, longest := waits()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainAcceptDuration+longest)
	defer cancel()
	s.until.Store(int64(s.Clock.Now() + s.DrainAcceptDuration + longest - lastWord))
	lastWords := time.AfterFunc(s.DrainAcceptDuration+longest-lastWord, func() { close(s.last) })
	defer lastWords.Stop()
	if !s.drain(limited, s.DrainAcceptDuration+max(0, longest-usually)) {
		s.Log.Warn("drained, but some connections were still open")
	}
	s.clients.CloseAll()
	besteffort.Close(srv)
	besteffort.Ignore(<-failed)
	s.Log.Info("drained")
	return nil
}

// httpServer returns the net/http server that s answers for.
func (s *Server) httpServer() *http.Server {
	head := HeaderTimeout
	if s.LargeBodies != nil {
		head = slowHeader
	}
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: head,
		IdleTimeout:       clientIdle,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
}

// statuses are the answers' kinds in HTTP.
var statuses = [...]int{engine.Served: http.StatusOK, engine.Rejected: http.StatusServiceUnavailable,
	engine.Failed: http.StatusBadGateway, engine.Conflict: http.StatusConflict}

// ServeHTTP gives each request its one answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := s.Clock.Now()
	if connlimit.IsEnded(r.Context()) { // its close and this request have crossed: it was not sent on, and its client sends it once more
		panic(http.ErrAbortHandler)
	}
	if s.closing.Load() || !s.leaving.Load() && s.clients.IsCrowded() {
		w.Header().Set("Connection", "close")
	}
	if s.LargeBodies != nil {
		if err := checkFraming(r.Context()); err != nil {
			turnAway(w, err)
			return
		}
	}
	if r.URL.Path == "/ready" {
		s.readiness(w)
		return
	}
	c, up, release, err := s.accept(w, r, began)
	defer release()
	if errors.Is(err, errFull) {
		s.refuse(w, c, true)
		return
	}
	if err != nil {
		turnAway(w, err)
		return
	}
	if until := time.Duration(s.until.Load()); until > 0 {
		if up != nil && s.Clock.Now()+up.ClientTimeout > until { // its time begins with its last byte; nothing was sent yet
			s.refuse(w, c, true)
			return
		}
		if up == nil { // what has no answer by then gets its last word
			c.Deadline = min(c.Deadline, until)
		}
	}
	connlimit.MarkInUse(r.Context())
	defer s.held.Add(-1)
	if s.full(s.held.Add(1)) { // nothing was sent yet, so a refusal's promise holds
		s.refuse(w, c, up != nil)
		return
	}
	waits := newCaller()
	c.Responder = waits
	if connlimit.HasClientLeft(r.Context()) { // while the request lay unread: nothing begins for who has gone
		panic(http.ErrAbortHandler)
	}
	s.Engine.Arrive(c)
	last := s.last
	for {
		select {
		case a := <-waits.answer:
			s.answer(w, r, up, a)
			return
		case <-last: // also what was taken before the signal has to be answered by now
			s.Engine.ForceAnswer(c)
			last = nil
		case <-r.Context().Done():
			waits.leave()
			s.Engine.ClientLeft(c)
			if up != nil && end(w, up) != nil && errors.Is(up.ReadError(), os.ErrDeadlineExceeded) { // net/http takes that for the client's end
				turnAway(w, badBody(up.ReadError()))
				return
			}
			panic(http.ErrAbortHandler) // a plain return would make net/http answer 200, which no backend said
		case <-s.Engine.Done(): // never before the server has drained
			waits.leave()
			write(w, engine.Answer{Kind: engine.Failed})
			return
		}
	}
}

// refuse turns away what the engine has not seen. Of its body there may be some that is not read.
func (s *Server) refuse(w http.ResponseWriter, c *engine.Call, unread bool) {
	s.Engine.CountRejected(c)
	if unread {
		w.Header().Set("Connection", "close")
	}
	write(w, engine.Answer{Kind: engine.Rejected, RetryAfter: heldRetry})
}

// answer writes the final answer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, up *http1.Upload, a engine.Answer) {
	if up != nil && a.Kind != engine.Served {
		broken := end(w, up)
		w.Header().Set("Connection", "close")
		if broken != nil && up.ReadError() != nil {
			turnAway(w, badBody(up.ReadError()))
			return
		}
	}
	resp, ok := a.Payload.(*http1.Response)
	if !ok || resp.Rest == nil {
		write(w, a)
		return
	}
	if s.LargeBodies == nil || resp.Length < 0 && !r.ProtoAtLeast(1, 1) { // its end could not be told from a break
		resp.Discard()
		write(w, engine.Answer{Kind: engine.Failed})
		return
	}
	write(w, a)
	s.LargeBodies.pass(r.Context(), w, resp)
}

// turnAway answers bad input. It closes the connection, as what comes behind may be a part of it.
func turnAway(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if bad, ok := errors.AsType[requesthead.BadRequestError](err); ok {
		status = bad.Status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (s *Server) readiness(w http.ResponseWriter) {
	if !s.Engine.Ready() || s.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, "ready\n"))
}

// write writes an answer, or how it begins. An error means that the client has gone, which net/http deals with.
func write(w http.ResponseWriter, a engine.Answer) {
	h := w.Header()
	var resp http1.Response
	if made, ok := a.Payload.(*http1.Response); ok {
		resp = *made
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	} else {
		h["Content-Type"] = nil // do not guess
	}
	for _, header := range requesthead.RetryAfterHeaders(a) {
		h.Set(header[0], header[1])
	}
	besteffort.Ignore(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)))
	w.WriteHeader(statuses[a.Kind])
	besteffort.IgnoreResult(w.Write(resp.Body))
}

// accept reads a request and checks it. What of a large body still comes is an Upload. The body must be there in time, or come
// at a pace, whatever time-out the client states.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, began time.Duration) (c *engine.Call, up *http1.Upload,
	release func(), err error) {
	release = func() {}
	h := requesthead.Head{Method: r.Method, Path: r.URL.Path, Header: r.Header, ContentLength: r.ContentLength, Chunked: len(r.TransferEncoding) > 0}
	if s.LargeBodies != nil {
		h.MaxBody, h.AllowsChunkedAndHead = http1.MaxLargeBody, true
	}
	var timeout time.Duration
	if c, timeout, err = s.Rules.Check(h, began); err != nil {
		return nil, nil, release, err
	}
	var body []byte
	if s.LargeBodies != nil {
		connlimit.MarkInUse(r.Context()) // as long as it keeps its pace
		if body, up, release, err = s.LargeBodies.take(w, r, timeout); err == nil {
			c.Deadline += s.Clock.Now() - began // a request's time counts from its last byte
		}
	} else {
		body, err = readBody(w, r, s.Clock.At(began+min(timeout, BodyTimeout)))
	}
	if err != nil {
		return c, nil, release, err
	}
	c.Transport = s.Transport
	if up != nil { // it has its real deadline when its last byte has been sent on
		c.Upload, c.Deadline = up, s.Clock.Now()+slowest(r.ContentLength)+timeout
	}
	c.Payload = &http1.Request{Method: r.Method, Host: r.Host, URL: r.URL, Header: requesthead.ForwardedHeaders(r.Header), Body: body, Upload: up}
	if up == nil {
		c.CoalesceDigest = s.Coalescing.like(c, r, body)
	}
	return c, up, release, nil
}

// slowest is the time that a body takes to come at the least pace.
func slowest(length int64) time.Duration {
	if length < 0 {
		length = http1.MaxLargeBody
	}
	return paceFrom + time.Duration(float64(length)/leastPace*float64(time.Second))
}

// like is what a request asks, or nil of one that is not to be joined. All counts that goes on to a backend but for who
// asks. A client that wants an answer made for itself gets it (RFC 9111, sections 5.2.1.4 and 5.2.1.5).
func (j *Coalescing) like(c *engine.Call, r *http.Request, body []byte) *coalesce.Digest {
	if j == nil {
		return nil
	}
	if joined := *j.Classes.Load(); c.Class >= len(joined) || !joined[c.Class] || requesthead.HasCacheDirective(r.Header, "no-cache", "no-store") {
		return nil
	}
	tenant := ""
	if j.TenantsApart {
		tenant = strconv.Itoa(c.Tenant)
	}
	parts := []string{r.Method, r.Host, r.URL.RequestURI(), tenant, string(body)}
	d := j.Identity.Digest(append(parts, requesthead.IdentityHeaders(r.Header)...)...)
	return &d
}

// readBody reads the whole body, which must be there in time.
func readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, fmt.Errorf("setting the read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requesthead.MaxBody))
	if _, long := errors.AsType[*http.MaxBytesError](err); long {
		return nil, requesthead.BadRequestError{Status: http.StatusRequestEntityTooLarge, Text: "the body is over 64 KiB"}
	}
	if err != nil {
		return nil, requesthead.BadRequestError{Status: http.StatusBadRequest, Text: "the body is not whole"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clearing the read deadline: %w", err)
	}
	return body, nil
}

// lastWord is how long an answer may take to be written, before a process that is told to end does so.
const lastWord = 60 * time.Millisecond

// keepFor is how long idle connections are kept once another process serves. What crosses their close is lost, so each ends
// with its next answer; what comes later than this might not be answered before the process is killed.
const keepFor = 600 * time.Millisecond

// lastAnswers is for how long answers close their connections before those that are idle are closed, as a close may cross a request.
const lastAnswers = 300 * time.Millisecond

// look is how often a drain looks whether anybody is connected.
const look = 10 * time.Millisecond

// lameDuck goes on taking requests, for DrainAcceptDuration in any case and no longer than anybody is connected. At the end answers close
// their connections.
func (s *Server) lameDuck(ctx context.Context, wait time.Duration) {
	began := s.Clock.Now()
	s.await(ctx, func() bool {
		gone := s.Clock.Now() - began
		s.closing.Store(s.closing.Load() || gone >= wait-lastAnswers)
		return gone >= wait || gone >= s.DrainAcceptDuration && s.clients.OpenCount() == 0
	})
}

// await looks until something holds, and reports whether that came before the context's end.
func (s *Server) await(ctx context.Context, holds func() bool) bool {
	t := time.NewTicker(look)
	defer t.Stop()
	for !holds() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// drain stops taking requests in the order in which the clients stop sending them. They stop to connect first, and go on using
// what they have for as long as that stays open, while nobody else answers for this agent: so connections stay open, and requests are
// taken, for wait, as long as an answer may be in time; each has its last word by the end. Where another process serves, clients notice
// nothing: what connects goes there, and what is idle may bring one more request. It reports whether nobody is connected any more.
func (s *Server) drain(ctx context.Context, wait time.Duration) bool {
	s.leaving.Store(true)
	succeeded := s.OnDrain != nil && s.OnDrain()
	s.Log.Info("draining", "succeeded", succeeded)
	if succeeded {
		wait = keepFor
		s.closing.Store(true)
	}
	s.lameDuck(ctx, wait)
	s.closing.Store(true)
	besteffort.Close(s.clients)
	s.clients.Drain() // not net/http's Shutdown, which closes what is idle also in the moment in which it brings a request
	return s.await(ctx, func() bool { return s.clients.OpenCount() == 0 })
}
