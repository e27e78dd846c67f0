package agent

import (
	"context"
	"log/slog"
	"math"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/connlimit"
	"appleledge/internal/engine"
	"appleledge/internal/logstats"
	"appleledge/internal/membership/platform"
	"appleledge/internal/upstream/connpool"
)

// openStats logs counters at intervals, where the settings say so.
func (a *assembly) openStats() error {
	interval := a.features.StatsLogInterval
	if interval == 0 {
		return nil
	}
	a.engine.TrackLatency(a.cfg.Site.Balancer.Classes)
	sources := statSources{a.engine, a.pool, a.discovery, a.clients}
	a.components.add(untilAnswered, func(ctx context.Context) { sources.logEvery(ctx, interval, a.log) })
	return nil
}

// statSources are the parts of an agent that count.
type statSources struct {
	core      *engine.Engine
	pool      *connpool.Pool
	discovery *platform.Discovery
	clients   *connlimit.Listener // nil: its counts are left out
}

// logEvery logs, at intervals, what was counted since the last line, without zeros, and the gauges. The number of attributes
// of a line is bounded by the kinds of counters.
func (f statSources) logEvery(ctx context.Context, interval time.Duration, log *slog.Logger) {
	last := map[string]uint64{}
	callEvery(ctx, interval, func() {
		var attrs []any
		for _, c := range f.counts() {
			if n := c.value - last[c.name]; n > 0 {
				attrs = append(attrs, c.name, n)
			}
			last[c.name] = c.value
		}
		log.Info(logstats.Message, append(attrs, f.gauges()...)...)
	})
}

// gauges returns the present values, as attributes. Ratios are in thousandths, so that they can be added up over agents.
func (f statSources) gauges() []any {
	c, p := f.pool.Stats(), f.core.Stats().Balancer
	share := func(x float64) int { return int(math.Round(1000 * x)) }
	return []any{"held_open", c.Open, "held_idle", c.Idle, "held_agents", 1, "held_use", share(p.Utilization), "held_late", share(p.LatencyRatio),
		"held_waiting", share(p.InFlightLatencyRatio), "held_shed", share(p.ShedRatio), "held_view", p.SubsetSize, "held_cold", p.WarmingUp, "held_ejected", p.Ejected}
}

// counter is a value that only grows.
type counter struct {
	name  string
	value uint64
}

func (f statSources) counts() (all []counter) {
	stats, p, d := f.core.Stats(), f.pool.Stats(), f.discovery.Counts()
	t := stats.Counters
	add := func(name string, n uint64) { all = append(all, counter{name, n}) }
	for kind, name := range engine.AnswerKinds {
		var n uint64
		for _, class := range t.Answers {
			n += class[kind]
		}
		add(name, n)
	}
	for kind, name := range engine.SendKinds {
		add("send_"+name, t.Sends[kind])
	}
	add("send_cold", t.SlowStart)
	for result, name := range balancer.ResultNames {
		add("end_"+name, t.Attempts[result])
	}
	for why, name := range balancer.ReasonNames {
		add("given_up_"+name, t.GivenUp[why])
	}
	add("withheld_retries", stats.Balancer.WithheldRetries)
	add("withheld_hedges", stats.Balancer.WithheldHedges)
	add("unread_repeats", stats.Balancer.UnreadRepeats)
	add("dials", p.Dials)
	add("dials_failed", p.FailedDials)
	add("conns_reused", p.Reused)
	add("conns_dead", p.Dead)
	add("conns_no_room", p.Exhausted)
	add("list_whole", d.FullLists)
	add("list_watch", d.Watches)
	add("list_failed", d.Failed)
	add("list_unreadable", d.Unreadable)
	if f.clients == nil {
		return all
	}
	closes := f.clients.CloseCounts()
	for reason, name := range connlimit.CloseReasonNames {
		add("closed_"+name, closes.ByReason[reason])
	}
	add("paced", f.clients.PacedCount())
	add("closed_refused", closes.Refused)
	add("closed_refused_requests", closes.RefusedRequests)
	add("closed_unread", closes.Unread)
	add("closed_unanswered", closes.Unanswered)
	return all
}
