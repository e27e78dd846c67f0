// Package admission notices retry storms and outages from what one agent sees, and says who is let in while they last. Agents
// share nothing, so that each goes by its own requests alone. It does no I/O and reads no clock: events go in with the time.
//
// In calm everybody is let in, and the decision module alone refuses. In a storm a limit holds on the requests that are in
// flight at a time: it grows while answers come quickly and is cut when they are late, so that a fleet that comes back cold
// is sent what it can do by then (after TCP's slow start and congestion avoidance, RFC 5681). Who is let in below the limit
// goes by worth (trunk reservation): the class that is worth most may fill it, others leave a part of it free, and so do
// repeats, those who come back before they were told to, and tenants over their share.
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
	Priority         float64
	LatencyObjective time.Duration // an answer after it comes late
	Idempotent       bool          // may be repeated at will
}

// Options are what a Watch goes by.
type Options struct {
	Classes       []Class
	Quotas        []float64     // of the service, one for each tenant; may be empty
	MaxRetryAfter time.Duration // the longest come-back time that clients heed; 0 where they are told none
	MaxRemembered int           // requests that were not served, to know their repeats by
	Seed          uint64
}

// Request is a request that arrives.
type Request struct {
	Class, Tenant int
	Key           string        // tells the request and its repeats from others; empty where nothing does
	IsRetry       bool          // it says that it is a repeat
	MayHaveRun    bool          // an earlier try may have run, so that it must not be refused here
	Deadline      time.Duration // of its caller
}

// Outcome is how a request ended that was let in.
type Outcome int

// The ends.
const (
	OutcomeServed   Outcome = iota
	OutcomeRejected         // by the module
	OutcomeFailed
	OutcomeCanceled // its client left
)

// Permit is a request that was let in. It is handed to Done once.
type Permit struct {
	class   int
	began   time.Duration
	key     string
	filling bool // it came near what its kind may fill of the limit
	overdue bool // has not ended within the aim
	ended   bool

	Endpoints  []string // ids of the servers that it may go to, sorted; nil: any
	IsRetry    bool     // it is taken for a repeat
	MayHaveRun bool     // an earlier try may have run, as was said or as is remembered
	by         Issuer   // whose it is
}

// Issuer says whose a Pass is: of several doors before one another each counts its own.
type Issuer int

// The doors.
const (
	IssuedByController Issuer = iota
	IssuedByFleet
	IssuedByRecovery
)

// NewPermit is a pass of another door.
func NewPermit(now time.Duration, a Request, by Issuer) *Permit {
	return &Permit{class: a.Class, began: now, key: a.Key, by: by}
}

// Completion says of a pass its class, how long it took and whose it is.
func (p *Permit) Completion(now time.Duration) (class int, took time.Duration, by Issuer) {
	return p.class, now - p.began, p.by
}

// State is what a Watch takes the times for.
type State int

// The states.
const (
	Normal     State = iota
	Suspect          // much is not served in time; everybody is let in still
	Overloaded       // and that with many repeats, or with nearly nothing served at all
	Recovering       // answers come again, and the limit grows
)

func (s State) String() string { return [...]string{"calm", "suspected", "storm", "recovering"}[s] }

