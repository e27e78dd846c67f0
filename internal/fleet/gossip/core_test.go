package gossip

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// network is a fleet of Cores with a simulated network between them, on a clock that run advances.
type network struct {
	now                time.Duration
	cores              []*Core // nil: the agent is down
	starts             []int
	queue              packets
	rng                *rand.Rand
	loss               float64
	delay              time.Duration
	isCut              func(from, to int) bool // nil: no datagram is lost for it
	sent               []int                   // datagrams, by agent
	bytes              []int
	datagramsPerSecond map[int]int // of all agents, by second
	timers             timers
	links              []*Link // nil: nothing is sealed and opened
}

// agentTimer is when an agent's Core wants a Tick.
type agentTimer struct {
	at    time.Duration
	agent int
	core  *Core
}

type timers []agentTimer

func (q timers) Len() int           { return len(q) }
func (q timers) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timers) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)        { *q = append(*q, x.(agentTimer)) }
func (q *timers) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

func (n *network) schedule(i int) {
	heap.Push(&n.timers, agentTimer{n.cores[i].NextTimer(), i, n.cores[i]})
}

type packet struct {
	at            time.Duration
	receiverStart int
	m             Message
}

type packets []packet

func (q packets) Len() int           { return len(q) }
func (q packets) Less(i, j int) bool { return q[i].at < q[j].at }
func (q packets) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *packets) Push(x any)        { *q = append(*q, x.(packet)) }
func (q *packets) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	*q = (*q)[:last]
	return p
}

func newNetwork(agents int, seed uint64) *network {
	n := &network{now: time.Second, cores: make([]*Core, agents), starts: make([]int, agents), rng: rand.New(rand.NewPCG(seed, 1)),
		delay: 2 * time.Millisecond, sent: make([]int, agents), bytes: make([]int, agents), datagramsPerSecond: map[int]int{}}
	for i := range agents {
		n.start(i)
	}
	return n
}

func (n *network) start(i int) {
	n.starts[i]++
	n.cores[i] = New(Options{Self: i, Agents: len(n.cores), Seed: uint64(i + 1000*n.starts[i])})
	n.cores[i].Start(n.now)
	n.schedule(i)
}

func (n *network) send(out []Message) {
	for _, m := range out {
		size := len(m.appendTo(nil, linkHeader{})) + macBytes
		if size > MaxDatagramBytes {
			panic("a datagram is too long")
		}
		n.sent[m.From]++
		n.bytes[m.From] += size
		n.datagramsPerSecond[int(n.now/time.Second)]++
		if n.rng.Float64() < n.loss || n.isCut != nil && n.isCut(m.From, m.To) {
			continue
		}
		if n.links != nil { // for the work of it; sessions aren't proved here
			b := n.links[m.From].Seal(m)
			_, _, _ = n.links[m.To].Open(n.now, m.From, b)
		}
		heap.Push(&n.queue, packet{n.now + n.delay/2 + time.Duration(n.rng.Int64N(int64(n.delay))), n.starts[m.To], m})
	}
}

// run delivers what is due and advances the clock by d.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for {
		if len(n.queue) > 0 && n.queue[0].at < end && (len(n.timers) == 0 || n.queue[0].at < n.timers[0].at) {
			p := heap.Pop(&n.queue).(packet)
			n.now = max(n.now, p.at)
			if c := n.cores[p.m.To]; c != nil && n.starts[p.m.To] == p.receiverStart {
				n.send(c.Receive(n.now, p.m))
				n.schedule(p.m.To)
			}
			continue
		}
		if len(n.timers) == 0 || n.timers[0].at >= end {
			n.now = end
			return
		}
		d := heap.Pop(&n.timers).(agentTimer)
		if n.cores[d.agent] != d.core || d.core.NextTimer() > d.at { // it is down, or has another timer since
			continue
		}
		n.now = max(n.now, d.at)
		n.send(d.core.Tick(n.now))
		n.schedule(d.agent)
	}
}

// allAgree reports whether each agent that runs knows of each other one whether it runs.
func (n *network) allAgree() bool {
	for i, c := range n.cores {
		for j := range n.cores {
			if c != nil && i != j && isReachable(c.State(j)) != (n.cores[j] != nil) {
				return false
			}
		}
	}
	return true
}

// until advances the clock until ok holds and returns how long that took; -1 if it doesn't within the limit.
func (n *network) until(limit time.Duration, ok func() bool) time.Duration {
	for began := n.now; n.now-began < limit; n.run(100 * time.Millisecond) {
		if ok() {
			return n.now - began
		}
	}
	return -1
}

