package generation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"appleledge/internal/fleetconfig"
)

var names = Names{
	Classes: []Class{{"form-check", 600 * time.Millisecond, 2 * time.Second}, {"refund-record", 600 * time.Millisecond, 2 * time.Second}},
	Tenants: []string{"glasgow", "lerwick", "wick"}, Zones: []string{"a", "b"}, RoutableHeaders: []string{"X-Attrs"},
}

func newManager() *Manager { return New(Options{Names: names, MaxRetryAfter: time.Second}) }

// normalized returns a configuration in its normalized form.
func normalized(c fleetconfig.Config) *fleetconfig.Config {
	c.Normalize()
	return &c
}

// compileFor compiles a configuration for the Manager's servers.
func compileFor(c *fleetconfig.Config, m *Manager) (*CompiledConfig, error) {
	servers, _ := m.Servers()
	return Compile(c, names, servers)
}

// apply stages a configuration and switches to it.
func apply(t interface{ Fatal(...any) }, m *Manager, now time.Duration, c *fleetconfig.Config) {
	ready, err := compileFor(c, m)
	if err != nil {
		t.Fatal(err)
	}
	_, _, base := m.Config()
	if err := m.Stage(ready, m.serversVersion, "test", base, true); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Switch(now, ""); err != nil {
		t.Fatal(err)
	}
}

func server(i int) *fleetconfig.Server {
	return &fleetconfig.Server{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.%d.%d:80", i%3, i+1), Kind: []string{"twin-core", "quad-core"}[i%2],
		Zone: names.Zones[i/2%2], Pod: i % 4, Weight: 1}
}

// A rollout drains a growing share of the servers. A larger share includes the smaller one, so that no step brings back a server
// that an earlier one drained, and a share is rounded up.
func TestLargerShareIncludesSmaller(t *testing.T) {
	var all []*fleetconfig.Server
	for i := range 40 {
		all = append(all, server(i))
	}
	last := map[string]bool{}
	for _, tt := range []struct {
		share float64
		want  int
	}{{0.01, 1}, {0.25, 10}, {0.26, 11}, {0.5, 20}, {1, 40}} {
		part := fleetconfig.SelectShare(all, "x", tt.share)
		now := map[string]bool{}
		for _, s := range part {
			now[s.ID] = true
		}
		for id := range last {
			if !now[id] {
				t.Errorf("%v leaves %s out, which a smaller share has", tt.share, id)
			}
		}
		if last = now; len(part) != tt.want {
			t.Errorf("%v of 40 are %d, want %d", tt.share, len(part), tt.want)
		}
	}
}

// Requests of one tenant come ten times as fast as its limit allows. The limit admits its burst and then its rate, and tells the
// others when to retry, at spread times so that they do not return together. Another tenant is not limited.
func TestRateLimitAdmitsItsRateAndSpreadsRetryAfter(t *testing.T) {
	m := newManager()
	apply(t, m, time.Second, normalized(fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", Tenant: "wick", Rate: 10, Burst: 5}}}))
	in, afters := 0, map[time.Duration]bool{}
	for i := range 2000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		var b Binding
		rejection, ok := m.Bind(now, &Request{ID: fmt.Sprint(i), Tenant: 2}, &b)
		if ok {
			in++
			m.Release(now, &b, Served)
			continue
		}
		if rejection.RetryAfter <= 0 || rejection.RetryAfter > 150*time.Millisecond || rejection.Limit != "l" || rejection.MaxInFlight != 0 {
			t.Fatalf("rejected with %+v", rejection)
		}
		afters[rejection.RetryAfter] = true
	}
	if in != 5+19 && in != 5+20 {
		t.Errorf("%d were let in, over 2 s at 10 a second with a burst of 5", in)
	}
	if len(afters) < 50 {
		t.Errorf("clients are told %d different times to come back", len(afters))
	}
	var b Binding
	if _, ok := m.Bind(time.Second, &Request{Tenant: 1}, &b); !ok {
		t.Error("another tenant is limited")
	}
}

// A plan is applied on the wrong base, twice at once, while the change before is watched, or although it did harm before. Each
// is rejected with an error of its own, by which the caller tells the operator what to do; force overrides the last two.
func TestStageRejectsWithDistinctErrors(t *testing.T) {
	m := newManager()
	a := normalized(fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{1}}}}})
	b := normalized(fleetconfig.Config{Watch: &fleetconfig.Watch{Duration: fleetconfig.Duration(time.Second), FalseAlarms: 0.01}})
	compiled := func(c *fleetconfig.Config) *CompiledConfig {
		ready, err := Compile(c, names, nil)
		if err != nil {
			t.Fatal(err)
		}
		return ready
	}
	empty := (&fleetconfig.Config{}).Hash()
	expect := func(what string, err, want error) {
		t.Helper()
		if fmt.Sprint(err) != fmt.Sprint(want) && !strings.HasPrefix(fmt.Sprint(err), fmt.Sprint(want)) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
	}
	expect("another base", m.Stage(compiled(a), m.serversVersion, "x", "0000000000000000", false), ErrBaseChanged)
	expect("nothing new", m.Stage(compiled(&fleetconfig.Config{}), m.serversVersion, "x", empty, false), ErrNoChange)
	expect("the first", m.Stage(compiled(a), m.serversVersion, "x", empty, false), nil)
	expect("a second at once", m.Stage(compiled(b), m.serversVersion, "y", empty, false), ErrAlreadyStaged)
	if _, err := m.Switch(time.Second, ""); err != nil {
		t.Fatal(err)
	}
	expect("while it is watched", m.Stage(compiled(b), m.serversVersion, "y", a.Hash(), false), ErrWatchActive)
	expect("forced", m.Stage(compiled(b), m.serversVersion, "y", a.Hash(), true), nil)
	m.Unstage()
	m.blockConfig(b.Hash(), "it was bad")
	expect("rolled back", m.Rollback(2*time.Second, "x", ""), nil)
	expect("with nothing before", m.Rollback(2*time.Second, "x", ""), ErrNoRollbackTarget)
	expect("one that has done harm", m.Stage(compiled(b), m.serversVersion, "y", empty, false), ErrBlocked)
	expect("the same, forced", m.Stage(compiled(b), m.serversVersion, "y", empty, true), nil)
	if _, err := m.Switch(3*time.Second, ""); err != nil || len(m.blockedOrder) != len(m.blocked) {
		t.Errorf("%v; %d in the order of those that have done harm, %d of them", err, len(m.blockedOrder), len(m.blocked))
	}
}

