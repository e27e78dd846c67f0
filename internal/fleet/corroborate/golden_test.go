package corroborate

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The numbers of the kinds of observations, and the hash that names a server, are part of the wire format and never change.
func TestGoldenObservationKinds(t *testing.T) {
	golden.Equal(t, "fleet/word/facts.txt", fmt.Appendf(nil, "drains %d\nanswers %d\ns-1 %016x\n", Draining, Responding, ServerID("s-1")))
}
