// Package recovery decides how an agent comes back when the fleet has lost power: what of its knowledge from before it uses and
// for what, whom it tries first, and in which order service returns. It does no I/O and reads no clock: events go in with the
// time, on the agent's monotonic clock.
//
// The order: dark (no server is known), asking (servers are known from before, and the other agents are asked what they know), trying (first trials are out, spread over the agents), worthiest (the class that is worth most is let
// in), proving (the others follow as capacity is proven), full.
//
// Reason the sum over all agents pushes no cold server over, whoever hears whom. While the fleet is cold as a whole an agent lets in
// at most half of Overload * s / use of the rate at which it was served itself before, where s is the part of its capacity that a server
// has at least so long after its start, and use how busy servers were then. Of these rates the sum over all agents is what the
// fleet served before, use * C, so that the sum of all is at most half of what topples it; an agent
// that remembers no rate goes by the first tries that it is asked, which are within the same sum while clients ask as before. No
// word from others enters it: a fleet split in two parts has the same sum. Only own answers raise s: a report of what a server
// does at what use says what it can do now.
package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/admission"
)

// Phase is how far service has returned.
type Phase int

// The phases, in their order.
const (
	FullService Phase = iota // nothing is held back
	NoEndpoints
	PollingPeers
	TrialRequests
	TopPriority
	Ramping
)

var phases = [...]string{FullService: "full", NoEndpoints: "dark", PollingPeers: "asking", TrialRequests: "trying",
	TopPriority: "worthiest", Ramping: "proving"}

func (p Phase) String() string { return phases[p] }

// Class describes a class of requests.
type Class struct {
	Name             string
	Priority         float64
	LatencyObjective time.Duration // an answer after it comes late
	IsIdempotent     bool          // may be repeated at will
}

// Options are what a Recovery goes by.
type Options struct {
	Classes            []Class
	Agents             int // that there are, as far as is known
	Self               int // the number of this one
	ColdCapacityRatio  float64
	WarmupTime         time.Duration
	ColdOverloadFactor float64       // times what a cold server can do, which topples it; 0: none does
	MaxRetryAfter      time.Duration // the longest come-back time that clients heed; 0 where they are told none
	PeerPollTime       time.Duration // for which others are waited for; 0 where there is nobody to ask
	Seed               uint64
}

const (
	look       = 250 * time.Millisecond // between two looks at how it goes
	aimUse     = 0.8                    // use of the servers that is aimed at
	firstUse   = 0.55                   // and at first, while they have forgotten the keys that they met
	hardPart   = 0.5                    // of the multiple that topples a cold server, which it is sent at the most
	usualMost  = 3                      // that multiple, where none is stated
	useLeast   = 0.3                    // use from before that counts: what was learnt in a quiet hour says little of a busy one
	useUnknown = 0.7
	raiseBelow = 0.65 // reported use below which more is let in
	lowerAbove = 0.92 // and from which less is
	proofUse   = 0.1  // use from which a report tells what a server can do now
	raise      = 1.25
	lower      = 0.85
	lateMost   = 0.25                    // share of the answers that may be late or lost
	fresh      = 2 * time.Second         // for which a report says something
	steady     = 1500 * time.Millisecond // for which none was turned away, at the end of recovery
	coldFleet  = 0.6                     // part of the capacity that is cold, from which the fleet is cold as a whole
	othersTurn = 4                       // times as long waits who is not the one whose turn a server is
	tryAgain   = 250 * time.Millisecond  // after a trial in vain; it doubles
	tryMost    = 2 * time.Second
	together   = 2 * time.Second // within which servers count as back together
	sameLife   = time.Second     // after its first answer, that a start in the list is still the same
	brokenPart = 0.8             // of the servers, broken within breakTime, from which they are taken for dark
	breakTime  = time.Second
	burstTime  = 0.3 // seconds of the rate that may be saved up
	room       = 1.3 // times its usual rate, that a class may take before the next one gets anything
	topMost    = 3   // times their usual rate, that all may come to when they ask for more
)

