package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/http1"
	"appleledge/internal/downstream/requesthead"
)

func TestServes(t *testing.T) {
	b := newBackend(t, says(served))
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	got := send(t, a.newRequest(t, http.MethodPost, "/refund-record/a%2Fb?x=1&y=%20", "the form"))
	if got.status != http.StatusOK || got.body != "fine" || got.close {
		t.Errorf("answer %+v", got)
	}
	r, body := b.Request(0)
	if r.RequestURI != "/refund-record/a%2Fb?x=1&y=%20" || body != "the form" || b.Requests() != 1 {
		t.Errorf("the backend saw %d: %s %q", b.Requests(), r.RequestURI, body)
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
		t.Errorf("answer %+v", got)
	}
}

// What nobody answers is ended: as a refusal, which says when to come back, only
// where trying again is harmless.
func TestSilentBackend(t *testing.T) {
	b := newBackend(t, silent)
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	for method, want := range map[string]struct {
		path   string
		status int
		after  string
	}{
		http.MethodGet:  {"/form-check", http.StatusServiceUnavailable, "0.3"},
		http.MethodPost: {"/refund-record", http.StatusBadGateway, ""},
	} {
		got := send(t, a.newRequest(t, method, want.path, ""))
		if got.status != want.status || got.header.Get("Retry-After") != want.after {
			t.Errorf("%s: %+v", want.path, got)
		}
	}
}

// A rejection says that a retry is harmless. Of what may have run by key it is not, however long all servers remember the key: the silent
// backend may take it, or what the client sends again, when they have forgotten the other. What has not run is rejected.
func TestWhatMayHaveRunIsNotRejectedHoweverLongTheWindow(t *testing.T) {
	for _, c := range []struct {
		name       string
		window     time.Duration
		backend    func(net.Conn, *http.Request, int) bool
		status     int
		retryAfter string // in seconds; empty: the client is not asked to retry
	}{
		{"the window ends with the request's time", 2 * time.Second, silent, http.StatusBadGateway, ""},
		{"the window ends long after", 20 * time.Second, silent, http.StatusBadGateway, ""},
		{"the window ends long after, and it has not run", 20 * time.Second, says(rejected), http.StatusServiceUnavailable, "0.3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, c.backend)
			a := startWith(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0, func(cfg *Config) {
				for i := range cfg.Site.Balancer.Classes {
					cfg.Site.Balancer.Classes[i].DedupScope, cfg.Site.Balancer.Classes[i].DedupWindow = balancer.DedupFleet, c.window
				}
			})
			got := send(t, a.newRequest(t, http.MethodPost, "/refund-record", ""))
			if got.status != c.status || got.header.Get("Retry-After") != c.retryAfter {
				t.Errorf("%+v", got)
			}
			if mayHaveRun := c.retryAfter == ""; mayHaveRun && b.Requests() != 1 {
				t.Errorf("%d attempts", b.Requests())
			}
		})
	}
}

// Without a backend that takes connections the answer comes at once and is a refusal, as nothing has run.
func TestNoBackendIsRefusedAtOnce(t *testing.T) {
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", refusing(t), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "3000000m")
	if got := send(t, r); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
}

// An unsafe request that may have run goes nowhere else and is not called harmless to try again.
func TestUnsafeIsSentOnce(t *testing.T) {
	b := newBackend(t, func(net.Conn, *http.Request, int) bool { return false })
	addr := b.Addr().String()
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", addr, "Ready", 0), entryText("s-2", addr, "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/pay", "x")
	r.Header.Del("Idempotency-Key")
	if got := send(t, r); got.status != http.StatusBadGateway || b.Requests() != 1 {
		t.Errorf("%d attempts, %+v", b.Requests(), got)
	}
}

// A safe request is sent again by the module when its connection breaks.
func TestSafeIsSentAgain(t *testing.T) {
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool { return n > 1 && says(served)(c, r, n) })
	addr := b.Addr().String()
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", addr, "Ready", 0), entryText("s-2", addr, "Ready", 0)), 0)
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || b.Requests() != 2 {
		t.Errorf("%d attempts, %+v", b.Requests(), got)
	}
}

