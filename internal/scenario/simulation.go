package scenario

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/admission"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/emulator"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/harness/admissionvariants"
	"appleledge/internal/settings"
)

// Times of the simulated network and of the list.
const (
	minNetworkDelay     = 200 * time.Microsecond // one way
	maxNetworkDelay     = 600 * time.Microsecond
	connectTimeout      = 250 * time.Millisecond
	maxListDelay        = time.Second            // the list tells agents of changes after this time at most
	drainGrace          = 500 * time.Millisecond // the rule's
	drainTime           = 3 * time.Second        // a server that is replaced finishes for so long
	agentDeadlineMargin = 20 * time.Millisecond  // before a client's deadline a request is ended, as the agent's front does
	clientRetryDelay    = 300 * time.Millisecond // of clients that do not heed refusals
)

// world is a day in simulated time: one goroutine, one agenda, and the real engine and module. The same script and seed
// give the same day to the byte.
type simulation struct {
	scenarioRun
	networkRandom *rand.Rand // of the network's draws

	ledger      *emulator.Ledger
	simServers  []*simServer // in the order of their start; those that are gone stay, for the report
	serversByID map[string]*simServer
	pods        map[int]*emulator.Pod
	agents      []*simAgent

	requests []*simRequest
	arrivals uint64 // of arrivals at servers
	// What tests spoil, to see that the witnesses notice: where an attempt goes, and which answers are held back.
	redirectAttempt func(*simAgent, *engine.Attempt, *simServer) *simServer
	dropAnswer      func(*simRequest) bool
	dropMessage     func(gossip.Message) bool // which datagrams between agents are lost

	datagrams           int                           // between agents
	omniscientAdmission *overload.AdmissionController // of all agents, where they have one that knows all
}

// way is the time that a message takes.
func (w *simulation) drawNetworkDelay() time.Duration {
	return minNetworkDelay + time.Duration(w.networkRandom.Int64N(int64(maxNetworkDelay-minNetworkDelay)))
}

// simServer is a form server in the simulation.
type simServer struct {
	*server
	w                *simulation
	model            *emulator.Server
	pendingAttempts  map[uint64]pendingAttempt // who waits for the end of a request
	lastRequestID    uint64
	nextAdvance      time.Duration // when the model is looked at next; 0: not
	peak             int           // most requests held
	collapseReported bool
	served           int
	inFlightSamples  []int // second by second
}

// waiter is an attempt that waits at a server.
type pendingAttempt struct {
	onDone  func(emulator.Done)
	onReset func() // the server is gone
}

// die ends the server's process: its connections break, in the order in which the requests came.
func (s *simServer) kill() {
	s.deliverEnded(s.model.Fault(s.w.now, func(f *emulator.Faults) { f.Killed = true }))
	for _, id := range slices.Sorted(maps.Keys(s.pendingAttempts)) {
		s.pendingAttempts[id].onReset()
	}
	clear(s.pendingAttempts)
}

// look lets the model do what is due, and plans the next look.
func (s *simServer) advance() {
	s.deliverEnded(s.model.Advance(s.w.now))
}

func (s *simServer) deliverEnded(ended []emulator.Done) {
	for _, d := range ended {
		if wait, ok := s.pendingAttempts[d.ID]; ok {
			delete(s.pendingAttempts, d.ID)
			wait.onDone(d)
		}
	}
	if at, ok := s.model.Next(); ok && at != s.nextAdvance {
		s.nextAdvance = at
		s.w.schedule(at, func() {
			if s.nextAdvance == at {
				s.nextAdvance = 0
				s.advance()
			}
		})
	}
}

func (s *simServer) applyFaults(e faultSet) { s.deliverEnded(s.model.Fault(s.w.now, e.writeTo)) }

func (s *simServer) hasCollapsed() bool { return s.model.Toppled() }

// listed is the server as the list has it.
func (s *simServer) asMember() engine.Member {
	return engine.Member{Addr: s.id, Server: balancer.Server{ID: s.id, State: s.state, Cell: s.pod, Weight: 1, Started: s.started}}
}

// boot is of installation.
func (w *simulation) startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost {
	if w.pods[m.pod] == nil {
		w.pods[m.pod] = emulator.NewPod(m.pod, dedupWindow, w.ledger)
	}
	s := &simServer{server: m, w: w, pendingAttempts: map[uint64]pendingAttempt{},
		model: emulator.NewServer(m.id, spec, w.pods[m.pod], seed, w.now, warm)}
	w.simServers, w.serversByID[m.id] = append(w.simServers, s), s
	return s
}

// changed is of installation: the agents are told, each when its turn comes.
func (w *simulation) listChanged() {
	for _, a := range w.agents {
		w.scheduleAfter(w.listLag+time.Duration(w.networkRandom.Int64N(int64(maxListDelay))), func() { a.updateList(false) })
	}
}

// reach is of installation: what has changed in an outage is told after it.
func (w *simulation) setListOutage(out bool) {
	if !out {
		w.listChanged()
	}
}

// late is of installation; changed heeds it.
func (w *simulation) setListLag(time.Duration) {}

