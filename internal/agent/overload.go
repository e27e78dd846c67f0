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

// OverloadOptions says how agents handle overload together.
type OverloadOptions struct {
	MaxRemembered int           // requests that were not served, to know their repeats by
	LogInterval   time.Duration // between two lines while some are refused
}

// payloadPoll is between two looks whether there is something to tell.
const payloadPoll = 50 * time.Millisecond

// sharing is the agent's part of what the fleet decides on overload.
type overloadComponent struct {
	options   OverloadOptions
	admission *overload.AdmissionController
	core      *engine.Engine
	log       *slog.Logger
}

// openOverload puts the fleet's door before the module; nil where overload is handled alone. The door is behind a recovery, if there
// is one.
func (x Features) openOverload(core *engine.Engine, cfg Config, log *slog.Logger) *overloadComponent {
	if x.Overload == nil {
		return nil
	}
	site := cfg.Site.Balancer
	alone := newAdmissionController(cfg, AdmissionOptions{MaxRemembered: x.Overload.MaxRemembered})
	s := &overloadComponent{options: *x.Overload, core: core, log: log, admission: overload.New(overload.Options{Self: site.Index, Agents: site.Balancers,
		Classes: admissionClasses(site.Classes), TenantQuotas: site.Quotas, MaxRetryAfter: site.MaxRetryAfter, Seed: cfg.Seed}, alone)}
	core.SetAdmission(s.admission)
	return s
}

// attach lets the door learn what the engine does, once the others are known. Who the others are says how many there are.
func (s *overloadComponent) attach(others *gossip.Node) error {
	if others == nil {
		return errors.New("overload: the agent knows of no others")
	}
	s.admission.SetFleetPosition(others.Self(), others.Agents())
	s.core.SetOverload(s.admission)
	return nil
}

// tell tells the others until the context ends.
func (s *overloadComponent) sendPayloads(ctx context.Context, others *gossip.Node) {
	callEvery(ctx, payloadPoll, func() {
		var body []byte
		var to int
		if err := s.core.WithOverload(ctx, func(now time.Duration) { body, to = s.admission.NextPayload(now, gossip.MaxPayloadBytes) }); err == nil && body != nil {
			others.SendPayload(body, to)
		}
	})
}

// look returns how the door stands; nil where there is none, or the engine has ended.
func (s *overloadComponent) statusOrNil() *overload.Status {
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
func (s *overloadComponent) status(ctx context.Context) (st overload.Status, err error) {
	err = s.core.WithOverload(ctx, func(now time.Duration) { st = s.admission.Status(now) })
	return st, err
}

// say logs when requests begin to be refused and when that ends, and every so often how it stands meanwhile.
func (s *overloadComponent) logChanges(ctx context.Context, clk engine.Clock) {
	refused, logged := false, time.Duration(0)
	callEvery(ctx, admissionLogPoll, func() {
		st, err := s.status(ctx)
		if err != nil {
			return
		}
		is, now := st.RejectedRatio > 0, clk.Now()
		if is == refused && (!is || now-logged < s.options.LogInterval) {
			return
		}
		if is != refused && now-logged < time.Second { // what goes to and fro is one line
			return
		}
		refused, logged = is, now
		s.log.Info("overload", "refused_part", twoDigits(st.RejectedRatio), "limit", twoDigits(st.Limit), "capacity", twoDigits(st.Capacity), "use", twoDigits(st.Utilization),
			"asked", twoDigits(st.Demand.Requests), "let_in", twoDigits(st.Demand.Admitted), "heard_of", st.Demand.KnownAgents, "alive", st.Demand.AliveAgents, "trust", twoDigits(st.Trust),
			"held_out", st.Excluded)
	})
}

var _ engine.OverloadHandler = (*overload.AdmissionController)(nil)
