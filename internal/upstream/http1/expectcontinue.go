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
//
// The same holds for the backend of the first attempt: if it has not read that when its connection breaks, it may do so when the
// key is forgotten. So the body waits, too, until the first attempt shows that it was read (originalread.go).

// MaxContinueWait limits the time for which a repeat waits for 100 (Continue) of a backend that has sent one before.
const MaxContinueWait = 200 * time.Millisecond

// Other limits of that time.
const (
	maxUnknownContinueWait = 100 * time.Millisecond // of other backends
	minInformativeWait     = 50 * time.Millisecond  // a shorter one, cut by a deadline, shows nothing
	// lateReadTime is for what lies there when the wait ends: the agent's own process may have stood still.
	lateReadTime = 5 * time.Millisecond
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

// expectation is what an attempt asks of its backend by Expect: 100-continue.
type expectation int

const (
	noExpectation    expectation = iota
	bodyFollows                  // a first attempt's, at once: 100 (Continue) shows that the backend sends it, and that it has read the request
	bodyHeld                     // the body is held until 100 (Continue) has come
	bodyNeverWritten             // it can't be held, and may not be written otherwise
)

// expectationOf returns what an attempt is to ask for, by what is known of its backend now.
func (s *Transport) expectationOf(a *engine.Attempt) expectation {
	b, hasBody := backendOf(a), a.Call.Payload.(*Request).hasBody()
	switch {
	case a.IsKeyedRepeat && hasBody && b != nil && b.MaySendContinue():
		return bodyHeld
	case a.IsKeyedRepeat && (s.ConfirmedRepeatsOnly || hasBody && !s.AllowUnconfirmedRepeats):
		return bodyNeverWritten
	case a.Call.IdempotencyWindow > 0 && hasBody && b != nil && asksFirstAttempts(b):
		return bodyFollows
	}
	return noExpectation
}

// asksFirstAttempts reports whether first attempts at the backend are to ask for 100 (Continue).
func asksFirstAttempts(b *connpool.Backend) bool {
	return b.ContinueSupport() == connpool.ContinueUnknown || b.SendsContinueWithBody()
}

// setHeader sets the header of a request that asks for 100 (Continue).
func (e expectation) setHeader(req *http.Request) {
	if e == bodyFollows || e == bodyHeld {
		req.Header.Set(expectHeader, expectContinue)
	}
}

// isExpecting reports whether a request asks for 100 (Continue).
func isExpecting(req *http.Request) bool { return req.Header.Get(expectHeader) != "" }

// recordFinalResponse learns from the final response to an attempt. A rejected expectation proves that it has not run (RFC 9110,
// section 15.5.18), and the agent alone made it expect something.
func recordFinalResponse(a *engine.Attempt, req *http.Request, final finalHead, begun time.Duration, out *engine.Outcome) {
	b := backendOf(a)
	b.RecordAnswer(begun)
	switch {
	case !isExpecting(req):
	case final.head.StatusCode == http.StatusExpectationFailed:
		b.RecordRejectedExpectation()
		out.Result = balancer.NotSent
	case a.IsKeyedRepeat || final.hasContinued:
	case final.head.StatusCode == http.StatusOK: // other responses may stand in the place of 100 (Continue)
		b.RecordUnseenContinue()
	}
}

// recordContinue learns from 100 (Continue) that came behind a complete request.
func recordContinue(a *engine.Attempt) {
	if a.IsKeyedRepeat { // its body waited for an earlier one
		backendOf(a).RecordContinue()
		return
	}
	backendOf(a).RecordContinueWithBody()
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

// awaitContinue waits until the backend asks for the body of a request whose head is written and the first attempt is known to be
// read, and reports whether the body may be written. Otherwise the outcome of the attempt is set.
func (s *Transport) awaitContinue(c *connpool.Conn, a *engine.Attempt, req *http.Request, out *engine.Outcome) bool {
	b, wait, headWritten := backendOf(a), MaxContinueWait, s.Clock.Now()
	if b.ContinueSupport() != connpool.ContinueSent {
		wait = maxUnknownContinueWait
	}
	c.AllowBytes(maxResponseHeadBytes)
	a.SetPhase(engine.AwaitsContinue)
	resp, err := s.readContinue(c, req, min(a.WriteDeadline, headWritten+wait))
	switch {
	case isSilence(err) && a.WriteDeadline < headWritten+minInformativeWait: // not sent, and nothing is learned
	case isSilence(err):
		out.Unread = !b.RecordContinueTimeout(headWritten)
		return !out.Unread && s.AllowUnconfirmedRepeats && s.mayGoOn(c, a)
	case err != nil:
		out.Result, out.HeadWritten = balancer.ConnectFailed, true
	case resp.StatusCode == http.StatusContinue:
		b.RecordContinue()
		a.MarkRead()
		return s.awaitOriginalRead(a, headWritten, out) && s.mayGoOn(c, a)
	default:
		s.recordEarlyResponse(a, resp, out)
	}
	return false
}

// isSilence reports whether a read failed because nothing came in time, and not in the middle of a response.
func isSilence(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errMalformedResponse)
}

// mayGoOn reports whether the body of a request whose head is written may follow.
func (s *Transport) mayGoOn(c *connpool.Conn, a *engine.Attempt) bool {
	return s.maySend(c, a) && c.SetDeadline(s.Clock.At(a.Deadline)) == nil
}

// readContinue reads 100 (Continue), past other interim responses, or the final response that came in its place.
func (s *Transport) readContinue(c *connpool.Conn, req *http.Request, until time.Duration) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := s.readHead(c, req, until)
		if isSilence(err) {
			resp, err = s.readHead(c, req, s.Clock.Now()+lateReadTime)
		}
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
		backendOf(a).RecordRejectedExpectation()
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
