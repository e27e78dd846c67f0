package engine

import (
	"time"

	"appleledge/internal/balancer"
)

// Member is a server of the endpoint list.
type Member struct {
	balancer.Server
	Addr string // host and port
	Kind string // of machine, as the list names it; may be empty
}

// Incarnation is one run of a server under one address, from its start to the next, as the ServerPool keeps it. The engine
// only passes it on: the transport that made it knows the type behind it. nil: the server is not known.
type Incarnation interface {
	// IsIncarnation marks the types that a ServerPool hands out; it is never called.
	IsIncarnation()
}

// ServerPool holds what transports need to reach the servers of the list. Its methods are called on the engine's goroutine and
// must not block.
type ServerPool interface {
	// Update takes the endpoint list, or a change of it, and returns how many servers are ready.
	Update(full bool, members []Member) (ready int)
	// Incarnation returns the present incarnation of a server.
	Incarnation(server string) Incarnation
	// Close ends all connections. It is called when the engine has ended, while attempts may still be in flight.
	Close()
}

// applyEndpoints passes an update of the endpoint list through the overlays, beginning with the one at the stage, and brings
// what is left of it to the balancer.
func (e *Engine) applyEndpoints(u EndpointUpdate, from overlayStage) {
	for _, o := range e.overlays[from:] {
		if o != nil {
			u = o.overlayEndpoints(e.clock.Now(), u)
		}
	}
	servers := make([]balancer.Server, len(u.Members))
	for i, m := range u.Members {
		servers[i] = m.Server
	}
	e.decide(balancer.ServerList{Full: u.Full, Servers: servers, DropRatio: u.Drop})
	if e.recovery != nil {
		e.recovery.applyStartChanges()
	}
	if isReady := e.readyServers > 0; e.ready.Swap(isReady) != isReady {
		e.log.Info("backends to send to", "any", isReady, "ready", e.readyServers)
	}
}

// serverPoolUpdater is the overlay that brings the list to the server pool. It changes nothing.
type serverPoolUpdater struct{ engine *Engine }

func (p serverPoolUpdater) overlayEndpoints(_ time.Duration, u EndpointUpdate) EndpointUpdate {
	p.engine.readyServers = p.engine.pool.Update(u.Full, u.Members)
	p.engine.dropRatio = u.Drop
	return u
}

// overlayMembers returns the update with each member changed by overlay.
func overlayMembers(u EndpointUpdate, overlay func(Member) Member) EndpointUpdate {
	out := EndpointUpdate{Full: u.Full, Drop: u.Drop, Members: make([]Member, 0, len(u.Members))}
	for _, m := range u.Members {
		out.Members = append(out.Members, overlay(m))
	}
	return out
}

// missingFrom returns the ids of the known servers that a complete list no longer names; none if the update is a change.
func missingFrom(u EndpointUpdate, known map[string]Member) (ids []string) {
	if !u.Full {
		return nil
	}
	listed := make(map[string]bool, len(u.Members))
	for _, m := range u.Members {
		listed[m.ID] = true
	}
	for id := range known {
		if !listed[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
