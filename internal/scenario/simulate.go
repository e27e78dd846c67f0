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
	wayFrom        = 200 * time.Microsecond // one way
	wayTo          = 600 * time.Microsecond
	connectTimeout = 250 * time.Millisecond
	listEvery      = time.Second            // the list tells agents of changes after this time at most
	drainGrace     = 500 * time.Millisecond // the rule's
	drainTime      = 3 * time.Second        // a server that is replaced finishes for so long
	marginOfAgent  = 20 * time.Millisecond  // before a client's deadline a request is ended, as the agent's front does
	ownWait        = 300 * time.Millisecond // of clients that do not heed refusals
)

// world is a day in simulated time: one goroutine, one agenda, and the real engine and module. The same script and seed
// give the same day to the byte.
type world struct {
	stage
	net *rand.Rand // of the network's draws

	ledger  *emulator.Ledger
	servers []*simServer // in the order of their start; those that are gone stay, for the report
	byID    map[string]*simServer
	pods    map[int]*emulator.Pod
	agents  []*simAgent

	requests []*simRequest
	order    uint64 // of arrivals at servers
	// What tests spoil, to see that the witnesses notice: where an attempt goes, and which answers are held back.
	tamper  func(*simAgent, *engine.Attempt, *simServer) *simServer
	swallow func(*simRequest) bool
	mute    func(gossip.Message) bool // which datagrams between agents are lost

	datagrams int                           // between agents
	knowing   *overload.AdmissionController // of all agents, where they have one that knows all
}

// way is the time that a message takes.
func (w *world) way() time.Duration {
	return wayFrom + time.Duration(w.net.Int64N(int64(wayTo-wayFrom)))
}

// simServer is a form server in the simulation.
type simServer struct {
	*member
	w            *world
	model        *emulator.Server
	waiting      map[uint64]waiter // who waits for the end of a request
	last         uint64
	planned      time.Duration // when the model is looked at next; 0: not
	peak         int           // most requests held
	toppledNoted bool
	served       int
	held         []int // second by second
}

// waiter is an attempt that waits at a server.
type waiter struct {
	ended func(emulator.Done)
	broke func() // the server is gone
}

// die ends the server's process: its connections break, in the order in which the requests came.
func (s *simServer) die() {
	s.settle(s.model.Fault(s.w.now, func(f *emulator.Faults) { f.Killed = true }))
	for _, id := range slices.Sorted(maps.Keys(s.waiting)) {
		s.waiting[id].broke()
	}
	clear(s.waiting)
}

// look lets the model do what is due, and plans the next look.
func (s *simServer) look() {
	s.settle(s.model.Advance(s.w.now))
}

func (s *simServer) settle(ended []emulator.Done) {
	for _, d := range ended {
		if wait, ok := s.waiting[d.ID]; ok {
			delete(s.waiting, d.ID)
			wait.ended(d)
		}
	}
	if at, ok := s.model.Next(); ok && at != s.planned {
		s.planned = at
		s.w.plan(at, func() {
			if s.planned == at {
				s.planned = 0
				s.look()
			}
		})
	}
}

func (s *simServer) apply(e effects) { s.settle(s.model.Fault(s.w.now, e.faults)) }

func (s *simServer) toppled() bool { return s.model.Toppled() }

// listed is the server as the list has it.
func (s *simServer) listed() engine.Member {
	return engine.Member{Addr: s.id, Server: balancer.Server{ID: s.id, State: s.state, Cell: s.pod, Weight: 1, Started: s.started}}
}

// boot is of installation.
func (w *world) boot(m *member, spec emulator.Spec, seed uint64, warm bool) host {
	if w.pods[m.pod] == nil {
		w.pods[m.pod] = emulator.NewPod(m.pod, dropWindow, w.ledger)
	}
	s := &simServer{member: m, w: w, waiting: map[uint64]waiter{},
		model: emulator.NewServer(m.id, spec, w.pods[m.pod], seed, w.now, warm)}
	w.servers, w.byID[m.id] = append(w.servers, s), s
	return s
}

// changed is of installation: the agents are told, each when its turn comes.
func (w *world) changed() {
	for _, a := range w.agents {
		w.after(w.lag+time.Duration(w.net.Int64N(int64(listEvery))), func() { a.list(false) })
	}
}

// reach is of installation: what has changed in an outage is told after it.
func (w *world) reach(out bool) {
	if !out {
		w.changed()
	}
}

// late is of installation; changed heeds it.
func (w *world) late(time.Duration) {}

// endAgent is of installation: clients go on for a moment, what the agent took is answered, and it starts anew.
func (w *world) endAgent(number int) {
	a := w.agents[number]
	if !a.up {
		return
	}
	life := a.life
	w.after(noticeTime, func() {
		if a.life == life {
			a.up = false
		}
	})
	w.after(noticeTime+deadline+agentDown, func() {
		if a.life == life {
			a.boot()
		}
	})
}

// killAgent is of installation: an agent ends, with all that it held, and is back later.
func (w *world) killAgent(number int, down time.Duration, power bool) {
	a := w.agents[number]
	if !a.up {
		return
	}
	a.up = false
	a.life++
	for _, r := range w.requests {
		if r.agent != a || r.end != open || r.waits {
			continue
		}
		if r.key == "" && r.tries == 1 && w.script.Clients.Retry { // its connection broke; this one may be sent again
			r.waits = true
			w.after(down+ownWait, func() { r.waits = false; w.send(r) })
			continue
		}
		r.end, r.took = failed, w.now-r.arrived
	}
	a.disk.lost = a.disk.lost || power
	w.after(down, a.boot)
}

