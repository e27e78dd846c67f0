// Package connlimit bounds the connections that a listener holds. When it is full it makes room by closing what has been
// without a request for longest: those who connect and say nothing, or ask once and stay, must not keep out the others.
package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// Options say whom a Listener closes to make room, and whom not.
type Options struct {
	// MinAge is how old a connection has to be: what it has to say may be on its way.
	MinAge time.Duration
	// FirstRequestTimeout is how long a connection that has brought no request yet may be silent, also in the midst of one, before it
	// goes ahead of those between requests. 0: those that have said nothing go first, and those in the midst of a request last.
	FirstRequestTimeout time.Duration
}

// Listener is a listener that holds at most so many connections.
type Listener struct {
	net.Listener
	Options
	most int

	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	shut   bool // connections end as soon as no request has begun on them
	open   map[*conn]struct{}
}

// conn is one of them; the table's lock guards its state.
type conn struct {
	net.Conn
	table  *Listener
	use    connUse
	served bool               // has brought a request that was in order
	spoke  bool               // an answer went out, or a part of it
	fresh  bool               // bytes were handed over since its last request was over
	far    bool               // the client has ended its side
	ended  bool               // nothing that comes is handed over any more: no request begins on it
	closes bool               // it is being closed
	looks  bool               // whether the client has gone is being looked at
	left   context.CancelFunc // ends what is done for the client; nil before ConnContext
	since  time.Time
	heard  atomic.Int64 // when its last byte came, in Unix nanoseconds, where there is a Patience
	finish func() error // lets go of the descriptor and the place, once
}

// Read hands over what comes until the connection is ended. What crosses that is dropped: its client sends it once more, and
// it must not be served here for an answer that can't be written any more.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.table.FirstRequestTimeout > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.far = c.far || err == io.EOF
	if c.ended {
		return 0, io.EOF
	}
	c.fresh = c.fresh || n > 0
	// What comes now may be one byte behind a request, before it is known to be in order or later: net/http reads no further, and does
	// not see the end behind it.
	if n > 0 && c.use != unused && c.left != nil && !c.looks {
		c.looks = true
		go c.look()
	}
	return n, err
}

// lookEvery is between two looks whether a client has gone that has sent something behind its request.
const lookEvery = 25 * time.Millisecond

// look looks whether the client has gone, for as long as its request is open. Then it ends, within lookEvery.
func (c *conn) look() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for range t.C {
		gone := c.gone()
		c.table.mu.Lock()
		over := c.use == unused || c.closes || gone
		c.looks = !over
		c.table.mu.Unlock()
		if gone {
			c.left()
		}
		if over {
			return
		}
	}
}

// gone reports whether the client has ended its side.
func (c *conn) gone() bool {
	raw := c.Conn
	if f, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = f.NetConn()
	}
	return sockstate.HasPeerClosed(raw)
}

// Write notes that there is an answer, which a close must not take back.
func (c *conn) Write(p []byte) (int, error) {
	c.table.mu.Lock()
	c.spoke = true
	c.table.mu.Unlock()
	return c.Conn.Write(p)
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
	c.finish = sync.OnceValue(c.letGo)
	t.open[c] = struct{}{}
	return c, nil
}

// Drain ends each connection as soon as no request has begun on it: at once those that rest, the others behind their answers.
func (t *Listener) Drain() {
	t.mu.Lock()
	t.shut = true
	var resting []*conn
	for c := range t.open {
		if c.use == unused && !c.fresh && !c.ended {
			c.ended = true
			resting = append(resting, c)
		}
	}
	t.mu.Unlock()
	for _, c := range resting {
		besteffort.Close(c)
	}
}

