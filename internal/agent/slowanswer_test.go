package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/besteffort"
)

// slowWriter answers each request by a head, a pause, and a body in pieces with a pause behind each.
func slowWriter(head string, behindHead time.Duration, piece string, pieces int, pause time.Duration) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
		besteffort.IgnoreResult(io.WriteString(c, head))
		time.Sleep(behindHead)
		for range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// A server that writes its answer slowly is not cut off as long as it goes on: a small answer within the request's time, a large one from its
// first bytes on for as long as it takes.
func TestAnswerThatIsWrittenSlowlyComesWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", ok, n) }
	small, large := strings.Repeat("x", 1000), strings.Repeat("x", 10_000)
	for name, x := range map[string]struct {
		serve func(net.Conn, *bufio.Reader)
		size  int
	}{
		"a head in two parts":                {slowWriter(ok+"Content-", 1500*time.Millisecond, "Length: 1000\r\n\r\n"+small, 1, 0), 1_000},
		"a small one in pieces":              {slowWriter(length(8_000), 0, small, 8, 150*time.Millisecond), 8_000},
		"a small one long behind its head":   {slowWriter(length(1_000), 1500*time.Millisecond, small, 1, 0), 1_000},
		"a small one with a pause":           {slowWriter(length(2_000), 0, small, 2, 1300*time.Millisecond), 2_000},
		"a large one in pieces":              {slowWriter(length(300_000), 0, large, 30, 150*time.Millisecond), 300_000},
		"a large one long behind its head":   {slowWriter(length(100_000), 1500*time.Millisecond, large, 10, 0), 100_000},
		"a large one with a pause of 6 s":    {slowWriter(length(100_000), 0, strings.Repeat("x", 50_000), 2, 6*time.Second), 100_000},
		"a large one with long pauses":       {slowWriter(length(70_000), 0, large, 7, 1300*time.Millisecond), 70_000},
		"one of no length, in pieces":        {slowWriter(ok+"Connection: close\r\n\r\n", 0, large, 10, 300*time.Millisecond), 100_000},
		"one of no length, with long pauses": {slowWriter(ok+"Connection: close\r\n\r\n", 0, large, 3, 1300*time.Millisecond), 30_000},
		"one in chunks with long pauses":     {slowWriter(ok+"Transfer-Encoding: chunked\r\n\r\n", 0, "2710\r\n"+large+"\r\n", 3, 1300*time.Millisecond), -30_000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serve := x.serve
			if x.size < 0 {
				serve = func(c net.Conn, in *bufio.Reader) {
					x.serve(c, in)
					besteffort.IgnoreResult(io.WriteString(c, "0\r\n\r\n"))
				}
				x.size = -x.size
			}
			addr, _ := rawServer(t, serve)
			a, _ := withOperators(t, newFakeDiscovery(t, 1, entryText("s-1", addr, "Ready", 0)))
			client := a.raw(t)
			client.send(head("POST", "/refund-record", "HTTP/1.1", "Idempotency-Key: k", "Content-Length: 0"))
			resp, body, err := client.answer("POST")
			if err != nil || resp.StatusCode != http.StatusOK || len(body) != x.size {
				t.Errorf("%v, %d bytes, %v", resp, len(body), err)
			}
		})
	}
}
