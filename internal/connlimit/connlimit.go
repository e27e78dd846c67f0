// Package connlimit bounds the connections that a listener holds, so that the process never runs out of descriptors. When it is full it
// makes room by closing the connection that has been without a request for longest: clients that connect and say nothing, or ask once
// and stay, must not keep out the others. It is for net/http servers.
//
// # States of a connection
//
// idle: no request has begun; readingRequest: one has begun, but is not known to be valid; readingBody: a valid one has begun, nothing of it
// is forwarded, and the connection is closed to make room when its client has sent nothing for maxBodyPause, or where for maxFullTime no other
// could be closed; inUse: a valid one is open, and the connection is never closed to make room. ConnState, MarkReadingBody and MarkInUse, which
// the server and its handlers call, move between them. Beside that a
// connection is ended (nothing is read from it any more) and then closing (its answer may still be on the way to the client).
//
// # The end of a connection
//
// Each request that a client writes whole has to be answered, also one that comes while its connection is ended: no order of system calls
// looks at a socket and closes it in one step, and a client that has sent can't always tell an unread request from one that was dropped.
// So the last thing on a connection is always an answer that says Connection: close. Where no answer to a request does, the connection is
// ended by a refusal (ending.go), which answers whatever crosses it. It is written only where no request has been read, and never behind an
// answer that may still be on its way. Of a request whose handler waits for its body, the handler answers that the rest did not come.
//
// # Files
//
// connlimit.go has the Listener, conn.go its connections, reading.go how they are read, ending.go how they are ended, reaping.go who makes
// room, pacing.go what bounds those that never wait, linger.go the close that does not take an answer back, peerwatch.go how a client that leaves is noticed, closereason.go why
// connections were closed, and httpserver.go what an http.Server calls. Everything may be called from any goroutine; one lock, the
// listener's, guards the states, and no system call is made under it. Nothing is stored.
package connlimit

import (
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"appleledge/internal/acceptretry"
	"appleledge/internal/besteffort"
	"appleledge/internal/eventlog"
	"appleledge/internal/sockstate"
)

// Options say which connections a Listener closes to make room, and which not.
type Options struct {
	// MinAge is how old a connection has to be before it is closed to make room: what its client has to say may be on its way.
	MinAge time.Duration
	// FirstRequestTimeout is how long a connection that has brought no request yet may be silent, also in the midst of one, before it
	// is closed ahead of those between requests. 0: connections that have said nothing go first, and those in the midst of a request last.
	FirstRequestTimeout time.Duration
	// Cores is how much of the machine the process may use, which bounds what connections at full speed get; 0: one core.
	Cores float64
	// Events logs closes that a client may miss an answer by. nil: they are counted only.
	Events *eventlog.Logger
}

// Listener is a listener that holds at most so many connections.
type Listener struct {
	net.Listener
	Options
	socket syscall.Conn // of the listener; nil where there is none

	mu         sync.Mutex // guards what follows, and the states of the connections
	limit      int
	roomFreed  *sync.Cond // a connection may have become one that can be closed, or the limit has changed
	fullSince  time.Time  // since when a search for room has found none, or only the midst of bodies that come; zero: the last found one
	searchedAt time.Time  // when room was last searched
	isClosed   bool
	isDraining bool // connections end as soon as no request has begun on them
	conns      map[*conn]struct{}
	closes     CloseCounts
	refusals   sync.WaitGroup // that are being written
	steps      *rate.Limiter  // of the connections at full speed; guarded by itself
	paced      uint64         // steps that were paced
}

// New returns a listener of at most limit connections, which it accepts from inner.
func New(inner net.Listener, limit int, o Options) *Listener {
	l := &Listener{Listener: acceptretry.Listener{Listener: inner, Events: o.Events}, Options: o, limit: limit, conns: map[*conn]struct{}{}, steps: newPace(o.Cores)}
	l.socket, _ = inner.(syscall.Conn)
	l.roomFreed = sync.NewCond(&l.mu)
	return l
}

// Accept makes room for a connection before it accepts one, so that the limit on descriptors always holds. It blocks while all are in use.
func (l *Listener) Accept() (net.Conn, error) {
	l.makeRoom()
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: raw, listener: l, useSince: time.Now(), isSocketEmpty: true}
	c.socket = descriptorOf(c.unwrapped())
	c.closeNow = sync.OnceValue(c.release)
	l.conns[c] = struct{}{}
	return c, nil
}

// Drain ends each connection as soon as no request has begun on it and none lies in its socket: at once those that rest, the others after
// their answers.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.isDraining = true
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfResting()
	}
}

// SetLimit changes how many connections it holds at most. Those that are open stay.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.roomFreed.Broadcast()
}

// Limit returns how many connections it holds at most.
func (l *Listener) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// HasPending reports whether a connection waits to be accepted, or may wait, as the system can't tell.
func (l *Listener) HasPending() bool {
	return l.socket != nil && sockstate.IsReadable(l.socket)
}

// OpenCount returns how many connections it holds.
func (l *Listener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// crowdedRatio is the part of the limit above which the listener is crowded.
const crowdedRatio = 0.4

// IsCrowded reports whether answers should close their connections: clients that keep theirs for good leave room to others then, who could
// not connect any more.
func (l *Listener) IsCrowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) > crowdedRatio*float64(l.limit)
}

// Close closes the listener, not its connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.isClosed = true
	l.roomFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// EndUnfinished ends the reading of all requests that have not come whole, and answers them.
func (l *Listener) EndUnfinished() {
	var refused []*conn
	l.mu.Lock()
	for c := range l.conns {
		switch {
		case c.mayRefuse() && c.hasNewBytes:
			c.endByRefusal(CloseUnfinished)
			refused = append(refused, c)
		case c.mayEndReading():
			c.endReading(CloseUnfinished)
		}
	}
	l.mu.Unlock()
	for _, c := range refused {
		go c.finishRefusal()
	}
}

// CloseAll closes all connections at once, whatever is open on them. Those at rest are ended by a refusal.
func (l *Listener) CloseAll() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.conns))
	for _, c := range open {
		if c.mayRefuse() {
			c.endByRefusal(CloseProcessEnd)
			go c.finishRefusal()
			continue
		}
		c.end(CloseProcessEnd)
	}
	l.mu.Unlock()
	l.refusals.Wait()
	for _, c := range open {
		besteffort.Ignore(c.closeNow())
	}
}
