package bindinglog

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
)

// FileReport says what a file of the log holds. Its JSON keys are part of the output of appleledgectl.
type FileReport struct {
	Name           string `json:"name"`
	BootID         string `json:"boot,omitempty"` // the boot that its times count from
	Bytes          int    `json:"bytes"`
	Corrupt        int    `json:"damaged,omitempty"` // records
	TruncatedBytes int    `json:"cut,omitempty"`     // at its end, which are no whole record
	Problem        string `json:"problem,omitempty"`

	Records []affinity.Record `json:"-"` // with times since that boot
}

// Inspect reads the files of a folder, quarantined ones too, and changes nothing. It needs no running agent.
func Inspect(f atomicfile.FS, dir string) (reports []FileReport, err error) {
	names, err := f.List(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, fileSuffix) && !strings.HasSuffix(name, fileSuffix+quarantineSuffix) {
			continue
		}
		r, err := inspectFile(f, dir, name)
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has expired, and its process has removed it
		}
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// inspectFile reads one file. What is wrong with it goes into the report; an error is one of the disk.
func inspectFile(f atomicfile.FS, dir, name string) (r FileReport, err error) {
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
	bootID, isComplete, err := parseHeader(data)
	switch {
	case err != nil:
		r.Problem = err.Error()
		return r, nil
	case !isComplete:
		r.Problem = "its first line is not whole, or not one of ours"
		return r, nil
	}
	r.BootID = bootID
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

// Obsolete reports whether no record of the file is of use any more: it is of another boot, or each is older than the retention.
// A file that cannot be read is never obsolete, as another version may know its format.
func (r FileReport) Obsolete(bootID string, now, retention time.Duration) bool {
	if r.Problem != "" {
		return false
	}
	if r.BootID != bootID {
		return true
	}
	for _, record := range r.Records {
		if now-record.At <= retention {
			return false
		}
	}
	return len(r.Records) > 0
}
