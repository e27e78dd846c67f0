package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/harness/cluster"
)

// instants is how many losses of power are drawn from seeds: a few in CI, and as many as FLEET_INSTANTS says outside.
func instants() int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_INSTANTS")); err == nil {
		return n
	}
	if testing.Short() {
		return 2
	}
	return 10
}

func verdict(t *testing.T, f *cluster.Fleet) {
	t.Helper()
	for _, broken := range f.Verdict() {
		t.Error("broken:", broken)
	}
}

// back starts servers and agents that lost power.
func back(f *cluster.Fleet, servers, agents []int) {
	for _, i := range servers {
		f.Servers[i].Start(false)
	}
	for _, i := range agents {
		f.Agents[i].Start()
	}
}

// served waits until the load has served so many more.
func served(t *testing.T, l *cluster.Load, more int64) {
	t.Helper()
	from := l.Served.Load()
	agenttest.Eventually(t, fmt.Sprint(more, " more requests are served"), func() bool { return l.Served.Load() >= from+more })
}

// All lose power while refunds are in flight, at instants drawn from seeds, some of them in the middle of coming back; agents, servers
// and the list return in any order. No refund runs twice, nothing cold is pushed over, and service returns each time.
func TestAllLosePower(t *testing.T) {
	f := cluster.Start(t, cluster.Options{Agents: 3, Servers: 6, Seed: 1, Peers: true})
	load := f.Load(4, 20*time.Millisecond)
	for seed := range uint64(instants()) {
		random := rand.New(rand.NewPCG(seed, 1))
		part := func(most int) time.Duration { return time.Duration(random.IntN(most)) * time.Millisecond }
		if random.IntN(4) > 0 { // else in the middle of coming back
			served(t, load, 30)
		}
		time.Sleep(part(300))
		f.Discovery.SetOut(true)
		f.LosePower(cluster.All(6), cluster.All(3), seed)
		time.Sleep(part(200))
		switch random.IntN(3) {
		case 0: // agents first
			back(f, nil, cluster.All(3))
			time.Sleep(part(400))
			back(f, cluster.All(6), nil)
		case 1: // servers first
			back(f, cluster.All(6), nil)
			time.Sleep(part(400))
			back(f, nil, cluster.All(3))
		default:
			back(f, cluster.All(6), cluster.All(3))
		}
		if random.IntN(2) == 0 { // with no list; else it is back at once
			served(t, load, 10)
		}
		f.Told()
		f.Discovery.SetOut(false)
	}
	served(t, load, 30)
	load.End()
	verdict(t, f)
}

