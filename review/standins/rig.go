package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		fmt.Println("could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

// arrival is that of a request's head or of its last byte at a server.
type arrival struct {
	claim
	at       time.Time
	executed bool // its effect was made: the pod did not know the key
}

// rig is a small deployment on loopback: form servers as processes, a ledger with the pods' memory, discovery, agents and clients.
type rig struct {
	root, dir   string
	trouble     bool
	record      *os.File
	began       time.Time
	mu          sync.Mutex
	window      time.Duration // for which pods drop repeats
	memory      map[int]map[string]time.Time
	arrivals    []arrival
	behave      func(c claim) verdict // how a server answers; called with mu held
	ledgerAddr  string
	servers     []*process
	entries     []entry
	discovery   *discovery
	listen, ops string
	configFile  string
	program     string // in place of the deploy file's run; empty: that
	lastID      atomic.Int64
	client      *http.Client
}

// process is a process that the rig has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*process
	tempDir     string
)

// cleanUp ends all processes that the rig has started.
func cleanUp() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
}

func newRig() *rig {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	tempDir = dir
	root, err := os.Getwd()
	must(err)
	record, err := os.Create(os.Getenv("RECORD"))
	must(err)
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), memory: map[int]map[string]time.Time{},
		window: 2 * time.Second, client: newClient()}
	r.behave = func(claim) verdict { return verdict{"ok", 80} }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.ledgerAddr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /claim", r.takeClaim)
	go http.Serve(l, mux)
	r.note("trouble: %v", r.trouble)
	time.AfterFunc(115*time.Second, func() { must(fmt.Errorf("it took too long")) })
	return r
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.record.WriteString(line + "\n")
}

// say writes a line to the record and to the output.
func (r *rig) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// takeClaim is the ledger: it says whether a pod runs a request or drops it as a repeat.
func (r *rig) takeClaim(w http.ResponseWriter, req *http.Request) {
	var c claim
	must(json.NewDecoder(req.Body).Decode(&c))
	r.mu.Lock()
	defer r.mu.Unlock()
	a := arrival{claim: c, at: time.Now()}
	v := verdict{"ok", 0}
	if c.Phase == "whole" {
		v = r.behave(c)
		pod := r.memory[c.Pod]
		if pod == nil {
			pod = map[string]time.Time{}
			r.memory[c.Pod] = pod
		}
		at, known := pod[c.Key]
		a.executed = v.Answer != "full" && (c.Key == "" || !known || a.at.Sub(at) >= r.window)
		if a.executed && c.Key != "" {
			pod[c.Key] = a.at
		}
		r.note("server %s pod %d: %s id=%s key=%s executed=%v answer=%s", c.Server, c.Pod, c.Class, c.ID, c.Key, a.executed, v.Answer)
	}
	r.arrivals = append(r.arrivals, a)
	json.NewEncoder(w).Encode(v)
}

// start starts a process with its output in a file; first is its first line of standard output, if that is wanted.
func (r *rig) start(name string, cmd *exec.Cmd, wantsLine bool) (p *process, first string) {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	must(err)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.ReadCloser
	if wantsLine {
		out, err = cmd.StdoutPipe()
		must(err)
	} else {
		cmd.Stdout = log
	}
	must(cmd.Start())
	p = &process{name: name, cmd: cmd, done: make(chan struct{})}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	if wantsLine {
		first, err = bufio.NewReader(out).ReadString('\n')
	}
	go func() { cmd.Wait(); close(p.done) }() // also where the line did not come: cleanUp waits for it
	must(err)
	return p, strings.TrimSpace(first)
}

// signal sends a signal to a process of the rig's.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.say("%v to %s", s, p.name)
	must(p.cmd.Process.Signal(s))
}

// kill ends a process at once.
func (r *rig) kill(p *process) {
	r.signal(p, syscall.SIGKILL)
	<-p.done
}

// startServers starts form servers, so many in each pod, and discovery with their list.
func (r *rig) startServers(pods, perPod int) {
	self, err := os.Executable()
	must(err)
	for i := range pods * perPod {
		name, pod := fmt.Sprintf("s-%d", i+1), i/perPod+1
		p, addr := r.start(name, exec.Command(self, "server", "-name", name, "-pod", fmt.Sprint(pod), "-ledger", r.ledgerAddr), true)
		r.servers = append(r.servers, p)
		r.entries = append(r.entries, entry{ID: name, Addr: addr, Zone: "edinburgh-dc", Kind: "twin-core", Cell: pod, State: "Ready", Weight: 1})
		r.note("server %s at %s in pod %d", name, addr, pod)
	}
	r.discovery = newDiscovery(41, r.entries)
	r.listen, r.ops = freeAddr(), freeAddr()
}

