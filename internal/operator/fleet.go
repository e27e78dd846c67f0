package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
)

// FleetView is the fleet as one agent sees it, the answer of GET /ops/fleet. Parts that the agent runs without are nil.
type FleetView struct {
	Agent    string    `json:"agent"`
	Recovery *Recovery `json:"recovery,omitempty"`
	Peers    *Peers    `json:"peers,omitempty"`
	Overload *Overload `json:"overload,omitempty"`
}

// Recovery is the state of the recovery ramp after an outage, and of the snapshot that it starts from.
type Recovery struct {
	Phase        string            `json:"phase"`
	Why          string            `json:"why"`
	DurationS    float64           `json:"for_s"`           // since the phase began
	AdmittedRate float64           `json:"let_in_a_second"` // requests admitted per second; 0: all
	WarmRatio    float64           `json:"warm"`            // lower bound of the available part of the fleet's capacity
	Servers      int               `json:"servers"`
	Answered     int               `json:"answered"` // servers that have responded since the recovery began
	Trials       uint64            `json:"trials"`
	FailedTrials uint64            `json:"trials_in_vain"`
	Rejected     map[string]uint64 `json:"refused"` // by class
	Trust        string            `json:"trusted"` // how much of the snapshot: none, names, complete
	Persistence  string            `json:"keeping"` // how long ago the snapshot was written, or why it was not
}

// Peers are the other agents, as known by gossip.
type Peers struct {
	Self              int               `json:"self"`
	Alive             int               `json:"alive"` // including this one
	States            []string          `json:"states"`
	Sent              uint64            `json:"datagrams_sent"`
	SentBytes         uint64            `json:"bytes_sent"`
	Received          uint64            `json:"datagrams_taken"`
	Dropped           map[string]uint64 `json:"datagrams_dropped,omitempty"`
	ExcludedServers   []string          `json:"held_out_on_word"` // servers not used because of gossip
	Claims            uint64            `json:"claims_heard"`
	ClaimsOutOfBounds uint64            `json:"claims_out_of_bounds"`
	SuspectedBy       uint64            `json:"suspicions_of_this_one"`
	Suspecting        uint64            `json:"suspicions_of_others"`
}

// Overload is the fleet's load and capacity as this agent sees them, and what it admits in consequence. Rates are per
// second, over the whole fleet; counts are this agent's.
type Overload struct {
	Trust             float64                  `json:"trust"` // part of the requests for which the fleet's plan decides, from 0 to 1; this agent alone decides for the rest
	KnownAgents       int                      `json:"agents_heard_of"`
	Capacity          float64                  `json:"capacity"`
	Utilization       float64                  `json:"use"`   // of all servers together
	Limit             float64                  `json:"limit"` // admitted rate; 0: no limit
	OfferedRate       float64                  `json:"asked"`
	AdmittedRate      float64                  `json:"let_in"`
	InFlight          float64                  `json:"open"` // requests, not a rate
	ServedInTimeRate  float64                  `json:"served_in_time"`
	LateOrFailedRate  float64                  `json:"late_or_failed"`
	RetryRate         float64                  `json:"further_attempts"`
	RejectedRatio     float64                  `json:"refused_part"`
	Classes           map[string]OverloadClass `json:"classes"`
	ExcludedServers   []string                 `json:"held_out_as_ill"`
	DecidedLocally    uint64                   `json:"decided_alone"`
	RejectedTooLate   uint64                   `json:"refused_here_too_late"` // rejected here because their deadline was too near
	SuppressedRetries uint64                   `json:"further_attempts_not_made"`
	PayloadsSent      uint64                   `json:"told"`
	PayloadsReceived  uint64                   `json:"news_heard"`
	ClaimsOutOfBounds uint64                   `json:"claims_out_of_bounds"`
	Malformed         uint64                   `json:"malformed"`
}

// OverloadClass is the part of one class in Overload.
type OverloadClass struct {
	FirstAttemptRate     float64 `json:"asked_first"`
	RetryRate            float64 `json:"asked_again"`
	AdmissionProbability float64 `json:"chance"` // of a first attempt, from 0 to 1
	Rejected             uint64  `json:"refused_here"`
	RejectedRetries      uint64  `json:"refused_here_again"`
}

// handleFleet answers with the FleetView as JSON, or with 503.
func (s *Server) handleFleet(w http.ResponseWriter, r *http.Request) {
	f, err := s.Fleet(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	besteffort.Ignore(e.Encode(f)) // an error means that the operator has closed the connection
}

// Seconds returns a duration in seconds, rounded to milliseconds.
func Seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }
