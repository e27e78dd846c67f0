package generation

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"appleledge/internal/fleetconfig"
)

// Format is the version of a State's form. What has a greater one is refused.
const Format = 1

// State is what a Manager keeps over a restart. It is written whole, so that there is nothing between two states.
type State struct {
	Format   int               `json:"format"`
	Number   uint64            `json:"number"` // of the generation in force
	Config   json.RawMessage   `json:"config"`
	Hash     string            `json:"hash"`
	Previous json.RawMessage   `json:"previous,omitempty"` // that a rollback goes back to
	Staged   string            `json:"staged,omitempty"`   // hash of one that was about to be switched to; never in force
	Watching *Watching         `json:"watching,omitempty"`
	Barred   map[string]string `json:"barred,omitempty"` // hashes that have done harm, and what
	History  []Record          `json:"history,omitempty"`
}

// Watching is a watch that was under way.
type Watching struct {
	Before  []Share   `json:"before"`
	Limited []float64 `json:"limited"`
	Step    int       `json:"step"` // of the rollout, that was done
}

// Record is an entry of the history, which is bounded.
type Record struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	What   string `json:"what"` // one of the words below
	By     string `json:"by,omitempty"`
	Why    string `json:"why,omitempty"`
	UnixMS int64  `json:"unix_ms"`
}

// What a Record says.
const (
	Applied    = "applied"
	Kept       = "kept"        // the watch found no harm
	RolledBack = "rolled back" // by an operator
	Harmed     = "harmed"      // and rolled back by the watch
	Restarted  = "restarted"   // the agent came back to it
	Dropped    = "dropped"     // it was staged when the agent ended, and never in force
)

// ErrNewer says that a state was written by a newer program.
var ErrNewer = errors.New("the state is of a newer form; it is kept, and the agent must not write over it")

// DecodeState reads a state.
func DecodeState(data []byte) (*State, error) {
	var head struct{ Format int }
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if head.Format > Format {
		return nil, ErrNewer
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
	s := &State{Format: Format, Number: m.force.number, Config: m.force.json, Hash: m.force.Hash, Barred: map[string]string{},
		History: append([]Record(nil), m.history...)}
	for hash, why := range m.barred {
		s.Barred[hash] = why
	}
	if m.before != nil {
		s.Previous = m.before.json
	}
	if m.staged != nil {
		s.Staged = m.staged.Hash
	}
	if m.watch != nil {
		s.Watching = &Watching{Before: m.watch.before, Limited: m.watch.limited, Step: m.step}
	}
	return s
}

// Restore takes up a state, before anything else is asked of the Manager. Configurations that no longer fit the platform's
// names are an error, and then the Manager is as it was. A watch begins anew, with the figures of before the switch.
func (m *Manager) Restore(now time.Duration, s *State) error {
	p, err := Prepare(s, m.options.Names, m.servers, m.version)
	if err == nil {
		m.TakeOver(now, p)
	}
	return err
}

// Prepared is a State whose configurations are compiled.
type Prepared struct {
	state         *State
	force, before *Compiled // before: nil where there is nothing to go back to
	version       uint64    // of the servers that they are compiled for
}

// Prepare compiles the configurations of a State, for that version of the servers.
func Prepare(s *State, names Names, servers Servers, version uint64) (*Prepared, error) {
	compile := func(data json.RawMessage) (*Compiled, error) {
		c, err := fleetconfig.Decode(data)
		if err != nil {
			return nil, err
		}
		return Compile(c, names, servers)
	}
	p := &Prepared{state: s, version: version}
	var err error
	if p.force, err = compile(s.Config); err != nil {
		return nil, fmt.Errorf("generation %d: %w", s.Number, err)
	}
	if s.Previous == nil {
		return p, nil
	}
	if p.before, err = compile(s.Previous); err != nil {
		return nil, fmt.Errorf("the generation before %d: %w", s.Number, err)
	}
	return p, nil
}

// Follow brings in force what another process of the agent has in force. That one watches its changes, goes on with rollouts and
// rolls back, until this one takes over.
func (m *Manager) Follow(now time.Duration, p *Prepared) {
	m.adopt(p)
	m.followed = p.state.Watching != nil
	m.redrain()
}

// TakeOver brings in force what a process had that has ended. A watch begins anew, with the figures of before the switch.
func (m *Manager) TakeOver(now time.Duration, p *Prepared) {
	s := p.state
	m.adopt(p)
	m.followed = false
	if s.Staged != "" {
		m.record(now, Record{Number: s.Number, Hash: s.Staged, What: Dropped, Why: "the agent ended before the switch"})
	}
	m.record(now, Record{Number: s.Number, Hash: s.Hash, What: Restarted})
	if w := s.Watching; w != nil && m.before != nil && len(w.Before) == len(m.traffic.pairs) && len(w.Limited) == len(w.Before) {
		m.startWatch(now, w.Before, w.Limited)
	}
	m.redrain()
}

// adopt brings the generation of a State in force, with all that is remembered beside it. Requests that are bound to another one
// end under that.
func (m *Manager) adopt(p *Prepared) {
	s := p.state
	if old := m.force; old.number != s.Number || old.Hash != s.Hash {
		p.force.inherit(old.Compiled)
		if old.open > 0 {
			m.old = append(m.old, old)
		}
		m.force = &tenure{Compiled: p.force, number: s.Number}
	}
	m.before, m.watch, m.step, m.history = p.before, nil, 0, slices.Clone(s.History)
	m.changes++ // what is on disk may not be whole when this process is the one to keep it
	if s.Watching != nil {
		m.step = s.Watching.Step
	}
	if p.version != m.version { // from here on they hear of changes as the others do
		for _, c := range []*Compiled{p.force, p.before} {
			if c != nil {
				c.update(m.servers, union(c.told, m.servers))
			}
		}
	}
	for hash, why := range s.Barred {
		m.bar(hash, why)
	}
}
