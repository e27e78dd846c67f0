package generation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// drawSelector draws a selector.
func drawSelector(t *rapid.T) (s fleetconfig.Selector) {
	switch rapid.IntRange(0, 4).Draw(t, "by") {
	case 0:
		s.Kinds = []string{rapid.SampledFrom([]string{"twin-core", "quad-core", "odd"}).Draw(t, "kind")}
	case 1:
		s.Pods = rapid.SliceOfN(rapid.IntRange(0, 4), 1, 3).Draw(t, "pods")
	case 2:
		s.Zones, s.Pods = []string{"b"}, []int{1, 2}
	case 3:
		s.IDs = []string{"s-1", "s-3"}
	}
	return s
}

func drawConfig(t *rapid.T) *fleetconfig.Config {
	c := fleetconfig.Config{}
	who := func() (class, tenant string) {
		return rapid.SampledFrom([]string{"", "form-check", "refund-record"}).Draw(t, "class"),
			rapid.SampledFrom([]string{"", "glasgow", "wick"}).Draw(t, "tenant")
	}
	pools := []string{fleetconfig.AllServersPool}
	for i := range rapid.IntRange(0, 3).Draw(t, "pools") {
		pools = append(pools, fmt.Sprint("p", i))
		c.Pools = append(c.Pools, fleetconfig.Pool{Name: fmt.Sprint("p", i), Selector: drawSelector(t)})
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
		r := fleetconfig.Route{Name: fmt.Sprint("r", i), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			PathPrefix: rapid.SampledFrom([]string{"", "/", "/form", "/form-check/a"}).Draw(t, "prefix")}
		r.Class, r.Tenant = who()
		if rapid.Bool().Draw(t, "header") {
			r.Headers = map[string]string{"X-Attrs": rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value")}
		}
		r.To = []fleetconfig.Target{{Pool: pools[rapid.IntRange(0, len(pools)-1).Draw(t, "to")], Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	seen := map[[2]string]bool{}
	for i := range rapid.IntRange(0, 2).Draw(t, "limits") {
		l := fleetconfig.Limit{Name: fmt.Sprint("l", i)}
		l.Class, l.Tenant = who()
		if n := rapid.IntRange(0, 4).Draw(t, "in flight"); !seen[[2]string{l.Class, l.Tenant}] {
			l.MaxInFlight = &n
			seen[[2]string{l.Class, l.Tenant}] = true
			c.Limits = append(c.Limits, l)
		}
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "drains") {
		d := fleetconfig.Drain{Name: fmt.Sprint("d", i), Selector: drawSelector(t), Share: rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "share")}
		if len(d.Kinds)+len(d.Pods)+len(d.Zones)+len(d.IDs) > 0 {
			c.Drains = append(c.Drains, d)
		}
	}
	return normalized(c)
}

// isSelected reports whether a selector selects a server, as plainly as can be written.
func isSelected(s fleetconfig.Selector, x *fleetconfig.Server) bool {
	in := func(words []string, w string) bool { return len(words) == 0 || slices.Contains(words, w) }
	return in(s.Kinds, x.Kind) && in(s.Zones, x.Zone) && in(s.IDs, x.ID) && (len(s.Pods) == 0 || slices.Contains(s.Pods, x.Pod))
}

// routeByScan finds the route of a request by trying all of them.
func routeByScan(c *fleetconfig.Config, a Request) *fleetconfig.Route {
	var best *fleetconfig.Route
	count := func(r *fleetconfig.Route) (n int) {
		if r.Class != "" {
			n++
		}
		if r.Tenant != "" {
			n++
		}
		if r.PathPrefix != "" {
			n++
		}
		return n + len(r.Headers)
	}
	before := func(r, o *fleetconfig.Route) bool {
		switch {
		case r.Priority != o.Priority:
			return r.Priority > o.Priority
		case count(r) != count(o):
			return count(r) > count(o)
		case len(r.PathPrefix) != len(o.PathPrefix):
			return len(r.PathPrefix) > len(o.PathPrefix)
		}
		return r.Name < o.Name
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		fits := (r.Class == "" || r.Class == names.Classes[a.Class].Name) && (r.Tenant == "" || r.Tenant == names.Tenants[a.Tenant]) &&
			strings.HasPrefix(a.Path, r.PathPrefix)
		for name, value := range r.Headers {
			fits = fits && len(a.Header[name]) == 1 && a.Header[name][0] == value
		}
		if fits && (best == nil || before(r, best)) {
			best = r
		}
	}
	return best
}

// model is what a Manager is compared with: configurations and servers as plain values, and the open requests.
type model struct {
	m       *Manager
	now     time.Duration
	config  *fleetconfig.Config // in force
	before  *fleetconfig.Config // to go back to, or nil
	servers Servers
	open    []*openRequest
	n       int
}

// openRequest is a request in flight, with what it was bound to when it arrived.
type openRequest struct {
	bound  Binding
	number uint64
	ids    []string
	limits []string // that it counts under
}

func (w *model) limitsOf(a Request) (out []string) {
	for _, l := range w.config.Limits {
		if (l.Class == "" || l.Class == names.Classes[a.Class].Name) && (l.Tenant == "" || l.Tenant == names.Tenants[a.Tenant]) {
			out = append(out, l.Name)
		}
	}
	return out
}

// inFlight counts the requests under a limit's name that are open, whatever their generation: as long as the name is in
// every generation between. The model asks only where that holds.
func (w *model) inFlight(name string) (n int) {
	for _, x := range w.open {
		if slices.Contains(x.limits, name) {
			n++
		}
	}
	return n
}

// Servers come and go, changes are applied and rolled back, requests arrive and end, and processes restart or follow each other,
// in any order. Pools, drains and routes are always what a scan of all servers and routes finds, limits admit what they say, and
// a request keeps what it was bound to. A rollback brings the same hash back, and no memory of requests is left when all have
// ended.
func TestManagerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{m: newManager(), now: time.Second, config: &fleetconfig.Config{}, servers: Servers{}}
		t.Repeat(map[string]func(*rapid.T){
			"servers": w.list, "apply": w.apply, "rollback": w.rollback, "arrive": w.arrive, "end": w.end, "restart": w.restart, "follow": w.follow, "": w.check,
		})
		for len(w.open) > 0 {
			w.end(t)
		}
		for _, l := range w.m.active.limits {
			if l.gauge.inFlight != 0 {
				t.Fatalf("limit %s has %d in flight, and nothing is", l.Name, l.gauge.inFlight)
			}
		}
		if s := w.m.Status(w.now); len(s.OpenRequests) > 0 || len(w.m.retiring) > 0 {
			t.Fatalf("held although nothing is open: %+v", s)
		}
	})
}

