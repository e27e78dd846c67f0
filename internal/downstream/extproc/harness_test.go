package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/settings"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

// rig is a processor on a loopback socket, with an engine, a module and a fleet of its own.
type rig struct {
	t      testing.TB
	server *Server
	engine *engine.Engine
	pool   *connpool.Pool
	addr   string
	log    *agenttest.LockedBuffer
	run    func() // starts the engine
	stop   func() // as SIGTERM does
	served chan error
}

// options change a rig before it starts.
type options struct {
	set    func(*settings.ExternalProcessor)
	site   func(*simwire.Site)
	paused bool // the engine runs only when the test says so
	linger time.Duration
}

// testSite is the platform's settings of the tests.
func testSite(t testing.TB) simwire.Site {
	t.Helper()
	site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
	if err != nil {
		t.Fatal(err)
	}
	site.Balancer.MaxRetryAfter = site.MaxRetryAfter
	return site
}

func testSet() settings.ExternalProcessor { return settings.DefaultExternalProcessor() }

func newRig(t testing.TB, o options) *rig {
	t.Helper()
	site, set := testSite(t), testSet()
	if o.set != nil {
		o.set(&set)
	}
	if o.site != nil {
		o.site(&site)
	}
	policy, err := balancer.New(site.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, log: &agenttest.LockedBuffer{}, served: make(chan error, 1)}
	log := slog.New(slog.NewTextHandler(r.log, nil))
	clock := engine.NewClock()
	r.pool = connpool.New(time.Second, time.Minute, 100)
	r.engine = engine.New(policy, clock, r.pool, log)
	var longest time.Duration
	for _, c := range site.Balancer.Classes {
		longest = max(longest, c.Deadline)
	}
	r.server = New(Options{Settings: set, Engine: r.engine, Clock: clock, Pool: r.pool, ReportFields: site.ReportFields,
		Rules: requesthead.Rules{Classes: site.Balancer.Classes, Tenants: site.Tenants}, MaxDeadline: func() time.Duration { return longest }, Log: log})
	if o.linger > 0 {
		r.server.linger = o.linger
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	inner, end := context.WithCancel(context.Background())
	var engineRuns sync.WaitGroup
	r.run = sync.OnceFunc(func() { engineRuns.Go(func() { r.engine.Run(inner) }) })
	if !o.paused {
		r.run()
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	finished := make(chan struct{})
	go func() { defer close(finished); r.served <- r.server.Serve(ctx, l) }()
	t.Cleanup(func() { r.run(); stop(); <-finished; end(); engineRuns.Wait() })
	return r
}

// list makes so many servers ready, s0 and so on, in cells of two.
func (r *rig) list(n int) {
	var members []engine.Member
	for i := range n {
		members = append(members, member(i, balancer.Ready))
	}
	r.engine.Post(engine.EndpointUpdate{Full: true, Members: members})
}

func member(i int, state balancer.State) engine.Member {
	return engine.Member{Addr: endpoint(i), Server: balancer.Server{ID: fmt.Sprint("s", i), Cell: i / 2, State: state, Weight: 1}}
}

// endpoint is the address of a server that no test connects to.
func endpoint(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

// client connects to the processor.
func (r *rig) client() extprocv3.ExternalProcessorClient { return clientOf(r.t, r.addr) }

func clientOf(t testing.TB, addr string) extprocv3.ExternalProcessorClient {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(conn) })
	return extprocv3.NewExternalProcessorClient(conn)
}

// quiet waits until nothing is open, in the front, the engine and the module.
func (r *rig) quiet() {
	r.t.Helper()
	agenttest.Eventually(r.t, "nothing is open", func() bool {
		l := r.engine.Stats()
		return l.Calls == 0 && len(l.InFlight) == 0 && r.server.inFlight.Load() == 0 && r.server.openStreams.Load() == 0
	})
}

// noneOut waits until no attempt is in flight.
func (r *rig) noneOut() {
	r.t.Helper()
	agenttest.Eventually(r.t, "no attempt is in flight", func() bool { return len(r.engine.Stats().InFlight) == 0 })
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// request is the head of a request.
type request struct {
	id, class string
	change    map[string]string // other headers; "" takes one away
	again     []string          // headers that are there twice
	hint      *structpb.Value
	body      bool
}

func (q request) headers() *extprocv3.HttpHeaders {
	h := map[string]string{":method": "POST", ":path": "/" + q.class, "x-request-id": q.id, "x-tenant-id": "glasgow-airport",
		"x-route-key": "7f3a9c21e0b4d655", "x-timeout": "2000m", "content-length": "0"}
	switch q.class {
	case "form-check":
		h[":method"] = "GET"
	case "refund-record":
		h["idempotency-key"] = "k-" + q.id
	}
	for name, value := range q.change {
		if h[name] = value; value == "" {
			delete(h, name)
		}
	}
	m := &corev3.HeaderMap{}
	for name, value := range h {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
	}
	for _, name := range q.again {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: name, Value: h[name]})
	}
	return &extprocv3.HttpHeaders{Headers: m, EndOfStream: !q.body}
}

