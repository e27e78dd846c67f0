package corroborate

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The kinds of facts and the names of servers in them are as they were.
func TestGoldenObservationKinds(t *testing.T) {
	golden.Equal(t, "fleet/word/facts.txt", fmt.Appendf(nil, "drains %d\nanswers %d\ns-1 %016x\n", Draining, Responding, ServerID("s-1")))
}
