package coalesce

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// tableModel drives a Table and checks its invariants after each step. All tests here share it.
type tableModel struct {
	t        testing.TB
	table    *Table[int]
	now      time.Duration
	members  map[int]*Member[int] // by number, in a group
	flights  []*Flight[int]       // that are out
	outcomes map[int]string       // how a member ended
	last     int
}

func newTableModel(t testing.TB, o Options) *tableModel {
	if o.Classes == nil {
		o.Classes = []Class{{Coalesces: true, LatencyObjective: 600 * ms, Deadline: 2 * time.Second}, {LatencyObjective: 600 * ms, Deadline: 2 * time.Second}}
	}
	if o.MaxGroups == 0 {
		o.MaxGroups = 100
	}
	if o.MaxFollowers == 0 {
		o.MaxFollowers = 100
	}
	return &tableModel{t: t, table: New[int](o), now: time.Second, members: map[int]*Member[int]{}, outcomes: map[int]string{}}
}

// arrive brings a request and returns its number.
func (d *tableModel) arrive(what byte, tenant int, patience time.Duration) (int, Role) {
	d.t.Helper()
	d.last++
	m, role := d.table.Arrive(d.now, Request[int]{Owner: d.last, Digest: Digest{what}, Tenant: tenant, Deadline: d.now + patience})
	if (m == nil) != (role == NotCoalesced) {
		d.t.Fatalf("role %d with member %v", role, m)
	}
	if m != nil {
		d.members[d.last] = m
	}
	if role == Leader {
		d.flights = append(d.flights, m.Flight())
	}
	d.check()
	return d.last, role
}

// end ends a flight and records the changes.
func (d *tableModel) end(f *Flight[int], e Outcome) Changes[int] {
	d.t.Helper()
	return d.applyChanges(d.table.Complete(d.now, f, e), f, fmt.Sprint("ended ", e))
}

// leave takes a member out whose caller waits no more.
func (d *tableModel) leave(n int) {
	d.t.Helper()
	m := d.members[n]
	delete(d.members, n)
	d.outcomes[n] = "left"
	d.applyChanges(d.table.Leave(d.now, m), nil, "")
}

// advance lets the time pass, and calls HandleTimers whenever the table asks for it.
func (d *tableModel) advance(by time.Duration) (all Changes[int]) {
	d.t.Helper()
	for until := d.now + by; ; {
		at, ok := d.table.NextTimer()
		if !ok || at > until {
			d.now = until
			return all
		}
		d.now = at
		c := d.applyChanges(d.table.HandleTimers(d.now), nil, "")
		all.NewLeaders, all.Expired, all.Abandoned = append(all.NewLeaders, c.NewLeaders...), append(all.Expired, c.Expired...), append(all.Abandoned, c.Abandoned...)
	}
}

// applyChanges records what became of members and flights.
func (d *tableModel) applyChanges(c Changes[int], ended *Flight[int], how string) Changes[int] {
	d.t.Helper()
	d.flights = slices.DeleteFunc(d.flights, func(f *Flight[int]) bool { return f == ended || slices.Contains(c.Abandoned, f) })
	for _, m := range c.Answered {
		d.endMember(m, how)
	}
	for _, m := range c.Expired {
		if d.now < m.deadline {
			d.t.Fatalf("member %d has expired %v before its deadline", m.Owner, m.deadline-d.now)
		}
		d.endMember(m, "expired")
	}
	for _, m := range c.NewLeaders {
		d.flights = append(d.flights, m.Flight())
	}
	d.check()
	return c
}

// endMember records the one end of a member.
func (d *tableModel) endMember(m *Member[int], how string) {
	d.t.Helper()
	if d.members[m.Owner] != m {
		d.t.Fatalf("member %d has %q, after %q", m.Owner, how, d.outcomes[m.Owner])
	}
	delete(d.members, m.Owner)
	d.outcomes[m.Owner] = how
}

