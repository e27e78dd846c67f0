package gossip

import (
	"math"
	"slices"
	"time"
)

// How often things are sent, and how much is remembered.
const (
	retransmitMultiplier        = 4 // times the decimal logarithm of the number of members, that an update is sent
	observationRetransmitFactor = 2 // times as often as updates, that an observation is sent as news
	maxUpdates                  = 4096
	maxObservations             = 512
	maxReceivedObservations     = 1024 // that wait for TakeObservations
)

// ObservationTTL is how long an observation is remembered and sent, from the time at which it was true.
const ObservationTTL = time.Minute

// Ages on the wire are rounded to a tenth of a second, so that a repeated observation may seem a little newer than the stored one.
const (
	newerObservation = 200 * time.Millisecond // by which an observation with another value has to be newer to replace the stored one
	sameValueRefresh = time.Second            // and one with the same value
)

// ReceivedObservation is an observation and the member that sent it, which need not be the one that made it.
type ReceivedObservation struct {
	From int
	Observation
}

// broadcast is something that is sent a number of times.
type broadcast[T any] struct {
	item          T
	transmissions int
}

type observationKey struct {
	kind ObservationKind
	id   uint64
}

type storedObservation struct {
	value      uint32
	observedAt time.Duration
}

// maxTransmissions returns how often an update is sent: about as often as it takes to reach all members with near certainty.
func (c *Core) maxTransmissions() int {
	return retransmitMultiplier * max(1, int(math.Ceil(math.Log10(float64(len(c.members)+1)))))
}

// queueUpdate sends an update with the next messages. It replaces an earlier one of the same member, except that suspicions of different
// reporters stand beside each other; over maxUpdates the one that was sent most often is dropped.
func (c *Core) queueUpdate(u MemberUpdate) {
	replaced := slices.IndexFunc(c.updates, func(b broadcast[MemberUpdate]) bool {
		return b.item.Member == u.Member &&
			(b.item.State != Suspect || u.State != Suspect || b.item.Reporter == u.Reporter || b.item.Incarnation < u.Incarnation)
	})
	if replaced >= 0 {
		c.updates = slices.Delete(c.updates, replaced, replaced+1)
	}
	if len(c.updates) >= maxUpdates {
		c.dropMostSentUpdate()
	}
	c.updates = append(c.updates, broadcast[MemberUpdate]{item: u})
}

// dropMostSentUpdate drops the update that was sent most often, and of several the first.
func (c *Core) dropMostSentUpdate() {
	most := 0
	for i, b := range c.updates {
		if b.transmissions > c.updates[most].transmissions {
			most = i
		}
	}
	c.updates = slices.Delete(c.updates, most, most+1)
}

// storeObservation takes an observation over if it is newer than the stored one of the same kind and id.
func (c *Core) storeObservation(now time.Duration, o Observation) {
	observedAt := now - o.Age
	if o.Age >= ObservationTTL {
		return
	}
	key := observationKey{o.Kind, o.ID}
	stored := c.observations[key]
	if stored != nil && (observedAt <= stored.item.observedAt+newerObservation ||
		o.Value == stored.item.value && observedAt <= stored.item.observedAt+sameValueRefresh) {
		return
	}
	if stored == nil {
		if len(c.observations) >= maxObservations {
			return
		}
		c.observationOrder = append(c.observationOrder, key)
	}
	c.observations[key] = &broadcast[storedObservation]{item: storedObservation{o.Value, observedAt}}
}

// expireObservation drops the next observation in turn if it has expired. One for each Tick is enough, as expired ones aren't sent.
func (c *Core) expireObservation(now time.Duration) {
	if len(c.observationOrder) == 0 {
		return
	}
	c.observationIndex = (c.observationIndex + 1) % len(c.observationOrder)
	if key := c.observationOrder[c.observationIndex]; now-c.observations[key].item.observedAt >= ObservationTTL {
		delete(c.observations, key)
		c.observationOrder[c.observationIndex] = c.observationOrder[len(c.observationOrder)-1]
		c.observationOrder = c.observationOrder[:len(c.observationOrder)-1]
	}
}

// send completes a message with as many updates and observations as fit and appends it to out.
func (c *Core) send(now time.Duration, out *[]Message, m Message) {
	m.From, m.Incarnation = c.options.Self, c.self.incarnation
	if receiver := &c.members[m.To]; receiver.state >= Suspect { // which it has to refute
		m.Updates = append(m.Updates, MemberUpdate{receiver.state, m.To, receiver.incarnation, c.options.Self})
	}
	c.addUpdates(&m)
	c.addObservations(now, &m)
	if m.Kind == Ping || m.Kind == Ack {
		m.Target = min(c.reachableCount, maxAgents-1)
	}
	if known := c.members[m.To].reachableCount; m.Kind == Ack && known != 0 && known < c.reachableCount {
		c.introduceMembers(&m)
	}
	*out = append(*out, m)
}

// addUpdates adds the updates that were sent least. Observations, where there are any, keep at least a third of the room.
func (c *Core) addUpdates(m *Message) {
	reserved := min(len(c.observationOrder), maxRecordBytes/3/observationBytes)
	slices.SortStableFunc(c.updates, func(x, y broadcast[MemberUpdate]) int { return x.transmissions - y.transmissions })
	for i := range c.updates {
		if (len(m.Updates)+1)*updateBytes+reserved*observationBytes > maxRecordBytes {
			break
		}
		if b := &c.updates[i]; b.item.Member != m.To {
			m.Updates = append(m.Updates, b.item)
			b.transmissions++
		}
	}
	limit := c.maxTransmissions()
	c.updates = slices.DeleteFunc(c.updates, func(b broadcast[MemberUpdate]) bool { return b.transmissions >= limit })
}

// addObservations fills the rest of the room with observations: first those that are news, then others in turn, for members that have
// started since.
func (c *Core) addObservations(now time.Duration, m *Message) {
	newsLimit := observationRetransmitFactor * c.maxTransmissions()
	capacity := max(0, (maxRecordBytes-len(m.Updates)*updateBytes)/observationBytes)
	for _, wantsNews := range [...]bool{true, false} {
		for n := len(c.observationOrder); n > 0 && len(m.Observations) < capacity; n-- {
			c.observationIndex = (c.observationIndex + 1) % len(c.observationOrder)
			key := c.observationOrder[c.observationIndex]
			b := c.observations[key]
			age := now - b.item.observedAt
			isIncluded := slices.ContainsFunc(m.Observations, func(o Observation) bool { return o.Kind == key.kind && o.ID == key.id })
			if isIncluded || age >= ObservationTTL || wantsNews != (b.transmissions < newsLimit) {
				continue
			}
			b.transmissions++
			m.Observations = append(m.Observations, Observation{key.kind, key.id, b.item.value, age})
		}
	}
}

// introduceMembers adds reachable members in turn, for a receiver that knows of fewer than this agent.
func (c *Core) introduceMembers(m *Message) {
	for n := len(c.members); n > 0 && (len(m.Updates)+1)*updateBytes+len(m.Observations)*observationBytes <= maxRecordBytes; n-- {
		c.introduceIndex = (c.introduceIndex + 1) % len(c.members)
		i, introduced := c.introduceIndex, &c.members[c.introduceIndex]
		if !isReachable(introduced.state) || i == m.To || i == c.options.Self ||
			slices.ContainsFunc(m.Updates, func(u MemberUpdate) bool { return u.Member == i }) {
			continue
		}
		m.Updates = append(m.Updates, MemberUpdate{Alive, i, introduced.incarnation, i})
	}
}
