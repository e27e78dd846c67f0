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
type joining struct {
	atFront  http1.Coalescing
	logEvery time.Duration
}

// join switches on what the settings say; the result is nil where that is nothing.
func (x Extras) join(core *engine.Engine, site balancer.Settings) (*joining, error) {
	if x.Join == nil {
		return nil, nil
	}
	set, err := x.Join(site.Classes)
	if err != nil {
		return nil, err
	}
	identity, err := coalesce.NewIdentity()
	if err != nil {
		return nil, fmt.Errorf("joining like requests: %w", err)
	}
	j := &joining{logEvery: set.LogEvery, atFront: http1.Coalescing{Identity: identity, TenantsApart: set.Apart}}
	j.atFront.Classes.Store(joined(set.Options.Classes))
	after := site.MaxRetryAfter
	for _, c := range site.Classes { // as the module words its refusals
		after = min(after, c.LatencyObjective/2)
	}
	core.SetCoalescing(set.Options, after)
	return j, nil
}

// joined says of classes, by number, whether they are.
func joined(classes []coalesce.Class) *[]bool {
	out := make([]bool, len(classes))
	for i, c := range classes {
		out[i] = c.Coalesces
	}
	return &out
}

func (j *joining) front() *http1.Coalescing {
	if j == nil {
		return nil
	}
	return &j.atFront
}

// logJoins logs what was joined, if anything was since the last line.
func logJoins(ctx context.Context, core *engine.Engine, interval time.Duration, log *slog.Logger) {
	var last coalesce.Counts
	every(ctx, interval, func() {
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
