package hotrestart

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
)

// host is a process under test.
type host struct {
	*Link
	end func() // as its death does

	mu    sync.Mutex
	set   *denylist.Set
	share float64
	asked chan struct{} // told when the bans are asked for, which then wait for told; nil: they do not
	told  chan struct{}
}

func (h *host) DenylistSnapshot(context.Context) (denylist.Snapshot, error) {
	h.mu.Lock()
	state, asked, told := h.state(), h.asked, h.told
	h.mu.Unlock()
	if asked != nil {
		asked <- struct{}{}
		<-told
	}
	return state, nil
}

func (h *host) state() denylist.Snapshot {
	return h.set.Snapshot(func(d time.Duration) int64 { return int64(d) })
}

func (h *host) ApplyCommand(_ context.Context, o DenylistCommand) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Deny {
		return h.set.Deny(time.Second, o.Server)
	}
	return h.set.Allow(time.Second, o.Server)
}

func (h *host) SetLimitShare(part float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share = part
}

func (h *host) has(share float64) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.share == share
	}
}

func (h *host) out() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.DeniedIDs()
}

// give is an operator's order to this process.
func (h *host) give(t *testing.T, server string, out bool) {
	t.Helper()
	o := DenylistCommand{server, out}
	if err := h.ApplyEverywhere(t.Context(), o, func() error { return h.ApplyCommand(t.Context(), o) }); err != nil {
		t.Fatal(err)
	}
}

// process starts a process in a folder; listens says whether it may open a listener of its own.
func process(t *testing.T, dir string, listens bool) *host {
	t.Helper()
	listen := func() (net.Listener, error) {
		if !listens {
			t.Error("a listener was opened, though another process has one")
		}
		return net.Listen("tcp", "127.0.0.1:0")
	}
	link, err := Join(dir, "n0", listen, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h := &host{Link: link, set: denylist.New(10)}
	for _, id := range []string{"a", "b"} {
		h.set.MarkListed(id, 0)
	}
	h.set.Restore(link.InheritedDenylist(), func(ms int64) time.Duration { return time.Duration(ms) })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); link.Run(ctx, h) }()
	h.end = func() { stop(); <-done; besteffort.Close(link.gate) }
	t.Cleanup(h.end)
	return h
}

