// Package emulator is a stand-in for the fleet: form servers as a deterministic model, with queues, cold starts, faults
// and a ledger of what ran. The model does no I/O and reads no clock: arrivals go in with the time, ends come out, so
// that the same model runs on real sockets and in simulated time.
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
	Queue int     // and waiting for a slot; beyond that requests are turned away unseen

	// When more than CrowdingStart requests a core are held, each further one a core takes Crowd of the capacity, as more
	// held work makes caches and schedulers less efficient.
	CrowdingPenalty float64
	CrowdingStart   float64

	// A server that starts has ColdCapacityRatio of its capacity, and all of it WarmupTime later; in between it rises evenly.
	ColdCapacityRatio float64
	WarmupTime        time.Duration

	// A server that met a route key within KeyCacheTTL does KeyCacheGain less work for it. It remembers the KeyCacheSize latest.
	KeyCacheGain float64
	KeyCacheTTL  time.Duration
	KeyCacheSize int

	// A cold server that is sent more than Topple times what it can do at that moment for CollapseTime falls over and stays
	// down. 0: it never does.
	CollapseOverload float64
	CollapseTime     time.Duration

	// A new connection costs this much work.
	Handshake time.Duration

	// LoadReport reports are taken every ReportInterval, shown ReportDelay later, and off by a normal error of this share.
	ReportInterval time.Duration
	ReportDelay    time.Duration
	ReportNoise    float64
}

// Request is what a server is asked to do.
type Request struct {
	ID             uint64 // the caller's number for it; unique among those a server holds
	Class          string
	IdempotencyKey string        // by which repeats are told; empty where the class has none
	RouteKey       string        // what it is about; may be empty
	Work           time.Duration // on a core of speed 1
	Wait           time.Duration // on others: it holds its slot, but no core
}

// ArrivalResult is what becomes of an arrival at once.
type ArrivalResult int

// The verdicts.
const (
	Accepted    ArrivalResult = iota
	Rejected                  // turned away unseen: the waiting room is full, or the server drains
	Unreachable               // nobody listens
)

// Completion is the end of a request.
type Completion struct {
	ID           uint64
	Latency      time.Duration // since it arrived
	Deduplicated bool          // it was a repeat, and had no effect
	Failed       bool          // it had its effect and is answered with an error
}

// Server is the model of one form server. Its cores are shared evenly among the requests that need one (processor
// sharing), at most one core each.
//
// Invariants: attained is the work that a request which needed a core all the time has got since the start; it grows
// evenly for all that need one, so that running is ordered by the attained work at which each is done. A request is in
// exactly one of waiting, inExternalWait and running. len(inExternalWait) + len(running) <= Slots.
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

// sent is work that came to a cold server.
type arrivedWork struct {
	at   time.Duration
	work float64
}

