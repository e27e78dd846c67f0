package coalesce

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// desk drives a table and checks its invariants after each step: it is the model that all tests here share.
type desk struct {
	t       testing.TB
	table   *Table[int]
	now     time.Duration
	members map[int]*Member[int] // by number, in a group
	flights []*Flight[int]       // that are out
	ends    map[int]string       // how a member ended
	last    int
}

func newDesk(t testing.TB, o Options) *desk {
	if o.Classes == nil {
		o.Classes = []Class{{Coalesces: true, LatencyObjective: 600 * ms, Deadline: 2 * time.Second}, {LatencyObjective: 600 * ms, Deadline: 2 * time.Second}}
	}
	if o.MaxGroups == 0 {
		o.MaxGroups = 100
	}
	if o.MaxFollowers == 0 {
		o.MaxFollowers = 100
	}
	return &desk{t: t, table: New[int](o), now: time.Second, members: map[int]*Member[int]{}, ends: map[int]string{}}
}

// arrive brings a request and returns its number.
func (d *desk) arrive(what byte, tenant int, patience time.Duration) (int, Role) {
	d.t.Helper()
	d.last++
	m, verdict := d.table.Arrive(d.now, Request[int]{Owner: d.last, Digest: Digest{what}, Tenant: tenant, Deadline: d.now + patience})
	if (m == nil) != (verdict == NotCoalesced) {
		d.t.Fatalf("verdict %d with member %v", verdict, m)
	}
	if m != nil {
		d.members[d.last] = m
	}
	if verdict == Leader {
		d.flights = append(d.flights, m.Flight())
	}
	d.check()
	return d.last, verdict
}

// end ends a flight, and takes down what becomes of whom.
func (d *desk) end(f *Flight[int], e Outcome) Changes[int] {
	d.t.Helper()
	return d.took(d.table.Complete(d.now, f, e), f, fmt.Sprint("ended ", e))
}

func (d *desk) leave(n int) Changes[int] {
	d.t.Helper()
	m := d.members[n]
	delete(d.members, n)
	d.ends[n] = "left"
	return d.took(d.table.Leave(d.now, m), nil, "")
}

// pass lets the time go by, stopping where the table asks for it.
func (d *desk) pass(by time.Duration) (all Changes[int]) {
	d.t.Helper()
	for until := d.now + by; ; {
		at, ok := d.table.NextTimer()
		if !ok || at > until {
			d.now = until
			return all
		}
		d.now = at
		c := d.took(d.table.HandleTimers(d.now), nil, "")
		all.NewLeaders, all.Expired, all.Abandoned = append(all.NewLeaders, c.NewLeaders...), append(all.Expired, c.Expired...), append(all.Abandoned, c.Abandoned...)
	}
}

func (d *desk) took(c Changes[int], ended *Flight[int], how string) Changes[int] {
	d.t.Helper()
	d.flights = slices.DeleteFunc(d.flights, func(f *Flight[int]) bool { return f == ended || slices.Contains(c.Abandoned, f) })
	for _, m := range c.Answered {
		d.over(m, how)
	}
	for _, m := range c.Expired {
		if d.now < m.deadline {
			d.t.Fatalf("member %d has expired %v before its deadline", m.Owner, m.deadline-d.now)
		}
		d.over(m, "expired")
	}
	for _, m := range c.NewLeaders {
		d.flights = append(d.flights, m.Flight())
	}
	d.check()
	return c
}

func (d *desk) over(m *Member[int], how string) {
	d.t.Helper()
	if d.members[m.Owner] != m {
		d.t.Fatalf("member %d has %q, after %q", m.Owner, how, d.ends[m.Owner])
	}
	delete(d.members, m.Owner)
	d.ends[m.Owner] = how
}

// check checks the invariants of Table.
func (d *desk) check() {
	d.t.Helper()
	members, waiting, flights, byTenant := 0, 0, 0, map[int]int{}
	for what, g := range d.table.groups {
		if len(g.members) == 0 || len(g.flights) == 0 || g.what != what {
			d.t.Fatalf("group %v has %d members and %d flights", what, len(g.members), len(g.flights))
		}
		members, flights = members+len(g.members), flights+len(g.flights)
		for _, m := range g.members {
			if m.group != g || m.place < 0 || d.table.alarms[m.place] != m || m.alarm > m.deadline || d.members[m.Owner] != m {
				d.t.Fatalf("member %+v is out of order", m)
			}
			if m.flight == nil {
				waiting++
				byTenant[m.tenant]++
			} else if m.flight.over || m.flight.leader != m {
				d.t.Fatalf("member %d leads %+v", m.Owner, m.flight)
			}
		}
	}
	c := d.table.Counts()
	if members != len(d.members) || flights != len(d.flights) || members != len(d.table.alarms) {
		d.t.Fatalf("%d members of %d, %d flights of %d, %d alarms", members, len(d.members), flights, len(d.flights), len(d.table.alarms))
	}
	if waiting != c.Waiting || waiting > d.table.set.MaxFollowers || len(d.table.groups) > d.table.set.MaxGroups || c.Groups != len(d.table.groups) {
		d.t.Fatalf("%d wait, counted %+v", waiting, c)
	}
	if fmt.Sprint(byTenant) != fmt.Sprint(d.table.waiting.held) {
		d.t.Fatalf("tenants wait as %v, counted %v", byTenant, d.table.waiting.held)
	}
}

