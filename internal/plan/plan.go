// Package plan says what a proposed configuration would change, and what that would do to the fleet as it is now: the servers
// that drain or return, capacity by kind of machine, zone and pod, where routes go, what limits would have turned away. It
// does no I/O. A plan can be kept as a file; it is applied as it stands or not at all.
package plan

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// Format is the version of a plan's form.
const Format = 1

// MaxBytes bounds a plan: the configuration, and an entry for each server.
const MaxBytes = 16 << 20

// Plan is what a change would do. What it rests on is part of it, so that Moved can tell whether it still holds.
type Plan struct {
	Format        int                  `json:"format"`
	Agent         string               `json:"agent"`
	BaseNumber    uint64               `json:"base_number"` // of the generation that it starts from
	BaseHash      string               `json:"base_hash"`
	TargetHash    string               `json:"hash"` // of the configuration that it leads to
	Config        json.RawMessage      `json:"config"`
	CreatedUnixMS int64                `json:"made_unix_ms"`
	Changes       []fleetconfig.Change `json:"changes"`
	Flags         []Flag               `json:"flags"`
	Effect        Effect               `json:"effect"`
	ServerFacts   []fleetconfig.Server `json:"facts"` // the servers that the effect rests on, by id
	Checksum      string               `json:"sum"`   // SHA-256 of all the rest
}

// Flag is something that whoever approves the plan should know first.
type Flag struct {
	Kind string `json:"kind"` // one of the words below
	Text string `json:"text"`
}

// The kinds of flags.
const (
	FlagDrainsKind      = "drains-kind"    // no server of a kind of machine is left
	FlagEmptiesPod      = "empties-pod"    // no server of a pod is left
	FlagEmptiesRoute    = "empties-route"  // a route has a pool without servers
	FlagTakesCapacity   = "takes-capacity" // more than the share that is allowed
	FlagMovesIdempotent = "moves-keyed"    // keyed requests change pods while pods remember their repeats
	FlagRejectsRequests = "turns-away"     // a limit would have refused much of what came
	FlagMayRollBack     = "may-roll-back"  // the watch will take it for harm
)

// Effect is what the change does to the fleet as it was when the plan was made.
type Effect struct {
	Drains   []string      `json:"drains"`  // ids that get nothing new any more
	Returns  []string      `json:"returns"` // ids that do again
	Capacity Capacity      `json:"capacity"`
	Kinds    []Capacity    `json:"kinds"`
	Zones    []Capacity    `json:"zones"`
	Pods     []Capacity    `json:"pods"`
	Routes   []RouteEffect `json:"routes"`
	Limits   []LimitEffect `json:"limits"`
	Steps    []RolloutStep `json:"steps"`
}

// Capacity counts the servers of a name that get requests, and their weights, before and after.
type Capacity struct {
	Name         string  `json:"name,omitempty"`
	Servers      int     `json:"servers"`
	ServersAfter int     `json:"servers_after"`
	Weight       float64 `json:"weight"`
	WeightAfter  float64 `json:"weight_after"`
}

// RouteEffect is where a route leads. Routes are in the order in which they are asked.
type RouteEffect struct {
	Route   string        `json:"route"`
	Verb    string        `json:"verb,omitempty"` // of its change, if it has one
	Targets []TargetShare `json:"to"`
}

// TargetShare is the part of a route's requests that goes to a pool.
type TargetShare struct {
	Pool    string  `json:"pool"`
	Share   float64 `json:"part"`    // from 0 to 1
	Servers int     `json:"servers"` // of the pool that get requests after the change
}

// LimitEffect is what a limit that is new or changed would have done to the last minute's requests.
type LimitEffect struct {
	Limit    string  `json:"limit"`
	Arrived  float64 `json:"came"`
	Rejected float64 `json:"refused"` // about
}

// RolloutStep is a part of a rollout: so many servers are out in all, after so many seconds.
type RolloutStep struct {
	DrainedServers int     `json:"out"`
	AfterSeconds   float64 `json:"after_s"`
}

// Input is what a plan is made of.
type Input struct {
	Agent             string
	Number            uint64
	From, To          *fleetconfig.Config
	Names             generation.Names
	Servers           generation.Servers
	IdempotentClasses []string // names of the classes whose repeats pods remember
	EstimateRejected  func(fleetconfig.Limit) (refused, came float64)
	MaxCapacityTaken  float64 // the share of capacity that a change may take unflagged
	UnixMS            int64
}

