package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/upstream/connpool"
)

// repeatInAStall sends a repeat to a backend that has stopped, and checks that the backend never finds it complete.
func repeatInAStall(t *testing.T, f *fixture, b *continueBackend) {
	t.Helper()
	before, end := b.complete.Load(), b.beginStall()
	a := f.attempt(600 * time.Millisecond)
	a.IsKeyedRepeat, a.Call.IdempotencyWindow = true, time.Second
	out := f.RoundTrip(t.Context(), a)
	end()
	b.settle(t, f)
	if n := b.complete.Load() - before; n != 0 {
		t.Errorf("result %v: the backend found %d repeats complete behind its stall", out.Result, n)
	}
}

// A backend sends 100 to what has no body there, and omits it where a first attempt's body is there already. It stops before its first
// repeat comes. The repeat must not be written: it is what runs when the pod has forgotten the key.
func TestFirstRepeatMeetsAStall(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	repeatInAStall(t, f, b)
}

// The same, and the attempt is over before the stall ends. Later the backend reads, and sends 100 to any repeat. It must not count as
// one that sends none for the rest of its life.
func TestAStallIsNotLearnedForLife(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	end := b.beginStall()
	a := f.attempt(300 * time.Millisecond)
	a.IsKeyedRepeat, a.Call.IdempotencyWindow = true, time.Second
	f.RoundTrip(t.Context(), a)
	end()
	for range 3 {
		f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
		f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
	}
	repeatInAStall(t, f, b)
}

// Two repeats wait in vain at a backend that is not known yet. It goes on, and answers what has no key or no body. Its next stall must
// not find it taken for one that sends no 100.
func TestTwoContinueTimeoutsAndRequestsWithoutABody(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	for range 2 {
		repeatInAStall(t, f, b)
	}
	for range 3 {
		a := f.attempt(time.Second)
		a.Call.Payload.(*Request).Body = nil
		f.RoundTrip(t.Context(), a)
	}
	repeatInAStall(t, f, b)
}

// A repeat begins to wait while it is not known whether its backend sends 100. Meanwhile another repeat gets 100 there, and the backend
// stops. The first one must not be written: the backend is known to send 100 by now.
func TestLearnedWhileARepeatWaits(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	backend := f.Pool.Backend("b")
	time.AfterFunc(20*time.Millisecond, backend.RecordContinue) // as by the other repeat's attempt
	repeatInAStall(t, f, b)
	if backend.ContinueSupport() != connpool.ContinueSent {
		t.Error("it is not known to send 100")
	}
}

// The time left for a repeat is far shorter than a wait, as at the end of a window, of a client's patience, or behind a server's take
// delay. A backend that does not answer a head so fast must not count as one that omits 100, nor as one that left a head unread.
func TestShortWaitTeachesNothing(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	backend := f.Pool.Backend("b")
	end := b.beginStall()
	for range 3 {
		late := f.keyedRepeat(testWindow)
		late.WriteDeadline = f.Clock.Now() + 2*time.Millisecond
		if out := f.RoundTrip(t.Context(), late); out.Result != balancer.NotSent || out.Unread {
			t.Errorf("result %v, unread after 2 ms: %v", out.Result, out.Unread)
		}
	}
	end()
	if !backend.MaySendContinue() {
		t.Error("waits of 2 ms have shown that the backend omits 100")
	}
}

// A backend answers another request that was written behind the head of a repeat, and sends no 100: it reads, and omits it. Where unconfirmed
// repeats are allowed the repeat follows at once, and later ones don't wait. Where repeats are confirmed only, none is written.
func TestAnswerToALaterRequestShowsThat100IsOmitted(t *testing.T) {
	for _, confirmedOnly := range []bool{false, true} {
		b := newContinueBackend(t, neverContinues)
		f := newFixture(t, b.addr, 8)
		f.ConfirmedRepeatsOnly, f.AllowUnconfirmedRepeats = confirmedOnly, !confirmedOnly
		f.Pool.Backend("b").RecordAnswer(f.Clock.Now() + time.Hour) // as of the other request
		want := map[bool]balancer.Result{false: balancer.OK, true: balancer.NotSent}[confirmedOnly]
		if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); out.Result != want || !out.OmitsContinue || out.Unread {
			t.Errorf("confirmed only %v: result %v, omits 100: %v, unread: %v", confirmedOnly, out.Result, out.OmitsContinue, out.Unread)
		}
		began := f.Clock.Now()
		out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
		if took := f.Clock.Now() - began; out.Result != want || took >= maxUnknownContinueWait {
			t.Errorf("confirmed only %v: the next one: result %v after %v", confirmedOnly, out.Result, took)
		}
	}
}

