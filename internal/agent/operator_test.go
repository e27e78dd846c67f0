package agent

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// operators call an agent under test.
type operators struct {
	t    testing.TB
	addr string
}

// withOperators is an agent that operators can call.
func withOperators(t *testing.T, d *agenttest.Discovery) (*running, operators) {
	addr := agenttest.Refusing(t)
	a := startOn(t, d, 0, func(c *Config) { c.Operator = addr }, Features{}, slog.New(slog.DiscardHandler))
	o := operators{t, addr}
	a.wait(t, "operators can call", func() bool { status, _ := o.call("GET", "/ops/readiness"); return status == 200 })
	return a, o
}

func (o operators) call(method, path string) (status int, body string) {
	o.t.Helper()
	r, err := http.NewRequest(method, "http://"+o.addr+path, nil)
	if err != nil {
		o.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer besteffort.Close(resp.Body)
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// figure reads one figure; -1 where it is not there.
func (o operators) figure(name string) int {
	o.t.Helper()
	_, text := o.call("GET", "/ops/stats")
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && key == name {
			n, err := strconv.Atoi(value)
			if err != nil {
				o.t.Fatal(line)
			}
			return n
		}
	}
	return -1
}

// From its yes a ban keeps everything new from a server, whatever the list says and however often the server starts anew;
// one call back ends it, and the server is used again.
func TestABanHoldsWhateverTheListSays(t *testing.T) {
	one, two := newBackend(t, says(served)), newBackend(t, says(served))
	entry := func(started int64) []string {
		return []string{entryText("s-1", one.Addr().String(), "Ready", started), entryText("s-2", two.Addr().String(), "Ready", 0)}
	}
	d := newFakeDiscovery(t, 1, entry(0)...)
	a, o := withOperators(t, d)
	served := 0
	ask := func(n int) {
		for range n {
			if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != 200 {
				t.Fatal(got)
			}
			served++
		}
	}
	uses := func(b *agenttest.Backend, of string) {
		t.Helper()
		eventually(t, of+" is used", func() bool { n := b.Requests(); ask(1); return b.Requests() > n })
	}
	eventually(t, "both are listed", func() bool { return o.figure("svc.members") == 2 })
	uses(one, "s-1")
	for range 2 {
		if status, text := o.call("PUT", "/ops/backends/down/s-1"); status != 200 {
			t.Fatal(status, text)
		}
	}
	before := one.Requests()
	ask(20)
	d.Set(2, true, entry(time.Now().UnixMilli())...) // it has started anew
	eventually(t, "the new start is told", func() bool { return a.readyStatus(t) == 200 && o.figure("svc.members") == 2 })
	time.Sleep(50 * time.Millisecond)
	d.Set(3, true, entryText("s-2", two.Addr().String(), "Ready", 0))
	eventually(t, "it has left the list", func() bool { return o.figure("svc.members") == 1 })
	d.Set(4, true, entry(time.Now().UnixMilli())...)
	eventually(t, "it is back", func() bool { return o.figure("svc.members") == 2 })
	ask(20)
	if n := one.Requests() - before; n != 0 {
		t.Fatalf("%d requests went to a server that is out", n)
	}
	if n := o.figure("svc.members_unavailable"); n != 1 {
		t.Errorf("%d servers are unavailable", n)
	}
	if status, _ := o.call("PUT", "/ops/backends/up/s-1"); status != 200 {
		t.Fatal(status)
	}
	uses(one, "s-1, taken back,")
	if status, _ := o.call("PUT", "/ops/backends/down/s-9"); status != 404 {
		t.Errorf("a server that was never listed: %d", status)
	}
	if n := o.figure("svc.downstream_requests.form-check.completed"); n != served {
		t.Errorf("%d completed, want %d", n, served)
	}
	if n := o.figure("svc.upstream_requests"); n != one.Requests()+two.Requests() {
		t.Errorf("%d attempts, want %d", n, one.Requests()+two.Requests())
	}
	if n := o.figure("svc.pending"); n != 0 {
		t.Errorf("%d are pending", n)
	}
}

// A request whose dial is under way when the ban comes goes elsewhere.
func TestABanDuringTheDial(t *testing.T) {
	two := newBackend(t, says(served))
	dark := newDark(t) // connections there come up late, if ever
	d := newFakeDiscovery(t, 1, entryText("s-1", dark.addr, "Ready", 0))
	a, o := withOperators(t, d)
	got := make(chan reply, 1)
	go func() { got <- send(t, a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	eventually(t, "the dial is under way", func() bool { return o.figure("svc.pending") == 1 })
	if status, text := o.call("PUT", "/ops/backends/down/s-1"); status != 200 {
		t.Fatal(status, text)
	}
	d.Set(2, false, entryText("s-2", two.Addr().String(), "Ready", 0))
	eventually(t, "the other is listed", func() bool { return o.figure("svc.members") == 2 })
	dark.letIn()
	if r := <-got; r.status != 200 || r.body != "fine" {
		t.Errorf("%+v", r)
	}
	if n := dark.came.Load(); n != 0 {
		t.Errorf("%d bytes were written to a server that is out", n)
	}
}

// Figures follow what clients got.
func TestFiguresOfWhatWasNotServed(t *testing.T) {
	b := newBackend(t, says("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	a, o := withOperators(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)))
	want := map[string]int{}
	for path, method := range map[string]string{"form-check": http.MethodGet, "pay": http.MethodPost} {
		got := send(t, a.newRequest(t, method, "/"+path, ""))
		kind := "failed"
		if got.status == http.StatusServiceUnavailable {
			kind = "rejected"
		}
		want[fmt.Sprintf("svc.downstream_requests.%s.%s", path, kind)]++
	}
	for name, n := range want {
		if got := o.figure(name); got != n {
			t.Errorf("%s=%d, want %d", name, got, n)
		}
	}
	if n := o.figure("svc.upstream_requests"); n != b.Requests() {
		t.Errorf("%d attempts, want %d", n, b.Requests())
	}
}

// dark is a server whose connections come up only once it lets them in: its queue of new ones is full.
type dark struct {
	t      *testing.T
	l      net.Listener
	addr   string
	fill   []net.Conn
	came   atomic.Int64 // bytes
	reader sync.WaitGroup
}

func newDark(t *testing.T) *dark {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "dark")
	l, err := net.FileListener(f)
	besteffort.Close(f)
	if err != nil {
		t.Fatal(err)
	}
	d := &dark{t: t, l: l, addr: l.Addr().String()}
	t.Cleanup(func() { besteffort.Close(l); d.reader.Wait() })
	for range 16 {
		c, err := net.DialTimeout("tcp", d.addr, 100*time.Millisecond)
		if err != nil {
			return d
		}
		t.Cleanup(func() { besteffort.Close(c) })
		d.fill = append(d.fill, c)
	}
	t.Fatal("its queue is never full")
	return nil
}

// letIn takes all connections and counts what comes on them.
func (d *dark) letIn() {
	d.reader.Go(func() {
		for {
			c, err := d.l.Accept()
			if err != nil {
				return
			}
			d.t.Cleanup(func() { besteffort.Close(c) })
			d.reader.Go(func() {
				n, _ := io.Copy(io.Discard, c)
				d.came.Add(n)
			})
		}
	})
}

// Under full load, with 200 callers that say nothing or half a call, operators are answered as ever: none of their calls waits
// until a silent one has been given up.
func TestOperatorsCallUnderLoad(t *testing.T) {
	b := newBackend(t, says(served))
	a, o := withOperators(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)))
	ended := make(chan struct{})
	var all sync.WaitGroup
	var asked atomic.Int64
	for range 16 {
		all.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-ended:
					return
				default:
				}
				if resp, err := client.Do(a.newRequest(t, http.MethodGet, "/form-check", "")); err == nil {
					besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
					besteffort.Close(resp.Body)
					asked.Add(1)
				}
			}
		})
	}
	for i := range 200 {
		c, err := net.Dial("tcp", o.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(c)
		if i%2 == 0 {
			besteffort.IgnoreResult(io.WriteString(c, "PUT /ops/backends/down/s-1 HTTP/1.1\r\n"))
		}
	}
	eventually(t, "there is load", func() bool { return asked.Load() > 100 })
	var slowest time.Duration
	for i := range 30 {
		began := time.Now()
		if i%10 == 0 {
			if status, text := o.call("PUT", "/ops/backends/up/s-1"); status != 200 {
				t.Errorf("%d %s", status, text)
			}
		} else if n := o.figure("svc.members"); n != 1 {
			t.Errorf("%d members", n)
		}
		slowest = max(slowest, time.Since(began))
	}
	close(ended)
	all.Wait()
	if slowest > 4*time.Second { // for which the silent ones stay
		t.Errorf("a call took %v", slowest)
	}
	if n := o.figure("svc.downstream_requests.form-check.completed"); n < int(asked.Load()) {
		t.Errorf("%d completed of %d that were answered", n, asked.Load())
	}
}
