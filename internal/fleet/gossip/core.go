package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Options are what a Core goes by.
type Options struct {
	Self, Agents  int
	ProbeInterval time.Duration // between two probes; 0: a second
	Seed          uint64
}

const (
	probePart     = 0.4  // of a period, for which an answer is waited for before others are asked to probe
	indirect      = 3    // others that are asked
	suspicionLow  = 3    // periods, times the logarithm of how many agents there are, for which a suspect may speak up at the least
	suspicionHigh = 3    // times as long where nobody else suspects it
	confirmMost   = 3    // others whose suspicion shortens that
	retransmit    = 4    // times the decimal logarithm of how many agents there are, that a rumour is told
	mostSlow      = 8    // how much slower an agent gets that seems ill itself (Lifeguard's local health)
	deadEvery     = 8    // probes, of which one goes to an agent that is held for dead or was never heard of
	meetEvery     = 0.25 // of a period, between two probes in the first periods
	meetFor       = 8    // periods
	mostFacts     = 512
	mostRumours   = 4096
	factTold      = 2 // times as often as rumours, that a fact is told
	mostHeard     = 1024
	firstGreeted  = 6
	mostRequests  = 64 // probes on behalf of others at a time
)

// ObservationTTL is how long a fact is remembered.
const ObservationTTL = time.Minute

// ReceivedObservation is a fact as another agent told it.
type ReceivedObservation struct {
	From int
	Observation
}

// Core is one agent's view of the others. It is a deterministic state machine, not safe for concurrent use: the time, messages and
// facts go in, messages come out.
//
// Invariants: an agent is held for dead only after it was suspected for at least the least time, in which its own word would have
// ended that; of an agent the higher incarnation counts, and of the same the worse state; what is remembered and sent is bounded by
// the constants above, whatever comes.
type Core struct {
	set     Options
	rng     *rand.Rand
	began   time.Duration
	members []member
	self    struct {
		incarnation uint32
		leaving     bool
	}
	slow       int // local health: 0 is well
	order      []int
	turn       int
	probes     int
	due        time.Duration // of the next probe
	probe      probe
	number     uint32
	requests   []request
	rumours    []telling[MemberUpdate]
	facts      map[factKey]*telling[kept]
	ring       []factKey // of facts, in the order in which they are told when nothing is new
	ringAt     int
	introduced int // who was, last
	heard      []ReceivedObservation
	suspects   []int
	alive      int
	counts     Counts
}

type member struct {
	state       State
	incarnation uint32
	since       time.Duration
	until       time.Duration // of a suspect: when it is dead
	by          []int         // who suspects it, the first few
	latest      time.Duration // when something came from it
	knows       int           // how many it knows to live, as it said last
}

// probe is the one under way.
type probe struct {
	target   int // -1: none
	number   uint32
	asked    bool          // others were
	ask      time.Duration // when they are
	end      time.Duration
	answered bool
	nacks    int
	requests int
}

// request is a probe on behalf of another.
type request struct {
	from, target int
	number, own  uint32
	nack, end    time.Duration
}

type factKey struct {
	kind ObservationKind
	id   uint64
}

type kept struct {
	value uint32
	at    time.Duration
}

// telling is something that is told for a while.
type telling[T any] struct {
	what  T
	times int
}

// Counts are what a Core has done since it was made.
type Counts struct {
	Probes, Unanswered      uint64
	Suspected, DeclaredDead uint64 // of others, here
	Refuted                 uint64 // suspicions of this agent
}

// New returns a Core that has heard of nobody.
func New(o Options) *Core {
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = time.Second
	}
	c := &Core{set: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), members: make([]member, o.Agents), facts: map[factKey]*telling[kept]{}}
	c.probe.target, c.introduced = -1, c.rng.IntN(o.Agents)
	c.members[o.Self].state = Alive
	c.alive = 1
	for i := range o.Agents {
		if i != o.Self {
			c.order = append(c.order, i)
		}
	}
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	return c
}

