package http1

import (
	"io"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// A repeat of a large request has a head of several kilobytes, which net/http writes in more than one piece. The agent must wait for 100
// behind the last of them: a backend answers a whole head only, and would seem not to read.
func TestLongHeadIsWholeBeforeTheWait(t *testing.T) {
	b := newContinueBackend(t, alwaysContinues)
	for _, length := range []int{10, 5000, 9000} {
		f := newFixture(t, b.addr, 8)
		a := f.keyedRepeat(testWindow)
		in := a.Call.Payload.(*Request)
		in.Header.Set("X-Attrs", strings.Repeat("a", length))
		in.Upload = &Upload{Length: 5, Prefix: []byte("abc"), Rest: strings.NewReader("de"), ClientTimeout: time.Second}
		if out := f.RoundTrip(t.Context(), a); out.Result != balancer.OK {
			t.Errorf("a head of %d bytes and more: result %v", length, out.Result)
		}
	}
}

// slowReader gives a byte at a time.
type slowReader struct{ left int }

func (s *slowReader) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	time.Sleep(300 * time.Millisecond)
	return copy(b, "x"), nil
}

// A backend begins a request with its last byte. The body of a large repeat begins inside the window, and its client is slow: the last
// byte must not go out when the window is over, as the backends have forgotten the key.
func TestLastByteOfARepeatIsInsideTheWindow(t *testing.T) {
	b := newContinueBackend(t, alwaysContinues)
	f := newFixture(t, b.addr, 8)
	a, end := f.keyedRepeat(testWindow), time.Now().Add(time.Second)
	a.Call.Payload.(*Request).Upload = &Upload{Length: 8, Prefix: []byte("abc"), Rest: &slowReader{5}, ClientTimeout: time.Second}
	out := f.RoundTrip(t.Context(), a)
	if late := time.Unix(0, b.completeAt.Load()).Sub(end); b.complete.Load() != 0 && late > 0 {
		t.Errorf("result %v: the last byte came %v behind the window", out.Result, late)
	}
}

// A backend stalls before the agent knows whether it sends 100, and two repeats wait for it in vain. Then it reads again, and answers
// first attempts. It sends 100, and repeats must go on waiting for it: its next stall is the one that repeats an effect.
func TestStallIsNotTakenForABackendWithoutContinue(t *testing.T) {
	b := newContinueBackend(t, alwaysContinues)
	f := newFixture(t, b.addr, 8)
	end := b.beginStall()
	for range 2 {
		f.RoundTrip(t.Context(), f.keyedRepeat(testWindow))
	}
	end()
	for range 3 {
		f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	}
	checkRepeatWaits(t, f, b)
}

// A backend need not send 100 where the body is there already (RFC 9110, section 10.1.1), as behind the head of a first attempt. It sends
// 100 to a repeat, whose body is not there, and must not be taken for one that never does.
func TestContinueOmittedForABodyThatIsThere(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 8)
	f.RoundTrip(t.Context(), f.keyedFirst(testWindow))
	checkRepeatWaits(t, f, b)
}

// checkRepeatWaits checks that the body of a repeat waits for 100 of a backend that sends it.
func checkRepeatWaits(t *testing.T, f *fixture, b *continueBackend) {
	t.Helper()
	if out := f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)); out.Result != balancer.OK || !b.cameAlone.Load() {
		t.Errorf("result %v, the head came without its body: %v", out.Result, b.cameAlone.Load())
	}
}

// A backend rejects every expectation by 417. First attempts at it are served all the same, from the second on at the latest.
func TestFirstAttemptsWhereExpectationsAreRejected(t *testing.T) {
	b := newContinueBackend(t, rejectsExpectations)
	f := newFixture(t, b.addr, 8)
	for i := range 4 {
		if out := f.RoundTrip(t.Context(), f.keyedFirst(testWindow)); i > 0 && out.Result != balancer.OK {
			t.Errorf("first attempt %d: result %v", i, out.Result)
		}
	}
}

// An agent repeats only what its backend confirms to read. What can't be held until then, as it has no body or its backend sends no 100, is
// not written at all; first attempts are.
func TestConfirmedRepeatsOnly(t *testing.T) {
	b := newContinueBackend(t, neverContinues)
	f := newFixture(t, b.addr, 8)
	f.ConfirmedRepeatsOnly = true
	first, bodyless := f.keyedFirst(testWindow), f.keyedRepeat(testWindow)
	bodyless.Call.Payload.(*Request).Body = nil
	for _, c := range []struct {
		name    string
		attempt *engine.Attempt
		want    balancer.Result
		omits   bool // is known to send no 100 from then on
	}{
		{"repeat without a body", bodyless, balancer.NotSent, false},
		{"first attempt", first, balancer.OK, false},
		{"repeat whose backend may omit 100", f.keyedRepeat(testWindow), balancer.NotSent, false},
		{"a second one", f.keyedRepeat(testWindow), balancer.NotSent, true},
		{"repeat whose backend omits 100", f.keyedRepeat(testWindow), balancer.NotSent, true},
	} {
		if out := f.RoundTrip(t.Context(), c.attempt); out.Result != c.want || out.OmitsContinue != c.omits {
			t.Errorf("%s: %v, omits 100: %v", c.name, out.Result, out.OmitsContinue)
		}
	}
}
