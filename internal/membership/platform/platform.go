// Package platform follows the list of servers that the platform's discovery gives, over HTTP watches.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// Times of the calls to discovery. A change counts as told 2 s after the wait of a watch is over, so silence
// must be noticed before that; and a watch is a new one when the next call comes 200 ms late.
//
// A list that is pushed is had from the agent's own machine, where calls cost nothing. What that gets when it is back from an
// outage counts as told at once, and servers that drain get new requests for 500 ms at the most; a call that began in the
// outage may hang on for as long as it may. So watches are short, and a call that is late is not waited for: the next one
// begins beside it, at the latest watchWait and lateAfter after the one before.
//
// One that is asked for comes from
// one service for all agents, which works through calls in turn: there watches are long. One that falls silent, or whose
// answer can't be read, may have had a drain to tell, which counts as told 2 s after its wait all the same: so what is new is
// asked for at once, with no wait, and once: all watches may fall silent together. What fails else is left to the module,
// which backs off, but for no longer than what is new could count as told in.
const (
	watchWait   = 300 * time.Millisecond  // how long a watch may wait for news
	lateAfter   = 150 * time.Millisecond  // past that wait, from when on a watch is not waited for alone
	callTimeout = 1500 * time.Millisecond // for an answer, past that wait
	askedWait   = 20 * time.Second        // the same where the list is asked for, drawn from a fifth of it on
	askedTime   = 800 * time.Millisecond  // the same as callTimeout
	againTime   = 1600 * time.Millisecond // for an answer to a call that is made again at once
	bodyTime    = 500 * time.Millisecond  // for an answer's body, from when its head came
	mostMisread = 2                       // answers in a row that can't be read, after which the whole list is asked for
	askMost     = 3500 * time.Millisecond // after a call that failed: what is listed counts as told after 6 s, and an answer may take 2
	retryPause  = 250 * time.Millisecond  // after a call that failed
	retryMost   = 2 * time.Second         // the same where many agents call
	retryRate   = 40                      // such calls a second, that all agents together make at the most as long as that allows
	firstWait   = 500 * time.Millisecond  // for the first list, before one from an earlier life is used
	earlyPause  = 100 * time.Millisecond  // after a watch that came back early with no news
	longestList = 16 << 20                // bytes: over 100,000 backends
	mostOff     = 3 * time.Second         // that the own wall clock may be off; its answers tell discovery's to a second
)

// Discovery is the membership source that follows the platform's list of backends.
type Discovery struct {
	client    *http.Client
	reader    listing.Decoder
	known     listing.List    // of an earlier life of the agent
	firstWait time.Duration   // for the first list, before that is used
	asked     bool            // watch only when the module subscribes
	agents    int             // that call; 0: it does not matter
	dated     bool            // starts are told by discovery's clock where the own one is off
	longWait  time.Duration   // of a watch on an asked list, at most
	answerIn  time.Duration   // for an answer that is not one to a call for changes of an asked list, past the wait
	bodyIn    time.Duration   // for its body
	askMost   time.Duration   // between a call for an asked list that failed and the next, at most
	subscribe chan struct{}   // holds one subscription
	to        membership.Sink // of Run
	log       *slog.Logger

	mu   sync.Mutex
	addr string             // where discovery is; mu guards it and what follows
	drop context.CancelFunc // ends the calls to the present address

	whole, watches, failed, unreadable atomic.Uint64 // calls
	heard                              atomic.Bool   // discovery itself has said what there is

	// Those of the goroutine that runs:
	at      string // the address that is followed
	version int64  // of the list that is held; -1: any is newer
	since   int64  // the version to watch from; -1: the whole list is wanted
	misread int    // answers in a row that could not be read
	again   bool   // a call is made again at once
	badOnce bool
	down    bool
	holds   bool // servers are known, whoever named them
	moved   bool // no call to the present address has ended yet, and there was another one before
	timed   bool // discovery at this address has told the time
}

// Options says where discovery is and how its lists are to be read.
type Options struct {
	Addr             string        // host and port
	Zones            []string      // names, in the order of the module's numbers
	CachedList       listing.List  // what an earlier life of the agent had; may be empty
	OnDemand         bool          // watch only when the module subscribes
	FirstListTimeout time.Duration // for the first list, before the known one is used; 0: firstWait
	// AgentCount is how many call the same discovery, so that those that all are without it do not call more together than it can answer
	// when it is back; 0: each calls as if it were alone.
	AgentCount      int
	UsesServerClock bool // go by discovery's clock, as its answers date themselves, where the own wall clock is off
}

