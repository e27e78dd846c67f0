// Package emulator emulates a fleet: form servers as a deterministic model with queues, warm-up and faults, their endpoint
// list, and a ledger of executions. The model (Server) does no I/O, reads no clock and isn't safe for concurrent use:
// arrivals go in with the time, completions come out, so that it runs in simulated time and, as FormServer, on sockets.
package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Spec describes a form server. Zero values leave out what they describe, but for Cores, Speed and Slots, which must be
// above 0.
type Spec struct {
	Cores int
	Speed float64 // of a core: work done in a second, in seconds of work
	Slots int     // requests in work at a time
	Queue int     // requests waiting for a slot; beyond that they are rejected

	// With more than CrowdingStart requests a core, each further one a core takes CrowdingPenalty of the capacity, as
	// more work in progress makes caches and schedulers less efficient.
	CrowdingPenalty float64
	CrowdingStart   float64

	// A server that starts has ColdCapacityRatio of its capacity, which rises linearly to all of it within WarmupTime.
	ColdCapacityRatio float64
	WarmupTime        time.Duration

	// A route key that was seen within KeyCacheTTL takes KeyCacheGain less of its work. The KeyCacheSize latest are cached.
	KeyCacheGain float64
	KeyCacheTTL  time.Duration
	KeyCacheSize int

	// A server that is warming up collapses and stays down if the work that arrives within CollapseTime is more than
	// CollapseOverload times what it can do at that moment. 0: it never does.
	CollapseOverload float64
	CollapseTime     time.Duration

	// A new connection costs this much work.
	Handshake time.Duration

	// Load reports are taken every ReportInterval and visible ReportDelay later, with a normally distributed error whose
	// standard deviation is this share of the value.
	ReportInterval time.Duration
	ReportDelay    time.Duration
	ReportNoise    float64
}

// Request is a request as the model sees it.
type Request struct {
	ID             uint64 // the caller's number for it; unique among those a server holds
	Class          string
	IdempotencyKey string        // empty if the class has none
	RouteKey       string        // may be empty
	Work           time.Duration // on a core of speed 1
	Wait           time.Duration // on other systems: it holds its slot, but no core
	TimeLeft       time.Duration // for which its sender still waited when it wrote the request; 0: not stated
	ReadDelay      time.Duration // between its last byte, as the kernel received it, and its arrival at the model
}

// ArrivalResult is what happens to a request when it arrives.
type ArrivalResult int

// The verdicts.
const (
	Accepted    ArrivalResult = iota
	Rejected                  // not executed: the queue is full, or the server drains
	Unreachable               // the connection fails
)

// Completion is the end of a request.
type Completion struct {
	ID           uint64
	Latency      time.Duration // since it arrived
	Deduplicated bool          // a duplicate, not executed
	Failed       bool          // executed, and answered with an error
}

// Server is the model of one form server. Its cores are shared evenly among the requests that need one (processor
// sharing), at most one core each.
//
// Invariants: attained is the work that a request which needed a core all the time has got since the start; it grows
// evenly for all that need one, so that onCores is ordered by the attained work at which each is done. A request is in
// exactly one of waiting, inExternalWait and onCores. len(inExternalWait) + len(onCores) <= Slots.
type Server struct {
	spec   Spec
	pod    *Pod
	name   string
	random *rand.Rand

	now            time.Duration
	started        time.Duration
	attained       float64 // seconds of work
	waiting        []*job
	inExternalWait jobHeap // by the time at which the wait is over
	onCores        jobHeap // by the attained work at which they are done
	keys           *keyCache
	meter          loadMeter

	faults         Faults
	collapsed      bool
	recentArrivals []arrivedWork // work sent lately while cold
	recentWork     float64
}

// job is a request in a server.
type job struct {
	Request
	arrived     time.Duration
	at          float64 // seconds on the clock of the queue that it is in
	order       uint64  // of its arrival, so that ties are broken the same way each time
	isDuplicate bool
	willFail    bool
}

