// Package agent puts a real agent together: the engine round the decision module, its fronts, carriers and fleet, as
// the platform's configuration wants them.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/atomicfile"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/coalesce"
	"appleledge/internal/connlimit"
	downstreamhttp1 "appleledge/internal/downstream/http1"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/hotrestart"
	"appleledge/internal/membership"
	"appleledge/internal/membership/platform"
	"appleledge/internal/platformconfig"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
	upstreamhttp1 "appleledge/internal/upstream/http1"
)

const (
	// New connections come for up to 0.4 s after the signal to end, and the platform kills 0.7 s after the longest
	// deadline at the soonest, of which it counts 3 s (terms.LameDuck). The drain accepts for longer than the one and ends before the other.
	drainAcceptDuration = 550 * time.Millisecond
	drainMargin         = 50 * time.Millisecond // past that deadline

	idleSweepInterval      = time.Second
	reservedDescriptors    = 24 // for the listener, discovery, the runtime and files
	backendConnectionRatio = 0.45
	silentClientTimeout    = 500 * time.Millisecond // for which a client may be silent before it makes room for others
	largeBodyMemoryDivisor = 4                      // of the memory limit, which large bodies may hold
	minDescriptors         = 100                    // with fewer there is no point in running
	maxDescriptors         = 4096                   // more are never needed, whatever the limit allows
)

// Core is what further fronts are built on.
type Core struct {
	Engine         *engine.Engine
	Clock          engine.Clock
	Rules          requesthead.Checker
	Pool           *connpool.Pool
	Site           simwire.Site
	MaxDeadline    func() time.Duration    // that any client waits, as the settings have it now
	GossipStatus   func() *gossip.Status   // how the other agents are seen; nil without [peers]
	OverloadStatus func() *overload.Status // how it is handled together; nil without [overload]
	HasSibling     func() bool             // another process of the agent lives, which may hold what this one needs
	Log            *slog.Logger
}

// DownstreamServer is a way in beside the platform's own.
type DownstreamServer struct {
	Name        string
	Descriptors int // descriptors that it needs
	// Open builds the front before the engine runs. What it returns serves until the context ends, and drains then.
	Open func(Core) (serve func(context.Context) error, err error)
}

// Source is a way to find out who the servers are.
type Source struct {
	Name        string
	Descriptors int // descriptors that it needs
	// Open builds the source, which runs as long as the agent does. It is nil of the platform's list.
	Open func(engine.Clock, simwire.Site, *slog.Logger) membership.Source
}

// Platform is the platform's own list as a Source. Without any other it is the only one.
const Platform = "platform"

// Features are what the agent's own settings switch on beside what the platform wants.
type Features struct {
	DownstreamServers []DownstreamServer
	Sources           []Source // the preferred first; none: the platform's list alone
	Membership        membership.Options
	// Coalescing says, for the classes of the platform's configuration, which requests are answered together; nil: none. An
	// error is a setting that does not fit them.
	Coalescing       func([]balancer.Class) (CoalescingOptions, error)
	Admission        *AdmissionOptions // nil: storms are not noticed
	Affinity         *AffinityOptions  // nil: where refunds go is not remembered
	StatsLogInterval time.Duration     // between two lines of the log with what is counted; 0: none
	FS               atomicfile.FS     // for what is kept; nil: the machine's
	ClockOffset      time.Duration     // of the wall clock, for tests: a loss of power may leave it anywhere
	Gossip           *GossipOptions    // nil: the agent knows of no other
	Overload         *OverloadOptions  // nil: overload is handled alone
	Recovery         *RecoveryOptions  // nil: nothing is kept over a loss of power, and service returns by no plan
	// GenerationOptions are configurations of the fleet that operators plan and apply; nil: none is in force.
	Generations *GenerationOptions
	// SetMemoryShare limits the process to a part of the agent's memory, while another process of the agent runs; nil: nothing does.
	SetMemoryShare func(part float64)

	hotRestart *hotrestart.Link // to other processes of the agent; nil where there can be none
}

// AdmissionOptions says how retry storms are noticed.
type AdmissionOptions struct {
	MaxRemembered int           // requests that were not served, to know their repeats by
	LogInterval   time.Duration // between two lines while it is not calm
}

// CoalescingOptions says which requests are answered together.
type CoalescingOptions struct {
	Groups       coalesce.Options
	TenantsApart bool          // those of two tenants never are
	LogInterval  time.Duration // between two lines on what was joined
}

func (x Features) descriptors() (n int) {
	for _, f := range x.DownstreamServers {
		n += f.Descriptors
	}
	for _, s := range x.Sources {
		n += s.Descriptors
	}
	if x.Generations != nil {
		n += admin.MaxDescriptors
	}
	if x.Affinity != nil {
		n += affinityDescriptors
	}
	if x.Recovery != nil {
		n += recoveryDescriptors
	}
	if x.Gossip != nil {
		n += gossipDescriptors
	}
	return n
}

