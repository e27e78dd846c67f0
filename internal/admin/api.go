package admin

import (
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
)

// The paths of the calls. The JSON keys of the types below are part of the API.
const (
	PathStatus   = "/v1/status"   // GET: Status
	PathConfig   = "/v1/config"   // GET: Config
	PathHistory  = "/v1/history"  // GET: []generation.Record
	PathCheck    = "/v1/check"    // POST PlanRequest: Config
	PathPlan     = "/v1/plan"     // POST PlanRequest: plan.Plan
	PathApply    = "/v1/apply"    // POST ApplyRequest: ChangeResult
	PathRollback = "/v1/rollback" // POST RollbackRequest: ChangeResult
	PathLock     = "/v1/lock"     // POST LockRequest: Lock; DELETE with the same releases it
)

// Status is the state of an agent's configuration.
type Status struct {
	Agent string `json:"agent"`
	generation.Status
	Lock      *Lock  `json:"lock,omitempty"`    // nil: nobody holds it
	IsDurable bool   `json:"durable"`           // the state in force would survive a restart
	Problem   string `json:"problem,omitempty"` // why it would not
}

// Config is a configuration: the one in force or, as the result of a check, the one that was checked, without a number.
type Config struct {
	Number uint64              `json:"number"`
	Hash   string              `json:"hash"`
	Config *fleetconfig.Config `json:"config"`
}

// PlanRequest asks what a configuration would do.
type PlanRequest struct {
	Config           *fleetconfig.Config `json:"config"`
	MaxCapacityTaken float64             `json:"most_taken"` // the share of capacity, from 0 to 1, that it may take unflagged
}

// ApplyRequest asks for a plan to be applied as it stands.
type ApplyRequest struct {
	Plan   *plan.Plan `json:"plan"`
	Actor  string     `json:"by"`
	Reason string     `json:"why,omitempty"`
	Force  bool       `json:"force,omitempty"` // also what is blocked for harm, or while another change is watched
}

// RollbackRequest asks for the previous generation.
type RollbackRequest struct {
	Actor  string `json:"by"`
	Reason string `json:"why,omitempty"`
}

// ChangeResult says what is in force after a change.
type ChangeResult struct {
	Number    uint64 `json:"number"`
	Hash      string `json:"hash"`
	IsDurable bool   `json:"durable"`           // it would survive a restart
	Problem   string `json:"problem,omitempty"` // why it would not
}

// LockRequest asks for the lock, or releases it.
type LockRequest struct {
	Holder   string `json:"by"`
	Duration string `json:"for,omitempty"` // as time.ParseDuration reads it, such as "5m"
}

// Lock says who alone may change the configuration, and for how long.
type Lock struct {
	Holder      string  `json:"by"`
	SecondsLeft float64 `json:"left_s"`
}

// Problem is the body of a call's error.
type Problem struct {
	Kind    string   `json:"kind"` // one of the Kind constants
	Error   string   `json:"error"`
	Changed []string `json:"moved,omitempty"` // of KindOutdated: what has changed since the plan was made
}

// The kinds of problems.
const (
	KindBadRequest   = "bad-request" // it cannot be read, or exceeds a bound
	KindInvalid      = "invalid"     // the configuration is wrong
	KindOutdated     = "moved"       // what the plan rests on has changed
	KindRejected     = "refused"     // by the agent's state: blocked, watched, locked
	KindStorage      = "disk"        // the state could not be stored, so nothing was changed
	KindShuttingDown = "ending"      // the agent ends
)
