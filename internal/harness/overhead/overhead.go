// Package overhead measures what a request costs an agent's process under load on loopback, compared with a plain reverse
// proxy of the standard library (net/http/httputil.ReverseProxy) in its place. CPU and memory are read from /proc.
package overhead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"appleledge/internal/besteffort"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/fleetgen"
	"appleledge/internal/harness/loopback"
)

// Options is the load of a measurement.
type Options struct {
	Connections int           // number of clients, each with one request in flight
	Duration    time.Duration // measured time; a warm-up as long, at most 2 s, comes before it
	ServiceTime time.Duration // a server's time to answer
	Rate        int           // requests a second of all clients; 0: each sends as soon as its last is answered
}

// Result is what a measurement found.
type Result struct {
	Name            string
	Servers         int
	Requests        int64 // served in the measured time
	Failed          int64 // not served
	ServedPerSecond float64
	CPUPerRequest   time.Duration // of the process, user and system
	Median          time.Duration
	P99             time.Duration
	MemoryMB        float64 // resident set in MiB, at the end
}

// target is a process to be measured.
type target struct {
	name string
	addr string
	cmd  *exec.Cmd
}

// MeasureAgent measures an agent with the number of servers. program is the path of the appleledge binary.
func MeasureAgent(ctx context.Context, program string, servers int, o Options) (Result, error) {
	fleet, backends, err := startBackends(servers, o)
	if err != nil {
		return Result{}, err
	}
	defer backends.Close()
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	defer d.Close()
	if err := (fleetgen.Platform{Discovery: d}).Publish(fleet.Servers(), nil); err != nil {
		return Result{}, err
	}
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return Result{}, err
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	place, err := loopback.Hold()
	if err != nil {
		return Result{}, err
	}
	defer place.Close()
	addr := place.Addr()
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, configuration(addr, d.Addr), 0o600); err != nil {
		return Result{}, err
	}
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config)
	return measure(ctx, target{"agent", addr, cmd}, servers, o)
}

// MeasureProxy measures the reverse proxy. It starts the running program again with args and the address to listen on; that
// command has to call ServeProxy with the servers that its standard input names, one a line.
func MeasureProxy(ctx context.Context, args []string, servers int, o Options) (Result, error) {
	fleet, backends, err := startBackends(servers, o)
	if err != nil {
		return Result{}, err
	}
	defer backends.Close()
	self, err := os.Executable()
	if err != nil {
		return Result{}, err
	}
	place, err := loopback.Hold()
	if err != nil {
		return Result{}, err
	}
	defer place.Close()
	addr := place.Addr()
	var to []string
	for _, s := range fleet.Servers() {
		to = append(to, net.JoinHostPort(s.Host, strconv.Itoa(s.Port)))
	}
	cmd := exec.CommandContext(ctx, self, append(args, addr)...)
	cmd.Stdin = strings.NewReader(strings.Join(to, "\n"))
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // as an agent of one core
	return measure(ctx, target{"reverse proxy", addr, cmd}, servers, o)
}

// ServeProxy runs a reverse proxy that sends each request to a random server, until the context ends.
func ServeProxy(ctx context.Context, addr string, servers []string) error {
	if len(servers) == 0 {
		return errors.New("no servers")
	}
	proxy := &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", servers[rand.IntN(len(servers))]
		}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {})
	mux.Handle("/", proxy)
	srv := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { besteffort.Close(srv) })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// startBackends starts servers on loopback. The caller closes the backends.
func startBackends(servers int, o Options) (*fleetgen.Fleet, *fleetgen.Backends, error) {
	b := &fleetgen.Backends{Busy: o.ServiceTime}
	spec := fleetgen.Default().Fleet
	spec.Servers, spec.Spread = servers, 1
	f := fleetgen.New(spec, b.Place)
	for _, s := range f.Servers() {
		if s.Port == 1 {
			b.Close()
			return nil, nil, fmt.Errorf("%d servers want more ports or descriptors than there are", servers)
		}
	}
	return f, b, nil
}

