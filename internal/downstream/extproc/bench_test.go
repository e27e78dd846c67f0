package extproc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

// benchServer is the variable that makes the test binary a server for the benchmark, in a process of its own so that its
// CPU and allocations can be told from those of the load.
const benchServer = "APPLELEDGE_BENCH_SERVER"

// benchProfile names a file for a CPU profile of that server.
const benchProfile = "APPLELEDGE_PROFILE"

const benchStreams = 20000 // that a connection or a server may have open in the benchmark

func TestMain(m *testing.M) {
	if kind := os.Getenv(benchServer); kind != "" {
		if err := serveBench(kind); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// bare is an external processor that answers a constant: what the protocol itself costs.
type bare struct {
	extprocv3.UnimplementedExternalProcessorServer
}

var constant = (&metadataCache{}).get(endpoint(0))

func (bare) Process(g extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		req, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		resp := continueResponseHeaders
		if req.GetRequestHeaders() != nil {
			resp = decisionResponse(routingDecision{addr: endpoint(0), metadata: constant, validFor: 400 * time.Millisecond, useBy: time.Now(), timeout: time.Second, overridesMode: true})
		}
		if err := g.Send(resp); err != nil {
			return err
		}
	}
}

// cost is what a server process has used so far.
type cost struct {
	CPU     time.Duration
	Mallocs uint64
	RSSKB   int64
}

// serveBench serves on one core, as an agent does, and states its cost for each line that it reads.
func serveBench(kind string) error {
	runtime.GOMAXPROCS(1)
	if path := os.Getenv(benchProfile); path != "" && kind != "bare" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer besteffort.Close(f)
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if kind == "bare" {
		srv := grpc.NewServer(grpc.MaxConcurrentStreams(benchStreams))
		extprocv3.RegisterExternalProcessorServer(srv, bare{})
		go func() { besteffort.Ignore(srv.Serve(l)) }()
	} else {
		site, err := simwire.DecodeSettings([]byte(agenttest.SettingsText))
		if err != nil {
			return err
		}
		policy, err := balancer.New(site.Balancer, 1)
		if err != nil {
			return err
		}
		log := slog.New(slog.DiscardHandler)
		clock, pool := engine.NewClock(), connpool.New(time.Second, time.Minute, 100)
		e := engine.New(policy, clock, pool, log)
		set := testSet()
		set.MaxOpen, set.MaxStreams, set.MaxConnections = benchStreams, benchStreams, 64
		s := New(Options{Settings: set, Engine: e, Clock: clock, Pool: pool, ReportFields: site.ReportFields,
			Rules:       requesthead.Rules{Classes: site.Balancer.Classes, Tenants: site.Tenants},
			MaxDeadline: twoSeconds, Log: log})
		go e.Run(ctx)
		var members []engine.Member
		for i := range 14 {
			members = append(members, member(i, balancer.Ready))
		}
		e.Post(engine.EndpointUpdate{Full: true, Members: members})
		go func() { besteffort.Ignore(s.Serve(ctx, l)) }()
	}
	fmt.Println(l.Addr())
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		var use syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
			return err
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		text, err := json.Marshal(cost{time.Duration(use.Utime.Nano() + use.Stime.Nano()), m.Mallocs, use.Maxrss})
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	}
	return nil
}

// child is such a server process.
type child struct {
	addr string
	in   io.WriteCloser
	out  *bufio.Scanner
}

func startBench(b *testing.B, kind string) *child {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), benchServer+"="+kind)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { besteffort.Close(in); besteffort.Ignore(cmd.Wait()) })
	c := &child{in: in, out: bufio.NewScanner(out)}
	if !c.out.Scan() {
		b.Fatal("the server did not start")
	}
	c.addr = c.out.Text()
	return c
}

func (c *child) cost(b *testing.B) (now cost) {
	fmt.Fprintln(c.in)
	if !c.out.Scan() {
		b.Fatal("the server ended")
	}
	if err := json.Unmarshal([]byte(strings.TrimSpace(c.out.Text())), &now); err != nil {
		b.Fatal(err)
	}
	return now
}

// BenchmarkDecisions compares the processor with a bare one, at so many streams at a time: decisions a second, the
// server's CPU and allocations for each, its largest memory, and the time to a decision. A decision here is a whole
// stream: request headers, response headers, and the end.
func BenchmarkDecisions(b *testing.B) {
	for _, streams := range []int{100, 1000, 10000} {
		for _, kind := range []string{"bare", "agent"} {
			b.Run(fmt.Sprintf("%s/streams=%d", kind, streams), func(b *testing.B) { benchmark(b, kind, streams) })
		}
	}
}

func benchmark(b *testing.B, kind string, streams int) {
	server := startBench(b, kind)
	const connections = 8
	var clients []extprocv3.ExternalProcessorClient
	for range connections {
		conn, err := grpc.NewClient("passthrough:///"+server.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		defer besteffort.Close(conn)
		clients = append(clients, extprocv3.NewExternalProcessorClient(conn))
	}
	took := make([][]time.Duration, streams)
	left := make(chan struct{}, streams)
	one := func(i int) error {
		began := time.Now()
		a, err := decide(clients[i%connections])
		if err != nil {
			return err
		}
		took[i] = append(took[i], time.Since(began))
		return a()
	}
	for i := range connections {
		if err := one(i); err != nil {
			b.Fatal(err)
		}
		took[i] = nil
	}
	before := server.cost(b)
	b.ResetTimer()
	var all sync.WaitGroup
	go func() {
		for range b.N {
			left <- struct{}{}
		}
		close(left)
	}()
	for i := range streams {
		all.Go(func() {
			for range left {
				if err := one(i); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	b.StopTimer()
	after := server.cost(b)
	times := slices.Concat(took...)
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
	b.ReportMetric(float64((after.CPU-before.CPU).Microseconds())/float64(b.N), "cpu-us/decision")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "server-allocs/decision")
	b.ReportMetric(float64(after.RSSKB)/1024, "server-MB")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
}

// decide asks for a decision; end tells of the response and waits for the stream's end.
func decide(c extprocv3.ExternalProcessorClient) (end func() error, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := c.Process(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := stream.Send(request{id: newID(), class: "form-check", change: benchHeaders}.message()); err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, err
	}
	resp, err := stream.Recv()
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.GetImmediateResponse() != nil { // refused under load: it ends here
		return func() error { cancel(); return nil }, nil
	}
	return func() error {
		defer cancel()
		if err := stream.Send(whole("200", "x-server-load", "util=0.3,qps=20,eps=0")); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if _, err := stream.Recv(); err != nil {
			return err
		}
		if err := stream.CloseSend(); err != nil {
			return err
		}
		if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
			return err
		}
		return nil
	}, nil
}

var benchHeaders = map[string]string{"user-agent": "kiosk/3", "accept": "*/*"}
