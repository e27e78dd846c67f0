package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
)

const (
	interim100        = "HTTP/1.1 100 Continue\r\n\r\n"
	rejectsExpecting  = "HTTP/1.1 417 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	testWindow        = time.Second // of idempotency keys
	testClientTimeout = 3 * time.Second
)

// answerHead returns what a backend writes behind the head of a request, before it reads the body: nothing, 100 (Continue), or a final
// response, behind which it closes. hasBody says that a part of the body is there already.
type answerHead func(r *http.Request, hasBody bool) string

// neverContinues sends no 100 (Continue).
func neverContinues(*http.Request, bool) string { return "" }

// alwaysContinues sends 100 (Continue) to all that expects it.
func alwaysContinues(r *http.Request, _ bool) string {
	if isExpected(r) {
		return interim100
	}
	return ""
}

// continuesWithoutBody omits 100 (Continue) where the body is there already, as RFC 9110, section 10.1.1, allows.
func continuesWithoutBody(r *http.Request, hasBody bool) string {
	if isExpected(r) && !hasBody {
		return interim100
	}
	return ""
}

// rejectsExpectations answers 417 to all that expects something.
func rejectsExpectations(r *http.Request, _ bool) string {
	if isExpected(r) {
		return rejectsExpecting
	}
	return ""
}

func isExpected(r *http.Request) bool { return r.Header.Get("Expect") != "" }

// continueBackend answers heads before it reads bodies, and serves what is complete. While it stalls it reads nothing.
type continueBackend struct {
	addr       string
	answer     answerHead
	stall      atomic.Pointer[chan struct{}]
	conns      atomic.Int64 // that are served
	complete   atomic.Int64 // requests whose last byte has come
	completeAt atomic.Int64 // when that of the latest came, in Unix nanoseconds
	cameAlone  atomic.Bool  // the latest head expected 100 (Continue), and nothing of its body was there
}

func newContinueBackend(t *testing.T, answer answerHead) *continueBackend {
	l, b := agenttest.Listen(t), &continueBackend{answer: answer}
	b.addr = l.Addr().String()
	agenttest.ServeConns(t, l, b.serve)
	return b
}

func (b *continueBackend) serve(c net.Conn) {
	b.conns.Add(1)
	defer b.conns.Add(-1)
	for in := bufio.NewReader(c); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if stall := b.stall.Load(); stall != nil {
			<-*stall
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		hasBody := in.Buffered() > 0 // a small request that is written at once comes at once
		b.cameAlone.Store(isExpected(r) && !hasBody)
		text := b.answer(r, hasBody)
		besteffort.IgnoreResult(io.WriteString(c, text))
		if text != "" && text != interim100 {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.completeAt.Store(time.Now().UnixNano())
		b.complete.Add(1)
		besteffort.IgnoreResult(io.WriteString(c, agenttest.Served))
	}
}

// beginStall begins a stall, and returns what ends it.
func (b *continueBackend) beginStall() (end func()) {
	stall := make(chan struct{})
	b.stall.Store(&stall)
	return func() { b.stall.Store(nil); close(stall) }
}

// settle waits until the backend has read all that came on connections which the transport has closed.
func (b *continueBackend) settle(t *testing.T, f *fixture) {
	t.Helper()
	agenttest.Eventually(t, "closed connections are read to their end", func() bool { return b.conns.Load() <= int64(f.open()) })
}

// keyedFirst makes a first attempt under an idempotency key.
func (f *fixture) keyedFirst(window time.Duration) *engine.Attempt {
	a := f.attempt(testClientTimeout)
	a.Call.Effect, a.Call.IdempotencyKey, a.Call.IdempotencyWindow = balancer.IdempotentByKey, "k", window
	return a
}

// keyedRepeat makes a repeat whose body may be written for a window.
func (f *fixture) keyedRepeat(window time.Duration) *engine.Attempt {
	a := f.keyedFirst(window)
	a.IsKeyedRepeat, a.WriteDeadline = true, f.Clock.Now()+window
	return a
}

// withUpload gives an attempt a body that is forwarded while it is received.
func withUpload(a *engine.Attempt, u *Upload) *engine.Attempt {
	in := a.Call.Payload.(*Request)
	in.Body, in.Upload, a.Call.Upload = nil, u, u
	return a
}

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
