package engine

import (
	"strconv"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/fleet/recovery"
)

// AdmissionController decides which calls are admitted to the balancer. Its methods are called on the engine's goroutine and must
// not block.
type AdmissionController interface {
	// Arrive admits a call with a permit, or rejects it with nil, which promises that a retry is harmless.
	Arrive(now time.Duration, r admission.Request) (*admission.Permit, admission.Rejection)
	// Done is called once for each permit, with how its call ended.
	Done(now time.Duration, p *admission.Permit, end admission.Outcome)
	// Counts returns what it has counted.
	Counts() admission.Counts
}

// classRetuner is an AdmissionController that takes the classes, by number, when they change.
type classRetuner interface{ Retune([]admission.Class) }

// The engine looks for Retune at run time: a controller without it would keep the old classes unnoticed. Package agent asserts
// the same of the fleet's controller, which this package does not import.
var (
	_ classRetuner = (*admission.Controller)(nil)
	_ classRetuner = (*recovery.Controller)(nil)
)

// SetAdmission sets what is asked before the balancer. It is called before Run.
func (e *Engine) SetAdmission(a AdmissionController) { e.admission = a }

// admit lets a call in and reports true, or answers it.
func (e *Engine) admit(c *Call) bool {
	if e.admission == nil {
		return true
	}
	r := admission.Request{Class: c.Class, Tenant: c.Tenant, Key: c.IdempotencyKey, IsRetry: c.ClientRetry,
		MayHaveRun: c.CallerAttempt > 1 || c.earlier.MayHaveRun, IsBound: c.allowedServers() != nil, Deadline: c.Deadline}
	if r.Key == "" && c.Effect == balancer.Idempotent && c.Key != "" {
		r.Key = strconv.Itoa(c.Class) + " " + strconv.Itoa(c.Tenant) + " " + c.Key
	}
	permit, rejection := e.admission.Arrive(e.clock.Now(), r)
	if permit == nil {
		e.finish(c, Answer{Kind: Rejected, RetryAfter: rejection.RetryAfter, Limit: rejection.Limit, Reason: UnservedAdmission})
		return false
	}
	c.permit = permit
	if e.recovery != nil {
		e.recovery.applyStartChanges()
	}
	return true
}

// releasePermit tells admission how a call ended, if that holds a permit.
func (e *Engine) releasePermit(c *Call, end admission.Outcome) {
	if c.permit != nil {
		e.admission.Done(e.clock.Now(), c.permit, end)
		c.permit = nil
	}
}

// admissionOutcomes are the outcomes for admission, by kind of answer.
var admissionOutcomes = [...]admission.Outcome{Served: admission.OutcomeServed, Rejected: admission.OutcomeRejected,
	Failed: admission.OutcomeFailed, Conflict: admission.OutcomeCanceled}
