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

const (
	slowAnswer     = "slow " // before an answer that comes after slowAnswerTime
	slowAnswerTime = 1900 * time.Millisecond
)

// scriptedDiscovery answers call after call as a script says, and the last way for good.
type scriptedDiscovery struct {
	mu      sync.Mutex
	answers []string // "503" is one
	calls   []string // "whole", or the version that a watch is from
}

func (s *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := "whole"
	if since := r.URL.Query().Get("since"); since != "" {
		call = since
	}
	s.calls = append(s.calls, call)
	if answer := s.answers[0]; answer == "silence" || strings.HasPrefix(answer, slowAnswer) {
		s.answers = s.answers[1:]
		if text, isSlow := strings.CutPrefix(answer, slowAnswer); isSlow {
			s.mu.Unlock()
			select {
			case <-time.After(slowAnswerTime):
				besteffort.IgnoreResult(io.WriteString(w, text))
			case <-r.Context().Done():
			}
			s.mu.Lock()
			return
		}
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

// start serves the script until the test ends, and returns the address.
func (s *scriptedDiscovery) start(t *testing.T) (addr string) {
	t.Helper()
	l := agenttest.Listen(t)
	srv := &http.Server{Handler: s}
	go func() { besteffort.Ignore(srv.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(srv) })
	return l.Addr().String()
}

// runFromCachedList runs an on-demand source, of which the balancer asks for the list once, from a cached list with one server, s-old.
func runFromCachedList(t *testing.T, d *Discovery, events agenttest.Sink) {
	t.Helper()
	var err error
	if d.cachedList, err = listing.Parse([]byte(agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:1", "Ready", 0)))); err != nil {
		t.Fatal(err)
	}
	d.Subscribe()
	runUntilTestEnds(t, d, events)
	nextUpdate(t, events)
}

// subscribeAfterLosses subscribes again each time the list is lost, as the balancer does, until the test ends.
func subscribeAfterLosses(t *testing.T, d *Discovery, losses <-chan error) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case err := <-losses:
				besteffort.Ignore(err) // it ends with this
				d.Subscribe()
			case <-ended:
				return
			}
		}
	}()
}

