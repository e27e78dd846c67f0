package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/agenttest"
	"appleledge/internal/atomicfile"
	"appleledge/internal/atomicfile/faultfs"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
)

var names = generation.Names{Classes: []generation.Class{{Name: "form-check", LatencyObjective: time.Second}, {Name: "refund-record", LatencyObjective: time.Second}},
	Tenants: []string{"wick", "lerwick"}, Zones: []string{"a"}, IdempotentClasses: []string{"refund-record"}}

// fakeEngine is an Engine that has the Manager alone.
type fakeEngine struct {
	mu      sync.Mutex
	manager *generation.Manager
	now     time.Duration
}

func (c *fakeEngine) WithGenerations(_ context.Context, do func(time.Duration, *generation.Manager)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += time.Millisecond
	do(c.now, c.manager)
	return nil
}

// testAgent is a ChangeManager with an engine and a disk.
type testAgent struct {
	*ChangeManager
	engine *fakeEngine
	disk   atomicfile.FS
}

func server(i int) *fleetconfig.Server {
	return &fleetconfig.Server{ID: fmt.Sprintf("s-%02d", i), Addr: fmt.Sprintf("127.0.0.%d:80", i+1), Kind: []string{"twin-core", "quad-core"}[i%2],
		Zone: "a", Pod: i % 3, Weight: float64(1 + i%2), StartedMS: 1000}
}

// startAgent starts an agent with so many servers on the state that the disk has; nil: without a disk.
func startAgent(t testing.TB, disk atomicfile.FS, servers int) *testAgent {
	t.Helper()
	c := &fakeEngine{manager: generation.New(generation.Options{Names: names, MaxRetryAfter: time.Second}), now: time.Second}
	fleet := generation.Servers{}
	for i := range servers {
		fleet[server(i).ID] = server(i)
	}
	c.manager.UpdateServers(fleet)
	x := &testAgent{engine: c, disk: disk, ChangeManager: &ChangeManager{Agent: "n0", Engine: c, Names: func() generation.Names { return names }, Now: time.Now,
		Log: slog.New(slog.DiscardHandler), EncodeState: func(s *generation.State) ([]byte, error) { return json.Marshal(s) }}}
	if disk != nil {
		f := atomicfile.File{Path: "state", FS: disk}
		x.Store = f
		doc, err := f.Load()
		if err == nil {
			s, err := generation.DecodeState(doc)
			if err == nil {
				err = c.manager.Restore(c.now, s)
			}
			if err != nil {
				t.Fatal(err)
			}
		} else if !errors.Is(err, atomicfile.ErrNotFound) {
			t.Fatal(err)
		}
	}
	return x
}

func (x *testAgent) hash() string {
	_, _, hash := x.engine.manager.Config()
	return hash
}

// drainPod returns a configuration that drains a pod.
func drainPod(pod int) *fleetconfig.Config {
	c := &fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{pod}}}}}
	c.Normalize()
	return c
}