// check checks the invariants of Table.
func (d *tableModel) check() {
	d.t.Helper()
	members, waiting, flights, byTenant := 0, 0, 0, map[int]int{}
	for what, g := range d.table.groups {
		if len(g.members) == 0 || len(g.flights) == 0 || g.digest != what {
			d.t.Fatalf("group %v has %d members and %d flights", what, len(g.members), len(g.flights))
		}
		members, flights = members+len(g.members), flights+len(g.flights)
		for _, m := range g.members {
			if m.group != g || m.timerIndex < 0 || d.table.timers[m.timerIndex] != m || m.wakeAt > m.deadline || d.members[m.Owner] != m {
				d.t.Fatalf("member %+v is out of order", m)
			}
			if m.flight == nil {
				waiting++
				byTenant[m.tenant]++
			} else if m.flight.isOver || m.flight.leader != m {
				d.t.Fatalf("member %d leads %+v", m.Owner, m.flight)
			}
		}
	}
	c := d.table.Counts()
	if members != len(d.members) || flights != len(d.flights) || members != len(d.table.timers) {
		d.t.Fatalf("%d members of %d, %d flights of %d, %d alarms", members, len(d.members), flights, len(d.flights), len(d.table.timers))
	}
	if waiting != c.Waiting || waiting > d.table.options.MaxFollowers || len(d.table.groups) > d.table.options.MaxGroups || c.Groups != len(d.table.groups) {
		d.t.Fatalf("%d wait, counted %+v", waiting, c)
	}
	if fmt.Sprint(byTenant) != fmt.Sprint(d.table.followerQuota.byTenant) {
		d.t.Fatalf("tenants wait as %v, counted %v", byTenant, d.table.followerQuota.byTenant)
	}
}

// recordFlightTimes lets the table know how long flights take.
func (d *tableModel) recordFlightTimes(took ...time.Duration) {
	for range 4 {
		for _, each := range took {
			d.arrive(255, 9, 2*time.Second)
			f := d.flights[len(d.flights)-1]
			d.advance(each)
			d.end(f, OutcomeServed)
		}
	}
}

// timesAround are times as a quiet fleet has them.
func timesAround(mid time.Duration) (all []time.Duration) {
	for i := range 25 {
		all = append(all, mid+time.Duration(i-12)*mid/50)
	}
	return all
}

// Requests arrive, leave, expire and are answered in any order. Each member has one end, by its deadline; a group always has a flight; and
// nothing is left when all have gone. The table's invariants are checked after each step.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newTableModel(t, Options{MaxGroups: rapid.IntRange(1, 6).Draw(rt, "groups"), MaxFollowers: rapid.IntRange(1, 12).Draw(rt, "waiting"),
			PauseAfterPrivate: 50 * ms})
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "which") }
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				patience := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "patience")) * ms
				d.arrive(byte(pick(8)), pick(3), patience)
			},
			"end": func(rt *rapid.T) {
				if len(d.flights) > 0 {
					d.end(d.flights[pick(len(d.flights))], Outcome(pick(4)))
				}
			},
			"leave": func(rt *rapid.T) {
				if at := d.last - pick(20); d.members[at] != nil {
					d.leave(at)
				}
			},
			"pass": func(rt *rapid.T) { d.advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "time")) * ms) },
		})
		d.advance(3 * time.Second)
		if c := d.table.Counts(); len(d.members)+len(d.flights)+c.Groups+c.Waiting+d.table.groupQuota.total+len(d.table.groupQuota.byTenant) > 0 {
			t.Fatalf("left at the end: %d members, %d flights, %+v", len(d.members), len(d.flights), c)
		}
	})
}

// Six callers send equal requests, and one another. One flight answers the six; the other one has its own.
func TestOneFlightAnswersAllEqualRequests(t *testing.T) {
	d := newTableModel(t, Options{})
	d.arrive(1, 0, 2*time.Second)
	for tenant := range 5 {
		if _, role := d.arrive(1, tenant, 2*time.Second); role != Follower {
			t.Fatalf("role %d", role)
		}
	}
	d.arrive(2, 0, 2*time.Second)
	if c := d.end(d.flights[0], OutcomeServed); len(c.Answered) != 6 || len(d.flights) != 1 {
		t.Errorf("%d answered, %d flights out", len(c.Answered), len(d.flights))
	}
	if c := d.table.Counts(); c.Flights != 2 || c.Followers != 5 || c.Shared != 5 {
		t.Errorf("%+v", c)
	}
}

