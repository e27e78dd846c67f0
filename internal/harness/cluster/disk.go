package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
)

// Disk is a file system in a folder of the real one that outlasts its process, and of which LosePower takes away what was not synced:
// contents, and names in folders. It is the store.FS of an agent's processes.
type Disk struct {
	dir string

	mu    sync.Mutex // within the process; a lock on the folder keeps other processes out
	names names
}

// names are the files by name: what a process sees, and what lasts.
type names struct {
	Now     map[string]int
	Lasting map[string]int
	Last    int // number of the latest content
}

// OpenDisk opens a disk in a folder.
func OpenDisk(dir string) (*Disk, error) {
	d := &Disk{dir: dir, names: names{Now: map[string]int{}, Lasting: map[string]int{}}}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return d, d.read()
}

func (d *Disk) read() error {
	text, err := os.ReadFile(d.index())
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	d.names = names{}
	return json.Unmarshal(text, &d.names)
}

// begin keeps others from the disk until end is called, and sees what they have done.
func (d *Disk) begin() (end func(), err error) {
	f, err := os.OpenFile(filepath.Join(d.dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	end = func() { besteffort.Close(f); d.mu.Unlock() }
	if err = errors.Join(syscall.Flock(int(f.Fd()), syscall.LOCK_EX), d.read()); err != nil {
		end()
	}
	return end, err
}

func (d *Disk) index() string { return filepath.Join(d.dir, "index") }

// content is the file with what was written, and synced the one with what lasts of it.
func (d *Disk) content(number int) string { return filepath.Join(d.dir, strconv.Itoa(number)) }
func (d *Disk) synced(number int) string  { return d.content(number) + ".synced" }

// note keeps the names, in one step: a process may be killed at any instant.
func (d *Disk) note() error { return replace(d.index(), d.names) }

func replace(path string, doc any) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Create is of store.FS.
func (d *Disk) Create(name string) (atomicfile.WritableFile, error) {
	end, err := d.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	d.names.Last++
	f, err := os.OpenFile(d.content(d.names.Last), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	d.names.Now[name] = d.names.Last
	return &diskFile{f, d, d.names.Last}, d.note()
}

type diskFile struct {
	*os.File
	disk   *Disk
	number int
}

func (f *diskFile) Sync() error {
	text, err := os.ReadFile(f.disk.content(f.number))
	if err != nil {
		return err
	}
	next := f.disk.synced(f.number) + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.disk.synced(f.number))
}

// Open is of store.FS.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	end, err := d.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	number, there := d.names.Now[name]
	if !there {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return os.Open(d.content(number))
}

// Rename is of store.FS.
func (d *Disk) Rename(from, to string) error {
	end, err := d.begin()
	if err != nil {
		return err
	}
	defer end()
	number, there := d.names.Now[from]
	if !there {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names.Now, from)
	d.names.Now[to] = number
	return d.note()
}

// Remove is of store.FS.
func (d *Disk) Remove(name string) error {
	end, err := d.begin()
	if err != nil {
		return err
	}
	defer end()
	delete(d.names.Now, name)
	return d.note()
}

// SyncDir is of store.FS.
func (d *Disk) SyncDir(dir string) error {
	end, err := d.begin()
	if err != nil {
		return err
	}
	defer end()
	for name := range d.names.Lasting {
		if _, still := d.names.Now[name]; !still && filepath.Dir(name) == filepath.Clean(dir) {
			delete(d.names.Lasting, name)
		}
	}
	for name, number := range d.names.Now {
		if filepath.Dir(name) == filepath.Clean(dir) {
			d.names.Lasting[name] = number
		}
	}
	return d.note()
}

// List is of store.FS.
func (d *Disk) List(dir string) (all []string, err error) {
	end, err := d.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	for name := range d.names.Now {
		if filepath.Dir(name) == filepath.Clean(dir) {
			all = append(all, filepath.Base(name))
		}
	}
	slices.Sort(all)
	return all, nil
}

// LosePower leaves of a disk whose process is gone what a loss of power may leave: names as they were synced or as they were, and of
// contents what was synced, with any part of what was not.
func LosePower(dir string, seed uint64) error {
	d, err := OpenDisk(dir)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, 21))
	pick := d.names.Now
	if random.IntN(2) == 0 {
		pick = d.names.Lasting
	}
	left := map[string]int{}
	for name, number := range pick {
		synced, err := os.ReadFile(d.synced(number))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		written, err := os.ReadFile(d.content(number))
		if err != nil {
			return err
		}
		if more := len(written) - len(synced); more > 0 && bytes.HasPrefix(written, synced) {
			synced = written[:len(synced)+random.IntN(more+1)]
		}
		if err := errors.Join(os.WriteFile(d.content(number), synced, 0o600), os.WriteFile(d.synced(number), synced, 0o600)); err != nil {
			return err
		}
		left[name] = number
	}
	d.names.Now, d.names.Lasting = left, left
	return d.note()
}

// Copy takes a copy of a disk, as a backup does; its process must be stopped or gone.
func Copy(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	entries, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".new") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err != nil {
			return fmt.Errorf("copying a disk: %w", err)
		}
		if err := os.WriteFile(filepath.Join(to, e.Name()), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
