// Package faultfs simulates a disk in memory, for tests of what survives a machine that crashes and a disk that fails.
//
// A test lets a Disk crash or fail at its n-th operation, for every n, and asks after Reboot what is left. The seed decides how much
// of what was not synced is left, so that a failing run can be repeated.
package faultfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"appleledge/internal/atomicfile"
)

// Disk is an atomicfile.FS that loses what was not synced when its machine crashes: contents of files, and names in directories.
// Reading costs no operation and never fails. It is not safe for concurrent use.
type Disk struct {
	OperationsUntilFault int   // that still succeed; below 0: there is no fault
	FaultError           error // what the fault's operation returns; nil: the machine crashes at it

	files, durableNames map[string]*content // by name: as they are, and as of the last SyncDir
	isCrashed           bool
	rng                 *rand.Rand
}

// content is a file's bytes as they are, and as of its last Sync.
type content struct{ current, durable []byte }

// ErrCrashed is what every operation returns once the machine has crashed.
var ErrCrashed = errors.New("the machine has stopped")

// New returns an empty disk without a fault.
func New(seed uint64) *Disk {
	return &Disk{files: map[string]*content{}, durableNames: map[string]*content{}, OperationsUntilFault: -1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// countOperation counts an operation and returns its error if it is the one that fails.
func (d *Disk) countOperation() error {
	if d.isCrashed {
		return ErrCrashed
	}
	if d.OperationsUntilFault--; d.OperationsUntilFault == -1 {
		if d.FaultError != nil {
			return d.FaultError
		}
		d.isCrashed = true
		return ErrCrashed
	}
	return nil
}

// Reboot returns the disk as the machine finds it after a crash. Any part of what was not synced may be there: bytes that were
// appended since the last Sync are cut anywhere, and names are those of now or of the last SyncDir.
func (d *Disk) Reboot() *Disk {
	rebooted := New(d.rng.Uint64())
	names := d.files
	if d.rng.IntN(2) == 0 {
		names = d.durableNames
	}
	for name, c := range names {
		kept := c.durable
		if len(c.current) > len(c.durable) && bytes.HasPrefix(c.current, c.durable) {
			kept = c.current[:len(c.durable)+d.rng.IntN(len(c.current)-len(c.durable)+1)]
		}
		rebooted.files[name] = &content{kept, kept}
	}
	rebooted.durableNames = maps.Clone(rebooted.files)
	return rebooted
}

// Create opens a file for writing, empty.
func (d *Disk) Create(name string) (atomicfile.WritableFile, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	c := &content{}
	d.files[name] = c
	return &writableFile{d, c}, nil
}

type writableFile struct {
	disk    *Disk
	content *content
}

// Write appends p; where it fails, a part of p.
func (f *writableFile) Write(p []byte) (int, error) {
	if err := f.disk.countOperation(); err != nil {
		n := f.disk.rng.IntN(len(p) + 1)
		f.content.current = append(f.content.current, p[:n]...)
		return n, err
	}
	f.content.current = append(f.content.current, p...)
	return len(p), nil
}

func (f *writableFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	f.content.durable = f.content.current
	return nil
}

func (f *writableFile) Close() error { return f.disk.countOperation() }

// Open opens a file for reading.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	c := d.files[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(c.current)), nil
}

// Rename renames a file and replaces the one that has the new name.
func (d *Disk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// SyncDir makes all names durable.
func (d *Disk) SyncDir(string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.durableNames = maps.Clone(d.files)
	return nil
}

// List returns the sorted names of the files in a directory.
func (d *Disk) List(dir string) (names []string, err error) {
	for name := range d.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}
