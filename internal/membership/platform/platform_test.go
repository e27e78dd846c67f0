package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// follower is a discovery client whose updates a test reads.
func follower(t *testing.T, url string, log io.Writer) (*Discovery, agenttest.Sink) {
	t.Helper()
	h := agenttest.NewSink()
	d := New(Options{Addr: url, Zones: []string{"edinburgh-dc"}}, engine.NewClock(), slog.New(slog.NewTextHandler(log, nil)))
	d.to = h
	return d, h
}

// follow runs it until the test ends.
func follow(t *testing.T, d *Discovery, to agenttest.Sink) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx, to); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

func next(t *testing.T, h agenttest.Sink) membership.Update {
	t.Helper()
	select {
	case u := <-h.Updates:
		return u
	case <-time.After(agenttest.Patience):
		t.Fatal("no list came")
	}
	return membership.Update{}
}

func TestFollowsChanges(t *testing.T) {
	f := agenttest.NewDiscovery(t, 41, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0), agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 5))
	d, events := follower(t, f.Addr().String(), io.Discard)
	follow(t, d, events)
	if l := next(t, events); !l.Full || len(l.Members) != 2 || l.Members[0].Addr != "127.0.0.1:1" || l.Members[1].Started == 0 ||
		l.Members[0].Started != 0 {
		t.Errorf("%+v", l)
	}
	f.Set(43, false, agenttest.EntryText("s-1", "127.0.0.1:1", "Terminating", 0))
	if l := next(t, events); l.Full || len(l.Members) != 1 || l.Members[0].State != balancer.Draining {
		t.Errorf("%+v", l)
	}
	f.Set(44, false, agenttest.EntryText("s-1", "", "Gone", 0))
	if l := next(t, events); l.Full || len(l.Members) != 1 || l.Members[0].State != balancer.Removed {
		t.Errorf("%+v", l)
	}
	if wholes, _ := f.Calls(); wholes != 1 {
		t.Errorf("%d calls for the whole list", wholes)
	}
}

// Watches go on back to back: a later call would be a new watch, and what changed meanwhile might be missed.
func TestWatchesGoOn(t *testing.T) {
	f := agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	d, events := follower(t, f.Addr().String(), io.Discard)
	follow(t, d, events)
	next(t, events)
	agenttest.Eventually(t, "a second watch", func() bool { _, n := f.Calls(); return n > 1 })
	if len(events.Updates) > 0 {
		t.Error("a watch without news brought some")
	}
}

// In an outage the last list stands; the silence is noticed, and the first list after it is a whole one.
func TestOutage(t *testing.T) {
	f := agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	var log agenttest.LockedBuffer
	d, events := follower(t, f.Addr().String(), &log)
	follow(t, d, events)
	next(t, events)
	f.Silence(true)
	agenttest.Eventually(t, "the silence is noticed", func() bool { return log.Count("out of reach") == 1 })
	if len(events.Updates) > 0 {
		t.Errorf("the outage changed the list: %+v", <-events.Updates)
	}
	f.Set(5, true, agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 0))
	f.Silence(false)
	if l := next(t, events); !l.Full || len(l.Members) != 1 || l.Members[0].ID != "s-2" {
		t.Errorf("%+v", l)
	}
	if log.Count("discovery is back") != 1 {
		t.Error("its end is not in the log")
	}
}

// An older list than the one held, such as a late answer or an agent restored from a newer one, changes nothing.
func TestVersionsOnlyGoForward(t *testing.T) {
	d, events := follower(t, agenttest.Refusing(t), io.Discard)
	takes := func(text string, whole bool) error {
		t.Helper()
		l, err := listing.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d.take(l, whole)
	}
	ready := agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0)
	for _, step := range []struct {
		text   string
		whole  bool
		fails  bool
		events int
	}{
		{agenttest.ListText(7, true, ready), true, false, 1},
		{agenttest.ListText(6, true, ready), true, false, 0},
		{agenttest.ListText(7, false, ready), false, false, 0},
		{agenttest.ListText(6, false, ready), false, true, 0},
		{agenttest.ListText(9, false, ready), true, true, 0},
		{agenttest.ListText(9, false, ready), false, false, 1},
	} {
		if err := takes(step.text, step.whole); (err != nil) != step.fails {
			t.Errorf("%s: %v", step.text, err)
		}
		if len(events.Updates) != step.events {
			t.Errorf("%s: %d events", step.text, len(events.Updates))
		}
		for len(events.Updates) > 0 {
			<-events.Updates
		}
	}
	if d.version != 9 {
		t.Errorf("version %d", d.version)
	}
}