func (w *model) list(t *rapid.T) {
	changed := Servers{}
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		s := server(rapid.IntRange(0, 15).Draw(t, "server"))
		if changed[s.ID] = s; rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
			changed[s.ID] = nil
		} else if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
			s.Pod, s.Kind = 3, "quad-core"
		}
	}
	for id, s := range changed {
		if s == nil {
			delete(w.servers, id)
		} else {
			w.servers[id] = s
		}
	}
	w.m.UpdateServers(changed)
}

func (w *model) apply(t *rapid.T) {
	c := drawConfig(t)
	if c.Hash() == w.config.Hash() {
		return
	}
	apply(t, w.m, w.now, c)
	w.config, w.before = c, w.config
}

func (w *model) rollback(t *rapid.T) {
	err := w.m.Rollback(w.now, "test", "")
	if (err == nil) != (w.before != nil) {
		t.Fatalf("there is a generation to go back to: %v, and it said %v", w.before != nil, err)
	}
	if w.before != nil {
		w.config, w.before = w.before, nil
	}
}

// restart makes a new Manager of the state of the old one, whose requests are lost with it.
func (w *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
		return
	}
	s := w.m.State()
	w.m, w.open = newManager(), nil
	if err := w.m.Restore(w.now, s); err != nil {
		t.Fatal(err)
	}
	w.m.UpdateServers(maps.Clone(w.servers))
}

// follow makes changes in another process, whose state this one follows or takes over. Its own requests stay, and the endpoint list
// may change between the compilation of the state and its use.
func (w *model) follow(t *rapid.T) {
	other := newManager()
	if err := other.Restore(w.now, w.m.State()); err != nil {
		t.Fatal(err)
	}
	other.UpdateServers(maps.Clone(w.servers))
	switch c := drawConfig(t); {
	case rapid.Bool().Draw(t, "the other one rolls back") && w.before != nil:
		if err := other.Rollback(w.now, "test", ""); err != nil {
			t.Fatal(err)
		}
		w.config, w.before = w.before, nil
	case c.Hash() != w.config.Hash():
		apply(t, other, w.now, c)
		w.config, w.before = c, w.config
	}
	servers, version := w.m.Servers()
	p, err := CompileState(other.State(), names, servers, version)
	if err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "the list moves") {
		w.list(t)
	}
	if rapid.Bool().Draw(t, "it has ended") {
		w.m.TakeOver(w.now, p)
	} else {
		w.m.Follow(w.now, p)
	}
	_, number, hash := other.Config()
	if _, n, h := w.m.Config(); n != number || h != hash {
		t.Fatalf("generation %d (%.12s) follows %d (%.12s)", n, h, number, hash)
	}
}