// Controller is one agent's. It is not safe for concurrent use. It stands at the engine's door: in phase Full all pass to the door
// behind it, if there is one.
type Controller struct {
	set     Options
	rng     *rand.Rand
	order   []int    // classes, the worthiest for its time first
	behind  Admitter // nil: none
	servers map[string]*server
	habits  trafficProfile
	base    Baseline // what is gone by while not Full

	phase  Phase
	why    string
	since  time.Duration // of the phase
	began  time.Duration // of the recovery
	alive  []bool        // agents that are heard of, by number; none where nobody can be
	first  time.Duration // the first answer of this recovery; 0 without one
	anchor time.Duration // when the first server came back, as far as is known; 0: not

	gain       float64
	primed     bool   // the tokens are as they are at first
	vainBefore uint64 // trials in vain of earlier recoveries
	looked     time.Duration
	filled     time.Duration
	tokens     []float64 // by class
	inTime     int       // since the last look
	late       int
	refused    time.Duration // when one was turned away last
	found      []string      // that have answered, and others are not told of yet
	moved      []string      // whose start the module is to be told anew
	counts     Counts
}

// Admitter is who lets in behind a Recovery.
type Admitter interface {
	Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection)
	Done(now time.Duration, p *admission.Permit, end admission.Outcome)
	Counts() admission.Counts
}

// server is what is known of one.
type server struct {
	id       string
	hash     uint64
	cell     int
	ready    bool
	listed   bool          // named by the own list since the start
	started  time.Duration // as the list says; 0: long ago, or not known
	start    time.Duration // that counts: the list's, or else the first answer
	masked   bool          // the module is told of no start
	birth    time.Duration // since when it may have run without a break; see AllowsRetryIn
	answered time.Duration // the first answer of this recovery; 0: none
	asOf     time.Duration // of the last report
	rate     float64       // it does so many a second
	use      float64
	capacity float64 // usual, when warm; 0: not known
	vain     int     // trials in a row
	tryAt    time.Duration
	trial    bool
	broke    time.Duration // the last connection that broke, or could not be had
	word     time.Duration // others have said that it answers; 0: not
}

// Counts are what a Recovery has done since it was made.
type Counts struct {
	Recoveries   uint64
	Trials       uint64
	FailedTrials uint64   // trials in vain
	Rejected     []uint64 // by class
	Admitted     []uint64 // by class, while not full
}

// New returns a Recovery in phase Full that knows nothing. The door behind may be nil.
func New(o Options, behind Admitter) *Controller {
	r := &Controller{set: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), behind: behind, servers: map[string]*server{}, why: "start"}
	r.retune(o.Classes)
	return r
}

// Retune takes the classes as they are from now on; each keeps its number.
func (r *Controller) Retune(classes []admission.Class) {
	own := make([]Class, len(classes))
	for i, c := range classes {
		own[i] = Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, IsIdempotent: c.Idempotent}
		if i < len(r.set.Classes) {
			own[i].Name = r.set.Classes[i].Name
		}
	}
	r.retune(own)
	if d, ok := r.behind.(interface{ Retune([]admission.Class) }); ok {
		d.Retune(classes)
	}
}

