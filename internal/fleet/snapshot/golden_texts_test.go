package snapshot

import (
	"fmt"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// The reasons that Assess gives, which the agent logs, never change.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, x := range []Trust{TrustNothing, TrustNames, TrustEverything} {
		out = fmt.Appendf(out, "trust %d %d %v\n", i, x, x)
	}
	d := Document{Agent: "n7", BootID: "run-1", SinceBoot: 5000}
	for _, now := range []Reader{{Agent: "n8", BootID: "run-1", SinceBoot: 6 * time.Second}, {Agent: "n7", SinceBoot: 6 * time.Second},
		{Agent: "n7", BootID: "run-2", SinceBoot: 6 * time.Second}, {Agent: "n7", BootID: "run-1", SinceBoot: 3 * time.Second},
		{Agent: "n7", BootID: "run-1", SinceBoot: 6123 * time.Millisecond}} {
		trust, why := d.Assess(now)
		out = fmt.Appendf(out, "%v: %s\n", trust, why)
	}
	golden.Equal(t, "texts/kept.txt", out)
}
