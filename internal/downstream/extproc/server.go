// Package extproc is the front that other proxies call: Envoy's external processor, envoy.service.ext_proc.v3. A proxy
// opens a stream for each request and is told where the request goes; it carries the traffic itself and tells how it
// ended. The choice is stated as the endpoint picker protocol of the Gateway API's inference extension has it
// (docs/proposals/004-endpoint-picker-protocol there).
//
// A stream is one try of a request. A proxy's retry comes as another stream under the same X-Request-ID and is the same
// request to the engine, which lets the module decide whether there is another attempt.
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
	"google.golang.org/grpc/tap"

	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/platformconfig"
	"appleledge/internal/settings"
	"appleledge/internal/upstream/connpool"
)

const (
	sendTimeout        = 2 * time.Second // for a message that the proxy does not take
	duplexShareDivisor = 8               // one of so many streams may have bodies that come back: they hold most memory
	connectTimeout     = 3 * time.Second // for the HTTP/2 preface of a new connection
	maxConnectionIdle  = time.Minute     // a connection with no stream is closed, so that idle ones don't keep out others
	maxHeaderList      = 16 << 10        // of a stream's own HTTP/2 headers
	streamWindow       = 64 << 10        // what a proxy may send on a stream ahead of its being read; gRPC takes no less
	connWindow         = 1 << 20         // and on all of a connection; what is not read waits on the streams
	defaultLinger      = 5 * time.Second
	drainMargin        = 50 * time.Millisecond // past the longest time that a client waits, as the platform's own front
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
	MaxDeadline  func() time.Duration // that any client waits: for so long a drain may take
	Log          *slog.Logger
}

// Server answers the streams of proxies.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	Options
	Counts        Counts
	openStreams   atomic.Int64 // open
	inFlight      atomic.Int64 // calls that the engine holds
	duplexStreams atomic.Int64 // streams with bodies that come back
	logOnce       logOnces

	metadata metadataCache
	linger   time.Duration // a stream may stay open for so long after its request's time is over
}

// onces are log lines that come once, however often their cause does: a rude peer must not flood the log.
type logOnces struct{ report, hint, served, unknown sync.Once }

// New returns a server. The engine remembers ended requests from then on, so that it must not run yet.
func New(o Options) *Server {
	o.Engine.SetOutcomeCache(o.Settings.RememberMost, time.Duration(o.Settings.Remember))
	return &Server{Options: o, linger: defaultLinger}
}

// Serve answers streams until the context ends, and then goes on with the open ones until they end or the longest time
// that a client waits has passed; proxies are told by GOAWAY to open no more.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := s.grpcServer()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(netutil.LimitListener(l, s.Settings.MaxConnections)) }()
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

// attrs are the counts for a log line, with the ended requests that were forgotten early: those could run once more.
func (s *Server) attrs(now Snapshot) []any {
	return append(now.attrs(), "forgotten_early", s.Engine.Stats().ForgottenEarly)
}

// drain sends GOAWAY and waits for the open streams. What is still open then is cut off.
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

func (s *Server) grpcServer() *grpc.Server {
	set := s.Settings
	srv := grpc.NewServer(
		grpc.ConnectionTimeout(connectTimeout),
		grpc.MaxConcurrentStreams(uint32(set.MaxStreams)),
		grpc.MaxRecvMsgSize(set.MaxMessage),
		grpc.StaticStreamWindowSize(streamWindow), // a window that grows with the line would be memory without a bound
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

// readiness is the health service: SERVING while there is a server to send to.
type readiness struct {
	*health.Server
	engine *engine.Engine
}

// Check answers for the whole server and for the processor's service alike.
func (r *readiness) Check(_ context.Context, req *healthv1.HealthCheckRequest) (*healthv1.HealthCheckResponse, error) {
	if name := req.GetService(); name != "" && name != extprocv3.ExternalProcessor_ServiceDesc.ServiceName {
		return nil, status.Error(codes.NotFound, "unknown service")
	}
	state := healthv1.HealthCheckResponse_NOT_SERVING
	if r.engine.Ready() {
		state = healthv1.HealthCheckResponse_SERVING
	}
	return &healthv1.HealthCheckResponse{Status: state}, nil
}

// breakable is the context of a stream that the server can break: gRPC ends a stream's own context only with the stream,
// so that a proxy which sends nothing, or takes nothing, could hold it for ever.
type cancellableContext struct {
	context.Context
	cancel context.CancelFunc
}

type cancellableContextKey struct{}

// Value finds the breakable context below those that gRPC puts round it.
func (b *cancellableContext) Value(key any) any {
	if key == (cancellableContextKey{}) {
		return b
	}
	return b.Context.Value(key)
}

// admit is asked about each stream before a goroutine is spent on it: it turns away what is too many, and makes the others
// breakable.
func (s *Server) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if s.openStreams.Load() >= int64(s.Settings.MaxOpen) && info.FullMethodName == processorMethod {
		return nil, s.tooMany()
	}
	ctx, cancel := context.WithCancel(ctx)
	return &cancellableContext{ctx, cancel}, nil
}

func (s *Server) tooMany() error {
	s.Counts.streamsRefused.Add(1)
	return status.Error(codes.ResourceExhausted, "too many streams are open")
}

// place takes one of the places for streams, if there is one.
func (s *Server) acquireStreamSlot() bool {
	for {
		n := s.openStreams.Load()
		if n >= int64(s.Settings.MaxOpen) {
			return false
		}
		if s.openStreams.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Process handles one stream.
func (s *Server) Process(g extprocv3.ExternalProcessor_ProcessServer) error {
	if !s.acquireStreamSlot() { // several may have been admitted to the last place
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
	case st.call != nil && !st.isHandedOver.Load() && !st.isSettled: // the proxy must not go on as if it had been told
		return status.Error(codes.Unavailable, "the stream ended before the decision")
	case err == nil || errors.Is(err, errStreamClosed):
		return nil
	}
	return err
}