// muchRefused is the share of what came that a limit may turn away unflagged; the watch allows no more than a quarter.
const (
	muchRefused   = 0.05
	watchAccepted = 0.25
)

// Make makes a plan, and returns the proposed configuration compiled for the same servers.
func Make(in Input) (*Plan, *generation.CompiledConfig, error) {
	from, err := generation.Compile(in.From, in.Names, in.Servers)
	if err != nil {
		return nil, nil, fmt.Errorf("the configuration in force: %w", err)
	}
	to, err := generation.Compile(in.To, in.Names, in.Servers)
	if err != nil {
		return nil, nil, err
	}
	p := &Plan{Format: Format, Agent: in.Agent, BaseNumber: in.Number, BaseHash: from.Hash, TargetHash: to.Hash, Config: in.To.JSON(),
		CreatedUnixMS: in.UnixMS, Changes: fleetconfig.Diff(in.From, in.To)}
	m := maker{in: in, from: from, to: to, plan: p}
	m.drains()
	m.capacities()
	m.routes()
	m.limits()
	m.steps()
	m.facts()
	m.flags()
	p.Checksum = p.sum()
	return p, to, nil
}

// maker fills a plan in.
type maker struct {
	in       Input
	from, to *generation.CompiledConfig
	plan     *Plan
}

func (m *maker) drains() {
	e := &m.plan.Effect
	for _, id := range slices.Sorted(maps.Keys(m.in.Servers)) {
		was, is := m.from.DrainedIDs()[id], m.to.DrainedIDs()[id]
		switch {
		case is && !was:
			e.Drains = append(e.Drains, id)
		case was && !is:
			e.Returns = append(e.Returns, id)
		}
	}
}

func (m *maker) capacities() {
	e := &m.plan.Effect
	kinds, zones, pods := map[string]*Capacity{}, map[string]*Capacity{}, map[string]*Capacity{}
	for id, s := range m.in.Servers {
		if s.Draining { // by the list: no part of what the change can take or give
			continue
		}
		for _, c := range []*Capacity{&e.Capacity, named(kinds, s.Kind), named(zones, s.Zone), named(pods, strconv.Itoa(s.Pod))} {
			if !m.from.DrainedIDs()[id] {
				c.Servers++
				c.Weight += s.Weight
			}
			if !m.to.DrainedIDs()[id] {
				c.ServersAfter++
				c.WeightAfter += s.Weight
			}
		}
	}
	e.Kinds, e.Zones, e.Pods = sorted(kinds), sorted(zones), sorted(pods)
}

func named(m map[string]*Capacity, name string) *Capacity {
	if m[name] == nil {
		m[name] = &Capacity{Name: name}
	}
	return m[name]
}

func sorted(m map[string]*Capacity) []Capacity {
	out := make([]Capacity, 0, len(m))
	for _, c := range m {
		c.Weight, c.WeightAfter = rounded(c.Weight), rounded(c.WeightAfter) // sums hang on the order of a map
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name)) // numbers by their value
	})
	return out
}

func rounded(x float64) float64 { return math.Round(x*1e6) / 1e6 }

func (m *maker) routes() {
	m.plan.Effect.Capacity.Weight = rounded(m.plan.Effect.Capacity.Weight)
	m.plan.Effect.Capacity.WeightAfter = rounded(m.plan.Effect.Capacity.WeightAfter)
	verbs := m.verbs("route")
	for _, r := range m.to.OrderedRoutes() {
		to := RouteEffect{Route: r.Name, Verb: string(verbs[r.Name])}
		sum := 0
		for _, t := range r.To {
			sum += t.Weight
		}
		for _, t := range r.To {
			to.Targets = append(to.Targets, TargetShare{t.Pool, float64(t.Weight) / float64(sum), m.serving(t.Pool)})
		}
		m.plan.Effect.Routes = append(m.plan.Effect.Routes, to)
	}
}

func (m *maker) verbs(kind string) map[string]fleetconfig.Verb {
	out := map[string]fleetconfig.Verb{}
	for _, c := range m.plan.Changes {
		if c.Kind == kind {
			out[c.Name] = c.Verb
		}
	}
	return out
}

// serving counts the servers of a pool that get requests after the change.
func (m *maker) serving(pool string) (n int) {
	ids, all := m.to.PoolServerIDs(pool)
	if all {
		return m.plan.Effect.Capacity.ServersAfter
	}
	for _, id := range ids {
		if s := m.in.Servers[id]; s != nil && !s.Draining && !m.to.DrainedIDs()[id] {
			n++
		}
	}
	return n
}