func (r *Controller) retune(classes []Class) {
	r.set.Classes, r.order = classes, make([]int, len(classes))
	for i := range r.order {
		r.order[i] = i
	}
	slices.SortStableFunc(r.order, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	for len(r.tokens) < len(classes) {
		r.tokens = append(r.tokens, 0)
		r.counts.Rejected, r.counts.Admitted = append(r.counts.Rejected, 0), append(r.counts.Admitted, 0)
	}
	r.habits.classes(len(classes))
}

// Start starts a recovery with what is known from before. Of its servers no more is trusted than that they were there: whether
// they have started since is not known.
func (r *Controller) Start(now time.Duration, before Baseline, why string) {
	r.enter(now, before, why)
	for _, s := range before.Servers {
		own := r.server(s.ID)
		own.cell, own.ready, own.capacity, own.birth = s.Cell, s.Ready, s.Capacity, now
	}
	switch {
	case len(before.Servers) == 0:
		r.become(now, NoEndpoints, why)
	case r.set.PeerPollTime > 0:
		r.become(now, PollingPeers, why)
	default:
		r.become(now, TrialRequests, why)
	}
}

// enter begins a recovery, whatever phase it starts in.
func (r *Controller) enter(now time.Duration, before Baseline, why string) {
	r.base, r.began, r.first, r.anchor, r.gain, r.looked, r.filled, r.refused = before, now, 0, 0, 1, now, now, now
	r.inTime, r.late, r.vainBefore = 0, 0, r.counts.FailedTrials
	r.counts.Recoveries++
	r.why = why
	r.primed = false
	for _, s := range r.servers {
		s.answered, s.asOf, s.vain, s.tryAt, s.trial, s.word = 0, 0, 0, 0, false, 0
	}
}

func (r *Controller) become(now time.Duration, p Phase, why string) {
	if r.phase != p {
		r.phase, r.since = p, now
	}
	r.why = why
}

func (r *Controller) server(id string) *server {
	s := r.servers[id]
	if s == nil {
		s = &server{id: id, hash: xxhash.Sum64String(id)}
		r.servers[id] = s
	}
	return s
}

// Server is one of the list.
type Server struct {
	ID      string
	Cell    int
	Ready   bool
	Gone    bool
	Started time.Duration // 0 for long ago
}

// UpdateServer takes what the own list says of a server. heard is false of a list from before, which nobody has confirmed: where it
// names a start all the same, that is known otherwise.
func (r *Controller) UpdateServer(now time.Duration, l Server, heard bool) {
	if l.Gone {
		delete(r.servers, l.ID)
		return
	}
	s := r.server(l.ID)
	if s.cell, s.ready = l.Cell, l.Ready; !heard && l.Started == 0 {
		return
	}
	s.birth = max(s.birth, l.Started)
	if s.listed && s.started != l.Started || !s.listed && s.answered != 0 && l.Started > s.answered+sameLife { // it has started anew
		s.answered, s.asOf = 0, 0
	}
	s.listed, s.started = true, l.Started
	r.settle(s)
}

// ListApplied is called when a list, or a part of it, has been taken in. It may begin a recovery, or end one.
func (r *Controller) ListApplied(now time.Duration) {
	cold := r.coldPart(now) >= coldFleet
	if r.phase == FullService && cold { // those of which the last recovery knew are no news
		cold = r.newlyCold(now)
	}
	switch {
	case len(r.servers) == 0:
	case r.phase == FullService && cold && len(r.servers) > 1:
		r.enter(now, r.habits.before(r), "the list says that most servers have just started")
		r.become(now, TrialRequests, r.why)
		for _, s := range r.servers {
			if s.start != 0 && now-s.start < r.set.WarmupTime {
				s.start = 0
			}
			r.settle(s)
		}
	case r.phase == NoEndpoints && !cold:
		r.become(now, FullService, "the list says that servers are warm")
		for _, s := range r.servers {
			r.mask(s, false)
		}
	case r.phase == NoEndpoints:
		r.become(now, TrialRequests, "the list is there, and most servers have just started")
	}
}

// settle follows a change of what is known of a server's start. While the fleet is cold as a whole the module is told of none, for
// all that came back together: the door holds back for them as one, by worth, which the module would do server by server and by
// chance. A server that came back later than the others is cold beside them, and the module's.
func (r *Controller) settle(s *server) {
	start := s.answered
	if s.listed {
		start = s.started
	}
	was := s.start
	if start == was {
		return
	}
	if s.start = start; start == 0 {
		return
	}
	if r.phase != FullService && (r.anchor == 0 || start < r.anchor) {
		r.anchor = start
	}
	same := s.masked && was != 0 && start < was+sameLife
	r.mask(s, same || r.phase != FullService && start <= r.anchor+together)
}

func (r *Controller) mask(s *server, on bool) {
	if s.masked != on || !on {
		s.masked = on
		r.moved = append(r.moved, s.id)
	}
}

// EffectiveStart is the start that the module is to be told of a server.
func (r *Controller) EffectiveStart(id string, listed time.Duration) time.Duration {
	s := r.servers[id]
	switch {
	case s == nil:
		return listed
	case s.masked:
		return 0
	}
	return s.start
}

// TakeStartChanges returns the servers of whose start the module is to be told anew, since the last call.
func (r *Controller) TakeStartChanges() (ids []string) {
	if len(r.moved) == 0 {
		return nil
	}
	slices.Sort(r.moved)
	ids, r.moved = slices.Compact(r.moved), nil
	return ids
}

// coldPart is how much of the fleet's capacity belongs to servers that have just started, by the own list.
func (r *Controller) coldPart(now time.Duration) float64 {
	cold, all := 0.0, 0.0
	for _, s := range r.servers {
		if s.ready {
			all++
			if s.listed && s.started != 0 && now-s.started < r.set.WarmupTime {
				cold++
			}
		}
	}
	return cold / max(all, 1)
}

// newlyCold reports whether most servers have started since the last recovery.
func (r *Controller) newlyCold(now time.Duration) bool {
	fresh, all := 0.0, 0.0
	for _, s := range r.servers {
		if s.ready {
			all++
			if s.listed && !s.masked && s.started > r.began && now-s.started < r.set.WarmupTime {
				fresh++
			}
		}
	}
	return fresh >= coldFleet*all
}

// RespondingServers takes what others say: that a server answers. It only says whom to try next; it is no proof.
func (r *Controller) PeerReportsResponding(now time.Duration, id string) {
	if s := r.servers[id]; s != nil && s.answered == 0 && s.word < r.began {
		s.word, s.tryAt = now, min(s.tryAt, now+time.Duration(r.rng.Int64N(int64(tryAgain))))
	}
}

// SetLiveAgents takes which agents live as far as is known, by number.
func (r *Controller) SetLiveAgents(alive []bool) { r.alive = alive }

// TakeResponding returns the servers that have answered for the first time since the recovery began, since the last call.
func (r *Controller) TakeResponding() (ids []string) {
	ids, r.found = r.found, nil
	return ids
}

// Arrive is of Door.
func (r *Controller) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	r.habits.asked(now, a)
	if r.Tick(now); r.phase == FullService {
		if r.behind != nil {
			return r.behind.Arrive(now, a)
		}
		return admission.NewPermit(now, a, admission.IssuedByRecovery), admission.Rejection{}
	}
	p := admission.NewPermit(now, a, admission.IssuedByRecovery)
	switch r.phase {
	case NoEndpoints, PollingPeers:
		if !a.MayHaveRun {
			return nil, r.turnAway(now, a)
		}
	case TrialRequests:
		id, ok := r.trial(now, a)
		if !ok && !a.MayHaveRun {
			return nil, r.turnAway(now, a)
		}
		if ok && !a.MayHaveRun {
			p.Endpoints = []string{id}
		}
	default:
		if !r.take(now, a) && !a.MayHaveRun {
			return nil, r.turnAway(now, a)
		}
	}
	r.counts.Admitted[a.Class]++
	return p, admission.Rejection{}
}

