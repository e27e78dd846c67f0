// Package affinity remembers which pod a keyed request was sent to first, so that a repeat of it, which clients make under
// another id, goes to the same pod while that drops repeats, and nowhere else while it may have run. It decides and does no
// I/O, reads no clock and is not safe for concurrent use; package tielog keeps it over a restart.
package affinity

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/dchest/siphash"
)

// Key is a repeat key's keyed hash (SipHash-2-4 with 128 bits; J.-P. Aumasson and D. J. Bernstein, 2012): the keys themselves
// are kept nowhere, and whoever doesn't know the secret can't make two of one hash.
type Key [2]uint64

// Secret is what keys are hashed with. It is an installation's, and the same after a restart.
type Secret [16]byte

// Key hashes a repeat key.
func (s Secret) Key(repeatKey string) Key {
	a, b := siphash.Hash128(binary.LittleEndian.Uint64(s[:8]), binary.LittleEndian.Uint64(s[8:]), []byte(repeatKey))
	return Key{a, b}
}

// Options bound a Table.
type Options struct {
	MaxEntries      int           // entries
	DedupWindow     time.Duration // for which pods drop repeats; after it a repeat runs again
	LateRetryPeriod time.Duration // for which it is remembered after that, so that a late repeat is not taken for a new request
}

// Outcome is how the requests of a key ended, as far as it is known.
type Outcome uint8

// The outcomes.
const (
	OutcomeUnknown Outcome = iota
	OutcomeServed
	OutcomeFailed
)

// Binding is where a key has gone.
type Binding struct {
	Pod, Zone  int
	Since      time.Duration // when the first attempt was sent that may have run
	PodUnknown bool          // that something may have run is all that is known
}

// entry is a tie with what is known of its attempts.
type entry struct {
	pod, zone int32
	since     time.Duration
	out       int32 // attempts under way
	ran       bool  // one has ended that may have run
	outcome   Outcome
}

// Table remembers ties. It holds at most Most of them, and what finds no room is remembered by a filter, of bounded size as
// well, as something that may have run: a repeat of it is not sent again. Only when that is full as well is safety lost, and
// counted (Counts.Unprotected).
//
// Invariants: queue holds each key of entries once under its present since, in the order of times; len(entries) <= Most.
type Table struct {
	options Options
	entries map[Key]*entry
	queue   []begun // the first ones are dropped from its front
	lost    filter
	counts  Counts
}

type begun struct {
	key   Key
	since time.Duration
}

// Counts are a Table's figures since it was made.
type Counts struct {
	Entries     int    // at present
	Hits        uint64 // requests whose key was known, and may have run
	PodUnknown  uint64 // of those, where the pod is not known any more
	Overflowed  uint64 // keys that found no room within their window
	Evicted     uint64 // ties that made room, after their window
	Unprotected uint64 // keys that nothing remembers
	NotDurable  uint64 // ties that a restart would forget
	Restored    uint64 // ties that another process has told of
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, entries: map[Key]*entry{}, lost: newFilter(o.MaxEntries, o.DedupWindow+o.LateRetryPeriod)}
}

// Lookup says where a key that may have run has gone. Without a tie nothing of it is known to have run.
func (t *Table) Lookup(now time.Duration, k Key) (Binding, bool) {
	t.age(now)
	if e := t.entries[k]; e != nil {
		t.counts.Hits++
		return Binding{Pod: int(e.pod), Zone: int(e.zone), Since: e.since}, true
	}
	if t.lost.has(now, k) {
		t.counts.Hits++
		t.counts.PodUnknown++
		return Binding{Pod: -1, Zone: -1, Since: now - t.options.DedupWindow, PodUnknown: true}, true
	}
	return Binding{}, false
}

// Bind notes an attempt that is about to be sent. It returns what is to be kept, if this makes a tie.
func (t *Table) Bind(now time.Duration, k Key, pod, zone int) (Record, bool) {
	t.age(now)
	if e := t.entries[k]; e != nil {
		e.out++
		return Record{}, false
	}
	if !t.room(now) {
		t.forget(now, k)
		t.counts.Overflowed++
		return Record{}, false
	}
	t.put(k, &entry{pod: int32(pod), zone: int32(zone), since: now, out: 1})
	return Record{Kind: RecordBound, Key: k, At: now, Pod: int32(pod), Zone: int32(zone)}, true
}

// put adds an entry. One that another process has told of may be older than the last: the queue stays in order.
func (t *Table) put(k Key, e *entry) {
	t.entries[k] = e
	t.queue = append(t.queue, begun{k, e.since})
	for i := len(t.queue) - 1; i > 0 && t.queue[i].since < t.queue[i-1].since; i-- {
		t.queue[i], t.queue[i-1] = t.queue[i-1], t.queue[i]
	}
}

// Unbind takes back an attempt that had no effect. Where none has, the tie is gone; what is returned is to be kept then.
func (t *Table) Unbind(now time.Duration, k Key) (Record, bool) {
	e := t.entries[k]
	if e == nil {
		return Record{}, false // of one that found no room: the filter can't take it back, which errs to the safe side
	}
	e.out = max(0, e.out-1)
	if e.out > 0 || e.ran {
		return Record{}, false
	}
	delete(t.entries, k)
	t.queue = dequeue(t.queue, k)
	return Record{Kind: RecordUnbound, Key: k, At: now}, true
}

