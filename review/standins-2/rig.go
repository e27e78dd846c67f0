// Command standins2 plays the cases of the second review: it starts the project's programs as separate processes, and is their clients,
// servers, discovery and operators. Everything listens on free ports of 127.0.0.1.
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
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cannot ends a case that could not run.
type cannot struct{ why string }

// rig is what one case runs with.
type rig struct {
	root, tmp string
	trouble   bool
	began     time.Time

	mu     sync.Mutex
	record *bufio.Writer
	agents []*agent
	closes []func()
	broken []string
}

func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *rig) cannot(format string, args ...any) { panic(cannot{fmt.Sprintf(format, args...)}) }

func (r *rig) must(err error) {
	if err != nil {
		r.cannot("%v", err)
	}
}

// freeAddr returns an address on which nobody listens, below the ports that the system gives to connections: one of these could be taken until a
// program listens there.
func (r *rig) freeAddr() string {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	r.cannot("no free port")
	return ""
}

// serve serves HTTP on a free port, or on the given address.
func (r *rig) serve(addr string, h http.Handler) (*http.Server, string) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	r.must(err)
	s := &http.Server{Handler: h}
	go s.Serve(l)
	r.mu.Lock()
	r.closes = append(r.closes, func() { s.Close() })
	r.mu.Unlock()
	return s, l.Addr().String()
}

// entry is a server of the endpoint list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the stand-in for the platform's discovery: the whole list, and watches (PROTOCOL, 'Discovery').
type discovery struct {
	r    *rig
	addr string

	mu      sync.Mutex
	version int64
	servers []entry
	changes map[int64][]entry
	wake    chan struct{}
	down    chan struct{} // closed when it is back; nil: it answers
}

// setDown makes discovery silent, or answer again. When it goes down its watches end.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.r.note("discovery is out of reach: %v", down)
	if down {
		d.down = make(chan struct{})
		close(d.wake)
		d.wake = make(chan struct{})
		return
	}
	close(d.down)
	d.down = nil
}

// awaitBack waits while discovery is silent, and reports whether the caller is still there.
func (d *discovery) awaitBack(ctx context.Context) bool {
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down == nil {
		return true
	}
	select {
	case <-down:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *rig) newDiscovery(servers ...entry) *discovery {
	d := &discovery{r: r, version: 1, servers: servers, changes: map[int64][]entry{}, wake: make(chan struct{})}
	_, d.addr = r.serve("", d)
	return d
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down != nil
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.version, true, slices.Clone(d.servers)}
}