// SetLimit changes how many connections it holds at most. Those that are open stay.
func (t *Listener) SetLimit(most int) {
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

// OpenCount is how many connections it holds.
func (t *Listener) OpenCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// crowdedPart of the places taken is many: then connections close with their answers, so that clients which keep theirs
// for good leave places to others, who could not open any more.
const crowdedPart = 0.4

// IsCrowded reports whether answers should close their connections.
func (t *Listener) IsCrowded() bool {
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
		if young := t.MinAge - time.Since(c.since); young > 0 {
			t.mu.Unlock()
			time.Sleep(young)
			t.mu.Lock()
			continue
		}
		c.ended, c.closes = true, true // in this moment: a request that it brings now is not begun
		t.mu.Unlock()
		besteffort.Ignore(c.finish())
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
		if c.use == inUse && !c.closes {
			continue
		}
		silent := now.Sub(c.since)
		if t.FirstRequestTimeout > 0 {
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
	case c.closes:
		return -1
	case c.use == unused && c.served && c.fresh: // the next one is on its way
		return 3
	case c.use == unused && c.served:
		return 1
	case t.FirstRequestTimeout > 0 && silent > t.FirstRequestTimeout, t.FirstRequestTimeout == 0 && c.use == unused:
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

// A lingering close goes on reading for so long, and so many bytes, until the client has closed too.
const (
	lingerFor  = 250 * time.Millisecond
	lingerMost = 256 << 10
)

// Close closes the connection and frees its place. Where the client may still send, a plain close would reset the connection
// and take an answer back that it has not read yet: so the own side ends first, and what comes is dropped for a while.
func (c *conn) Close() error {
	c.table.mu.Lock()
	again := c.closes
	lingers := !c.far && (c.spoke || c.table.shut)
	c.ended, c.closes = true, true
	c.table.mu.Unlock()
	if again {
		return nil
	}
	if !lingers || c.CloseWrite() != nil {
		return c.finish()
	}
	go c.linger()
	return nil
}

// linger drops what comes until the client has closed, for a while, and closes.
func (c *conn) linger() {
	late := time.AfterFunc(lingerFor, func() { besteffort.Ignore(c.finish()) })
	defer late.Stop()
	defer func() { besteffort.Ignore(c.finish()) }()
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	buf := make([]byte, 1<<10)
	for left := lingerMost; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

// letGo closes at once and frees the place.
func (c *conn) letGo() error {
	err := c.Conn.Close()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.left != nil {
		c.left()
	}
	delete(c.table.open, c)
	c.table.room.Signal()
	return err
}

// CloseAll closes all connections at once, whatever is open on them.
func (t *Listener) CloseAll() {
	t.mu.Lock()
	left := make([]*conn, 0, len(t.open))
	for c := range t.open {
		c.ended, c.closes = true, true
		left = append(left, c)
	}
	t.mu.Unlock()
	for _, c := range left {
		besteffort.Ignore(c.finish())
	}
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
	c.use, c.since = use, time.Now()
	c.served = c.served || use == inUse
	ends := use == unused && c.table.shut
	if use == unused {
		c.fresh = false
	}
	c.ended = c.ended || ends
	if use != inUse {
		c.table.room.Signal()
	}
	c.table.mu.Unlock()
	if ends {
		besteffort.Close(c)
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

// ConnContext is for http.Server: it lets handlers find the connection of their request, and ends when its client has gone.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*conn); ok {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		if ctx, c.left = context.WithCancel(ctx); c.closes { // room was needed meanwhile
			c.left()
		}
	}
	return context.WithValue(ctx, connKey{}, raw)
}

// Conn is the connection of a request as the listener under this one gave it; nil where there is none.
func Conn(ctx context.Context) net.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.Conn
	}
	return nil
}

// IsEnded reports whether the connection of a request has been ended before the request began: it is not to be served then, as
// no answer can be written, and its client sends it once more.
func IsEnded(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.ended
}

// HasClientLeft reports whether the client of a request has closed its connection by now.
func HasClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.gone()
}

// MarkInUse marks the connection of a request as in use. It is given back when net/http has written the answer.
func MarkInUse(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.now(inUse)
	}
}
