package balancer

// The interface of this module, its settings, events and actions, is in api.go.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/balancer/weighted"
)

// The module's own constants. All are shares, counts or multiples; times come from the settings.
const (
	draws       = 16   // servers drawn for a request, the paper's d
	tie         = 0.01 // loads so near each other, relatively, count as equal
	nearTimes   = 60   // an idle server in the own zone counts as larger by this times the price of crossing
	warmTimes   = 2    // a server that is home to a request's key counts as larger by it
	coldMost    = 0.5  // of the multiple of its capacity that topples it, what a cold server may get
	coldSlack   = 1.25 // times the usual rate up to which requests go to cold servers
	coldBurst   = 3    // such requests that may come together
	usualFor    = 100  // horizons for which the best rate of late counts
	subsetLeast = 6    // servers that a balancer spreads its requests over, at least
	subsetFull  = 2    // own attempts in flight for each server of the subset, from which it grows
	coverLeast  = 20   // balancers that have the same server in their subset, at least
	crowdLeast  = 0.5  // of the mean number of views, that a server is taken to be in, at least
	utilFloor   = 0.05 // less use than this says nothing of capacity
	utilSure    = 0.25 // use from which it tells for certain
	learn       = 0.05 // weight of a new sample in the averages that are kept by count
	missedMost  = 16   // answers that a server may owe, by the usual time to one, before it is ejected
	failWeight  = 0.3  // weight of a new sample in a server's share of failures
	failEject   = 0.6  // ejected above it: three failures in a row, from nothing
	slowTimes   = 2    // times the usual time, after which an answer over its aim speaks of an ill server
	vainMost    = 3    // doublings of the time for which a server is ejected
	askedAtOnce = 5    // balancers that may ask for the list again in the same horizon
	mostWaits   = 4    // doublings of the wait before the list is asked again
	healthyPart = 0.5  // ejections count while this share of the capacity is not ejected
	retryShare  = 0.2  // further attempts as a share of first ones
	retrySaved  = 10   // most further attempts saved up
	copyAfter   = 2.5  // times the usual time to an answer, after which a second copy may go out
	copyTo      = 0.65 // reported use of the servers up to which it may
	lateFrom    = 0.5  // mean time taken over aim from which work of mean worth is refused
	shedFrom    = 0.4  // and mean time over aim of what is in flight
	shedSlope   = 6    // rise of the share refused with either
	busyFrom    = 0.82 // reported use from which late answers are taken for a sign of a jam
	busyFull    = 0.95 // and from which they are one for certain
	idleTo      = 0.65 // reported use up to which what is in flight for long is stuck, not in a jam
	fewAsked    = 20   // requests before which a balancer's own count says little of a tenant's share
	lateWeight  = 0.1  // weight of a new sample in the mean time taken over aim
	lateTime    = 0.5  // of a horizon, that this mean is over where there are more samples
	shareTime   = 8    // horizons over which own sends are counted
	ticks       = 8    // looks at health and backlog in a horizon
	reportTime  = 4    // horizons over which reports are averaged
	usualWait   = 0.5  // of a horizon, for which an answer may take without a doubt in the latest report
	trustLeast  = 0.02 // trust in an estimate below which it is dropped
	redraws     = 32   // draws that may fall on a server that a repeat may not go to
	requestsFor = 256  // requests that are over, kept for new ones
)

// Tokens of the timers that belong to no request.
const (
	tickToken uint64 = iota
	subscribeToken
	firstToken
)

// New returns a Balancer. Its random numbers follow from the seed alone.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*server{},
		requests: map[string]*request{}, timers: map[uint64]*request{}, token: firstToken,
		asked: make([]float64, len(set.Quotas)), budget: retrySaved,
		mean: 1, warm: weighted.NewPool[*server](set.KeyAffinity),
		cold: weighted.NewPool[*server](false), race: weighted.NewRendezvous()}
	b.classes()
	return b, nil
}

