package generation

import (
	"maps"
	"slices"
	"time"

	"appleledge/internal/fleetconfig"
)

// Options are the settings of a Manager.
type Options struct {
	Names         Names
	MaxRetryAfter time.Duration             // the longest Retry-After that clients observe
	UnixMS        func(time.Duration) int64 // converts a time on the engine's clock to wall time, for the history; nil: 0
	OnRecord      func(Record)              // is called with each Record as it is made; may be nil, must not block
}

// Manager owns the generations. It is not safe for concurrent use: the engine's goroutine makes all calls.
//
// Invariants: previous is nil where there is nothing to roll back to. watch is not nil only while the active generation is
// watched by this process, and then previous is not nil. Every generation but the active one that has a request bound to it
// is in retiring, and no other is. draining holds exactly what updateDraining allowed last. serversVersion is the version for
// which active, previous, staged and retiring select their servers.
type Manager struct {
	options Options

	servers        Servers
	serversVersion uint64 // counts the updates of servers

	active   *activeGeneration // in force
	previous *CompiledConfig   // what a rollback goes back to
	retiring []*activeGeneration

	staged   *CompiledConfig // the next one to come in force, or nil
	stagedBy string

	watch       *harmWatch
	isFollowing bool          // another process of the agent watches the change and advances its rollout
	rolloutStep int           // how many steps of the rollout are done; the first is in force at 0
	nextStepAt  time.Duration // the earliest time of the next step

	draining     map[string]bool // ids of servers that get no new requests
	drainChanges []string        // ids whose drain has begun or ended since TakeDrainChanges, sorted

	blocked      map[string]string // hashes of configurations that did harm, and how
	blockedOrder []string          // the keys of blocked, the earliest first

	traffic          *trafficWindow
	rejectedRequests uint64

	history       []Record
	eventCounts   map[string]uint64 // of records since the start, by event
	stateRevision uint64            // counts the changes of what State returns
}

// New returns a Manager with the empty configuration in force, as generation 0.
func New(o Options) *Manager {
	empty, err := Compile(&fleetconfig.Config{}, o.Names, nil)
	if err != nil {
		panic("generation: " + err.Error()) // the empty configuration names nothing that could be wrong
	}
	return &Manager{
		options:     o,
		servers:     Servers{},
		active:      &activeGeneration{CompiledConfig: empty},
		draining:    map[string]bool{},
		blocked:     map[string]string{},
		traffic:     newTrafficWindow(len(o.Names.Classes), len(o.Names.Tenants)),
		eventCounts: map[string]uint64{},
	}
}

// SetNames replaces the platform's names from now on. Classes must keep their numbers; new ones come behind.
func (m *Manager) SetNames(names Names) {
	m.options.Names = names
	for _, c := range m.liveConfigs() {
		if c.unresolved > 0 {
			c.resolve(names)
		}
	}
	m.traffic.growTo(len(names.Classes))
	if m.watch != nil {
		m.watch.growTo(len(m.traffic.pairs), m.traffic.classes())
	}
}

// UpdateServers takes the servers of the endpoint list that have come, changed or gone; those whose entry is nil have gone. Every
// generation that may still be used selects its servers anew. The cost is that of the changed servers.
func (m *Manager) UpdateServers(changed Servers) {
	m.serversVersion++
	ids := make([]string, 0, len(changed))
	for id, s := range changed {
		ids = append(ids, id)
		if s == nil {
			delete(m.servers, id)
		} else {
			m.servers[id] = s
		}
	}
	for _, c := range m.liveConfigs() {
		c.update(m.servers, ids)
	}
	m.updateDraining()
}

// liveConfigs returns the configurations that have to hear of changes of the endpoint list, once each.
func (m *Manager) liveConfigs() []*CompiledConfig {
	out := []*CompiledConfig{m.active.CompiledConfig}
	add := func(c *CompiledConfig) {
		if c != nil && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	add(m.previous)
	add(m.staged)
	for _, g := range m.retiring {
		add(g.CompiledConfig)
	}
	return out
}

// Servers returns the servers of the endpoint list, for Compile and plans, and their version, for Stage. The map is a copy; its
// entries are only read.
func (m *Manager) Servers() (s Servers, version uint64) {
	return maps.Clone(m.servers), m.serversVersion
}

// Server returns a server of the endpoint list, or nil.
func (m *Manager) Server(id string) *fleetconfig.Server { return m.servers[id] }

// Config returns the configuration in force, with its number and hash. It is only read.
func (m *Manager) Config() (c *fleetconfig.Config, number uint64, hash string) {
	return m.active.Config, m.active.number, m.active.Hash
}

// Status is a Manager's state for operators and metrics. Its JSON is part of the operators' API.
type Status struct {
	Number           uint64         `json:"number"`
	Hash             string         `json:"hash"`
	PreviousHash     string         `json:"before,omitempty"` // hash of what a rollback goes back to
	StagedHash       string         `json:"staged,omitempty"`
	IsWatched        bool           `json:"watched"`
	WatchSecondsLeft float64        `json:"watch_for_s,omitempty"` // at the least
	RolloutShare     float64        `json:"rollout,omitempty"`     // the share of the change's drains that is in force, from 0 to 1
	DrainingServers  int            `json:"drained"`
	RejectedRequests uint64         `json:"refused"` // by limits, since the start
	OpenRequests     map[uint64]int `json:"open"`    // requests in flight, by generation
	BlockedConfigs   int            `json:"barred"`
	ServerCount      int            `json:"servers"`
	History          []Record       `json:"-"`

	EventCounts map[string]uint64 `json:"-"` // of records since the start, by event
}

// Status returns a copy of the Manager's state.
func (m *Manager) Status(now time.Duration) Status {
	s := Status{Number: m.active.number, Hash: m.active.Hash, DrainingServers: len(m.draining), RejectedRequests: m.rejectedRequests,
		BlockedConfigs: len(m.blocked), OpenRequests: map[uint64]int{}, ServerCount: len(m.servers), History: slices.Clone(m.history),
		EventCounts: maps.Clone(m.eventCounts)}
	if m.previous != nil {
		s.PreviousHash = m.previous.Hash
	}
	if m.staged != nil {
		s.StagedHash = m.staged.Hash
	}
	if m.watch != nil {
		s.IsWatched, s.WatchSecondsLeft, s.RolloutShare = true, max(0, (m.watch.endsAt-now).Seconds()), m.rolloutShare()
	}
	for _, g := range append([]*activeGeneration{m.active}, m.retiring...) {
		if g.openRequests > 0 {
			s.OpenRequests[g.number] = g.openRequests
		}
	}
	return s
}
