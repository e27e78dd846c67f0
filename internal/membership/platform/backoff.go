package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"appleledge/internal/membership"
)

// Pauses after calls that failed or came back early.
const (
	minRetryBackoff     = 250 * time.Millisecond
	maxMeanRetryBackoff = 2 * time.Second // where many agents call
	maxRetriesPerSecond = 40              // of all agents together, as long as maxMeanRetryBackoff allows
	earlyWatchDelay     = 100 * time.Millisecond
)

// retryBackoff draws how long nothing is called after a call that failed. With many agents it is longer, and random, so that discovery can
// answer all of them when it is back.
func (d *Discovery) retryBackoff() time.Duration {
	if d.agentCount == 0 {
		return minRetryBackoff
	}
	mean := min(max(minRetryBackoff, time.Duration(d.agentCount)*time.Second/maxRetriesPerSecond), maxMeanRetryBackoff)
	return mean/2 + rand.N(mean)
}

// delayEarlyWatch keeps a discovery that answers polls without waiting from being called in a tight loop.
func (d *Discovery) delayEarlyWatch(ctx context.Context, previousVersion int64, start time.Time, wait time.Duration) {
	if d.watchVersion == previousVersion && time.Since(start) < wait/2 {
		membership.Sleep(ctx, earlyWatchDelay)
	}
}
