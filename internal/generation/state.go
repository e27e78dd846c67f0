package generation

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"appleledge/internal/fleetconfig"
)

// StateFormat is the version of a State's format. DecodeState rejects a greater one.
const StateFormat = 1

// State is what a Manager stores over a restart and hands to another process during a hot restart. It is written as a whole, so
// that a crash leaves one state or the next and nothing between. Its JSON keys are part of the format.
type State struct {
	Format         int               `json:"format"`
	Number         uint64            `json:"number"` // of the generation in force
	Config         json.RawMessage   `json:"config"`
	Hash           string            `json:"hash"`               // of Config
	PreviousConfig json.RawMessage   `json:"previous,omitempty"` // what a rollback goes back to
	StagedHash     string            `json:"staged,omitempty"`   // of a configuration that was about to be switched to; never in force
	Watch          *WatchState       `json:"watching,omitempty"` // nil: no change was watched
	Blocked        map[string]string `json:"barred,omitempty"`   // hashes of configurations that did harm, and how
	History        []Record          `json:"history,omitempty"`  // the earliest first
}

// WatchState is what is stored of a watch under way.
type WatchState struct {
	Baseline            []OutcomeCounts `json:"before"`  // by pair, of the minute before the switch
	ExpectedRejectRatio []float64       `json:"limited"` // by pair
	RolloutStep         int             `json:"step"`
}

// ErrNewerFormat says that a state was written by a newer program. The agent must not overwrite it: after an operator has gone
// back to the old version and forth again, the newer program needs it.
var ErrNewerFormat = errors.New("the state is of a newer form; it is kept, and the agent must not write over it")

// DecodeState reads a State from JSON. The error is ErrNewerFormat for a newer format, whatever else the state holds.
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

// State returns what is to be stored now.
func (m *Manager) State() *State {
	s := &State{Format: StateFormat, Number: m.active.number, Config: m.active.encoded, Hash: m.active.Hash, Blocked: map[string]string{},
		History: append([]Record(nil), m.history...)}
	for hash, harm := range m.blocked {
		s.Blocked[hash] = harm
	}
	if m.previous != nil {
		s.PreviousConfig = m.previous.encoded
	}
	if m.staged != nil {
		s.StagedHash = m.staged.Hash
	}
	if m.watch != nil {
		s.Watch = &WatchState{Baseline: m.watch.baseline, ExpectedRejectRatio: m.watch.expectedRejectRatio, RolloutStep: m.rolloutStep}
	}
	return s
}

// StateRevision counts the changes of what State returns: when it has grown, the state is to be stored again.
func (m *Manager) StateRevision() uint64 { return m.stateRevision }

// CompiledState is a State whose configurations are compiled.
type CompiledState struct {
	state          *State
	active         *CompiledConfig
	previous       *CompiledConfig // nil where there is nothing to roll back to
	previousError  error           // why previous is nil, though the state has one; nil: it has none, or it is there
	serversVersion uint64          // of the servers that they are compiled for
}

// CompileState compiles the configurations of a State for the given version of the servers. Like Compile it runs beside the engine.
// What is in force has to be usable, or the State is not; names that the platform has dropped do not matter (CompileStored). The
// configuration before is there for a rollback only: where it can't be used, there is nothing to roll back to.
func CompileState(s *State, names Names, servers Servers, serversVersion uint64) (*CompiledState, error) {
	compile := func(data json.RawMessage) (*CompiledConfig, error) {
		c, err := fleetconfig.Decode(data)
		if err != nil {
			return nil, err
		}
		return CompileStored(c, names, servers)
	}
	compiled := &CompiledState{state: s, serversVersion: serversVersion}
	var err error
	if compiled.active, err = compile(s.Config); err != nil {
		return nil, fmt.Errorf("generation %d: %w", s.Number, err)
	}
	if s.PreviousConfig != nil {
		compiled.previous, compiled.previousError = compile(s.PreviousConfig)
	}
	return compiled, nil
}

// Restore takes over a stored State at the start, before any other call. After an error, which is CompileState's, the Manager is
// as it was.
func (m *Manager) Restore(now time.Duration, s *State) error {
	compiled, err := CompileState(s, m.options.Names, m.servers, m.serversVersion)
	if err == nil {
		m.TakeOver(now, compiled)
	}
	return err
}

// Follow puts in force what another process of the agent has in force. That process watches its changes, advances rollouts and
// rolls back, until this one calls TakeOver.
func (m *Manager) Follow(now time.Duration, s *CompiledState) {
	m.restoreGeneration(s)
	m.isFollowing = s.state.Watch != nil
	m.updateDraining()
}

// TakeOver puts in force what a process had that has ended. A watch under way begins anew, with its baseline of before the switch.
func (m *Manager) TakeOver(now time.Duration, s *CompiledState) {
	state := s.state
	m.restoreGeneration(s)
	m.isFollowing = false
	if state.StagedHash != "" {
		m.record(now, Record{Number: state.Number, Hash: state.StagedHash, Event: EventDiscarded, Reason: "the agent ended before the switch"})
	}
	m.record(now, Record{Number: state.Number, Hash: state.Hash, Event: EventRestored, Reason: s.limitation()})
	if w := state.Watch; w != nil && m.previous != nil && len(w.Baseline) == len(m.traffic.pairs) && len(w.ExpectedRejectRatio) == len(w.Baseline) {
		m.startWatch(now, w.Baseline, w.ExpectedRejectRatio)
	}
	m.updateDraining()
}

// limitation says what of the State can't be used at present; empty: all can.
func (s *CompiledState) limitation() string {
	var limits []string
	if n := s.active.unresolved; n > 0 {
		limits = append(limits, fmt.Sprintf("%d of its routes, limits and deadlines are for names that the platform does not know, and wait for these", n))
	}
	if s.previousError != nil {
		limits = append(limits, fmt.Sprintf("there is nothing to roll back to: %v", s.previousError))
	}
	return strings.Join(limits, "; ")
}

// restoreGeneration puts the generation of a State in force, with all that the state holds beside it. Requests that are bound to
// another generation end under that.
func (m *Manager) restoreGeneration(s *CompiledState) {
	state := s.state
	if old := m.active; old.number != state.Number || old.Hash != state.Hash {
		s.active.inheritCounters(old.CompiledConfig)
		if old.openRequests > 0 {
			m.retiring = append(m.retiring, old)
		}
		m.active = &activeGeneration{CompiledConfig: s.active, number: state.Number}
	}
	m.previous, m.watch, m.rolloutStep, m.history = s.previous, nil, 0, slices.Clone(state.History)
	m.stateRevision++ // this process may have to store it: what is on disk may be incomplete
	if state.Watch != nil {
		m.rolloutStep = state.Watch.RolloutStep
	}
	if s.serversVersion != m.serversVersion { // UpdateServers keeps them up to date from here on
		for _, c := range []*CompiledConfig{s.active, s.previous} {
			if c != nil {
				c.update(m.servers, changedServerIDs(c.known, m.servers))
			}
		}
	}
	for hash, harm := range state.Blocked {
		m.blockConfig(hash, harm)
	}
}