// A request comes of a class that does not coalesce, as of those that must not run twice, or of no class. It is no member.
func TestOtherClassesAreNotCoalesced(t *testing.T) {
	d := newTableModel(t, Options{})
	for _, class := range []int{-1, 1, 2} {
		if m, v := d.table.Arrive(d.now, Request[int]{Class: class, Deadline: d.now + time.Second}); m != nil || v != NotCoalesced {
			t.Errorf("class %d: %d", class, v)
		}
	}
}

// Eight callers wait, and flight after flight is rejected, fails or is answered privately. Each error reaches its leader alone. After a
// rejection one other leads, after a round of failures twice as many, after a private answer all at once.
func TestErrorsReachTheirLeaderAlone(t *testing.T) {
	for end, rounds := range map[Outcome][]int{OutcomeRejected: {1, 1, 1, 1, 1, 1, 1, 1}, OutcomeFailed: {1, 2, 4, 1}, OutcomePrivate: {1, 7}} {
		d := newTableModel(t, Options{})
		for range 8 {
			d.arrive(1, 0, 2*time.Second)
		}
		for round, out := range rounds {
			if len(d.flights) != out {
				t.Fatalf("end %d, round %d: %d flights out, want %d", end, round, len(d.flights), out)
			}
			for _, f := range slices.Clone(d.flights) {
				if c := d.end(f, end); len(c.Answered) != 1 {
					t.Fatalf("end %d: the error of one flight is that of %d callers", end, len(c.Answered))
				}
			}
		}
		if len(d.members)+len(d.flights) > 0 {
			t.Errorf("end %d: %d members and %d flights left", end, len(d.members), len(d.flights))
		}
	}
}

// A flight is rejected, perhaps as its tenant is over its quota. A member of another tenant leads the next one.
func TestRejectedTenantDoesNotLeadNext(t *testing.T) {
	d := newTableModel(t, Options{})
	for _, tenant := range []int{1, 1, 1, 2} {
		d.arrive(1, tenant, 2*time.Second)
	}
	if c := d.end(d.flights[0], OutcomeRejected); len(c.NewLeaders) != 1 || c.NewLeaders[0].tenant != 2 {
		t.Errorf("led by %+v", c.NewLeaders)
	}
}

// The leader's deadline is short, or its client leaves. That ends its own wait alone: the flight goes on for the others, and is abandoned
// only when nobody waits for it.
func TestFlightOutlivesItsLeader(t *testing.T) {
	for _, how := range []string{"expires", "leaves"} {
		d := newTableModel(t, Options{})
		leader, _ := d.arrive(1, 0, 80*ms)
		d.arrive(1, 0, 2*time.Second)
		f := d.flights[0]
		if f.Deadline != d.now+2*time.Second {
			t.Fatalf("the flight ends at %v", f.Deadline)
		}
		if how == "leaves" {
			d.leave(leader)
		}
		if d.advance(100 * ms); d.members[leader] != nil || len(d.flights) != 1 {
			t.Fatalf("%s: members %v, %d flights out", how, d.members, len(d.flights))
		}
		if c := d.end(f, OutcomeServed); len(c.Answered) != 1 {
			t.Errorf("%s: %d answered", how, len(c.Answered))
		}
		d.arrive(3, 0, 80*ms)
		if c := d.advance(100 * ms); len(c.Abandoned) != 1 || len(c.Expired) != 1 {
			t.Errorf("nobody waits: %+v", c)
		}
	}
}

