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
	"syscall"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

const (
	podWindow      = time.Second            // for which the pod remembers an idempotency key
	clientPatience = 2 * time.Second        // X-Timeout of newRequest
	answerGrace    = 250 * time.Millisecond // by which an answer may miss clientPatience on a busy machine
	tracedKey      = "the refund"
)

// stopPoint is a moment in the reading of a repeat.
type stopPoint string

const (
	beforeHead     stopPoint = "before the head"
	beforeContinue stopPoint = "between head and 100"
	beforeBody     stopPoint = "between 100 and body"
	insideBody     stopPoint = "between first and last byte of the body"
)

// signal is an event that happens once.
type signal struct {
	happened chan struct{}
	fire     func()
}

func newSignal() signal {
	c := make(chan struct{})
	return signal{c, sync.OnceFunc(func() { close(c) })}
}

func (s signal) hasHappened() bool {
	select {
	case <-s.happened:
		return true
	default:
		return false
	}
}

// refundPod is two backends of one cell that share a memory of idempotency keys. The first one that runs the traced refund tells
// the test and waits, and then resets the connection.
type refundPod struct {
	backends [2]*podBackend
	firstRun chan *podBackend // who has run the traced refund first
	mayReset signal
	omits100 bool // where the body is there already, as RFC 9110, section 10.1.1 allows
	rejects  bool // what expects 100, by 417
	loses    bool // the answer of the first run
	isFleet  bool // the agent knows it as the whole fleet, whose servers all drop each other's repeats
	features Features
	conns    sync.WaitGroup
	began    time.Time

	mu    sync.Mutex
	trace []string
	ranAt map[string][]time.Time // runs, by key
}

// podBackend is one backend. From stopped to goesOn it reads and sends nothing, as a stopped process does: what comes meanwhile
// lies in the kernel.
type podBackend struct {
	name, addr string
	pod        *refundPod
	answers    atomic.Int64
	stopAt     atomic.Value // stopPoint: where it stops in the next request; nil: nowhere
	stopped    signal
	isReached  signal // bytes of the repeat lie at the stopped backend, or it was to answer one
	goesOn     signal
}

func newRefundPod(t *testing.T) *refundPod {
	p := &refundPod{loses: true, firstRun: make(chan *podBackend, 1), mayReset: newSignal(), began: time.Now(), ranAt: map[string][]time.Time{}}
	for i := range p.backends {
		b := &podBackend{name: fmt.Sprint("s-", i+1), pod: p, stopped: newSignal(), isReached: newSignal(), goesOn: newSignal()}
		b.addr, _ = rawServer(t, func(c net.Conn, _ *bufio.Reader) {
			p.conns.Add(1)
			defer p.conns.Done()
			b.serve(stoppableConn{c.(*net.TCPConn), b})
		})
		p.backends[i] = b
		t.Cleanup(b.goesOn.fire)
	}
	t.Cleanup(p.mayReset.fire)
	return p
}

// log adds an event to the trace.
func (p *refundPod) log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace = append(p.trace, fmt.Sprintf("%7.1f ms  ", float64(time.Since(p.began).Microseconds())/1000)+fmt.Sprintf(format, args...))
}

// take runs a request unless the pod remembers its key. It returns how often the key has run, and whether it ran now.
func (p *refundPod) take(key string) (runs int, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := p.ranAt[key]
	if len(ran) > 0 && time.Since(ran[len(ran)-1]) < podWindow {
		return len(ran), false
	}
	p.ranAt[key] = append(ran, time.Now())
	return len(ran) + 1, true
}

// awaitForgotten waits until the pod has forgotten the first run.
func (p *refundPod) awaitForgotten() {
	p.mu.Lock()
	ran := p.ranAt[tracedKey][0]
	p.mu.Unlock()
	<-time.After(time.Until(ran.Add(podWindow)) + time.Millisecond)
	p.log("the pod has forgotten the key")
}

// awaitRunning returns when the backend is not, or no longer, stopped.
func (b *podBackend) awaitRunning() {
	if b.stopped.hasHappened() && !b.goesOn.hasHappened() {
		b.pod.log("%s is stopped and has something to read or to send", b.name)
		b.isReached.fire()
		<-b.goesOn.happened
	}
}

