package affinity

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// decisionTrace drives a table that is at times too small with keyed requests: they are bound, end, are taken back, and come again
// within the dedup window, in the late-retry period and after it. Another process restores its records now and then.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(1000), golden.Random(seed)
	secret := Secret{1, 2, byte(seed)}
	o := Options{MaxEntries: 60, DedupWindow: 2 * time.Second, LateRetryPeriod: 3 * time.Second}
	table := New(o)
	now := time.Hour
	var kept []Record
	keep := func(r Record, ok bool) {
		tr.Add(now, ok)
		if !ok {
			return
		}
		kept = append(kept, r)
		tr.Add(int(r.Kind), r.Key[0], r.Key[1], r.At, int(r.Pod), int(r.Zone))
		written := r.Append(nil, func(d time.Duration) int64 { return int64(d) })
		tr.Add(string(written))
		read, err := DecodeRecord(written, func(stamp int64) time.Duration { return time.Duration(stamp) })
		tr.Add(read == r, err == nil)
		written[rnd.Below(len(written))] ^= 1 << rnd.Below(8)
		_, err = DecodeRecord(written, func(stamp int64) time.Duration { return time.Duration(stamp) })
		tr.Add(err == nil)
		tr.CountIf(err != nil, "damaged records")
		tr.Count("records of kind " + strconv.Itoa(int(r.Kind)))
	}
	var out []Key
	for step := range 8000 {
		now += rnd.Millis(0, 20)
		if step/1000%3 == 2 {
			now += rnd.Millis(0, 150)
		}
		if step == 4000 {
			now += time.Minute // in which nothing comes
		}
		k := secret.Key("key" + strconv.Itoa(rnd.Below(40+step/1000%4*200)))
		switch rnd.Below(8) {
		case 0, 1, 2:
			binding, ok := table.Lookup(now, k)
			tr.Add(now, ok, binding.Pod, binding.Zone, binding.Since, binding.PodUnknown)
			tr.CountIf(ok && !binding.PodUnknown, "ties")
			tr.CountIf(binding.PodUnknown, "ties of which the pod is lost")
			tr.CountIf(!ok, "no tie")
			if !binding.PodUnknown {
				keep(table.Bind(now, k, rnd.Below(12), rnd.Below(3)))
				out = append(out, k)
			}
		case 3, 4, 5:
			if len(out) == 0 {
				continue
			}
			i := rnd.Below(len(out))
			if rnd.Chance(0.2) {
				keep(table.Unbind(now, out[i]))
			} else {
				keep(table.Complete(now, out[i], Outcome(rnd.Below(3))))
			}
			out = append(out[:i], out[i+1:]...)
		case 6:
			if rnd.Chance(0.1) {
				keep(table.Unbind(now, k))
				keep(table.Complete(now, k, OutcomeServed))
				table.CountNotDurable()
			}
		case 7:
			if rnd.Chance(0.02) { // another process goes on with what was kept
				table = New(o)
				last := kept[max(0, len(kept)-150):]
				if len(last) > 0 && rnd.Chance(0.5) {
					last[0].At = UnknownTime
				}
				table.Restore(now, last[:len(last)/2])
				table.Restore(now, last)
				tr.Count("restored")
				out = nil
			}
		}
		if len(out) > 30 && step%2000 < 1900 {
			out = out[1:] // its end is never heard of
		}
		if step%20 == 0 {
			c := table.Counts()
			tr.Add(c.Entries, c.Hits, c.PodUnknown, c.Overflowed, c.Evicted, c.Unprotected, c.NotDurable, c.Restored)
			tr.CountIf(c.Overflowed > 0, "looks after no room")
			tr.CountIf(c.Evicted > 0, "looks after one made room")
			tr.CountIf(c.Restored > 0, "looks after ties were restored")
		}
	}
	for range 4 * 60 * 16 { // more than all can hold
		now += time.Microsecond
		keep(table.Bind(now, secret.Key("flood"+strconv.Itoa(int(now))), 1, 1))
	}
	c := table.Counts()
	tr.Add(c.Entries, c.Overflowed, c.Unprotected)
	tr.CountIf(c.Unprotected > 0, "keys that nothing remembers")
	return tr
}

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/affinity-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "records of kind 1", "records of kind 2", "records of kind 3", "records of kind 4", "ties", "ties of which the pod is lost",
		"no tie", "damaged records", "restored", "looks after no room", "looks after one made room", "looks after ties were restored", "keys that nothing remembers")
}
