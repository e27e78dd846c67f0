package scenario

import (
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// fleetAdmission is the door by which all agents handle overload together.
const fleetAdmission = "fleet"

// omniscientAdmission is what no agent can have: one door that sees all that all agents see, at once. It is the measure for the fleet's.
const omniscientAdmission = "knowing"

// payloadInterval is between two looks whether there is something to tell, as agents on sockets have it.
const payloadInterval = 50 * time.Millisecond

// share gives the agent its part of what the fleet decides.
func (a *simAgent) startOverloadControl(set balancer.Settings) {
	w, life, core := a.w, a.incarnation, a.gossip
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

// lives tells which agents live, when that has changed.
func (a *simAgent) updateLiveness(core *gossip.Core) {
	alive := make([]bool, a.w.script.Fleet.Agents)
	for i := range alive {
		s := core.State(i)
		alive[i] = s == gossip.Alive || s == gossip.Suspect
	}
	if !slices.Equal(alive, a.alive) {
		a.alive = alive
		a.overload.HandleLiveness(alive)
	}
}
