package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options configure a Core.
type Options struct {
	Self, Agents  int           // the agent's own number, and how many agents there are
	ProbeInterval time.Duration // between two probes; 0: a second
	Seed          uint64        // of the random draws
}

// Core is one agent's view of the other members and what it has to tell them. It is a deterministic state machine and not safe for
// concurrent use. The methods that return messages leave it to the caller to send them, in their order; times are on one monotonic clock.
//
// A caller calls Start, then Receive for each message that a Link has opened and Tick when NextTimer is due, and collects the observations
// of others by TakeObservations.
//
// Invariants: a member becomes Dead only after it was Suspect for at least the shortest suspicion timeout, in which its own announcement
// would have ended that; of two updates of a member the higher incarnation counts, and at the same incarnation the higher state; what is
// remembered and sent is bounded by constants, whatever others send.
type Core struct {
	options   Options
	rng       *rand.Rand
	startedAt time.Duration

	// Membership.
	members        []member // by number
	reachableCount int      // members for which isReachable holds, this agent among them
	suspects       []int    // members in state Suspect
	self           struct {
		incarnation uint32
		isLeaving   bool
	}

	// Failure detection.
	localHealth int   // Lifeguard's local health multiplier: 0 is well, maxLocalHealth the worst
	probeOrder  []int // all others, in the order in which they are probed
	probeIndex  int   // in probeOrder
	probeCount  int
	nextProbeAt time.Duration
	probe       probe
	proxyProbes []proxyProbe
	lastNumber  uint32 // of a Ping

	// Dissemination.
	updates          []broadcast[MemberUpdate]
	observations     map[observationKey]*broadcast[storedObservation]
	observationOrder []observationKey // the keys of observations, in the order in which they are repeated
	observationIndex int              // in observationOrder
	introduceIndex   int              // the member that was introduced last
	received         []ReceivedObservation

	counts Counts
}

// member is what is known of one member.
type member struct {
	state             State
	incarnation       uint32
	stateSince        time.Duration
	suspicionDeadline time.Duration // of a suspect: when it becomes Dead
	suspectedBy       []int         // of a suspect: the first members that reported it
	lastHeardAt       time.Duration // when a message of its own came; 0: never
	reachableCount    int           // how many members it holds for reachable, as it said last
}

// Counts says what a Core has done since it was made.
type Counts struct {
	Probes, Unanswered      uint64
	Suspected, DeclaredDead uint64 // other members, by this agent
	Refuted                 uint64 // suspicions of this agent
}

// New returns a Core that knows of no other member. It panics if o.Agents is 0 or doesn't include o.Self.
func New(o Options) *Core {
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = time.Second
	}
	c := &Core{options: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), members: make([]member, o.Agents),
		observations: map[observationKey]*broadcast[storedObservation]{}}
	c.probe.target, c.introduceIndex = noTarget, c.rng.IntN(o.Agents)
	c.members[o.Self].state = Alive
	c.reachableCount = 1
	for i := range o.Agents {
		if i != o.Self {
			c.probeOrder = append(c.probeOrder, i)
		}
	}
	c.shuffleProbeOrder()
	return c
}

// Start schedules the first probe, after a random part of an interval, so that agents that start together don't probe in step.
func (c *Core) Start(now time.Duration) {
	c.startedAt, c.nextProbeAt = now, now+time.Duration(c.rng.Float64()*startupIntervalRatio*float64(c.options.ProbeInterval))
	c.queueUpdate(MemberUpdate{Alive, c.options.Self, c.self.incarnation, c.options.Self})
}

// maxSeeds is how many members an agent pings at its start.
const maxSeeds = 6

// Seeds returns a few random members to Ping at the start: their Acks carry what they know. The slice belongs to the Core.
func (c *Core) Seeds() []int { return c.probeOrder[:min(len(c.probeOrder), maxSeeds)] }

// Ping returns a Ping beside the regular probes. Its Ack, or the lack of one, is no part of failure detection.
func (c *Core) Ping(now time.Duration, agent int) (out []Message) {
	c.lastNumber++
	c.send(now, &out, Message{Kind: Ping, To: agent, Number: c.lastNumber})
	return out
}

// Broadcast spreads an observation to all members. Like each observation it expires after ObservationTTL.
func (c *Core) Broadcast(now time.Duration, o Observation) { c.storeObservation(now, o) }