// arrivedWork is the work of a request that arrived while the server warmed up.
type arrivedWork struct {
	at   time.Duration
	work float64
}

// Faults are what a scenario makes go wrong with a server.
type Faults struct {
	Paused   bool    // stops, and later goes on where it was
	Hung     bool    // accepts requests and never answers them; earlier ones go on after the hang
	Throttle float64 // share of its capacity that is left; 0: all of it
	Errors   float64 // share of requests that are executed and answered with an error
	Draining bool    // rejects new requests
	Killed   bool
}

// NewServer returns a server that starts at that time, cold, or long ago if warm. Its random numbers follow from the seed.
func NewServer(name string, spec Spec, pod *Pod, seed uint64, now time.Duration, warm bool) *Server {
	s := &Server{spec: spec, pod: pod, name: name, random: rand.New(rand.NewPCG(seed, 0)), now: now, started: now,
		keys: newKeyCache(spec.KeyCacheSize, spec.KeyCacheTTL)}
	if warm {
		s.started = now - spec.WarmupTime
	}
	s.meter = newLoadMeter(spec, now)
	return s
}

// CapacityRatio returns the share of its capacity that the server has at that time: less than 1 while it warms up.
func (s *Server) CapacityRatio(at time.Duration) float64 {
	age := at - s.started
	if s.spec.WarmupTime <= 0 || age >= s.spec.WarmupTime {
		return 1
	}
	return s.spec.ColdCapacityRatio + (1-s.spec.ColdCapacityRatio)*max(0, age.Seconds())/s.spec.WarmupTime.Seconds()
}

// InFlight counts the requests in the server.
func (s *Server) InFlight() int { return len(s.waiting) + len(s.inExternalWait) + len(s.onCores) }

// MaxRequests returns how many requests the server holds at most, in slots and in its queue.
func (s *Server) MaxRequests() int { return s.spec.Slots + s.spec.Queue }

// Capacity returns the work that the server can do in a second at that time, in seconds of work, without crowding.
func (s *Server) Capacity(at time.Duration) float64 {
	if s.collapsed || s.faults.Killed || s.faults.Paused {
		return 0
	}
	c := float64(s.spec.Cores) * s.spec.Speed * s.CapacityRatio(at)
	if s.faults.Throttle > 0 {
		c *= s.faults.Throttle
	}
	return c
}

// crowdingRatio returns the share of the capacity that is left with the present number of requests.
func (s *Server) crowdingRatio() float64 {
	over := float64(s.InFlight())/float64(s.spec.Cores) - s.spec.CrowdingStart
	if s.spec.CrowdingPenalty == 0 || over <= 0 {
		return 1
	}
	return 1 / (1 + s.spec.CrowdingPenalty*over)
}

// workRate returns the work in a second that each request on the cores would get if the server were warm.
func (s *Server) workRate() float64 {
	n := float64(len(s.onCores))
	if n == 0 || s.collapsed || s.faults.Killed || s.faults.Paused || s.faults.Hung {
		return 0
	}
	p := s.spec.Speed * min(1, float64(s.spec.Cores)/n) * s.crowdingRatio()
	if s.faults.Throttle > 0 {
		p *= s.faults.Throttle
	}
	return p
}

// NextTimer returns when the server's next own event is due; ok is false if there is none. Nothing happens before it
// unless a request arrives or a fault changes.
func (s *Server) NextTimer() (at time.Duration, ok bool) {
	at = math.MaxInt64
	if s.faults.Hung || s.faults.Killed || s.collapsed || s.faults.Paused {
		return 0, false
	}
	if len(s.inExternalWait) > 0 {
		at = fromSeconds(s.inExternalWait[0].at)
	}
	if p := s.workRate(); p > 0 {
		at = min(at, s.timeOfWork(s.onCores[0].at-s.attained, p))
	}
	return max(at, s.now), at != math.MaxInt64
}