// New returns a follower of the list.
func New(src Options, c engine.Clock, log *slog.Logger) *Discovery {
	return &Discovery{
		addr:      src.Addr,
		drop:      func() {},
		at:        src.Addr,
		client:    &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}},
		reader:    listing.Decoder{Zones: src.Zones, Clock: c},
		known:     src.CachedList,
		firstWait: src.FirstListTimeout,
		asked:     src.OnDemand,
		agents:    src.AgentCount,
		dated:     src.UsesServerClock,
		longWait:  askedWait,
		answerIn:  callTimeout,
		bodyIn:    bodyTime,
		askMost:   askMost,
		subscribe: make(chan struct{}, 1),
		log:       log,
		version:   -1,
		since:     -1,
	}
}

// HasAnswered reports whether discovery has answered since the start, so that the list is no longer one of an earlier life.
func (d *Discovery) HasAnswered() bool { return d.heard.Load() }

// Counts are calls to discovery since the start. Those that are unreadable have failed as well.
type Counts struct{ FullLists, Watches, Failed, Unreadable uint64 }

// Counts says how many calls were made, and how they ended.
func (d *Discovery) Counts() Counts {
	return Counts{FullLists: d.whole.Load(), Watches: d.watches.Load(), Failed: d.failed.Load(), Unreadable: d.unreadable.Load()}
}

// Subscribe subscribes to the list. A subscription that waits to begin is enough.
func (d *Discovery) Subscribe() {
	select {
	case d.subscribe <- struct{}{}:
	default:
	}
}

// restore starts from the list that an earlier life of the agent had. Whatever discovery says next is newer, also
// where it counts from a lower version by then. Where it is asked, the changes since are enough.
func (d *Discovery) restore() {
	l := d.known
	l.Full, d.holds = true, true
	d.to.Update(d.update(l))
	if d.asked {
		d.since = l.Version
	}
}

// first gets the first list. The known one may name backends that have gone or drain since, and the agent is ready as
// soon as it holds any: it is used only where discovery does not answer at once.
func (d *Discovery) first(ctx context.Context) {
	if len(d.known.Servers) == 0 {
		return
	}
	if !d.asked { // else the module says when to ask
		soon, cancel := context.WithTimeout(ctx, d.firstWait)
		defer cancel()
		if d.call(soon, "", 0) == nil {
			return
		}
	}
	d.restore()
}

// SetAddress points to another discovery. Calls to the old one end at once, whether or not it still answers.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	d.drop()
}

// Run follows the list until the context ends, from wherever discovery is. In an outage the last list stays in force.
func (d *Discovery) Run(ctx context.Context, to membership.Sink) {
	d.to = to
	if d.firstWait == 0 {
		d.firstWait = firstWait
	}
	defer d.client.CloseIdleConnections()
	d.first(ctx)
	for ctx.Err() == nil {
		session, end := d.begin(ctx)
		d.session(session)
		end()
	}
}

// begin starts a session with discovery at its present address, which lasts until the address changes. Another
// discovery counts versions of its own: they may start lower than those of the one before.
func (d *Discovery) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	session, end := context.WithCancel(ctx)
	d.drop = end
	if d.at != d.addr {
		d.at, d.version, d.since, d.down, d.moved, d.timed = d.addr, -1, -1, false, true, false
		d.client.CloseIdleConnections()
		d.Subscribe() // the module's subscription was with the old one
	}
	return session, end
}

// session follows the list at one address until the context ends.
func (d *Discovery) session(ctx context.Context) {
	if !d.asked {
		d.pushed(ctx)
		return
	}
	for ctx.Err() == nil {
		if !d.again && !d.wanted(ctx) {
			return
		}
		err := d.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errUntold) && !d.again {
			d.again = true
			continue
		}
		d.again = false
		d.outOfReach(err)
		d.to.Disconnected(fmt.Errorf("%w: %w", membership.ErrUnsubscribed, err))
	}
}

// wanted waits until the asked list is to be asked for: when the module says so, or by the time at which a change would count as
// told, whatever calls have failed. False means that the context has ended.
func (d *Discovery) wanted(ctx context.Context) bool {
	var late <-chan time.Time
	if d.down && d.holds { // most ask for changes alone, which cost discovery little; for a whole list who has moved, or could not read changes
		t := time.NewTimer(d.askBy())
		defer t.Stop()
		late = t.C
	}
	select {
	case <-d.subscribe:
	case <-late:
	case <-ctx.Done():
		return false
	}
	return true
}

// askBy is for how long an asked list is left alone after a call that failed. What is listed counts as told 4 s after a new configuration, and 6 s
// after any other call: so the first pause behind a move is the half.
func (d *Discovery) askBy() time.Duration {
	most := d.askMost
	if d.moved {
		most, d.moved = most/2, false
	}
	return most/2 + rand.N(most/2)
}

