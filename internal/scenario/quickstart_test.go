package scenario

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// The whole installation comes up, serves, and ends in order with its report, also when it is told to end early.
func TestQuickstart(t *testing.T) {
	for name, length := range map[string]time.Duration{"to its end": 2 * time.Second, "interrupted": time.Hour} {
		var out bytes.Buffer
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		if length == time.Hour {
			time.AfterFunc(3*time.Second, stop)
		}
		tally, err := Quickstart{Servers: 6, Rate: 60, Duration: length, Seed: 3, Out: &out}.Run(ctx)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if tally.InFlight != 0 || tally.Served == 0 || tally.Served < tally.Offered*9/10 ||
			tally.Served+tally.Rejected+tally.Failed+tally.NoAnswer != tally.Offered {
			t.Errorf("%s: %d offered, %d served, %d refused, %d failed, %d broken", name, tally.Offered, tally.Served,
				tally.Rejected, tally.Failed, tally.NoAnswer)
		}
		if text := out.String(); !strings.Contains(text, "that ran more than once: 0") || strings.Contains(text, "\x1b") {
			t.Errorf("%s: %s", name, text)
		}
	}
}
