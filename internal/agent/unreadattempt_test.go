package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

// breakableNetwork is a way to a backend whose connections can be broken on both sides, as by a firewall that forgets them.
type breakableNetwork struct {
	addr  string
	mu    sync.Mutex
	conns []*net.TCPConn
}

func newBreakableNetwork(t *testing.T, backend string) *breakableNetwork {
	n := &breakableNetwork{}
	n.addr, _ = rawServer(t, func(c net.Conn, _ *bufio.Reader) {
		to, err := net.Dial("tcp", backend)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, c.(*net.TCPConn), to.(*net.TCPConn))
		n.mu.Unlock()
		go func() { besteffort.IgnoreResult(io.Copy(c, to)) }()
		besteffort.IgnoreResult(io.Copy(to, c))
	})
	return n
}

// breakAll resets all connections.
func (n *breakableNetwork) breakAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		besteffort.Ignore(c.SetLinger(0))
		besteffort.Close(c)
	}
}

// A refund lies unread at a backend that has just stopped when the network breaks its connections. It is repeated at the other backend, which
// reads and sends 100 (Continue). The first one goes on when the pod has forgotten that, and finds the refund complete.
func TestFirstAttemptLiesUnreadWhereItsConnectionBreaks(t *testing.T) {
	firstAttemptLiesUnread(t, Features{})
}

// The same with confirmed_only: nothing shows that the first backend has read the refund, so that it is not repeated.
func TestConfirmedOnlyWhereAFirstAttemptLiesUnread(t *testing.T) {
	firstAttemptLiesUnread(t, Features{ConfirmedRepeatsOnly: true})
}

func firstAttemptLiesUnread(t *testing.T, with Features) {
	p := newRefundPod(t)
	p.loses, p.features = false, with
	var ways [2]*breakableNetwork
	for i, b := range p.backends {
		ways[i] = newBreakableNetwork(t, b.addr)
		b.addr = ways[i].addr
	}
	a := p.start(t)
	for _, b := range p.backends {
		b.stopped.fire()
	}
	answer := make(chan reply, 1)
	go func() { answer <- a.refund(t, tracedKey) }()
	first := 0
	select {
	case <-p.backends[0].isReached.happened:
	case <-p.backends[1].isReached.happened:
		first = 1
	}
	p.backends[1-first].goesOn.fire()
	p.log("the network breaks the connections to %s", p.backends[first].name)
	ways[first].breakAll()
	p.log("the client has its answer: %d", await(t, "the client's answer", answer).status)
	p.mu.Lock()
	ranElsewhere := len(p.ranAt[tracedKey]) > 0
	p.mu.Unlock()
	if ranElsewhere {
		p.awaitForgotten()
	}
	p.backends[first].goesOn.fire()
	eventually(t, "the first backend has taken the refund", func() bool { return p.hasLogged(p.backends[first].name + " has \"" + tracedKey) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.ranAt[tracedKey]); n != 1 {
		t.Errorf("the refund ran %d times\n%s", n, strings.Join(p.trace, "\n"))
	}
}

// hasLogged reports whether an event of the trace has this text.
func (p *refundPod) hasLogged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(strings.Join(p.trace, "\n"), text)
}

// Backends reject expectations by 417, as they may, and serve what has none. Refunds are served as before agents asked for 100 (Continue).
func TestRefundsWhereExpectationsAreRejected(t *testing.T) {
	for _, with := range []Features{{}, {ConfirmedRepeatsOnly: true}} {
		var entries []string
		for i := range 4 {
			addr, _ := rawServer(t, rejectExpectations)
			entries = append(entries, entryText(fmt.Sprint("s-", i), addr, "Ready", 0))
		}
		a := startOn(t, newFakeDiscovery(t, 1, entries...), time.Millisecond, func(*Config) {}, with, slog.New(slog.DiscardHandler))
		failed := 0
		for i := range 20 {
			if got := a.refund(t, fmt.Sprint("key ", i)); got.status != http.StatusOK {
				failed++
			}
		}
		if failed > 0 {
			t.Errorf("confirmed_only %v: %d of 20 refunds were not served", with.ConfirmedRepeatsOnly, failed)
		}
	}
}

