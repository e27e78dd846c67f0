package generation

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// Event records say; metrics, the state on disk and operators' answers have these words.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/generation.txt", fmt.Appendf(nil, "applied %q\nkept %q\nrolled back %q\nharmed %q\nformat %d\n",
		EventApplied, EventPromoted, EventRolledBack, EventHarmFound, StateFormat))
}
