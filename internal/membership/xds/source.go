// Package xds is a membership source that follows a control plane by xDS, the protocol by which Envoy and gRPC are told
// of clusters and endpoints: aggregated over one gRPC stream, in the state of the world or the incremental variant. It
// takes clusters (CDS) and endpoints (EDS). See https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol.
package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
)

// Options of a Source. Times and counts are as in the settings, which have defaults and bounds for all of them.
type Options struct {
	Server              string        // host and port of the control plane
	NodeID              string        // id by which the control plane knows this agent
	NodeCluster         string        // and the group that it belongs to; may be empty
	Incremental         bool          // the incremental variant
	Clusters            []string      // whose endpoints are wanted; empty: those that the control plane names
	MaxClusters         int           // how many of those that it names are taken, incrementally only; 0: all
	AgentIndex          int           // number of this agent, by which it takes them
	Zones               []string      // names, in the order of the module's numbers
	InitialFetchTimeout time.Duration // how long the first endpoints may take until another source may count
	MinBackoff          time.Duration // before the second try to connect; doubles
	MaxBackoff          time.Duration
	KeepaliveInterval   time.Duration // of silence, after which the connection is pinged
	MaxMessageBytes     int           // bytes of a response
	LogInterval         time.Duration // between two lines on what is refused
}

// Source follows a control plane.
type Source struct {
	options Options
	clock   engine.Clock
	log     *slog.Logger
}

// New returns a source that does nothing before Run.
func New(o Options, c engine.Clock, log *slog.Logger) *Source {
	return &Source{options: o, clock: c, log: log}
}

// errQuiet is what the source is lost by when nothing has come within InitialFetchTimeout.
var errQuiet = errors.New("no endpoints within the time for the first ones")

// Run follows the control plane until the context ends, and connects again, later each time and at random, when the
// stream breaks: all agents lose a control plane together. What it said last stands meanwhile.
func (s *Source) Run(ctx context.Context, to membership.Sink) {
	conn, err := grpc.NewClient("passthrough:///"+s.options.Server,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: s.options.KeepaliveInterval, Timeout: s.options.KeepaliveInterval}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second, // this package waits itself
			Backoff: backoff.Config{BaseDelay: time.Millisecond, Multiplier: 1, MaxDelay: time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(s.options.MaxMessageBytes)))
	if err != nil {
		s.log.Error("xDS is off", "error", err)
		to.Disconnected(err)
		return
	}
	defer besteffort.Close(conn)
	m := newMachine(reader{s.options.Zones, s.clock}, s.options.Incremental, s.options.Clusters, s.options.MaxClusters, s.options.AgentIndex)
	refused := map[string]*refusals{}
	for _, t := range []string{ClusterType, EndpointType} {
		refused[t] = &refusals{least: s.options.MinBackoff, most: s.options.MaxBackoff}
	}
	failures := 0
	for ctx.Err() == nil {
		r := &run{Source: s, machine: m, refused: refused, to: to, conn: conn}
		err := r.follow(ctx, discoveryv3.NewAggregatedDiscoveryServiceClient(conn))
		if ctx.Err() != nil {
			return
		}
		to.Disconnected(err)
		if r.answered {
			failures = 0
		}
		if failures == 0 {
			s.log.Warn("control plane out of reach, keeping the last list", "server", s.options.Server, "error", oneLine(err))
		}
		wait := s.options.MinBackoff << min(failures, 20)
		failures++
		wait = min(wait, s.options.MaxBackoff)
		membership.Sleep(ctx, wait/2+rand.N(wait)) // from half to one and a half times
	}
}

// run is one stream.
type run struct {
	*Source
	machine  *machine
	refused  map[string]*refusals
	to       membership.Sink
	conn     *grpc.ClientConn
	send     func(message) error
	answered bool // something usable has come
}

// follow holds a stream until it breaks.
func (r *run) follow(ctx context.Context, client discoveryv3.AggregatedDiscoveryServiceClient) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	receive, err := r.open(ctx, client)
	if err != nil {
		return err
	}
	responses, ended := make(chan message), make(chan error, 1)
	go func() {
		for {
			m, err := receive()
			if err != nil {
				ended <- err
				return
			}
			select {
			case responses <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	for _, later := range r.refused {
		later.forget()
	}
	for _, m := range r.machine.connected() {
		if err := r.send(m); err != nil {
			return fmt.Errorf("asking: %w", err)
		}
	}
	return r.loop(ctx, responses, ended)
}

func (r *run) loop(ctx context.Context, responses <-chan message, ended <-chan error) error {
	first := time.NewTimer(r.options.InitialFetchTimeout)
	defer first.Stop()
	retry := time.NewTimer(0)
	defer retry.Stop()
	again := time.NewTimer(againAfter)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return fmt.Errorf("the stream ended: %w", err)
		case <-first.C:
			if !r.answered {
				r.to.Disconnected(errQuiet)
				r.log.Warn("the control plane says nothing", "server", r.options.Server, "error", errQuiet)
			}
		case <-again.C:
			r.heardAgain()
		case <-retry.C:
		case m := <-responses:
			if err := r.take(m); err != nil {
				return err
			}
		}
		if err := r.refuse(retry); err != nil {
			return err
		}
	}
}

