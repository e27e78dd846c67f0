package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// Overload says how agents handle overload together.
type Overload struct {
	Remember int           // requests that were not served, to know their repeats by
	LogEvery time.Duration // between two lines while some are refused
}

// shareLook is between two looks whether there is something to tell.
const shareLook = 50 * time.Millisecond

// sharing is the agent's part of what the fleet decides on overload.
type sharing struct {
	set  Overload
	door *overload.AdmissionController
	core *engine.Engine
	log  *slog.Logger
}

// openSharing puts the fleet's door before the module; nil where overload is handled alone. The door is behind a recovery, if there
// is one.
func (x Extras) openSharing(core *engine.Engine, cfg Config, log *slog.Logger) *sharing {
	if x.Overload == nil {
		return nil
	}
	site := cfg.Site.Balancer
	alone := newStorm(cfg, Storm{Remember: x.Overload.Remember})
	s := &sharing{set: *x.Overload, core: core, log: log, door: overload.New(overload.Options{Self: site.Index, Agents: site.Balancers,
		Classes: stormClasses(site.Classes), TenantQuotas: site.Quotas, MaxRetryAfter: site.MaxRetryAfter, Seed: cfg.Seed}, alone)}
	core.SetAdmission(s.door)
	return s
}

// attach lets the door learn what the engine does, once the others are known. Who the others are says how many there are.
func (s *sharing) attach(others *gossip.Node) error {
	if others == nil {
		return errors.New("overload: the agent knows of no others")
	}
	s.door.SetFleetPosition(others.Self(), others.Agents())
	s.core.SetOverload(s.door)
	return nil
}

// tell tells the others until the context ends.
func (s *sharing) tell(ctx context.Context, others *gossip.Node) {
	every(ctx, shareLook, func() {
		var body []byte
		var to int
		if err := s.core.WithOverload(ctx, func(now time.Duration) { body, to = s.door.NextPayload(now, gossip.MaxPayloadBytes) }); err == nil && body != nil {
			others.SendPayload(body, to)
		}
	})
}

// look returns how the door stands; nil where there is none, or the engine has ended.
func (s *sharing) look() *overload.Status {
	if s == nil {
		return nil
	}
	st, err := s.status(context.Background()) // which ends with the engine
	if err != nil {
		return nil
	}
	return &st
}

// status returns how the door stands.
func (s *sharing) status(ctx context.Context) (st overload.Status, err error) {
	err = s.core.WithOverload(ctx, func(now time.Duration) { st = s.door.Status(now) })
	return st, err
}

// say logs when requests begin to be refused and when that ends, and every so often how it stands meanwhile.
func (s *sharing) say(ctx context.Context, clk engine.Clock) {
	refused, logged := false, time.Duration(0)
	every(ctx, stormLook, func() {
		st, err := s.status(ctx)
		if err != nil {
			return
		}
		is, now := st.RejectedRatio > 0, clk.Now()
		if is == refused && (!is || now-logged < s.set.LogEvery) {
			return
		}
		if is != refused && now-logged < time.Second { // what goes to and fro is one line
			return
		}
		refused, logged = is, now
		s.log.Info("overload", "refused_part", rounded(st.RejectedRatio), "limit", rounded(st.Limit), "capacity", rounded(st.Capacity), "use", rounded(st.Utilization),
			"asked", rounded(st.Demand.Requests), "let_in", rounded(st.Demand.Admitted), "heard_of", st.Demand.KnownAgents, "alive", st.Demand.AliveAgents, "trust", rounded(st.Trust),
			"held_out", st.Excluded)
	})
}

var _ engine.OverloadHandler = (*overload.AdmissionController)(nil)