// forget is of installation.
func (w *world) forget(pod int) { w.pods[pod].Forget() }

// simAgent is an agent: the real engine round the real module, with no sockets.
type simAgent struct {
	w      *world
	number int
	engine *engine.Engine
	door   engine.AdmissionController // nil without one
	life   int                        // counts its restarts
	up     bool
	knows  map[string]known                     // of the list, as it was told
	told   map[string]time.Duration             // when it was told that a server drains or is gone
	due    time.Duration                        // when the engine is stepped next; 0: not planned
	back   *recovery.Controller                 // nil where none is switched on
	others *gossip.Core                         // nil where agents know nobody
	shares *overload.AdmissionController        // nil where overload is handled alone
	alive  []bool                               // who lives, as it was told last
	disk   disk                                 // what outlasts its lives
	heard  bool                                 // the list has told it something in this life
	met    map[engine.Incarnation]time.Duration // when it had its first connection to a server's life
}

// known is what an agent was told of a server.
type known struct {
	state   balancer.State
	started time.Duration
}

// boot starts an agent, or starts it anew.
func (a *simAgent) boot() {
	w := a.w
	a.life++
	a.up, a.due, a.knows, a.told = true, 0, map[string]known{}, map[string]time.Duration{}
	a.heard, a.met = false, map[engine.Incarnation]time.Duration{}
	set := w.settings()
	set.Index = a.number
	b, err := balancer.New(set, w.random.Uint64())
	if err != nil { // the settings are our own
		panic(err)
	}
	a.engine = engine.New(b, engine.ManualClock(&w.now), a, slog.New(slog.DiscardHandler))
	if len(w.script.Agents.Join) > 0 {
		a.engine.SetCoalescing(joinOptions(set.Classes), min(set.MaxRetryAfter, aim/2))
	}
	together := w.script.Agents.Door == fleetDoor || w.script.Agents.Door == knowingDoor
	if w.script.Agents.Peers || together {
		a.meet()
	}
	switch door := w.script.Agents.Door; door {
	case "":
	case fleetDoor, knowingDoor:
		a.noticed()
		a.share(set)
	default:
		a.noticed()
		a.door = admissionvariants.New(door, stormOptions(set, uint64(a.number*1000+a.life)))
		a.engine.SetAdmission(a.door)
	}
	if w.script.Agents.Recovery {
		a.comeBack(set)
	}
	a.engine.Start()
	a.step(nil)
	a.restore()
	a.list(true)
}

// joinOptions are those that an agent's own settings have by default.
func joinOptions(classes []balancer.Class) coalesce.Options {
	set := settings.DefaultJoin()
	o := coalesce.Options{MaxGroups: set.MaxGroups, MaxFollowers: set.MaxWaiting, PauseAfterPrivate: time.Duration(set.Pause)}
	for _, c := range classes {
		o.Classes = append(o.Classes, coalesce.Class{Coalesces: c.Name == safeClass, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
	}
	return o
}

// stormOptions are those that an agent's own settings have by default.
func stormOptions(set balancer.Settings, seed uint64) admission.Options {
	o := admission.Options{Quotas: set.Quotas, MaxRetryAfter: set.MaxRetryAfter, MaxRemembered: 4096, Seed: seed}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, admission.Class{Priority: c.Priority, LatencyObjective: c.LatencyObjective, Idempotent: c.Effect == balancer.Idempotent})
	}
	return o
}

// noticed counts the storms that the agent's door has noticed in this life.
func (a *simAgent) noticed() {
	if a.door != nil {
		a.w.day.Storms += int(a.door.Counts().Overloads)
	}
}

// step brings an event to the engine and plans the next step.
func (a *simAgent) step(ev engine.Event) {
	a.engine.Handle(ev)
	if at, ok := a.engine.NextTimer(); ok && at != a.due {
		a.due = at
		e := a.engine
		a.w.plan(at, func() {
			if a.engine == e && a.due == at {
				a.due = 0
				a.step(nil)
			}
		})
	}
}

// list tells the agent what has changed of the list since it was told last, or all of it.
func (a *simAgent) list(full bool) {
	if a.w.outage > 0 || !a.up {
		return
	}
	l := engine.EndpointUpdate{Full: full || !a.heard} // what is from before is not in force any more
	full, a.heard = l.Full, true
	for _, s := range a.w.servers {
		if a.w.byID[s.id] != s { // it has started anew since
			continue
		}
		was, is := a.knows[s.id], known{s.state, s.started}
		_, before := a.knows[s.id]
		if s.state == balancer.Removed && (full || !before) || before && was == is && !full {
			continue
		}
		a.knows[s.id] = is
		if s.state == balancer.Ready {
			delete(a.told, s.id)
		} else if _, told := a.told[s.id]; !told {
			a.told[s.id] = a.w.now
		}
		l.Members = append(l.Members, s.listed())
	}
	if len(l.Members) > 0 {
		a.step(l)
		a.save()
	}
}

// Update is of engine.ServerPool; there are no connections.
func (a *simAgent) Update(_ bool, members []engine.Member) int { return len(members) }

// IsIncarnation makes a simServer an engine.Incarnation.
func (*simServer) IsIncarnation() {}

// Incarnation is of engine.ServerPool: which start of a server an attempt was meant for.
func (a *simAgent) Incarnation(id string) engine.Incarnation {
	if s := a.w.byID[id]; s != nil {
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
