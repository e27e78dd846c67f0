package engine

import "time"

// Clock turns times into the module's: durations since one epoch, by the monotonic clock.
type Clock struct{ epoch time.Time }

// NewClock starts a second in, because 0 stands for "never" in the module.
func NewClock() Clock { return Clock{time.Now().Add(-time.Second)} }

// Now is the time since the epoch.
func (c Clock) Now() time.Duration { return time.Since(c.epoch) }

// At is the wall time of a time on the clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t) }

// FromUnix converts Unix milliseconds; 0 stays 0, and nothing else becomes 0.
func (c Clock) FromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := time.UnixMilli(ms).Sub(c.epoch); t != 0 {
		return t
	}
	return 1
}