func (x *testAgent) plan(t testing.TB, c *fleetconfig.Config) *plan.Plan {
	t.Helper()
	p, err := x.Plan(context.Background(), c, 0.25)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The machine crashes, or the disk fails, at any single operation of the disk while a plan is applied. After a restart the old or the
// new generation is in force as a whole, the history says which, and a change that was reported as durable is there. A disk that
// fails before the switch changes nothing; one that fails after it is told in the result.
func TestCrashAtEachWriteLeavesOldOrNewGeneration(t *testing.T) {
	outcomes := map[string]int{}
	for _, fault := range []error{nil, syscall.ENOSPC, syscall.EROFS} {
		for at := 0; ; at++ {
			isDurable := false
			for seed := range uint64(15) {
				isDurable = applyWithFault(t, seed, at, fault, outcomes)
			}
			if isDurable {
				break
			}
		}
	}
	if outcomes["old"] == 0 || outcomes["new"] == 0 {
		t.Errorf("came back to %v", outcomes)
	}
}

// applyWithFault applies a plan on a disk that crashes (fault nil) or fails at operation at, restarts the agent, and checks what is in
// force; outcomes counts that. It reports whether the change was reported as durable.
func applyWithFault(t *testing.T, seed uint64, at int, fault error, outcomes map[string]int) (isDurable bool) {
	t.Helper()
	disk := faultfs.New(seed)
	x := startAgent(t, disk, 6)
	if a, err := x.Apply(t.Context(), x.plan(t, drainPod(0)), "x", "", true); err != nil || !a.IsDurable {
		t.Fatal(a, err)
	}
	oldHash, newConfig := x.hash(), drainPod(1)
	disk.OperationsUntilFault, disk.FaultError = at, fault
	a, err := x.Apply(t.Context(), x.plan(t, newConfig), "x", "", true)
	isDurable = err == nil && a.IsDurable
	if err != nil && x.hash() != oldHash {
		t.Fatalf("operation %d, %v: refused with %v, and yet it is in force", at, fault, err)
	}
	if err == nil && a.Hash != newConfig.Hash() {
		t.Fatalf("in force is %s", a.Hash)
	}
	disk.OperationsUntilFault = -1
	restarted := startAgent(t, disk.Reboot(), 6)
	history := restarted.engine.manager.State().History
	switch restarted.hash() {
	case oldHash:
		outcomes["old"]++
		if isDurable {
			t.Fatalf("operation %d, %v, seed %d: durable, and lost", at, fault, seed)
		}
	case newConfig.Hash():
		outcomes["new"]++
		if err != nil && fault == nil && !errors.Is(err, faultfs.ErrCrashed) {
			t.Fatal(err)
		}
	default:
		t.Fatalf("operation %d: came back to %s", at, restarted.hash())
	}
	if r := history[len(history)-1]; r.Event != generation.EventRestored || r.Hash != restarted.hash() {
		t.Fatalf("the history ends with %+v", r)
	}
	return isDurable
}

// Between plan and apply a server that the plan concerns comes, goes, restarts, drains or moves, or another generation comes in force.
// The plan is rejected as outdated and the error says what has changed. A change of a server of no concern does not matter.
func TestOutdatedPlanIsRejected(t *testing.T) {
	move := func(change func(fleet generation.Servers)) func(*testAgent) {
		return func(x *testAgent) {
			fleet := generation.Servers{}
			change(fleet)
			x.engine.manager.UpdateServers(fleet)
		}
	}
	changed := func(i int, f func(*fleetconfig.Server)) func(*testAgent) {
		return move(func(fleet generation.Servers) { s := server(i); f(s); fleet[s.ID] = s })
	}
	for name, tt := range map[string]struct {
		meanwhile func(*testAgent)
		want      string
	}{
		"a server has gone":      {move(func(f generation.Servers) { f["s-01"] = nil }), "server s-01 has gone"},
		"a server has come":      {move(func(f generation.Servers) { f["s-07"] = server(7) }), "server s-07 has come"},
		"a server has restarted": {changed(1, func(s *fleetconfig.Server) { s.StartedMS++ }), "server s-01 has restarted"},
		"a server drains":        {changed(4, func(s *fleetconfig.Server) { s.IsDraining = true }), "server s-04 drains"},
		"a server has moved":     {changed(1, func(s *fleetconfig.Server) { s.Addr = "127.0.0.99:80" }), "has changed its address"},
		"another generation": {func(x *testAgent) {
			if _, err := x.Apply(context.Background(), x.plan(t, drainPod(2)), "y", "", true); err != nil {
				t.Fatal(err)
			}
		}, "generation 1"},
		"a server of no concern": {changed(0, func(s *fleetconfig.Server) { s.StartedMS++ }), ""},
	} {
		t.Run(name, func(t *testing.T) {
			x := startAgent(t, nil, 6)
			p := x.plan(t, drainPod(1))
			tt.meanwhile(x)
			before := x.hash()
			_, err := x.Apply(t.Context(), p, "x", "", true)
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			e, ok := errors.AsType[*callError](err)
			if !ok || e.kind != KindOutdated || !strings.Contains(strings.Join(e.changed, "\n"), tt.want) {
				t.Errorf("%v, want %q", err, tt.want)
			}
			if x.hash() != before {
				t.Error("it was rejected, and something was changed")
			}
		})
	}
}

// drainedIDs returns the ids of the test servers that drain.
func (x *testAgent) drainedIDs() (ids []string) {
	for i := range 12 {
		if id := server(i).ID; x.engine.manager.IsDraining(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// drawConfig draws a configuration with drains and a limit.
func drawConfig(t *rapid.T) *fleetconfig.Config {
	c := &fleetconfig.Config{}
	for i := range rapid.IntRange(0, 2).Draw(t, "drains") {
		c.Drains = append(c.Drains, fleetconfig.Drain{Name: fmt.Sprint("d", i), Share: rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "share"),
			Selector: fleetconfig.Selector{Pods: []int{rapid.IntRange(0, 3).Draw(t, "pod")}}})
	}
	if n := rapid.IntRange(0, 3).Draw(t, "limit"); n > 0 {
		c.Limits = []fleetconfig.Limit{{Name: "l", Tenant: "wick", MaxInFlight: &n}}
	}
	c.Normalize()
	return c
}

// applyAndCompare plans and applies a configuration, compares what is in force with the plan, and may roll it back.
func (x *testAgent) applyAndCompare(t *rapid.T, c *fleetconfig.Config) {
	p, err := x.Plan(t.Context(), c, 0.25)
	if err != nil {
		t.Fatal(err)
	}
	before, hash := x.drainedIDs(), x.hash()
	if len(p.Changes) == 0 {
		return
	}
	if _, err := x.Apply(t.Context(), p, "x", "", true); err != nil {
		t.Fatal(err)
	}
	after := x.drainedIDs()
	want := slices.DeleteFunc(slices.Concat(before, p.Effect.Drains), func(id string) bool { return slices.Contains(p.Effect.Returns, id) })
	slices.Sort(want)
	if !slices.Equal(after, want) {
		t.Fatalf("drained are %v, and the plan from %v drains %v and returns %v", after, before, p.Effect.Drains, p.Effect.Returns)
	}
	again, err := x.Plan(t.Context(), c, 0.25)
	if err != nil || len(again.Changes)+len(again.Effect.Drains)+len(again.Effect.Returns)+len(again.ServerFacts) > 0 {
		t.Fatalf("planned again: %+v, %v", again, err)
	}
	if rapid.Bool().Draw(t, "back") {
		a, err := x.Rollback(t.Context(), "x", "")
		if err != nil || a.Hash != hash || !slices.Equal(x.drainedIDs(), before) {
			t.Fatalf("rolled back to %+v, %v, drained %v; before %s, %v", a, err, x.drainedIDs(), hash, before)
		}
	}
}

// Random configurations are planned and applied to random fleets, and some rolled back. What is in force after an apply is what the
// plan said, a new plan of the same configuration is empty, and a rollback brings back the hash and the drains of before.
func TestApplyDoesWhatThePlanSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := startAgent(&testing.T{}, nil, rapid.IntRange(0, 12).Draw(t, "servers"))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			x.applyAndCompare(t, drawConfig(t))
		}
	})
}

