package hotrestart

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/golden"
)

// goldenState is what operators hold out.
func goldenState() denylist.Snapshot {
	return denylist.Snapshot{DeniedSince: map[string]int64{"a": 1_790_000_000_001}, AllowedSince: map[string]int64{"b": 1_790_000_000_002}, KnownIDs: []string{"a", "b", "c"}}
}

// goldenMessages are those that processes send, of each kind and in each phase, and one with all fields.
func goldenMessages() []message {
	state := goldenState()
	return []message{
		{Phase: Starting, Ask: 11},
		{Phase: Starting, Bans: &state},
		{Phase: Serving, Ask: 12},
		{Phase: Serving, Order: &DenylistCommand{Server: "d", Deny: true}, Ask: 13},
		{Phase: Serving, Order: &DenylistCommand{Server: "e"}, Ask: 14},
		{Phase: Serving, Reply: 15},
		{Phase: Draining, Ask: 16},
		{Phase: Draining, Bans: &state, Order: &DenylistCommand{Server: "f", Deny: true}, Ask: 17, Reply: 18},
	}
}

// alone is a link without others, and without a folder.
func alone() *Link {
	return &Link{log: slog.New(slog.DiscardHandler), process: NewProcess(), peers: map[int]*peer{}, wait: map[int]chan<- struct{}{}}
}

// connection is a pair of ends that is closed with the test.
func connection(t *testing.T) (near, far *net.UnixConn) {
	t.Helper()
	near, far, err := pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(near); besteffort.Close(far) })
	for _, c := range []net.Conn{near, far} {
		if err := c.SetDeadline(time.Now().Add(agenttest.Patience)); err != nil {
			t.Fatal(err)
		}
	}
	return near, far
}

func TestGoldenMessages(t *testing.T) {
	near, far := connection(t)
	link, p, got := alone(), newPeer(near), make([]byte, 1<<16)
	size := 0
	for _, m := range goldenMessages() {
		link.process.SetPhase(m.Phase)
		if err := link.send(p, m); err != nil {
			t.Fatal(err)
		}
		n, err := far.Read(got[size:])
		if err != nil {
			t.Fatal(err)
		}
		size += n
	}
	golden.Equal(t, "handover/messages", got[:size])

	near, far = connection(t)
	if _, err := far.Write(golden.Read(t, "handover/messages")); err != nil {
		t.Fatal(err)
	}
	reader := newPeer(near)
	for i, want := range goldenMessages() {
		if m, err := reader.read(); err != nil || !reflect.DeepEqual(m, want) {
			t.Errorf("message %d reads as %+v, %v", i, m, err)
		}
	}
}

// What a process that starts gets first: a byte that carries the listener, and the bans. The reader has an old process' committed bytes.
func TestGoldenWelcome(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(l)
	near, far := connection(t)
	link, set := alone(), denylist.New(10)
	link.user, link.gate = os.Geteuid(), NewGatedListener(l.(*net.TCPListener))
	set.Restore(goldenState(), func(ms int64) time.Duration { return time.Duration(ms) })
	link.host = &host{Link: link, set: set}
	link.process.SetPhase(Serving)
	if err := link.welcome(t.Context(), newPeer(near)); err != nil {
		t.Fatal(err)
	}
	besteffort.Close(near)
	var got []byte
	for chunk := make([]byte, 4096); ; {
		n, err := far.Read(chunk)
		if got = append(got, chunk[:n]...); err != nil {
			break
		}
	}
	golden.Equal(t, "handover/welcome", got)

	committed, path := golden.Read(t, "handover/welcome"), filepath.Join(t.TempDir(), "s")
	old, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(old)
	go func() {
		if c, err := old.Accept(); err == nil {
			besteffort.IgnoreResult(c.Write(committed))
			besteffort.Close(c)
		}
	}()
	j, passed, err := join(path)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(j.conn)
	state := goldenState()
	if want := (message{Phase: Serving, Bans: &state}); passed != nil || !reflect.DeepEqual(j.first, want) {
		t.Errorf("the committed welcome reads as %+v, with the listener %v", j.first, passed)
	}
}

// By the names of their sockets an old and a new process find each other; by those of the phases they tell of them in the log.
func TestGoldenNames(t *testing.T) {
	var got strings.Builder
	for _, agent := range []string{"n0 127.0.0.1:8081", "another with a long name of many words 0.0.0.0:80"} {
		fmt.Fprintf(&got, "%s: %s*%s\n", agent, prefix(agent), suffix)
	}
	for phase := Starting - 1; phase <= Draining+1; phase++ {
		fmt.Fprintf(&got, "%d: %v\n", phase, phase)
	}
	golden.Equal(t, "handover/names", []byte(got.String()))
}
