// Package admin is the door for operators: HTTP with JSON on a Unix socket of the agent's owner, by which configurations are
// planned, applied and rolled back (docs/operators/plan-and-apply.md lists the calls), and the client of it.
package admin

import (
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/plan"
)

// The paths of the calls.
const (
	PathStatus   = "/v1/status"   // GET: Status
	PathConfig   = "/v1/config"   // GET: Config
	PathHistory  = "/v1/history"  // GET: []generation.Record
	PathCheck    = "/v1/check"    // POST PlanRequest: Config
	PathPlan     = "/v1/plan"     // POST PlanRequest: plan.Plan
	PathApply    = "/v1/apply"    // POST ApplyRequest: Applied
	PathRollback = "/v1/rollback" // POST RollbackRequest: Applied
	PathLock     = "/v1/lock"     // POST LockRequest: Lock; DELETE with the same gives it back
)

// Status is how an agent stands.
type Status struct {
	Agent string `json:"agent"`
	generation.Status
	Lock      *Lock  `json:"lock,omitempty"`
	IsDurable bool   `json:"durable"`           // the state in force would survive a restart
	Problem   string `json:"problem,omitempty"` // why not
}

// Config is the configuration in force.
type Config struct {
	Number uint64              `json:"number"`
	Hash   string              `json:"hash"`
	Config *fleetconfig.Config `json:"config"`
}

// PlanRequest asks what a configuration would do.
type PlanRequest struct {
	Config           *fleetconfig.Config `json:"config"`
	MaxCapacityTaken float64             `json:"most_taken"` // the share of capacity that it may take unflagged
}

// ApplyRequest asks for a plan to be applied, as it stands.
type ApplyRequest struct {
	Plan   *plan.Plan `json:"plan"`
	Actor  string     `json:"by"`
	Reason string     `json:"why,omitempty"`
	Force  bool       `json:"force,omitempty"` // also what has done harm before, or while another change is watched
}

// ChangeResult says what is in force now.
type ChangeResult struct {
	Number    uint64 `json:"number"`
	Hash      string `json:"hash"`
	IsDurable bool   `json:"durable"` // it survives a restart
	Problem   string `json:"problem,omitempty"`
}

// RollbackRequest asks for the generation before.
type RollbackRequest struct {
	Actor  string `json:"by"`
	Reason string `json:"why,omitempty"`
}

// LockRequest asks for the lock, or gives it back.
type LockRequest struct {
	Holder   string `json:"by"`
	Duration string `json:"for,omitempty"` // a time, such as "5m"
}

// Lock says who may change the configuration meanwhile.
type Lock struct {
	Holder      string  `json:"by"`
	SecondsLeft float64 `json:"left_s"`
}

// Problem is an error of a call.
type Problem struct {
	Kind    string   `json:"kind"` // one of the words below
	Error   string   `json:"error"`
	Changed []string `json:"moved,omitempty"` // of KindOutdated: what has
}

// The kinds of problems.
const (
	KindBadRequest   = "bad-request" // it can't be read, or breaks a bound
	KindInvalid      = "invalid"     // the configuration is wrong
	KindOutdated     = "moved"       // what the plan rests on has
	KindRejected     = "refused"     // by the state of things: barred, watched, locked
	KindStorage      = "disk"        // it could not be kept, so nothing was changed
	KindShuttingDown = "ending"      // the agent ends
)
