package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/engine"
)

// joinAll is a [join] section for every class, the ones that must not run twice too: the engine has to keep those out.
func joinAll(apart bool) Features {
	return Features{Coalescing: func(classes []balancer.Class) (CoalescingOptions, error) {
		j := CoalescingOptions{TenantsApart: apart, LogInterval: time.Hour, Groups: coalesce.Options{MaxGroups: 64, MaxFollowers: 64, PauseAfterPrivate: time.Hour}}
		for _, c := range classes {
			j.Groups.Classes = append(j.Groups.Classes, coalesce.Class{Coalesces: true, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
		}
		return j, nil
	}}
}

// gate is a backend that answers each request with its number, when it is opened.
type gate struct {
	*agenttest.Backend
	open   chan struct{}
	head   string      // of its answers
	breaks atomic.Bool // the connection of the next request, in place of an answer
}

func newGate(t *testing.T, head string) *gate {
	g := &gate{open: make(chan struct{}), head: head}
	g.Backend = newBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		select {
		case <-g.open:
		case <-time.After(patience):
		}
		if g.breaks.Swap(false) {
			return false
		}
		body := fmt.Sprint("answer ", n)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", g.head, len(body), body)
		return err == nil
	})
	return g
}

// startJoining starts an agent that joins, with a backend, and returns its engine as well. Aims are far off, so that nobody
// leads a flight of his own because the machine is slow.
func startJoining(t *testing.T, b *agenttest.Backend, with Features) (*running, *engine.Engine) {
	var core *engine.Engine
	with.DownstreamServers = []DownstreamServer{{Name: "look-out", Open: func(c Core) (func(context.Context) error, error) {
		core = c.Engine
		return func(ctx context.Context) error { <-ctx.Done(); return nil }, nil
	}}}
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startOn(t, d, time.Millisecond, func(cfg *Config) {
		for i := range cfg.Site.Balancer.Classes {
			cfg.Site.Balancer.Classes[i].LatencyObjective = time.Minute
		}
	}, with, slog.New(slog.DiscardHandler))
	return a, core
}

// begin sends a request and waits until so many are with the engine.
func begin(t *testing.T, core *engine.Engine, r *http.Request, calls int, replies chan<- reply) {
	t.Helper()
	go func() { replies <- send(t, r) }()
	eventually(t, "the request is with the engine", func() bool { return core.Stats().Calls == calls })
}

// Which requests are answered together, over sockets: the number of them that reach the backend, of three.
func TestWhatIsJoined(t *testing.T) {
	header := func(name string, value func(i int) string) func(*http.Request, int) {
		return func(r *http.Request, i int) { r.Header.Set(name, value(i)) }
	}
	tenant := header("X-Tenant-Id", func(i int) string { return []string{"glasgow-airport", "lerwick-port"}[i%2] })
	for name, tt := range map[string]struct {
		method, path, head string
		apart              bool
		each               func(*http.Request, int)
		want               int
	}{
		"like checks":                        {http.MethodGet, "/form-check/a?x=1", "", false, nil, 1},
		"of several desks":                   {http.MethodGet, "/form-check/a", "", false, tenant, 1},
		"of desks that are kept apart":       {http.MethodGet, "/form-check/a", "", true, tenant, 2},
		"marked as the clients' own repeats": {http.MethodGet, "/form-check/a", "", false, header("X-Retried", func(int) string { return "1" }), 1},
		"of other forms":                     {http.MethodGet, "/form-check/a", "", false, header("X-Route-Key", func(i int) string { return fmt.Sprint("form-", i) }), 3},
		"with other figures":                 {http.MethodGet, "/form-check/a", "", false, header("X-Attrs", func(i int) string { return fmt.Sprint("a=", i) }), 3},
		"with other queries":                 {http.MethodGet, "/form-check/a", "", false, func(r *http.Request, i int) { r.URL.RawQuery = fmt.Sprint("i=", i) }, 3},
		"that ask for an answer of their own": {http.MethodGet, "/form-check/a", "", false,
			header("Cache-Control", func(int) string { return "max-age=1, No-Cache" }), 3},
		"answered for one caller alone":     {http.MethodGet, "/form-check/a", "Cache-Control: private=\"x\"\r\n", false, nil, 3},
		"answered with a cookie":            {http.MethodGet, "/form-check/a", "Set-Cookie: a=b\r\n", false, nil, 3},
		"answered by who asks":              {http.MethodGet, "/form-check/a", "Vary: Accept, x-tenant-id\r\n", false, nil, 3},
		"answered by something else":        {http.MethodGet, "/form-check/a", "Vary: Accept\r\n", false, nil, 1},
		"refunds, all but the id the same":  {http.MethodPost, "/refund-record", "", false, nil, 3},
		"what must not run twice, the same": {http.MethodPost, "/pay", "", false, func(r *http.Request, _ int) { r.Header.Del("Idempotency-Key") }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGate(t, tt.head)
			a, core := startJoining(t, g.Backend, joinAll(tt.apart))
			replies := make(chan reply, 3)
			for i := range 3 {
				r := a.newRequest(t, tt.method, tt.path, "")
				if tt.each != nil {
					tt.each(r, i)
				}
				begin(t, core, r, i+1, replies)
			}
			close(g.open)
			bodies := map[string]int{}
			for range 3 {
				got := <-replies
				if got.status != http.StatusOK {
					t.Fatalf("%+v", got)
				}
				bodies[got.body]++
			}
			if g.Requests() != tt.want || len(bodies) != tt.want {
				t.Errorf("%d requests reached the backend, with answers %v; want %d", g.Requests(), bodies, tt.want)
			}
		})
	}
}

