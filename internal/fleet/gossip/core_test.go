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

// network is a fleet of Cores with a simulated network between them, on a driven clock.
type network struct {
	now    time.Duration
	cores  []*Core // nil: the agent is down
	lives  []int
	queue  packets
	rng    *rand.Rand
	loss   float64
	delay  time.Duration
	cut    func(from, to int) bool // nil: nothing is
	sent   []int                   // datagrams, by agent
	bytes  []int
	second map[int]int // datagrams of all, by second
	dues   dues
	links  []*Link // nil: what is sealed and opened is left out
}

// due is when an agent wants to be looked at.
type due struct {
	at   time.Duration
	who  int
	core *Core
}

type dues []due

func (q dues) Len() int           { return len(q) }
func (q dues) Less(i, j int) bool { return q[i].at < q[j].at }
func (q dues) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *dues) Push(x any)        { *q = append(*q, x.(due)) }
func (q *dues) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

func (n *network) look(i int) { heap.Push(&n.dues, due{n.cores[i].NextTimer(), i, n.cores[i]}) }

type packet struct {
	at   time.Duration
	life int
	m    Message
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
	n := &network{now: time.Second, cores: make([]*Core, agents), lives: make([]int, agents), rng: rand.New(rand.NewPCG(seed, 1)),
		delay: 2 * time.Millisecond, sent: make([]int, agents), bytes: make([]int, agents), second: map[int]int{}}
	for i := range agents {
		n.start(i)
	}
	return n
}

func (n *network) start(i int) {
	n.lives[i]++
	n.cores[i] = New(Options{Self: i, Agents: len(n.cores), Seed: uint64(i + 1000*n.lives[i])})
	n.cores[i].Start(n.now)
	n.look(i)
}

func (n *network) send(out []Message) {
	for _, m := range out {
		size := len(m.append(nil, stamp{})) + macSize
		if size > MaxDatagramBytes {
			panic("a datagram is too long")
		}
		n.sent[m.From]++
		n.bytes[m.From] += size
		n.second[int(n.now/time.Second)]++
		if n.rng.Float64() < n.loss || n.cut != nil && n.cut(m.From, m.To) {
			continue
		}
		if n.links != nil { // the work of it; lives are not proved here
			b := n.links[m.From].Seal(m)
			_, _, _ = n.links[m.To].Open(n.now, m.From, b)
		}
		heap.Push(&n.queue, packet{n.now + n.delay/2 + time.Duration(n.rng.Int64N(int64(n.delay))), n.lives[m.To], m})
	}
}

// run lets the time pass.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for {
		if len(n.queue) > 0 && n.queue[0].at < end && (len(n.dues) == 0 || n.queue[0].at < n.dues[0].at) {
			p := heap.Pop(&n.queue).(packet)
			n.now = max(n.now, p.at)
			if c := n.cores[p.m.To]; c != nil && n.lives[p.m.To] == p.life {
				n.send(c.Receive(n.now, p.m))
				n.look(p.m.To)
			}
			continue
		}
		if len(n.dues) == 0 || n.dues[0].at >= end {
			n.now = end
			return
		}
		d := heap.Pop(&n.dues).(due)
		if n.cores[d.who] != d.core || d.core.NextTimer() > d.at { // it is down, or was looked at since
			continue
		}
		n.now = max(n.now, d.at)
		n.send(d.core.Tick(n.now))
		n.look(d.who)
	}
}

// all reports whether each agent that is up holds each other one for what it is.
func (n *network) all() bool {
	for i, c := range n.cores {
		for j := range n.cores {
			if c != nil && i != j && (living(c.State(j)) == 1) != (n.cores[j] != nil) {
				return false
			}
		}
	}
	return true
}

// until runs until ok holds and returns how long that took; -1 if it does not within the time.
func (n *network) until(most time.Duration, ok func() bool) time.Duration {
	for began := n.now; n.now-began < most; n.run(100 * time.Millisecond) {
		if ok() {
			return n.now - began
		}
	}
	return -1
}

// Agents that start in the same instant soon know of each other; one that dies is found out by all within a stated time and nobody
// else is; one that comes back is known again.
func TestWhoLives(t *testing.T) {
	for _, c := range []struct {
		agents          int
		meet, die, back time.Duration
	}{{1, time.Second, 0, 0}, {2, 3 * time.Second, 20 * time.Second, 20 * time.Second}, {10, 4 * time.Second, 20 * time.Second, 5 * time.Second}, {100, 8 * time.Second, 20 * time.Second, 8 * time.Second}} {
		n := newNetwork(c.agents, 1)
		if took := n.until(c.meet, n.all); took < 0 {
			t.Fatalf("%d agents have not met within %v", c.agents, c.meet)
		}
		n.run(20 * time.Second)
		for _, core := range n.cores {
			if core.Counts().Suspected > 0 {
				t.Errorf("%d agents: somebody was suspected who lives", c.agents)
			}
		}
		if c.agents == 1 { // it has nobody to tell, also of its end
			n.send(n.cores[0].Leave(n.now))
			continue
		}
		n.cores[1] = nil
		if took := n.until(c.die, n.all); took < 0 {
			t.Errorf("%d agents: not all have found out a death within %v", c.agents, c.die)
		}
		n.start(1)
		if took := n.until(c.back, n.all); took < 0 {
			t.Errorf("%d agents: not all know within %v of one that came back", c.agents, c.back)
		}
	}
}

