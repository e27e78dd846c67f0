package generation

import (
	"slices"
	"time"
)

// maxHistoryRecords bounds the history, in memory and in the State; the oldest records are dropped.
const maxHistoryRecords = 200

// Record is an entry of the history.
type Record struct {
	Number uint64 `json:"number"` // of the generation that the event is about
	Hash   string `json:"hash"`   // of its configuration
	Event  string `json:"what"`   // one of the Event constants
	Actor  string `json:"by,omitempty"`
	Reason string `json:"why,omitempty"`
	UnixMS int64  `json:"unix_ms"` // wall time, in milliseconds since the Unix epoch
}

// The events of a Record. Their texts are part of the stored state, of operators' answers and of metrics.
const (
	EventApplied    = "applied"
	EventPromoted   = "kept"        // the watch ended and found no harm
	EventRolledBack = "rolled back" // by an operator
	EventHarmFound  = "harmed"      // and rolled back by the watch
	EventRestored   = "restarted"   // the agent came back to it after a restart
	EventDiscarded  = "dropped"     // it was staged when the agent ended, and never in force
)

// record adds an entry to the history and counts it.
func (m *Manager) record(now time.Duration, r Record) {
	if m.options.UnixMS != nil {
		r.UnixMS = m.options.UnixMS(now)
	}
	m.eventCounts[r.Event]++
	m.history = append(m.history, r)
	if len(m.history) > maxHistoryRecords {
		m.history = slices.Delete(m.history, 0, len(m.history)-maxHistoryRecords)
	}
	m.stateRevision++
	if m.options.OnRecord != nil {
		m.options.OnRecord(r)
	}
}
