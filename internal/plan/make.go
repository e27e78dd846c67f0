package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// Input is what a plan is made from: a configuration and the fleet as it is.
type Input struct {
	Agent             string
	Number            uint64 // of the generation in force
	From, To          *fleetconfig.Config
	Names             generation.Names
	Servers           generation.Servers
	IdempotentClasses []string // names of the classes whose servers remember idempotency keys
	// EstimateRejected estimates how many of the last minute's requests a limit would have rejected, and of how many. nil: limits have
	// no effect in the plan.
	EstimateRejected func(fleetconfig.Limit) (rejected, arrived float64)
	MaxCapacityTaken float64 // the share of capacity, from 0 to 1, that a change may take unflagged
	UnixMS           int64   // now, in milliseconds since the Unix epoch
}

// Make makes a plan, and returns the proposed configuration compiled for the same servers. An error says what is wrong with a
// configuration.
func Make(in Input) (*Plan, *generation.CompiledConfig, error) {
	from, err := generation.CompileStored(in.From, in.Names, in.Servers)
	if err != nil {
		return nil, nil, fmt.Errorf("the configuration in force: %w", err)
	}
	to, err := generation.Compile(in.To, in.Names, in.Servers)
	if err != nil {
		return nil, nil, err
	}
	p := &Plan{Format: Format, Agent: in.Agent, BaseNumber: in.Number, BaseHash: from.Hash, TargetHash: to.Hash, Config: in.To.JSON(),
		CreatedUnixMS: in.UnixMS, Changes: fleetconfig.Diff(in.From, in.To)}
	b := builder{in: in, from: from, to: to, plan: p}
	b.addDrains()
	b.addCapacities()
	b.addRoutes()
	b.addLimits()
	b.addSteps()
	b.addServerFacts()
	b.addFlags()
	p.Checksum = p.checksum()
	return p, to, nil
}

// builder fills a plan in. Its steps build on each other, in the order of Make.
type builder struct {
	in       Input
	from, to *generation.CompiledConfig
	plan     *Plan
}

// addDrains adds the servers whose drain begins or ends.
func (b *builder) addDrains() {
	e := &b.plan.Effect
	for _, id := range slices.Sorted(maps.Keys(b.in.Servers)) {
		was, is := b.from.DrainedIDs()[id], b.to.DrainedIDs()[id]
		switch {
		case is && !was:
			e.Drains = append(e.Drains, id)
		case was && !is:
			e.Returns = append(e.Returns, id)
		}
	}
}

// addCapacities adds the capacities, in all and by kind, zone and pod. Servers that drain by the endpoint list count for nothing, as
// the change can neither take nor give them.
func (b *builder) addCapacities() {
	e := &b.plan.Effect
	kinds, zones, pods := map[string]*Capacity{}, map[string]*Capacity{}, map[string]*Capacity{}
	for id, s := range b.in.Servers {
		if s.IsDraining {
			continue
		}
		for _, c := range []*Capacity{&e.Capacity, capacityOf(kinds, s.Kind), capacityOf(zones, s.Zone), capacityOf(pods, strconv.Itoa(s.Pod))} {
			if !b.from.DrainedIDs()[id] {
				c.Servers++
				c.Weight += s.Weight
			}
			if !b.to.DrainedIDs()[id] {
				c.ServersAfter++
				c.WeightAfter += s.Weight
			}
		}
	}
	e.Capacity.round()
	e.Kinds, e.Zones, e.Pods = sortedCapacities(kinds), sortedCapacities(zones), sortedCapacities(pods)
}

// capacityOf returns the entry of a name, which it makes if there is none.
func capacityOf(m map[string]*Capacity, name string) *Capacity {
	if m[name] == nil {
		m[name] = &Capacity{Name: name}
	}
	return m[name]
}

