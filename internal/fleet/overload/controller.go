package overload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
)

// Options configure an AdmissionController.
type Options struct {
	Self, Agents  int // the agent's own number, and how many agents there are
	Classes       []admission.Class
	TenantQuotas  []float64     // part of the service for each tenant; may be empty
	MaxRetryAfter time.Duration // the longest Retry-After that clients heed; 0: clients aren't told one
	Seed          uint64        // of the random draws
}

// How often a plan is made, and how far it is trusted.
const (
	planInterval   = 50 * time.Millisecond
	maxPlanStep    = time.Second     // the longest time since the last plan that counts
	trustRecovery  = 2 * time.Second // in which trust returns from none to full
	fullTrustRatio = 0.5             // of the servers and of the agents, of which something must be known for full trust
)

// How this agent's own answers are averaged.
const (
	ownAnswersDecay  = 2 * time.Second // in which the weight of an own answer falls to 1/e
	ownPeakDecay     = 10 * time.Second
	minCapacityProof = 0.2 // utilization from which a report says what a server's capacity is
	reportWeight     = 0.3 // of a new report, in the averages
)

// How often the agent tells others, and how many.
const (
	busyUtilization = 0.35            // of the servers, from which the fleet is busy
	busyTime        = 2 * time.Second // since the last sign of it, for which it still is

	busyInterval   = 100 * time.Millisecond // between two payloads in a busy fleet
	urgentInterval = 40 * time.Millisecond  // between two payloads when something urgent is known; the caller polls every 50 ms
	calmInterval   = time.Second            // between two payloads otherwise
	busyReceivers  = 2
	calmReceivers  = 1
)

// AdmissionController is one agent's part in the fleet's load shedding. It admits by the fleet's plan, for a part of the requests that grows
// with trust in the view, and otherwise by the agent's local controller. It is not safe for concurrent use.
//
// Invariants: a request that may have run is never rejected on the fleet's account; the local controller is asked for every request that reaches Arrive,
// so that it can decide as if it were alone. Requests that a recovery before it rejects do not reach it.
type AdmissionController struct {
	options           Options
	rng               *rand.Rand
	local             *admission.Controller
	view              *FleetView
	classesByPriority []int             // class numbers, the highest priority first
	serverIDs         map[uint32]string // the servers of the endpoint list
	isServerReady     map[uint32]bool

	// What this agent is asked for, and how its own requests do.
	ownRates           arrivalRates
	inFlight           int     // requests that were admitted and haven't ended
	ownUtilization     float64 // by its own answers
	ownPeakUtilization float64 // the highest of late
	ownReportAt        time.Duration
	ownInTime          float64 // decaying counts of its ended requests, at ownEndedAt
	ownLate            float64
	ownEndedAt         time.Duration

	// The plan.
	plan            plan
	plannedAt       time.Duration // 0: there is none yet
	gain            float64       // by which the limit is corrected; 1 is not at all
	gainAdjustedAt  time.Duration
	peakAttemptRate float64 // the highest rate of attempts that agents reported of late, at peakAttemptAt
	peakAttemptAt   time.Duration
	salt            uint64 // by which a key draws its lot
	saltDrawnAt     time.Duration

	// What is sent to other agents.
	lastBusyAt    time.Duration // the last sign of a busy fleet; 0: none
	payloadSentAt time.Duration // 0: none was sent

	counts Counts
}

// Counts says what an AdmissionController has done since it was made.
type Counts struct {
	Rejected        [][2]uint64 // by class: first attempts and clients' retries that were rejected by the fleet's plan
	DecidedLocally  uint64      // requests for which the local controller decided
	PastDeadline    uint64      // of Rejected: requests that couldn't have been answered in time
	RejectedRetries uint64      // attempts beyond a request's first that AllowsRetry rejected
	PayloadsSent    uint64
	View            ViewCounts
}

