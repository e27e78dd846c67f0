package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/membership/listing"
)

const (
	connectTimeout         = 1500 * time.Millisecond
	defaultResponseTimeout = 1500 * time.Millisecond // without an answer, past the wait of a poll, after which discovery counts as out of reach
	maxListBytes           = 16 << 20                // over 100,000 endpoints
)

var (
	// errPossiblyMissed is a call that may have had something to tell, of which nothing is known.
	errPossiblyMissed = errors.New("discovery's answer did not come, or could not be read")
	// errUnreadable is an answer that is no list. It is wrapped beside errPossiblyMissed.
	errUnreadable = errors.New("the list")
)

// errNoAnswer returns the error of a call that has no answer after so long.
func errNoAnswer(waited time.Duration) error {
	return fmt.Errorf("%w: nothing came for %v", errPossiblyMissed, waited.Round(time.Millisecond))
}

// response is what came of a call.
type response struct {
	call    *call
	process int64 // that has answered, by processTracker; 0: not known
	list    listing.List
	date    string // the header by which discovery says when it answered
	err     error
}

// watchQuery is the query of a poll for the changes after a version, which may wait for so long.
func watchQuery(version int64, wait time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds())
}

// beginFullListCall begins a call for the whole list.
func (d *Discovery) beginFullListCall() *call {
	d.fullListCalls.Add(1)
	return d.beginCall(-1, 0, "")
}

// beginWatch begins a poll for the changes since the list that is held, which may wait for so long.
func (d *Discovery) beginWatch(wait time.Duration) *call {
	d.watchCalls.Add(1)
	return d.beginCall(d.watchVersion, wait, watchQuery(d.watchVersion, wait))
}

// beginCall begins a call beside those that are open.
func (d *Discovery) beginCall(since int64, wait time.Duration, query string) *call {
	for _, c := range d.open.expired(time.Now()) {
		d.giveUp(c, "a later one was answered long ago")
	}
	if c := d.open.surplus(since < 0); c != nil {
		d.giveUp(c, "too many are open")
	}
	c := &call{callRecord: d.callLog.begin(since, wait, len(d.open.calls), !d.isUnreachable), session: d.session}
	client, addr := d.client, d.addr
	d.open.start(d.callsCtx, c, func(ctx context.Context) response { return fetch(ctx, client, addr, query) })
	return c
}

// giveUp ends a call that has no answer.
func (d *Discovery) giveUp(c *call, reason string) {
	c.cancel()
	d.open.remove(c)
	d.failedCalls.Add(1)
	d.callLog.givenUp(c.callRecord, reason)
}

// fetch makes a call. It changes nothing of the Discovery, so that calls may run beside each other. The error is errPossiblyMissed where
// the answer broke off or could not be read.
func fetch(ctx context.Context, client *http.Client, addr, query string) (r response) {
	req, err := http.NewRequestWithContext(withProcess(ctx, &r.process), http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return response{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		r.err = fmt.Errorf("discovery answered %s", resp.Status)
		return r
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		r.err = fmt.Errorf("%w: %w", errPossiblyMissed, err)
		return r
	}
	r.date = resp.Header.Get("Date")
	if r.list, err = listing.Parse(body); err != nil {
		r.err = fmt.Errorf("%w: %w: %w", errPossiblyMissed, errUnreadable, err)
	}
	return r
}
