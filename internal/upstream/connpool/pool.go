// Package connpool holds the connections to the servers of the list.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/sockstate"
)

// Pool holds the connections to backends. Each carries one request at a time, and all that happens to it is
// done here and in the attempt that holds it: http.Transport would send a request again by itself when a kept
// connection turns out dead, which counts as an attempt that nobody decided on.
type Pool struct {
	Dialer net.Dialer // opens connections; not to be changed once in use, nor is what follows
	// QuietPeriod is for how long a connection rests behind an answer: what still comes of that must not meet the next request.
	QuietPeriod time.Duration
	idleFor     time.Duration // connections idle for longer are not used again
	most        int           // connections of all backends
	perBackend  int           // of one, so that a silent one does not use up all

	mu       sync.Mutex
	closed   bool
	backends map[string]*Backend
	byAddr   map[string][]*Backend // those of backends, by their address
	open     map[*Conn]struct{}
	opening  int // dials under way
	ready    int // backends that may get new requests
	resting  int // connections that wait for use
	counts   Stats
	oldest   Conn // the ring of those, by the time since they do: after it comes the first
}

// Backend is one life of a backend under one address: a restart or another address makes a new one.
type Backend struct {
	id, addr string
	started  time.Duration
	ready    bool // may get new requests; the pool's lock guards what follows
	conns    int  // open, or being opened
	idle     []*Conn
}

// Conn is a connection to a backend.
type Conn struct {
	net.Conn
	Reader     *bufio.Reader
	left       *io.LimitedReader // under Reader: what an answer may still bring
	backend    *Backend
	Opened     time.Time
	answered   bool // an answer was read from it
	idleSince  time.Time
	next, prev *Conn // in the ring of those that wait for use; nil outside
}

// Reasons why there is no connection.
var (
	ErrNotReady      = errors.New("the backend takes no new requests")
	ErrPoolExhausted = errors.New("too many connections are open")
)

// nearIdle is the part of the backends' idle limit after which a connection is not used again: a request that
// crosses the backend's close is lost with it.
const nearIdle = 0.8

// settleFor is how long a connection rests behind an answer. A second copy of that answer may come some milliseconds late, and
// would be taken for the answer to the next request; one that comes to a connection at rest closes it.
const settleFor = 25 * time.Millisecond

// New returns a pool of at most so many connections, which backends close when they stand idle for so long.
func New(connectTimeout, idle time.Duration, most int) *Pool {
	p := &Pool{
		Dialer:      net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		idleFor:     time.Duration(float64(idle) * nearIdle),
		QuietPeriod: settleFor,
		most:        most,
		perBackend:  perBackend(most),
		backends:    map[string]*Backend{},
		byAddr:      map[string][]*Backend{},
		open:        map[*Conn]struct{}{},
	}
	p.oldest.next, p.oldest.prev = &p.oldest, &p.oldest
	return p
}

// Update takes a list or a change of it and returns how many backends are ready. A change costs what it names.
func (p *Pool) Update(full bool, members []engine.Member) (ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.update(m)
	}
	if full {
		named := make(map[string]bool, len(members))
		for _, m := range members {
			named[m.ID] = true
		}
		for id, b := range p.backends {
			if !named[id] {
				p.retire(b)
			}
		}
	}
	return p.ready
}

