// Package unixsocket opens Unix sockets to which only their owner can connect.
//
// The agent's operators' API (package admin) and the connection between its processes (package hotrestart) are reached by such
// sockets: whoever can connect may change the fleet's configuration. Access is by the file's mode alone.
package unixsocket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"appleledge/internal/besteffort"
)

const (
	// ownerOnly is the mode of the socket's file.
	ownerOnly = 0o600
	// othersMask is what the mode must not have: any permission for group or others.
	othersMask = 0o077
)

// Listen opens a socket at path with the mode 0600. Closing the listener removes the file. The error wraps errors.ErrUnsupported where
// the system does not apply the mode; an existing file at path is an error.
//
// The mode is set on the descriptor before it is bound, and the kernel makes the file with it. A mode that is set afterwards leaves a
// moment in which others can connect; the process's umask, the other way to do it, is shared by all threads and would affect files
// that they create meanwhile.
func Listen(path string) (*net.UnixListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var chmodErr error
		err := c.Control(func(fd uintptr) { chmodErr = syscall.Fchmod(int(fd), ownerOnly) })
		return errors.Join(err, chmodErr)
	}}
	l, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm()&othersMask != 0 {
		besteffort.Close(l)
		return nil, fmt.Errorf("%s: this system makes no socket for its owner alone (%w)", path, errors.Join(err, errors.ErrUnsupported))
	}
	return l.(*net.UnixListener), nil
}
