// Package admission is one agent's adaptive admission control: it notices overload and outages by the ends of the agent's own requests,
// and says which requests are admitted while they last. It is a state machine without I/O or a clock; the engine's goroutine
// calls it with the time of each event. Agents share nothing here, and nothing is stored: after a restart a Controller is in
// state Normal. Package fleet/overload adds what other agents see.
//
// # States
//
// Normal: every request is admitted; the balancer alone rejects. Suspect: many requests are not served in time; all are admitted
// still but retries over their budget. Overloaded: that comes with many retries, or with hardly anything served in time. Recovering: answers come in time
// again. See updateState for the transitions and their thresholds.
//
// # Limit
//
// While the state is Overloaded or Recovering a limit holds on the requests in flight. It grows while answers come fast and is cut when
// they are slow or stop (slow start and congestion avoidance, as of TCP in RFC 5681), so that a fleet that comes back cold is sent
// what it can serve by then. See limit.go.
//
// # Priority
//
// Below the limit requests are admitted by priority (trunk reservation): the class of the highest priority may fill the whole limit, the
// others leave a part of it free, and so do retries, above all those that come before their Retry-After, and tenants over their
// quota. See priority.go. Retries have a budget besides; see retries.go.
//
// # Override
//
// A request of which an earlier attempt may have run (Request.MayHaveRun) is always admitted: a rejection would promise that trying
// again is harmless.
package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/outcomecache"
)

// Class describes a class of requests.
type Class struct {
	Priority         float64       // weight among the classes; the highest may fill the whole limit
	LatencyObjective time.Duration // an answer after it is late
	Idempotent       bool          // may be repeated at will
}

// Options are what a Controller goes by.
type Options struct {
	Classes       []Class
	Quotas        []float64     // each tenant's share of the service; may be empty
	MaxRetryAfter time.Duration // the longest Retry-After that clients heed; 0 where they are sent none
	MaxRemembered int           // unserved requests that are remembered, to know their retries by
	Seed          uint64
}

// Request is a request that arrives.
type Request struct {
	Class, Tenant int
	Key           string        // is the same for a request and its retries; empty where nothing is
	IsRetry       bool          // as the client says
	MayHaveRun    bool          // an earlier attempt may have run, so that it must not be rejected here
	IsBound       bool          // it may go only to servers that its caller or a pool names
	Deadline      time.Duration // of its caller
}

// Outcome is how an admitted request ended. The numbers are part of decision traces.
type Outcome int

// The outcomes.
const (
	OutcomeServed   Outcome = iota
	OutcomeRejected         // by the balancer
	OutcomeFailed
	OutcomeCanceled // its client left
)

// Rejection is the answer to a request that is not admitted: trying again is harmless.
type Rejection struct {
	RetryAfter time.Duration // for which the client should stay away; 0 where clients are sent none
	Limit      int           // requests that are admitted at a time
	IsRetry    bool          // the request is taken for a retry
}

const (
	tickInterval  = 100 * time.Millisecond  // between two evaluations of the state
	counterMemory = 1500 * time.Millisecond // time constant with which counters decay

	normalInFlightWeight   = 0.1  // of a tick in the mean of requests in flight
	meanResponseTimeWeight = 0.05 // of an answer in the mean response time
)

// Controller is one agent's admission control. It is not safe for concurrent use.
type Controller struct {
	options Options
	rng     *rand.Rand

	// State (state.go):
	state        State
	stateSince   time.Duration
	stateReason  string
	healthySince time.Duration // since when nothing speaks against Normal, while Recovering

	// Decaying counters:
	lastTick                          time.Duration
	firstAttempts, retries            float64 // arrivals
	servedInTime, notInTime, rejected float64 // ends; rejected are those that were rejected here

	// Priority (priority.go):
	fillableShare          []float64 // of the limit, by class
	tenantRequests         []float64
	allTenantRequests      float64
	tenantRequestsHalvedAt time.Duration

	// Limit (limit.go):
	limit, slowGrowthThreshold            float64
	samplesSince                          time.Duration // when the limit was cut, or samples were reset, last
	fastSamples, slowSamples, lostSamples int
	lastServedInTime                      time.Duration
	lastProbe                             time.Duration // when a request was admitted last while nothing was served
	probeCredit                           float64       // grows to one with each arrival of such a time

	// Requests in flight. Invariant: inFlight counts the permits that have neither ended nor become overdue; permits holds them in the
	// order of admission, and ended ones until they reach its front.
	inFlight          int
	permits           []*Permit
	normalInFlight    float64   // mean, in state Normal
	meanResponseTimes []float64 // of answers in time, by class, in ns; 0 without any

	// Retries (retries.go):
	retryBudget     float64
	expectedRetries *outcomecache.Table[*expectedRetry]
	mayHaveRun      *outcomecache.Table[struct{}] // by key; apart, so that rejections push none out

	counts Counts
}

