// Package extproc is the downstream server for other proxies: Envoy's external processor, envoy.service.ext_proc.v3. A
// proxy opens a stream for each request and is sent the endpoint to use; it forwards the request itself and reports how it
// ended. The endpoint is stated by the endpoint picker protocol of the Gateway API's inference extension
// (docs/proposals/004-endpoint-picker-protocol there).
//
// A stream is one attempt of a request. A proxy's retry is another stream with the same X-Request-ID and is the same
// request to the engine, so that the balancer decides whether there is another attempt.
//
// server.go serves and drains, admit.go limits streams, stream.go is the life of one stream; request.go, subsethint.go and
// response.go read messages, decision.go and replies.go write them.
package extproc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"

	"appleledge/internal/acceptretry"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/eventlog"
	"appleledge/internal/platformconfig"
	"appleledge/internal/settings"
	"appleledge/internal/upstream/connpool"
)

const (
	sendTimeout        = 2 * time.Second // for a message that the proxy does not read
	duplexShareDivisor = 8               // MaxOpen divided by it is the limit of full duplex streams, which use most memory
	connectTimeout     = 3 * time.Second // for the HTTP/2 preface of a new connection
	maxConnectionIdle  = time.Minute     // a connection with no stream is closed, so that idle ones don't keep out others
	maxHeaderList      = 16 << 10        // bytes of a stream's own HTTP/2 headers
	streamWindow       = 64 << 10        // bytes of a stream that a proxy may send unread; gRPC allows no less
	connWindow         = 1 << 20         // and of all streams of a connection
	defaultLinger      = 5 * time.Second
	drainMargin        = 50 * time.Millisecond // added to the longest deadline, as in direct mode
	processorMethod    = extprocv3.ExternalProcessor_Process_FullMethodName
	countsInterval     = time.Minute
)

// Options are what a Server is made of. All must be set.
type Options struct {
	Settings     settings.ExternalProcessor
	Engine       *engine.Engine
	Clock        engine.Clock
	Rules        requesthead.Checker
	Pool         *connpool.Pool
	ReportFields []string             // of load reports
	MaxDeadline  func() time.Duration // longest that any client waits, which bounds a drain; called concurrently
	Log          *slog.Logger
}

// Server answers the streams of proxies.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	Options
	Counts        Counts
	openStreams   atomic.Int64
	inFlight      atomic.Int64 // calls that the engine has not released
	duplexStreams atomic.Int64 // streams in full duplex mode
	logOnce       logOnces

	metadata metadataCache
	linger   time.Duration // how long a stream may stay open after its request's deadline
}

// logOnces are the log lines that are written once a process, so that a misbehaving peer can't flood the log.
type logOnces struct{ report, hint, served, unknown sync.Once }

// New returns a server. It sets the engine's outcome cache, so that the engine must not run yet.
func New(o Options) *Server {
	o.Engine.SetOutcomeCache(o.Settings.RememberMost, time.Duration(o.Settings.Remember))
	return &Server{Options: o, linger: defaultLinger}
}

// Serve answers streams until the context ends, and then drains: GOAWAY stops new streams, and the open ones may go on for
// the longest deadline of any client. An error is the listener's.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := s.grpcServer()
	failed := make(chan error, 1)
	go func() {
		failed <- srv.Serve(netutil.LimitListener(acceptretry.Listener{Listener: l, Events: eventlog.New(s.Log)}, s.Settings.MaxConnections))
	}()
	s.Log.Info("external processor listening", "addr", l.Addr().String())
	counts := time.NewTicker(countsInterval)
	defer counts.Stop()
	var last Snapshot
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serving proxies: %w", err)
		case <-counts.C:
			if now := s.Counts.Snapshot(); now != last {
				s.Log.Info("external processor", s.attrs(now)...)
				last = now
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	s.drain(srv)
	if err := <-failed; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		s.Log.Warn("external processor ended", "error", err)
	}
	s.Log.Info("external processor drained", s.attrs(s.Counts.Snapshot())...)
	return nil
}

// attrs returns the counts as log attributes, with the number of outcomes that the cache dropped early: a retry of such a
// request could run it again.
func (s *Server) attrs(now Snapshot) []any {
	return append(now.attrs(), "forgotten_early", s.Engine.Stats().ForgottenEarly)
}

// drain sends GOAWAY, waits for the open streams, and closes those that are still open after the limit.
func (s *Server) drain(srv *grpc.Server) {
	ended := make(chan struct{})
	go func() { srv.GracefulStop(); close(ended) }()
	limit := time.NewTimer(platformconfig.LameDuckDuration(s.MaxDeadline()) + drainMargin)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
		s.Log.Warn("external processor drained, but some streams were still open", "streams", s.openStreams.Load())
		srv.Stop()
		<-ended
	}
}

// grpcServer returns the gRPC server with its limits and services.
func (s *Server) grpcServer() *grpc.Server {
	set := s.Settings
	srv := grpc.NewServer(
		grpc.ConnectionTimeout(connectTimeout),
		grpc.MaxConcurrentStreams(uint32(set.MaxStreams)),
		grpc.MaxRecvMsgSize(set.MaxMessage),
		grpc.StaticStreamWindowSize(streamWindow), // a window that grows with the bandwidth would be memory without a bound
		grpc.StaticConnWindowSize(connWindow),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.WaitForHandlers(true),
		grpc.InTapHandle(s.admit),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: maxConnectionIdle,
			Time:              time.Duration(set.KeepaliveTime),
			Timeout:           time.Duration(set.KeepaliveWait),
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	extprocv3.RegisterExternalProcessorServer(srv, s)
	if set.Health {
		healthv1.RegisterHealthServer(srv, &readiness{Server: health.NewServer(), engine: s.Engine})
	}
	if set.Reflection {
		reflection.Register(srv)
	}
	return srv
}

// Process handles one stream. gRPC calls it in a goroutine of its own.
func (s *Server) Process(g extprocv3.ExternalProcessor_ProcessServer) error {
	if !s.acquireStreamSlot() { // admit may have let several in for the last slot
		return s.tooMany()
	}
	defer s.openStreams.Add(-1)
	b, ok := g.Context().Value(cancellableContextKey{}).(*cancellableContext)
	if !ok {
		return status.Error(codes.Internal, "the stream can't be broken")
	}
	st := &stream{server: s, ctx: g.Context(), verdicts: make(chan verdict, maxVerdicts)}
	st.expiry = time.AfterFunc(time.Duration(s.Settings.FirstMessage), b.cancel)
	defer st.expiry.Stop()
	err := st.run(g)
	st.close(err)
	if st.hasDuplexSlot {
		s.duplexStreams.Add(-1)
	}
	switch {
	case st.call != nil && !st.isHandedOver.Load() && !st.isSettled: // without an error the proxy would go on as if it had a decision
		return status.Error(codes.Unavailable, "the stream ended before the decision")
	case err == nil || errors.Is(err, errStreamClosed):
		return nil
	}
	return err
}
