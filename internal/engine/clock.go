package engine

import "time"

// Clock turns times into the balancer's: durations since one epoch, by the monotonic clock.
type Clock struct {
	epoch  time.Time
	offset time.Duration  // of the wall clock from the system's
	manual *time.Duration // the time, where it is not the system's
}

// NewClock returns the system's clock. It starts at one second, because 0 stands for "never" in the balancer.
func NewClock() Clock { return Clock{epoch: time.Now().Add(-time.Second)} }

// WithOffset returns the clock of a machine whose wall clock is off by so much; its monotonic clock is the same.
func (c Clock) WithOffset(offset time.Duration) Clock {
	c.offset += offset
	return c
}

// ManualClock returns a clock whose time the caller sets, for simulations. The caller must set a time above 0 before events
// come, as 0 stands for "never".
func ManualClock(now *time.Duration) Clock { return Clock{epoch: time.Unix(0, 0), manual: now} }

// Now returns the time since the epoch.
func (c Clock) Now() time.Duration {
	if c.manual != nil {
		return *c.manual
	}
	return time.Since(c.epoch)
}

// At returns the wall time of a time on the clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t + c.offset) }

// FromUnix converts Unix milliseconds to a time on the clock; 0 stays 0, and nothing else becomes 0.
func (c Clock) FromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := time.UnixMilli(ms).Sub(c.epoch.Add(c.offset)); t != 0 {
		return t
	}
	return 1
}
