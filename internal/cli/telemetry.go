package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/settings"
	"appleledge/internal/telemetry"
)

// telemetryServer returns the downstream server of the section [telemetry], which must be set. During a hot restart the
// other process may still have the address; it then listens as soon as that is free.
func telemetryServer(f settings.File) agent.DownstreamServer {
	return agent.DownstreamServer{Name: "telemetry", Descriptors: telemetry.MaxDescriptors, Open: func(c agent.Core) (func(context.Context) error, error) {
		l, err := net.Listen("tcp", f.Telemetry.Listen)
		taken := errors.Is(err, syscall.EADDRINUSE) && c.HasSibling() // by the process that this one replaces
		if err != nil && !taken {
			return nil, fmt.Errorf("%s: %w", f.Position("telemetry.listen"), err)
		}
		c.Engine.TrackLatency(c.Site.Balancer.Classes)
		s := &telemetry.Server{Engine: c.Engine, Pool: c.Pool, Gossip: c.GossipStatus, Overload: c.OverloadStatus, ClientCloses: c.ClientCloses, PacedCount: c.PacedCount, Log: c.Log}
		return func(ctx context.Context) error {
			if taken {
				if l = listenLater(ctx, f.Telemetry.Listen); l == nil {
					return nil
				}
			}
			return s.Serve(ctx, l)
		}, nil
	}}
}

// listenRetryInterval is the time between two attempts to listen while another process has the address.
const listenRetryInterval = 100 * time.Millisecond

// listenLater listens as soon as the address is free. It blocks until then, and returns nil if the context ends first.
func listenLater(ctx context.Context, addr string) net.Listener {
	for ctx.Err() == nil {
		if l, err := net.Listen("tcp", addr); err == nil {
			return l
		}
		select {
		case <-ctx.Done():
		case <-time.After(listenRetryInterval):
		}
	}
	return nil
}