func (p *Pool) update(m engine.Member) {
	b := p.backends[m.ID]
	if b != nil && (m.State == balancer.Removed || b.addr != m.Addr || b.started != m.Started) {
		p.retire(b)
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

func (p *Pool) setReady(b *Backend, ready bool) {
	if ready == b.ready {
		return
	}
	if b.ready = ready; ready {
		p.ready++
		return
	}
	p.ready--
	for _, c := range b.idle {
		p.unrest(c)
		p.drop(c)
	}
	b.idle = nil
}

// retire ends a backend's life: nothing new goes to it, and its connections close as they come free.
func (p *Pool) retire(b *Backend) {
	p.setReady(b, false)
	delete(p.backends, b.id)
	p.byAddr[b.addr] = slices.DeleteFunc(p.byAddr[b.addr], func(x *Backend) bool { return x == b })
	if len(p.byAddr[b.addr]) == 0 {
		delete(p.byAddr, b.addr)
	}
}

// rest puts a connection into the ring of those that wait for use, as the one that does for the shortest time.
func (p *Pool) rest(c *Conn) {
	last := p.oldest.prev
	c.prev, c.next = last, &p.oldest
	last.next, p.oldest.prev = c, c
	p.resting++
}

func (p *Pool) unrest(c *Conn) {
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
	p.resting--
}

// drop closes a connection that is in no idle list.
func (p *Pool) drop(c *Conn) {
	besteffort.Close(c)
	delete(p.open, c)
	c.backend.conns--
}

// SetMaxConnections changes how many connections there may be. Those that wait for use are closed where there are more.
func (p *Pool) SetMaxConnections(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.perBackend = most, perBackend(most)
	for len(p.open)+p.opening > most && p.evict() {
	}
}

// size is how many connections there may be.
func (p *Pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

// perBackend is how many connections one backend may have, so that a silent one does not use up all.
func perBackend(most int) int { return max(1, most/4) }

// Backend returns the present life of a backend, or nil.
func (p *Pool) Backend(id string) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// IsIncarnation makes a Backend an engine.Incarnation.
func (*Backend) IsIncarnation() {}

// Incarnation is Backend in the engine's terms.
func (p *Pool) Incarnation(id string) engine.Incarnation { return p.Backend(id) }

// Stats are what a pool holds, and what it has done since it was made.
type Stats struct {
	Open, Idle   int    // connections, and those of them that wait for use
	Dials        uint64 // connections asked for
	FailedDials  uint64 // of which did not come up
	Reused, Dead uint64 // idle ones that were used again, and such as turned out to be over
	Exhausted    uint64 // uses for which there was no place
}

// Stats says what the pool holds and has done.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Open, c.Idle = len(p.open), p.resting
	return c
}

// IDsAt returns the ids of the list's backends at an address; there may be several while one follows another.
func (p *Pool) IDsAt(addr string) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byAddr[addr] {
		ids = append(ids, b.id)
	}
	return ids
}

// Addr is the address of this life of the backend, host and port.
func (b *Backend) Addr() string { return b.addr }

// AllowBytes lets the far end send so many bytes more.
func (c *Conn) AllowBytes(n int64) { c.left.N, c.answered = n, true }

// AcceptsRequests reports whether the backend may still get something new in this life.
func (p *Pool) AcceptsRequests(b *Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b != nil && b.ready
}

// Get returns a connection to the backend: the one used last, or else a new one.
func (p *Pool) Get(ctx context.Context, b *Backend) (*Conn, error) {
	c, err := p.reuse(b)
	if c != nil || err != nil {
		return c, err
	}
	raw, err := p.Dialer.DialContext(ctx, "tcp", b.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err == nil && p.closed {
		besteffort.Close(raw)
		err = net.ErrClosed
	}
	if err != nil {
		b.conns--
		p.counts.FailedDials++
		return nil, fmt.Errorf("connecting to %s: %w", b.id, err)
	}
	left := &io.LimitedReader{R: raw}
	c = &Conn{Conn: raw, Reader: bufio.NewReader(left), left: left, backend: b, Opened: time.Now()}
	p.open[c] = struct{}{}
	return c, nil
}

// reuse returns an idle connection. Without one it makes room for a new one and returns nil.
func (p *Pool) reuse(b *Backend) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b == nil || !b.ready {
		return nil, ErrNotReady
	}
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.answered && time.Since(c.idleSince) < p.QuietPeriod {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		p.unrest(c)
		if time.Since(c.idleSince) < p.idleFor && c.quiet() {
			p.counts.Reused++
			return c, nil
		}
		p.counts.Dead++
		p.drop(c)
	}
	if b.conns >= p.perBackend && len(b.idle) > 0 { // that rest behind their answers
		p.dismiss(b.idle[0])
	}
	if p.closed || b.conns >= p.perBackend || len(p.open)+p.opening >= p.most && !p.evict() {
		p.counts.Exhausted++
		return nil, ErrPoolExhausted
	}
	b.conns++
	p.opening++
	p.counts.Dials++
	return nil, nil
}

// evict closes the connection that has stood idle for longest.
func (p *Pool) evict() bool {
	c := p.oldest.next
	if c == &p.oldest {
		return false
	}
	p.dismiss(c)
	return true
}

// dismiss closes a connection that waits for use.
func (p *Pool) dismiss(c *Conn) {
	b := c.backend
	b.idle = slices.DeleteFunc(b.idle, func(other *Conn) bool { return other == c })
	p.unrest(c)
	p.drop(c)
}

// Put gives a connection back; it is kept when its last exchange left it in order.
func (p *Pool) Put(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || !c.backend.ready || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idle = append(c.backend.idle, c)
	p.rest(c)
}

// sweepPart is how many connections Sweep looks at while it keeps others from the pool: a look is a call to the system.
const sweepPart = 32

// Sweep closes idle connections that will not be used again. It looks at those that are idle when it begins, a few at a
// time.
func (p *Pool) Sweep() {
	var from time.Time
	for range 1 + p.size()/sweepPart {
		if from = p.sweep(from); from.IsZero() {
			return
		}
	}
}

// sweep looks at a few connections that are idle since a time or later, the earliest first, and returns the time from
// which to go on; none when all have been looked at.
func (p *Pool) sweep(from time.Time) (next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.oldest.next
	for c != &p.oldest && c.idleSince.Before(from) {
		c = c.next
	}
	for left := sweepPart; c != &p.oldest; left-- {
		if left == 0 {
			return c.idleSince
		}
		following := c.next
		if time.Since(c.idleSince) >= p.idleFor || !c.quiet() {
			p.dismiss(c)
		}
		c = following
	}
	return time.Time{}
}

// Close closes all connections, also those in use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := p.oldest.next; c != &p.oldest; c = p.oldest.next {
		p.dismiss(c)
	}
	for c := range p.open {
		besteffort.Close(c)
	}
}

// quiet reports whether an idle connection is open and nothing has come on it. A backend that died or closed
// it shows here, before a request is risked on it.
func (c *Conn) quiet() bool { return sockstate.Peek(c.Conn) == sockstate.Idle }