// classes follows from the classes in force.
func (b *Balancer) classes() {
	b.horizon, b.trialBy = 0, NonIdempotent
	for i, c := range b.set.Classes {
		if i == len(b.usual) {
			b.usual = append(b.usual, float64(c.LatencyObjective)/4)
		}
		if c.Retired {
			continue
		}
		b.horizon, b.trialBy = max(b.horizon, c.LatencyObjective), min(b.trialBy, c.Effect)
		if c.Effect == IdempotentByKey && c.DedupScope == DedupCell && b.cells == nil {
			b.cells = map[int][]*server{}
			for _, s := range b.servers {
				b.moveCell(s, s.Cell, true)
			}
		}
	}
}

func (b *Balancer) retune(e ClassUpdate) {
	b.was, b.set.Classes = b.set.Classes, e.Classes
	b.set.MaxAttempts, b.set.AllowHedging = e.MaxAttempts, e.AllowHedging
	b.classes()
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
		b.age()
		b.checkHealth()
		b.setShed()
		b.copyLate()
	case subscribeToken:
		b.asking = false
		b.act(Action{Kind: Subscribe})
	default:
		if r := b.timers[token]; r != nil {
			delete(b.timers, token)
			b.finish(r, ReasonExhausted)
		}
	}
}

// resubscribe asks again, later each time and at random: all that lost the list together must not swamp it.
func (b *Balancer) resubscribe() {
	if !b.set.Subscribe || b.asking {
		return
	}
	b.asking = true // one timer is enough, however many calls have failed
	spread := max(1, float64(b.set.Balancers)/askedAtOnce)
	wait := min(spread*math.Exp2(float64(b.tries)), max(math.Exp2(mostWaits), 2*spread))
	wait *= float64(b.horizon)
	if b.tries++; b.set.MaxPollInterval > 0 { // after four times that one is held to know what was listed
		wait = min(wait, 2.5*float64(b.set.MaxPollInterval))
	}
	b.timer(subscribeToken, time.Duration(wait*(0.5+b.rng.Float64())/2))
}

// Capacity estimate.

// report takes a server's word on its load: its rate over its utilisation is what it could do at most.
func (b *Balancer) report(s *server, r Report) {
	if !(r.Utilization >= 0) || !(r.ServedRate >= 0) || s.coldShare(b) < 1 { // no number is neither
		return
	}
	b.reports = true
	keep := math.Exp(-float64(b.now-s.reported) / (reportTime * float64(b.horizon)))
	if s.reported == 0 {
		keep = 0
	}
	s.reported, s.busy = b.now, r.Utilization
	s.done = keep*s.done + (1-keep)*r.ServedRate
	s.util = keep*s.util + (1-keep)*r.Utilization
	if s.util > utilFloor {
		s.rate, s.trust, s.faded = s.done/s.util, min(1, s.util/utilSure), b.now
	}
	b.refresh(s)
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
	s.rate, s.trust, s.faded = 1/s.took, 1, b.now
	b.refresh(s)
}

// capacity is the estimate for a server when it is warm. The older the last report, the more the mean of the
// others counts, for the server's size in the list: else one that once looked slow would get nothing to show
// better with, and stand idle.
func (b *Balancer) capacity(s *server) float64 {
	usual := b.mean * s.Weight
	return usual + (s.rate-usual)*s.trust
}

// Draw and pick.

// pick chooses a server by Algorithm 1 of "Balls into non-uniform bins": draw servers with probability
// capacity over total, take the lowest load after the request, then the largest capacity, then any.
func (b *Balancer) pick(r *request) *server {
	if !b.mayGoOn(r) {
		return nil
	}
	if s := b.trial(r); s != nil {
		s.trial, s.heard = true, b.now
		return s
	}
	turn := b.rng.Float64()
	if b.home = nil; b.drawAll(r, turn) || b.drawListed(r, turn) {
		return b.lowest()
	}
	return nil
}

