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
	defaultResponseTimeout = 1500 * time.Millisecond // for an answer, past the wait of a poll
	defaultBodyTimeout     = 500 * time.Millisecond
	maxListBytes           = 16 << 20 // over 100,000 endpoints
)

var (
	// errPossiblyMissed is a call that may have had something to tell, of which nothing is known.
	errPossiblyMissed = errors.New("discovery's answer did not come, or could not be read")
	// errUnreadable is an answer that is no list. It is wrapped beside errPossiblyMissed.
	errUnreadable = errors.New("the list")
)

// call makes one call, for a whole list or, with a query, a poll that may wait for so long, and applies the response.
func (d *Discovery) call(ctx context.Context, query string, wait time.Duration) error {
	record := d.beginCall(query, wait, 0)
	timeout := d.responseTimeout
	if d.onDemand && query != "" {
		timeout = onDemandWatchResponseTimeout
	}
	r := fetch(ctx, d.client, d.sessionAddr, query, wait+timeout, d.bodyTimeout)
	r.call = record
	return d.handleResponse(r)
}

// beginCall counts a call by its query, and logs it. So many others are open.
func (d *Discovery) beginCall(query string, wait time.Duration, openCalls int) callRecord {
	since := d.watchVersion
	if query == "" {
		since = -1
		d.fullListCalls.Add(1)
	} else {
		d.watchCalls.Add(1)
	}
	return d.calls.begin(since, wait, openCalls, !d.isUnreachable)
}

// response is what came of a call.
type response struct {
	call           callRecord
	isFullListCall bool
	list           listing.List
	date           string // the header by which discovery says when it answered
	err            error
}

// fetch makes a call. It changes nothing of the Discovery, so that calls may run beside each other. The error is errPossiblyMissed where
// the call itself timed out or broke off, but not where its caller ended it.
func fetch(ctx context.Context, client *http.Client, addr, query string, timeout, bodyTimeout time.Duration) (r response) {
	outer, isFullListCall := ctx, query == ""
	defer func() { r.isFullListCall = isFullListCall }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return response{err: err}
	}
	resp, err := client.Do(req)
	if err != nil && ctx.Err() != nil && outer.Err() == nil {
		return response{err: fmt.Errorf("%w: %w", errPossiblyMissed, err)}
	}
	if err != nil {
		return response{err: err}
	}
	defer time.AfterFunc(bodyTimeout, cancel).Stop()
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return response{err: fmt.Errorf("discovery answered %s", resp.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return response{err: fmt.Errorf("%w: %w", errPossiblyMissed, err)}
	}
	r.date = resp.Header.Get("Date")
	if r.list, err = listing.Parse(body); err != nil {
		r.err = fmt.Errorf("%w: %w: %w", errPossiblyMissed, errUnreadable, err)
	}
	return r
}
