// Package bindinglog stores the bindings of package affinity so that they survive a crash of the process, and with Options.Sync
// one of the machine.
//
// # Files
//
// The log is a folder of append-only files of fixed-size records. Each process writes files of its own and reads those of all
// others. So during a hot restart the draining process and the new one tell each other of their bindings, and two agents that
// were given one folder by mistake do no harm. A file begins with a header that names the format and the boot of the machine, as
// record times count from that boot; its last record may be cut off, by a crash or because it is still being written.
//
// # Writing and reading
//
// Append hands a record over and returns the Commit of its batch; Flush writes the batch (group commit); Wait on the commit says
// within a budget whether the record is stored. The engine waits before it sends a key's first attempt, and counts a binding that is
// not stored in time. ReadNew returns what others
// have appended since its last call, for affinity.Table's Restore. RemoveExpired deletes files in which every record has outlived
// its use. A corrupt record is skipped and counted, and its file renamed aside for an operator to look at (Inspect).
package bindinglog

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/atomicfile"
)

// Options say where and how bindings are stored.
type Options struct {
	Dir       string
	FS        atomicfile.FS
	Sync      bool                 // each batch, to the disk itself; without it a killed process loses nothing, a machine that stops does
	Retention time.Duration        // for which a record is of use, until SetRetention: the dedup window and the late-retry period
	Now       func() time.Duration // on the engine's clock

	// BootID names the present boot of the machine, in at most 64 bytes. ToBootTime turns the engine's times into nanoseconds since
	// that boot, and FromBootTime back, so that setting the wall clock changes nothing. Times of another boot mean nothing.
	BootID       string
	ToBootTime   func(time.Duration) int64
	FromBootTime func(nanoseconds int64) time.Duration
}

// Names of files in the folder. Other processes, and agents of other versions, go by them too.
const (
	fileSuffix       = ".ties"
	quarantineSuffix = ".damaged"
	secretFileName   = "secret"
)

// Bounds.
const (
	maxFileBytes      = 16 << 20 // then another file is created
	maxPendingRecords = 1 << 16  // not written yet; further ones are not stored
	maxFilesRead      = 1024
	retentionMargin   = time.Minute // past Retention, after which a file is removed
)

// ErrNewerFormat says that a file is of a later version of this package. It is left as it is.
var ErrNewerFormat = errors.New("it is of a newer form; it is left as it is")

// Log writes the records of one process and reads those of the others. Append may be called from any goroutine; Flush, Close and
// RemoveExpired belong to the goroutine that writes, ReadNew to the one that reads. The two may be the same.
type Log struct {
	options    Options
	filePrefix string       // of this process's files: the time of Open and random digits
	retained   atomic.Int64 // nanoseconds for which a record is of use

	mu            sync.Mutex
	pending       []byte  // encoded records that the next Flush writes; mu guards it and pendingCommit
	pendingCommit *Commit // of pending; nil exactly while pending is empty
	flushNeeded   chan struct{}

	// Of the goroutine that writes:
	file         atomicfile.WritableFile // nil where the next write creates one
	fileName     string
	fileBytes    int
	lastWrite    time.Duration
	filesCreated int
	spareBuffer  []byte                   // the buffer that pending does not use at present
	lastRecord   map[string]time.Duration // by file: the time of its last record, as far as it was looked at

	// Of the goroutine that reads, by file name:
	readOffset  map[string]int // up to which others' files have been read
	bootIDs     map[string]string
	quarantined map[string]bool // by path
}

// Open makes a log in a folder that exists. It reads and writes nothing yet.
func Open(o Options) (*Log, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, err
	}
	l := &Log{options: o, filePrefix: fmt.Sprintf("%016x-%s", o.ToBootTime(o.Now()), hex.EncodeToString(id[:])), flushNeeded: make(chan struct{}, 1),
		lastRecord: map[string]time.Duration{}, readOffset: map[string]int{}, bootIDs: map[string]string{}, quarantined: map[string]bool{}}
	l.SetRetention(o.Retention)
	return l, nil
}

// SetRetention says for how long records are of use from now on, those that are stored already too. It may be called from any goroutine.
func (l *Log) SetRetention(retention time.Duration) { l.retained.Store(int64(retention)) }

func (l *Log) retention() time.Duration { return time.Duration(l.retained.Load()) }