// teach lets the table know how long flights take.
func (d *desk) teach(took ...time.Duration) {
	for range 4 {
		for _, each := range took {
			d.arrive(255, 9, 2*time.Second)
			f := d.flights[len(d.flights)-1]
			d.pass(each)
			d.end(f, OutcomeServed)
		}
	}
}

// around are times as a quiet fleet has them.
func around(mid time.Duration) (all []time.Duration) {
	for i := range 25 {
		all = append(all, mid+time.Duration(i-12)*mid/50)
	}
	return all
}

// Whatever comes in whatever order: each member has one end, by its deadline; a group always has a flight out; and nothing
// is left when all have gone. The table's own invariants are looked at after each step.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDesk(t, Options{MaxGroups: rapid.IntRange(1, 6).Draw(rt, "groups"), MaxFollowers: rapid.IntRange(1, 12).Draw(rt, "waiting"),
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
			"pass": func(rt *rapid.T) { d.pass(time.Duration(rapid.IntRange(0, 400).Draw(rt, "time")) * ms) },
		})
		d.pass(3 * time.Second)
		if c := d.table.Counts(); len(d.members)+len(d.flights)+c.Groups+c.Waiting+d.table.open.all+len(d.table.open.held) > 0 {
			t.Fatalf("left at the end: %d members, %d flights, %+v", len(d.members), len(d.flights), c)
		}
	})
}