// timeOfWork returns when each request on the cores will have got so much more work at the rate. While the server warms
// up its rate rises linearly, so that the work is a quadratic function of time.
func (s *Server) timeOfWork(work, pace float64) time.Duration {
	if work <= 0 {
		return s.now
	}
	w, need := s.CapacityRatio(s.now), work/pace // need: seconds of a warm server
	left := (s.spec.WarmupTime - (s.now - s.started)).Seconds()
	if left <= 0 || s.spec.WarmupTime <= 0 {
		return s.now + ceilSeconds(need)
	}
	slope := (1 - s.spec.ColdCapacityRatio) / s.spec.WarmupTime.Seconds()
	if whileCold := w*left + slope*left*left/2; need > whileCold {
		return s.now + ceilSeconds(left+need-whileCold)
	}
	if slope == 0 {
		return s.now + ceilSeconds(need/w)
	}
	return s.now + ceilSeconds((math.Sqrt(w*w+2*slope*need)-w)/slope)
}

// workUntil returns the work that each request on the cores gets from now to then at the rate.
func (s *Server) workUntil(then time.Duration, pace float64) float64 {
	span := (then - s.now).Seconds()
	left := max(0, (s.spec.WarmupTime - (s.now - s.started)).Seconds())
	if s.spec.WarmupTime <= 0 {
		left = 0
	}
	cold := min(span, left)
	w, slope := s.CapacityRatio(s.now), 0.0
	if left > 0 {
		slope = (1 - s.spec.ColdCapacityRatio) / s.spec.WarmupTime.Seconds()
	}
	return pace * (w*cold + slope*cold*cold/2 + (span - cold))
}

// Advance lets the server work until that time and returns what ended, in order.
func (s *Server) Advance(to time.Duration) (ended []Completion) {
	for {
		at, ok := s.NextTimer()
		if !ok || at > to {
			s.elapse(to)
			return ended
		}
		s.elapse(at)
		ended = append(ended, s.runDue()...)
	}
}

// elapse moves the time on to a point before which nothing begins or ends.
func (s *Server) elapse(to time.Duration) {
	if to <= s.now {
		return
	}
	p := s.workRate()
	s.meter.addUsage(s.now, to, s.coreUtilization())
	s.attained += s.workUntil(to, p)
	s.now = to
}

// coreUtilization returns the share of the cores in use.
func (s *Server) coreUtilization() float64 {
	return min(1, float64(len(s.onCores))/float64(s.spec.Cores))
}

// workTolerance is the work, in seconds, that rounding of times may leave undone: two nanoseconds of a fast core.
const workTolerance = 1e-8

// runDue carries out what is due now and returns the completed requests.
func (s *Server) runDue() (ended []Completion) {
	for len(s.inExternalWait) > 0 && fromSeconds(s.inExternalWait[0].at) <= s.now {
		j := heap.Pop(&s.inExternalWait).(*job)
		j.at = s.attained + j.Work.Seconds()
		heap.Push(&s.onCores, j)
	}
	for len(s.onCores) > 0 && s.onCores[0].at <= s.attained+workTolerance {
		j := heap.Pop(&s.onCores).(*job)
		ended = append(ended, Completion{ID: j.ID, Latency: s.now - j.arrived, Deduplicated: j.isDuplicate, Failed: j.willFail})
		s.meter.addCompletion(j.willFail)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.startWork(next)
		}
	}
	return ended
}

// Arrive gives the server a request. It must have been advanced to that time. order is the number of the arrival, which
// breaks ties.
func (s *Server) Arrive(now time.Duration, r Request, order uint64) ArrivalResult {
	switch {
	case s.faults.Killed || s.collapsed:
		return Unreachable
	case s.faults.Hung: // never answered, but the request may have run
		if r.IdempotencyKey != "" {
			s.pod.claim(now, r, s.name)
		}
		return Accepted
	case s.isOverloadedCold(now, r): // rejected requests count as well
		s.collapse()
		return Unreachable
	case s.faults.Draining, len(s.inExternalWait)+len(s.onCores) >= s.spec.Slots && len(s.waiting) >= s.spec.Queue:
		return Rejected
	}
	j := &job{Request: r, arrived: now, order: order, willFail: s.random.Float64() < s.faults.Errors}
	// The pod tells repeats when they come: one that waits long in a queue must not run because its key is forgotten by then.
	j.isDuplicate = r.IdempotencyKey != "" && !s.pod.claim(now, r, s.name)
	if len(s.inExternalWait)+len(s.onCores) >= s.spec.Slots {
		s.waiting = append(s.waiting, j)
		return Accepted
	}
	s.startWork(j)
	return Accepted
}

