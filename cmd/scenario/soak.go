package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/scenario"
)

// runSoak plays days that are drawn from their seeds, and returns an error if one broke a rule.
func runSoak(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("scenario soak", flag.ContinueOnError)
	seeds := flags.Int("seeds", 1, "`number` of days")
	first := flags.Uint64("seed", 1, "`seed` of the first day; each further one has the next")
	lasts := flags.Duration("for", 30*time.Second, "`length` of a day")
	beside := flags.Int("beside", 0, "busy `processes` beside")
	program := flags.String("agent", "bin/appleledge", "the agent's `program`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 || *seeds < 1 || *lasts < 5*time.Second || *beside < 0 {
		return fmt.Errorf("soak takes flags alone: at least one seed, 5s or more, and no fewer than 0 processes beside")
	}
	for range *beside {
		end, err := startBusyProcess()
		if err != nil {
			return err
		}
		defer end()
	}
	red, err := scenario.Soak{FirstSeed: *first, Seeds: *seeds, Duration: *lasts, AgentProgram: *program, Out: os.Stdout,
		Command: func(seed uint64) string {
			return fmt.Sprintf("go run ./cmd/scenario soak --seeds 1 --seed %d --for %v --beside %d --agent %s", seed, *lasts, *beside, *program)
		}}.Run(ctx)
	if err != nil {
		return err
	}
	if red > 0 {
		return fmt.Errorf("%d of %d days broke a rule", red, *seeds)
	}
	return nil
}

// startBusyProcess starts a process that does nothing but use a processor. The function that it returns ends it.
func startBusyProcess() (end func(), err error) {
	cmd := exec.Command("sh", "-c", "while :; do :; done")
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("a busy process: %w", err)
	}
	return func() {
		besteffort.Ignore(cmd.Process.Kill())
		besteffort.Ignore(cmd.Wait())
	}, nil
}
