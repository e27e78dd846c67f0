package gossip

import "time"

// leakyBucket limits how many events are allowed: a rate in the long run, and a burst at once. The zero value is empty.
type leakyBucket struct {
	level     float64 // events that count at updatedAt
	updatedAt time.Duration
}

// allow reports whether an event is allowed now, and counts it if so.
func (b *leakyBucket) allow(now time.Duration, perSecond, burst float64) bool {
	b.level = max(0, b.level-(now-b.updatedAt).Seconds()*perSecond)
	if b.updatedAt = now; b.level > burst-1 {
		return false
	}
	b.level++
	return true
}
