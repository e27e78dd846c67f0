package bindinglog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/atomicfile/faultfs"
)

// clock is the time of a test, in one run of the machine.
type testClock struct{ now time.Duration }

func (c *testClock) options(fs atomicfile.FS, sync bool) Options {
	return Options{Dir: "d", FS: fs, Sync: sync, Retention: 10 * time.Second, Now: func() time.Duration { return c.now }, BootID: "boot",
		ToBootTime: func(t time.Duration) int64 { return int64(t) }, FromBootTime: func(n int64) time.Duration { return time.Duration(n) }}
}

func openLog(t testing.TB, o Options) *Log {
	t.Helper()
	l, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func testRecord(i int, at time.Duration) affinity.Record {
	return affinity.Record{Kind: affinity.RecordBound, Key: affinity.Key{uint64(i), 7}, At: at, Pod: int32(i % 3)}
}

func readAll(t testing.TB, o Options) ReadResult {
	t.Helper()
	found, err := openLog(t, o).ReadNew()
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Four batches are written, and the machine stops at one of their disk operations, or the disk fails at it. What is read after the
// restart is in order and without duplicates, and holds every record whose commit was acknowledged. Nobody waits longer than the budget.
func TestAcknowledgedRecordsSurviveCrashAndDiskFaults(t *testing.T) {
	c := &testClock{now: time.Minute}
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EIO} {
		for at := range 14 {
			for seed := range uint64(20) {
				disk := faultfs.New(seed)
				disk.OperationsUntilFault, disk.FaultError = at, fault
				l := openLog(t, c.options(disk, true))
				acknowledged, appended := []int{}, 0
				for batch := range 4 {
					var commits []*Commit
					for range 1 + batch {
						commits = append(commits, l.Append(testRecord(appended, c.now)))
						appended++
					}
					err := l.Flush()
					for i, commit := range commits {
						if ok := commit.Wait(time.Millisecond); ok != (err == nil) {
							t.Fatalf("flushed with %v, and the wait says %v", err, ok)
						} else if ok {
							acknowledged = append(acknowledged, appended-len(commits)+i)
						}
					}
				}
				disk.OperationsUntilFault = -1
				found := readAll(t, c.options(disk.Reboot(), true))
				var got []int
				for _, r := range found.Records {
					got = append(got, int(r.Key[0]))
				}
				if found.Corrupt > 0 || !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
					t.Fatalf("%v at %d, seed %d: read %v, %d damaged", fault, at, seed, got, found.Corrupt)
				}
				for _, i := range acknowledged {
					if !slices.Contains(got, i) {
						t.Fatalf("%v at %d, seed %d: %d was acknowledged, and %v are read", fault, at, seed, i, got)
					}
				}
			}
		}
	}
}

// A file is cut at each of its bytes, as by a crash: it reads up to its last whole record, and counts as undamaged. Then one bit of
// a record is flipped: that record alone is skipped and counted, and the file is quarantined. A file of a newer format is an error.
func TestTruncatedAndCorruptFilesAreReadAsFarAsPossible(t *testing.T) {
	dir := t.TempDir()
	c := &testClock{now: time.Minute}
	o := c.options(atomicfile.OS{}, false)
	o.Dir = dir
	l := openLog(t, o)
	for i := range 5 {
		l.Append(testRecord(i, c.now))
	}
	if err := errors.Join(l.Flush(), l.Close()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, l.fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) + 1 {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		want := max(0, (n-headerSize)/affinity.RecordSize)
		if found := readAll(t, o); len(found.Records) != want || found.Corrupt != 0 {
			t.Fatalf("of %d bytes %d records are read, want %d; %d damaged", n, len(found.Records), want, found.Corrupt)
		}
	}
	bad := bytes.Clone(whole)
	bad[headerSize+affinity.RecordSize+3] ^= 4
	if err := os.WriteFile(path, bad, 0o600); err != nil {
		t.Fatal(err)
	}
	if found := readAll(t, o); len(found.Records) != 4 || found.Corrupt != 1 || len(found.Quarantined) != 1 {
		t.Errorf("%+v", found)
	}
	if _, err := os.Stat(path + quarantineSuffix); err != nil {
		t.Error(err)
	}
	newer := bytes.Replace(whole, []byte("ties 1"), []byte("ties 2"), 1)
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openLog(t, o).ReadNew(); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a newer file: %v", err)
	}
}