// A caller whose time is short, or who leaves, ends its own wait only: the other is served by the flight that the first
// one led.
func TestTheOtherCallerGoesOn(t *testing.T) {
	for _, how := range []string{"times out", "leaves"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			g := newGate(t, "")
			a, core := startJoining(t, g.Backend, joinAll(false))
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			first := a.newRequest(t, http.MethodGet, "/form-check/a", "").WithContext(ctx)
			if how == "times out" {
				first.Header.Set("X-Timeout", "300m")
			}
			began, ended := time.Now(), make(chan int, 1)
			go func() {
				resp, err := http.DefaultClient.Do(first)
				if err != nil {
					ended <- 0
					return
				}
				besteffort.Close(resp.Body)
				ended <- resp.StatusCode
			}()
			eventually(t, "the first leads", func() bool { return g.Requests() == 1 })
			others := make(chan reply, 1)
			begin(t, core, a.newRequest(t, http.MethodGet, "/form-check/a", ""), 2, others)
			served := "answer 1"
			if how == "leaves" { // and the attempt fails: there is another one, for the caller who is still there
				leave()
				eventually(t, "its place is given up", func() bool { return core.Stats().Coalescing.Waiting == 1 && <-ended == 0 })
				g.breaks.Store(true)
				served = "answer 2"
			}
			// By its deadline, less the agent's margin, it is told that it may try again.
			if how == "times out" {
				if status := <-ended; status != http.StatusServiceUnavailable || time.Since(began) < 200*time.Millisecond {
					t.Errorf("the first got %d after %v", status, time.Since(began))
				}
			}
			close(g.open)
			if got := <-others; got.status != http.StatusOK || got.body != served {
				t.Errorf("the other got %d %q; %d requests reached the backend", got.status, got.body, g.Requests())
			}
		})
	}
}

// Failure: a retry began under the id of a client that had left, as another one waited for the same answer. It goes out under the id of the
// one that waits, and says no more time than that one has.
func TestRetryOfAJoinedRequestIsMadeForACallerWhoWaits(t *testing.T) {
	g := newGate(t, "")
	a, core := startJoining(t, g.Backend, joinAll(false))
	ctx, leave := context.WithCancel(t.Context())
	first := a.newRequest(t, http.MethodGet, "/form-check/a", "").WithContext(ctx)
	go func() {
		if resp, err := http.DefaultClient.Do(first); err == nil {
			besteffort.Close(resp.Body)
		}
	}()
	eventually(t, "the first leads", func() bool { return g.Requests() == 1 })
	others := make(chan reply, 1)
	second := a.newRequest(t, http.MethodGet, "/form-check/a", "")
	second.Header.Set("X-Timeout", "1500m")
	begin(t, core, second, 2, others)
	leave()
	eventually(t, "the first has left", func() bool { return core.Stats().Coalescing.Leaderless == 1 })
	g.breaks.Store(true)
	close(g.open)
	if got := <-others; got.status != http.StatusOK {
		t.Errorf("the other got %d", got.status)
	}
	retry, _ := g.Request(1)
	left, err := strconv.Atoi(strings.TrimSuffix(retry.Header.Get("X-Timeout"), "u"))
	if err != nil || g.Requests() != 2 || retry.Header.Get("X-Request-ID") != second.Header.Get("X-Request-ID") || left > 1_500_000 {
		t.Errorf("%d requests, the last under %s with %d us", g.Requests(), retry.Header.Get("X-Request-ID"), left)
	}
}

// A busy desk and a quiet one check the same few forms: with joining less than half of the requests reach the fleet, and
// each caller is served.
func TestJoiningSparesTheFleet(t *testing.T) {
	reached := map[bool]int{}
	for _, on := range []bool{false, true} {
		b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool {
			time.Sleep(20 * time.Millisecond)
			return says(served)(c, r, n)
		})
		with := Features{}
		if on {
			with = joinAll(false)
		}
		a, core := startJoining(t, b, with)
		var desks sync.WaitGroup
		var bad atomic.Int64
		for desk := range 13 {
			desks.Go(func() {
				client := http.Client{Transport: &http.Transport{}, Timeout: patience}
				defer client.CloseIdleConnections()
				for i := range 20 {
					r := a.newRequest(t, http.MethodGet, fmt.Sprint("/form-check/", i%3), "")
					if desk == 0 {
						r.Header.Set("X-Tenant-Id", "lerwick-port")
					}
					resp, err := client.Do(r)
					if err != nil {
						bad.Add(1)
						continue
					}
					besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
					if besteffort.Close(resp.Body); resp.StatusCode != http.StatusOK {
						bad.Add(1)
					}
				}
			})
		}
		desks.Wait()
		if reached[on] = b.Requests(); bad.Load() > 0 {
			t.Errorf("joining %v: %d requests were not served", on, bad.Load())
		}
		if c := core.Stats(); c.Calls > 0 || c.Coalescing.Waiting+c.Coalescing.Groups > 0 {
			t.Errorf("left at the end: %+v", c)
		}
	}
	t.Logf("requests that reached the fleet: %v", reached)
	if reached[false] != 260 || 2*reached[true] > reached[false] {
		t.Errorf("%d requests reached the fleet, %d with joining", reached[false], reached[true])
	}
}
