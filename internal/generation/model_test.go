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
	manager *Manager
	now     time.Duration
	config  *fleetconfig.Config // in force
	before  *fleetconfig.Config // that a rollback goes back to, or nil
	servers Servers
	open    []*openRequest
	arrived int
}

// openRequest is a request in flight, with what it was bound to when it arrived.
type openRequest struct {
	binding Binding
	number  uint64
	ids     []string
	limits  []string // that it counts under
}

func (m *model) limitsOf(a Request) (out []string) {
	for _, l := range m.config.Limits {
		if (l.Class == "" || l.Class == names.Classes[a.Class].Name) && (l.Tenant == "" || l.Tenant == names.Tenants[a.Tenant]) {
			out = append(out, l.Name)
		}
	}
	return out
}

// inFlight counts the requests under a limit's name that are open, whatever their generation: as long as the name is in
// every generation between. The model asks only where that holds.
func (m *model) inFlight(name string) (n int) {
	for _, x := range m.open {
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
		m := &model{manager: newManager(), now: time.Second, config: &fleetconfig.Config{}, servers: Servers{}}
		t.Repeat(map[string]func(*rapid.T){
			"servers": m.list, "apply": m.apply, "rollback": m.rollback, "arrive": m.arrive, "end": m.end, "restart": m.restart, "follow": m.follow, "": m.check,
		})
		for len(m.open) > 0 {
			m.end(t)
		}
		for _, l := range m.manager.active.limits {
			if l.gauge.inFlight != 0 {
				t.Fatalf("limit %s has %d in flight, and nothing is", l.Name, l.gauge.inFlight)
			}
		}
		if s := m.manager.Status(m.now); len(s.OpenRequests) > 0 || len(m.manager.retiring) > 0 {
			t.Fatalf("requests are counted although none is open: %+v", s)
		}
	})
}

func (m *model) list(t *rapid.T) {
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
			delete(m.servers, id)
		} else {
			m.servers[id] = s
		}
	}
	m.manager.UpdateServers(changed)
}

func (m *model) apply(t *rapid.T) {
	c := drawConfig(t)
	if c.Hash() == m.config.Hash() {
		return
	}
	apply(t, m.manager, m.now, c)
	m.config, m.before = c, m.config
}

func (m *model) rollback(t *rapid.T) {
	err := m.manager.Rollback(m.now, "test", "")
	if (err == nil) != (m.before != nil) {
		t.Fatalf("there is a generation to go back to: %v, and the rollback returned %v", m.before != nil, err)
	}
	if m.before != nil {
		m.config, m.before = m.before, nil
	}
}

// restart makes a new Manager of the state of the old one, whose requests are lost with it.
func (m *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
		return
	}
	s := m.manager.State()
	m.manager, m.open = newManager(), nil
	if err := m.manager.Restore(m.now, s); err != nil {
		t.Fatal(err)
	}
	m.manager.UpdateServers(maps.Clone(m.servers))
}

// follow makes changes in another process, whose state this one follows or takes over. Its own requests stay, and the endpoint list
// may change between the compilation of the state and its use.
func (m *model) follow(t *rapid.T) {
	other := newManager()
	if err := other.Restore(m.now, m.manager.State()); err != nil {
		t.Fatal(err)
	}
	other.UpdateServers(maps.Clone(m.servers))
	switch c := drawConfig(t); {
	case rapid.Bool().Draw(t, "the other one rolls back") && m.before != nil:
		if err := other.Rollback(m.now, "test", ""); err != nil {
			t.Fatal(err)
		}
		m.config, m.before = m.before, nil
	case c.Hash() != m.config.Hash():
		apply(t, other, m.now, c)
		m.config, m.before = c, m.config
	}
	servers, version := m.manager.Servers()
	p, err := CompileState(other.State(), names, servers, version)
	if err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "the list moves") {
		m.list(t)
	}
	if rapid.Bool().Draw(t, "it has ended") {
		m.manager.TakeOver(m.now, p)
	} else {
		m.manager.Follow(m.now, p)
	}
	_, number, hash := other.Config()
	if _, n, h := m.manager.Config(); n != number || h != hash {
		t.Fatalf("generation %d (%.12s) follows %d (%.12s)", n, h, number, hash)
	}
}