// An old process and a new one share a folder, as during a hot restart. Each reads the other's records, once; after a reboot their
// time is unknown. Files are removed once no record in them is of use, and not before; the file that is open stays.
func TestProcessesReadEachOthersRecordsOnce(t *testing.T) {
	c := &testClock{now: time.Minute}
	o := c.options(atomicfile.OS{}, false)
	o.Dir = t.TempDir()
	a, b := openLog(t, o), openLog(t, o)
	expectRead := func(l *Log, want string) {
		t.Helper()
		found, err := l.ReadNew()
		got := []uint64{}
		for _, r := range found.Records {
			got = append(got, r.Key[0])
		}
		if err != nil || fmt.Sprint(got) != want {
			t.Errorf("read %v, %v; want %s", got, err, want)
		}
	}
	appendAndFlush := func(l *Log, i int) {
		t.Helper()
		l.Append(testRecord(i, c.now))
		if err := l.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	appendAndFlush(a, 1)
	expectRead(b, "[1]")
	appendAndFlush(a, 2)
	appendAndFlush(b, 3)
	expectRead(b, "[2]")
	expectRead(a, "[3]")
	expectRead(a, "[]")
	o.BootID = "another"
	if found := readAll(t, o); len(found.Records) != 3 || found.Records[0].At != affinity.UnknownTime {
		t.Errorf("after a reboot %+v", found)
	}
	files := func() int {
		names, err := atomicfile.OS{}.List(o.Dir)
		if err != nil {
			t.Fatal(err)
		}
		return len(names)
	}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {30 * time.Second, 2}, {41 * time.Second, 1}} { // its own file, which is open, stays
		if c.now += step.after; a.RemoveExpired() != nil || files() != step.want {
			t.Errorf("at %v there are %d files, want %d", c.now, files(), step.want)
		}
	}
	appendAndFlush(a, 4)
	expectRead(b, "[4]")
	if err := a.RemoveExpired(); err != nil { // its first file, which was open until then
		t.Fatal(err)
	}
	expectRead(b, "[]")
	if len(b.readOffset) != 1 || len(b.bootIDs) != 1 || len(a.lastRecord) != 1 {
		t.Errorf("of removed files it is still known %v, %v, %v", b.readOffset, b.bootIDs, a.lastRecord)
	}
}

// The first start makes the secret and a second one reads it. Damaged on disk, it is an error and is not replaced: keys hashed with
// another secret would look new, and their retries would run twice.
func TestSecretIsMadeOnceAndNeverReplaced(t *testing.T) {
	c := &testClock{}
	o := c.options(atomicfile.OS{}, false)
	o.Dir = t.TempDir()
	first, err := LoadOrCreateSecret(o)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := LoadOrCreateSecret(o); err != nil || again != first || first == (affinity.Secret{}) {
		t.Errorf("%v, then %v, %v", first, again, err)
	}
	if err := os.WriteFile(filepath.Join(o.Dir, secretFileName), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadOrCreateSecret(o); !errors.Is(err, atomicfile.ErrCorrupt) {
		t.Errorf("a damaged one: %v", err)
	}
}

// The disk hangs, so that nothing is flushed. A waiter gives up after its budget, and pending records are bounded: further ones are
// turned down at once. When the disk goes on, what was pending is written.
func TestHungDiskBlocksNobodyBeyondTheBudget(t *testing.T) {
	c := &testClock{now: time.Minute}
	l := openLog(t, c.options(faultfs.New(1), false))
	commit := l.Append(testRecord(0, c.now))
	if start := time.Now(); commit.Wait(time.Millisecond) || time.Since(start) > 10*time.Second {
		t.Error("the commit is acknowledged, and nothing was written")
	}
	for i := range maxPendingRecords - 1 {
		if l.Append(testRecord(i, c.now)) == nil {
			t.Fatalf("no room for %d", i)
		}
	}
	if l.Append(testRecord(0, c.now)) != nil || l.Append(testRecord(0, c.now)).Wait(time.Second) {
		t.Error("records wait without bound")
	}
	if err := l.Flush(); err != nil || !commit.Wait(0) {
		t.Errorf("when it goes on: %v", err)
	}
}

// A file may hold any bytes. Reading ends, returns whole records only, and fails for nothing but a newer format.
func FuzzReadFile(f *testing.F) {
	c := &testClock{now: time.Minute}
	o := c.options(nil, false)
	whole := append([]byte(o.header()), testRecord(1, 5).Append(nil, o.ToBootTime)...)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte("appleledge-ties 9"))
	f.Fuzz(func(t *testing.T, data []byte) {
		o := c.options(atomicfile.OS{}, false)
		o.Dir = t.TempDir()
		if err := os.WriteFile(filepath.Join(o.Dir, "x"+fileSuffix), data, 0o600); err != nil {
			t.Fatal(err)
		}
		found, err := openLog(t, o).ReadNew()
		if err != nil && !errors.Is(err, ErrNewerFormat) {
			t.Fatal(err)
		}
		if n := len(found.Records) + found.Corrupt; n > 0 && (!strings.HasPrefix(string(data), fileMagic) || n != (len(data)-headerSize)/affinity.RecordSize) {
			t.Fatalf("%d records of %d bytes", n, len(data))
		}
	})
}
