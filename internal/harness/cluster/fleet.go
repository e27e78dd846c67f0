// Package cluster is the rig for what many processes of the program do together when parts of the system fail: N agents in processes
// of their own, with emulated servers, a list, a network between agents that fails, disks that lose what was not synced, and power that
// goes. Witnesses give the verdict: the backends' ledger, the rules, and what clients got.
package cluster

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/emulator"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/harness/loopback"
)

// Environment variables by which a test binary that stands in for the program is told.
const (
	AsProgram = "APPLELEDGE_AS_PROGRAM"
	DiskAt    = "APPLELEDGE_DISK"
	ClockOff  = "APPLELEDGE_CLOCK_OFF"
)

// Options say what is started.
type Options struct {
	Agents, Servers int
	Seed            uint64
	Peers           bool                 // agents know each other
	Overload        func(agent int) bool // who handles overload together with the others; nil: nobody
	Slow            int                  // times as much work in each request; 0: as usual
	Figures         bool                 // agents log what they count, by second
	Lines           bool                 // connections to the list and to servers can be made to fail, agent by agent
	Ties            time.Duration        // for which a refund waits until its tie is kept; 0: for as long as a busy disk may take
}

// tiesFor is longer than a disk takes that other work holds up, and shorter than a client waits.
const tiesFor = 1500 * time.Millisecond

// slower are the classes with so many times the work.
func slower(times int) (all []emulator.Class) {
	for _, c := range classes {
		if times > 0 {
			c.Work[0], c.Work[1] = c.Work[0]*time.Duration(times), c.Work[1]*time.Duration(times)
		}
		all = append(all, c)
	}
	return all
}

// Classes of the deployment, quick enough for many processes on two cores.
var classes = []emulator.Class{
	{Name: "form-check", Work: [2]time.Duration{4 * time.Millisecond, 8 * time.Millisecond}, Wait: [2]time.Duration{10 * time.Millisecond, 20 * time.Millisecond}},
	{Name: "refund-record", Work: [2]time.Duration{5 * time.Millisecond, 10 * time.Millisecond}, Wait: [2]time.Duration{10 * time.Millisecond, 30 * time.Millisecond}},
}

const (
	podSize    = 3
	window     = 2 * time.Second                             // for which pods drop repeats
	drainGrace = 500*time.Millisecond + 300*time.Millisecond // the rule's, and what the list and a busy machine take
)

// Fleet is a whole installation on loopback.
type Fleet struct {
	t         testing.TB
	options   Options
	dir       string
	Discovery *emulator.Discovery
	Ledger    *emulator.Ledger
	Net       *Network // nil where agents know nobody
	Lines     *Lines   // nil without the option
	Servers   []*Server
	Agents    []*Agent
	pods      map[int]*emulator.Pod
	epoch     time.Time
	last      atomic.Int64 // ids of requests

	mu     sync.Mutex
	broken []string
}

// Server is a form server.
type Server struct {
	ID      string
	Pod     int
	fleet   *Fleet
	host    *loopback.Host
	entry   emulator.Entry
	form    *emulator.FormServer // nil: it is dark
	drained time.Time            // when all agents had been told so; zero: not
}

// Agent is an agent's machine, with its process.
type Agent struct {
	Number   int
	Addr     string
	Operator string
	fleet    *Fleet
	host     *loopback.Host
	dir      string
	runs     int
	starts   int
	config   string
	cmd      *exec.Cmd // nil: it is down
	ended    chan error
	ClockOff time.Duration // by which the machine's wall clock is ahead, from the next start on
	Log      *agenttest.LockedBuffer
}

