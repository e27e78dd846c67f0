package acceptretry

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"

	"appleledge/internal/besteffort"
)

// failingListener fails with one error after another, and is closed then.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	if err == nil {
		near, far := net.Pipe()
		besteffort.Close(far)
		return near, nil
	}
	return nil, err
}

// Accept fails for want of memory, then a connection comes, then the listener is closed. The connection is handed over, and only the end of
// the listener is an error.
func TestOnlyTheEndOfTheListenerIsAnError(t *testing.T) {
	noMemory := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOMEM)}
	below := &failingListener{errors: slices.Repeat([]error{noMemory}, 3)}
	below.errors = append(below.errors, nil)
	l := Listener{Listener: below}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(c)
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("then %v", err)
	}
	invalid := os.NewSyscallError("accept4", syscall.EINVAL)
	below.errors = []error{invalid}
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("a listener that does not listen: %v", err)
	}
}
