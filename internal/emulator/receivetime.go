package emulator

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiveTimestamps asks the kernel to stamp what a socket receives with the time at which it was received.
const receiveTimestamps = unix.SOF_TIMESTAMPING_RX_SOFTWARE | unix.SOF_TIMESTAMPING_SOFTWARE

// listenStamped listens on an address, with kernel timestamps on all accepted connections.
func listenStamped(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPING, receiveTimestamps)
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// stampedConn is a connection that knows when the kernel received what was read of it last. On a machine without processor
// time to spare, a process reads long after that. Where bytes and the end of the connection wait together to be read, the
// kernel tells the time of the end.
type stampedConn struct {
	net.Conn
	raw      syscall.RawConn
	control  [128]byte    // working memory of Read
	received atomic.Int64 // Unix time in nanoseconds; 0: nothing was read yet
}

func newStampedConn(c net.Conn) (*stampedConn, error) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return &stampedConn{Conn: c, raw: raw}, nil
}

// Read reads, and notes when the kernel received it. As for all connections, it is not called by two goroutines at a time.
func (c *stampedConn) Read(p []byte) (int, error) {
	var got received
	err := c.raw.Read(func(fd uintptr) (done bool) {
		got = c.receive(fd, p, 0)
		return !errors.Is(got.err, unix.EAGAIN)
	})
	return c.result(got, err, p)
}

// received is what one call to the kernel returned.
type received struct {
	n   int
	at  time.Time // when the kernel received it; zero: not known
	err error
}

// receive asks the kernel for what has come, without waiting.
func (c *stampedConn) receive(fd uintptr, p []byte, flags int) (got received) {
	for {
		var controlBytes int
		got.n, controlBytes, _, _, got.err = unix.Recvmsg(int(fd), p, c.control[:], flags)
		if errors.Is(got.err, unix.EINTR) {
			continue
		}
		if got.err == nil {
			got.at = timestamp(c.control[:controlBytes])
		}
		return got
	}
}

// result turns what the kernel returned for p, or the error of the wait for it, into what Read returns, and notes the time.
func (c *stampedConn) result(got received, waitErr error, p []byte) (int, error) {
	switch {
	case waitErr != nil:
		return 0, waitErr
	case got.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", got.err)}
	case got.n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	if !got.at.IsZero() {
		c.received.Store(got.at.UnixNano())
	}
	return got.n, nil
}

// timestamp finds the kernel's timestamp among the control messages of a read; zero if there is none.
func timestamp(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPING && len(m.Data) >= timespecBytes {
			return time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[timespecBytes/2:])))
		}
	}
	return time.Time{}
}

// timespecBytes is the size of a timespec of a 64-bit kernel: seconds, then nanoseconds.
const timespecBytes = 16

// receivedAt returns when the kernel received what was read last; ok is false if nothing was.
func (c *stampedConn) receivedAt() (at time.Time, ok bool) {
	nanos := c.received.Load()
	return time.Unix(0, nanos), nanos != 0
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of the request whose context this is.
func connOf(ctx context.Context) *countedConn { return ctx.Value(connKey{}).(*countedConn) }