const (
	tick     = 100 * time.Millisecond  // between two looks
	memory   = 1500 * time.Millisecond // over which counts fade
	fewEnded = 8                       // ends within that memory that say something
	keepTime = 10                      // longest come-back times, or aims, for which an unserved request is remembered

	suspect    = 0.4 // share of the ended that was not served in time, from which a storm is suspected
	calmAgain  = 0.2 // and below which it is not any more
	holdFor    = 300 * time.Millisecond
	repeatsFor = 1500 * time.Millisecond // longer, as an agent's first second is rough with no storm: it knows no server yet
	repeats    = 0.15                    // share of the arrivals that are repeats, which makes it a storm
	nothing    = 0.1                     // share of the ended that is served in time, below which it is one without repeats
	nothingFor = 600 * time.Millisecond  // or without any answer in time for so long
	served     = 0.5                     // and above which the fleet is coming back
	stormFor   = time.Second
	over       = 0.3 // share served in time below which it is gone again
	steady     = 0.1 // share not served in time up to which recovery is done
	steadyFor  = 3 * time.Second

	darkAfter = 400 * time.Millisecond // without an answer in time nothing is heard of the fleet
	probePart = 0.2                    // so many of those that arrive are let in then

	leastLimit = 0.25 // below 1 it is a chance: many agents with little each must not add up to too much
	quick      = 0.5  // part of the aim up to which an answer lets the limit grow
	slow       = 0.8  // and from which it is cut
	fewSamples = 4
	mostSlow   = 0.3         // share of the answers that may be slow
	mostLost   = 0.7         // share of what was let in of which nothing may be heard
	forget     = time.Second // after which samples are counted anew
	cutSlow    = 0.8
	growth     = 0.1 // of the limit, or 1, while as many are answered as may be in flight
	cutLost    = 0.5
	cutEvery   = 200 * time.Millisecond

	repeatPart  = 0.2 // repeats for each first try that are let in while it is not calm (Finagle's retry budget)
	repeatSaved = 10

	classStep = 0.75 // of the limit that the class above may fill, for the next one by worth
	onTime    = 0.9  // for a repeat that comes when it was told to, or was told nothing
	early     = 0.7  // for one that comes before
	overShare = 0.6  // for a tenant that asks for more than its share
	someAsked = 20   // requests before which the count of a tenant says little
	askedFor  = 4 * time.Second
)

// Controller is one agent's view. It is not safe for concurrent use.
type Controller struct {
	set    Options
	rng    *rand.Rand
	filled []float64 // part of the limit that a class may fill

	state State
	since time.Duration
	why   string
	good  time.Duration // since when nothing speaks against calm, while recovering

	looked               time.Duration
	first, again         float64 // arrivals, fading
	inTime, bad, refused float64 // ended in time, and not; turned away here
	asked                []float64
	askedAll             float64
	aged                 time.Duration // when asked faded last

	heard        time.Duration // when the latest answer in time came
	probed       time.Duration // when one was let in last while nothing was heard
	probe        float64       // grows to one with each arrival, while nothing is heard
	limit, brake float64
	cut          time.Duration // when the limit was cut last, or samples were last counted anew
	well         int           // samples since then: answers in good time,
	slow         int           // late or nearly so,
	lost         int           // and none
	budget       float64       // repeats that may be let in
	inFlight     int           // let in, not ended and not overdue
	usual        float64       // in flight in calm, mean
	queue        []*Permit     // in the order of arrival; ended ones go from its front
	quickest     []float64     // mean time of answers in time, by class, in ns; 0 without any
	unserved     *outcomecache.Table[*owed]
	ran          *outcomecache.Table[struct{}] // keys that may have run; apart, so that what was turned away pushes none out
	counts       Counts
}

// owed is a request that was not served and may come again.
type owed struct {
	times int           // so many repeats are expected
	from  time.Duration // and not before
}

// Counts are what a Watch has done since it was made, and how it stands.
type Counts struct {
	State     State
	Since     time.Duration // of the state, on the clock of the events
	Reason    string
	Limit     float64 // requests in flight; 0 where none holds
	InFlight  int
	Rejected  [][2]uint64 // by class: first tries, repeats
	TooLate   uint64      // refused since their deadline was too near
	OverLimit uint64      // let in over the limit since they must not be refused
	Overloads uint64
}

// New returns a calm Watch.
func New(o Options) *Controller {
	w := &Controller{set: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), asked: make([]float64, len(o.Quotas)),
		unserved: outcomecache.New[*owed](o.MaxRemembered), ran: outcomecache.New[struct{}](o.MaxRemembered), why: "start"}
	w.Retune(o.Classes)
	return w
}

// Retune takes the classes as they are from now on; each keeps its number, and what is known of it. One that was dropped has no worth
// and may fill least.
func (w *Controller) Retune(classes []Class) {
	w.set.Classes = classes
	w.filled = make([]float64, len(classes))
	for len(w.quickest) < len(classes) {
		w.quickest, w.counts.Rejected = append(w.quickest, 0), append(w.counts.Rejected, [2]uint64{})
	}
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	part := 1.0
	for i, class := range order {
		if i > 0 && classes[class].Priority < classes[order[i-1]].Priority {
			part *= classStep
		}
		w.filled[class] = part
	}
}

