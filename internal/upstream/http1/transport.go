// Package http1 is the upstream transport for backends that speak HTTP/1.1. A Transport makes one attempt of a call over a
// pooled connection and reports an exact result: an attempt that may have run is never reported as one that has not.
// Nothing is sent again here; that is the balancer's decision.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// Limits of a response, in bytes unless a name says otherwise.
const (
	maxBodyBytes         = requesthead.MaxBody
	maxResponseHeadBytes = 16 << 10  // with interim responses
	maxEncodedBodyBytes  = 128 << 10 // of a body of at most maxBodyBytes, however its chunks are cut
	maxInterimResponses  = 8         // 1xx responses before the final one
	encodedHeadSize      = 1 << 10   // of a usual request, for its buffer
	responsePrefix       = "HTTP/1."

	// responseReadTimeout limits the time from the first byte of a response to its last. Backends send a response in one
	// go: one that stops half way is malformed, and its connection would stay open.
	responseReadTimeout = 500 * time.Millisecond
)

// Request is a request as a client sent it. It is the payload of the calls that a Transport forwards.
type Request struct {
	Method, Host string
	URL          *url.URL
	Header       http.Header // forwarded to the backend
	Body         []byte
	Upload       *Upload // in place of Body, for a body that is forwarded while it is received
}

// Response is the response of a backend. It is the payload of a served answer.
type Response struct {
	Body        []byte
	ContentType string
	Length      int64   // of the whole body; -1 where it is not stated
	Rest        *Stream // what follows Body; nil if that is complete. It must be read to its end or discarded
}

// Transport implements engine.Transport over a connection pool. Its fields are set before first use and not changed; it is
// safe for concurrent use.
type Transport struct {
	Pool              *connpool.Pool
	Clock             engine.Clock
	ReportFields      []string        // names of the values of a load report that are used
	OnMalformedReport func(err error) // is called for each malformed load report, from any goroutine
	// ConfirmedRepeatsOnly: what can't be held until its backend asks for it is not repeated by key.
	ConfirmedRepeatsOnly bool
	// AllowUnconfirmedRepeats: what can't be held is written at once, also to a backend that is known not to ask for it.
	AllowUnconfirmedRepeats bool
	AllowsLargeBodies       bool // bodies may have up to MaxLargeBody bytes, peers may be slow, and a response may end with its connection
}

// RoundTrip makes the attempt and returns its outcome. It blocks until the response is complete, its first part has arrived
// where it is large, or the attempt's deadline has passed. It never reports an attempt that may have run as not run.
func (s *Transport) RoundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	out := s.roundTrip(ctx, a)
	if b := backendOf(a); b != nil {
		out.OmitsContinue = !b.MaySendContinue()
	}
	return out
}

// roundTrip makes the attempt, and leaves to RoundTrip what is known of its backend behind it.
func (s *Transport) roundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	out := engine.Outcome{Attempt: a, Result: balancer.NotSent, Report: balancer.NoReport}
	expects := s.expectationOf(a)
	if a.Forbidden || expects == bodyNeverWritten {
		return out
	}
	if !s.isProcessOfOriginal(nil, a) { // a new connection might lead elsewhere
		return out
	}
	if expects != bodyHeld && !s.AllowUnconfirmedRepeats && !isOriginalRead(a, 0) {
		out.OriginalUnread = true
		return out
	}
	a.SetPhase(engine.AwaitsConnection)
	ctx, cancel := context.WithDeadline(ctx, s.connectBy(a))
	defer cancel()
	c, err := s.Pool.Get(ctx, backendOf(a))
	switch {
	case errors.Is(err, connpool.ErrNotReady) || errors.Is(err, connpool.ErrPoolExhausted) || err != nil && ctx.Err() != nil:
		return out // the agent's own limits say nothing about the backend
	case err != nil:
		out.Result = balancer.ConnectFailed
		return out
	case !s.maySend(c, a):
		s.Pool.Release(c, true)
		return out
	}
	if keep, passed := s.exchange(c, a, &out); !passed {
		if out.Result == balancer.Reset || out.Result == balancer.ConnectFailed {
			s.Pool.NoteEnd(c)
		}
		s.Pool.Release(c, keep)
	}
	return out
}

// connectBy returns when an attempt has to have its connection.
func (s *Transport) connectBy(a *engine.Attempt) time.Time {
	by := s.Clock.At(a.Deadline)
	if u := a.Call.Payload.(*Request).Upload; u != nil && u.writtenBy().Before(by) {
		return u.writtenBy()
	}
	return by
}

// backendOf returns the backend, in the incarnation that the attempt was sent to.
func backendOf(a *engine.Attempt) *connpool.Backend {
	b, _ := a.Incarnation.(*connpool.Backend)
	return b
}

