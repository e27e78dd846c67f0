package http1

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/golden"
	"appleledge/internal/upstream/connpool"
)

// goldenHeader has every header that goes on, and some that do not.
func goldenHeader() http.Header {
	h := http.Header{}
	for _, header := range [][2]string{{"X-Request-ID", "9b1f03aa5c7e2d41"}, {"Idempotency-Key", "k-2"}, {"X-Timeout", "480m"},
		{"X-Tenant-Id", "glasgow-airport"}, {"X-Route-Key", "r-3"}, {"X-Retried", "1"}, {"X-Cost", "4"}, {"X-Attrs", "a=5"},
		{"Content-Type", "text/plain"}, {"Cookie", "c=6"}, {"Connection", "keep-alive"}, {"X-Server-Load", "util=7"}} {
		h.Add(header[0], header[1])
	}
	return h
}

// An attempt as its bytes go to a backend: with a body, without one, and with one that still comes.
func TestGoldenAttempt(t *testing.T) {
	now := 5 * time.Second
	s := &Transport{Clock: engine.ManualClock(&now)}
	target := &url.URL{Path: "/refund-record/8", RawQuery: "q=9"}
	in := Request{Method: http.MethodPost, Host: "origin.svc", URL: target, Header: requesthead.ForwardedHeaders(goldenHeader()), Body: []byte("body")}
	var out []byte
	attempt := func(in Request) *engine.Attempt {
		return &engine.Attempt{Call: &engine.Call{ID: "9b1f03aa5c7e2d41", Payload: &in}, Server: "b", Deadline: now + 123456*time.Microsecond}
	}
	for range 2 {
		_, text, err := s.encodeRequest(attempt(in), noExpectation)
		if err != nil {
			t.Fatal(err)
		}
		out = append(append(out, text...), "\r\n----\r\n"...)
		in.Method, in.Body = http.MethodGet, nil
	}
	in.Method = http.MethodPost
	for _, length := range []int64{8, -1} {
		u := &Upload{Length: length, Prefix: []byte("some"), Rest: strings.NewReader("more"), ClientTimeout: 654321 * time.Microsecond}
		near, far := net.Pipe()
		got := make(chan []byte)
		go func() {
			var all bytes.Buffer
			besteffort.IgnoreResult(all.ReadFrom(far))
			got <- all.Bytes()
		}()
		var outcome engine.Outcome
		if _, ok := s.writeUpload(&connpool.Conn{Conn: near}, attempt(in), u, &outcome); !ok {
			t.Fatalf("length %d: %v", length, outcome.Result)
		}
		besteffort.Close(near)
		out = append(append(out, <-got...), "\r\n----\r\n"...)
	}
	golden.Equal(t, "httpcarrier/attempts.txt", out)
}

// The load report that backends send, by its header.
func TestGoldenLoadReport(t *testing.T) {
	h := http.Header{}
	h.Add("X-Server-Load", "util=high")
	h.Add("X-Server-Load", strings.TrimSpace(string(golden.Read(t, "httpcarrier/load.txt"))))
	var noted []error
	got := ReadReport(h, []string{"util", "qps", "eps", "inflight", "queue"}, func(err error) { noted = append(noted, err) })
	if want := (balancer.Report{Utilization: 0.62, ServedRate: 140.5, ErrorRate: 3, InFlight: 4, QueueLength: 5.25}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(noted) != 1 || noted[0].Error() != `load report "util=high"` {
		t.Errorf("%v", noted)
	}
}

// What a head means for the attempt.
func TestGoldenJudgement(t *testing.T) {
	var out []byte
	for _, status := range []int{200, 201, 404, 500, 503, 504} {
		for _, h := range []http.Header{{}, {"X-Not-Processed": {"1"}}, {"X-Not-Processed": {"0"}}} {
			out = fmt.Appendf(out, "%d %v: %s\n", status, h, balancer.ResultNames[ClassifyResponse(status, h)])
		}
	}
	for _, h := range []http.Header{{}, {"Cache-Control": {"private"}}, {"Cache-Control": {"no-store"}}, {"Set-Cookie": {"c=1"}}, {"Vary": {"*"}},
		{"Vary": {"X-Tenant-Id"}}, {"Vary": {"Content-Type"}}} {
		out = fmt.Appendf(out, "%v: private %v\n", h, isPrivate(h))
	}
	golden.Equal(t, "httpcarrier/judgement.txt", out)
}