// stoppableConn reads byte by byte, so that its backend can stop before any of them.
type stoppableConn struct {
	*net.TCPConn
	backend *podBackend
}

func (c stoppableConn) Read(to []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { // waits until bytes have come, and takes none
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN && err != syscall.EINTR
		})
	}
	if err != nil {
		return 0, err
	}
	c.backend.awaitRunning()
	return c.TCPConn.Read(to[:1])
}

func (c stoppableConn) Write(text []byte) (int, error) {
	c.backend.awaitRunning()
	return c.TCPConn.Write(text)
}

// serve answers the requests of a connection, and stops at stopAt.
func (b *podBackend) serve(c stoppableConn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		stopAt := func(here stopPoint) {
			if b.stopAt.Load() == here {
				b.pod.log("%s stops %s, Expect: %q", b.name, here, r.Header.Get("Expect"))
				b.stopped.fire()
			}
		}
		stopAt(beforeContinue)
		isOmitted := b.pod.omits100 && sockstate.Peek(c.TCPConn) == sockstate.Readable
		if r.Header.Get("Expect") != "" && b.pod.rejects {
			besteffort.IgnoreResult(io.WriteString(c, "HTTP/1.1 417 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			return
		}
		if r.Header.Get("Expect") == "100-continue" && !isOmitted {
			besteffort.IgnoreResult(io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"))
		}
		stopAt(beforeBody)
		if _, err := io.CopyN(io.Discard, r.Body, min(r.ContentLength, 1)); err != nil {
			return
		}
		stopAt(insideBody)
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !b.answer(c, r.Header.Get("Idempotency-Key")) {
			return
		}
	}
}

// answer runs and answers a complete request. The traced refund's first answer is lost in a reset.
func (b *podBackend) answer(c stoppableConn, key string) bool {
	if key != "" {
		runs, isNew := b.pod.take(key)
		b.pod.log("%s has %q complete: run %d, new: %v", b.name, key, runs, isNew)
		if key == tracedKey && runs == 1 && isNew && b.pod.loses {
			b.pod.firstRun <- b
			<-b.pod.mayReset.happened
			b.pod.log("%s resets the connection of the first run", b.name)
			besteffort.Ignore(c.SetLinger(0))
			return false
		}
	}
	b.answers.Add(1)
	_, err := io.WriteString(c, served)
	return err == nil
}

// start runs an agent whose refunds are remembered for podWindow, and lets each backend of the pod answer some first.
func (p *refundPod) start(t *testing.T) *running {
	one, two := p.backends[0], p.backends[1]
	list := newFakeDiscovery(t, 1, entryText(one.name, one.addr, "Ready", 0), entryText(two.name, two.addr, "Ready", 0))
	a := startOn(t, list, time.Millisecond, func(c *Config) {
		for i := range c.Site.Balancer.Classes {
			c.Site.Balancer.Classes[i].DedupWindow = podWindow
			if p.isFleet {
				c.Site.Balancer.Classes[i].DedupScope = balancer.DedupFleet
			}
		}
	}, p.features, slog.New(slog.DiscardHandler))
	for n := 0; one.answers.Load() == 0 || two.answers.Load() == 0; n++ {
		if got := a.refund(t, fmt.Sprint("warm-up ", n)); got.status != http.StatusOK || n > 100 {
			t.Fatalf("warm-up %d: %+v", n, got)
		}
	}
	return a
}

func (a *running) refund(t *testing.T, key string) reply {
	r := a.newRequest(t, http.MethodPost, "/refund-record", "amount=7")
	r.Header.Set("Idempotency-Key", key)
	return send(t, r)
}

// A backend runs a refund and resets the connection. The other one of its pod answers up to then, and stops while the repeat is on
// its way. It goes on when the pod has forgotten the key, or before, and runs what it then finds complete and nobody remembers.
// What waits for 100 (Continue) can run twice only if the stop falls behind that and outlasts the window.
func TestRepeatMeetsBackendThatStops(t *testing.T) {
	for _, c := range []struct {
		stopAt         stopPoint
		outlastsWindow bool
		runs           int
		omits100       bool
	}{
		{beforeHead, true, 1, false},
		{beforeHead, true, 1, true}, // no first attempt has shown that it sends 100 to a head alone
		{beforeContinue, true, 1, false},
		{beforeContinue, true, 1, true},
		{beforeBody, false, 1, false},
		{insideBody, false, 1, false},
		{beforeBody, true, 2, false}, // the exposure that is left: the body is out
		{insideBody, true, 2, false}, // the same
	} {
		t.Run(fmt.Sprintf("%s, outlasts the window %v, omits 100 behind a body %v", c.stopAt, c.outlastsWindow, c.omits100), func(t *testing.T) {
			t.Parallel()
			p := newRefundPod(t)
			p.omits100 = c.omits100
			p.meetRepeat(t, c.stopAt, c.outlastsWindow)
			if n := len(p.ranAt[tracedKey]); n != c.runs {
				t.Errorf("the refund ran %d times, want %d", n, c.runs)
			}
			t.Log("the order of events:\n" + strings.Join(p.trace, "\n"))
		})
	}
}

// meetRepeat forces the order: first run, the other backend's last sign of life, its stop, reset, repeat, forgotten, it goes on. It
// returns when all that the agent wrote is read.
func (p *refundPod) meetRepeat(t *testing.T, stopAt stopPoint, outlastsWindow bool) {
	a := p.start(t)
	answer := make(chan reply, 1)
	sent := time.Now()
	p.log("the client sends the refund")
	go func() { answer <- a.refund(t, tracedKey) }()
	second := p.backends[0]
	if await(t, "the first run", p.firstRun) == second {
		second = p.backends[1]
	}
	for before := second.answers.Load(); second.answers.Load() == before; {
		if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
			t.Fatalf("a sign of life: %+v", got)
		}
	}
	p.log("the agent has passed on an answer of %s, its last sign of life", second.name)
	if second.stopAt.Store(stopAt); stopAt == beforeHead {
		p.log("%s stops", second.name)
		second.stopped.fire()
	}
	p.mayReset.fire()
	await(t, "the repeat meets the stop", second.isReached.happened)
	if outlastsWindow {
		p.awaitForgotten()
	}
	p.log("%s goes on", second.name)
	second.goesOn.fire()
	got := await(t, "the client's answer", answer)
	p.log("the client has its answer: %d", got.status)
	if took := time.Since(sent); took > clientPatience+answerGrace {
		t.Errorf("the answer came after %v", took)
	}
	a.stop()
	if err := <-a.done; err != nil {
		t.Error(err)
	}
	a.done <- nil
	p.conns.Wait()
}

// await takes from a channel, or ends the test.
func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(patience):
		t.Fatal("waited in vain: " + what)
	}
	return value
}

