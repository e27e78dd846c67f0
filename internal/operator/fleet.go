package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
)

// FleetView is the fleet as one agent sees it.
type FleetView struct {
	Agent    string    `json:"agent"`
	Recovery *Recovery `json:"recovery,omitempty"`
	Peers    *Peers    `json:"peers,omitempty"`
	Overload *Overload `json:"overload,omitempty"`
}

// Recovery is how service returns, and what is trusted for that.
type Recovery struct {
	Phase        string            `json:"phase"`
	Why          string            `json:"why"`
	DurationS    float64           `json:"for_s"`
	AdmittedRate float64           `json:"let_in_a_second"` // requests; 0 where all are
	WarmRatio    float64           `json:"warm"`            // part of the fleet's capacity that there is at least
	Servers      int               `json:"servers"`
	Answered     int               `json:"answered"` // of these, since the recovery began
	Trials       uint64            `json:"trials"`
	FailedTrials uint64            `json:"trials_in_vain"`
	Rejected     map[string]uint64 `json:"refused"` // by class
	Trust        string            `json:"trusted"` // of what was kept: none, names, complete
	Persistence  string            `json:"keeping"` // since when what is known now is on disk, or why it is not
}

// Peers are the other agents.
type Peers struct {
	Self              int               `json:"self"`
	Alive             int               `json:"alive"` // this one among them
	States            []string          `json:"states"`
	Sent              uint64            `json:"datagrams_sent"`
	SentBytes         uint64            `json:"bytes_sent"`
	Received          uint64            `json:"datagrams_taken"`
	Dropped           map[string]uint64 `json:"datagrams_dropped,omitempty"`
	ExcludedServers   []string          `json:"held_out_on_word"` // servers
	Claims            uint64            `json:"claims_heard"`
	ClaimsOutOfBounds uint64            `json:"claims_out_of_bounds"`
	SuspectedBy       uint64            `json:"suspicions_of_this_one"`
	Suspecting        uint64            `json:"suspicions_of_others"`
}

// Overload is what the fleet is asked and can do, as this agent sees it, and what follows for what it lets in. Rates are a second, over
// the whole fleet.
type Overload struct {
	Trust             float64                  `json:"trust"` // how far that is trusted, from 0 to 1; for the rest the agent goes by itself
	KnownAgents       int                      `json:"agents_heard_of"`
	Capacity          float64                  `json:"capacity"`
	Utilization       float64                  `json:"use"`   // of all servers
	Limit             float64                  `json:"limit"` // 0: all are let in
	OfferedRate       float64                  `json:"asked"`
	AdmittedRate      float64                  `json:"let_in"`
	InFlight          float64                  `json:"open"` // a number
	ServedInTimeRate  float64                  `json:"served_in_time"`
	LateOrFailedRate  float64                  `json:"late_or_failed"`
	RetryRate         float64                  `json:"further_attempts"`
	RejectedRatio     float64                  `json:"refused_part"`
	Classes           map[string]OverloadClass `json:"classes"`
	ExcludedServers   []string                 `json:"held_out_as_ill"`
	DecidedLocally    uint64                   `json:"decided_alone"`
	RejectedTooLate   uint64                   `json:"refused_here_too_late"` // of those refused here, for want of time
	SuppressedRetries uint64                   `json:"further_attempts_not_made"`
	PayloadsSent      uint64                   `json:"told"`
	PayloadsReceived  uint64                   `json:"news_heard"`
	ClaimsOutOfBounds uint64                   `json:"claims_out_of_bounds"`
	Malformed         uint64                   `json:"malformed"`
}

// OverloadClass is a class' part of it; the counts are this agent's.
type OverloadClass struct {
	FirstAttemptRate     float64 `json:"asked_first"`
	RetryRate            float64 `json:"asked_again"`
	AdmissionProbability float64 `json:"chance"` // of a first try to be let in
	Rejected             uint64  `json:"refused_here"`
	RejectedRetries      uint64  `json:"refused_here_again"`
}

// fleet answers with the fleet as the agent sees it, where it has a view of one.
func (s *Server) handleFleet(w http.ResponseWriter, r *http.Request) {
	f, err := s.Fleet(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	besteffort.Ignore(e.Encode(f)) // a caller that has left needs nothing
}

// Seconds is a time in seconds, for figures.
func Seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }
