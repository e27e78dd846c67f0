// Package connpool is the pool of upstream connections. Each connection carries one request at a time. The pool never sends
// anything and never repeats a request: http.Transport would send a request again by itself when a kept connection turns out
// to be closed, which would be an attempt that no retry rule has allowed.
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
	"syscall"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// Pool holds the connections to the backends of the endpoint list. It is safe for concurrent use.
type Pool struct {
	Dialer net.Dialer // opens connections; must not be changed after first use

	// QuietPeriod is how long a connection is not reused after a response, so that late bytes of that response are not read
	// as the answer to the next request. It must not be changed after first use.
	QuietPeriod time.Duration

	maxIdleTime    time.Duration // connections idle for longer are not reused
	maxConnections int           // of all backends
	maxPerBackend  int           // of one backend without those that forward an answer, so that a silent one can't use up all

	mu            sync.Mutex
	closed        bool
	backends      map[string]*Backend
	byAddr        map[string][]*Backend // the same backends, by address
	open          map[*Conn]struct{}
	dialing       int // dials in progress
	readyBackends int // backends that accept new requests
	idleCount     int // idle connections
	stats         Stats
	endedAt       map[*Backend]time.Time // when the far end was found to have ended a connection, or refused one; at listed backends
	idleRing      Conn                   // anchor of the ring of idle connections; the one that is idle for longest follows it
}

// Conn is a connection to a backend. The attempt that got it owns it until it calls Release.
type Conn struct {
	net.Conn
	Reader        *bufio.Reader
	responseLimit *io.LimitedReader // below Reader: bytes that the peer may still send
	backend       *Backend
	Opened        time.Time
	// uncertainUntil is set where the connections before it had been ended by the far end: until then another process may have come up at the
	// address, of which the endpoint list does not tell yet.
	uncertainUntil time.Time
	hasResponse    bool // a response was read from it
	isForwarding   bool // a response is forwarded from it while it arrives
	idleSince      time.Time
	next, prev     *Conn // in the ring of idle connections; nil while in use
}

// Errors of Get that say nothing about the backend.
var (
	ErrNotReady      = errors.New("the backend takes no new requests")
	ErrPoolExhausted = errors.New("too many connections are open")
)

// listDelay is how long behind a change of the servers the endpoint list has told it at the latest.
const listDelay = 6 * time.Second

// idleTimeoutRatio is the share of the backends' idle timeout after which a connection is not reused: a request that crosses
// the backend's close would be lost with it.
const idleTimeoutRatio = 0.8

// defaultQuietPeriod is the default of Pool.QuietPeriod. A duplicate of a response may arrive some milliseconds late and would
// be read as the response to the next request; one that arrives in the quiet period closes the connection.
const defaultQuietPeriod = 25 * time.Millisecond

// New returns a pool of at most maxConnections connections, which backends close when they are idle for idleTimeout.
func New(connectTimeout, idleTimeout time.Duration, maxConnections int) *Pool {
	p := &Pool{
		Dialer:         net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxIdleTime:    time.Duration(float64(idleTimeout) * idleTimeoutRatio),
		QuietPeriod:    defaultQuietPeriod,
		maxConnections: maxConnections,
		maxPerBackend:  perBackendLimit(maxConnections),
		backends:       map[string]*Backend{},
		byAddr:         map[string][]*Backend{},
		open:           map[*Conn]struct{}{},
		endedAt:        map[*Backend]time.Time{},
	}
	p.idleRing.next, p.idleRing.prev = &p.idleRing, &p.idleRing
	return p
}

// addIdle puts a connection at the end of the ring of idle connections.
func (p *Pool) addIdle(c *Conn) {
	last := p.idleRing.prev
	c.prev, c.next = last, &p.idleRing
	last.next, p.idleRing.prev = c, c
	p.idleCount++
}

// removeIdle takes a connection out of the ring of idle connections.
func (p *Pool) removeIdle(c *Conn) {
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
	p.idleCount--
}

// closeConn closes a connection that is not idle. The system call may take long, and is not made under the lock, for which the engine waits.
func (p *Pool) closeConn(c *Conn) {
	go besteffort.Close(c)
	delete(p.open, c)
	c.backend.connCount--
	p.endForwarding(c)
}

