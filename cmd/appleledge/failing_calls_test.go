package main

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// requestsPerConnection is how many requests a client sends on one connection.
const requestsPerConnection = 7

// sendAll sends so many requests, on as many connections as it takes, and counts those that get no answer. A new connection that is reset
// before its first request was read is tried again, where that is allowed.
func (a *stoppableAgent) sendAll(number, count int, allowsUnreadNew bool) (unanswered []error) {
	var c *agentClient
	sent := 0 // on this connection
	for round := 0; round < count; {
		if c == nil || sent == requestsPerConnection {
			var err error
			if c, err = a.tryConnect(number); err != nil {
				return append(unanswered, err)
			}
			defer besteffort.Close(c.conn)
			sent = 0
		}
		_, err := io.WriteString(c.conn, c.refundText(round))
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.answer, nil)
		}
		switch {
		case err == nil:
			besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
			besteffort.Close(resp.Body)
		case allowsUnreadNew && sent == 0 && sockstate.WasReset(c.conn, err, resetPatience):
			c = nil
			continue
		default:
			unanswered = append(unanswered, err)
		}
		if sent++; err != nil || resp.Close {
			c = nil
		}
		round++
	}
	return unanswered
}

// A system call of the agent fails now and then, as Linux documents it (accept(2), recv(2), send(2), poll(2), epoll_ctl(2)). Each request
// that clients send on open connections is answered, new clients are taken, and the process goes on.
func TestSystemCallsThatFailNowAndThenCostNoAnswer(t *testing.T) {
	const clientCount, requestCount = 10, 20
	for fault, allowsUnreadNew := range map[string]bool{
		"accept4:error=ENOMEM:when=3+5":       false,
		"accept4:error=ENOBUFS:when=3+5":      false,
		"accept4:error=EMFILE:when=3+5":       false,
		"accept4:error=EPERM:when=3+5":        false,
		"accept4:error=EPROTO:when=3+5":       false,
		"accept4:error=ECONNABORTED:when=3+5": false,
		"accept4:error=EINTR:when=3+5":        false,
		"epoll_ctl:error=ENOMEM:when=15+9":    true, // Go closes a connection that it can't wait for
		"setsockopt:error=ENOBUFS:when=15+9":  false,
		"shutdown:error=ENOTCONN:when=2+3":    false,
		"poll:error=ENOMEM:when=5+7":          false,
		"poll:error=EINTR:when=5+7":           false,
		"recvfrom:error=ENOMEM:when=5+7":      false,
		"recvfrom:error=EINTR:when=5+7":       false,
		"read:error=ENOMEM:when=150+23":       false,
		"read:error=ENOBUFS:when=150+23":      false,
		"read:error=EINTR:when=150+23":        false,
		"write:error=ENOBUFS:when=60+23":      false,
		"write:error=ENOMEM:when=60+23":       false,
		"write:error=EINTR:when=60+23":        false,
	} {
		t.Run(strings.ReplaceAll(fault, ":", " "), func(t *testing.T) {
			t.Parallel()
			call, _, _ := strings.Cut(fault, ":")
			a := startStoppable(t, 1024, "strace", "-D", "-f", "-qq", "-o", "/dev/null", "-e", "trace="+call, "-e", "inject="+fault)
			var all sync.WaitGroup
			for i := range clientCount {
				all.Go(func() {
					if unanswered := a.sendAll(i, requestCount, allowsUnreadNew); len(unanswered) > 0 {
						t.Errorf("client %d: %d of %d without an answer: %v", i, len(unanswered), requestCount, errors.Join(unanswered...))
					}
				})
			}
			all.Wait()
			agenttest.Eventually(t, "it goes on", func() bool {
				resp, err := http.Get("http://" + a.addr + "/ready")
				if err == nil {
					besteffort.Close(resp.Body)
				}
				return err == nil && resp.StatusCode == http.StatusOK
			})
			if t.Failed() {
				t.Log(a.log)
			}
		})
	}
}