// Start starts a fleet and waits until all agents are ready.
func Start(t testing.TB, o Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, options: o, dir: t.TempDir(), Ledger: emulator.NewLedger(), pods: map[int]*emulator.Pod{}, epoch: time.Now()}
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	f.must(err)
	f.Discovery = d
	if o.Lines {
		f.Lines = newLines()
	}
	t.Cleanup(f.close)
	for i := range o.Servers {
		s := &Server{ID: fmt.Sprintf("s-%02d", i), Pod: i / podSize, fleet: f, host: f.hold()}
		f.Servers = append(f.Servers, s)
		s.Start(true)
	}
	f.Told()
	key := NewKey()
	var at []string
	for i := range o.Agents {
		h := f.hold()
		a := &Agent{Number: i, Addr: h.Addr(), Operator: h.Port(1), fleet: f, host: h, dir: filepath.Join(f.dir, fmt.Sprint("agent-", i)),
			Log: &agenttest.LockedBuffer{}}
		f.must(os.MkdirAll(filepath.Join(a.dir, "ties"), 0o700))
		a.Keys(key)
		f.Agents = append(f.Agents, a)
		at = append(at, h.Port(2))
	}
	if o.Peers {
		f.Net, err = newNetwork(at, key, o.Seed)
		f.must(err)
	}
	for _, a := range f.Agents {
		a.newRun()
		a.configure(at[a.Number])
		a.Start()
	}
	for _, a := range f.Agents {
		a.Ready()
		a.Keeps()
	}
	return f
}

// NewKey is a key for agents to know each other by.
func NewKey() (k gossip.Key) {
	rand.Read(k[:])
	return k
}

// Keys writes the agent's file of keys; the first seals.
func (a *Agent) Keys(keys ...gossip.Key) {
	text := ""
	for _, k := range keys {
		text += hex.EncodeToString(k[:]) + "\n"
	}
	a.fleet.must(os.WriteFile(a.keys(), []byte(text), 0o600))
}

func (a *Agent) keys() string { return filepath.Join(a.dir, "key") }

func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) hold() *loopback.Host {
	h, err := loopback.Hold()
	f.must(err)
	f.t.Cleanup(h.Close)
	return h
}

func (f *Fleet) close() {
	if f.t.Failed() {
		for _, a := range f.Agents {
			f.t.Logf("agent %d sees %s\nits log:\n%s", a.Number, a.Sees(), a.Log)
		}
	}
	for _, a := range f.Agents {
		a.Kill()
	}
	for _, s := range f.Servers {
		if s.form != nil {
			s.form.Close()
		}
	}
	f.Discovery.Close()
	if f.Net != nil {
		f.Net.Close()
	}
	if f.Lines != nil {
		f.Lines.Close()
	}
}

// Start starts a server at its address: warm, or cold as one that has just got power.
func (s *Server) Start(warm bool) {
	f := s.fleet
	if f.pods[s.Pod] == nil {
		f.pods[s.Pod] = emulator.NewPod(s.Pod, window, f.Ledger)
	}
	spec := emulator.Spec{Cores: 2, Speed: 1, Slots: 12, Queue: 32, CrowdingPenalty: 0.05, CrowdingStart: 4, ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond,
		CollapseOverload: 3, CollapseTime: 3 * time.Second, ReportInterval: 100 * time.Millisecond, ReportDelay: 20 * time.Millisecond}
	model := emulator.NewServer(s.ID, spec, f.pods[s.Pod], f.options.Seed, time.Since(f.epoch), warm)
	form, err := emulator.Listen(s.ID, model, slower(f.options.Slow), f.options.Seed, f.epoch, emulator.ListenOptions{Addr: s.host.Addr(), IdleTimeout: 15 * time.Second, MaxConns: 800})
	f.must(err)
	s.form, s.drained = form, time.Time{}
	if f.Lines != nil {
		f.Lines.name(s.ID, form.Addr)
	}
	s.entry = emulator.Entry{ID: s.ID, Addr: form.Addr, Zone: "edinburgh-dc", Kind: "twin-core", Cell: s.Pod, State: "Ready", Weight: 1}
	if !warm {
		s.entry.StartedMS = time.Now().UnixMilli()
	}
}

// Move gives a server that is dark another address, or another name at its address.
func (s *Server) Move(id string, to *loopback.Host) {
	if id != "" {
		s.ID = id
	}
	if to != nil {
		s.host = to
	}
}

// Host is an address of one's own, for Move.
func (f *Fleet) Host() *loopback.Host { return f.hold() }

