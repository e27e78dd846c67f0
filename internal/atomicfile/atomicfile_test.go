package atomicfile_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "appleledge/internal/atomicfile"
	"appleledge/internal/atomicfile/faultfs"
	"appleledge/internal/besteffort"
)

// A machine that stops at any operation of a write, or a disk that fails at it, leaves the old document or the new one; one
// whose writing was acknowledged is the new one.
func TestOldOrNewWhateverHappens(t *testing.T) {
	old, fresh := []byte("the old one"), bytes.Repeat([]byte("the new one "), 50)
	cases := 0
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for at := 0; ; at++ {
			acknowledged := false
			for seed := range uint64(40) {
				d := faultfs.New(seed)
				if err := (File{"f", d}).Save(old); err != nil {
					t.Fatal(err)
				}
				d.OperationsUntilFault, d.FaultError = at, fault
				err := File{"f", d}.Save(fresh)
				if acknowledged = err == nil; !acknowledged && fault != nil && !errors.Is(err, fault) {
					t.Fatalf("the error at %d is %v", at, err)
				}
				d.OperationsUntilFault = -1
				after := d.Reboot()
				got, loadErr := File{"f", after}.Load()
				if loadErr != nil || !bytes.Equal(got, fresh) && (acknowledged || !bytes.Equal(got, old)) {
					t.Fatalf("fault %v at operation %d, seed %d: acknowledged %v, and then %q, %v", fault, at, seed, acknowledged, got, loadErr)
				}
				if err := (File{"f", after}).Save(old); err != nil { // what is left lies in nobody's way
					t.Fatal(err)
				}
				cases++
			}
			if acknowledged {
				break
			}
		}
	}
	if cases < 4*6*40 {
		t.Errorf("only %d cases were tried", cases)
	}
}

// Every byte that is lost or altered is noticed, and the broken document is kept under another name.
func TestBrokenDocuments(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	f := File{path, OS{}}
	if _, err := f.Load(); !errors.Is(err, ErrNotFound) {
		t.Fatalf("with no file: %v", err)
	}
	if err := f.Save([]byte("a document")); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		flipped := bytes.Clone(whole)
		flipped[i] ^= 1
		for what, bad := range map[string][]byte{"cut": whole[:i], "altered": flipped, "longer": append(bytes.Clone(whole), 'x')} {
			if err := os.WriteFile(path, bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if doc, err := f.Load(); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("%s at %d: %q, %v", what, i, doc, err)
			}
		}
	}
	name, err := f.Quarantine(time.Unix(0, 0))
	if _, gone := f.Load(); err != nil || !strings.Contains(name, "broken") || !errors.Is(gone, ErrNotFound) {
		t.Errorf("set aside as %q, %v; then %v", name, err, gone)
	}
	if err := f.Save(make([]byte, MaxDocumentBytes+1)); err == nil {
		t.Error("a document of any length is taken")
	}
}

// One process at a time has a document, and a lock ends with whoever holds it.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	release, err := Lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(path); !errors.Is(err, ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	if err := release(); err != nil {
		t.Fatal(err)
	}
	again, err := Lock(path)
	if err != nil {
		t.Fatal(fmt.Errorf("after its release: %w", err))
	}
	besteffort.Ignore(again())
}