// Bad input gets a plain 4xx, which unlike 429 and 503 promises nothing, and goes to no backend.
func TestBadInput(t *testing.T) {
	b := newBackend(t, says(served))
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	with := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	without := func(name string) func(*http.Request) { return func(r *http.Request) { r.Header.Del(name) } }
	for name, c := range map[string]struct {
		path, body string
		change     func(*http.Request)
		want       int
	}{
		"unknown class":     {"/elsewhere", "", func(*http.Request) {}, http.StatusNotFound},
		"no class":          {"/", "", func(*http.Request) {}, http.StatusNotFound},
		"no time-out":       {"/refund-record", "", without("X-Timeout"), http.StatusBadRequest},
		"time-out, no unit": {"/refund-record", "", with("X-Timeout", "480"), http.StatusBadRequest},
		"time-out, no sum":  {"/refund-record", "", with("X-Timeout", "m"), http.StatusBadRequest},
		"time-out below 0":  {"/refund-record", "", with("X-Timeout", "-5m"), http.StatusBadRequest},
		"time-out NaN":      {"/refund-record", "", with("X-Timeout", "NaNm"), http.StatusBadRequest},
		"no id":             {"/refund-record", "", without("X-Request-ID"), http.StatusBadRequest},
		"no key":            {"/refund-record", "", without("Idempotency-Key"), http.StatusBadRequest},
		"wrong method":      {"/form-check", "", func(*http.Request) {}, http.StatusMethodNotAllowed},
		"GET with a body":   {"/form-check", "x", func(r *http.Request) { r.Method = http.MethodGet }, http.StatusBadRequest},
		"time-out twice":    {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Timeout", "1m") }, http.StatusBadRequest},
		"two ids":           {"/refund-record", "", func(r *http.Request) { r.Header.Add("X-Request-ID", "2") }, http.StatusBadRequest},
		"long id":           {"/refund-record", "", with("X-Request-ID", strings.Repeat("x", 129)), http.StatusBadRequest},
		"unknown tenant":    {"/refund-record", "", with("X-Tenant-Id", "nobody"), http.StatusBadRequest},
		"long body": {"/refund-record", strings.Repeat("x", requesthead.MaxBody+1), func(*http.Request) {},
			http.StatusRequestEntityTooLarge},
	} {
		r := a.newRequest(t, http.MethodPost, c.path, c.body)
		c.change(r)
		if got := send(t, r); got.status != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if n := b.Requests(); n != 0 {
		t.Errorf("%d were forwarded", n)
	}
	if got := send(t, a.newRequest(t, http.MethodPost, "/refund-record", strings.Repeat("x", requesthead.MaxBody))); got.status != http.StatusOK {
		t.Errorf("the longest body: %+v", got)
	}
}

// Connections on both sides together stay under the limit on descriptors, with some to spare, and the drain
// between the times that the platform states: 0.4 s and 0.7 s past the longest deadline.
func TestLimitsOfThePlatform(t *testing.T) {
	for _, limit := range []int{256, 1024, 4096} {
		discoveryCalls := openDiscoveryCalls(limit)
		if to, from := splitConnections(limit - discoveryCalls); to < 1 || from < 1 || to+from > limit-reservedDescriptors-discoveryCalls {
			t.Errorf("of %d: %d to backends, %d from clients", limit, to, from)
		} else if third := limit / 3; to < third || int(http1.MaxInFlightRatio*float64(from)) < third {
			t.Errorf("of %d: usual clients can't hold the third that is theirs", limit)
		}
	}
	if drainAcceptDuration <= 400*time.Millisecond || drainAcceptDuration+drainMargin >= 700*time.Millisecond {
		t.Errorf("accepts for %v, ends %v past the deadline", drainAcceptDuration, drainAcceptDuration+drainMargin)
	}
}

// Two open requests under one id could not be told apart: the second must not take the first one's answer.
func TestSecondRequestUnderOneID(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool { <-release; return says(served)(c, r, n) })
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	first := a.newRequest(t, http.MethodPost, "/refund-record", "")
	first.Header.Set("X-Timeout", "60000m")
	second := first.Clone(context.Background())
	got := make(chan reply)
	go func() { got <- send(t, first) }()
	eventually(t, "the first is at the backend", func() bool { return b.Requests() == 1 })
	if r := send(t, second); r.status != http.StatusConflict {
		t.Errorf("second: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK || b.Requests() != 1 {
		t.Errorf("first: %+v after %d attempts", r, b.Requests())
	}
}

// A client that leaves ends its request; the attempt runs on, since its outcome teaches, and frees its place.
func TestClientLeaves(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool { <-release; return says(served)(c, r, n) })
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	r := a.newRequest(t, http.MethodPost, "/refund-record", "")
	r.Header.Set("X-Timeout", "60000m")
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error)
	go func() { _, err := http.DefaultClient.Do(r.WithContext(ctx)); left <- err }()
	eventually(t, "it is at the backend", func() bool { return b.Requests() == 1 })
	leave()
	if err := <-left; err == nil {
		t.Error("the client got an answer")
	}
	close(release)
	next := a.newRequest(t, http.MethodGet, "/form-check", "")
	if got := send(t, next); got.status != http.StatusOK {
		t.Errorf("the next request: %+v", got)
	}
}

