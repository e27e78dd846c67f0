package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
)

const (
	interim103     = "HTTP/1.1 103 Early Hints\r\n\r\n"
	rejected503    = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	repeatWindow   = 200 * time.Millisecond                     // within which the body of a repeat has to go out
	slowProcessing = responseReadTimeout + 100*time.Millisecond // between a body and its answer
	uploadLength   = maxBodyBytes + 1000
)

var (
	isServed  = []balancer.Result{balancer.OK}
	neverRan  = []balancer.Result{balancer.NotSent, balancer.ConnectFailed, balancer.Rejected}
	notServed = append([]balancer.Result{balancer.Reset, balancer.Failed}, neverRan...)
)

// expectBackend answers heads that have an Expect header by onHead, and requests that are complete by onBody. Where onHead is nil,
// it sends no 100 (Continue). Unless isUnknown, there is a request before, which teaches the transport whether it does.
type expectBackend struct {
	net.Listener
	onHead, onBody func(net.Conn)
	behindFirst    string // is written behind the first answer
	isUnknown      bool
	wait           func() // until all connections are served

	mu        sync.Mutex
	firstConn net.Conn
	heads     []*http.Request
	bodies    []int64 // bytes that came behind the heads
}

func (b *expectBackend) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		onHead, onBody := b.onHead, b.onBody
		b.mu.Lock()
		n := len(b.heads)
		b.heads, b.bodies = append(b.heads, r), append(b.bodies, 0)
		if n == 0 && !b.isUnknown {
			onHead, onBody, b.firstConn = says(interim100), says(agenttest.Served+b.behindFirst), c
		}
		b.mu.Unlock()
		if r.Header.Get("Expect") != "" && b.onHead != nil {
			onHead(c)
		}
		length, err := io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.bodies[n] = length
		b.mu.Unlock()
		if err != nil {
			return
		}
		onBody(c)
	}
}

// newExpectFixture starts the backend, and makes the attempt that teaches.
func newExpectFixture(t *testing.T, b *expectBackend, most int) *fixture {
	t.Helper()
	b.Listener = agenttest.Listen(t)
	b.wait = agenttest.ServeConns(t, b, b.serve)
	f := newFixture(t, b.Addr().String(), most)
	if f.Pool.QuietPeriod = 0; b.isUnknown {
		return f
	}
	if out := f.RoundTrip(t.Context(), f.keyedFirst(repeatWindow)); out.Result != balancer.OK {
		t.Fatalf("the first attempt: %v", out.Result)
	}
	return f
}

// finish ends all connections. It returns the head of the last request and how many bytes came behind it.
func (b *expectBackend) finish(t *testing.T, f *fixture) (head *http.Request, length int64) {
	t.Helper()
	f.Pool.Close()
	b.wait()
	n := len(b.heads)
	if want := map[bool]int{true: 1, false: 2}[b.isUnknown]; n != want {
		t.Fatalf("%d requests, want %d", n, want)
	}
	return b.heads[n-1], b.bodies[n-1]
}

// says is a script that writes a text.
func says(text string) func(net.Conn) {
	return func(c net.Conn) { besteffort.IgnoreResult(io.WriteString(c, text)) }
}

func firstAttempt(f *fixture) *engine.Attempt  { return f.keyedFirst(repeatWindow) }
func repeatAttempt(f *fixture) *engine.Attempt { return f.keyedRepeat(repeatWindow) }

func saysNothing(net.Conn) {}

func answersSlowly(c net.Conn) {
	time.Sleep(slowProcessing)
	says(agenttest.Served)(c)
}

func breaks(c net.Conn) {
	resets(c, nil, 0)
	besteffort.Close(c)
}

