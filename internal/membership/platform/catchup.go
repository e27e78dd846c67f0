package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Times of the calls behind one that fell silent or could not be read. What it had to tell counts as notified 2 s after its wait at the
// earliest, and onDemandWatchResponseTimeout of these have passed before its silence shows. A call may also be slow, as discovery works
// through calls in turn: it is not given up early, as it would lose its turn.
const (
	catchUpTimeout  = 4 * time.Second         // for the first answer
	catchUpInterval = 1200 * time.Millisecond // from the start of a call that hangs to the start of the next beside it
	catchUpPause    = 100 * time.Millisecond  // after a call that failed
	maxCatchUpCalls = 3
)

// callOrCatchUp makes one call of an on-demand list. If it may have had something to tell that is not known, changes are asked for at once.
func (d *Discovery) callOrCatchUp(ctx context.Context, query string, wait time.Duration) error {
	err := d.call(ctx, query, wait)
	if !errors.Is(err, errPossiblyMissed) || ctx.Err() != nil {
		return err
	}
	d.log.Info("a call to discovery may have missed a change, asking again", "version", d.heldVersion, "error", err)
	return d.catchUp(ctx)
}

// catchUp asks for what is new now, until a call is answered. A single call may break off or hang as well, and the backoff after it would
// outlast the time at which a drain counts as notified. All calls have ended on return.
func (d *Discovery) catchUp(ctx context.Context) (err error) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel() // the others are not wanted any more
	responses := make(chan response, maxCatchUpCalls)
	next := time.NewTimer(0)
	defer next.Stop()
	for begun, inFlight := 0, 0; begun < maxCatchUpCalls || inFlight > 0; {
		select {
		case <-next.C:
			if begun == maxCatchUpCalls {
				continue
			}
			d.startCatchUpCall(ctx, &calls, responses, inFlight)
			begun, inFlight = begun+1, inFlight+1
			next.Reset(catchUpInterval)
		case r := <-responses:
			inFlight--
			if err = d.handleResponse(r); err == nil {
				return nil
			}
			next.Reset(catchUpPause)
		case <-ctx.Done():
			return d.failed(fmt.Errorf("%w: %w", errPossiblyMissed, ctx.Err()))
		}
	}
	return err
}

// startCatchUpCall makes one of the calls in a goroutine of its own.
func (d *Discovery) startCatchUpCall(ctx context.Context, calls *sync.WaitGroup, responses chan<- response, openCalls int) {
	query := ""
	if d.watchVersion >= 0 {
		query = watchQuery(d.watchVersion, 0)
	}
	record := d.beginCall(query, 0, openCalls)
	client, addr, bodyTimeout := d.client, d.sessionAddr, d.bodyTimeout
	calls.Go(func() {
		r := fetch(ctx, client, addr, query, catchUpTimeout, bodyTimeout)
		r.call = record
		responses <- r
	})
}
