package membership

import (
	"maps"
	"slices"
	"time"
)

// isUsable reports whether a source may be active.
func (t *Table) isUsable(now time.Duration, s *sourceState) bool {
	return s.hasFullList && (!s.isDisconnected || now < s.since+t.options.FailoverDelay)
}

// selectSource settles which source is active, and marks the members of both where that changes.
func (t *Table) selectSource(now time.Duration) {
	next := t.active
	for i, s := range t.sources {
		if i == t.active && t.isUsable(now, s) {
			break // no preferred one may take over, and it is still usable
		}
		isSteady := !s.isDisconnected && now >= s.since+t.options.FailbackDelay
		if s.hasFullList && !s.isDisconnected && (t.active == noSource || isSteady || !t.isUsable(now, t.sources[t.active])) {
			next = i
			break
		}
	}
	if next == t.active {
		return
	}
	previous := t.active
	t.active = next
	if previous != noSource {
		t.markAll(t.sources[previous])
	}
	t.markAll(t.sources[next])
}

func (t *Table) markAll(s *sourceState) {
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		t.mark(id)
	}
}

// NextTimer returns when Tick is to be called next; false where nothing depends on the time.
func (t *Table) NextTimer() (at time.Duration, ok bool) {
	consider := func(when time.Duration) {
		if !ok || when < at {
			at, ok = when, true
		}
	}
	for i, s := range t.sources {
		if s.emptyListUntil > 0 {
			consider(s.emptyListUntil)
		}
		if i == t.active && s.isDisconnected && slices.ContainsFunc(t.sources, func(s *sourceState) bool { return s.hasFullList && !s.isDisconnected }) {
			consider(s.since + t.options.FailoverDelay)
		}
		if i < t.active && s.hasFullList && !s.isDisconnected {
			consider(s.since + t.options.FailbackDelay)
		}
	}
	return at, ok
}
