// Command appleledge-extproc is the agent with the front that other proxies call: Envoy's external processor. Without a
// section [external_processor] in its settings it is the same as appleledge, but for the memory that gRPC takes.
package main

import (
	"context"
	"fmt"
	"io"
	"net"

	"google.golang.org/grpc/grpclog"

	"appleledge/internal/agent"
	"appleledge/internal/extproc"
	"appleledge/internal/program"
	"appleledge/internal/settings"
)

func main() {
	// gRPC logs what peers do wrong, line by line: a rude one could flood the log.
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
	program.Main("appleledge-extproc", fronts)
}

func fronts(f settings.File) ([]agent.Front, error) {
	if f.ExternalProcessor == nil {
		return nil, nil
	}
	set := *f.ExternalProcessor
	return []agent.Front{{
		Name:    "external processor",
		Sockets: set.MaxConnections + 1,
		Open: func(c agent.Core) (func(context.Context) error, error) {
			l, err := net.Listen("tcp", set.Listen)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.Where("external_processor.listen"), err)
			}
			s := extproc.New(extproc.Options{Settings: set, Engine: c.Engine, Clock: c.Clock, Rules: c.Rules, Pool: c.Pool,
				ReportFields: c.Site.ReportFields, Longest: c.Longest, Log: c.Log})
			return func(ctx context.Context) error { return s.Serve(ctx, l) }, nil
		},
	}}, nil
}