// sortedCapacities returns the entries in the order of their names; those that are numbers are in the order of their values.
func sortedCapacities(m map[string]*Capacity) []Capacity {
	out := make([]Capacity, 0, len(m))
	for _, c := range m {
		c.round()
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// round rounds the weights to a millionth: they are added up in the order of a map, and a plan of the same input has to have the same
// bytes.
func (c *Capacity) round() {
	const precision = 1e6
	c.Weight = math.Round(c.Weight*precision) / precision
	c.WeightAfter = math.Round(c.WeightAfter*precision) / precision
}

// addRoutes adds where routes lead.
func (b *builder) addRoutes() {
	verbs := b.verbs("route")
	for _, r := range b.to.OrderedRoutes() {
		effect := RouteEffect{Route: r.Name, Verb: string(verbs[r.Name])}
		totalWeight := 0
		for _, t := range r.To {
			totalWeight += t.Weight
		}
		for _, t := range r.To {
			effect.Targets = append(effect.Targets, TargetShare{t.Pool, float64(t.Weight) / float64(totalWeight), b.servingAfter(t.Pool)})
		}
		b.plan.Effect.Routes = append(b.plan.Effect.Routes, effect)
	}
}

// verbs returns what becomes of the objects of a kind that change, by name.
func (b *builder) verbs(kind string) map[string]fleetconfig.Verb {
	out := map[string]fleetconfig.Verb{}
	for _, c := range b.plan.Changes {
		if c.Kind == kind {
			out[c.Name] = c.Verb
		}
	}
	return out
}

// servingAfter counts the servers of a pool that get requests after the change.
func (b *builder) servingAfter(pool string) (n int) {
	ids, isAll := b.to.PoolServerIDs(pool)
	if isAll {
		return b.plan.Effect.Capacity.ServersAfter
	}
	for _, id := range ids {
		if s := b.in.Servers[id]; s != nil && !s.IsDraining && !b.to.DrainedIDs()[id] {
			n++
		}
	}
	return n
}

// addLimits adds what limits that are new or changed would have rejected.
func (b *builder) addLimits() {
	verbs := b.verbs("limit")
	for _, l := range b.in.To.Limits {
		if verbs[l.Name] == "" || b.in.EstimateRejected == nil {
			continue
		}
		rejected, arrived := b.in.EstimateRejected(l)
		b.plan.Effect.Limits = append(b.plan.Effect.Limits, LimitEffect{l.Name, arrived, math.Round(rejected)})
	}
}

// addSteps adds the steps of the rollout, if servers begin to drain.
func (b *builder) addSteps() {
	r, n := b.in.To.Rollout, len(b.plan.Effect.Drains)
	if r == nil || n == 0 {
		return
	}
	for i := 1; ; i++ {
		share := min(1, float64(i)*r.Step)
		drained := int(math.Ceil(share * float64(n) * (1 - 1e-9))) // 0.25 of 4 is 1 whatever the rounding
		b.plan.Effect.Steps = append(b.plan.Effect.Steps, RolloutStep{min(drained, n), float64(i-1) * float64(r.Wait) / float64(time.Second)})
		if share == 1 {
			return
		}
	}
}

// addServerFacts adds the servers that the effect rests on: those that begin or cease to drain, and those of pools that a change names
// or to which a changed route leads, before or after.
func (b *builder) addServerFacts() {
	ids := map[string]bool{}
	for _, id := range slices.Concat(b.plan.Effect.Drains, b.plan.Effect.Returns) {
		ids[id] = true
	}
	for _, c := range b.plan.Changes {
		b.addPoolServers(ids, b.from, c, c.Before)
		b.addPoolServers(ids, b.to, c, c.After)
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if s := b.in.Servers[id]; s != nil {
			b.plan.ServerFacts = append(b.plan.ServerFacts, *s)
		}
	}
}

// addPoolServers adds the ids of the servers, under a configuration, of the pools that one side of a change names.
func (b *builder) addPoolServers(ids map[string]bool, config *generation.CompiledConfig, c fleetconfig.Change, object json.RawMessage) {
	for _, pool := range poolsOf(c, object) {
		members, _ := config.PoolServerIDs(pool)
		for _, id := range members {
			ids[id] = true
		}
	}
}

// poolsOf returns the pools that one side of a change names; nil where the object is not there.
func poolsOf(c fleetconfig.Change, object json.RawMessage) (pools []string) {
	if object == nil {
		return nil
	}
	switch c.Kind {
	case "pool":
		return []string{c.Name}
	case "route":
		var r fleetconfig.Route
		if json.Unmarshal(object, &r) == nil { // package fleetconfig has written it
			for _, t := range r.To {
				pools = append(pools, t.Pool)
			}
		}
	}
	return pools
}