// againAfter is how long a stream has to hold before it is taken for heard though nothing has come on it.
const againAfter = time.Second

// heardAgain tells the sink that what was held before the stream stands. A control plane that has nothing newer than the
// versions that it was told sends nothing on a new stream, and the source would count as lost for good.
func (r *run) heardAgain() {
	if r.answered || r.conn.GetState() != connectivity.Ready {
		return
	}
	if u, ok := r.machine.update(); ok {
		r.answered = true
		r.to.Update(u)
	}
}

// take handles one response.
func (r *run) take(m message) error {
	answers, refused := r.machine.response(m)
	if len(answers) == 0 { // nothing to answer: it was not asked for
		r.complain(m, refused)
		return nil
	}
	later := r.refused[m.typeURL]
	if refused != nil {
		r.complain(m, refused)
		later.hold(r.clock.Now(), answers[0])
		answers = answers[1:]
	} else {
		later.accepted()
	}
	for _, a := range answers {
		if err := r.send(a); err != nil {
			return fmt.Errorf("answering: %w", err)
		}
	}
	if u, ok := r.machine.update(); ok {
		r.answered = true
		r.to.Update(u)
	}
	return nil
}

// refuse sends the refusals whose time has come and sets the timer for the next.
func (r *run) refuse(timer *time.Timer) error {
	now, next := r.clock.Now(), time.Duration(math.MaxInt64)
	for _, later := range r.refused {
		if answer, ok := later.ready(now); ok {
			if err := r.send(answer); err != nil {
				return fmt.Errorf("refusing: %w", err)
			}
		} else if later.due > 0 {
			next = min(next, later.due-now)
		}
	}
	timer.Reset(next)
	return nil
}

// complain logs why something is not taken, now and then.
func (r *run) complain(m message, err error) {
	later := r.refused[m.typeURL]
	if later == nil {
		later = r.refused[EndpointType]
	}
	if skipped, ok := later.logNow(r.clock.Now(), r.options.LogInterval); ok {
		r.log.Warn("refusing what the control plane sends; the last good one stands", "type", m.typeURL[strings.LastIndex(m.typeURL, ".")+1:],
			"version", m.version, "error", oneLine(err), "more_since", skipped)
	}
}

// lineMost is how much of an error goes into the log and into a refusal: a control plane's own words may be long.
const lineMost = 400

func oneLine(err error) string {
	text := strings.Join(strings.Fields(err.Error()), " ")
	if len(text) > lineMost {
		text = text[:lineMost] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// open opens a stream of the variant that is wanted.
func (r *run) open(ctx context.Context, client discoveryv3.AggregatedDiscoveryServiceClient) (receive func() (message, error), err error) {
	if r.options.Incremental {
		stream, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		r.send = func(m message) error { return stream.Send(r.deltaRequest(m)) }
		return func() (message, error) { return fromDelta(stream.Recv()) }, nil
	}
	stream, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return nil, err
	}
	r.send = func(m message) error { return stream.Send(r.request(m)) }
	return func() (message, error) { return fromWorld(stream.Recv()) }, nil
}

func (r *run) node(m message) *corev3.Node {
	if !m.first {
		return nil
	}
	return &corev3.Node{Id: r.options.NodeID, Cluster: r.options.NodeCluster, UserAgentName: "appleledge"}
}

func detail(err error) *status.Status {
	if err == nil {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: oneLine(err)}
}

func (r *run) request(m message) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{Node: r.node(m), TypeUrl: m.typeURL, VersionInfo: m.version, ResponseNonce: m.nonce,
		ResourceNames: m.names, ErrorDetail: detail(m.refused)}
}

func (r *run) deltaRequest(m message) *discoveryv3.DeltaDiscoveryRequest {
	return &discoveryv3.DeltaDiscoveryRequest{Node: r.node(m), TypeUrl: m.typeURL, ResponseNonce: m.nonce,
		ResourceNamesSubscribe: m.subscribe, ResourceNamesUnsubscribe: m.unsubscribe, InitialResourceVersions: m.initial,
		ErrorDetail: detail(m.refused)}
}

func fromWorld(r *discoveryv3.DiscoveryResponse, err error) (message, error) {
	m := message{typeURL: r.GetTypeUrl(), version: r.GetVersionInfo(), nonce: r.GetNonce()}
	for _, body := range r.GetResources() {
		m.resources = append(m.resources, resource{body: body})
	}
	return m, err
}

func fromDelta(r *discoveryv3.DeltaDiscoveryResponse, err error) (message, error) {
	m := message{typeURL: r.GetTypeUrl(), version: r.GetSystemVersionInfo(), nonce: r.GetNonce(), removed: r.GetRemovedResources()}
	for _, res := range r.GetResources() {
		m.resources = append(m.resources, resource{res.GetName(), res.GetVersion(), res.GetResource()})
	}
	return m, err
}
