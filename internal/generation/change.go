package generation

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxBlockedConfigs bounds the configurations that are remembered for the harm that they did; the oldest are forgotten.
const maxBlockedConfigs = 100

// Reasons why Stage or Rollback changes nothing.
var (
	ErrBaseChanged      = errors.New("another generation is in force than the one that the plan rests on")
	ErrAlreadyStaged    = errors.New("another change is being applied")
	ErrWatchActive      = errors.New("the change before is still being watched")
	ErrBlocked          = errors.New("this configuration has done harm before")
	ErrNoRollbackTarget = errors.New("there is no generation to go back to")
	ErrNoChange         = errors.New("the configuration is in force already")
)

// activeGeneration is a configuration in force, or that has been, under one number. A rollback brings an earlier configuration
// back under a number of its own.
type activeGeneration struct {
	*CompiledConfig
	number       uint64
	openRequests int // requests in flight that are bound to it
}

// Stage accepts a configuration as the next one to come in force. It was compiled for the given version of the servers, and the
// Manager owns it from then on. base is the hash of the configuration that it replaces. force accepts one that is blocked for
// harm, and ends a watch under way as if that had found none. Any error leaves the Manager as it was and is one of the reasons
// above.
func (m *Manager) Stage(c *CompiledConfig, serversVersion uint64, actor, base string, force bool) error {
	harm, isBlocked := m.blocked[c.Hash]
	switch {
	case base != m.active.Hash:
		return fmt.Errorf("%w: %.12s, not %.12s", ErrBaseChanged, m.active.Hash, base)
	case m.staged != nil:
		return fmt.Errorf("%w, by %s", ErrAlreadyStaged, m.stagedBy)
	case c.Hash == m.active.Hash:
		return ErrNoChange
	case m.watch != nil && !force:
		return fmt.Errorf("%w; roll it back, or wait until the watch ends", ErrWatchActive)
	case isBlocked && !force:
		return fmt.Errorf("%w: %s; it has to be forced", ErrBlocked, harm)
	}
	if serversVersion != m.serversVersion {
		c.update(m.servers, changedServerIDs(c.known, m.servers))
	}
	m.staged, m.stagedBy = c, actor // UpdateServers keeps it up to date from here on
	m.stateRevision++
	return nil
}

// Unstage discards the staged configuration, if there is one.
func (m *Manager) Unstage() {
	if m.staged != nil {
		m.staged = nil
		m.stateRevision++
	}
}

// Switch puts the staged configuration in force at once, as a new generation whose number it returns, and begins to watch it.
// Requests that arrive from now on are bound to it.
func (m *Manager) Switch(now time.Duration, reason string) (uint64, error) {
	c := m.staged
	if c == nil {
		return 0, errors.New("nothing is staged")
	}
	m.staged = nil
	expectedRejectRatio := m.expectedRejectRatios(now, c)
	m.activate(c)
	delete(m.blocked, c.Hash)
	m.blockedOrder = slices.DeleteFunc(m.blockedOrder, func(hash string) bool { return hash == c.Hash })
	m.record(now, Record{Number: m.active.number, Hash: c.Hash, Event: EventApplied, Actor: m.stagedBy, Reason: reason})
	m.rolloutStep = 0
	m.startWatch(now, m.traffic.outcomeCounts(now), expectedRejectRatio)
	m.updateDraining()
	return m.active.number, nil
}

// Rollback puts the previous configuration in force again, as a new generation that is not watched. The error is
// ErrNoRollbackTarget where there is none.
func (m *Manager) Rollback(now time.Duration, actor, reason string) error {
	if m.previous == nil {
		return ErrNoRollbackTarget
	}
	m.reactivatePrevious(now, Record{Event: EventRolledBack, Actor: actor, Reason: reason})
	return nil
}

// rollBackForHarm rolls back what the watch has found harmful, and blocks it.
func (m *Manager) rollBackForHarm(now time.Duration, h *Harm) {
	tenant := ""
	if h.Pair != matchAny && len(m.options.Names.Tenants) > 0 {
		tenant = m.options.Names.Tenants[h.Pair%m.traffic.tenantsPerClass]
	}
	reason := h.describe(m.options.Names.Classes[h.Class].Name, tenant)
	m.blockConfig(m.active.Hash, reason)
	m.reactivatePrevious(now, Record{Event: EventHarmFound, Reason: reason})
}

// reactivatePrevious puts the previous configuration in force again and records r for the one that it replaces. Afterwards there
// is nothing to roll back to: two rollbacks in a row would bring back what was just rolled back. The way forward is a new plan.
func (m *Manager) reactivatePrevious(now time.Duration, r Record) {
	r.Hash, r.Number = m.active.Hash, m.active.number
	m.activate(m.previous)
	m.previous, m.watch, m.rolloutStep, m.staged = nil, nil, 0, nil
	m.record(now, r)
	m.updateDraining()
}

// activate puts a configuration in force under the next number. The requests of the old generation end under it.
func (m *Manager) activate(c *CompiledConfig) {
	old := m.active
	c.inheritCounters(old.CompiledConfig)
	if old.openRequests > 0 {
		m.retiring = append(m.retiring, old)
	}
	m.previous, m.active = old.CompiledConfig, &activeGeneration{CompiledConfig: c, number: old.number + 1}
}

// blockConfig makes Stage reject a configuration that has done harm, unless it is forced.
func (m *Manager) blockConfig(hash, harm string) {
	if _, found := m.blocked[hash]; !found {
		m.blockedOrder = append(m.blockedOrder, hash)
	}
	m.blocked[hash] = harm
	for len(m.blockedOrder) > maxBlockedConfigs {
		delete(m.blocked, m.blockedOrder[0])
		m.blockedOrder = m.blockedOrder[1:]
	}
}

// changedServerIDs returns the ids whose entries differ between two sets of servers.
func changedServerIDs(a, b Servers) (ids []string) {
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
