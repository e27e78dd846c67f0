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

func TestSocketsOpenedAtOnceAreTheirOwnersAndLeaveTheUmaskAlone(t *testing.T) {
	dir := t.TempDir()
	before := syscall.Umask(0o022)
	defer syscall.Umask(before)
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
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
	all.Wait()
	if now := syscall.Umask(0o022); now != 0o022 {
		t.Errorf("the umask has become %03o", now)
	}
}

func TestAPathThatIsTakenIsAnError(t *testing.T) {
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
