package generation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleetconfig"
)

// Class is a class of requests, as the platform has it.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within this time is a good one
	Deadline         time.Duration
}

// Names are the platform's, in the order of the module's numbers.
type Names struct {
	Classes           []Class
	Tenants           []string
	Zones             []string
	RoutableHeaders   []string // that routes may ask for, canonical
	IdempotentClasses []string // names of the classes whose repeats pods remember
}

// ConfigNames are the names for a configuration's check.
func (n Names) ConfigNames() fleetconfig.Names {
	k := fleetconfig.Names{Tenants: n.Tenants, Zones: n.Zones, Readable: n.RoutableHeaders}
	for _, c := range n.Classes {
		k.Classes = append(k.Classes, c.Name)
	}
	return k
}

// CompiledConfig is a configuration that is ready for use. Compile makes it, in any goroutine; after that it belongs to a Manager.
type CompiledConfig struct {
	Config *fleetconfig.Config
	Hash   string

	json []byte // of Config
	fleet
	routes    routeIndex
	limits    map[who]*limit
	deadlines map[who]time.Duration
	drainSign uint64
}

// tenure is the time of a configuration in force, under one number. A rollback brings an earlier configuration back under a
// number of its own.
type tenure struct {
	*CompiledConfig
	number uint64
	open   int // requests that are bound to it
}

// Compile checks a normalized configuration and makes it ready for these servers. It takes as long as it takes: with many
// servers and pools some hundreds of milliseconds.
func Compile(c *fleetconfig.Config, names Names, servers Servers) (*CompiledConfig, error) {
	if err := c.Check(names.ConfigNames()); err != nil {
		return nil, err
	}
	out := &CompiledConfig{Config: c, Hash: c.Hash(), json: c.JSON(), routes: routeIndex{}, limits: map[who]*limit{}, deadlines: map[who]time.Duration{},
		fleet: fleet{pools: map[string]*pool{}, told: Servers{}, out: map[string]bool{}}, drainSign: signOf(c.Drains)}
	for _, p := range append([]fleetconfig.Pool{{Name: fleetconfig.All}}, c.Pools...) {
		m, err := p.Matcher()
		if err != nil {
			return nil, fmt.Errorf("pool %s: %w", p.Name, err)
		}
		out.pools[p.Name] = &pool{name: p.Name, match: m, sign: signOf(p.Selector)}
	}
	for _, d := range c.Drains {
		m, err := d.Matcher()
		if err != nil {
			return nil, fmt.Errorf("drain %s: %w", d.Name, err)
		}
		out.drains = append(out.drains, &drain{Drain: d, match: m})
	}
	out.compileRoutes(names)
	for _, l := range c.Limits {
		out.limits[names.who(l.Class, l.Tenant)] = newLimit(l, nil)
	}
	for _, d := range c.Deadlines {
		out.deadlines[names.who(d.Class, d.Tenant)] = time.Duration(d.AtMost)
	}
	out.update(servers, slices.Collect(maps.Keys(servers)))
	return out, nil
}

func (c *CompiledConfig) compileRoutes(names Names) {
	for rank, from := range orderOf(c.Config.Routes) {
		r := &route{rank: rank, prefix: from.PathPrefix, headers: headersOf(&from)}
		for _, t := range from.To {
			if t.Weight == 0 {
				continue
			}
			p := c.pools[t.Pool]
			r.total += float64(t.Weight)
			r.targets = append(r.targets, target{p, r.total})
		}
		c.routes.add(names.who(from.Class, from.Tenant), r)
	}
}

// who is the pair of numbers for two names.
func (n Names) who(class, tenant string) who {
	w := who{anyone, anyone}
	if class != "" {
		w.class = slices.IndexFunc(n.Classes, func(c Class) bool { return c.Name == class })
	}
	if tenant != "" {
		w.tenant = slices.Index(n.Tenants, tenant)
	}
	return w
}

// signOf is a hash of a value's JSON: two of the same sign are the same.
func signOf(v any) uint64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic("generation: " + err.Error()) // of checked configurations, which can't fail
	}
	return xxhash.Sum64(data)
}

