package platform

import (
	"context"
	"errors"
	"time"
)

// Times of the calls behind one that fell silent or could not be read. What it had to tell counts as notified 2 s after its wait at the
// earliest, and onDemandWatchResponseTimeout of these have passed before its silence shows.
const (
	catchUpTimeout  = 4 * time.Second         // for the first answer, before the balancer hears of the failure
	catchUpInterval = 1200 * time.Millisecond // from the start of a call that hangs to the start of the next beside it
	catchUpPause    = 100 * time.Millisecond  // after a call that failed
	maxCatchUpCalls = 3
)

// callOrCatchUp awaits the answer to a call of an on-demand list. If the call may have had something to tell that is not known, changes are
// asked for at once.
func (d *Discovery) callOrCatchUp(ctx context.Context, c *call) error {
	timeout := c.wait + d.responseTimeout
	if !c.isFullList() {
		timeout = c.wait + onDemandWatchResponseTimeout
	}
	err := d.awaitAnswer(ctx, c, timeout)
	if !errors.Is(err, errPossiblyMissed) || ctx.Err() != nil {
		return err
	}
	d.log.Info("a call to discovery may have missed a change, asking again", "version", d.heldVersion, "error", err)
	return d.catchUp(ctx)
}

// awaitAnswer waits for the answer to a call, and takes what comes of others meanwhile. The call stays open after the timeout.
func (d *Discovery) awaitAnswer(ctx context.Context, c *call, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case r := <-d.open.responses:
			if err := d.receive(r); r.call == c {
				return err
			}
		case <-d.siblingNews:
			d.handleSiblings()
		case <-timer.C:
			return errNoAnswer(timeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// catchUp asks for what is new now, until a call is answered. A single call may break off or hang as well, and the backoff after it would
// outlast the time at which a drain counts as notified.
func (d *Discovery) catchUp(ctx context.Context) (err error) {
	timeout := time.NewTimer(catchUpTimeout)
	defer timeout.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	own := map[*call]bool{} // the calls that hang
	for begun := 0; begun < maxCatchUpCalls || len(own) > 0; {
		select {
		case <-next.C:
			if begun == maxCatchUpCalls {
				continue
			}
			begun++
			own[d.beginCatchUpCall()] = true
			next.Reset(catchUpInterval)
		case r := <-d.open.responses:
			responseErr := d.receive(r)
			if responseErr == nil && r.call.session == d.session {
				return nil
			}
			if own[r.call] {
				delete(own, r.call)
				err = responseErr
				next.Reset(catchUpPause)
			}
		case <-d.siblingNews:
			d.handleSiblings()
		case <-timeout.C:
			return errNoAnswer(catchUpTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

// beginCatchUpCall asks for what is new now: changes, as far as what is held can be relied on, else the whole list.
func (d *Discovery) beginCatchUpCall() *call {
	if d.watchVersion < 0 {
		return d.beginFullListCall()
	}
	return d.beginWatch(0)
}
