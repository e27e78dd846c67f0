package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// disk is a file system that forgets what was not synced when its machine stops: the contents of files, and the names in
// folders. It stops, or fails, at a chosen one of its operations.
type disk struct {
	now, lasting map[string]*content // by name
	left         int                 // operations until the fault; below 0 there is none
	fault        error               // nil: the machine stops
	stopped      bool
	rng          *rand.Rand
}

type content struct{ now, lasting []byte }

var errStopped = errors.New("the machine has stopped")

func newDisk(seed uint64) *disk {
	return &disk{now: map[string]*content{}, lasting: map[string]*content{}, left: -1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// step counts an operation, and says whether it is the one that goes wrong.
func (d *disk) step() error {
	if d.stopped {
		return errStopped
	}
	if d.left--; d.left == -1 {
		if d.fault != nil {
			return d.fault
		}
		d.stopped = true
		return errStopped
	}
	return nil
}

// restart is the machine after it has stopped: of what was not synced any part may be there. Bytes that were never synced are
// cut anywhere, and names that were not are old or new.
func (d *disk) restart() *disk {
	fresh := newDisk(d.rng.Uint64())
	pick := d.now
	if d.rng.IntN(2) == 0 {
		pick = d.lasting
	}
	for name, c := range pick {
		kept := c.lasting
		if len(c.now) > len(c.lasting) && bytes.HasPrefix(c.now, c.lasting) {
			kept = c.now[:len(c.lasting)+d.rng.IntN(len(c.now)-len(c.lasting)+1)]
		}
		fresh.now[name] = &content{kept, kept}
	}
	fresh.lasting = fresh.names()
	return fresh
}

func (d *disk) names() map[string]*content {
	out := map[string]*content{}
	for n, c := range d.now {
		out[n] = c
	}
	return out
}

func (d *disk) Create(name string) (Handle, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	c := &content{}
	d.now[name] = c
	return &handle{d, c}, nil
}

type handle struct {
	d *disk
	c *content
}

func (h *handle) Write(p []byte) (int, error) {
	if err := h.d.step(); err != nil { // a part of it arrives
		n := h.d.rng.IntN(len(p) + 1)
		h.c.now = append(h.c.now, p[:n]...)
		return n, err
	}
	h.c.now = append(h.c.now, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	h.c.lasting = h.c.now
	return nil
}

func (h *handle) Close() error { return h.d.step() }

func (d *disk) Open(name string) (io.ReadCloser, error) {
	c := d.now[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(c.now)), nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.now[to] = d.now[from]
	delete(d.now, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.now, name)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.lasting = d.names()
	return nil
}

// A machine that stops at any operation of a write, or a disk that fails at it, leaves the old document or the new one; one
// whose writing was acknowledged is the new one.
func TestOldOrNewWhateverHappens(t *testing.T) {
	old, fresh := []byte("the old one"), bytes.Repeat([]byte("the new one "), 50)
	cases := 0
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for at := 0; ; at++ {
			acknowledged := false
			for seed := range uint64(40) {
				d := newDisk(seed)
				if err := (File{"f", d}).Save(old); err != nil {
					t.Fatal(err)
				}
				d.left, d.fault = at, fault
				err := File{"f", d}.Save(fresh)
				if acknowledged = err == nil; !acknowledged && fault != nil && !errors.Is(err, fault) {
					t.Fatalf("the error at %d is %v", at, err)
				}
				d.left = -1
				after := d.restart()
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
	if _, err := f.Load(); !errors.Is(err, ErrNone) {
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
			if doc, err := f.Load(); !errors.Is(err, ErrBroken) {
				t.Fatalf("%s at %d: %q, %v", what, i, doc, err)
			}
		}
	}
	name, err := f.SetAside(time.Unix(0, 0))
	if _, gone := f.Load(); err != nil || !strings.Contains(name, "broken") || !errors.Is(gone, ErrNone) {
		t.Errorf("set aside as %q, %v; then %v", name, err, gone)
	}
	if err := f.Save(make([]byte, Most+1)); err == nil {
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
	again()
}