// Counts returns what the Watch has done, and how it stands.
func (w *Controller) Counts() Counts {
	c := w.counts
	c.Rejected = slices.Clone(c.Rejected)
	c.State, c.Since, c.Reason, c.InFlight = w.state, w.since, w.why, w.inFlight
	if w.limits() {
		c.Limit = w.limit
	}
	return c
}

func (w *Controller) limits() bool { return w.state == Overloaded || w.state == Recovering }

// Rejection is what a client is told that is turned away: trying again is harmless.
type Rejection struct {
	RetryAfter time.Duration // it had better stay away for so long; 0 where clients are told nothing
	Limit      int           // requests that are let in at a time
	IsRetry    bool          // it is taken for a repeat
}

// Arrive lets a request in, or says with what it is turned away.
func (w *Controller) Arrive(now time.Duration, a Request) (*Permit, Rejection) {
	w.look(now)
	repeat, onTime := w.repeat(now, &a)
	if repeat {
		w.again++
	} else {
		w.first++
		w.budget = min(w.budget+repeatPart, repeatSaved)
	}
	part := w.part(a, repeat, onTime)
	p := &Permit{class: a.Class, began: now, key: a.Key, IsRetry: repeat, MayHaveRun: a.MayHaveRun}
	if repeat && w.state != Normal {
		if w.budget < 1 && !a.MayHaveRun {
			return nil, w.turnAway(now, a, repeat, false)
		}
		w.budget = max(0, w.budget-1) // what is let in over it must not be owed by others
	}
	if w.limits() {
		room := part * w.limit
		late := w.TooLate(now, a)
		full := float64(w.inFlight) >= math.Floor(room+w.rng.Float64())
		if w.dark(now) {
			full = !w.probes(now, a.Class)
		}
		switch {
		case (late || full) && a.MayHaveRun:
			w.counts.OverLimit++
		case late || full:
			return nil, w.turnAway(now, a, repeat, late)
		}
		p.filling = float64(w.inFlight+1) >= quick*room
	}
	w.inFlight++
	w.queue = append(w.queue, p)
	return p, Rejection{}
}

// dark reports whether nothing is heard of the fleet.
func (w *Controller) dark(now time.Duration) bool {
	return w.state == Overloaded && now-w.heard > darkAfter
}

// probes reports whether a request may find out whether a fleet of which nothing is heard is back: a part of those that
// arrive, so that many agents together do not send more than few. One that must not run twice would only get lost there, and
// goes only if no other has come for long.
func (w *Controller) probes(now time.Duration, class int) bool {
	w.probe = min(w.probe+probePart, 1)
	if w.probe < 1 || !w.set.Classes[class].Idempotent && now-w.probed < 2*w.set.Classes[class].LatencyObjective {
		return false
	}
	w.probe, w.probed = 0, now
	return true
}

// repeat reports whether the request is a repeat, as it says or as one is expected, and whether it comes no sooner than it
// was told to. Of a request that may have run it notes that it is bound. One request explains one repeat, so that the many
// who ask for the same popular form are not taken for repeats of the few of them that were turned away.
func (w *Controller) repeat(now time.Duration, a *Request) (repeat, onTime bool) {
	if a.Key == "" {
		return a.IsRetry, true
	}
	_, ran := w.ran.Get(now, a.Key)
	a.MayHaveRun = a.MayHaveRun || ran
	o, known := w.unserved.Get(now, a.Key)
	if !known || o.times == 0 {
		return a.IsRetry, true
	}
	o.times--
	return true, now >= o.from
}

// expect takes note that a request was not served.
func (w *Controller) expect(now time.Duration, key string, class int, after time.Duration, mayRun bool) {
	if key == "" {
		return
	}
	o, known := w.unserved.Get(now, key)
	if !known {
		o = &owed{}
	}
	o.times, o.from = min(o.times+1, someAsked), now+after
	until := now + keepTime*max(w.set.MaxRetryAfter, w.set.Classes[class].LatencyObjective)
	w.unserved.Put(now, key, o, until)
	if mayRun {
		w.ran.Put(now, key, struct{}{}, until)
	}
}