// Done is of Door.
func (r *Controller) Done(now time.Duration, p *admission.Permit, end admission.Outcome) {
	class, took, by := p.Completion(now)
	if by != admission.IssuedByRecovery {
		if r.behind != nil {
			r.behind.Done(now, p, end)
		}
		return
	}
	if end == admission.OutcomeServed && took <= r.set.Classes[class].LatencyObjective {
		r.inTime++
	} else if end == admission.OutcomeServed || end == admission.OutcomeFailed {
		r.late++
	}
}

// Counts is of Door.
func (r *Controller) Counts() admission.Counts {
	if r.behind != nil {
		return r.behind.Counts()
	}
	return admission.Counts{}
}

// take takes one token for a request, of its class or of one that is worth less. An agent with few requests has seldom a whole
// token when one comes, and many such agents must be fair together: a token that is not there yet is lent by chance, the rarer the
// more is owed.
func (r *Controller) take(now time.Duration, a admission.Request) bool {
	r.fill(now)
	at := slices.Index(r.order, a.Class)
	for _, class := range r.order[at:] {
		if r.tokens[class] >= 1 {
			r.tokens[class]--
			return true
		}
	}
	lent := r.lent(a.Class)
	if r.rng.Float64() >= (r.tokens[a.Class]+lent)/(1+lent) {
		return false
	}
	r.tokens[a.Class]--
	return true
}

