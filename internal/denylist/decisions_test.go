package denylist

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// decisionTrace records a run in which servers are listed, unlisted, denied and allowed, more of them than are remembered, and
// in which another process takes over.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(1000), golden.Random(seed)
	s, now := New(8), time.Hour
	record := func(err error) {
		tr.Add(now, err == nil, errors.Is(err, ErrUnknown), errors.Is(err, ErrFull))
		tr.CountIf(err == nil, "done")
		tr.CountIf(errors.Is(err, ErrUnknown), "unknown")
		tr.CountIf(errors.Is(err, ErrFull), "too many")
	}
	for step := range 6000 {
		now += rnd.Millis(0, 30)
		id := "s" + strconv.Itoa(rnd.Below(20+step/1000%3*20))
		switch rnd.Below(6) {
		case 0:
			started := time.Duration(0)
			if rnd.Chance(0.3) {
				started = now - rnd.Millis(0, 2000)
			}
			s.MarkListed(id, started)
		case 1:
			s.MarkUnlisted(id)
		case 2:
			record(s.Deny(now, id))
		case 3:
			record(s.Allow(now, id))
		case 4:
			start := s.EffectiveStart(id, now-rnd.Millis(0, 4000))
			tr.Add(s.IsDenied(id), start)
		case 5:
			tr.Add(s.DeniedIDs())
		}
		if step%200 == 199 {
			snapshot := s.Snapshot(func(d time.Duration) int64 { return int64(d) })
			tr.Add(snapshot.KnownIDs)
			for _, times := range []map[string]int64{snapshot.DeniedSince, snapshot.AllowedSince} {
				ids := []string{}
				for id := range times {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				for _, id := range ids {
					tr.Add(id, time.Duration(times[id]))
				}
			}
			tr.CountIf(len(snapshot.AllowedSince) > 0, "looks at those taken back")
			if step%1000 == 999 { // the list names what it did before; all ids find room, as the order in which more are forgotten is a map's
				next := New(100)
				next.Restore(snapshot, func(ms int64) time.Duration { return time.Duration(ms) })
				tr.Add(next.DeniedIDs())
				tr.Count("restored")
			}
		}
	}
	return tr
}

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/bans-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "done", "unknown", "too many", "looks at those taken back", "restored")
}
