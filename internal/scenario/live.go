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
	toldWithin = 150 * time.Millisecond
	// answerLate is by how much an answer may miss the deadline on a noisy machine before the rule counts as broken.
	answerLate = 150 * time.Millisecond
	// ranLate is how late the rig's own requests may go out, at the 99th percentile, before its figures mean little.
	ranLate    = 25 * time.Millisecond
	millionths = 1e6
	agentTerm  = 5 * time.Second // for an agent to end by itself
)

// Live plays a script on loopback sockets: emulated servers and list, real agents in processes of their own, and clients.
type Live struct {
	Script Script
	Seed   uint64
	Agent  string // the agent's program
	Out    io.Writer
}

// live is such a day under way. Its agenda is carried out by one goroutine; requests have one each.
type live struct {
	stage
	epoch     time.Time // the agenda's time 0
	dir       string
	program   string
	places    map[string]*loopback.Host // of servers, by id
	discovery *emulator.Discovery
	ledger    *emulator.Ledger
	pods      map[int]*emulator.Pod
	servers   []*liveServer
	agents    []*liveAgent
	load      atomic.Uint64 // over the usual, in millionths, for the clients
	fleet     time.Time     // the servers' models' time 0
	err       error         // why a server could not start

	mu       sync.Mutex // guards what requests report
	requests []*asked
	delays   []time.Duration // by how much requests went out late
	waits    *rand.Rand      // of clients before they come again
	all      sync.WaitGroup
}

// liveServer is a form server on a socket.
type liveServer struct {
	*member
	l       *live
	srv     *emulator.FormServer
	entry   emulator.Entry
	drained time.Duration // when the list said so; 0: not
	peak    int
	samples []int
	dead    bool
}

// liveAgent is an agent's process.
type liveAgent struct {
	number int
	flags  []string
	runs   int            // of its machine
	place  *loopback.Host // held from its first start to the end of the day
	addr   string
	client *http.Client

	mu   sync.Mutex
	cmd  *exec.Cmd
	life life
}

// life tells one start of an agent from the next, and whether it is ready to take requests.
type life struct {
	number int
	up     bool
}

// Run plays the script. A context that ends early ends the day in order, with the report of what ran.
func (lv Live) Run(ctx context.Context) (Day, error) {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		return Day{}, fmt.Errorf("a folder for the agents' configurations: %w", err)
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return Day{}, err
	}
	defer d.Close()
	l := &live{dir: dir, program: lv.Agent, discovery: d, ledger: emulator.NewLedger(), pods: map[int]*emulator.Pod{}, places: map[string]*loopback.Host{},
		epoch: time.Now().Add(-dayStart), fleet: time.Now(), waits: rand.New(rand.NewPCG(lv.Seed, 4))}
	l.stage = newStage(lv.Script, lv.Seed, l)
	defer l.close()
	l.day.Length = lv.Script.Length.draw(l.random)
	l.open()
	if l.err != nil {
		return Day{}, l.err
	}
	l.changed()
	for i := range lv.Script.Fleet.Agents {
		if err := l.startAgent(i, lv.Seed); err != nil {
			return Day{}, err
		}
	}
	fmt.Fprintf(lv.Out, "%d form servers and %d agents are up; the day lasts %v\n", lv.Script.Fleet.Servers, lv.Script.Fleet.Agents,
		l.day.Length.Round(time.Second))
	l.play(ctx)
	return l.day, nil
}