// set changes or adds one server; state Gone removes it.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = slices.DeleteFunc(d.servers, func(o entry) bool { return o.ID == e.ID })
	if e.State != "Gone" {
		d.servers = append(d.servers, e)
	}
	d.version++
	d.changes[d.version] = []entry{e}
	close(d.wake)
	d.wake = make(chan struct{})
	d.r.note("discovery lists %s at %s as %s (version %d)", e.ID, e.Addr, e.State, d.version)
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !d.awaitBack(req.Context()) {
		return
	}
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, wake := d.version, d.wake
		if version > since {
			var changed []entry
			for v := since + 1; v <= version; v++ {
				changed = append(changed, d.changes[v]...)
			}
			d.mu.Unlock()
			json.NewEncoder(w).Encode(list{version, false, changed})
			return
		}
		d.mu.Unlock()
		select {
		case <-wake:
			if d.isDown() { // a watch ends
				panic(http.ErrAbortHandler)
			}
		case <-over:
			json.NewEncoder(w).Encode(list{version, false, []entry{}})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// class is a class of the settings.
type class struct {
	Name, Effect, Group         string
	AimNs, DeadlineNs, WindowNs int64
	LateWorth, Worth            float64
	Streamed                    bool
}

func classOf(name, effect, group string, deadline, window time.Duration) class {
	return class{Name: name, Effect: effect, Group: group, AimNs: int64(600 * time.Millisecond), DeadlineNs: int64(deadline), WindowNs: int64(window), Worth: 2}
}

// refundClasses are the classes of kit/sites/refund-checking.toml.
func refundClasses() []class {
	return []class{classOf("form-check", "repeatable", "all", 2*time.Second, 5*time.Second), classOf("refund-record", "by_key", "cell", 2*time.Second, 2*time.Second)}
}

var refundTenants = []string{"edinburgh-airport", "glasgow-airport"}

// settings returns the settings object as WIRE describes it, with the figures of kit/sites/refund-checking.toml.
func settings(classes []class, change func(map[string]any)) map[string]any {
	var tenants []map[string]any
	for _, t := range refundTenants {
		tenants = append(tenants, map[string]any{"Name": t, "Portion": 0.5, "QuotaPerS": 200.0})
	}
	s := map[string]any{
		"Balancers": 3, "Blend": map[string]any{"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.35},
		"Callers": map[string]any{"MarksRetry": false},
		"Ceilings": map[string]any{"ConnIdleNs": 15000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 11927,
			"MaxRetryAfterNs": 1000000000, "MaxStreams": 1, "MayCancel": true, "MostHeld": 29817, "MostTries": 5, "ParallelTries": true,
			"Peers": false, "Probes": false, "RetryAfter": false},
		"Classes": classes, "Discovery": "automatic", "Domain": map[string]any{"WarmKeys": true}, "Family": "mesh", "Me": 0, "OverShareWorth": 0.1,
		"Prices": map[string]any{"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.05, "Moves": 0.0, "Origin": 0.0,
			"Peer": 0.0, "Probe": 0.0, "Waste": 0.1},
		"Report": map[string]any{"Fields": []string{"util", "qps", "eps"}, "Via": "piggyback"},
		"Rules": map[string]any{"ColdFrom": 0.32, "ColdNs": 8700000000, "DrainGraceNs": 500000000, "FallNs": 3000000000, "GraceToAnswerNs": 20000000,
			"MustAskInNs": 10000000000, "OverloadFactor": 3.0},
		"Skus": []string{"twin-core", "quad-core"}, "Tenants": tenants, "TickNs": 5000000, "Tier": 0, "Tiers": []string{"form-servers"},
		"WeightKind": "silent", "WorthBy": "request", "Zone": 0, "Zones": []string{"edinburgh-dc"},
	}
	if change != nil {
		change(s)
	}
	return s
}

// config is the file that PROXY_CONFIG names.
type config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Operator  string         `json:"operator,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

func (r *rig) newConfig(d *discovery, s map[string]any) config {
	return config{Name: "n0", Listen: r.freeAddr(), Discovery: d.addr, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: d.whole(), Settings: s}
}

// write replaces the file of a configuration.
func (r *rig) write(name string, v any) string {
	path := filepath.Join(r.tmp, name)
	var data []byte
	if text, ok := v.(string); ok {
		data = []byte(text)
	} else {
		var err error
		data, err = json.MarshalIndent(v, "", " ")
		r.must(err)
	}
	r.must(os.WriteFile(path+".new", data, 0o600))
	r.must(os.Rename(path+".new", path))
	return path
}

// agent is a process of the agent.
type agent struct {
	r     *rig
	cmd   *exec.Cmd
	addr  string
	log   string
	ended chan struct{}
	err   error
}

// runCommand returns the command of a program of the deploy file: its line `run`, with another program of the build in its place if given.
func (r *rig) runCommand(program string) string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.must(err)
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if m == nil {
		r.cannot("the deploy file has no run")
	}
	run := string(m[1])
	if program != "" {
		run = strings.Replace(run, "bin/appleledge", "bin/"+program, 1)
	}
	return run
}

// startProcess starts an agent and does not wait for it.
func (r *rig) startProcess(name, program, configPath, listen, args string, env ...string) *agent {
	a := &agent{r: r, addr: listen, log: filepath.Join(r.tmp, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(a.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	tmpdir := filepath.Join(r.tmp, "tmpdir")
	r.must(os.MkdirAll(tmpdir, 0o700))
	a.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace(r.runCommand(program)+" "+args))
	a.cmd.Dir, a.cmd.Stdout, a.cmd.Stderr = r.root, out, out
	a.cmd.Env = append([]string{"PROXY_CONFIG=" + configPath, "TMPDIR=" + tmpdir, "PATH=" + os.Getenv("PATH")}, env...)
	r.must(a.cmd.Start())
	r.note("%s started, pid %d: %s", name, a.cmd.Process.Pid, r.runCommand(program)+" "+args)
	go func() {
		a.err = a.cmd.Wait()
		out.Close()
		r.note("%s has ended: %v", name, a.cmd.ProcessState)
		close(a.ended)
	}()
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	return a
}

// start starts an agent and waits until GET /ready answers 200.
func (r *rig) start(name, program, configPath, listen, args string, env ...string) *agent {
	a := r.startProcess(name, program, configPath, listen, args, env...)
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-a.ended:
			r.cannot("%s has ended before it was ready", name)
		default:
		}
		if status, _, err := get("http://" + listen + "/ready"); err == nil && status == 200 {
			r.note("%s is ready", name)
			return a
		}
	}
	r.cannot("%s is not ready", name)
	return nil
}

func (a *agent) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

func (a *agent) signal(s syscall.Signal) {
	a.r.note("signal %v to pid %d", s, a.cmd.Process.Pid)
	a.cmd.Process.Signal(s)
}

func (a *agent) waitEnd(most time.Duration) bool {
	select {
	case <-a.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// get makes one call on a connection of its own.
func get(url string) (int, string, error) { return call(http.MethodGet, url) }

func call(method, url string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), nil
}

// request is a client's request.
type request struct {
	method, path, id, key, route, tenant string
	timeout                              time.Duration
	body                                 []byte
	header                               []string // further lines
}

// head returns the request as PROTOCOL has it.
func (q request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\n", q.method, q.path, q.id)
	if q.tenant != "" {
		fmt.Fprintf(&b, "X-Tenant-Id: %s\r\n", q.tenant)
	}
	if q.route != "" {
		fmt.Fprintf(&b, "X-Route-Key: %s\r\n", q.route)
	}
	fmt.Fprintf(&b, "X-Timeout: %dm\r\n", q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.key)
	}
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// send writes a request on a connection of its own and returns the connection.
func (r *rig) send(addr string, q request) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	if _, err = c.Write(q.text()); err != nil {
		c.Close()
		return nil, err
	}
	r.note("client sends %s %s id=%s key=%s", q.method, q.path, q.id, q.key)
	return c, nil
}

// await reads the answer.
func (r *rig) await(c net.Conn, q request, most time.Duration) (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(most))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("client of id=%s gets no answer: %v", q.id, err)
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.note("client of id=%s gets %d, broken off: %v", q.id, resp.StatusCode, err)
		return resp.StatusCode, string(text), err
	}
	r.note("client of id=%s gets %d %q", q.id, resp.StatusCode, text)
	return resp.StatusCode, string(text), nil
}

// ask sends a request and waits for its answer.
func (r *rig) ask(addr string, q request) (int, string, error) {
	c, err := r.send(addr, q)
	if err != nil {
		r.note("client of id=%s can't send: %v", q.id, err)
		return 0, "", err
	}
	defer c.Close()
	return r.await(c, q, q.timeout+time.Second)
}

var idCount struct {
	sync.Mutex
	n int
}

// newID returns a new id of 16 hexadecimal digits.
func newID() string {
	idCount.Lock()
	defer idCount.Unlock()
	idCount.n++
	return fmt.Sprintf("%016x", 0x1b1f03aa00000000+int64(idCount.n))
}

// newKey returns a new idempotency key.
func newKey() string { return "5c0f6e1a2b3d4c59" + newID() }

var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "standins2 CASE ROOT RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) (code int) {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.Close()
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	r := &rig{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(f)}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.record.Flush()
	}()
	defer os.RemoveAll(tmp)
	defer r.end()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannot)
			if !ok {
				panic(p)
			}
			r.note("the case could not run: %s", c.why)
			fmt.Fprintln(os.Stderr, "the case could not run:", c.why)
			code = exitCannot
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { // also where the case takes longer than it may
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		r.note("ended from outside, or too long")
		r.end()
		os.RemoveAll(tmp)
		os.Exit(exitCannot)
	}()
	run := cases[name]
	if run == nil {
		r.cannot("there is no case %s", name)
	}
	r.note("case %s, with the disruption: %v", name, r.trouble)
	run(r)
	if len(r.broken) > 0 {
		fmt.Println("the rule was broken:", r.broken[0])
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// end ends all processes and servers.
func (r *rig) end() {
	r.mu.Lock()
	agents := slices.Clone(r.agents)
	r.mu.Unlock()
	for _, a := range agents {
		if !a.hasEnded() {
			a.cmd.Process.Signal(syscall.SIGCONT)
			a.cmd.Process.Kill()
			a.waitEnd(5 * time.Second)
		}
		if text, err := os.ReadFile(a.log); err == nil && os.Getenv("KEEP_LOGS") != "" {
			os.WriteFile(os.Getenv("KEEP_LOGS")+"/"+filepath.Base(a.log), text, 0o600)
		}
	}
	for _, c := range r.closes {
		c()
	}
}