// What each hard case does to a fleet, with a load on it.
func TestPartsLosePower(t *testing.T) {
	const agents, servers = 4, 6
	for _, c := range []struct {
		name string
		do   func(t *testing.T, f *cluster.Fleet, load *cluster.Load)
	}{
		{"one zone alone", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.LosePower([]int{0, 1, 2}, []int{0, 1}, 1)
			served(t, load, 20) // the others go on
			back(f, []int{0, 1, 2}, []int{0, 1})
			f.Told()
		}},
		{"agents alone, with no list", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Discovery.SetOut(true)
			f.LosePower(nil, cluster.All(agents), 2)
			back(f, nil, cluster.All(agents))
			served(t, load, 60)
			f.Discovery.SetOut(false)
		}},
		{"half of the agents come back with empty disks", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Discovery.SetOut(true)
			f.LosePower(cluster.All(servers), cluster.All(agents), 3)
			f.Agents[0].Wipe()
			f.Agents[1].Wipe()
			back(f, cluster.All(servers), cluster.All(agents))
			served(t, load, 20)
			f.Told()
			f.Discovery.SetOut(false)
			for _, a := range f.Agents {
				a.Ready()
			}
		}},
		{"one comes back with the state of long ago", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Agents[0].Kill()
			f.Agents[0].Backup()
			back(f, nil, []int{0})
			f.Agents[0].Ready()
			f.Servers[5].Drain() // which the backup knows nothing of
			agenttest.Eventually(t, "nothing goes to a server that drains", quiet(f.Servers[5]))
			time.Sleep(500 * time.Millisecond)
			f.Discovery.SetOut(true)
			f.LosePower(nil, cluster.All(agents), 4)
			f.Agents[0].Restore()
			// The others are back first, and one that asks them hears of the drain before it sends anything.
			back(f, nil, []int{1, 2, 3})
			served(t, load, 20)
			time.Sleep(time.Second)
			before := f.Servers[5].Arrived()
			back(f, nil, []int{0})
			f.Agents[0].Ready()
			client := &http.Client{Timeout: 2 * time.Second}
			for n := range 15 {
				f.Ask(cluster.Request{Agent: 0, Key: fmt.Sprint("form-", n)}, client, time.Second)
			}
			client.CloseIdleConnections()
			if n := f.Servers[5].Arrived() - before; n != 0 {
				t.Log(f.Agents[0].Sees(), f.Agents[1].Sees())
				t.Errorf("%d requests went to a server that drains, as the others knew", n)
			}
			f.Discovery.SetOut(false)
		}},
		{"a ban and a drain just before the loss", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Servers[5].Drain()
			time.Sleep(200 * time.Millisecond) // within the drain's grace
			if status := f.Agents[0].Call("PUT", "/ops/backends/down/"+f.Servers[4].ID); status != http.StatusOK {
				t.Fatal("the ban:", status)
			}
			f.Discovery.SetOut(true)
			f.LosePower(nil, cluster.All(agents), 5)
			drained, banned := f.Servers[5].Arrived(), f.Servers[4].Arrived()
			back(f, nil, []int{0})
			f.Agents[0].Ready()
			time.Sleep(2 * time.Second)
			if n := f.Servers[5].Arrived() - drained; n != 0 {
				t.Errorf("%d requests went to a server that drains", n)
			}
			if n := f.Servers[4].Arrived() - banned; n != 0 {
				t.Errorf("%d requests went to a server that an operator holds out", n)
			}
			back(f, nil, []int{1, 2, 3})
			f.Discovery.SetOut(false)
		}},
		{"the same ids at other addresses", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Discovery.SetOut(true)
			f.LosePower(cluster.All(servers), cluster.All(agents), 6)
			for _, s := range f.Servers {
				s.Move("", f.Host())
			}
			back(f, cluster.All(servers), cluster.All(agents))
			time.Sleep(500 * time.Millisecond)
			f.Told()
			f.Discovery.SetOut(false)
		}},
		{"other ids at the same addresses", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Discovery.SetOut(true)
			f.LosePower(cluster.All(servers), cluster.All(agents), 7)
			for i, s := range f.Servers {
				s.Move(fmt.Sprint("n-", i), nil)
			}
			back(f, cluster.All(servers), cluster.All(agents))
			time.Sleep(500 * time.Millisecond)
			f.Told()
			f.Discovery.SetOut(false)
		}},
		{"servers come back twice", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			for range 2 {
				f.LosePower(cluster.All(servers), nil, 8)
				time.Sleep(300 * time.Millisecond)
				back(f, cluster.All(servers), nil)
				f.Told()
				time.Sleep(700 * time.Millisecond)
			}
		}},
		{"the network between agents is split, one way only and with losses", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			for i, weather := range []func(from, to int) cluster.Weather{
				func(from, to int) cluster.Weather {
					if (from < 2) != (to < 2) {
						return cluster.Weather{Lose: 1}
					}
					return cluster.Weather{}
				},
				func(from, to int) cluster.Weather {
					if from == 0 {
						return cluster.Weather{Lose: 1}
					}
					return cluster.Weather{}
				},
				func(from, to int) cluster.Weather {
					return cluster.Weather{Lose: 0.3, Double: 0.3, Delay: 0.3, By: 300 * time.Millisecond}
				},
			} {
				f.Net.Set(weather)
				f.LosePower(cluster.All(servers), cluster.All(agents), uint64(9+i))
				back(f, cluster.All(servers), cluster.All(agents))
				f.Told()
				served(t, load, 20)
			}
			f.Net.Set(nil)
		}},
		{"one that floods and forges", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			old := f.Net.Seen()
			f.LosePower(nil, []int{1}, 12)
			back(f, nil, []int{1})
			f.Agents[1].Ready()
			for n := range 20_000 {
				text := []byte("anything but a datagram of ours")
				if n%2 == 0 && len(old) > 0 {
					text = old[n%len(old)] // as they were before the loss
				}
				f.Net.Inject(0, 1, text)
				if n%100 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			if n := strings.Count(f.Agents[1].Log.String(), "datagrams are dropped"); n > 3 {
				t.Errorf("a flood costs %d lines of the log", n)
			}
		}},
		{"one has no list, one no way to a zone's servers, and to one nothing comes back", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.LosePower(cluster.All(servers), cluster.All(agents), 14)
			f.Lines.Set(func(agent int, to string) cluster.Line {
				return cluster.Line{Cut: agent == 0 && to == cluster.Discovery || agent == 1 && to < "s-03" && to != cluster.Discovery,
					Deaf: agent == 2 && to == cluster.Discovery}
			})
			back(f, cluster.All(servers), cluster.All(agents))
			f.Told()
			client := &http.Client{Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			for _, a := range f.Agents {
				a.Ready()
				agenttest.Eventually(t, fmt.Sprintf("agent %d serves", a.Number), func() bool {
					return f.Ask(cluster.Request{Agent: a.Number, Key: fmt.Sprint("form-", a.Number)}, client, 2*time.Second)
				})
			}
			f.Lines.Set(nil)
		}},
		{"a process hangs over the loss", func(t *testing.T, f *cluster.Fleet, load *cluster.Load) {
			f.Agents[3].Signal(syscall.SIGSTOP)
			f.LosePower(cluster.All(servers), []int{0, 1, 2}, 13)
			back(f, cluster.All(servers), []int{0, 1, 2})
			f.Told()
			served(t, load, 20)
			f.Agents[3].Signal(syscall.SIGCONT)
			f.Agents[3].Ready()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := cluster.Start(t, cluster.Options{Agents: agents, Servers: servers, Seed: 2, Peers: true, Lines: true})
			load := f.Load(2, 20*time.Millisecond)
			served(t, load, 40)
			time.Sleep(400 * time.Millisecond) // what is known is on the disks
			c.do(t, f, load)
			served(t, load, 40)
			load.End()
			verdict(t, f)
		})
	}
}