func TestTwoProcessesAreOneAgent(t *testing.T) {
	dir := t.TempDir()
	old := process(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	old.give(t, "a", true)
	fresh := process(t, dir, false)
	agenttest.Eventually(t, "each has half", func() bool { return old.has(0.5)() && fresh.has(0.5)() })
	if got := fresh.out(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("the new process holds out %v", got)
	}
	fresh.give(t, "b", true) // from its return both have it
	old.give(t, "a", false)
	for name, h := range map[string]*host{"old": old, "new": fresh} {
		if got := h.out(); !slices.Equal(got, []string{"b"}) {
			t.Errorf("the %s process holds out %v", name, got)
		}
	}
	if fresh.Listener().Addr().String() != old.Listener().Addr().String() {
		t.Error("they listen at two addresses")
	}
	fresh.AnnouncePhase(t.Context(), Serving)
	if !old.HasSuccessor() { // it may be told to end at once
		t.Error("the old one does not know of it")
	}
	old.AnnouncePhase(t.Context(), Draining)
	far, err := net.Dial("tcp", old.Listener().Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(far)
	c, err := fresh.Listener().Accept() // the old one, whose gate is shut, would keep it
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(c)
	old.end()
	agenttest.Eventually(t, "the new one has all", fresh.has(1))
	next := process(t, dir, false) // a second upgrade in a row
	if got := next.out(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("the third process holds out %v", got)
	}
	next.end() // and dies before its yes
	agenttest.Eventually(t, "the second one has all again", fresh.has(1))
}

// Two processes that start in the same moment are one agent: whichever looks for the other first, one finds the other. Here the second one starts
// while the first has looked and found nobody, and has no listener yet.
func TestTwoThatStartTogetherMeet(t *testing.T) {
	dir := t.TempDir()
	var second *Link
	looked, joined := make(chan struct{}), make(chan error, 1)
	first, err := Join(dir, "n0", func() (net.Listener, error) {
		go func() {
			var err error
			second, err = Join(dir, "n0", func() (net.Listener, error) {
				close(looked)
				return net.Listen("tcp", "127.0.0.1:0")
			}, slog.New(slog.DiscardHandler))
			joined <- err
		}()
		agenttest.Eventually(t, "the second one has looked for the first", func() bool {
			select {
			case <-looked: // and found nobody
				return true
			default:
				files, err := os.ReadDir(dir)
				return err == nil && len(files) == 2 // and waits for the first one's word
			}
		})
		return net.Listen("tcp", "127.0.0.1:0")
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var both sync.WaitGroup
	defer both.Wait()
	defer stop()
	both.Go(func() { first.Run(ctx, &host{Link: first, set: denylist.New(10)}) })
	if err := <-joined; err != nil {
		t.Fatal(err)
	}
	both.Go(func() { second.Run(ctx, &host{Link: second, set: denylist.New(10)}) })
	defer besteffort.Close(second.gate)
	defer besteffort.Close(first.gate)
	if second.IsAlone() || second.Listener().Addr().String() != first.Listener().Addr().String() {
		t.Error("the second one does not know of the first")
	}
	agenttest.Eventually(t, "nor is the first one alone", func() bool { return !first.IsAlone() })
}

// An order that comes while a process joins, behind the moment in which the bans were written down for it, is not missed.
func TestAnOrderCrossesAProcessThatJoins(t *testing.T) {
	dir := t.TempDir()
	old := process(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	asked, told := make(chan struct{}), make(chan struct{})
	old.mu.Lock()
	old.asked, old.told = asked, told
	old.mu.Unlock()
	joined := make(chan *host)
	go func() { joined <- process(t, dir, false) }()
	<-asked
	given := make(chan struct{})
	go func() { defer close(given); old.give(t, "a", true) }()
	select {
	case <-given:
		t.Error("it was carried out while a process that does not know of it joined")
	case <-time.After(joinTime / 50): // nothing may come
	}
	close(told)
	fresh := <-joined
	<-given
	agenttest.Eventually(t, "the new process has it too", func() bool { return slices.Equal(fresh.out(), []string{"a"}) })
}

// One that holds the folder's lock and does nothing keeps nobody from starting.
func TestALockThatIsHeld(t *testing.T) {
	dir := t.TempDir()
	held, err := os.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(held)
	if err := unix.Flock(int(held.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if h := process(t, dir, true); !h.IsAlone() {
		t.Error("it is not alone")
	}
	if took := time.Since(began); took < lockMost || took > agenttest.Patience {
		t.Errorf("it took %v", took)
	}
}

// The folder may lie deeper than the path of a socket can say.
func TestAFolderWithALongName(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("deep", 40))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old := process(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	if fresh := process(t, dir, false); fresh.IsAlone() {
		t.Error("the new one is alone")
	}
	old.end()
	if names, err := os.ReadDir(dir); err != nil || len(names) != 1 {
		t.Errorf("%v are left of one process, %v", names, err)
	}
}

func TestAProcessThatDiesKeepsNothing(t *testing.T) {
	dir := t.TempDir()
	stale := filepath.Join(dir, prefix("n0")+"1"+suffix)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: stale, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false) // as a killed process leaves it
	besteffort.Close(l)
	h := process(t, dir, true)
	if _, err := os.Lstat(stale); err == nil {
		t.Error("the file of a process that is gone is still there")
	}
	if !h.IsAlone() {
		t.Error("it is not alone")
	}
}

// A process of another user gets neither the clients' socket nor the bans, and counts for nothing.
func TestAStrangerDoesNotJoin(t *testing.T) {
	dir := t.TempDir()
	log := &agenttest.LockedBuffer{}
	open := func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	link, err := Join(dir, "n0", open, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	link.user++ // so that this user is a stranger to it
	h := &host{Link: link, set: denylist.New(10)}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); link.Run(ctx, h) }()
	defer func() { stop(); <-done; besteffort.Close(link.gate) }()
	link.AnnouncePhase(t.Context(), Serving)
	if stranger := process(t, dir, true); !stranger.IsAlone() || stranger.Listener().Addr().String() == link.Listener().Addr().String() {
		t.Error("it was let in")
	}
	agenttest.Eventually(t, "the log says why", func() bool { return log.Count("is not the agent's") == 1 })
	if !link.IsAlone() || !h.has(1)() {
		t.Error("it counts as a process of the agent")
	}
}

// One that hangs, or is no process of ours, must not keep a new one from starting.
func TestAPeerThatSaysNothing(t *testing.T) {
	dir := t.TempDir()
	l, err := net.Listen("unix", filepath.Join(dir, prefix("n0")+"1"+suffix))
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(l)
	began := time.Now()
	if h := process(t, dir, true); !h.IsAlone() {
		t.Error("it counts as a process")
	}
	if took := time.Since(began); took > 5*joinTime {
		t.Errorf("it took %v", took)
	}
}

// What comes over the socket is an own process' word; whatever it is, it is read within bounds.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"phase":1,"bans":{"out":{"a":5},"seen":["a"]}}` + "\n"))
	f.Add([]byte(`{"phase":-1,"order":{"server":"a","out":true},"ask":3}` + "\n" + `{"reply":3}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far, err := pair()
		if err != nil {
			t.Skip(err)
		}
		defer besteffort.Close(near)
		link := &Link{log: slog.New(slog.DiscardHandler), process: NewProcess(), peers: map[int]*peer{}, wait: map[int]chan<- struct{}{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(l)
		link.gate = NewGatedListener(l.(*net.TCPListener))
		h := &host{Link: link, set: denylist.New(2)}
		link.host = h
		p := newPeer(near)
		link.add(p, message{})
		go func() { besteffort.IgnoreResult(far.Write(text)); besteffort.Ignore(far.CloseWrite()) }()
		link.follow(t.Context(), p)
		besteffort.Close(far)
		if n := len(h.out()); n > 2 {
			t.Errorf("%d are held out", n)
		}
		if !link.IsAlone() {
			t.Error("it is still there")
		}
	})
}

// pair are two ends of a connection.
func pair() (near, far *net.UnixConn, err error) {
	dir, err := os.MkdirTemp("", "link")
	if err != nil {
		return nil, nil, err
	}
	defer func() { besteffort.Ignore(os.RemoveAll(dir)) }()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"})
	if err != nil {
		return nil, nil, err
	}
	defer besteffort.Close(l)
	if far, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		return nil, nil, err
	}
	near, err = l.AcceptUnix()
	return near, far, err
}

// A call to accept that waits as its gate shuts may take the connection that comes in that very moment. All others are left for the process
// that has the socket as well, until the gate opens again.
func TestAGateThatShutsLeavesWhatComes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	shared, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(shared)
	other, err := net.FileListener(shared)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(other)
	g := NewGatedListener(l.(*net.TCPListener))
	accept := func(l net.Listener) chan error {
		accepted := make(chan error, 1)
		go func() {
			c, err := l.Accept()
			if err == nil {
				err = c.Close()
			}
			accepted <- err
		}()
		return accepted
	}
	dial := func() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(c) })
	}
	comes := func(from <-chan error) {
		t.Helper()
		select {
		case err := <-from:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(agenttest.Patience):
			t.Fatal("nobody takes the connection")
		}
	}
	g.SetOpen(true)
	here := accept(g)
	g.SetOpen(false)
	dial()
	there := accept(other)
	select {
	case err := <-here: // in the very moment
		if err != nil {
			t.Fatal(err)
		}
		here = accept(g)
	case err := <-there:
		if err != nil {
			t.Fatal(err)
		}
		there = accept(other)
	case <-time.After(agenttest.Patience):
		t.Fatal("nobody takes the connection")
	}
	for range 20 {
		dial()
		comes(there)
		there = accept(other)
	}
	select {
	case err := <-here:
		t.Fatalf("accepted by a gate that is shut, %v", err)
	default:
	}
	besteffort.Close(other)
	besteffort.Ignore(<-there)
	g.SetOpen(true)
	dial()
	comes(here)
	here = accept(g)
	besteffort.Close(g)
	if err := <-here; err == nil {
		t.Error("accepted by a gate that is closed")
	}
}
