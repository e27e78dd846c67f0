package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
)

// newTestPool is a pool with one backend, b.
func newTestPool(t *testing.T, addr string, most int) *Pool {
	p := New(2*time.Second, time.Minute, most)
	t.Cleanup(p.Close)
	p.Update(true, []engine.Member{{Server: balancer.Server{ID: "b"}, Addr: addr}})
	return p
}

// take gets a connection, or ends the test.
func take(t *testing.T, p *Pool, backend string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), p.Backend(backend))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A kept connection that the far end has closed is found out before a request is lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	l := agenttest.Listen(t)
	p := newTestPool(t, l.Addr().String(), 100)
	first := take(t, p, "b")
	p.Release(first, true)
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(far)
	agenttest.Eventually(t, "the close has come", func() bool { return !first.isIdleAndOpen() })
	if take(t, p, "b") == first {
		t.Error("the closed connection was used")
	}
}

func TestConnectionsAreKeptButNotTooLong(t *testing.T) {
	p := newTestPool(t, agenttest.Listen(t).Addr().String(), 100)
	first := take(t, p, "b")
	for range 3 {
		p.Release(first, true)
		if take(t, p, "b") != first {
			t.Fatal("a new connection for requests one after another")
		}
	}
	p.Release(first, true)
	p.maxIdleTime = 0 // all that is idle is near the backend's limit now
	second := take(t, p, "b")
	if second == first {
		t.Error("a connection near the idle limit was used again")
	}
	p.Release(second, true)
	p.Sweep()
	if c := p.Stats(); c.Open+c.Idle != 0 {
		t.Error("the sweep left an old connection open")
	}
}

// A silent backend gets only its part of the connections, and what is idle makes room for what is needed.
func TestConnectionLimits(t *testing.T) {
	quiet, fine := agenttest.Listen(t), agenttest.Listen(t)
	p := newTestPool(t, quiet.Addr().String(), 8)
	for range 2 {
		take(t, p, "b")
	}
	if _, err := p.Get(context.Background(), p.Backend("b")); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("a third of at most 8/4: %v", err)
	}
	var others []engine.Member
	for i := range 9 {
		others = append(others, engine.Member{Server: balancer.Server{ID: fmt.Sprint(i)}, Addr: fine.Addr().String()})
	}
	p.Update(false, others)
	for i := range 9 {
		p.Release(take(t, p, fmt.Sprint(i)), true)
	}
	if open := p.Stats().Open; open > 8 {
		t.Errorf("%d connections of at most 8", open)
	}
}

// Connections from which answers are forwarded, for as long as their clients take, do not count as those of a silent backend: it gets as many
// others, up to twice its part.
func TestForwardedAnswersLeaveTheirBackendItsPart(t *testing.T) {
	p := newTestPool(t, agenttest.Listen(t).Addr().String(), 8)
	exhausted := func() bool {
		t.Helper()
		_, err := p.Get(t.Context(), p.Backend("b"))
		return errors.Is(err, ErrPoolExhausted)
	}
	first, second := take(t, p, "b"), take(t, p, "b")
	if !exhausted() {
		t.Fatal("there is a third of at most 8/4")
	}
	p.NoteForwarding(first)
	p.NoteForwarding(first)
	third := take(t, p, "b")
	if !exhausted() {
		t.Error("besides one that is forwarded there is a third of at most 8/4")
	}
	p.NoteForwarding(second)
	p.NoteForwarding(third)
	take(t, p, "b")
	if !exhausted() {
		t.Error("there is a fifth of at most 2*8/4")
	}
	p.Release(first, true)
	p.Release(second, false)
	if take(t, p, "b"); !exhausted() {
		t.Error("besides one that is forwarded there is a third of at most 8/4, behind the ends of two")
	}
}

