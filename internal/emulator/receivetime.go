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
	var n, controlBytes int
	var failed error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		for {
			n, controlBytes, _, _, failed = unix.Recvmsg(int(fd), p, c.control[:], 0)
			if !errors.Is(failed, unix.EINTR) {
				return !errors.Is(failed, unix.EAGAIN)
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", failed)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	if at, ok := timestamp(c.control[:controlBytes]); ok {
		c.received.Store(at.UnixNano())
	}
	return n, nil
}

// timestamp finds the kernel's timestamp among the control messages of a read.
func timestamp(control []byte) (time.Time, bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}, false
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPING && len(m.Data) >= timespecBytes {
			return time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[timespecBytes/2:]))), true
		}
	}
	return time.Time{}, false
}

// timespecBytes is the size of a timespec of a 64-bit kernel: seconds, then nanoseconds.
const timespecBytes = 16

// receivedAt returns when the kernel received what was read last; ok is false if nothing was.
func (c *stampedConn) receivedAt() (at time.Time, ok bool) {
	nanos := c.received.Load()
	return time.Unix(0, nanos), nanos != 0
}

// connKey is the key of a request's stampedConn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// requestReceivedAt returns when the kernel received the last byte of the request whose context this is, if its body has been
// read; the present if that is not known.
func requestReceivedAt(ctx context.Context) time.Time {
	if counted, ok := ctx.Value(connKey{}).(*countedConn); ok {
		if at, known := counted.receivedAt(); known {
			return at
		}
	}
	return time.Now()
}