// After the signal to end, new connections still come and are served, and what was taken before is answered too.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			<-release
		}
		return says(served)(c, r, n)
	})
	addr := b.Addr().String()
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", addr, "Ready", 0)), 3*time.Second)
	got := make(chan reply)
	go func() { got <- send(t, a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	eventually(t, "the first is at the backend", func() bool { return b.Requests() == 1 })
	a.stop()
	eventually(t, "it stops being ready", func() bool { return a.readyStatus(t) == http.StatusServiceUnavailable })
	if r := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); r.status != http.StatusOK || r.close {
		t.Errorf("on a new connection: %+v", r)
	}
	close(release)
	if r := <-got; r.status != http.StatusOK {
		t.Errorf("taken before: %+v", r)
	}
	select {
	case err := <-a.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("the agent did not end")
	}
	if c, err := net.Dial("tcp", a.addr); err == nil {
		besteffort.Close(c)
		t.Error("it still listens")
	}
}

// Nobody else answers for an agent that ends, and its clients connect no more: what they send on connections that they have is
// served as long as an answer may be in time, and all have their last word before the end.
func TestKeptConnectionsAreServedThroughADrain(t *testing.T) {
	for _, deadline := range []time.Duration{2 * time.Second, 6 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			keptThroughADrain(t, deadline)
		})
	}
}

// keptThroughADrain ends an agent whose clients wait for so long. The platform waits for 3 s of it at most, and 0.7 s more.
func keptThroughADrain(t *testing.T, deadline time.Duration) {
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if strings.HasSuffix(r.URL.Path, "/silent") {
			return silent(c, r, n)
		}
		return says(served)(c, r, n)
	})
	a := startWith(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), time.Millisecond, func(c *Config) {
		c.servesKeptConnections = true
		for i := range c.Site.Balancer.Classes {
			c.Site.Balancer.Classes[i].Deadline = deadline
		}
	})
	kept := func() func(path string) (*http.Response, error) {
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(c) })
		in := bufio.NewReader(c)
		return func(path string) (*http.Response, error) {
			r := a.newRequest(t, http.MethodPost, path, "x")
			r.Header.Set("X-Timeout", fmt.Sprintf("%dm", deadline.Milliseconds())) // as long as any
			if err := r.Write(c); err != nil {
				return nil, err
			}
			resp, err := http.ReadResponse(in, r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			return resp, err
		}
	}
	ask := kept()
	wait := kept()
	for _, f := range []func(string) (*http.Response, error){ask, wait} {
		if resp, err := f("/pay"); err != nil || resp.Close { // kept
			t.Fatal(resp, err)
		}
	}
	early := kept()
	taken := make(chan *http.Response, 1)
	go func() {
		resp, err := early("/pay/silent") // its deadline may be behind the end
		if err != nil {
			t.Error(err)
		}
		taken <- resp
	}()
	eventually(t, "a request waits", func() bool { return b.Requests() == 3 })
	began := time.Now()
	a.stop()
	eventually(t, "it is leaving", func() bool { return a.readyStatus(t) == http.StatusServiceUnavailable })
	time.Sleep(200 * time.Millisecond) // longer than it takes new ones for certain
	if resp, err := ask("/pay"); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("on a kept connection: %+v, %v", resp, err)
	}
	resp, err := wait("/pay/silent")
	if err != nil || resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("what may have run and has no answer by the end: %+v, %v", resp, err)
	}
	if resp := <-taken; resp == nil || resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("what was taken before the signal: %+v", resp)
	}
	if err := <-a.done; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > min(deadline, 3*time.Second)+700*time.Millisecond {
		t.Errorf("it ended after %v", took)
	}
	asked := b.Requests()
	if resp, err := ask("/pay"); err == nil && (resp.StatusCode != http.StatusServiceUnavailable || !resp.Close) || b.Requests() != asked {
		t.Errorf("a connection outlives the agent: %+v", resp) // what it may have is the answer that ended it
	}
}

