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
type clock struct{ now time.Duration }

func (c *clock) options(fs atomicfile.FS, sync bool, boot string) Options {
	return Options{Dir: "d", FS: fs, Sync: sync, Retention: 10 * time.Second, Now: func() time.Duration { return c.now }, BootID: boot,
		ToBootTime: func(t time.Duration) int64 { return int64(t) }, FromBootTime: func(n int64) time.Duration { return time.Duration(n) }}
}

func open(t testing.TB, o Options) *Log {
	t.Helper()
	l, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func record(i int, at time.Duration) affinity.Record {
	return affinity.Record{Kind: affinity.RecordBound, Key: affinity.Key{uint64(i), 7}, At: at, Pod: int32(i % 3)}
}

func read(t testing.TB, o Options) ReadResult {
	t.Helper()
	found, err := open(t, o).ReadNew()
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// A machine that stops at any operation, or a disk that fails at it: what is read afterwards is a beginning of what was handed
// over, and holds all that was acknowledged, in order. Nobody waits longer than the budget.
func TestWhatIsReadIsAPrefix(t *testing.T) {
	c := &clock{now: time.Minute}
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EIO} {
		for at := range 14 {
			for seed := range uint64(20) {
				disk := faultfs.New(seed)
				disk.OperationsUntilFault, disk.FaultError = at, fault
				l := open(t, c.options(disk, true, "boot"))
				kept, handed := []int{}, 0
				for batch := range 4 {
					var commits []*Commit
					for range 1 + batch {
						commits = append(commits, l.Append(record(handed, c.now)))
						handed++
					}
					err := l.Flush()
					for i, commit := range commits {
						if ok := commit.Wait(time.Millisecond); ok != (err == nil) {
							t.Fatalf("flushed with %v, and the wait says %v", err, ok)
						} else if ok {
							kept = append(kept, handed-len(commits)+i)
						}
					}
				}
				disk.OperationsUntilFault = -1
				found := read(t, c.options(disk.Reboot(), true, "boot"))
				var got []int
				for _, r := range found.Records {
					got = append(got, int(r.Key[0]))
				}
				if found.Corrupt > 0 || !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
					t.Fatalf("%v at %d, seed %d: read %v, %d damaged", fault, at, seed, got, found.Corrupt)
				}
				for _, i := range kept {
					if !slices.Contains(got, i) {
						t.Fatalf("%v at %d, seed %d: %d was acknowledged, and %v are read", fault, at, seed, i, got)
					}
				}
			}
		}
	}
}

// Every beginning of a file is read up to its last whole record; a damaged record costs itself alone, is told of, and its file
// is kept aside.
func TestCutAndDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	c := &clock{now: time.Minute}
	o := c.options(atomicfile.OS{}, false, "boot")
	o.Dir = dir
	l := open(t, o)
	for i := range 5 {
		l.Append(record(i, c.now))
	}
	if err := errors.Join(l.Flush(), l.Close()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, l.name)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) + 1 {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		want := max(0, (n-headerSize)/affinity.RecordSize)
		if found := read(t, o); len(found.Records) != want || found.Corrupt != 0 {
			t.Fatalf("of %d bytes %d records are read, want %d; %d damaged", n, len(found.Records), want, found.Corrupt)
		}
	}
	bad := bytes.Clone(whole)
	bad[headerSize+affinity.RecordSize+3] ^= 4
	if err := os.WriteFile(path, bad, 0o600); err != nil {
		t.Fatal(err)
	}
	if found := read(t, o); len(found.Records) != 4 || found.Corrupt != 1 || len(found.Quarantined) != 1 {
		t.Errorf("%+v", found)
	}
	if _, err := os.Stat(path + damagedName); err != nil {
		t.Error(err)
	}
	newer := bytes.Replace(whole, []byte("ties 1"), []byte("ties 2"), 1)
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := open(t, o).ReadNew(); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a newer file: %v", err)
	}
}