// outOfReach notes that a call has failed.
func (d *Discovery) outOfReach(err error) {
	if !d.down {
		d.down = true
		d.log.Warn("discovery out of reach, keeping the last list", "version", d.version, "error", err)
	}
}

// pushed follows a list that is pushed until the context ends.
func (d *Discovery) pushed(ctx context.Context) {
	if d.seek(ctx, "", 0) != nil {
		return
	}
	for {
		before, began := d.since, time.Now()
		if d.seek(ctx, watch(d.since, watchWait), watchWait) != nil {
			return
		}
		d.pace(ctx, before, began, watchWait)
	}
}

// pace keeps a watch that does not wait from being called again in a tight loop.
func (d *Discovery) pace(ctx context.Context, before int64, began time.Time, wait time.Duration) {
	if d.since == before && time.Since(began) < wait/2 {
		membership.Sleep(ctx, earlyPause)
	}
}

// watch is the query of a call for changes.
func watch(since int64, wait time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds())
}

// retry is for how long nothing is called after a call that failed.
func (d *Discovery) retry() time.Duration {
	if d.agents == 0 {
		return retryPause
	}
	mean := min(max(retryPause, time.Duration(d.agents)*time.Second/retryRate), retryMost)
	return mean/2 + rand.N(mean)
}

// errUntold is a call that may have had something to tell, of which nothing is known.
var errUntold = errors.New("discovery's answer did not come, or could not be read")

// follow fetches the whole of an asked list, unless changes of what is held are to be had for less, then watches for changes until a
// call fails or a change was missed.
func (d *Discovery) follow(ctx context.Context) error {
	if d.since < 0 {
		if err := d.call(ctx, "", 0); err != nil {
			return err
		}
	}
	if d.again {
		if err := d.call(ctx, watch(d.since, 0), 0); err != nil {
			return err
		}
	}
	for {
		before, began, wait := d.since, time.Now(), d.wait()
		if err := d.call(ctx, watch(d.since, wait), wait); err != nil {
			return err
		}
		d.pace(ctx, before, began, wait)
	}
}

// wait is how long the next watch of an asked list may wait for news. Watches that began together, as all agents' first ones may, must not end
// so: if they fell silent, all would ask again together.
func (d *Discovery) wait() time.Duration {
	return d.longWait/5 + rand.N(d.longWait*4/5)
}

// call makes one call and takes in what it brings.
func (d *Discovery) call(ctx context.Context, query string, wait time.Duration) error {
	d.count(query)
	patience := d.answerIn
	switch {
	case d.asked && d.again:
		patience = againTime
	case d.asked && query != "":
		patience = askedTime
	}
	return d.taken(fetch(ctx, d.client, d.at, query, wait+patience, d.bodyIn))
}

// count counts a call.
func (d *Discovery) count(query string) {
	if query == "" {
		d.whole.Add(1)
	} else {
		d.watches.Add(1)
	}
}

// answer is what became of a call.
type answer struct {
	whole bool // list was asked for
	list  listing.List
	date  string // when discovery says that it answered
	err   error
}

// errUnreadable is an answer that is no list.
var errUnreadable = errors.New("the list")

// fetch makes a call. It changes nothing.
func fetch(ctx context.Context, client *http.Client, at, query string, within, bodyIn time.Duration) (a answer) {
	outer, whole := ctx, query == ""
	defer func() { a.whole = whole }()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/endpoints"+query, nil)
	if err != nil {
		return answer{err: err}
	}
	resp, err := client.Do(req)
	if err != nil && ctx.Err() != nil && outer.Err() == nil {
		return answer{err: fmt.Errorf("%w: %w", errUntold, err)}
	}
	if err != nil {
		return answer{err: err}
	}
	defer time.AfterFunc(bodyIn, cancel).Stop()
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return answer{err: fmt.Errorf("discovery answered %s", resp.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, longestList))
	if err != nil {
		return answer{err: fmt.Errorf("%w: %w", errUntold, err)}
	}
	a.date = resp.Header.Get("Date")
	if a.list, err = listing.Parse(body); err != nil {
		a.err = fmt.Errorf("%w: %w: %w", errUntold, errUnreadable, err)
	}
	return a
}