// Start lets the Core begin, some part of a period later.
func (c *Core) Start(now time.Duration) {
	c.began, c.due = now, now+time.Duration(c.rng.Float64()*meetEvery*float64(c.set.ProbeInterval))
	c.rumour(MemberUpdate{Alive, c.set.Self, c.self.incarnation, c.set.Self})
}

// Ping pings an agent at once, beside the probes: one that is met after a start answers with what it knows.
func (c *Core) Ping(now time.Duration, agent int) (out []Message) {
	c.number++
	c.send(now, &out, Message{Kind: Ping, To: agent, Number: c.number})
	return out
}

// Seeds are a few agents to greet at a start, drawn from all.
func (c *Core) Seeds() []int { return c.order[:min(len(c.order), firstGreeted)] }

// tellings is how often a rumour is told.
func (c *Core) tellings() int {
	return retransmit * max(1, int(math.Ceil(math.Log10(float64(len(c.members)+1)))))
}

// State is what is held of an agent.
func (c *Core) State(agent int) State { return c.members[agent].state }

// AliveCount is how many agents live as far as is known, suspects and this one among them.
func (c *Core) AliveCount() int { return c.alive }

// Counts are the figures.
func (c *Core) Counts() Counts { return c.counts }

// TakeObservations returns the facts that others have told since the last call.
func (c *Core) TakeObservations() []ReceivedObservation {
	h := c.heard
	c.heard = nil
	return h
}

// Broadcast lets a fact be told to all others.
func (c *Core) Broadcast(now time.Duration, f Observation) { c.fact(now, f) }

// NextTimer is when Tick has something to do.
func (c *Core) NextTimer() time.Duration {
	due := c.due
	if p := &c.probe; p.target >= 0 {
		if due = min(due, p.end); !p.asked && !p.answered {
			due = min(due, p.ask)
		}
	}
	for _, r := range c.requests {
		due = min(due, r.end)
		if r.nack != 0 {
			due = min(due, r.nack)
		}
	}
	for _, i := range c.suspects {
		due = min(due, c.members[i].until)
	}
	return due
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) (out []Message) {
	c.endRequests(now, &out)
	if p := &c.probe; p.target >= 0 {
		if !p.answered && !p.asked && now >= p.ask {
			c.askOthers(now, &out)
		}
		if now >= p.end {
			c.endProbe(now)
		}
	}
	for _, i := range slices.Clone(c.suspects) {
		if m := &c.members[i]; now >= m.until {
			c.counts.DeclaredDead++
			c.take(now, MemberUpdate{Dead, i, m.incarnation, c.set.Self})
		}
	}
	if now >= c.due && c.probe.target < 0 {
		c.next(now, &out)
	}
	c.forget(now)
	return out
}

// period is the time between two probes: shorter at first, so that agents which start together know of each other soon, and longer
// while this one seems ill itself.
func (c *Core) period(now time.Duration) time.Duration {
	if now-c.began < meetFor*c.set.ProbeInterval {
		return time.Duration(meetEvery * float64(c.set.ProbeInterval))
	}
	return c.set.ProbeInterval * time.Duration(1+c.slow)
}

// next begins the next probe.
func (c *Core) next(now time.Duration, out *[]Message) {
	period := c.period(now)
	c.due = now + period
	target := c.choose(now)
	if target < 0 {
		return
	}
	c.number++
	c.probes++
	c.counts.Probes++
	c.probe = probe{target: target, number: c.number, ask: now + time.Duration(probePart*float64(period)), end: now + period}
	c.send(now, out, Message{Kind: Ping, To: target, Number: c.number})
}

// choose is whom to probe: those that live in turn, by an order that is shuffled each time, and now and then one that does not, so
// that two parts of a fleet that could not hear each other find each other again.
func (c *Core) choose(now time.Duration) int {
	meeting := now-c.began < meetFor*c.set.ProbeInterval
	lost := meeting && c.probes%2 == 0 || c.probes%deadEvery == deadEvery-1
	for pass := range 2 {
		for range c.order {
			if c.turn == 0 {
				c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
			}
			i := c.order[c.turn]
			c.turn = (c.turn + 1) % len(c.order)
			lives := c.members[i].state == Alive || c.members[i].state == Suspect
			if lives != lost || pass == 1 && c.members[i].state != Left {
				return i
			}
		}
	}
	return -1
}