// A change drains all servers of a kind or pod, routes to a pool without servers, sends idempotent requests elsewhere, or limits what
// comes now. The plan flags it, so that whoever approves the plan knows.
func TestPlanFlagsRisks(t *testing.T) {
	drain := func(s fleetconfig.Selector) *fleetconfig.Config {
		return &fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: s}}}
	}
	to := func(pool string, class string) *fleetconfig.Config {
		return &fleetconfig.Config{Pools: []fleetconfig.Pool{{Name: "none", Selector: fleetconfig.Selector{IDs: []string{"x"}}}},
			Routes: []fleetconfig.Route{{Name: "r", Class: class, To: []fleetconfig.Target{{Pool: pool, Weight: 1}}}}}
	}
	for name, tt := range map[string]struct {
		config *fleetconfig.Config
		want   []string
	}{
		"one server":           {drain(fleetconfig.Selector{IDs: []string{"s-00"}}), nil},
		"all of a kind":        {drain(fleetconfig.Selector{Kinds: []string{"quad-core"}}), []string{plan.FlagDrainsKind, plan.FlagTakesCapacity}},
		"a pod":                {drain(fleetconfig.Selector{Pods: []int{1}}), []string{plan.FlagEmptiesPod, plan.FlagTakesCapacity}},
		"a route to nobody":    {to("none", "form-check"), []string{plan.FlagEmptiesRoute}},
		"keyed ones elsewhere": {to("all", "refund-record"), []string{plan.FlagMovesIdempotent}},
		"and of all classes":   {to("all", ""), []string{plan.FlagMovesIdempotent}},
	} {
		t.Run(name, func(t *testing.T) {
			tt.config.Normalize()
			p := startAgent(t, nil, 9).plan(t, tt.config)
			var kinds []string
			for _, f := range p.Flags {
				kinds = append(kinds, f.Kind)
			}
			if !slices.Equal(kinds, tt.want) {
				t.Errorf("flags are %+v, want %v", p.Flags, tt.want)
			}
		})
	}
	x := startAgent(t, nil, 6)
	for i := range 3000 { // 50 a second
		var b generation.Binding
		now := time.Second + time.Duration(i)*20*time.Millisecond
		x.engine.manager.Bind(now, &generation.Request{Tenant: 1}, &b)
		x.engine.manager.Release(now+time.Millisecond, &b, generation.Served)
		x.engine.now = now
	}
	for rate, want := range map[float64]string{10: plan.FlagMayRollBack, 45: plan.FlagRejectsRequests, 60: ""} {
		c := &fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", Tenant: "lerwick", Rate: rate, Burst: 5}}}
		p, kind := x.plan(t, c), ""
		if len(p.Flags) > 0 {
			kind = p.Flags[0].Kind
		}
		if kind != want {
			t.Errorf("a rate of %v for 50 a second is flagged %q, want %q: %+v", rate, kind, want, p.Effect.Limits)
		}
	}
}

