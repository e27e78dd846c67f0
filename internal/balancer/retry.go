package balancer

import (
	"slices"
	"time"
)

// Retries: what may be sent again and where, and the budget that keeps retries from multiplying an overload.
const (
	retryBudgetRatio = 0.2 // retries and hedges per first attempt
	maxRetryBudget   = 10  // most of them saved up
)

// retryBudget counts the retries and hedges that may be made now, from 0 to maxRetryBudget.
type retryBudget struct{ tokens float64 }

// maySend is the one rule for what may be sent where. Every send passes it, except a first attempt to a
// server of a pool, where it always holds: pools hold only ready servers (mayRepeatOn). An attempt that may
// have run is repeated only where the class allows it: for an idempotency key within its scope, and only
// where the server takes the repeat inside the window (isRecognizedAt).
func (b *Balancer) maySend(r *request, s *server) bool {
	if s.State != Ready || !b.mayAttempt(r) || !r.isAllowed(s) {
		return false
	}
	first := r.firstThatMayHaveRun()
	if first == nil || r.class.Effect == Idempotent {
		return true
	}
	scope := r.class.DedupScope
	return r.class.Effect == IdempotentByKey &&
		(scope != DedupZone || isSameZone(s, first)) && (scope != DedupCell || s.Cell == first.cell) &&
		b.isRecognizedAt(s, first, r.class.DedupWindow) && b.mayBeConfirmed(r)
}

// isSameZone reports whether the server is certainly in the zone of the attempt's server. All zones that the
// settings don't name have one negative number; such servers are in one zone where they are in one cell, as
// no two zones share a cell.
func isSameZone(s *server, first *attempt) bool {
	return s.Zone == first.zone && (s.Zone >= 0 || s.Cell == first.cell)
}

// mayAttempt reports whether the request may have another attempt anywhere: it is open, in time, within its
// number of attempts, and has none in flight or one that may be hedged.
func (b *Balancer) mayAttempt(r *request) bool {
	attempts := len(r.attempts) - r.unread
	return !r.isClosed && b.now < r.Deadline && attempts < b.settings.MaxAttempts &&
		(r.MaxAttempts == 0 || attempts < r.MaxAttempts) &&
		r.inFlight <= 1 && (r.inFlight == 0 || !r.ManualRetry && b.settings.AllowHedging)
}

// isAllowed reports whether the server is one of those that the request may be sent to.
func (r *request) isAllowed(s *server) bool {
	if r.AllowedServers == nil {
		return true
	}
	_, found := slices.BinarySearch(r.AllowedServers, s.ID)
	return found
}

func (r *request) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// countAttempts counts the attempts that were made at the server.
func (r *request) countAttempts(s *server) (n int) {
	for _, a := range r.attempts {
		if a.server == s {
			n++
		}
	}
	return n
}

// firstThatMayHaveRun is the first attempt that is not proved to have had no effect; nil: there is none.
func (r *request) firstThatMayHaveRun() *attempt {
	if r.Earlier.MayHaveRun {
		return &r.earlier
	}
	for _, a := range r.attempts {
		if !a.hasNotRun {
			return a
		}
	}
	return nil
}

// cellAttempt is the attempt in whose cell a repeat of the request has to stay; nil: it may leave.
func (r *request) cellAttempt() *attempt {
	if r.class.Effect != IdempotentByKey || r.class.DedupScope != DedupCell {
		return nil
	}
	return r.firstThatMayHaveRun()
}

// mayReject reports whether the client may be told that repeating the request does no harm. Where an attempt
// may have run it is not known to do none, even if all servers recognize the idempotency key: to the balancer
// that gets it the client's repeat is a new request, sent at once, and a server that has just stopped reading
// takes it when the key is forgotten.
func (r *request) mayReject() bool {
	return r.class.Effect == Idempotent || r.firstThatMayHaveRun() == nil
}

// retryAfter is how long a client of the class is asked to wait before it repeats a request.
func (c *Class) retryAfter() time.Duration { return c.LatencyObjective / 2 }

// sendRetry makes another attempt, or ends the request where the budget is used up.
func (b *Balancer) sendRetry(r *request) {
	if b.retries.tokens < 1 {
		b.finish(r, ReasonRetryBudget)
		return
	}
	b.retries.tokens--
	b.sendOrFinish(r)
}

// retryManually makes another attempt of a ManualRetry request, as its caller asks.
func (b *Balancer) retryManually(e Retry) {
	if r := b.requests.byID[e.Request]; r != nil && r.ManualRetry && r.inFlight == 0 && !r.isClosed {
		r.AllowedServers = e.AllowedServers
		b.sendRetry(r)
	}
}
