package http1

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/framing"
)

// maxWaitingHeads is how many heads may wait in net/http's buffer: more than it has room for.
const maxWaitingHeads = 512

// CheckFraming returns a listener on whose connections nothing of a message that could be divided in two ways is read: net/http answers
// 400 in its place, behind the answers to the requests before it, and closes.
func CheckFraming(l net.Listener) net.Listener { return framingListener{l} }

// framingListener is a listener of framedConns.
type framingListener struct{ net.Listener }

// Accept returns the next connection.
func (f framingListener) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c}, nil
}

// SyscallConn gives access to the socket of the listener below, if it has one.
func (f framingListener) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := f.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// framedConn is a connection whose messages are judged. net/http reads from several goroutines, one at a time.
type framedConn struct {
	net.Conn
	mu        sync.Mutex
	scanner   framing.Scanner
	sentAfter []time.Time // of the heads that came whole and that no handler has taken, the oldest first
}

// FilterRead implements connlimit.ReadFilter.
func (f *framedConn) FilterRead(p []byte, sentAfter time.Time) (admitted int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.scanner.Heads()
	admitted, verdict := f.scanner.Admit(p)
	for range min(f.scanner.Heads()-before, maxWaitingHeads-len(f.sentAfter)) {
		f.sentAfter = append(f.sentAfter, sentAfter)
	}
	if verdict != "" {
		return admitted, &framing.Error{Verdict: verdict}
	}
	return admitted, nil
}

// takeSentAfter returns the time before which the last byte of the next head certainly was not sent. It is called once for each request.
func (f *framedConn) takeSentAfter() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sentAfter) == 0 {
		return time.Now()
	}
	first := f.sentAfter[0]
	if f.sentAfter = f.sentAfter[1:]; len(f.sentAfter) == 0 {
		f.sentAfter = nil
	}
	return first
}

// headSentAfter returns the time before which the last byte of a request's head certainly was not sent. Requests that a client sends at once
// are read one behind the other. It is called once for each request.
func headSentAfter(ctx context.Context) time.Time {
	if f, ok := connlimit.Underlying(ctx).(*framedConn); ok {
		return f.takeSentAfter()
	}
	return time.Now()
}

// NetConn returns the connection below.
func (f *framedConn) NetConn() net.Conn { return f.Conn }

// CloseWrite lets net/http end an answer so that a client that is still sending can read it.
func (f *framedConn) CloseWrite() error {
	if half, ok := f.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
