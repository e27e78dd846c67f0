package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/logic"
)

// fixture is a sender with one backend.
type fixture struct {
	*sender
	reports []error
}

func newFixture(t *testing.T, addr string, most int) *fixture {
	f := &fixture{}
	p := newPool(2*time.Second, time.Minute, most)
	t.Cleanup(p.close)
	f.sender = &sender{pool: p, clock: newClock(), fields: []string{"util", "qps", "eps"},
		noted: func(err error) { f.reports = append(f.reports, err) }}
	f.list(addr, logic.Ready, 0)
	return f
}

func (f *fixture) list(addr string, state logic.State, started time.Duration) {
	f.pool.update(true, []member{{Server: logic.Server{ID: "b", State: state, Started: started}, addr: addr}})
}

// attempt makes a keyed attempt that may take so long.
func (f *fixture) attempt(within time.Duration) *attempt {
	c := &call{id: "9b1f03aa5c7e2d41", method: http.MethodPost, host: "origin.svc", url: &url.URL{Path: "/refund-record"},
		header: http.Header{"Idempotency-Key": {"k"}, "X-Request-Id": {"9b1f03aa5c7e2d41"}}, body: []byte("body")}
	until := f.clock.now() + within
	return &attempt{call: c, server: "b", backend: f.pool.backend("b"), until: until, writeBy: until}
}

// idle counts the connections that wait for use.
func (f *fixture) idle() int {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	n := 0
	for _, b := range f.pool.backends {
		n += len(b.idle)
	}
	return n
}

func resets(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

func closes(net.Conn, *http.Request, int) bool { return false }

// An outcome says exactly what may have run: the module resends by it, and effects must not repeat.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request, int) bool
		want   logic.Result
		idle   int
	}{
		"served":                     {says(served), logic.OK, 1},
		"served, then closed":        {says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine"), logic.OK, 0},
		"chunked":                    {says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), logic.OK, 1},
		"after an interim answer":    {says("HTTP/1.1 103 Early Hints\r\n\r\n" + served), logic.OK, 1},
		"more than one answer":       {says(served + served), logic.OK, 0},
		"error":                      {says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 that may have run":      {says("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 not processed":          {says("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"504 not processed":          {says("HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"500 that claims not to run": {says("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"closed":                     {closes, logic.Reset, 0},
		"reset":                      {resets, logic.Reset, 0},
		"garbage":                    {says("no HTTP at all\r\n\r\n"), logic.Reset, 0},
		"endless head":               {says("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswer)), logic.Reset, 0},
		"switching protocols":        {says("HTTP/1.1 101 Other\r\n\r\nsomething else\r\n\r\n"), logic.Reset, 0},
		"body over the limit": {says("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)),
			logic.Reset, 0},
		"chunks over the limit": {says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000)),
			logic.Reset, 0},
		// What follows leaves the connection open and silent: it must not hold the attempt until its deadline.
		"noise with no line":        {says("\x16\x03\x01noise"), logic.Reset, 0},
		"noise like an answer":      {says("HTTPS"), logic.Reset, 0},
		"half a head":               {says("HTTP/1.1 200 OK\r\nContent-Le"), logic.Reset, 0},
		"half a body":               {says("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine"), logic.Reset, 0},
		"a chunk with no size":      {says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\nfine\r\n"), logic.Reset, 0},
		"said to have 3 GB":         {says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine"), logic.Reset, 0},
		"two lengths":               {says("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine"), logic.Reset, 0},
		"negative length":           {says("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine"), logic.Reset, 0},
		"no length, left open":      {says("HTTP/1.1 200 OK\r\n\r\nfine"), logic.Reset, 0},
		"interim ones without end":  {says(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*mostInterim)), logic.Reset, 0},
		"good, and noise behind it": {says(served + "\x00noise"), logic.OK, 0},
		// It may be cut: nothing tells where it should have ended.
		"no length, then closed": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
			return false
		}, logic.Reset, 0},
		"truncated": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine")
			return false
		}, logic.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, c.script)
			f := newFixture(t, b.Addr().String(), 100)
			a := f.attempt(patience)
			a.sent = f.clock.now()
			out := f.try(context.Background(), a)
			if out.result != c.want {
				t.Errorf("result %v, want %v", out.result, c.want)
			}
			if (out.result == logic.OK) != (string(out.body) == "fine") {
				t.Errorf("body %q", out.body)
			}
			if took := f.clock.now() - a.sent; took > patience/2 {
				t.Errorf("it took %v", took)
			}
			if b.requests() != 1 {
				t.Errorf("the backend saw %d requests", b.requests())
			}
			if f.idle() != c.idle {
				t.Errorf("%d idle connections, want %d", f.idle(), c.idle)
			}
		})
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	f := newFixture(t, refusing(t), 100)
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.ConnectFailed {
		t.Errorf("result %v", out.result)
	}
}

