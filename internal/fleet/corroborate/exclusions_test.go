package corroborate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/fleet/gossip"
)

const second = time.Second

func TestDrainReportExcludesServer(t *testing.T) {
	drains := func(id uint64, age time.Duration) gossip.Observation {
		return gossip.Observation{Kind: Draining, ID: id, Age: age}
	}
	for _, c := range []struct {
		name string
		do   func(h *Exclusions)
		held bool // server 1, at 20 s
	}{
		{"another's list said so just now", func(h *Exclusions) { h.Observe(20*second, 2, drains(1, 0)) }, true},
		{"so long ago that the own list would have said so", func(h *Exclusions) { h.Observe(9*second, 2, drains(1, 0)) }, false},
		{"the same, but the own list is away since the start", func(h *Exclusions) { h.isListConfirmed = false; h.Observe(9*second, 2, drains(1, 0)) }, true},
		{"it is repeated for long", func(h *Exclusions) {
			for at := 5 * second; at <= 20*second; at += second {
				h.Observe(at, 2, drains(1, at-5*second))
			}
		}, false},
		{"the own list has named it ready since", func(h *Exclusions) { h.Observe(18*second, 2, drains(1, 0)); h.MarkReady(19*second, 1) }, false},
		{"the own list had named it ready before", func(h *Exclusions) { h.MarkReady(17*second, 1); h.Observe(18*second, 2, drains(1, 0)) }, true},
		{"one that says so of many", func(h *Exclusions) {
			for id := uint64(9); id > 0; id-- {
				h.Observe(20*second-time.Duration(id)*10*time.Millisecond, 2, drains(id, 0))
			}
		}, false},
		{"another fact", func(h *Exclusions) { h.Observe(20*second, 2, gossip.Observation{Kind: Responding, ID: 1}) }, false},
		{"the only server", func(h *Exclusions) { h.SetConfirmedListSize(1); h.Observe(20*second, 2, drains(1, 0)) }, false},
	} {
		h := New()
		h.SetConfirmedListSize(20)
		c.do(h)
		if held, _ := h.Recompute(20 * second); held[1] != c.held {
			t.Errorf("%s: %v", c.name, held)
		}
	}
	h := New() // of an agent that has just started: what it hears is older than its clock
	h.SetCachedListSize(20)
	h.Observe(second, 2, drains(1, 5*second))
	if held, _ := h.Recompute(second); !held[1] {
		t.Error("what was told before the agent's clock began is not heeded")
	}
}

// Whatever some agents say, each of them holds out no more than its part, and all no more than theirs; and it runs out.
func TestExclusionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := New(), second
		servers := rapid.IntRange(1, 60).Draw(t, "servers")
		if rapid.Bool().Draw(t, "the own list is heard") {
			h.SetConfirmedListSize(servers)
		} else {
			h.SetCachedListSize(servers)
		}
		liars := rapid.IntRange(1, 4).Draw(t, "liars")
		for range rapid.IntRange(0, 200).Draw(t, "claims") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			h.Observe(now, rapid.IntRange(1, liars).Draw(t, "from"), gossip.Observation{Kind: Draining, ID: rapid.Uint64Range(1, uint64(servers)).Draw(t, "server"),
				Age: time.Duration(rapid.IntRange(0, 70).Draw(t, "s")) * second})
			held, _ := h.Recompute(now)
			if most := max(1, servers/10) * liars; len(held) > most || len(held) > max(1, servers/3) || servers < 2 && len(held) > 0 {
				t.Fatalf("%d of %d servers are held out on the word of %d", len(held), servers, liars)
			}
		}
		if held, _ := h.Recompute(now + reportTTLBeforeList); len(held) != 0 {
			t.Fatalf("%v are held for ever", held)
		}
	})
}