// One, two, ten and a hundred agents start in the same instant and soon know of each other. For 20 s nobody is suspected. Then one dies
// without a word: all hold it for dead within a stated time. It starts again, and all know of that within another.
func TestStartDeathAndReturnAreDetected(t *testing.T) {
	for _, c := range []struct {
		agents                              int
		joinLimit, deathLimit, restartLimit time.Duration
	}{{1, time.Second, 0, 0}, {2, 3 * time.Second, 20 * time.Second, 20 * time.Second}, {10, 4 * time.Second, 20 * time.Second, 5 * time.Second}, {100, 8 * time.Second, 20 * time.Second, 8 * time.Second}} {
		n := newNetwork(c.agents, 1)
		if took := n.until(c.joinLimit, n.allAgree); took < 0 {
			t.Fatalf("%d agents have not met within %v", c.agents, c.joinLimit)
		}
		n.run(20 * time.Second)
		for _, core := range n.cores {
			if core.Counts().Suspected > 0 {
				t.Errorf("%d agents: an agent that runs was suspected", c.agents)
			}
		}
		if c.agents == 1 { // it has no other member to tell of its end
			n.send(n.cores[0].Leave(n.now))
			continue
		}
		n.cores[1] = nil
		if took := n.until(c.deathLimit, n.allAgree); took < 0 {
			t.Errorf("%d agents: not all have detected a death within %v", c.agents, c.deathLimit)
		}
		n.start(1)
		if took := n.until(c.restartLimit, n.allAgree); took < 0 {
			t.Errorf("%d agents: not all know within %v of one that started again", c.agents, c.restartLimit)
		}
	}
}

// Three in ten datagrams are lost for a minute. Agents that run are held for dead in less than half a percent of the time, and one that
// dies is detected by all nevertheless.
func TestDatagramLossKillsNobody(t *testing.T) {
	n := newNetwork(30, 2)
	n.loss = 0.3
	n.run(10 * time.Second)
	wrong, checks := 0, 0
	for range 600 {
		n.run(100 * time.Millisecond)
		for i, c := range n.cores {
			for j := range n.cores {
				if i != j {
					checks++
					if !isReachable(c.State(j)) {
						wrong++
					}
				}
			}
		}
	}
	if ratio := float64(wrong) / float64(checks); ratio > 0.005 {
		t.Errorf("one agent holds another that runs for dead in %.4f of the time", ratio)
	}
	n.cores[3] = nil
	if took := n.until(40*time.Second, func() bool {
		for i, c := range n.cores {
			if i != 3 && isReachable(c.State(3)) {
				return false
			}
		}
		return true
	}); took < 0 {
		t.Error("a death is not detected")
	}
}

// The network between two halves of a fleet is cut for 30 s, both ways or one way. Each half sees ten members meanwhile, and when the cut
// ends all agents know of each other again, though each held the others for dead.
func TestPartitionHeals(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return (from < 10) != (to < 10) },
		"one way":   func(from, to int) bool { return from < 10 && to >= 10 },
	} {
		n := newNetwork(20, 3)
		n.run(10 * time.Second)
		n.isCut = cut
		n.run(30 * time.Second)
		if got := n.cores[0].AliveCount(); name == "both ways" && got != 10 {
			t.Errorf("%s: one half sees %d agents", name, got)
		}
		n.isCut = nil
		if took := n.until(30*time.Second, n.allAgree); took < 0 {
			t.Errorf("%s: the partition did not heal", name)
		}
	}
}

// One of 50 agents has an observation. It reaches all within seconds, then also one that starts again later, and nobody remembers it after
// twice its TTL.
func TestObservationReachesAllAgents(t *testing.T) {
	n := newNetwork(50, 4)
	n.run(8 * time.Second)
	reached := map[int]bool{0: true}
	hasReachedAll := func() bool {
		for i, c := range n.cores {
			for _, h := range c.TakeObservations() {
				if h.Kind == 3 && h.ID == 77 && h.Value == 5 && h.Age < 10*time.Second {
					reached[i] = true
				}
			}
		}
		return len(reached) == 50
	}
	n.cores[0].Broadcast(n.now, Observation{Kind: 3, ID: 77, Value: 5})
	if took := n.until(6*time.Second, hasReachedAll); took < 0 {
		t.Fatalf("an observation has reached %d of 50 agents", len(reached))
	}
	n.start(7)
	delete(reached, 7)
	if took := n.until(5*time.Second, hasReachedAll); took < 0 {
		t.Error("an agent that started again does not receive it")
	}
	n.run(2 * ObservationTTL)
	if left := len(n.cores[9].observations); left != 0 {
		t.Errorf("%d observations are remembered after twice their TTL", left)
	}
}

