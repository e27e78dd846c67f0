package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
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
	beforeHead  stopPoint = "before the head"
	headRead    stopPoint = "between the head and 100 (Continue)"
	continued   stopPoint = "between 100 (Continue) and the body"
	insideOfAll stopPoint = "between the body's first and last byte"
)

// refundPod is two backends of one cell that share a memory of idempotency keys. The first one that runs the traced refund
// loses its answer: it tells the test, waits, and resets the connection. The other one stops at a stated point of the repeat.
type refundPod struct {
	backends [2]*podBackend
	stopAt   stopPoint
	firstRun chan *podBackend // who has run the traced refund first
	mayReset chan struct{}    // closed when the first run's connection may be reset
	reset    func()           // closes mayReset
	conns    sync.WaitGroup

	mu    sync.Mutex
	began time.Time
	trace []string
	first *podBackend            // has run the traced refund first; nil before
	ranAt map[string][]time.Time // runs, by key
}

// podBackend is one backend. While it is stopped it reads nothing and sends nothing, as a stopped process does; what comes
// meanwhile lies in the kernel.
type podBackend struct {
	name, addr string
	pod        *refundPod
	answers    int           // guarded by pod.mu
	stopped    chan struct{} // guarded by pod.mu; closed when it goes on; nil while it runs
	reached    chan struct{} // closed when bytes of the repeat lie at the stopped backend, or it has stopped inside one
	once       sync.Once     // closes reached
}

func newRefundPod(t *testing.T, stopAt stopPoint) *refundPod {
	p := &refundPod{stopAt: stopAt, firstRun: make(chan *podBackend, 1), mayReset: make(chan struct{}), began: time.Now(), ranAt: map[string][]time.Time{}}
	p.reset = sync.OnceFunc(func() { close(p.mayReset) })
	for i := range p.backends {
		b := &podBackend{name: fmt.Sprint("s-", i+1), pod: p, reached: make(chan struct{})}
		b.addr, _ = rawServer(t, func(c net.Conn, _ *bufio.Reader) {
			p.conns.Add(1)
			defer p.conns.Done()
			b.serve(&stoppableConn{c.(*net.TCPConn), b})
		})
		p.backends[i] = b
		t.Cleanup(b.resume)
	}
	t.Cleanup(p.reset)
	return p
}

// log adds an event to the trace.
func (p *refundPod) log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace = append(p.trace, fmt.Sprintf("%7.1f ms  ", float64(time.Since(p.began).Microseconds())/1000)+fmt.Sprintf(format, args...))
}

// other returns the backend that is not b.
func (p *refundPod) other(b *podBackend) *podBackend {
	return p.backends[(slices.Index(p.backends[:], b)+1)%len(p.backends)]
}

// take runs a request unless the pod remembers its key. It returns how often the key has run, and whether it ran now.
func (p *refundPod) take(b *podBackend, key string) (runs int, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := p.ranAt[key]
	if len(ran) > 0 && time.Since(ran[len(ran)-1]) < podWindow {
		return len(ran), false
	}
	if p.ranAt[key] = append(ran, time.Now()); key == tracedKey && p.first == nil {
		p.first = b
	}
	return len(ran) + 1, true
}

// ranElsewhere reports whether the other backend ran the traced refund first.
func (p *refundPod) ranElsewhere(b *podBackend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first != nil && p.first != b
}

func (p *refundPod) runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ranAt[key])
}

// awaitForgotten waits until the pod has forgotten the first run of the key.
func (p *refundPod) awaitForgotten(key string) {
	p.mu.Lock()
	ran := p.ranAt[key][0]
	p.mu.Unlock()
	<-time.After(time.Until(ran.Add(podWindow)) + time.Millisecond)
	p.log("the pod has forgotten the key")
}

func (b *podBackend) stop() {
	b.pod.mu.Lock()
	b.stopped = make(chan struct{})
	b.pod.mu.Unlock()
	b.pod.log("%s stops", b.name)
}

// resume lets a stopped backend go on.
func (b *podBackend) resume() {
	b.pod.mu.Lock()
	defer b.pod.mu.Unlock()
	if b.stopped != nil {
		close(b.stopped)
		b.stopped = nil
	}
}

// gate returns what is closed when the backend goes on, nil while it runs.
func (b *podBackend) gate() chan struct{} {
	b.pod.mu.Lock()
	defer b.pod.mu.Unlock()
	return b.stopped
}

func (b *podBackend) answered() int {
	b.pod.mu.Lock()
	defer b.pod.mu.Unlock()
	return b.answers
}

// markReached says that the repeat is where the stop was to meet it.
func (b *podBackend) markReached() { b.once.Do(func() { close(b.reached) }) }

// stoppableConn reads byte by byte, and each one only while its backend runs.
type stoppableConn struct {
	*net.TCPConn
	backend *podBackend
}

func (c *stoppableConn) Read(to []byte) (int, error) {
	if err := c.awaitReadable(); err != nil {
		return 0, err
	}
	if gate := c.backend.gate(); gate != nil {
		c.backend.pod.log("%s is stopped, bytes lie unread", c.backend.name)
		c.backend.markReached()
		<-gate
		c.backend.pod.log("%s goes on: %d bytes lay unread", c.backend.name, c.unread())
	}
	return c.TCPConn.Read(to[:1])
}