// Counts are what a Controller has done since it was made, and how it stands.
type Counts struct {
	State     State
	Since     time.Duration // of the state, on the clock of the events
	Reason    string        // of the state
	Limit     float64       // requests in flight; 0 where none holds
	InFlight  int
	Rejected  [][2]uint64 // by class: first attempts, retries
	TooLate   uint64      // rejected as their deadline was too near
	OverLimit uint64      // admitted over the limit as they must not be rejected
	Overloads uint64      // times that the state became Overloaded
}

// New returns a Controller in state Normal.
func New(o Options) *Controller {
	c := &Controller{options: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), tenantRequests: make([]float64, len(o.Quotas)),
		expectedRetries: outcomecache.New[*expectedRetry](o.MaxRemembered), mayHaveRun: outcomecache.New[struct{}](o.MaxRemembered), stateReason: "start"}
	c.Retune(o.Classes)
	return c
}

// Retune replaces the classes from now on; each keeps its number, and what is known of it. One that was dropped has no priority and may
// fill the smallest part of the limit.
func (c *Controller) Retune(classes []Class) {
	c.options.Classes = classes
	c.fillableShare = make([]float64, len(classes))
	for len(c.meanResponseTimes) < len(classes) {
		c.meanResponseTimes, c.counts.Rejected = append(c.meanResponseTimes, 0), append(c.counts.Rejected, [2]uint64{})
	}
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	share := 1.0
	for i, class := range order {
		if i > 0 && classes[class].Priority < classes[order[i-1]].Priority {
			share *= classShareStep
		}
		c.fillableShare[class] = share
	}
}

// Counts returns what the Controller has done, and how it stands. The caller owns the result.
func (c *Controller) Counts() Counts {
	counts := c.counts
	counts.Rejected = slices.Clone(counts.Rejected)
	counts.State, counts.Since, counts.Reason, counts.InFlight = c.state, c.stateSince, c.stateReason, c.inFlight
	if c.isLimiting() {
		counts.Limit = c.limit
	}
	return counts
}

// Arrive admits a request, or says with what it is rejected; one of the two results is set. The permit is to be given back by Done.
func (c *Controller) Arrive(now time.Duration, r Request) (*Permit, Rejection) {
	c.advance(now)
	isRetry, isPunctual := c.classifyRetry(now, &r)
	if isRetry {
		c.retries++
	} else {
		c.firstAttempts++
		c.retryBudget = min(c.retryBudget+retryBudgetRatio, maxRetryBudget)
	}
	share := c.limitShare(r, isRetry, isPunctual)
	p := &Permit{class: r.Class, admittedAt: now, key: r.Key, IsRetry: isRetry, MayHaveRun: r.MayHaveRun}
	if isRetry && c.state != Normal {
		if c.retryBudget < 1 && !r.MayHaveRun {
			return nil, c.reject(now, r, isRetry, false)
		}
		c.retryBudget = max(0, c.retryBudget-1) // what is admitted over the budget must not be owed by others
	}
	if c.isLimiting() {
		capacity := share * c.limit
		isTooLate := c.TooLate(now, r)
		isFull := float64(c.inFlight) >= math.Floor(capacity+c.rng.Float64())
		if c.isOutage(now) {
			isFull = !c.admitsProbe(now, r.Class)
		}
		switch {
		case (isTooLate || isFull) && r.MayHaveRun:
			c.counts.OverLimit++
		case isTooLate || isFull:
			return nil, c.reject(now, r, isRetry, isTooLate)
		}
		p.isNearLimit = float64(c.inFlight+1) >= nearLimitShare*capacity
	}
	c.inFlight++
	c.permits = append(c.permits, p)
	return p, Rejection{}
}