// maySend reports whether the request may still be written. It is asked just before the first byte, and once more before a
// body that was held back: a dial or a wait may have taken long. Meanwhile the backend may have begun to drain or restarted, the
// request may have been answered, or the backends may have forgotten its idempotency key, so that a retry would run twice.
func (s *Transport) maySend(c *connpool.Conn, a *engine.Attempt) bool {
	return s.Clock.Now() < a.WriteDeadline && !a.Call.Closed() && s.Pool.AcceptsRequests(backendOf(a)) &&
		(a.ConnectedSince == 0 || c.Opened.Before(s.Clock.At(a.ConnectedSince))) && s.isProcessOfOriginal(c, a) && s.mayRepeatAt(c, a)
}

// mayRepeatAt reports whether an attempt that repeats what may have run goes to a server that drops it then: the process is the one that the
// endpoint list means, and so was that of the first attempt. For any other attempt it notes whether the process is certain.
func (s *Transport) mayRepeatAt(c *connpool.Conn, a *engine.Attempt) bool {
	if a.Call.Effect != balancer.IdempotentByKey {
		return true
	}
	isUncertain := s.Pool.MayBeOtherProcess(c)
	if !a.IsKeyedRepeat {
		a.SetServerUncertain(isUncertain)
		return true
	}
	return !isUncertain && (a.Original == nil || !a.Original.IsServerUncertain())
}

// isProcessOfOriginal reports whether a repeat at the backend of its first attempt goes to the process that has had that. When the connection
// of the first attempt has ended, another process may have come up at the address, of another pod and under another id, which discovery tells
// only later: it knows nothing of the first run. The process is the same where a connection to it has outlived that. c is nil before there is a
// connection.
func (s *Transport) isProcessOfOriginal(c *connpool.Conn, a *engine.Attempt) bool {
	original := a.Original
	if !a.IsKeyedRepeat || original == nil || original.BrokenAt() == 0 || backendOf(original) != backendOf(a) {
		return true
	}
	broken := s.Clock.At(original.BrokenAt())
	return c != nil && c.Opened.Before(broken) || s.Pool.HasOpenSince(backendOf(a), broken)
}

// exchange writes the request and reads the response. keep reports whether the connection can be reused, and passed whether
// the rest of the response, and with it the connection, belongs to the outcome's payload.
func (s *Transport) exchange(c *connpool.Conn, a *engine.Attempt, out *engine.Outcome) (keep, passed bool) {
	begun := s.Clock.Now()
	a.SetPhase(engine.AwaitsWrite)
	req, until, ok := s.writeRequest(c, a, out)
	if !ok {
		return false, false
	}
	a.SetPhase(engine.AwaitsHead)
	got, err := s.readResponse(c, a, req, until)
	if err != nil {
		a.MarkBroken(s.Clock.Now())
		if out.Result = resultOfReadError(err); out.Result == balancer.TimedOut {
			c.Abort()
		}
		return false, false
	}
	out.Report = ReadReport(got.head.Header, s.ReportFields, s.OnMalformedReport)
	if out.Result = ClassifyResponse(got.head.StatusCode, got.head.Header); out.Result == balancer.OK {
		out.Payload = got.body
		out.Private = isPrivate(got.head.Header) || got.body.Rest != nil // a stream can be read only once
	}
	recordFinalResponse(a, req, got.finalHead, begun, out)
	return !got.head.Close, got.body.Rest != nil
}

// writeRequest writes the request and returns the deadline of its response. If it could not be written completely, the
// result of the attempt is in out.
func (s *Transport) writeRequest(c *connpool.Conn, a *engine.Attempt, out *engine.Outcome) (req *http.Request, until time.Duration, ok bool) {
	if u := a.Call.Payload.(*Request).Upload; u != nil {
		if req, ok = s.writeUpload(c, a, u, out); !ok {
			return nil, 0, false
		}
		until = s.Clock.Now() + time.Until(u.attemptEndsBy())
		a.UploadFinished(until)
		return req, until, c.SetDeadline(s.Clock.At(until)) == nil
	}
	expects := s.expectationOf(a)
	req, text, err := s.encodeRequest(a, expects)
	if err != nil || c.SetDeadline(s.Clock.At(a.Deadline)) != nil {
		return nil, 0, false
	}
	switch expects {
	case bodyNeverWritten:
	case bodyHeld:
		ok = s.writeConfirmed(c, a, req, text, out)
	default:
		ok = s.writeLast(c, text, out)
	}
	if !ok {
		return nil, 0, false
	}
	a.MarkWritten()
	return req, a.Deadline, true
}

// isPrivate reports whether a response is for one client alone, by the rules for shared caches (RFC 9111, sections 3 and 4.1).
func isPrivate(h http.Header) bool {
	return requesthead.HasCacheDirective(h, "private", "no-store") || len(h["Set-Cookie"]) > 0 || requesthead.VariesByRequester(h)
}

