package overload

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
)

// Options are what a Door goes by.
type Options struct {
	Self, Agents  int
	Classes       []admission.Class
	TenantQuotas  []float64     // of the service, one for each tenant; may be empty
	MaxRetryAfter time.Duration // the longest come-back time that clients heed; 0 where they are told none
	Seed          uint64
}

const (
	look      = 50 * time.Millisecond  // between two plans
	rateOver  = 400 * time.Millisecond // over which the own rates are averaged
	targetUse = 0.72                   // of the servers, where answers come late,
	mostUse   = 0.85                   // and where they do not
	lateFew   = 0.03                   // share of the fleet's answers up to which they do not
	trustOver = 2 * time.Second        // in which trust in the picture returns
	openTime  = 0.6                    // of the aim, that an answer takes where nothing waits
	drainIn   = time.Second            // in which what waits beyond that is to be worked off
	steerUse  = 0.4                    // of the limit a second, by which it follows the use that servers lack or have too much
	lateMost  = 0.1                    // share of the fleet's answers that may be late,
	steerLate = 0.4                    // and by how much of the limit a second it is cut for those over it
	lateFrom  = 0.5                    // of the servers' use
	leastGain = 0.5

	extraPart = 0.15 // of the fleet's first tries, that attempts beyond a call's first may come to,
	extraFull = 0.03 // and while some requests are refused
	mostGain  = 8
	evenGain  = 0.1 // how much of the way the gain goes back to 1 a second, while nobody is refused

	lotFor    = 10 * time.Second // for which a key draws the same
	leastLots = 0.2              // part of the lots from which it is told how many first tries there are

	proofFrom   = 0.3 // own answers' use from which word of overload begins to count,
	proofFull   = 0.5 // and from which it counts in full
	proofFor    = 2 * time.Second
	proofHolds  = 10 * time.Second
	ownGood     = 0.8 // share of the own ends in time from which more may be let in
	trustedPart = 0.5 // of the servers and of the agents, of which has to be heard for the picture to count in full

	busyUse  = 0.35                   // use from which agents tell often
	busyFor  = 2 * time.Second        // since the last sign of it
	tellBusy = 100 * time.Millisecond // between two tellings
	tellSoon = 40 * time.Millisecond  // and after news that can't wait
	tellCalm = time.Second
	toBusy   = 2 // agents that are told at a time
	toCalm   = 1
)

// AdmissionController is one agent's part of what the fleet decides: it lets in by the fleet's picture, as far as that is trusted, and else by the
// agent's own watch for storms behind it. It is not safe for concurrent use.
type AdmissionController struct {
	set     Options
	rng     *rand.Rand
	alone   *admission.Controller
	picture *FleetView
	order   []int // classes by worth
	ids     map[uint32]string
	ready   map[uint32]bool

	own     rates
	open    int     // let in and not ended
	use     float64 // own answers', fading
	usePeak float64 // the most of it lately
	useAt   time.Duration
	peak    float64 // attempts a second that agents said to make, the most lately
	peakAt  time.Duration
	inTime  float64 // own ends, fading
	late    float64
	endedAt time.Duration

	planned time.Duration
	plan    plan
	gain    float64
	steered time.Duration
	busyAt  time.Duration
	toldAt  time.Duration
	redrawn time.Duration // since when keys draw what they do
	salt    uint64
	counts  Counts
}

// Counts are what a Door has done since it was made.
type Counts struct {
	Rejected        [][2]uint64 // by class: first tries, repeats; on the fleet's account
	DecidedLocally  uint64      // that the agent's own watch decided
	PastDeadline    uint64      // of these, for want of time
	RejectedRetries uint64      // attempts beyond a call's first, for the fleet's budget
	PayloadsSent    uint64      // bodies
	View            ViewCounts
}

// New returns a Door before an agent's own watch.
func New(o Options, alone *admission.Controller) *AdmissionController {
	d := &AdmissionController{set: o, rng: rand.New(rand.NewPCG(o.Seed, 9)), alone: alone, ids: map[uint32]string{}, ready: map[uint32]bool{}, gain: 1}
	if n := len(o.TenantQuotas); n > MaxTenants { // those behind are one, as digests have them
		d.set.TenantQuotas = slices.Clone(o.TenantQuotas[:MaxTenants])
		for _, x := range o.TenantQuotas[MaxTenants:] {
			d.set.TenantQuotas[MaxTenants-1] += x
		}
	}
	d.picture = newPicture(o.Self, o.Agents, len(o.Classes), len(d.set.TenantQuotas))
	d.Retune(o.Classes)
	return d
}

