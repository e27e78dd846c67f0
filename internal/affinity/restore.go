package affinity

import "time"

// Restore takes the records that other processes have stored, in the order in which they were written. It may be called again
// with later records, or with the same ones. A binding of unknown age counts as past its window, and is remembered for the whole
// late-retry period from now.
func (t *Table) Restore(now time.Duration, records []Record) {
	t.expire(now)
	for _, r := range records {
		e := t.entries[r.Key]
		switch r.Kind {
		case RecordBound:
			t.restoreBinding(now, r, e)
		case RecordUnbound:
			if e != nil && e.inFlight == 0 {
				t.remove(r.Key)
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

// restoreBinding takes a stored binding in, beside the present one of its key if there is any. Whether its attempt ran is not
// known, so it counts as one that may have.
func (t *Table) restoreBinding(now time.Duration, r Record, present *bindingState) {
	since := r.At
	if since == UnknownTime || since > now {
		since = now - t.options.DedupWindow
	}
	if now-since >= t.retention || present != nil && (present.inFlight > 0 || present.since >= since) {
		return
	}
	if present != nil { // the key was used again after its binding had expired
		t.remove(r.Key)
	}
	if !t.makeRoom(now) {
		t.rememberOverflow(now, r.Key)
		t.counts.Overflowed++
		return
	}
	t.counts.Restored++
	t.insert(r.Key, &bindingState{pod: r.Pod, zone: r.Zone, since: since, mayHaveRun: true})
}
