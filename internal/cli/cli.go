// Package cli is what the agent's commands have in common: flags, signals, limits of the process, and reading the platform's
// configuration and the agent's settings. What a command supports beyond that it says by its Extras.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/settings"
)

// heapRatio is the part of the memory limit that is the Go runtime's limit; sockets and files need the rest.
const heapRatio = 0.6

// Extras returns the features that the settings switch on in a command. An error means that a section asks for what the
// command does not support, or is invalid; the command then does not start.
type Extras func(settings.File) (agent.Features, error)

const usage = `%[1]s is a client-side load balancer agent. It takes HTTP/1.1 requests where PROXY_LISTEN says and sends
each to one of the backends that discovery names.

    PROXY_CONFIG=FILE %[1]s [-settings FILE]

PROXY_CONFIG names the platform's JSON configuration; PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_OPERATOR go before
what it says. SIGTERM drains and ends; SIGHUP reads the files again: discovery, classes and the number of attempts change in
force, and a file that can't be used changes nothing. GET /ready answers 200 once there are backends to send to.

Where PROXY_OPERATOR says, operators ask for readiness and figures and take servers out and back:

    curl http://ADDRESS/ops/readiness
    curl http://ADDRESS/ops/stats
    curl -X PUT http://ADDRESS/ops/backends/down/ID          (and .../up/ID)

A second process with another PROXY_OPERATOR takes the clients' socket over from the first, which SIGTERM ends then
(docs/operators/daily-operation.md).

`

// Main runs a command until a signal ends it. It exits the process with status 1 if the command could not start or failed.
func Main(name string, extras Extras) {
	if err := run(name, os.Args[1:], extras); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// run reads flags, configuration and settings, sets the limits of the process and runs the agent until SIGTERM.
func run(name string, args []string, extras Extras) error {
	reloadSignals := make(chan os.Signal, 1) // one pending signal is enough: the files are read after it
	signal.Notify(reloadSignals, syscall.SIGHUP)
	path, err := parseFlags(name, args, os.Stderr)
	if err != nil {
		return err
	}
	cfg, err := agent.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("agent", cfg.Name)
	set, err := loadSettings(path)
	if err != nil {
		return err
	}
	features, err := extras(set)
	if err != nil {
		return err
	}
	addFeatures(&features, set)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	features.SetMemoryShare = func(part float64) { debug.SetMemoryLimit(int64(part * heapRatio * float64(cfg.MemoryMB<<20))) }
	features.SetMemoryShare(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := agent.Reloads{Signals: reloadSignals, Load: func() (agent.Config, error) {
		logSettingsChange(path, set, log)
		return agent.ReloadConfig(os.Getenv)
	}}
	return agent.Run(ctx, cfg, reloads, log, features)
}

// addFeatures adds what the sections switch on in every command: all but those that Extras handles.
func addFeatures(features *agent.Features, set settings.File) {
	features.Coalescing = coalescingOptions(set)
	if set.Telemetry != nil {
		features.DownstreamServers = append(features.DownstreamServers, telemetryServer(set))
	}
	if s := set.Figures; s != nil {
		features.StatsLogInterval = time.Duration(s.Every)
	}
	if s := set.Repeats; s != nil {
		features.ConfirmedRepeatsOnly, features.AllowUnconfirmedRepeats = s.ConfirmedOnly, set.AllowsUnconfirmedRepeats()
	}
	if s := set.Storm; s != nil {
		features.Admission = &agent.AdmissionOptions{MaxRemembered: s.Remember, LogInterval: time.Duration(s.LogEvery)}
	}
	if s := set.Affinity; s != nil {
		features.Affinity = &agent.AffinityOptions{Dir: s.Dir, Sync: s.Sync, MaxBindings: s.Most, LateRetryPeriod: time.Duration(s.Tail), CommitTimeout: time.Duration(s.Budget)}
	}
	if s := set.Peers; s != nil {
		features.Gossip = &agent.GossipOptions{Listen: s.Listen, Members: s.Members, KeyFile: s.KeyFile, ProbeInterval: time.Duration(s.Period), PeerPollTime: time.Duration(s.AskFor)}
	}
	if s := set.Overload; s != nil {
		features.Overload = &agent.OverloadOptions{MaxRemembered: s.Remember, LogInterval: time.Duration(s.LogEvery)}
	}
	if s := set.Recovery; s != nil {
		features.Recovery = &agent.RecoveryOptions{Dir: s.Dir, BootIDFile: s.RunFile, WriteInterval: time.Duration(s.Every), FirstListTimeout: time.Duration(s.ListWait),
			LogInterval: time.Duration(s.LogEvery)}
	}
	if s := set.Generations; s != nil {
		features.Generations = &agent.GenerationOptions{Socket: s.Socket, StateFile: s.State}
	}
}

// parseFlags parses the arguments; usage and errors go to out.
func parseFlags(name string, args []string, out io.Writer) (settingsPath string, err error) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		fmt.Fprintf(out, usage, name)
		flags.PrintDefaults()
	}
	flags.StringVar(&settingsPath, "settings", "", "the agent's own settings, a TOML `file` such as deploy/appleledge.toml;\n"+
		"each section switches something on, and without the file all is off")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	if flags.NArg() > 0 {
		return "", fmt.Errorf("%q is no flag; see %s -h", flags.Arg(0), name)
	}
	return settingsPath, nil
}

// loadSettings reads the settings; without a path all sections are off.
func loadSettings(path string) (settings.File, error) {
	if path == "" {
		return settings.File{}, nil
	}
	return settings.Load(path)
}

// logSettingsChange reads the settings again on SIGHUP and logs an error in them, or that a change waits for the next start.
// The agent keeps the settings that it has.
func logSettingsChange(path string, old settings.File, log *slog.Logger) {
	fresh, err := loadSettings(path)
	switch {
	case err != nil:
		log.Error("settings not reloaded, keeping the old ones", "error", err)
	case !fresh.Equal(old):
		log.Warn("the settings file has changed, which takes effect at the next start only")
	}
}
