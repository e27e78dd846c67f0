package rehearsal

import (
	"container/heap"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/emulator"
	"appleledge/internal/engine"
	"appleledge/logic"
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

// world is a day in simulated time: one goroutine, one heap of things to come, and the real engine and module. The same
// script and seed give the same day to the byte.
type world struct {
	script Script
	now    time.Duration
	queue  queue
	seq    uint64
	random *rand.Rand // of the day's draws
	net    *rand.Rand // of the network's

	ledger     *emulator.Ledger
	servers    []*simServer // in the order of their start; those that are gone stay, for the report
	byID       map[string]*simServer
	pods       map[int]*emulator.Pod
	successors int
	agents     []*simAgent
	outage     int           // of the list: how many events hold it
	lag        time.Duration // of its changes
	times      float64       // the load over the usual

	requests []*simRequest
	order    uint64 // of arrivals at servers
	// What tests spoil, to see that the witnesses notice: where an attempt goes, and which answers are held back.
	tamper  func(*simAgent, *engine.Attempt, *simServer) *simServer
	swallow func(*simRequest) bool
	day     Day
}

// thing is something to come.
type thing struct {
	at  time.Duration
	seq uint64 // breaks ties by the order in which things were planned
	do  func()
}

type queue []thing

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(thing)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = thing{}
	*q = (*q)[:last]
	return t
}

// next takes the first thing to come.
func (w *world) next() thing { return heap.Pop(&w.queue).(thing) }

// plan lets something happen at a time.
func (w *world) plan(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, thing{max(at, w.now), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.plan(w.now+d, do) }

// way is the time that a message takes.
func (w *world) way() time.Duration {
	return wayFrom + time.Duration(w.net.Int64N(int64(wayTo-wayFrom)))
}

// simServer is a form server in the simulation.
type simServer struct {
	w            *world
	id           string
	kind         kind
	pod          int
	started      time.Duration // 0 for long ago
	model        *emulator.Server
	state        logic.State
	effects      effects
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

// effects are the events that hold a server, which may overlap.
type effects struct {
	hung, paused, cut int
	throttle          []float64
	errors            []float64
	reset             []float64
}

// faults is what the effects come to.
func (e effects) faults(f *emulator.Faults) {
	f.Hung, f.Paused, f.Throttle, f.Errors = e.hung > 0, e.paused > 0, 0, 0
	if len(e.throttle) > 0 {
		f.Throttle = 1
	}
	for _, x := range e.throttle {
		f.Throttle *= x
	}
	f.Errors = either(e.errors)
}

// either is the chance that at least one of several happens.
func either(chances []float64) float64 {
	none := 1.0
	for _, x := range chances {
		none *= 1 - x
	}
	return 1 - none
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

// change changes what is wrong with the server.
func (s *simServer) change(do func(*effects)) {
	do(&s.effects)
	s.settle(s.model.Fault(s.w.now, s.effects.faults))
}

// member is the server as the list has it.
func (s *simServer) member() engine.Member {
	return engine.Member{Addr: s.id, Server: logic.Server{ID: s.id, State: s.state, Cell: s.pod, Weight: 1, Started: s.started}}
}

// start starts a server: warm for one that is there from the beginning.
func (w *world) start(id string, k kind, pod int, warm bool) *simServer {
	if w.pods[pod] == nil {
		w.pods[pod] = emulator.NewPod(pod, dropWindow, w.ledger)
	}
	s := &simServer{w: w, id: id, kind: k, pod: pod, state: logic.Ready, waiting: map[uint64]waiter{}}
	if !warm {
		s.started = w.now
	}
	s.model = emulator.NewServer(id, k.spec(w.random), w.pods[pod], w.random.Uint64(), w.now, warm)
	w.servers, w.byID[id] = append(w.servers, s), s
	return s
}

// simAgent is an agent: the real engine round the real module, with no sockets.
type simAgent struct {
	w      *world
	number int
	engine *engine.Engine
	life   int // counts its restarts
	up     bool
	knows  map[string]known         // of the list, as it was told
	told   map[string]time.Duration // when it was told that a server drains or is gone
	due    time.Duration            // when the engine is stepped next; 0: not planned
}

// known is what an agent was told of a server.
type known struct {
	state   logic.State
	started time.Duration
}

// boot starts an agent, or starts it anew.
func (a *simAgent) boot() {
	w := a.w
	a.life++
	a.up, a.due, a.knows, a.told = true, 0, map[string]known{}, map[string]time.Duration{}
	set := w.settings()
	set.Me = a.number
	b, err := logic.New(set, w.random.Uint64())
	if err != nil { // the settings are our own
		panic(err)
	}
	a.engine = engine.New(b, engine.DrivenClock(&w.now), a, slog.New(slog.DiscardHandler))
	a.engine.Begin()
	a.step(nil)
	a.list(true)
}

// step brings an event to the engine and plans the next step.
func (a *simAgent) step(ev any) {
	a.engine.Step(ev)
	if at, ok := a.engine.Due(); ok && at != a.due {
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
	l := engine.Listed{Full: full}
	for _, s := range a.w.servers {
		if a.w.byID[s.id] != s { // it has started anew since
			continue
		}
		was, is := a.knows[s.id], known{s.state, s.started}
		_, before := a.knows[s.id]
		if s.state == logic.Gone && (full || !before) || before && was == is && !full {
			continue
		}
		a.knows[s.id] = is
		if s.state == logic.Ready {
			delete(a.told, s.id)
		} else if _, told := a.told[s.id]; !told {
			a.told[s.id] = a.w.now
		}
		l.Members = append(l.Members, s.member())
	}
	if len(l.Members) > 0 {
		a.step(l)
	}
}

// Update is of engine.Fleet; there are no connections.
func (a *simAgent) Update(_ bool, members []engine.Member) int { return len(members) }

// Life is of engine.Fleet: which start of a server an attempt was meant for.
func (a *simAgent) Life(id string) engine.Life {
	if s := a.w.byID[id]; s != nil {
		return s
	}
	return nil
}

// Close is of engine.Fleet.
func (a *simAgent) Close() {}

// Carry is of engine.Carrier; the engine calls Start in its place.
func (a *simAgent) Carry(_ context.Context, at *engine.Attempt) engine.Outcome {
	return engine.Outcome{Attempt: at, Result: logic.NotSent, Report: logic.NoReport}
}
