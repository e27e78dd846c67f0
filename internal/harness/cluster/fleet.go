// Package cluster is the rig for what many processes of the program do together when parts of the system fail: N agents in processes
// of their own, with emulated servers, a list, a network between agents that fails, disks that lose what was not synced, and power that
// goes. Witnesses give the verdict: the backends' ledger, the rules, and what clients got.
package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/loopback"
)

// Options say what is started.
type Options struct {
	Agents, Servers int
	Seed            uint64
	Peers           bool                 // agents know each other
	Overload        func(agent int) bool // who handles overload together with the others; nil: nobody
	Slow            int                  // times as much work in each request; 0: as usual
	Figures         bool                 // agents log what they count, by second
	Lines           bool                 // connections to the list and to servers can be made to fail, agent by agent
	Ties            time.Duration        // for which a refund waits until its tie is kept; 0: for as long as a busy disk may take
}

const (
	podSize    = 3
	window     = 2 * time.Second                             // for which pods drop repeats
	drainGrace = 500*time.Millisecond + 300*time.Millisecond // the rule's, and what the list and a busy machine take
)

// Fleet is a whole installation on loopback.
type Fleet struct {
	t         testing.TB
	options   Options
	dir       string
	Discovery *emulator.Discovery
	Ledger    *emulator.Ledger
	Net       *Network // nil where agents know nobody
	Lines     *Lines   // nil without the option
	Servers   []*Server
	Agents    []*Agent
	pods      map[int]*emulator.Pod
	epoch     time.Time
	last      atomic.Int64 // ids of requests

	mu     sync.Mutex
	broken []string
}

// Start starts a fleet and waits until all agents are ready.
func Start(t testing.TB, o Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, options: o, dir: t.TempDir(), Ledger: emulator.NewLedger(), pods: map[int]*emulator.Pod{}, epoch: time.Now()}
	d, err := emulator.NewDiscovery("127.0.0.1:0")
	f.must(err)
	f.Discovery = d
	if o.Lines {
		f.Lines = newLines()
	}
	t.Cleanup(f.close)
	for i := range o.Servers {
		s := &Server{ID: fmt.Sprintf("s-%02d", i), Pod: i / podSize, fleet: f, host: f.hold()}
		f.Servers = append(f.Servers, s)
		s.Start(true)
	}
	f.Told()
	key := NewKey()
	var at []string
	for i := range o.Agents {
		h := f.hold()
		a := &Agent{Number: i, Addr: h.Addr(), Operator: h.Port(1), fleet: f, host: h, dir: filepath.Join(f.dir, fmt.Sprint("agent-", i)),
			Log: &agenttest.LockedBuffer{}}
		f.must(os.MkdirAll(filepath.Join(a.dir, "ties"), 0o700))
		a.Keys(key)
		f.Agents = append(f.Agents, a)
		at = append(at, h.Port(2))
	}
	if o.Peers {
		f.Net, err = newNetwork(at, key, o.Seed)
		f.must(err)
	}
	for _, a := range f.Agents {
		a.newRun()
		a.configure(at[a.Number])
		a.Start()
	}
	for _, a := range f.Agents {
		a.Ready()
		a.Keeps()
	}
	return f
}

func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) hold() *loopback.Host {
	h, err := loopback.Hold()
	f.must(err)
	f.t.Cleanup(h.Close)
	return h
}

func (f *Fleet) close() {
	if f.t.Failed() {
		for _, a := range f.Agents {
			f.t.Logf("agent %d sees %s\nits log:\n%s", a.Number, a.Sees(), a.Log)
		}
	}
	for _, a := range f.Agents {
		a.Kill()
	}
	for _, s := range f.Servers {
		if s.form != nil {
			s.form.Close()
		}
	}
	f.Discovery.Close()
	if f.Net != nil {
		f.Net.Close()
	}
	if f.Lines != nil {
		f.Lines.Close()
	}
}

// Host is an address of one's own, for Move.
func (f *Fleet) Host() *loopback.Host { return f.hold() }

// Told lets the list say what there is now.
func (f *Fleet) Told() {
	var all []emulator.Entry
	for _, s := range f.Servers {
		if s.form != nil {
			all = append(all, s.entry)
		}
	}
	f.Discovery.Set(all...)
}

// Broken notes a broken rule.
func (f *Fleet) Broken(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// Verdict is what the witnesses say: the rules that were broken.
func (f *Fleet) Verdict() []string {
	for _, s := range f.Servers {
		s.check()
	}
	for key, ran := range f.Ledger.Repeated() {
		f.Broken("%s ran at %s (pod %d) and, %v later, at %s (pod %d); the second was written %v after the first, with %v left to its sender; they were read %v and %v after they had come",
			key, ran[0].Server, ran[0].Pod, ran[1].At-ran[0].At, ran[1].Server, ran[1].Pod, ran[0].TimeLeft-ran[1].TimeLeft, ran[1].TimeLeft,
			ran[0].ReadDelay, ran[1].ReadDelay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// LosePower takes power from servers and agents, by number, and with it what was not kept. Pods of which no server runs on forget.
func (f *Fleet) LosePower(servers, agents []int, seed uint64) {
	f.t.Helper()
	for _, i := range agents { // the clients' machines are theirs
		f.Agents[i].cutOff()
	}
	for _, i := range servers {
		f.Servers[i].die()
	}
	for _, i := range agents {
		f.Agents[i].wait()
		f.must(LosePower(f.Agents[i].disk(), seed+uint64(i)))
		f.Agents[i].newRun()
	}
	for pod, memory := range f.pods {
		runs := false
		for _, s := range f.Servers {
			runs = runs || s.Pod == pod && s.form != nil
		}
		if !runs {
			memory.Forget()
		}
	}
}

// All are the numbers from 0 on.
func All(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}
