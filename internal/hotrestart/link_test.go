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
	"appleledge/internal/membership/listing"
)

// testHost is a process under test, with its own denylist.
type testHost struct {
	*Link
	end func() // ends the process as a crash does

	mu                sync.Mutex
	set               *denylist.Set
	share             float64
	usedIDs           []uint64        // of this process, and those that were learned
	claimed           map[string]bool // by this process or a peer
	list              *listing.Told   // the newest that this process has
	isAlone           bool            // the peers have ended
	snapshotRequested chan struct{}   // signalled by DenylistSnapshot, which then waits for snapshotReleased; nil: it does not
	snapshotReleased  chan struct{}
}

func (h *testHost) DenylistSnapshot(context.Context) (denylist.Snapshot, error) {
	h.mu.Lock()
	snapshot, requested, released := h.snapshot(), h.snapshotRequested, h.snapshotReleased
	h.mu.Unlock()
	if requested != nil {
		requested <- struct{}{}
		<-released
	}
	return snapshot, nil
}

func (h *testHost) snapshot() denylist.Snapshot {
	return h.set.Snapshot(func(d time.Duration) int64 { return int64(d) })
}

func (h *testHost) ApplyCommand(_ context.Context, o DenylistCommand) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Deny {
		return h.set.Deny(time.Second, o.Server)
	}
	return h.set.Allow(time.Second, o.Server)
}

func (h *testHost) SetLimitShare(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share = share
}

func (h *testHost) EndpointList() *listing.Told {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list
}

func (h *testHost) LearnEndpointList(t listing.Told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil || t.Supersedes(h.list.Origin) {
		h.list = &t
		h.ShareEndpoints()
	}
}

func (h *testHost) PeersEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isAlone = true
}

func (h *testHost) has(share float64) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.share == share
	}
}

func (h *testHost) deniedIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.DeniedIDs()
}

// command gives this process an operator's command.
func (h *testHost) command(t *testing.T, server string, deny bool) {
	t.Helper()
	o := DenylistCommand{server, deny}
	if err := h.ApplyEverywhere(t.Context(), o, func() error { return h.ApplyCommand(t.Context(), o) }); err != nil {
		t.Fatal(err)
	}
}

// startProcess starts a process of one agent in a directory; mayListen says whether it may open a listener of its own.
func startProcess(t *testing.T, dir string, mayListen bool) *testHost {
	t.Helper()
	listen := func() (net.Listener, error) {
		if !mayListen {
			t.Error("a listener was opened, though another process has one")
		}
		return net.Listen("tcp", "127.0.0.1:0")
	}
	link, err := Join(dir, "n0", listen, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{Link: link, set: denylist.New(10), claimed: map[string]bool{}}
	for _, id := range []string{"a", "b"} {
		h.set.MarkListed(id, 0)
	}
	h.set.Restore(link.InheritedDenylist(), func(ms int64) time.Duration { return time.Duration(ms) })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); link.Run(ctx, h) }()
	h.end = func() { stop(); <-done; besteffort.Close(link.listener) }
	t.Cleanup(h.end)
	return h
}

