package extproc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/extprocproxy"
)

// measureEnv switches on what takes minutes and is not for CI.
const measureEnv = "APPLELEDGE_MEASURE"

// former is a form server whose time to an answer is mostly waiting, with slots, a cold start and a hang.
type former struct {
	id      string
	srv     *httptest.Server
	slots   chan struct{}
	started time.Time // zero: long ago
	hangs   atomic.Bool
	busy    atomic.Int64
	mu      sync.Mutex
	random  *rand.Rand
}

func newFormer(id string, seed uint64, cold bool) *former {
	f := &former{id: id, slots: make(chan struct{}, 8), random: rand.New(rand.NewPCG(seed, 7))}
	if cold {
		f.started = time.Now()
	}
	f.srv = httptest.NewServer(f)
	return f
}

func (f *former) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
	if f.hangs.Load() {
		<-r.Context().Done()
		return
	}
	f.busy.Add(1)
	defer f.busy.Add(-1)
	f.slots <- struct{}{}
	defer func() { <-f.slots }()
	f.mu.Lock()
	took := time.Duration((0.06 + 0.06*f.random.ExpFloat64()) * float64(time.Second))
	f.mu.Unlock()
	if age := time.Since(f.started); !f.started.IsZero() && age < 5*time.Second {
		took *= 2
	}
	time.Sleep(took)
	w.Header().Set("X-Server-Load", fmt.Sprintf("util=%.2f,qps=60,eps=0", min(1, float64(f.busy.Load())/8)))
	besteffort.IgnoreResult(io.WriteString(w, "fine"))
}

// day is a fleet that lives through a hang, a drain and a rolling deploy, as discovery tells of them.
type day struct {
	discovery *agenttest.Discovery
	formers   []*former
	version   int
}

func (d *day) tell(full bool, entries ...string) {
	d.version++
	d.discovery.Set(d.version, full, entries...)
}

func (f *former) entry(state string) string {
	started := int64(0)
	if !f.started.IsZero() {
		started = f.started.UnixMilli()
	}
	return agenttest.EntryText(f.id, f.srv.Listener.Addr().String(), state, started)
}

const dayLength = 24 * time.Second

func newDay(t *testing.T) *day {
	d := &day{version: 1}
	var entries []string
	for i := range 8 {
		f := newFormer(fmt.Sprint("s-", i), uint64(i), false)
		d.formers = append(d.formers, f)
		entries = append(entries, f.entry("Ready"))
	}
	d.discovery = agenttest.NewDiscovery(t, d.version, entries...)
	return d
}

// run lets the day happen.
func (d *day) run(t *testing.T) {
	began := time.Now()
	at := func(second float64) { time.Sleep(time.Duration(second*float64(time.Second)) - time.Since(began)) }
	at(4)
	d.formers[2].hangs.Store(true)
	at(9)
	d.formers[2].hangs.Store(false)
	at(10)
	d.tell(false, d.formers[3].entry("Terminating"))
	for i := range 4 { // the deploy replaces one of eight every two seconds
		at(12 + 2*float64(i))
		fresh := newFormer(fmt.Sprint("n-", i), uint64(100+i), true)
		t.Cleanup(fresh.srv.Close)
		d.tell(false, d.formers[4+i].entry("Terminating"), fresh.entry("Ready"))
	}
	at(22)
	d.tell(false, d.formers[3].entry("Gone"), d.formers[4].entry("Gone"))
	at(dayLength.Seconds())
}

// figures are a day's service.
type figures struct {
	n, served, inAim int
	p50, p99         time.Duration
}