// lent is how many tokens of a class may be owed.
func (r *Controller) lent(class int) float64 { return 1 + r.base.usual(class)*burstTime }

// fill hands out what has become free since: to the worthiest class first, and what it has no use for to the next. At first each
// class has what it would have come to in the long run, so that all agents together begin evenly.
func (r *Controller) fill(now time.Duration) {
	seconds := (now - r.filled).Seconds()
	r.filled = now
	rate := r.rate(now)
	if !r.primed {
		r.primed = true
		left := rate
		for _, class := range r.order {
			usual := max(r.base.usual(class), math.SmallestNonzeroFloat64)
			part := min(1, left/usual)
			left -= part * usual
			r.tokens[class] = part*(1+r.lent(class)) - r.lent(class)
		}
	}
	free := rate * seconds
	for i, class := range r.order {
		usual := r.base.usual(class)
		part := free
		if i < len(r.order)-1 {
			part = min(free, usual*room*seconds)
		}
		put := min(part, max(0, 1+usual*burstTime-r.tokens[class]))
		r.tokens[class] += put
		free -= put
	}
}

// rate is how many requests a second may be let in now.
func (r *Controller) rate(now time.Duration) float64 {
	s, proven := r.warmth(now)
	use := r.base.Utilization
	if use == 0 {
		use = useUnknown
	}
	use = max(use, useLeast)
	base := r.base.TotalRate()
	if base == 0 {
		base = r.habits.askedRate(now)
	}
	s = max(s, proven)
	topples := r.set.ColdOverloadFactor
	if topples <= 0 {
		topples = usualMost
	}
	most := s * hardPart * topples / use
	aim := firstUse
	if r.first != 0 {
		aim += (aimUse - firstUse) * min(1, float64(now-r.first)/float64(r.set.WarmupTime))
	}
	return base * min(topMost, most, r.gain*s*aim/use)
}

// warmth is the part of the fleet's capacity that there is at least, by the time since the servers' start, and by what those that
// have reported of late can do at present. A server whose usual capacity is not known counts as one of the mean.
func (r *Controller) warmth(now time.Duration) (least, proven float64) {
	mean, known := 0.0, 0.0
	for _, s := range r.servers {
		if s.ready && s.capacity > 0 {
			mean, known = mean+s.capacity, known+1
		}
	}
	if mean /= max(known, 1); mean == 0 {
		mean = 1
	}
	var all, have, told, shown float64
	for _, s := range r.servers {
		if !s.ready {
			continue
		}
		c := s.capacity
		if c == 0 {
			c = mean
		}
		all += c
		have += c * r.coldShare(now, s)
		if s.asOf != 0 && now-s.asOf < fresh && known > 0 && s.use > proofUse {
			told += c
			shown += min(c, s.rate/s.use)
		}
	}
	if told > 0 {
		proven = 0.9 * shown / told
	}
	return have / max(all, math.SmallestNonzeroFloat64), proven
}

// coldShare is the part of its capacity that a server has at least. One that nobody has tried is taken to have come back with the
// first, and one that has been tried in vain to be away.
func (r *Controller) coldShare(now time.Duration, s *server) float64 {
	since := s.answered
	switch {
	case s.listed && s.started == 0:
		return 1
	case s.listed:
		since = s.started
	case since == 0 && s.broke >= r.began:
		return 0
	case since == 0 && r.anchor != 0:
		since = r.anchor
	case since == 0:
		since = now
	}
	if age := now - since; age < r.set.WarmupTime {
		return r.set.ColdCapacityRatio + (1-r.set.ColdCapacityRatio)*max(0, float64(age)/float64(r.set.WarmupTime))
	}
	return 1
}