// SetFleetPosition says which of how many agents this one is. It is called before anything is heard.
func (d *AdmissionController) SetFleetPosition(self, agents int) {
	d.set.Self, d.set.Agents = self, agents
	d.picture = newPicture(self, agents, d.picture.classes, d.picture.tenants)
}

// Retune takes the classes as they are from now on; each keeps its number.
func (d *AdmissionController) Retune(classes []admission.Class) {
	d.set.Classes = classes
	d.alone.Retune(classes)
	if n := min(len(classes), MaxClasses); n != d.picture.classes {
		p := newPicture(d.set.Self, d.set.Agents, n, len(d.set.TenantQuotas))
		p.servers, p.order, p.dead, p.alive = d.picture.servers, d.picture.order, d.picture.dead, d.picture.alive
		d.picture = p
	}
	d.own.room(d.picture.classes, d.picture.tenants)
	for len(d.counts.Rejected) < len(classes) {
		d.counts.Rejected = append(d.counts.Rejected, [2]uint64{})
	}
	d.order = d.order[:0]
	for i := range min(len(classes), MaxClasses) {
		d.order = append(d.order, i)
	}
	slices.SortStableFunc(d.order, func(a, b int) int { return cmp.Compare(classes[b].Priority, classes[a].Priority) })
	d.plan = plan{}
}

// kind is a class or a tenant as digests tell them apart.
func kind(i, kinds int) int { return min(max(i, 0), kinds-1) }

// Arrive is of engine.AdmissionController.
func (d *AdmissionController) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	pass, refusal := d.alone.Arrive(now, a)
	// Of a class that may be repeated at will many ask for the same: there the key tells no repeat for certain.
	repeat := a.IsRetry || !d.set.Classes[a.Class].Idempotent && (pass != nil && pass.IsRetry || refusal.IsRetry)
	d.look(now)
	lot := d.lot(now, a)
	d.own.asked(now, kind(a.Class, d.picture.classes), a.Tenant, repeat, lot, d.plan.chance(kind(a.Class, d.picture.classes), a.Tenant, false))
	if d.rng.Float64() >= d.plan.trust {
		if d.counts.DecidedLocally++; pass != nil {
			d.letIn(now)
		}
		return pass, refusal
	}
	bound := a.MayHaveRun || pass != nil && pass.MayHaveRun // its own watch never refuses one of which it knows that it may have run
	if !bound && d.refuses(now, a, repeat, lot) {
		if pass != nil { // it is not the agent's own watch that lets it in
			d.alone.Revoke(now, pass)
		}
		n := 0
		if repeat {
			n = 1
		}
		d.counts.Rejected[a.Class][n]++
		return nil, admission.Rejection{RetryAfter: d.after(), IsRetry: repeat} // its limit is the fleet's, and a rate: no header of a client's says that
	}
	d.letIn(now)
	if pass == nil {
		pass = admission.NewPermit(now, a, admission.IssuedByFleet)
	}
	return pass, admission.Rejection{}
}

func (d *AdmissionController) digest(now time.Duration) LoadDigest {
	return d.own.digest(now, d.set.Self, d.open)
}

func (d *AdmissionController) letIn(now time.Duration) {
	d.open++
	d.own.letIn.add(now, 1)
}

// lot is what a request draws, from 0 to 1. One that comes again draws the same for a while, so that what was refused is refused again and
// costs nobody a place in vain, as by then it would be late (after DAGOR's user-level priorities; H. Zhou and others, 2018).
func (d *AdmissionController) lot(now time.Duration, a admission.Request) float64 {
	if a.Key == "" {
		return d.rng.Float64()
	}
	if now-d.redrawn >= lotFor || d.redrawn == 0 {
		d.redrawn, d.salt = now, d.rng.Uint64()
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], d.salt)
	var h xxhash.Digest
	h.Reset()
	besteffort.IgnoreResult(h.Write(b[:]))
	besteffort.IgnoreResult(h.WriteString(a.Key))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// refuses reports whether a request is refused: the fleet has no room for its kind, or it can't be answered in time any more.
