package bindinglog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
)

// FileReport is what a file of ties holds.
type FileReport struct {
	Name           string `json:"name"`
	BootID         string `json:"boot,omitempty"` // the run of the machine that it is of
	Bytes          int    `json:"bytes"`
	Corrupt        int    `json:"damaged,omitempty"` // records that can't be read
	TruncatedBytes int    `json:"cut,omitempty"`     // bytes at its end that are no whole record
	Problem        string `json:"problem,omitempty"`

	Records []affinity.Record `json:"-"` // with times since that run began
}

// Inspect reads the files of a folder, without a process that serves; those that were kept aside as well.
func Inspect(f atomicfile.FS, dir string) (reports []FileReport, err error) {
	names, err := f.List(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ending) && !strings.HasSuffix(name, ending+damagedName) {
			continue
		}
		r, err := inspect(f, dir, name)
		if errors.Is(err, fs.ErrNotExist) {
			continue // its process has removed it
		}
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func inspect(f atomicfile.FS, dir, name string) (r FileReport, err error) {
	r.Name = name
	file, err := f.Open(filepath.Join(dir, name))
	if err != nil {
		return r, err
	}
	defer besteffort.Close(file)
	data, err := readFrom(file, 0)
	if err != nil {
		return r, err
	}
	r.Bytes = len(data)
	boot, whole, err := checkHeader(data)
	switch {
	case err != nil:
		r.Problem = err.Error()
		return r, nil
	case !whole:
		r.Problem = "its first line is not whole, or not one of ours"
		return r, nil
	}
	r.BootID = boot
	for data = data[headerSize:]; len(data) >= affinity.RecordSize; data = data[affinity.RecordSize:] {
		record, err := affinity.DecodeRecord(data[:affinity.RecordSize], func(stamp int64) time.Duration { return time.Duration(stamp) })
		if err != nil {
			r.Corrupt++
			continue
		}
		r.Records = append(r.Records, record)
	}
	r.TruncatedBytes = len(data)
	return r, nil
}

// bootID names the present run of the machine (proc(5)).
const bootID = "/proc/sys/kernel/random/boot_id"

// BootTime is the present run of the machine, and for how long it has lasted, by clock_gettime(2)'s CLOCK_BOOTTIME: setting the
// clock does not change that, and two processes have the same.
func BootTime() (boot string, now time.Duration, err error) {
	id, err := os.ReadFile(bootID)
	if err != nil {
		return "", 0, err
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return "", 0, fmt.Errorf("reading the time since the machine has started: %w", err)
	}
	return strings.TrimSpace(string(id)), time.Duration(t.Nano()), nil
}

// Obsolete reports whether nothing in a file is of use any more: of another run of the machine, or older than lasts.
func (r FileReport) Obsolete(boot string, now, lasts time.Duration) bool {
	if r.Problem != "" {
		return false // whoever knows its form may want it
	}
	if r.BootID != boot {
		return true
	}
	for _, record := range r.Records {
		if now-record.At <= lasts {
			return false
		}
	}
	return len(r.Records) > 0
}
