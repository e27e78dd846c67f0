package generation

import (
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"appleledge/internal/atomicfile"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/golden"
)

// completeConfig sets every field of a configuration, with names that these tests know.
func completeConfig() *fleetconfig.Config {
	n := 7
	return normalized(fleetconfig.Config{
		Pools: []fleetconfig.Pool{{Name: "p", Selector: fleetconfig.Selector{Kinds: []string{"twin-core"}, Zones: []string{"a"}, Pods: []int{1, 2},
			IDs: []string{"s-1", "s-2"}, Networks: []netip.Prefix{netip.MustParsePrefix("127.0.1.0/24")}}}},
		Routes: []fleetconfig.Route{{Name: "r", Priority: 3, Class: "form-check", Tenant: "glasgow", PathPrefix: "/form", Headers: map[string]string{"X-Attrs": "4"},
			To: []fleetconfig.Target{{Pool: "p", Weight: 5}, {Pool: "all", Weight: 6}}}},
		Limits: []fleetconfig.Limit{{Name: "l", Class: "refund-record", Tenant: "lerwick", MaxInFlight: &n, Rate: 8.5, Burst: 9, MaxAttempts: 2,
			RetryAfter: fleetconfig.Duration(300 * time.Millisecond)}},
		Drains:    []fleetconfig.Drain{{Name: "d", Share: 0.25, Selector: fleetconfig.Selector{Zones: []string{"b"}}}},
		Deadlines: []fleetconfig.Deadline{{Name: "t", Class: "form-check", Tenant: "wick", AtMost: fleetconfig.Duration(450 * time.Millisecond)}},
		Rollout:   &fleetconfig.Rollout{Step: 0.5, Wait: fleetconfig.Duration(2 * time.Second)},
		Watch:     &fleetconfig.Watch{Duration: fleetconfig.Duration(20 * time.Second), FalseAlarms: 0.002},
	})
}

// completeState is a state in which each field has a value of its own.
func completeState() *State {
	c, before := completeConfig(), routeToPool("wick", 40)
	return &State{
		Format: 1, Number: 12, Config: c.JSON(), Hash: c.Hash(), PreviousConfig: before.JSON(), StagedHash: "hash of what is staged",
		Watch: &WatchState{RolloutStep: 1, Baseline: []OutcomeCounts{{101, 1}, {102, 2}, {103, 3}, {104, 4}, {105, 5}, {106, 6}},
			ExpectedRejectRatio: []float64{0.125, 0.25, 0.375, 0.5, 0.625, 0.75}},
		Blocked: map[string]string{"a hash": "and its harm", "another hash": "and its harm too"},
		History: []Record{
			{Number: 1, Hash: "h1", Event: EventApplied, Actor: "ann", Reason: "w1", UnixMS: 1_790_000_000_001},
			{Number: 2, Hash: "h2", Event: EventPromoted, Actor: "ben", Reason: "w2", UnixMS: 1_790_000_000_002},
			{Number: 3, Hash: "h3", Event: EventRolledBack, Actor: "cas", Reason: "w3", UnixMS: 1_790_000_000_003},
			{Number: 4, Hash: "h4", Event: EventHarmFound, Actor: "dan", Reason: "w4", UnixMS: 1_790_000_000_004},
			{Number: 5, Hash: "h5", Event: EventRestored, Actor: "eve", Reason: "w5", UnixMS: 1_790_000_000_005},
			{Number: 6, Hash: "h6", Event: EventDiscarded, Actor: "fay", Reason: "w6", UnixMS: 1_790_000_000_006},
			{Number: 7, Hash: "h7", Event: EventApplied},
		},
	}
}