// freeAddr is a loopback address at which nothing listens. Its port is below those that the system gives to outgoing connections, which could
// take it before the agent does.
func freeAddr() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	must(fmt.Errorf("no port is free"))
	return ""
}

// settings are the platform's settings of the site, with the window of refund-record.
func settings(window time.Duration) map[string]any {
	return map[string]any{
		"Balancers": 3, "Me": 0, "TickNs": 5000000, "WeightKind": "silent", "Discovery": "automatic", "Tier": 0, "Zone": 0,
		"Callers":  map[string]any{"MarksRetry": true},
		"Ceilings": map[string]any{"ConnIdleNs": 15000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerS": 11927, "MaxRetryAfterNs": 1000000000, "MaxStreams": 1, "MayCancel": true, "MostHeld": 29817, "MostTries": 5, "ParallelTries": true, "Peers": false, "Probes": false, "RetryAfter": false},
		"Classes": []any{
			map[string]any{"Name": "form-check", "Effect": "repeatable", "Group": "all", "AimNs": 600000000, "DeadlineNs": 2000000000, "WindowNs": 5000000000, "Worth": 2.0},
			map[string]any{"Name": "refund-record", "Effect": "by_key", "Group": "cell", "AimNs": 600000000, "DeadlineNs": 2000000000, "WindowNs": window.Nanoseconds(), "Worth": 10.0}},
		"Domain": map[string]any{"WarmKeys": true},
		"Report": map[string]any{"Fields": []string{"util", "qps", "eps"}, "Via": "piggyback"},
		"Rules":  map[string]any{"ColdFrom": 0.32, "ColdNs": 8700000000, "DrainGraceNs": 500000000, "FallNs": 3000000000, "GraceToAnswerNs": 20000000, "MustAskInNs": 10000000000, "OverloadFactor": 3.0},
		"Skus":   []string{"twin-core", "quad-core"}, "Zones": []string{"edinburgh-dc"}, "OverShareWorth": 0.1,
		"Tenants": []any{map[string]any{"Name": "edinburgh-airport", "Portion": 0.6, "QuotaPerS": 300.0}, map[string]any{"Name": "lerwick-port", "Portion": 0.4, "QuotaPerS": 200.0}},
	}
}

// writeConfig writes the platform's configuration file by a rename.
func (r *rig) writeConfig(settings map[string]any, known string) {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": r.listen, "discovery": r.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known), "settings": settings})
	must(err)
	r.configFile = filepath.Join(r.dir, "config.json")
	must(os.WriteFile(r.configFile+".next", text, 0o600))
	must(os.Rename(r.configFile+".next", r.configFile))
}

// startAgent starts an agent with the command of the deploy file and waits until it is ready.
func (r *rig) startAgent(name, ownSettings, operator string) *process {
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	must(err)
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if m == nil {
		must(fmt.Errorf("the deploy file has no run"))
	}
	command := string(m[1])
	if r.program != "" {
		command = r.program
	}
	if ownSettings != "" {
		file := filepath.Join(r.dir, name+".toml")
		must(os.WriteFile(file, []byte(ownSettings), 0o600))
		command += " -settings " + file
	}
	temp := filepath.Join(r.dir, "tmp")
	must(os.MkdirAll(temp, 0o700))
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.configFile, "PROXY_NAME=n0", "PROXY_LISTEN="+r.listen, "TMPDIR="+temp)
	if operator != "" {
		cmd.Env = append(cmd.Env, "PROXY_OPERATOR="+operator)
	}
	p, _ := r.start(name, cmd, false)
	r.note("agent %s started: %s", name, command)
	return p
}

// awaitReady waits until the agent answers GET /ready with 200.
func (r *rig) awaitReady(p *process) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen+"/ready", nil)
		must(err)
		resp, err := r.client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		stop()
		if err == nil && resp.StatusCode == http.StatusOK {
			r.note("agent %s is ready", p.name)
			return
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
			must(fmt.Errorf("agent %s is not ready: %v\n%s", p.name, err, text))
		}
	}
}

