package agent

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/logstats"
)

// What an agent counts stands in its log, and adds up to what was done.
func TestFiguresInTheLog(t *testing.T) {
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	log := &agenttest.LockedBuffer{}
	a := startOn(t, d, 0, func(*Config) {}, Features{StatsLogInterval: 20 * time.Millisecond}, slog.New(slog.NewTextHandler(log, nil)))
	const requests = 3
	for range requests {
		if r := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); r.status != http.StatusOK {
			t.Fatal(r.status)
		}
	}
	eventually(t, "the figures say what was done", func() bool {
		sum, err := logstats.New(time.Hour * 24)
		if err != nil {
			t.Fatal(err)
		}
		if err := sum.Read(strings.NewReader(log.String())); err != nil {
			t.Fatal(err)
		}
		all := map[string]float64{}
		for _, row := range sum.Rows {
			for name, n := range row {
				all[name] += n
			}
		}
		return all["served"] == requests && all["send_first"] == requests && all["end_ok"] == requests &&
			all["dials"]+all["conns_reused"] == requests && all["list_whole"] >= 1 && all["refused"] == 0
	})
}