// askOthers asks a few others to probe who has not answered.
func (c *Core) askOthers(now time.Duration, out *[]Message) {
	p := &c.probe
	p.asked = true
	if s := c.members[p.target].state; s != Alive && s != Suspect {
		return
	}
	for _, i := range c.some(indirect, p.target) {
		p.requests++
		c.send(now, out, Message{Kind: PingReq, To: i, Number: p.number, Target: p.target})
	}
}

// SendPayload tells so many others, drawn from those that live, what other parts of the agent have to tell.
func (c *Core) SendPayload(now time.Duration, body []byte, to int) (out []Message) {
	for _, i := range c.some(to, -1) {
		out = append(out, Message{Kind: Payload, From: c.set.Self, To: i, Incarnation: c.self.incarnation, Payload: body})
	}
	return out
}

// some draws so many of those that live.
func (c *Core) some(n, but int) (chosen []int) {
	if len(c.order) == 0 { // this agent is the only one
		return nil
	}
	for range 4 * n {
		i := c.order[c.rng.IntN(len(c.order))]
		if i != but && c.members[i].state == Alive && !slices.Contains(chosen, i) {
			if chosen = append(chosen, i); len(chosen) == n {
				break
			}
		}
	}
	return chosen
}

// endProbe suspects who has not answered in time, directly or by way of others. Where those did not even say that they tried, it is
// this agent that can't be heard.
func (c *Core) endProbe(now time.Duration) {
	p := c.probe
	c.probe = probe{target: -1}
	m := &c.members[p.target]
	if p.answered || m.latest != 0 && now-m.latest < c.set.ProbeInterval {
		c.slow = max(0, c.slow-1)
		return
	}
	if m.state != Alive && m.state != Suspect {
		return
	}
	c.counts.Unanswered++
	if p.requests > 0 && p.nacks < p.requests {
		c.slow = min(mostSlow, c.slow+1)
	}
	c.take(now, MemberUpdate{Suspect, p.target, m.incarnation, c.set.Self})
}

// endRequests says of probes on behalf of others that they were in vain.
func (c *Core) endRequests(now time.Duration, out *[]Message) {
	c.requests = slices.DeleteFunc(c.requests, func(r request) bool {
		return now >= r.end
	})
	for i := range c.requests {
		if r := &c.requests[i]; r.nack != 0 && now >= r.nack {
			r.nack = 0
			c.send(now, out, Message{Kind: Nack, To: r.from, Number: r.number, Target: r.target})
		}
	}
}

// Receive takes a message that another agent has sent, which a Link has opened.
func (c *Core) Receive(now time.Duration, m Message) (out []Message) {
	from := &c.members[m.From]
	from.latest = now
	if m.Kind == Leave {
		c.take(now, MemberUpdate{Left, m.From, m.Incarnation, m.From})
		return nil
	}
	if m.Kind == Ping || m.Kind == Ack {
		from.knows = m.Target
	}
	c.lives(now, m)
	for _, r := range m.Updates {
		if r.Member < len(c.members) && r.Reporter < len(c.members) {
			c.take(now, r)
		}
	}
	for _, f := range m.Observations {
		if len(c.heard) < mostHeard {
			c.heard = append(c.heard, ReceivedObservation{m.From, f})
		}
		c.fact(now, f)
	}
	switch m.Kind {
	case Ping:
		c.send(now, &out, Message{Kind: Ack, To: m.From, Number: m.Number})
	case Ack:
		if c.probe.target >= 0 && m.Number == c.probe.number {
			c.probe.answered = true
		}
		for i, r := range c.requests {
			if r.own == m.Number && r.target == m.From {
				c.requests = slices.Delete(c.requests, i, i+1)
				c.send(now, &out, Message{Kind: Ack, To: r.from, Number: r.number})
				break
			}
		}
	case Nack:
		if c.probe.target >= 0 && m.Number == c.probe.number {
			c.probe.nacks++
		}
	case PingReq:
		if m.Target < len(c.members) && m.Target != c.set.Self && m.Target != m.From && len(c.requests) < mostRequests {
			c.number++
			part := time.Duration(probePart * float64(c.set.ProbeInterval))
			c.requests = append(c.requests, request{m.From, m.Target, m.Number, c.number, now + part, now + c.set.ProbeInterval})
			c.send(now, &out, Message{Kind: Ping, To: m.Target, Number: c.number})
		}
	}
	return out
}

