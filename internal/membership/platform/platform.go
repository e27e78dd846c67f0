// Package platform is the membership source that follows the endpoint list of the platform's discovery, over HTTP.
//
// # Two modes
//
// A pushed list comes from a discovery on the agent's own machine, where calls cost nothing. It is followed by short long polls
// back to back (followPushed). A call that hangs is not waited for: the next one begins beside it, at the latest
// pushWatchTimeout and hungCallDelay after the one before. What discovery lists after an outage counts as notified at once, and a
// draining server gets new requests for 500 ms at most, so an agent that waited out its call would send requests too late. While answers
// to calls that hung come in, no call is added: discovery may be working through a queue of them.
//
// An on-demand list (Options.OnDemand) comes from one service for all agents, which works through calls in turn. It is polled
// only when the balancer subscribes, and its long polls are long and end at random times (followOnDemand). A poll that falls
// silent, or whose answer can't be read, may have had a drain to report, which counts as notified 2 s after the poll's end all the
// same: so changes are asked for at once, without a wait, and again where that call fails or hangs (catchUp). Any other failure ends
// the subscription, and the balancer backs off; but an agent that holds endpoints polls on its own before what is new could count as notified (onDemandBackoff).
//
// # Open calls
//
// Discovery holds an agent to a change from the moment at which it counts it as notified: when it has written the change to any call of the
// agent, or a stated time after it should have. So a call stays open until it is answered, however late that is, and every answer is
// applied, the newest version last. Only the number of open calls is bounded (openCalls); a call is given up where that number is
// reached, or some time after a later one was answered. Silence is noted by the time since a call began, not by its end.
//
// # Versions
//
// A discovery counts versions of its list. A poll says from which version on it wants changes; a list that is older than the one
// held is ignored. A discovery at another address counts anew, so its first list is taken whatever its version. Until then, what the one
// before still answers to the calls that are open there is in force. So may another process that has come up at the same address
// (processTracker): where it answers with a lower version its whole list is taken, and nothing any more of the process before. A list cached from before a restart (Options.CachedList) is used only
// where discovery does not answer at once.
//
// What another process of the agent was told counts as told to this one, whichever is the newer of the two (siblings.go).
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

// Discovery follows one list. Run owns all state but what is said below to be shared; SetAddress, Subscribe, Offer, SiblingsEnded,
// Delivered, HasAnswered and Counts may be called from any goroutine.
type Discovery struct {
	client           *http.Client
	decoder          listing.Decoder
	cachedList       listing.List
	cachedListOrigin listing.Origin
	firstListTimeout time.Duration // for the first list, before the cached one is used
	onDemand         bool
	agentCount       int  // that call the same discovery; 0: it does not matter
	usesServerClock  bool // for start times, where the own wall clock is off
	maxWatchTimeout  time.Duration
	responseTimeout  time.Duration // past the wait of a poll; for a poll of an on-demand list see callOrCatchUp
	maxBackoff       time.Duration // between a failed call for an on-demand list and the next
	subscriptions    chan struct{} // holds one subscription
	callLog          callLog
	siblingNews      chan struct{} // holds one wake-up: offered or siblingsEnded has changed
	notifyTold       func()
	sink             membership.Sink
	log              *slog.Logger

	mu         sync.Mutex // guards what follows
	targetAddr string     // where discovery is
	endSession context.CancelFunc
	// Between this and other processes of the agent (siblings.go):
	offered       *listing.Told // list of another process that was not looked at yet; nil: none
	siblingsEnded bool          // there is no other process any more, which was not looked at yet
	delivered     Delivered

	fullListCalls, watchCalls, failedCalls, unreadableResponses atomic.Uint64
	hasAnswered                                                 atomic.Bool

	// Of the goroutine that runs:
	*session              // at the present address
	callsCtx              context.Context
	told                  toldList // the list in force
	open                  openCalls
	cachedListAt          time.Time // when the cached list is used; zero: it is, or there is none
	hasLoggedInvalidEntry bool
	hasEndpoints          bool // a list is held, of discovery or the cached one
}

// Options say where discovery is and how its list is to be read.
type Options struct {
	Addr       string       // host and port
	Zones      []string     // names, in the order of the balancer's numbers
	CachedList listing.List // from before a restart; may be empty
	// CachedListOrigin says which discovery has sent CachedList to an earlier process; zero: it is not known.
	CachedListOrigin listing.Origin
	OnDemand         bool // poll only when the balancer subscribes
	// FirstListTimeout is how long the first list may take before the cached one is used; 0: 500 ms.
	FirstListTimeout time.Duration
	// AgentCount is how many agents call the same discovery. Those that are all without it spread their calls so that it can answer them
	// when it is back; 0: each calls as if it were alone.
	AgentCount int
	// MaxOpenCalls is how many calls may have no answer at the same time, each with a connection of its own; 0: 64.
	MaxOpenCalls int
	// UsesServerClock corrects start times by discovery's clock, as the Date of its answers has it, where the own wall clock is off.
	UsesServerClock bool
}

// New returns a source that does nothing before Run.
func New(o Options, clock engine.Clock, log *slog.Logger) *Discovery {
	return &Discovery{
		targetAddr:       o.Addr,
		endSession:       func() {},
		client:           &http.Client{Transport: &http.Transport{DialContext: (&processTracker{dialer: net.Dialer{Timeout: connectTimeout}}).dial}},
		decoder:          listing.Decoder{Zones: o.Zones, Clock: clock},
		cachedList:       o.CachedList,
		cachedListOrigin: o.CachedListOrigin,
		firstListTimeout: o.FirstListTimeout,
		onDemand:         o.OnDemand,
		agentCount:       o.AgentCount,
		usesServerClock:  o.UsesServerClock,
		maxWatchTimeout:  defaultMaxWatchTimeout,
		responseTimeout:  defaultResponseTimeout,
		maxBackoff:       defaultMaxBackoff,
		subscriptions:    make(chan struct{}, 1),
		log:              log,
		callLog:          newCallLog(log),
		session:          newSession(o.Addr),
		callsCtx:         context.Background(),
		open:             newOpenCalls(o.MaxOpenCalls),
		siblingNews:      make(chan struct{}, 1),
		notifyTold:       func() {},
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

// Run follows the list until the context ends, at whatever address discovery is. In an outage the last list stays in force.
func (d *Discovery) Run(ctx context.Context, to membership.Sink) {
	d.sink = to
	if d.firstListTimeout == 0 {
		d.firstListTimeout = defaultFirstListTimeout
	}
	defer d.client.CloseIdleConnections()
	calls, end := context.WithCancel(ctx)
	defer d.open.running.Wait()
	defer end()
	d.callsCtx = calls
	d.callLog.start()
	defer d.callLog.stop()
	d.handleSiblings()
	d.scheduleCachedList()
	for ctx.Err() == nil {
		sessionCtx, end := d.beginSession(ctx)
		d.runSession(sessionCtx)
		end()
	}
}

// logUnreachable notes that a call has failed.
func (d *Discovery) logUnreachable(err error) {
	if !d.isUnreachable {
		d.isUnreachable = true
		d.log.Warn("discovery out of reach, keeping the last list", "version", d.heldVersion, "error", err)
	}
}