// trial chooses a server that the request may find out about: as long as none has been tried in vain any request may, within the
// safe rate; then one that may be repeated, at a server whose turn it is, as one that must not run twice would only get lost at a
// server that hangs.
func (r *Controller) trial(now time.Duration, a admission.Request) (id string, ok bool) {
	if vain := r.counts.FailedTrials > r.vainBefore; vain && !r.set.Classes[a.Class].IsIdempotent && r.anySafe() {
		return "", false
	}
	var best *server
	for _, s := range r.servers {
		if !s.ready || now < s.tryAt {
			continue
		}
		if s.trial { // nothing was heard of the last one: it hangs, or the request found no way there
			s.trial = false
			s.vain++
			r.counts.FailedTrials++
		}
		if best == nil || s.vain < best.vain || s.vain == best.vain && r.mark(s, r.set.Self) > r.mark(best, r.set.Self) {
			best = s
		}
	}
	if best == nil || best.vain == 0 && !r.take(now, a) {
		return "", false
	}
	best.trial = true
	wait := min(tryMost, tryAgain<<min(best.vain, 8))
	if !r.mine(best) {
		wait *= othersTurn
	}
	best.tryAt = now + wait/2 + time.Duration(r.rng.Int64N(int64(wait)))
	r.counts.Trials++
	return best.id, true
}

func (r *Controller) anySafe() bool {
	return slices.ContainsFunc(r.set.Classes, func(c Class) bool { return c.IsIdempotent })
}

// mine reports whether a server's trials fall to this agent: by rendezvous over the agents that live, or over all where no word is
// heard (D. Thaler and C. Ravishankar, 1998).
func (r *Controller) mine(s *server) bool {
	own := r.mark(s, r.set.Self)
	for i := range r.set.Agents {
		if i != r.set.Self && r.lives(i) && r.mark(s, i) > own {
			return false
		}
	}
	return true
}

// lives reports whether an agent may take its turns. Where few are heard of, word may be missing and not the agents: all count.
func (r *Controller) lives(agent int) bool {
	heard := 0
	for _, is := range r.alive {
		if is {
			heard++
		}
	}
	return heard < 2 || agent < len(r.alive) && r.alive[agent]
}

// mark is what an agent bids for a server.
func (r *Controller) mark(s *server, agent int) uint64 {
	x := s.hash ^ uint64(agent+1)*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}

// turnAway refuses a request, and says when service is likely there.
func (r *Controller) turnAway(now time.Duration, a admission.Request) admission.Rejection {
	r.counts.Rejected[a.Class]++
	r.refused = now
	most := float64(r.set.MaxRetryAfter)
	return admission.Rejection{RetryAfter: time.Duration(most * (0.4 + 0.6*r.rng.Float64()))}
}

// ObserveAttempt takes how an attempt ended: whether it shows that the server's process answers, that a connection broke or could not
// be had, and its report, where Use is below 0 without one.
func (r *Controller) ObserveAttempt(now time.Duration, id string, answered, broke bool, rate, use float64) {
	s := r.servers[id]
	if s == nil {
		return
	}
	if use >= 0 && rate >= 0 {
		s.asOf, s.rate, s.use = now, rate, use
	}
	if r.phase == FullService {
		r.habits.reported(now, s)
		if broke {
			s.broke, s.birth = now, now
			r.darkened(now)
		}
		return
	}
	if s.trial {
		s.trial = false
		if !answered {
			s.vain++
			r.counts.FailedTrials++
		}
	}
	if broke {
		s.broke, s.birth, s.answered = now, now, 0
		r.settle(s)
	}
	if answered {
		if s.vain = 0; s.answered == 0 {
			s.answered = now
			r.found = append(r.found, s.id)
		}
		if r.first == 0 {
			r.first = now
		}
		r.settle(s)
	}
}