func (s *scriptedDiscovery) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// An on-demand list is one service's work for all agents. An agent with a cached list polls it while discovery answers with changes,
// errors, cut or unreadable lists and other versions. It asks for changes alone where they are enough, and keeps what it holds
// until something newer can be read.
func TestOnDemandListRequestsNoMoreThanNeeded(t *testing.T) {
	ready := func(id string) string { return agenttest.EntryText(id, "127.0.0.1:1", "Ready", 0) }
	gone := agenttest.EntryText("s-old", "", "Gone", 0)
	for name, tt := range map[string]struct {
		answers []string
		calls   []string // the first ones
		ids     []string // of the updates after the cached list
	}{
		"changes since the known list":         {[]string{agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "43"}, []string{"s-a"}},
		"nothing has changed":                  {[]string{agenttest.ListText(41, false), agenttest.ListText(42, false, gone)}, []string{"41", "41", "42"}, []string{"s-old"}},
		"too much has changed":                 {[]string{agenttest.ListText(90, true, ready("s-b"))}, []string{"41", "90"}, []string{"s-b"}},
		"errors":                               {[]string{"503", "503", agenttest.ListText(42, false, ready("s-a"))}, []string{"41", "41", "41", "42"}, []string{"s-a"}},
		"another discovery, which counts anew": {[]string{agenttest.ListText(5, false), agenttest.ListText(5, true, ready("s-c"))}, []string{"41", "whole", "5"}, []string{"s-c"}},
		"broken off once":                      {[]string{`{"version":43,"full":false,"serv`, agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "41", "43"}, []string{"s-a"}},
		"can't be read again and again":        {[]string{"<html>", "<html>", agenttest.ListText(44, true, ready("s-b"))}, []string{"41", "41", "whole", "44"}, []string{"s-b"}},
		"longer than any list":                 {[]string{strings.Repeat(" ", maxListBytes+1), agenttest.ListText(43, false, ready("s-a"))}, []string{"41", "41", "43"}, []string{"s-a"}},
		"empty all at once":                    {[]string{agenttest.ListText(43, true), agenttest.ListText(44, false, ready("s-a"))}, []string{"41", "43", "44"}, []string{"", "s-a"}},
		"an older version than was seen": {[]string{agenttest.ListText(44, false, ready("s-a")), agenttest.ListText(42, false, gone), agenttest.ListText(45, false, ready("s-d"))},
			[]string{"41", "44", "44", "45"}, []string{"s-a", "s-d"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedDiscovery{answers: tt.answers}
			addr := s.start(t)
			var log agenttest.LockedBuffer
			d, events := newTestDiscovery(t, addr, &log)
			d.onDemand = true
			var err error
			if d.cachedList, err = listing.Parse([]byte(agenttest.ListText(41, true, ready("s-old")))); err != nil {
				t.Fatal(err)
			}
			d.Subscribe()
			runUntilTestEnds(t, d, events)
			subscribeAfterLosses(t, d, events.Losses)
			if u := nextUpdate(t, events); !u.Full || u.Members[0].ID != "s-old" {
				t.Fatalf("first %+v, want the cached list", u)
			}
			for _, want := range tt.ids {
				u := nextUpdate(t, events)
				if want == "" && u.Full && len(u.Members) == 0 {
					continue
				}
				if len(u.Members) != 1 || u.Members[0].ID != want {
					t.Fatalf("received %+v, want %s", u, want)
				}
			}
			agenttest.Eventually(t, fmt.Sprint("the calls are ", tt.calls), func() bool {
				calls := s.recordedCalls()
				return len(calls) >= len(tt.calls) && slices.Equal(calls[:len(tt.calls)], tt.calls)
			})
			if n := log.Count("out of reach"); n > 2 {
				t.Errorf("%d lines in the log", n)
			}
		})
	}
}

// A hundred agents begin long polls together. The polls end at different times, so that the agents do not all call again at once.
func TestOnDemandWatchTimeoutsAreSpread(t *testing.T) {
	d := &Discovery{onDemand: true, session: &session{heldVersion: 3}, maxWatchTimeout: defaultMaxWatchTimeout}
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := d.drawWatchTimeout()
		if seen[wait] = true; wait < defaultMaxWatchTimeout/5 || wait > defaultMaxWatchTimeout {
			t.Fatal(wait)
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d of 100 watches wait differently", len(seen))
	}
}

// A poll falls silent while discovery has a drain to tell, which counts as notified 2 s after the poll's wait. The agent asks for changes
// before that, without the balancer, whose backoff would take seconds. When three calls have failed as well, the balancer hears of it.
func TestSilentWatchIsRepeatedAtOnce(t *testing.T) {
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	s := &scriptedDiscovery{answers: []string{"silence", agenttest.ListText(42, false, drains), "silence", "silence", "503"}}
	addr := s.start(t)
	d, events := newTestDiscovery(t, addr, io.Discard)
	d.onDemand, d.maxWatchTimeout, d.maxBackoff = true, 10*time.Millisecond, time.Hour // so that neither the balancer nor a timer repeats the call
	runFromCachedList(t, d, events)
	if u := nextUpdate(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("received %+v, want the drain", u)
	}
	agenttest.Eventually(t, "the balancer hears that the repeated calls failed, too", func() bool { return len(events.Losses) > 0 })
	if calls := s.recordedCalls(); len(calls) != 2+1+maxCatchUpCalls {
		t.Errorf("calls %v, want two watches, one more call after the first, and %d after the second", calls, maxCatchUpCalls)
	}
}

