package platform

import (
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/membership/listing"
)

// After a loss of power the agent's wall clock is off. A server's start is as long ago as discovery's clock has it; where the answers
// have no date, or the option is off, the own clock counts.
func TestStartTimesUseServerClock(t *testing.T) {
	for _, c := range []struct {
		name      string
		off       time.Duration
		date      bool
		isEnabled bool
		corrected bool
	}{
		{"the clock is right", 0, true, true, true},
		{"a little off is not worth it", time.Second, true, true, false},
		{"an hour ahead", time.Hour, true, true, true},
		{"an hour behind", -time.Hour, true, true, true},
		{"at 1970", -time.Since(time.Unix(0, 0)), true, true, true},
		{"an hour ahead, and no date", time.Hour, false, true, false},
		{"an hour ahead, option off", time.Hour, true, false, false},
	} {
		clk := engine.NewClock().WithOffset(c.off)
		d := New(Options{Addr: "127.0.0.1:1", UsesServerClock: c.isEnabled}, clk, slog.New(slog.NewTextHandler(io.Discard, nil)))
		now := time.Now()
		if c.date {
			d.adoptServerClock(now.UTC().Format(http.TimeFormat))
			d.adoptServerClock(now.Add(time.Hour).UTC().Format(http.TimeFormat)) // the first one counts
		} else {
			d.adoptServerClock("")
		}
		members, _ := d.decoder.Decode(listing.List{Servers: []listing.Entry{{ID: "s", Addr: "127.0.0.1:2", State: listing.StateReady,
			StartedMS: now.Add(-20 * time.Second).UnixMilli()}}})
		ago := clk.Now() - members[0].Started
		if !c.corrected {
			ago -= c.off
		}
		if ago < 18*time.Second || ago > 22*time.Second {
			t.Errorf("%s: it started %v ago, not 20s", c.name, ago)
		}
	}
}

// All agents are without discovery at once. Together they call it no more often than it can answer, and none waits so long that it
// misses its return.
func TestRetryBackoffScalesWithAgentCount(t *testing.T) {
	for _, agents := range []int{0, 1, 20, 300, 10_000} {
		d := New(Options{Addr: "127.0.0.1:1", AgentCount: agents}, engine.NewClock(), slog.New(slog.DiscardHandler))
		var sum, longest time.Duration
		const looks = 2000
		for range looks {
			p := d.retryBackoff()
			sum, longest = sum+p, max(longest, p)
		}
		mean := sum / looks
		if rate := float64(agents) / mean.Seconds(); agents <= 80 && rate > 1.1*maxRetriesPerSecond || longest > 2*maxMeanRetryBackoff || mean < minRetryBackoff*9/10 {
			t.Errorf("%d agents: %.0f calls a second, the longest pause is %v", agents, rate, longest)
		}
	}
}