// AllowsRetryIn reports whether a pod may still remember a request that was sent to it then: whether any of its servers may have run
// without a break since. Where all have started anew, have broken off or had lost their power, nobody is left who would drop the
// repeat. A server says of itself that it ran on only by a connection from before; see the engine.
func (r *Controller) AllowsRetryIn(cell int, since time.Duration) bool {
	for _, s := range r.servers {
		if s.cell == cell && s.birth <= since {
			return true
		}
	}
	return false
}

// darkened looks whether nearly all servers broke within a moment: they have lost power, or the agent is cut off.
func (r *Controller) darkened(now time.Duration) {
	broken, all := 0.0, 0.0
	for _, s := range r.servers {
		if s.ready {
			all++
			if s.broke != 0 && now-s.broke < breakTime {
				broken++
			}
		}
	}
	if all < 2 || broken < brokenPart*all {
		return
	}
	r.enter(now, r.habits.before(r), "nearly all servers broke off within a second")
	for _, s := range r.servers { // what the list said is of before; whether they start anew it says later
		s.listed, s.start = false, 0
	}
	r.become(now, TrialRequests, r.why)
}

// Tick does what is due.
func (r *Controller) Tick(now time.Duration) {
	if r.phase == FullService {
		r.habits.look(now)
		return
	}
	switch r.phase {
	case PollingPeers:
		if now-r.since >= r.set.PeerPollTime {
			r.become(now, TrialRequests, r.why)
		}
	case TrialRequests:
		if r.first != 0 {
			r.filled, r.looked = now, now
			r.become(now, TopPriority, "a server has answered")
		}
	}
	if now-r.looked < look {
		return
	}
	r.looked = now
	if r.phase < TopPriority {
		return
	}
	r.adjust(now)
	s, _ := r.warmth(now)
	top := r.base.usual(r.order[0])
	switch {
	case now-r.refused > steady && (s > 0.9 || r.gain > 1):
		r.become(now, FullService, "all that is asked is let in")
	case s > 0.99: // what is too much for a warm fleet is the module's to refuse
		r.become(now, FullService, "all servers are warm")
	case r.rate(now) > top*room:
		r.become(now, Ramping, "the worthiest class has what it asks")
	default:
		r.become(now, TopPriority, "servers have less than the worthiest class asks")
	}
}

// adjust lets more in where servers report that they have room, and less where answers are late.
func (r *Controller) adjust(now time.Duration) {
	use, told := 0.0, 0.0
	for _, s := range r.servers {
		if s.asOf != 0 && now-s.asOf < fresh/2 && s.ready {
			use, told = use+s.use, told+1
		}
	}
	ended := r.inTime + r.late
	switch {
	case ended >= 4 && float64(r.late) > lateMost*float64(ended):
		r.gain *= lower
	case told > 0 && use/told > lowerAbove:
		r.gain *= lower
	case told > 0 && use/told < raiseBelow:
		r.gain *= raise
	}
	r.gain = min(max(r.gain, 0.3), 20)
	r.inTime, r.late = 0, 0
}

// Status is how a recovery stands.
type Status struct {
	Phase             Phase
	Reason            string
	Since             time.Duration // of the phase
	AdmissionRate     float64       // requests a second that are let in; 0 where all are
	WarmCapacityRatio float64       // part of the fleet's capacity that there is at least
	Servers           int           // known
	RespondingServers int           // of which have answered in this recovery
	Counts            Counts
}

// Status returns it.
func (r *Controller) Status(now time.Duration) Status {
	st := Status{Phase: r.phase, Reason: r.why, Since: r.since, Servers: len(r.servers), Counts: r.counts}
	st.Counts.Rejected, st.Counts.Admitted = slices.Clone(r.counts.Rejected), slices.Clone(r.counts.Admitted)
	for _, s := range r.servers {
		if s.answered != 0 {
			st.RespondingServers++
		}
	}
	st.WarmCapacityRatio = 1
	if r.phase != FullService {
		st.AdmissionRate = r.rate(now)
		st.WarmCapacityRatio, _ = r.warmth(now)
	}
	return st
}
