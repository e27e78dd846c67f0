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

// openAdmission puts the admission controller that goes by this agent alone before the balancer.
func (a *assembly) openAdmission() error {
	if a.features.Admission == nil {
		return nil
	}
	controller := newAdmissionController(a.cfg, *a.features.Admission)
	a.admission = controller
	a.engine.SetAdmission(controller)
	a.components.add(untilAnswered, func(ctx context.Context) {
		logAdmission(ctx, a.engine, a.clock, a.features.Admission.LogInterval, a.log)
	})
	return nil
}

// newAdmissionController returns an admission controller for the classes and quotas of the platform's settings.
func newAdmissionController(cfg Config, set AdmissionOptions) *admission.Controller {
	site := cfg.Site.Balancer
	o := admission.Options{Quotas: site.Quotas, MaxRetryAfter: site.MaxRetryAfter, MaxRemembered: set.MaxRemembered, Seed: cfg.Seed}
	o.Classes = admissionClasses(site.Classes)
	return admission.New(o)
}

// admissionClasses returns the classes in admission's terms. A class that was retired has no priority.
func admissionClasses(classes []balancer.Class) (out []admission.Class) {
	for _, c := range classes {
		if c.Retired {
			c.Priority = 0
		}
		out = append(out, admission.Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	return out
}

const admissionLogPoll = 250 * time.Millisecond // between two reads of the state, for the log

// logAdmission logs each change of state, and the state at each interval while it is not normal.
func logAdmission(ctx context.Context, core *engine.Engine, clk engine.Clock, interval time.Duration, log *slog.Logger) {
	last, logged := admission.Counts{}, time.Duration(0)
	callEvery(ctx, admissionLogPoll, func() {
		c, now := core.Stats().Admission, clk.Now()
		changed := c.State != last.State || c.Since != last.Since
		if changed && (c.State != admission.Normal || last.State != admission.Normal) || c.State != admission.Normal && now-logged >= interval {
			logged = now
			attrs := []any{"state", c.State.String(), "for", (now - c.Since).Round(time.Millisecond), "why", c.Reason,
				"limit", math.Round(c.Limit*10) / 10, "in_flight", c.InFlight, "storms", c.Overloads, "too_late", c.TooLate, "bound", c.OverLimit}
			names := core.Counters().Classes // read later than the counts: it has them all
			for i, class := range c.Rejected {
				attrs = append(attrs, slog.Group(names[i], "refused_first", class[0], "refused_again", class[1]))
			}
			log.Info("storm watch", attrs...)
		}
		last = c
	})
}