// Clients that go on through a drain lose nothing: a kept connection may close between requests, which a client
// answers with a new connection, but each request gets an answer.
func TestDrainLosesNothing(t *testing.T) {
	b := newBackend(t, says(served))
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 3*time.Second)
	ctx, enough := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer enough()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: patience}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				if n == 20 {
					a.stop()
				}
				resp, err := client.Do(a.newRequest(t, http.MethodPost, "/refund-record", "x"))
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				besteffort.Close(resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK || string(body) != "fine" {
					t.Errorf("%d %q, %v", resp.StatusCode, body, err)
				}
			}
		})
	}
	clients.Wait()
	a.stop()
	if err := <-a.done; err != nil {
		t.Error(err)
	}
}

// Before it holds a list the agent is not ready, and a list that it had in an earlier life is one.
func TestReadiness(t *testing.T) {
	b := newBackend(t, says(served))
	for known, want := range map[string]int{
		"null": http.StatusServiceUnavailable,
		listText(4, true, entryText("s-1", b.Addr().String(), "Ready", 0)): http.StatusOK,
	} {
		cfg, err := parseConfig(configText(refusing(t), known), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		l := listen(t)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- serve(ctx, cfg, Reloads{}, l, slog.New(slog.DiscardHandler), Features{}) }()
		a := &running{url: "http://" + l.Addr().String()}
		eventually(t, "the answer to /ready", func() bool { return a.readyStatus(t) == want })
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Requests on one kept connection are all answered on it, in order.
func TestClientConnectionIsKept(t *testing.T) {
	b := newBackend(t, says(served))
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(c)
	in := bufio.NewReader(c)
	for i := range 3 {
		r := a.newRequest(t, http.MethodPost, "/refund-record", "x")
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "fine" {
			t.Errorf("%d: %q, %v", i, body, err)
		}
	}
}

// A drain waits for nobody when nobody is connected, and refuses a large body whose time would end behind its own.
func TestADrainTakesNoLongerThanItHasTo(t *testing.T) {
	b := newBackend(t, says(served))
	change := func(c *Config) {
		c.servesKeptConnections, c.Operator = true, refusing(t)
		for i := range c.Site.Balancer.Classes {
			c.Site.Balancer.Classes[i].Deadline = time.Minute
		}
	}
	began := time.Now()
	a := startWith(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 200*time.Millisecond, change)
	a.stop()
	eventually(t, "it is leaving", func() bool { return a.readyStatus(t) == http.StatusServiceUnavailable })
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	r := a.newRequest(t, http.MethodPost, "/pay", strings.Repeat("x", 100<<10))
	r.Header.Set("X-Timeout", "60000m")
	if err := r.Write(c); err != nil {
		t.Error(err)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), r); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a large body that could not be waited for: %+v, %v", resp, err)
	}
	besteffort.Close(c)
	http.DefaultClient.CloseIdleConnections()
	if err := <-a.done; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("it waits for nobody: %v", took)
	}
}
