// Package atomicfile keeps a document on disk so that a process which is killed at any instant finds the old one or the new one
// when it starts again, and never something between. The document is small and written seldom: it is written whole, beside the
// old one, and takes its place by a rename (POSIX rename(2)), with the file and then its folder synced.
package atomicfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
)

// MaxDocumentBytes is the longest document, in bytes.
const MaxDocumentBytes = 64 << 20

// FS is what a File needs of a file system.
type FS interface {
	// Create opens a file for writing, anew.
	Create(name string) (WritableFile, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the names in a folder last.
	SyncDir(name string) error
	// List lists the names in a folder, sorted.
	List(dir string) ([]string, error)
}

// WritableFile is a file that is being written.
type WritableFile interface {
	io.WriteCloser
	Sync() error
}

// OS is the machine's file system. Files are for their owner alone.
type OS struct{}

// Create opens a file for writing, anew.
func (OS) Create(name string) (WritableFile, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

type file struct{ *os.File }

// Sync makes what was written last, with the file's length and without its times (fdatasync(2)), which takes less.
func (f file) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); err != unix.EINTR {
			return os.NewSyscallError("fdatasync", err)
		}
	}
}

// Open opens a file for reading.
func (OS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Rename gives a file another name, in place of what has it.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List lists the names in a folder, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir makes the names in a folder last.
func (OS) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// File is a document on disk. One process writes it: see Lock.
type File struct {
	Path string
	FS   FS
}

// Errors that callers tell apart.
var (
	ErrNotFound = errors.New("there is no document yet")
	ErrCorrupt  = errors.New("the document on disk is not whole")
	ErrLocked   = errors.New("another process has it")
)

// magic begins the first line, which goes on with the document's SHA-256 in hexadecimal and its length.
const magic = "appleledge-document 1 "

func head(doc []byte) string {
	sum := sha256.Sum256(doc)
	return fmt.Sprintf("%s%s %d\n", magic, hex.EncodeToString(sum[:]), len(doc))
}

// Load reads the document. The error is ErrNotFound where there is none and ErrCorrupt where it is not as it was written.
func (f File) Load() ([]byte, error) {
	r, err := f.FS.Open(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(r)
	data, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1024))
	if err != nil {
		return nil, err
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 || !bytes.HasPrefix(data, []byte(magic)) {
		return nil, fmt.Errorf("%s: %w: its first line is not one of ours", f.Path, ErrCorrupt)
	}
	doc := data[end+1:]
	if string(data[:end+1]) != head(doc) {
		return nil, fmt.Errorf("%s: %w: it does not have the length and hash of its first line", f.Path, ErrCorrupt)
	}
	return doc, nil
}

// Save puts a document in place of the one there is. When it returns without an error the new one lasts; with an error the old
// one is still there, unless only the last sync failed, and then it is one of the two.
func (f File) Save(doc []byte) (err error) {
	if len(doc) > MaxDocumentBytes {
		return fmt.Errorf("a document has %d bytes at most", MaxDocumentBytes)
	}
	next := f.Path + ".next"
	defer func() {
		if err != nil {
			err = fmt.Errorf("keeping %s: %w", f.Path, err)
		}
	}()
	if err := f.write(next, doc); err != nil {
		besteffort.Ignore(f.FS.Remove(next)) // what is left of it is of no use; the error that counts is the first
		return err
	}
	if err := f.FS.Rename(next, f.Path); err != nil {
		return err
	}
	return f.FS.SyncDir(filepath.Dir(f.Path))
}

func (f File) write(name string, doc []byte) error {
	h, err := f.FS.Create(name)
	if err != nil {
		return err
	}
	_, err = io.WriteString(h, head(doc))
	if err == nil {
		_, err = h.Write(doc)
	}
	if err == nil {
		err = h.Sync()
	}
	return errors.Join(err, h.Close())
}

// Quarantine gives a broken document another name, so that it can be looked at, and returns the name.
func (f File) Quarantine(now time.Time) (string, error) {
	name := f.Path + ".broken-" + now.UTC().Format("20060102T150405")
	if err := f.FS.Rename(f.Path, name); err != nil {
		return "", fmt.Errorf("setting %s aside: %w", f.Path, err)
	}
	return name, f.FS.SyncDir(filepath.Dir(f.Path))
}

// Lock keeps others out of a document until it is released, or the process ends however it ends (flock(2)). The error is
// ErrLocked where another process has it.
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