// Drain lets the list say that a server drains. It is up to the caller to let that be told.
func (s *Server) Drain() {
	s.entry.State, s.drained = "Terminating", time.Now()
	s.form.ChangeFaults(func(x *emulator.Faults) { x.Draining = false }) // it goes on taking what comes, and counts it
	s.fleet.Discovery.Set(s.entry)
}

// die takes a server's power. What it was sent after it began to drain breaks a rule.
func (s *Server) die() {
	if s.form == nil {
		return
	}
	s.check()
	s.form.Close()
	s.form = nil
}

func (s *Server) check() {
	if s.form == nil {
		return
	}
	if s.form.Collapsed() {
		s.fleet.Broken("the cold server %s was pushed over", s.ID)
	}
	if late := s.form.LastArrival().Sub(s.drained); !s.drained.IsZero() && late > drainGrace {
		s.fleet.Broken("%s got a request %v after the list said that it drains", s.ID, late.Round(time.Millisecond))
	}
}

// Arrived counts the requests that came to a server in this life.
func (s *Server) Arrived() int {
	if s.form == nil {
		return 0
	}
	return s.form.Arrived()
}

// Told lets the list say what there is now.
func (f *Fleet) Told() {
	var all []emulator.Entry
	for _, s := range f.Servers {
		if s.form != nil {
			all = append(all, s.entry)
		}
	}
	f.Discovery.Set(all...)
}