// An agent that runs for years sees any number of changes and of harmful ones. The history and the blocked hashes stay bounded,
// and the oldest entries are dropped.
func TestHistoryAndBlockedConfigsAreBounded(t *testing.T) {
	m := newManager()
	for i := range 3 * maxHistoryRecords {
		m.blockConfig(fmt.Sprint(i), "")
		m.record(0, Record{Number: uint64(i)})
	}
	if len(m.blocked) != maxBlockedConfigs || len(m.blockedOrder) != maxBlockedConfigs || len(m.history) != maxHistoryRecords || m.history[0].Number != 2*maxHistoryRecords {
		t.Errorf("%d barred, %d in the history", len(m.blocked), len(m.history))
	}
}

// During a hot restart the new process follows the old one, which is in the middle of a rollout. The follower drains as far as the
// rollout has come and leaves the watch to the other, so that no change is judged twice. When the old process ends, the new one
// takes the watch over.
func TestFollowerLeavesWatchToLeaderUntilTakeOver(t *testing.T) {
	leader, follower := newManager(), newManager()
	changed := Servers{}
	for i := range 8 {
		changed[server(i).ID] = server(i)
	}
	leader.UpdateServers(changed)
	follower.UpdateServers(maps.Clone(changed))
	apply(t, leader, time.Second, normalized(fleetconfig.Config{Rollout: &fleetconfig.Rollout{Step: 0.25, Wait: fleetconfig.Duration(time.Second)},
		Drains: []fleetconfig.Drain{{Name: "d", Selector: fleetconfig.Selector{Kinds: []string{"twin-core"}}, Share: 1}}}))
	adopt := func(bring func(time.Duration, *CompiledState), now time.Duration) {
		servers, version := follower.Servers()
		p, err := CompileState(leader.State(), names, servers, version)
		if err != nil {
			t.Fatal(err)
		}
		bring(now, p)
		if !maps.Equal(follower.draining, leader.draining) {
			t.Errorf("%v are drained, and %v by the one that is followed", follower.draining, leader.draining)
		}
	}
	adopt(follower.Follow, time.Second)
	if n := len(follower.draining); n != 1 {
		t.Fatalf("%d of 4 are drained at the first of four steps", n)
	}
	if _, due := follower.NextTick(); due {
		t.Error("the follower watches as well")
	}
	for now := time.Second; len(leader.draining) < 3; now += 100 * time.Millisecond {
		if leader.Tick(now); now > time.Minute {
			t.Fatal("the rollout does not go on")
		}
	}
	adopt(follower.Follow, 4*time.Second)
	adopt(follower.TakeOver, 5*time.Second)
	if _, due := follower.NextTick(); !due || len(follower.draining) != 3 {
		t.Errorf("after it took over: watches %v, %d drained", due, len(follower.draining))
	}
}

// The platform adds thousands of classes while a change is watched. Harm to the last of them is found, although there is memory for
// fewer: the classes above the bound are counted together.
func TestClassesAddedDuringWatchAreWatched(t *testing.T) {
	m := newManager()
	now := time.Second
	apply(t, m, now, normalized(fleetconfig.Config{Routes: []fleetconfig.Route{{Name: "r", Priority: 1, To: []fleetconfig.Target{{Pool: fleetconfig.AllServersPool, Weight: 1}}}}}))
	more := names
	more.Classes = slices.Clone(names.Classes)
	for i := range 2 * maxTrafficPairs {
		more.Classes = append(more.Classes, Class{fmt.Sprint("c", i), 600 * time.Millisecond, 2 * time.Second})
	}
	m.SetNames(more)
	if n := len(m.traffic.pairs); n > 2*maxTrafficPairs {
		t.Fatalf("%d rows", n)
	}
	for i := 0; m.watch != nil; i++ { // the class that was added last is harmed
		var b Binding
		if _, ok := m.Bind(now, &Request{ID: fmt.Sprint(i), Class: len(more.Classes) - 1, Tenant: i % 3, Deadline: now + time.Second}, &b); !ok {
			t.Fatal("refused")
		}
		m.Release(now, &b, Failed)
		now += 10 * time.Millisecond
		if m.Tick(now); i > 10_000 {
			t.Fatal("no harm is found")
		}
	}
	if s := m.Status(now); s.EventCounts[EventHarmFound] != 1 {
		t.Errorf("%v", s.EventCounts)
	}
}
