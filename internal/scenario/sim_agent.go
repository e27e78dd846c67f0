package scenario

import (
	"context"
	"log/slog"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/harness/admissionvariants"
	"appleledge/internal/settings"
)

// simAgent is an agent in simulated time: the real engine and balancer without sockets.
type simAgent struct {
	sim            *simulation
	number         int
	engine         *engine.Engine
	admission      engine.AdmissionController // nil without one
	incarnation    int                        // counts the starts
	isUp           bool
	knownServers   map[string]knownServer               // by id, as the last updates said
	drainToldAt    map[string]time.Duration             // by id: when the agent learnt that a server drains or is removed
	nextTimer      time.Duration                        // when the engine's timer is scheduled; 0: it isn't
	recovery       *recovery.Controller                 // nil if switched off
	gossip         *gossip.Core                         // nil if switched off
	overload       *overload.AdmissionController        // nil if agents handle overload alone
	alive          []bool                               // by agent, as the overload controller was told last
	disk           diskState                            // survives restarts
	hasList        bool                                 // this incarnation has had an endpoint update
	firstConnected map[engine.Incarnation]time.Duration // when it had its first connection to a server's life
}

// knownServer is what an agent was told of a server.
type knownServer struct {
	state   balancer.State
	started time.Duration
}

// start starts an agent, or a new incarnation of it.
func (a *simAgent) start() {
	w := a.sim
	a.incarnation++
	a.isUp, a.nextTimer, a.knownServers, a.drainToldAt = true, 0, map[string]knownServer{}, map[string]time.Duration{}
	a.hasList, a.firstConnected = false, map[engine.Incarnation]time.Duration{}
	set := w.balancerSettings()
	set.Index = a.number
	b, err := balancer.New(set, w.random.Uint64())
	if err != nil { // the settings are our own
		panic(err)
	}
	a.engine = engine.New(b, engine.ManualClock(&w.now), a, slog.New(slog.DiscardHandler))
	if len(w.script.Agents.CoalescedClasses) > 0 {
		a.engine.SetCoalescing(coalesceOptions(set.Classes), min(set.MaxRetryAfter, latencyObjective/2))
	}
	together := w.script.Agents.Admission == fleetAdmission || w.script.Agents.Admission == omniscientAdmission
	if w.script.Agents.Gossip || together {
		a.startGossip()
	}
	switch door := w.script.Agents.Admission; door {
	case "":
	case fleetAdmission, omniscientAdmission:
		a.countOverloads()
		a.startOverloadControl(set)
	default:
		a.countOverloads()
		a.admission = admissionvariants.New(door, admissionOptions(set, uint64(a.number*1000+a.incarnation)))
		a.engine.SetAdmission(a.admission)
	}
	if w.script.Agents.Recovery {
		a.startRecovery(set)
	}
	a.engine.Start()
	a.handle(nil)
	a.restore()
	a.updateList(true)
}