// All backends drop each other's repeats. One of them runs a refund and resets the connection, and the agent makes no repeat of it. The client retries only
// what is rejected, which says that a retry is harmless. Both backends stop in that moment, as nobody can know, and go on when they have forgotten the key.
func TestRetryOfWhatIsRejectedMeetsBackendsThatStop(t *testing.T) {
	p := newRefundPod(t)
	p.rejects, p.isFleet = true, true // they send no 100 (Continue)
	a := p.start(t)
	answer := make(chan reply, 1)
	go func() { answer <- a.refund(t, tracedKey) }()
	await(t, "the first run", p.firstRun)
	for _, b := range p.backends {
		b.stopped.fire()
	}
	p.mayReset.fire()
	got := await(t, "the client's answer", answer)
	p.log("the client has %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	if isRejection := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests; isRejection {
		p.retryUntilForgotten(t, a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.ranAt[tracedKey]); n != 1 || got.status != http.StatusBadGateway {
		t.Errorf("the client has %d, the refund ran %d times\n%s", got.status, n, strings.Join(p.trace, "\n"))
	}
}

// retryUntilForgotten sends the traced refund once more, and lets the stopped backends go on when the pod has forgotten the key. It returns when the
// retry has been taken.
func (p *refundPod) retryUntilForgotten(t *testing.T, a *running) {
	t.Helper()
	answer := make(chan reply, 1)
	go func() { answer <- a.refund(t, tracedKey) }()
	select {
	case <-p.backends[0].isReached.happened:
	case <-p.backends[1].isReached.happened:
	case early := <-answer:
		t.Fatalf("the retry has met no stopped backend, its client has %d", early.status)
	}
	p.awaitForgotten()
	for _, b := range p.backends {
		b.goesOn.fire()
	}
	await(t, "the answer to the retry", answer)
}
