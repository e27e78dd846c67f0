// Package http1 carries calls to backends that speak HTTP/1.1.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

const (
	maxBody       = requesthead.MaxBody
	maxFigure     = 1e9       // a load report with more in it is malformed
	mostInterim   = 8         // 1xx answers before the final one
	maxHead       = 16 << 10  // of an answer, with interim ones
	maxAnswer     = 128 << 10 // its body, however the chunks are cut
	startOfAnswer = "HTTP/1."

	// Backends send an answer in one go. One that stops half way is spoilt, and its connection stays open.
	answerTimeout = 500 * time.Millisecond
)

// Request is a request as a client sent it: the payload of the calls that a Transport carries.
type Request struct {
	Method, Host string
	URL          *url.URL
	Header       http.Header // what goes on to the backend
	Body         []byte
	Upload       *Upload // in place of Body: one that still comes
}

// Response is what a backend made for a request: the payload of a served answer.
type Response struct {
	Body        []byte
	ContentType string
	Length      int64   // of the whole body; -1 where it is not stated
	Rest        *Stream // what follows on Body; nil where that is whole. It must be read to its end, or discarded
}

// Transport makes attempts.
type Transport struct {
	Pool              *connpool.Pool
	Clock             engine.Clock
	ReportFields      []string        // of load reports
	OnMalformedReport func(err error) // is told of reports that can't be read
	AllowsLargeBodies bool            // bodies of up to MaxLargeBody pass, peers may be slow, and an answer may end with its connection
}

// RoundTrip makes the attempt and returns its outcome, which is exact: what may have run is never said not to have.
func (s *Transport) RoundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	out := engine.Outcome{Attempt: a, Result: balancer.NotSent, Report: balancer.NoReport}
	if a.Forbidden {
		return out
	}
	ctx, cancel := context.WithDeadline(ctx, s.Clock.At(a.Deadline))
	defer cancel()
	c, err := s.Pool.Get(ctx, life(a))
	switch {
	case errors.Is(err, connpool.ErrNotReady) || errors.Is(err, connpool.ErrPoolExhausted) || err != nil && ctx.Err() != nil:
		return out // the agent's own lack says nothing of the backend
	case err != nil:
		out.Result = balancer.ConnectFailed
		return out
	case !s.stillWanted(c, a):
		s.Pool.Put(c, true)
		return out
	}
	if keep, passed := s.exchange(c, a, &out); !passed {
		s.Pool.Put(c, keep)
	}
	return out
}

// life is the backend as it was at the time of the Send.
func life(a *engine.Attempt) *connpool.Backend {
	b, _ := a.Incarnation.(*connpool.Backend)
	return b
}

// stillWanted is asked just before the first byte goes out. A dial may have taken long: meanwhile the backend
// may have begun to drain or started anew, the request may have ended, or the backends may have forgotten its key.
func (s *Transport) stillWanted(c *connpool.Conn, a *engine.Attempt) bool {
	return s.Clock.Now() < a.WriteDeadline && !a.Call.Closed() && s.Pool.AcceptsRequests(life(a)) &&
		(a.ConnectedSince == 0 || c.Opened.Before(s.Clock.At(a.ConnectedSince)))
}

// exchange writes the request and reads the answer; keep says whether the connection is in order then, and passed that the
// rest of the answer, and with it the connection, is in the outcome's payload.
func (s *Transport) exchange(c *connpool.Conn, a *engine.Attempt, out *engine.Outcome) (keep, passed bool) {
	req, until, ok := s.write(c, a, out)
	if !ok {
		return false, false
	}
	resp, body, err := s.readAnswer(c, req, until)
	if err != nil {
		out.Result = broken(err)
		return false, false
	}
	out.Report = ReadReport(resp.Header, s.ReportFields, s.OnMalformedReport)
	if out.Result = ClassifyResponse(resp.StatusCode, resp.Header); out.Result == balancer.OK {
		out.Payload = body
		out.Private = private(resp.Header) || body.Rest != nil // which can be read once
	}
	return !resp.Close, body.Rest != nil
}

// write writes the request and says until when its answer is waited for. If it could not be written whole, that is the
// outcome.
func (s *Transport) write(c *connpool.Conn, a *engine.Attempt, out *engine.Outcome) (req *http.Request, until time.Duration, ok bool) {
	if u := a.Call.Payload.(*Request).Upload; u != nil {
		if req, ok, out.Result = s.upload(c, a, u); !ok {
			return nil, 0, false
		}
		until = s.Clock.Now() + u.ClientTimeout - min(uploadMargin, u.ClientTimeout/4)
		a.UploadFinished(until)
		return req, until, c.SetDeadline(s.Clock.At(until)) == nil
	}
	req, text, err := s.request(a)
	if err != nil || c.SetDeadline(s.Clock.At(a.Deadline)) != nil {
		return nil, 0, false
	}
	if n, err := c.Write(text); err != nil && n < len(text) {
		out.Result = balancer.ConnectFailed // the backend begins a request when its last byte has come
		return nil, 0, false
	}
	a.MarkWritten()
	return req, a.Deadline, true
}

