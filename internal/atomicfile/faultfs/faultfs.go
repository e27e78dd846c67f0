// Package faultfs is a stand-in for a disk, for tests of what survives a machine that stops and a disk that fails.
package faultfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"appleledge/internal/atomicfile"
)

// Disk is a file system that forgets what was not synced when its machine stops: the contents of files, and the names in
// folders. It stops, or fails, at a chosen one of its operations. It is not safe for concurrent use.
type Disk struct {
	OperationsUntilFault int   // operations until the fault; below 0 there is none
	FaultError           error // nil: the machine stops

	now, lasting map[string]*content // by name
	stopped      bool
	rng          *rand.Rand
}

type content struct{ now, lasting []byte }

// ErrCrashed says that the machine has stopped.
var ErrCrashed = errors.New("the machine has stopped")

// New returns an empty disk. The seed says what is left of what was not synced.
func New(seed uint64) *Disk {
	return &Disk{now: map[string]*content{}, lasting: map[string]*content{}, OperationsUntilFault: -1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// step counts an operation, and says whether it is the one that goes wrong.
func (d *Disk) step() error {
	if d.stopped {
		return ErrCrashed
	}
	if d.OperationsUntilFault--; d.OperationsUntilFault == -1 {
		if d.FaultError != nil {
			return d.FaultError
		}
		d.stopped = true
		return ErrCrashed
	}
	return nil
}

// Reboot is the machine after it has stopped: of what was not synced any part may be there. Bytes that were never synced are
// cut anywhere, and names that were not are old or new.
func (d *Disk) Reboot() *Disk {
	fresh := New(d.rng.Uint64())
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

func (d *Disk) names() map[string]*content {
	out := map[string]*content{}
	for n, c := range d.now {
		out[n] = c
	}
	return out
}

// Create opens a file for writing, anew.
func (d *Disk) Create(name string) (atomicfile.WritableFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	c := &content{}
	d.now[name] = c
	return &handle{d, c}, nil
}

type handle struct {
	d *Disk
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

// Open opens a file for reading.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	c := d.now[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(c.now)), nil
}

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.now[to] = d.now[from]
	delete(d.now, from)
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.now, name)
	return nil
}

// SyncDir makes the names last.
func (d *Disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.lasting = d.names()
	return nil
}

// List lists the names in a folder, sorted.
func (d *Disk) List(dir string) (names []string, err error) {
	for name := range d.now {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}
