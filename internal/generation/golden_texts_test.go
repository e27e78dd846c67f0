package generation

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The events of records are part of metrics, of the state on disk and of operators' answers.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/generation.txt", fmt.Appendf(nil, "applied %q\nkept %q\nrolled back %q\nharmed %q\nformat %d\n",
		EventApplied, EventPromoted, EventRolledBack, EventHarmFound, StateFormat))
}
