package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/loopback"
)

const (
	// Who is told of a drain may send for the rule's grace, and the word takes a moment to each agent; on sockets this is
	// counted from when the list says so, and only where nothing holds the list up.
	listDeliveryTolerance = 150 * time.Millisecond
	// answerTolerance is by how much an answer may miss the deadline on a noisy machine before the rule counts as broken.
	answerTolerance = 150 * time.Millisecond
	// maxSendDelay is how late the rig's own requests may go out, at the 99th percentile, before its figures mean little.
	maxSendDelay     = 25 * time.Millisecond
	loadFactorUnit   = 1e6
	agentStopTimeout = 5 * time.Second // for an agent to end by itself
)

// LiveRunner plays a script on loopback sockets: emulated servers and list, real agents in processes of their own, and clients.
type LiveRunner struct {
	Script       Script
	Seed         uint64
	AgentProgram string // the agent's program
	Out          io.Writer
}

// live is such a day under way. Its agenda is carried out by one goroutine; requests have one each.
type liveRun struct {
	scenarioRun
	epoch                time.Time // the agenda's time 0
	dir                  string
	program              string
	listeners            map[string]*loopback.Host // of servers, by id
	discovery            *emulator.Discovery
	ledger               *emulator.Ledger
	pods                 map[int]*emulator.Pod
	liveServers          []*liveServer
	agents               []*liveAgent
	loadFactorMillionths atomic.Uint64 // over the usual, in millionths, for the clients
	modelEpoch           time.Time     // the servers' models' time 0
	err                  error         // why a server could not start

	mu            sync.Mutex // guards what requests report
	records       []*requestRecord
	delays        []time.Duration // by how much requests went out late
	backoffRandom *rand.Rand      // of clients before they come again
	inFlight      sync.WaitGroup
}

// liveServer is a form server on a socket.
type liveServer struct {
	*server
	run             *liveRun
	formServer      *emulator.FormServer
	entry           emulator.Entry
	drainListedAt   time.Duration // when the list said so; 0: not
	peak            int
	inFlightSamples []int
	isDead          bool
}

// liveAgent is an agent's process.
type liveAgent struct {
	number       int
	flags        []string
	machineBoots int            // of its machine
	listener     *loopback.Host // held from its first start to the end of the day
	addr         string
	client       *http.Client

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation agentIncarnation
}

// life tells one start of an agent from the next, and whether it is ready to take requests.
type agentIncarnation struct {
	number      int
	isAvailable bool
}

// Run plays the script. A context that ends early ends the day in order, with the report of what ran.
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

// writeAgentSettings writes an agent's own settings, where the script asks for any.
func (l *liveRun) writeAgentSettings(a *liveAgent) error {
	own := map[string]any{}
	if len(l.script.Agents.CoalescedClasses) > 0 {
		own["join"] = map[string]any{"classes": l.script.Agents.CoalescedClasses}
	}
	switch l.script.Agents.Admission {
	case "":
	case "storm":
		own["storm"] = map[string]any{}
	case fleetAdmission:
		own["overload"] = map[string]any{}
	default:
		return fmt.Errorf("the door %q is for simulated time alone: agents on sockets have \"storm\", \"fleet\" or none", l.script.Agents.Admission)
	}
	if l.script.Agents.Recovery {
		dir := filepath.Join(l.dir, a.fileName("kept"))
		own["recovery"] = map[string]any{"dir": dir, "run_file": l.runFile(a)}
		ties := filepath.Join(l.dir, a.fileName("ties"))
		if err := os.Mkdir(ties, 0o700); err != nil {
			return err
		}
		own["affinity"] = map[string]any{"dir": ties, "sync": true}
		if err := l.nextMachineBoot(a); err != nil {
			return err
		}
	}
	if l.script.Agents.Gossip || l.script.Agents.Admission == fleetAdmission {
		var all []string
		for i := range l.script.Fleet.Agents {
			at, err := l.listener(fmt.Sprint("agent-", i))
			if err != nil {
				return err
			}
			all = append(all, at.Addr())
		}
		key := filepath.Join(l.dir, "key")
		if err := os.WriteFile(key, []byte(strings.Repeat("5e", 32)+"\n"), 0o600); err != nil { // a day's agents are among themselves
			return err
		}
		own["peers"] = map[string]any{"listen": all[a.number], "members": all, "key_file": key}
	}
	if len(own) == 0 {
		return nil
	}
	text, err := toml.Marshal(own)
	if err != nil {
		return fmt.Errorf("the agents' own settings: %w", err)
	}
	path := filepath.Join(l.dir, a.fileName("own.toml"))
	a.flags = []string{"-settings", path}
	return os.WriteFile(path, text, 0o600)
}

