package agent

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// longBody is a head of a long body that its client sends slowly, for seconds.
func (c *raw) longBody(length string) {
	c.t.Helper()
	c.send(head("POST", "/refund-record", "HTTP/1.1", "Idempotency-Key: k", "Content-Length: "+length))
	go func() {
		for range 100 {
			if _, err := io.WriteString(c, strings.Repeat("x", 500)); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}()
}

// All places of long requests are taken. A further long request is refused at once, and its connection does not keep its place for as long as
// its client goes on sending.
func TestRefusedLongRequestDoesNotKeepItsPlace(t *testing.T) {
	b := newBackend(t, says(served))
	d := newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0))
	a := startOn(t, d, 0, func(c *Config) { c.Operator, c.Sockets = agenttest.Refusing(t), minDescriptors }, Features{}, slog.New(slog.DiscardHandler))
	var refused *raw
	began := time.Now()
	for range 50 {
		c := a.raw(t)
		c.longBody("60000")
		besteffort.Ignore(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
		if _, err := c.in.Peek(1); err == nil {
			refused, began = c, time.Now()
			break
		}
	}
	if refused == nil {
		t.Fatal("none is refused")
	}
	besteffort.Ignore(refused.SetReadDeadline(time.Now().Add(patience)))
	resp, err := http.ReadResponse(refused.in, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v %v", resp, err)
	}
	besteffort.IgnoreResult(io.Copy(io.Discard, refused.in))
	if took := time.Since(began); took > time.Second {
		t.Errorf("the connection ended %v behind the refusal", took)
	}
}
