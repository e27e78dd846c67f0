package scenario

import (
	"slices"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
)

// startGossip starts the agent's gossip. Its network loses no message, except where a test drops some.
func (a *simAgent) startGossip() {
	w, life := a.sim, a.incarnation
	core := gossip.New(gossip.Options{Self: a.number, Agents: w.script.Fleet.Agents, Seed: uint64(a.number*1000 + life)})
	a.gossip = core
	a.engine.SetGossip(func() bool { return a.hasList }, func(f gossip.Observation) { core.Broadcast(w.now, f) })
	core.Start(w.now)
	a.scheduleGossip(core, time.Duration(1<<62))
}

// scheduleGossip schedules the next tick of the gossip core, unless one is scheduled before that.
func (a *simAgent) scheduleGossip(core *gossip.Core, planned time.Duration) {
	w, due := a.sim, core.NextTimer()
	if due >= planned {
		return
	}
	w.schedule(due, func() {
		if a.gossip == core && a.isUp {
			a.deliverGossip(core, core.Tick(w.now))
			a.scheduleGossip(core, time.Duration(1<<62))
		}
	})
}

// deliverGossip gives the engine what the core has received, and sends messages to other agents.
func (a *simAgent) deliverGossip(core *gossip.Core, out []gossip.Message) {
	w := a.sim
	for _, h := range core.TakeObservations() {
		a.handle(engine.GossipReceived(h.From, h.Observation))
	}
	if a.overload != nil {
		a.updateLiveness(core)
	}
	for _, m := range out {
		to := w.agents[m.To]
		life := to.incarnation
		w.datagrams++
		if w.dropMessage != nil && w.dropMessage(m) {
			continue
		}
		w.scheduleAfter(w.drawNetworkDelay(), func() {
			if to.incarnation == life && to.isUp && to.gossip != nil {
				if m.Kind == gossip.Payload {
					to.handle(engine.OverloadReported(m.From, m.Payload))
				}
				to.deliverGossip(to.gossip, to.gossip.Receive(w.now, m))
				to.scheduleGossip(to.gossip, w.now+time.Second)
			}
		})
	}
}

// updateLiveness tells the overload controller which agents are alive, when that has changed.
func (a *simAgent) updateLiveness(core *gossip.Core) {
	alive := make([]bool, a.sim.script.Fleet.Agents)
	for i := range alive {
		s := core.State(i)
		alive[i] = s == gossip.Alive || s == gossip.Suspect
	}
	if !slices.Equal(alive, a.alive) {
		a.alive = alive
		a.overload.HandleLiveness(alive)
	}
}