// part is how much of the limit the request may help to fill.
func (w *Controller) part(a Request, repeat, inOrder bool) float64 {
	part := w.filled[a.Class]
	switch {
	case repeat && inOrder:
		part *= onTime
	case repeat:
		part *= early
	}
	if a.Tenant >= 0 && a.Tenant < len(w.asked) {
		w.asked[a.Tenant]++
		w.askedAll++
		if w.asked[a.Tenant] > w.set.Quotas[a.Tenant]*w.askedAll*1.5+someAsked {
			part *= overShare
		}
	}
	return part
}

func (w *Controller) turnAway(now time.Duration, a Request, repeat, late bool) Rejection {
	w.refused++
	kind := 0
	if repeat {
		kind = 1
	}
	w.counts.Rejected[a.Class][kind]++
	if late {
		w.counts.TooLate++
	}
	after := w.after()
	w.expect(now, a.Key, a.Class, after, false)
	return Rejection{RetryAfter: after, Limit: int(w.limit), IsRetry: repeat}
}

// Revoke takes back that a request was let in: another door has turned it away.
func (w *Controller) Revoke(now time.Duration, p *Permit) {
	w.expect(now, p.key, p.class, 0, false)
	w.Done(now, p, OutcomeCanceled)
}

// ObserveExternal takes how a request ended that another door let in: what may have run is remembered, as its repeat must not be refused.
func (w *Controller) ObserveExternal(now time.Duration, p *Permit, end Outcome) {
	if end == OutcomeRejected || end == OutcomeFailed {
		w.expect(now, p.key, p.class, 0, end == OutcomeFailed && !w.set.Classes[p.class].Idempotent)
	}
}

// TooLate reports whether a request has no time left for what answers to its class take.
func (w *Controller) TooLate(now time.Duration, a Request) bool {
	return w.quickest[a.Class] > 0 && now+time.Duration(w.quickest[a.Class]/2) > a.Deadline
}

// after draws when to come back: in a storm late, and never all at once.
func (w *Controller) after() time.Duration {
	least := 0.5
	if w.state == Recovering {
		least = 0.25
	}
	return time.Duration(float64(w.set.MaxRetryAfter) * (least + (1-least)*w.rng.Float64()))
}

// Done takes note of how a request ended.
func (w *Controller) Done(now time.Duration, p *Permit, end Outcome) {
	if p.ended {
		return
	}
	w.look(now)
	p.ended = true
	if !p.overdue {
		w.inFlight--
	}
	class := &w.set.Classes[p.class]
	took, aim := now-p.began, float64(class.LatencyObjective)
	switch {
	case end == OutcomeCanceled:
	case end == OutcomeServed && took <= class.LatencyObjective:
		w.inTime++
		if w.dark(now) { // what hangs takes none of the first places
			w.limit = 1 + float64(w.inFlight)
			w.well, w.slow, w.lost, w.cut = 0, 0, 0, now
		}
		w.heard = now
		if w.quickest[p.class] == 0 {
			w.quickest[p.class] = float64(took)
		}
		w.quickest[p.class] += 0.05 * (float64(took) - w.quickest[p.class])
		w.told(p, float64(took)/aim)
	default:
		if !p.overdue { // else it was counted then
			w.bad++
			if end == OutcomeFailed {
				w.sample(p, &w.lost)
			}
		}
		if end == OutcomeServed {
			w.sample(p, &w.slow)
		}
		if end != OutcomeServed {
			w.expect(now, p.key, p.class, 0, end == OutcomeFailed && !class.Idempotent)
		}
	}
}

// told lets the limit grow with an answer in time that was quick, if the limit was what held others back.
func (w *Controller) told(p *Permit, part float64) {
	switch {
	case part > slow:
		w.sample(p, &w.slow)
		return
	case part <= quick && p.filling && w.limit < w.brake:
		w.limit += min(1, w.limit)
	case part <= quick && p.filling:
		w.limit += max(min(1, w.limit), growth*w.limit) / max(1, w.limit)
	}
	w.sample(p, &w.well)
}

// sample counts what speaks for the limit or against it. What was let in before the last cut says nothing of it since.
func (w *Controller) sample(p *Permit, count *int) {
	if p.began >= w.cut {
		*count++
	}
}

