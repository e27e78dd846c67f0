package engine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/generation"
)

// flightModel is an engine that coalesces, its clients, and servers that answer when and as they like. It checks each attempt at the moment at
// which it is written.
type flightModel struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Duration
	engine  *Engine
	clients map[string]*flightClient
	ids     []string
	steps   []flightStep
	written int
	shared  int // answers to clients in whose name nothing was written
}

// flightStep is something that happens later.
type flightStep struct {
	at time.Duration
	do func()
}

// flightClient is a client with one request. It implements Responder.
type flightClient struct {
	model    *flightModel
	call     *Call
	hasLeft  bool
	answers  []Answer
	attempts int
}

func (c *flightClient) Answer(a Answer) {
	c.answers = append(c.answers, a)
	if len(c.answers) > 1 || c.model.now > c.call.Deadline+time.Millisecond {
		c.model.t.Errorf("answer %d of %s comes %v behind its deadline", len(c.answers), c.call.ID, c.model.now-c.call.Deadline)
	}
	if a.Kind == Served && c.attempts == 0 {
		c.model.shared++
	}
}

func (m *flightModel) after(d time.Duration, do func()) {
	m.steps = append(m.steps, flightStep{m.now + d, do})
}

func (m *flightModel) drawTime(most time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(most))) + 1
}

// RoundTrip implements Transport; Start takes its place.
func (m *flightModel) RoundTrip(context.Context, *Attempt) Outcome { panic("not used") }

// Start implements AsyncTransport: the attempt waits for its connection, often for nothing, and is written then.
func (m *flightModel) Start(a *Attempt) {
	a.SetPhase(AwaitsConnection)
	wait := time.Duration(1)
	if m.rnd.IntN(3) == 0 {
		wait = m.drawTime(800 * time.Millisecond)
	}
	m.after(wait, func() { m.write(a) })
}

// write writes an attempt as the real transport does.
func (m *flightModel) write(a *Attempt) {
	end := func(r balancer.Result) { m.engine.Handle(Outcome{Attempt: a, Result: r, Report: balancer.NoReport}) }
	if a.Call.Closed() || m.now >= a.WriteDeadline {
		end(balancer.NotSent)
		return
	}
	a.SetPhase(AwaitsWrite)
	c := m.clients[a.Call.ID]
	m.written++
	c.attempts++
	switch {
	case c.hasLeft:
		m.t.Errorf("attempt %d of %s is written though its client has left", a.Number, a.Call.ID)
	case len(c.answers) > 0:
		m.t.Errorf("attempt %d of %s is written though its client has its answer", a.Number, a.Call.ID)
	case m.now >= c.call.Deadline || a.ClientDeadline() > c.call.Deadline:
		m.t.Errorf("attempt %d of %s is written with %v, its client has %v left", a.Number, a.Call.ID, a.ClientDeadline()-m.now, c.call.Deadline-m.now)
	}
	took, result := m.drawTime(300*time.Millisecond), balancer.OK
	switch m.rnd.IntN(8) {
	case 0:
		result = balancer.Reset
	case 1:
		result = balancer.Failed
	case 2:
		result = balancer.Rejected
	case 3, 4:
		took = m.drawTime(3 * time.Second)
	}
	if a.Sent+took >= a.Deadline {
		took, result = max(1, a.Deadline-m.now), balancer.TimedOut
	}
	m.after(took, func() { end(result) })
}

// arrive brings a client's request, and draws how it ends.
func (m *flightModel) arrive() {
	digest := coalesce.Digest{byte(m.rnd.IntN(6))}
	c := &flightClient{model: m}
	c.call = &Call{ID: fmt.Sprint("request-", len(m.ids)), Deadline: m.now + 50*time.Millisecond + m.drawTime(deadline), Tenant: m.rnd.IntN(3), Transport: m, Responder: c,
		CoalesceDigest: &digest, HasClientLeft: func() bool { return c.hasLeft }}
	m.clients[c.call.ID], m.ids = c, append(m.ids, c.call.ID)
	m.engine.Handle(CallArrived(c.call))
	switch m.rnd.IntN(6) {
	case 0, 1: // the news that the client has left may be late
		m.after(m.drawTime(500*time.Millisecond), func() {
			c.hasLeft = true
			m.after(m.drawTime(60*time.Millisecond), func() {
				c.call.clientGone.Store(true)
				m.engine.Handle(clientLeft{c.call})
			})
		})
	case 2:
		m.after(m.drawTime(500*time.Millisecond), func() { m.engine.Handle(answerForced{c.call, UnservedDraining}) })
	}
}

// advance plays what comes until a time.
func (m *flightModel) advance(until time.Duration) {
	for {
		next, index := until, -1
		for i, s := range m.steps {
			if s.at <= next {
				next, index = s.at, i
			}
		}
		if due, ok := m.engine.NextTimer(); ok && due < next {
			m.now = max(m.now, due)
			m.engine.Handle(nil)
			continue
		}
		m.now = max(m.now, next)
		if index < 0 {
			m.engine.Handle(nil)
			return
		}
		s := m.steps[index]
		m.steps = append(m.steps[:index], m.steps[index+1:]...)
		s.do()
	}
}

