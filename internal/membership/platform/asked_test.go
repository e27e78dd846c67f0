package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// scripted is a discovery that answers call after call as a script says, the last way for good.
type scripted struct {
	mu      sync.Mutex
	answers []string // "503" is one
	calls   []string // "whole", or the version that a watch is from
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := "whole"
	if since := r.URL.Query().Get("since"); since != "" {
		call = since
	}
	s.calls = append(s.calls, call)
	if answer := s.answers[0]; answer == "silence" {
		s.answers = s.answers[1:]
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		return
	}
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	if answer == "503" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	besteffort.IgnoreResult(io.WriteString(w, answer))
}

func (s *scripted) called() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// A list that is asked for is one service's work for all agents: an agent asks for no more than it needs. What it holds
// stands until something newer can be read.
func TestWhatIsAskedFor(t *testing.T) {
	ready := func(id string) string { return agenttest.EntryText(id, "127.0.0.1:1", "Ready", 0) }
	gone := agenttest.EntryText("s-old", "", "Gone", 0)
	for name, tt := range map[string]struct {
		answers []string
		calls   []string // the first ones
		ids     []string // of what is told after the known list, update by update
	}{
		"changes since the known list":         {[]string{agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "43"}, []string{"s-a"}},
		"nothing has changed":                  {[]string{agenttest.ListText(41, false), agenttest.ListText(42, false, gone)}, []string{"41", "41", "42"}, []string{"s-old"}},
		"too much has changed":                 {[]string{agenttest.ListText(90, true, ready("s-b"))}, []string{"41", "90"}, []string{"s-b"}},
		"turned away":                          {[]string{"503", "503", agenttest.ListText(42, false, ready("s-a"))}, []string{"41", "41", "41", "42"}, []string{"s-a"}},
		"another discovery, which counts anew": {[]string{agenttest.ListText(5, false), agenttest.ListText(5, true, ready("s-c"))}, []string{"41", "whole", "5"}, []string{"s-c"}},
		"broken off once":                      {[]string{`{"version":43,"full":false,"serv`, agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "41", "43"}, []string{"s-a"}},
		"can't be read again and again":        {[]string{"<html>", "<html>", agenttest.ListText(44, true, ready("s-b"))}, []string{"41", "41", "whole", "44"}, []string{"s-b"}},
		"longer than any list":                 {[]string{strings.Repeat(" ", longestList+1), agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "41", "43"}, []string{"s-a"}},
		"empty all at once":                    {[]string{agenttest.ListText(43, true), agenttest.ListText(44, false, ready("s-a"))}, []string{"41", "43", "44"}, []string{"", "s-a"}},
		"an older version than was seen": {[]string{agenttest.ListText(44, false, ready("s-a")), agenttest.ListText(42, false, gone), agenttest.ListText(45, false, ready("s-d"))},
			[]string{"41", "44", "44", "45"}, []string{"s-a", "s-d"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scripted{answers: tt.answers}
			l := agenttest.Listen(t)
			srv := &http.Server{Handler: s}
			go func() { besteffort.Ignore(srv.Serve(l)) }()
			t.Cleanup(func() { besteffort.Close(srv) })
			var log agenttest.LockedBuffer
			d, events := follower(t, l.Addr().String(), &log)
			d.asked = true
			var err error
			if d.known, err = listing.Parse([]byte(agenttest.ListText(41, true, ready("s-old")))); err != nil {
				t.Fatal(err)
			}
			d.Subscribe()
			follow(t, d, events)
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				for {
					select {
					case err := <-events.Losses:
						besteffort.Ignore(err) // the module's part
						d.Subscribe()
					case <-ended:
						return
					}
				}
			}()
			if u := next(t, events); !u.Full || u.Members[0].ID != "s-old" {
				t.Fatalf("first %+v, want the known list", u)
			}
			for _, want := range tt.ids {
				u := next(t, events)
				if want == "" && u.Full && len(u.Members) == 0 {
					continue
				}
				if len(u.Members) != 1 || u.Members[0].ID != want {
					t.Fatalf("told %+v, want %s", u, want)
				}
			}
			agenttest.Eventually(t, fmt.Sprint("the calls are ", tt.calls), func() bool {
				calls := s.called()
				return len(calls) >= len(tt.calls) && slices.Equal(calls[:len(tt.calls)], tt.calls)
			})
			if n := log.Count("out of reach"); n > 2 {
				t.Errorf("%d lines in the log", n)
			}
		})
	}
}

