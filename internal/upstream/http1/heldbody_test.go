package http1

import (
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/upstream/connpool"
)

// Bodies of other forms are held, too: chunked, chunked and empty, large.
func TestBodiesOfOtherForms(t *testing.T) {
	for name, u := range map[string]*Upload{
		"chunked":           {Length: -1, Prefix: []byte("abc"), Rest: strings.NewReader("de"), ClientTimeout: time.Second},
		"chunked and empty": {Length: -1, Rest: strings.NewReader(""), ClientTimeout: time.Second},
		"large":             {Length: 3 << 20, Rest: io.LimitReader(zeros{}, 3<<20), ClientTimeout: time.Second},
		"one byte":          {Length: 1, Prefix: []byte("a"), Rest: strings.NewReader(""), ClientTimeout: time.Second},
	} {
		b := newContinueBackend(t, continuesWithoutBody)
		f := newFixture(t, b.addr, 8)
		f.AllowsLargeBodies = true
		f.Pool.Backend("b").RecordContinue()
		end := b.beginStall()
		out := f.RoundTrip(t.Context(), withUpload(f.keyedRepeat(testWindow), u))
		end()
		b.settle(t, f)
		if n := b.complete.Load(); out.Result != balancer.NotSent || !out.Unread || n != 0 || u.Consumed() {
			t.Errorf("%s: %v, unread %v, complete %d, consumed %v", name, out.Result, out.Unread, n, u.Consumed())
		}
		if out := f.RoundTrip(t.Context(), withUpload(f.keyedRepeat(testWindow), u)); out.Result != balancer.OK {
			t.Errorf("%s: then %v", name, out.Result)
		}
	}
}

// Many repeats and first attempts at one backend, that learn beside each other (for the race detector). None is lost, and no place of a connection stays taken.
func TestManyAttemptsLearn(t *testing.T) {
	b := newContinueBackend(t, continuesWithoutBody)
	f := newFixture(t, b.addr, 300)
	var all sync.WaitGroup
	var lost atomic.Int64
	for i := range 60 {
		all.Go(func() {
			a := f.keyedFirst(testWindow)
			if i%2 == 0 {
				a = f.keyedRepeat(testWindow)
			}
			if out := f.RoundTrip(t.Context(), a); out.Result != balancer.OK && !slices.Contains(neverRan, out.Result) {
				lost.Add(1)
			}
		})
	}
	all.Wait()
	if n := lost.Load(); n > 0 {
		t.Errorf("%d of 60 may have run and were not served", n)
	}
	if f.Pool.Backend("b").ContinueSupport() != connpool.ContinueSent {
		t.Error("its 100s have come and are not known")
	}
	end := b.beginStall()
	for range 60 {
		all.Go(func() { f.RoundTrip(t.Context(), f.keyedRepeat(testWindow)) })
	}
	all.Wait()
	end()
	b.settle(t, f)
	if n := f.open(); n != f.idle() {
		t.Errorf("%d connections are open, %d of them idle", n, f.idle())
	}
}

// The client's side of a large body fails behind its last byte, which is out by then, as the body fills net/http's buffer. The backend has the
// request complete: the attempt may have run, and must not be said not to have.
func TestUploadWhoseReaderFailsBehindItsLastByte(t *testing.T) {
	for _, length := range []int64{4096, 4097} {
		b := newContinueBackend(t, neverContinues)
		f := newFixture(t, b.addr, 8)
		rest := io.MultiReader(io.LimitReader(zeros{}, length), failingReader{})
		out := f.RoundTrip(t.Context(), withUpload(f.keyedFirst(testWindow), &Upload{Length: length, Rest: rest, ClientTimeout: time.Second}))
		b.settle(t, f)
		if b.complete.Load() != 0 && out.Result == balancer.NotSent {
			t.Errorf("%d bytes: the backend has it complete, and it counts as not sent", length)
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
