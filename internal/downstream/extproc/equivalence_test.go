package extproc

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	downstreamhttp1 "appleledge/internal/downstream/http1"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
	upstreamhttp1 "appleledge/internal/upstream/http1"
)

// recorded is one arrival of a recorded stream.
type recorded struct {
	at     time.Duration
	id     string
	class  string
	key    string
	tenant string
}

// record makes a stream of arrivals, the same for the same seed. No two are at one instant.
func record(seed uint64, n int) (stream []recorded) {
	random := rand.New(rand.NewPCG(seed, 0))
	var at time.Duration
	for i := range n {
		at += time.Duration(random.ExpFloat64() * float64(4*time.Millisecond))
		stream = append(stream, recorded{at: at, id: fmt.Sprint("r", i), key: fmt.Sprint("form-", random.IntN(50)),
			class:  []string{"form-check", "form-check", "refund-record", "pay"}[random.IntN(4)],
			tenant: []string{"glasgow-airport", "lerwick-port"}[random.IntN(2)]})
	}
	return stream
}

// played is how an attempt of a recorded stream ends.
type played struct {
	result balancer.Result
	took   time.Duration
	load   string
}

// outcome is what the recording says of an attempt: it depends on the request, the number of the attempt and the server.
func (q recorded) outcome(number int, server string) played {
	h := fnv.New64a()
	fmt.Fprint(h, q.id, number, server)
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	p := played{took: time.Duration(random.ExpFloat64()*float64(60*time.Millisecond)) + time.Millisecond,
		load: fmt.Sprintf("util=%.2f,qps=%d,eps=0", 0.3+0.5*random.Float64(), 20+random.IntN(40))}
	p.took = min(p.took, 350*time.Millisecond)
	switch x := random.IntN(100); {
	case x < 5:
		p.result = balancer.Failed
	case x < 10:
		p.result = balancer.Rejected
	case x < 13:
		p.result, p.load = balancer.ConnectFailed, ""
	case x < 16:
		p.result, p.load = balancer.Reset, ""
	default:
		p.result = balancer.OK
	}
	return p
}

// decided is what a mode made of a recorded stream.
type decided struct {
	mu    sync.Mutex
	sends []string // an attempt each: request, number, server
	ends  []string // a request each: status, come-back time
}

func (d *decided) send(id string, number int, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sends = append(d.sends, fmt.Sprintf("%s #%d to %s", id, number, server))
}

func (d *decided) end(id string, status int, after string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, fmt.Sprintf("%s: %d %s", id, status, after))
}

// changes are what the list tells during a stream: a drain, a server that is gone, a restart, an outage.
func changes(e *engine.Engine, clock engine.Clock) {
	tell := func(after time.Duration, ev engine.Event) {
		time.Sleep(after)
		e.Post(ev)
	}
	tell(300*time.Millisecond, engine.EndpointUpdate{Members: []engine.Member{member(1, balancer.Draining)}})
	tell(300*time.Millisecond, engine.EndpointUpdate{Members: []engine.Member{member(1, balancer.Removed)}})
	tell(200*time.Millisecond, engine.EndpointsUnavailable{})
	restarted := member(2, balancer.Ready)
	restarted.Started = clock.Now()
	tell(200*time.Millisecond, engine.EndpointUpdate{Members: []engine.Member{restarted, member(9, balancer.Ready)}})
}

// scripted is a carrier that plays the recording.
type scripted struct {
	stream map[string]recorded
	got    *decided
}

func (s scripted) RoundTrip(ctx context.Context, a *engine.Attempt) engine.Outcome {
	s.got.send(a.Call.ID, a.Number, a.Server)
	p := s.stream[a.Call.ID].outcome(a.Number, a.Server)
	time.Sleep(p.took)
	out := engine.Outcome{Attempt: a, Result: p.result, Report: balancer.NoReport}
	if p.load != "" {
		out.Report, _ = upstreamhttp1.ParseReport(p.load, []string{"util", "qps", "eps"})
	}
	if p.result == balancer.OK {
		out.Payload = &upstreamhttp1.Response{}
	}
	return out
}