// restartAgent is of installation: clients go on for a moment, what the agent took is answered, and it starts anew.
func (w *simulation) restartAgent(number int) {
	a := w.agents[number]
	if !a.isUp {
		return
	}
	life := a.incarnation
	w.scheduleAfter(drainNoticeTime, func() {
		if a.incarnation == life {
			a.isUp = false
		}
	})
	w.scheduleAfter(drainNoticeTime+deadline+agentDowntime, func() {
		if a.incarnation == life {
			a.start()
		}
	})
}

// killAgent is of installation: an agent ends, with all that it held, and is back later.
func (w *simulation) killAgent(number int, down time.Duration, power bool) {
	a := w.agents[number]
	if !a.isUp {
		return
	}
	a.isUp = false
	a.incarnation++
	for _, r := range w.requests {
		if r.agent != a || r.result != pending || r.isBackingOff {
			continue
		}
		if r.idempotencyKey == "" && r.attempts == 1 && w.script.Clients.Retry { // its connection broke; this one may be sent again
			r.isBackingOff = true
			w.scheduleAfter(down+clientRetryDelay, func() { r.isBackingOff = false; w.send(r) })
			continue
		}
		r.result, r.latency = failed, w.now-r.arrived
	}
	a.disk.powerLost = a.disk.powerLost || power
	w.scheduleAfter(down, a.start)
}

// forget is of installation.
func (w *simulation) forgetPod(pod int) { w.pods[pod].Forget() }

// simAgent is an agent: the real engine round the real module, with no sockets.
type simAgent struct {
	w              *simulation
	number         int
	engine         *engine.Engine
	admission      engine.AdmissionController // nil without one
	incarnation    int                        // counts its restarts
	isUp           bool
	knownServers   map[string]knownServer               // of the list, as it was told
	drainToldAt    map[string]time.Duration             // when it was told that a server drains or is gone
	nextTimer      time.Duration                        // when the engine is stepped next; 0: not planned
	recovery       *recovery.Controller                 // nil where none is switched on
	gossip         *gossip.Core                         // nil where agents know nobody
	overload       *overload.AdmissionController        // nil where overload is handled alone
	alive          []bool                               // who lives, as it was told last
	disk           diskState                            // what outlasts its lives
	hasList        bool                                 // the list has told it something in this life
	firstConnected map[engine.Incarnation]time.Duration // when it had its first connection to a server's life
}

// known is what an agent was told of a server.
type knownServer struct {
	state   balancer.State
	started time.Duration
}

// boot starts an agent, or starts it anew.
func (a *simAgent) start() {
	w := a.w
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

// coalesceOptions are those that an agent's own settings have by default.
func coalesceOptions(classes []balancer.Class) coalesce.Options {
	set := settings.DefaultJoin()
	o := coalesce.Options{MaxGroups: set.MaxGroups, MaxFollowers: set.MaxWaiting, PauseAfterPrivate: time.Duration(set.Pause)}
	for _, c := range classes {
		o.Classes = append(o.Classes, coalesce.Class{Coalesces: c.Name == idempotentClass, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
	}
	return o
}

// admissionOptions are those that an agent's own settings have by default.
func admissionOptions(set balancer.Settings, seed uint64) admission.Options {
	o := admission.Options{Quotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter, MaxRemembered: 4096, Seed: seed}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, admission.Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	return o
}

// noticed counts the storms that the agent's door has noticed in this life.
func (a *simAgent) countOverloads() {
	if a.admission != nil {
		a.w.report.OverloadsDetected += int(a.admission.Counts().Overloads)
	}
}

// step brings an event to the engine and plans the next step.
func (a *simAgent) handle(ev engine.Event) {
	a.engine.Handle(ev)
	if at, ok := a.engine.NextTimer(); ok && at != a.nextTimer {
		a.nextTimer = at
		e := a.engine
		a.w.schedule(at, func() {
			if a.engine == e && a.nextTimer == at {
				a.nextTimer = 0
				a.handle(nil)
			}
		})
	}
}

// list tells the agent what has changed of the list since it was told last, or all of it.
func (a *simAgent) updateList(full bool) {
	if a.w.listOutages > 0 || !a.isUp {
		return
	}
	l := engine.EndpointUpdate{Full: full || !a.hasList} // what is from before is not in force any more
	full, a.hasList = l.Full, true
	for _, s := range a.w.simServers {
		if a.w.serversByID[s.id] != s { // it has started anew since
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
			a.drainToldAt[s.id] = a.w.now
		}
		l.Members = append(l.Members, s.asMember())
	}
	if len(l.Members) > 0 {
		a.handle(l)
		a.save()
	}
}

// Update is of engine.ServerPool; there are no connections.
func (a *simAgent) Update(_ bool, members []engine.Member) int { return len(members) }

// IsIncarnation makes a simServer an engine.Incarnation.
func (*simServer) IsIncarnation() {}

// Incarnation is of engine.ServerPool: which start of a server an attempt was meant for.
func (a *simAgent) Incarnation(id string) engine.Incarnation {
	if s := a.w.serversByID[id]; s != nil {
		return s
	}
	return nil
}

// Close is of engine.ServerPool.
func (a *simAgent) Close() {}

// RoundTrip is of engine.Transport; the engine calls Start in its place.
func (a *simAgent) RoundTrip(_ context.Context, at *engine.Attempt) engine.Outcome {
	return engine.Outcome{Attempt: at, Result: balancer.NotSent, Report: balancer.NoReport}
}
