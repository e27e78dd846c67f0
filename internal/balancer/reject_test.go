package balancer

import (
	"testing"
	"time"
)

// All servers of the fleet drop each other's repeats, so that a client may be told that trying again is harmless. A server has stalled
// lately, and may take a request when the repeat is forgotten: the balancer does not repeat the request. Its client must not be asked to.
func TestWhatIsWithheldForAStallIsNotRejected(t *testing.T) {
	set := testSettings()
	set.Classes[keyed].DedupScope = DedupFleet
	h := newTestBalancer(t, set, 1, 1, 1)
	h.silenceAndReadmit("s0")
	id := h.sendKeyedTo("s0")
	h.at += 50 * time.Millisecond
	if actions := h.end(id, "s0", 0, Reset, NoReport); len(actions) != 1 || actions[0].Kind != Fail || h.Stats().WithheldRetries != 1 {
		t.Errorf("%+v, %d withheld", actions, h.Stats().WithheldRetries)
	}
}
