package http1

import (
	"log/slog"
	"net/http"

	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
)

// abortReason says why a request gets no answer, or no whole one.
type abortReason string

const (
	abortConnectionEnded abortReason = "connection_ended" // its connection was closed before it began
	abortClientLeft      abortReason = "client_left"

	// The answer was begun:
	abortClientStoppedReading abortReason = "client_stopped_reading"
	abortResponseBroken       abortReason = "response_broken" // by the server, or it came too late
)

// unservedReason says why the server answered a request that the engine has not seen, or not answered.
type unservedReason string

const (
	unservedFull     unservedReason = "full"      // too many requests are in flight
	unservedMemory   unservedReason = "memory"    // the memory for bodies is used up
	unservedLongFull unservedReason = "long_full" // too many requests with long bodies or answers are open
	// unservedConnectionEnded: its connection was ended while its body came, to make room or at the end of the process.
	unservedConnectionEnded unservedReason = "connection_ended"
	unservedDrainTooShort   unservedReason = "drain_too_short" // an upload could be answered only after the process has ended
	unservedEngineEnded     unservedReason = "engine_ended"
)

// abort gives a request up, logs why, and makes net/http close the connection: a plain return would make it answer 200, which no backend
// has. It does not return.
func (s *Server) abort(r *http.Request, reason abortReason, attrs ...slog.Attr) {
	connlimit.Abort(r.Context())
	s.logRequest(r, "request ended without an answer", string(reason), attrs...)
	panic(http.ErrAbortHandler)
}

// logUnserved logs why a request is not served.
func (s *Server) logUnserved(r *http.Request, reason unservedReason) {
	s.logRequest(r, "request not served", string(reason))
}

func (s *Server) logRequest(r *http.Request, message, reason string, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.String("id", r.Header.Get(requesthead.RequestIDHeader)), slog.String("reason", reason)}, attrs...)
	s.RequestLog.Log(slog.LevelInfo, message, all...)
}
