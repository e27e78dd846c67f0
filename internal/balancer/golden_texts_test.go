package balancer

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// Names of results and reasons, for logs, figures and metrics, by their numbers.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, r := range []Result{OK, Failed, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent} {
		out = fmt.Appendf(out, "result %d %d %s\n", i, r, ResultNames[r])
	}
	for i, r := range []Reason{ReasonLoadShed, ReasonListDrop, ReasonNoServer, ReasonRetryBudget, ReasonExhausted} {
		out = fmt.Appendf(out, "reason %d %d %s\n", i, r, ReasonNames[r])
	}
	out = fmt.Appendf(out, "%d results, %d reasons\n", len(ResultNames), len(ReasonNames))
	golden.Equal(t, "texts/logic.txt", out)
}
