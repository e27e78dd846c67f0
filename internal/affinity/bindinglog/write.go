package bindinglog

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/besteffort"
)

// Commit is a batch of records on its way to the disk. Any goroutine may wait for it; a nil Commit was never stored.
type Commit struct {
	done chan struct{} // closed by Flush
	err  error         // of the write; read it only once done is closed
}

// Wait waits until the batch is written, for no longer than the budget, and reports whether it is stored. False after the budget
// means that it may still be written later.
func (c *Commit) Wait(budget time.Duration) bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return c.err == nil
	default:
	}
	timer := time.NewTimer(budget)
	defer timer.Stop()
	select {
	case <-c.done:
		return c.err == nil
	case <-timer.C:
		return false
	}
}

// Append hands a record over to be written. The result is nil where too many wait: that record is not stored.
func (l *Log) Append(r affinity.Record) *Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxPendingRecords*affinity.RecordSize {
		return nil
	}
	if l.pendingCommit == nil {
		l.pendingCommit = &Commit{done: make(chan struct{})}
		select {
		case l.flushNeeded <- struct{}{}:
		default:
		}
	}
	l.pending = r.Append(l.pending, l.options.ToBootTime)
	return l.pendingCommit
}

// FlushNeeded receives when there is something to Flush.
func (l *Log) FlushNeeded() <-chan struct{} { return l.flushNeeded }

// Flush writes the pending records and completes their Commit. One goroutine calls it. After an error the next call creates
// another file, as the end of the present one may hold part of a record.
func (l *Log) Flush() error {
	l.mu.Lock()
	data, commit := l.pending, l.pendingCommit
	l.pending, l.pendingCommit = l.spareBuffer[:0], nil
	l.mu.Unlock()
	if commit == nil {
		l.spareBuffer = data
		return nil
	}
	err := l.write(data)
	if err != nil && l.file != nil {
		besteffort.Close(l.file) // it is read up to its last whole record
		l.file = nil
	}
	commit.err = err
	close(commit.done)
	l.spareBuffer = data[:0]
	return err
}

// write appends encoded records to the process's file, or to another one where that is full or was idle for so long that another
// process may have removed it.
func (l *Log) write(data []byte) error {
	now := l.options.Now()
	if l.file != nil && (l.fileBytes > maxFileBytes || now-l.lastWrite > l.retention()) {
		err := l.file.Close()
		if l.file = nil; err != nil {
			return err
		}
	}
	if l.file == nil {
		if err := l.createFile(); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	l.fileBytes += len(data)
	l.lastWrite = now
	l.lastRecord[l.fileName] = now
	if l.options.Sync {
		return l.file.Sync()
	}
	return nil
}

// createFile creates the next file with its header. With Sync the folder is synced too, or a crash could lose the file's name.
func (l *Log) createFile() (err error) {
	l.filesCreated++
	l.fileName = fmt.Sprintf("%s-%06d%s", l.filePrefix, l.filesCreated, fileSuffix)
	if l.file, err = l.options.FS.Create(filepath.Join(l.options.Dir, l.fileName)); err != nil {
		l.file = nil
		return err
	}
	l.fileBytes = 0
	l.lastRecord[l.fileName] = l.options.Now()
	if _, err := io.WriteString(l.file, l.options.header()); err != nil {
		return err
	}
	if l.options.Sync {
		return l.options.FS.SyncDir(l.options.Dir)
	}
	return nil
}

// Close closes the file. What is pending is not written: Flush comes first.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