// A backend answers the head of a repeat. Only 100 (Continue) lets the body go out. A final answer in its place answers no request
// and is never served, and what breaks, or stays silent for as long as the window lasts, never ran.
func TestRepeatWaitsForContinue(t *testing.T) {
	for name, c := range map[string]struct {
		onHead, onBody func(net.Conn)
		want           []balancer.Result
		length         int64 // of the body that goes out
	}{
		"100":                    {says(interim100), says(agenttest.Served), isServed, 4},
		"a second 100":           {says(interim100 + interim100), says(agenttest.Served), isServed, 4},
		"102 and 103 before 100": {says("HTTP/1.1 102 Processing\r\n\r\n" + interim103 + interim100), says(agenttest.Served), isServed, 4},
		"100, and a slow answer": {says(interim100), answersSlowly, isServed, 4},
		"100, then rejected":     {says(interim100), says(rejected503), []balancer.Result{balancer.Rejected}, 4},
		"100, then broken":       {says(interim100), breaks, []balancer.Result{balancer.Reset}, 4},
		"200 in place of 100":    {says(agenttest.Served), saysNothing, notServed, 0},
		"200 behind 103":         {says(interim103 + agenttest.Served), saysNothing, notServed, 0},
		"503 not processed":      {says(rejected503), saysNothing, neverRan, 0},
		"503":                    {says("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), saysNothing, notServed, 0},
		"417":                    {says("HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n"), saysNothing, neverRan, 0},
		"500":                    {says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), saysNothing, notServed, 0},
		"101":                    {says("HTTP/1.1 101 Other\r\n\r\n"), saysNothing, notServed, 0},
		"103 without end":        {says(strings.Repeat(interim103, 2*maxInterimResponses)), saysNothing, notServed, 0},
		"noise":                  {says("no HTTP at all\r\n\r\n"), saysNothing, notServed, 0},
		"half of a 100":          {says("HTTP/1.1 100 Cont"), saysNothing, notServed, 0},
		"silence":                {saysNothing, saysNothing, neverRan, 0},
		"broken":                 {breaks, saysNothing, neverRan, 0},
		"closed":                 {func(c net.Conn) { besteffort.Close(c) }, saysNothing, neverRan, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &expectBackend{onHead: c.onHead, onBody: c.onBody}
			f := newExpectFixture(t, b, 100)
			began := f.Clock.Now()
			out := f.RoundTrip(t.Context(), f.keyedRepeat(repeatWindow))
			if !slices.Contains(c.want, out.Result) || (out.Result == balancer.OK) != (body(out) == "fine") {
				t.Errorf("result %v with %q, want one of %v", out.Result, body(out), c.want)
			}
			if name == "silence" && !out.Unread || out.Unread && out.Result != balancer.NotSent {
				t.Errorf("result %v, unread: %v", out.Result, out.Unread)
			}
			if took := f.Clock.Now() - began; took > repeatWindow+2*slowProcessing {
				t.Errorf("it took %v", took)
			}
			if n := f.open(); c.length == 0 && n != 0 {
				t.Errorf("%d connections are kept behind a head without its body", n)
			}
			if _, length := b.finish(t, f); length != c.length {
				t.Errorf("%d bytes of the repeat's body", length)
			}
		})
	}
}

// 100 (Continue) comes, but meanwhile the window is over, the request has its answer, its client has left, or the backend drains,
// has restarted or is gone. The body stays here, and the attempt never ran.
func TestContinueComesTooLate(t *testing.T) {
	for name, change := range map[string]func(f *fixture, a *engine.Attempt, addr string){
		"window is over": func(f *fixture, a *engine.Attempt, _ string) { <-time.After(a.WriteDeadline - f.Clock.Now()) },
		"answered":       func(_ *fixture, a *engine.Attempt, _ string) { a.Call.Close() },
		"client left":    func(f *fixture, a *engine.Attempt, _ string) { engine.New(nil, f.Clock, nil, nil).ClientLeft(a.Call) },
		"drains":         func(f *fixture, _ *engine.Attempt, addr string) { f.list(addr, balancer.Draining, 0) },
		"restarted":      func(f *fixture, _ *engine.Attempt, addr string) { f.list(addr, balancer.Ready, 7) },
		"gone":           func(f *fixture, _ *engine.Attempt, _ string) { f.Pool.Update(true, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &expectBackend{onHead: saysNothing, onBody: says(agenttest.Served)}
			f := newExpectFixture(t, b, 100)
			a := f.keyedRepeat(repeatWindow)
			b.onHead = func(c net.Conn) { change(f, a, c.LocalAddr().String()); says(interim100)(c) }
			if out := f.RoundTrip(t.Context(), a); !slices.Contains(neverRan, out.Result) {
				t.Errorf("result %v", out.Result)
			}
			if _, length := b.finish(t, f); length != 0 {
				t.Errorf("%d bytes of the repeat's body", length)
			}
		})
	}
}