// Three in ten datagrams are lost: nobody who lives is held for dead for long, and who dies is found out all the same.
func TestLossesKillNobody(t *testing.T) {
	n := newNetwork(30, 2)
	n.loss = 0.3
	n.run(10 * time.Second)
	wrong, looks := 0, 0
	for range 600 {
		n.run(100 * time.Millisecond)
		for i, c := range n.cores {
			for j := range n.cores {
				if i != j {
					looks++
					wrong += 1 - living(c.State(j))
				}
			}
		}
	}
	if part := float64(wrong) / float64(looks); part > 0.005 {
		t.Errorf("one agent holds another that lives for dead in %.4f of the time", part)
	}
	n.cores[3] = nil
	if took := n.until(40*time.Second, func() bool {
		for i, c := range n.cores {
			if i != 3 && living(c.State(3)) == 1 {
				return false
			}
		}
		return true
	}); took < 0 {
		t.Error("a death is not found out")
	}
}

// A fleet that is split in half, or of which one half can't be heard by the other, is one again after it.
func TestAfterASplitAllAreOne(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return (from < 10) != (to < 10) },
		"one way":   func(from, to int) bool { return from < 10 && to >= 10 },
	} {
		n := newNetwork(20, 3)
		n.run(10 * time.Second)
		n.cut = cut
		n.run(30 * time.Second)
		if got := n.cores[0].AliveCount(); name == "both ways" && got != 10 {
			t.Errorf("%s: %d agents live as one half sees it", name, got)
		}
		n.cut = nil
		if took := n.until(30*time.Second, n.all); took < 0 {
			t.Errorf("%s: not one again", name)
		}
	}
}

// A fact reaches all, also those that start later, and is forgotten.
func TestFactsTravel(t *testing.T) {
	n := newNetwork(50, 4)
	n.run(8 * time.Second)
	heard := map[int]bool{0: true}
	listen := func() bool {
		for i, c := range n.cores {
			for _, h := range c.TakeObservations() {
				if h.Kind == 3 && h.ID == 77 && h.Value == 5 && h.Age < 10*time.Second {
					heard[i] = true
				}
			}
		}
		return len(heard) == 50
	}
	n.cores[0].Broadcast(n.now, Observation{Kind: 3, ID: 77, Value: 5})
	if took := n.until(6*time.Second, listen); took < 0 {
		t.Fatalf("a fact has reached %d of 50 agents", len(heard))
	}
	n.start(7)
	delete(heard, 7)
	if took := n.until(5*time.Second, listen); took < 0 {
		t.Error("one that starts anew hears nothing of it")
	}
	n.run(2 * ObservationTTL)
	if left := len(n.cores[9].facts); left != 0 {
		t.Errorf("%d facts are remembered after twice their time", left)
	}
}

// What an agent sends stays within its budget, at rest, when all start at once and while one floods the others with news.
func TestWhatWordCosts(t *testing.T) {
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
		for second, count := range n.second {
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
			if size := len(o.append(nil, stamp{})) + macSize; size > MaxDatagramBytes {
				t.Fatalf("an answer of %d bytes", size)
			}
		}
		if len(c.facts) > mostFacts || len(c.ring) != len(c.facts) || len(c.rumours) > mostRumours || len(c.heard) > mostHeard || len(c.requests) > mostRequests {
			t.Fatalf("%d facts, %d rumours, %d heard, %d requests", len(c.facts), len(c.rumours), len(c.heard), len(c.requests))
		}
	}
}

// Whatever one agent says of the others, those who live say otherwise and are believed.
func TestALiarIsRefuted(t *testing.T) {
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
		if took := n.until(20*time.Second, n.all); took < 0 {
			t.Fatal("somebody who lives is held for dead")
		}
	})
}

// What knowing each other costs an agent at rest: a second of it is an operation, with all datagrams sealed and opened.
func BenchmarkAtRest(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := newNetwork(agents, 6)
			n.links = make([]*Link, agents)
			for i := range n.links {
				n.links[i] = NewLink(i, agents, only(keyOne), n.rng.Uint64)
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
