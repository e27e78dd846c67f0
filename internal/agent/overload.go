package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// OverloadOptions configure admission control by the whole fleet.
type OverloadOptions struct {
	MaxRemembered int           // requests that were not served, to know their repeats by
	LogInterval   time.Duration // between two lines while some are refused
}

// payloadPoll is the time between two checks whether there is a payload to send.
const payloadPoll = 50 * time.Millisecond

// overloadComponent is the agent's part of the fleet's admission control.
type overloadComponent struct {
	options   OverloadOptions
	admission *overload.AdmissionController
	core      *engine.Engine
	log       *slog.Logger
}

// openOverload puts the fleet's admission controller before the balancer, in the place of the agent's own.
func (a *assembly) openOverload() error {
	a.overload = a.features.openOverload(a.engine, a.cfg, a.log)
	if a.overload == nil {
		return nil
	}
	a.admission = a.overload.admission
	if err := a.overload.attach(a.gossip); err != nil {
		return err
	}
	a.components.add(untilDrain, func(ctx context.Context) { a.overload.sendPayloads(ctx, a.gossip) })
	a.components.add(untilAnswered, func(ctx context.Context) { a.overload.logChanges(ctx, a.clock) })
	return nil
}

// openOverload connects the fleet's admission controller to the engine; nil where the feature is off. A recovery ramp, if
// there is one, stands before it.
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

// attach connects the controller to the events of the engine and tells it how many agents there are.
func (s *overloadComponent) attach(others *gossip.Node) error {
	if others == nil {
		return errors.New("overload: the agent knows of no others")
	}
	s.admission.SetFleetPosition(others.Self(), others.Agents())
	s.core.SetOverload(s.admission)
	return nil
}

// sendPayloads sends what the controller has to tell to other agents, until the context ends.
func (s *overloadComponent) sendPayloads(ctx context.Context, others *gossip.Node) {
	callEvery(ctx, payloadPoll, func() {
		var body []byte
		var to int
		if err := s.core.WithOverload(ctx, func(now time.Duration) { body, to = s.admission.NextPayload(now, gossip.MaxPayloadBytes) }); err == nil && body != nil {
			others.SendPayload(body, to)
		}
	})
}

// statusOrNil returns the status of the controller; nil without one, or when the engine has ended.
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

// status returns the status of the controller.
func (s *overloadComponent) status(ctx context.Context) (st overload.Status, err error) {
	err = s.core.WithOverload(ctx, func(now time.Duration) { st = s.admission.Status(now) })
	return st, err
}

// logChanges logs when rejection begins and ends, and the status at each interval in between.
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

// The engine finds Retune by a type assertion: without it the controller would keep the old classes unnoticed.
var (
	_ engine.OverloadHandler = (*overload.AdmissionController)(nil)
	_ interface {
		Retune(classes []admission.Class)
	} = (*overload.AdmissionController)(nil)
)
