package agent

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/connlimit"
	"appleledge/internal/denylist"
	"appleledge/internal/engine"
	"appleledge/internal/hotrestart"
	"appleledge/internal/membership/listing"
	"appleledge/internal/membership/platform"
	"appleledge/internal/memorybudget"
	"appleledge/internal/upstream/connpool"
)

const (
	readyPoll = 5 * time.Millisecond // between two looks whether the process is ready
	// discoveryTimeout is how long a process that starts beside another one waits for discovery itself. Then the list that it
	// started with has to do, as the platform waits for its yes for 6 s at most.
	discoveryTimeout = 3 * time.Second
)

// openHotRestart prepares the process for others of the same agent, where there can be any.
func (a *assembly) openHotRestart() error {
	link := a.features.hotRestart
	if link == nil {
		return nil
	}
	a.restart = &restartHost{link: link, core: a.engine, clock: a.clock, pool: a.pool, clients: a.clients, memory: a.memory,
		toBackends: a.maxUpstreamConns, fromClients: a.maxClientConnections, setMemoryShare: a.features.SetMemoryShare, snapshots: a.snapshots,
		discovery: a.discovery, endpoints: a.platformEndpoints, decoder: listing.Decoder{Zones: a.cfg.Site.Zones, Clock: a.clock}}
	a.components.add(untilAnswered, func(ctx context.Context) { link.Run(ctx, a.restart) })
	a.engine.SetIDClaims(linkedIDs{link})
	a.components.add(untilAnswered, func(ctx context.Context) { a.restart.becomeReady(ctx, a.discovery, a.log) })
	return nil
}

// joinSiblings opens the listener for clients, or receives it from a process of the same agent that runs already.
func joinSiblings(cfg Config, log *slog.Logger) (*hotrestart.Link, error) {
	return hotrestart.Join(os.TempDir(), cfg.Name+" "+cfg.Listen, func() (net.Listener, error) { return listenShared(cfg.Listen) }, log)
}

// listenShared listens on an address at which other processes may listen as well, where the socket itself can't be handed over.
func listenShared(addr string) (net.Listener, error) {
	share := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if failed := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); failed != nil {
			return failed
		}
		return err
	}}
	return share.Listen(context.Background(), "tcp", addr)
}

// restartHost is this process among others of the same agent. It implements hotrestart.Host.
type restartHost struct {
	link                    *hotrestart.Link
	core                    *engine.Engine
	clock                   engine.Clock
	pool                    *connpool.Pool
	clients                 *connlimit.Listener
	memory                  *memorybudget.Budget
	toBackends, fromClients int                // connections of the whole agent
	setMemoryShare          func(part float64) // limits the process to a part of the agent's memory; nil: nothing does
	snapshots               *snapshotStore     // nil without Features.Recovery
	discovery               *platform.Discovery
	endpoints               func() []engine.Member // that discovery has reported
	decoder                 listing.Decoder        // which writes these
	serving                 atomic.Bool
}

// DenylistSnapshot implements hotrestart.Host.
func (h *restartHost) DenylistSnapshot(ctx context.Context) (st denylist.Snapshot, err error) {
	err = h.core.WithDenylist(ctx, func(_ time.Duration, s *denylist.Set) error {
		st = s.Snapshot(func(t time.Duration) int64 { return h.clock.At(t).UnixMilli() })
		return nil
	})
	return st, err
}

// ApplyCommand implements hotrestart.Host. The other process may know of a server that this one has not been told of yet.
func (h *restartHost) ApplyCommand(ctx context.Context, o hotrestart.DenylistCommand) error {
	if err := h.core.WithDenylist(ctx, func(_ time.Duration, s *denylist.Set) error {
		s.Restore(denylist.Snapshot{KnownIDs: []string{o.Server}}, h.clock.FromUnix)
		return nil
	}); err != nil {
		return err
	}
	err := setDenied(ctx, h.core, o.Server, o.Deny)
	if err == nil && h.snapshots != nil {
		h.snapshots.writeAndLog(ctx)
	}
	return err
}

