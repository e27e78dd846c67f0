// Package balancer decides for a client-side load balancer which server gets a request, when an attempt is
// hedged or retried, and which requests are rejected. Every client process has one Balancer; balancers share
// nothing. A Balancer does no I/O and reads no clock: events with a time go in (events.go), actions come out
// (actions.go).
//
// The rules, each in one function. Some decide on a request, in this order; subset, outlier ejection and
// polling backoff decide on servers and the list, as events come. Both meet in place (subset.go): a server
// can be drawn only if it is in the subset, ready and not ejected. finish (requests.go) with mayReject
// (retry.go) says whether a request without a server is rejected or failed.
//
//	rule             function            inputs (units)                                yields to
//	list drop        addRequest          ServerList.DropRatio (0..1)                   nothing
//	load shedding    shouldShed          latency over objective (ratio), utilization   a due trial request
//	                                     (0..1), priority per latency (1/ns)
//	trial request    dueTrial            ejection time (ns), effect of the class       repeat safety
//	repeat safety    maySend             effect, dedup window (ns), zone, cell,        nothing: every send
//	                 mayAttempt          deadline (ns), attempts (count),              passes it
//	                 isRecognizedAt      time to an answer (ns)
//	slow start       useWarmingServers   age of a server (ns), peak served rate (1/s)  repeat safety
//	subset           fitSubset           servers, balancers, in flight (counts)        no server left in it
//	outlier ejection updateHealth        failure ratio (0..1), latency (ns)            too much capacity
//	                 checkSilentServers  missed answers (count)                        ejected
//	pick             pick                capacity (requests/s), in flight (count)      all of the above
//	key affinity     preferOwner         hash of the key, capacity (requests/s)        load: weight is doubled
//	retry budget     sendRetry           retries and hedges over requests (ratio)      nothing
//	hedging          hedgeLate           latency (ns), utilization (0..1)              shedding, retry budget
//	polling backoff  scheduleSubscribe   failed polls, balancers (counts)              MaxPollInterval
//
// Capacity (capacity.go) feeds the subset, slow start, the pick and load shedding. Averages look back over a
// horizon, the longest latency objective of all classes, so that no constant of a rule is a time.
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/balancer/weighted"
)

// Constants that several rules share.
const (
	ticksPerHorizon = 8    // periodic looks at health and load in a horizon
	learningRate    = 0.05 // weight (0..1) of a new sample in averages that are kept by count
)

// Tokens of the timers that belong to no request.
const (
	tickToken uint64 = iota
	subscribeToken
	firstRequestToken
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	settings        Settings
	previousClasses []Class // those before the latest ClassUpdate
	rng             *rand.Rand
	now             time.Duration // of the event at hand
	actions         []Action      // of the event at hand; the next one overwrites them
	horizon         time.Duration // longest latency objective in force: how far back averages look
	classLatency    []float64     // mean time to an answer in nanoseconds, one for each class

	endpoints endpoints
	subset    subset
	capacity  capacityEstimator
	picker    picker
	slowStart slowStart
	outliers  outlierDetector
	retries   retryBudget
	repeats   repeatGuard
	shedder   shedder
	tenants   tenantUsage
	traffic   ownTraffic
	requests  requestTable
}

// server is all that is known of one server.
type server struct {
	weighted.Member[*server]            // DrawWeight: warm capacity less failures, more in the own zone
	pool                     *pool      // the one that it is drawn from; nil: not drawn
	inFlight                 []*attempt // of this balancer, oldest first
	Server

	estimate capacityEstimate
	health   serverHealth
	stalls   stallHistory

	omitsContinue bool // it does not ask for the body of a request whose head it has read

	totals       capacityTotals // what it adds to the balancer's totals
	subsetPart   subsetCapacity // what it adds to the capacity of the subset; of no units unless it may be drawn
	ringPosition uint64         // its place in the balancer's own order of the servers
	generation   uint64         // of the latest list that named it

	isListed    bool // in endpoints.servers and endpoints.byID
	isInCells   bool // in endpoints.cells
	isInSubset  bool // among the first subset.size of endpoints.servers
	isActive    bool // in requests.activeServers
	isEstimated bool // in capacity.estimated
	isWarming   bool // in slowStart.warming
}

// New returns a Balancer, or an error if the settings are not valid. Its random numbers follow from the seed
// alone.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:  set,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		endpoints: endpoints{byID: map[string]*server{}},
		subset: subset{warmPool: weighted.NewPool[*server](set.KeyAffinity),
			warmingPool: weighted.NewPool[*server](false)},
		capacity: capacityEstimator{meanRate: 1},
		picker:   picker{rendezvous: weighted.NewRendezvous()},
		retries:  retryBudget{tokens: maxRetryBudget},
		tenants:  tenantUsage{requests: make([]float64, len(set.Quotas))},
		requests: requestTable{byID: map[string]*request{}, byTimer: map[uint64]*request{},
			lastToken: firstRequestToken},
	}
	b.applyClasses()
	return b, nil
}

// applyClasses derives the horizon, the effect of trial requests and the index by cell from the classes in
// force.
func (b *Balancer) applyClasses() {
	b.horizon, b.outliers.trialEffect = 0, NonIdempotent
	for i, c := range b.settings.Classes {
		if i == len(b.classLatency) {
			b.classLatency = append(b.classLatency, float64(c.LatencyObjective)/4)
		}
		if c.Retired {
			continue
		}
		b.horizon = max(b.horizon, c.LatencyObjective)
		b.outliers.trialEffect = min(b.outliers.trialEffect, c.Effect)
		if c.Effect == IdempotentByKey && c.DedupScope == DedupCell {
			b.indexCells()
		}
	}
}

