package generation

import (
	"math"
	"slices"
	"time"

	"appleledge/internal/fleetconfig"
)

// A rollout puts the drains that a change adds in force in steps: each step drains a further share of their servers, not before
// the configured wait has passed and not while anything points to harm. A rollback undoes all steps at once, as the previous
// generation's drains are in force again.

// startWatch begins the watch of the active generation. It lasts for the rollout's steps and the configured time behind the last.
func (m *Manager) startWatch(now time.Duration, baseline []OutcomeCounts, expectedRejectRatio []float64) {
	settings := m.active.Config.WatchSettings()
	duration := time.Duration(settings.Duration)
	if r := m.active.Config.Rollout; r != nil {
		steps := math.Ceil(1/r.Step) - 1
		duration += time.Duration(steps) * time.Duration(r.Wait)
		m.nextStepAt = now + time.Duration(r.Wait)
	}
	m.watch = newHarmWatch(now, duration, settings.FalseAlarms, baseline, expectedRejectRatio, m.traffic.classes())
}

// NextTick returns when Tick is to be called next; ok is false while no change is watched.
func (m *Manager) NextTick() (at time.Duration, ok bool) {
	if m.watch == nil {
		return 0, false
	}
	return m.watch.nextTestAt, true
}

// Tick tests the watched change for harm. It rolls the change back where there is some; else it advances the rollout when the next
// step is due, and promotes the change when the watch has ended.
func (m *Manager) Tick(now time.Duration) {
	for m.watch != nil && m.watch.nextTestAt <= now {
		if h := m.watch.runTests(m.traffic); h != nil {
			m.rollBackForHarm(now, h)
			return
		}
	}
	switch {
	case m.watch == nil:
	case m.rolloutShare() < 1:
		m.advanceRollout(now)
	case now >= m.watch.endsAt && m.watch.isCalm():
		m.promote(now)
	}
}

// advanceRollout puts the next step in force if it is due. The watch lasts at least its full time from now on, so that the last
// step is watched as long as a change without a rollout.
func (m *Manager) advanceRollout(now time.Duration) {
	if now >= m.nextStepAt && m.watch.isCalm() {
		m.rolloutStep++
		m.nextStepAt = now + time.Duration(m.active.Config.Rollout.Wait)
		m.stateRevision++
		m.updateDraining()
	}
	m.watch.endsAt = max(m.watch.endsAt, now+time.Duration(m.active.Config.WatchSettings().Duration))
}

// promote ends the watch: no harm was found.
func (m *Manager) promote(now time.Duration) {
	m.watch, m.rolloutStep = nil, 0
	m.record(now, Record{Number: m.active.number, Hash: m.active.Hash, Event: EventPromoted})
	m.updateDraining()
}

// rolloutShare returns how much of the drains that the change adds is in force, from 0 to 1.
func (m *Manager) rolloutShare() float64 {
	r := m.active.Config.Rollout
	if r == nil || m.previous == nil || m.watch == nil && !m.isFollowing {
		return 1
	}
	return min(1, float64(m.rolloutStep+1)*r.Step)
}

// updateDraining determines anew which servers drain, and notes what has changed.
func (m *Manager) updateDraining() {
	want := m.drainTargets()
	for id := range m.draining {
		if !want[id] {
			delete(m.draining, id)
			m.drainChanges = append(m.drainChanges, id)
		}
	}
	for id := range want {
		if !m.draining[id] {
			m.draining[id] = true
			m.drainChanges = append(m.drainChanges, id)
		}
	}
	slices.Sort(m.drainChanges)
	m.drainChanges = slices.Compact(m.drainChanges)
}

// drainTargets returns the servers that the active generation drains: those that the previous one drained too, and of the
// others as many as the rollout's step allows. The result is only read.
func (m *Manager) drainTargets() map[string]bool {
	share := m.rolloutShare()
	if share >= 1 {
		return m.active.drained
	}
	var added []*fleetconfig.Server
	want := map[string]bool{}
	for id := range m.active.drained {
		if m.previous.drained[id] {
			want[id] = true
		} else if s := m.servers[id]; s != nil {
			added = append(added, s)
		}
	}
	for _, s := range fleetconfig.SelectShare(added, "rollout", share) {
		want[s.ID] = true
	}
	return want
}

// IsDraining reports whether a server gets no new requests, by the drains in force.
func (m *Manager) IsDraining(id string) bool { return m.draining[id] }

// TakeDrainChanges returns the sorted ids of the servers whose drain has begun or ended since the last call, and forgets them.
func (m *Manager) TakeDrainChanges() []string {
	changes := m.drainChanges
	m.drainChanges = nil
	return changes
}
