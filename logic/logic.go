package logic

// The interface of this module, its settings, events and actions, is in api.go.

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The module's own constants. All are shares, counts or multiples; times come from the settings.
const (
	draws       = 16   // servers drawn for a request, the paper's d
	tie         = 0.01 // loads so near each other, relatively, count as equal
	nearTimes   = 60   // an idle server in the own zone counts as larger by this times the price of crossing
	warmTimes   = 2    // a server that is home to a request's key counts as larger by it
	coldPart    = 0.5  // a cold server's part of all sends, in the multiple of its capacity that topples it
	subsetLeast = 6    // servers that a balancer spreads its requests over, at least
	subsetFull  = 2    // own attempts in flight for each server of the subset, from which it grows
	coverLeast  = 20   // balancers that have the same server in their subset, at least
	utilFloor   = 0.05 // less use than this says nothing of capacity
	learn       = 0.05 // weight of a new sample in the averages that are kept by count
	missedMost  = 16   // answers that a server may owe, by the usual time to one, before it is ejected
	failWeight  = 0.3  // weight of a new sample in a server's share of failures
	failEject   = 0.6  // ejected above it: three failures in a row, from nothing
	mostWaits   = 4    // doublings of the wait before the list is asked again
	healthyPart = 0.5  // ejections count while this share of the capacity is not ejected
	retryShare  = 0.2  // further attempts as a share of first ones
	retrySaved  = 10   // most further attempts saved up
	copyAfter   = 2.5  // times the usual time to an answer, after which a second copy may go out
	copyTo      = 0.65 // reported use of the servers up to which it may
	shedFrom    = 0.4  // mean time taken over aim from which work of mean worth is refused
	shedSlope   = 6    // rise of the share refused with that mean
	busyFrom    = 0.75 // reported use from which late answers are taken for a sign of a jam
	busyFull    = 0.95 // and from which they are one for certain
	idleTo      = 0.5  // reported use up to which what is in flight for long is stuck, not in a jam
	fewAsked    = 20   // requests before which a balancer's own count says little of a tenant's share
	lateWeight  = 0.1  // weight of a new sample in the mean time taken over aim
	shareTime   = 8    // horizons over which own sends are counted
	ticks       = 8    // looks at health and backlog in a horizon
	reportTime  = 4    // horizons over which reports are averaged
)

// Tokens of the timers that belong to no request.
const (
	tickToken uint64 = iota
	subscribeToken
	firstToken
)

// New returns a Balancer. Its random numbers follow from the seed alone.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*server{},
		requests: map[string]*request{}, timers: map[uint64]*request{}, token: firstToken,
		asked: make([]float64, len(set.Shares)), budget: retrySaved, trialBy: Unsafe}
	for _, c := range set.Classes {
		b.usual = append(b.usual, float64(c.Aim)/4)
		b.horizon = max(b.horizon, c.Aim)
		b.trialBy = min(b.trialBy, c.Effect)
	}
	return b, nil
}

// Start returns what a new Balancer wants done before its first event.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.timer(tickToken, b.horizon/ticks)
	if b.set.Subscribe {
		b.act(Action{Kind: Subscribe})
	}
	return b.actions
}

func (b *Balancer) fired(token uint64) {
	switch token {
	case tickToken:
		b.timer(tickToken, b.horizon/ticks)
		b.checkHealth()
		b.setShed()
		b.copyLate()
	case subscribeToken:
		b.asking = false
		b.act(Action{Kind: Subscribe})
	default:
		if r := b.timers[token]; r != nil {
			delete(b.timers, token)
			b.finish(r)
		}
	}
}

// Membership.

// list takes the list or a change of it. Every change counts from the same event on.
func (b *Balancer) list(l ServerList) {
	b.tries = 0
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		named[e.ID] = true
		s := b.byID[e.ID]
		if s == nil {
			s = &server{heard: b.now, rank: hash(strconv.Itoa(b.set.Me) + " " + e.ID)}
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
		} else if e.Started != s.Started {
			// A restarted process is cold and well: what an earlier life showed says nothing of it.
			*s = server{inFlight: s.inFlight, heard: b.now, rank: s.rank}
		}
		s.Server = e
		if !b.set.ListWeights || e.Weight <= 0 {
			s.Weight = 1
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		gone := s.State == Gone || l.Full && !named[s.ID]
		if gone {
			s.State = Gone // attempts in flight still hold it
			delete(b.byID, s.ID)
		}
		return gone
	})
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	b.subset = max(subsetLeast, int(coverLeast*float64(len(b.servers))/float64(b.set.Balancers)))
}