// A poll falls silent, and the call that asks for what it missed goes wrong as well. A drain that discovery has to tell counts as notified
// 2 s after the poll's wait, and requests may go to that server for 500 ms more: the agent has the drain by then all the same.
func TestDrainIsLearnedInTimeWhenCallBehindSilentWatchFails(t *testing.T) {
	const notifiedAfter, drainGrace = 2 * time.Second, 500 * time.Millisecond
	drains := agenttest.ListText(42, false, agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0))
	for name, secondCall := range map[string]string{"it breaks off": drains[:len(drains)/2], "it hangs": "silence", "it is rejected": "503"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &scriptedDiscovery{answers: []string{"silence", secondCall, drains}}
			addr := s.start(t)
			d, events := newTestDiscovery(t, addr, io.Discard)
			d.onDemand, d.maxWatchTimeout = true, 10*time.Millisecond
			runFromCachedList(t, d, events)
			agenttest.Eventually(t, "the watch is open", func() bool { return len(s.recordedCalls()) > 0 })
			began := time.Now()
			if u := nextUpdate(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
				t.Errorf("received %+v, want the drain", u)
			}
			if took := time.Since(began); took > notifiedAfter+drainGrace {
				t.Errorf("the drain was learned after %v", took)
			}
		})
	}
}

// A poll falls silent, and discovery is busy: it works through calls in turn, and answers the next one 1.9 s later. That call is waited for,
// as giving it up would lose its turn.
func TestSlowCallBehindSilentWatchIsWaitedFor(t *testing.T) {
	drains := agenttest.ListText(42, false, agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0))
	s := &scriptedDiscovery{answers: []string{"silence", slowAnswer + drains, "silence", "silence"}}
	addr := s.start(t)
	d, events := newTestDiscovery(t, addr, io.Discard)
	d.onDemand, d.maxWatchTimeout, d.maxBackoff = true, 10*time.Millisecond, time.Hour // so that only the call itself can bring the list
	runFromCachedList(t, d, events)
	if u := nextUpdate(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("received %+v, want the drain", u)
	}
	if calls := s.recordedCalls(); len(calls) > 3 {
		t.Errorf("calls %v, want a watch, the call behind it, and one beside that", calls)
	}
}

// Three polls fail while discovery lists a drain, and the balancer subscribes only once. What is listed counts as notified some seconds after
// discovery could be reached, so the agent polls on its own by then, for changes alone.
func TestOnDemandListIsPolledDespiteFailures(t *testing.T) {
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	s := &scriptedDiscovery{answers: []string{"503", "503", "503", agenttest.ListText(42, false, drains)}}
	addr := s.start(t)
	d, events := newTestDiscovery(t, addr, io.Discard)
	d.onDemand, d.maxBackoff = true, 20*time.Millisecond
	runFromCachedList(t, d, events)
	if u := nextUpdate(t, events); len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("received %+v, want the drain", u)
	}
	if calls := s.recordedCalls(); len(calls) < 4 || slices.Contains(calls, "whole") {
		t.Errorf("calls %v, want changes alone", calls)
	}
}

// Discovery moves to another address, and the first calls there fail. What the new one lists is not known at all yet and counts as
// notified sooner, so the agent fetches the whole list on its own, after a shorter pause.
func TestOnDemandListIsPolledAfterAddressChange(t *testing.T) {
	for name, hasCachedList := range map[string]bool{"cached list": true, "list of this discovery": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPollAfterAddressChange(t, hasCachedList)
		})
	}
}

