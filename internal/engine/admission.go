package engine

import (
	"strconv"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
)

// AdmissionController says which calls are let in to the module.
type AdmissionController interface {
	// Arrive lets a call in, or turns it away, which promises that trying again is harmless.
	Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection)
	// Done tells how one ended that was let in.
	Done(now time.Duration, p *admission.Permit, end admission.Outcome)
	Counts() admission.Counts
}

// retuner is a Door that takes the classes as they are from now on, by their numbers.
type retuner interface{ Retune([]admission.Class) }

// SetAdmission puts a door before the module. It is called before Run.
func (e *Engine) SetAdmission(d AdmissionController) { e.admission = d }

// admit lets a call in, or answers it.
func (e *Engine) admit(c *Call) bool {
	if e.admission == nil {
		return true
	}
	a := admission.Request{Class: c.Class, Tenant: c.Tenant, Key: c.IdempotencyKey, IsRetry: c.ClientRetry, MayHaveRun: c.CallerAttempt > 1 || c.earlier.MayHaveRun, Deadline: c.Deadline}
	if a.Key == "" && c.Effect == balancer.Idempotent && c.Key != "" {
		a.Key = strconv.Itoa(c.Class) + " " + strconv.Itoa(c.Tenant) + " " + c.Key
	}
	p, told := e.admission.Arrive(e.clock.Now(), a)
	if p == nil {
		e.finish(c, Answer{Kind: Rejected, RetryAfter: told.RetryAfter, Limit: told.Limit})
		return false
	}
	c.permit = p
	if e.recovery != nil {
		e.remask()
	}
	return true
}

// passed tells the door how a call ended.
func (e *Engine) passed(c *Call, end admission.Outcome) {
	if c.permit != nil {
		e.admission.Done(e.clock.Now(), c.permit, end)
		c.permit = nil
	}
}

// ends are the door's, by the kinds of answers.
var ends = [...]admission.Outcome{Served: admission.OutcomeServed, Rejected: admission.OutcomeRejected, Failed: admission.OutcomeFailed, Conflict: admission.OutcomeCanceled}
