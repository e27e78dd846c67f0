package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
)

// tieLog keeps what it is told.
type tieLog struct{ records []affinity.Record }

func (l *tieLog) Append(r affinity.Record) BindingCommit {
	l.records = append(l.records, r)
	return nil
}

// tiedEngine is an engine with ties, in front of two servers in each of two pods.
type tiedEngine struct {
	*Engine
	now  time.Duration
	log  *tieLog
	out  *starter
	door *keeper
	ids  int
}

func newTied(t *testing.T, change func(*tiedEngine)) *tiedEngine {
	b, err := balancer.New(balancer.Settings{Balancers: 1, Tick: 5e6, MaxAttempts: 4, Classes: classes()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	x := &tiedEngine{now: time.Second, log: &tieLog{}, out: &starter{}, door: &keeper{}}
	x.Engine = New(b, ManualClock(&x.now), noFleet{}, slog.New(slog.DiscardHandler))
	x.SetAffinity(affinity.New(affinity.Options{MaxEntries: 100, DedupWindow: window, LateRetryPeriod: time.Minute}), affinity.Secret{}, x.log)
	change(x)
	x.Start()
	x.list(EndpointUpdate{Full: true, Members: x.members(balancer.Ready)})
	return x
}

func (x *tiedEngine) members(first balancer.State) (out []Member) {
	for i := range 4 {
		m := Member{Server: balancer.Server{ID: fmt.Sprint("s", i), Cell: i / 2}}
		if m.Cell == 0 {
			m.State = first
		}
		out = append(out, m)
	}
	return out
}

// call brings a refund, and returns its attempt, if it has one, and its answers.
func (x *tiedEngine) call(key string, caller Responder) (*Attempt, *ear) {
	heard := &ear{}
	if caller == nil {
		caller = heard
	}
	x.ids++
	before := len(x.out.attempts)
	x.Handle(CallArrived(&Call{ID: fmt.Sprint(x.ids), Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, IdempotencyKey: key,
		Transport: x.out, Responder: caller}))
	if len(x.out.attempts) == before {
		return nil, heard
	}
	return x.out.attempts[before], heard
}

func (x *tiedEngine) end(a *Attempt, result balancer.Result) {
	x.Handle(Outcome{Attempt: a, Result: result, Report: balancer.NoReport})
}

func cellOf(a *Attempt) int { return int(a.Server[1]-'0') / 2 }

// A repeat under another id goes to the pod of the first try while that may have run, and is failed, never refused, where it
// can't: after the window, when the pod drains or is gone, when a limit, a door or a full processor would turn it away.
func TestRepeatsOfWhatMayHaveRun(t *testing.T) {
	zero := 0
	limited := func(x *tiedEngine) {
		m := generation.New(generation.Options{Names: generation.Names{Classes: make([]generation.Class, 3)}})
		x.SetGenerations(m, nil)
	}
	limit := func(x *tiedEngine) {
		c := &fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", InFlight: &zero}}}
		ready, err := generation.Compile(c, generation.Names{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		m := x.governed.manager
		_, _, base := m.Config()
		if m.Stage(ready, 0, "", base, true) != nil {
			t.Fatal("not staged")
		}
		besteffort.IgnoreResult(m.Switch(x.now, ""))
	}
	nothing := func(*tiedEngine) {}
	for name, tt := range map[string]struct {
		setup, meanwhile func(*tiedEngine)
		first            balancer.Result
		want             string
	}{
		"at once":                       {nothing, nothing, balancer.TimedOut, "same pod"},
		"while the first is out":        {nothing, nothing, -1, "same pod"},
		"of one that was served":        {nothing, nothing, balancer.OK, "same pod"},
		"of one that never ran":         {nothing, func(x *tiedEngine) { x.list(EndpointUpdate{Members: x.members(balancer.Draining)[:2]}) }, balancer.Rejected, "other pod"},
		"after the window":              {nothing, func(x *tiedEngine) { x.now += window }, balancer.TimedOut, "failed"},
		"whose pod drains":              {nothing, func(x *tiedEngine) { x.list(EndpointUpdate{Members: x.members(balancer.Draining)[:2]}) }, balancer.TimedOut, "failed"},
		"whose pod is gone":             {nothing, func(x *tiedEngine) { x.list(EndpointUpdate{Members: x.members(balancer.Removed)[:2]}) }, balancer.TimedOut, "failed"},
		"that the door would turn away": {func(x *tiedEngine) { x.SetAdmission(x.door) }, func(x *tiedEngine) { x.door.shut = true }, balancer.TimedOut, "same pod"},
		"that a limit would turn away":  {limited, limit, balancer.TimedOut, "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			for range 8 { // draws are by chance
				x := newTied(t, tt.setup)
				x.list(EndpointUpdate{Members: x.members(balancer.Ready)})
				// The first goes to pod 0, whose servers are the only ones that are ready.
				far := x.members(balancer.Ready)[2:]
				for i := range far {
					far[i].State = balancer.Draining
				}
				x.list(EndpointUpdate{Members: far})
				first, _ := x.call("k", nil)
				if first == nil || cellOf(first) != 0 {
					t.Fatalf("the first went to %+v", first)
				}
				x.list(EndpointUpdate{Members: x.members(balancer.Ready)[2:]})
				if tt.first >= 0 {
					first.Call.Close() // its client has left: no further attempt of its own
					x.end(first, tt.first)
				}
				tt.meanwhile(x)
				again, heard := x.call("k", nil)
				got := "nothing"
				switch {
				case again != nil && cellOf(again) == 0:
					got = "same pod"
				case again != nil:
					got = "other pod"
				case len(*heard) == 1 && (*heard)[0].Kind == Failed:
					got = "failed"
				}
				if got != tt.want {
					t.Fatalf("%s, want %s; answers %+v", got, tt.want, *heard)
				}
				if stranger, _ := x.call("another key", nil); tt.want != "failed" && stranger == nil && !x.door.shut {
					t.Error("another key is held up")
				}
			}
		})
	}
}

// A full processor refuses what is new, and fails what may have run under another id.
func TestFullProcessorAndTies(t *testing.T) {
	x := newTied(t, func(x *tiedEngine) { x.SetOutcomeCache(10, time.Minute) })
	first, _ := x.call("k", nil)
	first.Call.Close()
	x.end(first, balancer.TimedOut)
	for key, want := range map[string]AnswerKind{"k": Failed, "new": Rejected} {
		p := &proxied{id: key, m: &machine{ran: map[string][]*run{}}}
		x.Handle(CallArrived(&Call{ID: "p" + key, Class: 1, Effect: balancer.IdempotentByKey, IdempotencyWindow: window, Deadline: x.now + deadline, IdempotencyKey: key, Responder: p, AtCapacity: true}))
		if len(p.answers) != 1 || p.answers[0].Kind != want {
			t.Errorf("%s: %+v, want %v", key, p.answers, want)
		}
	}
}

// What is kept: a tie before it is sent, and that it never ran.
func TestWhatIsKeptOfTies(t *testing.T) {
	x := newTied(t, func(*tiedEngine) {})
	a, _ := x.call("k", nil)
	if len(x.log.records) != 1 || x.log.records[0].Kind != affinity.RecordBound || int(x.log.records[0].Pod) != cellOf(a) {
		t.Fatalf("%+v", x.log.records)
	}
	a.Call.Close()
	x.end(a, balancer.ConnectFailed)
	b, _ := x.call("k", nil)
	x.end(b, balancer.OK)
	var kinds []affinity.RecordKind
	for _, r := range x.log.records {
		kinds = append(kinds, r.Kind)
	}
	if fmt.Sprint(kinds) != fmt.Sprint([]affinity.RecordKind{affinity.RecordBound, affinity.RecordUnbound, affinity.RecordBound, affinity.RecordServed}) {
		t.Errorf("kept are %v", kinds)
	}
	y := newTied(t, func(*tiedEngine) {})
	y.Handle(BindingsRestored{x.log.records})
	if again, _ := y.call("k", nil); again == nil || cellOf(again) != cellOf(b) {
		t.Errorf("after a restart %+v, and it went to %s", again, b.Server)
	}
	if c := y.load().Affinity; c.Restored != 2 || c.Hits != 1 || c.Entries != 1 { // two have begun, one of which never ran
		t.Errorf("%+v", c)
	}
}
