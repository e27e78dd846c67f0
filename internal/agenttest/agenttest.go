// Package agenttest holds the test doubles that tests share: backends and an endpoint list on loopback sockets, settings
// and configurations, and a log that can be read while it is written. What a test starts here ends with the test.
package agenttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/harness/loopback"
	"appleledge/internal/membership"
)

// Patience is how long a test waits for what must happen. It is long, as other work may hold the machine up.
const Patience = 20 * time.Second

// SettingsText is the platform's settings object, with one class of each effect.
const SettingsText = `{"Balancers":2,"Me":0,"TickNs":5000000,"WeightKind":"Silent","Discovery":"automatic",
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MaxRetryAfterNs":1000000000,"MostHeld":1000,"MostTries":5,"ParallelTries":true,"RetryAfter":false},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"form-check","Worth":2},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"by_key","Group":"cell","Name":"refund-record","WindowNs":2000000000,"Worth":10},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"once","Name":"pay","Worth":1}],
 "Report":{"Fields":["util","qps","eps"],"Via":"piggyback"},"Rules":{"ColdFrom":0.32,"ColdNs":8700000000,"OverloadFactor":3},
 "Tenants":[{"Name":"glasgow-airport","Portion":0.5},{"Name":"lerwick-port","Portion":0.5}],"OverShareWorth":0.1,
 "Zones":["edinburgh-dc"]}`

// ConfigText returns the platform's configuration file; known is the JSON value of its list of known servers.
func ConfigText(discovery, known string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","Listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, known, SettingsText)
}

// NoEnv is an empty environment.
func NoEnv(string) string { return "" }

// Listen listens on a free loopback port until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(l) })
	return l
}

// Refusing returns a loopback address at which nothing listens. It is reserved until the test ends: what the test starts may
// listen there.
func Refusing(t testing.TB) string {
	t.Helper()
	h, err := loopback.Hold()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h.Addr()
}

// Eventually polls ok until it returns true, and fails the test after Patience. It must be called from the test's goroutine.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("waited %v in vain: %s", Patience, what)
}

// Sink records the updates of a membership source. It is safe for concurrent use.
type Sink struct {
	Updates chan membership.Update
	Losses  chan error // the first one that isn't read yet
}

// NewSink returns a sink that holds up to 100 updates and drops later ones, so that a failing test ends.
func NewSink() Sink { return Sink{make(chan membership.Update, 100), make(chan error, 1)} }

// Update records an update, or drops it if the channel is full.
func (s Sink) Update(u membership.Update) {
	select {
	case s.Updates <- u:
	default:
	}
}

// Disconnected records the reason, unless an earlier one isn't read yet.
func (s Sink) Disconnected(err error) {
	select {
	case s.Losses <- err:
	default:
	}
}

// ServeConns serves each connection of a listener in a goroutine of its own, and closes it when serve returns. The listener and what is
// open then are closed with the test, which waits for all of them; wait closes the listener and waits for them before that.
func ServeConns(t testing.TB, l net.Listener, serve func(net.Conn)) (wait func()) {
	var all sync.WaitGroup
	wait = func() { besteffort.Close(l); all.Wait() }
	t.Cleanup(wait)
	all.Go(func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			t.Cleanup(func() { besteffort.Close(c) })
			all.Go(func() { defer besteffort.Close(c); serve(c) })
		}
	})
	return wait
}

// Backend reads complete requests and lets a script answer them. The script returns false to close the connection.
type Backend struct {
	net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    int
}

// NewBackend starts a backend that ends with the test. The script gets the number of the request, from 1; each connection
// calls it from a goroutine of its own.
func NewBackend(t testing.TB, script func(c net.Conn, r *http.Request, n int) bool) *Backend {
	b := &Backend{Listener: Listen(t)}
	ServeConns(t, b, func(c net.Conn) { b.serve(c, script) })
	return b
}

// serve answers the requests of one connection.
func (b *Backend) serve(c net.Conn, script func(c net.Conn, r *http.Request, n int) bool) {
	b.mu.Lock()
	b.conns++
	b.mu.Unlock()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requests, b.bodies = append(b.requests, r), append(b.bodies, string(body))
		n := len(b.requests)
		b.mu.Unlock()
		if !script(c, r, n) {
			return
		}
	}
}

