package scenario

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
)

// agenda is what is to come, in order: by time, and at one time by when it was planned.
type scheduler struct {
	now   time.Duration
	queue taskQueue
	seq   uint64
}

// thing is something to come.
type scheduledTask struct {
	at  time.Duration
	seq uint64
	run func()
}

type taskQueue []scheduledTask

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(scheduledTask)) }
func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = scheduledTask{}
	*q = (*q)[:last]
	return t
}

// next takes the first thing to come.
func (a *scheduler) pop() scheduledTask { return heap.Pop(&a.queue).(scheduledTask) }

// plan lets something happen at a time.
func (a *scheduler) schedule(at time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, scheduledTask{max(at, a.now), a.seq, do})
}

func (a *scheduler) scheduleAfter(d time.Duration, do func()) { a.schedule(a.now+d, do) }

// member is a form server as a script sees it, wherever it runs.
type server struct {
	id      string
	kind    machineKind
	pod     int
	started time.Duration // 0 for long ago
	state   balancer.State
	faults  faultSet
	host    serverHost
}

// change changes the effects that hold a server.
func (m *server) changeFaults(do func(*faultSet)) {
	do(&m.faults)
	m.host.applyFaults(m.faults)
}

// host is where a member runs.
type serverHost interface {
	applyFaults(faultSet) // its effects have changed
	kill()                // its process ends
	hasCollapsed() bool
}

// installation is what a script happens to: in simulated time, or on sockets.
type environment interface {
	startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost
	listChanged()                                         // the list's servers have
	setListOutage(out bool)                               // the list goes out of reach, or comes back
	setListLag(time.Duration)                             // by which the list's changes come
	killAgent(number int, down time.Duration, power bool) // it is back so much later; power: its machine lost that
	forgetPod(pod int)                                    // a pod's memory of repeats is lost
	restartAgent(number int)                              // by SIGTERM: it drains, ends and starts anew
}

// stage is where a script is played.
type scenarioRun struct {
	scheduler
	script      Script
	random      *rand.Rand // of the day's draws
	environment environment
	servers     []*server          // in the order of their start; those that are gone stay
	current     map[string]*server // by id
	listOutages int                // how many events hold the list
	listLag     time.Duration      // of its changes
	loadFactor  float64            // the load over the usual
	successors  int
	report      Report
}

func newScenarioRun(script Script, seed uint64, in environment) scenarioRun {
	return scenarioRun{scheduler: scheduler{now: startTime}, script: script, random: rand.New(rand.NewPCG(seed, 1)), environment: in,
		current: map[string]*server{}, loadFactor: 1}
}

// start starts a server: warm for one that is there from the beginning.
func (s *scenarioRun) addServer(id string, k machineKind, pod int, warm bool) *server {
	m := &server{id: id, kind: k, pod: pod, state: balancer.Ready}
	if !warm {
		m.started = s.now
	}
	s.servers, s.current[id] = append(s.servers, m), m
	m.host = s.environment.startServer(m, k.drawSpec(s.random), s.random.Uint64(), warm)
	return m
}

// open starts the fleet that is there from the beginning.
func (s *scenarioRun) startFleet() {
	for i := range s.script.Fleet.Servers {
		k := machineKinds[0]
		if float64(i)+0.5 >= machineKinds[0].share*float64(s.script.Fleet.Servers) {
			k = machineKinds[1]
		}
		s.addServer(serverName(i), k, i/podSize, true)
	}
}

// effects are the events that hold a server, which may overlap.
type faultSet struct {
	hung, paused, partitioned int
	throttle                  []float64
	errors                    []float64
	reset                     []float64
	corrupt                   []float64
}

// faults is what the effects come to.
func (e faultSet) writeTo(f *emulator.Faults) {
	f.Hung, f.Paused, f.Throttle, f.Errors = e.hung > 0, e.paused > 0, 0, 0
	if len(e.throttle) > 0 {
		f.Throttle = 1
	}
	for _, x := range e.throttle {
		f.Throttle *= x
	}
	f.Errors = probabilityOfAny(e.errors)
}

// either is the chance that at least one of several happens.
func probabilityOfAny(chances []float64) float64 {
	none := 1.0
	for _, x := range chances {
		none *= 1 - x
	}
	return 1 - none
}