// lives takes note of an agent's own word that it lives. One that others hold for dead is told so, and says it louder.
func (c *Core) lives(now time.Duration, m Message) {
	known := &c.members[m.From]
	switch {
	case m.Incarnation > known.incarnation || known.state == Unknown:
		c.take(now, MemberUpdate{Alive, m.From, m.Incarnation, m.From})
	case known.state != Alive:
		c.rumour(MemberUpdate{known.state, m.From, known.incarnation, c.set.Self})
	}
}

// take takes a rumour, and tells it on if it is news.
func (c *Core) take(now time.Duration, r MemberUpdate) {
	if r.Member == c.set.Self {
		c.refute(r)
		return
	}
	m := &c.members[r.Member]
	news := m.state == Unknown || r.Incarnation > m.incarnation || r.Incarnation == m.incarnation && r.State > m.state
	if r.State == Suspect && m.state == Suspect && r.Incarnation == m.incarnation && len(m.by) <= confirmMost && !slices.Contains(m.by, r.Reporter) {
		m.by = append(m.by, r.Reporter) // others see it as well: it has less time
		m.until = m.since + c.suspicion(len(m.by)-1)
		c.rumour(r)
		return
	}
	if !news {
		return
	}
	c.alive -= living(m.state)
	if m.state == Suspect {
		c.suspects = slices.DeleteFunc(c.suspects, func(i int) bool { return i == r.Member })
	}
	m.state, m.incarnation, m.since, m.by = r.State, r.Incarnation, now, nil
	c.alive += living(m.state)
	if r.State == Suspect {
		c.counts.Suspected++
		c.suspects = append(c.suspects, r.Member)
		m.by = []int{r.Reporter}
		m.until = now + c.suspicion(0)
	}
	c.rumour(r)
}

func living(s State) int {
	if s == Alive || s == Suspect {
		return 1
	}
	return 0
}

// suspicion is for how long a suspect may speak up, where so many others suspect it as well.
func (c *Core) suspicion(others int) time.Duration {
	low := suspicionLow * max(1, math.Log10(float64(c.alive))) * float64(c.set.ProbeInterval)
	high := low * suspicionHigh
	k := min(confirmMost, max(1, c.alive-2))
	return time.Duration(max(low, high-(high-low)*math.Log(float64(others)+1)/math.Log(float64(k)+1)))
}

// refute answers what is said of this agent.
func (c *Core) refute(r MemberUpdate) {
	if c.self.leaving || r.Incarnation < c.self.incarnation || r.Incarnation == c.self.incarnation && r.State == Alive {
		return
	}
	if r.State != Alive {
		c.counts.Refuted++
		if r.State == Suspect {
			c.slow = min(mostSlow, c.slow+1)
		}
	}
	c.self.incarnation = r.Incarnation + 1
	c.rumour(MemberUpdate{Alive, c.set.Self, c.self.incarnation, c.set.Self})
}

// Leave ends this agent for the others.
func (c *Core) Leave(now time.Duration) (out []Message) {
	c.self.leaving = true
	for _, i := range c.some(c.tellings(), -1) {
		c.send(now, &out, Message{Kind: Leave, To: i})
	}
	return out
}

// rumour puts a rumour on the list of what is told. There is one of each subject; of many the most told goes.
func (c *Core) rumour(r MemberUpdate) {
	at := slices.IndexFunc(c.rumours, func(t telling[MemberUpdate]) bool {
		return t.what.Member == r.Member && (t.what.State != Suspect || r.State != Suspect || t.what.Reporter == r.Reporter || t.what.Incarnation < r.Incarnation)
	})
	if at >= 0 {
		c.rumours = slices.Delete(c.rumours, at, at+1)
	}
	c.rumours = append(c.rumours, telling[MemberUpdate]{what: r})
	if len(c.rumours) > mostRumours {
		c.rumours = slices.Delete(c.rumours, 0, 1)
	}
}

