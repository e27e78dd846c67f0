// Package agent puts a real agent together: the engine round the balancer, its downstream servers, upstream
// transport, endpoint discovery and optional features, as the platform's configuration and the agent's own settings say.
//
// Run opens all parts in a fixed order (see assembly.open), connects them to the engine, and only then starts their
// goroutines. Each part is a component: it is opened, runs until the context of its lifetime ends, and releases what it
// holds. A file of this package holds one part.
//
// The end of a process has two steps. With the signal the drain begins: listeners accept for a little longer, and
// components with the lifetime untilDrain end. When each accepted request has its final answer, the engine and all
// other components end, and Run returns.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/http1"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/eventlog"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/membership/platform"
	"appleledge/internal/memorybudget"
	"appleledge/internal/platformconfig"
	"appleledge/internal/upstream/connpool"
)

// Limits of file descriptors and connections.
const (
	reservedDescriptors    = 24 // for the listener, the runtime, files and idle connections to discovery
	minDiscoveryCalls      = 16 // that may be open at the same time, each with a connection
	maxDiscoveryCalls      = 64
	discoveryCallRatio     = 0.125 // of the descriptors
	minDescriptors         = 100   // a lower limit is taken for this one, as there is no point in running with fewer
	maxDescriptors         = 4096  // more are never used, whatever the limit allows
	backendConnectionRatio = 0.45  // of the connections are to backends, the others from clients

	idleSweepInterval = time.Second // between two searches for idle upstream connections to close
)

// Run serves until the context ends, then drains as the platform's restarts want it.
func Run(ctx context.Context, cfg Config, reloads Reloads, log *slog.Logger, features Features) error {
	if cfg.Operator != "" { // where operators call, they put new versions beside old ones
		link, err := joinSiblings(cfg, log)
		if err != nil {
			return fmt.Errorf("listening for clients: %w", err)
		}
		defer link.Close() // also where it never came to serving
		features.hotRestart = link
		return serve(ctx, cfg, reloads, link.Listener(), log, features)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return serve(ctx, cfg, reloads, listener, log, features)
}

// serve is Run on a listener that is open. It closes the listener.
func serve(ctx context.Context, cfg Config, reloads Reloads, listener net.Listener, log *slog.Logger, features Features) error {
	defer besteffort.Close(listener)
	a := &assembly{cfg: cfg, features: features, reloads: reloads, listener: listener, log: log}
	a.isDraining = func() bool { return ctx.Err() != nil }
	if err := a.open(); err != nil {
		return err
	}
	// The components outlive the signal to end: what is open is still answered.
	answered, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	draining, endEarly := context.WithCancel(ctx) // ends as well where serving fails without a signal
	defer endEarly()
	a.components.start(draining, answered, &running)
	return a.serveClients(ctx)
}

// assembly holds the parts of one running agent. All fields are set by open, before any goroutine of a component runs,
// and are not changed afterwards.
type assembly struct {
	cfg      Config
	features Features
	reloads  Reloads
	listener net.Listener // for clients
	log      *slog.Logger

	// isDraining reports whether the signal to end has come.
	isDraining func() bool

	clock                engine.Clock
	engine               *engine.Engine
	pool                 *connpool.Pool
	maxUpstreamConns     int
	maxClientConnections int

	discovery *platform.Discovery
	// platformEndpoints returns the endpoints that discovery has reported.
	platformEndpoints func() []engine.Member
	settings          *platformconfig.Settings
	rules             *requesthead.ActiveRules
	reloader          *reloader
	classUsers        *classUsers

	// Parts that are nil where their feature is off.
	snapshots   *snapshotStore
	gossip      *gossip.Node
	admission   recovery.Admitter
	overload    *overloadComponent
	coalescing  *coalescing
	largeBodies *http1.LargeBodies
	restart     *restartHost

	memory            *memorybudget.Budget
	clients           *connlimit.Listener
	downstreamServers []func(context.Context) // each serves and drains

	components components
}

// open opens all parts and connects them to the engine, which does not run yet. The order matters: the snapshot has the
// list to start with, gossip comes before the parts that use it, and recovery stands before the admission controller
// that is opened first.
func (a *assembly) open() error {
	steps := []func() error{
		a.openEngine,
		a.openSnapshots,
		a.openDiscovery,
		a.openRules,
		a.openGossip,
		a.openDownstreamServers,
		a.openCoalescing,
		a.openAffinity,
		a.openGenerations,
		a.openAdmission,
		a.connectGossip,
		a.openOverload,
		a.openRecovery,
		a.openReloads,
		a.openClients,
		a.openHotRestart,
		a.openOperators,
		a.openStats,
		a.openProcessWatch,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// openEngine builds the balancer, the connection pool and the engine round them.
func (a *assembly) openEngine() error {
	options := a.cfg.Site.Balancer
	options.ConfirmedRepeatsOnly = a.features.ConfirmedRepeatsOnly
	if options.AllowUnconfirmedRepeats = a.features.AllowUnconfirmedRepeats; options.AllowUnconfirmedRepeats {
		a.log.Warn("confirmed_only of [repeats] is false: what may have run is also sent again to servers that send no 100 (Continue), and may run twice there")
	}
	policy, err := balancer.New(options, a.cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	available := a.cfg.Sockets - a.features.descriptors() - a.cfg.operatorDescriptors() - openDiscoveryCalls(a.cfg.Sockets)
	a.maxUpstreamConns, a.maxClientConnections = splitConnections(available)
	a.maxClientConnections = min(a.maxClientConnections, memorybudget.MaxConnections(int64(a.cfg.MemoryMB)<<20))
	a.clock = engine.NewClock().WithOffset(a.features.ClockOffset)
	a.pool = connpool.New(a.cfg.Site.ConnectTimeout, a.cfg.Site.ConnectionIdleTimeout, a.maxUpstreamConns)
	a.engine = engine.New(policy, a.clock, a.pool, a.log)
	a.engine.SetRequestLog(eventlog.New(a.log))
	a.components.add(untilAnswered, a.engine.Run)
	a.components.add(untilAnswered, func(ctx context.Context) { callEvery(ctx, idleSweepInterval, a.pool.Sweep) })
	return nil
}

// openRules puts the rules in force by which requests are checked.
func (a *assembly) openRules() error {
	a.settings = platformconfig.New(a.cfg.Site)
	a.rules = &requesthead.ActiveRules{}
	a.rules.Replace(a.settings.RequestRules())
	return nil
}

// hasSibling reports whether another process of the agent runs.
func (a *assembly) hasSibling() bool {
	return a.features.hotRestart != nil && !a.features.hotRestart.IsAlone()
}

// openDiscoveryCalls returns how many calls to discovery may be open at the same time, by the limit on file descriptors.
func openDiscoveryCalls(limit int) int {
	return min(max(int(discoveryCallRatio*float64(limit)), minDiscoveryCalls), maxDiscoveryCalls)
}

// splitConnections returns how many connections there may be to backends and from clients, within a limit on file
// descriptors.
func splitConnections(limit int) (toBackends, fromClients int) {
	available := min(max(limit, minDescriptors), maxDescriptors) - reservedDescriptors
	toBackends = int(float64(available) * backendConnectionRatio)
	return toBackends, available - toBackends
}
