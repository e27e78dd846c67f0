package generation

import (
	"encoding/json"
	"errors"
	"fmt"
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
	compile := func(data json.RawMessage) (*Compiled, error) {
		c, err := fleetconfig.Decode(data)
		if err != nil {
			return nil, err
		}
		return Compile(c, m.options.Names, m.servers)
	}
	force, err := compile(s.Config)
	if err != nil {
		return fmt.Errorf("generation %d: %w", s.Number, err)
	}
	var before *Compiled
	if s.Previous != nil {
		if before, err = compile(s.Previous); err != nil {
			return fmt.Errorf("the generation before %d: %w", s.Number, err)
		}
	}
	m.force, m.before, m.history = &tenure{Compiled: force, number: s.Number}, before, s.History
	for hash, why := range s.Barred {
		m.bar(hash, why)
	}
	if s.Staged != "" {
		m.record(now, Record{Number: s.Number, Hash: s.Staged, What: Dropped, Why: "the agent ended before the switch"})
	}
	m.record(now, Record{Number: s.Number, Hash: s.Hash, What: Restarted})
	if w := s.Watching; w != nil && before != nil && len(w.Before) == len(m.traffic.pairs) && len(w.Limited) == len(w.Before) {
		m.step = w.Step
		m.startWatch(now, w.Before, w.Limited)
	}
	m.redrain()
	return nil
}