// The connection used last is used first, so that those not needed grow old and close.
func TestMostRecentlyUsedFirst(t *testing.T) {
	p := newTestPool(t, agenttest.Listen(t).Addr().String(), 100)
	var held []*Conn
	for range 3 {
		c, err := p.Get(context.Background(), p.Backend("b"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	for _, i := range []int{0, 2, 1} {
		p.Release(held[i], true)
	}
	for _, want := range []int{1, 2, 0} {
		if c, err := p.Get(context.Background(), p.Backend("b")); err != nil || c != held[want] {
			t.Errorf("not connection %d: %v", want, err)
		}
	}
}

// Whatever is taken, given back, evicted and listed, in whatever order: the counts that are kept are those of what there
// is, and the ring of connections that wait holds each of them once, the longest wait first.
func TestCountsAgreeWithWhatThereIs(t *testing.T) {
	addr := agenttest.Listen(t).Addr().String()
	rapid.Check(t, func(t *rapid.T) {
		p := New(2*time.Second, time.Minute, 6)
		defer p.Close()
		var taken []*Conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("b", rapid.IntRange(0, 4).Draw(t, "backend"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Update(rapid.IntRange(0, 9).Draw(t, "full") == 0, []engine.Member{{Addr: addr, Server: balancer.Server{ID: id,
					State: balancer.State(rapid.IntRange(0, 2).Draw(t, "state")), Started: time.Duration(rapid.IntRange(0, 1).Draw(t, "life"))}}})
			case 1, 2, 3:
				if c, err := p.Get(context.Background(), p.Backend(id)); err == nil {
					taken = append(taken, c)
				}
			default:
				if len(taken) > 0 {
					p.Release(taken[0], rapid.Bool().Draw(t, "keep"))
					taken = taken[1:]
				}
			}
			idle, ready := 0, 0
			for _, b := range p.backends {
				idle += len(b.idle)
				if b.isReady {
					ready++
				} else if len(b.idle) > 0 {
					t.Fatalf("%s takes nothing new and keeps connections", b.id)
				}
			}
			ring := 0
			for c := p.idleRing.next; c != &p.idleRing; c = c.next {
				if ring++; c.prev != &p.idleRing && c.idleSince.Before(c.prev.idleSince) {
					t.Fatal("the ring is out of order")
				}
			}
			if idle != p.idleCount || ring != idle || ready != p.readyBackends || len(p.open) != idle+len(taken) || len(p.open) > 6 {
				t.Fatalf("%d idle, %d in the ring, counted as %d; %d ready, counted as %d; %d open, %d taken", idle, ring,
					p.idleCount, ready, p.readyBackends, len(p.open), len(taken))
			}
		}
	})
}

// A limit that falls closes what waits for use beyond it, and the pool is swept meanwhile.
func TestLimitFalls(t *testing.T) {
	b := agenttest.NewBackend(t, agenttest.Says(agenttest.Served))
	p := New(time.Second, time.Minute, 8)
	defer p.Close()
	p.Update(true, []engine.Member{{Server: balancer.Server{ID: "b"}, Addr: b.Addr().String()}})
	var sweeper sync.WaitGroup
	over := make(chan struct{})
	sweeper.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
				p.Sweep()
			}
		}
	})
	var held []*Conn
	for range 2 {
		c, err := p.Get(t.Context(), p.Backend("b"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	if _, err := p.Get(t.Context(), p.Backend("b")); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("a third of at most two to one backend: %v", err)
	}
	for _, c := range held {
		p.Release(c, true)
	}
	p.SetMaxConnections(1)
	if n := p.Stats(); n.Open != 1 || n.Idle != 1 {
		t.Errorf("%d open, %d idle", n.Open, n.Idle)
	}
	p.SetMaxConnections(8)
	if c, err := p.Get(t.Context(), p.Backend("b")); err != nil {
		t.Error(err)
	} else {
		p.Release(c, true)
	}
	close(over)
	sweeper.Wait()
}

// Connections that rest behind their answers are not used and not in the way: at a backend's limit one of them makes room. One
// that brought no answer needs no rest.
func TestConnectionsRestBehindTheirAnswers(t *testing.T) {
	p := newTestPool(t, agenttest.Listen(t).Addr().String(), 8) // 2 of one backend
	p.QuietPeriod = time.Hour
	unused := take(t, p, "b")
	p.Release(unused, true)
	if take(t, p, "b") != unused {
		t.Error("one that brought no answer was not used")
	}
	p.Release(unused, true)
	answered := func(c *Conn) *Conn { c.AllowBytes(1); p.Release(c, true); return c }
	first := answered(take(t, p, "b"))
	second := answered(take(t, p, "b"))
	third := take(t, p, "b")
	if first == second || third == first || third == second {
		t.Error("one that rests was used")
	}
	if n := p.Stats(); n.Open != 2 || n.Idle != 1 || n.Exhausted != 0 {
		t.Errorf("%+v", n)
	}
	p.QuietPeriod = 0
	if take(t, p, "b") != second {
		t.Error("one that has rested is not used, or the wrong one made room")
	}
}

// heldConn is a connection whose system calls are held up until goOn is closed.
type heldConn struct {
	net.Conn
	held chan<- string
	goOn <-chan struct{}
}

func (c heldConn) SyscallConn() (syscall.RawConn, error) {
	c.held <- "look"
	<-c.goOn
	return nil, net.ErrClosed
}

func (c heldConn) Close() error {
	c.held <- "close"
	<-c.goOn
	return c.Conn.Close()
}

// The process is held up while it looks at an idle connection, or closes one. The engine, and attempts at other connections, go on: with the
// pool's lock held meanwhile no request was answered.
func TestSystemCallThatIsHeldUpHoldsNobodyUp(t *testing.T) {
	for name, begin := range map[string]func(p *Pool){
		"look of an attempt": func(p *Pool) { besteffort.IgnoreResult(p.Get(context.Background(), p.Backend("b"))) },
		"look of the sweep":  func(p *Pool) { p.Sweep() },
		"close":              func(p *Pool) { p.Update(true, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(t, agenttest.Listen(t).Addr().String(), 100)
			held, goOn := make(chan string, 10), make(chan struct{})
			c := take(t, p, "b")
			c.Conn = heldConn{c.Conn, held, goOn}
			p.Release(c, true)
			var running sync.WaitGroup
			running.Go(func() { begin(p) })
			<-held
			asked := make(chan struct{})
			running.Go(func() {
				p.Incarnation("b")
				close(asked)
			})
			select {
			case <-asked:
			case <-time.After(agenttest.Patience):
				t.Error("the engine waits for the system call")
			}
			close(goOn)
			running.Wait()
		})
	}
}

// A connection that was opened before a time and is still open shows that the process of then still runs; one that was opened later, or that the
// far end has closed, does not.
func TestHasOpenSinceTellsWhetherAProcessStillRuns(t *testing.T) {
	l := agenttest.Listen(t)
	p := newTestPool(t, l.Addr().String(), 100)
	before := time.Now()
	c := take(t, p, "b")
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	after := time.Now()
	p.Release(c, true)
	if b := p.Backend("b"); !p.HasOpenSince(b, after) || p.HasOpenSince(b, before) {
		t.Errorf("behind its opening %t, before %t", p.HasOpenSince(b, after), p.HasOpenSince(b, before))
	}
	besteffort.Close(far)
	agenttest.Eventually(t, "the close has come", func() bool { return !p.HasOpenSince(p.Backend("b"), after) })
}

// A server ends its connections, or refuses one, and is reached again: another process may have taken its address. The new connection is uncertain
// until the list has told, unless an older one is still open.
func TestConnectionBehindEndedOnesIsUncertain(t *testing.T) {
	l := agenttest.Listen(t)
	p := newTestPool(t, l.Addr().String(), 100)
	far := make(chan net.Conn, 10)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			far <- c
		}
	}()
	first, second := take(t, p, "b"), take(t, p, "b")
	firstFar, secondFar := <-far, <-far
	if p.MayBeOtherProcess(first) {
		t.Error("the first connection is uncertain")
	}
	p.Release(second, true)
	besteffort.Close(firstFar)
	agenttest.Eventually(t, "the end has come", func() bool { p.NoteEnd(first); return len(p.endedAt) == 1 })
	p.Release(first, false)
	p.mu.Lock()
	kept := p.backends["b"].idle
	p.backends["b"].idle = nil // so that a new one is made
	p.mu.Unlock()
	third := take(t, p, "b")
	if !p.MayBeOtherProcess(third) {
		t.Error("a connection behind the ended one is certain")
	}
	p.mu.Lock()
	p.backends["b"].idle = kept
	p.mu.Unlock()
	if p.MayBeOtherProcess(third) {
		t.Error("it is uncertain though an older one is open")
	}
	besteffort.Close(secondFar)
	agenttest.Eventually(t, "the older one has ended", func() bool { return p.MayBeOtherProcess(third) })
	third.uncertainUntil = time.Now()
	if p.MayBeOtherProcess(third) {
		t.Error("it stays uncertain")
	}
}
