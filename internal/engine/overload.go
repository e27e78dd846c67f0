package engine

import (
	"context"
	"maps"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/fleet/corroborate"
)

// OverloadHandler is what makes an agent one of a fleet that handles overload together. It learns what the engine does; see package overload.
type OverloadHandler interface {
	// AllowsRetry reports whether an attempt beyond a call's first may go out.
	AllowsRetry(now time.Duration) bool
	AttemptSent(now time.Duration, server string, further bool)
	AttemptEnded(now time.Duration, server string, r balancer.Result, rep balancer.Report)
	UpdateServer(id string, there, ready bool)
	HandleLiveness(alive []bool)
	// HandlePayload takes what another agent tells. An error is a body that can't be read.
	HandlePayload(now time.Duration, from int, body []byte) error
	// ExcludedServers are the servers that are held out on the word of others.
	ExcludedServers(now time.Duration) []string
}

// SetOverload makes the agent one of many that handle overload together. It is called before Run, after Heed.
func (e *Engine) SetOverload(s OverloadHandler) { e.gossip.sharer = s }

func (e *Engine) sharer() OverloadHandler {
	if e.gossip == nil {
		return nil
	}
	return e.gossip.sharer
}

// shared is what another agent tells of overload.
type overloadReported struct {
	from int
	body []byte
}

func (overloadReported) event() {}

// HandleOverloadReport takes what another agent tells of overload.
func (e *Engine) HandleOverloadReport(from int, body []byte) { e.Post(OverloadReported(from, body)) }

// OverloadReported is what another agent tells, as an event.
func OverloadReported(from int, body []byte) Event { return overloadReported{from, body} }

// WithOverload runs do on the engine's goroutine, beside the Sharer. It waits until that is done.
func (e *Engine) WithOverload(ctx context.Context, do func(now time.Duration)) error {
	return e.execute(ctx, do)
}

// heldWith are the servers that are held out on others' word of a drain, and those on their word that they are ill.
func (w *gossipOverlay) heldWith(now time.Duration) (held map[uint64]bool, changed bool) {
	held, changed = w.holds.Recompute(now)
	if w.sharer == nil {
		return held, changed
	}
	held = maps.Clone(held)
	for _, id := range w.sharer.ExcludedServers(now) {
		held[corroborate.ServerID(id)] = true
	}
	return held, !maps.Equal(held, w.held)
}
