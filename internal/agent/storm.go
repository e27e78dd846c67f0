package agent

import (
	"context"
	"log/slog"
	"math"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// newStorm is a watch for storms by the platform's settings.
func newStorm(cfg Config, set Storm) *admission.Watch {
	site := cfg.Site.Logic
	o := admission.Options{Shares: site.Quotas, MaxAfter: site.MaxRetryAfter, Remember: set.Remember, Seed: cfg.Seed}
	o.Classes = stormClasses(site.Classes)
	return admission.New(o)
}

func stormClasses(classes []balancer.Class) (out []admission.Class) {
	for _, c := range classes {
		if c.Retired {
			c.Priority = 0
		}
		out = append(out, admission.Class{Worth: c.Priority, Aim: c.LatencyObjective, Safe: c.Effect == balancer.Idempotent})
	}
	return out
}

const stormLook = 250 * time.Millisecond // between two looks at the state, for the log

// logStorms logs each change of state, and every so often how it stands while it is not calm.
func logStorms(ctx context.Context, core *engine.Engine, clk engine.Clock, interval time.Duration, log *slog.Logger) {
	last, logged := admission.Counts{}, time.Duration(0)
	every(ctx, stormLook, func() {
		c, now := core.Load().Door, clk.Now()
		changed := c.State != last.State || c.Since != last.Since
		if changed && (c.State != admission.Calm || last.State != admission.Calm) || c.State != admission.Calm && now-logged >= interval {
			logged = now
			attrs := []any{"state", c.State.String(), "for", (now - c.Since).Round(time.Millisecond), "why", c.Why,
				"limit", math.Round(c.Limit*10) / 10, "in_flight", c.InFlight, "storms", c.Storms, "too_late", c.Late, "bound", c.Bound}
			names := core.Tally().Classes // read later than the counts: it has them all
			for i, class := range c.Refused {
				attrs = append(attrs, slog.Group(names[i], "refused_first", class[0], "refused_again", class[1]))
			}
			log.Info("storm watch", attrs...)
		}
		last = c
	})
}
