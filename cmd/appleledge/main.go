// Command appleledge is the client-side load balancer agent that runs beside each calling application.
package main

import (
	"fmt"

	"appleledge/internal/agent"
	"appleledge/internal/cli"
	"appleledge/internal/settings"
)

func main() { cli.Main("appleledge", extras) }

// extras refuses what this command does not hold: merely to link gRPC takes 8 MB, and an agent may have 32.
func extras(f settings.File) (with agent.Features, err error) {
	if f.ExternalProcessor != nil {
		return with, fmt.Errorf("%s: the external processor is not a part of this command; run appleledge-extproc in its place",
			f.Position("external_processor"))
	}
	return cli.Membership(f, func(name string) (agent.Source, error) {
		return agent.Source{}, fmt.Errorf("%s: the source %q is not a part of this command; run appleledge-extproc in its place",
			f.Position("membership.sources"), name)
	})
}
