// Package sockstate reports what waits on a connection, without reading it: whether the peer has sent something, or has closed. It asks the
// operating system (recv with MSG_PEEK, and poll), keeps no state, and may be used beside a goroutine that reads the connection.
package sockstate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
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

// maxTries is how often a system call is made that fails for a moment.
const maxTries = 3

// Peek returns the state of a connection. It does not block, and takes nothing.
func Peek(c net.Conn) State {
	state := Unknown
	controlFD(c, func(fd int) { // not RawConn.Read, which waits for a goroutine that reads already
		for range maxTries {
			if state = peekFD(fd); state != Unknown {
				return
			}
		}
	})
	return state
}

// peekFD returns the state of a descriptor's connection. It is Unknown where the call fails in a way that says nothing of the peer.
func peekFD(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK):
		return Idle
	case errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS):
		return Unknown
	case err == nil && n > 0:
		return Readable
	}
	return PeerClosed
}

// PeekBytes returns what lies unread on a connection, up to a limit. It does not block, and takes nothing.
func PeekBytes(c net.Conn, limit int) []byte {
	waiting := make([]byte, limit)
	count := 0
	controlFD(c, func(fd int) {
		if n, _, err := syscall.Recvfrom(fd, waiting, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil {
			count = max(n, 0)
		}
	})
	return waiting[:count]
}

// CountUnread returns how many bytes lie unread on a connection. isKnown is false where the system can't tell. It does not block.
func CountUnread(c net.Conn) (count int, isKnown bool) {
	controlFD(c, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		count, isKnown = n, err == nil
	})
	return count, isKnown
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

// IsReadable reports whether a call of read or accept would not wait, also where the system fails to tell. It does not block.
func IsReadable(c syscall.Conn) bool {
	isReadable := false
	controlSocket(c, func(fd int) {
		one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(one, 0)
		isReadable = n > 0 || err != nil
	})
	return isReadable
}

// WasReset reports whether the peer has reset a connection: err says so, which a read or write of it returned, or the system does within
// patience. A peer that ends a connection and then closes it resets it where bytes came that it has not read, so that a request that was
// read and dropped can be told from one that was never read. Nothing may be written to the connection meanwhile. The system's word is
// taken: it is given once.
func WasReset(c net.Conn, err error, patience time.Duration) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		pending := 0
		controlFD(c, func(fd int) {
			if n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil {
				pending = n
			}
		})
		if pending != 0 {
			return true
		}
	}
	return false
}

// controlFD runs f on a connection's descriptor, if it has one.
func controlFD(c net.Conn, f func(fd int)) {
	if socket, ok := c.(syscall.Conn); ok {
		controlSocket(socket, f)
	}
}

// controlSocket runs f on a socket's descriptor, unless it is closed.
func controlSocket(socket syscall.Conn, f func(fd int)) {
	if raw, err := socket.SyscallConn(); err == nil {
		besteffort.Ignore(raw.Control(func(fd uintptr) { f(int(fd)) })) // fails of a closed connection, and does not call f
	}
}
