package coalesce

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// decisionTrace is callers that ask the same at the same time, of three classes and four tenants, with flights that are served, private,
// refused, failed, late or never ended, and callers that leave.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(1000), golden.Random(seed)
	classes := []Class{{Coalesces: true, LatencyObjective: 300e6, Deadline: time.Second}, {LatencyObjective: 300e6, Deadline: time.Second}, {Coalesces: true, LatencyObjective: 100e6, Deadline: 500e6}}
	t := New[int](Options{Classes: classes, MaxGroups: 20, MaxFollowers: 9, PauseAfterPrivate: 100 * time.Millisecond})
	type flight struct {
		f   *Flight[int]
		at  time.Duration
		end Outcome
	}
	var flights []flight
	var members []*Member[int]
	now, id := time.Hour, 0
	start := func(m *Member[int], slow int) {
		f := m.Flight()
		f.Payload = m.Owner
		x := flight{f: f, at: now + rnd.Millis(20, 90)*time.Duration(slow), end: OutcomeServed}
		switch y := rnd.Below(100); {
		case y < 3:
			x.end = OutcomePrivate
		case y < 8:
			x.end, x.at = OutcomeRejected, now+rnd.Millis(1, 5)
		case y < 16:
			x.end = OutcomeFailed
		case y < 24:
			x.at = now + rnd.Millis(300, 1500)
		case y < 26:
			x.at = now + time.Hour // it has no end
		}
		if x.at > f.Deadline {
			x.at, x.end = f.Deadline, OutcomeFailed
		}
		flights = append(flights, x)
	}
	changed := func(c Changes[int], slow int) {
		for i, list := range [][]*Member[int]{c.Answered, c.Expired, c.NewLeaders} {
			for _, m := range list {
				tr.Add(now, i, m.Owner, m.Flight() != nil)
				tr.Count([]string{"answered", "expired", "lead later"}[i])
				if i == 2 {
					tr.Add(m.Flight().Deadline)
					start(m, slow)
				}
			}
		}
		for _, f := range c.Abandoned {
			tr.Add(now, 3, f.Payload, f.Deadline)
			tr.Count("flights dropped")
		}
	}
	for step := range 12000 {
		now += rnd.Millis(0, 4)
		slow := 1
		if step/2000%2 == 1 {
			slow = 4
		}
		for at, ok := t.NextTimer(); ok && at <= now; at, ok = t.NextTimer() {
			changed(t.HandleTimers(now), slow)
		}
		ended := []flight{}
		rest := flights[:0:0]
		for _, x := range flights {
			if x.at <= now {
				ended = append(ended, x)
			} else {
				rest = append(rest, x)
			}
		}
		flights = rest
		for _, x := range ended {
			changed(t.Complete(now, x.f, x.end), slow)
			tr.Count("ends of kind " + strconv.Itoa(int(x.end)))
		}
		for range rnd.Below(3 + step/3000%2*5) {
			id++
			a := Request[int]{Owner: id, Class: rnd.Below(4) - rnd.Below(2), Tenant: min(rnd.Below(4), rnd.Below(4)), Deadline: now + rnd.Millis(0, 700)}
			what := rnd.Below(12)
			if step/1000%4 == 3 {
				what = rnd.Below(400) // so many that groups find no room
			}
			a.Digest = Digest{byte(what), byte(what >> 8)}
			m, verdict := t.Arrive(now, a)
			tr.Add(now, id, int(verdict), m == nil)
			tr.Count("verdict " + strconv.Itoa(int(verdict)))
			if m != nil {
				members = append(members, m)
			}
			if verdict == Leader {
				tr.Add(m.Flight().Deadline)
				start(m, slow)
			}
		}
		if len(members) > 40 {
			members = members[20:]
		}
		if len(members) > 0 && rnd.Chance(0.05) {
			m := members[rnd.Below(len(members))]
			tr.Count("leaves")
			changed(t.Leave(now, m), slow)
		}
		switch step {
		case 7000:
			classes = []Class{{Coalesces: true, LatencyObjective: 200e6, Deadline: time.Second}, {Coalesces: true, LatencyObjective: 300e6, Deadline: time.Second}, {LatencyObjective: 100e6, Deadline: 500e6}}
			t.Retune(classes)
		case 9000:
			t.Retune(append(classes, Class{Coalesces: true, LatencyObjective: 300e6, Deadline: time.Second}))
		}
		if step%20 == 0 {
			c := t.Counts()
			at, ok := t.NextTimer()
			tr.Add(now, at, ok, c.Flights, c.Followers, c.NotCoalesced, c.LateFlights, c.NextFlights, c.Private, c.Shared, c.Waiting, c.Groups)
			tr.CountIf(c.LateFlights > 0, "looks after one has parted")
			tr.CountIf(c.NextFlights > 0, "looks after one has led again")
			tr.CountIf(c.Private > 0, "looks after a private answer")
			tr.CountIf(c.Shared > 0, "looks after a shared answer")
			tr.CountIf(c.Groups >= 15, "looks at many groups")
			tr.CountIf(c.Waiting >= 6, "looks at many that wait")
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
		golden.Equal(t, fmt.Sprint("decisions/join-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "answered", "expired", "lead later", "flights dropped", "leaves", "verdict 0", "verdict 1", "verdict 2",
		"ends of kind 0", "ends of kind 1", "ends of kind 2", "ends of kind 3", "looks after one has parted", "looks after one has led again",
		"looks after a private answer", "looks after a shared answer", "looks at many groups", "looks at many that wait")
}
