package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/connlimit"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/engine"
	"appleledge/internal/golden"
	"appleledge/internal/upstream/http1"
)

// exchange sends a request and returns the answer's bytes, with another date, up to the end of the connection.
func exchange(t *testing.T, addr, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(c)
	besteffort.IgnoreResult(io.WriteString(c, request))
	besteffort.Ignore(c.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(bufio.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`Date: [^\r]+`).ReplaceAllString(string(answer), "Date: DATE") + "\r\n----\r\n"
}

// Final answers of each kind, byte by byte.
func TestGoldenAnswers(t *testing.T) {
	body := &http1.Response{Body: []byte("fine"), ContentType: "text/plain", Length: 4}
	answers := []engine.Answer{
		{Kind: engine.Served, Payload: body},
		{Kind: engine.Served, Payload: &http1.Response{}},
		{Kind: engine.Rejected},
		{Kind: engine.Rejected, RetryAfter: 1250 * time.Millisecond},
		{Kind: engine.Rejected, RetryAfter: 1250 * time.Millisecond, Limit: 17},
		{Kind: engine.Failed},
		{Kind: engine.Conflict},
	}
	s := New(Options{}, connlimit.New(nil, 2, connlimit.Options{}))
	var out strings.Builder
	for _, a := range answers {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.writeHeadAndBody(w, a) }))
		out.WriteString(exchange(t, srv.Listener.Addr().String(), "GET /form-check HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
		srv.Close()
	}
	for _, err := range []error{errors.New("any"), requesthead.BadRequestError{Status: http.StatusNotFound, Text: "unknown class"}} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { rejectMalformed(w, err) }))
		out.WriteString(exchange(t, srv.Listener.Addr().String(), "GET /form-check HTTP/1.1\r\nHost: h\r\n\r\n"))
		srv.Close()
	}
	golden.Equal(t, "httpfront/answers.txt", []byte(out.String()))
}

// Answers to requests that are not begun: bad ones, too many, and the question whether the agent is ready.
func TestGoldenTurnedAway(t *testing.T) {
	classes := []balancer.Class{{Name: "form-check", LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Name: "refund-record", Effect: balancer.IdempotentByKey, DedupWindow: time.Second, LatencyObjective: time.Second, Deadline: 2 * time.Second}}
	b, err := balancer.New(balancer.Settings{Balancers: 1, MaxAttempts: 1, Classes: classes}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Engine: engine.New(b, engine.NewClock(), nil, nil), Clock: engine.NewClock(), MaxInFlight: 1,
		Rules: requesthead.Rules{Classes: classes, Tenants: []string{"glasgow-airport"}}}, connlimit.New(nil, 2, connlimit.Options{}))
	s.inFlight.Store(1)
	srv := httptest.NewServer(s)
	defer srv.Close()
	const (
		id     = "X-Request-ID: 1\r\n"
		wait   = "X-Timeout: 100m\r\n"
		tenant = "X-Tenant-Id: glasgow-airport\r\n"
		key    = "Idempotency-Key: k\r\n"
		none   = "Content-Length: 0\r\n"
	)
	var out strings.Builder
	for _, request := range [][2]string{
		{"GET /ready", ""},
		{"GET /form-check", id + wait + tenant},
		{"GET /form-check/further?q=1", id + wait + tenant},
		{"POST /refund-record", id + wait + tenant + key + none},
		{"GET /unknown", id + wait + tenant},
		{"POST /form-check", id + wait + tenant + none},
		{"HEAD /form-check", id + wait + tenant},
		{"GET /form-check", wait + tenant},
		{"GET /form-check", id + id + wait + tenant},
		{"GET /form-check", id + tenant},
		{"GET /form-check", id + wait + wait + tenant},
		{"GET /form-check", id + wait},
		{"GET /form-check", id + wait + tenant + "Content-Length: 1\r\n"},
		{"POST /refund-record", id + wait + tenant + none},
		{"POST /refund-record", id + wait + tenant + key + key + none},
		{"POST /refund-record", id + wait + tenant + key + "Content-Length: 65537\r\n"},
		{"POST /refund-record", id + wait + tenant + key + "Content-Length: 4\r\n"},
		{"POST /refund-record", id + wait + tenant + key + "Transfer-Encoding: chunked\r\n"},
	} {
		fmt.Fprintf(&out, "> %s %q\r\n", request[0], request[1])
		out.WriteString(exchange(t, srv.Listener.Addr().String(), request[0]+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+request[1]+"\r\n"))
	}
	golden.Equal(t, "httpfront/turned_away.txt", []byte(out.String()))
}