// resubscribe asks again, later each time and at random: all that lost the list together must not swamp it.
func (b *Balancer) resubscribe() {
	if !b.set.Subscribe || b.asking {
		return
	}
	b.asking = true // one timer is enough, however many calls have failed
	wait := float64(b.horizon) * math.Exp2(float64(min(b.tries, mostWaits))) * (0.5 + b.rng.Float64()) / 2
	if b.tries++; b.set.MustAskIn > 0 { // who does not ask for longer is held to know what was listed
		wait = min(wait, float64(b.set.MustAskIn)/2)
	}
	b.timer(subscribeToken, time.Duration(wait))
}

// Capacity estimate.

// report takes a server's word on its load: its rate over its utilisation is what it could do at most.
func (b *Balancer) report(s *server, r Report) {
	if r.Util < 0 || r.Rate < 0 || s.coldShare(b) < 1 {
		return
	}
	b.reports = true
	keep := math.Exp(-float64(b.now-s.reported) / (reportTime * float64(b.horizon)))
	if s.reported == 0 {
		keep = 0
	}
	s.reported, s.busy = b.now, r.Util
	s.done = keep*s.done + (1-keep)*r.Rate
	s.util = keep*s.util + (1-keep)*r.Util
	if s.util > utilFloor {
		s.rate, s.trust = s.done/s.util, 1
	}
}

// ownRate is the estimate where no server reports: by Little's law the own served rate over the own mean in
// flight is one over the mean time to an answer.
func (b *Balancer) ownRate(s *server, took time.Duration) {
	if b.reports || took <= 0 {
		return
	}
	b.mute = true
	if s.took == 0 {
		s.took = took.Seconds()
	}
	s.took += learn * (took.Seconds() - s.took)
	s.rate, s.trust = 1/s.took, 1
}

// weigh sets every server's weight for a request: its capacity at present. The older the last report, the
// more the mean of the others counts, for the server's size in the list: else one that once looked slow would
// get nothing to show better with, and stand idle.
func (b *Balancer) weigh() {
	rate, size := 0.0, 0.0
	for _, s := range b.servers {
		rate, size = rate+s.rate*s.trust, size+s.Weight*s.trust
	}
	mean := 1.0
	if size > 0 {
		mean = rate / size
	}
	b.whole, b.total, b.well = 0, 0, 0
	for _, s := range b.servers {
		usual, warm := mean*s.Weight, s.coldShare(b)
		s.capacity = usual + (s.rate-usual)*s.trust
		s.weight = s.capacity * warm * (1 - s.failing)
		if s.State != Ready {
			continue
		}
		b.whole += s.capacity
		b.total += s.weight
		if s.until == 0 {
			b.well += s.weight
		}
		if s.Zone == b.set.Zone && warm == 1 {
			s.weight *= 1 + nearTimes*b.set.CrossZonePrice*max(0, 1-s.util)
		}
	}
}

// Draw and pick.

