package scenario

import (
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// fleetAdmission is the setting by which all agents handle overload together.
const fleetAdmission = "fleet"

// omniscientAdmission is the setting of one admission controller that sees the requests of all agents at once. No real agent can
// have it; the fleet's is compared with it.
const omniscientAdmission = "knowing"

// payloadInterval is how often an agent looks for a payload to send, as the agents on sockets do.
const payloadInterval = 50 * time.Millisecond

// startOverloadControl gives the agent its part of the fleet's overload control.
func (a *simAgent) startOverloadControl(set balancer.Settings) {
	w, life, core := a.sim, a.incarnation, a.gossip
	seed := uint64(a.number*1000 + a.incarnation)
	alone := admissionOptions(set, seed)
	d := overload.New(overload.Options{Self: a.number, Agents: w.script.Fleet.Agents, Classes: alone.Classes, TenantQuotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter,
		Seed: seed}, admission.New(alone))
	if w.script.Agents.Admission == omniscientAdmission {
		if w.omniscientAdmission == nil {
			w.omniscientAdmission = overload.New(overload.Options{Agents: 1, Classes: alone.Classes, TenantQuotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter, Seed: seed}, admission.New(alone))
		}
		a.admission = w.omniscientAdmission
		a.engine.SetAdmission(w.omniscientAdmission)
		a.engine.SetOverload(w.omniscientAdmission)
		return
	}
	a.overload, a.admission = d, d
	a.alive = nil
	a.engine.SetAdmission(d)
	a.engine.SetOverload(d)
	var tell func()
	tell = func() {
		if a.incarnation != life || !a.isUp {
			return
		}
		if body, to := d.NextPayload(w.now, gossip.MaxPayloadBytes); body != nil {
			a.deliverGossip(core, core.SendPayload(w.now, body, to))
		}
		w.scheduleAfter(payloadInterval, tell)
	}
	w.scheduleAfter(time.Duration(w.networkRandom.Int64N(int64(payloadInterval))), tell)
}
