// Package generation holds the configuration in force and its changes as transactions: checked, staged, switched at once,
// watched, and kept or rolled back. A request is bound to the generation that is in force when it arrives and ends under
// it. All of it is a deterministic state machine: it does no I/O and reads no clock, times go in.
package generation

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/fleetconfig"
)

// Bounds of what a Manager remembers.
const (
	mostHistory = 200
	mostBarred  = 100
)

// Options are what a Manager is told at start.
type Options struct {
	Names         Names
	MaxRetryAfter time.Duration             // the longest come-back time that clients heed
	UnixMS        func(time.Duration) int64 // the wall time of a time on the engine's clock, for the history
	OnRecord      func(Record)              // is told of each record as it comes; may be nil, must not block
}

// Manager owns the generations. It is not safe for concurrent use: the engine's goroutine has it.
type Manager struct {
	options Options
	servers Servers
	version uint64          // of servers: it counts their changes, from 1
	force   *tenure         // in force
	before  *CompiledConfig // the one before, while a rollback may want it
	staged  *CompiledConfig
	staging string // by whom
	watch   *watch // nil while none is under way
	step    int    // of the rollout, that is done
	stepAt  time.Duration
	// followed says that another process of the agent watches the change and goes on with its rollout.
	followed bool
	traffic  *traffic
	barred   map[string]string
	barList  []string // in order of age
	history  []Record
	drained  map[string]bool // ids that get nothing new
	moved    []string        // ids whose drain has begun or ended
	old      []*tenure       // with requests still bound to them
	refused  uint64
	counts   map[string]uint64 // of records, by what they say, since the start
	changes  uint64            // of what State says
}

// Ends of requests.
type Outcome int

// How a request ended.
const (
	Served Outcome = iota
	Rejected
	Failed
	ClientCanceled // its client; that says nothing of the service
)

// New returns a Manager with the empty configuration in force, as generation 0.
func New(o Options) *Manager {
	empty, err := Compile(&fleetconfig.Config{}, o.Names, nil)
	if err != nil {
		panic("generation: " + err.Error()) // the empty configuration names nothing that could be wrong
	}
	return &Manager{options: o, servers: Servers{}, force: &tenure{CompiledConfig: empty}, barred: map[string]string{}, drained: map[string]bool{}, counts: map[string]uint64{},
		traffic: newTraffic(len(o.Names.Classes), len(o.Names.Tenants))}
}

// SetNames takes the platform's names as they are from now on. Classes keep their numbers; new ones come behind.
func (m *Manager) SetNames(names Names) {
	m.options.Names = names
	m.traffic.grow(len(names.Classes))
	if m.watch != nil {
		m.watch.grow(len(m.traffic.pairs), m.traffic.classes())
	}
}

// UpdateServers takes servers that have come, changed or gone; those that are nil have gone.
func (m *Manager) UpdateServers(changed Servers) {
	m.version++
	ids := make([]string, 0, len(changed))
	for id, s := range changed {
		ids = append(ids, id)
		if s == nil {
			delete(m.servers, id)
		} else {
			m.servers[id] = s
		}
	}
	for _, c := range m.all() {
		c.update(m.servers, ids)
	}
	m.redrain()
}

