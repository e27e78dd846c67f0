package platform

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of a pushed list. A change counts as notified 2 s after the wait of a poll is over, so silence must be noticed before that;
// and a poll counts as a new one when it comes 200 ms after the one before.
const (
	pushWatchTimeout = 300 * time.Millisecond // how long a poll waits for changes
	hungCallDelay    = 150 * time.Millisecond // past that wait, after which another call begins beside it
)

// followPushed follows a pushed list until the context ends.
func (d *Discovery) followPushed(ctx context.Context) {
	if d.callUntilAnswered(ctx, "", 0) != nil {
		return
	}
	for {
		previous, start := d.watchVersion, time.Now()
		if d.callUntilAnswered(ctx, watchQuery(d.watchVersion, pushWatchTimeout), pushWatchTimeout) != nil {
			return
		}
		d.delayEarlyWatch(ctx, previous, start, pushWatchTimeout)
	}
}

// watchQuery is the query of a poll for the changes after a version, which may wait for so long.
func watchQuery(version int64, wait time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds())
}

// callUntilAnswered calls discovery until it answers: at first with the given query, which may wait for so long. A call that hangs is
// not waited for. The next one begins beside it, a pause later, and asks for changes at once; the first answer ends the others. A
// call that began during an outage could otherwise hang for its whole timeout after discovery is back, and a drain would come that
// late. The error is the context's; all calls have ended on return.
func (d *Discovery) callUntilAnswered(ctx context.Context, query string, wait time.Duration) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	callsCtx, cancel := context.WithCancel(ctx)
	defer cancel() // the others are not wanted any more
	responses := make(chan response)
	pause := d.retryBackoff()
	if query != "" {
		pause = wait + hungCallDelay
	}
	open := map[uint64]callRecord{}
	for {
		record := d.beginCall(query, wait, len(open))
		open[record.number] = record
		client, addr, callQuery, timeout, bodyTimeout := d.client, d.sessionAddr, query, wait+d.responseTimeout, d.bodyTimeout
		calls.Go(func() {
			r := fetch(callsCtx, client, addr, callQuery, timeout, bodyTimeout)
			r.call = record
			select {
			case responses <- r:
			case <-callsCtx.Done():
			}
		})
		nextCall := time.Now().Add(pause)
		timer := time.NewTimer(pause)
		for isWaiting := true; isWaiting; {
			select {
			case r := <-responses:
				delete(open, r.call.number)
				err := d.handleResponse(r)
				if err == nil {
					timer.Stop()
					for _, other := range open {
						d.calls.givenUp(other, "another was answered")
					}
					return nil
				}
				d.logUnreachable(err)
				d.sink.Disconnected(err)
				timer.Reset(min(time.Until(nextCall), d.retryBackoff()))
			case <-timer.C:
				isWaiting = false
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			}
		}
		query, wait, pause = d.catchUpQuery(), 0, d.retryBackoff()
	}
}

// catchUpQuery is the query for what is new now: changes, as far as what is held can be relied on, else the whole list.
func (d *Discovery) catchUpQuery() string {
	if d.isUnreachable || d.watchVersion < 0 {
		return ""
	}
	return watchQuery(d.watchVersion, 0)
}
