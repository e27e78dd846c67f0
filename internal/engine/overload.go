package engine

import (
	"context"
	"time"

	"appleledge/internal/balancer"
)

// OverloadHandler is an agent's part in a fleet that handles overload together; see package overload. Its methods are called on
// the engine's goroutine and must not block.
type OverloadHandler interface {
	// AllowsRetry reports whether an attempt beyond a call's first may go out.
	AllowsRetry(now time.Duration) bool
	// AttemptSent is called for each attempt that is not forbidden; retry: it is not its call's first.
	AttemptSent(now time.Duration, server string, retry bool)
	// AttemptEnded is called once for each attempt that AttemptSent was called for.
	AttemptEnded(now time.Duration, server string, r balancer.Result, rep balancer.Report)
	// UpdateServer takes whether the endpoint list names a server, and whether it is ready.
	UpdateServer(id string, listed, ready bool)
	// HandleLiveness takes which agents are alive, by number.
	HandleLiveness(alive []bool)
	// HandlePayload takes another agent's report. The engine ignores its error, a body that can't be read, which the handler
	// counts.
	HandlePayload(now time.Duration, from int, body []byte) error
	// ExcludedServers are the servers that other agents observe to be faulty.
	ExcludedServers(now time.Duration) []string
}

// overloadHook tells the OverloadHandler of attempts, and forbids the retries that it doesn't allow.
type overloadHook struct {
	clock   Clock
	handler OverloadHandler
}

// SetOverload makes the agent one of a fleet that handles overload together. It is called before Run, after SetGossip.
func (e *Engine) SetOverload(h OverloadHandler) {
	e.overload = &overloadHook{e.clock, h}
	e.attemptHooks[attemptOverload] = e.overload
}

// HandleOverloadReport takes another agent's report on overload.
func (e *Engine) HandleOverloadReport(from int, body []byte) { e.Post(OverloadReported(from, body)) }

// WithOverload runs do on the engine's goroutine, which owns the OverloadHandler, and waits until that is done.
func (e *Engine) WithOverload(ctx context.Context, do func(now time.Duration)) error {
	return e.execute(ctx, do)
}

func (o *overloadHook) attemptStarting(a *Attempt, _ time.Duration) {
	retry := a.Number > 0
	if !a.Forbidden && retry && !o.handler.AllowsRetry(a.Sent) {
		a.Forbidden, a.isOverBudget = true, true
	}
	if !a.Forbidden {
		o.handler.AttemptSent(a.Sent, a.Server, retry)
	}
}

func (o *overloadHook) attemptEnded(out Outcome, _ balancer.Result) {
	if a := out.Attempt; !a.Forbidden {
		o.handler.AttemptEnded(o.clock.Now(), a.Server, out.Result, out.Report)
	}
}
