// Command appleledge is the client-side load balancer agent that runs beside each calling application.
package main

import (
	"fmt"

	"appleledge/internal/agent"
	"appleledge/internal/program"
	"appleledge/internal/settings"
)

func main() { program.Main("appleledge", fronts) }

// fronts refuses what this command does not hold: merely to link gRPC takes 8 MB, and an agent may have 32.
func fronts(f settings.File) ([]agent.Front, error) {
	if f.ExternalProcessor != nil {
		return nil, fmt.Errorf("%s: the external processor is not a part of this command; run appleledge-extproc in its place",
			f.Where("external_processor"))
	}
	return nil, nil
}
