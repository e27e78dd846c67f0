package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/harness/busydiscovery"
	"appleledge/internal/harness/cluster"
	"appleledge/internal/harness/loopback"
)

const (
	maxLearnTime   = 300 * time.Millisecond // from the first write of a version to an agent until its requests follow it
	changeBehind   = 100 * time.Millisecond // from discovery's return to the change
	requestPeriod  = 25 * time.Millisecond  // of the client of each agent
	settleDuration = 2 * time.Second        // before the silence
	followDuration = 4 * time.Second        // behind the last first write
)

// outageFleet is a number of agents in processes of their own at one discovery, a server that version 40 of the list has, and one that takes
// its place in version 41. The old one goes on serving.
type outageFleet struct {
	t         *testing.T
	discovery *busydiscovery.Discovery
	agents    []*stoppableAgent
	change    func() // lists version 41

	mu      sync.Mutex
	lastOld map[int]time.Time // when a request of an agent's client last began at the old server, by agent
	isAtNew map[int]bool      // the new one had a request of that agent's
}

// startOutageFleet starts so many agents at a discovery, which has listed the old server.
func startOutageFleet(t *testing.T, count int, o busydiscovery.Options) *outageFleet {
	t.Helper()
	f := &outageFleet{t: t, discovery: busydiscovery.New(o), lastOld: map[int]time.Time{}, isAtNew: map[int]bool{}}
	t.Cleanup(f.discovery.Close)
	oldServer := agenttest.NewBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
		f.note(r, true)
		return agenttest.Says(agenttest.Served)(c, r, 0)
	})
	newServer := agenttest.NewBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
		f.note(r, false)
		return agenttest.Says(agenttest.Served)(c, r, 0)
	})
	oldEntry, newEntry := agenttest.EntryText("s-old", oldServer.Addr().String(), "Ready", 0), agenttest.EntryText("s-new", newServer.Addr().String(), "Ready", 0)
	f.discovery.Set(40, agenttest.ListText(40, true, oldEntry), agenttest.ListText(40, true, oldEntry))
	for number := range count {
		f.agents = append(f.agents, f.startAgent(number))
	}
	for _, a := range f.agents {
		agenttest.Eventually(t, "the agent is ready", func() bool {
			resp, err := http.Get("http://" + a.addr + "/ready")
			if err != nil {
				return false
			}
			besteffort.Close(resp.Body)
			return resp.StatusCode == http.StatusOK
		})
	}
	f.change = func() {
		f.discovery.Set(41, agenttest.ListText(41, true, newEntry), agenttest.ListText(41, false, agenttest.EntryText("s-old", "", "Gone", 0), newEntry))
	}
	return f
}

// startAgent starts an agent whose discovery has an address of its own. It is not ready yet.
func (f *outageFleet) startAgent(number int) *stoppableAgent {
	f.t.Helper()
	var hosts [2]*loopback.Host
	for i := range hosts {
		host, err := loopback.Hold()
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(host.Close)
		hosts[i] = host
	}
	listener, err := net.Listen("tcp", hosts[0].Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { besteffort.Close(listener) })
	f.discovery.Serve(number, listener)
	file := filepath.Join(f.t.TempDir(), "config.json")
	if err := os.WriteFile(file, agenttest.ConfigText(hosts[0].Addr(), "null"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	a := &stoppableAgent{t: f.t, addr: hosts[1].Addr(), log: &agenttest.LockedBuffer{}}
	program := exec.Command(cluster.Program(0))
	program.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+file, "PROXY_LISTEN="+a.addr)
	program.Stderr = a.log
	if err := program.Start(); err != nil {
		f.t.Fatal(err)
	}
	a.process = program.Process
	f.t.Cleanup(func() { besteffort.Ignore(program.Process.Kill()); besteffort.Ignore(program.Wait()) })
	return a
}

// note notes that a request of an agent's client came to a server. The agent's number stands in front of the request's id.
func (f *outageFleet) note(r *http.Request, isOld bool) {
	number, err := strconv.ParseInt(r.Header.Get("X-Request-ID")[:4], 16, 32)
	if err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isOld {
		f.isAtNew[int(number)] = true
		return
	}
	f.lastOld[int(number)] = time.Now()
}

// sendUntil lets an agent's client send requests until a channel is closed.
func (f *outageFleet) sendUntil(number int, ended <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: agenttest.Patience}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(requestPeriod)
	defer ticker.Stop()
	for id := 0; ; id++ {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		r, err := http.NewRequest(http.MethodGet, "http://"+f.agents[number].addr+"/form-check", http.NoBody)
		if err != nil {
			f.t.Error(err)
			return
		}
		for name, value := range map[string]string{"X-Request-ID": fmt.Sprintf("%04x%012x", number, id), "X-Tenant-Id": "glasgow-airport", "X-Timeout": "2000m"} {
			r.Header.Set(name, value)
		}
		resp, err := client.Do(r)
		if err != nil {
			f.t.Errorf("agent %d: a request got no answer: %v", number, err)
			return
		}
		besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
		besteffort.Close(resp.Body)
	}
}

// playOutage lets clients send while discovery falls silent and comes back, and lists the change right behind that.
func (f *outageFleet) playOutage(silence time.Duration) {
	f.t.Helper()
	var clients sync.WaitGroup
	ended := make(chan struct{})
	for number := range f.agents {
		clients.Go(func() { f.sendUntil(number, ended) })
	}
	time.Sleep(settleDuration)
	f.discovery.Silence(true)
	time.Sleep(silence)
	f.discovery.Silence(false)
	time.Sleep(changeBehind)
	f.change()
	for number := range f.agents {
		agenttest.Eventually(f.t, "discovery writes the change", func() bool { _, ok := f.discovery.FirstWrite(number, 41); return ok })
	}
	time.Sleep(followDuration)
	close(ended)
	clients.Wait()
}

// check holds each agent to the change from when it was first written to it.
func (f *outageFleet) check() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	late, latest, latestAgent := 0, time.Duration(0), 0
	for number := range f.agents {
		written, _ := f.discovery.FirstWrite(number, 41)
		behind := f.lastOld[number].Sub(written)
		if behind > latest {
			latest, latestAgent = behind, number
		}
		if behind > maxLearnTime || !f.isAtNew[number] {
			late++
		}
	}
	f.t.Logf("%d agents, %d calls: the last request to the removed server came %v behind the first write of the change", len(f.agents), f.discovery.Calls(),
		latest.Round(time.Millisecond))
	if late > 0 {
		f.t.Errorf("%d of %d agents sent new requests to a removed server over %v behind the first write of its removal to them, agent %d %v; its log:\n%s",
			late, len(f.agents), maxLearnTime, latestAgent, latest.Round(time.Millisecond), f.agents[latestAgent].log)
	}
}

// Discovery is silent for some seconds and comes back with a queue of the calls of that time, as in issue 67. A server is removed right
// behind its return. The agents' requests follow as soon as that is written to any of their calls.
func TestRequestsGoToRemovedServersBehindAnOutageOfDiscovery(t *testing.T) {
	for _, tt := range []struct {
		name    string
		silence time.Duration
		options busydiscovery.Options
	}{
		{"6 s, calls of 3 ms", 6 * time.Second, busydiscovery.Options{ServiceTime: 3 * time.Millisecond}},
		{"14 s, calls of 1 ms", 14 * time.Second, busydiscovery.Options{ServiceTime: time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := startOutageFleet(t, 40, tt.options)
			f.playOutage(tt.silence)
			f.check()
		})
	}
}