func (a *liveAgent) fileName(of string) string { return fmt.Sprintf("agent-%d.%s", a.number, of) }

func (l *liveRun) runFile(a *liveAgent) string { return filepath.Join(l.dir, a.fileName("run")) }

// nextMachineBoot begins another run of an agent's machine.
func (l *liveRun) nextMachineBoot(a *liveAgent) error {
	a.machineBoots++
	return os.WriteFile(l.runFile(a), fmt.Appendf(nil, "run-%d\n", a.machineBoots), 0o600)
}

// play lets the day happen and sums it up.
func (l *liveRun) play(ctx context.Context) {
	begin := startTime + settleTime
	l.epoch = time.Now().Add(-begin)
	l.now = begin
	l.scheduleEvents()
	l.sample(0)
	clients, stop := context.WithCancel(ctx)
	l.loadFactorMillionths.Store(loadFactorUnit)
	sent := make(chan struct{})
	go func() { defer close(sent); l.sendRequests(clients, begin) }()
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

// broken notes that a rule was broken; requests note it as well as the agenda.
func (l *liveRun) addViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.addViolation(l.elapsed(), rule, format, args...)
}

// time is the agenda's time now.
func (l *liveRun) elapsed() time.Duration { return time.Since(l.epoch) }

func (l *liveRun) sleep(ctx context.Context, until time.Duration) {
	t := time.NewTimer(until - l.elapsed())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// boot is of installation.
func (l *liveRun) startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost {
	if l.pods[m.pod] == nil {
		l.pods[m.pod] = emulator.NewPod(m.pod, dedupWindow, l.ledger)
	}
	s := &liveServer{server: m, run: l}
	l.liveServers = append(l.liveServers, s)
	if !warm {
		s.entry.StartedMS = time.Now().UnixMilli()
	}
	model := emulator.NewServer(m.id, spec, l.pods[m.pod], seed, time.Since(l.modelEpoch), warm)
	place, err := l.listener(m.id)
	if err != nil {
		s.isDead = true
		l.err = err
		return s
	}
	srv, err := emulator.Listen(m.id, model, classes, 0, l.modelEpoch,
		emulator.Listening{Addr: place.Addr(), IdleClose: idleClose, MaxConns: 400 * m.kind.cores})
	if err != nil {
		s.isDead = true
		l.err = err
		return s
	}
	s.formServer = srv
	s.entry.ID, s.entry.Addr, s.entry.Zone, s.entry.Kind, s.entry.Cell, s.entry.Weight = m.id, srv.Addr, zone, m.kind.name, m.pod, 1
	return s
}

// place is where a server listens: one that starts anew does so where it was.
func (l *liveRun) listener(id string) (*loopback.Host, error) {
	if l.listeners[id] == nil {
		h, err := loopback.Hold()
		if err != nil {
			return nil, err
		}
		l.listeners[id] = h
	}
	return l.listeners[id], nil
}

func (s *liveServer) applyFaults(e faultSet) {
	if s.isDead {
		return
	}
	s.formServer.Fault(func(f *emulator.Faults) {
		e.writeTo(f)
		f.Hung = f.Hung || e.partitioned > 0 // on loopback nothing can be cut off; it says as little
		f.Draining = s.state == balancer.Draining
	})
	s.formServer.SetWire(emulator.Wire{Reset: probabilityOfAny(e.reset), Spoil: probabilityOfAny(e.corrupt)})
}

func (s *liveServer) kill() {
	if s.isDead {
		return
	}
	s.isDead = true
	if last := s.formServer.LastArrival().Sub(s.run.epoch); s.drainListedAt > 0 && last-s.drainListedAt > drainGrace+listDeliveryTolerance {
		s.run.addViolation("3", "%s got a request %v after the list said that it drains", s.id, last-s.drainListedAt)
	}
	s.formServer.Close()
}

func (s *liveServer) hasCollapsed() bool { return !s.isDead && s.formServer.Toppled() }

// changed is of installation: the list gets what is new.
func (l *liveRun) listChanged() {
	var entries []emulator.Entry
	for _, s := range l.liveServers {
		state := map[balancer.State]string{balancer.Ready: "Ready", balancer.Draining: "Terminating", balancer.Removed: "Gone"}[s.state]
		if l.current[s.id] != s.server || s.entry.State == state || s.state == balancer.Removed && s.entry.State == "" {
			continue
		}
		s.entry.State = state
		entries = append(entries, s.entry)
		if s.state == balancer.Draining {
			s.applyFaults(s.faults)
			if l.listOutages == 0 && l.listLag == 0 {
				s.drainListedAt = l.elapsed()
			}
		}
	}
	if len(entries) > 0 {
		l.discovery.Set(entries...)
	}
}

// reach is of installation.
func (l *liveRun) setListOutage(out bool) {
	l.forgetDrainTimes()
	l.discovery.SetOut(out)
}

// late is of installation.
func (l *liveRun) setListLag(by time.Duration) {
	l.forgetDrainTimes()
	l.discovery.SetLag(by)
}

// excuse gives up timing the drains under way: when the word of them came to the agents can't be told any more.
func (l *liveRun) forgetDrainTimes() {
	for _, s := range l.liveServers {
		s.drainListedAt = 0
	}
}

// killAgent is of installation.
func (l *liveRun) killAgent(number int, down time.Duration, power bool) {
	l.agents[number].stop(syscall.SIGKILL)
	if power {
		besteffort.Ignore(l.nextMachineBoot(l.agents[number]))
	}
	l.startAgainAfter(l.agents[number], down)
}

// forget is of installation.
func (l *liveRun) forgetPod(pod int) { l.pods[pod].Forget() }

// restartAgent is of installation. Clients go on for a moment, as they do at a planned restart; what the agent takes until
// then it has to answer, and its life ends with the process.
func (l *liveRun) restartAgent(number int) {
	a := l.agents[number]
	a.signal(syscall.SIGTERM)
	l.scheduleAfter(drainNoticeTime, a.markUnavailable)
	l.scheduleAfter(drainNoticeTime+deadline+answerTolerance, func() {
		a.stop(syscall.SIGTERM)
		l.startAgainAfter(a, agentDowntime)
	})
}

// restart starts an agent again, a while later.
func (l *liveRun) startAgainAfter(a *liveAgent, down time.Duration) {
	l.scheduleAfter(down, func() {
		if err := l.startProcess(a); err != nil {
			l.report.Notes = append(l.report.Notes, err.Error())
			return
		}
		l.inFlight.Go(func() {
			if waitReady(a.addr) == nil {
				a.markAvailable()
			}
		})
	})
}

// startAgent starts an agent and waits until it is ready.
func (l *liveRun) startAgent(number int, seed uint64) error {
	place, err := loopback.Hold()
	if err != nil {
		return err
	}
	text, err := configuration(l.discovery.Addr, place.Addr(), number, l.script.Fleet.Agents, seed)
	if err != nil {
		place.Close()
		return err
	}
	a := &liveAgent{number: number, listener: place, addr: place.Addr(), client: &http.Client{Timeout: deadline + answerTolerance,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Second}}}
	l.agents = append(l.agents, a)
	if err := l.writeAgentSettings(a); err != nil {
		return err
	}
	if err := os.WriteFile(l.configFile(a), text, 0o600); err != nil {
		return err
	}
	if err := l.startProcess(a); err != nil {
		return err
	}
	if err := waitReady(a.addr); err != nil {
		return fmt.Errorf("%w; its log ends with %q", err, l.lastLine(a))
	}
	a.markAvailable()
	return nil
}