func TestOneFlightAnswersAllThatAskTheSame(t *testing.T) {
	d := newDesk(t, Options{})
	d.arrive(1, 0, 2*time.Second)
	for tenant := range 5 {
		if _, v := d.arrive(1, tenant, 2*time.Second); v != Follower {
			t.Fatalf("verdict %d", v)
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

// A class that is not joined, as those that must not run twice never are, has no members.
func TestOtherClassesGoAlone(t *testing.T) {
	d := newDesk(t, Options{})
	for _, class := range []int{-1, 1, 2} {
		if m, v := d.table.Arrive(d.now, Request[int]{Class: class, Deadline: d.now + time.Second}); m != nil || v != NotCoalesced {
			t.Errorf("class %d: %d", class, v)
		}
	}
}

// An error is its leader's alone. After a refusal one other leads; after a round of failures twice as many, until all have
// had their own; after a private answer all at once.
func TestErrorsDoNotSpread(t *testing.T) {
	for end, rounds := range map[Outcome][]int{OutcomeRejected: {1, 1, 1, 1, 1, 1, 1, 1}, OutcomeFailed: {1, 2, 4, 1}, OutcomePrivate: {1, 7}} {
		d := newDesk(t, Options{})
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

// After a refusal, which may be of a tenant over its share, another tenant leads.
func TestARefusedTenantDoesNotLeadAgainFirst(t *testing.T) {
	d := newDesk(t, Options{})
	for _, tenant := range []int{1, 1, 1, 2} {
		d.arrive(1, tenant, 2*time.Second)
	}
	if c := d.end(d.flights[0], OutcomeRejected); len(c.NewLeaders) != 1 || c.NewLeaders[0].tenant != 2 {
		t.Errorf("led by %+v", c.NewLeaders)
	}
}

// A tight deadline, or a client that leaves, ends its own wait and nothing else.
func TestOthersGoOnWithoutTheLeader(t *testing.T) {
	for _, how := range []string{"expires", "leaves"} {
		d := newDesk(t, Options{})
		leader, _ := d.arrive(1, 0, 80*ms)
		d.arrive(1, 0, 2*time.Second)
		f := d.flights[0]
		if f.Deadline != d.now+2*time.Second {
			t.Fatalf("the flight ends at %v", f.Deadline)
		}
		if how == "leaves" {
			d.leave(leader)
		}
		if d.pass(100 * ms); d.members[leader] != nil || len(d.flights) != 1 {
			t.Fatalf("%s: members %v, %d flights out", how, d.members, len(d.flights))
		}
		if c := d.end(f, OutcomeServed); len(c.Answered) != 1 {
			t.Errorf("%s: %d answered", how, len(c.Answered))
		}
		d.arrive(3, 0, 80*ms)
		if c := d.pass(100 * ms); len(c.Abandoned) != 1 || len(c.Expired) != 1 {
			t.Errorf("nobody waits: %+v", c)
		}
	}
}

// Who waits leads a flight of its own while that can still be in time, when the other is later than nearly all before;
// those who wait beside it go on with the new one, so that a late flight does not let a crowd loose.
func TestLateFlightsAreParted(t *testing.T) {
	d := newDesk(t, Options{})
	d.teach(around(150 * ms)...)
	start := d.now
	for range 20 {
		d.arrive(1, 0, 2*time.Second)
	}
	if c := d.pass(170 * ms); len(c.NewLeaders) != 0 {
		t.Fatalf("%d parted in the usual time", len(c.NewLeaders))
	}
	c := d.pass(100 * ms)
	if len(c.NewLeaders) != 1 {
		t.Fatalf("%d parted when it was late", len(c.NewLeaders))
	}
	if parted := c.NewLeaders[0].flight.began - start; parted > 450*ms {
		t.Errorf("parted after %v, too late for 600 ms", parted)
	}
	if c := d.end(c.NewLeaders[0].flight, OutcomeServed); len(c.Answered) != 20 || len(c.Abandoned) != 1 {
		t.Errorf("%d answered, %d dropped", len(c.Answered), len(c.Abandoned))
	}
	// One that comes to a late flight does not wait for it.
	d.arrive(2, 0, 2*time.Second)
	d.pass(250 * ms)
	if _, v := d.arrive(2, 0, 2*time.Second); v != Leader {
		t.Errorf("verdict %d beside a late flight", v)
	}
	// Where all takes longer than the aim, another flight would not help, and none is made.
	d = newDesk(t, Options{})
	d.teach(around(900 * ms)...)
	d.arrive(1, 0, 2*time.Second)
	d.arrive(1, 0, 2*time.Second)
	if c := d.pass(1500 * ms); len(c.NewLeaders) != 0 {
		t.Errorf("%d parted where nothing is gained", len(c.NewLeaders))
	}
}

// After an answer for one caller alone its class is not joined for a while.
func TestPrivateAnswersPauseTheClass(t *testing.T) {
	d := newDesk(t, Options{PauseAfterPrivate: time.Second})
	d.arrive(1, 0, 2*time.Second)
	d.end(d.flights[0], OutcomePrivate)
	if _, v := d.arrive(1, 0, 2*time.Second); v != NotCoalesced {
		t.Errorf("verdict %d in the pause", v)
	}
	d.pass(time.Second)
	if _, v := d.arrive(1, 0, 2*time.Second); v != Leader {
		t.Errorf("verdict %d after the pause", v)
	}
}

// A busy desk does not take the places of quiet ones, nor does a full table turn anybody away.
func TestABusyDeskLeavesRoom(t *testing.T) {
	d := newDesk(t, Options{MaxGroups: 40, MaxFollowers: 40})
	for i := range 200 {
		d.arrive(byte(i), 0, 2*time.Second)
	}
	for range 200 {
		d.arrive(0, 0, 2*time.Second)
	}
	if c := d.table.Counts(); c.Groups > 21 || c.Waiting > 21 || c.NotCoalesced < 200 {
		t.Fatalf("one desk has %+v", c)
	}
	if _, v := d.arrive(200, 1, 2*time.Second); v != Leader {
		t.Errorf("verdict %d for a quiet desk's own form", v)
	}
	for range 10 {
		if _, v := d.arrive(0, 1, 2*time.Second); v != Follower {
			t.Errorf("verdict %d for a quiet desk", v)
		}
	}
}

// Two lists of parts have one digest only if they are the same list.
func TestIdentity(t *testing.T) {
	id, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Digest]string{}
	for _, parts := range [][]string{{}, {""}, {"", ""}, {"ab", "c"}, {"a", "bc"}, {"abc"}, {"a", "b", "c"}} {
		d := id.Of(parts...)
		if other, there := seen[d]; there || d != id.Of(parts...) {
			t.Errorf("%q has the digest of %s", parts, other)
		}
		seen[d] = fmt.Sprintf("%q", parts)
	}
	other, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	if other.Of("abc") == id.Of("abc") {
		t.Error("two keys make the same digests")
	}
}
