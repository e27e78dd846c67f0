package scenario

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// An agent reads a request, and ends its connection later without an answer: the request is lost, also where the client's library says
// only that it may make no new connection.
func TestDroppedAnswerIsALoss(t *testing.T) {
	l := agenttest.Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer besteffort.Close(c)
				buffer := make([]byte, 4<<10)
				besteffort.IgnoreResult(c.Read(buffer))
				besteffort.IgnoreResult(io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				besteffort.IgnoreResult(c.Read(buffer)) // on the same connection
				time.Sleep(2 * closeCrossingTime)       // the agent works on it
			}()
		}
	}()
	a := &liveAgent{addr: l.Addr().String()}
	a.client = &http.Client{Transport: &http.Transport{DialContext: a.dial}}
	t.Cleanup(a.client.CloseIdleConnections)
	send := func() (time.Duration, error) {
		run := &liveRun{}
		_, _, unansweredFor, err := run.sendAttempt(&requestRecord{class: 1, idempotencyKey: "k", attempts: 1}, a, "r", "form")
		return unansweredFor, err
	}
	if lost, err := send(); err != nil || lost != 0 {
		t.Fatalf("an answered request: %v unanswered, %v", lost, err)
	}
	a.refuseDials()
	if lost, err := send(); err == nil || !strings.Contains(err.Error(), errNoNewConnections.Error()) || lost < 2*closeCrossingTime {
		t.Errorf("a dropped one: %v unanswered, %v", lost, err)
	}
}

// An agent has ended a connection before the client writes to it: the request has crossed the close, however late the client notices.
func TestRequestThatCrossesTheCloseIsNoLoss(t *testing.T) {
	l := agenttest.Listen(t)
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: raw}
	defer besteffort.Close(c)
	for _, closed := range []bool{false, true} {
		if closed {
			besteffort.Close(far)
			agenttest.Eventually(t, "the close has come", func() bool { return sockstate.HasPeerClosed(raw) })
		}
		w := &lossWatch{}
		w.trace().GotConn(httptrace.GotConnInfo{Conn: c})
		besteffort.IgnoreResult(io.WriteString(c, "GET / HTTP/1.1\r\n\r\n"))
		w.trace().WroteRequest(httptrace.WroteRequestInfo{})
		w.writtenAt = w.writtenAt.Add(-time.Second)
		w.connEnded()
		if lost := w.unansweredFor() > 0; lost == closed {
			t.Errorf("closed before the write: %v, counted as lost: %v", closed, lost)
		}
	}
}

// What an agent took is owed an answer while it runs, and once it was told to end in time, but not when it is killed out of the blue.
func TestAgentOwesAnswersUntilItIsKilled(t *testing.T) {
	for _, drained := range []bool{false, true} {
		a := &liveAgent{incarnation: agentIncarnation{number: 1, isAvailable: true}}
		taker := a.currentIncarnation()
		if !a.owesAnswers(taker) {
			t.Error("a running agent owes nothing")
		}
		if drained {
			a.markDrained()
		}
		a.incarnation = agentIncarnation{number: 2}
		if a.owesAnswers(taker) != drained {
			t.Errorf("told to end: %v, owes answers: %v", drained, !drained)
		}
	}
}
