// Package unixsocket opens Unix sockets that only their owner can connect to.
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

// Listen opens a socket at path with the mode 0600. The mode is the descriptor's before it is bound, from which the kernel makes
// the file: a mode that is set behind that leaves a gap, and the process' umask, by which it could be had as well, is every
// thread's.
func Listen(path string) (*net.UnixListener, error) {
	own := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = syscall.Fchmod(int(fd), 0o600) })
		return errors.Join(err, failed)
	}}
	l, err := own.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm()&0o077 != 0 {
		besteffort.Close(l)
		return nil, fmt.Errorf("%s: this system makes no socket for its owner alone (%w)", path, errors.Join(err, errors.ErrUnsupported))
	}
	return l.(*net.UnixListener), nil
}
