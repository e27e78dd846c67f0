// Command appleledge is the client-side load balancer agent that runs beside each calling application.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"appleledge/internal/agent"
)

// heapPart is how much of the memory limit the runtime may fill; sockets and files count too.
const heapPart = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "appleledge:", err)
		os.Exit(1)
	}
}

func run() error {
	hangups := make(chan os.Signal, 1) // one that waits is enough: the file is read after it
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := agent.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("agent", cfg.Name)
	reloads := agent.Reloads{Signals: hangups, Load: func() (agent.Config, error) { return agent.ReloadConfig(os.Getenv) }}
	return agent.Run(ctx, cfg, reloads, log)
}
