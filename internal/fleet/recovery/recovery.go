package recovery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/admission"
)

// Class describes a class of requests.
type Class struct {
	Name             string
	Priority         float64
	LatencyObjective time.Duration // an answer after it is late
	Idempotent       bool          // any of its requests may be sent again
}

// Options configure a Controller.
type Options struct {
	Classes            []Class
	Agents             int           // how many agents there are, as far as is known
	Self               int           // the number of this one
	ColdCapacityRatio  float64       // part of its capacity that a server has right after its start
	WarmupTime         time.Duration // until it has all of it
	ColdOverloadFactor float64       // times what a cold server can serve, at which it fails; 0: not known
	MaxRetryAfter      time.Duration // the longest Retry-After that clients heed; 0: clients aren't told one
	PeerPollTime       time.Duration // for which answers of other agents are awaited; 0: there is nobody to ask
	Seed               uint64        // of the random draws
}

// Admitter decides which requests are admitted. A Controller is one, and stands before another.
type Admitter interface {
	// Arrive returns a permit for a request, or nil and the rejection.
	Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection)
	// Done gives a permit back when its request has ended.
	Done(now time.Duration, p *admission.Permit, outcome admission.Outcome)
	// Counts returns what was admitted and rejected so far.
	Counts() admission.Counts
}

// Controller is one agent's recovery. It is not safe for concurrent use.
//
// Invariants: in FullService nothing is rejected here; in any other phase requests that may have run already pass, and all others only as
// far as trials and tokens allow.
type Controller struct {
	options           Options
	rng               *rand.Rand
	classesByPriority []int              // class numbers, the highest priority first
	next              Admitter           // asked in FullService; nil: all requests are admitted then
	servers           map[string]*server // by id
	serverOrder       []*server          // the same, sorted by id: sums and effects must not depend on the order of a map
	traffic           trafficProfile
	isAgentAlive      []bool // by agent number; empty: not known

	// The recovery that is under way, or was last.
	phase              Phase
	reason             string // why the phase was entered, for the log
	phaseSince         time.Duration
	startedAt          time.Duration
	recoveredUntil     time.Duration // a server that started after it has started since the last recovery
	baseline           Baseline      // what was usual before
	firstAnswerAt      time.Duration // 0: no server has answered yet
	fleetStart         time.Duration // when the first server started again, as far as is known; 0: not known
	failedTrialsBefore uint64        // counts.FailedTrials at the start of the recovery

	ramp ramp

	newlyResponding []string // servers for TakeResponding
	startChanges    []string // servers for TakeStartChanges
	counts          Counts
}

// Counts says what a Controller has done since it was made. The slices are indexed by class.
type Counts struct {
	Recoveries   uint64
	Trials       uint64
	FailedTrials uint64
	Rejected     []uint64
	Admitted     []uint64 // in phases other than FullService
}

// New returns a Controller in FullService that knows no server. next may be nil.
func New(o Options, next Admitter) *Controller {
	r := &Controller{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), next: next, servers: map[string]*server{}, reason: "start"}
	r.setClasses(o.Classes)
	return r
}

// Retune replaces the classes, here and in the next Admitter. Each keeps its number and its name; there may be more than before.
func (r *Controller) Retune(classes []admission.Class) {
	own := make([]Class, len(classes))
	for i, c := range classes {
		own[i] = Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Idempotent}
		if i < len(r.options.Classes) {
			own[i].Name = r.options.Classes[i].Name
		}
	}
	r.setClasses(own)
	if next, ok := r.next.(interface{ Retune([]admission.Class) }); ok {
		next.Retune(classes)
	}
}

func (r *Controller) setClasses(classes []Class) {
	r.options.Classes, r.classesByPriority = classes, make([]int, len(classes))
	for i := range r.classesByPriority {
		r.classesByPriority[i] = i
	}
	slices.SortStableFunc(r.classesByPriority, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	for len(r.ramp.tokens) < len(classes) {
		r.ramp.tokens = append(r.ramp.tokens, 0)
		r.counts.Rejected, r.counts.Admitted = append(r.counts.Rejected, 0), append(r.counts.Admitted, 0)
	}
	r.traffic.growTo(len(classes))
}

// Arrive implements Admitter. A request that may have run already is always admitted: to reject it would lose its answer, not the load.
func (r *Controller) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	r.traffic.countArrival(now, a)
	if r.Tick(now); r.phase == FullService {
		if r.next != nil {
			return r.next.Arrive(now, a)
		}
		return admission.NewPermit(now, a, admission.IssuedByRecovery), admission.Rejection{}
	}
	p := admission.NewPermit(now, a, admission.IssuedByRecovery)
	switch r.phase {
	case NoEndpoints, PollingPeers:
		if !a.MayHaveRun {
			return nil, r.reject(now, a)
		}
	case TrialRequests:
		if a.MayHaveRun { // it goes to its pod, and tries no server of the controller's choice
			r.takeToken(now, a)
			break
		}
		if a.IsBound { // nor does it try one here: it may not be sent there
			if !r.mayRisk(a) || !r.takeToken(now, a) {
				return nil, r.reject(now, a)
			}
			break
		}
		id, isTrial := r.chooseTrial(now, a)
		if !isTrial {
			return nil, r.reject(now, a)
		}
		p.Endpoints = []string{id}
	default:
		if !r.takeToken(now, a) && !a.MayHaveRun {
			return nil, r.reject(now, a)
		}
	}
	r.counts.Admitted[a.Class]++
	return p, admission.Rejection{}
}