func (l *liveRun) logFile(a *liveAgent) string { return filepath.Join(l.dir, a.fileName("log")) }

// lastLine is the last line of an agent's log.
func (l *liveRun) lastLine(a *liveAgent) string {
	text, err := os.ReadFile(l.logFile(a))
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

func (l *liveRun) configFile(a *liveAgent) string {
	return filepath.Join(l.dir, fmt.Sprintf("agent-%d.json", a.number))
}

// exec starts an agent's process.
func (l *liveRun) startProcess(a *liveAgent) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cmd := exec.Command(l.program, a.flags...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+l.configFile(a))
	log, err := os.OpenFile(l.logFile(a), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer besteffort.Close(log)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %d: %w", a.number+1, err)
	}
	a.cmd = cmd
	return nil
}

// signal tells a process.
func (a *liveAgent) signal(s os.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd != nil {
		besteffort.Ignore(a.cmd.Process.Signal(s))
	}
}

// leave says that clients know of an agent's end and send it nothing more.
func (a *liveAgent) markUnavailable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation.isAvailable = false
}

// end ends an agent's process, by the signal or else by force.
func (a *liveAgent) stop(s os.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = agentIncarnation{number: a.incarnation.number + 1}
	if a.cmd == nil {
		return
	}
	besteffort.Ignore(a.cmd.Process.Signal(s))
	force := time.AfterFunc(agentStopTimeout, func() { besteffort.Ignore(a.cmd.Process.Kill()) })
	besteffort.Ignore(a.cmd.Wait())
	force.Stop()
	a.cmd = nil
}