// drawAll draws from the pools. It reports false where that finds no server that the request may go to: the
// candidates are then to be listed one by one, as they are for requests that are bound to few servers.
func (b *Balancer) drawAll(r *request, turn float64) bool {
	if r.AllowedServers != nil || r.inCell() != nil {
		return false
	}
	cold := b.coldTurn(b.view, turn)
	d := b.warm.At(b.mean)
	if cold {
		d = b.cold.At(b.mean)
	}
	if !d.Fill(b.rng, b.drawn[:]) {
		return false
	}
	misses := 0
	for i := range b.drawn {
		for !b.maySendAgain(r, b.drawn[i]) {
			if misses++; misses > redraws {
				return false
			}
			b.drawn[i], _ = d.Draw(b.rng)
		}
	}
	if !cold && b.keyed(r) {
		if s, ok := d.Owner(b.race); ok && b.maySendAgain(r, s) {
			b.warmest(s)
		}
	}
	return true
}

// drawListed draws from the candidates, listed one by one.
func (b *Balancer) drawListed(r *request, turn float64) bool {
	cold := b.coldTurn(b.candidates(r), turn)
	from := b.ok[0]
	if cold {
		from = b.ok[1]
	}
	if len(from) == 0 {
		return false
	}
	for i := range b.drawn {
		b.drawn[i] = b.drawFrom(from)
	}
	if !cold && b.keyed(r) {
		b.warmest(weighted.OwnerAmong(b.race, from, b.mean).Value)
	}
	return true
}

// maySendAgain reports whether a server that may be drawn may be drawn for this request.
func (b *Balancer) maySendAgain(r *request, s *server) bool {
	return len(r.attempts) == 0 && !r.Earlier.MayHaveRun || !r.tried(s) && b.maySend(r, s)
}

// keyed starts the race for the request's key, if it has one that counts.
func (b *Balancer) keyed(r *request) bool {
	if !b.set.KeyAffinity || r.Key == "" {
		return false
	}
	b.race.SetKey(r.Key)
	return true
}

// warmest puts the home of the request's key in the place of the first draw.
func (b *Balancer) warmest(s *server) { b.drawn[0], b.home = s, s }

// coldTurn says whether a request is drawn for among cold servers alone: so that these get what they can do
// at present, of what all that may be drawn can. In a jam their counts are the lowest of all and they would
// draw everything; in calm they would lose to any warm one with nothing in flight, and the few that a
// release has left warm would get the work of all.
//
// Reason the sum over all balancers topples none: views hold about the same capacity at present each (see
// adjust), and a server that is in more of them counts for less (see crowded): it gets of all requests its
// own capacity at present over that of the fleet, as from one balancer that sees all. Where the fleet is
// asked for more than it can do just now, the most is coldMost of the multiple that topples it, times its
// capacity at present, times what is asked for over what the fleet can do when warm. That is 1 at most while
// clients ask as they do, but after an outage they all ask again: so a balancer counts as asked for no more
// than what it was served at best of late, or half of its even part of the fleet. Of the former the sum over
// all is what the fleet has done, so that with coldSlack it comes to coldMost * (1 + 1/2) * 1.25, under 1,
// of what topples.
func (b *Balancer) coldTurn(of view, turn float64) bool {
	now, warm := of.cold.At(b.mean), of.warm.At(b.mean)
	if !(b.set.WarmingOverloadRatio > 0) {
		return turn < now/(now+warm)
	}
	most := b.set.WarmingOverloadRatio * coldMost * now / (warm + of.whole.At(b.mean))
	return turn < min(most, now/(now+warm)) && b.mayWarm(most)
}

// mayWarm takes one request for a cold server from what these may get of the usual. A balancer that has just
// started knows of no usual, and goes by what it is asked.
func (b *Balancer) mayWarm(part float64) bool {
	usual := max(b.usually, b.sums.whole.At(b.mean)/float64(2*b.set.Balancers))
	rate := part * usual * coldSlack
	b.warmth = min(b.warmth+(b.now-b.warmed).Seconds()*rate, coldBurst+rate)
	b.warmed = b.now
	if b.warmth < 1 {
		return b.span < shareTime/2*b.horizon.Seconds()
	}
	b.warmth--
	return true
}

