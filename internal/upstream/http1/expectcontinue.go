package http1

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// Repeats in two steps: a backend begins a request with its last byte, and one that has stopped reading takes what was
// written to it when it reads again, perhaps after the backends have forgotten the idempotency key. So the head of a repeat is
// written with Expect: 100-continue (RFC 9110, section 10.1.1), and its body only when 100 (Continue) shows that the backend
// reads. Without one the connection is closed, and the attempt has not run.

// Limits of the time for which a repeat waits for 100 (Continue).
const (
	maxContinueWait = 200 * time.Millisecond
	maxUnseenWait   = 50 * time.Millisecond // of a backend that may send none; behind it the body follows
)

const (
	expectHeader     = "Expect"
	expectContinue   = "100-continue"
	endOfRequestHead = "\r\n\r\n"
)

// errNotConfirmed says that a request's body was not written, as the backend has not asked for it. The attempt's outcome is set.
var errNotConfirmed = errors.New("the backend has not asked for the body")

// hasBody reports whether a request has a body: without one there is nothing to hold back.
func (r *Request) hasBody() bool {
	return len(r.Body) > 0 || r.Upload != nil && r.Upload.Length != 0
}

// awaitsContinue reports whether an attempt's body is held until its backend asks for it.
func awaitsContinue(a *engine.Attempt) bool {
	b := backendOf(a)
	return a.IsKeyedRepeat && a.Call.Payload.(*Request).hasBody() && b != nil && b.MayConfirm()
}

// expectsContinue reports whether an attempt asks for 100 (Continue): because its body is held until it comes, or, of a first
// attempt whose body follows at once, to learn whether the backend sends it.
func expectsContinue(a *engine.Attempt) bool {
	b := backendOf(a)
	learns := a.Call.IdempotencyWindow > 0 && a.Call.Payload.(*Request).hasBody() && b != nil && b.ContinueSupport() == connpool.ContinueUnknown
	return learns || awaitsContinue(a)
}

// isExpecting reports whether a request asks for 100 (Continue).
func isExpecting(req *http.Request) bool { return req.Header.Get(expectHeader) != "" }

// recordContinue learns from a final response to a request that expected 100 (Continue). Other responses than these may stand
// in its place.
func recordContinue(a *engine.Attempt, req *http.Request, resp *http.Response) {
	switch {
	case !isExpecting(req):
	case resp.StatusCode == http.StatusExpectationFailed:
		backendOf(a).RecordOmittedContinue()
	case resp.StatusCode == http.StatusOK:
		backendOf(a).RecordUnseenContinue()
	}
}

// writeConfirmed writes the head of an attempt, waits until the backend asks for the body, and writes that. It reports false,
// with the outcome of the attempt set, if the request could not be written completely; then it has not run.
func (s *Transport) writeConfirmed(c *connpool.Conn, a *engine.Attempt, req *http.Request, text []byte, out *engine.Outcome) bool {
	head := bytes.Index(text, []byte(endOfRequestHead)) + len(endOfRequestHead)
	if n, err := c.Write(text[:head]); err != nil && n < head {
		out.Result = balancer.ConnectFailed
		return false
	}
	return s.awaitContinue(c, a, req, out) && s.writeLast(c, text[head:], out)
}

// writeLast writes the last part of a request.
func (s *Transport) writeLast(c *connpool.Conn, text []byte, out *engine.Outcome) bool {
	if n, err := c.Write(text); err != nil && n < len(text) {
		out.Result = balancer.ConnectFailed // a backend starts to process a request with its last byte, so this one has not run
		return false
	}
	return true
}

// awaitContinue waits until the backend asks for the body of a request whose head is written, and reports whether the body may
// be written. Otherwise the outcome of the attempt is set.
func (s *Transport) awaitContinue(c *connpool.Conn, a *engine.Attempt, req *http.Request, out *engine.Outcome) bool {
	b, wait := backendOf(a), maxContinueWait
	mayOmit := b.ContinueSupport() == connpool.ContinueUnseen
	if mayOmit {
		wait = maxUnseenWait
	}
	c.AllowBytes(maxResponseHeadBytes)
	resp, err := s.readContinue(c, req, min(a.WriteDeadline, s.Clock.Now()+wait))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && mayOmit:
		b.RecordOmittedContinue()
		return !s.ConfirmedRepeatsOnly && s.mayGoOn(c, a)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.RecordUnansweredExpectation()
		out.Unread = true
	case err != nil:
		out.Result = balancer.ConnectFailed
	case resp.StatusCode == http.StatusContinue:
		b.RecordContinue()
		return s.mayGoOn(c, a)
	default:
		s.recordEarlyResponse(a, resp, out)
	}
	return false
}

// mayGoOn reports whether the body of a request whose head is written may follow.
func (s *Transport) mayGoOn(c *connpool.Conn, a *engine.Attempt) bool {
	return s.maySend(c, a) && c.SetDeadline(s.Clock.At(a.Deadline)) == nil
}

// readContinue reads 100 (Continue), past other interim responses, or the final response that came in its place.
func (s *Transport) readContinue(c *connpool.Conn, req *http.Request, until time.Duration) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := s.readHead(c, req, until)
		if err != nil || resp.StatusCode == http.StatusContinue || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errMalformedResponse
}

// recordEarlyResponse sets the outcome of an attempt whose body was not written, as a final response came before it. Whatever
// that says, no backend made it for the complete request: it is never served.
func (s *Transport) recordEarlyResponse(a *engine.Attempt, resp *http.Response, out *engine.Outcome) {
	if resp.StatusCode == http.StatusExpectationFailed {
		backendOf(a).RecordOmittedContinue()
		return
	}
	out.Report = ReadReport(resp.Header, s.ReportFields, s.OnMalformedReport)
	if out.Result = ClassifyResponse(resp.StatusCode, resp.Header); out.Result == balancer.OK {
		out.Result = balancer.Failed
	}
}

// confirmingWriter writes an upload in two steps: net/http writes the complete head before it reads the body.
type confirmingWriter struct {
	deadlineWriter
	confirm     func() bool
	isConfirmed bool
	tail        []byte // the last bytes that were written, while the head is not complete
}

// Write writes to the connection, and behind the head waits until the backend asks for the body.
func (w *confirmingWriter) Write(b []byte) (int, error) {
	n, err := w.deadlineWriter.Write(b)
	if err != nil || w.isConfirmed {
		return n, err
	}
	w.tail = append(w.tail, b[max(0, len(b)-len(endOfRequestHead)):]...)
	if !bytes.HasSuffix(w.tail, []byte(endOfRequestHead)) {
		w.tail = w.tail[max(0, len(w.tail)-len(endOfRequestHead)):]
		return n, nil
	}
	if w.isConfirmed = w.confirm(); !w.isConfirmed {
		return n, errNotConfirmed
	}
	return n, nil
}
