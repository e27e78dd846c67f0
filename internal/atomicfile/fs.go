package atomicfile

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// FS is what a File needs of a file system. OS implements it; tests use package faultfs. Names are paths.
type FS interface {
	// Create opens a file for writing and truncates it if it exists.
	Create(name string) (WritableFile, error)
	// Open opens a file for reading. The error wraps fs.ErrNotExist where there is none.
	Open(name string) (io.ReadCloser, error)
	// Rename renames a file and replaces the one that has the new name.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creations, renames and removals in a directory survive a crash.
	SyncDir(name string) error
	// List returns the sorted names of the files in a directory.
	List(dir string) ([]string, error)
}

// WritableFile is a file that is being written. What was written survives a crash once Sync has returned nil, under its name once
// SyncDir has too.
type WritableFile interface {
	io.WriteCloser
	Sync() error
}

// OS is the operating system's file system. Files that it creates are readable and writable by their owner alone.
type OS struct{}

// Create opens a file for writing and truncates it if it exists.
func (OS) Create(name string) (WritableFile, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return datasyncFile{f}, nil
}

// datasyncFile is a file whose Sync is fdatasync(2): it syncs contents and length but not the times, which costs less.
type datasyncFile struct{ *os.File }

// Sync implements WritableFile.
func (f datasyncFile) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); err != unix.EINTR {
			return os.NewSyscallError("fdatasync", err)
		}
	}
}

// Open opens a file for reading.
func (OS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Rename renames a file and replaces the one that has the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the sorted names of the files in a directory.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir makes the creations, renames and removals in a directory survive a crash.
func (OS) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