// After a restart discovery's list comes before the known one, which may name what has gone; the known one is used
// where discovery does not answer, and any list from discovery is newer then, whatever its version.
func TestKnownListIsTheSecondChoice(t *testing.T) {
	f := agenttest.NewDiscovery(t, 3, agenttest.EntryText("s-new", "127.0.0.1:1", "Ready", 0))
	known, err := listing.Parse([]byte(agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:2", "Ready", 0))))
	if err != nil {
		t.Fatal(err)
	}
	for name, ids := range map[string][]string{"answers": {"s-new"}, "is silent at first": {"s-old", "s-new"}} {
		d, events := follower(t, f.Addr().String(), io.Discard)
		d.known = known
		f.Silence(len(ids) > 1)
		follow(t, d, events)
		for _, want := range ids {
			if l := next(t, events); len(l.Members) != 1 || l.Members[0].ID != want {
				t.Errorf("%s: %+v, want %s", name, l, want)
			}
			f.Silence(false)
		}
	}
}

// A malformed entry neither spoils the list nor takes its backend from it, and is logged once.
func TestMalformedEntries(t *testing.T) {
	var log agenttest.LockedBuffer
	d, events := follower(t, agenttest.Refusing(t), &log)
	for i, entries := range [][]string{
		{agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0), agenttest.EntryText("s-2", "127.0.0.1:2", "Ready", 0)},
		{agenttest.EntryText("s-1", "127.0.0.1:1", "Asleep", 0), agenttest.EntryText("s-3", "no address", "Ready", 0), `{"id":9}`, `"x"`,
			agenttest.EntryText("s-4", "127.0.0.1:4", "Ready", 0)},
	} {
		l, err := listing.Parse([]byte(agenttest.ListText(i, true, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		if err := d.take(l, true); err != nil {
			t.Fatal(err)
		}
	}
	<-events.Updates
	var ids []string
	u := next(t, events)
	for _, m := range u.Members {
		ids = append(ids, m.ID)
	}
	if got := strings.Join(ids, " "); got != "s-4" || !slices.Contains(u.Retained, "s-1") {
		t.Errorf("the list is %q, and %q stand", got, u.Retained)
	}
	if n := log.Count("malformed"); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

// Where the list must be asked for, the module says when; a failed call is told to it.
func TestAskedDiscovery(t *testing.T) {
	d, events := follower(t, agenttest.Refusing(t), io.Discard)
	d.asked = true
	follow(t, d, events)
	d.Subscribe()
	select {
	case err := <-events.Losses:
		if !errors.Is(err, membership.ErrUnsubscribed) {
			t.Error(err)
		}
	case <-time.After(agenttest.Patience):
		t.Fatal("the failure was not told")
	}
}

// Where the list is subscribed to, the new discovery is asked without waiting for the module, whose subscription
// was with the old one.
func TestMoveOfAnAskedDiscovery(t *testing.T) {
	f := agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
	d, events := follower(t, agenttest.Refusing(t), &agenttest.LockedBuffer{})
	d.asked = true
	follow(t, d, events)
	d.SetAddress(f.Addr().String())
	if l := next(t, events); len(l.Members) != 1 {
		t.Errorf("%+v", l)
	}
}

// A discovery that answers every watch at once with the same list is told on, and fills no log.
func TestSameListIsLoggedOnce(t *testing.T) {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		besteffort.IgnoreResult(io.WriteString(w, agenttest.ListText(1, true, agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0))))
	})}
	l := agenttest.Listen(t)
	go func() { besteffort.Ignore(srv.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(srv) })
	var log agenttest.LockedBuffer
	d, events := follower(t, l.Addr().String(), &log)
	follow(t, d, events)
	for range 4 {
		next(t, events)
	}
	if n := log.Count("list of backends"); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

// A call that began in an outage hangs on when that is over, as far as a call may. The next one begins beside it, so that the list is not
// late by what the first one has left.
func TestCallsThatHangAreNotWaitedFor(t *testing.T) {
	var mu sync.Mutex
	mute, hang, most := false, 0, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		quiet, version := mute, 1
		if most > 1 {
			version = 5
		}
		if quiet {
			hang++
			most = max(most, hang)
		}
		mu.Unlock()
		if quiet {
			<-r.Context().Done()
			mu.Lock()
			hang--
			mu.Unlock()
			return
		}
		if r.URL.RawQuery != "" { // a watch
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
		besteffort.IgnoreResult(io.WriteString(w, agenttest.ListText(version, true, agenttest.EntryText(fmt.Sprint("s-", version), "127.0.0.1:1", "Ready", 0))))
	}))
	t.Cleanup(server.Close)
	d, events := follower(t, strings.TrimPrefix(server.URL, "http://"), io.Discard)
	follow(t, d, events)
	next(t, events)
	set := func(is bool) {
		mu.Lock()
		defer mu.Unlock()
		mute = is
	}
	set(true)
	agenttest.Eventually(t, "a call begins beside one that hangs", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return most > 1
	})
	set(false)
	agenttest.Eventually(t, "the list of now", func() bool { l := next(t, events); return l.Members[0].ID == "s-5" })
	agenttest.Eventually(t, "calls that are not wanted any more end", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return hang == 0
	})
	if n := d.Counts(); n.Failed > n.FullLists+n.Watches {
		t.Errorf("%+v", n)
	}
}

