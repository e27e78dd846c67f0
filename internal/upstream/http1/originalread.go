package http1

import (
	"errors"
	"io"
	"net/http"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// A repeat is dropped as a duplicate only if the backends still remember the first attempt, or the first attempt is dropped as
// one of the repeat. Where a connection breaks, its backend may not have read the request that lies there, and most systems let a
// process read that even behind a reset. Such a first attempt may run at any later time.
//
// These show that it was read, or never will be: any byte of a response to it, the end of its connection without a reset (a kernel
// answers a close over unread bytes by a reset, RFC 2525, section 2.17), and a response of the same process to something that was
// written later, 100 (Continue) to the repeat's own head among them.

// recordReadSign notes what came behind a request if it shows that the backend has read that, or never will.
func recordReadSign(c *connpool.Conn, a *engine.Attempt, resp *http.Response, err error) {
	switch {
	case resp != nil && resp.StatusCode < http.StatusOK && a.Call.Upload != nil: // it may have read the head alone
	case err == nil, c.Reader.Buffered() > 0, errors.Is(err, errMalformedResponse), errors.Is(err, io.EOF):
		a.MarkRead()
	}
}

// awaitOriginalRead waits until the first attempt that the attempt repeats is known to be read, for as long as a head is waited
// for. If it reports false, the outcome of the attempt is set.
func (s *Transport) awaitOriginalRead(a *engine.Attempt, headWritten time.Duration, out *engine.Outcome) bool {
	until := min(a.WriteDeadline, headWritten+MaxContinueWait)
	isRead := isOriginalRead(a, until-s.Clock.Now())
	out.OriginalUnread = !isRead
	return isRead
}

// isOriginalRead reports whether the first attempt that the attempt repeats is known to be read, and waits so long for a sign.
func isOriginalRead(a *engine.Attempt, wait time.Duration) bool {
	original := a.Original
	if original == nil || original.IsRead() {
		return true
	}
	b := backendOf(original)
	if b == nil {
		return false
	}
	isSameProcess := b == backendOf(a)
	if isSameProcess && a.IsRead() || b.AwaitAnswer(original.WrittenAt(), wait) {
		original.MarkRead()
	}
	return original.IsRead() // it may have answered meanwhile
}
