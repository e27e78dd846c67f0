package admission

import (
	"fmt"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// A fleet goes through overloads, outages and returns. The texts of the states, and the reasons of each change, are the committed ones.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, s := range []State{Normal, Suspect, Overloaded, Recovering} {
		out = fmt.Appendf(out, "state %d %d %v\n", i, s, s)
	}
	c, last := newFleetSim(t), ""
	pass := func(d time.Duration) {
		for end := c.now + d; c.now < end; {
			c.run(10 * ms)
			if n := c.controller.Counts(); n.State.String()+n.Reason != last {
				last = n.State.String() + n.Reason
				out = fmt.Appendf(out, "%v since %v: %s\n", n.State, n.Since, n.Reason)
			}
		}
	}
	fullCapacity := c.capacity
	for _, part := range []struct {
		capacityRatio, failureRatio float64 // of what the fleet holds, and of what it is sent
		lasts                       time.Duration
	}{{1, 0, 10 * time.Second}, {1, 0.6, 2300 * ms}, {1, 0, 10 * time.Second}, {1, 0.6, 3 * time.Second}, {1, 0, 25 * time.Second}, {0, 0, 12 * time.Second},
		{0.4, 0, 10 * time.Second}, {0, 0, 12 * time.Second}, {1, 0, 30 * time.Second}} {
		c.capacity, c.failureRatio = int(part.capacityRatio*float64(fullCapacity)), part.failureRatio
		pass(part.lasts)
	}
	golden.Equal(t, "texts/storm.txt", out)
}
