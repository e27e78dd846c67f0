// Package affinity remembers to which pod a request with an idempotency key was sent first, so that a client's retry of it,
// which comes under another request id, goes to the same pod while that pod drops duplicates, and nowhere else while the
// first attempt may have run.
//
// # States of a key
//
// A key is unknown, bound, or remembered without its pod. Bind makes a binding when the first attempt is about to be sent;
// Renew counts it from when the last part of a long body is about to be sent, as nothing can run before; Unbind takes the attempt back where it certainly had no effect, and the binding goes with the last of them; Complete says
// how an attempt ended that may have run. A binding is sticky for Options.DedupWindow, during which the pod drops
// duplicates; for Options.LateRetryPeriod after that it is remembered so that a late retry is not taken for a new request;
// then it expires. A key that finds no room goes into the overflow filter, which remembers that something may have run but
// not where: Lookup returns it with PodUnknown, and the caller must not send it anywhere.
//
// # Who calls it, and what survives a crash
//
// The engine's goroutine owns the Table and calls it with the time of each event. The package decides only: it has no I/O
// and no clock, and nothing in it is safe for concurrent use. What must survive a crash comes out as a Record, which package
// bindinglog writes; Restore takes the records of earlier or concurrent processes in. The overflow filter isn't stored.
package affinity

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dchest/siphash"
)

// Key is an idempotency key's keyed hash (SipHash-2-4 with 128 bits; J.-P. Aumasson and D. J. Bernstein, 2012). The keys
// themselves are stored nowhere, and without the secret nobody can make two keys of one hash.
type Key [2]uint64

// Secret is what keys are hashed with. It belongs to an installation and is the same after a restart.
type Secret [16]byte

// Key hashes an idempotency key.
func (s Secret) Key(idempotencyKey string) Key {
	high, low := siphash.Hash128(binary.LittleEndian.Uint64(s[:8]), binary.LittleEndian.Uint64(s[8:]), []byte(idempotencyKey))
	return Key{high, low}
}

// bytes returns the key in little-endian order, as the overflow filter hashes it.
func (k Key) bytes() []byte {
	b := make([]byte, 16)
	binary.LittleEndian.PutUint64(b, k[0])
	binary.LittleEndian.PutUint64(b[8:], k[1])
	return b
}

// Options bound a Table.
type Options struct {
	MaxEntries      int           // bindings held at a time
	DedupWindow     time.Duration // for which pods drop duplicates; after it a retry would run again
	LateRetryPeriod time.Duration // for which a binding is remembered after that, so that a late retry is not taken for a new request
}

// Outcome is how the requests of a key ended, as far as it is known.
type Outcome uint8

// The outcomes. Their numbers are part of decision traces.
const (
	OutcomeUnknown Outcome = iota
	OutcomeServed
	OutcomeFailed
)

// Binding says where the first attempt of a key went.
type Binding struct {
	Pod, Zone  int           // numbers; -1 where PodUnknown
	Since      time.Duration // when the first attempt was sent that may have run, or the last part of its body
	PodUnknown bool          // something may have run, and nothing more is known
}

// bindingState is a binding with what is known of its attempts.
type bindingState struct {
	pod, zone  int32
	since      time.Duration
	inFlight   int32 // attempts
	mayHaveRun bool  // an attempt has ended that may have run
	outcome    Outcome
}

// queuedKey is a key's place in the order of expiry.
type queuedKey struct {
	key   Key
	since time.Duration
}

// Table remembers bindings, at most Options.MaxEntries of them. What finds no room is remembered by the overflow filter, of
// bounded size too, as something that may have run: a retry of it is not sent again. Only when that filter is full as well is
// safety lost, and counted (Counts.Unprotected).
type Table struct {
	options   Options
	retention time.Duration // for which a binding is remembered: the longest dedup window so far and the late-retry period

	// Invariants: queue holds each key of entries exactly once, under its present since, in the order of those times;
	// len(entries) <= options.MaxEntries.
	entries map[Key]*bindingState
	queue   []queuedKey // expired keys are dropped from its front

	overflow overflowFilter
	counts   Counts
}

// Counts are a Table's counters since it was made, and how many bindings it holds.
type Counts struct {
	Entries     int    // held at present
	Hits        uint64 // lookups of a key that may have run
	PodUnknown  uint64 // of those, lookups that could not say in which pod
	Overflowed  uint64 // keys that found no room, as every binding was within its window
	Evicted     uint64 // bindings that made room after their window
	Unprotected uint64 // keys that nothing remembers: the filter was full as well
	NotDurable  uint64 // bindings that a restart would forget
	Restored    uint64 // bindings read from the log
}

// New returns an empty table.
func New(o Options) *Table {
	retention := o.DedupWindow + o.LateRetryPeriod
	return &Table{options: o, retention: retention, entries: map[Key]*bindingState{}, overflow: newOverflowFilter(o.MaxEntries, retention)}
}

// SetDedupWindow replaces the time for which pods drop duplicates, as the platform's settings change, for the bindings that there are as
// well. After a shorter one bindings are remembered for as long as before: requests of the longer window may still be repeated.
func (t *Table) SetDedupWindow(window time.Duration) {
	t.options.DedupWindow = window
	t.retention = max(t.retention, window+t.options.LateRetryPeriod)
	t.overflow.extendRotationPeriod(t.retention)
}

// Retention returns for how long a binding is remembered.
func (t *Table) Retention() time.Duration { return t.retention }

