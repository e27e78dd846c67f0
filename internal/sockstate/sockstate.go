// Package sockstate reports what waits on a connection, without reading it: whether the peer has sent something, or has closed. It asks the
// operating system (recv with MSG_PEEK, and poll), keeps no state, and may be used beside a goroutine that reads the connection.
package sockstate

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State says what waits on a connection.
type State int

// The states of a connection.
const (
	Idle       State = iota // it is open, and nothing has come
	Readable                // bytes have come
	PeerClosed              // the peer has ended its side, or the connection is broken
	Unknown                 // it has no descriptor, is closed here, or the check was interrupted
)

// Peek returns the state of a connection. It does not block, and takes nothing.
func Peek(c net.Conn) State {
	var n int
	var peekErr error
	if !controlFD(c, func(fd int) { // not RawConn.Read, which waits for a goroutine that reads already
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) {
		return Unknown
	}
	switch {
	case errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK):
		return Idle
	case errors.Is(peekErr, syscall.EINTR):
		return Unknown
	case peekErr == nil && n > 0:
		return Readable
	}
	return PeerClosed
}

// HasPeerClosed reports whether the peer has ended its side, or the connection is broken, also behind bytes that nobody has read yet: there
// Peek says Readable. It does not block.
func HasPeerClosed(c net.Conn) bool {
	var events int16
	controlFD(c, func(fd int) {
		one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(one, 0); n == 1 && err == nil {
			events = one[0].Revents
		}
	})
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 || Peek(c) == PeerClosed
}

// controlFD runs f on a connection's descriptor, if it has one.
func controlFD(c net.Conn, f func(fd int)) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
