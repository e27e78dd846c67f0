package http1

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// MaxLargeBody is the longest body of a message where large bodies are allowed, in bytes: 32 MB by either count, and a margin.
const MaxLargeBody = 33 << 20

// Limits of responses that are read or forwarded while they arrive, where large bodies are allowed.
const (
	streamTimeout           = 5 * time.Second        // for a peer to accept the next bytes of a body that is forwarded
	streamPauseTimeout      = 30 * time.Second       // for the next bytes of a response: servers stand still for up to 25 s
	unknownLengthBufferTime = 300 * time.Millisecond // after which a body without a stated length is forwarded as it arrives
	firstBodyBuffer         = 4 << 10                // bytes of a body that are read at first
	chunkOverheadFactor     = 8                      // the encoding of a body by chunks may be this many times its length

	// forwardMargin is how long before the end of its time an attempt forwards what has come of a response that may be long. The process may
	// be held up for 0.15 s.
	forwardMargin = 200 * time.Millisecond
)

// Stream is the rest of a response body that is forwarded while it arrives. It is not safe for concurrent use, except that
// Response.Discard may be called at any time.
type Stream struct {
	conn  *connpool.Conn
	pool  *connpool.Pool
	body  *responseBody
	left  int64 // bytes that the body may still have
	keep  bool  // the connection can be reused after the last byte
	freed atomic.Bool
}

// Read reads bytes as they arrive. io.EOF means that the body is complete; any other error that it is not. It yields before, as the server and
// the client of an answer may be so fast that nothing here ever waits for them.
func (s *Stream) Read(to []byte) (int, error) {
	if s.freed.Load() {
		return 0, errUploadAborted
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(streamPauseTimeout)); err != nil {
		return 0, err
	}
	runtime.Gosched()
	n, err := s.body.Read(to)
	if s.left -= int64(n); s.left < 0 {
		return 0, fmt.Errorf("an answer of more than %d bytes", MaxLargeBody)
	}
	if errors.Is(err, io.EOF) {
		s.free(s.keep)
	}
	return n, err
}

// free releases the connection, once.
func (s *Stream) free(keep bool) {
	if !s.freed.Swap(true) {
		s.pool.Release(s.conn, keep)
	}
}

// Discard releases the connection of a response that is not read to its end. After the end it does nothing.
func (r *Response) Discard() {
	if r.Rest != nil {
		r.Rest.free(false)
	}
}

// readBody reads a body: completely, or its first part where it may be large.
func (s *Transport) readBody(c *connpool.Conn, a *engine.Attempt, resp *http.Response, until time.Duration) (*Response, error) {
	out := &Response{Length: resp.ContentLength, ContentType: resp.Header.Get("Content-Type")}
	if resp.Request.Method == http.MethodHead { // its length is that of a body which is not sent
		return out, nil
	}
	if !s.AllowsLargeBodies || resp.StatusCode != http.StatusOK {
		body, err := s.readBodyWhole(c, resp)
		out.Body, out.Length = body, int64(len(body))
		return out, err
	}
	if out.Length > MaxLargeBody {
		return nil, fmt.Errorf("a length of %d", out.Length)
	}
	c.AllowBytes(chunkOverheadFactor * (MaxLargeBody + maxResponseHeadBytes))
	return s.bufferBody(c, a, resp, out, s.forwardingOf(out.Length, until))
}

// forwarding says when the first part of a response is forwarded, whatever its framing: the one rule for that.
type forwarding struct {
	room  int64         // bytes: as soon as so many have come
	most  int64         // bytes that are kept
	begin time.Duration // on the transport's clock: what has come by then, also where that is the head alone
	until time.Duration // when a response that is not forwarded has failed
}

// forwardingOf returns the rule for a body of a length; -1: not stated. A client that waits for a long answer has to get its head in time, and the
// rest as it comes. A short one has to come whole in time, as nobody is served by a part of it. One of no stated length may be either: it is kept
// for a while, so that it has a length and may be retried.
func (s *Transport) forwardingOf(length int64, until time.Duration) forwarding {
	begin := until - forwardMargin
	switch {
	case length > maxBodyBytes:
		return forwarding{room: 1, most: firstBodyBuffer, begin: begin, until: until}
	case length >= 0:
		return forwarding{room: length, most: length, begin: time.Duration(math.MaxInt64), until: until}
	}
	return forwarding{room: maxBodyBytes, most: maxBodyBytes, begin: min(begin, s.Clock.Now()+unknownLengthBufferTime), until: until}
}

// isDue reports whether what has come of a response is forwarded now.
func (f forwarding) isDue(came int64, now time.Duration) bool {
	return came >= f.room || now >= f.begin
}

// bufferBody reads a body until it is complete or its first part is to be forwarded.
func (s *Transport) bufferBody(c *connpool.Conn, a *engine.Attempt, resp *http.Response, out *Response, rule forwarding) (*Response, error) {
	body := newResponseBody(c.Reader, resp)
	for {
		if out.Length >= 0 && int64(len(out.Body)) == out.Length {
			return out, nil
		}
		if rule.isDue(int64(len(out.Body)), s.Clock.Now()) {
			s.Pool.NoteForwarding(c)
			out.Rest = &Stream{conn: c, pool: s.Pool, body: body, left: MaxLargeBody - int64(len(out.Body)), keep: !resp.Close}
			return out, nil
		}
		if err := c.SetReadDeadline(s.Clock.At(min(rule.begin, rule.until))); err != nil {
			return nil, err
		}
		out.Body = growBody(out.Body, rule.most)
		n, err := body.Read(out.Body[len(out.Body):cap(out.Body)])
		out.Body = out.Body[:len(out.Body)+n]
		a.NoteResponseBytes(len(out.Body))
		switch {
		case errors.Is(err, io.EOF):
			out.Length = int64(len(out.Body))
			return out, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && rule.begin < rule.until: // what has come is due
		case err != nil:
			return nil, err
		}
	}
}

// growBody returns a body with room for further bytes, where it is full, up to a number of bytes.
func growBody(body []byte, most int64) []byte {
	if len(body) < cap(body) {
		return body
	}
	size := min(most, int64(max(firstBodyBuffer, 2*cap(body))))
	return append(make([]byte, 0, size), body...)
}