// inherit takes over what a predecessor counts: requests in flight under a limit of the same name, and the tokens of one
// that is the same.
func (c *CompiledConfig) inherit(old *CompiledConfig) {
	byName := map[string]*limit{}
	for _, l := range old.limits {
		byName[l.Name] = l
	}
	for w, l := range c.limits {
		if before := byName[l.Name]; before != nil { // else it has what it counted when it was in force last
			c.limits[w] = newLimit(l.Limit, before)
		}
	}
}

// Request is a request, as routes and limits see it.
type Request struct {
	ID                          string
	Class, Tenant               int
	Path                        string
	Header                      map[string][]string // canonical names
	AffinityKey, IdempotencyKey string
	Deadline                    time.Duration // on the engine's clock
}

// Binding is a request's tie to a generation, from its arrival to its answer.
type Binding struct {
	of          *tenure
	limits      [4]*limit
	class       int
	pair        int // of the traffic
	began       time.Duration
	touched     bool // the change under watch concerns it
	pool        *pool
	ids         []string
	Deadline    time.Duration // when it is ended
	MaxAttempts int           // that it may have, in all; 0: as the platform says
}

// ServerCount are the ids of those that it may go to, sorted; nil: any.
func (b *Binding) ServerIDs() []string { return b.ids }

// Generation is the number of the one that it belongs to; 0 where it belongs to none any more.
func (b *Binding) Generation() uint64 {
	if b.of == nil {
		return 0
	}
	return b.of.number
}

// Rejection says which limit turned a request away, and when its client may come back.
type Rejection struct {
	Limit       string
	RetryAfter  time.Duration
	MaxInFlight int // that the limit lets in at a time; 0 where it limits the rate
}

// bind ties a request to the generation.
func (c *tenure) bind(now time.Duration, a *Request, b *Binding) (Rejection, bool) {
	var meets [4]*limit
	n := 0
	if len(c.limits) > 0 {
		for _, w := range around(a.Class, a.Tenant) {
			l := c.limits[w]
			if l == nil {
				continue
			}
			if wait, ok := l.full(now); !ok {
				l.refused++
				told := Rejection{Limit: l.Name, RetryAfter: wait}
				if l.InFlight != nil && l.gauge.inFlight >= *l.InFlight {
					told.MaxInFlight = *l.InFlight
				}
				return told, false
			}
			meets[n] = l
			n++
		}
	}
	*b = Binding{of: c, limits: meets, began: now, Deadline: a.Deadline}
	for _, l := range meets[:n] {
		l.take(now)
		if l.Attempts > 0 && (b.MaxAttempts == 0 || l.Attempts < b.MaxAttempts) {
			b.MaxAttempts = l.Attempts
		}
	}
	if r := c.routes.find(a); r != nil {
		b.pool = r.target(a)
		b.ids = b.pool.ids
	}
	if len(c.deadlines) > 0 {
		for _, w := range around(a.Class, a.Tenant) {
			if most, is := c.deadlines[w]; is {
				b.Deadline = min(b.Deadline, now+most)
			}
		}
	}
	c.open++
	return Rejection{}, true
}

// sign tells what the generation does with a request; where two generations have the same one it is the same.
func (c *CompiledConfig) sign(a *Request) uint64 {
	var parts [10]uint64
	parts[0] = c.drainSign
	if r := c.routes.find(a); r != nil {
		parts[1] = r.target(a).sign
	}
	for i, w := range around(a.Class, a.Tenant) {
		if l := c.limits[w]; l != nil {
			parts[2+i] = l.sign
		}
		parts[6+i] = uint64(c.deadlines[w])
	}
	sum := uint64(14695981039346656037)
	for _, p := range parts { // FNV-1a over whole words
		sum = (sum ^ p) * 1099511628211
	}
	return sum
}

// RolloutShare are the ids of the servers that the drains take out, all of them whatever a rollout's step.
func (c *CompiledConfig) DrainedIDs() map[string]bool { return c.out }

// PoolServerIDs are the ids of a pool's servers, sorted. There is no list for a pool of all servers, which is told by all.
func (c *CompiledConfig) PoolServerIDs(name string) (ids []string, all bool) {
	p := c.pools[name]
	if p == nil {
		return nil, false
	}
	return p.ids, p.match.Everything()
}

// OrderedRoutes are the configuration's routes in the order in which they are asked.
func (c *CompiledConfig) OrderedRoutes() []fleetconfig.Route { return orderOf(c.Config.Routes) }