// Two processes in one folder hear of each other's records, once each; what an earlier run of the machine has kept has no time.
// Files go when nothing in them is of use, and not before.
func TestProcessesSideBySide(t *testing.T) {
	c := &clock{now: time.Minute}
	o := c.options(atomicfile.OS{}, false, "boot")
	o.Dir = t.TempDir()
	a, b := open(t, o), open(t, o)
	hear := func(l *Log, want string) {
		t.Helper()
		found, err := l.ReadNew()
		got := []uint64{}
		for _, r := range found.Records {
			got = append(got, r.Key[0])
		}
		if err != nil || fmt.Sprint(got) != want {
			t.Errorf("heard %v, %v; want %s", got, err, want)
		}
	}
	keep := func(l *Log, i int) {
		t.Helper()
		l.Append(record(i, c.now))
		if err := l.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	keep(a, 1)
	hear(b, "[1]")
	keep(a, 2)
	keep(b, 3)
	hear(b, "[2]")
	hear(a, "[3]")
	hear(a, "[]")
	o.BootID = "another"
	if found := read(t, o); len(found.Records) != 3 || found.Records[0].At != affinity.UnknownTime {
		t.Errorf("after a start of the machine %+v", found)
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
	keep(a, 4)
	hear(b, "[4]")
	if err := a.RemoveExpired(); err != nil { // its first file, which was open until then
		t.Fatal(err)
	}
	hear(b, "[]")
	if len(b.read) != 1 || len(b.boots) != 1 || len(a.mine) != 1 {
		t.Errorf("of files that are gone it is known %v, %v, %v", b.read, b.boots, a.mine)
	}
}

// The secret is made once, and one that is damaged is not replaced: keys hashed with another one would be strangers.
func TestSecret(t *testing.T) {
	c := &clock{}
	o := c.options(atomicfile.OS{}, false, "boot")
	o.Dir = t.TempDir()
	first, err := LoadOrCreateSecret(o)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := LoadOrCreateSecret(o); err != nil || again != first || first == (affinity.Secret{}) {
		t.Errorf("%v, then %v, %v", first, again, err)
	}
	if err := os.WriteFile(filepath.Join(o.Dir, secretName), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadOrCreateSecret(o); !errors.Is(err, atomicfile.ErrCorrupt) {
		t.Errorf("a damaged one: %v", err)
	}
}

// Nobody waits for a disk that stands still: the budget ends the wait, and what waits is bounded.
func TestADiskThatStandsStill(t *testing.T) {
	c := &clock{now: time.Minute}
	l := open(t, c.options(faultfs.New(1), false, "boot"))
	commit := l.Append(record(0, c.now))
	if began := time.Now(); commit.Wait(time.Millisecond) || time.Since(began) > 10*time.Second {
		t.Error("it is kept, and nothing was written")
	}
	for i := range mostWaiting - 1 {
		if l.Append(record(i, c.now)) == nil {
			t.Fatalf("no room for %d", i)
		}
	}
	if l.Append(record(0, c.now)) != nil || l.Append(record(0, c.now)).Wait(time.Second) {
		t.Error("records wait without bound")
	}
	if err := l.Flush(); err != nil || !commit.Wait(0) {
		t.Errorf("when it goes on: %v", err)
	}
}

// Whatever bytes a file has, reading ends, and only whole records come out.
func FuzzReadFile(f *testing.F) {
	c := &clock{now: time.Minute}
	o := c.options(nil, false, "boot")
	whole := append([]byte(o.header()), record(1, 5).Append(nil, o.ToBootTime)...)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte("appleledge-ties 9"))
	f.Fuzz(func(t *testing.T, data []byte) {
		o := c.options(atomicfile.OS{}, false, "boot")
		o.Dir = t.TempDir()
		if err := os.WriteFile(filepath.Join(o.Dir, "x"+ending), data, 0o600); err != nil {
			t.Fatal(err)
		}
		found, err := open(t, o).ReadNew()
		if err != nil && !errors.Is(err, ErrNewerFormat) {
			t.Fatal(err)
		}
		if n := len(found.Records) + found.Corrupt; n > 0 && (!strings.HasPrefix(string(data), magic) || n != (len(data)-headerSize)/affinity.RecordSize) {
			t.Fatalf("%d records of %d bytes", n, len(data))
		}
	})
}