// A flight is later than nearly all before it. One of its 20 followers leads a flight of its own while that can still be in time, and the
// others follow it, so that they do not all start one. Where everything is slow no flight is added.
func TestFollowerStartsOwnFlightBesideLateOne(t *testing.T) {
	d := newTableModel(t, Options{})
	d.recordFlightTimes(timesAround(150 * ms)...)
	start := d.now
	for range 20 {
		d.arrive(1, 0, 2*time.Second)
	}
	if c := d.advance(170 * ms); len(c.NewLeaders) != 0 {
		t.Fatalf("%d started a flight in the usual time", len(c.NewLeaders))
	}
	c := d.advance(100 * ms)
	if len(c.NewLeaders) != 1 {
		t.Fatalf("%d started a flight when it was late", len(c.NewLeaders))
	}
	if startedAfter := c.NewLeaders[0].flight.startedAt - start; startedAfter > 450*ms {
		t.Errorf("started after %v, too late for 600 ms", startedAfter)
	}
	if c := d.end(c.NewLeaders[0].flight, OutcomeServed); len(c.Answered) != 20 || len(c.Abandoned) != 1 {
		t.Errorf("%d answered, %d abandoned", len(c.Answered), len(c.Abandoned))
	}
	// One that comes to a late flight does not wait for it.
	d.arrive(2, 0, 2*time.Second)
	d.advance(250 * ms)
	if _, role := d.arrive(2, 0, 2*time.Second); role != Leader {
		t.Errorf("role %d beside a late flight", role)
	}
	// Where all takes longer than the aim, another flight would not help, and none is made.
	d = newTableModel(t, Options{})
	d.recordFlightTimes(timesAround(900 * ms)...)
	d.arrive(1, 0, 2*time.Second)
	d.arrive(1, 0, 2*time.Second)
	if c := d.advance(1500 * ms); len(c.NewLeaders) != 0 {
		t.Errorf("%d started a flight where nothing is gained", len(c.NewLeaders))
	}
}

// An answer is for one caller alone. Its class is not coalesced for a while.
func TestPrivateAnswerPausesCoalescing(t *testing.T) {
	d := newTableModel(t, Options{PauseAfterPrivate: time.Second})
	d.arrive(1, 0, 2*time.Second)
	d.end(d.flights[0], OutcomePrivate)
	if _, role := d.arrive(1, 0, 2*time.Second); role != NotCoalesced {
		t.Errorf("role %d in the pause", role)
	}
	d.advance(time.Second)
	if _, role := d.arrive(1, 0, 2*time.Second); role != Leader {
		t.Errorf("role %d after the pause", role)
	}
}

// One tenant sends hundreds of requests. It does not take the places of the others, and nobody is rejected by a full table.
func TestBusyTenantLeavesRoomForOthers(t *testing.T) {
	d := newTableModel(t, Options{MaxGroups: 40, MaxFollowers: 40})
	for i := range 200 {
		d.arrive(byte(i), 0, 2*time.Second)
	}
	for range 200 {
		d.arrive(0, 0, 2*time.Second)
	}
	if c := d.table.Counts(); c.Groups > 21 || c.Waiting > 21 || c.NotCoalesced < 200 {
		t.Fatalf("one tenant has %+v", c)
	}
	if _, role := d.arrive(200, 1, 2*time.Second); role != Leader {
		t.Errorf("role %d for a quiet tenant's own form", role)
	}
	for range 10 {
		if _, role := d.arrive(0, 1, 2*time.Second); role != Follower {
			t.Errorf("role %d for a quiet tenant", role)
		}
	}
}

// Lists of parts that join to the same text have different digests, and so has one list under two keys.
func TestDigestsDifferByPartsAndKey(t *testing.T) {
	id, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Digest]string{}
	for _, parts := range [][]string{{}, {""}, {"", ""}, {"ab", "c"}, {"a", "bc"}, {"abc"}, {"a", "b", "c"}} {
		d := id.Digest(parts...)
		if other, there := seen[d]; there || d != id.Digest(parts...) {
			t.Errorf("%q has the digest of %s", parts, other)
		}
		seen[d] = fmt.Sprintf("%q", parts)
	}
	other, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	if other.Digest("abc") == id.Digest("abc") {
		t.Error("two keys make the same digests")
	}
}