// weight is what a server counts for at present.
func (b *Balancer) weight(s *server) float64 {
	if s.pool == b.warm {
		return s.DrawWeight.At(b.mean)
	}
	return s.DrawWeight.At(b.mean) * s.coldShare(b)
}

// lowest picks among the servers drawn.
func (b *Balancer) lowest() *server {
	var weights, loads [draws]float64
	lowest := math.Inf(1)
	for i, s := range b.drawn {
		weights[i] = b.weight(s)
		if s == b.home {
			weights[i] *= warmTimes
		}
		loads[i] = float64(len(s.inFlight)+1) / weights[i]
		lowest = min(lowest, loads[i])
	}
	best, ties := -1, 0
	for i := range b.drawn {
		switch {
		case loads[i] > lowest*(1+tie) || best >= 0 && weights[i] < weights[best]:
			continue
		case best < 0 || weights[i] > weights[best]:
			best, ties = i, 1
		default:
			if ties++; b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 { // no load is below infinity: none has any capacity left
		best = b.rng.IntN(draws)
	}
	return b.drawn[best]
}

// drawFrom draws one of a list by what they count for at present.
func (b *Balancer) drawFrom(from []*weighted.Member[*server]) *server {
	total := 0.0
	for _, m := range from {
		total += b.weight(m.Value)
	}
	x := b.rng.Float64() * total
	for _, m := range from {
		if x -= b.weight(m.Value); x < 0 {
			return m.Value
		}
	}
	return from[len(from)-1].Value
}

// candidates lists the servers that may get the request, warm and cold ones apart, and sums up what they can
// do: those that are well and were not tried yet, or else any that the rules allow. It goes through the
// servers that a request is bound to, and through all only where hardly any is left to go to.
func (b *Balancer) candidates(r *request) (of view) {
	from := b.bound(r)
	for _, strict := range []bool{true, false} {
		n := 0
		b.ok[0], b.ok[1], of = b.ok[0][:0], b.ok[1][:0], view{}
		for _, s := range from {
			if n >= max(b.subset, b.crowd) {
				break
			}
			if !b.maySend(r, s) || strict && (b.ejected(s) || r.tried(s)) {
				continue
			}
			n++
			part, i := b.partOf(s), 0
			if of.add(part, 1); s.coldShare(b) < 1 {
				i = 1
			}
			b.ok[i] = append(b.ok[i], &s.Member)
		}
		if n > 0 {
			break
		}
	}
	return of
}

// bound lists the servers that a request has to keep to, in the balancer's order.
func (b *Balancer) bound(r *request) []*server {
	if a := r.inCell(); a != nil {
		return b.cells[a.cell]
	}
	if r.AllowedServers == nil {
		return b.servers
	}
	b.few = b.few[:0]
	for _, id := range r.AllowedServers {
		if s := b.byID[id]; s != nil {
			b.few = append(b.few, s)
		}
	}
	slices.SortFunc(b.few, inOrder)
	return b.few
}

// inCell is the attempt in whose cell a repeat of the request has to stay, if there is one.
func (r *request) inCell() *attempt {
	if r.class.Effect != IdempotentByKey || r.class.DedupScope != DedupCell {
		return nil
	}
	return r.mayHaveRun()
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// Health: outlier ejection and readmission.

// judge learns from an outcome how the server does. Errors and rejections come fast and make a server look
// idle, so they lower its weight; only answers count as rate.
func (b *Balancer) judge(a *attempt, o Outcome) {
	s, bad := a.srv, 0.0
	switch o.Result {
	case OK:
		b.usual[a.req.Class] += learn * (float64(o.Latency) - b.usual[a.req.Class])
		s.heard = b.now
		b.served++
		b.ownRate(s, o.Latency)
		b.lateness(float64(o.Latency) / float64(a.req.class.LatencyObjective))
		if float64(o.Latency) > max(float64(a.req.class.LatencyObjective), slowTimes*b.usual[a.req.Class]) {
			bad = 1 // too late to be of worth, while others answer in time
		}
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
	was := s.failing
	s.failing += failWeight * (bad - s.failing)
	switch {
	case s.until > 0 && bad == 0 && (s.trial || s.failing < failEject):
		b.readmit(s)
		s.failing = 0
		b.refresh(s)
		b.settle()
	case s.until == 0 && s.failing > failEject, s.trial:
		b.eject(s)
	case s.failing != was:
		b.refresh(s)
	}
}

// missed is how many answers the server would have given, at the usual pace, since it gave the last one.
// InFlightLatencyRatio is counted over all that is in flight: one late answer is a costly request, many are a silent
// server.
func (b *Balancer) missed(s *server) (n float64) {
	for _, a := range s.inFlight {
		if !a.writing {
			n += float64(b.now-max(a.sent, s.heard)) / b.usual[a.req.Class]
		}
	}
	return n
}

// checkHealth looks for servers that take requests and answer none, for longer than is usual.
func (b *Balancer) checkHealth() {
	for _, s := range b.active {
		if (s.until == 0 || s.trial) && b.missed(s) > missedMost {
			b.eject(s)
		}
	}
}

// trial returns an ejected server that is due to be tried, if the request is one to risk.
func (b *Balancer) trial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Effect != b.trialBy {
		return nil
	}
	for _, s := range b.ill {
		if b.now < s.until {
			break // as are all that follow
		}
		if !s.trial && s.coldShare(b) == 1 && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// Slow start.

// coldShare is the part of its capacity that a server has at least, so long after its start.
func (s *server) coldShare(b *Balancer) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.set.SlowStartDuration {
		return 1
	}
	return b.set.SlowStartInitialRatio + (1-b.set.SlowStartInitialRatio)*max(0, float64(age)/float64(b.set.SlowStartDuration))
}

// Attempts.

// maySend is the one place that says what may be sent where; every send passes it.
func (b *Balancer) maySend(r *request, s *server) bool {
	if s.State != Ready || !b.mayGoOn(r) || !r.among(s) {
		return false
	}
	first := r.mayHaveRun()
	if first == nil {
		return true
	}
	group := r.class.DedupScope
	return r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && b.now+b.set.Tick-first.sent < r.class.DedupWindow &&
		(group != DedupZone || s.Zone == first.zone) && (group != DedupCell || s.Cell == first.cell)
}

// mayGoOn reports whether the request may be sent anywhere.
func (b *Balancer) mayGoOn(r *request) bool {
	return !r.closed && b.now < r.Deadline && len(r.attempts) < b.set.MaxAttempts &&
		(r.MaxAttempts == 0 || len(r.attempts) < r.MaxAttempts) &&
		r.out <= 1 && (r.out == 0 || !r.ManualRetry && b.set.AllowHedging)
}

// among reports whether the server is one of those that the request is to be sent to.
func (r *request) among(s *server) bool {
	if r.AllowedServers == nil {
		return true
	}
	_, found := slices.BinarySearch(r.AllowedServers, s.ID)
	return found
}

// mayHaveRun is the first attempt that is not known to have had no effect.
func (r *request) mayHaveRun() *attempt {
	if r.Earlier.MayHaveRun {
		return &r.before
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// mayRefuse reports whether the client may be told that trying again does no harm.
func (r *request) mayRefuse() bool {
	return r.mayHaveRun() == nil || r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupFleet
}

// try sends the request to the best server, or ends it when there is none.
func (b *Balancer) try(r *request) {
	switch s := b.pick(r); {
	case s != nil:
		b.send(r, s)
	case b.mayGoOn(r):
		b.finish(r, ReasonNoServer)
	default:
		b.finish(r, ReasonExhausted)
	}
}

func (b *Balancer) send(r *request, s *server) {
	if len(s.inFlight) == 0 {
		s.heard, s.asked = b.now, b.now
	}
	b.active = marked(b.active, s, &s.isActive)
	a := &r.first
	if len(r.attempts) > 0 {
		a = &attempt{}
	}
	*a = attempt{req: r, srv: s, zone: s.Zone, cell: s.Cell, sent: b.now, out: true, writing: r.StreamsBody}
	r.attempts = append(r.attempts, a)
	r.out++
	s.inFlight = append(s.inFlight, a)
	b.sent++
	b.act(Action{Kind: Send, Request: r.ID, Server: s.ID, WarmingUp: s.coldShare(b) < 1})
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
	for _, s := range b.active {
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

func (b *Balancer) written(e BodySent) {
	if r := b.requests[e.Request]; r != nil && !r.closed && r.out > 0 && e.Attempt == len(r.attempts)-1 {
		r.attempts[e.Attempt].writing, r.attempts[e.Attempt].sent, r.Deadline = false, b.now, e.Deadline
		b.timer(r.token, r.Deadline-b.now)
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
	case r.closed || o.RequestClosed:
		b.close(r)
	case r.out > 0: // the other copy goes on
	case r.ManualRetry: // whoever carries it asks, if it wants another attempt
	default:
		b.again(r)
	}
}

// again makes a further attempt, as far as the budget for them goes.
func (b *Balancer) again(r *request) {
	if b.budget < 1 {
		b.finish(r, ReasonRetryBudget)
		return
	}
	b.budget--
	b.try(r)
}

func (b *Balancer) retry(e Retry) {
	if r := b.requests[e.Request]; r != nil && r.ManualRetry && r.out == 0 && !r.closed {
		r.AllowedServers = e.AllowedServers
		b.again(r)
	}
}

// Admission.

func (b *Balancer) request(e Request) {
	classes := b.set.Classes
	if e.UsesPreviousClasses {
		classes = b.was
	}
	if e.Class < 0 || e.Class >= len(classes) || b.requests[e.ID] != nil {
		return
	}
	r := b.newRequest()
	r.Request, r.class = e, &classes[e.Class]
	r.before = attempt{zone: e.Earlier.Zone, cell: e.Earlier.Cell, sent: e.Earlier.SentAt}
	b.requests[e.ID] = r
	b.budget = min(b.budget+retryShare, retrySaved)
	b.token++
	r.token, b.timers[b.token] = b.token, r
	b.timer(b.token, r.Deadline-b.now)
	// In a jam all cheap work may be refused, but an idle server must not wait for its trial till the end.
	switch {
	case b.drop > 0 && b.rng.Float64() < b.drop:
		b.finish(r, ReasonListDrop)
	case b.refused(b.worthOf(r)) && b.trial(r) == nil:
		b.finish(r, ReasonLoadShed)
	default:
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
	b.settle()
	var wait, out float64
	silence := 1.0
	busy, known, tellers := b.sums.use.At(b.mean), b.sums.told.At(b.mean), b.sums.tellers
	if b.doubt { // those that are ejected count as well
		for _, s := range b.ill {
			if s.reported > 0 {
				busy, known, tellers = busy+s.busy*b.capacity(s), known+b.capacity(s), tellers+1
			}
		}
	}
	for _, s := range b.active { // others are not waited for, and their reports hold
		if b.ejected(s) {
			continue
		}
		faith := b.faith(s)
		silence = min(silence, faith)
		if s.reported > 0 {
			busy += (1 - faith) * (1 - s.busy) * b.capacity(s)
		}
		for _, a := range s.inFlight {
			if !a.writing && b.now-a.sent <= a.req.class.LatencyObjective { // one out for longer hangs, or late answers tell of it
				wait, out = wait+1/a.req.class.LatencyObjective.Seconds(), out+1
			}
		}
	}
	b.crowd = int(out / subsetFull) // a busy caller must not crowd its few servers
	b.adjust()
	keep := math.Exp(-1.0 / ticks / shareTime)
	b.sent, b.span, b.late = keep*b.sent, keep*b.span+b.horizon.Seconds()/ticks, keep*b.late
	b.askedAll, b.served = keep*b.askedAll, keep*b.served
	if b.usually *= math.Exp(-1.0 / ticks / usualFor); b.span > shareTime/4*b.horizon.Seconds() {
		b.usually = max(b.usually, b.served/b.span)
	}
	for i := range b.asked {
		b.asked[i] *= keep
	}
	b.waiting = wait * b.span / (b.sent + 1) * (1 - 1/math.Sqrt(max(out, 1)))
	if tellers == 0 && b.mute {
		busy, known = 1, 1
	} else if tellers == 0 { // no answer has come yet that could have said something
		busy, known = 1-silence, 1
	}
	b.busy = busy / max(known, math.SmallestNonzeroFloat64)
	part := min(1, max(0, (b.busy-busyFrom)/(busyFull-busyFrom)))
	jam := min(1, max(0, (b.busy-idleTo)/(busyFrom-idleTo)))
	from := shedFrom
	if b.now-b.lateAt < time.Duration(usualWait*float64(b.horizon)) {
		from = lateFrom // answers come, and tell themselves what they take
	}
	b.shed = shedSlope * max(0, part*(b.late-lateFrom), jam*(b.waiting-from))
}

// faith is what the server's latest report still says, from 1 to 0. In a jam none come: it fades while
// answers are waited for. A balancer that asked nothing is told nothing, which says nothing of the servers.
func (b *Balancer) faith(s *server) float64 {
	if len(s.inFlight) == 0 {
		return 1
	}
	silent := float64(b.now-max(s.reported, s.asked)) - usualWait*float64(b.horizon)
	return math.Exp(-max(0, silent) / float64(b.horizon))
}

// lateness takes a sample of time taken over aim. A busy balancer has many in a moment, which rise and fall
// together: they count for no more than their time.
func (b *Balancer) lateness(x float64) {
	weight := min(lateWeight, 1-math.Exp(-float64(b.now-b.lateAt)/(lateTime*float64(b.horizon))))
	b.lateAt, b.late = b.now, b.late+weight*(min(x, 1)-b.late)
}

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
	worth := r.class.Priority / b.usual[r.Class]
	if r.Tenant < 0 || r.Tenant >= len(b.asked) {
		return worth
	}
	b.asked[r.Tenant]++
	b.askedAll++
	share := b.set.Quotas[r.Tenant]
	inside := min(1, share*(b.askedAll+fewAsked)/(b.asked[r.Tenant]+fewAsked*share))
	return worth * (inside + (1-inside)*b.set.OverQuotaPriorityRatio)
}

// Deadlines.

// finish ends a request that was not served. A refusal is a promise, so it is a failure where that is not
// known to hold.
func (b *Balancer) finish(r *request, why Reason) {
	if r.closed {
		return
	}
	kind := Fail
	if r.mayRefuse() {
		kind = Reject
	}
	b.act(Action{Kind: kind, Request: r.ID, Reason: why, After: min(b.set.MaxRetryAfter, r.class.LatencyObjective/2)})
	b.close(r)
}

// close marks the request as ended; it is kept while attempts are in flight.
func (b *Balancer) close(r *request) {
	r.closed = true
	delete(b.timers, r.token) // it would hold the request until its deadline
	if r.out == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if len(b.over) < requestsFor {
			b.over = append(b.over, r)
		}
	}
}

// newRequest returns an empty request. Those that are over serve again: nothing holds them or their attempts
// any more.
func (b *Balancer) newRequest() *request {
	last := len(b.over) - 1
	if last < 0 {
		return &request{}
	}
	r := b.over[last]
	b.over[last] = nil
	b.over = b.over[:last]
	clear(r.attempts)
	*r = request{attempts: r.attempts[:0]}
	return r
}