// serve opens a socket for an agent and returns a client.
func serve(t *testing.T, x *testAgent) *Client {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&Server{Changes: x.ChangeManager, Log: slog.New(slog.DiscardHandler)}).Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), "another process listens") {
		t.Errorf("a second socket at the path: %v", err)
	}
	return NewClient(path)
}

// Two operators apply plans at once: one succeeds and the other's plan is outdated. A plan that was altered or made for another agent
// is rejected, and so is an operator while another one holds the lock.
func TestConcurrentOperatorsAreSerialized(t *testing.T) {
	x := startAgent(t, nil, 6)
	c := serve(t, x)
	plans := []*plan.Plan{x.plan(t, drainPod(0)), x.plan(t, drainPod(1))}
	var running sync.WaitGroup
	errs := make([]error, len(plans))
	for i, p := range plans {
		running.Go(func() {
			errs[i] = c.Call(t.Context(), http.MethodPost, PathApply, ApplyRequest{Plan: p, Actor: fmt.Sprint("op-", i)}, &ChangeResult{})
		})
	}
	running.Wait()
	won := slices.IndexFunc(errs, func(err error) bool { return err == nil })
	if won < 0 || errs[1-won] == nil || x.hash() != plans[won].TargetHash {
		t.Fatalf("%v; in force is %s", errs, x.hash())
	}
	if lost, ok := errors.AsType[*CallError](errs[1-won]); !ok || lost.Kind != KindOutdated || lost.Status != http.StatusConflict {
		t.Errorf("the other is told %v", errs[1-won])
	}
	try := func(what string, change func(*ApplyRequest), want string) {
		t.Helper()
		q := ApplyRequest{Plan: x.plan(t, drainPod(2)), Actor: "x", Force: true}
		change(&q)
		if err := c.Call(t.Context(), http.MethodPost, PathApply, q, &ChangeResult{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", what, err, want)
		}
	}
	try("altered", func(q *ApplyRequest) { q.Plan.CreatedUnixMS++ }, plan.ErrAltered.Error())
	try("nobody's", func(q *ApplyRequest) { q.Actor = "" }, "needs a name")
	try("no plan", func(q *ApplyRequest) { q.Plan = nil }, "no plan")
	other := startAgent(t, nil, 6)
	other.Agent = "n1"
	try("of another agent", func(q *ApplyRequest) { q.Plan = other.plan(t, drainPod(2)) }, plan.ErrOtherAgent.Error())
	try("while the change before is watched", func(q *ApplyRequest) { q.Force = false }, generation.ErrWatchActive.Error())
	if err := c.Call(t.Context(), http.MethodPost, PathLock, LockRequest{Holder: "y", Duration: "1m"}, &Lock{}); err != nil {
		t.Fatal(err)
	}
	try("without the lock", func(*ApplyRequest) {}, "y holds the lock")
	if err := c.Call(t.Context(), http.MethodPost, PathLock, LockRequest{Holder: "z", Duration: "1m"}, &Lock{}); err == nil {
		t.Error("two hold the lock")
	}
	if err := c.Call(t.Context(), http.MethodDelete, PathLock, LockRequest{Holder: "y"}, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	var a ChangeResult
	if err := c.Call(t.Context(), http.MethodPost, PathApply, ApplyRequest{Plan: x.plan(t, drainPod(2)), Actor: "x", Force: true}, &a); err != nil || a.Number != 2 || a.IsDurable {
		t.Errorf("%+v, %v", a, err)
	}
	if err := c.Call(t.Context(), http.MethodGet, PathStatus, nil, &Status{}); err != nil {
		t.Error(err)
	}
	var h []generation.Record
	if err := c.Call(t.Context(), http.MethodGet, PathHistory, nil, &h); err != nil || len(h) != 2 || h[1].Actor != "x" {
		t.Errorf("%+v, %v", h, err)
	}
}

// blockingStore is a StateStore whose writes wait until they are released.
type blockingStore struct{ begun, released chan struct{} }

func (s blockingStore) Save([]byte) error {
	s.begun <- struct{}{}
	<-s.released
	return nil
}

// A client leaves while its change is being stored. The change is brought to its end and is in force.
func TestChangeCompletesAfterClientLeft(t *testing.T) {
	x := startAgent(t, nil, 6)
	store := blockingStore{make(chan struct{}, 10), make(chan struct{})}
	x.Store = store
	c := serve(t, x)
	ctx, leave := context.WithCancel(t.Context())
	p := x.plan(t, drainPod(1))
	done := make(chan error, 1)
	go func() {
		done <- c.Call(ctx, http.MethodPost, PathApply, ApplyRequest{Plan: p, Actor: "x"}, &ChangeResult{})
	}()
	<-store.begun
	leave()
	if err := <-done; err == nil {
		t.Fatal("it did not leave")
	}
	close(store.released)
	agenttest.Eventually(t, "the change is in force", func() bool {
		x.engine.mu.Lock()
		defer x.engine.mu.Unlock()
		return x.hash() == p.TargetHash
	})
}

// The watch of a change ends and promotes it with nobody calling. That is stored as well, and a disk that fails is tried again until it
// works; meanwhile the status says that the state is not durable.
func TestSelfMadeChangesAreStored(t *testing.T) {
	disk := faultfs.New(1)
	x := startAgent(t, disk, 6)
	if _, err := x.Apply(t.Context(), x.plan(t, drainPod(1)), "x", "", false); err != nil {
		t.Fatal(err)
	}
	x.engine.now += time.Hour
	if err := x.Engine.WithGenerations(t.Context(), func(now time.Duration, m *generation.Manager) { m.Tick(now) }); err != nil {
		t.Fatal(err)
	}
	disk.OperationsUntilFault, disk.FaultError = 0, syscall.EIO
	if err := x.storeIfChanged(t.Context()); !errors.Is(err, syscall.EIO) {
		t.Fatalf("on a disk that fails: %v", err)
	}
	if s, err := x.Status(t.Context()); err != nil || s.IsDurable || s.Problem == "" {
		t.Errorf("%+v, %v", s, err)
	}
	if err := x.storeIfChanged(t.Context()); err != nil {
		t.Fatal(err)
	}
	if s, err := x.Status(t.Context()); err != nil || !s.IsDurable || s.IsWatched {
		t.Errorf("%+v, %v", s, err)
	}
	h := startAgent(t, disk, 6).engine.manager.State().History
	if len(h) != 3 || h[1].Event != generation.EventPromoted {
		t.Errorf("%+v", h)
	}
}

// Any bytes come as a plan. What is decoded is a complete plan as it was made.
func FuzzDecodePlan(f *testing.F) {
	x := startAgent(f, nil, 6)
	whole, err := json.Marshal(x.plan(f, drainPod(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(bytes.Replace(whole, []byte(`"share":1`), []byte(`"share":0.5`), 1))
	f.Add([]byte(`{"format":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := plan.Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := plan.Decode(again); err != nil {
			t.Fatalf("a plan that was decoded is not decoded again: %v", err)
		}
	})
}

// Any single byte of a plan is altered after it was made. The plan is not decoded.
func TestAlteredPlanIsRejected(t *testing.T) {
	whole, err := json.Marshal(startAgent(t, nil, 4).plan(t, drainPod(1)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		bad := bytes.Clone(whole)
		if bad[i]++; bad[i] == '\\' || bytes.EqualFold(bad, whole) {
			continue
		}
		_, err := plan.Decode(bad)
		if err == nil {
			t.Fatalf("with byte %d altered it is decoded: %.60s", i, bad[max(0, i-30):])
		}
	}
	if _, err := plan.Decode([]byte(`{"format":2,"what":1}`)); !errors.Is(err, plan.ErrNewerFormat) {
		t.Errorf("a newer one: %v", err)
	}
}

// BenchmarkPlan measures how long a plan takes over 10,000 servers and 1,000 routes.
func BenchmarkPlan(b *testing.B) {
	x := startAgent(b, nil, 0)
	fleet := generation.Servers{}
	for i := range 10_000 {
		s := server(i % 200)
		s.ID, s.Addr, s.Pod = fmt.Sprintf("s-%05d", i), fmt.Sprintf("127.%d.%d.%d:80", i>>16, i>>8&255, i&255), i%40
		fleet[s.ID] = s
	}
	x.engine.manager.UpdateServers(fleet)
	c := &fleetconfig.Config{Drains: drainPod(3).Drains}
	for i := range 1000 {
		pool := fleetconfig.AllServersPool
		if i < 16 {
			pool = fmt.Sprint("p", i)
			c.Pools = append(c.Pools, fleetconfig.Pool{Name: pool, Selector: fleetconfig.Selector{Pods: []int{i, i + 1}}})
		}
		c.Routes = append(c.Routes, fleetconfig.Route{Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprint("/form-check/", i),
			To: []fleetconfig.Target{{Pool: pool, Weight: 1}}})
	}
	c.Normalize()
	for b.Loop() {
		p, err := x.Plan(b.Context(), c, 0.25)
		if err != nil || len(p.Changes) != 1017 {
			b.Fatal(err)
		}
	}
}

// savedWhile is a StateStore that notes which configuration is in force at each Save.
type savedWhile struct {
	StateStore
	hash    func() string
	inForce []string
}

func (s *savedWhile) Save(doc []byte) error {
	s.inForce = append(s.inForce, s.hash())
	return s.StateStore.Save(doc)
}

// A change is on disk before it is in force, and once more with the switch. Else a crash between the two would lose a change that
// requests have already been served by.
func TestChangeIsStoredBeforeItIsInForce(t *testing.T) {
	x := startAgent(t, faultfs.New(1), 6)
	old, changed := x.hash(), drainPod(1)
	saved := &savedWhile{StateStore: x.Store, hash: x.hash}
	x.Store = saved
	if a, err := x.Apply(t.Context(), x.plan(t, changed), "x", "", true); err != nil || !a.IsDurable {
		t.Fatal(a, err)
	}
	if want := []string{old, changed.Hash()}; !slices.Equal(saved.inForce, want) {
		t.Errorf("saved while %q was in force, not %q", saved.inForce, want)
	}
}
