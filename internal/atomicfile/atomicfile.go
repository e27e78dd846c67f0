// Package atomicfile stores a document on disk so that a crash at any instant leaves the old document or the new one, and never
// something between.
//
// A document is small and written seldom. Save writes it as a whole beside the old one, syncs it, renames it over the old one
// (POSIX rename(2)) and syncs the directory; only then is it acknowledged. Load checks length and SHA-256, so that what a failing
// disk has altered is reported as ErrCorrupt and not read. Quarantine keeps such a file under another name for inspection.
//
// One process writes a document: Lock keeps others out, for as long as the process lives. Agents store with it the configuration
// in force and what they know of the fleet. The file system is an interface, FS, so that package faultfs can stop or fail it at
// each single operation.
package atomicfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"time"

	"appleledge/internal/besteffort"
)

const (
	// MaxDocumentBytes is the length of the longest document.
	MaxDocumentBytes = 64 << 20
	// maxHeaderBytes is more than the header line ever takes.
	maxHeaderBytes = 1024
)

// Errors that callers tell apart by errors.Is.
var (
	ErrNotFound = errors.New("there is no document yet")
	ErrCorrupt  = errors.New("the document on disk is not whole")
	ErrLocked   = errors.New("another process has it")
)

// File is a document on disk. It holds no state, so that its methods may be called from any goroutine, but only one Save at a time
// and only by the process that has the Lock.
type File struct {
	Path string
	FS   FS
}

// headerPrefix begins the header line, which goes on with the document's SHA-256 in hexadecimal and its length.
const headerPrefix = "appleledge-document 1 "

// header returns the line that precedes a document in its file.
func header(doc []byte) string {
	sum := sha256.Sum256(doc)
	return fmt.Sprintf("%s%s %d\n", headerPrefix, hex.EncodeToString(sum[:]), len(doc))
}

// Load reads the document. The error is ErrNotFound where there is none, and ErrCorrupt where the file is not as Save wrote it.
func (f File) Load() ([]byte, error) {
	r, err := f.FS.Open(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(r)
	data, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+maxHeaderBytes))
	if err != nil {
		return nil, err
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 || !bytes.HasPrefix(data, []byte(headerPrefix)) {
		return nil, fmt.Errorf("%s: %w: its first line is not one of ours", f.Path, ErrCorrupt)
	}
	doc := data[end+1:]
	if string(data[:end+1]) != header(doc) {
		return nil, fmt.Errorf("%s: %w: it does not have the length and hash of its first line", f.Path, ErrCorrupt)
	}
	return doc, nil
}

// Save replaces the document. When it returns nil the new one survives a crash. After an error the old one is still there, unless
// only the last sync failed: then a crash may leave either of the two.
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
		besteffort.Ignore(f.FS.Remove(next)) // an incomplete file is of no use; the error that counts is the first
		return err
	}
	if err := f.FS.Rename(next, f.Path); err != nil {
		return err
	}
	return f.FS.SyncDir(filepath.Dir(f.Path))
}

// write creates a file with a header and a document, and syncs it.
func (f File) write(name string, doc []byte) error {
	w, err := f.FS.Create(name)
	if err != nil {
		return err
	}
	_, err = io.WriteString(w, header(doc))
	if err == nil {
		_, err = w.Write(doc)
	}
	if err == nil {
		err = w.Sync()
	}
	return errors.Join(err, w.Close())
}

// Quarantine renames a corrupt document, so that it can be inspected and the next Save does not replace it. It returns the new
// name, which ends in the time.
func (f File) Quarantine(now time.Time) (string, error) {
	name := f.Path + ".broken-" + now.UTC().Format("20060102T150405")
	if err := f.FS.Rename(f.Path, name); err != nil {
		return "", fmt.Errorf("setting %s aside: %w", f.Path, err)
	}
	return name, f.FS.SyncDir(filepath.Dir(f.Path))
}
