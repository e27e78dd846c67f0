package scenario

import (
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// fleetDoor is the door by which all agents handle overload together.
const fleetDoor = "fleet"

// knowingDoor is what no agent can have: one door that sees all that all agents see, at once. It is the measure for the fleet's.
const knowingDoor = "knowing"

// shareEvery is between two looks whether there is something to tell, as agents on sockets have it.
const shareEvery = 50 * time.Millisecond

// share gives the agent its part of what the fleet decides.
func (a *simAgent) share(set balancer.Settings) {
	w, life, core := a.w, a.life, a.others
	seed := uint64(a.number*1000 + a.life)
	alone := stormOptions(set, seed)
	d := overload.New(overload.Options{Self: a.number, Agents: w.script.Fleet.Agents, Classes: alone.Classes, TenantQuotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter,
		Seed: seed}, admission.New(alone))
	if w.script.Agents.Door == knowingDoor {
		if w.knowing == nil {
			w.knowing = overload.New(overload.Options{Agents: 1, Classes: alone.Classes, TenantQuotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter, Seed: seed}, admission.New(alone))
		}
		a.door = w.knowing
		a.engine.SetAdmission(w.knowing)
		a.engine.SetOverload(w.knowing)
		return
	}
	a.shares, a.door = d, d
	a.alive = nil
	a.engine.SetAdmission(d)
	a.engine.SetOverload(d)
	var tell func()
	tell = func() {
		if a.life != life || !a.up {
			return
		}
		if body, to := d.NextPayload(w.now, gossip.MaxPayloadBytes); body != nil {
			a.pass(core, core.SendPayload(w.now, body, to))
		}
		w.after(shareEvery, tell)
	}
	w.after(time.Duration(w.net.Int64N(int64(shareEvery))), tell)
}

// lives tells which agents live, when that has changed.
func (a *simAgent) lives(core *gossip.Core) {
	alive := make([]bool, a.w.script.Fleet.Agents)
	for i := range alive {
		s := core.State(i)
		alive[i] = s == gossip.Alive || s == gossip.Suspect
	}
	if !slices.Equal(alive, a.alive) {
		a.alive = alive
		a.shares.HandleLiveness(alive)
	}
}
