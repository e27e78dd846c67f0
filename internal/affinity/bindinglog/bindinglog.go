// Package bindinglog keeps ties over a restart: append-only files of records in a folder. Each process writes files of its own and
// reads those of all, so that an old process that drains and a new one that serves already tell each other, and two agents
// that were given one folder by mistake do no harm. Many records are written together (group commit).
package bindinglog

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
)

// Options say where and how ties are kept.
type Options struct {
	Dir       string
	FS        atomicfile.FS
	Sync      bool                 // to the disk itself; else a machine that stops forgets, and only a process that is killed does not
	Retention time.Duration        // for which a record is of use: the window and the tail
	Now       func() time.Duration // on the engine's clock
	// BootID names the present run of the machine, in at most 64 bytes. Stamp and Clock turn the engine's times into nanoseconds
	// since it began, and back: setting the wall clock changes nothing then. Times of another run mean nothing.
	BootID       string
	ToBootTime   func(time.Duration) int64
	FromBootTime func(stamp int64) time.Duration
}

// magic begins each file: its last digit is the version. The run of the machine follows, padded to one length.
const magic = "appleledge-ties 1 "

const headerSize = len(magic) + 65

func (o Options) header() string { return fmt.Sprintf("%s%-64s\n", magic, o.BootID) }

const (
	ending       = ".ties"
	damagedName  = ".damaged"
	secretName   = "secret"
	mostFile     = 16 << 20 // bytes; then another file is begun
	mostWaiting  = 1 << 16  // records that are not written yet; further ones are not kept
	mostFiles    = 1024     // that are read
	extraLasting = time.Minute
)

// Errors that callers tell apart.
var (
	ErrNewerFormat = errors.New("it is of a newer form; it is left as it is")
	ErrNotDurable  = errors.New("too many ties wait to be kept")
)

// Commit is a batch of records on its way to the disk.
type Commit struct {
	done chan struct{}
	err  error // once done is closed
}

// Wait waits until the batch is kept, and for no longer than that. It reports whether it is.
func (c *Commit) Wait(budget time.Duration) bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return c.err == nil
	default:
	}
	t := time.NewTimer(budget)
	defer t.Stop()
	select {
	case <-c.done:
		return c.err == nil
	case <-t.C:
		return false
	}
}

// Log writes records. Append may be called from any goroutine.
type Log struct {
	options Options
	prefix  string // of its files' names

	mu      sync.Mutex
	waiting []byte  // records
	batch   *Commit // theirs
	wake    chan struct{}

	// Of the goroutine that writes:
	file  atomicfile.WritableFile
	name  string
	size  int
	last  time.Duration // when the file was written last
	files int
	spare []byte
	mine  map[string]time.Duration // files, with the time of their last record, as far as it was looked at

	// Of the goroutine that reads:
	read    map[string]int // bytes read of others' files
	boots   map[string]string
	damaged map[string]bool
}

// Open makes a log in a folder that is there.
func Open(o Options) (*Log, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, err
	}
	return &Log{options: o, prefix: fmt.Sprintf("%016x-%s", o.ToBootTime(o.Now()), hex.EncodeToString(id[:])), wake: make(chan struct{}, 1),
		mine: map[string]time.Duration{}, read: map[string]int{}, boots: map[string]string{}, damaged: map[string]bool{}}, nil
}

// LoadOrCreateSecret reads the installation's secret, or makes one.
func LoadOrCreateSecret(o Options) (s affinity.Secret, err error) {
	f := atomicfile.File{Path: filepath.Join(o.Dir, secretName), FS: o.FS}
	doc, err := f.Load()
	if errors.Is(err, atomicfile.ErrNotFound) {
		if _, err := rand.Read(s[:]); err != nil {
			return s, err
		}
		return s, f.Save(s[:])
	}
	if err == nil && len(doc) != len(s) {
		err = atomicfile.ErrCorrupt
	}
	if err != nil {
		return s, fmt.Errorf("the secret of ties: %w", err)
	}
	copy(s[:], doc)
	return s, nil
}

// Append hands records over to be written. The result is nil where too many wait: those are not kept.
func (l *Log) Append(r affinity.Record) *Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= mostWaiting*affinity.RecordSize {
		return nil
	}
	if l.batch == nil {
		l.batch = &Commit{done: make(chan struct{})}
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	l.waiting = r.Append(l.waiting, l.options.ToBootTime)
	return l.batch
}

// FlushNeeded says that there is something to Flush.
func (l *Log) FlushNeeded() <-chan struct{} { return l.wake }

// Flush writes what waits. One goroutine calls it. After an error the next call begins a file anew.
func (l *Log) Flush() error {
	l.mu.Lock()
	data, batch := l.waiting, l.batch
	l.waiting, l.batch = l.spare[:0], nil
	l.mu.Unlock()
	if batch == nil {
		l.spare = data
		return nil
	}
	err := l.write(data)
	if err != nil && l.file != nil {
		besteffort.Close(l.file) // what is in it is read up to where it is whole
		l.file = nil
	}
	batch.err = err
	close(batch.done)
	l.spare = data[:0]
	return err
}

