package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"appleledge/internal/coalesce"
	"appleledge/internal/downstream/http1"
	"appleledge/internal/engine"
)

// coalescing is the state of request coalescing outside the engine.
type coalescing struct {
	downstream  http1.Coalescing
	logInterval time.Duration
}

// classMisfitMessage is logged with a setting of the agent's own that names a class which the platform does not have for it.
const classMisfitMessage = "a setting of the agent's own does not fit the classes"

// openCoalescing switches on request coalescing where the settings say so.
func (a *assembly) openCoalescing() error {
	a.classUsers = newClassUsers(a.cfg.Site, a.features.Coalescing)
	if a.features.Coalescing == nil {
		return nil
	}
	site := a.cfg.Site.Balancer
	set, misfit := a.features.Coalescing(site.Classes)
	if misfit != nil { // as at a reload: a class that the platform has dropped must not keep the agent from starting
		a.log.Warn(classMisfitMessage, "error", misfit)
	}
	identity, err := coalesce.NewIdentity()
	if err != nil {
		return fmt.Errorf("joining like requests: %w", err)
	}
	a.coalescing = &coalescing{logInterval: set.LogInterval, downstream: http1.Coalescing{Identity: identity, TenantsApart: set.TenantsApart}}
	a.coalescing.downstream.Classes.Store(coalescedClasses(set.Groups.Classes))
	a.classUsers.coalescing = a.coalescing
	retryAfter := site.MaxRetryAfter
	for _, class := range site.Classes { // as the balancer states it in its rejections
		retryAfter = min(retryAfter, class.LatencyObjective/2)
	}
	a.engine.SetCoalescing(set.Groups, retryAfter)
	a.components.add(untilAnswered, func(ctx context.Context) {
		logCoalescing(ctx, a.engine, a.coalescing.logInterval, a.log)
	})
	return nil
}

// coalescedClasses returns, by number of the class, whether its requests are coalesced.
func coalescedClasses(classes []coalesce.Class) *[]bool {
	out := make([]bool, len(classes))
	for i, c := range classes {
		out[i] = c.Coalesces
	}
	return &out
}

// downstreamOptions returns what the downstream server needs to know of coalescing; nil where it is off.
func (c *coalescing) downstreamOptions() *http1.Coalescing {
	if c == nil {
		return nil
	}
	return &c.downstream
}

// logCoalescing logs the requests that were coalesced since the last line, if there are any.
func logCoalescing(ctx context.Context, core *engine.Engine, interval time.Duration, log *slog.Logger) {
	var last coalesce.Counts
	callEvery(ctx, interval, func() {
		c := core.Stats().Coalescing
		if c.Flights == last.Flights && c.NotCoalesced == last.NotCoalesced {
			return
		}
		log.Info("joined like requests", "flights", c.Flights-last.Flights, "joined", c.Followers-last.Followers,
			"shared", c.Shared-last.Shared, "parted", c.LateFlights-last.LateFlights, "again", c.NextFlights-last.NextFlights,
			"private", c.Private-last.Private, "leaderless", c.Leaderless-last.Leaderless, "alone", c.NotCoalesced-last.NotCoalesced, "waiting", c.Waiting, "groups", c.Groups)
		last = c
	})
}
