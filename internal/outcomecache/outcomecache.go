// Package outcomecache remembers how requests ended, for a while and in bounded memory. It decides what is forgotten and
// when; it does no I/O and reads no clock.
package outcomecache

import "time"

// Table remembers a value for each id. It holds at most so many ids and each for as long as it was told to; when it is
// full the one that was put first goes, and Evicted counts it if its time was not over. It is not safe for concurrent
// use.
//
// Invariants: order holds the ids of entries in the order of their puts, each with the number of its put; an entry
// whose number differs was put again later. len(entries) <= most.
type Table[V any] struct {
	most    int
	number  uint64
	entries map[string]entry[V]
	order   []put // a queue; the first ones are dropped from its front
	evicted uint64
}

type entry[V any] struct {
	value  V
	until  time.Duration
	number uint64
}

type put struct {
	id     string
	number uint64
}

// New returns a table of at most so many ids, at least 1.
func New[V any](most int) *Table[V] {
	return &Table[V]{most: max(1, most), entries: map[string]entry[V]{}}
}

// Put remembers the value until that time. What was remembered under the id is replaced.
func (t *Table[V]) Put(now time.Duration, id string, value V, until time.Duration) {
	t.age(now)
	if _, known := t.entries[id]; !known && len(t.entries) >= t.most {
		t.evicted++
		t.dropFirst()
	}
	t.number++
	t.entries[id] = entry[V]{value, until, t.number}
	t.order = append(t.order, put{id, t.number})
	if len(t.order) > 2*t.most { // ids put again and again leave more stale puts than entries
		t.compact()
	}
}

// Get returns what is remembered of the id, if its time is not over.
func (t *Table[V]) Get(now time.Duration, id string) (value V, ok bool) {
	t.age(now)
	e, ok := t.entries[id]
	if !ok || now >= e.until {
		return value, false
	}
	return e.value, true
}

// Len counts the ids.
func (t *Table[V]) Len() int { return len(t.entries) }

// Evicted counts the ids that were forgotten before their time, because the table was full.
func (t *Table[V]) Evicted() uint64 { return t.evicted }

// age drops what is over from the front. An entry behind one that lasts longer waits for it, so that no put costs
// more than what it drops.
func (t *Table[V]) age(now time.Duration) {
	for len(t.order) > 0 {
		first := t.order[0]
		e, ok := t.entries[first.id]
		if ok && e.number == first.number {
			if now < e.until {
				return
			}
			delete(t.entries, first.id)
		}
		t.order = t.order[1:]
	}
}

// dropFirst forgets the id that was put first.
func (t *Table[V]) dropFirst() {
	for len(t.order) > 0 {
		first := t.order[0]
		t.order = t.order[1:]
		if e, ok := t.entries[first.id]; ok && e.number == first.number {
			delete(t.entries, first.id)
			return
		}
	}
}

// compact leaves only the puts that are in force.
func (t *Table[V]) compact() {
	kept := make([]put, 0, t.most)
	for _, p := range t.order {
		if e, ok := t.entries[p.id]; ok && e.number == p.number {
			kept = append(kept, p)
		}
	}
	t.order = kept
}
