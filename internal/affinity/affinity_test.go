package affinity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	window = 2 * time.Second
	tail   = 8 * time.Second
)

// fact is all that is true of a key: where its first attempt went that may have run, and what is under way.
type fact struct {
	pod   int
	since time.Duration
	out   int
	ran   bool
}

// model holds a Table against plain facts. What it must never do is to say nothing of a key that may have run within the
// window and the tail, unless it has said that it couldn't remember.
type model struct {
	table   *Table
	now     time.Duration
	facts   map[int]*fact
	records []Record // as they are kept, in order
	most    int
}

func (m *model) key(i int) Key { return Secret{1}.Key(fmt.Sprint("key-", i)) }

func (m *model) keep(r Record, ok bool) {
	if ok {
		m.records = append(m.records, r)
	}
}

func (m *model) begin(t *rapid.T) {
	i := rapid.IntRange(0, 9).Draw(t, "key")
	tie, tied := m.table.Lookup(m.now, m.key(i))
	f := m.facts[i]
	m.compare(t, i, tie, tied)
	pod := rapid.IntRange(0, 3).Draw(t, "pod")
	if tied {
		if tie.PodUnknown || m.now-tie.Since >= window {
			return // the module sends it nowhere
		}
		pod = tie.Pod
	}
	if f == nil {
		f = &fact{pod: pod, since: m.now}
		m.facts[i] = f
	}
	f.out++
	r, ok := m.table.Bind(m.now, m.key(i), pod, 0)
	m.keep(r, ok)
}

// compare holds what the table says against the facts.
func (m *model) compare(t *rapid.T, i int, tie Binding, tied bool) {
	f := m.facts[i]
	over := f != nil && f.out == 0 && m.now-f.since >= window+tail
	switch {
	case f == nil || over:
		if over {
			delete(m.facts, i)
		}
		return // it may still be in the filter, which errs to the safe side
	case !tied:
		if m.table.Counts().Unprotected == 0 {
			t.Fatalf("key %d began at %v in pod %d, and at %v nothing is known of it", i, f.since, f.pod, m.now)
		}
	case tie.PodUnknown && m.table.Counts().Overflowed+m.table.Counts().Evicted == 0:
		t.Fatalf("key %d is lost, although all had room", i)
	case tie.PodUnknown || m.now-tie.Since >= window: // nothing is sent, wherever and whenever it was
	case tie.Pod != f.pod:
		t.Fatalf("key %d went to pod %d, and %d is told", i, f.pod, tie.Pod)
	case tie.Since > f.since:
		t.Fatalf("key %d began at %v, and %v is told", i, f.since, tie.Since)
	}
}

func (m *model) end(t *rapid.T) {
	i := rapid.IntRange(0, 9).Draw(t, "key")
	f := m.facts[i]
	if f == nil || f.out == 0 {
		return
	}
	f.out--
	if rapid.Bool().Draw(t, "never ran") {
		m.keep(m.table.Unbind(m.now, m.key(i)))
		if f.out == 0 && !f.ran {
			delete(m.facts, i)
		}
		return
	}
	f.ran = true
	m.keep(m.table.Complete(m.now, m.key(i), Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))))
}

// restart makes a new table of what was kept: all of it, or as much as was acknowledged.
func (m *model) restart(t *rapid.T) {
	fresh := New(m.table.options)
	if rapid.IntRange(0, 4).Draw(t, "reboot") == 0 {
		for i := range m.records {
			m.records[i].At = UnknownTime
		}
		for _, f := range m.facts { // it lies back further, but nobody can tell
			f.since = m.now - window
		}
	}
	fresh.Restore(m.now, m.records)
	if lost := m.table.Counts(); lost.Overflowed+lost.Evicted > 0 { // the filter is not kept
		for i := range m.facts {
			if _, known := fresh.Lookup(m.now, m.key(i)); !known {
				delete(m.facts, i)
			}
		}
	}
	for _, f := range m.facts {
		f.out, f.ran = 0, true
	}
	m.table = fresh
	if c := fresh.Counts(); c.Entries > m.most {
		t.Fatalf("%d entries, %d at most", c.Entries, m.most)
	}
}

// Whatever comes, in whatever order, with restarts of the process and of the machine: what may have run within the window and the tail is
// known, with its pod or as lost; the table never holds more than it may.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.SampledFrom([]int{2, 5, 100}).Draw(t, "most")
		m := &model{table: New(Options{MaxEntries: most, DedupWindow: window, LateRetryPeriod: tail}), now: time.Minute, facts: map[int]*fact{}, most: most}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "begin too": m.begin, "end": m.end, "restart": m.restart,
			"pass": func(t *rapid.T) {
				m.now += time.Duration(rapid.SampledFrom([]int{1, 100, 1999, 2000, 5000, 10001}).Draw(t, "ms")) * time.Millisecond
				for i, f := range m.facts { // no attempt is out for longer than a client waits
					for ; f.out > 0 && m.now-f.since > window; f.out-- {
						f.ran = true
						m.keep(m.table.Complete(m.now, m.key(i), OutcomeUnknown))
					}
				}
			},
			"": func(t *rapid.T) {
				if c := m.table.Counts(); c.Entries > most || len(m.table.queue) != c.Entries {
					t.Fatalf("%d entries and %d in the queue, %d at most", c.Entries, len(m.table.queue), most)
				}
				for i := range 10 {
					tie, tied := m.table.Lookup(m.now, m.key(i))
					m.compare(t, i, tie, tied)
				}
			},
		})
	})
}

