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

// CompiledConfig is a configuration in the form in which requests are matched against it. Compile makes it in any goroutine; once
// it is given to a Manager it belongs to that.
type CompiledConfig struct {
	Config *fleetconfig.Config // only read
	Hash   string              // of Config

	encoded []byte // Config as JSON
	serverSets
	routes            routeIndex
	limits            map[scope]*compiledLimit
	deadlines         map[scope]time.Duration
	unresolved        int    // routes, limits and deadlines for names that the platform does not know at present
	drainsFingerprint uint64 // of Config.Drains
}

// Compile checks a normalized configuration and prepares it for these servers. With many servers and pools it takes some hundreds
// of milliseconds, so it is not called in the engine's goroutine.
func Compile(c *fleetconfig.Config, names Names, servers Servers) (*CompiledConfig, error) {
	if err := c.Check(names.ConfigNames()); err != nil {
		return nil, err
	}
	return compileChecked(c, names, servers)
}

// CompileStored is Compile for a configuration that was accepted before. The platform may have dropped names since; what is for these
// alone has no effect until they are back, as in a process that was running when they went.
func CompileStored(c *fleetconfig.Config, names Names, servers Servers) (*CompiledConfig, error) {
	if err := c.Check(fleetconfig.Names{RoutableHeaders: names.RoutableHeaders}); err != nil {
		return nil, err
	}
	return compileChecked(c, names, servers)
}

// compileChecked prepares a configuration that has been checked.
func compileChecked(c *fleetconfig.Config, names Names, servers Servers) (*CompiledConfig, error) {
	out := &CompiledConfig{
		Config:            c,
		Hash:              c.Hash(),
		encoded:           c.JSON(),
		serverSets:        serverSets{pools: map[string]*serverPool{}, known: Servers{}, drained: map[string]bool{}},
		limits:            map[scope]*compiledLimit{},
		deadlines:         map[scope]time.Duration{},
		drainsFingerprint: fingerprint(c.Drains),
	}
	if err := out.compileServerSets(); err != nil {
		return nil, err
	}
	out.resolve(names)
	out.update(servers, slices.Collect(maps.Keys(servers)))
	return out, nil
}

// resolve puts in force all that names known to the platform are for, and counts what waits for others. What is in force stays.
func (c *CompiledConfig) resolve(names Names) {
	c.unresolved = 0
	c.compileRoutes(names)
	for _, l := range c.Config.Limits {
		s, isKnown := names.scope(l.Class, l.Tenant)
		switch {
		case !isKnown:
			c.unresolved++
		case c.limits[s] == nil:
			c.limits[s] = newCompiledLimit(l, nil)
		}
	}
	for _, d := range c.Config.Deadlines {
		s, isKnown := names.scope(d.Class, d.Tenant)
		if !isKnown {
			c.unresolved++
			continue
		}
		c.deadlines[s] = time.Duration(d.AtMost)
	}
}

// compileServerSets prepares the pools, the pool of all servers among them, and the drains.
func (c *CompiledConfig) compileServerSets() error {
	for _, p := range append([]fleetconfig.Pool{{Name: fleetconfig.AllServersPool}}, c.Config.Pools...) {
		m, err := p.Matcher()
		if err != nil {
			return fmt.Errorf("pool %s: %w", p.Name, err)
		}
		c.pools[p.Name] = &serverPool{match: m, fingerprint: fingerprint(p.Selector)}
	}
	for _, d := range c.Config.Drains {
		m, err := d.Matcher()
		if err != nil {
			return fmt.Errorf("drain %s: %w", d.Name, err)
		}
		c.drains = append(c.drains, &compiledDrain{Drain: d, match: m})
	}
	return nil
}

// compileRoutes fills the route index. Targets without weight get no requests and are left out.
func (c *CompiledConfig) compileRoutes(names Names) {
	c.routes = routeIndex{}
	for rank, from := range matchOrder(c.Config.Routes) {
		s, isKnown := names.scope(from.Class, from.Tenant)
		if !isKnown {
			c.unresolved++
			continue
		}
		r := &compiledRoute{rank: rank, prefix: from.PathPrefix, headers: headerConditions(&from)}
		for _, t := range from.To {
			if t.Weight == 0 {
				continue
			}
			r.totalWeight += float64(t.Weight)
			r.targets = append(r.targets, weightedTarget{c.pools[t.Pool], r.totalWeight})
		}
		c.routes.add(s, r)
	}
}

// fingerprint returns a hash of a value's JSON: two values with the same one are taken for the same.
func fingerprint(v any) uint64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic("generation: " + err.Error()) // parts of checked configurations can always be written
	}
	return xxhash.Sum64(data)
}

// inheritCounters takes over what the generation before counts under limits of the same name. A limit without one there keeps
// what it counted when this configuration was in force last.
func (c *CompiledConfig) inheritCounters(old *CompiledConfig) {
	byName := map[string]*compiledLimit{}
	for _, l := range old.limits {
		byName[l.Name] = l
	}
	for s, l := range c.limits {
		if before := byName[l.Name]; before != nil {
			c.limits[s] = newCompiledLimit(l.Limit, before)
		}
	}
}

// DrainedIDs returns the ids of the servers that the drains select, all of them whatever a rollout's step. The map is only read.
func (c *CompiledConfig) DrainedIDs() map[string]bool { return c.drained }

// PoolServerIDs returns the sorted ids of a pool's servers. For a pool that selects all servers there is no list, and isAll is
// true. The slice is only read.
func (c *CompiledConfig) PoolServerIDs(name string) (ids []string, isAll bool) {
	p := c.pools[name]
	if p == nil {
		return nil, false
	}
	return p.ids, p.match.MatchesAll()
}

// OrderedRoutes returns the configuration's routes in the order in which they are matched.
func (c *CompiledConfig) OrderedRoutes() []fleetconfig.Route { return matchOrder(c.Config.Routes) }
