package scenario

import (
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/recovery"
)

// diskState is what a simulated agent has stored.
type diskState struct {
	baseline  recovery.Baseline
	members   []engine.Member
	powerLost bool // the machine has lost power since
}

// peerPollTime is how long peers are polled after a power loss; the default of an agent's own settings.
const peerPollTime = 100 * time.Millisecond

// saveInterval is the time between two writes of the recovery baseline.
const saveInterval = time.Second

// startRecovery puts a recovery controller before the engine, from what is stored.
func (a *simAgent) startRecovery(set balancer.Settings) {
	w := a.sim
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

// restore gives the agent the servers that are stored. After a power loss it isn't known whether they have restarted.
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

// save stores what the agent knows.
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
		if s := a.sim.serversByID[id]; s != nil && k.state != balancer.Removed {
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
