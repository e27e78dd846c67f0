package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"appleledge/internal/golden"
)

type tracePacket struct {
	at time.Duration
	m  Message
}

// decisionTrace is nine Cores with a simulated network between them that delays and loses messages: agents that start together, one that
// dies, one that leaves, both starting again, a partition, a slow agent, and observations that are broadcast.
func decisionTrace(seed int) *golden.Trace {
	tr, rnd := golden.NewTrace(6000), golden.Random(seed)
	const agents = 9
	now := time.Hour
	var packets []tracePacket
	cores := make([]*Core, agents)
	was := make([][]State, agents)
	loss, cut, slow := 0.02, false, -1
	put := func(out []Message) {
		for _, m := range out {
			tr.Add(now, int(m.Kind), m.From, m.To, int(m.Incarnation), int(m.Number), m.Target, string(m.Payload), len(m.Updates), len(m.Observations))
			tr.Count(fmt.Sprintf("messages of kind %d", int(m.Kind)))
			for _, r := range m.Updates {
				tr.Add(int(r.State), r.Member, int(r.Incarnation), r.Reporter)
				tr.Count(fmt.Sprintf("rumours of state %d", int(r.State)))
			}
			for _, f := range m.Observations {
				tr.Add(int(f.Kind), f.ID, int(f.Value), f.Age)
				tr.Count("facts told")
			}
			if rnd.Chance(loss) || cut && (m.From < 4) != (m.To < 4) {
				continue
			}
			delay := rnd.Millis(1, 30)
			if m.From == slow || m.To == slow {
				delay = rnd.Millis(200, 1500)
			}
			m.Updates, m.Observations = slices.Clone(m.Updates), slices.Clone(m.Observations)
			packets = append(packets, tracePacket{now + delay, m})
		}
	}
	begin := func(i int) {
		cores[i] = New(Options{Self: i, Agents: agents, ProbeInterval: time.Second, Seed: uint64(seed*100+i) + uint64(now)})
		was[i] = make([]State, agents)
		cores[i].Start(now)
		for _, other := range cores[i].Seeds() {
			put(cores[i].Ping(now, other))
		}
	}
	for i := range agents {
		begin(i)
	}
	for step := range 12000 {
		now += 20 * time.Millisecond
		switch step {
		case 1500: // one dies
			cores[5] = nil
		case 2500:
			put(cores[6].Leave(now))
			cores[6] = nil
		case 4000:
			begin(5)
			begin(6)
		case 5000:
			cut = true
		case 6500:
			cut = false
		case 8000:
			slow = 2
		case 9500:
			slow, loss = -1, 0.4
		case 11000:
			loss = 0.02
		}
		due := []tracePacket{}
		packets = slices.DeleteFunc(packets, func(p tracePacket) bool {
			if p.at <= now {
				due = append(due, p)
			}
			return p.at <= now
		})
		for _, p := range due {
			if c := cores[p.m.To]; c != nil {
				put(c.Receive(now, p.m))
			}
		}
		for i, c := range cores {
			if c == nil {
				continue
			}
			if c.NextTimer() <= now {
				put(c.Tick(now))
			}
			if rnd.Chance(0.002) {
				c.Broadcast(now, Observation{Kind: ObservationKind(1 + rnd.Below(2)), ID: uint64(rnd.Below(30)), Value: uint32(rnd.Below(4)), Age: rnd.Millis(0, 2000)})
			}
			if rnd.Chance(0.005) {
				put(c.SendPayload(now, []byte{1, 2, byte(step)}, 1+rnd.Below(3)))
			}
			for _, h := range c.TakeObservations() {
				tr.Add(now, i, h.From, int(h.Kind), h.ID, int(h.Value), h.Age)
			}
			for other := range agents {
				if s := c.State(other); s != was[i][other] {
					tr.Add(now, i, other, int(s))
					tr.Count(fmt.Sprintf("from state %d to %d", int(was[i][other]), int(s)))
					was[i][other] = s
				}
			}
			if step%50 == 0 {
				n := c.Counts()
				tr.Add(now, i, c.AliveCount(), c.NextTimer(), n.Probes, n.Unanswered, n.Suspected, n.DeclaredDead, n.Refuted)
				tr.CountIf(n.Refuted > 0, "looks after a suspicion was refuted")
				tr.CountIf(n.DeclaredDead > 0, "looks after one died")
			}
		}
	}
	return tr
}

// The decisions of a seeded run are committed as a hash: not one of them may change.
func TestDecisionsStayEqual(t *testing.T) {
	var traces []*golden.Trace
	for seed := 1; seed <= 3; seed++ {
		tr := decisionTrace(seed)
		traces = append(traces, tr)
		golden.Equal(t, fmt.Sprint("decisions/peer-seed-", seed), tr.Text())
	}
	golden.Occurred(t, traces, "messages of kind 2", "messages of kind 3", "messages of kind 4", "messages of kind 5", "messages of kind 6",
		"messages of kind 7", "rumours of state 1", "rumours of state 2", "rumours of state 3", "rumours of state 4", "facts told",
		"from state 0 to 1", "from state 1 to 2", "from state 2 to 1", "from state 2 to 3", "from state 3 to 1", "from state 1 to 4",
		"looks after a suspicion was refuted", "looks after one died")
}