// A flood of a million keys in ten seconds leaves memory bounded, holds nothing up, and every key that nothing remembers is
// counted.
func TestFlood(t *testing.T) {
	table, now := New(Options{MaxEntries: 4096, DedupWindow: window, LateRetryPeriod: tail}), time.Second
	secret := Secret{7}
	known := uint64(0)
	for i := range 1_000_000 {
		now += 10 * time.Microsecond
		k := secret.Key(fmt.Sprint(i))
		if _, tied := table.Lookup(now, k); tied {
			known++
			continue // by a false hit it fails, as what may have run
		}
		if _, ok := table.Bind(now, k, 1, 0); ok {
			table.Complete(now, k, OutcomeServed)
		}
	}
	c := table.Counts()
	if c.Entries > 4096 || cap(table.queue) > 4*4096 {
		t.Errorf("%+v with room for %d in the queue", c, cap(table.queue))
	}
	if known > 1000 {
		t.Errorf("%d of a million keys failed as if they had run", known)
	}
	if c.Unprotected == 0 || c.Overflowed+c.Evicted < c.Unprotected {
		t.Errorf("%+v", c)
	}
	if _, tied := table.Lookup(now, secret.Key("999999")); !tied && c.Unprotected == 0 {
		t.Error("the last key is not known, and that is not counted")
	}
}

// One hot key, tried a thousand times at once and again, is one tie that lasts from the first try on and is let go with the last.
func TestOneHotKey(t *testing.T) {
	table, now, k := New(Options{MaxEntries: 4, DedupWindow: window, LateRetryPeriod: tail}), time.Second, Secret{}.Key("hot")
	records := 0
	for range 1000 {
		now += time.Millisecond
		if _, fresh := table.Bind(now, k, 3, 0); fresh {
			records++
		}
	}
	tie, ok := table.Lookup(now, k)
	if !ok || tie.Pod != 3 || tie.Since != time.Second+time.Millisecond || records != 1 || len(table.queue) != 1 {
		t.Errorf("%+v, %v; %d records, %d in the queue", tie, ok, records, len(table.queue))
	}
	for i := range 1000 {
		if _, cleared := table.Unbind(now, k); cleared != (i == 999) {
			t.Fatalf("end %d: the tie is gone: %v", i, cleared)
		}
	}
	if _, ok := table.Lookup(now, k); ok {
		t.Error("nothing of it ran, and it is tied")
	}
}

// Records are read as they were written, and no bit of one can change unseen.
func TestRecords(t *testing.T) {
	unix := func(d time.Duration) int64 { return int64(d) + 1e18 }
	clock := func(n int64) time.Duration { return time.Duration(n - 1e18) }
	for _, r := range []Record{{RecordBound, Key{1, ^uint64(0)}, 5 * time.Second, 3, 2}, {RecordUnbound, Key{}, 0, -1, -1}, {RecordServed, Key{9, 9}, 1, 1 << 30, -5}} {
		b := r.Append(nil, unix)
		if got, err := DecodeRecord(b, clock); err != nil || got != r || len(b) != RecordSize {
			t.Errorf("%+v is read as %+v, %v", r, got, err)
		}
		for i := range 8 * len(b) {
			b[i/8] ^= 1 << (i % 8)
			if got, err := DecodeRecord(b, clock); err == nil {
				t.Errorf("with bit %d turned %+v is read", i, got)
			}
			b[i/8] ^= 1 << (i % 8)
		}
	}
}

func BenchmarkTable(b *testing.B) {
	table, now, secret := New(Options{MaxEntries: 16384, DedupWindow: window, LateRetryPeriod: tail}), time.Second, Secret{1}
	keys := make([]Key, 1<<16)
	for i := range keys {
		keys[i] = secret.Key(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		k := keys[i%len(keys)]
		table.Lookup(now, k)
		table.Bind(now, k, 1, 0)
		table.Complete(now, k, OutcomeServed)
	}
}

// BenchmarkFlood is a flood of 5,000 new keys a second for ten minutes, and what the table holds of the heap at its end.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		table, now, secret := New(Options{MaxEntries: 16384, DedupWindow: window, LateRetryPeriod: tail}), time.Second, Secret{7}
		middle := uint64(0)
		for i := range 3_000_000 {
			now += 200 * time.Microsecond
			k := secret.Key(fmt.Sprint(i))
			if _, tied := table.Lookup(now, k); !tied {
				table.Bind(now, k, 1, 0)
				table.Complete(now, k, OutcomeServed)
			}
			if i == 1_500_000 {
				middle = heap()
			}
		}
		b.ReportMetric(float64(middle)/(1<<20), "MB-middle")
		b.ReportMetric(float64(heap())/(1<<20), "MB-end")
		b.ReportMetric(float64(table.Counts().Entries), "entries")
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
