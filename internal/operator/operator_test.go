package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/engine"
)

// fake is an agent with a server "s-1".
type fake struct {
	set   *denylist.Set
	ready bool
	err   error
}

func newFake() *fake {
	f := &fake{set: denylist.New(1), ready: true}
	f.set.MarkListed("s-1", 0)
	f.set.MarkListed("s/2", 0)
	return f
}

func (f *fake) Ready() bool { return f.ready }
func (f *fake) Stats(context.Context) (Stats, error) {
	return Stats{Counters: engine.Counters{Classes: []string{"form-check"}, Answers: [][4]uint64{{812, 3, 2, 1}}, Written: 900, Open: 14},
		Endpoints: engine.EndpointCounts{Listed: 12, Avoided: 1}, Reloads: 4, ReloadErrors: 2}, f.err
}
func (f *fake) SetDenied(_ context.Context, server string, out bool) error {
	switch {
	case f.err != nil:
		return f.err
	case out:
		return f.set.Deny(time.Second, server)
	}
	return f.set.Allow(time.Second, server)
}

func serve(t *testing.T, f *fake) string {
	l := agenttest.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- (&Server{Agent: f, Log: slog.New(slog.DiscardHandler)}).Serve(ctx, l)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// call sends text and returns the answer, once the connection has closed by itself.
func call(t testing.TB, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(c)
	besteffort.Ignore(c.SetDeadline(time.Now().Add(agenttest.Patience)))
	besteffort.IgnoreResult(io.WriteString(c, text))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%.60q: the connection stays open: %v", text, err)
	}
	return resp.StatusCode, string(all)
}

const figures = `svc.downstream_requests.form-check.completed=812
svc.downstream_requests.form-check.rejected=3
svc.downstream_requests.form-check.failed=3
svc.upstream_requests=900
svc.pending=14
svc.members=12
svc.members_unavailable=1
svc.config_reloads=4
svc.config_reload_errors=2
`

func TestCalls(t *testing.T) {
	f := newFake()
	addr := serve(t, f)
	long := strings.Repeat("x", 2*maxHeaderBytes)
	for _, c := range []struct {
		line, rest string
		status     int
		body       string
	}{
		{line: "GET /ops/readiness", status: 200, body: "ready\n"},
		{line: "GET /ops/stats", status: 200, body: figures},
		{line: "PUT /ops/backends/down/s-1", status: 200, body: "out\n"},
		{line: "PUT /ops/backends/down/s-1", status: 200, body: "out\n"},
		{line: "PUT /ops/backends/down/s%2F2", status: 409}, // there is room for one
		{line: "PUT /ops/backends/up/s-1", status: 200, body: "back\n"},
		{line: "PUT /ops/backends/up/s-1", status: 200, body: "back\n"},
		{line: "PUT /ops/backends/down/s%2F2", status: 200, body: "out\n"},
		{line: "PUT /ops/backends/down/never", status: 404},
		{line: "PUT /ops/backends/up/never", status: 404},
		{line: "PUT /ops/backends/up/" + strings.Repeat("x", 300), status: 400},
		{line: "PUT /ops/backends/up/", status: 404},
		{line: "GET /ops/backends/down/s-1", status: 405},
		{line: "POST /ops/stats", status: 405},
		{line: "GET /elsewhere", status: 404},
		{line: "GET /ops/stats", rest: "X: " + long + "\r\n", status: 431},
		{line: "PUT /ops/backends/up/s-1", rest: "Content-Length: 99999999\r\n", status: 413},
		{line: "GET /ops/stats", rest: "Content-Length: 4\r\nTransfer-Encoding: sideways\r\n", status: 501},
	} {
		status, body := call(t, addr, c.line+" HTTP/1.1\r\nHost: a\r\n"+c.rest+"\r\n")
		if status != c.status || c.body != "" && body != c.body {
			t.Errorf("%.60s: %d %q, want %d %q", c.line, status, body, c.status, c.body)
		}
	}
	f.ready, f.err = false, errors.New("the agent is ending")
	for _, line := range []string{"GET /ops/readiness", "GET /ops/stats", "PUT /ops/backends/up/s-1"} {
		if status, _ := call(t, addr, line+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 {
			t.Errorf("%s of an agent that ends: %d", line, status)
		}
	}
}

// Those who connect and say nothing, or half a call, must not keep out one that calls.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	addr := serve(t, newFake())
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(c)
		if i%2 == 0 {
			besteffort.IgnoreResult(io.WriteString(c, "GET /ops/stats HTTP/1.1\r\nHo"))
		}
	}
	began := time.Now()
	if status, _ := call(t, addr, "GET /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Error(status)
	}
	if took := time.Since(began); took > readTimeout*4/5 { // as long as the silent ones were left alone
		t.Errorf("the answer took %v", took)
	}
}

// Whatever comes is answered in a way that HTTP knows, and only what was asked for in full changes anything.
func FuzzCalls(f *testing.F) {
	for _, text := range []string{"GET /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n", "PUT /ops/backends/down/s-1 HTTP/1.0\r\n\r\n",
		"PUT /ops/backends/down/..%2f..%2f HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		a := newFake()
		w := &discarding{header: http.Header{}}
		(&Server{Agent: a, Log: slog.New(slog.DiscardHandler)}).Handler().ServeHTTP(w, r)
		if w.status != 0 && (w.status < 200 || w.status > 599) {
			t.Errorf("answered %d", w.status)
		}
		if out := fmt.Sprint(a.set.DeniedIDs()); out != "[]" && (out != "[s-1]" && out != "[s/2]" || r.Method != http.MethodPut) {
			t.Errorf("%q holds out %s", text, out)
		}
	})
}

// discarding is an answer of which only the status is kept.
type discarding struct {
	header http.Header
	status int
}

func (d *discarding) Header() http.Header         { return d.header }
func (d *discarding) WriteHeader(status int)      { d.status = status }
func (d *discarding) Write(p []byte) (int, error) { return len(p), nil }
