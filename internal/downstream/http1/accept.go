package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"appleledge/internal/coalesce"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/http1"
)

// accept reads and checks a request. A large body is forwarded as an Upload while it arrives. The body must arrive in time, or
// at the least rate, whatever timeout the client states. The head was not sent before sentAfter. memory has what its body takes, also behind an error.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, sentAfter time.Time, memory *bodyReservation) (*engine.Call, *http1.Upload, error) {
	h := requesthead.Head{Method: r.Method, Path: r.URL.Path, Header: r.Header, ContentLength: r.ContentLength, Chunked: len(r.TransferEncoding) > 0}
	if s.LargeBodies != nil {
		h.MaxBody, h.AllowsChunkedAndHead = http1.MaxLargeBody, true
	}
	c, timeout, err := s.Rules.Check(h, s.Clock.Now()-time.Since(sentAfter))
	if err != nil {
		return nil, nil, err
	}
	body, up, err := s.takeBody(w, r, c, timeout, sentAfter, memory)
	if err != nil {
		return c, nil, err
	}
	c.Transport = s.Transport
	if up != nil { // its real deadline is set when its last byte was forwarded
		c.Upload, c.Deadline = up, s.Clock.Now()+maxUploadTime(r.ContentLength)+timeout
	}
	c.Payload = &http1.Request{Method: r.Method, Host: r.Host, URL: r.URL, Header: requesthead.ForwardedHeaders(r.Header), Body: body, Upload: up}
	if up == nil {
		c.CoalesceDigest = s.Coalescing.digest(c, r, body)
	}
	return c, up, nil
}

// takeBody reads the body of a call, or its first part where it is large, and moves the call's deadline: a request's timeout counts from its
// last byte.
func (s *Server) takeBody(w http.ResponseWriter, r *http.Request, c *engine.Call, timeout time.Duration, headSentAfter time.Time, memory *bodyReservation) ([]byte, *http1.Upload, error) {
	if s.LargeBodies == nil {
		if err := memory.acquire(s.Clock.At(c.Deadline)); err != nil {
			return nil, nil, err
		}
		body, err := readBody(w, r, time.Now().Add(min(timeout, BodyTimeout)))
		return body, nil, err
	}
	if r.ContentLength > freeBody { // it will be long: where there is no place, nothing of it is waited for
		if err := memory.acquirePlace(); err != nil {
			return nil, nil, err
		}
	}
	connlimit.MarkReadingBody(r.Context())
	clock := startLastByteClock(r.Context(), r.ContentLength, headSentAfter)
	body, up, err := s.LargeBodies.take(w, r, clock, timeout, func() error { return memory.acquire(clock.sentAfter().Add(timeout)) })
	if err == nil {
		c.Deadline += max(0, clock.sentAfter().Sub(headSentAfter))
	}
	return body, up, err
}

// maxUploadTime returns how long a body of that length may take to arrive.
func maxUploadTime(length int64) time.Duration {
	if length < 0 {
		length = http1.MaxLargeBody
	}
	return bodyGracePeriod + time.Duration(float64(length)/minBodyRate*float64(time.Second))
}

// digest returns the digest of all that is forwarded to a backend except who asks; nil for a request that must not be
// coalesced. A client that wants a response of its own gets one (RFC 9111, sections 5.2.1.4 and 5.2.1.5).
func (j *Coalescing) digest(c *engine.Call, r *http.Request, body []byte) *coalesce.Digest {
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

// readBody reads the complete body, which must arrive in time.
func readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, fmt.Errorf("setting the read deadline: %w", err)
	}
	var body bytes.Buffer
	body.Grow(int(min(max(0, r.ContentLength), requesthead.MaxBody)) + bytes.MinRead) // so that it never grows
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, requesthead.MaxBody))
	if _, long := errors.AsType[*http.MaxBytesError](err); long {
		return nil, requesthead.BadRequestError{Status: http.StatusRequestEntityTooLarge, Text: "the body is over 64 KiB"}
	}
	if err != nil {
		return nil, requesthead.BadRequestError{Status: http.StatusBadRequest, Text: "the body is not whole"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clearing the read deadline: %w", err)
	}
	return body.Bytes(), nil
}
