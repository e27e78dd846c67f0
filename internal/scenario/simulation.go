package scenario

import (
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
)

// Times of the simulated network and of the list.
const (
	minNetworkDelay     = 200 * time.Microsecond // one way, uniformly distributed
	maxNetworkDelay     = 600 * time.Microsecond
	connectTimeout      = 250 * time.Millisecond
	maxListDelay        = time.Second            // at most, until an agent has a change of the list
	drainGrace          = 500 * time.Millisecond // for which rule 3 allows requests to a draining server
	drainTime           = 3 * time.Second        // from the start of a drain to removal
	agentDeadlineMargin = 20 * time.Millisecond  // by which the engine's deadline is before the client's, as in the downstream server
	clientRetryDelay    = 300 * time.Millisecond // after a connection failure
)

// simulation is a run in simulated time: one goroutine, one scheduler, and the real engine and balancer. Equal scripts and seeds
// give byte-equal reports.
type simulation struct {
	scenarioRun
	networkRandom *rand.Rand // draws network delays, losses and client backoffs

	ledger      *emulator.Ledger
	simServers  []*simServer // in the order of their start, removed ones too
	serversByID map[string]*simServer
	pods        map[int]*emulator.Pod
	agents      []*simAgent

	requests []*simRequest
	arrivals uint64 // number of attempts that have arrived at servers
	// Set by tests, to see that the checks notice: redirectAttempt changes the server of an attempt, dropAnswer and
	// dropMessage report which answers and which gossip messages are lost.
	redirectAttempt func(*simAgent, *engine.Attempt, *simServer) *simServer
	dropAnswer      func(*simRequest) bool
	dropMessage     func(gossip.Message) bool

	datagrams           int                           // gossip messages sent
	omniscientAdmission *overload.AdmissionController // shared by all agents; nil without one
}

// drawNetworkDelay draws the time that a message takes one way.
func (w *simulation) drawNetworkDelay() time.Duration {
	return minNetworkDelay + time.Duration(w.networkRandom.Int64N(int64(maxNetworkDelay-minNetworkDelay)))
}

// startServer implements environment.
func (w *simulation) startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost {
	if w.pods[m.pod] == nil {
		w.pods[m.pod] = emulator.NewPod(m.pod, w.script.Fleet.dedupWindow(), w.ledger)
	}
	s := &simServer{server: m, sim: w, pendingAttempts: map[uint64]pendingAttempt{},
		model: emulator.NewServer(m.id, spec, w.pods[m.pod], seed, w.now, warm)}
	w.simServers, w.serversByID[m.id] = append(w.simServers, s), s
	return s
}

// listChanged implements environment: each agent is updated after a delay of its own.
func (w *simulation) listChanged() {
	for _, a := range w.agents {
		w.scheduleAfter(w.listLag+time.Duration(w.networkRandom.Int64N(int64(maxListDelay))), func() { a.updateList(false) })
	}
}

// setListOutage implements environment: changes during an outage are sent after it.
func (w *simulation) setListOutage(out bool) {
	if !out {
		w.listChanged()
	}
}

// setListSilence implements environment: to a simulated agent it is an outage.
func (w *simulation) setListSilence(silent bool) { w.setListOutage(silent) }

// setListLag implements environment; listChanged reads the lag.
func (w *simulation) setListLag(time.Duration) {}

// pauseAgent and reloadAgent implement environment: there is no process.
func (w *simulation) pauseAgent(int, time.Duration) {}
func (w *simulation) reloadAgent(int)               {}

// restartAgent implements environment: clients go on for drainNoticeTime, the agent answers what it has accepted, and starts
// again.
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

// killAgent implements environment: the agent loses the requests that it holds.
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

// forgetPod implements environment.
func (w *simulation) forgetPod(pod int) { w.pods[pod].Forget() }

// startTime is the scheduler's time at the start of a run: the balancer reads time 0 as "never".
const startTime = time.Second

