// Package places bounds the connections that a listener holds. When it is full it makes room by closing what has been
// without a request for longest: those who connect and say nothing, or ask once and stay, must not keep out the others.
package places

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// Listener is a listener that holds at most so many connections.
type Listener struct {
	net.Listener
	settled time.Duration // a connection that is younger is not closed to make room
	most    int

	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	open   map[*conn]struct{}
}

// conn is one of them; the table's lock guards its state.
type conn struct {
	net.Conn
	table  *Listener
	use    connUse
	served bool // has brought a request that was in order
	since  time.Time
}

// connUse orders connections by how readily they are closed to make room.
type connUse int

const (
	unused  connUse = iota // no request has begun
	reading                // one has begun, but is not known to be in order
	inUse                  // one that is in order is open: never closed
)

// New returns a listener of at most so many connections. One that is younger than settled is not closed to make room: what it
// has to say may be on its way.
func New(l net.Listener, most int, settled time.Duration) *Listener {
	t := &Listener{Listener: l, settled: settled, most: most, open: map[*conn]struct{}{}}
	t.room = sync.NewCond(&t.mu)
	return t
}

// Accept makes room for a connection before it takes one, so that the limit on descriptors always holds.
func (t *Listener) Accept() (net.Conn, error) {
	t.makeRoom()
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &conn{Conn: raw, table: t, since: time.Now()}
	t.open[c] = struct{}{}
	return c, nil
}

// Limit changes how many connections it holds at most. Those that are open stay.
func (t *Listener) Limit(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = most
	t.room.Broadcast()
}

// Most is how many connections it holds at most.
func (t *Listener) Most() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.most
}

// crowdedPart of the places taken is many: then connections close with their answers, so that clients which keep theirs
// for good leave places to others, who could not open any more.
const crowdedPart = 0.4

// Crowded reports whether answers should close their connections.
func (t *Listener) Crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.open)) > crowdedPart*float64(t.most)
}

func (t *Listener) makeRoom() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.open) >= t.most && !t.closed {
		c := t.leastUseful()
		if c == nil {
			t.room.Wait()
			continue
		}
		if young := t.settled - time.Since(c.since); young > 0 {
			t.mu.Unlock()
			time.Sleep(young)
			t.mu.Lock()
			continue
		}
		t.mu.Unlock()
		c.Close()
		runtime.Gosched() // its reader lets go of the descriptor only when it has run
		t.mu.Lock()
	}
}

// leastUseful is the connection to close first: one that never brought a request in order, then one between
// requests, then one that is being read; among like ones the oldest.
func (t *Listener) leastUseful() (least *conn) {
	rank := func(c *conn) int {
		if c.use == unused && c.served {
			return 1
		}
		return 2 * int(c.use)
	}
	for c := range t.open {
		if c.use == inUse {
			continue
		}
		if least == nil || rank(c) < rank(least) || rank(c) == rank(least) && c.since.Before(least.since) {
			least = c
		}
	}
	return least
}

// Close closes the listener, not the connections.
func (t *Listener) Close() error {
	t.mu.Lock()
	t.closed = true
	t.room.Broadcast()
	t.mu.Unlock()
	return t.Listener.Close()
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.table.open, c)
	c.table.room.Signal()
	return err
}

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) now(use connUse) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.use, c.since = use, time.Now()
	c.served = c.served || use == inUse
	if use != inUse {
		c.table.room.Signal()
	}
}

// ConnState is for http.Server: it is told what happens on a connection.
func ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.now(reading)
	case http.StateIdle:
		c.now(unused)
	}
}

type connKey struct{}

// ConnContext is for http.Server: it lets handlers find the connection of their request.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// Conn is the connection of a request as the listener under this one gave it; nil where there is none.
func Conn(ctx context.Context) net.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.Conn
	}
	return nil
}

// Hold marks the connection of a request as in use. It is given back when net/http has written the answer.
func Hold(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.now(inUse)
	}
}