// world is an engine in a bubble, with a list of servers.
type world struct {
	engine *engine.Engine
	clock  engine.Clock
	pool   *connpool.Pool
	site   simwire.Site
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{clock: engine.NewClock(), site: testSite(t)}
	w.site.Balancer.AllowHedging = false // a proxy carries one copy of a request
	policy, err := balancer.New(w.site.Balancer, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.pool = connpool.New(time.Second, time.Minute, 100)
	w.engine = engine.New(policy, w.clock, w.pool, slog.New(slog.DiscardHandler))
	return w
}

// start runs the engine until the test ends and tells it of the servers.
func (w *world) start(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.engine.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	var members []engine.Member
	for i := range 9 {
		members = append(members, member(i, balancer.Ready))
	}
	w.engine.Post(engine.EndpointUpdate{Full: true, Members: members})
	go changes(w.engine, w.clock)
}

// play lets each request of the stream begin at its time.
func play(stream []recorded, one func(recorded)) {
	var all sync.WaitGroup
	began := time.Now()
	for _, q := range stream {
		time.Sleep(q.at - time.Since(began))
		all.Go(func() { one(q) })
	}
	all.Wait()
}

// playDirect plays a stream into direct mode.
func playDirect(t *testing.T, seed uint64, stream []recorded) *decided {
	got := &decided{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed)
		byID := map[string]recorded{}
		for _, q := range stream {
			byID[q.id] = q
		}
		front := downstreamhttp1.New(downstreamhttp1.Options{Engine: w.engine, Clock: w.clock, Transport: scripted{byID, got},
			Rules: requesthead.Rules{Classes: w.site.Balancer.Classes, Tenants: w.site.Tenants}, Log: slog.New(slog.DiscardHandler)}, connlimit.New(nil, 10000, connlimit.Options{}))
		w.start(t)
		play(stream, func(q recorded) {
			method := http.MethodPost
			if q.class == "form-check" {
				method = http.MethodGet
			}
			r := httptest.NewRequest(method, "/"+q.class, nil)
			r.Header.Set("X-Request-ID", q.id)
			r.Header.Set("X-Tenant-Id", q.tenant)
			r.Header.Set("X-Route-Key", q.key)
			r.Header.Set("X-Timeout", "2000m")
			if q.class == "refund-record" {
				r.Header.Set("Idempotency-Key", "k-"+q.id)
			}
			rec := httptest.NewRecorder()
			front.ServeHTTP(rec, r)
			got.end(q.id, rec.Code, rec.Header().Get("Retry-After"))
		})
	})
	return got
}

// playProcessor plays it through the processor: a proxy asks for each attempt, makes it as the recording says, and asks
// again until it has a final answer.
func playProcessor(t *testing.T, seed uint64, stream []recorded) *decided {
	got := &decided{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed)
		set := testSet()
		set.MaxOpen, set.MaxStreams = 10000, 10000
		server := New(Options{Settings: set, Engine: w.engine, Clock: w.clock, Pool: w.pool, ReportFields: w.site.ReportFields,
			Rules:       requesthead.Rules{Classes: w.site.Balancer.Classes, Tenants: w.site.Tenants},
			MaxDeadline: twoSeconds, Log: slog.New(slog.DiscardHandler)})
		w.start(t)
		l := bufconn.Listen(1 << 20)
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() { defer close(served); besteffort.Ignore(server.Serve(ctx, l)) }()
		t.Cleanup(func() { stop(); <-served })
		conn, err := grpc.NewClient("passthrough:///processor", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(conn) })
		client := extprocv3.NewExternalProcessorClient(conn)
		names := map[string]string{}
		for i := range 10 {
			names[endpoint(i)] = fmt.Sprint("s", i)
		}
		play(stream, func(q recorded) {
			for number := 0; ; number++ {
				a := ask(t, client, request{id: q.id, class: q.class, change: map[string]string{"x-tenant-id": q.tenant,
					"x-route-key": q.key, "x-envoy-attempt-count": fmt.Sprint(number + 1)}})
				if a.to == "" {
					got.end(q.id, a.status, a.header["retry-after"])
					return
				}
				server := names[a.to]
				got.send(q.id, number, server)
				p := q.outcome(number, server)
				time.Sleep(p.took)
				a.answer(p.message())
				if p.result == balancer.OK {
					got.end(q.id, http.StatusOK, "")
					return
				}
			}
		})
	})
	return got
}

// message is the outcome as a proxy tells of it.
func (p played) message() *extprocv3.ProcessingRequest {
	switch p.result {
	case balancer.OK:
		return whole("200", "x-server-load", p.load)
	case balancer.Failed:
		return whole("500", "x-server-load", p.load)
	case balancer.Rejected:
		return whole("503", "x-not-processed", "1", "x-server-load", p.load)
	case balancer.ConnectFailed:
		return ownReply("upstream_reset_before_response_started{remote_connection_failure}")
	}
	return ownReply("upstream_reset_before_response_started{connection_termination}")
}

// One recorded stream of arrivals and outcomes, played into direct mode and through the processor with the same seed and
// the clock under control, gives the same decisions and the same final answers, one for one.
func TestSameDecisionsAsDirectMode(t *testing.T) {
	for seed := range uint64(5) {
		stream := record(seed, 500)
		direct, processor := playDirect(t, seed, stream), playProcessor(t, seed, stream)
		if len(direct.sends) < 500 {
			t.Fatalf("seed %d: %d decisions", seed, len(direct.sends))
		}
		same(t, seed, "decisions", direct.sends, processor.sends)
		slices.Sort(direct.ends) // final answers at one instant may be noted in any order
		slices.Sort(processor.ends)
		same(t, seed, "final answers", direct.ends, processor.ends)
		refused := 0
		for _, e := range direct.ends {
			if strings.Contains(e, ": 503") {
				refused++
			}
		}
		t.Logf("seed %d: %d decisions for %d requests, %d refused", seed, len(direct.sends), len(stream), refused)
	}
}

func same(t *testing.T, seed uint64, what string, direct, processor []string) {
	t.Helper()
	for i := range max(len(direct), len(processor)) {
		var d, p string
		if i < len(direct) {
			d = direct[i]
		}
		if i < len(processor) {
			p = processor[i]
		}
		if d != p {
			t.Fatalf("seed %d, %s %d of %d and %d: %q in direct mode, %q through the processor", seed, what, i, len(direct),
				len(processor), d, p)
		}
	}
}