// settleTime is how long the agents run before the first request.
const settleTime = 500 * time.Millisecond

// Simulate runs a script in simulated time, in the caller's goroutine. Equal scripts and seeds give equal reports.
func Simulate(script Script, seed uint64) Report {
	w := newSimulation(script, seed)
	w.play()
	return w.report
}

// newSimulation returns a run with no servers or agents.
func newSimulation(script Script, seed uint64) *simulation {
	w := &simulation{networkRandom: rand.New(rand.NewPCG(seed, 2)), ledger: emulator.NewLedger(), serversByID: map[string]*simServer{},
		pods: map[int]*emulator.Pod{}}
	w.scenarioRun = newScenarioRun(script, seed, w)
	return w
}

// play runs the scenario and fills in the report.
func (w *simulation) play() {
	w.report.Duration = w.script.Duration.draw(w.random)
	w.startFleet()
	for i := range w.script.Fleet.Agents {
		a := &simAgent{sim: w, number: i}
		w.agents = append(w.agents, a)
		a.start()
	}
	begin := startTime + settleTime
	w.schedule(begin, func() {
		w.scheduleEvents()
		w.scheduleArrivals(begin + w.report.Duration)
		w.sample(0, int(w.report.Duration/time.Second))
	})
	w.run(begin + w.report.Duration + deadline + time.Second)
	all := make([]*requestRecord, len(w.requests))
	for i, r := range w.requests {
		all[i] = &r.requestRecord
	}
	for _, s := range w.simServers {
		w.report.Servers = append(w.report.Servers, ServerReport{Name: s.id, Kind: s.kind.name, Arrived: int(s.lastRequestID), Served: s.served, Peak: s.peak,
			Capacity: s.model.MaxRequests(), InFlight: s.inFlightSamples, Collapsed: s.model.Collapsed()})
	}
	for _, a := range w.agents {
		a.countOverloads()
	}
	w.report.evaluate(all, begin, w.ledger, w.now, w.script)
}

// sample records how many requests each server holds, once a second.
func (w *simulation) sample(second, until int) {
	for _, s := range w.simServers {
		s.advance()
		for len(s.inFlightSamples) < second { // it was not there yet
			s.inFlightSamples = append(s.inFlightSamples, 0)
		}
		s.inFlightSamples = append(s.inFlightSamples, s.model.InFlight())
	}
	if second < until {
		w.scheduleAfter(time.Second, func() { w.sample(second+1, until) })
	}
}

// run executes the scheduled tasks up to the end.
func (w *simulation) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := w.pop()
		w.now = t.at
		t.run()
	}
	w.now = end
}

// balancerSettings returns the balancer's settings as the platform states them.
func (w *simulation) balancerSettings() balancer.Settings {
	set := balancer.Settings{Balancers: w.script.Fleet.Agents, Tick: 5 * time.Millisecond, KeyAffinity: true, MaxAttempts: 5,
		AllowHedging: true, MaxRetryAfter: time.Second, SlowStartInitialRatio: 0.32, SlowStartDuration: 8700 * time.Millisecond, WarmingOverloadRatio: 3,
		OverQuotaPriorityRatio: overQuotaPriorityRatio, ConfirmedRepeatsOnly: w.script.Agents.ConfirmedRepeats,
		AllowUnconfirmedRepeats: w.script.Agents.AllowUnconfirmedRepeats,
		Classes: []balancer.Class{
			{Name: "form-check", Effect: balancer.Idempotent, LatencyObjective: latencyObjective, Deadline: deadline, Priority: classPriorities[0]},
			{Name: "refund-record", Effect: balancer.IdempotentByKey, DedupScope: w.script.Fleet.balancerScope(), DedupWindow: w.script.Fleet.dedupWindow(), LatencyObjective: latencyObjective, Deadline: deadline,
				Priority: classPriorities[1]},
		}}
	for _, p := range refundPoints {
		set.Quotas = append(set.Quotas, p.share)
	}
	return set
}
