package http1

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// Limits of uploads.
const (
	earlyResponseTimeout = 100 * time.Millisecond // for a response to a request that could not be written completely
	uploadMargin         = 20 * time.Millisecond  // before the client's timeout, at which its attempt ends
)

// Upload is the body of a request that is forwarded while it is received. One attempt at a time can read it; after Rest was
// read once, no other attempt can be made.
type Upload struct {
	Length        int64         // of the complete body; -1 where it is not stated
	Prefix        []byte        // first bytes, which every attempt can send
	Rest          io.Reader     // the bytes after Prefix; can be read once
	ClientTimeout time.Duration // how long the client waits from its last byte on
	// SentAfter returns the latest time before which the last byte certainly was not sent. nil: it is sent when it is read.
	SentAfter func() time.Time

	reading   sync.Mutex // one attempt reads at a time
	aborted   bool
	consumed  atomic.Bool
	readError atomic.Pointer[error]
}

// Consumed reports whether Rest was read. It implements engine.Upload.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// ReadError returns why the client's body could not be read to its end; nil if it could, or nothing was read yet.
func (u *Upload) ReadError() error {
	if err := u.readError.Load(); err != nil {
		return *err
	}
	return nil
}

// AnswerBy returns when the client has to have its answer, as far as that is known: it may move on as long as the last byte was not read.
func (u *Upload) AnswerBy() time.Time {
	began := time.Now()
	if u.SentAfter != nil {
		began = u.SentAfter()
	}
	return began.Add(u.ClientTimeout)
}

// attemptEndsBy returns when an attempt has to have ended, so that the answer is in time.
func (u *Upload) attemptEndsBy() time.Time { return u.AnswerBy().Add(-u.margin(uploadMargin)) }

// writtenBy returns when the body has to have been written, so that there is time to read why a server does not take it.
func (u *Upload) writtenBy() time.Time {
	return u.AnswerBy().Add(-u.margin(uploadMargin + earlyResponseTimeout))
}

// margin returns a margin, or less where the client does not wait for long.
func (u *Upload) margin(want time.Duration) time.Duration { return min(want, u.ClientTimeout/4) }

// Abort makes all further reads fail. It blocks until a read under way returns: the caller interrupts that first.
func (u *Upload) Abort() {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.aborted = true
}

var (
	errUploadAborted  = errors.New("the request has its answer")
	errUploadWithheld = errors.New("the last part of the request may not be sent")
)

// uploadReader is an attempt's view of an Upload: its prefix from the start, then the shared rest. Its last part is read only where
// mayEnd allows it, as the request can run from then on.
type uploadReader struct {
	*Upload
	mayEnd       func() bool
	prefixOffset int   // bytes of Prefix that were read
	total        int64 // bytes that were read, of Prefix and Rest
	isEnding     bool  // mayEnd has allowed it
}

// isComplete reports whether all of a body of known length was read. A body of another length ends by its last chunk.
func (p *uploadReader) isComplete() bool { return p.Length >= 0 && p.total >= p.Length }

func (p *uploadReader) Read(to []byte) (int, error) {
	if p.prefixOffset < len(p.Prefix) {
		n := copy(to, p.Prefix[p.prefixOffset:])
		p.prefixOffset += n
		p.total += int64(n)
		return n, nil
	}
	p.reading.Lock()
	defer p.reading.Unlock()
	if p.aborted {
		return 0, errUploadAborted
	}
	p.consumed.Store(true)
	n, err := p.Rest.Read(to)
	p.total += int64(n)
	if err != nil && err != io.EOF {
		p.readError.Store(&err)
	}
	if p.isEnding || !p.isComplete() && (p.Length >= 0 || err != io.EOF) {
		return n, err
	}
	if p.isEnding = p.mayEnd(); !p.isEnding {
		return 0, errUploadWithheld
	}
	return n, err
}

func (*uploadReader) Close() error { return nil }

// deadlineWriter writes to a connection and fails when the peer accepts nothing for streamTimeout, or the upload's time is over.
type deadlineWriter struct {
	*connpool.Conn
	upload *Upload
	last   time.Time // writes nothing from then on; zero: no limit
}

func (p deadlineWriter) Write(b []byte) (int, error) {
	until := time.Now().Add(streamTimeout)
	if by := p.upload.writtenBy(); by.Before(until) {
		until = by
	}
	if !p.last.IsZero() && p.last.Before(until) {
		until = p.last
	}
	if err := p.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	return p.Conn.Write(b)
}

// writeUpload writes a request whose body is still received. ok reports whether it was written completely; a request that
// was not has never run, and the result of the attempt is in out.
func (s *Transport) writeUpload(c *connpool.Conn, a *engine.Attempt, u *Upload, out *engine.Outcome) (req *http.Request, ok bool) {
	in := a.Call.Payload.(*Request)
	body := &uploadReader{Upload: u, mayEnd: a.MayEndUpload}
	req = &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header.Clone(), ContentLength: u.Length, Body: body}
	req.Header.Set(requesthead.TimeoutHeader, strconv.FormatInt(u.ClientTimeout.Microseconds(), 10)+"u")
	expects := s.expectationOf(a)
	if expects == bodyNeverWritten {
		return req, false
	}
	expects.setHeader(req)
	to := &confirmingWriter{deadlineWriter: deadlineWriter{Conn: c, upload: u}, isConfirmed: expects != bodyHeld,
		confirm: func() bool { return s.awaitContinue(c, a, req, out) }}
	if a.IsKeyedRepeat { // its last byte has to be in the backends' window, too
		to.last = s.Clock.At(a.WriteDeadline)
	}
	err := req.Write(to)
	switch {
	case err == nil:
		a.MarkWritten()
		return req, true
	case errors.Is(err, errNotConfirmed), errors.Is(err, errUploadWithheld), a.IsKeyedRepeat && s.Clock.Now() >= a.WriteDeadline:
		return req, false
	case (u.ReadError() != nil || errors.Is(err, errUploadAborted)) && body.isComplete():
		out.Result = balancer.Reset // its last byte may be out
		return req, false
	case u.ReadError() != nil || errors.Is(err, errUploadAborted):
		return req, false // the client's side failed, or the request has its answer
	}
	// A server that rejects a request may answer before the request is complete, and close.
	c.AllowBytes(maxResponseHeadBytes)
	early, err := s.readFinalHead(c, a, req, s.Clock.Now()+earlyResponseTimeout)
	switch {
	case err != nil:
	case early.head.StatusCode == http.StatusExpectationFailed && isExpecting(req):
		backendOf(a).RecordRejectedExpectation()
		return req, false
	case ClassifyResponse(early.head.StatusCode, early.head.Header) == balancer.Rejected:
		out.Result = balancer.Rejected
		return req, false
	}
	out.Result = balancer.ConnectFailed
	return req, false
}