func newFlightModel(t *testing.T, seed uint64) *flightModel {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 4, AllowHedging: true, Classes: testClasses()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &flightModel{t: t, rnd: rand.New(rand.NewPCG(seed, 82)), now: time.Second, clients: map[string]*flightClient{}}
	m.engine = New(b, ManualClock(&m.now), noPool{}, slog.New(slog.DiscardHandler))
	m.engine.SetCoalescing(coalesce.Options{MaxGroups: 20, MaxFollowers: 100, PauseAfterPrivate: time.Second,
		Classes: []coalesce.Class{{Coalesces: true, LatencyObjective: 600e6, Deadline: deadline}}}, time.Second)
	m.engine.SetGenerations(generation.New(generation.Options{Names: generation.Names{Classes: make([]generation.Class, 3)}}), nil)
	m.engine.Start()
	update := EndpointUpdate{Full: true}
	for i := range 4 {
		update.Members = append(update.Members, Member{Server: balancer.Server{ID: fmt.Sprint("s", i)}})
	}
	m.engine.Handle(update)
	return m
}

// Failure: an attempt began behind the close of the client whose id it had, as another client waited for the same answer. Whatever
// ends a client, and whenever, an attempt is written only in the name of one that still waits, with no more than its time.
func TestFlightsMakeAttemptsOnlyForClientsThatWait(t *testing.T) {
	written, shared := 0, 0
	for seed := range uint64(60) {
		m := newFlightModel(t, seed)
		for range 150 {
			m.advance(m.now + m.drawTime(60*time.Millisecond))
			m.arrive()
		}
		m.advance(m.now + 20*time.Second)
		for id, c := range m.clients {
			if len(c.answers) == 0 && !c.hasLeft {
				t.Errorf("seed %d: %s has no answer", seed, id)
			}
		}
		s := m.engine.stats()
		if s.Calls > 0 || s.Coalescing.Waiting+s.Coalescing.Groups > 0 || m.engine.Counters().Open > 0 {
			t.Errorf("seed %d: left at the end: %d calls, %+v", seed, s.Calls, s.Coalescing)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		written, shared = written+m.written, shared+m.shared
	}
	t.Logf("%d attempts written, %d clients served by those of others", written, shared)
	if written == 0 || shared == 0 {
		t.Error("nothing was written or shared")
	}
}

// Failure: behind a leader that had left while its attempt waited for a connection, the others waited for nothing. Another one leads at once.
func TestNextFlightBeginsWhereALeaderLeavesBeforeItsAttemptIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		phase AttemptPhase
		want  int // attempts, when the leader has left
	}{"waits for a connection": {AwaitsConnection, 2}, "is being written": {AwaitsWrite, 1}, "waits for its answer": {AwaitsHead, 1}} {
		m := newFlightModel(t, 1)
		transport := &recordingTransport{}
		newCall := func(id string) (*Call, *recordingResponder) {
			answers := &recordingResponder{}
			return &Call{ID: id, Deadline: m.now + deadline, Transport: transport, Responder: answers, CoalesceDigest: &coalesce.Digest{1}}, answers
		}
		leader, _ := newCall("leader")
		follower, answers := newCall("follower")
		m.engine.Handle(CallArrived(leader))
		m.engine.Handle(CallArrived(follower))
		first := transport.attempts[0]
		first.SetPhase(c.phase)
		m.engine.Handle(clientLeft{leader})
		if len(transport.attempts) != c.want || m.engine.stats().Coalescing.Leaderless != 1 {
			t.Errorf("%s: %d attempts", name, len(transport.attempts))
		}
		if c.want == 1 { // the attempt fails: no retry is made in the leader's name
			m.engine.Handle(Outcome{Attempt: first, Result: balancer.Reset, Report: balancer.NoReport})
		}
		if last := transport.attempts[len(transport.attempts)-1]; len(transport.attempts) != 2 || last.Call.ID != "follower" {
			t.Fatalf("%s: %d attempts, the last in the name of %s", name, len(transport.attempts), last.Call.ID)
		}
		m.engine.Handle(Outcome{Attempt: transport.attempts[1], Result: balancer.OK, Report: balancer.NoReport})
		if len(*answers) != 1 || (*answers)[0].Kind != Served {
			t.Errorf("%s: the follower got %+v", name, *answers)
		}
	}
}

// Failure: a client that left while its request led a flight kept its place of a limit for good, until the agent rejected everything. Whatever ends
// clients, no request is open under the configuration when all have ended.
func TestJoinedClientsThatLeaveKeepNoPlaceOfALimit(t *testing.T) {
	for seed := range uint64(20) {
		m := newFlightModel(t, seed)
		for range 100 {
			m.advance(m.now + m.drawTime(60*time.Millisecond))
			m.arrive()
		}
		m.advance(m.now + 20*time.Second)
		if open := m.engine.generations.manager.Status(m.now).OpenRequests; len(open) > 0 {
			t.Fatalf("seed %d: open by generation: %v", seed, open)
		}
	}
}