// reject counts a rejected request and draws when its client had better return, so that not all clients return at once.
func (r *Controller) reject(now time.Duration, a admission.Request) admission.Rejection {
	r.counts.Rejected[a.Class]++
	r.ramp.lastRejectedAt = now
	longest := float64(r.options.MaxRetryAfter)
	return admission.Rejection{RetryAfter: time.Duration(longest * (0.4 + 0.6*r.rng.Float64()))}
}

// Done implements Admitter. Permits of the next Admitter go back to it, whatever phase has begun meanwhile.
func (r *Controller) Done(now time.Duration, p *admission.Permit, outcome admission.Outcome) {
	class, took, issuer := p.Completion(now)
	if issuer != admission.IssuedByRecovery {
		if r.next != nil {
			r.next.Done(now, p, outcome)
		}
		return
	}
	if outcome == admission.OutcomeServed && took <= r.options.Classes[class].LatencyObjective {
		r.ramp.servedInTime++
	} else if outcome == admission.OutcomeServed || outcome == admission.OutcomeFailed {
		r.ramp.lateOrFailed++
	}
}

// Counts implements Admitter: it returns those of the next one. The Controller's own are in Status.
func (r *Controller) Counts() admission.Counts {
	if r.next != nil {
		return r.next.Counts()
	}
	return admission.Counts{}
}

// ObserveAttempt is called when an attempt at a server has ended. answered says that the server's process answered, broke that a connection
// broke or couldn't be had. rate, in requests a second, and utilization are the server's report; below 0 there is none.
func (r *Controller) ObserveAttempt(now time.Duration, id string, answered, broke bool, rate, utilization float64) {
	s := r.servers[id]
	if s == nil {
		return
	}
	if utilization >= 0 && rate >= 0 {
		s.reportedAt, s.reportedRate, s.reportedUtilization = now, rate, utilization
	}
	if r.phase == FullService {
		r.traffic.learnFromReport(now, s)
		if broke {
			s.brokenAt, s.mayRunSince = now, now
			r.detectOutage(now)
		}
		return
	}
	if s.isTrialPending {
		s.isTrialPending = false
		if !answered {
			r.countFailedTrial(s)
		}
	}
	if broke {
		s.brokenAt, s.mayRunSince, s.firstAnswerAt = now, now, 0
		r.updateEffectiveStart(s)
	}
	if answered {
		r.noteAnswer(now, s)
	}
}

func (r *Controller) noteAnswer(now time.Duration, s *server) {
	if s.failedTrials = 0; s.firstAnswerAt == 0 {
		s.firstAnswerAt = now
		r.newlyResponding = append(r.newlyResponding, s.id)
	}
	if r.firstAnswerAt == 0 {
		r.firstAnswerAt = now
	}
	r.updateEffectiveStart(s)
}

// Status is how a recovery stands.
type Status struct {
	Phase             Phase
	Reason            string        // for the phase, as a text
	Since             time.Duration // when the phase began
	AdmissionRate     float64       // requests a second that are admitted; 0 in FullService, where all are
	WarmCapacityRatio float64       // part of the fleet's capacity that is there at least
	Servers           int           // that are known
	RespondingServers int           // that have answered in this recovery
	Counts            Counts
}

// Status returns how the recovery stands. It belongs to the caller.
func (r *Controller) Status(now time.Duration) Status {
	st := Status{Phase: r.phase, Reason: r.reason, Since: r.phaseSince, Servers: len(r.servers), Counts: r.counts}
	st.Counts.Rejected, st.Counts.Admitted = slices.Clone(r.counts.Rejected), slices.Clone(r.counts.Admitted)
	for _, s := range r.serverOrder {
		if s.firstAnswerAt != 0 {
			st.RespondingServers++
		}
	}
	st.WarmCapacityRatio = 1
	if r.phase != FullService {
		st.AdmissionRate = r.admissionRate(now)
		st.WarmCapacityRatio, _ = r.warmCapacity(now)
	}
	return st
}