// Timeouts count in a row: a backend that has sent 100 between two stalls is waited for in the second as in the first.
func TestContinueEndsARowOfTimeouts(t *testing.T) {
	b := newContinueBackend(t, alwaysContinues)
	f := newFixture(t, b.addr, 8)
	for range 2 * maxTimeoutsInARow {
		if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); out.Result != balancer.OK {
			t.Errorf("between two stalls: %v", out.Result)
		}
		repeatInAStall(t, f, b)
		if s := f.Pool.Backend("b").ContinueSupport(); s != connpool.ContinueSent {
			t.Errorf("behind a stall it is known as %d", s)
		}
	}
}

// maxTimeoutsInARow is how many timeouts in a row there may be for a backend to be known still, and one more.
const maxTimeoutsInARow = 2

// Repeats go only to backends that confirm. While a repeat dials, another attempt learns that the backend sends no 100. The repeat
// must not be written.
func TestConfirmedOnlyAndLearnedDuringTheDial(t *testing.T) {
	b := newContinueBackend(t, neverContinues)
	f := newFixture(t, b.addr, 8)
	f.ConfirmedRepeatsOnly = true
	f.Pool.Dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		f.Pool.Backend("b").RecordRejectedExpectation() // as by the other attempt
		return nil
	}
	out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
	if b.complete.Load() != 0 || out.Result != balancer.NotSent {
		t.Errorf("result %v: the body was written without 100", out.Result)
	}
}

// A backend is known to send 100, and stops to do so with no new incarnation (as behind a front, or where its start is told as 0). How often is it waited for?
func TestBackendThatNoLongerSends100(t *testing.T) {
	b := newContinueBackend(t, neverContinues)
	f := newFixture(t, b.addr, 8)
	f.AllowUnconfirmedRepeats = true
	f.Pool.Backend("b").RecordContinue()
	served := 0
	for range 6 {
		f.RoundTrip(t.Context(), f.keyedFirst(testWindow)) // served
		if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); out.Result == balancer.OK {
			served++
		}
	}
	if served == 0 {
		t.Error("none of 6 repeats was served, each behind a first attempt that was")
	}
}

// A backend that sent 100 rejects the expectation later. How does a repeat get there?
func TestRejectionBehind100(t *testing.T) {
	b := newContinueBackend(t, rejectsExpectations)
	f := newFixture(t, b.addr, 8)
	f.AllowUnconfirmedRepeats = true
	f.Pool.Backend("b").RecordContinue()
	for i := range 3 {
		if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); i == 2 && out.Result != balancer.OK {
			t.Errorf("repeat %d: result %v", i, out.Result)
		}
	}
}

// A backend breaks the connection of a repeat whose head is out, as one that is reset while it stalls. The balancer takes ConnectFailed
// alone for a backend that was cut off, and forgets what it knows of its stalls: the outcome must tell the two apart.
func TestBreakBehindAHeadIsNoFailureToConnect(t *testing.T) {
	l := agenttest.Listen(t)
	agenttest.ServeConns(t, l, func(c net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(c))
		besteffort.Ignore(err)
		resets(c, nil, 0)
	})
	f := newFixture(t, l.Addr().String(), 8)
	f.Pool.Backend("b").RecordContinue()
	if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); out.Result == balancer.ConnectFailed && !out.HeadWritten {
		t.Error("a head that was written and whose connection broke counts as no connection")
	}
}

// A backend rejects an expectation by 417. It has not run the request, which the agent alone gave the header: the outcome must prove
// that, or the request, which is served without the header, may fail.
func TestRejectedExpectationOfAFirstAttemptHasNotRun(t *testing.T) {
	b := newContinueBackend(t, rejectsExpectations)
	f := newFixture(t, b.addr, 8)
	if out := f.RoundTrip(t.Context(), f.keyedFirst(testWindow)); out.Result == balancer.Failed {
		t.Error("it counts as one that may have run")
	}
}

