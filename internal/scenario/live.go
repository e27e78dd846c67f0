package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/loopback"
)

const (
	// listDeliveryTolerance is added to the grace period of a draining server: the run counts from when the list changes,
	// and the update takes a moment to reach each agent. Drains under way when the list fails or lags aren't timed.
	listDeliveryTolerance = 150 * time.Millisecond
	// answerTolerance is by how much an answer may miss the deadline on a noisy machine before the rule counts as broken.
	answerTolerance = 150 * time.Millisecond
	// maxSendDelay is how late the clients may send requests, at the 99th percentile, before the report warns.
	maxSendDelay     = 25 * time.Millisecond
	loadFactorUnit   = 1e6
	agentStopTimeout = 5 * time.Second // from SIGTERM to SIGKILL
	// killMargin is how long after the longest deadline the platform may kill a process that it has told to end.
	killMargin = 700 * time.Millisecond
)

// LiveRunner runs a script on loopback sockets: emulated servers and endpoint list, agents in processes of their own, and clients.
type LiveRunner struct {
	Script       Script
	Seed         uint64
	AgentProgram string // the agent's program
	Out          io.Writer
}

// liveRun is a run on sockets. One goroutine executes its scheduled tasks; each request has a goroutine of its own.
type liveRun struct {
	scenarioRun
	epoch                time.Time // the scheduler's time 0
	dir                  string
	program              string
	listeners            map[string]*loopback.Host // of servers and agents, by id
	discovery            *emulator.Discovery
	ledger               *emulator.Ledger
	pods                 map[int]*emulator.Pod
	liveServers          []*liveServer
	agents               []*liveAgent
	loadFactorMillionths atomic.Uint64 // the load factor in units of 1/loadFactorUnit, for the clients
	modelEpoch           time.Time     // time 0 of the servers' models
	err                  error         // why a server could not start

	mu            sync.Mutex // guards the fields below and the report
	records       []*requestRecord
	delays        []time.Duration // between the time at which a request was due and its sending
	backoffRandom *rand.Rand      // draws the clients' backoff
	inFlight      sync.WaitGroup
}

// Run plays the script. A context that ends early stops the run in order; the report then covers what ran.
func (lv LiveRunner) Run(ctx context.Context) (Report, error) {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		return Report{}, fmt.Errorf("a folder for the agents' configurations: %w", err)
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	l := &liveRun{dir: dir, program: lv.AgentProgram, discovery: d, ledger: emulator.NewLedger(), pods: map[int]*emulator.Pod{}, listeners: map[string]*loopback.Host{},
		epoch: time.Now().Add(-startTime), modelEpoch: time.Now(), backoffRandom: rand.New(rand.NewPCG(lv.Seed, 4))}
	l.scenarioRun = newScenarioRun(lv.Script, lv.Seed, l)
	defer l.close()
	l.report.Duration = lv.Script.Duration.draw(l.random)
	l.startFleet()
	if l.err != nil {
		return Report{}, l.err
	}
	l.listChanged()
	for i := range lv.Script.Fleet.Agents {
		if err := l.startAgent(i, lv.Seed); err != nil {
			return Report{}, err
		}
	}
	fmt.Fprintf(lv.Out, "%d form servers and %d agents are up; the day lasts %v\n", lv.Script.Fleet.Servers, lv.Script.Fleet.Agents,
		l.report.Duration.Round(time.Second))
	l.play(ctx)
	return l.report, nil
}

// play executes the scheduled tasks while clients send requests, and finishes the report.
func (l *liveRun) play(ctx context.Context) {
	begin := startTime + settleTime
	l.epoch = time.Now().Add(-begin)
	l.now = begin
	l.scheduleEvents()
	l.sample(0)
	defer l.openIdleConns()()
	clients, stop := context.WithCancel(ctx)
	l.loadFactorMillionths.Store(loadFactorUnit)
	sent := make(chan struct{})
	go func() { defer close(sent); l.sendRequests(clients, begin) }()
	l.startRestingClients(clients)
	end := begin + l.report.Duration
	for len(l.queue) > 0 && l.queue[0].at < end && ctx.Err() == nil {
		t := l.pop()
		l.sleep(ctx, t.at)
		l.now = max(t.at, l.elapsed())
		t.run()
		l.loadFactorMillionths.Store(uint64(l.loadFactor * loadFactorUnit))
	}
	l.sleep(ctx, end)
	stop()
	<-sent
	l.inFlight.Wait()
	l.now = l.elapsed()
	l.finishReport(begin)
}

// openIdleConns opens connections to the agents that say nothing, as many as the script wants. The function that it returns closes
// them.
func (l *liveRun) openIdleConns() (closeAll func()) {
	var open []net.Conn
	for _, a := range l.agents {
		for range l.script.Clients.IdleConns {
			c, err := net.Dial("tcp", a.addr)
			if err != nil {
				l.report.Notes = append(l.report.Notes, err.Error())
				break
			}
			open = append(open, c)
		}
	}
	return func() {
		for _, c := range open {
			besteffort.Close(c)
		}
	}
}

// addViolation records that a rule was broken. It is safe for concurrent use.
func (l *liveRun) addViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.addViolation(l.elapsed(), rule, format, args...)
}

// elapsed returns the scheduler's time now.
func (l *liveRun) elapsed() time.Duration { return time.Since(l.epoch) }

// sleep waits until a time of the scheduler, or until the context ends.
func (l *liveRun) sleep(ctx context.Context, until time.Duration) {
	t := time.NewTimer(until - l.elapsed())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// close ends all that runs.
func (l *liveRun) close() {
	for _, a := range l.agents {
		a.client.CloseIdleConnections()
		a.stop(syscall.SIGTERM)
		a.listener.Close()
	}
	for _, s := range l.liveServers {
		if !s.isDead {
			s.formServer.Close()
		}
	}
	for _, h := range l.listeners {
		h.Close()
	}
}

// sample notes how many requests each server holds, once a second.
func (l *liveRun) sample(second int) {
	for _, s := range l.liveServers {
		held := 0
		if !s.isDead {
			held = s.formServer.InFlight()
		}
		for len(s.inFlightSamples) < second {
			s.inFlightSamples = append(s.inFlightSamples, 0)
		}
		s.inFlightSamples = append(s.inFlightSamples, held)
		s.peak = max(s.peak, held)
	}
	l.scheduleAfter(time.Second, func() { l.sample(second + 1) })
}

// finishReport fills in the report's servers, warns if requests were sent too late, and evaluates the results.
func (l *liveRun) finishReport(begin time.Duration) {
	for _, s := range l.liveServers {
		toppled := s.hasCollapsed()
		if toppled {
			l.addViolation("4", "the cold server %s was pushed over", s.id)
		}
		room, arrived := 0, 0
		if s.formServer != nil {
			room, arrived = s.formServer.MaxRequests(), s.formServer.Arrived()
		}
		l.report.Servers = append(l.report.Servers, ServerReport{Name: s.id, Kind: s.kind.name, Arrived: arrived, Peak: s.peak, Capacity: room, InFlight: s.inFlightSamples, Collapsed: toppled})
	}
	if len(l.delays) > 0 {
		slices.Sort(l.delays)
		if p99 := l.delays[len(l.delays)*99/100]; p99 > maxSendDelay {
			l.report.Notes = append(l.report.Notes, fmt.Sprintf("THE MACHINE RAN LATE: 1%% of the requests went out over %v late; the figures mean little",
				p99.Round(time.Millisecond)))
		}
	}
	l.report.evaluate(l.records, begin, l.ledger, l.now, l.script)
}
