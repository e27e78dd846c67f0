package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"

	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/framing"
	"appleledge/internal/downstream/requesthead"
)

// TrackFraming returns a listener whose connections track the framing of their requests.
func (*LargeBodies) TrackFraming(l net.Listener) net.Listener { return frames{l} }

// frames is a listener of framed connections.
type frames struct{ net.Listener }

// Accept returns the next connection.
func (f frames) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framed{Conn: c}, nil
}

// SyscallConn gives access to the socket of the listener below, if it has one.
func (f frames) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := f.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// framed is a connection that tracks the framing of its requests. net/http reads from several goroutines, one at a time.
type framed struct {
	net.Conn
	mu   sync.Mutex
	scan framing.Scanner
}

// ObserveRead implements connlimit.ReadObserver: it tracks what was read.
func (f *framed) ObserveRead(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scan.Write(p)
}

// NetConn returns the connection below.
func (f *framed) NetConn() net.Conn { return f.Conn }

// CloseWrite lets net/http end an answer so that a client that is still sending can read it.
func (f *framed) CloseWrite() error {
	if half, ok := f.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// checkFraming returns an error for a request whose body could be read in two ways (RFC 9112, section 6.3).
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
