package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/memorybudget"
	"appleledge/internal/upstream/http1"
)

// Limits of large bodies, and of clients that may be slow.
const (
	slowHeader       = 2600 * time.Millisecond // for the head of a request
	bodyReadTimeout  = 1500 * time.Millisecond // for the next bytes of a body
	bodyGracePeriod  = 3 * time.Second         // after which a body must arrive at minBodyRate
	minBodyRate      = 16 << 10                // bytes a second: a quarter of what the slowest client is said to send
	bodyWriteTimeout = 5 * time.Second         // for a client to accept a part of a large response
	bodySendBuffer   = 128 << 10               // bytes of it that wait in the socket: of these, a third has to go in that time
	pieceSize        = 32 << 10                // bytes that are forwarded at a time
	smallPieceSize   = 4 << 10                 // bytes that are forwarded at a time where the budget is used up
)

// LargeBodies forwards large bodies. The memory that they hold comes from the budget: a request body waits for its part, and a response,
// which must be answered, is forwarded in small pieces without one. It is safe for concurrent use.
type LargeBodies struct {
	memory *memorybudget.Budget
	pieces sync.Pool
}

// NewLargeBodies returns a LargeBodies that takes its memory from a budget.
func NewLargeBodies(memory *memorybudget.Budget) *LargeBodies {
	return &LargeBodies{memory: memory, pieces: sync.Pool{New: func() any { return new([pieceSize]byte) }}}
}

// body reads from a client that must send at a least rate. Only the time spent waiting for the client counts.
type body struct {
	from    io.Reader
	control *http.ResponseController
	clock   *lastByteClock
	waited  time.Duration
	came    int64
	most    int64
}

var (
	errSlow = errors.New("the body comes too slowly")
	errLong = errors.New("the body is too long")
)

func (b *body) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return 0, err
	}
	began := time.Now()
	n, err := b.from.Read(p)
	b.waited += time.Since(began)
	b.came += int64(n)
	b.clock.noteRead(b.came)
	if err == io.EOF {
		if failed := b.control.SetReadDeadline(time.Time{}); failed != nil {
			return n, failed
		}
		return n, io.EOF
	}
	if err == nil && b.waited > bodyGracePeriod && float64(b.came) < minBodyRate*b.waited.Seconds() {
		return n, errSlow
	}
	if b.came > b.most {
		return n, errLong
	}
	return n, err
}

// badBody returns the error that answers a body which could not be read.
func badBody(err error) error {
	if errors.Is(err, errFull) || errors.Is(err, errLongFull) {
		return err
	}
	if errors.Is(err, errLong) {
		return requesthead.BadRequestError{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("the body is over %d KiB", http1.MaxLargeBody>>10)}
	}
	return requesthead.BadRequestError{Status: http.StatusBadRequest, Text: "the body is not whole"}
}

// take reads a body: completely, or its first part where it is large, and the rest as an Upload, whose client waits for its answer for
// timeout from its last byte on. acquire is called before more than freeBody bytes are kept.
func (l *LargeBodies) take(w http.ResponseWriter, r *http.Request, clock *lastByteClock, timeout time.Duration, acquire func() error) (whole []byte, up *http1.Upload, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	b := &body{from: r.Body, control: http.NewResponseController(w), clock: clock, most: http1.MaxLargeBody}
	kept, isWhole, err := b.readPrefix(prefixLength(r.ContentLength), acquire)
	switch {
	case err != nil:
		return nil, nil, badBody(err)
	case isWhole:
		return kept, nil, nil
	case int64(len(kept)) != r.ContentLength:
		return nil, &http1.Upload{Length: r.ContentLength, Prefix: kept, Rest: b, ClientTimeout: timeout, SentAfter: clock.sentAfter}, nil
	}
	if _, err := b.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // net/http has to see its end
		return nil, nil, badBody(err)
	}
	return kept, nil, nil
}

// prefixLength returns how much of a body of a length is read before it is forwarded: all of a small one, and so much of one of which the
// length is not stated that it is known to be large.
func prefixLength(length int64) int {
	switch {
	case length < 0:
		return requesthead.MaxBody + 1
	case length <= requesthead.MaxBody:
		return int(length)
	}
	return largePrefix
}

// readPrefix reads so many bytes. isWhole reports whether the body ended before that.
func (b *body) readPrefix(length int, acquire func() error) (kept []byte, isWhole bool, err error) {
	kept = make([]byte, min(length, freeBody))
	for n := 0; n < length; {
		if n == len(kept) {
			if err := acquire(); err != nil {
				return nil, false, err
			}
			kept = append(kept, make([]byte, length-n)...)
		}
		count, err := b.Read(kept[n:])
		n += count
		if errors.Is(err, io.EOF) {
			return kept[:n], true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return kept, false, nil
}

// end aborts an Upload whose request has its answer. The error says whether the client's side failed.
func end(w http.ResponseWriter, up *http1.Upload) error {
	// An attempt may wait for the client's next bytes.
	err := http.NewResponseController(w).SetReadDeadline(expiredDeadline)
	up.Abort()
	return errors.Join(err, up.ReadError())
}

// Why the rest of a response was not forwarded whole.
var (
	errClientStoppedReading = errors.New("the client does not take the response")
	errResponseBroken       = errors.New("the response broke off")
)

// pass forwards the rest of a response, and returns how many bytes of it were read. After an error the connection has to be reset, so that the
// client can tell that it is not whole.
func (l *LargeBodies) pass(ctx context.Context, w http.ResponseWriter, resp *http1.Response) (passed int64, err error) {
	defer resp.Discard()
	connlimit.LimitSendBuffer(ctx, bodySendBuffer)
	control := http.NewResponseController(w)
	buffer, release := l.acquirePiece()
	defer release()
	for {
		if err := control.Flush(); err != nil {
			return passed, errors.Join(errClientStoppedReading, err)
		}
		n, err := resp.Rest.Read(buffer)
		passed += int64(n)
		if failed := writePiece(control, w, buffer[:n]); failed != nil {
			return passed, errors.Join(errClientStoppedReading, failed)
		}
		switch {
		case errors.Is(err, io.EOF):
			return passed, nil
		case ctx.Err() != nil:
			return passed, errors.Join(errClientStoppedReading, ctx.Err())
		case err != nil:
			return passed, errors.Join(errResponseBroken, err)
		}
	}
}

// acquirePiece returns a buffer for the parts of a response: of the budget, or a small one beside it where that is used up.
func (l *LargeBodies) acquirePiece() (buffer []byte, release func()) {
	if !l.memory.TryAcquire(pieceSize) {
		return make([]byte, smallPieceSize), func() {}
	}
	whole := l.pieces.Get().(*[pieceSize]byte)
	return whole[:], func() {
		l.pieces.Put(whole)
		l.memory.Release(pieceSize)
	}
}

// writePiece writes a part of a response, which its client has to accept in time.
func writePiece(control *http.ResponseController, w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := control.SetWriteDeadline(time.Now().Add(bodyWriteTimeout)); err != nil {
		return err
	}
	_, err := w.Write(p)
	return err
}