// load plays the arrivals of a seed against an address and measures what the clients see.
func load(t *testing.T, seed uint64, url string) figures {
	random := rand.New(rand.NewPCG(seed, 3))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var f figures
	var times []time.Duration
	var all sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < dayLength; at += time.Duration(random.ExpFloat64() * float64(7*time.Millisecond)) {
		time.Sleep(at - time.Since(began))
		class, method, body := "form-check", http.MethodGet, ""
		if random.IntN(3) == 0 {
			class, method, body = "refund-record", http.MethodPost, "form"
		}
		key := fmt.Sprint(random.IntN(500))
		all.Go(func() {
			r, err := http.NewRequest(method, url+"/"+class, strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			for name, value := range map[string]string{"X-Request-ID": newID(), "X-Tenant-Id": "lerwick-port",
				"X-Route-Key": key, "X-Timeout": "2000m"} {
				r.Header.Set(name, value)
			}
			if method == http.MethodPost {
				r.Header.Set("Idempotency-Key", "k"+r.Header.Get("X-Request-ID"))
			}
			sent := time.Now()
			resp, err := client.Do(r)
			status := 0
			if err == nil {
				status = resp.StatusCode
				besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
				besteffort.Close(resp.Body)
			}
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			f.n++
			if status == http.StatusOK {
				f.served++
				times = append(times, took)
				if took <= 600*time.Millisecond {
					f.inAim++
				}
			}
		})
	}
	all.Wait()
	slices.Sort(times)
	f.p50, f.p99 = times[len(times)/2], times[len(times)*99/100]
	return f
}

// through runs an agent for a day, with the processor or without, and returns what the clients saw.
func through(t *testing.T, seed uint64, processor bool) figures {
	d := newDay(t)
	for _, f := range d.formers {
		t.Cleanup(f.srv.Close)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, agenttest.ConfigText(d.discovery.Addr().String(), "null"), 0o600); err != nil {
		t.Fatal(err)
	}
	direct := agenttest.Refusing(t)
	env := map[string]string{"PROXY_CONFIG": file, "PROXY_LISTEN": direct}
	cfg, err := agent.LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := agent.DownstreamServer{Name: "external processor", Descriptors: 17, Open: func(c agent.Core) (func(context.Context) error, error) {
		s := New(Options{Settings: testSet(), Engine: c.Engine, Clock: c.Clock, Rules: c.Rules, Pool: c.Pool,
			ReportFields: c.Site.ReportFields, MaxDeadline: c.MaxDeadline, Log: c.Log})
		return func(ctx context.Context) error { return s.Serve(ctx, l) }, nil
	}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- agent.Run(ctx, cfg, agent.Reloads{}, slog.New(slog.DiscardHandler), agent.Features{DownstreamServers: []agent.DownstreamServer{front}})
	}()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	agenttest.Eventually(t, "the agent is ready", func() bool {
		resp, err := http.Get("http://" + direct + "/ready")
		if err == nil {
			besteffort.Close(resp.Body)
		}
		return err == nil && resp.StatusCode == http.StatusOK
	})
	url := "http://" + direct
	if processor {
		proxy := httptest.NewServer(extprocproxy.New(clientOf(t, l.Addr().String())))
		t.Cleanup(proxy.Close)
		url = proxy.URL
	}
	go d.run(t)
	return load(t, seed, url)
}

// The measurement beside direct mode: the same arrivals on the same kind of fleet, with a hang, a drain and a rolling
// deploy. It takes about a minute a seed; APPLELEDGE_MEASURE=1 switches it on.
func TestServiceBesideDirectMode(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("takes minutes; set %s=1", measureEnv)
	}
	for seed := range uint64(3) {
		var got [2]figures
		for i, processor := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d/processor=%v", seed, processor), func(t *testing.T) {
				got[i] = through(t, seed, processor)
				f := got[i]
				t.Logf("%d requests, served %.4f, within 600 ms %.4f, p50 %v, p99 %v", f.n, float64(f.served)/float64(f.n),
					float64(f.inAim)/float64(f.n), f.p50, f.p99)
			})
		}
		direct, processor := got[0], got[1]
		if share := float64(processor.served) / float64(processor.n); share < 0.98*float64(direct.served)/float64(direct.n) {
			t.Errorf("seed %d: served %.4f through the processor", seed, share)
		}
	}
}
