package connpool

import (
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// Backend is one incarnation of a backend under one address: a restart or another address makes a new Backend.
// It keeps what attempts learn of how it reads and answers, see ContinueSupport and AwaitAnswer. All its fields but id, addr, started and
// continues are guarded by the pool's lock.
type Backend struct {
	id, addr  string
	started   time.Duration
	isReady   bool // accepts new requests
	connCount int  // open or being dialed

	forwardingCount int // of these, those from which a response is forwarded while it arrives
	idle            []*Conn
	continues       continueRecord // guarded by itself
}

// updateBackend applies what the list says of one backend.
func (p *Pool) updateBackend(m engine.Member) {
	b := p.backends[m.ID]
	if b != nil && (m.State == balancer.Removed || b.addr != m.Addr || b.started != m.Started) {
		p.removeBackend(b)
		b = nil
	}
	if m.State == balancer.Removed {
		return
	}
	if b == nil {
		b = &Backend{id: m.ID, addr: m.Addr, started: m.Started}
		p.backends[m.ID] = b
		p.byAddr[b.addr] = append(p.byAddr[b.addr], b)
	}
	p.setReady(b, m.State == balancer.Ready)
}

// setReady changes whether a backend accepts requests, and closes its idle connections if not.
func (p *Pool) setReady(b *Backend, ready bool) {
	if ready == b.isReady {
		return
	}
	if b.isReady = ready; ready {
		p.readyBackends++
		return
	}
	p.readyBackends--
	for _, c := range b.idle {
		p.removeIdle(c)
		p.closeConn(c)
	}
	b.idle = nil
}

// removeBackend forgets a backend: it gets nothing new, and its connections close when they are released.
func (p *Pool) removeBackend(b *Backend) {
	p.setReady(b, false)
	delete(p.backends, b.id)
	delete(p.endedAt, b)
	p.byAddr[b.addr] = slices.DeleteFunc(p.byAddr[b.addr], func(x *Backend) bool { return x == b })
	if len(p.byAddr[b.addr]) == 0 {
		delete(p.byAddr, b.addr)
	}
}

// Backend returns the present incarnation of a backend, or nil.
func (p *Pool) Backend(id string) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// IsIncarnation implements engine.Incarnation.
func (*Backend) IsIncarnation() {}

// Incarnation is Backend for the engine.
func (p *Pool) Incarnation(id string) engine.Incarnation { return p.Backend(id) }

// IDsAt returns the ids of the backends at an address. There may be several while one replaces another.
func (p *Pool) IDsAt(addr string) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byAddr[addr] {
		ids = append(ids, b.id)
	}
	return ids
}

// Addr returns host and port of this incarnation of the backend.
func (b *Backend) Addr() string { return b.addr }

// AcceptsRequests reports whether this incarnation of the backend accepts new requests.
func (p *Pool) AcceptsRequests(b *Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b != nil && b.isReady
}

// Update applies an endpoint list, or a change of it, and returns how many backends accept requests. The cost of a change
// grows with the members that it names. Idle connections to backends that accept none any more are closed.
func (p *Pool) Update(full bool, members []engine.Member) (ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.updateBackend(m)
	}
	if full {
		named := make(map[string]bool, len(members))
		for _, m := range members {
			named[m.ID] = true
		}
		for id, b := range p.backends {
			if !named[id] {
				p.removeBackend(b)
			}
		}
	}
	return p.readyBackends
}
