package gossip

import (
	"slices"
	"time"
)

// How members are probed.
const (
	// probeTimeoutRatio of an interval is how long an Ack is awaited before others are asked to ping the member.
	probeTimeoutRatio = 0.4
	indirectProbes    = 3  // members that are asked
	maxProxyProbes    = 64 // on behalf of others, at a time
	maxLocalHealth    = 8  // intervals that are added to the interval between two probes of an agent that can't be heard itself
	// One of so many probes goes to a member that isn't reachable, so that the two halves of a partitioned fleet find each other again.
	probesPerReconnect = 8
)

// In the first intervals after the start probes are more frequent, so that agents that start together soon know of each other.
const (
	startupIntervals     = 8
	startupIntervalRatio = 0.25 // of an interval, between two probes
)

// noTarget is the target of a probe when none is under way, and no member's number.
const noTarget = -1

// probe is the agent's own probe. There is one at a time.
type probe struct {
	target     int // noTarget: none is under way
	number     uint32
	indirectAt time.Duration // when other members are asked to ping the target
	isIndirect bool          // they were asked
	requests   int           // how many were asked
	nacks      int           // how many of them answered that they got no Ack
	isAcked    bool
	deadline   time.Duration
}

// proxyProbe is a probe that another member asked for by PingReq.
type proxyProbe struct {
	requester, target int
	requestNumber     uint32 // of the PingReq
	number            uint32 // of the Ping that was sent for it
	nackAt            time.Duration
	deadline          time.Duration
}

// probeInterval returns the time between two probes: shorter after the start, and longer while the agent can't be heard itself.
func (c *Core) probeInterval(now time.Duration) time.Duration {
	if c.isStartingUp(now) {
		return time.Duration(startupIntervalRatio * float64(c.options.ProbeInterval))
	}
	return c.options.ProbeInterval * time.Duration(1+c.localHealth)
}

func (c *Core) isStartingUp(now time.Duration) bool {
	return now-c.startedAt < startupIntervals*c.options.ProbeInterval
}

// startProbe pings the next member.
func (c *Core) startProbe(now time.Duration, out *[]Message) {
	interval := c.probeInterval(now)
	c.nextProbeAt = now + interval
	target := c.chooseTarget(now)
	if target == noTarget {
		return
	}
	c.lastNumber++
	c.probeCount++
	c.counts.Probes++
	c.probe = probe{target: target, number: c.lastNumber, indirectAt: now + time.Duration(probeTimeoutRatio*float64(interval)), deadline: now + interval}
	c.send(now, out, Message{Kind: Ping, To: target, Number: c.lastNumber})
}

// chooseTarget returns the member to probe: the reachable ones in turn, in an order that is shuffled before each round, and now and then
// an unreachable one.
func (c *Core) chooseTarget(now time.Duration) int {
	wantsUnreachable := c.isStartingUp(now) && c.probeCount%2 == 0 || c.probeCount%probesPerReconnect == probesPerReconnect-1
	for pass := range 2 { // in the second anyone who hasn't left
		for range c.probeOrder {
			if c.probeIndex == 0 {
				c.shuffleProbeOrder()
			}
			i := c.probeOrder[c.probeIndex]
			c.probeIndex = (c.probeIndex + 1) % len(c.probeOrder)
			if isReachable(c.members[i].state) != wantsUnreachable || pass == 1 && c.members[i].state != Left {
				return i
			}
		}
	}
	return noTarget
}

func (c *Core) shuffleProbeOrder() {
	c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}

// sendIndirectProbes asks other members to ping the target. A target that was unreachable before isn't worth that.
func (c *Core) sendIndirectProbes(now time.Duration, out *[]Message) {
	p := &c.probe
	p.isIndirect = true
	if !isReachable(c.members[p.target].state) {
		return
	}
	for _, i := range c.pickAlive(indirectProbes, p.target) {
		p.requests++
		c.send(now, out, Message{Kind: PingReq, To: i, Number: p.number, Target: p.target})
	}
}

// pickAlive draws up to n members that are Alive, except one.
func (c *Core) pickAlive(n, except int) (picked []int) {
	if len(c.probeOrder) == 0 { // this agent is the only member
		return nil
	}
	for range 4 * n {
		i := c.probeOrder[c.rng.IntN(len(c.probeOrder))]
		if i != except && c.members[i].state == Alive && !slices.Contains(picked, i) {
			if picked = append(picked, i); len(picked) == n {
				break
			}
		}
	}
	return picked
}

// endProbe suspects the target if neither it nor a member on its behalf answered. Where not even Nacks came from all that were asked, it
// is likely this agent that can't be heard: it probes more slowly, as otherwise one overloaded agent would suspect the whole fleet.
func (c *Core) endProbe(now time.Duration) {
	p := c.probe
	c.probe = probe{target: noTarget}
	target := &c.members[p.target]
	if p.isAcked || target.lastHeardAt != 0 && now-target.lastHeardAt < c.options.ProbeInterval {
		c.localHealth = max(0, c.localHealth-1)
		return
	}
	if !isReachable(target.state) {
		return
	}
	c.counts.Unanswered++
	if p.requests > 0 && p.nacks < p.requests {
		c.worsenLocalHealth()
	}
	c.applyUpdate(now, MemberUpdate{Suspect, p.target, target.incarnation, c.options.Self})
}

func (c *Core) worsenLocalHealth() { c.localHealth = min(maxLocalHealth, c.localHealth+1) }

// startProxyProbe pings a member on behalf of the sender of a PingReq.
func (c *Core) startProxyProbe(now time.Duration, out *[]Message, m Message) {
	if m.Target >= len(c.members) || m.Target == c.options.Self || m.Target == m.From || len(c.proxyProbes) >= maxProxyProbes {
		return
	}
	c.lastNumber++
	timeout := time.Duration(probeTimeoutRatio * float64(c.options.ProbeInterval))
	c.proxyProbes = append(c.proxyProbes, proxyProbe{requester: m.From, target: m.Target, requestNumber: m.Number, number: c.lastNumber,
		nackAt: now + timeout, deadline: now + c.options.ProbeInterval})
	c.send(now, out, Message{Kind: Ping, To: m.Target, Number: c.lastNumber})
}

// expireProxyProbes ends the probes on behalf of others whose time is over, and sends the Nacks that are due.
func (c *Core) expireProxyProbes(now time.Duration, out *[]Message) {
	c.proxyProbes = slices.DeleteFunc(c.proxyProbes, func(p proxyProbe) bool { return now >= p.deadline })
	for i := range c.proxyProbes {
		if p := &c.proxyProbes[i]; p.nackAt != 0 && now >= p.nackAt {
			p.nackAt = 0
			c.send(now, out, Message{Kind: Nack, To: p.requester, Number: p.requestNumber, Target: p.target})
		}
	}
}

// handleAck ends the agent's own probe in success, or passes the Ack on to the member that asked for the probe.
func (c *Core) handleAck(now time.Duration, out *[]Message, m Message) {
	if c.probe.target != noTarget && m.Number == c.probe.number {
		c.probe.isAcked = true
	}
	for i, p := range c.proxyProbes {
		if p.number == m.Number && p.target == m.From {
			c.proxyProbes = slices.Delete(c.proxyProbes, i, i+1)
			c.send(now, out, Message{Kind: Ack, To: p.requester, Number: p.requestNumber})
			break
		}
	}
}
