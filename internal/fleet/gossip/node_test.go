package gossip

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/harness/loopback"
)

// listener is a Host that remembers what it hears.
type listener struct {
	mu    sync.Mutex
	facts map[uint64]time.Time
	alive int
}

func (l *listener) HandleGossip(_ int, f Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, heard := l.facts[f.ID]; !heard {
		l.facts[f.ID] = time.Now()
	}
}

func (l *listener) HandleOverloadReport(int, []byte) {}

func (l *listener) HandleLiveness(alive []bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alive = 0
	for _, is := range alive {
		if is {
			l.alive++
		}
	}
}

func (l *listener) heard(id uint64) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.facts[id].IsZero()
	}
}

func (l *listener) lives(n int) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.alive == n
	}
}

// eventually waits until ok holds; machines are noisy.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("waited in vain: " + what)
}

// Agents on sockets meet; one that starts anew hears at once what the others know; one that ends says so.
func TestNodes(t *testing.T) {
	const agents = 4
	var at []netip.AddrPort
	for range agents {
		h, err := loopback.Hold()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		at = append(at, netip.MustParseAddrPort(h.Addr()))
	}
	epoch := time.Now().Add(-time.Second)
	start := func(i int) (*Node, *listener, func()) {
		n, err := NewNode(at[i].String(), NodeOptions{Self: i, Members: at, Keys: only(keyOne), ProbeInterval: 200 * time.Millisecond,
			Now: func() time.Duration { return time.Since(epoch) }, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		l := &listener{facts: map[uint64]time.Time{}}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); n.Run(ctx, l) }()
		end := sync.OnceFunc(func() { stop(); <-done })
		t.Cleanup(end)
		return n, l, end
	}
	var nodes [agents]*Node
	var hears [agents]*listener
	var ends [agents]func()
	for i := range agents {
		nodes[i], hears[i], ends[i] = start(i)
	}
	for _, l := range hears {
		eventually(t, "all live", l.lives(agents))
	}
	nodes[1].Broadcast(Observation{Kind: 1, ID: 7})
	for i, l := range hears {
		if i != 1 {
			eventually(t, "the fact is heard", l.heard(7))
		}
	}
	time.Sleep(time.Second) // it is no news any more
	ends[0]()
	eventually(t, "it said that it ends", hears[2].lives(agents-1))
	began := time.Now()
	_, fresh, _ := start(0)
	eventually(t, "who starts anew hears it", fresh.heard(7))
	if took := fresh.facts[7].Sub(began); took > time.Second {
		t.Errorf("that took %v", took)
	} else {
		t.Logf("heard after %v", took)
	}
	eventually(t, "all live again", fresh.lives(agents))
	if st := nodes[2].Status(); st.Alive != agents || st.Sent == 0 || st.Received == 0 {
		t.Errorf("%+v", st)
	}
}

func TestKeyFiles(t *testing.T) {
	one, two := hex.EncodeToString(keyOne[:]), hex.EncodeToString(keyTwo[:])
	for text, want := range map[string]string{
		one + "\n":                          "",
		"# new\n" + two + "\n" + one + "\n": "",
		"":                                  "0 keys",
		one + "\n" + two + "\n" + one:       "3 keys",
		one[:10]:                            ":1: a key has 64 hexadecimal digits, not 10",
		"\n" + strings.Repeat("x", 64):      ":2: a key has hexadecimal digits alone",
	} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if got := fmt.Sprint(err); want == "" && err != nil || !strings.Contains(got, want) {
			t.Errorf("%q: %v", text, err)
		}
		if want == "" && keys.Seal != keys.Open[0] {
			t.Errorf("%q: the first does not seal", text)
		}
	}
}
