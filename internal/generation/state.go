package generation

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"appleledge/internal/fleetconfig"
)

// StateFormat is the version of a State's form. What has a greater one is refused.
const StateFormat = 1

// State is what a Manager keeps over a restart. It is written whole, so that there is nothing between two states.
type State struct {
	Format         int               `json:"format"`
	Number         uint64            `json:"number"` // of the generation in force
	Config         json.RawMessage   `json:"config"`
	Hash           string            `json:"hash"`
	PreviousConfig json.RawMessage   `json:"previous,omitempty"` // that a rollback goes back to
	StagedHash     string            `json:"staged,omitempty"`   // hash of one that was about to be switched to; never in force
	Watch          *WatchState       `json:"watching,omitempty"`
	Blocked        map[string]string `json:"barred,omitempty"` // hashes that have done harm, and what
	History        []Record          `json:"history,omitempty"`
}

// WatchState is a watch that was under way.
type WatchState struct {
	Baseline            []OutcomeCounts `json:"before"`
	ExpectedRejectRatio []float64       `json:"limited"`
	RolloutStep         int             `json:"step"` // of the rollout, that was done
}

// Record is an entry of the history, which is bounded.
type Record struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	Event  string `json:"what"` // one of the words below
	Actor  string `json:"by,omitempty"`
	Reason string `json:"why,omitempty"`
	UnixMS int64  `json:"unix_ms"`
}

// Event a Record says.
const (
	EventApplied    = "applied"
	EventPromoted   = "kept"        // the watch found no harm
	EventRolledBack = "rolled back" // by an operator
	EventHarmFound  = "harmed"      // and rolled back by the watch
	EventRestored   = "restarted"   // the agent came back to it
	EventDiscarded  = "dropped"     // it was staged when the agent ended, and never in force
)

// ErrNewerFormat says that a state was written by a newer program.
var ErrNewerFormat = errors.New("the state is of a newer form; it is kept, and the agent must not write over it")

// DecodeState reads a state.
func DecodeState(data []byte) (*State, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if head.Format > StateFormat {
		return nil, ErrNewerFormat
	}
	s := &State{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	c, err := fleetconfig.Decode(s.Config)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if c.Hash() != s.Hash {
		return nil, errors.New("state: the configuration does not have the hash that is written beside it")
	}
	return s, nil
}

// State is what is to be kept.
func (m *Manager) State() *State {
	s := &State{Format: StateFormat, Number: m.force.number, Config: m.force.json, Hash: m.force.Hash, Blocked: map[string]string{},
		History: append([]Record(nil), m.history...)}
	for hash, why := range m.barred {
		s.Blocked[hash] = why
	}
	if m.before != nil {
		s.PreviousConfig = m.before.json
	}
	if m.staged != nil {
		s.StagedHash = m.staged.Hash
	}
	if m.watch != nil {
		s.Watch = &WatchState{Baseline: m.watch.before, ExpectedRejectRatio: m.watch.limited, RolloutStep: m.step}
	}
	return s
}

// Restore takes up a state, before anything else is asked of the Manager. Configurations that no longer fit the platform's
// names are an error, and then the Manager is as it was. A watch begins anew, with the figures of before the switch.
func (m *Manager) Restore(now time.Duration, s *State) error {
	p, err := CompileState(s, m.options.Names, m.servers, m.version)
	if err == nil {
		m.TakeOver(now, p)
	}
	return err
}

// CompiledState is a State whose configurations are compiled.
type CompiledState struct {
	state         *State
	force, before *CompiledConfig // before: nil where there is nothing to go back to
	version       uint64          // of the servers that they are compiled for
}

// CompileState compiles the configurations of a State, for that version of the servers.
func CompileState(s *State, names Names, servers Servers, version uint64) (*CompiledState, error) {
	compile := func(data json.RawMessage) (*CompiledConfig, error) {
		c, err := fleetconfig.Decode(data)
		if err != nil {
			return nil, err
		}
		return Compile(c, names, servers)
	}
	p := &CompiledState{state: s, version: version}
	var err error
	if p.force, err = compile(s.Config); err != nil {
		return nil, fmt.Errorf("generation %d: %w", s.Number, err)
	}
	if s.PreviousConfig == nil {
		return p, nil
	}
	if p.before, err = compile(s.PreviousConfig); err != nil {
		return nil, fmt.Errorf("the generation before %d: %w", s.Number, err)
	}
	return p, nil
}

// Follow brings in force what another process of the agent has in force. That one watches its changes, goes on with rollouts and
// rolls back, until this one takes over.
func (m *Manager) Follow(now time.Duration, p *CompiledState) {
	m.adopt(p)
	m.followed = p.state.Watch != nil
	m.redrain()
}

// TakeOver brings in force what a process had that has ended. A watch begins anew, with the figures of before the switch.
func (m *Manager) TakeOver(now time.Duration, p *CompiledState) {
	s := p.state
	m.adopt(p)
	m.followed = false
	if s.StagedHash != "" {
		m.record(now, Record{Number: s.Number, Hash: s.StagedHash, Event: EventDiscarded, Reason: "the agent ended before the switch"})
	}
	m.record(now, Record{Number: s.Number, Hash: s.Hash, Event: EventRestored})
	if w := s.Watch; w != nil && m.before != nil && len(w.Baseline) == len(m.traffic.pairs) && len(w.ExpectedRejectRatio) == len(w.Baseline) {
		m.startWatch(now, w.Baseline, w.ExpectedRejectRatio)
	}
	m.redrain()
}

// adopt brings the generation of a State in force, with all that is remembered beside it. Requests that are bound to another one
// end under that.
func (m *Manager) adopt(p *CompiledState) {
	s := p.state
	if old := m.force; old.number != s.Number || old.Hash != s.Hash {
		p.force.inherit(old.CompiledConfig)
		if old.open > 0 {
			m.old = append(m.old, old)
		}
		m.force = &tenure{CompiledConfig: p.force, number: s.Number}
	}
	m.before, m.watch, m.step, m.history = p.before, nil, 0, slices.Clone(s.History)
	m.changes++ // what is on disk may not be whole when this process is the one to keep it
	if s.Watch != nil {
		m.step = s.Watch.RolloutStep
	}
	if p.version != m.version { // from here on they hear of changes as the others do
		for _, c := range []*CompiledConfig{p.force, p.before} {
			if c != nil {
				c.update(m.servers, union(c.told, m.servers))
			}
		}
	}
	for hash, why := range s.Blocked {
		m.bar(hash, why)
	}
}
