// Package xds is the membership source that follows a control plane by xDS, the protocol by which Envoy and gRPC learn of clusters and
// endpoints: aggregated over one gRPC stream, in the state-of-the-world or the incremental variant. It subscribes to clusters
// (CDS) and endpoints (EDS). See https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol.
//
// # Parts
//
// protocolClient is the protocol as a state machine without I/O: subscriptions, accepted versions, acknowledgements and refusals
// (client.go, updates.go). assignment.go validates endpoints, rawfields.go saves decoding those that have not changed, and
// weights.go turns priorities, localities and health into members and weights. Source and stream are the shell: a connection, one
// stream at a time, backoff and the log.
//
// # Failures
//
// A resource that can't be used is refused with its reason, ever less often if the control plane repeats it (nackbackoff.go), and its
// last good version stays. A stream that breaks is opened again after a random backoff, as all agents lose a control plane
// together; the new stream names the versions that are held. Nothing is stored over a restart.
package xds

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
)

// Options of a Source. Times and counts are as in the settings, which have defaults and bounds for all of them.
type Options struct {
	Server              string        // host and port of the control plane
	NodeID              string        // by which the control plane knows this agent
	NodeCluster         string        // and the group that it belongs to; may be empty
	Incremental         bool          // the incremental (delta) variant; else the state of the world
	Clusters            []string      // whose endpoints are wanted; empty: those that the control plane names
	MaxClusters         int           // how many of those that it names are used, incrementally only; 0: all
	AgentIndex          int           // number of this agent, by which it selects them
	Zones               []string      // names, in the order of the balancer's numbers
	InitialFetchTimeout time.Duration // how long the first endpoints may take before another source may become active
	MinBackoff          time.Duration // before the second attempt to connect; doubles
	MaxBackoff          time.Duration
	KeepaliveInterval   time.Duration // of silence, after which the connection is pinged
	MaxMessageBytes     int           // of a response
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

// errNoInitialEndpoints is what the source disconnects by when nothing has come within InitialFetchTimeout.
var errNoInitialEndpoints = errors.New("no endpoints within the time for the first ones")

// Run follows the control plane until the context ends. When the stream breaks it connects again, later each time and at random, as all
// agents lose a control plane together. The last list stays in force meanwhile.
func (s *Source) Run(ctx context.Context, to membership.Sink) {
	conn, err := grpc.NewClient("passthrough:///"+s.options.Server,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: s.options.KeepaliveInterval, Timeout: s.options.KeepaliveInterval}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second, // the backoff is this package's own
			Backoff: backoff.Config{BaseDelay: time.Millisecond, Multiplier: 1, MaxDelay: time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(s.options.MaxMessageBytes)))
	if err != nil {
		s.log.Error("xDS is off", "error", err)
		to.Disconnected(err)
		return
	}
	defer besteffort.Close(conn)
	client := newProtocolClient(endpointParser{s.options.Zones, s.clock}, s.options.Incremental, s.options.Clusters, s.options.MaxClusters, s.options.AgentIndex)
	nacks := map[string]*nackBackoff{}
	for _, t := range []string{ClusterType, EndpointType} {
		nacks[t] = &nackBackoff{minBackoff: s.options.MinBackoff, maxBackoff: s.options.MaxBackoff}
	}
	failures := 0
	for ctx.Err() == nil {
		current := &stream{Source: s, client: client, nacks: nacks, to: to, conn: conn}
		err := current.run(ctx, discoveryv3.NewAggregatedDiscoveryServiceClient(conn))
		if ctx.Err() != nil {
			return
		}
		to.Disconnected(err)
		if current.hasReported {
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
