package engine

import "time"

// Clock turns times into the module's: durations since one epoch, by the monotonic clock.
type Clock struct {
	epoch  time.Time
	off    time.Duration  // of the wall clock, as far as this one goes
	driven *time.Duration // the time, where it is not the system's
}

// NewClock starts a second in, because 0 stands for "never" in the module.
func NewClock() Clock { return Clock{epoch: time.Now().Add(-time.Second)} }

// WithOffset is the clock of a machine whose wall clock is off: what lasts, the monotonic clock, is the same.
func (c Clock) WithOffset(off time.Duration) Clock {
	c.off += off
	return c
}

// ManualClock is a clock whose time is what the caller says, for simulations. It starts at 0, which the caller must leave
// before events come, as 0 stands for "never".
func ManualClock(now *time.Duration) Clock { return Clock{epoch: time.Unix(0, 0), driven: now} }

// Now is the time since the epoch.
func (c Clock) Now() time.Duration {
	if c.driven != nil {
		return *c.driven
	}
	return time.Since(c.epoch)
}

// At is the wall time of a time on the clock.
func (c Clock) At(t time.Duration) time.Time { return c.epoch.Add(t + c.off) }

// FromUnix converts Unix milliseconds; 0 stays 0, and nothing else becomes 0.
func (c Clock) FromUnix(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	if t := time.UnixMilli(ms).Sub(c.epoch.Add(c.off)); t != 0 {
		return t
	}
	return 1
}
