package http1

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/http1"
)

// expiredDeadline ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// statuses are the HTTP status codes of the kinds of answers.
var statuses = [...]int{engine.Served: http.StatusOK, engine.Rejected: http.StatusServiceUnavailable,
	engine.Failed: http.StatusBadGateway, engine.Conflict: http.StatusConflict}

// reject rejects a request that the engine has not seen. If a part of its body is unread, the connection is closed.
func (s *Server) reject(w http.ResponseWriter, c *engine.Call, unread bool) {
	s.Engine.CountRejected(c)
	if unread {
		stopReading(w)
	}
	s.writeHeadAndBody(w, engine.Answer{Kind: engine.Rejected, RetryAfter: fullRetryAfter})
}

// writeAnswer writes the final answer.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, up *http1.Upload, a engine.Answer, memory *bodyReservation) {
	if up != nil && a.Kind != engine.Served {
		broken := end(w, up)
		w.Header().Set("Connection", "close")
		if broken != nil && up.ReadError() != nil {
			rejectMalformed(w, badBody(up.ReadError()))
			return
		}
	}
	resp, ok := a.Payload.(*http1.Response)
	if !ok || resp.Rest == nil {
		s.writeHeadAndBody(w, a)
		return
	}
	if s.LargeBodies == nil || resp.Length < 0 && !r.ProtoAtLeast(1, 1) { // its end could not be told from a broken connection
		resp.Discard()
		s.writeHeadAndBody(w, engine.Answer{Kind: engine.Failed})
		return
	}
	memory.takePlace()
	s.writeHeadAndBody(w, a)
	came := int64(len(resp.Body))
	resp.Body = nil // while the client takes the rest
	passed, err := s.LargeBodies.pass(r.Context(), w, resp)
	if err == nil {
		return
	}
	progress := []slog.Attr{slog.Int64("response_bytes", came+passed), slog.Int64("response_length", resp.Length), slog.String("error", err.Error())}
	if errors.Is(err, errResponseBroken) {
		s.abort(r, abortResponseBroken, progress...)
	}
	s.abort(r, abortClientStoppedReading, progress...)
}

// rejectMalformed answers malformed input. It closes the connection, as the next bytes may belong to that input.
func rejectMalformed(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if bad, ok := errors.AsType[requesthead.BadRequestError](err); ok {
		status = bad.Status
	}
	stopReading(w)
	http.Error(w, err.Error(), status)
}

// stopReading ends the connection of a request behind its answer, and keeps net/http from reading the rest of its body, which it does else for as
// long as the client sends: the connection would keep its place meanwhile.
func stopReading(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	besteffort.Ignore(http.NewResponseController(w).SetReadDeadline(expiredDeadline))
}

// serveReadiness answers GET /ready.
func (s *Server) serveReadiness(w http.ResponseWriter) {
	s.announceClose(w)
	if !s.Engine.Ready() || s.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, "ready\n"))
}

// announceClose says in an answer that its connection ends, where it is to end: while many are open, and in the last part of a drain. It is
// asked when the answer is written, as the request may have begun long before.
func (s *Server) announceClose(w http.ResponseWriter) {
	if s.closing.Load() || !s.draining.Load() && s.clients.IsCrowded() {
		w.Header().Set("Connection", "close")
	}
}

// writeHeadAndBody writes an answer, or its first part. A write error means that the client has left, which net/http handles.
func (s *Server) writeHeadAndBody(w http.ResponseWriter, a engine.Answer) {
	s.announceClose(w)
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
		h["Content-Type"] = nil // keeps net/http from guessing
	}
	for _, header := range requesthead.RetryAfterHeaders(a) {
		h.Set(header[0], header[1])
	}
	besteffort.Ignore(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)))
	w.WriteHeader(statuses[a.Kind])
	besteffort.IgnoreResult(w.Write(resp.Body))
}
