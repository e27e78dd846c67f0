package corroborate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/fleet/gossip"
)

const second = time.Second // short, for the tables below

// Another agent reports that server 1 of 20 is draining. The server is excluded while the report is newer than what the agent's own list
// says, has not expired and is within the limit of its reporter; a report that is only repeated expires all the same. Each case says what
// is received until 20 s and whether server 1 is excluded then.
func TestDrainReportExcludesServer(t *testing.T) {
	drains := func(id uint64, age time.Duration) gossip.Observation {
		return gossip.Observation{Kind: Draining, ID: id, Age: age}
	}
	for _, c := range []struct {
		name       string
		receive    func(e *Exclusions)
		isExcluded bool // server 1, at 20 s
	}{
		{"just reported", func(e *Exclusions) { e.Observe(20*second, 2, drains(1, 0)) }, true},
		{"reported so long ago that the own list would have it by now", func(e *Exclusions) { e.Observe(9*second, 2, drains(1, 0)) }, false},
		{"reported as long ago, without a confirmed list", func(e *Exclusions) { e.isListConfirmed = false; e.Observe(9*second, 2, drains(1, 0)) }, true},
		{"repeated for long", func(e *Exclusions) {
			for at := 5 * second; at <= 20*second; at += second {
				e.Observe(at, 2, drains(1, at-5*second))
			}
		}, false},
		{"the own list confirmed it as ready later", func(e *Exclusions) { e.Observe(18*second, 2, drains(1, 0)); e.MarkReady(19*second, 1) }, false},
		{"the own list confirmed it as ready earlier", func(e *Exclusions) { e.MarkReady(17*second, 1); e.Observe(18*second, 2, drains(1, 0)) }, true},
		{"one agent reports many servers", func(e *Exclusions) {
			for id := uint64(9); id > 0; id-- {
				e.Observe(20*second-time.Duration(id)*10*time.Millisecond, 2, drains(id, 0))
			}
		}, false},
		{"an observation of another kind", func(e *Exclusions) { e.Observe(20*second, 2, gossip.Observation{Kind: Responding, ID: 1}) }, false},
		{"the only server", func(e *Exclusions) { e.SetConfirmedListSize(1); e.Observe(20*second, 2, drains(1, 0)) }, false},
	} {
		e := New()
		e.SetConfirmedListSize(20)
		c.receive(e)
		if excluded, _ := e.Recompute(20 * second); excluded[1] != c.isExcluded {
			t.Errorf("%s: %v", c.name, excluded)
		}
	}
	e := New() // an agent that has just started: the observation is older than its clock
	e.SetCachedListSize(20)
	e.Observe(second, 2, drains(1, 5*second))
	if excluded, _ := e.Recompute(second); !excluded[1] {
		t.Error("a report of something before the agent's clock began is ignored")
	}
}

// One to four agents send any reports at any time, with or without a confirmed list. No agent excludes more than a tenth of the servers,
// all together no more than a third, the only server is never excluded, and after the longest TTL nothing is.
func TestExclusionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := New(), second
		servers := rapid.IntRange(1, 60).Draw(t, "servers")
		if rapid.Bool().Draw(t, "the own list is confirmed") {
			e.SetConfirmedListSize(servers)
		} else {
			e.SetCachedListSize(servers)
		}
		liars := rapid.IntRange(1, 4).Draw(t, "liars")
		for range rapid.IntRange(0, 200).Draw(t, "claims") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			e.Observe(now, rapid.IntRange(1, liars).Draw(t, "from"), gossip.Observation{Kind: Draining, ID: rapid.Uint64Range(1, uint64(servers)).Draw(t, "server"),
				Age: time.Duration(rapid.IntRange(0, 70).Draw(t, "s")) * second})
			excluded, _ := e.Recompute(now)
			if limit := max(1, servers/10) * liars; len(excluded) > limit || len(excluded) > max(1, servers/3) || servers < 2 && len(excluded) > 0 {
				t.Fatalf("%d of %d servers are excluded by reports of %d agents", len(excluded), servers, liars)
			}
		}
		if excluded, _ := e.Recompute(now + reportTTLBeforeList); len(excluded) != 0 {
			t.Fatalf("%v stay excluded for ever", excluded)
		}
	})
}