// NoteForwarding notes that a response is forwarded from a connection while it arrives, for as long as its client takes: its backend is not silent,
// and is not to get fewer other requests for that.
func (p *Pool) NoteForwarding(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.isForwarding {
		c.isForwarding = true
		c.backend.forwardingCount++
	}
}

// endForwarding notes that no response is forwarded from a connection any more. The lock is held.
func (p *Pool) endForwarding(c *Conn) {
	if c.isForwarding {
		c.isForwarding = false
		c.backend.forwardingCount--
	}
}

// SetMaxConnections changes the limit. Idle connections over the new limit are closed; those in use stay.
func (p *Pool) SetMaxConnections(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConnections, p.maxPerBackend = most, perBackendLimit(most)
	for len(p.open)+p.dialing > most && p.closeLongestIdle() {
	}
}

// limit returns how many connections there may be.
func (p *Pool) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConnections
}

const (
	// maxBackendShareDivisor: one backend may have a quarter of the connections, besides those that forward an answer.
	maxBackendShareDivisor = 4

	// maxForwardingFactor: with those it may have twice as many.
	maxForwardingFactor = 2
)

// perBackendLimit returns how many connections one backend may have, so that a silent one can't use up all.
func perBackendLimit(maxConnections int) int { return max(1, maxConnections/maxBackendShareDivisor) }

// Stats are the present numbers of a pool, and counters since it was made.
type Stats struct {
	Open, Idle   int    // connections, and the idle ones among them
	Dials        uint64 // dials begun
	FailedDials  uint64 // dials that failed
	Reused, Dead uint64 // idle connections that were reused, and that were found closed
	Exhausted    uint64 // calls of Get that ended with ErrPoolExhausted
}

// Stats returns the numbers of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.stats
	c.Open, c.Idle = len(p.open), p.idleCount
	return c
}

// AllowBytes lets the peer send n more bytes.
func (c *Conn) AllowBytes(n int64) { c.responseLimit.N, c.hasResponse = n, true }

// Abort closes the connection, which has to be released all the same, and drops what has not been sent yet: of a request that is given up,
// the rest would still go out to a backend that has no room for it now. On return nothing of it goes out any more.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		besteffort.Ignore(tcp.SetLinger(0))
	}
	besteffort.Close(c)
}

// Get returns a connection to the backend: the idle one that was used last, or a new one. It blocks while it dials. Besides
// ErrNotReady and ErrPoolExhausted it returns the error of the dial.
func (p *Pool) Get(ctx context.Context, b *Backend) (*Conn, error) {
	c, err := p.reuse(b)
	if c != nil || err != nil {
		return c, err
	}
	p.noteEndsOfIdle(b)
	raw, err := p.Dialer.DialContext(ctx, "tcp", b.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil && p.closed {
		besteffort.Close(raw)
		err = net.ErrClosed
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.noteEnd(b)
		}
		b.connCount--
		p.stats.FailedDials++
		return nil, fmt.Errorf("connecting to %s: %w", b.id, err)
	}
	left := &io.LimitedReader{R: raw}
	c = &Conn{Conn: raw, Reader: bufio.NewReader(left), responseLimit: left, backend: b, Opened: time.Now()}
	if endedAt, hasEnded := p.endedAt[b]; hasEnded {
		if c.uncertainUntil = endedAt.Add(listDelay); !c.Opened.Before(c.uncertainUntil) {
			delete(p.endedAt, b)
		}
	}
	p.open[c] = struct{}{}
	return c, nil
}

// reuse returns an idle connection. Without one it reserves a place for a new one and returns nil.
func (p *Pool) reuse(b *Backend) (*Conn, error) {
	for {
		c, err := p.takeIdle(b)
		if c == nil || err != nil {
			return nil, err
		}
		isOpen := c.isIdleAndOpen()
		if !isOpen {
			p.NoteEnd(c)
		}
		if p.noteTaken(c, isOpen); isOpen {
			return c, nil
		}
	}
}

// noteTaken counts a connection that was idle and is in use now, or closes it where it is not open any more.
func (p *Pool) noteTaken(c *Conn, isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isOpen {
		p.stats.Reused++
		return
	}
	p.stats.Dead++
	p.closeConn(c)
}

