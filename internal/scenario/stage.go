package scenario

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
)

// agenda is what is to come, in order: by time, and at one time by when it was planned.
type agenda struct {
	now   time.Duration
	queue queue
	seq   uint64
}

// thing is something to come.
type thing struct {
	at  time.Duration
	seq uint64
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
func (a *agenda) next() thing { return heap.Pop(&a.queue).(thing) }

// plan lets something happen at a time.
func (a *agenda) plan(at time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, thing{max(at, a.now), a.seq, do})
}

func (a *agenda) after(d time.Duration, do func()) { a.plan(a.now+d, do) }

// member is a form server as a script sees it, wherever it runs.
type member struct {
	id      string
	kind    kind
	pod     int
	started time.Duration // 0 for long ago
	state   balancer.State
	effects effects
	at      host
}

// change changes the effects that hold a server.
func (m *member) change(do func(*effects)) {
	do(&m.effects)
	m.at.apply(m.effects)
}

// host is where a member runs.
type host interface {
	apply(effects) // its effects have changed
	die()          // its process ends
	toppled() bool
}

// installation is what a script happens to: in simulated time, or on sockets.
type installation interface {
	boot(m *member, spec emulator.Spec, seed uint64, warm bool) host
	changed()                                             // the list's servers have
	reach(out bool)                                       // the list goes out of reach, or comes back
	late(time.Duration)                                   // by which the list's changes come
	killAgent(number int, down time.Duration, power bool) // it is back so much later; power: its machine lost that
	forget(pod int)                                       // a pod's memory of repeats is lost
	endAgent(number int)                                  // by SIGTERM: it drains, ends and starts anew
}

// stage is where a script is played.
type stage struct {
	agenda
	script     Script
	random     *rand.Rand // of the day's draws
	in         installation
	members    []*member          // in the order of their start; those that are gone stay
	current    map[string]*member // by id
	outage     int                // how many events hold the list
	lag        time.Duration      // of its changes
	times      float64            // the load over the usual
	successors int
	day        Day
}

func newStage(script Script, seed uint64, in installation) stage {
	return stage{agenda: agenda{now: dayStart}, script: script, random: rand.New(rand.NewPCG(seed, 1)), in: in,
		current: map[string]*member{}, times: 1}
}

// start starts a server: warm for one that is there from the beginning.
func (s *stage) start(id string, k kind, pod int, warm bool) *member {
	m := &member{id: id, kind: k, pod: pod, state: balancer.Ready}
	if !warm {
		m.started = s.now
	}
	s.members, s.current[id] = append(s.members, m), m
	m.at = s.in.boot(m, k.spec(s.random), s.random.Uint64(), warm)
	return m
}

// open starts the fleet that is there from the beginning.
func (s *stage) open() {
	for i := range s.script.Fleet.Servers {
		k := kinds[0]
		if float64(i)+0.5 >= kinds[0].share*float64(s.script.Fleet.Servers) {
			k = kinds[1]
		}
		s.start(serverName(i), k, i/podSize, true)
	}
}

// effects are the events that hold a server, which may overlap.
type effects struct {
	hung, paused, cut int
	throttle          []float64
	errors            []float64
	reset             []float64
	spoil             []float64
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
