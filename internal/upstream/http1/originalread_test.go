package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
)

// repeatOfUnread makes a repeat of a first attempt that was written now to a backend, and of which that has shown nothing.
func (f *fixture) repeatOfUnread(backend string) *engine.Attempt {
	a := f.keyedRepeat(testWindow)
	a.Original = &engine.Attempt{Call: a.Call, Server: backend, Incarnation: f.Pool.Incarnation(backend), Sent: f.Clock.Now()}
	return a
}

// addOther lists a second backend, which nothing is written to.
func (f *fixture) addOther() {
	f.Pool.Update(false, []engine.Member{{Server: balancer.Server{ID: "other", State: balancer.Ready}, Addr: "127.0.0.1:1"}})
}

// A first attempt may lie unread at a backend that has stopped. The repeat's body stays here, though its own backend asks for it, until the
// first one answers something that was written later.
func TestBodyWaitsUntilTheOriginalIsRead(t *testing.T) {
	for name, sign := range map[string]func(f *fixture, original *engine.Attempt){
		"no sign":                      nil,
		"an answer to a later request": func(f *fixture, _ *engine.Attempt) { f.Pool.Backend("other").RecordAnswer(f.Clock.Now()) },
		"its own answer":               func(_ *fixture, original *engine.Attempt) { original.MarkRead() },
	} {
		answers := sign != nil
		for kind, upload := range map[string]*Upload{"": nil, ", large": {Length: 5, Prefix: []byte("abc"), Rest: strings.NewReader("de"), ClientTimeout: time.Second}} {
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				b := newContinueBackend(t, alwaysContinues)
				f := newFixture(t, b.addr, 8)
				f.addOther()
				a := f.repeatOfUnread("other")
				if upload != nil {
					withUpload(a, upload)
				}
				f.Pool.Backend("other").RecordAnswer(a.Original.Sent - 1) // was written earlier
				if answers {
					time.AfterFunc(20*time.Millisecond, func() { sign(f, a.Original) })
				}
				began := f.Clock.Now()
				out := f.RoundTrip(t.Context(), a)
				if (out.Result == balancer.OK) != answers || out.OriginalUnread == answers || out.Unread {
					t.Errorf("result %v, original unread: %v, unread: %v", out.Result, out.OriginalUnread, out.Unread)
				}
				if took := f.Clock.Now() - began; took > MaxContinueWait+testWindow/2 {
					t.Errorf("it took %v", took)
				}
				f.Pool.Close()
				b.settle(t, f)
				if n := b.complete.Load(); (n == 1) != answers {
					t.Errorf("the backend found %d requests complete", n)
				}
			})
		}
	}
}

// The repeat goes to the backend of the first attempt itself. Its 100 (Continue) shows that this reads, and so that the first attempt was read
// or never will be.
func TestContinueOfTheOriginalsBackendIsASign(t *testing.T) {
	b := newContinueBackend(t, alwaysContinues)
	f := newFixture(t, b.addr, 8)
	if out := f.RoundTrip(t.Context(), f.repeatOfUnread("b")); out.Result != balancer.OK {
		t.Errorf("result %v, original unread: %v", out.Result, out.OriginalUnread)
	}
	f.list(b.addr, balancer.Ready, 7) // another process: its 100 says nothing of the earlier one
	a := f.repeatOfUnread("b")
	f.list(b.addr, balancer.Ready, 8)
	a.Incarnation = f.Pool.Incarnation("b")
	if out := f.RoundTrip(t.Context(), a); out.Result != balancer.NotSent || !out.OriginalUnread {
		t.Errorf("by another process: result %v, original unread: %v", out.Result, out.OriginalUnread)
	}
}

// A repeat without a body can't be held: it is written only if the first attempt is known to be read.
func TestRepeatWithoutABodyNeedsASign(t *testing.T) {
	for _, isRead := range []bool{false, true} {
		b := newContinueBackend(t, alwaysContinues)
		f := newFixture(t, b.addr, 8)
		f.addOther()
		a := f.repeatOfUnread("other")
		a.Call.Payload.(*Request).Body = nil
		if isRead {
			a.Original.MarkRead()
		}
		if out := f.RoundTrip(t.Context(), a); (out.Result == balancer.OK) != isRead || out.OriginalUnread == isRead || (b.complete.Load() == 1) != isRead {
			t.Errorf("read %v: result %v, original unread: %v, %d complete", isRead, out.Result, out.OriginalUnread, b.complete.Load())
		}
	}
}

