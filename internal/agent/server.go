package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"appleledge/internal/wire"
	"appleledge/logic"
)

const (
	deadlineMargin  = 20 * time.Millisecond // before the client's deadline a request is ended, so that its answer is out in time
	longestTimeout  = time.Hour             // what a client states beyond it is cut to it
	writeTimeout    = 5 * time.Second       // for an answer that the client does not read
	headerTimeout   = 10 * time.Second      // for the head of a request, from its first byte
	clientIdle      = 2 * time.Minute       // an idle client connection is closed
	maxHeader       = 32 << 10
	heldRetry       = time.Second // the come-back time when too much is open
	fullShare       = 0.75        // of the clients' connections: past it requests are refused and answers close theirs
	requestIDHeader = "X-Request-ID"
	keyHeader       = "Idempotency-Key"
)

// server is the side that faces the clients.
type server struct {
	site      wire.Site
	loop      *loop
	clock     clock
	mostHeld  int64         // requests open at a time
	mostConns int64         // client connections beyond which answers close theirs
	acceptFor time.Duration // new connections are accepted for so long after the signal to end
	held      atomic.Int64
	conns     atomic.Int64
	leaving   atomic.Bool
}

// badRequest is a request that is answered with a plain 4xx and never forwarded.
type badRequest struct {
	status int
	text   string
}

func (e badRequest) Error() string { return e.text }

// newServer returns a server with room for so many connections from clients.
func newServer(cfg Config, l *loop, c clock, most int) *server {
	full := int64(float64(most) * fullShare)
	s := &server{site: cfg.Site, loop: l, clock: c, mostHeld: full, mostConns: full, acceptFor: cfg.acceptFor}
	if cfg.Site.MostHeld > 0 {
		s.mostHeld = min(full, int64(cfg.Site.MostHeld))
	}
	return s
}

// httpServer returns the net/http server that s answers for.
func (s *server) httpServer(log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdle,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.conns.Add(-1)
			}
		},
	}
}

// ServeHTTP gives each request its one answer.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := s.clock.now()
	if s.leaving.Load() || s.conns.Load() > s.mostConns {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		s.readiness(w)
		return
	}
	defer s.held.Add(-1)
	if s.held.Add(1) > s.mostHeld { // nothing was sent yet, so a refusal's promise holds
		write(w, answer{status: http.StatusServiceUnavailable, retryAfter: heldRetry})
		return
	}
	c, err := s.accept(w, r, began)
	if err != nil {
		status := http.StatusBadRequest
		if bad, ok := errors.AsType[badRequest](err); ok {
			status = bad.status
		}
		w.Header().Set("Connection", "close") // what comes behind it may be a part of it
		http.Error(w, err.Error(), status)
		return
	}
	s.loop.tell(arrived{c})
	select {
	case a := <-c.answer:
		write(w, a)
	case <-r.Context().Done():
		s.loop.tell(clientLeft{c})
	case <-s.loop.done: // never before the server has drained
		write(w, answer{status: http.StatusBadGateway})
	}
}

func (s *server) readiness(w http.ResponseWriter) {
	if !s.loop.ready.Load() || s.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// accept reads a request and checks it.
func (s *server) accept(w http.ResponseWriter, r *http.Request, began time.Duration) (*call, error) {
	// Beside a length, chunks may hide a second request in what the length makes the body. net/http drops such a length
	// unseen, so that chunks can't be had at all; clients always send a length.
	if len(r.TransferEncoding) > 0 {
		return nil, badRequest{http.StatusLengthRequired, "only a body with a Content-Length is taken"}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := slices.IndexFunc(s.site.Logic.Classes, func(c logic.Class) bool { return c.Name == name })
	if class < 0 {
		return nil, badRequest{http.StatusNotFound, "unknown class"}
	}
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader))
	if err != nil {
		return nil, err
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		return nil, badRequest{http.StatusBadRequest, requestIDHeader + " is missing"}
	}
	if s.site.Logic.Classes[class].Effect == logic.Keyed && r.Header.Get(keyHeader) == "" {
		// The backends could not tell a repeat, so it must not be sent as one of this class.
		return nil, badRequest{http.StatusBadRequest, keyHeader + " is missing"}
	}
	body, err := readBody(w, r, s.clock.at(began+timeout))
	if err != nil {
		return nil, err
	}
	c := &call{
		id: id, class: class, tenant: slices.Index(s.site.Tenants, r.Header.Get("X-Tenant-Id")),
		key: r.Header.Get("X-Route-Key"), method: r.Method, host: r.Host, url: r.URL, header: forwarded(r.Header),
		body: body, deadline: began + timeout - min(deadlineMargin, timeout/4), again: r.Header.Get("X-Retried") == "1",
		answer: make(chan answer, 1),
	}
	if of := s.site.Logic.Classes[class]; of.Effect == logic.Keyed {
		c.window = of.Window
	}
	return c, nil
}

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds.
func parseTimeout(text string) (time.Duration, error) {
	bad := badRequest{http.StatusBadRequest, timeoutHeader + " is missing or malformed"}
	if text == "" {
		return 0, bad
	}
	number, unit := text[:len(text)-1], time.Millisecond
	switch text[len(text)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, bad
	}
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(x) || x <= 0 {
		return 0, bad
	}
	return time.Duration(min(x*float64(unit), float64(longestTimeout))), nil
}

// readBody reads the whole body, which must be there before the client's time is up.
func readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, fmt.Errorf("setting the read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if _, long := errors.AsType[*http.MaxBytesError](err); long {
		return nil, badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	}
	if err != nil {
		return nil, badRequest{http.StatusBadRequest, "the body is not whole"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clearing the read deadline: %w", err)
	}
	return body, nil
}

// hopByHop are the headers that concern one connection alone.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect"}

// forwarded returns the headers that go on to a backend.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// write writes an answer. An error means that the client has gone, which net/http deals with.
func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	} else {
		h["Content-Type"] = nil // do not guess
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// drain stops taking requests in the order in which the clients stop sending them: idle connections close and
// answers close theirs at once, while new connections are still accepted; then what is open is answered.
func (s *server) drain(ctx context.Context, srv *http.Server) error {
	s.leaving.Store(true)
	srv.SetKeepAlivesEnabled(false)
	sleep(ctx, s.acceptFor)
	return srv.Shutdown(ctx)
}
