package connlimit

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/eventlog"
	"appleledge/internal/sockstate"
)

// Connections are closed for every reason that the listener knows of itself. Each is counted once, under that reason.
func TestClosesAreCountedByReason(t *testing.T) {
	for reason, end := range map[CloseReason]func(l testListener, c *conn){
		CloseByClient: func(l testListener, c *conn) {
			besteffort.IgnoreResult(c.Read(make([]byte, 1)))
			besteffort.Close(c)
		},
		CloseAnswered: func(_ testListener, c *conn) {
			c.setUse(inUse)
			besteffort.IgnoreResult(c.Write([]byte("answer")))
			besteffort.Close(c)
		},
		CloseAborted: func(l testListener, c *conn) {
			c.setUse(inUse)
			Abort(ConnContext(l.t.Context(), c))
			besteffort.Close(c)
		},
		CloseRoomNew: func(l testListener, _ *conn) { l.accept() },
		CloseRoomIdle: func(l testListener, c *conn) {
			c.setUse(inUse)
			ConnState(c, http.StateIdle)
			l.accept()
		},
		CloseDrain:      func(l testListener, _ *conn) { l.Drain() },
		CloseProcessEnd: func(l testListener, _ *conn) { l.CloseAll() },
	} {
		t.Run(CloseReasonNames[reason], func(t *testing.T) {
			l := listen(t, 1, Options{})
			c, far := l.accept()
			if reason == CloseByClient {
				besteffort.Close(far)
			}
			end(l, c)
			agenttest.Eventually(t, "it is closed", func() bool { return !l.has(c) })
			if n := l.CloseCounts(); n.ByReason[reason] != 1 || n.Unread != 0 {
				t.Errorf("counted %+v", n)
			}
		})
	}
}

// A process ends in the midst of a request. The close is counted as one that owes an answer, and logged with the request's id.
func TestCloseThatOwesAnAnswerIsLogged(t *testing.T) {
	var out agenttest.LockedBuffer
	l := listen(t, 1, Options{Events: eventlog.New(slog.New(slog.NewTextHandler(&out, nil)))})
	c, _ := l.accept()
	ConnState(c, http.StateActive)
	NameRequest(ConnContext(t.Context(), c), "29a3497bf145d2d5")
	c.setUse(inUse)
	l.CloseAll()
	if n := l.CloseCounts(); n.Unanswered != 1 {
		t.Errorf("counted %+v", n)
	}
	if got := out.String(); !strings.Contains(got, `msg="client connection closed with a request on it" reason=process_end use=in_use unread=false refused=false unanswered=true`) ||
		!strings.Contains(got, "id=29a3497bf145d2d5") {
		t.Errorf("logged %q", got)
	}
}

// A request comes behind the decision to close its connection, and before its descriptor is closed. The close is counted as one over unread
// bytes, and logged with the request's id.
func TestRequestBehindTheDecisionToCloseIsLogged(t *testing.T) {
	var out agenttest.LockedBuffer
	l := listen(t, 1, Options{Events: eventlog.New(slog.New(slog.NewTextHandler(&out, nil)))})
	c, far := l.accept()
	l.mu.Lock()
	c.end(CloseRoomNew)
	l.mu.Unlock()
	if _, err := far.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nX-Request-ID: 6862feeb04db3b22\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	agenttest.Eventually(t, "the request has come", func() bool { return c.socketState() == sockstate.Readable })
	if err := c.closeNow(); err != nil {
		t.Fatal(err)
	}
	if n := l.CloseCounts(); n.Unread != 1 {
		t.Errorf("counted %+v", n)
	}
	if got := out.String(); !strings.Contains(got, "reason=room_new") || !strings.Contains(got, "unread=true") || !strings.Contains(got, "id=6862feeb04db3b22") {
		t.Errorf("logged %q", got)
	}
}

// brokenConn writes three bytes and then fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 3, os.ErrDeadlineExceeded }

func (c brokenConn) NetConn() net.Conn { return c.Conn }

// A part of an answer can't be written. The close is counted as one that owes an answer, under a reason of its own.
func TestAnswerThatCouldNotBeWrittenIsOwed(t *testing.T) {
	l := listen(t, 1, Options{})
	c, _ := l.accept()
	ConnState(c, http.StateActive)
	c.setUse(inUse)
	c.Conn = brokenConn{c.Conn}
	if n, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); n != 3 || err == nil {
		t.Fatal(n, err)
	}
	besteffort.Close(c)
	agenttest.Eventually(t, "it is closed", func() bool { return !l.has(c) })
	if n := l.CloseCounts(); n.ByReason[CloseWriteFailed] != 1 || n.Unanswered != 1 {
		t.Errorf("counted %+v", n)
	}
}

// A client is told to go on with its body, and its connection is closed. That was no answer: one is owed.
func TestInterimAnswerIsNoAnswer(t *testing.T) {
	l := listen(t, 1, Options{})
	c, _ := l.accept()
	ConnState(c, http.StateActive)
	if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	besteffort.Close(c)
	if n := l.CloseCounts(); n.Unanswered != 1 {
		t.Errorf("counted %+v", n)
	}
}