func (m *maker) limits() {
	verbs := m.verbs("limit")
	for _, l := range m.in.To.Limits {
		if verbs[l.Name] == "" || m.in.EstimateRejected == nil {
			continue
		}
		refused, came := m.in.EstimateRejected(l)
		m.plan.Effect.Limits = append(m.plan.Effect.Limits, LimitEffect{l.Name, came, math.Round(refused)})
	}
}

func (m *maker) steps() {
	r, n := m.in.To.Rollout, len(m.plan.Effect.Drains)
	if r == nil || n == 0 {
		return
	}
	for i := 1; ; i++ {
		part := min(1, float64(i)*r.Step)
		out := int(math.Ceil(part * float64(n) * (1 - 1e-9)))
		m.plan.Effect.Steps = append(m.plan.Effect.Steps, RolloutStep{min(out, n), float64(i-1) * float64(r.Wait) / 1e9})
		if part == 1 {
			return
		}
	}
}

// facts are the servers that drain or return, and those of pools that a change names or of routes that change.
func (m *maker) facts() {
	ids := map[string]bool{}
	for _, id := range slices.Concat(m.plan.Effect.Drains, m.plan.Effect.Returns) {
		ids[id] = true
	}
	for _, c := range m.plan.Changes {
		for _, side := range []struct {
			from  *generation.CompiledConfig
			state json.RawMessage
		}{{m.from, c.Before}, {m.to, c.After}} {
			for _, pool := range poolsOf(c, side.state) {
				members, _ := side.from.PoolServerIDs(pool)
				for _, id := range members {
					ids[id] = true
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if s := m.in.Servers[id]; s != nil {
			m.plan.ServerFacts = append(m.plan.ServerFacts, *s)
		}
	}
}

// poolsOf are the pools that one side of a change names.
func poolsOf(c fleetconfig.Change, state json.RawMessage) (pools []string) {
	if state == nil {
		return nil
	}
	switch c.Kind {
	case "pool":
		return []string{c.Name}
	case "route":
		var r fleetconfig.Route
		if json.Unmarshal(state, &r) == nil { // it is our own JSON
			for _, t := range r.To {
				pools = append(pools, t.Pool)
			}
		}
	}
	return pools
}

func (m *maker) flag(kind, format string, args ...any) {
	m.plan.Flags = append(m.plan.Flags, Flag{kind, fmt.Sprintf(format, args...)})
}

func (m *maker) flags() {
	e := m.plan.Effect
	if e.Capacity.ServersAfter == 0 && e.Capacity.Servers > 0 {
		m.flag(FlagTakesCapacity, "no server at all is left")
	}
	for _, k := range e.Kinds {
		if k.Servers > 0 && k.ServersAfter == 0 {
			m.flag(FlagDrainsKind, "every server of kind %q drains, %d of them", k.Name, k.Servers)
		}
	}
	for _, p := range e.Pods {
		if p.Servers > 0 && p.ServersAfter == 0 {
			m.flag(FlagEmptiesPod, "pod %s is left without servers; it had %d", p.Name, p.Servers)
		}
	}
	for _, r := range e.Routes {
		for _, t := range r.Targets {
			if t.Servers == 0 && t.Share > 0 {
				m.flag(FlagEmptiesRoute, "route %q sends %.0f%% to pool %q, which has no server to send to", r.Route, 100*t.Share, t.Pool)
			}
		}
	}
	if taken := 1 - e.Capacity.WeightAfter/max(e.Capacity.Weight, 1e-9); e.Capacity.Weight > 0 && taken > m.in.MaxCapacityTaken {
		m.flag(FlagTakesCapacity, "takes %.0f%% of capacity, more than %.0f%%", 100*taken, 100*m.in.MaxCapacityTaken)
	}
	m.flagLimits()
	m.flagKeyed()
}

func (m *maker) flagLimits() {
	for _, l := range m.plan.Effect.Limits {
		switch part := l.Rejected / max(l.Arrived, 1); {
		case part > watchAccepted:
			m.flag(FlagMayRollBack, "limit %q would have turned away %.0f%% of the last minute's %.0f requests: the watch takes more than %.0f%% for harm and rolls back",
				l.Limit, 100*part, l.Arrived, 100*watchAccepted)
		case part > muchRefused:
			m.flag(FlagRejectsRequests, "limit %q would have turned away %.0f%% of the last minute's %.0f requests", l.Limit, 100*part, l.Arrived)
		}
	}
}

// flagKeyed tells of keyed requests whose servers change: a repeat that comes after the switch may then land in another pod
// than the first try, which does not drop it.
func (m *maker) flagKeyed() {
	keyed := func(class string) bool {
		return len(m.in.IdempotentClasses) > 0 && (class == "" || slices.Contains(m.in.IdempotentClasses, class))
	}
	for _, c := range m.plan.Changes {
		if c.Kind != "route" && c.Kind != "pool" {
			continue
		}
		for _, r := range slices.Concat(m.in.From.Routes, m.in.To.Routes) {
			uses := c.Kind == "route" && r.Name == c.Name ||
				c.Kind == "pool" && slices.ContainsFunc(r.To, func(t fleetconfig.Target) bool { return t.Pool == c.Name })
			if uses && keyed(r.Class) {
				m.flag(FlagMovesIdempotent, "%s %q changes where keyed requests go (%v): until pods have forgotten their keys, a client's repeat may reach another pod than the first try",
					c.Kind, c.Name, m.in.IdempotentClasses)
				break
			}
		}
	}
}

// sum is the hash of all but the sum itself.
func (p *Plan) sum() string {
	bare := *p
	bare.Checksum = ""
	data, err := json.Marshal(bare)
	if err != nil {
		panic("plan: " + err.Error()) // all of it can be written
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Reasons why a plan can't be used.
var (
	ErrAltered     = errors.New("the plan was altered after it was made")
	ErrNewerFormat = errors.New("the plan is of a newer form; use the program that made it")
	ErrOtherAgent  = errors.New("the plan was made for another agent")
	ErrOutdated    = errors.New("what the plan rests on has moved; make a new one")
)

// Decode reads a plan and checks that it is as it was made.
func Decode(data []byte) (*Plan, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("a plan has %d bytes at most", MaxBytes)
	}
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if head.Format > Format {
		return nil, ErrNewerFormat
	}
	p := &Plan{}
	if err := fleetconfig.DecodeStrict(bytes.NewReader(data), p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if p.sum() != p.Checksum {
		return nil, ErrAltered
	}
	return p, nil
}

// TargetConfig is the configuration that the plan leads to.
func (p *Plan) TargetConfig() (*fleetconfig.Config, error) {
	c, err := fleetconfig.Decode(p.Config)
	if err != nil {
		return nil, err
	}
	if c.Hash() != p.TargetHash {
		return nil, ErrAltered
	}
	return c, nil
}

// ChangesSince says what has changed since the plan was made, given one that was made now for the same configuration, or nothing.
func (p *Plan) ChangesSince(now *Plan) (what []string) {
	if p.BaseHash != now.BaseHash {
		what = append(what, fmt.Sprintf("generation %d (%.12s) is in force, not %d (%.12s)", now.BaseNumber, now.BaseHash, p.BaseNumber, p.BaseHash))
	}
	old := map[string]fleetconfig.Server{}
	for _, s := range p.ServerFacts {
		old[s.ID] = s
	}
	for _, s := range now.ServerFacts {
		was, there := old[s.ID]
		delete(old, s.ID)
		if change := moved(was, s, there); change != "" {
			what = append(what, fmt.Sprintf("server %s %s", s.ID, change))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old)) {
		what = append(what, fmt.Sprintf("server %s has gone, or left what the plan concerns", id))
	}
	return what
}

// moved says what became of a server.
func moved(was, is fleetconfig.Server, there bool) string {
	switch {
	case was == is:
		return ""
	case !there:
		return "has come"
	case was.StartedMS != is.StartedMS:
		return "has restarted"
	case was.Draining != is.Draining && is.Draining:
		return "drains"
	case was.Draining != is.Draining:
		return "no longer drains"
	}
	return "has changed its address, kind, zone, pod or weight"
}

// ServersUnchanged reports whether the servers are those that the plan's facts name, as they were. It is cheap enough for the instant
// of the switch.
func (p *Plan) ServersUnchanged(servers func(id string) *fleetconfig.Server) bool {
	for i := range p.ServerFacts {
		if s := servers(p.ServerFacts[i].ID); s == nil || *s != p.ServerFacts[i] {
			return false
		}
	}
	return true
}