func (b *Balancer) updateClasses(e ClassUpdate) {
	b.previousClasses, b.settings.Classes = b.settings.Classes, e.Classes
	b.settings.MaxAttempts, b.settings.AllowHedging = e.MaxAttempts, e.AllowHedging
	b.applyClasses()
}

// Start returns the actions of a new Balancer before its first event. The slice holds until the next call.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
	if b.settings.Subscribe {
		b.act(Action{Kind: Subscribe})
	}
	return b.actions
}

// Handle takes one event and returns the actions that follow, in order. The slice holds until the next call.
// An event for a request, attempt or server that is not known is ignored. The time is that of a clock which
// all balancers and servers share, exact to a small part of a latency objective; a clock that is off never
// makes a rule of repeat safety fail.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	switch e := ev.(type) {
	case ServerList:
		b.updateList(e)
	case ListUnavailable:
		b.scheduleSubscribe()
	case Request:
		b.addRequest(e)
	case Retry:
		b.retryManually(e)
	case ClassUpdate:
		b.updateClasses(e)
	case BodySent:
		b.markBodySent(e)
	case Outcome:
		b.endAttempt(e)
	case ResponseStarted:
		if r := b.requests.byID[e.Request]; r != nil {
			b.closeRequest(r)
		}
	case ClientDisconnected:
		if r := b.requests.byID[e.Request]; r != nil {
			b.closeRequest(r)
		}
	case TimerFired:
		b.fireTimer(e.Token)
	}
	return b.actions
}

func (b *Balancer) fireTimer(token uint64) {
	switch token {
	case tickToken:
		b.setTimer(tickToken, b.horizon/ticksPerHorizon)
		b.advanceTime()
		b.checkSilentServers()
		b.updateShedding()
		b.hedgeLate()
	case subscribeToken:
		b.endpoints.isSubscribeScheduled = false
		b.act(Action{Kind: Subscribe})
	default:
		if r := b.requests.byTimer[token]; r != nil {
			delete(b.requests.byTimer, token)
			b.finish(r, ReasonExhausted)
		}
	}
}

// advanceTime lets estimates fade and servers warm up, and drops servers without attempts from the active
// ones.
func (b *Balancer) advanceTime() {
	b.advanceSlowStart()
	b.fadeEstimates()
	b.requests.activeServers = sweep(b.requests.activeServers, func(s *server) *bool { return &s.isActive },
		func(s *server) bool { return len(s.inFlight) > 0 })
}

// enlist appends a server to a list that sweep goes through, unless its mark says that it is there.
func enlist(list []*server, s *server, mark *bool) []*server {
	if *mark {
		return list
	}
	*mark = true
	return append(list, s)
}

// sweep removes the servers of a list that keep doesn't keep or that the endpoint list has dropped, and
// clears their marks.
func sweep(list []*server, mark func(*server) *bool, keep func(*server) bool) []*server {
	return slices.DeleteFunc(list, func(s *server) bool {
		if s.isListed && keep(s) {
			return false
		}
		*mark(s) = false
		return true
	})
}

// InFlight counts the attempts in flight by server id; servers with none are left out. Servers that the
// endpoint list has dropped count under their old ids while a request still holds an attempt there.
func (b *Balancer) InFlight() map[string]int {
	out := map[string]int{}
	for _, r := range b.requests.byID {
		for _, a := range r.attempts {
			if a.isInFlight {
				out[a.server.ID]++
			}
		}
	}
	return out
}

// Tick returns the resolution of the clock, by which a repeat is sent before its window ends.
func (b *Balancer) Tick() time.Duration { return b.settings.Tick }

// Stats is what a Balancer estimates of the servers and of its own requests.
type Stats struct {
	Utilization          float64 // of the servers, as they report it (0..1)
	LatencyRatio         float64 // mean latency over latency objective
	InFlightLatencyRatio float64 // the same, derived from the attempts in flight
	ShedRatio            float64 // ratio of requests of mean priority that is rejected
	SubsetSize           int     // servers of the subset
	WarmingUp            int     // listed servers in slow start
	Ejected              int     // servers that are ejected, also while ejections are suspended
	PeakServedRate       float64 // highest rate of answers to this balancer of late, per second
	WithheldRetries      uint64  // requests without a further attempt, as servers take requests too late
	WithheldHedges       uint64  // requests that were not hedged for the same reason
	UnreadRepeats        uint64  // repeats whose body was withheld, as their server did not read their head
}

// Stats returns the estimates as of the latest event.
func (b *Balancer) Stats() Stats {
	return Stats{Utilization: b.shedder.utilization, LatencyRatio: b.shedder.latencyRatio,
		InFlightLatencyRatio: b.shedder.inFlightLatencyRatio, ShedRatio: b.shedder.ratio, SubsetSize: b.subset.size,
		WarmingUp: len(b.slowStart.warming), Ejected: len(b.outliers.ejected),
		PeakServedRate:  b.traffic.peakServedRate,
		WithheldRetries: b.repeats.withheldRetries, WithheldHedges: b.repeats.withheldHedges,
		UnreadRepeats: b.repeats.unread}
}

// Ejected returns the ids of the servers that outlier ejection keeps out at present.
func (b *Balancer) Ejected() map[string]bool {
	out := map[string]bool{}
	for _, s := range b.outliers.ejected {
		if b.isEjected(s) {
			out[s.ID] = true
		}
	}
	return out
}
