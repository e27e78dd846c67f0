package gossip

import (
	"math"
	"slices"
	"time"
)

// How long a suspect has to announce that it is alive (Lifeguard's suspicion timeout): from the multiplier times the maximum multiplier
// down to the multiplier, in probe intervals and times the decimal logarithm of the number of members, the shorter the more members
// suspect it.
const (
	suspicionMultiplier    = 3
	maxSuspicionMultiplier = 3
	maxConfirmations       = 3 // members beside the first whose suspicion shortens the timeout
)

// confirmSender notes that the sender of a message is alive. One that this agent holds for suspect, dead or left is told so by an update,
// upon which it announces a higher incarnation: without that it would stay unreachable for good after a false suspicion.
func (c *Core) confirmSender(now time.Duration, m Message) {
	sender := &c.members[m.From]
	switch {
	case m.Incarnation > sender.incarnation || sender.state == Unknown:
		c.applyUpdate(now, MemberUpdate{Alive, m.From, m.Incarnation, m.From})
	case sender.state != Alive:
		c.queueUpdate(MemberUpdate{sender.state, m.From, sender.incarnation, c.options.Self})
	}
}

// applyUpdate takes an update of a member over if it is news, and passes it on then.
func (c *Core) applyUpdate(now time.Duration, u MemberUpdate) {
	if u.Member == c.options.Self {
		c.refute(u)
		return
	}
	m := &c.members[u.Member]
	isSameIncarnation := u.Incarnation == m.incarnation
	if u.State == Suspect && m.state == Suspect && isSameIncarnation && len(m.suspectedBy) <= maxConfirmations && !slices.Contains(m.suspectedBy, u.Reporter) {
		c.confirmSuspicion(m, u)
		return
	}
	isNews := m.state == Unknown || u.Incarnation > m.incarnation || isSameIncarnation && u.State > m.state
	if !isNews {
		return
	}
	c.setState(now, m, u)
	c.queueUpdate(u)
}

// confirmSuspicion shortens the timeout of a suspect that another member suspects as well.
func (c *Core) confirmSuspicion(m *member, u MemberUpdate) {
	m.suspectedBy = append(m.suspectedBy, u.Reporter)
	m.suspicionDeadline = m.stateSince + c.suspicionTimeout(len(m.suspectedBy)-1)
	c.queueUpdate(u)
}

func (c *Core) setState(now time.Duration, m *member, u MemberUpdate) {
	if isReachable(m.state) {
		c.reachableCount--
	}
	if m.state == Suspect {
		c.suspects = slices.DeleteFunc(c.suspects, func(i int) bool { return i == u.Member })
	}
	m.state, m.incarnation, m.stateSince, m.suspectedBy = u.State, u.Incarnation, now, nil
	if isReachable(m.state) {
		c.reachableCount++
	}
	if u.State == Suspect {
		c.counts.Suspected++
		c.suspects = append(c.suspects, u.Member)
		m.suspectedBy = []int{u.Reporter}
		m.suspicionDeadline = now + c.suspicionTimeout(0)
	}
}

// suspicionTimeout returns how long a suspect has to announce that it is alive, where so many members confirmed the suspicion.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	shortest := suspicionMultiplier * max(1, math.Log10(float64(c.reachableCount))) * float64(c.options.ProbeInterval)
	longest := shortest * maxSuspicionMultiplier
	expected := min(maxConfirmations, max(1, c.reachableCount-2))
	return time.Duration(max(shortest, longest-(longest-shortest)*math.Log(float64(confirmations)+1)/math.Log(float64(expected)+1)))
}

// refute answers an update of this agent itself by a higher incarnation, unless it is out of date or true.
func (c *Core) refute(u MemberUpdate) {
	if c.self.isLeaving || u.Incarnation < c.self.incarnation || u.Incarnation == c.self.incarnation && u.State == Alive {
		return
	}
	if u.State != Alive {
		c.counts.Refuted++
		if u.State == Suspect {
			c.worsenLocalHealth()
		}
	}
	c.self.incarnation = u.Incarnation + 1
	c.queueUpdate(MemberUpdate{Alive, c.options.Self, c.self.incarnation, c.options.Self})
}