// rejectExpectations answers the requests of a connection: those that expect something by 417.
func rejectExpectations(c net.Conn, in *bufio.Reader) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text := served
		if r.Header.Get("Expect") != "" {
			text = "HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n"
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
		besteffort.IgnoreResult(io.WriteString(c, text))
	}
}

// With confirmed_only, a refund without a body is not repeated: there is nothing to hold back until its backend shows that it reads.
func TestConfirmedOnlyRepeatsNothingWithoutABody(t *testing.T) {
	for _, confirmedOnly := range []bool{false, true} {
		var refunds atomic.Int64
		fail := func(c net.Conn, r *http.Request, n int) bool {
			if refunds.Add(1) == 1 {
				return says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")(c, r, n)
			}
			return says(served)(c, r, n)
		}
		one, two := newBackend(t, fail), newBackend(t, fail)
		list := newFakeDiscovery(t, 1, entryText("s-1", one.Addr().String(), "Ready", 0), entryText("s-2", two.Addr().String(), "Ready", 0))
		a := startOn(t, list, time.Millisecond, func(*Config) {}, Features{ConfirmedRepeatsOnly: confirmedOnly}, slog.New(slog.DiscardHandler))
		r := a.newRequest(t, http.MethodPost, "/refund-record", "")
		r.Header.Set("Idempotency-Key", tracedKey)
		got, want := send(t, r), map[bool]int64{false: 2, true: 1}[confirmedOnly]
		if n := refunds.Load(); n != want || (got.status == http.StatusOK) == confirmedOnly {
			t.Errorf("confirmed_only %v: %d attempts, the client has %d", confirmedOnly, n, got.status)
		}
	}
}

// refundBehindReset starts an agent and returns the answer to a refund whose first run ends in a reset.
func (p *refundPod) refundBehindReset(t *testing.T) reply {
	t.Helper()
	a := p.start(t)
	answer := make(chan reply, 1)
	go func() { answer <- a.refund(t, tracedKey) }()
	await(t, "the first run", p.firstRun)
	p.mayReset.fire()
	return await(t, "the client's answer", answer)
}

// A backend runs a refund and resets its connection, as a live one may. Where it has sent 100 (Continue), the refund is known to be read. Where it omits
// that behind a body, and nothing else is sent to it, the repeat itself gets a sign from it. The refund is served, and runs once.
func TestRefundIsServedWhereALiveBackendResets(t *testing.T) {
	for _, omits100 := range []bool{false, true} {
		p := newRefundPod(t)
		p.omits100 = omits100
		got := p.refundBehindReset(t)
		p.mu.Lock()
		if n := len(p.ranAt[tracedKey]); got.status != http.StatusOK || n != 1 {
			t.Errorf("omits 100 behind a body %v: the client has %d, the refund ran %d times\n%s", omits100, got.status, n, strings.Join(p.trace, "\n"))
		}
		p.mu.Unlock()
	}
}

// A backend runs a refund and resets its connection; it is known to send no 100 (Continue). Nothing shows that another one of the pod reads just then: the refund is
// not sent again, and the client learns in time that it may have run. Where unconfirmed repeats are allowed, it is sent again.
func TestRefundIsNotRepeatedWhereBackendsSendNoContinue(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		p := newRefundPod(t)
		p.rejects, p.features.AllowUnconfirmedRepeats = true, allowed
		got := p.refundBehindReset(t)
		completed := 0
		p.mu.Lock()
		for _, event := range p.trace {
			if strings.Contains(event, "has \""+tracedKey+"\" complete") {
				completed++
			}
		}
		if want := map[bool]int{false: 1, true: 2}[allowed]; completed != want || (got.status == http.StatusOK) != allowed || got.status == http.StatusServiceUnavailable {
			t.Errorf("allowed %v: the client has %d, the refund came complete %d times\n%s", allowed, got.status, completed, strings.Join(p.trace, "\n"))
		}
		p.mu.Unlock()
	}
}