func (w *model) arrive(t *rapid.T) {
	w.n++
	a := Request{ID: fmt.Sprint(w.n), Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: rapid.IntRange(0, 2).Draw(t, "tenant"),
		Path: rapid.SampledFrom([]string{"/", "/form-check/a/b", "/form-check"}).Draw(t, "path"), Deadline: w.now + time.Second}
	if rapid.Bool().Draw(t, "attrs") {
		a.Header = map[string][]string{"X-Attrs": {rapid.SampledFrom([]string{"1", "2"}).Draw(t, "attr")}}
	}
	x := &openRequest{}
	rejection, ok := w.m.Bind(w.now, &a, &x.bound)
	if !ok {
		i := slices.IndexFunc(w.config.Limits, func(l fleetconfig.Limit) bool { return l.Name == rejection.Limit })
		if i < 0 || rejection.MaxInFlight != *w.config.Limits[i].MaxInFlight {
			t.Fatalf("rejected by %+v, which is not in force", rejection)
		}
		return
	}
	if route := routeByScan(w.config, a); route == nil {
		if x.bound.ServerIDs() != nil {
			t.Fatalf("without a route it is kept to %v", x.bound.ServerIDs())
		}
	} else {
		w.checkPool(t, route.To[0].Pool, x.bound.ServerIDs())
	}
	x.number, x.ids, x.limits = x.bound.Generation(), slices.Clone(x.bound.ServerIDs()), w.limitsOf(a)
	w.open = append(w.open, x)
}

func (w *model) checkPool(t *rapid.T, name string, ids []string) {
	i := slices.IndexFunc(w.config.Pools, func(p fleetconfig.Pool) bool { return p.Name == name })
	var want []string
	if i >= 0 {
		for id, s := range w.servers {
			if isSelected(w.config.Pools[i].Selector, s) {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		if all := fmt.Sprint(w.config.Pools[i].Selector) == fmt.Sprint(fleetconfig.Selector{}); all {
			want = nil
		}
	}
	if !slices.Equal(ids, want) {
		t.Fatalf("pool %s is %v, want %v", name, ids, want)
	}
}

func (w *model) end(t *rapid.T) {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(t, "ends")
	x := w.open[i]
	if x.bound.Generation() != x.number || !slices.Equal(x.bound.ServerIDs(), x.ids) {
		t.Fatalf("bound to %d and %v, and it ends under %d with %v", x.number, x.ids, x.bound.Generation(), x.bound.ServerIDs())
	}
	w.m.Release(w.now, &x.bound, Served)
	w.m.Release(w.now, &x.bound, Served) // a second call changes nothing
	w.open = slices.Delete(w.open, i, i+1)
}

func (w *model) check(t *rapid.T) {
	if _, _, hash := w.m.Config(); hash != w.config.Hash() {
		t.Fatalf("%s is in force, want %s", hash, w.config.Hash())
	}
	want := map[string]bool{}
	for _, d := range w.config.Drains {
		var in []*fleetconfig.Server
		for _, s := range w.servers {
			if isSelected(d.Selector, s) {
				in = append(in, s)
			}
		}
		for _, s := range fleetconfig.SelectShare(in, d.Name, d.Share) {
			want[s.ID] = true
		}
	}
	if !maps.Equal(want, w.m.draining) {
		t.Fatalf("drained are %v, want %v", w.m.draining, want)
	}
	for _, l := range w.m.active.limits {
		if n := l.gauge.inFlight; n > max(*l.MaxInFlight, w.inFlight(l.Name)) {
			t.Fatalf("limit %s lets in %d", l.Name, n)
		}
	}
	if n := w.m.Status(w.now).OpenRequests; sum(n) != len(w.open) {
		t.Fatalf("open are %v, want %d", n, len(w.open))
	}
}

func sum(m map[uint64]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
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
