package hotrestart

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The phases' numbers are part of messages, their texts of the log.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, p := range []Phase{Starting, Serving, Draining, Draining + 1} {
		out = fmt.Appendf(out, "phase %d %d %v\n", i, p, p)
	}
	golden.Equal(t, "texts/handover.txt", out)
}