// coalesceOptions returns the defaults of an agent's own settings.
func coalesceOptions(classes []balancer.Class) coalesce.Options {
	set := settings.DefaultJoin()
	o := coalesce.Options{MaxGroups: set.MaxGroups, MaxFollowers: set.MaxWaiting, PauseAfterPrivate: time.Duration(set.Pause)}
	for _, c := range classes {
		o.Classes = append(o.Classes, coalesce.Class{Coalesces: c.Name == idempotentClass, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
	}
	return o
}

// admissionOptions returns the defaults of an agent's own settings.
func admissionOptions(set balancer.Settings, seed uint64) admission.Options {
	o := admission.Options{Quotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter, MaxRemembered: 4096, Seed: seed}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, admission.Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	return o
}

// countOverloads adds the overloads that the agent's admission controller detected in this incarnation to the report.
func (a *simAgent) countOverloads() {
	if a.admission != nil {
		a.sim.report.OverloadsDetected += int(a.admission.Counts().Overloads)
	}
}

// handle gives the engine an event and schedules its next timer.
func (a *simAgent) handle(ev engine.Event) {
	a.engine.Handle(ev)
	if at, ok := a.engine.NextTimer(); ok && at != a.nextTimer {
		a.nextTimer = at
		e := a.engine
		a.sim.schedule(at, func() {
			if a.engine == e && a.nextTimer == at {
				a.nextTimer = 0
				a.handle(nil)
			}
		})
	}
}

// updateList sends the agent the entries that changed since its last update, or all of them.
func (a *simAgent) updateList(full bool) {
	if a.sim.listOutages+a.sim.listSilences > 0 || !a.isUp {
		return
	}
	l := engine.EndpointUpdate{Full: full || !a.hasList} // an earlier incarnation's list isn't in force
	full, a.hasList = l.Full, true
	for _, s := range a.sim.simServers {
		if a.sim.serversByID[s.id] != s { // it has started anew since
			continue
		}
		was, is := a.knownServers[s.id], knownServer{s.state, s.started}
		_, before := a.knownServers[s.id]
		if s.state == balancer.Removed && (full || !before) || before && was == is && !full {
			continue
		}
		a.knownServers[s.id] = is
		if s.state == balancer.Ready {
			delete(a.drainToldAt, s.id)
		} else if _, told := a.drainToldAt[s.id]; !told {
			a.drainToldAt[s.id] = a.sim.now
		}
		l.Members = append(l.Members, s.asMember())
	}
	if len(l.Members) > 0 {
		a.handle(l)
		a.save()
	}
}

// Update implements engine.ServerPool; there are no connections.
func (a *simAgent) Update(_ bool, members []engine.Member) int { return len(members) }

// Incarnation implements engine.ServerPool: it returns the server's current start, which an attempt is bound to.
func (a *simAgent) Incarnation(id string) engine.Incarnation {
	if s := a.sim.serversByID[id]; s != nil {
		return s
	}
	return nil
}

// Close implements engine.ServerPool.
func (a *simAgent) Close() {}

// RoundTrip implements engine.Transport. The engine calls Start in its place.
func (a *simAgent) RoundTrip(_ context.Context, at *engine.Attempt) engine.Outcome {
	return engine.Outcome{Attempt: at, Result: balancer.NotSent, Report: balancer.NoReport}
}

// Start implements engine.AsyncTransport: it sends an attempt over the simulated network.
func (a *simAgent) Start(at *engine.Attempt) {
	w := a.sim
	s, _ := at.Incarnation.(*simServer)
	if w.redirectAttempt != nil {
		s = w.redirectAttempt(a, at, s)
	}
	life := a.incarnation
	ended := func(result balancer.Result, report balancer.Report) {
		if a.incarnation == life {
			a.handle(engine.Outcome{Attempt: at, Result: result, Report: report, OmitsContinue: w.script.Fleet.OmitsContinue})
		}
	}
	unconfirmed := at.IsKeyedRepeat && w.script.Fleet.OmitsContinue && !w.script.Agents.AllowUnconfirmedRepeats
	if s == nil || a.knownServers[s.id].state == balancer.Removed || a.isForbidden(at) || unconfirmed {
		w.scheduleAfter(0, func() { ended(balancer.NotSent, balancer.NoReport) })
		return
	}
	if told, is := a.drainToldAt[s.id]; is && w.now-told > drainGrace && w.serversByID[s.id] == s {
		w.addViolation("3", "agent %d sent to %s, %v after it was told that it drains", a.number, s.id, w.now-told)
	}
	timedOut := false
	w.schedule(at.Deadline, func() { timedOut = true; ended(balancer.TimedOut, balancer.NoReport) })
	if s.faults.partitioned > 0 {
		w.scheduleAfter(min(connectTimeout, at.Deadline-w.now), func() {
			if !timedOut {
				ended(balancer.ConnectFailed, balancer.NoReport)
			}
		})
		return
	}
	write := func() {
		w.scheduleAfter(w.drawNetworkDelay(), func() { s.receive(func() { s.handleAttempt(at, &timedOut, ended) }) })
	}
	if !at.IsKeyedRepeat || w.script.Fleet.OmitsContinue {
		write()
		return
	}
	confirmation := continueExchange{agent: a, life: life, attempt: at, server: s, write: write}
	confirmation.start()
}

// isForbidden reports whether an attempt must not be sent, by the rule of the real transport: one with ConnectedSince uses
// only a connection that is no younger. A simulated agent has one connection to each incarnation of a server.
func (a *simAgent) isForbidden(at *engine.Attempt) bool {
	since, met := a.firstConnected[at.Incarnation]
	if !met {
		a.firstConnected[at.Incarnation] = a.sim.now
	}
	return at.Forbidden || at.ConnectedSince != 0 && (!met || since > at.ConnectedSince)
}
