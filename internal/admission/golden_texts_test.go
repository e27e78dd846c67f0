package admission

import (
	"fmt"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// The states, and the reasons that a watch gives over an outage and the time after it.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, s := range []State{Normal, Suspect, Overloaded, Recovering} {
		out = fmt.Appendf(out, "state %d %d %v\n", i, s, s)
	}
	c, last := newTown(t), ""
	pass := func(d time.Duration) {
		for end := c.now + d; c.now < end; {
			c.pass(10 * ms)
			if n := c.w.Counts(); n.State.String()+n.Reason != last {
				last = n.State.String() + n.Reason
				out = fmt.Appendf(out, "%v since %v: %s\n", n.State, n.Since, n.Reason)
			}
		}
	}
	full := c.room
	for _, part := range []struct {
		room, fails float64 // of what the fleet holds, and of what it is sent
		lasts       time.Duration
	}{{1, 0, 10 * time.Second}, {1, 0.6, 2300 * ms}, {1, 0, 10 * time.Second}, {1, 0.6, 3 * time.Second}, {1, 0, 25 * time.Second}, {0, 0, 12 * time.Second},
		{0.4, 0, 10 * time.Second}, {0, 0, 12 * time.Second}, {1, 0, 30 * time.Second}} {
		c.room, c.fails = int(part.room*float64(full)), part.fails
		pass(part.lasts)
	}
	golden.Equal(t, "texts/storm.txt", out)
}
