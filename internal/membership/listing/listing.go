// Package listing reads and writes endpoint lists in the form of the platform's discovery: a JSON object with a version and an entry for
// each server. Files that are watched, and the list that is cached over a restart, have the same form.
//
// Parse reads the text and says in which line it is wrong; a Decoder then turns the entries into members, one by one, so that an
// invalid entry spoils no other. Nothing here keeps state: List and Decoder are values, and may be used from any goroutine that does
// not share one for writing.
package listing

import (
	"appleledge/internal/balancer"
)

// List is a whole list of servers, or the changes since an earlier version.
type List struct {
	Version int64
	Full    bool
	Servers []Entry
}

// Entry is one server of a list, as it is written; or what is wrong with it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host and port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"` // of machine
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time of its start; 0 for long ago

	decodeErr error // of an entry with a field of a wrong type
}

// StateReady is the state, as it is written, of a server that takes requests.
const StateReady = "Ready"

// stateNames maps the states as they are written to the balancer's.
var stateNames = map[string]balancer.State{StateReady: balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed}