// Faults are what a script does to a server.
type Faults struct {
	Paused   bool    // does nothing, and goes on where it was
	Hung     bool    // accepts and never answers; what it held before goes on when the hang ends
	Throttle float64 // share of its capacity that is left; 0: all of it
	Errors   float64 // share of requests that are answered with an error at once, having run
	Draining bool    // turns new requests away
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

// CapacityRatio is the share of its capacity that the server has at that time.
func (s *Server) CapacityRatio(at time.Duration) float64 {
	age := at - s.started
	if s.spec.WarmupTime <= 0 || age >= s.spec.WarmupTime {
		return 1
	}
	return s.spec.ColdCapacityRatio + (1-s.spec.ColdCapacityRatio)*max(0, age.Seconds())/s.spec.WarmupTime.Seconds()
}

// InFlight counts the requests in the server.
func (s *Server) InFlight() int { return len(s.waiting) + len(s.inExternalWait) + len(s.onCores) }

// MaxRequests is how many requests the server takes at a time, in work and waiting.
func (s *Server) MaxRequests() int { return s.spec.Slots + s.spec.Queue }

// Capacity is the work that the server can do in a second at that time, in seconds of work, when it is not crowded.
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

// crowding is the share of the capacity that the number of requests held leaves.
func (s *Server) crowdingRatio() float64 {
	over := float64(s.InFlight())/float64(s.spec.Cores) - s.spec.CrowdingStart
	if s.spec.CrowdingPenalty == 0 || over <= 0 {
		return 1
	}
	return 1 / (1 + s.spec.CrowdingPenalty*over)
}

// pace is the work that each running request gets in a second, if the server were warm.
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

// NextTimer is the time of the server's next own event, if there is one. Nothing happens in the server before it, unless a
// request arrives or a fault changes.
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

// reaches is the time at which each running request has got so much more work at this pace. While the server warms up
// its pace rises evenly, so that what it does is a quadratic of the time.
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

// gains is the work that each running request gets from now to then at this pace.
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

// pass lets time go by in which nothing begins or ends.
func (s *Server) elapse(to time.Duration) {
	if to <= s.now {
		return
	}
	p := s.workRate()
	s.meter.addUsage(s.now, to, s.coreUtilization())
	s.attained += s.workUntil(to, p)
	s.now = to
}

// usage is the share of the cores in use.
func (s *Server) coreUtilization() float64 {
	return min(1, float64(len(s.onCores))/float64(s.spec.Cores))
}

// tolerance is the work that rounding of times may leave undone, in seconds: two nanoseconds of a fast core.
const workTolerance = 1e-8

// events carries out what is due now.
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

// Arrive brings a request. The server must have been advanced to that time.
func (s *Server) Arrive(now time.Duration, r Request, order uint64) ArrivalResult {
	switch {
	case s.faults.Killed || s.collapsed:
		return Unreachable
	case s.faults.Hung: // it takes what comes, and nobody ever hears what became of it: it may have run
		if r.IdempotencyKey != "" {
			s.pod.claim(now, r.IdempotencyKey, s.name)
		}
		return Accepted
	case s.isOverloadedCold(now, r): // what is turned away pushes as well
		s.collapse()
		return Unreachable
	case s.faults.Draining, len(s.inExternalWait)+len(s.onCores) >= s.spec.Slots && len(s.waiting) >= s.spec.Queue:
		return Rejected
	}
	j := &job{Request: r, arrived: now, order: order, willFail: s.random.Float64() < s.faults.Errors}
	// The pod tells repeats when they come: one that waits long in a queue must not run because its key is forgotten by then.
	j.isDuplicate = r.IdempotencyKey != "" && !s.pod.claim(now, r.IdempotencyKey, s.name)
	if len(s.inExternalWait)+len(s.onCores) >= s.spec.Slots {
		s.waiting = append(s.waiting, j)
		return Accepted
	}
	s.startWork(j)
	return Accepted
}

// begin puts a request to work.
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

// overdriven counts what is sent to a cold server, and reports whether it was too much for too long.
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

// topple ends the server for good; what it held is lost.
func (s *Server) collapse() {
	s.collapsed = true
	s.dropAll()
}

func (s *Server) dropAll() {
	s.waiting, s.inExternalWait, s.onCores, s.recentArrivals, s.recentWork = nil, nil, nil, nil, 0
}

// ChangeFaults changes what is wrong with the server. What was due before is settled first and returned.
func (s *Server) ChangeFaults(now time.Duration, change func(*Faults)) (ended []Completion) {
	ended = s.Advance(now)
	change(&s.faults)
	if s.faults.Killed {
		s.dropAll()
	}
	return ended
}

// Faults is what is wrong with the server.
func (s *Server) Faults() Faults { return s.faults }

// Collapsed reports whether the server fell over.
func (s *Server) Collapsed() bool { return s.collapsed }

// Connect adds the work of a handshake, which delays all that run.
func (s *Server) Connect(now time.Duration) {
	if n := len(s.onCores); s.spec.Handshake > 0 && n > 0 {
		s.attained -= s.spec.Handshake.Seconds() / float64(n)
	}
}

// LoadReport is the load that the server shows at that time.
func (s *Server) LoadReport(now time.Duration) LoadReport {
	return s.meter.visibleReport(now, s.random)
}

// jobs is a heap of requests by their time, then by their order.
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

func fromSeconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }

// ceilSeconds rounds up, so that what is due then is done then.
func ceilSeconds(s float64) time.Duration { return time.Duration(math.Ceil(s * 1e9)) }