// dequeue takes a key out, from the end: what is taken back was begun lately.
func dequeue(queue []begun, k Key) []begun {
	for i := len(queue) - 1; i >= 0; i-- {
		if queue[i].key == k {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// Complete notes how an attempt ended that may have run. What is returned is to be kept.
func (t *Table) Complete(now time.Duration, k Key, o Outcome) (Record, bool) {
	e := t.entries[k]
	if e == nil {
		return Record{}, false
	}
	e.out, e.ran = max(0, e.out-1), true
	if o == OutcomeUnknown || e.outcome == OutcomeServed {
		return Record{}, false
	}
	e.outcome = o
	kind := RecordFailed
	if o == OutcomeServed {
		kind = RecordServed
	}
	return Record{Kind: kind, Key: k, At: now}, true
}

// UnknownTime is the time of a record of which nobody knows how long ago it was, as the machine has started anew since.
const UnknownTime = time.Duration(math.MinInt64)

// Restore takes what another process has kept, in its order. A tie of which is not known how old it is counts as over its
// window, and is remembered for the whole tail from now.
func (t *Table) Restore(now time.Duration, records []Record) {
	t.age(now)
	for _, r := range records {
		e := t.entries[r.Key]
		switch r.Kind {
		case RecordBound:
			since := r.At
			if since == UnknownTime || since > now {
				since = now - t.options.DedupWindow
			}
			if now-since >= t.options.DedupWindow+t.options.LateRetryPeriod || e != nil && (e.out > 0 || e.since >= since) {
				continue
			}
			if e != nil { // the key was used again, after its tie had ended
				delete(t.entries, r.Key)
				t.queue = dequeue(t.queue, r.Key)
			}
			if !t.room(now) {
				t.forget(now, r.Key)
				t.counts.Overflowed++
				continue
			}
			t.counts.Restored++
			t.put(r.Key, &entry{pod: r.Pod, zone: r.Zone, since: since, ran: true}) // whether it did is not known
		case RecordUnbound:
			if e != nil && e.out == 0 {
				delete(t.entries, r.Key)
				t.queue = dequeue(t.queue, r.Key)
			}
		case RecordServed:
			if e != nil {
				e.outcome = OutcomeServed
			}
		case RecordFailed:
			if e != nil && e.outcome == OutcomeUnknown {
				e.outcome = OutcomeFailed
			}
		}
	}
}

// NotDurable counts a tie that could not be kept.
func (t *Table) CountNotDurable() { t.counts.NotDurable++ }

// Counts are the figures.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Entries, c.Unprotected = len(t.entries), t.lost.full
	return c
}

// age forgets what is over its tail.
func (t *Table) age(now time.Duration) {
	for len(t.queue) > 0 && now-t.queue[0].since >= t.options.DedupWindow+t.options.LateRetryPeriod {
		if e := t.entries[t.queue[0].key]; e != nil && e.out > 0 { // it is under way longer than any deadline: it goes to the end
			e.since = now - t.options.DedupWindow
			t.queue = append(t.queue[1:], begun{t.queue[0].key, e.since})
			continue
		}
		delete(t.entries, t.queue[0].key)
		t.queue = t.queue[1:]
	}
}

// room makes room for one more: of what is over its window the oldest goes, and is remembered by the filter.
func (t *Table) room(now time.Duration) bool {
	if len(t.entries) < t.options.MaxEntries {
		return true
	}
	first := t.queue[0]
	if now-first.since < t.options.DedupWindow || t.entries[first.key].out > 0 {
		return false
	}
	delete(t.entries, first.key)
	t.queue = t.queue[1:]
	t.forget(now, first.key)
	t.counts.Evicted++
	return true
}

func (t *Table) forget(now time.Duration, k Key) { t.lost.add(now, k) }

// filter remembers keys for one to two of its turns, with few false hits, in bounded memory: two Bloom filters that take
// turns. It takes no more than it is made for.
type filter struct {
	now, before *bloom.BloomFilter
	held        int
	most        int
	turn, next  time.Duration
	full        uint64 // keys that found no room
}

const (
	falseHits  = 0.001 // of the filters, when they are full
	filterMost = 16    // keys for each of the table's: 1.8 bytes each, where an entry has about a hundred
)

func newFilter(most int, turn time.Duration) filter {
	most *= filterMost
	return filter{most: most, turn: turn, now: bloom.NewWithEstimates(uint(most), falseHits), before: bloom.NewWithEstimates(uint(most), falseHits)}
}

func (f *filter) pass(now time.Duration) {
	if f.next == 0 {
		f.next = now + f.turn
	}
	for turns := 0; now >= f.next; f.next += f.turn {
		if turns++; turns > 2 {
			f.next = now + f.turn
			return
		}
		f.now, f.before, f.held = f.before.ClearAll(), f.now, 0
	}
}

func (f *filter) add(now time.Duration, k Key) {
	f.pass(now)
	if f.held == f.most {
		f.full++
		return
	}
	f.held++
	f.now.Add(k.bytes())
}

func (f *filter) has(now time.Duration, k Key) bool {
	f.pass(now)
	b := k.bytes()
	return f.now.Test(b) || f.before.Test(b)
}

func (k Key) bytes() []byte {
	b := make([]byte, 16)
	binary.LittleEndian.PutUint64(b, k[0])
	binary.LittleEndian.PutUint64(b[8:], k[1])
	return b
}