func (c *stoppableConn) Write(text []byte) (int, error) {
	if gate := c.backend.gate(); gate != nil {
		<-gate
	}
	return c.TCPConn.Write(text)
}

// awaitReadable waits until bytes have come, or the end, and takes nothing.
func (c *stoppableConn) awaitReadable() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
}

// unread counts the bytes that lie in the kernel.
func (c *stoppableConn) unread() (n int) {
	if raw, err := c.SyscallConn(); err == nil {
		besteffort.Ignore(raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	}
	return n
}

// serve answers the requests of a connection.
func (b *podBackend) serve(c *stoppableConn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !b.readBody(c, r) || !b.answer(c, r) {
			return
		}
	}
}

// readBody reads a body, after 100 (Continue) where that is expected, and stops where the pod has it that a repeat is met.
func (b *podBackend) readBody(c *stoppableConn, r *http.Request) bool {
	repeats := r.Header.Get("Idempotency-Key") == tracedKey && b.pod.ranElsewhere(b)
	stopAt := func(here stopPoint) {
		if repeats && b.pod.stopAt == here {
			b.stop()
			b.markReached()
		}
	}
	if repeats {
		b.pod.log("%s has read the repeat's head, Expect: %q", b.name, r.Header.Get("Expect"))
	}
	stopAt(headRead)
	if r.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	stopAt(continued)
	if _, err := io.CopyN(io.Discard, r.Body, min(r.ContentLength, 1)); err != nil {
		return false
	}
	stopAt(insideOfAll)
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// answer runs a complete request and answers it; the traced refund's first answer is lost in a reset.
func (b *podBackend) answer(c *stoppableConn, r *http.Request) bool {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		runs, isNew := b.pod.take(b, key)
		b.pod.log("%s has %q complete: run %d, new: %v", b.name, key, runs, isNew)
		if key == tracedKey && runs == 1 && isNew {
			b.pod.firstRun <- b
			<-b.pod.mayReset
			b.pod.log("%s resets the connection of the first run", b.name)
			besteffort.Ignore(c.SetLinger(0))
			return false
		}
	}
	_, err := io.WriteString(c, served)
	b.pod.mu.Lock()
	b.answers++
	b.pod.mu.Unlock()
	return err == nil
}

// startWithPod starts an agent whose refunds are remembered for podWindow, and lets either backend of the pod serve one.
func startWithPod(t *testing.T, p *refundPod) *running {
	a := startWith(t, newFakeDiscovery(t, 1, entryText(p.backends[0].name, p.backends[0].addr, "Ready", 0),
		entryText(p.backends[1].name, p.backends[1].addr, "Ready", 0)), time.Millisecond, func(c *Config) {
		for i := range c.Site.Balancer.Classes {
			c.Site.Balancer.Classes[i].DedupWindow = podWindow
		}
	})
	for n := 0; p.backends[0].answered() == 0 || p.backends[1].answered() == 0; n++ {
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
	}{
		{stopAt: beforeHead, outlastsWindow: true, runs: 1},
		{stopAt: headRead, outlastsWindow: true, runs: 1},
		{stopAt: continued, outlastsWindow: false, runs: 1},
		{stopAt: insideOfAll, outlastsWindow: false, runs: 1},
		{stopAt: continued, outlastsWindow: true, runs: 2},   // the exposure that is left: the body is out
		{stopAt: insideOfAll, outlastsWindow: true, runs: 2}, // the same
	} {
		t.Run(fmt.Sprintf("%s, outlasts the window: %v", c.stopAt, c.outlastsWindow), func(t *testing.T) {
			t.Parallel()
			p := newRefundPod(t, c.stopAt)
			repeatMeetsStop(t, p, c.outlastsWindow)
			if n := p.runs(tracedKey); n != c.runs {
				t.Errorf("the refund ran %d times, want %d", n, c.runs)
			}
			if t.Failed() || testing.Verbose() {
				t.Log("the order of events:\n" + strings.Join(p.trace, "\n"))
			}
		})
	}
}

// repeatMeetsStop forces the order: first run, last sign of life of the other backend, its stop, reset, repeat, forgotten, go on.
// It returns when all that the agent wrote is read.
func repeatMeetsStop(t *testing.T, p *refundPod, outlastsWindow bool) {
	a := startWithPod(t, p)
	answer := make(chan reply, 1)
	sent := time.Now()
	p.log("the client sends the refund")
	go func() { answer <- a.refund(t, tracedKey) }()
	first := await(t, "the first run", p.firstRun)
	second := p.other(first)
	for before := second.answered(); second.answered() == before; {
		if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
			t.Fatalf("a sign of life: %+v", got)
		}
	}
	p.log("the agent has passed on an answer of %s, its last sign of life", second.name)
	if p.stopAt == beforeHead {
		second.stop()
	}
	p.reset()
	await(t, "the repeat meets the stop", second.reached)
	if outlastsWindow {
		p.awaitForgotten(tracedKey)
	}
	second.resume()
	got := await(t, "the client's answer", answer)
	took := time.Since(sent)
	p.log("the client has its answer: %d", got.status)
	if took > clientPatience+answerGrace {
		t.Errorf("the answer came after %v", took)
	}
	a.stop()
	if err := <-a.done; err != nil {
		t.Error(err)
	}
	a.done <- nil
	p.conns.Wait()
	p.log("all connections have ended")
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