// takeIdle returns a connection that was idle, and may be closed by now. Without one it reserves a place for a new one and returns nil.
func (p *Pool) takeIdle(b *Backend) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b == nil || !b.isReady {
		return nil, ErrNotReady
	}
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.hasResponse && time.Since(c.idleSince) < p.QuietPeriod {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		p.removeIdle(c)
		if time.Since(c.idleSince) < p.maxIdleTime {
			return c, nil
		}
		p.stats.Dead++
		p.closeConn(c)
	}
	if !p.hasRoom(b) && len(b.idle) > 0 { // all in their quiet period
		p.closeIdle(b.idle[0])
	}
	if p.closed || !p.hasRoom(b) || len(p.open)+p.dialing >= p.maxConnections && !p.closeLongestIdle() {
		p.stats.Exhausted++
		return nil, ErrPoolExhausted
	}
	b.connCount++
	p.dialing++
	p.stats.Dials++
	return nil, nil
}

// hasRoom reports whether a backend may have one more connection. The lock is held.
func (p *Pool) hasRoom(b *Backend) bool {
	return b.connCount-b.forwardingCount < p.maxPerBackend && b.connCount < maxForwardingFactor*p.maxPerBackend
}

// HasOpenSince reports whether an idle connection to the backend that was opened before a time is still open: then the process that the
// backend was at that time still runs. Where there is none, another process may have come up at its address since.
func (p *Pool) HasOpenSince(b *Backend, before time.Time) bool {
	p.mu.Lock()
	idle := slices.Clone(b.idle)
	p.mu.Unlock()
	return slices.ContainsFunc(idle, func(c *Conn) bool { return c.Opened.Before(before) && sockstate.Peek(c.Conn) == sockstate.Idle })
}

// noteEndsOfIdle notes whether the far end has ended connections that are idle, and are not taken as they are in their quiet period.
func (p *Pool) noteEndsOfIdle(b *Backend) {
	p.mu.Lock()
	idle := slices.Clone(b.idle)
	p.mu.Unlock()
	for _, c := range idle {
		p.NoteEnd(c)
	}
}

// NoteEnd notes whether the far end has ended a connection that is not used any more. The connection has to be released all the same.
func (p *Pool) NoteEnd(c *Conn) {
	if !sockstate.HasPeerClosed(c.Conn) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteEnd(c.backend)
}

// noteEnd notes that the far end has ended a connection to a backend. The lock is held.
func (p *Pool) noteEnd(b *Backend) {
	if p.backends[b.id] == b {
		p.endedAt[b] = time.Now()
	}
}

// MayBeOtherProcess reports whether the process behind a connection may be another one than the endpoint list means: it is uncertain, and no idle
// connection is open that is not.
func (p *Pool) MayBeOtherProcess(c *Conn) bool {
	now := time.Now()
	if !now.Before(c.uncertainUntil) {
		return false
	}
	p.mu.Lock()
	idle := slices.Clone(c.backend.idle)
	p.mu.Unlock()
	return !slices.ContainsFunc(idle, func(c *Conn) bool { return !now.Before(c.uncertainUntil) && c.isIdleAndOpen() })
}

// closeLongestIdle closes the connection that is idle for longest, and reports whether there is one.
func (p *Pool) closeLongestIdle() bool {
	c := p.idleRing.next
	if c == &p.idleRing {
		return false
	}
	p.closeIdle(c)
	return true
}

// closeIdle closes an idle connection.
func (p *Pool) closeIdle(c *Conn) {
	b := c.backend
	b.idle = slices.DeleteFunc(b.idle, func(other *Conn) bool { return other == c })
	p.removeIdle(c)
	p.closeConn(c)
}

// Release returns a connection to the pool, which keeps it for reuse if keep is set.
func (p *Pool) Release(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || !c.backend.isReady || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.closeConn(c)
		return
	}
	p.endForwarding(c)
	c.idleSince = time.Now()
	c.backend.idle = append(c.backend.idle, c)
	p.addIdle(c)
}

// Close closes all connections, also those in use. Get fails from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := p.idleRing.next; c != &p.idleRing; c = p.idleRing.next {
		p.closeIdle(c)
	}
	for c := range p.open {
		besteffort.Close(c)
	}
}
