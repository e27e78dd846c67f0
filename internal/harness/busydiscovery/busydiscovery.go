// Package busydiscovery is a stand-in for a discovery that is slow or falls silent: it works through calls in turn, spends time on each,
// also on those whose caller has gone, and can hold all answers back and come back. It records when it first wrote a version to
// an agent, as from then on the agent counts as notified.
package busydiscovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Options say in which way the discovery is slow.
type Options struct {
	ServiceTime     time.Duration // spent on each call, in turn
	AnswerDelay     time.Duration // by which each answer comes later; calls do not wait for each other in it
	BodyDelay       time.Duration // between the head of an answer and its body
	ForgetsOnReturn bool          // calls that are open when a silence ends are never answered
}

// Discovery is the stand-in. It is safe for concurrent use.
type Discovery struct {
	options Options
	served  sync.WaitGroup
	closed  chan struct{}

	mu         sync.Mutex // guards what follows
	hasWork    *sync.Cond
	isClosed   bool
	isSilent   bool
	version    int64
	fullList   string
	changes    string // to the version before
	queue      []*call
	waiting    map[*call]*time.Timer // watches that have nothing to report yet
	firstWrite map[writeKey]time.Time
	calls      int
	conns      []net.Conn
}

// writeKey names a version that was written to an agent.
type writeKey struct {
	agent   int
	version int64
}

// call is a call that was read.
type call struct {
	agent  int
	since  int64 // -1: for the whole list
	until  time.Time
	answer chan listText // holds the answer
}

// listText is the body of an answer.
type listText struct {
	version int64
	text    string
}

// New returns a discovery that serves each listener that is given to Serve, until Close.
func New(o Options) *Discovery {
	d := &Discovery{options: o, closed: make(chan struct{}), waiting: map[*call]*time.Timer{}, firstWrite: map[writeKey]time.Time{}}
	d.hasWork = sync.NewCond(&d.mu)
	d.served.Go(d.work)
	return d
}

// Close ends the discovery. The listeners must have been closed before.
func (d *Discovery) Close() {
	close(d.closed)
	d.mu.Lock()
	d.isClosed = true
	for _, timer := range d.waiting {
		timer.Stop()
	}
	for _, c := range d.conns {
		besteffort.Close(c)
	}
	d.hasWork.Broadcast()
	d.mu.Unlock()
	d.served.Wait()
}

// Set puts a version of the list in force; changes is the answer to those that hold the version before.
func (d *Discovery) Set(version int64, fullList, changes string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.fullList, d.changes = version, fullList, changes
	if d.isSilent {
		return
	}
	for c := range d.waiting {
		d.stopWaiting(c)
		c.answer <- d.text(c)
	}
}

// Silence holds all answers back, or works through the calls that have come meanwhile.
func (d *Discovery) Silence(isSilent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = isSilent
	if isSilent {
		for c := range d.waiting {
			d.stopWaiting(c)
			d.queue = append(d.queue, c)
		}
		return
	}
	if d.options.ForgetsOnReturn {
		d.queue = nil
	}
	d.hasWork.Broadcast()
}

// FirstWrite returns when a version, or a later one, was first written to an agent.
func (d *Discovery) FirstWrite(agent int, version int64) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.firstWrite[writeKey{agent, version}]
	return at, ok
}

// Calls returns how many calls were read.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Serve serves an agent's connections until the listener is closed. It returns at once.
func (d *Discovery) Serve(agent int, l net.Listener) {
	d.served.Go(func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if !d.add(c) {
				besteffort.Close(c)
				return
			}
			d.served.Go(func() { defer besteffort.Close(c); d.serveConn(agent, c) })
		}
	})
}

// add notes a connection, so that Close ends it.
func (d *Discovery) add(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return !d.isClosed
}

// serveConn reads the calls of a connection and writes their answers.
func (d *Discovery) serveConn(agent int, conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c := newCall(agent, r)
		d.mu.Lock()
		d.calls++
		d.queue = append(d.queue, c)
		d.hasWork.Signal()
		d.mu.Unlock()
		select {
		case answer := <-c.answer:
			if err := d.write(agent, conn, answer); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}

// newCall returns the call of a request.
func newCall(agent int, r *http.Request) *call {
	c := &call{agent: agent, since: -1, until: time.Now(), answer: make(chan listText, 1)}
	if since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64); err == nil {
		c.since = since
	}
	if wait, err := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil {
		c.until = c.until.Add(time.Duration(wait) * time.Millisecond)
	}
	return c
}

// work works through the calls in turn.
func (d *Discovery) work() {
	for {
		c, ok := d.next()
		if !ok {
			return
		}
		time.Sleep(d.options.ServiceTime)
		d.handle(c)
	}
}

// next waits for a call; ok is false at the end.
func (d *Discovery) next() (c *call, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.isClosed && (d.isSilent || len(d.queue) == 0) {
		d.hasWork.Wait()
	}
	if d.isClosed {
		return nil, false
	}
	c, d.queue = d.queue[0], d.queue[1:]
	return c, true
}

// handle answers a call, or lets it wait for a change.
func (d *Discovery) handle(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := time.Until(c.until)
	switch {
	case d.isClosed:
	case d.isSilent:
		d.queue = append([]*call{c}, d.queue...)
	case c.since < 0 || d.version > c.since || wait <= 0:
		c.answer <- d.text(c)
	default:
		d.waiting[c] = time.AfterFunc(wait, func() { d.endWait(c) })
	}
}

// endWait answers a watch whose wait is over.
func (d *Discovery) endWait(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, isWaiting := d.waiting[c]; isWaiting && !d.isClosed {
		d.stopWaiting(c)
		c.answer <- d.text(c)
	}
}

// stopWaiting takes a watch off those that wait; d.mu is held.
func (d *Discovery) stopWaiting(c *call) {
	d.waiting[c].Stop()
	delete(d.waiting, c)
}

// text is the body of a call's answer; d.mu is held.
func (d *Discovery) text(c *call) listText {
	switch {
	case c.since < 0 || c.since < d.version-1:
		return listText{d.version, d.fullList}
	case c.since < d.version:
		return listText{d.version, d.changes}
	}
	return listText{c.since, fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, c.since)}
}

// write writes an answer.
func (d *Discovery) write(agent int, conn net.Conn, answer listText) error {
	time.Sleep(d.options.AnswerDelay)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(answer.text))
	if d.options.BodyDelay > 0 {
		if _, err := io.WriteString(conn, head); err != nil {
			return fmt.Errorf("writing the head: %w", err)
		}
		head = ""
		time.Sleep(d.options.BodyDelay)
	}
	d.noteWrite(agent, answer.version)
	if _, err := io.WriteString(conn, head+answer.text); err != nil {
		return fmt.Errorf("writing the answer: %w", err)
	}
	return nil
}

// noteWrite notes when a version is first written to an agent.
func (d *Discovery) noteWrite(agent int, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := writeKey{agent, version}
	if _, isKnown := d.firstWrite[key]; !isKnown {
		d.firstWrite[key] = time.Now()
	}
}