// hanging is a discovery of which some calls hang until they are given up, and which says whether another one came beside them.
type hanging struct {
	*httptest.Server
	mu     sync.Mutex
	hangs  func(query string) bool // the first such call does, however many others a slow machine brings
	answer func(query string) string
	hung   bool
	told   bool // changes were asked for and told
	open   int  // calls that hang
	beside []string
	slowly bool // an answer's head comes, and nothing behind it
}

func newHanging(t *testing.T, hangs func(query string) bool, answer func(query string) string) *hanging {
	h := &hanging{hangs: hangs, answer: answer}
	h.Server = httptest.NewServer(h)
	t.Cleanup(h.Close)
	return h
}

func (h *hanging) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	hangs := !h.hung && h.hangs(r.URL.RawQuery)
	h.hung = h.hung || hangs
	over := h.told
	h.told = h.told || !hangs && r.URL.RawQuery != ""
	if h.open > 0 {
		h.beside = append(h.beside, r.URL.RawQuery)
	}
	if hangs {
		h.open++
	}
	h.mu.Unlock()
	if hangs {
		if h.slowly {
			besteffort.IgnoreResult(io.WriteString(w, "{"))
			besteffort.Ignore(http.NewResponseController(w).Flush())
		}
		<-r.Context().Done()
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return
	}
	if r.URL.RawQuery != "" && over {
		<-r.Context().Done() // what comes later is of no interest
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, h.answer(r.URL.RawQuery)))
}

// asked are the calls that came while another one hung.
func (h *hanging) asked() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.beside)
}

// A pushed list is asked for anew while a call hangs, whichever call that is: the first one of a process, the first one after a
// move, a watch that was open when discovery fell silent, or an answer that has begun and does not go on. What is new counts as
// told at once.
func TestNoCallThatHangsIsWaitedFor(t *testing.T) {
	ready := agenttest.EntryText("s-1", "127.0.0.1:1", "Ready", 0)
	whole, drains := agenttest.ListText(7, true, ready), agenttest.ListText(8, false, agenttest.EntryText("s-1", "127.0.0.1:1", "Terminating", 0))
	for name, tt := range map[string]struct {
		watch  bool // hangs, else a call for the whole list
		slowly bool
		moved  bool
		want   string // the call beside it
	}{
		"the first call":               {false, false, false, ""},
		"its body":                     {false, true, false, ""},
		"the first call after a move":  {false, false, true, ""},
		"a watch":                      {true, false, false, "since=7&timeout_ms=0"},
		"the body of a watch's answer": {true, true, false, "since=7&timeout_ms=0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHanging(t, func(query string) bool { return (query == "since=7&timeout_ms=300") == tt.watch }, func(query string) string {
				if query == "" {
					return whole
				}
				return drains
			})
			h.slowly = tt.slowly
			at := strings.TrimPrefix(h.URL, "http://")
			d, events := follower(t, at, io.Discard)
			d.answerIn, d.bodyIn = time.Hour, time.Hour // the call hangs on, however late the machine runs
			if tt.moved {
				d.addr, d.at = agenttest.Refusing(t), "" // where it is before
				follow(t, d, events)
				d.SetAddress(at)
			} else {
				follow(t, d, events)
			}
			for {
				if u := next(t, events); !u.Full && u.Members[0].State == balancer.Draining {
					break
				}
			}
			if got := h.asked(); !slices.Contains(got, tt.want) {
				t.Errorf("beside the call that hung came %q, want %q", got, tt.want)
			}
		})
	}
}

// Calls that fail at once come no faster than the pause allows, and those that hang are few beside each other.
func TestCallsInAnOutageAreBounded(t *testing.T) {
	var mu sync.Mutex
	open, most := 0, 0
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		open++
		most = max(most, open)
		mu.Unlock()
		<-r.Context().Done()
		mu.Lock()
		open--
		mu.Unlock()
	}))
	t.Cleanup(server.Close)
	d, events := follower(t, strings.TrimPrefix(server.URL, "http://"), io.Discard)
	began := time.Now()
	follow(t, d, events)
	agenttest.Eventually(t, "some calls are given up", func() bool { return d.Counts().Failed >= 4 })
	mu.Lock()
	defer mu.Unlock()
	if beside := int(callTimeout/retryPause) + 1; most > beside || most < 2 {
		t.Errorf("%d calls beside each other, %d at the most", most, beside)
	}
	if n, could := d.Counts().FullLists, uint64(time.Since(began)/retryPause)+1; n > could {
		t.Errorf("%d calls in a time for %d", n, could)
	}
}
