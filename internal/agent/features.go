package agent

import (
	"context"
	"log/slog"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/atomicfile"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/fleet/overload"
	"appleledge/internal/hotrestart"
	"appleledge/internal/membership"
	"appleledge/internal/simwire"
	"appleledge/internal/upstream/connpool"
)

// Features are what the agent's own settings file switches on beside the platform's configuration. The zero value
// switches nothing on. A field that is nil, or 0, leaves its feature off.
type Features struct {
	DownstreamServers []DownstreamServer
	Sources           []Source // of endpoint lists, the preferred first; none: the platform's list alone
	Membership        membership.Options

	// Coalescing returns, for the classes of the platform's configuration, which requests are answered together. An error
	// is a setting that does not fit the classes.
	Coalescing func([]balancer.Class) (CoalescingOptions, error)

	Admission        *AdmissionOptions  // admission control by what this agent sees alone
	Overload         *OverloadOptions   // admission control by the whole fleet; needs Gossip
	Affinity         *AffinityOptions   // sticky bindings of idempotency keys to servers
	Gossip           *GossipOptions     // membership of the agents and what they tell each other
	Recovery         *RecoveryOptions   // snapshots on disk and the ramp after an outage
	Generations      *GenerationOptions // configurations that operators plan and apply
	StatsLogInterval time.Duration      // between two log lines with counters

	// ConfirmedRepeatsOnly: repeats by key are made only of what an answer shows to be read, and by this agent itself.
	ConfirmedRepeatsOnly bool
	// AllowUnconfirmedRepeats: repeats by key go also to servers that do not show that they read, and may run twice there.
	AllowUnconfirmedRepeats bool

	FS          atomicfile.FS // of snapshots and bindings; nil: the machine's
	ClockOffset time.Duration // added to the wall clock, for tests

	// SetMemoryShare limits the process to a share of the agent's memory, from 0 to 1, while another process of the agent
	// runs. It may be nil.
	SetMemoryShare func(share float64)

	hotRestart *hotrestart.Link // to other processes of the agent; nil where there can be none
}

// DownstreamServer is a way in for requests beside the platform's own port.
type DownstreamServer struct {
	Name        string
	Descriptors int // file descriptors that it needs

	// Open builds the server before the engine runs. The function that it returns serves until the context ends, and
	// drains then.
	Open func(Core) (serve func(context.Context) error, err error)
}

// Core is what a DownstreamServer may use of the agent. Its functions may be called from any goroutine.
type Core struct {
	Engine         *engine.Engine
	Clock          engine.Clock
	Rules          requesthead.Checker
	Pool           *connpool.Pool
	Site           simwire.Site
	MaxDeadline    func() time.Duration    // longest deadline of a request under the settings in force
	GossipStatus   func() *gossip.Status   // nil without Features.Gossip
	OverloadStatus func() *overload.Status // nil without Features.Overload
	ClientCloses   func() connlimit.CloseCounts
	PacedCount     func() uint64 // requests of connections at full speed that were paced
	HasSibling     func() bool   // another process of the agent runs, which may hold an address that this one needs
	Log            *slog.Logger
}

// Source is a way to discover endpoints.
type Source struct {
	Name        string
	Descriptors int // file descriptors that it needs

	// Open builds the source, which runs as long as the agent does. It is nil for the platform's list.
	Open func(engine.Clock, simwire.Site, *slog.Logger) membership.Source
}

// Platform is the name of the platform's own list as a Source. Without any other it is the only one.
const Platform = "platform"

// AdmissionOptions configure admission control by what this agent sees alone.
type AdmissionOptions struct {
	MaxRemembered int           // requests that were not served, remembered to recognize client retries
	LogInterval   time.Duration // between two log lines while the state is not normal
}

// CoalescingOptions say which requests are answered together.
type CoalescingOptions struct {
	Groups       coalesce.Options
	TenantsApart bool          // requests of two tenants are never coalesced
	LogInterval  time.Duration // between two log lines on what was coalesced
}

// descriptors returns how many file descriptors the features need.
func (x Features) descriptors() (n int) {
	for _, server := range x.DownstreamServers {
		n += server.Descriptors
	}
	for _, source := range x.Sources {
		n += source.Descriptors
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
