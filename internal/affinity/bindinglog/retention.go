package bindinglog

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/besteffort"
)

// RemoveExpired removes files in which no record is of use any more, own and others'. A process never writes to one file for longer
// than Retention without another record (see write), so a file is of no use Retention after its last record. The file of another process
// is read once more before it goes, as records may have been added since it was seen first. It is called by the goroutine that writes.
func (l *Log) RemoveExpired() error {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return err
	}
	now := l.options.Now()
	maps.DeleteFunc(l.lastRecord, func(name string, _ time.Duration) bool {
		_, exists := slices.BinarySearch(names, name)
		return !exists
	})
	for _, name := range names {
		if !strings.HasSuffix(name, fileSuffix) || name == l.fileName && l.file != nil {
			continue
		}
		last, isKnown := l.lastRecord[name]
		if !isKnown {
			last = now
		} else if now-last > l.retention()+retentionMargin {
			if last, err = l.latestRecord(name, last); err != nil {
				return err
			}
		}
		l.lastRecord[name] = last
		if now-last <= l.retention()+retentionMargin {
			continue
		}
		if err := l.options.FS.Remove(filepath.Join(l.options.Dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		delete(l.lastRecord, name)
	}
	return nil
}

// latestRecord returns the time of the latest record in a file of this boot, or else the time that is given.
func (l *Log) latestRecord(name string, last time.Duration) (time.Duration, error) {
	f, err := l.options.FS.Open(filepath.Join(l.options.Dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return last, nil
	}
	if err != nil {
		return 0, err
	}
	defer besteffort.Close(f)
	data, err := readFrom(f, 0)
	if err != nil {
		return 0, err
	}
	if bootID, isComplete, _ := parseHeader(data); !isComplete || bootID != l.options.BootID {
		return last, nil
	}
	for data = data[headerSize:]; len(data) >= affinity.RecordSize; data = data[affinity.RecordSize:] {
		if r, err := affinity.DecodeRecord(data[:affinity.RecordSize], l.options.FromBootTime); err == nil {
			last = max(last, r.At)
		}
	}
	return last, nil
}