func (d *AdmissionController) refuses(now time.Duration, a admission.Request, repeat bool, lot float64) bool {
	chance := d.plan.chance(kind(a.Class, d.picture.classes), a.Tenant, repeat)
	if chance >= 1 || lot < chance && !d.alone.TooLate(now, a) {
		return false
	}
	if lot < chance {
		d.counts.PastDeadline++
	}
	return true
}

// after draws when a client had better come back: the later the more is refused, and never all at once.
func (d *AdmissionController) after() time.Duration {
	least := 0.3 + 0.5*d.plan.refused
	return time.Duration(float64(d.set.MaxRetryAfter) * (least + (1-least)*d.rng.Float64()))
}

// Done is of engine.AdmissionController.
func (d *AdmissionController) Done(now time.Duration, p *admission.Permit, end admission.Outcome) {
	class, took, by := p.Completion(now)
	d.open = max(0, d.open-1)
	if by == admission.IssuedByController {
		d.alone.Done(now, p, end)
	} else {
		d.alone.ObserveExternal(now, p, end)
	}
	fade := math.Exp(-float64(now-d.endedAt) / float64(proofFor))
	d.inTime, d.late, d.endedAt = d.inTime*fade, d.late*fade, now
	switch {
	case end == admission.OutcomeServed && took <= d.set.Classes[class].LatencyObjective:
		d.inTime++
		d.own.good.add(now, 1)
	case end == admission.OutcomeServed || end == admission.OutcomeFailed:
		d.late++
		d.own.late.add(now, 1)
	}
}

// Counts is of engine.AdmissionController.
func (d *AdmissionController) Counts() admission.Counts { return d.alone.Counts() }

// AllowsRetry reports whether an attempt beyond a call's first may go out: all agents' together keep to a share of the fleet's first tries. As long as little of it is spent
// anyone may, however little that one has to do itself.
func (d *AdmissionController) AllowsRetry(now time.Duration) bool {
	d.look(now)
	p := &d.plan
	if p.trust == 0 || d.rng.Float64() >= p.trust {
		return true
	}
	first := 0.0
	for _, x := range p.asked.NewRequests {
		first += x
	}
	part := extraPart
	if p.refused > 0 {
		part = extraFull
	}
	if d.rng.Float64() < 2*(1-p.asked.ExtraAttempts/max(part*first, math.SmallestNonzeroFloat64)) {
		return true
	}
	d.counts.RejectedRetries++
	return false
}

// AttemptSent takes that an attempt goes to a server; further is one beyond a call's first.
func (d *AdmissionController) AttemptSent(now time.Duration, id string, further bool) {
	if further {
		d.own.extra.add(now, 1)
	}
	if s := d.picture.server(ServerID(id)); s != nil {
		s.sent(now)
	}
}

// AttemptEnded takes how an attempt ended, with the server's report where Use is not below 0.
func (d *AdmissionController) AttemptEnded(now time.Duration, id string, result balancer.Result, rep balancer.Report) {
	number := ServerID(id)
	s := d.picture.server(number)
	if s == nil {
		return
	}
	s.ended(now, result)
	if result != balancer.OK || rep.Utilization < 0 {
		return
	}
	r := LoadReport{Server: number, Utilization: rep.Utilization}
	if rep.ServedRate > 0 && rep.Utilization >= sureUse {
		r.Capacity = rep.ServedRate / rep.Utilization
		if s.own > 0 { // reports are noisy
			r.Capacity = s.own + smooth*(r.Capacity-s.own)
		}
	}
	d.picture.report(now, r, true)
	keep := math.Exp(-float64(now-d.useAt) / float64(proofFor))
	if d.useAt == 0 {
		keep = 0
	}
	keep = min(keep, 1-smooth)
	d.usePeak *= math.Exp(-float64(now-d.useAt) / float64(proofHolds)) // while some are refused servers are less busy for that
	d.use, d.useAt = keep*d.use+(1-keep)*rep.Utilization, now
	d.usePeak = max(d.usePeak, d.use)
}

const (
	sureUse = 0.2 // use from which a report tells a capacity
	smooth  = 0.3
)

// UpdateServer takes which servers the agent's list names, and which of them are ready.
func (d *AdmissionController) UpdateServer(id string, there, ready bool) {
	number := ServerID(id)
	if !there {
		delete(d.ids, number)
		delete(d.ready, number)
		return
	}
	d.ids[number], d.ready[number] = id, ready
	d.picture.server(number)
}

