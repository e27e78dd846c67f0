// Package places bounds the connections that a listener holds. When it is full it makes room by closing what has been
// without a request for longest: those who connect and say nothing, or ask once and stay, must not keep out the others.
package places

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Options say whom a Listener closes to make room, and whom not.
type Options struct {
	// Settled is how old a connection has to be: what it has to say may be on its way.
	Settled time.Duration
	// Patience is how long a connection that has brought no request yet may be silent, also in the midst of one, before it
	// goes ahead of those between requests. 0: those that have said nothing go first, and those in the midst of a request last.
	Patience time.Duration
}

// Listener is a listener that holds at most so many connections.
type Listener struct {
	net.Listener
	Options
	most int

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
	heard  atomic.Int64 // when its last byte came, in Unix nanoseconds, where there is a Patience
}

// Read notes when bytes come.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.table.Patience > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// connUse is what a connection does.
type connUse int

const (
	unused  connUse = iota // no request has begun
	reading                // one has begun, but is not known to be in order
	inUse                  // one that is in order is open: never closed
)

// New returns a listener of at most so many connections.
func New(l net.Listener, most int, o Options) *Listener {
	t := &Listener{Listener: l, Options: o, most: most, open: map[*conn]struct{}{}}
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

// Open is how many connections it holds.
func (t *Listener) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
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
		if young := t.Settled - time.Since(c.since); young > 0 {
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

// leastUseful is the connection to close first: by its rank, among like ones the one that is silent for longest.
func (t *Listener) leastUseful() (least *conn) {
	now := time.Now()
	var lowest int
	var longest time.Duration
	for c := range t.open {
		if c.use == inUse {
			continue
		}
		silent := now.Sub(c.since)
		if t.Patience > 0 {
			silent = min(silent, now.Sub(time.Unix(0, c.heard.Load())))
		}
		if rank := t.rank(c, silent); least == nil || rank < lowest || rank == lowest && silent > longest {
			least, lowest, longest = c, rank, silent
		}
	}
	return least
}

// rank orders connections by how readily they are closed to make room.
func (t *Listener) rank(c *conn, silent time.Duration) int {
	switch {
	case c.use == unused && c.served:
		return 1
	case t.Patience > 0 && silent > t.Patience, t.Patience == 0 && c.use == unused:
		return 0
	case c.use == unused:
		return 2
	}
	return 3
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
