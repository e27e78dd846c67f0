package agent

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
	"appleledge/internal/upstream/connpool"
)

// large is what an agent holds of a fleet of 10,000: the table of members, the pool and the module, on a driven clock.
type large struct {
	now     time.Duration
	table   *membership.Table
	pool    *connpool.Pool
	module  *balancer.Balancer
	members []engine.Member
	next    int
	asked   int
	parts   []time.Duration // of the time that changes took the engine
}

// largeFleet is the number of servers in a large fleet.
const largeFleet = 10_000

func newLarge(tb testing.TB) *large {
	set := balancer.Settings{Balancers: 2, Tick: time.Millisecond, MaxAttempts: 2, KeyAffinity: true, UseListWeights: true,
		SlowStartInitialRatio: 0.3, SlowStartDuration: 10 * time.Second, Classes: []balancer.Class{{Name: "form-check", Effect: balancer.Idempotent, LatencyObjective: 600e6, Deadline: 2e9, Priority: 1}}}
	m, err := balancer.New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	l := &large{now: time.Hour, table: membership.NewTable(membership.Options{}, 1), pool: connpool.New(time.Second, time.Second, 100), module: m}
	m.Start(l.now)
	for range largeFleet {
		l.members = append(l.members, l.fresh())
	}
	l.table.Update(l.now, 0, membership.Update{Full: true, Members: l.members})
	l.tell()
	return l
}

func (l *large) fresh() engine.Member {
	l.next++
	return engine.Member{Addr: fmt.Sprintf("10.%d.%d.%d:8081", l.next>>16&255, l.next>>8&255, l.next&255),
		Server: balancer.Server{ID: fmt.Sprintf("s-%08x", l.next), Cell: l.next / 5, Weight: 1 + float64(l.next%7)}}
}

// tell hands on what has changed, as the hub and the engine do, and notes how long each part took.
func (l *large) tell() {
	for {
		part := l.table.TakeChanges(128)
		if len(part) == 0 {
			return
		}
		began := time.Now()
		l.pool.Update(false, part)
		servers := make([]balancer.Server, len(part))
		for i, m := range part {
			servers[i] = m.Server
		}
		l.module.Handle(l.now, balancer.ServerList{Servers: servers})
		l.parts = append(l.parts, time.Since(began))
	}
}

// replace takes so many members away and adds as many.
func (l *large) replace(n int) {
	l.parts = l.parts[:0]
	var u membership.Update
	for range n {
		i := l.next % len(l.members)
		gone := l.members[i]
		gone.State = balancer.Removed
		l.members[i] = l.fresh()
		u.Members = append(u.Members, gone, l.members[i])
	}
	l.table.Update(l.now, 0, u)
	l.tell()
}

// ask brings a request and its answer with a report, and lets the module's timer fire.
func (l *large) ask() {
	l.asked++
	id := fmt.Sprint("r", l.asked)
	for _, a := range l.module.Handle(l.now, balancer.Request{ID: id, Key: fmt.Sprint("k", l.asked%5000), Deadline: l.now + 1e9}) {
		if a.Kind == balancer.Send {
			l.module.Handle(l.now, balancer.Outcome{Request: id, Server: a.Server, Result: balancer.OK, Latency: 20 * time.Millisecond, RequestClosed: true,
				Report: balancer.Report{Utilization: 0.5, ServedRate: 50, ErrorRate: -1, InFlight: -1, QueueLength: -1}})
		}
	}
	l.module.Handle(l.now, balancer.TimerFired{})
}

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// budgetMB is what the members of a fleet of 10,000 may take of an agent's heap.
const budgetMB = 16

// The memory of an agent with 10,000 members stays within its budget and is flat over a day in which a hundred members
// are replaced each minute.
func TestMemoryOverADayOfChurn(t *testing.T) {
	before := heapMB()
	l := newLarge(t)
	hour := func(n int) float64 {
		for range n * 60 {
			l.now += time.Minute
			l.replace(100)
			for range 10 {
				l.now += 75 * time.Millisecond
				l.ask()
			}
		}
		return heapMB() - before
	}
	first := hour(1)
	last := hour(23)
	t.Logf("%.1f MB after an hour, %.1f MB after a day and %d members", first, last, l.next)
	if last > budgetMB || last > first+1 {
		t.Errorf("%.1f MB after an hour, %.1f MB after a day; the budget is %d MB", first, last, budgetMB)
	}
	if len(l.module.InFlight()) > 0 {
		t.Error("attempts are left")
	}
}

// BenchmarkChange is a change of lists at 10,000 members: of one entry, and of all at once, which comes in parts.
func BenchmarkChange(b *testing.B) {
	b.Run("one of 10000", func(b *testing.B) {
		l := newLarge(b)
		b.ReportAllocs()
		for b.Loop() {
			l.replace(1)
		}
	})
	b.Run("all of 10000", func(b *testing.B) {
		l := newLarge(b)
		l.parts = nil
		for b.Loop() {
			for i := range l.members {
				l.members[i] = l.fresh()
			}
			l.table.Update(l.now, 0, membership.Update{Full: true, Members: l.members})
			l.tell()
		}
		slices.Sort(l.parts)
		for name, at := range map[string]int{"us/median-part": len(l.parts) / 2, "us/p99.9-part": len(l.parts) * 999 / 1000,
			"us/longest-part": len(l.parts) - 1} {
			b.ReportMetric(float64(l.parts[at].Microseconds()), name)
		}
	})
	b.Run("whole list, one differs", func(b *testing.B) {
		l := newLarge(b)
		for b.Loop() {
			l.members[l.next%10_000] = l.fresh()
			l.table.Update(l.now, 0, membership.Update{Full: true, Members: l.members})
			l.tell()
		}
	})
}