// all are the generations that are at work.
func (m *Manager) all() []*CompiledConfig {
	out := []*CompiledConfig{m.force.CompiledConfig}
	add := func(c *CompiledConfig) {
		if c != nil && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	add(m.before)
	add(m.staged)
	for _, t := range m.old {
		add(t.CompiledConfig)
	}
	return out
}

// ServerCount are those of the list, for Compile and plans, and their version. The caller gets a copy whose entries are only read.
func (m *Manager) Servers() (s Servers, version uint64) { return maps.Clone(m.servers), m.version }

// Config is the configuration in force, with its number and hash. It is only read.
func (m *Manager) Config() (c *fleetconfig.Config, number uint64, hash string) {
	return m.force.Config, m.force.number, m.force.Hash
}

// Bind ties a request to the generation in force, or refuses it for a limit, before anything of it was sent. What is bound
// is to be ended by Done, once.
func (m *Manager) Bind(now time.Duration, a *Request, b *Binding) (Rejection, bool) {
	pair := m.traffic.pair(a.Class, a.Tenant)
	touched := m.watch != nil && m.before != nil && m.force.sign(a) != m.before.sign(a)
	m.traffic.arrived(now, pair)
	told, ok := m.force.bind(now, a, b)
	if !ok {
		m.refused++
		m.traffic.ended(now, pair, true, true)
		if m.watch != nil {
			m.watch.ended(pair, a.Class, touched, true)
		}
		told.RetryAfter = m.comeBack(a.ID, told.RetryAfter)
		return told, false
	}
	b.class, b.pair, b.touched = a.Class, pair, touched
	return told, true
}

// comeBack spreads the times at which clients return: up to half as long again, by the request's id, within what they heed.
func (m *Manager) comeBack(id string, after time.Duration) time.Duration {
	part := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	spread := time.Duration(float64(after)*(1+part/2)) + time.Millisecond - 1 // up to the next millisecond
	return min(spread.Truncate(time.Millisecond), m.options.MaxRetryAfter)
}

// Ended ends what Bind has tied.
func (m *Manager) Release(now time.Duration, b *Binding, end Outcome) {
	c := b.of
	if c == nil {
		return
	}
	for _, l := range b.limits {
		if l != nil {
			l.gauge.inFlight--
		}
	}
	class := m.traffic.class(b.pair)
	bad := end != Served || now-b.began > m.options.Names.Classes[b.class].LatencyObjective
	m.traffic.ended(now, b.pair, end != ClientCanceled, bad)
	if m.watch != nil && c == m.force && end != ClientCanceled { // what was bound before the switch says nothing of either
		m.watch.ended(b.pair, class, b.touched, bad)
	}
	b.of = nil
	if c.open--; c.open == 0 && c != m.force {
		m.old = slices.DeleteFunc(m.old, func(x *tenure) bool { return x == c })
	}
}

// DrainingServers reports whether a server gets nothing new, by the drains in force.
func (m *Manager) IsDraining(id string) bool { return m.drained[id] }

// TakeDrainChanges returns the ids of the servers whose drain has begun or ended since the last call.
func (m *Manager) TakeDrainChanges() []string {
	moved := m.moved
	m.moved = nil
	return moved
}

// redrain says anew who is drained: those of the generation in force, and of what is new among them as much as the rollout's
// step allows.
func (m *Manager) redrain() {
	want := m.force.out
	if part := m.part(); part < 1 {
		var fresh []*fleetconfig.Server
		want = map[string]bool{}
		for id := range m.force.out {
			if m.before.out[id] {
				want[id] = true
			} else if s := m.servers[id]; s != nil {
				fresh = append(fresh, s)
			}
		}
		for _, s := range fleetconfig.Part(fresh, "rollout", part) {
			want[s.ID] = true
		}
	}
	for id := range m.drained {
		if !want[id] {
			delete(m.drained, id)
			m.moved = append(m.moved, id)
		}
	}
	for id := range want {
		if !m.drained[id] {
			m.drained[id] = true
			m.moved = append(m.moved, id)
		}
	}
	slices.Sort(m.moved)
	m.moved = slices.Compact(m.moved)
}

// part is how much of the change's drains is out by now.
func (m *Manager) part() float64 {
	r := m.force.Config.Rollout
	if r == nil || m.before == nil || m.watch == nil && !m.followed {
		return 1
	}
	return min(1, float64(m.step+1)*r.Step)
}

// Reasons why a change is not taken.
var (
	ErrBaseChanged      = errors.New("another generation is in force than the one that the plan rests on")
	ErrAlreadyStaged    = errors.New("another change is being applied")
	ErrWatchActive      = errors.New("the change before is still being watched")
	ErrBlocked          = errors.New("this configuration has done harm before")
	ErrNoRollbackTarget = errors.New("there is no generation to go back to")
	ErrNoChange         = errors.New("the configuration is in force already")
)

// Stage takes a configuration, compiled for that version of the servers, that is to come in force next. base is the hash of the one
// that it replaces; force takes one that has done harm before, and ends a watch that is under way as if it had found nothing.
func (m *Manager) Stage(c *CompiledConfig, version uint64, by, base string, force bool) error {
	why, barred := m.barred[c.Hash]
	switch {
	case base != m.force.Hash:
		return fmt.Errorf("%w: %.12s, not %.12s", ErrBaseChanged, m.force.Hash, base)
	case m.staged != nil:
		return fmt.Errorf("%w, by %s", ErrAlreadyStaged, m.staging)
	case c.Hash == m.force.Hash:
		return ErrNoChange
	case m.watch != nil && !force:
		return fmt.Errorf("%w; roll it back, or wait until the watch ends", ErrWatchActive)
	case barred && !force:
		return fmt.Errorf("%w: %s; it has to be forced", ErrBlocked, why)
	}
	if version != m.version {
		c.update(m.servers, union(c.told, m.servers))
	}
	m.staged, m.staging = c, by // from here on it hears of changes as the others do
	m.changes++
	return nil
}

// Unstage drops what is staged.
func (m *Manager) Unstage() {
	if m.staged != nil {
		m.staged = nil
		m.changes++
	}
}

// Switch brings what is staged in force, at once: what arrives from now on is bound to it. It returns the new
// generation's number.
func (m *Manager) Switch(now time.Duration, why string) (uint64, error) {
	c := m.staged
	if c == nil {
		return 0, errors.New("nothing is staged")
	}
	m.staged = nil
	limited := m.limitedBy(now, c)
	m.replace(c)
	delete(m.barred, c.Hash)
	m.barList = slices.DeleteFunc(m.barList, func(hash string) bool { return hash == c.Hash })
	m.record(now, Record{Number: m.force.number, Hash: c.Hash, Event: EventApplied, Actor: m.staging, Reason: why})
	m.step = 0
	m.startWatch(now, m.traffic.sums(now), limited)
	m.redrain()
	return m.force.number, nil
}

// union lists ids whose entries differ between two sets of servers.
func union(a, b Servers) (ids []string) {
	for id, s := range a {
		if b[id] != s {
			ids = append(ids, id)
		}
	}
	for id := range b {
		if a[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// replace makes a generation the one in force.
func (m *Manager) replace(c *CompiledConfig) {
	old := m.force
	c.inherit(old.CompiledConfig)
	if old.open > 0 {
		m.old = append(m.old, old)
	}
	m.before, m.force = old.CompiledConfig, &tenure{CompiledConfig: c, number: old.number + 1}
}

func (m *Manager) startWatch(now time.Duration, before []OutcomeCounts, limited []float64) {
	set := m.force.Config.Watching()
	lasts := time.Duration(set.For)
	if r := m.force.Config.Rollout; r != nil {
		steps := math.Ceil(1/r.Step) - 1
		lasts += time.Duration(steps) * time.Duration(r.Wait)
		m.stepAt = now + time.Duration(r.Wait)
	}
	m.watch = newWatch(now, lasts, set.FalseAlarms, before, limited, m.traffic.classes())
}

// NextTick is when Tick is to be called next, if at all.
func (m *Manager) NextTick() (time.Duration, bool) {
	if m.watch == nil {
		return 0, false
	}
	return m.watch.next, true
}

// Tick looks at the change under watch: it goes a step on, is kept, or is rolled back.
func (m *Manager) Tick(now time.Duration) {
	for m.watch != nil && m.watch.next <= now {
		if h := m.watch.look(m.traffic); h != nil {
			m.harmed(now, h)
			return
		}
	}
	if m.watch == nil {
		return
	}
	if m.part() < 1 {
		if now >= m.stepAt && m.watch.calm() {
			m.step++
			m.stepAt = now + time.Duration(m.force.Config.Rollout.Wait)
			m.changes++
			m.redrain()
		}
		m.watch.until = max(m.watch.until, now+time.Duration(m.force.Config.Watching().For)) // the last step is watched as long
		return
	}
	if now >= m.watch.until && m.watch.calm() {
		m.watch, m.step = nil, 0
		m.record(now, Record{Number: m.force.number, Hash: m.force.Hash, Event: EventPromoted})
		m.redrain()
	}
}

// harmed rolls back by itself.
func (m *Manager) harmed(now time.Duration, h *Harm) {
	tenant := ""
	if h.Pair != anyone && len(m.options.Names.Tenants) > 0 {
		tenant = m.options.Names.Tenants[h.Pair%m.traffic.tenants]
	}
	why := h.text(m.options.Names.Classes[h.Class].Name, tenant)
	m.bar(m.force.Hash, why)
	m.back(now, Record{Event: EventHarmFound, Reason: why})
}

func (m *Manager) bar(hash, why string) {
	if _, there := m.barred[hash]; !there {
		m.barList = append(m.barList, hash)
	}
	m.barred[hash] = why
	for len(m.barList) > mostBarred {
		delete(m.barred, m.barList[0])
		m.barList = m.barList[1:]
	}
}

// Rollback goes back to the generation before, as a new one, which is not watched.
func (m *Manager) Rollback(now time.Duration, by, why string) error {
	if m.before == nil {
		return ErrNoRollbackTarget
	}
	m.back(now, Record{Event: EventRolledBack, Actor: by, Reason: why})
	return nil
}

// back brings the generation before in force again. What it went back from can't be returned to by another rollback: the way
// forward is a plan.
func (m *Manager) back(now time.Duration, r Record) {
	r.Hash, r.Number = m.force.Hash, m.force.number
	m.replace(m.before)
	m.before, m.watch, m.step, m.staged = nil, nil, 0, nil
	m.record(now, r)
	m.redrain()
}

func (m *Manager) record(now time.Duration, r Record) {
	if m.options.UnixMS != nil {
		r.UnixMS = m.options.UnixMS(now)
	}
	m.counts[r.Event]++
	m.history = append(m.history, r)
	if len(m.history) > mostHistory {
		m.history = slices.Delete(m.history, 0, len(m.history)-mostHistory)
	}
	m.changes++
	if m.options.OnRecord != nil {
		m.options.OnRecord(r)
	}
}

// StateRevision counts the changes of what State says: where it has moved, the state is to be kept anew.
func (m *Manager) StateRevision() uint64 { return m.changes }

// limitedBy is, by pair, the share of the last minute's requests that limits which are new or changed would have refused.
func (m *Manager) limitedBy(now time.Duration, c *CompiledConfig) []float64 {
	out := make([]float64, len(m.traffic.pairs))
	for w, l := range c.limits {
		if old := m.force.limits[w]; old != nil && old.sign == l.sign {
			continue
		}
		arrived, peaks := m.traffic.bySecond(now, w)
		refused, came := turnedAway(&l.Limit, arrived, peaks)
		if came == 0 {
			continue
		}
		for pair := range m.traffic.matching(w) {
			out[pair] = max(out[pair], refused/came)
		}
	}
	return out
}

// EstimateRejected is about how many of the last minute's requests a limit would have refused, of how many.
func (m *Manager) EstimateRejected(now time.Duration, l fleetconfig.Limit) (refused, came float64) {
	arrived, peaks := m.traffic.bySecond(now, m.options.Names.who(l.Class, l.Tenant))
	return turnedAway(&l, arrived, peaks)
}

// Status is how a Manager stands.
type Status struct {
	Number           uint64         `json:"number"`
	Hash             string         `json:"hash"`
	PreviousHash     string         `json:"before,omitempty"` // hash of the one that a rollback goes back to
	StagedHash       string         `json:"staged,omitempty"`
	IsWatched        bool           `json:"watched"`
	WatchSecondsLeft float64        `json:"watch_for_s,omitempty"` // seconds left, at the least
	RolloutShare     float64        `json:"rollout,omitempty"`     // the share of new drains that is out
	DrainingServers  int            `json:"drained"`               // servers
	RejectedRequests uint64         `json:"refused"`               // by limits, since the start
	OpenRequests     map[uint64]int `json:"open"`                  // requests, by generation
	BlockedConfigs   int            `json:"barred"`
	ServerCount      int            `json:"servers"`
	History          []Record       `json:"-"`

	EventCounts map[string]uint64 `json:"-"` // of records since the start, by what they say
}

// Status says how the Manager stands.
func (m *Manager) Status(now time.Duration) Status {
	s := Status{Number: m.force.number, Hash: m.force.Hash, DrainingServers: len(m.drained), RejectedRequests: m.refused, BlockedConfigs: len(m.barred),
		OpenRequests: map[uint64]int{}, ServerCount: len(m.servers), History: slices.Clone(m.history), EventCounts: maps.Clone(m.counts)}
	if m.before != nil {
		s.PreviousHash = m.before.Hash
	}
	if m.staged != nil {
		s.StagedHash = m.staged.Hash
	}
	if m.watch != nil {
		s.IsWatched, s.WatchSecondsLeft, s.RolloutShare = true, max(0, (m.watch.until-now).Seconds()), m.part()
	}
	for _, t := range append([]*tenure{m.force}, m.old...) {
		if t.open > 0 {
			s.OpenRequests[t.number] = t.open
		}
	}
	return s
}

// Server is a server of the list, or nil.
func (m *Manager) Server(id string) *fleetconfig.Server { return m.servers[id] }
