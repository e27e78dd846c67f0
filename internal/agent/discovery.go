package agent

import (
	"context"
	"log/slog"
	"slices"

	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
	"appleledge/internal/membership/platform"
	"appleledge/internal/simwire"
)

// openDiscovery builds the sources of endpoint lists and the hub that merges them for the engine.
func (a *assembly) openDiscovery() error {
	options := platform.Options{
		Addr:             a.cfg.Discovery,
		Zones:            a.cfg.Site.Zones,
		CachedList:       a.snapshots.startupList(a.cfg.cachedList),
		FirstListTimeout: a.snapshots.firstListTimeout(),
		OnDemand:         a.cfg.Site.Balancer.Subscribe,
		MaxOpenCalls:     openDiscoveryCalls(a.cfg.Sockets),
	}
	if link := a.features.hotRestart; link != nil && a.snapshots.isSameBoot() {
		if stored := link.StoredEndpointList(); stored != nil { // what the agent was told last
			options.CachedList = listing.List{Version: stored.Version, Full: true, Servers: stored.Servers}
			options.CachedListOrigin = stored.Origin
		}
	}
	if a.features.Recovery != nil {
		options.UsesServerClock = true
		options.AgentCount = a.cfg.Site.Balancer.Balancers
	}
	a.discovery = platform.New(options, a.clock, a.log)
	a.engine.OnSubscribe(a.discovery.Subscribe)
	if link := a.features.hotRestart; link != nil {
		a.discovery.OnTold(link.ShareEndpoints)
		for _, list := range link.InheritedEndpointLists() {
			a.discovery.Offer(list)
		}
	}
	sources, names := a.features.openSources(a.discovery, a.clock, a.cfg.Site, a.log)
	hub := membership.NewHub(a.features.Membership, names, a.clock, a.engine.Post, a.log)
	if a.snapshots != nil {
		a.snapshots.listVersion = hub.ListVersion
	}
	if platformSource := slices.Index(names, Platform); platformSource >= 0 {
		a.platformEndpoints = func() []engine.Member { return hub.Members(platformSource) }
	}
	a.components.add(untilAnswered, hub.Run)
	for i, source := range sources {
		a.components.add(untilAnswered, func(ctx context.Context) { source.Run(ctx, hub.Sink(i)) })
	}
	return nil
}

// openSources builds the sources in their order of preference, the platform's list among them.
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

// listIsCurrent returns a function that reports whether the list in use was received by this process, and not kept from
// an earlier one. Sources other than the platform's never hand over a kept list.
func (x Features) listIsCurrent(discovery *platform.Discovery) func() bool {
	if len(x.Sources) > 0 && x.Sources[0].Name != Platform {
		return func() bool { return true }
	}
	return discovery.HasAnswered
}
