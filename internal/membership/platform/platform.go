// Package platform is the membership source that follows the endpoint list of the platform's discovery, over HTTP.
//
// # Two modes
//
// A pushed list comes from a discovery on the agent's own machine, where calls cost nothing. It is followed by short long polls
// back to back (followPushed). A call that hangs is not waited for: the next one begins beside it, at the latest
// pushWatchTimeout and hungCallDelay after the one before. What discovery lists after an outage counts as notified at once, and a
// draining server gets new requests for 500 ms at most, so an agent that waited out its call would send requests too late.
//
// An on-demand list (Options.OnDemand) comes from one service for all agents, which works through calls in turn. It is polled
// only when the balancer subscribes, and its long polls are long and end at random times (followOnDemand). A poll that falls
// silent, or whose answer can't be read, may have had a drain to report, which counts as notified 2 s after the poll's end all the
// same: so changes are asked for at once, without a wait, and again where that call fails or hangs (catchUp). Any other failure ends
// the subscription, and the balancer backs off; but an agent that holds endpoints polls on its own before what is new could count as notified (onDemandBackoff).
//
// Discovery holds an agent to a change from the moment at which it counts it as notified: when the agent's poll has been answered, or a
// stated time after it should have been.
//
// # Versions
//
// A discovery counts versions of its list. A poll says from which version on it wants changes; a list that is older than the one
// held is ignored. A discovery at another address counts anew, so its first list is taken whatever its version. A list
// cached from before a restart (Options.CachedList) is used only where discovery does not answer at once.
//
// In an outage the last list stays in force. Nothing is stored here; package fleet/snapshot keeps the list over a restart.
package platform

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// Discovery follows one list. Run owns all state but what is said below to be shared; SetAddress, Subscribe, HasAnswered and Counts
// may be called from any goroutine.
type Discovery struct {
	client           *http.Client
	decoder          listing.Decoder
	cachedList       listing.List
	firstListTimeout time.Duration // for the first list, before the cached one is used
	onDemand         bool
	agentCount       int  // that call the same discovery; 0: it does not matter
	usesServerClock  bool // for start times, where the own wall clock is off
	maxWatchTimeout  time.Duration
	responseTimeout  time.Duration // past the wait of a poll; for a poll of an on-demand list see call
	bodyTimeout      time.Duration // from when a response's head came
	maxBackoff       time.Duration // between a failed call for an on-demand list and the next
	subscriptions    chan struct{} // holds one subscription
	calls            callLog
	sink             membership.Sink
	log              *slog.Logger

	mu         sync.Mutex // guards what follows
	targetAddr string     // where discovery is
	endSession context.CancelFunc

	fullListCalls, watchCalls, failedCalls, unreadableResponses atomic.Uint64
	hasAnswered                                                 atomic.Bool

	// Of the goroutine that runs:
	sessionAddr           string // the address of the present session
	heldVersion           int64  // of the list that is held; -1: any is newer
	watchVersion          int64  // from which on changes are wanted; -1: the whole list is
	unreadableInRow       int
	hasLoggedInvalidEntry bool
	isUnreachable         bool // the last call failed
	hasEndpoints          bool // a list is held, of discovery or the cached one
	isFirstCallAfterMove  bool // no call to the present address has ended yet, and there was another address before
	hasServerTime         bool // discovery at this address has sent a date
}

// Options say where discovery is and how its list is to be read.
type Options struct {
	Addr       string       // host and port
	Zones      []string     // names, in the order of the balancer's numbers
	CachedList listing.List // from before a restart; may be empty
	OnDemand   bool         // poll only when the balancer subscribes
	// FirstListTimeout is how long the first list may take before the cached one is used; 0: 500 ms.
	FirstListTimeout time.Duration
	// AgentCount is how many agents call the same discovery. Those that are all without it spread their calls so that it can answer them
	// when it is back; 0: each calls as if it were alone.
	AgentCount int
	// UsesServerClock corrects start times by discovery's clock, as the Date of its answers has it, where the own wall clock is off.
	UsesServerClock bool
}

// New returns a source that does nothing before Run.
func New(o Options, clock engine.Clock, log *slog.Logger) *Discovery {
	return &Discovery{
		targetAddr:       o.Addr,
		endSession:       func() {},
		sessionAddr:      o.Addr,
		client:           &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: defaultResponseTimeout}).DialContext}},
		decoder:          listing.Decoder{Zones: o.Zones, Clock: clock},
		cachedList:       o.CachedList,
		firstListTimeout: o.FirstListTimeout,
		onDemand:         o.OnDemand,
		agentCount:       o.AgentCount,
		usesServerClock:  o.UsesServerClock,
		maxWatchTimeout:  defaultMaxWatchTimeout,
		responseTimeout:  defaultResponseTimeout,
		bodyTimeout:      defaultBodyTimeout,
		maxBackoff:       defaultMaxBackoff,
		subscriptions:    make(chan struct{}, 1),
		log:              log,
		calls:            newCallLog(log),
		heldVersion:      -1,
		watchVersion:     -1,
	}
}

// HasAnswered reports whether discovery has answered since the start, so that the list is no longer the cached one.
func (d *Discovery) HasAnswered() bool { return d.hasAnswered.Load() }

// Counts are calls to discovery since the start. Unreadable ones are among the failed ones.
type Counts struct{ FullLists, Watches, Failed, Unreadable uint64 }

// Counts returns how many calls were made, and how they ended.
func (d *Discovery) Counts() Counts {
	return Counts{FullLists: d.fullListCalls.Load(), Watches: d.watchCalls.Load(), Failed: d.failedCalls.Load(), Unreadable: d.unreadableResponses.Load()}
}

// Subscribe asks for the list. One subscription may wait to begin; further ones add nothing.
func (d *Discovery) Subscribe() {
	select {
	case d.subscriptions <- struct{}{}:
	default:
	}
}

// SetAddress points to another discovery. Calls to the present one end at once, whether or not it still answers.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetAddr = addr
	d.endSession()
}

// Run follows the list until the context ends, at whatever address discovery is. In an outage the last list stays in force.
func (d *Discovery) Run(ctx context.Context, to membership.Sink) {
	d.sink = to
	if d.firstListTimeout == 0 {
		d.firstListTimeout = defaultFirstListTimeout
	}
	defer d.client.CloseIdleConnections()
	d.fetchFirstList(ctx)
	for ctx.Err() == nil {
		session, end := d.beginSession(ctx)
		d.runSession(session)
		end()
	}
}

// beginSession starts a session with discovery at its present address, which lasts until the address changes. Another discovery
// counts versions of its own, which may be lower than those of the one before; kept, they would make its lists look old.
func (d *Discovery) beginSession(ctx context.Context) (context.Context, context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	session, end := context.WithCancel(ctx)
	d.endSession = end
	if d.sessionAddr != d.targetAddr {
		d.sessionAddr, d.heldVersion, d.watchVersion, d.isUnreachable, d.isFirstCallAfterMove, d.hasServerTime = d.targetAddr, -1, -1, false, true, false
		d.client.CloseIdleConnections()
		d.Subscribe() // the balancer's subscription was with the discovery before
	}
	return session, end
}

// runSession follows the list at one address until its context ends.
func (d *Discovery) runSession(ctx context.Context) {
	if !d.onDemand {
		d.followPushed(ctx)
		return
	}
	d.runOnDemand(ctx)
}

// logUnreachable notes that a call has failed.
func (d *Discovery) logUnreachable(err error) {
	if !d.isUnreachable {
		d.isUnreachable = true
		d.log.Warn("discovery out of reach, keeping the last list", "version", d.heldVersion, "error", err)
	}
}