// testPollAfterAddressChange moves an agent that holds a list, a cached one or one of the first discovery, to another discovery.
func testPollAfterAddressChange(t *testing.T, hasCachedList bool) {
	list := agenttest.ListText(41, true, agenttest.EntryText("s-old", "127.0.0.1:1", "Ready", 0))
	from := &scriptedDiscovery{answers: []string{list, "silence", "silence", "silence"}}
	drains := agenttest.EntryText("s-old", "127.0.0.1:1", "Terminating", 0)
	to := &scriptedDiscovery{answers: []string{"503", "503", "503", agenttest.ListText(5, true, drains)}}
	at := make([]string, 0, 2)
	for _, s := range []*scriptedDiscovery{from, to} {
		at = append(at, s.start(t))
	}
	d, events := newTestDiscovery(t, at[0], io.Discard)
	d.onDemand, d.maxBackoff = true, 20*time.Millisecond
	if hasCachedList {
		d.cachedList, _ = listing.Parse([]byte(list))
		from.answers[0] = agenttest.ListText(42, false)
	}
	d.Subscribe() // once: the balancer says no more
	runUntilTestEnds(t, d, events)
	nextUpdate(t, events) // the first list
	agenttest.Eventually(t, "the first discovery is watched", func() bool { return len(from.recordedCalls()) == 2 })
	d.SetAddress(at[1])
	if u := nextUpdate(t, events); !u.Full || len(u.Members) != 1 || u.Members[0].State != balancer.Draining {
		t.Errorf("received %+v, want the drain", u)
	}
}

// Discovery moves. Only the first pause after that is a short one: a call that was answered, or one that failed, ends it.
func TestAddressChangeShortensOneBackoff(t *testing.T) {
	d, _ := newTestDiscovery(t, "127.0.0.1:1", io.Discard)
	d.sink = discard{}
	d.SetAddress("127.0.0.1:2")
	if _, end := d.beginSession(t.Context()); !d.isFirstCallAfterMove {
		t.Error("the first call after a move is not marked")
	} else {
		end()
	}
	l, err := listing.Parse([]byte(agenttest.ListText(1, true)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.handleResponse(response{call: &call{callRecord: callRecord{since: -1}, session: d.session}, list: l}); err != nil || d.isFirstCallAfterMove {
		t.Errorf("still marked after an answer: %v, %v", d.isFirstCallAfterMove, err)
	}
	if _, end := d.beginSession(t.Context()); d.isFirstCallAfterMove {
		t.Error("marked without a move")
	} else {
		end()
	}
}

// discard is a sink that drops everything.
type discard struct{}

func (discard) Update(membership.Update) {}
func (discard) Disconnected(error)       {}

// recoveredCallTime is left for the call that was in flight when discovery came back.
const recoveredCallTime = 500 * time.Millisecond

// The balancer does not subscribe. After a call that failed, an agent that holds endpoints polls in time, and no two agents at the same
// time. Without endpoints nothing could be notified too late, and before a call has failed nothing is late: then the balancer alone
// decides.
func TestOnDemandBackoffWithoutSubscription(t *testing.T) {
	for name, tt := range map[string]struct {
		down, holds, moved bool
		asks               bool
		notifiedAfter      time.Duration // after which what is listed counts as notified
		answer             time.Duration // that the next call may take
	}{
		"holds a list, a call failed":                     {true, true, false, true, 6 * time.Second, 2 * time.Second},
		"the first call behind a move failed, at its end": {true, true, true, true, 4*time.Second - defaultResponseTimeout, 250 * time.Millisecond},
		"holds none":         {true, false, false, false, 0, 0},
		"holds none, moved":  {true, false, true, false, 0, 0},
		"nothing has failed": {false, true, false, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := map[time.Duration]bool{}
				for range 100 {
					d := New(Options{}, engine.NewClock(), nil)
					d.isUnreachable, d.hasEndpoints, d.isFirstCallAfterMove = tt.down, tt.holds, tt.moved
					ctx, stop := context.WithTimeout(t.Context(), time.Hour)
					began := time.Now()
					asks := d.awaitSubscription(ctx)
					took := time.Since(began)
					stop()
					if asks != tt.asks || asks && (took < 800*time.Millisecond || took+tt.answer > tt.notifiedAfter-recoveredCallTime) {
						t.Fatalf("asks: %v, after %v", asks, took)
					}
					seen[took] = true
					d.Subscribe()
					if !d.awaitSubscription(t.Context()) {
						t.Error("the balancer's subscription is not heard")
					}
					if began = time.Now(); asks && (!d.awaitSubscription(t.Context()) || time.Since(began) < time.Second) {
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
