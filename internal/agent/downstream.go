package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"appleledge/internal/connlimit"
	downstreamhttp1 "appleledge/internal/downstream/http1"
	"appleledge/internal/eventlog"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/memorybudget"
	"appleledge/internal/platformconfig"
	upstreamhttp1 "appleledge/internal/upstream/http1"
)

// Times of a drain. New connections come for up to 0.4 s after the signal to end, and the platform kills the process
// 0.7 s after the longest deadline at the soonest, of which it counts 3 s (platformconfig.LameDuckDuration). The drain
// accepts for longer than the one and ends before the other.
const (
	drainAcceptDuration = 550 * time.Millisecond // after the signal, in which new connections are accepted
	drainMargin         = 50 * time.Millisecond  // after the longest deadline, at which the drain ends
)

// silentClientTimeout is after what time a client that has sent nothing may be closed to make room.
const silentClientTimeout = 500 * time.Millisecond

// minClientAge: a younger connection is not closed to make room, as its first request may be on its way.
const minClientAge = 20 * time.Millisecond

// openDownstreamServers builds the servers beside the platform's own port. Their listeners close when they have drained.
func (a *assembly) openDownstreamServers() error {
	core := Core{
		Engine:         a.engine,
		Clock:          a.clock,
		Rules:          a.rules,
		Pool:           a.pool,
		Site:           a.cfg.Site,
		MaxDeadline:    a.rules.MaxDeadline,
		GossipStatus:   statusOf(a.gossip),
		OverloadStatus: func() *overload.Status { return a.overload.statusOrNil() },
		PacedCount:     func() uint64 { return a.clients.PacedCount() },
		HasSibling:     a.hasSibling,
		ClientCloses:   func() connlimit.CloseCounts { return a.clients.CloseCounts() },
		Log:            a.log,
	}
	for _, server := range a.features.DownstreamServers {
		serve, err := server.Open(core)
		if err != nil {
			return fmt.Errorf("%s: %w", server.Name, err)
		}
		a.downstreamServers = append(a.downstreamServers, func(ctx context.Context) {
			if err := serve(ctx); err != nil { // the platform's own port goes on
				a.log.Error("a front has ended", "front", server.Name, "error", err)
			}
		})
	}
	return nil
}

// openClients prepares the listener of the platform's port. Where operators call, bodies may be large and connections
// are many, so that both get their limits there.
func (a *assembly) openClients() error {
	a.memory = memorybudget.New(memorybudget.SizeFor(int64(a.cfg.MemoryMB)<<20), downstreamhttp1.MaxBodyMemory)
	limits := connlimit.Options{MinAge: minClientAge, Cores: a.cfg.Cores, Events: eventlog.New(a.log)}
	if a.cfg.Operator != "" {
		a.largeBodies = downstreamhttp1.NewLargeBodies(a.memory)
		limits.FirstRequestTimeout = silentClientTimeout
	}
	a.listener = downstreamhttp1.CheckFraming(a.listener)
	a.clients = connlimit.New(a.listener, a.maxClientConnections, limits)
	return nil
}

// serveClients serves the platform's port and the servers beside it until the context ends and each request that was
// accepted by then has its answer.
func (a *assembly) serveClients(ctx context.Context) error {
	var malformedReport sync.Once
	transport := &upstreamhttp1.Transport{
		Pool:                    a.pool,
		Clock:                   a.clock,
		AllowsLargeBodies:       a.largeBodies != nil,
		ConfirmedRepeatsOnly:    a.features.ConfirmedRepeatsOnly,
		AllowUnconfirmedRepeats: a.features.AllowUnconfirmedRepeats,
		ReportFields:            a.cfg.Site.ReportFields,
		OnMalformedReport: func(err error) {
			malformedReport.Do(func() { a.log.Warn("passing over a malformed report; further ones are not logged", "error", err) })
		},
	}
	options := downstreamhttp1.Options{
		Rules:               a.rules,
		Engine:              a.engine,
		Clock:               a.clock,
		Transport:           transport,
		MaxInFlight:         a.maxRequestsInFlight(),
		DrainAcceptDuration: a.cfg.drainAcceptDuration,
		Memory:              a.memory,
		LargeBodies:         a.largeBodies,
		Log:                 a.log,
		RequestLog:          eventlog.New(a.log),
		Coalescing:          a.coalescing.downstreamOptions(),
	}
	if a.restart != nil {
		options.OnDrain = a.restart.onDrain
	}
	server := downstreamhttp1.New(options, a.clients)

	var others sync.WaitGroup
	defer others.Wait() // before the engine stops: what they accepted is still answered
	for _, serve := range a.downstreamServers {
		others.Go(func() { serve(ctx) })
	}
	return server.Serve(ctx, a.drainDurations)
}

// maxRequestsInFlight returns the platform's limit of requests in flight, or that of the memory where it is lower.
func (a *assembly) maxRequestsInFlight() int {
	most := memorybudget.MaxRequests(int64(a.cfg.MemoryMB) << 20)
	if a.cfg.Site.MaxInFlight > 0 {
		return min(a.cfg.Site.MaxInFlight, most)
	}
	return most
}

// drainDurations returns how long a drain usually lasts and how long it may last at most.
func (a *assembly) drainDurations() (usual, longest time.Duration) {
	longest = platformconfig.LameDuckDuration(a.rules.MaxDeadline()) + drainMargin
	if a.cfg.servesKeptConnections {
		return a.rules.LatencyObjective(), longest
	}
	return longest, longest
}
