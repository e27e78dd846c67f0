package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"appleledge/internal/membership"
)

// Times of an on-demand list. What discovery lists counts as notified 4 s after a new configuration and 6 s after any other call that
// failed, and an answer may take 2 s.
const (
	defaultMaxWatchTimeout       = 20 * time.Second        // a poll waits from a fifth of it up to all of it, at random
	onDemandWatchResponseTimeout = 800 * time.Millisecond  // for an answer, past that wait
	defaultMaxBackoff            = 3500 * time.Millisecond // after a call that failed
)

// runOnDemand polls whenever the balancer subscribes, until the context ends.
func (d *Discovery) runOnDemand(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.awaitSubscription(ctx) {
			return
		}
		err := d.followOnDemand(ctx)
		if ctx.Err() != nil {
			return
		}
		d.logUnreachable(err)
		d.sink.Disconnected(fmt.Errorf("%w: %w", membership.ErrUnsubscribed, err))
	}
}

// awaitSubscription waits until the list is to be polled: when the balancer subscribes, or, after a call that failed, by the time at
// which a change would count as notified, or when a call is answered late. False means that the context has ended.
func (d *Discovery) awaitSubscription(ctx context.Context) bool {
	var backoffOver <-chan time.Time
	if d.isUnreachable && d.hasEndpoints {
		timer := time.NewTimer(d.onDemandBackoff())
		defer timer.Stop()
		backoffOver = timer.C
	}
	for {
		select {
		case <-d.subscriptions:
			return true
		case <-backoffOver:
			return true
		case <-d.siblingNews:
			d.handleSiblings()
		case r := <-d.open.responses:
			if d.receive(r) == nil && r.call.session == d.session {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// onDemandBackoff draws how long an on-demand list is left alone after a call that failed. Most agents then poll for changes alone, which
// costs discovery little. The first pause after an address change is the half, as the whole list counts as notified sooner there.
func (d *Discovery) onDemandBackoff() time.Duration {
	limit := d.maxBackoff
	if d.isFirstCallAfterMove {
		limit, d.isFirstCallAfterMove = limit/2, false
	}
	return limit/2 + rand.N(limit/2)
}

// followOnDemand fetches the whole list, unless changes of the one that is held are enough, then polls for changes until a call fails. Behind
// a call that failed, or where the list is another process' of the agent, the first one does not wait for changes: discovery may be silent, and a
// change counts as notified sooner than a long poll would show that.
func (d *Discovery) followOnDemand(ctx context.Context) error {
	if d.watchVersion < 0 || d.isUnreachable || !d.adoptedAt.IsZero() {
		if err := d.callOrCatchUp(ctx, d.beginCatchUpCall()); err != nil {
			return err
		}
	}
	for {
		previous, start, wait := d.watchVersion, time.Now(), d.drawWatchTimeout()
		if err := d.callOrCatchUp(ctx, d.beginWatch(wait)); err != nil {
			return err
		}
		d.delayEarlyWatch(ctx, previous, start, wait)
	}
}

// drawWatchTimeout draws how long the next poll may wait for changes. Polls that begin together, as the first ones of all agents may, must
// not end together: if they all fell silent, all agents would call again at the same moment.
func (d *Discovery) drawWatchTimeout() time.Duration {
	return d.maxWatchTimeout/5 + rand.N(d.maxWatchTimeout*4/5)
}