// Broken notes a broken rule.
func (f *Fleet) Broken(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// Verdict is what the witnesses say: the rules that were broken.
func (f *Fleet) Verdict() []string {
	for _, s := range f.Servers {
		s.check()
	}
	for key, ran := range f.Ledger.Repeated() {
		f.Broken("%s ran at %s (pod %d) and, %v later, at %s (pod %d); the second was written %v after the first, with %v left to its sender; they were read %v and %v after they had come",
			key, ran[0].Server, ran[0].Pod, ran[1].At-ran[0].At, ran[1].Server, ran[1].Pod, ran[0].TimeLeft-ran[1].TimeLeft, ran[1].TimeLeft,
			ran[0].ReadDelay, ran[1].ReadDelay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// LosePower takes power from servers and agents, by number, and with it what was not kept. Pods of which no server runs on forget.
func (f *Fleet) LosePower(servers, agents []int, seed uint64) {
	f.t.Helper()
	for _, i := range agents { // the clients' machines are theirs
		f.Agents[i].cutOff()
	}
	for _, i := range servers {
		f.Servers[i].die()
	}
	for _, i := range agents {
		f.Agents[i].wait()
		f.must(LosePower(f.Agents[i].disk(), seed+uint64(i)))
		f.Agents[i].newRun()
	}
	for pod, memory := range f.pods {
		runs := false
		for _, s := range f.Servers {
			runs = runs || s.Pod == pod && s.form != nil
		}
		if !runs {
			memory.Forget()
		}
	}
}

// All are the numbers from 0 on.
func All(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

func (a *Agent) disk() string { return filepath.Join(a.dir, "disk") }

// newRun begins another run of the agent's machine.
func (a *Agent) newRun() {
	a.runs++
	a.fleet.must(os.WriteFile(filepath.Join(a.dir, "run"), fmt.Appendf(nil, "run-%d\n", a.runs), 0o600))
}

// Wipe leaves the agent's machine with an empty disk. It must be down.
func (a *Agent) Wipe() { a.fleet.must(os.RemoveAll(a.disk())) }

// Backup keeps a copy of the disk. The agent must be down.
func (a *Agent) Backup() { a.fleet.must(Copy(a.disk(), a.disk()+".backup")) }

// Restore puts the copy that Backup kept in the place of the disk. The agent must be down.
func (a *Agent) Restore() { a.fleet.must(Copy(a.disk()+".backup", a.disk())) }

// configure writes the agent's configuration and its own settings.
func (a *Agent) configure(at string) {
	f := a.fleet
	discovery := f.Discovery.Addr
	if f.Lines != nil {
		var err error
		discovery, err = f.Lines.list(a.Number, discovery)
		f.must(err)
	}
	text := strings.Replace(string(agenttest.ConfigText(discovery, "null")), `"Balancers":2,"Me":0`,
		fmt.Sprintf(`"Balancers":%d,"Me":%d`, f.options.Agents, a.Number), 1)
	a.config = text
	own := fmt.Sprintf("[affinity]\ndir = %q\nsync = true\nbudget = %q\n[recovery]\ndir = %q\nrun_file = %q\nevery = \"300ms\"\n",
		filepath.Join(a.dir, "ties"), cmp.Or(f.options.Ties, tiesFor).String(), filepath.Join(a.dir, "kept"), filepath.Join(a.dir, "run"))
	if f.Net != nil {
		quoted := []string{}
		for _, m := range f.Net.members(a.Number) {
			quoted = append(quoted, strconv.Quote(m))
		}
		own += fmt.Sprintf("[peers]\nlisten = %q\nkey_file = %q\nmembers = [%s]\n", at, a.keys(), strings.Join(quoted, ", "))
	}
	if f.options.Overload != nil && f.options.Overload(a.Number) {
		own += "[overload]\n"
	}
	if f.options.Figures {
		own += "[figures]\nevery = \"1s\"\n"
	}
	f.must(os.WriteFile(filepath.Join(a.dir, "own.toml"), []byte(own), 0o600))
}

// Start starts the agent's process and does not wait.
func (a *Agent) Start() {
	a.fleet.t.Helper()
	a.starts++
	seed := fmt.Sprintf("%016x", (uint64(a.starts)<<32+uint64(a.Number)+a.fleet.options.Seed)*0x9E3779B97F4A7C15) // new with each start
	text := strings.Replace(a.config, `"seed":"8c1f30d27a5be964"`, `"seed":"`+seed+`"`, 1)
	a.fleet.must(os.WriteFile(filepath.Join(a.dir, "config.json"), []byte(text), 0o600))
	turn := a.Number + a.starts - 1 // with two versions: both among the first processes, and the other one at each agent's next start
	a.cmd = exec.Command(Program(turn), "-settings", filepath.Join(a.dir, "own.toml"))
	a.cmd.Env = append(os.Environ(), AsProgram+"=1", DiskAt+"="+a.disk(), ClockOff+"="+a.ClockOff.String(), "TMPDIR="+a.dir, "GOMAXPROCS=1",
		"PROXY_CONFIG="+filepath.Join(a.dir, "config.json"), "PROXY_NAME="+fmt.Sprint("n", a.Number), "PROXY_LISTEN="+a.Addr, "PROXY_OPERATOR="+a.Operator)
	a.cmd.Stderr = a.Log
	a.fleet.must(a.cmd.Start())
	ended := make(chan error, 1)
	a.ended = ended
	go func(cmd *exec.Cmd) { ended <- cmd.Wait() }(a.cmd)
}

// Upgrade starts another process of the agent beside the one that runs, as operators do, waits until it is ready, and then ends the
// old one in order.
func (a *Agent) Upgrade() {
	a.fleet.t.Helper()
	old, ended := a.cmd, a.ended
	a.fleet.t.Cleanup(func() { besteffort.Ignore(old.Process.Kill()) })
	a.Operator = a.host.Port(2 + a.starts) // the old one still answers at its own
	a.Start()
	a.Ready()
	a.fleet.must(old.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		a.fleet.must(err)
	case <-time.After(agenttest.Patience):
		besteffort.Ignore(old.Process.Kill())
		a.fleet.t.Fatalf("the old process of agent %d does not end\n%s", a.Number, a.Log)
	}
}

// Ready waits until the agent has servers to send to.
func (a *Agent) Ready() {
	a.fleet.t.Helper()
	agenttest.Eventually(a.fleet.t, fmt.Sprintf("agent %d is ready", a.Number), func() bool {
		select {
		case err := <-a.ended:
			a.cmd = nil // nobody else is to wait for its end
			a.fleet.t.Fatalf("agent %d has ended: %v\n%s", a.Number, err, a.Log)
		default:
		}
		return a.Call("GET", "/ops/readiness") == http.StatusOK
	})
}

// Keeps waits until what the agent knows is on its disk.
func (a *Agent) Keeps() {
	a.fleet.t.Helper()
	agenttest.Eventually(a.fleet.t, fmt.Sprintf("agent %d keeps what it knows", a.Number), func() bool {
		return strings.Contains(a.Sees(), `"keeping": "written`)
	})
}

// Call is an operator's call.
func (a *Agent) Call(method, path string) int {
	r, err := http.NewRequest(method, "http://"+a.Operator+path, nil)
	a.fleet.must(err)
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	defer besteffort.Close(resp.Body)
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	return resp.StatusCode
}

// Pid is the process' number.
func (a *Agent) Pid() int { return a.cmd.Process.Pid }

// Signal tells the process.
func (a *Agent) Signal(s syscall.Signal) {
	if a.cmd != nil {
		besteffort.Ignore(a.cmd.Process.Signal(s))
	}
}

// Sees is the fleet as the agent sees it, as text.
func (a *Agent) Sees() string {
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + a.Operator + "/ops/fleet")
	if err != nil {
		return err.Error()
	}
	defer besteffort.Close(resp.Body)
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

func (a *Agent) cutOff() { a.Signal(syscall.SIGKILL) }

func (a *Agent) wait() {
	if a.cmd != nil {
		besteffort.Ignore(<-a.ended)
		a.cmd = nil
	}
}

// Kill ends the process at once.
func (a *Agent) Kill() {
	a.cutOff()
	a.wait()
}

// Request is a client's, with all its tries.
type Request struct {
	Refund bool
	Agent  int
	Key    string
}

// Ask makes a request as a desk does: what brought no answer, or a failure, it tries again under the same key at the same agent until
// it gives up. It reports whether it was served. An answer that breaks a rule is noted.
func (f *Fleet) Ask(r Request, client *http.Client, giveUp time.Duration) (served bool) {
	for began, try := time.Now(), 0; time.Since(began) < giveUp; try++ {
		method, path, body := http.MethodGet, "/form-check", ""
		if r.Refund {
			method, path, body = http.MethodPost, "/refund-record", "form"
		}
		q, err := http.NewRequest(method, "http://"+f.Agents[r.Agent].Addr+path, strings.NewReader(body))
		f.must(err)
		q.Header.Set("X-Request-ID", fmt.Sprintf("%016x", f.last.Add(1)))
		q.Header.Set("X-Tenant-Id", "glasgow-airport")
		q.Header.Set("X-Route-Key", r.Key)
		q.Header.Set("X-Timeout", "1500m")
		if r.Refund {
			q.Header.Set("Idempotency-Key", r.Key)
		}
		if try > 0 {
			q.Header.Set("X-Retried", "1")
		}
		resp, err := client.Do(q)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, err := io.ReadAll(resp.Body)
		besteffort.Close(resp.Body)
		if err == nil && resp.StatusCode == http.StatusOK {
			if len(bytes.TrimSpace(text)) == 0 {
				f.Broken("%s was served with nothing", r.Key)
			}
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Load is what clients make of a fleet until it is ended.
type Load struct {
	Served, Lost atomic.Int64
	stop         chan struct{}
	all          sync.WaitGroup
}

// Load lets so many clients at each agent ask again and again, with a pause; every third is a refund.
func (f *Fleet) Load(clients int, pause time.Duration) *Load {
	l := &Load{stop: make(chan struct{})}
	for agent := range f.Agents {
		for c := range clients {
			l.all.Go(func() {
				client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
				defer client.CloseIdleConnections()
				for n := 0; ; n++ {
					select {
					case <-l.stop:
						return
					case <-time.After(pause):
					}
					r := Request{Refund: (n+c)%3 == 0, Agent: agent, Key: fmt.Sprintf("k-%d-%d-%d", agent, c, n)}
					if f.Ask(r, client, 2500*time.Millisecond) {
						l.Served.Add(1)
					} else {
						l.Lost.Add(1)
					}
				}
			})
		}
	}
	return l
}

// End ends the load and waits for its last answers.
func (l *Load) End() {
	close(l.stop)
	l.all.Wait()
}