// Watches of an asked list are long, and those that begin together end apart.
func TestAskedWatchesEndApart(t *testing.T) {
	d := &Discovery{asked: true, version: 3, longWait: askedWait}
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := d.wait()
		if seen[wait] = true; wait < askedWait/5 || wait > askedWait {
			t.Fatal(wait)
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d of 100 watches wait differently", len(seen))
	}
}

// A watch that falls silent may have had a drain to tell, which counts as told 2 s after its wait: what is new is asked for before
// that, once and without the module, which would wait for seconds so as not to swamp a discovery that is out of reach.
func TestSilentWatchIsAskedAgainAtOnce(t *testing.T) {
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	s := &scripted{answers: []string{"silence", agenttest.ListText(42, false, drains), "silence", "silence", "503"}}
	l := agenttest.Listen(t)
	srv := &http.Server{Handler: s}
	go func() { besteffort.Ignore(srv.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(srv) })
	d, events := follower(t, l.Addr().String(), io.Discard)
	d.asked, d.longWait, d.askMost = true, 10*time.Millisecond, time.Hour // so that neither the module nor the time has it asked again
	d.known, _ = listing.Parse([]byte(agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:1", "Ready", 0))))
	d.Subscribe()
	follow(t, d, events)
	next(t, events) // the known list
	if u := next(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("told %+v, want the drain", u)
	}
	agenttest.Eventually(t, "the module is told when that was in vain, too", func() bool { return len(events.Losses) > 0 })
	if calls := s.called(); len(calls) != 4 {
		t.Errorf("calls %v, want two watches, and one more call after each", calls)
	}
}

// What is listed counts as told some seconds after discovery could be reached, whatever calls have failed: an agent that holds a
// list asks for what is new by then, also where the module backs off for longer, and no two agents at the same times.
func TestAnAskedListIsAskedForInTime(t *testing.T) {
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	s := &scripted{answers: []string{"503", "503", "503", agenttest.ListText(42, false, drains)}}
	l := agenttest.Listen(t)
	srv := &http.Server{Handler: s}
	go func() { besteffort.Ignore(srv.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(srv) })
	d, events := follower(t, l.Addr().String(), io.Discard)
	d.asked, d.askMost = true, 20*time.Millisecond
	d.known, _ = listing.Parse([]byte(agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:1", "Ready", 0))))
	d.Subscribe() // once: the module says no more
	follow(t, d, events)
	next(t, events) // the known list
	if u := next(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("told %+v, want the drain", u)
	}
	if calls := s.called(); len(calls) < 4 || slices.Contains(calls, "whole") {
		t.Errorf("calls %v, want changes alone", calls)
	}
}

// The same behind a move: what the other discovery says is not known at all yet, and its list is to be had whole. It counts as told sooner, so the first
// pause is shorter.
func TestAnAskedListThatMovedIsAskedForInTime(t *testing.T) {
	for name, known := range map[string]bool{"known from an earlier life": true, "heard of here": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			movesInTime(t, known)
		})
	}
}

// movesInTime moves an agent that holds a list, of an earlier life or as the first discovery has told it, to another one.
func movesInTime(t *testing.T, known bool) {
	list := agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:1", "Ready", 0))
	from := &scripted{answers: []string{list, "silence", "silence", "silence"}}
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	to := &scripted{answers: []string{"503", "503", "503", agenttest.ListText(5, true, drains)}}
	at := make([]string, 0, 2)
	for _, s := range []*scripted{from, to} {
		l := agenttest.Listen(t)
		srv := &http.Server{Handler: s}
		go func() { besteffort.Ignore(srv.Serve(l)) }()
		t.Cleanup(func() { besteffort.Close(srv) })
		at = append(at, l.Addr().String())
	}
	d, events := follower(t, at[0], io.Discard)
	d.asked, d.askMost = true, 20*time.Millisecond
	if known {
		d.known, _ = listing.Parse([]byte(list))
		from.answers[0] = agenttest.ListText(42, false)
	}
	d.Subscribe() // once: the module says no more
	follow(t, d, events)
	next(t, events) // the first list
	agenttest.Eventually(t, "the first discovery is watched", func() bool { return len(from.called()) == 2 })
	d.SetAddress(at[1])
	if u := next(t, events); !u.Full || len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("told %+v, want the drain", u)
	}
}

// Only the first pause behind a move is a short one: a call that was answered, or one that failed, ends the hurry.
func TestAMoveIsHurriedOnce(t *testing.T) {
	d, _ := follower(t, "127.0.0.1:1", io.Discard)
	d.to = discard{}
	d.SetAddress("127.0.0.1:2")
	if _, end := d.begin(t.Context()); !d.moved {
		t.Error("a move is not hurried")
	} else {
		end()
	}
	l, err := listing.Parse([]byte(agenttest.ListText(1, true)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.taken(answer{whole: true, list: l}); err != nil || d.moved {
		t.Errorf("hurried behind an answer: %v, %v", d.moved, err)
	}
	if _, end := d.begin(t.Context()); d.moved {
		t.Error("hurried without a move")
	} else {
		end()
	}
}

// discard takes what a list tells.
type discard struct{}

func (discard) Update(membership.Update) {}
func (discard) Disconnected(error)       {}

// callMost is left for the call that was under way when discovery came back.
const callMost = 500 * time.Millisecond

// After a call that has failed an agent with a list asks within the time, and no two agents at the same one. Without a list there is
// nothing that could be told too late, and before a call has failed nothing is late: the module alone says when to ask.
func TestWhoAsksByItself(t *testing.T) {
	for name, tt := range map[string]struct {
		down, holds, moved bool
		asks               bool
		told               time.Duration // after which what is listed counts as told
		answer             time.Duration // that the next call may take
	}{
		"holds a list, a call failed":                     {true, true, false, true, 6 * time.Second, 2 * time.Second},
		"the first call behind a move failed, at its end": {true, true, true, true, 4*time.Second - callTimeout, 250 * time.Millisecond},
		"holds none":         {true, false, false, false, 0, 0},
		"holds none, moved":  {true, false, true, false, 0, 0},
		"nothing has failed": {false, true, false, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := map[time.Duration]bool{}
				for range 100 {
					d := New(Options{}, engine.NewClock(), nil)
					d.down, d.holds, d.moved = tt.down, tt.holds, tt.moved
					ctx, stop := context.WithTimeout(t.Context(), time.Hour)
					began := time.Now()
					asks := d.wanted(ctx)
					took := time.Since(began)
					stop()
					if asks != tt.asks || asks && (took < 800*time.Millisecond || took+tt.answer > tt.told-callMost) {
						t.Fatalf("asks: %v, after %v", asks, took)
					}
					seen[took] = true
					d.Subscribe()
					if !d.wanted(t.Context()) {
						t.Error("the module's wish is not heard")
					}
					if began = time.Now(); asks && (!d.wanted(t.Context()) || time.Since(began) < time.Second) {
						t.Errorf("asked again after %v: later calls are as far apart as ever", time.Since(began))
					}
				}
				if tt.asks && len(seen) < 50 {
					t.Errorf("%d of 100 pauses differ", len(seen))
				}
			})
		})
	}
}