// Lookup returns where a key went that may have run; false means that nothing of it is known to have run.
func (t *Table) Lookup(now time.Duration, k Key) (Binding, bool) {
	t.expire(now)
	if e := t.entries[k]; e != nil {
		t.counts.Hits++
		return Binding{Pod: int(e.pod), Zone: int(e.zone), Since: e.since}, true
	}
	if t.overflow.contains(now, k) {
		t.counts.Hits++
		t.counts.PodUnknown++
		return Binding{Pod: -1, Zone: -1, Since: now - t.options.DedupWindow, PodUnknown: true}, true
	}
	return Binding{}, false
}

// Bind notes an attempt that is about to be sent. The record is to be stored where true is returned: this attempt made a
// binding. Store it before the attempt is sent, or the process may crash in between and send a retry to another pod.
func (t *Table) Bind(now time.Duration, k Key, pod, zone int) (Record, bool) {
	t.expire(now)
	if e := t.entries[k]; e != nil {
		e.inFlight++
		return Record{}, false
	}
	if !t.makeRoom(now) {
		t.rememberOverflow(now, k)
		t.counts.Overflowed++
		return Record{}, false
	}
	t.insert(k, &bindingState{pod: int32(pod), zone: int32(zone), since: now, inFlight: 1})
	return Record{Kind: RecordBound, Key: k, At: now, Pod: int32(pod), Zone: int32(zone)}, true
}

// Renew says that the last part of an attempt's body is about to be sent, and reports whether it may be. An attempt that is alone with
// its key can have run from now on only, so that its binding counts from now; the record is to be stored (isRenewed) before that part is
// sent. Beside another attempt that may have run it may run only as long as the pod drops it as a duplicate.
func (t *Table) Renew(now time.Duration, k Key) (r Record, isRenewed, maySend bool) {
	e := t.entries[k]
	switch {
	case e == nil:
		t.rememberOverflow(now, k)
		return Record{}, false, true
	case e.mayHaveRun || e.inFlight > 1:
		return Record{}, false, now-e.since < t.options.DedupWindow
	}
	t.remove(k)
	e.since = now
	t.insert(k, e)
	return Record{Kind: RecordBound, Key: k, At: now, Pod: e.pod, Zone: e.zone}, true, true
}

// Unbind takes back an attempt that had no effect. Where none of the key's attempts had, the binding is gone, and the record is
// to be stored (true).
func (t *Table) Unbind(now time.Duration, k Key) (Record, bool) {
	e := t.entries[k]
	if e == nil {
		return Record{}, false // the key is in the overflow filter, which cannot take it back: that errs to the safe side
	}
	e.inFlight = max(0, e.inFlight-1)
	if e.inFlight > 0 || e.mayHaveRun {
		return Record{}, false
	}
	t.remove(k)
	return Record{Kind: RecordUnbound, Key: k, At: now}, true
}

// Complete notes how an attempt ended that may have run. The record is to be stored where true is returned. A served outcome
// stays, whatever another attempt comes to later.
func (t *Table) Complete(now time.Duration, k Key, o Outcome) (Record, bool) {
	e := t.entries[k]
	if e == nil {
		return Record{}, false
	}
	e.inFlight, e.mayHaveRun = max(0, e.inFlight-1), true
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

// CountNotDurable counts a binding that could not be stored.
func (t *Table) CountNotDurable() { t.counts.NotDurable++ }

// Counts returns the counters.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Entries, c.Unprotected = len(t.entries), t.overflow.rejectedKeys
	return c
}

// insert adds a binding. A restored one may be older than the newest: the queue stays in the order of times.
func (t *Table) insert(k Key, e *bindingState) {
	t.entries[k] = e
	t.queue = append(t.queue, queuedKey{k, e.since})
	for i := len(t.queue) - 1; i > 0 && t.queue[i].since < t.queue[i-1].since; i-- {
		t.queue[i], t.queue[i-1] = t.queue[i-1], t.queue[i]
	}
}

// remove drops a binding before it expires.
func (t *Table) remove(k Key) {
	delete(t.entries, k)
	t.queue = removeFromQueue(t.queue, k)
}

// removeFromQueue takes a key out. It searches from the end, as most bindings that are taken back are recent.
func removeFromQueue(queue []queuedKey, k Key) []queuedKey {
	for i := len(queue) - 1; i >= 0; i-- {
		if queue[i].key == k {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// expire drops the bindings whose window and late-retry period are over. A key with an attempt still in flight, which
// outlasted every deadline, goes to the end of the queue instead: dropped, its retry would be taken for a new request and run
// a second time beside it.
func (t *Table) expire(now time.Duration) {
	for len(t.queue) > 0 && now-t.queue[0].since >= t.retention {
		if e := t.entries[t.queue[0].key]; e != nil && e.inFlight > 0 {
			e.since = now - t.options.DedupWindow
			t.queue = append(t.queue[1:], queuedKey{t.queue[0].key, e.since})
			continue
		}
		delete(t.entries, t.queue[0].key)
		t.queue = t.queue[1:]
	}
}

// makeRoom makes room for one more binding and reports whether there is any: the oldest one is evicted if its window is over,
// and goes into the overflow filter. One within its window stays, as its retry could still be sent to the right pod.
func (t *Table) makeRoom(now time.Duration) bool {
	if len(t.entries) < t.options.MaxEntries {
		return true
	}
	oldest := t.queue[0]
	if now-oldest.since < t.options.DedupWindow || t.entries[oldest.key].inFlight > 0 {
		return false
	}
	delete(t.entries, oldest.key)
	t.queue = t.queue[1:]
	t.rememberOverflow(now, oldest.key)
	t.counts.Evicted++
	return true
}

func (t *Table) rememberOverflow(now time.Duration, k Key) { t.overflow.add(now, k) }

// UnknownTime is the time of a record of which nobody knows how long ago it was, as the machine has rebooted since.
const UnknownTime = time.Duration(math.MinInt64)