// pick chooses a server by Algorithm 1 of "Balls into non-uniform bins": draw servers with probability
// capacity over total, take the lowest load after the request, then the largest capacity, then any.
func (b *Balancer) pick(r *request) *server {
	b.weigh()
	if s := b.trial(r); s != nil {
		s.trial, s.heard = true, b.now
		return s
	}
	ok, total, cold := b.candidates(r)
	if len(ok) == 0 {
		return cold
	}
	var drawn [draws]*server
	for i := range drawn {
		drawn[i] = draw(ok, b.rng.Float64()*total)
	}
	if cold != nil {
		drawn[0] = cold
	} else if b.set.WarmKeys && r.Key != "" {
		drawn[0] = home(ok, r.Key)
		drawn[0].weight *= warmTimes
	}
	lowest := math.Inf(1)
	for _, s := range drawn {
		lowest = min(lowest, s.load())
	}
	var best *server
	ties := 0
	for _, s := range drawn {
		switch {
		case s.load() > lowest*(1+tie) || best != nil && s.weight < best.weight:
			continue
		case best == nil || s.weight > best.weight:
			best, ties = s, 1
		default:
			if ties++; b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func draw(from []*server, x float64) *server {
	for _, s := range from {
		if x -= s.weight; x < 0 {
			return s
		}
	}
	return from[len(from)-1]
}

// home draws as draw does, but by the key in place of chance (weighted rendezvous hashing): all balancers
// send a key to the same server, which then knows it, and few keys move when capacities change.
func home(from []*server, key string) (best *server) {
	lowest := math.Inf(1)
	for _, s := range from {
		u := rand.New(rand.NewPCG(hash(key+s.ID), 0)).ExpFloat64()
		if x := u / s.weight; x < lowest || best == nil {
			best, lowest = s, x
		}
	}
	return best
}

func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// load is what the server would bear for its capacity with one request more.
func (s *server) load() float64 { return float64(len(s.inFlight)+1) / s.weight }

// candidates lists the warm servers that may get the request, and their total weight: those that are well and
// were not tried yet, or else any that the rules allow. A cold server comes in only as the first draw may, by
// its weight at present in the warm capacity of all: in a jam its own counts are the lowest of all and it
// would draw everything, and after a release of many servers the warm ones are too few to share with.
func (b *Balancer) candidates(r *request) (ok []*server, total float64, cold *server) {
	drawn := b.rng.Float64() * b.whole / max(1, b.set.Overload*coldPart)
	for _, strict := range []bool{true, false} {
		x, n := drawn, 0
		for _, s := range b.servers {
			if n >= max(b.subset, b.crowd) {
				break
			}
			if !b.maySend(r, s) || strict && (b.ejected(s) || r.tried(s)) {
				continue
			}
			n++
			if s.coldShare(b) == 1 {
				ok, total = append(ok, s), total+s.weight
			} else if x -= s.weight; x < 0 && cold == nil {
				cold = s
			}
		}
		if len(ok) > 0 || cold != nil {
			break
		}
	}
	return ok, total, cold
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// Health: outlier ejection and readmission.

// ejected reports whether the server is kept out as ill. When most of the capacity seems ill, the
// suspicion is: in a jam all servers are late, and none is kept out for it.
func (b *Balancer) ejected(s *server) bool {
	return s.until > 0 && b.well >= healthyPart*b.total
}

// judge learns from an outcome how the server does. Errors and rejections come fast and make a server look
// idle, so they lower its weight; only answers count as rate.
func (b *Balancer) judge(a *attempt, o Outcome) {
	s, bad := a.srv, 0.0
	switch o.Result {
	case OK:
		b.usual[a.req.Class] += learn * (float64(o.Took) - b.usual[a.req.Class])
		s.heard = b.now
		b.ownRate(s, o.Took)
		b.lateness(float64(o.Took) / float64(a.req.class.Aim))
	case TimedOut:
		if s.heard > a.sent && s.until == 0 {
			b.lateness(1)
			return // it answers others: the request is costly or the server in a jam, not ill
		}
		bad = 1
	case Failed, Rejected, ConnectFailed, Reset:
		if o.Result == Rejected {
			b.lateness(1)
		}
		bad = 1
	default:
		s.trial = false
		return
	}
	s.failing += failWeight * (bad - s.failing)
	switch {
	case s.until > 0 && bad == 0 && (s.trial || s.failing < failEject):
		s.until, s.trial, s.failing = 0, false, 0
	case s.until == 0 && s.failing > failEject, s.trial:
		b.eject(s)
	}
}

// eject keeps a server out of the draws for a horizon; then one request to spare tries it.
func (b *Balancer) eject(s *server) { s.until, s.trial = b.now+b.horizon, false }

// missed is how many answers the server would have given, at the usual pace, since it gave the last one.
// Waiting is counted over all that is in flight: one late answer is a costly request, many are a silent
// server.
func (b *Balancer) missed(s *server) (n float64) {
	for _, a := range s.inFlight {
		n += float64(b.now-max(a.sent, s.heard)) / b.usual[a.req.Class]
	}
	return n
}

// checkHealth looks for servers that take requests and answer none, for longer than is usual.
func (b *Balancer) checkHealth() {
	for _, s := range b.servers {
		if (s.until == 0 || s.trial) && b.missed(s) > missedMost {
			b.eject(s)
		}
		s.trust *= math.Exp(-1.0 / ticks / reportTime)
	}
}

// trial returns an ejected server that is due to be tried, if the request is one to risk.
func (b *Balancer) trial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Effect != b.trialBy {
		return nil
	}
	for _, s := range b.servers {
		if s.until > 0 && b.now >= s.until && !s.trial && s.coldShare(b) == 1 && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// Slow start.

// coldShare is the part of its capacity that a server has at least, so long after its start.
func (s *server) coldShare(b *Balancer) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.set.ColdFor {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.ColdFor))
}

// Attempts.

// maySend is the one place that says what may be sent where; every send passes it.
func (b *Balancer) maySend(r *request, s *server) bool {
	if r.closed || b.now >= r.Deadline || s.State != Ready || len(r.attempts) >= b.set.MaxAttempts ||
		r.out > 1 || r.out == 1 && (r.OnDemand || !b.set.ParallelCopies) ||
		!r.among(s) {
		return false
	}
	first := r.mayHaveRun()
	if first == nil {
		return true
	}
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed:
		if b.now+b.set.Tick-first.sent >= r.class.Window {
			return false
		}
		switch r.class.Group {
		case GroupZone:
			return s.Zone == first.zone
		case GroupCell:
			return s.Cell == first.cell
		}
		return true
	}
	return false
}

// among reports whether the server is one of those that the request is to be sent to.
func (r *request) among(s *server) bool {
	if r.Among == nil {
		return true
	}
	_, found := slices.BinarySearch(r.Among, s.ID)
	return found
}

// mayHaveRun is the first attempt that is not known to have had no effect.
func (r *request) mayHaveRun() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// mayRefuse reports whether the client may be told that trying again does no harm.
func (r *request) mayRefuse() bool {
	return r.mayHaveRun() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll
}

// try sends the request to the best server, or ends it when there is none.
func (b *Balancer) try(r *request) {
	s := b.pick(r)
	if s == nil {
		b.finish(r)
		return
	}
	b.send(r, s)
}

func (b *Balancer) send(r *request, s *server) {
	if len(s.inFlight) == 0 {
		s.heard, s.asked = b.now, b.now
	}
	a := &attempt{req: r, srv: s, zone: s.Zone, cell: s.Cell, sent: b.now, out: true}
	r.attempts = append(r.attempts, a)
	r.out++
	s.inFlight = append(s.inFlight, a)
	b.sent++
	b.act(Action{Kind: Send, Request: r.ID, Server: s.ID})
}

// copyLate sends a second copy of requests whose answer is late: it may never come, where a connection fell
// silent or a server hangs, and by the deadline nothing is gained any more. A part of the budget is kept for
// repeats of what has failed, and none is sent where servers are busy: all is late there, and copies make it
// worse.
func (b *Balancer) copyLate() {
	if b.shed > 0 || b.busy > copyTo {
		return
	}
	var late []*request
	for _, s := range b.servers {
		for _, a := range s.inFlight {
			if b.now-a.sent > time.Duration(copyAfter*b.usual[a.req.Class]) && a.req.out == 1 {
				late = append(late, a.req)
			}
		}
	}
	for _, r := range late {
		if b.budget < retrySaved/2 {
			return
		}
		if s := b.pick(r); s != nil && !r.tried(s) {
			b.budget--
			b.send(r, s)
		}
	}
}

func (b *Balancer) outcome(o Outcome) {
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := r.attempts[o.Attempt]
	a.out, a.neverRan = false, o.Result.neverRan()
	r.out--
	a.srv.inFlight = slices.DeleteFunc(a.srv.inFlight, func(other *attempt) bool { return other == a })
	b.report(a.srv, o.Report)
	b.judge(a, o)
	switch {
	case r.closed || o.Closed:
		b.close(r)
	case r.out > 0: // the other copy goes on
	case r.OnDemand: // whoever carries it asks, if it wants another attempt
	default:
		b.again(r)
	}
}

// again makes a further attempt, as far as the budget for them goes.
func (b *Balancer) again(r *request) {
	if b.budget < 1 {
		b.finish(r)
		return
	}
	b.budget--
	b.try(r)
}

func (b *Balancer) retry(e Retry) {
	if r := b.requests[e.Request]; r != nil && r.OnDemand && r.out == 0 && !r.closed {
		r.Among = e.Among
		b.again(r)
	}
}

// Admission.

func (b *Balancer) request(e Request) {
	if e.Class < 0 || e.Class >= len(b.set.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.set.Classes[e.Class]}
	b.requests[e.ID] = r
	b.budget = min(b.budget+retryShare, retrySaved)
	b.token++
	r.token, b.timers[b.token] = b.token, r
	b.timer(b.token, r.Deadline-b.now)
	// In a jam all cheap work may be refused, but an idle server must not wait for its trial till the end.
	if b.refused(b.worthOf(r)) && b.trial(r) == nil {
		b.finish(r)
	} else {
		b.try(r)
	}
}

// setShed sets the shed level by the mean of time taken over aim. What answers say of it counts as far as
// servers report that they are busy: else one slow server, or chance at a quiet balancer, passes for a jam.
// By Little's law the mean is also what is in flight, each by one over its aim, over the rate of sends: there
// a jam shows sooner, but the few in flight at a quiet balancer bunch by chance and count for less. Where
// servers report little use, what stays in flight hangs somewhere: refusing others would not help it, and as
// sends fall with each refusal the same few in flight would seem an ever worse jam.
func (b *Balancer) setShed() {
	b.weigh() // who is ejected has just changed
	var wait, busy, known, out float64
	silence := 1.0
	for _, s := range b.servers {
		if b.ejected(s) {
			continue
		}
		faith := b.faith(s)
		silence = min(silence, faith)
		if s.reported > 0 {
			busy, known = busy+(1-faith*(1-s.busy))*s.capacity, known+s.capacity
		}
		for _, a := range s.inFlight {
			if b.now-a.sent <= a.req.class.Aim { // one out for longer hangs, or late answers tell of it
				wait, out = wait+1/a.req.class.Aim.Seconds(), out+1
			}
		}
	}
	b.crowd = int(out / subsetFull) // a busy caller must not crowd its few servers
	keep := math.Exp(-1.0 / ticks / shareTime)
	b.sent, b.span, b.late = keep*b.sent, keep*b.span+b.horizon.Seconds()/ticks, keep*b.late
	b.askedAll *= keep
	for i := range b.asked {
		b.asked[i] *= keep
	}
	little := wait * b.span / (b.sent + 1) * (1 - 1/math.Sqrt(max(out, 1)))
	if known == 0 && b.mute {
		busy, known = 1, 1
	} else if known == 0 { // no answer has come yet that could have said something
		busy, known = 1-silence, 1
	}
	busy /= known
	b.busy = busy
	part := min(1, max(0, (busy-busyFrom)/(busyFull-busyFrom)))
	jam := min(1, max(0, (busy-idleTo)/(busyFrom-idleTo)))
	b.shed = shedSlope * max(0, part*(b.late-shedFrom), jam*(little-shedFrom))
}

// faith is what the server's latest report still says, from 1 to 0. In a jam none come: it fades while
// answers are waited for. A balancer that asked nothing is told nothing, which says nothing of the servers.
func (b *Balancer) faith(s *server) float64 {
	if len(s.inFlight) == 0 {
		return 1
	}
	silent := float64(b.now - max(s.reported, s.asked))
	return math.Exp(-silent / (reportTime * float64(b.horizon)))
}

// lateness takes a sample of time taken over aim.
func (b *Balancer) lateness(x float64) { b.late += lateWeight * (min(x, 1) - b.late) }

// refused draws whether a request of that worth gives way. What is worth little for its time goes first, by
// the square, so that the valuable is served in time, and refusing early costs no server anything.
func (b *Balancer) refused(worth float64) bool {
	if b.worth == 0 {
		b.worth = worth
	}
	b.worth += learn * (worth - b.worth)
	part := b.worth / worth
	return b.rng.Float64() < b.shed*part*part
}

// worthOf is what the request is worth for the time that it usually takes, less as far as its tenant asks for
// more than its share of late: long work must not crowd out short, nor a tenant that sends several times its
// share those within theirs. Each balancer goes by its own requests; until it has seen some, all are within.
func (b *Balancer) worthOf(r *request) float64 {
	worth := r.class.Worth / b.usual[r.Class]
	if r.Tenant < 0 || r.Tenant >= len(b.asked) {
		return worth
	}
	b.asked[r.Tenant]++
	b.askedAll++
	share := b.set.Shares[r.Tenant]
	inside := min(1, share*(b.askedAll+fewAsked)/(b.asked[r.Tenant]+fewAsked*share))
	return worth * (inside + (1-inside)*b.set.OverShareWorth)
}

// Deadlines.

// finish ends a request that was not served. A refusal is a promise, so it is a failure where that is not
// known to hold.
func (b *Balancer) finish(r *request) {
	if r.closed {
		return
	}
	kind := Fail
	if r.mayRefuse() {
		kind = Refuse
	}
	b.act(Action{Kind: kind, Request: r.ID, After: min(b.set.MaxRetryAfter, r.class.Aim/2)})
	b.close(r)
}

// close marks the request as ended; it is kept while attempts are in flight.
func (b *Balancer) close(r *request) {
	r.closed = true
	delete(b.timers, r.token) // it would hold the request until its deadline
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}