// ClassifyResponse returns the result of an attempt whose complete response has that status and header.
func ClassifyResponse(status int, header http.Header) balancer.Result {
	switch {
	case status == http.StatusOK:
		return balancer.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		header.Get("X-Not-Processed") == "1":
		return balancer.Rejected
	}
	return balancer.Failed
}

// errMalformedResponse is a response that no backend made for the request. The request may have run.
var errMalformedResponse = errors.New("spoilt answer")

// finalHead is the head of the final response to a request.
type finalHead struct {
	head         *http.Response
	hasContinued bool // 100 (Continue), which the request asked for, came before it
}

// receivedResponse is a complete response, or its first part where it is large.
type receivedResponse struct {
	finalHead
	body *Response
}

// readResponse reads a response. It fails as soon as the bytes can't become one, as a malformed response may never end.
func (s *Transport) readResponse(c *connpool.Conn, a *engine.Attempt, req *http.Request, until time.Duration) (receivedResponse, error) {
	c.AllowBytes(maxResponseHeadBytes) // http.ReadResponse takes a head of any length
	final, err := s.readFinalHead(c, a, req, until)
	if err != nil {
		return receivedResponse{}, err
	}
	a.SetPhase(engine.AwaitsBody)
	body, err := s.readBody(c, a, final.head, until)
	if err != nil {
		return receivedResponse{}, fmt.Errorf("%w: %w", errMalformedResponse, err)
	}
	return receivedResponse{final, body}, nil
}

// readFinalHead reads the head of the final response, past interim ones. Each of these may come long before the next.
func (s *Transport) readFinalHead(c *connpool.Conn, a *engine.Attempt, req *http.Request, until time.Duration) (final finalHead, err error) {
	for range maxInterimResponses {
		final.head, err = s.readHead(c, req, until)
		recordReadSign(c, a, final.head, err)
		if err != nil || final.head.StatusCode >= http.StatusOK {
			return final, err
		}
		if final.head.StatusCode == http.StatusContinue && isExpecting(req) {
			final.hasContinued = true
			recordContinue(a)
		}
	}
	return finalHead{}, fmt.Errorf("%w: too many interim answers", errMalformedResponse)
}

// readHead waits for a response and reads its head.
func (s *Transport) readHead(c *connpool.Conn, req *http.Request, until time.Duration) (*http.Response, error) {
	if err := c.SetReadDeadline(s.Clock.At(until)); err != nil {
		return nil, err
	}
	if err := checkPrefix(c.Reader); err != nil {
		return nil, err
	}
	if !s.AllowsLargeBodies { // else servers may be slow, and the head has the whole time
		until = min(until, s.Clock.Now()+responseReadTimeout)
	}
	if err := c.SetReadDeadline(s.Clock.At(until)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.Reader, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedResponse, err)
	}
	return resp, nil
}

// checkPrefix reads the first bytes of a response and fails at the first that differs: bytes without an end of line would
// keep the parser waiting.
func checkPrefix(r *bufio.Reader) error {
	for n := 1; n <= len(responsePrefix); n++ {
		got, err := r.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != responsePrefix[n-1] {
			return errMalformedResponse
		}
	}
	return nil
}

// hasKnownEnd reports whether the end of a body can be told from a broken connection. A body that ends with its connection is
// complete by the protocol (RFC 9112, section 6.3, point 8), but is accepted only where large bodies are; a reset is an
// error there too.
func (s *Transport) hasKnownEnd(resp *http.Response) bool {
	return s.AllowsLargeBodies || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readBodyWhole reads a body of at most maxBodyBytes.
func (s *Transport) readBodyWhole(c *connpool.Conn, resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if length > maxBodyBytes || !s.hasKnownEnd(resp) {
		return nil, fmt.Errorf("a length of %d", length)
	}
	c.AllowBytes(maxEncodedBodyBytes)
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.New("a body over 64 KiB")
	}
	return body, err
}

// encodeRequest returns the request for the backend and its encoding.
func (s *Transport) encodeRequest(a *engine.Attempt, expects expectation) (*http.Request, []byte, error) {
	in := a.Call.Payload.(*Request)
	req := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header.Clone(),
		ContentLength: int64(len(in.Body)), Body: http.NoBody}
	if len(in.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(in.Body))
	}
	left := max(0, a.ClientDeadline()-s.Clock.Now())
	req.Header.Set(requesthead.TimeoutHeader, strconv.FormatInt(left.Microseconds(), 10)+"u")
	expects.setHeader(req)
	var text bytes.Buffer
	text.Grow(encodedHeadSize + len(in.Body))
	if err := req.Write(&text); err != nil {
		return nil, nil, fmt.Errorf("writing the request: %w", err)
	}
	return req, text.Bytes(), nil
}

// resultOfReadError returns the result of an attempt that was written completely and got no complete response.
func resultOfReadError(err error) balancer.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errMalformedResponse) {
		return balancer.TimedOut
	}
	return balancer.Reset
}
