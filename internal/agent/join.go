package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/downstream/http1"
	"appleledge/internal/engine"
)

// joining is what switched-on joins are at work with.
type coalescing struct {
	downstream  http1.Coalescing
	logInterval time.Duration
}

// join switches on what the settings say; the result is nil where that is nothing.
func (x Features) openCoalescing(core *engine.Engine, site balancer.Settings) (*coalescing, error) {
	if x.Coalescing == nil {
		return nil, nil
	}
	set, err := x.Coalescing(site.Classes)
	if err != nil {
		return nil, err
	}
	identity, err := coalesce.NewIdentity()
	if err != nil {
		return nil, fmt.Errorf("joining like requests: %w", err)
	}
	j := &coalescing{logInterval: set.LogInterval, downstream: http1.Coalescing{Identity: identity, TenantsApart: set.TenantsApart}}
	j.downstream.Classes.Store(coalescedClasses(set.Groups.Classes))
	after := site.MaxRetryAfter
	for _, c := range site.Classes { // as the module words its refusals
		after = min(after, c.LatencyObjective/2)
	}
	core.SetCoalescing(set.Groups, after)
	return j, nil
}

// joined says of classes, by number, whether they are.
func coalescedClasses(classes []coalesce.Class) *[]bool {
	out := make([]bool, len(classes))
	for i, c := range classes {
		out[i] = c.Coalesces
	}
	return &out
}

func (j *coalescing) downstreamOptions() *http1.Coalescing {
	if j == nil {
		return nil
	}
	return &j.downstream
}

// logCoalescing logs what was joined, if anything was since the last line.
func logCoalescing(ctx context.Context, core *engine.Engine, interval time.Duration, log *slog.Logger) {
	var last coalesce.Counts
	callEvery(ctx, interval, func() {
		c := core.Stats().Coalescing
		if c.Flights == last.Flights && c.NotCoalesced == last.NotCoalesced {
			return
		}
		log.Info("joined like requests", "flights", c.Flights-last.Flights, "joined", c.Followers-last.Followers,
			"shared", c.Shared-last.Shared, "parted", c.LateFlights-last.LateFlights, "again", c.NextFlights-last.NextFlights,
			"private", c.Private-last.Private, "alone", c.NotCoalesced-last.NotCoalesced, "waiting", c.Waiting, "groups", c.Groups)
		last = c
	})
}