// taken takes what a call brought.
func (d *Discovery) taken(a answer) (err error) {
	defer func() {
		if err != nil {
			d.failed.Add(1)
		}
	}()
	if errors.Is(a.err, errUnreadable) {
		d.unreadable.Add(1)
		if d.misread++; d.misread >= mostMisread {
			d.since = -1
		}
	}
	if a.err != nil {
		return a.err
	}
	d.time(a.date)
	d.misread, d.moved = 0, false
	d.heard.Store(true)
	if err := d.take(a.list, a.whole); err != nil {
		return fmt.Errorf("%w: %w", errUntold, err)
	}
	d.again = false
	return nil
}

// seek calls a discovery that pushes its list until it answers, at first with that query, which may wait for so long. A call that
// hangs is not waited for: what is listed meanwhile counts as told, so the next one begins beside it, a pause later, and asks
// for what is new at once. The error is the context's.
func (d *Discovery) seek(ctx context.Context, query string, wait time.Duration) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	all, cancel := context.WithCancel(ctx)
	defer cancel() // the others are not wanted any more
	came := make(chan answer)
	pause := d.retry()
	if query != "" {
		pause = wait + lateAfter
	}
	for {
		d.count(query)
		client, at, asks, within, bodyIn := d.client, d.at, query, wait+d.answerIn, d.bodyIn
		calls.Go(func() {
			select {
			case came <- fetch(all, client, at, asks, within, bodyIn):
			case <-all.Done():
			}
		})
		due := time.Now().Add(pause)
		next := time.NewTimer(pause)
		for waits := true; waits; {
			select {
			case a := <-came:
				err := d.taken(a)
				if err == nil {
					next.Stop()
					return nil
				}
				d.outOfReach(err)
				d.to.Disconnected(err)
				next.Reset(min(time.Until(due), d.retry()))
			case <-next.C:
				waits = false
			case <-ctx.Done():
				next.Stop()
				return ctx.Err()
			}
		}
		query, wait, pause = d.catchUp(), 0, d.retry()
	}
}

// catchUp is the query for what is new now: the changes, as far as what is held can be relied on, or the whole list.
func (d *Discovery) catchUp() string {
	if d.down || d.since < 0 {
		return ""
	}
	return watch(d.since, 0)
}

// time takes discovery's clock from the date of its first answer (RFC 9110, section 6.6.1). Starts are times of its clock; after a loss of
// power the own one may be at 1970, and a server that has just started would look as if it had run for an hour, or not begun. Later
// dates change nothing, as each change would look like a new start of every server.
func (d *Discovery) time(date string) {
	if !d.dated || d.timed {
		return
	}
	t, err := http.ParseTime(date)
	if err != nil { // it tells none: the own clock has to do
		return
	}
	d.timed, d.reader.ClockOffset = true, 0
	clk := d.reader.Clock
	if off := t.Add(time.Second / 2).Sub(clk.At(clk.Now())); off.Abs() > mostOff {
		d.reader.ClockOffset = off
		d.log.Warn("the wall clock is off: starts of servers are told by discovery's", "off", -off.Round(time.Second))
	}
}

// take applies a list that is not older than what is held.
func (d *Discovery) take(l listing.List, whole bool) error {
	if whole && !l.Full {
		return errors.New("discovery answered a call for the whole list with changes")
	}
	if !whole && !l.Full && d.version < 0 && l.Version < d.since {
		d.since = -1
		return fmt.Errorf("discovery counts from version %d, the known list is of %d", l.Version, d.known.Version)
	}
	if l.Version < d.version && !l.Full {
		return fmt.Errorf("discovery went back from version %d to %d", d.version, l.Version)
	}
	if d.down {
		d.down = false
		d.log.Info("discovery is back", "version", l.Version)
	}
	if l.Version < d.version || l.Version == d.version && !l.Full {
		return nil // what is held is newer
	}
	if d.since = l.Version; d.version < 0 && !l.Full && len(l.Servers) == 0 {
		d.version = l.Version // the known list holds
		return nil
	}
	u := d.update(l)
	if l.Version != d.version { // a discovery that says the same over and over must not fill the log
		d.log.Info("list of backends", "version", l.Version, "full", l.Full, "entries", len(l.Servers))
	}
	d.version, d.holds = l.Version, true
	d.to.Update(u)
	return nil
}

// update decodes the entries. A malformed one is passed over, which must not look as if its backend had been taken from
// the list: what was held of it stands.
func (d *Discovery) update(l listing.List) membership.Update {
	members, bad := d.reader.Decode(l)
	u := membership.Update{Full: l.Full, Members: members}
	for _, b := range bad {
		if !d.badOnce {
			d.badOnce = true
			d.log.Warn("passing over a malformed list entry; further ones are not logged", "entry", b.ID, "error", b.Err)
		}
		u.Retained = append(u.Retained, b.ID)
	}
	return u
}