func TestSilenceTimesOut(t *testing.T) {
	b := newBackend(t, silent)
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.try(context.Background(), f.attempt(time.Second)); out.result != logic.TimedOut {
		t.Errorf("result %v", out.result)
	}
	if n := len(f.pool.open); n != 0 {
		t.Errorf("%d connections left open", n)
	}
}

// A kept connection that breaks under a request gives one Reset: net/http's Transport would send the request
// again by itself, which nobody decided on and which may repeat an effect.
func TestNoHiddenResend(t *testing.T) {
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool { return n == 1 && says(served)(c, r, n) })
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.OK {
		t.Fatalf("first: %v", out.result)
	}
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.Reset {
		t.Errorf("second: %v", out.result)
	}
	if b.requests() != 2 || b.connections() != 1 {
		t.Errorf("%d requests on %d connections", b.requests(), b.connections())
	}
}

// A kept connection that the far end has closed is found out before a request is lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool { says(served)(c, r, n); return n > 1 })
	f := newFixture(t, b.Addr().String(), 100)
	f.try(context.Background(), f.attempt(patience))
	eventually(t, "the close has come", func() bool {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		idle := f.pool.backends["b"].idle
		return len(idle) == 1 && !idle[0].quiet()
	})
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.OK || b.connections() != 2 {
		t.Errorf("result %v on %d connections", out.result, b.connections())
	}
}

func TestConnectionsAreKeptButNotTooLong(t *testing.T) {
	b := newBackend(t, says(served))
	f := newFixture(t, b.Addr().String(), 100)
	for range 3 {
		f.try(context.Background(), f.attempt(patience))
	}
	if b.connections() != 1 {
		t.Errorf("%d connections for requests one after another", b.connections())
	}
	f.pool.idleFor = 0 // all that is idle is near the backend's limit now
	f.try(context.Background(), f.attempt(patience))
	if b.connections() != 2 {
		t.Error("a connection near the idle limit was used again")
	}
	f.pool.sweep()
	if f.idle() != 0 || len(f.pool.open) != 0 {
		t.Error("the sweep left an old connection open")
	}
}

// Nothing is written once the backend drains, is gone or has started anew, the request has ended, its time is
// up or the backends may have forgotten its key: a dial may have taken that long.
func TestNotSent(t *testing.T) {
	b := newBackend(t, says(served))
	addr := b.Addr().String()
	for name, change := range map[string]func(f *fixture, a *attempt){
		"drains":    func(f *fixture, a *attempt) { f.list(addr, logic.Draining, 0) },
		"gone":      func(f *fixture, a *attempt) { f.pool.update(true, nil) },
		"restarted": func(f *fixture, a *attempt) { f.list(addr, logic.Ready, 7) },
		"moved":     func(f *fixture, a *attempt) { f.list(refusing(t), logic.Ready, 0) },
		"ended":     func(f *fixture, a *attempt) { a.call.closed.Store(true) },
		"late":      func(f *fixture, a *attempt) { a.until, a.writeBy = 0, 0 },
		"forgotten": func(f *fixture, a *attempt) { a.writeBy = 0 },
		"unknown":   func(f *fixture, a *attempt) { a.backend = nil },
	} {
		t.Run(name, func(t *testing.T) {
			before := b.requests()
			f := newFixture(t, addr, 100)
			a := f.attempt(patience)
			change(f, a)
			if out := f.try(context.Background(), a); out.result != logic.NotSent {
				t.Errorf("result %v", out.result)
			}
			if f.stillWanted(a) || b.requests() != before {
				t.Error("it was sent, or would have been")
			}
		})
	}
}

