package extproc

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
)

// parseRequest reads the head of a request and checks it as strictly as direct mode does. The call has no responder yet.
// The error is a requesthead.BadRequestError.
func (s *Server) parseRequest(req *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) (*engine.Call, error) {
	began := s.Clock.Now()
	head, err := parseRequestHead(h)
	if err != nil {
		return nil, err
	}
	try, err := attemptCount(head.Header)
	if err != nil {
		return nil, err
	}
	call, _, err := s.Rules.Check(head, began)
	if err != nil {
		return nil, err
	}
	call.CallerAttempt = try
	hint, there, err := subsetHint(req, s.Settings.MaxSubset)
	if err != nil {
		return nil, err
	}
	if there {
		call.Candidates = s.listedIDs(hint)
	}
	return call, nil
}

// parseRequestHead reads the head of a request. Where the client states no timeout, Envoy's own counts.
func parseRequestHead(m *extprocv3.HttpHeaders) (requesthead.Head, error) {
	h := parseHead(m.GetHeaders())
	method, _, err := singleValue(h.method, ":method")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, err := singleValue(h.path, ":path")
	if err != nil {
		return requesthead.Head{}, err
	}
	path, _, _ = strings.Cut(path, "?")
	length, chunked, err := bodyLength(h.Header, m.GetEndOfStream())
	if err != nil {
		return requesthead.Head{}, err
	}
	if _, stated := h.Header[requesthead.TimeoutHeader]; !stated {
		ms, there, err := singleValue(h.Header[envoyTimeoutHeader], envoyTimeoutHeader)
		if err != nil {
			return requesthead.Head{}, err
		}
		if there {
			h.Set(requesthead.TimeoutHeader, ms+"m")
		}
	}
	return requesthead.Head{Method: method, Path: path, Header: h.Header, ContentLength: length, Chunked: chunked}, nil
}

// bodyLength reads the stated length of a body, in bytes. A body without one counts as chunked: its end isn't known ahead.
func bodyLength(h http.Header, noBody bool) (length int64, chunked bool, err error) {
	if len(h["Transfer-Encoding"]) > 0 {
		return -1, true, nil
	}
	text, there, err := singleValue(h["Content-Length"], "Content-Length")
	switch {
	case err != nil:
		return 0, false, err
	case !there:
		return 0, !noBody, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || noBody && n > 0 {
		return 0, false, badRequest("Content-Length is malformed or does not fit")
	}
	return int64(n), false, nil
}

// attemptCount reads which of the proxy's own attempts this is, from 1; 0 where it does not say.
func attemptCount(h http.Header) (int, error) {
	text, there, err := singleValue(h[envoyAttemptHeader], envoyAttemptHeader)
	if err != nil || !there {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxAttemptCount {
		return 0, badRequest("%s is no count of tries", envoyAttemptHeader)
	}
	return n, nil
}

// badRequest returns a requesthead.BadRequestError with status 400.
func badRequest(format string, args ...any) error {
	return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}