func (l *Log) write(data []byte) error {
	now := l.options.Now()
	if l.file != nil && (l.size > mostFile || now-l.last > l.options.Retention) { // one that was idle for so long may be gone by now
		err := l.file.Close()
		if l.file = nil; err != nil {
			return err
		}
	}
	if l.file == nil {
		if err := l.begin(); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	l.size += len(data)
	l.last = now
	l.mine[l.name] = now
	if l.options.Sync {
		return l.file.Sync()
	}
	return nil
}

func (l *Log) begin() (err error) {
	l.files++
	l.name = fmt.Sprintf("%s-%06d%s", l.prefix, l.files, ending)
	if l.file, err = l.options.FS.Create(filepath.Join(l.options.Dir, l.name)); err != nil {
		l.file = nil
		return err
	}
	l.size = 0
	l.mine[l.name] = l.options.Now()
	if _, err := io.WriteString(l.file, l.options.header()); err != nil {
		return err
	}
	if l.options.Sync {
		return l.options.FS.SyncDir(l.options.Dir)
	}
	return nil
}

// Close ends the file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}

// ReadResult is what a look into the folder has brought.
type ReadResult struct {
	Records     []affinity.Record
	Corrupt     int      // records that could not be read, of files that are kept aside
	Quarantined []string // those
}

// ReadNew reads what others have written since the last call. It may run beside Append and Flush, and is called by one goroutine.
// What is damaged is passed over and its file kept under another name; the end of a file may be a record that is still being
// written, or was when its process was killed, and is no damage.
func (l *Log) ReadNew() (found ReadResult, err error) {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return found, err
	}
	for name := range l.read { // of a file that is gone nothing needs to be known
		if _, there := slices.BinarySearch(names, name); !there {
			delete(l.read, name)
			delete(l.boots, name)
			delete(l.damaged, filepath.Join(l.options.Dir, name))
		}
	}
	files := 0
	for _, name := range names {
		if !strings.HasSuffix(name, ending) || strings.HasPrefix(name, l.prefix) {
			continue
		}
		if files++; files > mostFiles {
			return found, fmt.Errorf("%s holds more than %d files of ties", l.options.Dir, mostFiles)
		}
		if err := l.readFile(name, &found); err != nil {
			return found, fmt.Errorf("%s: %w", filepath.Join(l.options.Dir, name), err)
		}
	}
	return found, nil
}

func (l *Log) readFile(name string, found *ReadResult) error {
	path := filepath.Join(l.options.Dir, name)
	f, err := l.options.FS.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // it was old, and another process has removed it
	}
	if err != nil {
		return err
	}
	data, err := readFrom(f, l.read[name])
	besteffort.Close(f)
	if err != nil {
		return err
	}
	if l.read[name] == 0 {
		boot, ok, err := checkHeader(data)
		if err != nil || !ok {
			return err
		}
		data = data[headerSize:]
		l.read[name], l.boots[name] = headerSize, boot
	}
	bad := 0
	for ; len(data) >= affinity.RecordSize; data = data[affinity.RecordSize:] {
		l.read[name] += affinity.RecordSize
		r, err := affinity.DecodeRecord(data[:affinity.RecordSize], l.options.FromBootTime)
		if err != nil {
			bad++
			continue
		}
		if l.boots[name] != l.options.BootID {
			r.At = affinity.UnknownTime
		}
		found.Records = append(found.Records, r)
	}
	if bad > 0 {
		found.Corrupt += bad
		l.setAside(path, found)
	}
	return nil
}

// readFrom reads a file from an offset on.
func readFrom(f io.Reader, at int) ([]byte, error) {
	if s, ok := f.(io.Seeker); ok {
		if _, err := s.Seek(int64(at), io.SeekStart); err != nil {
			return nil, err
		}
	} else if _, err := io.CopyN(io.Discard, f, int64(at)); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, 2*mostFile))
}

// checkHeader reports whether a file has a whole header, which one that was begun when its process was killed has not, and of
// which run of the machine it is.
func checkHeader(data []byte) (boot string, whole bool, err error) {
	family := magic[:len(magic)-2]
	switch {
	case bytes.HasPrefix(data, []byte(family)) && len(data) > len(family) && data[len(family)] > magic[len(family)]:
		return "", false, ErrNewerFormat
	case !bytes.HasPrefix(data, []byte(magic)) || len(data) < headerSize: // cut, or noise: nothing in it can be read
		return "", false, nil
	}
	return strings.TrimSpace(string(data[len(magic):headerSize])), true, nil
}

func (l *Log) setAside(path string, found *ReadResult) {
	if l.damaged[path] {
		return
	}
	l.damaged[path] = true
	if l.options.FS.Rename(path, path+damagedName) == nil { // else it is read on under its own name
		found.Quarantined = append(found.Quarantined, path+damagedName)
	}
}

// RemoveExpired removes files of which no record is of use any more, own ones and others'. A file is begun by a time, and no process
// writes to one for longer than Lasts without another record; so one is of no use Lasts after its last.
func (l *Log) RemoveExpired() error {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return err
	}
	now := l.options.Now()
	maps.DeleteFunc(l.mine, func(name string, _ time.Duration) bool {
		_, there := slices.BinarySearch(names, name)
		return !there
	})
	for _, name := range names {
		if !strings.HasSuffix(name, ending) || name == l.name && l.file != nil {
			continue
		}
		last, known := l.mine[name]
		if !known { // another's, which may have gone on since: it is looked at once more when its time is over
			last = now
		} else if now-last > l.options.Retention+extraLasting {
			if last, err = l.lastOf(name, last); err != nil {
				return err
			}
		}
		l.mine[name] = last
		if now-last <= l.options.Retention+extraLasting {
			continue
		}
		if err := l.options.FS.Remove(filepath.Join(l.options.Dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		delete(l.mine, name)
	}
	return nil
}

// lastOf is the time of the latest record in a file of this run of the machine, or else the time that is given.
func (l *Log) lastOf(name string, last time.Duration) (time.Duration, error) {
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
	if boot, whole, _ := checkHeader(data); !whole || boot != l.options.BootID {
		return last, nil
	}
	for data = data[headerSize:]; len(data) >= affinity.RecordSize; data = data[affinity.RecordSize:] {
		if r, err := affinity.DecodeRecord(data[:affinity.RecordSize], l.options.FromBootTime); err == nil {
			last = max(last, r.At)
		}
	}
	return last, nil
}