// configuration returns the platform's configuration file of the only agent of a tier, with one core.
func configuration(listen, discovery string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1.0,"memory_mb":512,"sockets":8192},
 "settings":{"Balancers":1,"Me":0,"TickNs":1000000,"WeightKind":"Silent","Discovery":"automatic",
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":1000000000,"MaxRetryAfterNs":1000000000,"MostHeld":10000,"MostTries":3,"ParallelTries":false,"RetryAfter":false},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"form-check","Worth":2}],
 "Report":{"Fields":["util","qps","eps"],"Via":"piggyback"},"Rules":{"ColdFrom":0.32,"ColdNs":8700000000,"OverloadFactor":3},
 "Tenants":[{"Name":"glasgow-airport","Portion":1}],"OverShareWorth":0.1,"Zones":["edinburgh-dc"]}}`, listen, discovery)
}

// measure starts the process, warms it up, measures it under load and ends it.
func measure(ctx context.Context, t target, servers int, o Options) (r Result, err error) {
	var log strings.Builder
	t.cmd.Stderr = &log
	if err := t.cmd.Start(); err != nil {
		return r, err
	}
	defer func() {
		besteffort.Ignore(t.cmd.Process.Signal(syscall.SIGTERM))
		force := time.AfterFunc(5*time.Second, func() { besteffort.Ignore(t.cmd.Process.Kill()) })
		besteffort.Ignore(t.cmd.Wait())
		force.Stop()
	}()
	if err := waitReady(ctx, t.addr); err != nil {
		return r, fmt.Errorf("%s: %w: %s", t.name, err, log.String())
	}
	r = Result{Name: t.name, Servers: servers}
	generateLoad(ctx, t.addr, o, min(o.Duration, 2*time.Second))
	before, err := processCPUTime(t.cmd.Process.Pid)
	if err != nil {
		return r, err
	}
	h, failed := generateLoad(ctx, t.addr, o, o.Duration)
	after, err := processCPUTime(t.cmd.Process.Pid)
	if err != nil {
		return r, err
	}
	r.MemoryMB = residentMemoryMB(t.cmd.Process.Pid)
	if r.Requests, r.Failed = h.TotalCount(), failed; r.Requests == 0 {
		return r, fmt.Errorf("%s: nothing was served: %s", t.name, log.String())
	}
	r.ServedPerSecond, r.CPUPerRequest = float64(r.Requests)/o.Duration.Seconds(), (after-before)/time.Duration(r.Requests+r.Failed)
	r.Median, r.P99 = time.Duration(h.ValueAtQuantile(50))*time.Microsecond, time.Duration(h.ValueAtQuantile(99))*time.Microsecond
	return r, ctx.Err()
}

// waitReady polls the address until it is ready, for at most 20 s.
func waitReady(ctx context.Context, addr string) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/ready"); err == nil {
			if besteffort.Close(resp.Body); resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("it was not ready in 20 s")
}

// generateLoad sends requests for the given time and returns the latencies of those served, in microseconds, and the number of
// those that failed. With a rate, a latency counts from when the request was due, so that waiting for a slow answer counts.
func generateLoad(ctx context.Context, addr string, o Options, length time.Duration) (*hdrhistogram.Histogram, int64) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: o.Connections, MaxConnsPerHost: o.Connections}}
	defer client.CloseIdleConnections()
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var mu sync.Mutex
	all, failed := hdrhistogram.New(1, 10_000_000, 3), int64(0)
	var clients sync.WaitGroup
	for c := range o.Connections {
		clients.Go(func() {
			own, lost := hdrhistogram.New(1, 10_000_000, 3), int64(0)
			began, each := time.Now(), time.Duration(0)
			if o.Rate > 0 {
				each = time.Second * time.Duration(o.Connections) / time.Duration(o.Rate)
				began = began.Add(each * time.Duration(c) / time.Duration(o.Connections))
			}
			for n := 0; ctx.Err() == nil; n++ {
				due := time.Now()
				if each > 0 {
					due = began.Add(each * time.Duration(n))
					time.Sleep(time.Until(due))
				}
				if ok := sendRequest(ctx, client, addr, fmt.Sprintf("%d-%d-%d", began.UnixNano(), c, n)); ok {
					besteffort.Ignore(own.RecordValue(max(1, time.Since(due).Microseconds())))
				} else if ctx.Err() == nil {
					lost++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
			failed += lost
		})
	}
	clients.Wait()
	return all, failed
}

// sendRequest sends one request and reports whether it was served.
func sendRequest(ctx context.Context, client *http.Client, addr, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/form-check", nil)
	if err != nil {
		return false
	}
	for name, value := range map[string]string{"X-Request-ID": id, "X-Tenant-Id": "glasgow-airport", "X-Timeout": "2000m", "X-Route-Key": "k"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	besteffort.Close(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// clockTicksPerSecond is the unit in which the kernel counts CPU time (proc(5)).
const clockTicksPerSecond = 100

// processCPUTime returns the CPU time that a process has used.
func processCPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat is short", pid)
	}
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, err
}

// residentMemoryMB returns a process's resident set in MiB, or 0 if it can't be read.
func residentMemoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}
