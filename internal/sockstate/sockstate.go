// Package sockstate looks at what waits on a connection, without taking it.
package sockstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State says what waits on a connection.
type State int

// The states of a connection.
const (
	Idle       State = iota // it is open, and nothing has come
	Readable                // something has come
	PeerClosed              // the far end has ended its side, or the connection is broken
	Unknown                 // it can't be looked at
)

// Peek looks at a connection. It may be called while another goroutine reads.
func Peek(c net.Conn) State {
	var n int
	var peeked error
	if !control(c, func(fd int) { // not Read, which waits for who reads already
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) {
		return Unknown
	}
	switch {
	case peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK:
		return Idle
	case peeked == syscall.EINTR:
		return Unknown
	case peeked == nil && n > 0:
		return Readable
	}
	return PeerClosed
}

// HasPeerClosed reports whether the far end has ended its side, or the connection is broken, also behind bytes that nobody has taken yet. Like Look
// it may be called while another goroutine reads.
func HasPeerClosed(c net.Conn) bool {
	var events int16
	control(c, func(fd int) {
		one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(one, 0); n == 1 && err == nil {
			events = one[0].Revents
		}
	})
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 || Peek(c) == PeerClosed
}

// control runs f on a connection's descriptor, if it has one.
func control(c net.Conn, f func(fd int)) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