func (m *model) arrive(t *rapid.T) {
	m.arrived++
	a := Request{ID: fmt.Sprint(m.arrived), Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: rapid.IntRange(0, 2).Draw(t, "tenant"),
		Path: rapid.SampledFrom([]string{"/", "/form-check/a/b", "/form-check"}).Draw(t, "path"), Deadline: m.now + time.Second}
	if rapid.Bool().Draw(t, "attrs") {
		a.Header = map[string][]string{"X-Attrs": {rapid.SampledFrom([]string{"1", "2"}).Draw(t, "attr")}}
	}
	x := &openRequest{}
	rejection, ok := m.manager.Bind(m.now, &a, &x.binding)
	if !ok {
		i := slices.IndexFunc(m.config.Limits, func(l fleetconfig.Limit) bool { return l.Name == rejection.Limit })
		if i < 0 || rejection.MaxInFlight != *m.config.Limits[i].MaxInFlight {
			t.Fatalf("rejected by %+v, which is not in force", rejection)
		}
		return
	}
	if route := routeByScan(m.config, a); route == nil {
		if x.binding.ServerIDs() != nil {
			t.Fatalf("without a route it is restricted to %v", x.binding.ServerIDs())
		}
	} else {
		m.checkPool(t, route.To[0].Pool, x.binding.ServerIDs())
	}
	x.number, x.ids, x.limits = x.binding.Generation(), slices.Clone(x.binding.ServerIDs()), m.limitsOf(a)
	m.open = append(m.open, x)
}

func (m *model) checkPool(t *rapid.T, name string, ids []string) {
	i := slices.IndexFunc(m.config.Pools, func(p fleetconfig.Pool) bool { return p.Name == name })
	var want []string
	if i >= 0 {
		for id, s := range m.servers {
			if isSelected(m.config.Pools[i].Selector, s) {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		if all := fmt.Sprint(m.config.Pools[i].Selector) == fmt.Sprint(fleetconfig.Selector{}); all {
			want = nil
		}
	}
	if !slices.Equal(ids, want) {
		t.Fatalf("pool %s is %v, want %v", name, ids, want)
	}
}

func (m *model) end(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "ends")
	x := m.open[i]
	if x.binding.Generation() != x.number || !slices.Equal(x.binding.ServerIDs(), x.ids) {
		t.Fatalf("bound to %d and %v, and it ends under %d with %v", x.number, x.ids, x.binding.Generation(), x.binding.ServerIDs())
	}
	m.manager.Release(m.now, &x.binding, Served)
	m.manager.Release(m.now, &x.binding, Served) // a second call changes nothing
	m.open = slices.Delete(m.open, i, i+1)
}

func (m *model) check(t *rapid.T) {
	if _, _, hash := m.manager.Config(); hash != m.config.Hash() {
		t.Fatalf("%s is in force, want %s", hash, m.config.Hash())
	}
	want := map[string]bool{}
	for _, d := range m.config.Drains {
		var in []*fleetconfig.Server
		for _, s := range m.servers {
			if isSelected(d.Selector, s) {
				in = append(in, s)
			}
		}
		for _, s := range fleetconfig.SelectShare(in, d.Name, d.Share) {
			want[s.ID] = true
		}
	}
	if !maps.Equal(want, m.manager.draining) {
		t.Fatalf("drained are %v, want %v", m.manager.draining, want)
	}
	for _, l := range m.manager.active.limits {
		if n := l.gauge.inFlight; n > max(*l.MaxInFlight, m.inFlight(l.Name)) {
			t.Fatalf("limit %s lets in %d", l.Name, n)
		}
	}
	if n := m.manager.Status(m.now).OpenRequests; sum(n) != len(m.open) {
		t.Fatalf("open are %v, want %d", n, len(m.open))
	}
}

func sum(counts map[uint64]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