func (q request) message() *extprocv3.ProcessingRequest {
	req := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: q.headers()}}
	if q.hint != nil {
		req.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{
			SubsetHintNamespace: {Fields: map[string]*structpb.Value{SubsetHintKey: q.hint}}}}
	}
	return req
}

// open is a stream of a test.
type open struct {
	t      testing.TB
	stream extprocv3.ExternalProcessor_ProcessClient
	cancel context.CancelFunc
}

func openStream(t testing.TB, c extprocv3.ExternalProcessorClient) *open {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stream, err := c.Process(ctx, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	return &open{t, stream, cancel}
}

func (o *open) send(m *extprocv3.ProcessingRequest) {
	o.t.Helper()
	if err := o.stream.Send(m); err != nil && !errors.Is(err, io.EOF) {
		o.t.Fatal(err)
	}
}

func (o *open) recv() *extprocv3.ProcessingResponse {
	o.t.Helper()
	resp, err := o.stream.Recv()
	if err != nil {
		o.t.Fatal(err)
	}
	return resp
}

// finish ends the sending in order and waits for the processor's end.
func (o *open) finish() error {
	besteffort.Ignore(o.stream.CloseSend())
	for {
		if _, err := o.stream.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// asked is what came of a request.
type asked struct {
	*open
	to     string // the chosen endpoint; "" where there is a final answer instead
	valid  time.Duration
	useBy  time.Time
	status int
	header map[string]string
	raw    *extprocv3.ProcessingResponse
}

// ask opens a stream for a request and returns the decision or the final answer.
func ask(t testing.TB, c extprocv3.ExternalProcessorClient, q request) asked {
	t.Helper()
	o := openStream(t, c)
	o.send(q.message())
	return read(o)
}

func read(o *open) asked {
	o.t.Helper()
	a := asked{open: o, raw: o.recv(), header: map[string]string{}}
	if now := a.raw.GetImmediateResponse(); now != nil {
		a.status = int(now.GetStatus().GetCode())
		for _, h := range now.GetHeaders().GetSetHeaders() {
			a.header[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
		}
		return a
	}
	for _, h := range a.raw.GetRequestHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		a.header[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
	}
	a.to = a.header[DestinationHeader]
	ms, _ := strconv.Atoi(a.header[ValidForHeader][:max(0, len(a.header[ValidForHeader])-1)])
	a.valid = time.Duration(ms) * time.Millisecond
	by, _ := strconv.ParseInt(a.header[UseByHeader], 10, 64)
	a.useBy = time.UnixMilli(by)
	return a
}

// response is the head of a response.
func response(status string, more ...string) *extprocv3.ProcessingRequest {
	m := &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(status)}}}
	for i := 0; i+1 < len(more); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: more[i], RawValue: []byte(more[i+1])})
	}
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: m}}}
}

// whole is a response with no body.
func whole(status string, more ...string) *extprocv3.ProcessingRequest {
	m := response(status, more...)
	m.GetResponseHeaders().EndOfStream = true
	return m
}

// ownReply is a response that the proxy made itself.
func ownReply(details string) *extprocv3.ProcessingRequest {
	m := response("503")
	m.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
		codeDetailsAttribute: structpb.NewStringValue(details)}}}
	return m
}

// answer tells of a response and ends the stream in order.
func (a asked) answer(m *extprocv3.ProcessingRequest) {
	a.t.Helper()
	a.send(m)
	a.recv()
	if err := a.finish(); err != nil {
		a.t.Errorf("the stream's end: %v", err)
	}
}

func list(addrs ...string) *structpb.Value {
	var values []any
	for _, a := range addrs {
		values = append(values, a)
	}
	l, err := structpb.NewList(values)
	if err != nil {
		panic(err)
	}
	return structpb.NewListValue(l)
}

func healthOf(t testing.TB, addr string) healthv1.HealthClient {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(conn) })
	return healthv1.NewHealthClient(conn)
}

func twoSeconds() time.Duration { return 2 * time.Second }