// quiet reports whether nothing has come to a server for a while.
func quiet(s *cluster.Server) func() bool {
	last, since := -1, time.Now()
	return func() bool {
		if n := s.Arrived(); n != last {
			last, since = n, time.Now()
		}
		return time.Since(since) > 600*time.Millisecond
	}
}

// A refund is in flight, and has run, when power goes; its client comes again, as soon as anybody answers, and is not told that it may.
func TestARefundInFlight(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *cluster.Fleet)
	}{
		{"the agent loses power", func(f *cluster.Fleet) { f.LosePower(nil, []int{0}, 1); back(f, nil, []int{0}) }},
		{"and its disk", func(f *cluster.Fleet) { f.LosePower(nil, []int{0}, 2); f.Agents[0].Wipe(); back(f, nil, []int{0}) }},
		{"and gets its disk from a backup", func(f *cluster.Fleet) {
			f.LosePower(nil, []int{0}, 3)
			f.Agents[0].Restore()
			back(f, nil, []int{0})
		}},
		{"the agent is killed", func(f *cluster.Fleet) { f.Agents[0].Kill(); back(f, nil, []int{0}) }},
		{"the servers lose power", func(f *cluster.Fleet) { f.LosePower(cluster.All(6), nil, 4); back(f, cluster.All(6), nil) }},
		{"all lose power", func(f *cluster.Fleet) {
			f.LosePower(cluster.All(6), []int{0}, 5)
			back(f, cluster.All(6), []int{0})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := cluster.Start(t, cluster.Options{Agents: 1, Servers: 6, Seed: 4})
			f.Agents[0].Kill()
			f.Agents[0].Backup()
			back(f, nil, []int{0})
			f.Agents[0].Ready()
			f.Agents[0].Keeps()
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for n := range 5 { // some of them are caught before their answer
				key := fmt.Sprint("refund-", n)
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.Ask(cluster.Request{Refund: true, Agent: 0, Key: key}, client, 1900*time.Millisecond)
				}()
				agenttest.Eventually(t, "it runs", func() bool {
					select {
					case <-done: // it was refused as long as it came, which is no harm here
						return true
					default:
					}
					effects := f.Ledger.Effects()
					return len(effects) > 0 && effects[len(effects)-1].Key == key
				})
				c.lose(f)
				<-done
			}
			if n := len(f.Ledger.Effects()); n < 2 {
				t.Errorf("%d refunds have run: nothing was caught", n)
			}
			verdict(t, f)
		})
	}
}

// Forty processes start in the same instant, meet, and lose power together.
func TestFortyProcesses(t *testing.T) {
	f := cluster.Start(t, cluster.Options{Agents: 40, Servers: 6, Seed: 3, Peers: true})
	load := f.Load(1, 100*time.Millisecond)
	served(t, load, 80)
	agenttest.Eventually(t, "the first knows of all others", func() bool { return strings.Contains(f.Agents[0].Sees(), `"alive": 40`) })
	f.Discovery.SetOut(true)
	f.LosePower(cluster.All(6), cluster.All(40), 1)
	back(f, cluster.All(6), cluster.All(40))
	served(t, load, 40)
	f.Told()
	f.Discovery.SetOut(false)
	served(t, load, 80)
	load.End()
	verdict(t, f)
}
