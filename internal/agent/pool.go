package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"appleledge/logic"
)

// pool holds the connections to backends. Each carries one request at a time, and all that happens to it is
// done here and in the attempt that holds it: http.Transport would send a request again by itself when a kept
// connection turns out dead, which counts as an attempt that nobody decided on.
type pool struct {
	dialer     net.Dialer
	idleFor    time.Duration // connections idle for longer are not used again
	most       int           // connections of all backends
	perBackend int           // of one, so that a silent one does not use up all

	mu       sync.Mutex
	closed   bool
	backends map[string]*backend
	open     map[*conn]struct{}
	opening  int // dials under way
}

// backend is one life of a backend under one address: a restart or another address makes a new one.
type backend struct {
	id, addr string
	started  time.Duration
	ready    bool // may get new requests; the pool's lock guards what follows
	conns    int  // open, or being opened
	idle     []*conn
}

// conn is a connection to a backend.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	left      *io.LimitedReader // under reader: what an answer may still bring
	backend   *backend
	idleSince time.Time
}

// Reasons why there is no connection.
var (
	errNotReady = errors.New("the backend takes no new requests")
	errNoRoom   = errors.New("too many connections are open")
)

// nearIdle is the part of the backends' idle limit after which a connection is not used again: a request that
// crosses the backend's close is lost with it.
const nearIdle = 0.8

func newPool(connectTimeout, idle time.Duration, most int) *pool {
	return &pool{
		dialer:     net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		idleFor:    time.Duration(float64(idle) * nearIdle),
		most:       most,
		perBackend: max(1, most/4),
		backends:   map[string]*backend{},
		open:       map[*conn]struct{}{},
	}
}

// update takes a list or a change of it and returns how many backends are ready.
func (p *pool) update(full bool, members []member) (ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool, len(members))
	for _, m := range members {
		named[m.ID] = true
		b := p.backends[m.ID]
		if b != nil && (m.State == logic.Gone || b.addr != m.addr || b.started != m.Started) {
			p.retire(b)
			b = nil
		}
		if m.State == logic.Gone {
			continue
		}
		if b == nil {
			b = &backend{id: m.ID, addr: m.addr, started: m.Started}
			p.backends[m.ID] = b
		}
		if b.ready = m.State == logic.Ready; !b.ready {
			p.closeIdle(b)
		}
	}
	for id, b := range p.backends {
		if full && !named[id] {
			p.retire(b)
		} else if b.ready {
			ready++
		}
	}
	return ready
}

// retire ends a backend's life: nothing new goes to it, and its connections close as they come free.
func (p *pool) retire(b *backend) {
	b.ready = false
	p.closeIdle(b)
	delete(p.backends, b.id)
}

func (p *pool) closeIdle(b *backend) {
	for _, c := range b.idle {
		p.drop(c)
	}
	b.idle = nil
}

// drop closes a connection that is in no idle list.
func (p *pool) drop(c *conn) {
	c.Close()
	delete(p.open, c)
	c.backend.conns--
}

// backend returns the present life of a backend, or nil.
func (p *pool) backend(id string) *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// takesNew reports whether the backend may still get something new in this life.
func (p *pool) takesNew(b *backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b != nil && b.ready
}

// get returns a connection to the backend: the one used last, or else a new one.
func (p *pool) get(ctx context.Context, b *backend) (*conn, error) {
	c, err := p.reuse(b)
	if c != nil || err != nil {
		return c, err
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", b.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err == nil && p.closed {
		raw.Close()
		err = net.ErrClosed
	}
	if err != nil {
		b.conns--
		return nil, fmt.Errorf("connecting to %s: %w", b.id, err)
	}
	left := &io.LimitedReader{R: raw}
	c = &conn{Conn: raw, reader: bufio.NewReader(left), left: left, backend: b}
	p.open[c] = struct{}{}
	return c, nil
}

// reuse returns an idle connection. Without one it makes room for a new one and returns nil.
func (p *pool) reuse(b *backend) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b == nil || !b.ready {
		return nil, errNotReady
	}
	for len(b.idle) > 0 {
		last := len(b.idle) - 1
		c := b.idle[last]
		b.idle = b.idle[:last]
		if time.Since(c.idleSince) < p.idleFor && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
	if p.closed || b.conns >= p.perBackend || len(p.open)+p.opening >= p.most && !p.evict() {
		return nil, errNoRoom
	}
	b.conns++
	p.opening++
	return nil, nil
}

// evict closes the connection that has stood idle for longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.drop(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// put gives a connection back; it is kept when its last exchange left it in order.
func (p *pool) put(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || !c.backend.ready || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idle = append(c.backend.idle, c)
}

// sweep closes idle connections that will not be used again.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if time.Since(c.idleSince) < p.idleFor && c.quiet() {
				kept = append(kept, c)
			} else {
				p.drop(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// close closes all connections, also those in use.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, b := range p.backends {
		p.closeIdle(b)
	}
	for c := range p.open {
		c.Close()
	}
}

// quiet reports whether an idle connection is open and nothing has come on it. A backend that died or closed
// it shows here, before a request is risked on it.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
