package engine

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// Names of what is counted by kind, and the latency quantiles.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, kind := range []AnswerKind{Served, Rejected, Failed, Conflict} {
		out = fmt.Appendf(out, "answer %d %d %s\n", i, kind, AnswerKinds[kind])
	}
	out = fmt.Appendf(out, "%d answers\nsends %q\nquantiles %v\n", len(AnswerKinds), SendKinds, latencyQuantiles)
	golden.Equal(t, "texts/engine.txt", out)
}