// New returns an AdmissionController that knows nothing of the fleet and leaves all decisions to local. It takes local over: nobody else may
// call it afterwards.
func New(o Options, local *admission.Controller) *AdmissionController {
	d := &AdmissionController{options: o, rng: rand.New(rand.NewPCG(o.Seed, 9)), local: local, serverIDs: map[uint32]string{},
		isServerReady: map[uint32]bool{}, gain: 1}
	if n := len(o.TenantQuotas); n > MaxTenants { // further tenants are one, as in digests
		d.options.TenantQuotas = slices.Clone(o.TenantQuotas[:MaxTenants])
		for _, quota := range o.TenantQuotas[MaxTenants:] {
			d.options.TenantQuotas[MaxTenants-1] += quota
		}
	}
	d.view = newFleetView(o.Self, o.Agents, len(o.Classes), len(d.options.TenantQuotas))
	d.Retune(o.Classes)
	return d
}

// SetFleetPosition replaces the agent's number and the number of agents. It must be called before any payload is handled.
func (d *AdmissionController) SetFleetPosition(self, agents int) {
	d.options.Self, d.options.Agents = self, agents
	d.view = newFleetView(self, agents, d.view.classes, d.view.tenants)
}

// Retune replaces the classes, here and in the local controller. Each keeps its number. With another number of classes the digests that are
// known no longer count.
func (d *AdmissionController) Retune(classes []admission.Class) {
	d.options.Classes = classes
	d.local.Retune(classes)
	if n := min(len(classes), MaxClasses); n != d.view.classes {
		v := newFleetView(d.options.Self, d.options.Agents, n, len(d.options.TenantQuotas))
		v.servers, v.serverOrder, v.isDead, v.aliveAgents = d.view.servers, d.view.serverOrder, d.view.isDead, d.view.aliveAgents
		d.view = v
	}
	d.ownRates.growTo(d.view.classes, d.view.tenants)
	for len(d.counts.Rejected) < len(classes) {
		d.counts.Rejected = append(d.counts.Rejected, [2]uint64{})
	}
	d.classesByPriority = d.classesByPriority[:0]
	for i := range min(len(classes), MaxClasses) {
		d.classesByPriority = append(d.classesByPriority, i)
	}
	slices.SortStableFunc(d.classesByPriority, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	d.plan = plan{}
}

// digestIndex returns where digests count a class or tenant: beyond the last they are counted with it, and an unknown one with the first.
func digestIndex(i, count int) int { return min(max(i, 0), count-1) }

// Arrive returns a permit for a request, or nil and the rejection.
func (d *AdmissionController) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	permit, rejection := d.local.Arrive(now, a)
	// Many clients ask for the same in an idempotent class: there an equal key is no proof of a retry.
	isRetry := a.IsRetry || !d.options.Classes[a.Class].Idempotent && (permit != nil && permit.IsRetry || rejection.IsRetry)
	d.refreshPlan(now)
	lot := d.drawLot(now, a)
	class := digestIndex(a.Class, d.view.classes)
	d.ownRates.countRequest(now, class, a.Tenant, isRetry, lot, d.plan.admitProbability(class, a.Tenant, false))
	if d.rng.Float64() >= d.plan.trust {
		if d.counts.DecidedLocally++; permit != nil {
			d.countAdmitted(now)
		}
		return permit, rejection
	}
	// The local controller always admits a request of which it knows that it may have run: to reject it would lose its answer.
	mayHaveRun := a.MayHaveRun || permit != nil && permit.MayHaveRun
	if !mayHaveRun && d.rejects(now, a, isRetry, lot) {
		if permit != nil {
			d.local.Revoke(now, permit)
		}
		d.countRejected(a.Class, isRetry)
		// The fleet's limit is a rate, for which clients know no header: the rejection states none.
		return nil, admission.Rejection{RetryAfter: d.retryAfter(), IsRetry: isRetry}
	}
	d.countAdmitted(now)
	if permit == nil {
		permit = admission.NewPermit(now, a, admission.IssuedByFleet)
	}
	return permit, admission.Rejection{}
}

func (d *AdmissionController) countAdmitted(now time.Duration) {
	d.inFlight++
	d.ownRates.admitted.add(now, 1)
}

func (d *AdmissionController) countRejected(class int, isRetry bool) {
	kind := 0
	if isRetry {
		kind = 1
	}
	d.counts.Rejected[class][kind]++
}

// rejects reports whether the plan rejects a request: the fleet has no capacity for its kind, or it can't be answered in time any more.
func (d *AdmissionController) rejects(now time.Duration, a admission.Request, isRetry bool, lot float64) bool {
	probability := d.plan.admitProbability(digestIndex(a.Class, d.view.classes), a.Tenant, isRetry)
	if probability >= 1 || lot < probability && !d.local.TooLate(now, a) {
		return false
	}
	if lot < probability {
		d.counts.PastDeadline++
	}
	return true
}

