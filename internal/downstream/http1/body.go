package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/framing"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/http1"
)

const (
	slowHeader = 2600 * time.Millisecond     // for the head of a request, where clients may be slow
	bodyStall  = 1500 * time.Millisecond     // for the next bytes of a body
	paceFrom   = 3 * time.Second             // from when on a body has to have come at the pace
	leastPace  = 16 << 10                    // bytes a second, a quarter of what the slowest client is said to send
	takeStall  = 5 * time.Second             // for a client to take a piece of a large answer
	piece      = 32 << 10                    // bytes that are passed on at a time
	holdLarge  = requesthead.MaxBody + piece // what a large body holds in memory
	budgetWait = 5 * time.Second             // for room in the budget, in which a body waits with its client
	small      = 4 << 10                     // bytes that are passed on at a time where the budget has no more
)

// LargeBodies says how large bodies pass. What they hold in memory comes from one budget: a body waits for its part of it, and an
// answer, which is owed, goes on in small pieces without one.
type LargeBodies struct {
	budget *semaphore.Weighted
	most   int64
	pieces sync.Pool

	mu       sync.Mutex
	withheld int64 // of the budget, for another process of the agent
}

// NewLargeBodies lets large bodies pass that hold so many bytes in memory at the most, all together.
func NewLargeBodies(budget int64) *LargeBodies {
	budget = max(budget, holdLarge)
	return &LargeBodies{budget: semaphore.NewWeighted(budget), most: budget,
		pieces: sync.Pool{New: func() any { return new([piece]byte) }}}
}

// SetBudgetRatio lets large bodies hold a part of the budget only, from 0 to 1. What is held already stays so: it comes into force as
// far as the budget is free.
func (l *LargeBodies) SetBudgetRatio(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := int64((1 - part) * float64(l.most))
	if want < l.withheld {
		l.budget.Release(l.withheld - want)
		l.withheld = want
	}
	for ; l.withheld+holdLarge <= want && l.budget.TryAcquire(holdLarge); l.withheld += holdLarge {
	}
}

// TrackFraming wraps the connections of a listener so that the framing of their requests is followed.
func (*LargeBodies) TrackFraming(l net.Listener) net.Listener { return frames{l} }

type frames struct{ net.Listener }

func (f frames) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framed{Conn: c}, nil
}

// framed is a connection whose requests are followed. net/http reads from one goroutine at a time, but from several.
type framed struct {
	net.Conn
	mu   sync.Mutex
	scan framing.Scanner
}

func (f *framed) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scan.Write(p[:n])
	return n, err
}

// NetConn is the connection that is followed.
func (f *framed) NetConn() net.Conn { return f.Conn }

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (f *framed) CloseWrite() error {
	if half, ok := f.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// checkFraming turns a request away whose body could be read in two ways.
func checkFraming(ctx context.Context) error {
	f, ok := connlimit.Conn(ctx).(*framed)
	if !ok {
		return errors.New("the connection is not followed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.scan.Next(); v != "" {
		return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: string(v)}
	}
	return nil
}

// body reads from a client as long as it keeps a pace. Only the time counts in which the client was waited for.
type body struct {
	from    io.Reader
	control *http.ResponseController
	waited  time.Duration
	came    int64
	most    int64
}

var (
	errSlow = errors.New("the body comes too slowly")
	errLong = errors.New("the body is too long")
)

func (b *body) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(bodyStall)); err != nil {
		return 0, err
	}
	began := time.Now()
	n, err := b.from.Read(p)
	b.waited += time.Since(began)
	b.came += int64(n)
	if err == io.EOF {
		if failed := b.control.SetReadDeadline(time.Time{}); failed != nil {
			return n, failed
		}
		return n, io.EOF
	}
	if err == nil && b.waited > paceFrom && float64(b.came) < leastPace*b.waited.Seconds() {
		return n, errSlow
	}
	if b.came > b.most {
		return n, errLong
	}
	return n, err
}