// ownSettings writes an agent's own settings, where the script asks for any.
func (l *live) ownSettings(a *liveAgent) error {
	own := map[string]any{}
	if len(l.script.Agents.Join) > 0 {
		own["join"] = map[string]any{"classes": l.script.Agents.Join}
	}
	switch l.script.Agents.Door {
	case "":
	case "storm":
		own["storm"] = map[string]any{}
	case fleetDoor:
		own["overload"] = map[string]any{}
	default:
		return fmt.Errorf("the door %q is for simulated time alone: agents on sockets have \"storm\", \"fleet\" or none", l.script.Agents.Door)
	}
	if l.script.Agents.Recovery {
		dir := filepath.Join(l.dir, a.name("kept"))
		own["recovery"] = map[string]any{"dir": dir, "run_file": l.runFile(a)}
		ties := filepath.Join(l.dir, a.name("ties"))
		if err := os.Mkdir(ties, 0o700); err != nil {
			return err
		}
		own["affinity"] = map[string]any{"dir": ties, "sync": true}
		if err := l.newRun(a); err != nil {
			return err
		}
	}
	if l.script.Agents.Peers || l.script.Agents.Door == fleetDoor {
		var all []string
		for i := range l.script.Fleet.Agents {
			at, err := l.place(fmt.Sprint("agent-", i))
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
	path := filepath.Join(l.dir, a.name("own.toml"))
	a.flags = []string{"-settings", path}
	return os.WriteFile(path, text, 0o600)
}

func (a *liveAgent) name(of string) string { return fmt.Sprintf("agent-%d.%s", a.number, of) }

func (l *live) runFile(a *liveAgent) string { return filepath.Join(l.dir, a.name("run")) }

// newRun begins another run of an agent's machine.
func (l *live) newRun(a *liveAgent) error {
	a.runs++
	return os.WriteFile(l.runFile(a), fmt.Appendf(nil, "run-%d\n", a.runs), 0o600)
}

// play lets the day happen and sums it up.
func (l *live) play(ctx context.Context) {
	begin := dayStart + settleTime
	l.epoch = time.Now().Add(-begin)
	l.now = begin
	l.timeline()
	l.sample(0)
	clients, stop := context.WithCancel(ctx)
	l.load.Store(millionths)
	sent := make(chan struct{})
	go func() { defer close(sent); l.clients(clients, begin) }()
	end := begin + l.day.Length
	for len(l.queue) > 0 && l.queue[0].at < end && ctx.Err() == nil {
		t := l.next()
		l.sleep(ctx, t.at)
		l.now = max(t.at, l.time())
		t.do()
		l.load.Store(uint64(l.times * millionths))
	}
	l.sleep(ctx, end)
	stop()
	<-sent
	l.all.Wait()
	l.now = l.time()
	l.sum(begin)
}

// broken notes that a rule was broken; requests note it as well as the agenda.
func (l *live) broken(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.day.broken(l.time(), rule, format, args...)
}

// time is the agenda's time now.
func (l *live) time() time.Duration { return time.Since(l.epoch) }

func (l *live) sleep(ctx context.Context, until time.Duration) {
	t := time.NewTimer(until - l.time())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// boot is of installation.
func (l *live) boot(m *member, spec emulator.Spec, seed uint64, warm bool) host {
	if l.pods[m.pod] == nil {
		l.pods[m.pod] = emulator.NewPod(m.pod, dropWindow, l.ledger)
	}
	s := &liveServer{member: m, l: l}
	l.servers = append(l.servers, s)
	if !warm {
		s.entry.StartedMS = time.Now().UnixMilli()
	}
	model := emulator.NewServer(m.id, spec, l.pods[m.pod], seed, time.Since(l.fleet), warm)
	place, err := l.place(m.id)
	if err != nil {
		s.dead = true
		l.err = err
		return s
	}
	srv, err := emulator.Listen(m.id, model, classes, 0, l.fleet,
		emulator.Listening{Addr: place.Addr(), IdleClose: idleClose, MaxConns: 400 * m.kind.cores})
	if err != nil {
		s.dead = true
		l.err = err
		return s
	}
	s.srv = srv
	s.entry.ID, s.entry.Addr, s.entry.Zone, s.entry.Kind, s.entry.Cell, s.entry.Weight = m.id, srv.Addr, zone, m.kind.name, m.pod, 1
	return s
}

// place is where a server listens: one that starts anew does so where it was.
func (l *live) place(id string) (*loopback.Host, error) {
	if l.places[id] == nil {
		h, err := loopback.Hold()
		if err != nil {
			return nil, err
		}
		l.places[id] = h
	}
	return l.places[id], nil
}

func (s *liveServer) apply(e effects) {
	if s.dead {
		return
	}
	s.srv.Fault(func(f *emulator.Faults) {
		e.faults(f)
		f.Hung = f.Hung || e.cut > 0 // on loopback nothing can be cut off; it says as little
		f.Draining = s.state == balancer.Draining
	})
	s.srv.SetWire(emulator.Wire{Reset: either(e.reset), Spoil: either(e.spoil)})
}

func (s *liveServer) die() {
	if s.dead {
		return
	}
	s.dead = true
	if last := s.srv.LastArrival().Sub(s.l.epoch); s.drained > 0 && last-s.drained > drainGrace+toldWithin {
		s.l.broken("3", "%s got a request %v after the list said that it drains", s.id, last-s.drained)
	}
	s.srv.Close()
}

func (s *liveServer) toppled() bool { return !s.dead && s.srv.Toppled() }

// changed is of installation: the list gets what is new.
func (l *live) changed() {
	var entries []emulator.Entry
	for _, s := range l.servers {
		state := map[balancer.State]string{balancer.Ready: "Ready", balancer.Draining: "Terminating", balancer.Removed: "Gone"}[s.state]
		if l.current[s.id] != s.member || s.entry.State == state || s.state == balancer.Removed && s.entry.State == "" {
			continue
		}
		s.entry.State = state
		entries = append(entries, s.entry)
		if s.state == balancer.Draining {
			s.apply(s.effects)
			if l.outage == 0 && l.lag == 0 {
				s.drained = l.time()
			}
		}
	}
	if len(entries) > 0 {
		l.discovery.Set(entries...)
	}
}

// reach is of installation.
func (l *live) reach(out bool) {
	l.excuse()
	l.discovery.SetOut(out)
}

// late is of installation.
func (l *live) late(by time.Duration) {
	l.excuse()
	l.discovery.SetLag(by)
}

// excuse gives up timing the drains under way: when the word of them came to the agents can't be told any more.
func (l *live) excuse() {
	for _, s := range l.servers {
		s.drained = 0
	}
}

// killAgent is of installation.
func (l *live) killAgent(number int, down time.Duration, power bool) {
	l.agents[number].end(syscall.SIGKILL)
	if power {
		besteffort.Ignore(l.newRun(l.agents[number]))
	}
	l.restart(l.agents[number], down)
}

// forget is of installation.
func (l *live) forget(pod int) { l.pods[pod].Forget() }

// endAgent is of installation. Clients go on for a moment, as they do at a planned restart; what the agent takes until
// then it has to answer, and its life ends with the process.
func (l *live) endAgent(number int) {
	a := l.agents[number]
	a.signal(syscall.SIGTERM)
	l.after(noticeTime, a.leave)
	l.after(noticeTime+deadline+answerLate, func() {
		a.end(syscall.SIGTERM)
		l.restart(a, agentDown)
	})
}

// restart starts an agent again, a while later.
func (l *live) restart(a *liveAgent, down time.Duration) {
	l.after(down, func() {
		if err := l.exec(a); err != nil {
			l.day.Notes = append(l.day.Notes, err.Error())
			return
		}
		l.all.Go(func() {
			if waitReady(a.addr) == nil {
				a.ready()
			}
		})
	})
}

// startAgent starts an agent and waits until it is ready.
func (l *live) startAgent(number int, seed uint64) error {
	place, err := loopback.Hold()
	if err != nil {
		return err
	}
	text, err := configuration(l.discovery.Addr, place.Addr(), number, l.script.Fleet.Agents, seed)
	if err != nil {
		place.Close()
		return err
	}
	a := &liveAgent{number: number, place: place, addr: place.Addr(), client: &http.Client{Timeout: deadline + answerLate,
		Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen, IdleConnTimeout: time.Second}}}
	l.agents = append(l.agents, a)
	if err := l.ownSettings(a); err != nil {
		return err
	}
	if err := os.WriteFile(l.config(a), text, 0o600); err != nil {
		return err
	}
	if err := l.exec(a); err != nil {
		return err
	}
	if err := waitReady(a.addr); err != nil {
		return fmt.Errorf("%w; its log ends with %q", err, l.lastLine(a))
	}
	a.ready()
	return nil
}

func (l *live) logFile(a *liveAgent) string { return filepath.Join(l.dir, a.name("log")) }

// lastLine is the last line of an agent's log.
func (l *live) lastLine(a *liveAgent) string {
	text, err := os.ReadFile(l.logFile(a))
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

func (l *live) config(a *liveAgent) string {
	return filepath.Join(l.dir, fmt.Sprintf("agent-%d.json", a.number))
}

// exec starts an agent's process.
func (l *live) exec(a *liveAgent) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cmd := exec.Command(l.program, a.flags...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+l.config(a))
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
func (a *liveAgent) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life.up = false
}

// end ends an agent's process, by the signal or else by force.
func (a *liveAgent) end(s os.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life = life{number: a.life.number + 1}
	if a.cmd == nil {
		return
	}
	besteffort.Ignore(a.cmd.Process.Signal(s))
	force := time.AfterFunc(agentTerm, func() { besteffort.Ignore(a.cmd.Process.Kill()) })
	besteffort.Ignore(a.cmd.Wait())
	force.Stop()
	a.cmd = nil
}

// ready says that the agent takes requests.
func (a *liveAgent) ready() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life.up = true
}

func (a *liveAgent) lives() life {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.life
}

// close ends all that runs.
func (l *live) close() {
	for _, a := range l.agents {
		a.client.CloseIdleConnections()
		a.end(syscall.SIGTERM)
		a.place.Close()
	}
	for _, s := range l.servers {
		if !s.dead {
			s.srv.Close()
		}
	}
	for _, h := range l.places {
		h.Close()
	}
}

// sample notes how many requests each server holds, once a second.
func (l *live) sample(second int) {
	for _, s := range l.servers {
		held := 0
		if !s.dead {
			held = s.srv.Held()
		}
		for len(s.samples) < second {
			s.samples = append(s.samples, 0)
		}
		s.samples = append(s.samples, held)
		s.peak = max(s.peak, held)
	}
	l.after(time.Second, func() { l.sample(second + 1) })
}

// clients send until the context ends.
func (l *live) clients(ctx context.Context, begin time.Duration) {
	random := rand.New(rand.NewPCG(l.draws(), 3))
	zipf := rand.NewZipf(random, 1.2, 8, uint64(l.script.Clients.Forms-1))
	weights := sums(len(l.agents), random)
	for next := begin; ; {
		l.sleep(ctx, next)
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.delays = append(l.delays, l.time()-next)
		l.mu.Unlock()
		r := drawRequest(random, weights)
		r.arrived = next
		id := len(l.requests)
		if r.class == 1 {
			r.key = fmt.Sprint("refund-", id)
		}
		l.requests = append(l.requests, &r.asked)
		route := fmt.Sprint("form-", zipf.Uint64())
		l.all.Go(func() { l.ask(&r.asked, l.agents[r.agent], fmt.Sprint("r", id), route) })
		next += time.Duration(random.ExpFloat64() / (l.script.Clients.Rate * float64(l.load.Load()) / millionths) * float64(time.Second))
	}
}

// draws is a seed for the clients; the day's own draws go on beside them.
func (l *live) draws() uint64 { return uint64(l.day.Length) ^ 0x9e3779b97f4a7c15 }

// ask makes a request, and once more if it is refused and the script says so.
func (l *live) ask(r *asked, a *liveAgent, id, route string) {
	for {
		r.tries++
		before := a.lives()
		status, after, err := l.one(r, a, fmt.Sprintf("%s.%d", id, r.tries), route)
		switch {
		case err != nil && before.up && before.number == a.lives().number:
			l.broken("1", "request %s.%d got no whole answer from agent %d: %v", id, r.tries, a.number+1, err)
			r.end = lost
		case err != nil && r.key == "" && r.tries == 1 && l.script.Clients.Retry:
			time.Sleep(ownWait)
			continue
		case err != nil:
			r.end = failed
		case status == http.StatusOK:
			r.end = served
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if l.script.Clients.again(r.tries) {
				if !l.script.Clients.Heed || after <= 0 {
					l.mu.Lock()
					after = l.script.Clients.wait(l.waits)
					l.mu.Unlock()
				}
				time.Sleep(after)
				continue
			}
			r.end = refused
		default:
			r.end = failed
		}
		r.took = l.time() - r.arrived
		return
	}
}

// one makes a try.
func (l *live) one(r *asked, a *liveAgent, id, route string) (status int, after time.Duration, err error) {
	method, body := http.MethodGet, ""
	if r.key != "" {
		method, body = http.MethodPost, "form"
	}
	req, err := http.NewRequest(method, "http://"+a.addr+"/"+classes[r.class].Name, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Tenant-Id", points[r.tenant].name)
	req.Header.Set("X-Route-Key", route)
	req.Header.Set("X-Timeout", fmt.Sprint(deadline.Milliseconds(), "m"))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.tries > 1 && l.script.Clients.Mark {
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
func (l *live) sum(begin time.Duration) {
	for _, s := range l.servers {
		toppled := s.toppled()
		if toppled {
			l.broken("4", "the cold server %s was pushed over", s.id)
		}
		room, arrived := 0, 0
		if s.srv != nil {
			room, arrived = s.srv.Room(), s.srv.Arrived()
		}
		l.day.Servers = append(l.day.Servers, ServerDay{Name: s.id, Kind: s.kind.name, Arrived: arrived, Peak: s.peak, Room: room, Held: s.samples, Toppled: toppled})
	}
	if len(l.delays) > 0 {
		slices.Sort(l.delays)
		if p99 := l.delays[len(l.delays)*99/100]; p99 > ranLate {
			l.day.Notes = append(l.day.Notes, fmt.Sprintf("THE MACHINE RAN LATE: 1%% of the requests went out over %v late; the figures mean little",
				p99.Round(time.Millisecond)))
		}
	}
	l.day.score(l.requests, begin, l.ledger, l.now, l.script)
}