// brakeOn cuts the limit where many answers are slow, or hardly any comes. A few that hang, on servers that say nothing, are no
// reason: the fleet that answers is not the fuller for them.
func (w *Controller) brakeOn(now time.Duration) {
	all := w.well + w.slow + w.lost
	if all < max(1, min(int(w.limit), fewSamples)) || now-w.cut < cutEvery {
		return
	}
	switch {
	case float64(w.lost) > mostLost*float64(all):
		w.limit *= cutLost // which says nothing of what the fleet can do when it is back
	case float64(w.slow) > mostSlow*float64(w.well+w.slow):
		w.limit *= cutSlow
		w.brake = w.limit
	case now-w.cut < forget:
		return
	}
	w.limit = max(leastLimit, w.limit)
	w.well, w.slow, w.lost, w.cut = 0, 0, 0, now
}

// look does what is due: counts fade, what is overdue counts, and the state follows.
func (w *Controller) look(now time.Duration) {
	w.overdue(now)
	if now-w.looked < tick {
		return
	}
	keep := math.Exp(-float64(now-w.looked) / float64(memory))
	w.looked = now
	for _, x := range []*float64{&w.first, &w.again, &w.inTime, &w.bad, &w.refused} {
		*x *= keep
	}
	if now-w.aged >= askedFor {
		for i := range w.asked {
			w.asked[i] /= 2
		}
		w.askedAll, w.aged = w.askedAll/2, now
	}
	if w.state == Normal {
		w.usual += 0.1 * (float64(w.inFlight) - w.usual)
	}
	w.judge(now)
	if w.limits() {
		w.brakeOn(now)
	}
}

// overdue takes out of the count what has not ended within its aim: in an outage nothing ends, and what hangs must not
// keep out the one that finds the fleet back.
func (w *Controller) overdue(now time.Duration) {
	kept := 0
	for kept < len(w.queue) {
		p := w.queue[kept]
		if !p.ended && now-p.began <= w.set.Classes[p.class].LatencyObjective {
			break
		}
		if !p.ended {
			p.overdue = true
			w.inFlight--
			w.bad++
			w.sample(p, &w.lost)
		}
		kept++
	}
	clear(w.queue[:kept])
	w.queue = w.queue[kept:]
}

// judge moves from state to state.
func (w *Controller) judge(now time.Duration) {
	ended := w.inTime + w.bad
	bad, again := w.bad/max(ended, 1), w.again/max(w.first+w.again, 1)
	lasted := now - w.since
	switch w.state {
	case Normal:
		if ended >= fewEnded && bad > suspect {
			w.become(now, Suspect, "much is not served in time")
		}
	case Suspect:
		switch {
		case ended < fewEnded || bad < calmAgain:
			w.become(now, Normal, "it passed")
		case lasted >= repeatsFor && bad > suspect && again > repeats:
			w.storm(now, "much is not served in time, and many come again")
		case lasted >= holdFor && bad > suspect && now-w.heard > nothingFor, lasted >= holdFor && 1-bad < nothing:
			w.storm(now, "hardly anything is served in time")
		}
	case Overloaded:
		if lasted >= stormFor && ended > 0 && 1-bad > served {
			w.good = now
			w.become(now, Recovering, "answers come again")
		}
	case Recovering:
		if bad > steady || w.refused > 1 {
			w.good = now
		}
		switch {
		case ended >= fewEnded && 1-bad < over:
			w.storm(now, "answers have stopped coming again")
		case now-w.good >= steadyFor:
			w.become(now, Normal, "all is served, and none turned away")
		}
	}
}

func (w *Controller) become(now time.Duration, s State, why string) {
	w.state, w.since, w.why = s, now, why
}

// storm begins a storm, at what is served in time at present. The brake on the limit's doubling is what is usual.
func (w *Controller) storm(now time.Duration, why string) {
	w.counts.Overloads++
	w.well, w.slow, w.lost = 0, 0, 0 // those of hours of calm say nothing of the limit
	if w.state == Suspect {
		w.limit = max(leastLimit, w.inTime*quick*w.set.Classes[0].LatencyObjective.Seconds())
		w.brake, w.cut = max(leastLimit, w.usual), now
	}
	w.become(now, Overloaded, why)
}