// Done takes how an admitted request ended. A second call for the same permit has no effect.
func (c *Controller) Done(now time.Duration, p *Permit, end Outcome) {
	if p.hasEnded {
		return
	}
	c.advance(now)
	p.hasEnded = true
	if !p.isOverdue {
		c.inFlight--
	}
	class := &c.options.Classes[p.class]
	took, objective := now-p.admittedAt, float64(class.LatencyObjective)
	switch {
	case end == OutcomeCanceled:
	case end == OutcomeServed && took <= class.LatencyObjective:
		c.servedInTime++
		if c.isOutage(now) { // requests that hang take none of the first places
			c.limit = 1 + float64(c.inFlight)
			c.fastSamples, c.slowSamples, c.lostSamples, c.samplesSince = 0, 0, 0, now
		}
		c.lastServedInTime = now
		if c.meanResponseTimes[p.class] == 0 {
			c.meanResponseTimes[p.class] = float64(took)
		}
		c.meanResponseTimes[p.class] += meanResponseTimeWeight * (float64(took) - c.meanResponseTimes[p.class])
		c.growLimit(p, float64(took)/objective)
	default:
		if !p.isOverdue { // else it was counted then
			c.notInTime++
			if end == OutcomeFailed {
				c.countSample(p, &c.lostSamples)
			}
		}
		if end == OutcomeServed {
			c.countSample(p, &c.slowSamples)
		}
		if end != OutcomeServed {
			c.expectRetry(now, p.key, p.class, 0, end == OutcomeFailed && !class.Idempotent)
		}
	}
}

// Revoke takes an admission back: another admission controller behind this one has rejected the request.
func (c *Controller) Revoke(now time.Duration, p *Permit) {
	c.expectRetry(now, p.key, p.class, 0, false)
	c.Done(now, p, OutcomeCanceled)
}

// ObserveExternal takes how a request ended that another controller admitted in this one's place. One that may have run is remembered, as
// its retry must not be rejected.
func (c *Controller) ObserveExternal(now time.Duration, p *Permit, end Outcome) {
	if end == OutcomeRejected || end == OutcomeFailed {
		c.expectRetry(now, p.key, p.class, 0, end == OutcomeFailed && !c.options.Classes[p.class].Idempotent)
	}
}

// TooLate reports whether a request has no time left for what answers to its class take.
func (c *Controller) TooLate(now time.Duration, r Request) bool {
	return c.meanResponseTimes[r.Class] > 0 && now+time.Duration(c.meanResponseTimes[r.Class]/2) > r.Deadline
}

// advance does what is due by the time: counters decay, overdue requests count, and the state follows.
func (c *Controller) advance(now time.Duration) {
	c.expireOverdue(now)
	if now-c.lastTick < tickInterval {
		return
	}
	decay := math.Exp(-float64(now-c.lastTick) / float64(counterMemory))
	c.lastTick = now
	for _, counter := range []*float64{&c.firstAttempts, &c.retries, &c.servedInTime, &c.notInTime, &c.rejected} {
		*counter *= decay
	}
	if now-c.tenantRequestsHalvedAt >= tenantRequestsHalfLife {
		for i := range c.tenantRequests {
			c.tenantRequests[i] /= 2
		}
		c.allTenantRequests, c.tenantRequestsHalvedAt = c.allTenantRequests/2, now
	}
	if c.state == Normal {
		c.normalInFlight += normalInFlightWeight * (float64(c.inFlight) - c.normalInFlight)
	}
	c.updateState(now)
	if c.isLimiting() {
		c.cutLimit(now)
	}
}

// expireOverdue takes requests out of the count of those in flight that have not ended within their latency objective. In an outage
// nothing ends: requests that hang would fill the limit and keep out the request that would detect the fleet's return.
func (c *Controller) expireOverdue(now time.Duration) {
	expired := 0
	for expired < len(c.permits) {
		p := c.permits[expired]
		if !p.hasEnded && now-p.admittedAt <= c.options.Classes[p.class].LatencyObjective {
			break
		}
		if !p.hasEnded {
			p.isOverdue = true
			c.inFlight--
			c.notInTime++
			c.countSample(p, &c.lostSamples)
		}
		expired++
	}
	clear(c.permits[:expired])
	c.permits = c.permits[expired:]
}