// What an agent sends stays within its budget at rest and when all start at once. Then one agent receives a hundred thousand messages that
// are full of news: it remembers no more than its limits, and no answer is longer than a datagram.
func TestTrafficAndMemoryAreBounded(t *testing.T) {
	for _, agents := range []int{10, 100} {
		n := newNetwork(agents, 5)
		n.run(30 * time.Second)
		clear(n.sent)
		clear(n.bytes)
		n.run(20 * time.Second)
		for i := range agents {
			if rate := float64(n.sent[i]) / 20; rate > 4 {
				t.Errorf("%d agents: agent %d sends %.1f datagrams a second at rest", agents, i, rate)
			}
		}
		for second, count := range n.datagramsPerSecond {
			if count > 25*agents {
				t.Errorf("%d agents: %d datagrams in second %d", agents, count, second)
			}
		}
	}
	c := New(Options{Agents: 100})
	for i := range 100_000 {
		m := Message{Kind: Ping, From: 1 + i%99, Number: uint32(i), Observations: []Observation{{Kind: ObservationKind(i), ID: uint64(i)}},
			Updates: []MemberUpdate{{State(1 + i%4), i % 65536, uint32(i), i % 65536}}}
		for _, o := range c.Receive(time.Duration(i), m) {
			if size := len(o.appendTo(nil, linkHeader{})) + macBytes; size > MaxDatagramBytes {
				t.Fatalf("an answer of %d bytes", size)
			}
		}
		if len(c.observations) > maxObservations || len(c.observationOrder) != len(c.observations) || len(c.updates) > maxUpdates || len(c.received) > maxReceivedObservations || len(c.proxyProbes) > maxProxyProbes {
			t.Fatalf("%d observations, %d updates, %d received, %d proxy probes", len(c.observations), len(c.updates), len(c.received), len(c.proxyProbes))
		}
	}
}

// One agent sends up to 20 false updates of any member with any incarnation. The members that they are about refute them, and within 20 s
// all agree again on who runs.
func TestFalseUpdatesAreRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(8, rapid.Uint64().Draw(t, "seed"))
		n.run(6 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "lies") {
			lie := MemberUpdate{rapid.SampledFrom([]State{Alive, Suspect, Dead, Left}).Draw(t, "state"), rapid.IntRange(0, 7).Draw(t, "subject"),
				rapid.Uint32Range(0, 1<<20).Draw(t, "incarnation"), rapid.IntRange(0, 7).Draw(t, "by")}
			to := rapid.IntRange(1, 7).Draw(t, "to")
			n.send(n.cores[to].Receive(n.now, Message{Kind: Ping, From: 0, To: to, Updates: []MemberUpdate{lie}}))
			n.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		}
		if took := n.until(20*time.Second, n.allAgree); took < 0 {
			t.Fatal("an agent that runs is held for dead")
		}
	})
}

// BenchmarkAtRest is what membership costs an agent of a fleet at rest: an operation is a second of one agent, with all datagrams sealed and
// opened.
func BenchmarkAtRest(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := newNetwork(agents, 6)
			n.links = make([]*Link, agents)
			for i := range n.links {
				n.links[i] = NewLink(i, agents, singleKey(keyOne), n.rng.Uint64)
			}
			n.run(60 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			clear(n.sent)
			clear(n.bytes)
			b.ResetTimer()
			for done := 0; done < b.N; done += agents {
				n.run(time.Second)
			}
			seconds := math.Ceil(float64(b.N) / float64(agents))
			sent, bytes := 0, 0
			for i := range agents {
				sent, bytes = sent+n.sent[i], bytes+n.bytes[i]
			}
			b.ReportMetric(float64(sent)/seconds/float64(agents), "datagrams/s")
			b.ReportMetric(float64(bytes)/seconds/float64(agents), "B/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(agents), "heap-B/agent")
			runtime.KeepAlive(n)
		})
	}
}

// A full queue of updates must not lose what no other agent has heard of yet: the update that was sent most often makes room.
func TestFullQueueDropsTheUpdateThatWasSentMostOften(t *testing.T) {
	c := New(Options{Self: 0, Agents: 3, Seed: 1})
	c.updates = nil
	for i := range maxUpdates {
		c.queueUpdate(MemberUpdate{State: Suspect, Member: 1, Incarnation: 1, Reporter: i})
		c.updates[i].transmissions = 1 + i%7
	}
	c.updates[0].transmissions = 0
	const sentMostBefore = maxUpdates / 7
	c.queueUpdate(MemberUpdate{State: Alive, Member: 2, Incarnation: 1, Reporter: 2})
	var unsent, mostSent int
	for _, b := range c.updates {
		switch b.transmissions {
		case 0:
			unsent++
		case 7:
			mostSent++
		}
	}
	if len(c.updates) != maxUpdates || unsent != 2 || mostSent != sentMostBefore-1 {
		t.Errorf("%d updates, %d of them unsent, %d sent most often", len(c.updates), unsent, mostSent)
	}
}