// A new process joins an old one. It denies what operators have denied, both use half of the limits, and a command given to either
// reaches the other before it returns. When the new one serves, the old one knows of its successor and leaves connections to it;
// after its end the new one has all of the limits, and a third process can join in turn.
func TestTwoProcessesActAsOneAgent(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	old.command(t, "a", true)
	fresh := startProcess(t, dir, false)
	agenttest.Eventually(t, "each has half", func() bool { return old.has(0.5)() && fresh.has(0.5)() })
	if got := fresh.deniedIDs(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("the new process denies %v", got)
	}
	fresh.command(t, "b", true) // when it returns both have it
	old.command(t, "a", false)
	for name, h := range map[string]*testHost{"old": old, "new": fresh} {
		if got := h.deniedIDs(); !slices.Equal(got, []string{"b"}) {
			t.Errorf("the %s process denies %v", name, got)
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
	c, err := fresh.Listener().Accept() // the old one, whose listener is shut, would keep it
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(c)
	old.end()
	agenttest.Eventually(t, "the new one has all", fresh.has(1))
	next := startProcess(t, dir, false) // a second upgrade in a row
	if got := next.deniedIDs(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("the third process denies %v", got)
	}
	next.end() // and dies before it serves
	agenttest.Eventually(t, "the second one has all again", fresh.has(1))
}

// The second process starts while the first has looked for others, found none, and has no listener yet. It waits for the first one's
// listener and shares it: two processes that start together become one agent.
func TestProcessesStartedTogetherFindEachOther(t *testing.T) {
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
				return err == nil && len(files) == 2 // and waits for the first one's listener
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
	both.Go(func() { first.Run(ctx, &testHost{Link: first, set: denylist.New(10)}) })
	if err := <-joined; err != nil {
		t.Fatal(err)
	}
	both.Go(func() { second.Run(ctx, &testHost{Link: second, set: denylist.New(10)}) })
	defer besteffort.Close(second.listener)
	defer besteffort.Close(first.listener)
	if second.IsAlone() || second.Listener().Addr().String() != first.Listener().Addr().String() {
		t.Error("the second one does not know of the first")
	}
	agenttest.Eventually(t, "nor is the first one alone", func() bool { return !first.IsAlone() })
}

// An operator's command comes while a process joins, after the snapshot of the denylist for it was taken. The command waits until the
// process has joined and reaches it too.
func TestCommandDuringJoinReachesJoiningProcess(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	requested, released := make(chan struct{}), make(chan struct{})
	old.mu.Lock()
	old.snapshotRequested, old.snapshotReleased = requested, released
	old.mu.Unlock()
	joined := make(chan *testHost)
	go func() { joined <- startProcess(t, dir, false) }()
	<-requested
	given := make(chan struct{})
	go func() { defer close(given); old.command(t, "a", true) }()
	select {
	case <-given:
		t.Error("it was carried out while a process that does not know of it joined")
	case <-time.After(joinTimeout / 50): // nothing may come
	}
	close(released)
	fresh := <-joined
	<-given
	agenttest.Eventually(t, "the new process has it too", func() bool { return slices.Equal(fresh.deniedIDs(), []string{"a"}) })
}

// Another process holds the directory's lock and does nothing. A process that starts waits for a bounded time and starts without the
// lock.
func TestHeldDirectoryLockDelaysStartOnly(t *testing.T) {
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
	if h := startProcess(t, dir, true); !h.IsAlone() {
		t.Error("it is not alone")
	}
	if took := time.Since(began); took < directoryLockTimeout || took > agenttest.Patience {
		t.Errorf("it took %v", took)
	}
}

// The directory's path is longer than the path of a socket may be. Processes find each other all the same, and the one that ends
// leaves no file.
func TestDirectoryWithLongPath(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("deep", 40))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old := startProcess(t, dir, true)
	old.AnnouncePhase(t.Context(), Serving)
	if fresh := startProcess(t, dir, false); fresh.IsAlone() {
		t.Error("the new one is alone")
	}
	old.end()
	if names, err := os.ReadDir(dir); err != nil || len(names) != 1 {
		t.Errorf("%v are left of one process, %v", names, err)
	}
}

// A process was killed and has left the file of its socket. The next process removes it and is alone.
func TestStaleSocketIsRemoved(t *testing.T) {
	dir := t.TempDir()
	stale := filepath.Join(dir, socketPrefix("n0")+"1"+socketSuffix)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: stale, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false) // as a killed process leaves it
	besteffort.Close(l)
	h := startProcess(t, dir, true)
	if _, err := os.Lstat(stale); err == nil {
		t.Error("the file of a process that is gone is still there")
	}
	if !h.IsAlone() {
		t.Error("it is not alone")
	}
}

// A process of another user connects to the agent's socket. It gets neither the listener nor the denylist, does not count as a peer,
// and the log says why.
func TestProcessOfAnotherUserIsRejected(t *testing.T) {
	dir := t.TempDir()
	log := &agenttest.LockedBuffer{}
	open := func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	link, err := Join(dir, "n0", open, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	link.uid++ // so that this user is a stranger to it
	h := &testHost{Link: link, set: denylist.New(10), claimed: map[string]bool{}}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); link.Run(ctx, h) }()
	defer func() { stop(); <-done; besteffort.Close(link.listener) }()
	link.AnnouncePhase(t.Context(), Serving)
	if stranger := startProcess(t, dir, true); !stranger.IsAlone() || stranger.Listener().Addr().String() == link.Listener().Addr().String() {
		t.Error("it was let in")
	}
	agenttest.Eventually(t, "the log says why", func() bool { return log.Count("is not the agent's") == 1 })
	if !link.IsAlone() || !h.has(1)() {
		t.Error("it counts as a process of the agent")
	}
}

// Behind a socket is a process that accepts and says nothing. A process that starts gives up on it after a bounded time and starts
// alone.
func TestSilentPeerDelaysStartOnly(t *testing.T) {
	dir := t.TempDir()
	l, err := net.Listen("unix", filepath.Join(dir, socketPrefix("n0")+"1"+socketSuffix))
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(l)
	began := time.Now()
	if h := startProcess(t, dir, true); !h.IsAlone() {
		t.Error("it counts as a process")
	}
	if took := time.Since(began); took > 5*joinTimeout {
		t.Errorf("it took %v", took)
	}
}

// Another version of the program sends anything. The messages are read within bounds of memory, and the peer is removed at their end.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"phase":1,"bans":{"out":{"a":5},"seen":["a"]}}` + "\n"))
	f.Add([]byte(`{"phase":-1,"order":{"server":"a","out":true},"ask":3}` + "\n" + `{"reply":3}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far, err := socketPair()
		if err != nil {
			t.Skip(err)
		}
		defer besteffort.Close(near)
		link := &Link{log: slog.New(slog.DiscardHandler), process: NewProcess(), peers: map[int]*peer{}, pendingReplies: map[int]chan<- message{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(l)
		link.listener = NewGatedListener(l.(*net.TCPListener))
		h := &testHost{Link: link, set: denylist.New(2)}
		link.host = h
		p := newPeer(near)
		link.add(p, message{})
		go func() { besteffort.IgnoreResult(far.Write(text)); besteffort.Ignore(far.CloseWrite()) }()
		link.follow(t.Context(), p)
		besteffort.Close(far)
		if n := len(h.deniedIDs()); n > 2 {
			t.Errorf("%d are denied", n)
		}
		if !link.IsAlone() {
			t.Error("it is still there")
		}
	})
}

// socketPair returns two ends of a connection.
func socketPair() (near, far *net.UnixConn, err error) {
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