// 100 (Continue) comes in the moment in which the window ends, a little before or behind. Whichever is first, an attempt that
// counts as not run has no body at the backend, and one whose body is there is answered.
func TestContinueCrossesEndOfWindow(t *testing.T) {
	for early := -500 * time.Microsecond; early <= 500*time.Microsecond; early += 50 * time.Microsecond {
		b := &expectBackend{onHead: saysNothing, onBody: says(agenttest.Served)}
		f := newExpectFixture(t, b, 100)
		a := f.keyedRepeat(repeatWindow)
		a.WriteDeadline = f.Clock.Now() + repeatWindow/10
		b.onHead = func(c net.Conn) { <-time.After(a.WriteDeadline - f.Clock.Now() - early); says(interim100)(c) }
		out := f.RoundTrip(t.Context(), a)
		if _, length := b.finish(t, f); (length > 0) != (out.Result == balancer.OK) || length == 0 && !slices.Contains(neverRan, out.Result) {
			t.Errorf("100 %v before the end: %v, with %d bytes of its body", early, out.Result, length)
		}
	}
}

// What is no repeat by key is written at once, and so is a repeat without a body. A request without a body expects nothing, nor does
// one that is unsafe or may be repeated freely. Where 100 comes at once, the answer to a first attempt may take as long as before.
func TestRequestsThatDoNotWait(t *testing.T) {
	withEffect := func(effect balancer.Effect) func(*fixture) *engine.Attempt {
		return func(f *fixture) *engine.Attempt {
			a := f.attempt(3 * time.Second)
			a.Call.Effect = effect
			a.Call.Payload.(*Request).Header.Del("Idempotency-Key")
			return a
		}
	}
	withoutBody := func(attempt func(*fixture) *engine.Attempt) func(*fixture) *engine.Attempt {
		return func(f *fixture) *engine.Attempt {
			a := attempt(f)
			a.Call.Payload.(*Request).Body = nil
			return a
		}
	}
	for name, c := range map[string]struct {
		attempt   func(*fixture) *engine.Attempt
		onHead    func(net.Conn)
		isUnknown bool
		mayExpect bool
	}{
		"first to one that sends 100":  {firstAttempt, says(interim100), true, true},
		"first to one that sends none": {firstAttempt, nil, true, true},
		"first without a body":         {withoutBody(firstAttempt), saysNothing, true, false},
		"repeat without a body":        {withoutBody(repeatAttempt), saysNothing, false, false},
		"unsafe":                       {withEffect(balancer.NonIdempotent), saysNothing, true, false},
		"freely repeatable":            {withEffect(balancer.Idempotent), saysNothing, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &expectBackend{onHead: c.onHead, onBody: answersSlowly, isUnknown: c.isUnknown}
			f := newExpectFixture(t, b, 100)
			a := c.attempt(f)
			if out := f.RoundTrip(t.Context(), a); out.Result != balancer.OK {
				t.Errorf("result %v", out.Result)
			}
			head, length := b.finish(t, f)
			if head.Header.Get("Expect") != "" && !c.mayExpect || length != int64(len(a.Call.Payload.(*Request).Body)) {
				t.Errorf("header %v, %d bytes of the body", head.Header, length)
			}
		})
	}
}

// A backend sends no 100 (Continue). Silence may be a stall as well, so that some repeats may wait for it in vain; they never ran. Then
// repeats are written as first attempts are, where unconfirmed ones are allowed.
func TestBackendThatOmitsContinueIsLearned(t *testing.T) {
	const maxInVain = 2
	b := &expectBackend{onBody: says(agenttest.Served)}
	f := newExpectFixture(t, b, 100)
	f.AllowUnconfirmedRepeats = true
	results := make([]balancer.Result, maxInVain+2)
	for i := range results {
		results[i] = f.RoundTrip(t.Context(), f.keyedRepeat(repeatWindow)).Result
		if i < maxInVain && slices.Contains(neverRan, results[i]) {
			continue
		}
		if results[i] != balancer.OK {
			t.Errorf("the repeats ended with %v", results[:i+1])
		}
	}
}

// A 100 (Continue) that belongs to nothing comes behind an answer, or on a connection at rest. The next repeat does not take it
// for its own: its body is not written, as its own head got none.
func TestStrayContinueReleasesNoBody(t *testing.T) {
	for name, behindFirst := range map[string]string{"behind an answer": interim100, "at rest": ""} {
		t.Run(name, func(t *testing.T) {
			b := &expectBackend{behindFirst: behindFirst, onHead: saysNothing, onBody: saysNothing}
			f := newExpectFixture(t, b, 100)
			if behindFirst == "" {
				says(interim100)(b.firstConn)
			}
			agenttest.Eventually(t, "the connection is closed", func() bool { f.Pool.Sweep(); return f.idle() == 0 })
			if out := f.RoundTrip(t.Context(), f.keyedRepeat(repeatWindow)); !slices.Contains(neverRan, out.Result) {
				t.Errorf("result %v", out.Result)
			}
			if _, length := b.finish(t, f); length != 0 {
				t.Errorf("%d bytes of the repeat's body", length)
			}
		})
	}
}

