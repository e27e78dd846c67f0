package balancer

import (
	"testing"
	"time"
)

// An answer that is late may never come: a hedged attempt goes out where the class allows one and servers are not busy, and by key only
// if the server has answered something since, and so has read the request.
func TestLateRequestIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		class, copies int
		util          float64
		isRead        bool
	}{"safe": {0, 1, 0.3, false}, "keyed, read": {1, 1, 0.3, true}, "keyed, perhaps unread": {1, 0, 0.3, false}, "unsafe": {2, 0, 0.3, true},
		"busy": {0, 0, 0.9, true}} {
		set := testSettings()
		set.AllowHedging = true
		set.Classes = []Class{{Name: "s", Effect: Idempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1},
			{Name: "k", Effect: IdempotentByKey, DedupWindow: 3 * time.Second, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1},
			{Name: "u", Effect: NonIdempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1}}
		h := newTestBalancer(t, set, 1, 1, 1, 1)
		for range 100 {
			id, to := h.sendRequest(0)
			h.end(id, to, 0, OK, report(c.util, 50))
		}
		h.tick(h.horizon / ticksPerHorizon)
		id, to := h.sendRequest(c.class)
		if c.isRead {
			h.answerFrom(to)
		}
		copies := 0
		for _, a := range h.tick(time.Duration(2 * hedgeLatencyFactor * h.classLatency[c.class])) {
			if a.Kind == Send && a.Request == id {
				copies++
				if a.Server == to {
					t.Errorf("%s: the hedged attempt went to the same server", name)
				}
			}
		}
		if copies != c.copies {
			t.Errorf("%s: %d hedged attempts", name, copies)
		}
	}
}