// Request returns the n-th request, from 0, and its body. It panics if there are fewer.
func (b *Backend) Request(n int) (*http.Request, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests[n], b.bodies[n]
}

// Requests returns the number of complete requests.
func (b *Backend) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// Connections returns the number of connections accepted.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// Says returns a script that always writes the same text.
func Says(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// Silent is a script that reads a request and never answers.
func Silent(c net.Conn, _ *http.Request, _ int) bool {
	besteffort.IgnoreResult(io.Copy(io.Discard, c))
	return false
}

// Served is an answer with a load report.
const Served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: util=0.5,qps=10,eps=0\r\n\r\nfine"

// EntryText returns an entry of the endpoint list as JSON; started is in milliseconds of Unix time.
func EntryText(id, addr, state string, started int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"edinburgh-dc","kind":"twin-core","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
		id, addr, state, started)
}

// ListText returns a list, or a change of it, as JSON.
func ListText(version int, full bool, entries ...string) string {
	text := "["
	for i, e := range entries {
		if i > 0 {
			text += ","
		}
		text += e
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":%s]}`, version, full, text)
}

// Discovery serves the endpoint list that the test set last, and answers watches when it is newer than theirs.
type Discovery struct {
	net.Listener
	end       func()
	mu        sync.Mutex
	version   int
	update    string // answers watches
	fullList  string
	isSilent  bool // be Silent, as in an outage
	fullCalls int  // Calls for the whole list
	watches   int
}

// NewDiscovery starts a discovery that ends with the test.
func NewDiscovery(t testing.TB, version int, entries ...string) *Discovery {
	t.Helper()
	return newDiscoveryOn(t, Listen(t), version, entries...)
}

// Replace ends a discovery as a crash does and starts another one at its address, which counts versions of its own.
func (d *Discovery) Replace(t testing.TB, version int, entries ...string) *Discovery {
	t.Helper()
	d.end()
	l, err := net.Listen("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return newDiscoveryOn(t, l, version, entries...)
}

func newDiscoveryOn(t testing.TB, l net.Listener, version int, entries ...string) *Discovery {
	d := &Discovery{Listener: l}
	d.Set(version, true, entries...)
	srv := &http.Server{Handler: d}
	var running sync.WaitGroup
	running.Go(func() { besteffort.Ignore(srv.Serve(d)) })
	d.end = func() { besteffort.Close(srv); running.Wait() }
	t.Cleanup(d.end)
	return d
}

// Set sets the list, or a change of it if full is false; calls for the whole list still get the last full one.
func (d *Discovery) Set(version int, full bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.update = version, ListText(version, full, entries...)
	if full {
		d.fullList = d.update
	}
}

// Silence makes the discovery hold all answers back, as in an outage, or answer again.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = on
}

// Calls returns the numbers of calls for the whole list and of watches.
func (d *Discovery) Calls() (wholes, watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullCalls, d.watches
}

// ServeHTTP answers a call or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	d.mu.Lock()
	if watch := err == nil; watch {
		d.watches++
	} else {
		d.fullCalls++
	}
	d.mu.Unlock()
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for r.Context().Err() == nil {
		d.mu.Lock()
		mute, version, text, whole := d.isSilent, d.version, d.update, d.fullList
		d.mu.Unlock()
		switch {
		case mute:
		case err != nil:
			besteffort.IgnoreResult(io.WriteString(w, whole))
			return
		case version > since:
			besteffort.IgnoreResult(io.WriteString(w, text))
			return
		case time.Now().After(end):
			besteffort.IgnoreResult(io.WriteString(w, ListText(min(since, version), false)))
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// LockedBuffer is a buffer that is safe for concurrent use, for logs that a test reads while they are written.
type LockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// String returns what has been written.
func (b *LockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Write appends p.
func (b *LockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Count returns how often the text occurs.
func (b *LockedBuffer) Count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buf.Bytes(), []byte(text))
}