// Run serves until the context ends, then drains as the platform's restarts want it.
func Run(ctx context.Context, cfg Config, reloads Reloads, log *slog.Logger, with Features) error {
	if cfg.Operator != "" { // where operators call, they put new versions beside old ones
		link, err := joinSiblings(cfg, log)
		if err != nil {
			return fmt.Errorf("listening for clients: %w", err)
		}
		defer link.Close() // also where it never came to serving
		with.hotRestart = link
		return serve(ctx, cfg, reloads, link.Listener(), log, with)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return serve(ctx, cfg, reloads, listener, log, with)
}

// serve is Run on a listener that is open.
func serve(ctx context.Context, cfg Config, reloads Reloads, listener net.Listener, log *slog.Logger, with Features) error {
	defer besteffort.Close(listener)
	policy, err := balancer.New(cfg.Site.Balancer, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// The parts outlive the signal to end: what is open is still answered.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	leaving, left := context.WithCancel(ctx) // from the beginning of the drain on, or where it never comes to serving
	defer left()

	toBackends, fromClients := splitConnections(cfg.Sockets - with.descriptors() - cfg.operatorDescriptors())
	clk := engine.NewClock().WithOffset(with.ClockOffset)
	conns := connpool.New(cfg.Site.ConnectTimeout, cfg.Site.ConnectionIdleTimeout, toBackends)
	core := engine.New(policy, clk, conns, log)
	keep, err := with.openSnapshotStore(cfg, clk, log)
	if err != nil {
		return err
	}
	seek := platform.Options{Addr: cfg.Discovery, Zones: cfg.Site.Zones, CachedList: keep.startupList(cfg.cachedList), FirstListTimeout: keep.firstListTimeout(),
		OnDemand: cfg.Site.Balancer.Subscribe}
	if with.Recovery != nil {
		seek.UsesServerClock, seek.AgentCount = true, cfg.Site.Balancer.Balancers
	}
	disco := platform.New(seek, clk, log)
	core.OnSubscribe(disco.Subscribe)
	sources, names := with.openSources(disco, clk, cfg.Site, log)
	hub := membership.NewHub(with.Membership, names, clk, core.Post, log)
	settled, rules := platformconfig.New(cfg.Site), &requesthead.ActiveRules{}
	rules.Replace(settled.RequestRules())
	others, err := with.openGossip(cfg, clk, log)
	if err != nil {
		return err
	}
	var together *overloadComponent // opened below
	beside, err := openDownstreamServers(with.DownstreamServers, Core{Engine: core, GossipStatus: statusOf(others), OverloadStatus: func() *overload.Status { return together.statusOrNil() }, Clock: clk, Rules: rules, Pool: conns, Site: cfg.Site,
		MaxDeadline: rules.MaxDeadline, HasSibling: func() bool { return with.hotRestart != nil && !with.hotRestart.IsAlone() }, Log: log})
	if err != nil {
		return err
	}
	joined, err := with.openCoalescing(core, cfg.Site.Balancer)
	if err != nil {
		return err
	}
	tying, err := with.openAffinity(core, clk, cfg, log)
	if err != nil {
		return err
	}
	own := newClassUsers(cfg.Site, with.Coalescing)
	own.coalescing = joined
	governed, err := with.openGenerations(core, clk, cfg, own, log)
	if err != nil {
		return err
	}
	if tying != nil {
		parts.Go(func() { tying.run(core.Done()) })
		parts.Go(func() { tying.readSiblings(inner) })
	}
	if governed != nil {
		parts.Go(func() { governed.run(ctx, core.Done(), log) })
	}
	var door recovery.Admitter
	if with.Admission != nil {
		door = newAdmissionController(cfg, *with.Admission)
		core.SetAdmission(door)
		parts.Go(func() { logAdmission(inner, core, clk, with.Admission.LogInterval, log) })
	}
	var rekey func() error
	if others != nil {
		core.SetGossip(with.listIsCurrent(disco), others.Broadcast)
		parts.Go(func() { others.Run(leaving, core) })
		rekey = func() error { return others.ReloadKeys(with.Gossip.KeyFile) }
	}
	together = with.openOverload(core, cfg, log)
	if together != nil {
		door = together.admission
		if err := together.attach(others); err != nil {
			return err
		}
		parts.Go(func() { together.sendPayloads(leaving, others) })
		parts.Go(func() { together.logChanges(inner, clk) })
	}
	if keep != nil {
		keep.openRecovery(core, clk, cfg, door, with.listIsCurrent(disco), with.peerPollTime())
	}
	core.SetClassNames(cfg.Site.Balancer.Classes)
	reloading := reloader{clock: clk, core: core, discovery: disco, settings: settled, rules: rules, statedKeys: cfg.statedKeys, classUsers: own, reloadKeys: rekey, log: log}
	var large *downstreamhttp1.LargeBodies
	var crowd connlimit.Options
	if cfg.Operator != "" { // the days on which operators call are those on which bodies are large
		large = downstreamhttp1.NewLargeBodies(int64(cfg.MemoryMB<<20) / largeBodyMemoryDivisor)
		listener = large.TrackFraming(listener)
		crowd.FirstRequestTimeout = silentClientTimeout
	}
	clients := connlimit.New(listener, fromClients, crowd)
	ready := func() bool { return core.Ready() && ctx.Err() == nil }
	var twin *restartHost
	if with.hotRestart != nil {
		twin = &restartHost{link: with.hotRestart, core: core, clock: clk, pool: conns, clients: clients, toBackends: toBackends, largeBodies: large,
			fromClients: fromClients, setMemoryShare: with.SetMemoryShare, snapshots: keep}
		ready = func() bool { return core.Ready() && ctx.Err() == nil && twin.serving.Load() }
	}
	operators, err := openOperatorServer(cfg, operatedAgent{core: core, reloads: &reloading.counts, link: with.hotRestart, ready: ready, snapshots: keep,
		fleetView: fleetView{cfg.Name, core, clk, keep, others, together}.handler()}, clk, log)
	if err != nil {
		return err
	}
	if with.StatsLogInterval > 0 {
		core.TrackLatency(cfg.Site.Balancer.Classes)
		look := statSources{core, conns, disco}
		parts.Go(func() { look.logEvery(inner, with.StatsLogInterval, log) })
	}
	if keep != nil {
		parts.Go(func() { keep.run(leaving) })
		parts.Go(func() { keep.logRecovery(inner, clk) })
	}
	parts.Go(func() { core.Run(inner) })
	if joined != nil {
		parts.Go(func() { logCoalescing(inner, core, joined.logInterval, log) })
	}
	parts.Go(func() { callEvery(inner, idleSweepInterval, conns.Sweep) })
	parts.Go(func() { hub.Run(inner) })
	for i, source := range sources {
		parts.Go(func() { source.Run(inner, hub.Sink(i)) })
	}
	parts.Go(func() { reloads.follow(inner, &reloading) })
	var leave func() bool
	if twin != nil {
		leave = twin.onDrain
		parts.Go(func() { with.hotRestart.Run(inner, twin) })
		parts.Go(func() { twin.becomeReady(inner, disco, log) })
	}
	if operators != nil {
		parts.Go(func() {
			if err := operators(inner); err != nil { // clients are served all the same
				log.Error("operators can't call any more", "error", err)
			}
		})
	}

	var badReport sync.Once
	front := downstreamhttp1.New(downstreamhttp1.Options{
		Rules:  rules,
		Engine: core,
		Clock:  clk,
		Transport: &upstreamhttp1.Transport{Pool: conns, Clock: clk, AllowsLargeBodies: large != nil, ReportFields: cfg.Site.ReportFields, OnMalformedReport: func(err error) {
			badReport.Do(func() { log.Warn("passing over a malformed report; further ones are not logged", "error", err) })
		}},
		MaxInFlight:         cfg.Site.MaxInFlight,
		DrainAcceptDuration: cfg.drainAcceptDuration,
		OnDrain:             leave,
		LargeBodies:         large,
		Log:                 log,
		Coalescing:          joined.downstreamOptions(),
	}, clients)
	var fronts sync.WaitGroup
	defer fronts.Wait() // before the engine stops: what they hold is still answered
	for i, serveFront := range beside {
		fronts.Go(func() {
			if err := serveFront(ctx); err != nil { // the platform's own front goes on
				log.Error("a front has ended", "front", with.DownstreamServers[i].Name, "error", err)
			}
		})
	}
	return front.Serve(ctx, func() (usually, longest time.Duration) {
		if longest = platformconfig.LameDuckDuration(rules.MaxDeadline()) + drainMargin; cfg.servesKeptConnections {
			return rules.LatencyObjective(), longest
		}
		return longest, longest
	})
}

// heard says whether the list is one of now: a source other than the platform's tells nothing from before.
func (x Features) listIsCurrent(disco *platform.Discovery) func() bool {
	if len(x.Sources) > 0 && x.Sources[0].Name != Platform {
		return func() bool { return true }
	}
	return disco.HasAnswered
}

// open opens the sources of members, the platform's list among them.
func (x Features) openSources(platform membership.Source, c engine.Clock, site simwire.Site, log *slog.Logger) (sources []membership.Source, names []string) {
	if len(x.Sources) == 0 {
		return []membership.Source{platform}, []string{Platform}
	}
	for _, s := range x.Sources {
		source := platform
		if s.Open != nil {
			source = s.Open(c, site, log)
		}
		sources, names = append(sources, source), append(names, s.Name)
	}
	return sources, names
}

// open opens the fronts beside the platform's own. Their listeners close when they have served, or with the process.
func openDownstreamServers(fronts []DownstreamServer, core Core) (serves []func(context.Context) error, err error) {
	for _, f := range fronts {
		serveFront, err := f.Open(core)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		serves = append(serves, serveFront)
	}
	return serves, nil
}

// splitConnections says how many connections to backends and from clients there may be, within a limit on descriptors.
func splitConnections(limit int) (toBackends, fromClients int) {
	room := min(max(limit, minDescriptors), maxDescriptors) - reservedDescriptors
	toBackends = int(float64(room) * backendConnectionRatio)
	return toBackends, room - toBackends
}

// every calls f at intervals until the context ends.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