func TestListChangesCloseConnections(t *testing.T) {
	b := newBackend(t, says(served))
	addr := b.Addr().String()
	f := newFixture(t, addr, 100)
	for i, change := range []func(){
		func() { f.list(addr, logic.Draining, 0) },
		func() { f.list(addr, logic.Ready, 9) },
		func() { f.pool.update(false, []member{{Server: logic.Server{ID: "b", State: logic.Gone}}}) },
	} {
		f.list(addr, logic.Ready, 0)
		f.try(context.Background(), f.attempt(patience))
		if f.idle() != 1 {
			t.Fatalf("%d: no connection was kept", i)
		}
		change()
		if len(f.pool.open) != 0 {
			t.Errorf("%d: the connection is still open", i)
		}
	}
}

// A silent backend gets only its part of the connections, and what is idle makes room for what is needed.
func TestConnectionLimits(t *testing.T) {
	quiet, fine := newBackend(t, silent), newBackend(t, says(served))
	f := newFixture(t, quiet.Addr().String(), 8)
	b := f.pool.backend("b")
	for i := range 2 {
		if _, err := f.pool.get(context.Background(), b); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := f.pool.get(context.Background(), b); !errors.Is(err, errNoRoom) {
		t.Errorf("a third of at most 8/4: %v", err)
	}
	// It is the agent's own lack: told as a failure of the backend, it would make the module shun one that is well.
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.NotSent {
		t.Errorf("an attempt with no place: %v", out.result)
	}
	var others []member
	for i := range 9 {
		others = append(others, member{Server: logic.Server{ID: fmt.Sprint(i)}, addr: fine.Addr().String()})
	}
	f.pool.update(false, others)
	for i := range 9 {
		a := f.attempt(patience)
		a.backend = f.pool.backend(fmt.Sprint(i))
		if out := f.try(context.Background(), a); out.result != logic.OK {
			t.Errorf("backend %d: %v", i, out.result)
		}
	}
	if n := len(f.pool.open); n > 8 {
		t.Errorf("%d connections of at most 8", n)
	}
}

func TestRequestGoesOnUnchanged(t *testing.T) {
	b := newBackend(t, says(served))
	f := newFixture(t, b.Addr().String(), 100)
	f.try(context.Background(), f.attempt(1500*time.Millisecond))
	if b.requests() != 1 {
		t.Fatal("nothing came")
	}
	r := b.seen[0]
	left, err := parseTimeout(r.Header.Get("X-Timeout"), patience)
	if err != nil || left > 1500*time.Millisecond {
		t.Errorf("X-Timeout %q: %v", r.Header.Get("X-Timeout"), err)
	}
	if r.Method != http.MethodPost || r.RequestURI != "/refund-record" || r.Header.Get("Idempotency-Key") != "k" ||
		r.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || b.bodys[0] != "body" || r.Host != "origin.svc" {
		t.Errorf("%s %s %v %q", r.Method, r.RequestURI, r.Header, b.bodys[0])
	}
}

func TestReports(t *testing.T) {
	fields := []string{"util", "qps", "eps"}
	r, err := parseReport("util=0.5, qps=12,eps=0.25,unheard=3,queue=9", fields)
	if want := (logic.Report{Util: 0.5, Rate: 12, Errors: 0.25, InFlight: -1, Queue: -1}); err != nil || r != want {
		t.Errorf("%+v, %v", r, err)
	}
	for _, text := range []string{"util", "util=", "util=x", "util=NaN,qps=1", "util=Inf", "util=-1", "qps=1e300", "=,"} {
		if r, err := parseReport(text, fields); err == nil {
			t.Errorf("%q gives %+v", text, r)
		}
	}
}

// A malformed report spoils neither the answer that brought it nor the module's averages.
func TestMalformedReportIsPassedOver(t *testing.T) {
	b := newBackend(t, says("HTTP/1.1 200 OK\r\nX-Server-Load: util=NaN,qps=3\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, b.Addr().String(), 100)
	out := f.try(context.Background(), f.attempt(patience))
	if out.result != logic.OK || out.report != logic.NoReport || len(f.reports) != 1 {
		t.Errorf("%v %+v %v", out.result, out.report, f.reports)
	}
}

// A report that can be read counts, also behind one that can't.
func TestReportBehindAMalformedOne(t *testing.T) {
	b := newBackend(t, says("HTTP/1.1 200 OK\r\nX-Server-Load: %%%\r\nX-Server-Load: util=0.5\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.try(context.Background(), f.attempt(patience)); out.result != logic.OK || out.report.Util != 0.5 {
		t.Errorf("%v %+v", out.result, out.report)
	}
}

// holdDials makes dials to that address wait for the channel to close, as a machine that says nothing does.
func (f *fixture) holdDials(addr string, until chan struct{}) (began chan struct{}) {
	began = make(chan struct{}, 1)
	f.pool.dialer.ControlContext = func(ctx context.Context, _, to string, _ syscall.RawConn) error {
		if to != addr {
			return nil
		}
		began <- struct{}{}
		select {
		case <-until:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return began
}

// A dial that is never up fails in the connect time-out, and meanwhile holds up nothing else.
func TestDeadDial(t *testing.T) {
	dead, fine := newBackend(t, says(served)), newBackend(t, says(served))
	f := newFixture(t, dead.Addr().String(), 100)
	f.pool.dialer.Timeout = time.Second
	began := f.holdDials(dead.Addr().String(), nil)
	first := f.attempt(patience)
	f.pool.update(false, []member{{Server: logic.Server{ID: "other"}, addr: fine.Addr().String()}})
	done := make(chan outcome)
	go func() { done <- f.try(context.Background(), first) }()
	<-began
	second := f.attempt(patience)
	second.backend = f.pool.backend("other")
	if out := f.try(context.Background(), second); out.result != logic.OK {
		t.Errorf("to another backend meanwhile: %v", out.result)
	}
	if out := <-done; out.result != logic.ConnectFailed || dead.requests() != 0 {
		t.Errorf("the dead dial: %v", out.result)
	}
}

// A backend that begins to drain while the dial goes on gets nothing, though the connection comes up.
func TestDrainDuringDial(t *testing.T) {
	b := newBackend(t, says(served))
	addr := b.Addr().String()
	f := newFixture(t, addr, 100)
	f.pool.dialer.Timeout = patience
	up := make(chan struct{})
	began := f.holdDials(addr, up)
	a := f.attempt(patience)
	done := make(chan outcome)
	go func() { done <- f.try(context.Background(), a) }()
	<-began
	f.list(addr, logic.Draining, 0)
	close(up)
	if out := <-done; out.result != logic.NotSent || b.requests() != 0 || len(f.pool.open) != 0 {
		t.Errorf("%v with %d requests, %d connections left", out.result, b.requests(), len(f.pool.open))
	}
}

// The connection used last is used first, so that those not needed grow old and close.
func TestMostRecentlyUsedFirst(t *testing.T) {
	b := newBackend(t, says(served))
	f := newFixture(t, b.Addr().String(), 100)
	var held []*conn
	for range 3 {
		c, err := f.pool.get(context.Background(), f.pool.backend("b"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	for _, i := range []int{0, 2, 1} {
		f.pool.put(held[i], true)
	}
	for _, want := range []int{1, 2, 0} {
		if c, err := f.pool.get(context.Background(), f.pool.backend("b")); err != nil || c != held[want] {
			t.Errorf("not connection %d: %v", want, err)
		}
	}
}
