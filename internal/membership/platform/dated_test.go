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

// Whatever the wall clock says after a loss of power, a start is as long ago as discovery's clock has it; without a date, or on the
// platform's own days, the own clock counts.
func TestStartsByDiscoverysClock(t *testing.T) {
	for _, c := range []struct {
		name      string
		off       time.Duration
		date      bool
		dated     bool
		corrected bool
	}{
		{"the clock is right", 0, true, true, true},
		{"a little off is not worth it", time.Second, true, true, false},
		{"an hour ahead", time.Hour, true, true, true},
		{"an hour behind", -time.Hour, true, true, true},
		{"at 1970", -time.Since(time.Unix(0, 0)), true, true, true},
		{"an hour ahead, and no date", time.Hour, false, true, false},
		{"an hour ahead, on the platform's days", time.Hour, true, false, false},
	} {
		clk := engine.NewClock().WithOffset(c.off)
		d := New(Options{Addr: "127.0.0.1:1", UsesServerClock: c.dated}, clk, slog.New(slog.NewTextHandler(io.Discard, nil)))
		now := time.Now()
		if c.date {
			d.time(now.UTC().Format(http.TimeFormat))
			d.time(now.Add(time.Hour).UTC().Format(http.TimeFormat)) // the first one stands
		} else {
			d.time("")
		}
		members, _ := d.reader.Decode(listing.List{Servers: []listing.Entry{{ID: "s", Addr: "127.0.0.1:2", State: listing.StateReady,
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

// AgentCount that are all without discovery do not call it more often together than it can answer, and none forgets it.
func TestCallsInAnOutageAreSpread(t *testing.T) {
	for _, agents := range []int{0, 1, 20, 300, 10_000} {
		d := New(Options{Addr: "127.0.0.1:1", AgentCount: agents}, engine.NewClock(), slog.New(slog.DiscardHandler))
		var sum, longest time.Duration
		const looks = 2000
		for range looks {
			p := d.retry()
			sum, longest = sum+p, max(longest, p)
		}
		mean := sum / looks
		if rate := float64(agents) / mean.Seconds(); agents <= 80 && rate > 1.1*retryRate || longest > 2*retryMost || mean < retryPause*9/10 {
			t.Errorf("%d agents: %.0f calls a second, the longest pause is %v", agents, rate, longest)
		}
	}
}