// ready says that the agent takes requests.
func (a *liveAgent) markAvailable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation.isAvailable = true
}

func (a *liveAgent) currentIncarnation() agentIncarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
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
			held = s.formServer.Held()
		}
		for len(s.inFlightSamples) < second {
			s.inFlightSamples = append(s.inFlightSamples, 0)
		}
		s.inFlightSamples = append(s.inFlightSamples, held)
		s.peak = max(s.peak, held)
	}
	l.scheduleAfter(time.Second, func() { l.sample(second + 1) })
}

// clients send until the context ends.
func (l *liveRun) sendRequests(ctx context.Context, begin time.Duration) {
	random := rand.New(rand.NewPCG(l.clientSeed(), 3))
	zipf := rand.NewZipf(random, 1.2, 8, uint64(l.script.Clients.DistinctForms-1))
	weights := cumulativeWeights(len(l.agents), random)
	for next := begin; ; {
		l.sleep(ctx, next)
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.delays = append(l.delays, l.elapsed()-next)
		l.mu.Unlock()
		r := drawRequest(random, weights)
		r.arrived = next
		id := len(l.records)
		if r.class == 1 {
			r.idempotencyKey = fmt.Sprint("refund-", id)
		}
		l.records = append(l.records, &r.requestRecord)
		route := fmt.Sprint("form-", zipf.Uint64())
		l.inFlight.Go(func() { l.runRequest(&r.requestRecord, l.agents[r.agent], fmt.Sprint("r", id), route) })
		next += time.Duration(random.ExpFloat64() / (l.script.Clients.Rate * float64(l.loadFactorMillionths.Load()) / loadFactorUnit) * float64(time.Second))
	}
}

// draws is a seed for the clients; the day's own draws go on beside them.
func (l *liveRun) clientSeed() uint64 { return uint64(l.report.Duration) ^ 0x9e3779b97f4a7c15 }

// ask makes a request, and once more if it is refused and the script says so.
func (l *liveRun) runRequest(r *requestRecord, a *liveAgent, id, route string) {
	for {
		r.attempts++
		before := a.currentIncarnation()
		status, after, err := l.sendAttempt(r, a, fmt.Sprintf("%s.%d", id, r.attempts), route)
		switch {
		case err != nil && before.isAvailable && before.number == a.currentIncarnation().number:
			l.addViolation("1", "request %s.%d got no whole answer from agent %d: %v", id, r.attempts, a.number+1, err)
			r.result = unanswered
		case err != nil && r.idempotencyKey == "" && r.attempts == 1 && l.script.Clients.Retry:
			time.Sleep(clientRetryDelay)
			continue
		case err != nil:
			r.result = failed
		case status == http.StatusOK:
			r.result = served
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if l.script.Clients.allowsRetry(r.attempts) {
				if !l.script.Clients.HonorRetryAfter || after <= 0 {
					l.mu.Lock()
					after = l.script.Clients.drawBackoff(l.backoffRandom)
					l.mu.Unlock()
				}
				time.Sleep(after)
				continue
			}
			r.result = rejected
		default:
			r.result = failed
		}
		r.latency = l.elapsed() - r.arrived
		return
	}
}

// one makes a try.
func (l *liveRun) sendAttempt(r *requestRecord, a *liveAgent, id, route string) (status int, after time.Duration, err error) {
	method, body := http.MethodGet, ""
	if r.idempotencyKey != "" {
		method, body = http.MethodPost, "form"
	}
	req, err := http.NewRequest(method, "http://"+a.addr+"/"+classes[r.class].Name, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Tenant-Id", refundPoints[r.tenant].name)
	req.Header.Set("X-Route-Key", route)
	req.Header.Set("X-Timeout", fmt.Sprint(deadline.Milliseconds(), "m"))
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	if r.attempts > 1 && l.script.Clients.MarkRetries {
		req.Header.Set("X-Retried", "1")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer besteffort.Close(resp.Body)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// sum sums the day up.
func (l *liveRun) finishReport(begin time.Duration) {
	for _, s := range l.liveServers {
		toppled := s.hasCollapsed()
		if toppled {
			l.addViolation("4", "the cold server %s was pushed over", s.id)
		}
		room, arrived := 0, 0
		if s.formServer != nil {
			room, arrived = s.formServer.Room(), s.formServer.Arrived()
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