// awaitYes waits until a process answers GET /ops/readiness with 200, as the platform does at an upgrade.
func (r *rig) awaitYes(ops string) {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops+"/ops/readiness", nil)
		must(err)
		resp, err := r.client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		stop()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
	}
	must(fmt.Errorf("the new process did not say yes"))
}

// request is what a client sends.
type request struct {
	class, key string
	retried    bool
	timeout    time.Duration // X-Timeout, and how long the client waits
	body       io.Reader     // of a refund; nil: a small one
	length     int64
}

// send sends a request as a client and returns the status of the answer; 0: there was none in the client's time.
func (r *rig) send(q request) (id string, status int) {
	id, status, _ = r.ask(q)
	return id, status
}

// ask is send that also returns the answer's body.
func (r *rig) ask(q request) (id string, status int, text string) { return r.sendBy(r.client, q) }

// sendBy is ask by a client of its own.
func (r *rig) sendBy(client *http.Client, q request) (id string, status int, text string) {
	id = fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
	method, content, length := http.MethodGet, q.body, q.length
	if q.key != "" {
		if method = http.MethodPost; content == nil {
			small := []byte("refund " + q.key + strings.Repeat(".", 180))
			content, length = bytes.NewReader(small), int64(len(small))
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	wait := q.timeout
	if q.length > 0 { // a request's time counts from its last byte
		wait += time.Minute
	}
	defer time.AfterFunc(wait, stop).Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.listen+"/"+q.class, content)
	must(err)
	req.GetBody = nil // net/http would repeat a keyed request by itself where its connection broke
	if req.ContentLength = length; length == 0 {
		req.Body = nil
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Tenant-Id", "edinburgh-airport")
	req.Header.Set("X-Timeout", fmt.Sprintf("%dm", q.timeout.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
		req.Header.Set("X-Route-Key", q.key)
	}
	if q.retried {
		req.Header.Set("X-Retried", "1")
	}
	r.note("client: %s id=%s key=%s sent", q.class, id, q.key)
	resp, err := client.Do(req)
	if err != nil {
		r.note("client: %s id=%s key=%s no answer: %v", q.class, id, q.key, err)
		return id, 0, ""
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	r.note("client: %s id=%s key=%s answered %d %v", q.class, id, q.key, resp.StatusCode, err)
	return id, resp.StatusCode, string(body)
}

// traffic sends requests of other visitors at an even rate until the returned function is called.
func (r *rig) traffic(checks, refunds time.Duration) (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	var n atomic.Int64
	loop := func(every time.Duration, class string) {
		if every == 0 {
			return
		}
		tick := time.NewTicker(every)
		all.Go(func() {
			defer tick.Stop()
			for {
				select {
				case <-ended:
					return
				case <-tick.C:
				}
				key := ""
				if class == "refund-record" {
					key = fmt.Sprintf("%032x", 0xbeef00000000+n.Add(1))
				}
				all.Go(func() { r.send(request{class: class, key: key, timeout: 2 * time.Second}) })
			}
		})
	}
	loop(checks, "form-check")
	loop(refunds, "refund-record")
	return func() { close(ended); all.Wait() }
}

// executions returns the executions of a key, in order.
func (r *rig) executions(key string) (all []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.Key == key && a.executed {
			all = append(all, a)
		}
	}
	return all
}

// arrivedAt returns the requests of which the last byte came to a server in a time.
func (r *rig) arrivedAt(server string, from, to time.Time) (all []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.Server == server && a.Phase == "whole" && a.at.After(from) && a.at.Before(to) {
			all = append(all, a)
		}
	}
	return all
}

// end ends the run with the verdict: 1 if the rule was broken, else 0.
func (r *rig) end(broken bool) {
	for _, p := range processes {
		if text, err := os.ReadFile(filepath.Join(r.dir, p.name+".log")); err == nil {
			for line := range strings.Lines(string(text)) {
				if !strings.HasPrefix(p.name, "s-") { // form servers write lines of the record
					line = "    log of " + p.name + ": " + line
				}
				r.record.WriteString(line)
			}
		}
	}
	if broken {
		r.say("verdict: the rule was broken")
	} else {
		r.say("verdict: the rule held")
	}
	cleanUp()
	r.record.Close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