// HandleLiveness takes which agents live, by number.
func (d *AdmissionController) HandleLiveness(alive []bool) { d.picture.lives(alive) }

// HandlePayload takes what another agent tells.
func (d *AdmissionController) HandlePayload(now time.Duration, from int, text []byte) error {
	b, err := parse(text)
	if err == nil && (from < 0 || from >= d.set.Agents || from == d.set.Self) {
		err = fmt.Errorf("agent %d is none of the others", from)
	}
	if err != nil {
		d.picture.counts.Malformed++
		return err
	}
	if d.picture.take(now, from, b); b.IsBusy {
		d.busyAt = max(d.busyAt, now-busyFor/2) // word alone keeps nobody busy
	}
	return nil
}

// NextPayload returns what is to be told now, and to how many others; no body where it is not time yet.
func (d *AdmissionController) NextPayload(now time.Duration, most int) (body []byte, to int) {
	d.look(now)
	every, to := tellCalm, toCalm
	if d.picture.urgent {
		every, to = tellSoon, toBusy
	} else if d.busyAt != 0 && now-d.busyAt < busyFor {
		every, to = tellBusy, toBusy
	}
	if d.toldAt != 0 && now-d.toldAt < every-every/4 {
		return nil, 0
	}
	d.toldAt, d.picture.urgent = now, false
	d.counts.PayloadsSent++
	return d.picture.tell(now, d.digest(now), now-d.busyAt < busyFor/2 && d.busyAt != 0, most), to
}

// ExcludedServers are the servers that are held out on the word of several agents, by id.
func (d *AdmissionController) ExcludedServers(now time.Duration) (ids []string) {
	for _, n := range d.picture.held(now, func(id uint32) bool { return d.ready[id] }) {
		ids = append(ids, d.ids[n])
	}
	return ids
}

// look makes a new plan when it is time.
func (d *AdmissionController) look(now time.Duration) {
	if now-d.planned < look && d.planned != 0 {
		return
	}
	passed := min(now-d.planned, time.Second).Seconds()
	d.planned = now
	p := d.picture
	p.forget(func(id uint32) bool { _, named := d.ids[id]; return named })
	p.speak(now)
	capacity, use, sure, known := p.capacity(now, func(id uint32) bool { return d.ready[id] })
	asked := p.sum(now, d.digest(now), capacity)
	if capacity == 0 && use > 0 { // servers that do not say what they do: what is let in makes them so busy
		capacity = asked.Admitted / use
	}
	use = sure*use + (1-sure)*min(use, targetUse) // where little is heard, as nearly all is refused, servers have long had room
	d.steer(now, use, asked)
	if use >= busyUse || d.plan.refused > 0 {
		d.busyAt = now
	}
	trust := min(1, known/trustedPart, float64(asked.KnownAgents)/float64(asked.AliveAgents)/trustedPart, d.plan.trust+passed/trustOver.Seconds())
	if capacity == 0 || d.useAt == 0 || asked.KnownAgents == 1 && d.set.Agents > 1 { // nothing is known of servers, by own answers, or of any other agent
		trust = 0
	}
	d.plan = d.newPlan(now, asked, capacity, use)
	d.plan.trust = trust
}

// aimedUse is how busy servers are to be, where such a share of the answers is late.
func aimedUse(late float64) float64 {
	return mostUse - (mostUse-targetUse)*min(1, late/lateFew)
}

// steer corrects the limit by what it brings: less where servers are full or answers late, and more, while some are refused, only if own
// answers are in time. What it goes by is as late as the word of others and an answer's time, 1 to 2 s, and the loop's gain is
// below what that bears (see the design note).
func (d *AdmissionController) steer(now time.Duration, use float64, asked Demand) {
	passed := min(now-d.steered, time.Second).Seconds()
	d.steered = now
	if d.plan.refused == 0 {
		d.gain += (1 - d.gain) * min(1, evenGain*passed)
		return
	}
	late := asked.lateShare()
	full := min(max((use-lateFrom)/(targetUse-lateFrom), 0), 1) // answers that come late from servers that have room by now are of before
	by := steerUse*(aimedUse(late)-use) - steerLate*full*max(0, late-lateMost)
	if by > 0 && (now-d.endedAt >= proofFor || d.inTime < ownGood*(d.inTime+d.late)) {
		return
	}
	d.gain = min(max(d.gain*math.Exp(by*passed), leastGain), mostGain)
}