// What comes behind a request shows that it was read, or never will be; a reset alone shows nothing. Each backend has read the whole request here: a
// reset of its own is not told from one of the network.
func TestSignsThatAnAttemptWasRead(t *testing.T) {
	resetBehind := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			says(text)(c) // lies at the agent's kernel when the reset comes, which leaves it there
			resets(c, nil, 0)
		}
	}
	for name, c := range map[string]struct {
		onBody  func(net.Conn)
		isLarge bool
		want    bool
	}{
		"reset":                       {resetBehind(""), false, false},
		"100, then reset":             {resetBehind(interim100), false, true},
		"100 to a large body, reset":  {resetBehind(interim100), true, false},
		"103, then reset":             {resetBehind(interim103), false, true},
		"a byte, then reset":          {resetBehind("H"), false, true},
		"half a head, then reset":     {resetBehind("HTTP/1.1 200 OK\r\nContent-Le"), false, true},
		"end of file":                 {func(net.Conn) {}, false, true},
		"end of file, large":          {func(net.Conn) {}, true, true},
		"an error":                    {says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), false, true},
		"served":                      {says(agenttest.Served), false, true},
		"noise":                       {says("no HTTP"), false, true},
		"nothing until the deadline":  {func(c net.Conn) { besteffort.IgnoreResult(c.Read(make([]byte, 1))) }, false, false},
		"100, and nothing until then": {func(c net.Conn) { says(interim100)(c); besteffort.IgnoreResult(c.Read(make([]byte, 1))) }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := agenttest.Listen(t)
			agenttest.ServeConns(t, l, func(conn net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
					c.onBody(conn)
				}
			})
			f := newFixture(t, l.Addr().String(), 8)
			a := f.keyedFirst(testWindow)
			a.Deadline = f.Clock.Now() + 300*time.Millisecond
			a.WriteDeadline = a.Deadline
			if c.isLarge {
				withUpload(a, &Upload{Length: 5, Prefix: []byte("abc"), Rest: strings.NewReader("de"), ClientTimeout: 300 * time.Millisecond})
			}
			if out := f.RoundTrip(t.Context(), a); a.IsRead() != c.want {
				t.Errorf("result %v, read: %v", out.Result, a.IsRead())
			}
		})
	}
}

// First attempts go on asking for 100 (Continue) at a backend that sends it though the body is there: one that is missing behind a break shows that
// the request may lie unread. At a backend that omits it there, it would tell nothing.
func TestFirstAttemptsGoOnAskingWhere100Tells(t *testing.T) {
	for name, c := range map[string]struct {
		answer answerHead
		asks   bool
	}{
		"always sent":                      {alwaysContinues, true},
		"never sent":                       {neverContinues, false},
		"omitted where the body is there":  {continuesWithoutBody, false},
		"rejected":                         {rejectsExpectations, false},
		"sent where the path has no query": {func(r *http.Request, _ bool) string { return sentOnce(r) }, false},
	} {
		b := newContinueBackend(t, c.answer)
		f := newFixture(t, b.addr, 8)
		for i := range 3 {
			a := f.keyedFirst(testWindow)
			if i > 0 {
				a.Call.Payload.(*Request).URL.RawQuery = "later"
			}
			f.RoundTrip(t.Context(), a)
		}
		if asks := f.expectationOf(f.keyedFirst(testWindow)) == bodyFollows; asks != c.asks {
			t.Errorf("%s: asks %v", name, asks)
		}
	}
}

// sentOnce sends 100 (Continue) to the first attempts of a test alone: those behind it have a query.
func sentOnce(r *http.Request) string {
	if r.URL.RawQuery == "" {
		return interim100
	}
	return ""
}