// badBody is the answer to a body that could not be read.
func badBody(err error) error {
	if errors.Is(err, errLong) {
		return requesthead.BadRequestError{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("the body is over %d KiB", http1.MaxLargeBody>>10)}
	}
	return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: "the body is not whole"}
}

// errFull says that there is no room in memory for another large body. Nothing of its request was sent on.
var errFull = errors.New("no room for another large body")

// take reads a body: whole, or its beginning where it is large; then it goes on as an Upload. What it holds of the budget is
// given back by release, which is never nil.
func (l *LargeBodies) take(w http.ResponseWriter, r *http.Request, patience time.Duration) (whole []byte, up *http1.Upload, release func(), err error) {
	release = func() {}
	if r.ContentLength == 0 {
		return nil, nil, release, nil
	}
	if r.ContentLength < 0 || r.ContentLength > requesthead.MaxBody {
		ctx, cancel := context.WithTimeout(r.Context(), budgetWait)
		defer cancel()
		if l.budget.Acquire(ctx, holdLarge) != nil {
			return nil, nil, release, errFull
		}
		release = func() { l.budget.Release(holdLarge) }
	}
	whole, up, err = l.read(w, r, patience)
	return whole, up, release, err
}

func (l *LargeBodies) read(w http.ResponseWriter, r *http.Request, patience time.Duration) (whole []byte, up *http1.Upload, err error) {
	b := &body{from: r.Body, control: http.NewResponseController(w), most: http1.MaxLargeBody}
	size := requesthead.MaxBody + 1
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, int64(size)))
	}
	kept := make([]byte, 0, min(size, 4<<10))
	for len(kept) < size {
		if len(kept) == cap(kept) {
			kept = append(make([]byte, 0, min(size, 2*cap(kept))), kept...)
		}
		n, err := b.Read(kept[len(kept):cap(kept)])
		kept = kept[:len(kept)+n]
		if errors.Is(err, io.EOF) {
			return kept, nil, nil
		}
		if err != nil {
			return nil, nil, badBody(err)
		}
	}
	if int64(len(kept)) == r.ContentLength {
		if _, err := b.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // net/http has to see its end
			return nil, nil, badBody(err)
		}
		return kept, nil, nil
	}
	return nil, &http1.Upload{Length: r.ContentLength, Prefix: kept, Rest: b, ClientTimeout: patience}, nil
}

// end stops an Upload whose request has its answer, and says whether the client's side was at fault.
func end(w http.ResponseWriter, up *http1.Upload) error {
	// An attempt may wait for the client's next bytes.
	err := http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	up.Abort()
	return errors.Join(err, up.ReadError())
}

// pass passes on what still comes of an answer. A client can tell that it has broken off by how the connection ends.
func (l *LargeBodies) pass(ctx context.Context, w http.ResponseWriter, resp *http1.Response) {
	defer resp.Discard()
	control := http.NewResponseController(w)
	var buf []byte
	if l.budget.TryAcquire(piece) {
		defer l.budget.Release(piece)
		whole := l.pieces.Get().(*[piece]byte)
		defer l.pieces.Put(whole)
		buf = whole[:]
	} else {
		buf = make([]byte, small)
	}
	for {
		if err := control.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		n, err := resp.Rest.Read(buf)
		if n > 0 {
			if control.SetWriteDeadline(time.Now().Add(takeStall)) != nil {
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(buf[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// caller takes the one answer, so that the engine never waits for a client. What comes when nobody waits any more is discarded.
type caller struct {
	answer chan engine.Answer
	mu     sync.Mutex
	left   bool
}

func newCaller() *caller { return &caller{answer: make(chan engine.Answer, 1)} }

// Answer is for engine.Responder.
func (c *caller) Answer(a engine.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		discard(a)
		return
	}
	c.answer <- a
}

// leave says that nobody waits any more.
func (c *caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	select {
	case a := <-c.answer:
		discard(a)
	default:
	}
}

func discard(a engine.Answer) {
	if d, ok := a.Payload.(engine.Discarder); ok {
		d.Discard()
	}
}