// startWork gives a request a slot.
func (s *Server) startWork(j *job) {
	if j.isDuplicate {
		j.Work, j.Wait = 0, 0
	} else if s.keys.touch(s.now, j.RouteKey) {
		j.Work = time.Duration(float64(j.Work) * (1 - s.spec.KeyCacheGain))
	}
	if j.Wait > 0 {
		j.at = (s.now + j.Wait).Seconds()
		heap.Push(&s.inExternalWait, j)
		return
	}
	j.at = s.attained + j.Work.Seconds()
	heap.Push(&s.onCores, j)
}

// isOverloadedCold counts the work that arrives while the server warms up, and reports whether it was too much for too
// long.
func (s *Server) isOverloadedCold(now time.Duration, r Request) bool {
	if s.spec.CollapseOverload == 0 || s.CapacityRatio(now) == 1 || s.faults.Paused { // one that stands still is not sent too much for what it can do
		return false
	}
	for len(s.recentArrivals) > 0 && now-s.recentArrivals[0].at >= s.spec.CollapseTime {
		s.recentWork -= s.recentArrivals[0].work
		s.recentArrivals = s.recentArrivals[1:]
	}
	work := r.Work.Seconds()
	s.recentArrivals, s.recentWork = append(s.recentArrivals, arrivedWork{now, work}), s.recentWork+work
	return s.recentWork > s.spec.CollapseOverload*s.Capacity(now)*s.spec.CollapseTime.Seconds()
}

// collapse takes the server down for good and drops its requests.
func (s *Server) collapse() {
	s.collapsed = true
	s.dropAll()
}

// dropAll drops all requests.
func (s *Server) dropAll() {
	s.waiting, s.inExternalWait, s.onCores, s.recentArrivals, s.recentWork = nil, nil, nil, nil, 0
}

// ChangeFaults changes the server's faults, and first returns what was completed until now.
func (s *Server) ChangeFaults(now time.Duration, change func(*Faults)) (ended []Completion) {
	ended = s.Advance(now)
	change(&s.faults)
	if s.faults.Killed {
		s.dropAll()
	}
	return ended
}

// Faults returns the server's faults.
func (s *Server) Faults() Faults { return s.faults }

// Collapsed reports whether the server was overloaded while warming up and is down for good.
func (s *Server) Collapsed() bool { return s.collapsed }

// Connect adds the work of a handshake, which delays all requests on the cores.
func (s *Server) Connect(now time.Duration) {
	if n := len(s.onCores); s.spec.Handshake > 0 && n > 0 {
		s.attained -= s.spec.Handshake.Seconds() / float64(n)
	}
}

// LoadReport returns the load report that is visible at that time.
func (s *Server) LoadReport(now time.Duration) LoadReport {
	return s.meter.visibleReport(now, s.random)
}

// jobHeap is a heap of requests by time, then by order of arrival.
type jobHeap []*job

func (q jobHeap) Len() int { return len(q) }
func (q jobHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q jobHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *jobHeap) Push(x any)   { *q = append(*q, x.(*job)) }
func (q *jobHeap) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}

// fromSeconds converts seconds, rounded to the nearest nanosecond.
func fromSeconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }

// ceilSeconds rounds up, so that what is due then is done then.
func ceilSeconds(s float64) time.Duration { return time.Duration(math.Ceil(s * 1e9)) }