// The same of large first attempts, whose write fails as the backend closes.
func TestLargeFirstAttemptsWhereExpectationsAreRejected(t *testing.T) {
	b := newContinueBackend(t, rejectsExpectations)
	f := newFixture(t, b.addr, 8)
	f.AllowsLargeBodies = true
	const length = 32 << 20
	t.Cleanup(func() { // as before: without the header it is served
		f.Pool.Backend("b").RecordRejectedExpectation()
		a := withUpload(f.keyedFirst(testWindow), &Upload{Length: length, Rest: io.LimitReader(zeros{}, length), ClientTimeout: time.Second})
		t.Logf("without the header: result %v", f.RoundTrip(context.Background(), a).Result)
	})
	for i := range 4 {
		a := withUpload(f.keyedFirst(testWindow), &Upload{Length: length, Rest: io.LimitReader(zeros{}, length), ClientTimeout: time.Second})
		if out := f.RoundTrip(t.Context(), a); i == 3 && out.Result != balancer.OK {
			t.Errorf("upload %d: result %v, backend is known as %d", i, out.Result, f.Pool.Backend("b").ContinueSupport())
		}
	}
}

// A backend that may omit 100 sends one whose bytes are cut where the wait ends. Its rest must not be read as the answer to the request.
func TestContinueIsCutWhereTheWaitEnds(t *testing.T) {
	l := agenttest.Listen(t)
	agenttest.ServeConns(t, l, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		besteffort.IgnoreResult(io.WriteString(c, interim100[:16]))
		time.Sleep(maxUnknownContinueWait + 30*time.Millisecond)
		besteffort.IgnoreResult(io.WriteString(c, interim100[16:]))
		besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
		besteffort.IgnoreResult(io.WriteString(c, agenttest.Served))
	})
	f := newFixture(t, l.Addr().String(), 8)
	f.Pool.Backend("b").RecordUnseenContinue()
	f.Pool.Backend("b").RecordAnswer(f.Clock.Now() + time.Hour) // it reads: were nothing here, the body would follow
	out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
	if out.Result == balancer.Reset {
		t.Error("its answer is taken for spoilt: the body followed, and the rest of its 100 was read as an answer")
	}
}

// pausedConn is a connection at whose first read deadline the agent's process stands still for longer than a wait.
type pausedConn struct {
	net.Conn
	once sync.Once
}

func (c *pausedConn) SetReadDeadline(until time.Time) error {
	c.once.Do(func() { time.Sleep(MaxContinueWait + 50*time.Millisecond) })
	return c.Conn.SetReadDeadline(until)
}

// The agent's process stands still for longer than a wait, as on a busy machine, while its backend answers the head at once. The 100 lies
// there when it goes on: it must not count as unread.
func TestPauseOfTheAgentIsNoSilenceOfTheBackend(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	backend := f.Pool.Backend("b")
	backend.RecordContinue()
	a := f.keyedRepeat(testWindow)
	c, err := f.Pool.Get(t.Context(), backend)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Pool.Release(c, false)
	req, text, err := f.encodeRequest(a, bodyHeld)
	if err != nil {
		t.Fatal(err)
	}
	out := engine.Outcome{Attempt: a, Result: balancer.NotSent}
	c.Conn = &pausedConn{Conn: c.Conn} // its first read deadline is that of awaitContinue, behind the head
	if ok := f.writeConfirmed(c, a, req, text, &out); !ok || out.Unread {
		t.Errorf("written: %v, unread: %v, though 100 came at once", ok, out.Unread)
	}
}

// Repeats go only to backends that confirm. One that omits 100 where a first attempt's body is there already, and sends it to a repeat, gets repeats.
func TestConfirmedOnlyWhereABackendMayOmit100(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.ConfirmedRepeatsOnly = true
	for _, isRepeat := range []bool{false, true} {
		a := f.keyedFirst(testWindow)
		if isRepeat {
			a = f.keyedRepeat(testWindow)
		}
		if out := f.RoundTrip(t.Context(), a); out.Result != balancer.OK || out.OmitsContinue {
			t.Errorf("repeat %v: %v, never confirms: %v", isRepeat, out.Result, out.OmitsContinue)
		}
	}
}
