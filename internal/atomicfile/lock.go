package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"appleledge/internal/besteffort"
)

// Lock takes the lock on a document (flock(2) on a file beside it) until release is called or the process ends, however it ends.
// It does not wait: the error is ErrLocked where another process has the lock. Without it two agents with the same settings would
// write the same state in turn.
func Lock(path string) (release func() error, err error) {
	f, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		besteffort.Close(f)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f.Close, nil
}
