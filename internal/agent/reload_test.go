package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"appleledge/internal/testbed"
)

// reloading is an agent with a configuration file that a test replaces.
type reloading struct {
	*running
	t    *testing.T
	file string
	hup  chan os.Signal
	log  testbed.LockedBuffer
}

func startReloading(t *testing.T, discovery string) *reloading {
	t.Helper()
	a := &reloading{running: &running{done: make(chan error, 1)}, t: t, file: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal, 1)}
	a.write(configText(discovery, "null"))
	// The environment names the first discovery for as long as the process lives.
	env := map[string]string{"PROXY_CONFIG": a.file, "PROXY_DISCOVERY": discovery}
	getenv := func(name string) string { return env[name] }
	cfg, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	a.addr, a.url = l.Addr().String(), "http://"+l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	reloads := Reloads{Signals: a.hup, Load: func() (Config, error) { return ReloadConfig(getenv) }}
	go func() { a.done <- serve(ctx, cfg, reloads, l, slog.New(slog.NewTextHandler(&a.log, nil)), Extras{}) }()
	t.Cleanup(func() { stop(); <-a.done })
	eventually(t, "the agent is ready", func() bool { return a.status(t, "/ready") == http.StatusOK })
	return a
}

func (a *reloading) write(text []byte) {
	a.t.Helper()
	if err := os.WriteFile(a.file, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *reloading) reload(text []byte) {
	a.t.Helper()
	a.write(text)
	a.hup <- os.Interrupt
}

// answers sends requests until one is answered as wanted; all of them must be served.
func (a *reloading) answers(want string) {
	a.t.Helper()
	eventually(a.t, want+" answers", func() bool {
		got := send(a.t, a.newRequest(a.t, http.MethodGet, "/form-check", ""))
		if got.status != http.StatusOK {
			a.t.Fatalf("not served: %+v", got)
		}
		return got.body == want
	})
}

// On SIGHUP the file's discovery is followed, though the environment still names the first one and the new one's
// versions start lower. The old one's silence must not hold that up: its open call is dropped.
func TestReloadMovesDiscovery(t *testing.T) {
	first := newBackend(t, says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nold!"))
	second := newBackend(t, says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnew!"))
	old := newFakeDiscovery(t, 41, entryText("s-1", first.Addr().String(), "Ready", 0))
	a := startReloading(t, old.Addr().String())
	a.answers("old!")
	old.Silence(true)
	fresh := newFakeDiscovery(t, 3, entryText("s-2", second.Addr().String(), "Ready", 0))
	began := time.Now()
	a.reload(configText(fresh.Addr().String(), "null"))
	a.answers("new!")
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the new discovery's list was in force after %v", took)
	}
	a.reload(configText(old.Addr().String(), "null")) // and once more, to one that says nothing: the last list stands
	eventually(t, "the first discovery is asked again", func() bool { wholes, _ := old.Calls(); return wholes == 2 })
	a.answers("new!")
}

// A file that can't be used leaves all as it was and is logged in a line.
func TestBadReloadKeepsTheOldConfiguration(t *testing.T) {
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startReloading(t, d.Addr().String())
	for i, text := range []string{"", "{", strings.Replace(string(configText("127.0.0.1:1", "null")), "by_key", "by_luck", 1)} {
		a.reload([]byte(text))
		eventually(t, "the log tells of it", func() bool { return a.log.Count("not reloaded") == i+1 })
	}
	a.answers("fine")
	d.Set(2, true, entryText("s-1", b.Addr().String(), "Ready", 0), entryText("s-2", b.Addr().String(), "Ready", 0))
	eventually(t, "the old discovery is still heard", func() bool { return a.log.Count("version=2") == 1 })
}

func TestReloadEndsWithTheAgent(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := Reloads{Load: func() (Config, error) { return Config{}, errors.New("never asked for") }}
	go func() { r.follow(ctx, Config{}, nil, &reloadCounts{}, slog.New(slog.DiscardHandler)); close(done) }()
	stop()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
}
