package agent

import "time"

// clock turns times into the module's: durations since one epoch, by the monotonic clock.
type clock struct{ epoch time.Time }

// newClock starts a second in, because 0 stands for "never" in the module.
func newClock() clock { return clock{time.Now().Add(-time.Second)} }

func (c clock) now() time.Duration { return time.Since(c.epoch) }

func (c clock) at(t time.Duration) time.Time { return c.epoch.Add(t) }

// fromUnix converts Unix milliseconds; 0 stays 0, and nothing else becomes 0.
func (c clock) fromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := time.UnixMilli(ms).Sub(c.epoch); t != 0 {
		return t
	}
	return 1
}
