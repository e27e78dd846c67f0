package bindinglog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"appleledge/internal/affinity"
	"appleledge/internal/besteffort"
)

// ReadResult is what ReadNew found.
type ReadResult struct {
	Records     []affinity.Record // in the order of each file; of another boot with affinity.UnknownTime
	Corrupt     int               // records that were skipped
	Quarantined []string          // paths of the files that were renamed for them, under their new names
}

// ReadNew reads what other processes have written since the last call. It may run beside Append and Flush, and is called by one
// goroutine. Corrupt records are skipped and their file is quarantined; a file that ends in part of a record is not corrupt, as
// its process may still be writing, or was killed while it did. An error such as ErrNewerFormat ends the call; what was read before
// it is returned with it.
func (l *Log) ReadNew() (found ReadResult, err error) {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return found, err
	}
	for name := range l.readOffset { // forget files that are gone
		if _, exists := slices.BinarySearch(names, name); !exists {
			delete(l.readOffset, name)
			delete(l.bootIDs, name)
			delete(l.quarantined, filepath.Join(l.options.Dir, name))
		}
	}
	files := 0
	for _, name := range names {
		if !strings.HasSuffix(name, fileSuffix) || strings.HasPrefix(name, l.filePrefix) {
			continue
		}
		if files++; files > maxFilesRead {
			return found, fmt.Errorf("%s holds more than %d files of ties", l.options.Dir, maxFilesRead)
		}
		if err := l.readFile(name, &found); err != nil {
			return found, fmt.Errorf("%s: %w", filepath.Join(l.options.Dir, name), err)
		}
	}
	return found, nil
}

// readFile reads the new records of one file.
func (l *Log) readFile(name string, found *ReadResult) error {
	path := filepath.Join(l.options.Dir, name)
	f, err := l.options.FS.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // it had expired, and another process has removed it
	}
	if err != nil {
		return err
	}
	data, err := readFrom(f, l.readOffset[name])
	besteffort.Close(f)
	if err != nil {
		return err
	}
	if l.readOffset[name] == 0 {
		bootID, isComplete, err := parseHeader(data)
		if err != nil || !isComplete {
			return err
		}
		data = data[headerSize:]
		l.readOffset[name], l.bootIDs[name] = headerSize, bootID
	}
	corrupt := 0
	for ; len(data) >= affinity.RecordSize; data = data[affinity.RecordSize:] {
		l.readOffset[name] += affinity.RecordSize
		r, err := affinity.DecodeRecord(data[:affinity.RecordSize], l.options.FromBootTime)
		if err != nil {
			corrupt++
			continue
		}
		if l.bootIDs[name] != l.options.BootID {
			r.At = affinity.UnknownTime
		}
		found.Records = append(found.Records, r)
	}
	if corrupt > 0 {
		found.Corrupt += corrupt
		l.quarantine(path, found)
	}
	return nil
}

// readFrom reads a file from an offset on.
func readFrom(f io.Reader, offset int) ([]byte, error) {
	if s, ok := f.(io.Seeker); ok {
		if _, err := s.Seek(int64(offset), io.SeekStart); err != nil {
			return nil, err
		}
	} else if _, err := io.CopyN(io.Discard, f, int64(offset)); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, 2*maxFileBytes))
}

// quarantine renames a file with a corrupt record, once, so that an operator finds it. Where that fails it is read on under its name.
func (l *Log) quarantine(path string, found *ReadResult) {
	if l.quarantined[path] {
		return
	}
	l.quarantined[path] = true
	if l.options.FS.Rename(path, path+quarantineSuffix) == nil {
		found.Quarantined = append(found.Quarantined, path+quarantineSuffix)
	}
}