// retryAfter draws when a client had better return: the later the more is rejected, and not all at once.
func (d *AdmissionController) retryAfter() time.Duration {
	shortest := 0.3 + 0.5*d.plan.rejectedRatio
	return time.Duration(float64(d.options.MaxRetryAfter) * (shortest + (1-shortest)*d.rng.Float64()))
}

// Done gives a permit back when its request has ended.
func (d *AdmissionController) Done(now time.Duration, p *admission.Permit, outcome admission.Outcome) {
	class, took, issuer := p.Completion(now)
	d.inFlight = max(0, d.inFlight-1)
	if issuer == admission.IssuedByController {
		d.local.Done(now, p, outcome)
	} else {
		d.local.ObserveExternal(now, p, outcome)
	}
	fade := math.Exp(-float64(now-d.ownEndedAt) / float64(ownAnswersDecay))
	d.ownInTime, d.ownLate, d.ownEndedAt = d.ownInTime*fade, d.ownLate*fade, now
	switch {
	case outcome == admission.OutcomeServed && took <= d.options.Classes[class].LatencyObjective:
		d.ownInTime++
		d.ownRates.servedInTime.add(now, 1)
	case outcome == admission.OutcomeServed || outcome == admission.OutcomeFailed:
		d.ownLate++
		d.ownRates.lateOrFailed.add(now, 1)
	}
}

// Counts returns what the local controller has counted; this one's own counts are in Status.
func (d *AdmissionController) Counts() admission.Counts { return d.local.Counts() }

// AttemptSent is called when an attempt goes to a server; isExtra says that it isn't its request's first.
func (d *AdmissionController) AttemptSent(now time.Duration, id string, isExtra bool) {
	if isExtra {
		d.ownRates.extraAttempts.add(now, 1)
	}
	if s := d.view.server(ServerID(id)); s != nil {
		s.attemptSent(now)
	}
}

// AttemptEnded is called when an attempt has ended, with the server's report. A utilization below 0 is no report.
func (d *AdmissionController) AttemptEnded(now time.Duration, id string, result balancer.Result, report balancer.Report) {
	server := ServerID(id)
	s := d.view.server(server)
	if s == nil {
		return
	}
	s.attemptEnded(now, result)
	if result != balancer.OK || report.Utilization < 0 {
		return
	}
	r := LoadReport{Server: server, Utilization: report.Utilization}
	if report.ServedRate > 0 && report.Utilization >= minCapacityProof {
		r.Capacity = report.ServedRate / report.Utilization
		if s.ownCapacity > 0 {
			r.Capacity = s.ownCapacity + reportWeight*(r.Capacity-s.ownCapacity)
		}
	}
	d.view.applyReport(now, r, true)
	d.averageOwnUtilization(now, report.Utilization)
}

// averageOwnUtilization averages the utilization that own answers show, and holds its peak for longer: while requests are rejected servers
// are less busy for that, and the proof of an overload would end with the overload's cure.
func (d *AdmissionController) averageOwnUtilization(now time.Duration, utilization float64) {
	keep := math.Exp(-float64(now-d.ownReportAt) / float64(ownAnswersDecay))
	if d.ownReportAt == 0 {
		keep = 0
	}
	keep = min(keep, 1-reportWeight)
	d.ownPeakUtilization *= math.Exp(-float64(now-d.ownReportAt) / float64(ownPeakDecay))
	d.ownUtilization, d.ownReportAt = keep*d.ownUtilization+(1-keep)*utilization, now
	d.ownPeakUtilization = max(d.ownPeakUtilization, d.ownUtilization)
}

// UpdateServer is called when the agent's endpoint list names a server or no longer does.
func (d *AdmissionController) UpdateServer(id string, isListed, isReady bool) {
	server := ServerID(id)
	if !isListed {
		delete(d.serverIDs, server)
		delete(d.isServerReady, server)
		return
	}
	d.serverIDs[server], d.isServerReady[server] = id, isReady
	d.view.server(server)
}

