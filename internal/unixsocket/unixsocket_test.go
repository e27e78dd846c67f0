package unixsocket

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"appleledge/internal/besteffort"
)

// Eight goroutines open and close sockets at once. Each socket is its owner's alone from the start, its file is removed on Close, and
// the umask of the process is as it was.
func TestConcurrentListenIsOwnerOnlyAndKeepsUmask(t *testing.T) {
	dir := t.TempDir()
	before := syscall.Umask(0o022)
	defer syscall.Umask(before)
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			for j := range 100 {
				path := filepath.Join(dir, fmt.Sprintf("%d-%d", i, j))
				l, err := Listen(path)
				if err != nil {
					t.Error(err)
					return
				}
				if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
					t.Errorf("mode %v, %v", info.Mode(), err)
				}
				besteffort.Close(l)
				if _, err := os.Stat(path); !os.IsNotExist(err) {
					t.Errorf("the file stays: %v", err)
				}
			}
		})
	}
	running.Wait()
	if now := syscall.Umask(0o022); now != 0o022 {
		t.Errorf("the umask has become %03o", now)
	}
}

// A second listener is opened at the path of the first, and gets an error.
func TestListenOnExistingPathFails(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(l)
	if _, err := Listen(path); err == nil {
		t.Error("opened twice")
	}
}
