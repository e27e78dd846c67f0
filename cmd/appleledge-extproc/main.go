// Command appleledge-extproc is the agent with what needs gRPC: the front that other proxies call (Envoy's external
// processor), and members from a control plane (xDS). Without a section of its settings that asks for these it is the same
// as appleledge, but for the memory that gRPC takes.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"google.golang.org/grpc/grpclog"

	"appleledge/internal/agent"
	"appleledge/internal/cli"
	"appleledge/internal/downstream/extproc"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/xds"
	"appleledge/internal/settings"
	"appleledge/internal/simwire"
)

func main() {
	// gRPC logs what peers do wrong, line by line: a rude one could flood the log.
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	cli.Main("appleledge-extproc", extras)
}

func extras(f settings.File) (agent.Features, error) {
	with, err := cli.Membership(f, func(string) (agent.Source, error) { return controlPlane(f.Membership.XDS), nil })
	if f.ExternalProcessor != nil {
		with.DownstreamServers = append(with.DownstreamServers, processor(f, *f.ExternalProcessor))
	}
	return with, err
}

// controlPlane is the membership source of xDS, the one that package program does not hold.
func controlPlane(set settings.XDS) agent.Source {
	return agent.Source{Name: settings.SourceXDS, Descriptors: 2, Open: func(c engine.Clock, site simwire.Site, log *slog.Logger) membership.Source {
		return xds.New(xds.Options{
			Server:              set.Server,
			NodeID:              cmp.Or(set.Node, os.Getenv("PROXY_NAME"), "appleledge"),
			NodeCluster:         set.NodeCluster,
			Incremental:         set.Delta,
			Clusters:            set.Clusters,
			MaxClusters:         set.Subset,
			AgentIndex:          site.Balancer.Index,
			Zones:               site.Zones,
			InitialFetchTimeout: time.Duration(set.FirstFetch),
			MinBackoff:          time.Duration(set.BackoffLeast),
			MaxBackoff:          time.Duration(set.BackoffMost),
			KeepaliveInterval:   time.Duration(set.Keepalive),
			MaxMessageBytes:     set.MaxMessage,
			LogInterval:         time.Duration(set.LogEvery),
		}, c, log)
	}}
}

func processor(f settings.File, set settings.ExternalProcessor) agent.DownstreamServer {
	return agent.DownstreamServer{
		Name:        "external processor",
		Descriptors: set.MaxConnections + 1,
		Open: func(c agent.Core) (func(context.Context) error, error) {
			l, err := net.Listen("tcp", set.Listen)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.Position("external_processor.listen"), err)
			}
			s := extproc.New(extproc.Options{Settings: set, Engine: c.Engine, Clock: c.Clock, Rules: c.Rules, Pool: c.Pool,
				ReportFields: c.Site.ReportFields, MaxDeadline: c.MaxDeadline, Log: c.Log})
			return func(ctx context.Context) error { return s.Serve(ctx, l) }, nil
		},
	}
}