// fact takes a fact up, if it is newer than what is known.
func (c *Core) fact(now time.Duration, f Observation) {
	at := now - f.Age
	if f.Age >= ObservationTTL {
		return
	}
	k := factKey{f.Kind, f.ID}
	known := c.facts[k]
	if known != nil && (at <= known.what.at+200*time.Millisecond || f.Value == known.what.value && at <= known.what.at+time.Second) {
		return // ages are told to a tenth of a second
	}
	if known == nil {
		if len(c.facts) >= mostFacts {
			return
		}
		c.ring = append(c.ring, k)
	}
	c.facts[k] = &telling[kept]{what: kept{f.Value, at}}
}

// forget drops facts that are old.
func (c *Core) forget(now time.Duration) {
	if len(c.ring) == 0 {
		return
	}
	c.ringAt = (c.ringAt + 1) % len(c.ring)
	if k := c.ring[c.ringAt]; now-c.facts[k].what.at >= ObservationTTL {
		delete(c.facts, k)
		c.ring[c.ringAt] = c.ring[len(c.ring)-1]
		c.ring = c.ring[:len(c.ring)-1]
	}
}

// send writes a message and fills it with what is to be told: first what the other is said to be, then what was told least.
func (c *Core) send(now time.Duration, out *[]Message, m Message) {
	m.From, m.Incarnation = c.set.Self, c.self.incarnation
	if t := &c.members[m.To]; t.state >= Suspect {
		m.Updates = append(m.Updates, MemberUpdate{t.state, m.To, t.incarnation, c.set.Self})
	}
	most := c.tellings()
	// Observations have a third of the room at least, where there are any.
	reserved := min(len(c.ring), room/3/factSize)
	slices.SortStableFunc(c.rumours, func(x, y telling[MemberUpdate]) int { return x.times - y.times })
	for i := range c.rumours {
		if (len(m.Updates)+1)*rumourSize+reserved*factSize > room {
			break
		}
		if t := &c.rumours[i]; t.what.Member != m.To {
			m.Updates = append(m.Updates, t.what)
			t.times++
		}
	}
	c.rumours = slices.DeleteFunc(c.rumours, func(t telling[MemberUpdate]) bool { return t.times >= most })
	_, left := recordCapacity(len(m.Updates))
	for pass := range 2 { // those that are news, then others in turn, for who has started anew
		for n := len(c.ring); n > 0 && len(m.Observations) < left; n-- {
			c.ringAt = (c.ringAt + 1) % len(c.ring)
			k := c.ring[c.ringAt]
			t := c.facts[k]
			age := now - t.what.at
			told := slices.ContainsFunc(m.Observations, func(f Observation) bool { return f.Kind == k.kind && f.ID == k.id })
			if told || age >= ObservationTTL || (pass == 0) != (t.times < factTold*most) {
				continue
			}
			t.times++
			m.Observations = append(m.Observations, Observation{k.kind, k.id, t.what.value, age})
		}
	}
	if m.Kind == Ping || m.Kind == Ack {
		m.Target = min(c.alive, mostPeers-1)
	}
	if left := c.members[m.To].knows; m.Kind == Ack && left != 0 && left < c.alive {
		c.introduce(&m)
	}
	*out = append(*out, m)
}

// introduce tells one that knows few of the others in turn, as far as there is room.
func (c *Core) introduce(m *Message) {
	for n := len(c.members); n > 0 && (len(m.Updates)+1)*rumourSize+len(m.Observations)*factSize <= room; n-- {
		c.introduced = (c.introduced + 1) % len(c.members)
		i, o := c.introduced, &c.members[c.introduced]
		if living(o.state) == 1 && i != m.To && i != c.set.Self && !slices.ContainsFunc(m.Updates, func(r MemberUpdate) bool { return r.Member == i }) {
			m.Updates = append(m.Updates, MemberUpdate{Alive, i, o.incarnation, i})
		}
	}
}