// HandleLiveness is called with which agents are alive, by number, as far as is known.
func (d *AdmissionController) HandleLiveness(isAlive []bool) { d.view.setLiveness(isAlive) }

// HandlePayload takes another agent's payload over. After an error nothing of it counts.
func (d *AdmissionController) HandlePayload(now time.Duration, from int, text []byte) error {
	p, err := parsePayload(text)
	if err == nil && (from < 0 || from >= d.options.Agents || from == d.options.Self) {
		err = fmt.Errorf("agent %d is none of the others", from)
	}
	if err != nil {
		d.view.counts.Malformed++
		return err
	}
	// Half the time: otherwise agents would keep each other busy for ever by telling each other that they are.
	if d.view.applyPayload(now, from, p); p.IsBusy {
		d.lastBusyAt = max(d.lastBusyAt, now-busyTime/2)
	}
	return nil
}

// NextPayload returns a payload of at most so many bytes and to how many agents it is to be sent; nil if it isn't time yet.
func (d *AdmissionController) NextPayload(now time.Duration, maxBytes int) (payload []byte, receivers int) {
	d.refreshPlan(now)
	interval, receivers := calmInterval, calmReceivers
	if d.view.isUrgent {
		interval, receivers = urgentInterval, busyReceivers
	} else if d.lastBusyAt != 0 && now-d.lastBusyAt < busyTime {
		interval, receivers = busyInterval, busyReceivers
	}
	if d.payloadSentAt != 0 && now-d.payloadSentAt < interval-interval/4 {
		return nil, 0
	}
	d.payloadSentAt, d.view.isUrgent = now, false
	d.counts.PayloadsSent++
	isBusy := now-d.lastBusyAt < busyTime/2 && d.lastBusyAt != 0
	return d.view.buildPayload(now, d.ownDigest(now), isBusy, maxBytes), receivers
}

func (d *AdmissionController) ownDigest(now time.Duration) LoadDigest {
	return d.ownRates.digest(now, d.options.Self, d.inFlight)
}

// ExcludedServers returns the ids of the servers that are excluded on the observations of several agents.
func (d *AdmissionController) ExcludedServers(now time.Duration) (ids []string) {
	for _, server := range d.view.excludedServers(now, d.isReady) {
		ids = append(ids, d.serverIDs[server])
	}
	return ids
}

func (d *AdmissionController) isReady(server uint32) bool { return d.isServerReady[server] }

// refreshPlan makes a new plan when it is time.
func (d *AdmissionController) refreshPlan(now time.Duration) {
	if now-d.plannedAt < planInterval && d.plannedAt != 0 {
		return
	}
	seconds := min(now-d.plannedAt, maxPlanStep).Seconds()
	d.plannedAt = now
	d.view.forgetServers(func(server uint32) bool { _, isListed := d.serverIDs[server]; return isListed })
	d.view.observeOutliers(now)
	load := d.view.fleetCapacity(now, d.isReady)
	demand := d.view.totalDemand(now, d.ownDigest(now), load.capacity)
	if load.capacity == 0 && load.utilization > 0 { // servers that don't report a rate: what is admitted makes them so busy
		load.capacity = demand.Admitted / load.utilization
	}
	// With few reports, as nearly all is rejected, servers have long had capacity again.
	utilization := load.recency*load.utilization + (1-load.recency)*min(load.utilization, lateTargetUtilization)
	d.adjustGain(now, utilization, demand)
	if utilization >= busyUtilization || d.plan.rejectedRatio > 0 {
		d.lastBusyAt = now
	}
	trust := d.viewTrust(load, demand, seconds)
	d.plan = d.newPlan(now, demand, load.capacity, utilization)
	d.plan.trust = trust
}

// viewTrust returns how far the view is trusted, from 0 to 1: not at all without a capacity, an own answer or any other agent's digest, as
// one agent alone could say anything then.
func (d *AdmissionController) viewTrust(load fleetLoad, demand Demand, seconds float64) float64 {
	if load.capacity == 0 || d.ownReportAt == 0 || demand.KnownAgents == 1 && d.options.Agents > 1 {
		return 0
	}
	return min(1, load.knownRatio/fullTrustRatio, float64(demand.KnownAgents)/float64(demand.AliveAgents)/fullTrustRatio,
		d.plan.trust+seconds/trustRecovery.Seconds())
}