// A large body is forwarded while it is received. Its repeat takes the same two steps, and where no 100 (Continue) comes nothing of
// the client's body is used up.
func TestUploadWaitsForContinue(t *testing.T) {
	for name, c := range map[string]struct {
		onHead func(net.Conn)
		want   []balancer.Result
		length int64
	}{
		"100":     {says(interim100), isServed, uploadLength},
		"silence": {saysNothing, neverRan, 0},
		"broken":  {breaks, neverRan, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &expectBackend{onHead: c.onHead, onBody: says(agenttest.Served)}
			f := newExpectFixture(t, b, 100)
			f.AllowsLargeBodies = true
			up := &Upload{Length: uploadLength, Prefix: make([]byte, maxBodyBytes), ClientTimeout: 3 * time.Second,
				Rest: strings.NewReader(strings.Repeat("x", uploadLength-maxBodyBytes))}
			if out := f.RoundTrip(t.Context(), withUpload(f.keyedRepeat(repeatWindow), up)); !slices.Contains(c.want, out.Result) || up.Consumed() != (c.length > 0) {
				t.Errorf("result %v, consumed: %v", out.Result, up.Consumed())
			}
			if head, length := b.finish(t, f); head.Header.Get("Expect") == "" || length != c.length {
				t.Errorf("header %v, %d bytes of the repeat's body", head.Header, length)
			}
		})
	}
}

// Hundreds of repeats wait together for a backend that has stopped. Each ends with its window, never ran, and leaves neither a
// connection nor a goroutine.
func TestManyRepeatsWaitTogether(t *testing.T) {
	const repeats = 200
	goOn := make(chan struct{})
	b := &expectBackend{onHead: func(net.Conn) { <-goOn }, onBody: says(agenttest.Served)}
	f := newExpectFixture(t, b, 4*(repeats+1))
	before := runtime.NumGoroutine()
	var all sync.WaitGroup
	var wrong, late atomic.Int64
	for range repeats {
		all.Go(func() {
			began := f.Clock.Now()
			if out := f.RoundTrip(t.Context(), f.keyedRepeat(repeatWindow)); !slices.Contains(neverRan, out.Result) {
				wrong.Add(1)
			}
			if f.Clock.Now()-began > repeatWindow+2*time.Second {
				late.Add(1)
			}
		})
	}
	all.Wait()
	if wrong.Load() > 0 || late.Load() > 0 || f.open() > 0 {
		t.Errorf("%d may have run, %d were late, %d connections are left", wrong.Load(), late.Load(), f.open())
	}
	close(goOn)
	agenttest.Eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent := slices.Max(b.bodies[1:]); sent > 0 {
		t.Errorf("%d bytes of a repeat's body", sent)
	}
}

// Backends that are known to send no 100 (Continue), as they omit it or reject the expectation, also when they once sent it. A repeat is never written to
// them whole, as they may have stopped just then; it does not wait for them for long, and they are told apart from backends that ask.
func TestNoRepeatIsWrittenWithoutContinue(t *testing.T) {
	for name, answer := range map[string]answerHead{"omits": neverContinues, "rejects": rejectsExpectations} {
		for _, hasSentIt := range []bool{false, true} {
			b := newContinueBackend(t, answer)
			f := newFixture(t, b.addr, 8)
			if hasSentIt {
				f.Pool.Backend("b").RecordContinue()
			}
			const repeats = 6
			out, firsts, waited := engine.Outcome{}, int64(0), time.Duration(0)
			for range repeats {
				if f.RoundTrip(t.Context(), f.keyedFirst(testWindow)).Result == balancer.OK {
					firsts++
				}
				began := f.Clock.Now()
				out = f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
				waited += f.Clock.Now() - began
				if out.Result != balancer.NotSent {
					t.Errorf("%s, has sent it %v: result %v", name, hasSentIt, out.Result)
				}
			}
			if !out.OmitsContinue || firsts < repeats-1 || b.complete.Load() != firsts {
				t.Errorf("%s, has sent it %v: known to omit %v, %d first attempts served, %d complete", name, hasSentIt, out.OmitsContinue, firsts, b.complete.Load())
			}
			if waited > 5*MaxContinueWait {
				t.Errorf("%s, has sent it %v: %d repeats waited for %v", name, hasSentIt, repeats, waited)
			}
		}
	}
}