// EndpointList implements hotrestart.Host.
func (h *restartHost) EndpointList() *listing.Told {
	delivered, ok := h.discovery.Delivered() // first: a list that is older than its origin would never be told of what it lacks
	if !ok {
		return nil
	}
	decoder := h.decoder
	decoder.ClockOffset = delivered.ClockOffset
	list := &listing.Told{Origin: delivered.Origin}
	for _, m := range h.endpoints() {
		list.Servers = append(list.Servers, decoder.Encode(m))
	}
	return list
}

// LearnEndpointList implements hotrestart.Host.
func (h *restartHost) LearnEndpointList(t listing.Told) { h.discovery.Offer(t) }

// PeersEnded implements hotrestart.Host.
func (h *restartHost) PeersEnded() { h.discovery.SiblingsEnded() }

// UsedIDs implements hotrestart.Host.
func (h *restartHost) UsedIDs(ctx context.Context) ([]uint64, error) {
	digests, err := h.core.UsedIDs(ctx)
	ids := make([]uint64, 0, len(digests))
	for _, digest := range digests {
		ids = append(ids, uint64(digest))
	}
	return ids, err
}

// LearnUsedIDs implements hotrestart.Host.
func (h *restartHost) LearnUsedIDs(ids []uint64) {
	digests := make([]engine.IDDigest, 0, len(ids))
	for _, id := range ids {
		digests = append(digests, engine.IDDigest(id))
	}
	h.core.Post(engine.UsedIDsLearned{IDs: digests})
}

// ClaimID implements hotrestart.Host.
func (h *restartHost) ClaimID(ctx context.Context, id string) (isUsed bool, err error) {
	return h.core.ClaimIDForSibling(ctx, id)
}

// ReleaseID implements hotrestart.Host.
func (h *restartHost) ReleaseID(ctx context.Context, id string) error {
	return h.core.ReleaseIDForSibling(ctx, id)
}

// linkedIDs implements engine.IDClaims by the other processes of a Link.
type linkedIDs struct{ link *hotrestart.Link }

func (i linkedIDs) IsShared() bool                                   { return i.link.SharesIDs() }
func (i linkedIDs) Claim(ctx context.Context, id string) (free bool) { return i.link.ClaimID(ctx, id) }
func (i linkedIDs) Release(id string)                                { i.link.ReleaseID(id) }

// SetLimitShare implements hotrestart.Host.
func (h *restartHost) SetLimitShare(part float64) {
	h.pool.SetMaxConnections(int(part * float64(h.toBackends)))
	h.clients.SetLimit(int(part * float64(h.fromClients)))
	h.memory.SetRatio(part)
	if h.setMemoryShare != nil {
		h.setMemoryShare(part)
	}
}

// onDrain tells the other processes that this one drains, and reports whether one of them serves.
func (h *restartHost) onDrain() bool {
	h.link.AnnouncePhase(context.Background(), hotrestart.Draining)
	return h.link.HasSuccessor()
}

// becomeReady waits until the process could serve all that comes, and takes new connections from then on.
func (h *restartHost) becomeReady(ctx context.Context, d *platform.Discovery, log *slog.Logger) {
	began := time.Now()
	for ctx.Err() == nil && (!h.core.Ready() || !d.HasAnswered() && !h.link.IsAlone() && time.Since(began) <= discoveryTimeout) {
		time.Sleep(readyPoll)
	}
	if ctx.Err() != nil {
		return
	}
	h.link.SubscribeIDs(ctx)
	h.link.AnnouncePhase(ctx, hotrestart.Serving)
	h.serving.Store(true)
	list, _ := d.Delivered()
	log.Info("ready to serve", "discovery heard", d.HasAnswered(), "alone", h.link.IsAlone(), "after", time.Since(began).Round(time.Millisecond),
		"list_version", list.Origin.Version, "list_of", list.Origin.Address)
}
