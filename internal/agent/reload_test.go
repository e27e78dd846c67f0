package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
)

// reloading is an agent with a configuration file that a test replaces.
type reloading struct {
	*running
	t    *testing.T
	file string
	hup  chan os.Signal
	log  agenttest.LockedBuffer
}

func startReloading(t *testing.T, discovery string) *reloading {
	return startReloadingFor(t, discovery, "", Features{})
}

// startReloadingFor is startReloading with an address for operators, and what the agent's own settings switch on.
func startReloadingFor(t *testing.T, discovery, operator string, with Features) *reloading {
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
	cfg.Operator = operator
	l := listen(t)
	a.addr, a.url = l.Addr().String(), "http://"+l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	reloads := Reloads{Signals: a.hup, Load: func() (Config, error) { return ReloadConfig(getenv) }}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		a.done <- serve(ctx, cfg, reloads, l, slog.New(slog.NewTextHandler(&a.log, nil)), with)
	}()
	t.Cleanup(func() { stop(); <-finished })
	a.wait(t, "the agent is ready", func() bool { return a.readyStatus(t) == http.StatusOK })
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
	moved := string(configText("127.0.0.1:1", "null")) // to take anything from it would lose discovery
	swap := func(old, new string) string {
		if !strings.Contains(moved, old) {
			t.Fatalf("no %s in the configuration", old)
		}
		return strings.Replace(moved, old, new, 1)
	}
	broken := []string{"", "{", moved[:len(moved)/2], "null", "[]", swap("by_key", "by_luck"), swap(`"DeadlineNs":2000000000`, `"DeadlineNs":-5`),
		swap(`"DeadlineNs":2000000000,`, ""), swap(`"DeadlineNs":2000000000`, `"DeadlineNs":"long"`), swap(`"MostTries":5`, `"MostTries":0`),
		swap(`"MostTries":5`, `"MostTries":2.5`), swap(`"MostTries":5,`, ""), swap(`"seed":"8c1f30d27a5be964",`, ""), swap(`"Worth":2`, `"Worth":null`),
		swap(`"Ceilings"`, `"CeilingsOfBefore"`), swap(`"name":"n0",`, ""), swap(`"Name":"pay"`, `"Name":"form-check"`)}
	for i, text := range broken {
		a.reload([]byte(text))
		eventually(t, "the log tells of "+text, func() bool { return a.log.Count("not reloaded") == i+1 })
	}
	a.answers("fine")
	d.Set(2, true, entryText("s-1", b.Addr().String(), "Ready", 0), entryText("s-2", b.Addr().String(), "Ready", 0))
	eventually(t, "the old discovery is still heard", func() bool { return a.log.Count("version=2") == 1 })
}

// Classes come and go while the agent runs; a request that is open meanwhile ends under those that it came under.
func TestClassesChangeInForce(t *testing.T) {
	free := make(chan struct{})
	b := newBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/refund-record" {
			<-free
			return false // a reset: it may have run
		}
		return says(served)(c, r, 0)
	})
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startReloading(t, d.Addr().String())
	open := make(chan reply, 1)
	go func() { open <- send(t, a.newRequest(t, http.MethodPost, "/refund-record", "x")) }()
	eventually(t, "a request is open", func() bool { return b.Requests() == 1 })
	text := string(configText(d.Addr().String(), "null"))
	old := `"Effect":"by_key","Group":"cell","Name":"refund-record","WindowNs":2000000000`
	if !strings.Contains(text, old) {
		t.Fatal("the class is not in the configuration")
	}
	a.reload([]byte(strings.Replace(text, old, `"Effect":"repeatable","Group":"all","Name":"refund-status"`, 1)))
	eventually(t, "the log tells of it", func() bool { return a.log.Count(`classes="form-check pay refund-status"`) == 1 })
	if got := send(t, a.newRequest(t, http.MethodGet, "/refund-status", "")); got.status != http.StatusOK {
		t.Errorf("the new class: %+v", got)
	}
	close(free)
	if got := <-open; got.status == http.StatusServiceUnavailable || got.status == http.StatusOK {
		t.Errorf("what may have run, of a class that was dropped meanwhile, is answered %d", got.status)
	}
	eventually(t, "the dropped class is unknown", func() bool {
		return send(t, a.newRequest(t, http.MethodPost, "/refund-record", "x")).status == http.StatusNotFound
	})
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK {
		t.Errorf("the class that stayed: %+v", got)
	}
}

// Figures that are read while classes come and go are whole and never go back; of two signals that come together the later
// file holds.
func TestFiguresWhileClassesChange(t *testing.T) {
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	o := operators{t, agenttest.Refusing(t)}
	a := startReloadingFor(t, d.Addr().String(), o.addr, Features{})
	text := string(configText(d.Addr().String(), "null"))
	named := func(i int) []byte {
		return []byte(strings.Replace(text, `"Name":"pay"`, fmt.Sprintf(`"Name":"pay-%d"`, i), 1))
	}
	over := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		last := map[string]int{}
		for {
			select {
			case <-over:
				return
			default:
			}
			status, page := o.call("GET", "/ops/stats")
			if status != http.StatusOK || !strings.HasSuffix(page, "\n") || !strings.Contains(page, "svc.config_reload_errors=0\n") {
				t.Errorf("%d %q", status, page)
			}
			for line := range strings.Lines(page) {
				key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
				n, err := strconv.Atoi(value)
				if err != nil || n < last[key] && key != "svc.pending" && !strings.HasPrefix(key, "svc.members") {
					t.Errorf("%q after %d", line, last[key])
				}
				last[key] = n
			}
			for key := range last {
				if !strings.Contains(page, key+"=") {
					t.Errorf("%s is gone", key)
				}
			}
		}
	})
	for i := range 10 {
		a.reload(named(i))
		eventually(t, "it is in force", func() bool { return o.figure("svc.config_reloads") == i+1 })
		if got := send(t, a.newRequest(t, http.MethodPost, fmt.Sprintf("/pay-%d", i), "")); got.status != http.StatusOK {
			t.Errorf("class %d: %+v", i, got)
		}
	}
	close(over)
	reader.Wait()
	a.reload(named(10))
	a.reload(named(11))
	eventually(t, "the later file holds", func() bool {
		return send(t, a.newRequest(t, http.MethodPost, "/pay-11", "")).status == http.StatusOK
	})
	if n := o.figure("svc.downstream_requests.pay-3.completed"); n != 1 {
		t.Errorf("a class that was dropped has %d completed, want 1", n)
	}
}

func TestReloadEndsWithTheAgent(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := Reloads{Load: func() (Config, error) { return Config{}, errors.New("never asked for") }}
	go func() { r.follow(ctx, &reloader{}); close(done) }()
	stop()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
}
