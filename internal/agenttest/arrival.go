package agenttest

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// timespecSize is the size of a time of the system, in bytes: seconds, and nanoseconds.
const timespecSize = 16

// StampedConn is a TCP connection of which the system says when the bytes came that were read last: on a busy machine a server may read long
// behind that.
type StampedConn struct {
	*net.TCPConn
	arrived atomic.Int64 // Unix time in nanoseconds
}

// Arrived returns when the bytes came that were read last.
func (c *StampedConn) Arrived() time.Time { return time.Unix(0, c.arrived.Load()) }

// Read implements net.Conn.
func (c *StampedConn) Read(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	control := make([]byte, unix.CmsgSpace(timespecSize))
	var controlSize int
	var readErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, controlSize, _, _, readErr = unix.Recvmsg(int(fd), p, control, 0)
		return !errors.Is(readErr, unix.EAGAIN)
	}); err != nil {
		return 0, err
	}
	switch {
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	c.noteArrival(control[:controlSize])
	return n, nil
}

// noteArrival takes the time out of the control messages of a read; where there is none it is now.
func (c *StampedConn) noteArrival(control []byte) {
	c.arrived.Store(time.Now().UnixNano())
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS && len(m.Data) >= timespecSize {
			seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[timespecSize/2:])
			c.arrived.Store(time.Unix(int64(seconds), int64(nanoseconds)).UnixNano())
		}
	}
}

// listenStamped is Listen for connections that can be a StampedConn.
func listenStamped(t testing.TB) net.Listener {
	t.Helper()
	l := Listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { // connections inherit it, so that their first bytes have a time, too
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err = errors.Join(err, optionErr); err != nil {
		t.Fatalf("the system can't tell when bytes come: %v", err)
	}
	return l
}

// NewStampedBackend is NewBackend with a script that is told when the last bytes of a request came.
func NewStampedBackend(t testing.TB, script func(c *StampedConn, r *http.Request) bool) *Backend {
	t.Helper()
	b := &Backend{Listener: listenStamped(t)}
	ServeConns(t, b, func(c net.Conn) {
		stamped := &StampedConn{TCPConn: c.(*net.TCPConn)}
		b.serve(stamped, func(_ net.Conn, r *http.Request, _ int) bool { return script(stamped, r) })
	})
	return b
}
