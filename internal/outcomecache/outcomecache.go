// Package outcomecache remembers how requests ended, for a while and in bounded memory. It decides what is forgotten and
// when; it does no I/O and reads no clock: each call says what time it is.
package outcomecache

import "time"

// Table remembers a value for each id, each until a stated time. It holds at most its capacity of ids: when it is full, the one
// that was put longest ago is evicted. It is not safe for concurrent use.
//
// Invariants: insertions holds the ids of entries in the order in which they were put, each with the sequence number of its
// put; an insertion whose sequence differs from its entry's is stale, as the id was put again later. len(entries) <= capacity.
type Table[V any] struct {
	capacity   int
	sequence   uint64 // of the latest put
	entries    map[string]entry[V]
	insertions []insertion // a queue, oldest first
	evicted    uint64
}

type entry[V any] struct {
	value    V
	expires  time.Duration
	sequence uint64
}

type insertion struct {
	id       string
	sequence uint64
}

// New returns a table for at most capacity ids, at least 1.
func New[V any](capacity int) *Table[V] {
	return &Table[V]{capacity: max(1, capacity), entries: map[string]entry[V]{}}
}

// Put remembers the value until it expires, in the place of what was remembered under the id.
func (t *Table[V]) Put(now time.Duration, id string, value V, expires time.Duration) {
	t.dropExpired(now)
	if _, known := t.entries[id]; !known && len(t.entries) >= t.capacity {
		t.evicted++
		t.evictOldest()
	}
	t.sequence++
	t.entries[id] = entry[V]{value, expires, t.sequence}
	t.insertions = append(t.insertions, insertion{id, t.sequence})
	if len(t.insertions) > 2*t.capacity { // ids that are put again and again leave more stale insertions than entries
		t.dropStale()
	}
}

// Get returns what is remembered of the id, if it has not expired.
func (t *Table[V]) Get(now time.Duration, id string) (value V, ok bool) {
	t.dropExpired(now)
	e, ok := t.entries[id]
	if !ok || now >= e.expires {
		return value, false
	}
	return e.value, true
}

// Len returns the number of ids that are held.
func (t *Table[V]) Len() int { return len(t.entries) }

// Evicted counts the ids that were forgotten before they expired, because the table was full.
func (t *Table[V]) Evicted() uint64 { return t.evicted }

// dropExpired drops expired entries from the front of the queue. An entry behind one that expires later stays until that is
// gone, so that a call costs no more than what it drops.
func (t *Table[V]) dropExpired(now time.Duration) {
	for len(t.insertions) > 0 {
		oldest := t.insertions[0]
		if e, ok := t.entries[oldest.id]; ok && e.sequence == oldest.sequence {
			if now < e.expires {
				return
			}
			delete(t.entries, oldest.id)
		}
		t.insertions = t.insertions[1:]
	}
}

// evictOldest forgets the id that was put longest ago.
func (t *Table[V]) evictOldest() {
	for len(t.insertions) > 0 {
		oldest := t.insertions[0]
		t.insertions = t.insertions[1:]
		if e, ok := t.entries[oldest.id]; ok && e.sequence == oldest.sequence {
			delete(t.entries, oldest.id)
			return
		}
	}
}

// dropStale leaves only the insertions of present entries.
func (t *Table[V]) dropStale() {
	current := make([]insertion, 0, t.capacity)
	for _, p := range t.insertions {
		if e, ok := t.entries[p.id]; ok && e.sequence == p.sequence {
			current = append(current, p)
		}
	}
	t.insertions = current
}