// private reports whether an answer is for one caller alone, by the rules for shared caches (RFC 9111, sections 3 and 4.1).
func private(h http.Header) bool {
	return requesthead.HasCacheDirective(h, "private", "no-store") || len(h["Set-Cookie"]) > 0 || requesthead.VariesByRequester(h)
}

// ClassifyResponse says what a whole answer with that status and head means for the attempt.
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

// errSpoilt is an answer that can't be what a backend made for the request. The request may have run.
var errSpoilt = errors.New("spoilt answer")

// readAnswer reads an answer, or fails as soon as it can't become one: a spoilt answer may never end.
func (s *Transport) readAnswer(c *connpool.Conn, req *http.Request, until time.Duration) (*http.Response, *Response, error) {
	c.AllowBytes(maxHead) // http.ReadResponse takes a head of any length
	if err := startsWell(c.Reader); err != nil {
		return nil, nil, err
	}
	wait := answerTimeout
	if s.AllowsLargeBodies {
		wait = headWait
	}
	if end := s.Clock.Now() + wait; end < until {
		if err := c.SetReadDeadline(s.Clock.At(end)); err != nil {
			return nil, nil, err
		}
	}
	resp, err := readResponse(c, req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	body, err := s.readBody(c, resp, until)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return resp, body, nil
}

// startsWell waits for the answer's first bytes, and fails at the first that no answer begins with: noise may hold
// no end of a line, for which the parser would wait.
func startsWell(r *bufio.Reader) error {
	for n := 1; n <= len(startOfAnswer); n++ {
		got, err := r.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != startOfAnswer[n-1] {
			return errSpoilt
		}
	}
	return nil
}

// ended reports whether the end of a body can be told: one that ends where the connection does may be cut. It is whole by the
// protocol (RFC 9112, section 6.3, point 8), and taken for that where messages come in all forms; a reset is a break there too.
func (s *Transport) ended(resp *http.Response) bool {
	return s.AllowsLargeBodies || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readWhole reads the body.
func (s *Transport) readWhole(c *connpool.Conn, resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if length > maxBody || !s.ended(resp) {
		return nil, fmt.Errorf("a length of %d", length)
	}
	c.AllowBytes(maxAnswer)
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errors.New("a body over 64 KiB")
	}
	return body, err
}

// request returns the message for the backend, also as text.
func (s *Transport) request(a *engine.Attempt) (*http.Request, []byte, error) {
	in := a.Call.Payload.(*Request)
	req := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header.Clone(),
		ContentLength: int64(len(in.Body)), Body: http.NoBody}
	if len(in.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(in.Body))
	}
	left := max(0, a.Deadline-s.Clock.Now())
	req.Header.Set(requesthead.TimeoutHeader, strconv.FormatInt(left.Microseconds(), 10)+"u")
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, nil, fmt.Errorf("writing the request: %w", err)
	}
	return req, text.Bytes(), nil
}

// readResponse reads the head of the final answer, past interim ones.
func readResponse(c *connpool.Conn, req *http.Request) (*http.Response, error) {
	for range mostInterim {
		resp, err := http.ReadResponse(c.Reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// broken is the result of a request that was written whole and got no whole answer.
func broken(err error) balancer.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSpoilt) {
		return balancer.TimedOut
	}
	return balancer.Reset
}

// ReadReport reads the load report of an answer: the first that can be read. A malformed one is no report, and noted is
// told of it.
func ReadReport(header http.Header, fields []string, noted func(error)) balancer.Report {
	for _, text := range header.Values("X-Server-Load") {
		r, err := ParseReport(text, fields)
		if err == nil {
			return r
		}
		noted(err)
	}
	return balancer.NoReport
}

// ParseReport reads a load report, as X-Server-Load holds it; fields names what counts. One with a part that is no
// figure from 0 to 1e9 is an error, and nothing of it is to be used.
func ParseReport(text string, fields []string) (balancer.Report, error) {
	r := balancer.NoReport
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || x < 0 || x > maxFigure {
			return r, fmt.Errorf("load report %.100q", text)
		}
		for _, f := range fields {
			if f == name {
				simwire.SetFigure(&r, name, x)
			}
		}
	}
	return r, nil
}
