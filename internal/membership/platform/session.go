package platform

import (
	"context"
	"time"
)

// session is what is known of the discovery at one address. Another discovery counts versions of its own, which may be lower.
type session struct {
	addr                 string
	since                time.Duration // when the address began to be followed, since the machine's boot
	adoptedAt            time.Time     // when the list that is held was adopted from another process of the agent; zero: it was not, or discovery has answered since
	heldVersion          int64         // of the list that is held; -1: any is newer
	process              int64         // that has answered last, by processTracker
	processAnswers       int           // of that process
	firstCall            uint64        // of those that count versions as the process does that is held to: earlier ones are void
	watchVersion         int64         // from which on changes are wanted; -1: the whole list is
	unreadableInRow      int
	isUnreachable        bool // the last call failed, or none is answered in time
	needsFullList        bool // a pushed list may have been reset in an outage
	isFirstCallAfterMove bool // no call has ended yet, and there was another address before
	hasServerTime        bool // discovery has sent a date
}

// newSession returns the state before the first call to an address.
func newSession(addr string) *session {
	return &session{addr: addr, since: sinceBoot(), heldVersion: -1, watchVersion: -1}
}

// SetAddress points to another discovery. No call to the present one begins any more; what it writes to the calls that are open there
// counts until the other one has sent a list.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetAddr = addr
	d.endSession()
}

// beginSession starts to follow the list at discovery's present address, until the address changes.
func (d *Discovery) beginSession(ctx context.Context) (context.Context, context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sessionCtx, end := context.WithCancel(ctx)
	d.endSession = end
	if d.addr != d.targetAddr {
		d.session = newSession(d.targetAddr)
		d.continueAdopted(d.session)
		d.isFirstCallAfterMove = true
		d.client.CloseIdleConnections()
		d.Subscribe() // the balancer's subscription was with the discovery before
	}
	return sessionCtx, end
}

// runSession follows the list at one address until its context ends.
func (d *Discovery) runSession(ctx context.Context) {
	if !d.onDemand {
		d.followPushed(ctx)
		return
	}
	d.runOnDemand(ctx)
}
