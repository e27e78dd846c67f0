package bindinglog

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/wal"
	"go.etcd.io/bbolt"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
)

// storeFunc stores a record and returns when it is stored; many goroutines call it at a time.
type storeFunc func(r affinity.Record) error

// stores are those that docs/design/affinity.md compares: this log, bbolt with its group commit, and tidwall/wal, each with and
// without a sync to the disk.
func stores(b *testing.B, syncs bool) map[string]func() (storeFunc, func()) {
	return map[string]func() (storeFunc, func()){
		"log": func() (storeFunc, func()) {
			c := &testClock{now: time.Minute}
			o := c.options(atomicfile.OS{}, syncs)
			o.Dir = b.TempDir()
			l, ended, done := openLog(b, o), make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				for {
					select {
					case <-ended:
						return
					case <-l.FlushNeeded():
						if err := l.Flush(); err != nil {
							b.Error(err)
						}
					}
				}
			}()
			return func(r affinity.Record) error {
				if !l.Append(r).Wait(time.Minute) {
					return fmt.Errorf("not stored")
				}
				return nil
			}, func() { close(ended); <-done; besteffort.Close(l) }
		},
		"bbolt": func() (storeFunc, func()) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, &bbolt.Options{NoSync: !syncs})
			if err != nil {
				b.Fatal(err)
			}
			db.MaxBatchDelay = time.Millisecond
			name := []byte("ties")
			if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket(name); return err }); err != nil {
				b.Fatal(err)
			}
			return func(r affinity.Record) error {
				data := r.Append(nil, func(d time.Duration) int64 { return int64(d) })
				return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(name).Put(data[:16], data[16:]) })
			}, func() { besteffort.Close(db) }
		},
		"wal": func() (storeFunc, func()) {
			l, err := wal.Open(filepath.Join(b.TempDir(), "wal"), &wal.Options{NoSync: !syncs})
			if err != nil {
				b.Fatal(err)
			}
			var mu sync.Mutex
			n := uint64(0)
			return func(r affinity.Record) error {
				mu.Lock()
				defer mu.Unlock()
				n++
				return l.Write(n, r.Append(nil, func(d time.Duration) int64 { return int64(d) }))
			}, func() { besteffort.Close(l) }
		},
	}
}

// BenchmarkStore measures how long a record takes to be stored at 1,000 a second, each for a request of its own.
func BenchmarkStore(b *testing.B) {
	for _, syncs := range []bool{false, true} {
		for name, open := range stores(b, syncs) {
			b.Run(fmt.Sprintf("%s/sync=%v", name, syncs), func(b *testing.B) {
				store, closeAll := open()
				defer closeAll()
				took := make([]time.Duration, max(b.N, 1))
				var all sync.WaitGroup
				tick := time.NewTicker(time.Millisecond)
				defer tick.Stop()
				for i := range b.N {
					<-tick.C
					all.Go(func() {
						r := testRecord(i, time.Duration(i))
						began := time.Now()
						if err := store(r); err != nil {
							b.Error(err)
						}
						took[i] = time.Since(began)
					})
				}
				all.Wait()
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkRestore measures how long a million records take to be read into a table.
func BenchmarkRestore(b *testing.B) {
	c := &testClock{now: time.Minute}
	o := c.options(atomicfile.OS{}, false)
	o.Dir = b.TempDir()
	l := openLog(b, o)
	for i := range 1_000_000 {
		l.Append(testRecord(i, c.now))
		if i%1000 == 999 {
			if err := l.Flush(); err != nil {
				b.Fatal(err)
			}
		}
	}
	for b.Loop() {
		table := affinity.New(affinity.Options{MaxEntries: 1 << 20, DedupWindow: 2 * time.Second, LateRetryPeriod: 8 * time.Second})
		found, err := openLog(b, o).ReadNew()
		if err != nil {
			b.Fatal(err)
		}
		if table.Restore(c.now, found.Records); table.Counts().Entries != 1_000_000 {
			b.Fatal(table.Counts())
		}
	}
}
