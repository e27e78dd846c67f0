package scenario

import (
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
)

// server is a form server as the script sees it, in simulated time or on a socket.
type server struct {
	id      string
	kind    machineKind
	pod     int
	started time.Duration // 0 for long ago
	state   balancer.State
	faults  faultSet
	host    serverHost
}

// changeFaults changes the server's faults and applies them.
func (m *server) changeFaults(do func(*faultSet)) {
	do(&m.faults)
	m.host.applyFaults(m.faults)
}

// serverHost runs a server, in simulated time or on a socket. The goroutine of the scheduler calls it.
type serverHost interface {
	applyFaults(faultSet) // replaces those in effect
	kill()                // ends the process; connections break
	hasCollapsed() bool
}

// environment is what the script's events act on: the simulation, or processes and sockets. The goroutine of the
// scheduler calls it.
type environment interface {
	startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost
	listChanged()                                         // servers were added, drain or are removed
	setListOutage(out bool)                               // the endpoint list becomes unavailable, or is back
	setListSilence(silent bool)                           // the source of the endpoint list takes calls and answers none, or goes on
	setListLag(time.Duration)                             // by which updates are late
	killAgent(number int, down time.Duration, power bool) // it starts again after down; power: its machine reboots
	forgetPod(pod int)                                    // loses its idempotency keys
	restartAgent(number int)                              // by SIGTERM: it drains, ends and starts again
	pauseAgent(number int, lasts time.Duration)           // by SIGSTOP and SIGCONT
	reloadAgent(number int)                               // by SIGHUP
}

// scenarioRun is the part of a run that is the same in simulated time and on sockets.
type scenarioRun struct {
	scheduler
	script       Script
	random       *rand.Rand // draws everything that the script leaves open
	environment  environment
	servers      []*server          // in the order of their start, removed ones too
	current      map[string]*server // by id
	listOutages  int                // events under way that make the list unavailable
	listSilences int                // events under way that make its source silent
	listLag      time.Duration      // by which list updates are late
	loadFactor   float64            // 1: the rate of the script
	successors   int
	report       Report
}

// newScenarioRun returns a run at startTime with no servers.
func newScenarioRun(script Script, seed uint64, in environment) scenarioRun {
	return scenarioRun{scheduler: scheduler{now: startTime}, script: script, random: rand.New(rand.NewPCG(seed, 1)), environment: in,
		current: map[string]*server{}, loadFactor: 1}
}

// addServer starts a server; a warm one has long been running.
func (r *scenarioRun) addServer(id string, k machineKind, pod int, warm bool) *server {
	m := &server{id: id, kind: k, pod: pod, state: balancer.Ready}
	if !warm {
		m.started = r.now
	}
	r.servers, r.current[id] = append(r.servers, m), m
	m.host = r.environment.startServer(m, k.drawSpec(r.random), r.random.Uint64(), warm)
	return m
}

// startFleet starts the servers that are there from the beginning.
func (r *scenarioRun) startFleet() {
	for i := range r.script.Fleet.Servers {
		k := machineKinds[0]
		if float64(i)+0.5 >= machineKinds[0].share*float64(r.script.Fleet.Servers) {
			k = machineKinds[1]
		}
		r.addServer(serverName(i), k, r.script.Fleet.podOf(i), true)
	}
}

// addViolation records that a rule was broken at the current time.
func (r *scenarioRun) addViolation(rule, format string, args ...any) {
	r.report.addViolation(r.now, rule, format, args...)
}
