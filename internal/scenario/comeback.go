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
type disk struct {
	before  recovery.Baseline
	members []engine.Member
	lost    bool // the machine has lost power since
}

// askFor is for how long others are asked after a loss of power, as an agent's own settings have it by default.
const askFor = 100 * time.Millisecond

// meet gives the agent its place among the others. Their network loses nothing, unless a test spoils it.
func (a *simAgent) meet() {
	w, life := a.w, a.life
	core := gossip.New(gossip.Options{Self: a.number, Agents: w.script.Fleet.Agents, Seed: uint64(a.number*1000 + life)})
	a.others = core
	a.engine.SetGossip(func() bool { return a.heard }, func(f gossip.Observation) { core.Broadcast(w.now, f) })
	core.Start(w.now)
	a.look(core, time.Duration(1<<62))
}

// look plans the next look of an agent at the others, if that is before what is planned already.
func (a *simAgent) look(core *gossip.Core, planned time.Duration) {
	w, due := a.w, core.NextTimer()
	if due >= planned {
		return
	}
	w.plan(due, func() {
		if a.others == core && a.up {
			a.pass(core, core.Tick(w.now))
			a.look(core, time.Duration(1<<62))
		}
	})
}

// pass carries messages to the others, and what was heard to the engine.
func (a *simAgent) pass(core *gossip.Core, out []gossip.Message) {
	w := a.w
	for _, h := range core.TakeObservations() {
		a.step(engine.GossipReceived(h.From, h.Observation))
	}
	if a.shares != nil {
		a.lives(core)
	}
	for _, m := range out {
		to := w.agents[m.To]
		life := to.life
		w.datagrams++
		if w.mute != nil && w.mute(m) {
			continue
		}
		w.after(w.way(), func() {
			if to.life == life && to.up && to.others != nil {
				if m.Kind == gossip.Payload {
					to.step(engine.OverloadReported(m.From, m.Payload))
				}
				to.pass(to.others, to.others.Receive(w.now, m))
				to.look(to.others, w.now+time.Second)
			}
		})
	}
}

// saveEvery is between two writes of what changes all the time.
const saveEvery = time.Second

// comeBack puts a recovery before the agent's engine, by what its disk has.
func (a *simAgent) comeBack(set balancer.Settings) {
	w := a.w
	o := recovery.Options{Agents: set.Balancers, Self: a.number, ColdCapacityRatio: set.SlowStartInitialRatio, WarmupTime: set.SlowStartDuration, ColdOverloadFactor: set.WarmingOverloadRatio,
		MaxRetryAfter: set.MaxRetryAfter, Seed: uint64(a.number*1000 + a.life)}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, recovery.Class{Name: c.Name, Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	if a.others != nil {
		o.PeerPollTime = askFor
	}
	var behind recovery.Admitter
	if a.door != nil {
		behind = a.door
	}
	a.back = recovery.New(o, behind)
	a.engine.SetRecovery(a.back, func() bool { return a.heard }, func() {})
	if a.disk.lost {
		a.back.Start(w.now, a.disk.before, "the machine has started anew")
	} else {
		a.back.Resume(a.disk.before)
	}
	life := a.life
	var save func()
	save = func() {
		if a.life == life && a.up {
			a.save()
			w.after(saveEvery, save)
		}
	}
	w.after(saveEvery, save)
}

// restore lets the agent begin with the servers that its disk has. Whether they have started since is not known.
func (a *simAgent) restore() {
	if a.back == nil || len(a.disk.members) == 0 {
		return
	}
	l := engine.EndpointUpdate{Full: true}
	for _, m := range a.disk.members {
		if a.disk.lost {
			m.Started = 0
		}
		a.knows[m.ID] = known{m.State, m.Started}
		l.Members = append(l.Members, m)
	}
	a.disk.lost = false
	a.step(l)
}

// save writes what the agent knows.
func (a *simAgent) save() {
	if a.back == nil {
		return
	}
	a.disk.before = a.back.Baseline()
	if !a.heard {
		return
	}
	a.disk.members = a.disk.members[:0]
	for id, k := range a.knows {
		if s := a.w.byID[id]; s != nil && k.state != balancer.Removed {
			m := s.listed()
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
func (a *simAgent) barred(at *engine.Attempt) bool {
	since, met := a.met[at.Incarnation]
	if !met {
		a.met[at.Incarnation] = a.w.now
	}
	return at.Forbidden || at.ConnectedSince != 0 && (!met || since > at.ConnectedSince)
}