// SendPayload returns Payload messages to at most so many random members that are alive. The Core keeps a reference to payload in them.
func (c *Core) SendPayload(now time.Duration, payload []byte, agents int) (out []Message) {
	for _, i := range c.pickAlive(agents, noTarget) {
		out = append(out, Message{Kind: Payload, From: c.options.Self, To: i, Incarnation: c.self.incarnation, Payload: payload})
	}
	return out
}

// NextTimer returns when Tick has something to do next. It changes with each call of another method.
func (c *Core) NextTimer() time.Duration {
	next := c.nextProbeAt
	if p := &c.probe; p.target != noTarget {
		if next = min(next, p.deadline); !p.isIndirect && !p.isAcked {
			next = min(next, p.indirectAt)
		}
	}
	for _, p := range c.proxyProbes {
		next = min(next, p.deadline)
		if p.nackAt != 0 {
			next = min(next, p.nackAt)
		}
	}
	for _, i := range c.suspects {
		next = min(next, c.members[i].suspicionDeadline)
	}
	return next
}

// Tick does what is due by now: it continues and ends probes, declares suspects dead and starts the next probe.
func (c *Core) Tick(now time.Duration) (out []Message) {
	c.expireProxyProbes(now, &out)
	if p := &c.probe; p.target != noTarget {
		if !p.isAcked && !p.isIndirect && now >= p.indirectAt {
			c.sendIndirectProbes(now, &out)
		}
		if now >= p.deadline {
			c.endProbe(now)
		}
	}
	for _, i := range slices.Clone(c.suspects) {
		if m := &c.members[i]; now >= m.suspicionDeadline {
			c.counts.DeclaredDead++
			c.applyUpdate(now, MemberUpdate{Dead, i, m.incarnation, c.options.Self})
		}
	}
	if now >= c.nextProbeAt && c.probe.target == noTarget {
		c.startProbe(now, &out)
	}
	c.expireObservation(now)
	return out
}

// Receive handles a message of another member and returns the answers. The message must come from a Link, which has authenticated m.From
// and checked that it is the number of a member.
func (c *Core) Receive(now time.Duration, m Message) (out []Message) {
	sender := &c.members[m.From]
	sender.lastHeardAt = now
	if m.Kind == Leave {
		c.applyUpdate(now, MemberUpdate{Left, m.From, m.Incarnation, m.From})
		return nil
	}
	if m.Kind == Ping || m.Kind == Ack {
		sender.reachableCount = m.Target
	}
	c.confirmSender(now, m)
	c.takeRecords(now, m)
	switch m.Kind {
	case Ping:
		c.send(now, &out, Message{Kind: Ack, To: m.From, Number: m.Number})
	case Ack:
		c.handleAck(now, &out, m)
	case Nack:
		if c.probe.target != noTarget && m.Number == c.probe.number {
			c.probe.nacks++
		}
	case PingReq:
		c.startProxyProbe(now, &out, m)
	}
	return out
}

// takeRecords applies the updates and stores the observations of a message. Numbers of members that don't exist are ignored: they come
// from a faulty agent, or from one with a longer list of members.
func (c *Core) takeRecords(now time.Duration, m Message) {
	for _, u := range m.Updates {
		if u.Member < len(c.members) && u.Reporter < len(c.members) {
			c.applyUpdate(now, u)
		}
	}
	for _, o := range m.Observations {
		if len(c.received) < maxReceivedObservations {
			c.received = append(c.received, ReceivedObservation{m.From, o})
		}
		c.storeObservation(now, o)
	}
}

// TakeObservations returns the observations that other members have sent since the last call, repeated ones among them.
func (c *Core) TakeObservations() []ReceivedObservation {
	received := c.received
	c.received = nil
	return received
}

// Leave returns messages by which other members learn that this agent ends. Afterwards it no longer refutes what is said of it.
func (c *Core) Leave(now time.Duration) (out []Message) {
	c.self.isLeaving = true
	for _, i := range c.pickAlive(c.maxTransmissions(), noTarget) {
		c.send(now, &out, Message{Kind: Leave, To: i})
	}
	return out
}

// State returns what the agent holds a member for.
func (c *Core) State(agent int) State { return c.members[agent].state }

// AliveCount returns how many members are Alive or Suspect, this agent among them.
func (c *Core) AliveCount() int { return c.reachableCount }

// Counts returns what the Core has done so far.
func (c *Core) Counts() Counts { return c.counts }
