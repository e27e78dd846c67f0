package connlimit

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/eventlog"
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
	if got := out.String(); !strings.Contains(got, `msg="client connection closed with a request on it" reason=process_end use=in_use unread=false unanswered=true`) ||
		!strings.Contains(got, "id=29a3497bf145d2d5") {
		t.Errorf("logged %q", got)
	}
}
