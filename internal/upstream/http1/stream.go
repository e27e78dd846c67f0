package http1

import (
	"errors"
	"fmt"
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

const (
	// MaxLargeBody is the longest body of a message where large ones pass, in bytes: 32 MB, however it is counted, and a bit.
	MaxLargeBody = 33 << 20

	chunkCost    = 8                      // times a body's length, what its chunks may add at most
	pieceWait    = time.Second            // for the next piece of an answer that is read whole, where peers may be slow
	headWait     = time.Second            // for the head of an answer, from its first byte, where they may
	streamWait   = 5 * time.Second        // for the next piece of one that is passed on, and for a piece to be taken
	unsureWait   = 300 * time.Millisecond // after which an answer of no stated length is passed on as it comes
	firstPiece   = 32 << 10               // bytes of a large answer that are passed on at first, at the most
	earlyAnswer  = 100 * time.Millisecond // for an answer to a request that could not be written whole
	uploadMargin = 20 * time.Millisecond  // before the client has given up, as intake has it for what comes whole
)

// Upload is the body of a request that is sent on while it comes.
type Upload struct {
	Length        int64         // of the whole; -1 where it is not stated
	Prefix        []byte        // how it begins, which every attempt can send
	Rest          io.Reader     // what follows, once
	ClientTimeout time.Duration // for which the client waits from the last byte on

	reading sync.Mutex // one attempt reads at a time
	ended   bool
	spent   atomic.Bool
	broken  atomic.Pointer[error]
}

// Consumed is for engine.Upload.
func (u *Upload) Consumed() bool { return u.spent.Load() }

// ReadError is why the client's side could not be read to its end; nil where it could, or was not tried.
func (u *Upload) ReadError() error {
	if err := u.broken.Load(); err != nil {
		return *err
	}
	return nil
}

// Abort lets no attempt read on. What is being read has to be interrupted before.
func (u *Upload) Abort() {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.ended = true
}

var errEnded = errors.New("the request has its answer")

// part is an attempt's view of an Upload.
type part struct {
	*Upload
	at int // of Kept
}

func (p *part) Read(to []byte) (int, error) {
	if p.at < len(p.Prefix) {
		n := copy(to, p.Prefix[p.at:])
		p.at += n
		return n, nil
	}
	p.reading.Lock()
	defer p.reading.Unlock()
	if p.ended {
		return 0, errEnded
	}
	p.spent.Store(true)
	n, err := p.Rest.Read(to)
	if err != nil && err != io.EOF {
		p.broken.Store(&err)
	}
	return n, err
}

func (*part) Close() error { return nil }

// paced writes to a connection as long as that takes what it gets.
type paced struct{ *connpool.Conn }

func (p paced) Write(b []byte) (int, error) {
	if err := p.SetWriteDeadline(time.Now().Add(streamWait)); err != nil {
		return 0, err
	}
	return p.Conn.Write(b)
}

// upload writes a request whose body still comes. Its result is NotSent if it was written whole; a request that was not has
// never run.
func (s *Transport) upload(c *connpool.Conn, a *engine.Attempt, u *Upload) (req *http.Request, ok bool, result balancer.Result) {
	in := a.Call.Payload.(*Request)
	body := &part{Upload: u}
	req = &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header.Clone(), ContentLength: u.Length, Body: body}
	req.Header.Set(requesthead.TimeoutHeader, strconv.FormatInt(u.ClientTimeout.Microseconds(), 10)+"u")
	err := req.Write(paced{c})
	if err == nil {
		a.MarkWritten()
		return req, true, balancer.NotSent
	}
	if u.ReadError() != nil || errors.Is(err, errEnded) {
		return req, false, balancer.NotSent // the client's side has broken off, or needs no answer any more
	}
	// A server that turns a request away may say so before it has come whole, and close.
	if c.SetReadDeadline(time.Now().Add(earlyAnswer)) == nil {
		c.AllowBytes(maxHead)
		if resp, err := readResponse(c, req); err == nil && ClassifyResponse(resp.StatusCode, resp.Header) == balancer.Rejected {
			return req, false, balancer.Rejected
		}
	}
	return req, false, balancer.ConnectFailed
}

// Stream is what still comes of an answer.
type Stream struct {
	conn  *connpool.Conn
	pool  *connpool.Pool
	body  io.Reader
	left  int64 // bytes that may still come
	keep  bool  // the connection may be used again after the last byte
	freed atomic.Bool
}

// Read reads what has come. At io.EOF the answer is whole.
func (s *Stream) Read(to []byte) (int, error) {
	if s.freed.Load() {
		return 0, errEnded
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(streamWait)); err != nil {
		return 0, err
	}
	n, err := s.body.Read(to)
	if s.left -= int64(n); s.left < 0 {
		return 0, fmt.Errorf("an answer of more than %d bytes", MaxLargeBody)
	}
	if err == io.EOF {
		s.free(s.keep)
	}
	return n, err
}

// free gives the connection back, once.
func (s *Stream) free(keep bool) {
	if !s.freed.Swap(true) {
		s.pool.Put(s.conn, keep)
	}
}

// Discard ends an answer that is not read to its end, or nothing of one that was.
func (r *Response) Discard() {
	if r.Rest != nil {
		r.Rest.free(false)
	}
}

// readBody reads a body: whole, or its first piece where it is large.
func (s *Transport) readBody(c *connpool.Conn, resp *http.Response, until time.Duration) (*Response, error) {
	out := &Response{Length: resp.ContentLength, ContentType: resp.Header.Get("Content-Type")}
	if resp.Request.Method == http.MethodHead { // the length is that of what is not sent
		return out, nil
	}
	if !s.AllowsLargeBodies || resp.StatusCode != http.StatusOK {
		body, err := s.readWhole(c, resp)
		out.Body, out.Length = body, int64(len(body))
		return out, err
	}
	if out.Length > MaxLargeBody {
		return nil, fmt.Errorf("a length of %d", out.Length)
	}
	c.AllowBytes(chunkCost * (MaxLargeBody + maxHead))
	room, sure := int64(maxBody), time.Duration(1<<62)
	switch {
	case out.Length > maxBody:
		room, sure = firstPiece, 0
	case out.Length >= 0:
		room = out.Length
	default:
		sure = s.Clock.Now() + unsureWait
	}
	body := make([]byte, 0, min(room, 4<<10))
	for {
		if out.Length >= 0 && int64(len(body)) == out.Length {
			out.Body = body
			return out, nil
		}
		if len(body) > 0 && (int64(len(body)) == room || s.Clock.Now() >= sure) {
			out.Body = body
			out.Rest = &Stream{conn: c, pool: s.Pool, body: resp.Body, left: MaxLargeBody - int64(len(body)), keep: !resp.Close}
			return out, nil
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(room, int64(2*cap(body)))), body...)
		}
		if err := c.SetReadDeadline(s.Clock.At(min(until, s.Clock.Now()+pieceWait))); err != nil {
			return nil, err
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && out.Length < 0 {
			out.Body, out.Length = body, int64(len(body))
			return out, nil
		}
		if err != nil && (!errors.Is(err, io.EOF) || int64(len(body)) != out.Length) {
			return nil, err
		}
	}
}
