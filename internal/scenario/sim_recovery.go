package scenario

import (
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
)

// disk is what a simulated agent keeps, as it was written last.
type diskState struct {
	baseline  recovery.Baseline
	members   []engine.Member
	powerLost bool // the machine has lost power since
}

// peerPollTime is for how long others are asked after a loss of power, as an agent's own settings have it by default.
const peerPollTime = 100 * time.Millisecond

// meet gives the agent its place among the others. Their network loses nothing, unless a test spoils it.
func (a *simAgent) startGossip() {
	w, life := a.w, a.incarnation
	core := gossip.New(gossip.Options{Self: a.number, Agents: w.script.Fleet.Agents, Seed: uint64(a.number*1000 + life)})
	a.gossip = core
	a.engine.SetGossip(func() bool { return a.hasList }, func(f gossip.Observation) { core.Broadcast(w.now, f) })
	core.Start(w.now)
	a.scheduleGossip(core, time.Duration(1<<62))
}

// look plans the next look of an agent at the others, if that is before what is planned already.
func (a *simAgent) scheduleGossip(core *gossip.Core, planned time.Duration) {
	w, due := a.w, core.NextTimer()
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

// pass carries messages to the others, and what was heard to the engine.
func (a *simAgent) deliverGossip(core *gossip.Core, out []gossip.Message) {
	w := a.w
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

// saveInterval is between two writes of what changes all the time.
const saveInterval = time.Second

// startRecovery puts a recovery before the agent's engine, by what its disk has.
func (a *simAgent) startRecovery(set balancer.Settings) {
	w := a.w
	o := recovery.Options{Agents: set.Balancers, Self: a.number, ColdCapacityRatio: set.SlowStartInitialRatio, WarmupTime: set.SlowStartDuration, ColdOverloadFactor: set.WarmingOverloadRatio,
		MaxRetryAfter: set.MaxRetryAfter, Seed: uint64(a.number*1000 + a.incarnation)}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, recovery.Class{Name: c.Name, Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	if a.gossip != nil {
		o.PeerPollTime = peerPollTime
	}
	var behind recovery.Admitter
	if a.admission != nil {
		behind = a.admission
	}
	a.recovery = recovery.New(o, behind)
	a.engine.SetRecovery(a.recovery, func() bool { return a.hasList }, func() {})
	if a.disk.powerLost {
		a.recovery.Start(w.now, a.disk.baseline, "the machine has started anew")
	} else {
		a.recovery.Resume(a.disk.baseline)
	}
	life := a.incarnation
	var save func()
	save = func() {
		if a.incarnation == life && a.isUp {
			a.save()
			w.scheduleAfter(saveInterval, save)
		}
	}
	w.scheduleAfter(saveInterval, save)
}

// restore lets the agent begin with the servers that its disk has. Whether they have started since is not known.
func (a *simAgent) restore() {
	if a.recovery == nil || len(a.disk.members) == 0 {
		return
	}
	l := engine.EndpointUpdate{Full: true}
	for _, m := range a.disk.members {
		if a.disk.powerLost {
			m.Started = 0
		}
		a.knownServers[m.ID] = knownServer{m.State, m.Started}
		l.Members = append(l.Members, m)
	}
	a.disk.powerLost = false
	a.handle(l)
}

// save writes what the agent knows.
func (a *simAgent) save() {
	if a.recovery == nil {
		return
	}
	a.disk.baseline = a.recovery.Baseline()
	if !a.hasList {
		return
	}
	a.disk.members = a.disk.members[:0]
	for id, k := range a.knownServers {
		if s := a.w.serversByID[id]; s != nil && k.state != balancer.Removed {
			m := s.asMember()
			m.State, m.Started = k.state, k.started
			a.disk.members = append(a.disk.members, m)
		}
	}
	slices.SortFunc(a.disk.members, func(x, y engine.Member) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
}

// barred reports whether an attempt must not go out to a server, as httpcarrier has it: a repeat goes only over a connection from
// before. The agent keeps one to each life of a server that it has met.
func (a *simAgent) isForbidden(at *engine.Attempt) bool {
	since, met := a.firstConnected[at.Incarnation]
	if !met {
		a.firstConnected[at.Incarnation] = a.w.now
	}
	return at.Forbidden || at.ConnectedSince != 0 && (!met || since > at.ConnectedSince)
}