// encodeFile returns the whole file in which agents store a state.
func encodeFile(t *testing.T, s *State) []byte {
	t.Helper()
	doc, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	f := atomicfile.File{Path: filepath.Join(t.TempDir(), "any"), FS: atomicfile.OS{}}
	if err := f.Save(doc); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// readCommitted reads a state's committed file, as agents do.
func readCommitted(t *testing.T, name string) *State {
	t.Helper()
	f := atomicfile.File{Path: filepath.Join(t.TempDir(), "any"), FS: atomicfile.OS{}}
	if err := os.WriteFile(f.Path, golden.Read(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	doc, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	s, err := DecodeState(doc)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A State with every field set, and one with none, have the committed bytes and are read back as the same.
func TestGoldenState(t *testing.T) {
	golden.Equal(t, "generation/state", encodeFile(t, completeState()))
	if got := readCommitted(t, "generation/state"); !reflect.DeepEqual(got, completeState()) {
		t.Errorf("the committed state reads as %+v", got)
	}
	c := fleetconfig.Config{} // the least: what may be left out is not written
	least := &State{Format: 1, Config: c.JSON(), Hash: c.Hash()}
	golden.Equal(t, "generation/least-state", encodeFile(t, least))
	if got := readCommitted(t, "generation/least-state"); !reflect.DeepEqual(got, least) {
		t.Errorf("the committed least state reads as %+v", got)
	}
}

// A newer format is recognized by its number alone, whatever else is in the file. The committed file was made by hand, as this program
// cannot write one.
func TestGoldenNewerState(t *testing.T) {
	if _, err := DecodeState(golden.Read(t, "generation/newer-state.json")); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("got %v", err)
	}
}

// goldenManager has promoted a change, rolled one back for harm and one by an operator's command; it watches one, at the second step
// of its rollout, and has another staged.
func goldenManager(t *testing.T) *Manager {
	x := newSimulation(1, 300)
	x.m.options.UnixMS = goldenMS
	x.run(65 * time.Second)
	apply(t, x.m, x.now, routeToPool("glasgow", 50))
	x.run(35 * time.Second)
	apply(t, x.m, x.now, routeToPool("wick", 100))
	x.badProbability = badInPool(1, 0.01)
	x.run(10 * time.Second)
	x.badProbability = badInPool(0.01, 0.01)
	apply(t, x.m, x.now, routeToPool("lerwick", 100))
	x.run(time.Second)
	if err := x.m.Rollback(x.now, "ann", "a word"); err != nil {
		t.Fatal(err)
	}
	limited := inFlightLimit(40, "wick")
	limited.Limits[0].MaxInFlight, limited.Limits[0].Rate, limited.Limits[0].Burst = nil, 90, 90
	limited.Drains = []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Zones: []string{"b"}}}}
	limited.Rollout = &fleetconfig.Rollout{Step: 0.25, Wait: fleetconfig.Duration(2 * time.Second)}
	apply(t, x.m, x.now, limited)
	x.run(3 * time.Second)
	ready, err := compileFor(completeConfig(), x.m)
	if err != nil {
		t.Fatal(err)
	}
	if err := x.m.Stage(ready, x.m.serversVersion, "ben", limited.Hash(), true); err != nil {
		t.Fatal(err)
	}
	return x.m
}

func goldenMS(now time.Duration) int64 { return 1_790_000_000_000 + now.Milliseconds() }

// A Manager with every kind of record stores the committed state, and another one that restores it stores what is committed too.
func TestGoldenStateOfAManager(t *testing.T) {
	m := goldenManager(t)
	golden.Equal(t, "generation/state-of-a-manager", encodeFile(t, m.State()))
	for _, word := range []string{EventApplied, EventPromoted, EventRolledBack, EventHarmFound} {
		if m.eventCounts[word] == 0 {
			t.Errorf("nothing was %s", word)
		}
	}
	read := readCommitted(t, "generation/state-of-a-manager")
	if w := read.Watch; w == nil || w.RolloutStep != 1 || read.StagedHash == "" || read.PreviousConfig == nil || len(read.Blocked) != 1 {
		t.Fatalf("the committed state reads as %+v", read)
	}
	next := newManager()
	next.options.UnixMS = goldenMS
	fleet, _ := m.Servers()
	next.UpdateServers(fleet)
	if err := next.Restore(time.Minute, read); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "generation/state-taken-over", encodeFile(t, next.State()))
	status, err := json.MarshalIndent(next.Status(time.Minute), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "generation/status-taken-over.json", append(status, []byte("\n"+strings.Join(next.TakeDrainChanges(), " ")+"\n")...))
}
