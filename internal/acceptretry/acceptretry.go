// Package acceptretry keeps a server listening when accept fails for a reason that is not the listener's end: a lack of memory or
// descriptors at that moment, or an error of the connection that was to be accepted. net/http and gRPC take most of these for final.
package acceptretry

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"appleledge/internal/eventlog"
)

// pause is the time between two tries to accept a connection.
const pause = 5 * time.Millisecond

// transientErrors are the failures of accept(2), and of epoll_ctl(2) for the new descriptor, that are not the listener's end. Linux passes
// errors of the new connection's network on as accept's own.
var transientErrors = []syscall.Errno{
	syscall.ENOMEM, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOSPC, syscall.EPERM, syscall.EINTR, syscall.EAGAIN,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.ETIMEDOUT, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENONET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// Listener accepts connections from the listener below it, again after a failure that is not its end. It is safe for concurrent use.
type Listener struct {
	net.Listener
	Events *eventlog.Logger // nil: failures are not logged
}

// Accept returns the next connection. An error is final.
func (l Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errno, ok := errors.AsType[syscall.Errno](err); !ok || !slices.Contains(transientErrors, errno) {
			return c, err
		}
		l.Events.Log(slog.LevelWarn, "accepting a connection failed, trying again", slog.Any("error", err))
		time.Sleep(pause)
	}
}
