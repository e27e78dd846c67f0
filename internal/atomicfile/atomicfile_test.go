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

// saveWithFault saves newDoc over oldDoc on a disk that crashes (fault nil) or fails at operation at, reboots it, and checks what is
// left. It reports whether the save was acknowledged.
func saveWithFault(t *testing.T, seed uint64, at int, fault error, oldDoc, newDoc []byte) (acknowledged bool) {
	t.Helper()
	d := faultfs.New(seed)
	if err := (File{"f", d}).Save(oldDoc); err != nil {
		t.Fatal(err)
	}
	d.OperationsUntilFault, d.FaultError = at, fault
	err := File{"f", d}.Save(newDoc)
	if acknowledged = err == nil; !acknowledged && fault != nil && !errors.Is(err, fault) {
		t.Fatalf("the error at %d is %v", at, err)
	}
	d.OperationsUntilFault = -1
	after := d.Reboot()
	got, loadErr := File{"f", after}.Load()
	if loadErr != nil || !bytes.Equal(got, newDoc) && (acknowledged || !bytes.Equal(got, oldDoc)) {
		t.Fatalf("fault %v at operation %d, seed %d: acknowledged %v, and then %q, %v", fault, at, seed, acknowledged, got, loadErr)
	}
	if err := (File{"f", after}).Save(oldDoc); err != nil { // what is left must not keep the next save from working
		t.Fatal(err)
	}
	return acknowledged
}

// The machine crashes at any single operation of a Save, or the disk fails there. After the reboot the document is the old one or
// the new one, and it is the new one if the Save was acknowledged. What the Save has left does not keep the next one from working.
func TestCrashLeavesOldOrNewDocument(t *testing.T) {
	oldDoc, newDoc := []byte("the old one"), bytes.Repeat([]byte("the new one "), 50)
	cases := 0
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for at := 0; ; at++ {
			acknowledged := false
			for seed := range uint64(40) {
				acknowledged = saveWithFault(t, seed, at, fault, oldDoc, newDoc)
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

// A disk loses or alters a single byte of the file, anywhere, or adds one. Load reports a corrupt document each time, and Quarantine
// keeps the file under another name, after which there is no document.
func TestLoadDetectsCorruptDocument(t *testing.T) {
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

// A second process asks for the lock while the first holds it, and gets ErrLocked at once. It gets the lock when the first has
// released it.
func TestLockIsExclusiveUntilReleased(t *testing.T) {
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
