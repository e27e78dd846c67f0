package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const (
	listSoakCycles     = 5
	listSoakLongCycles = 60                     // with APPLELEDGE_LONG=1
	listSoakGrace      = time.Second            // behind the news of a drain, in which its server may still get requests
	listSoakTold       = 700 * time.Millisecond // for the news to reach the agent, before discovery falls silent
)

// listSoak is an agent whose processes come and go while discovery is silent, three servers of which one at a time drains, and clients.
type listSoak struct {
	*installation
	rnd       *rand.Rand
	servers   []*agenttest.Backend
	discovery *agenttest.Discovery // that the agent is configured with
	version   int
	current   *version

	mu       sync.Mutex
	draining int       // index of the server that drains
	since    time.Time // when it was listed
	sent     int
	broken   []string
}

// note is a server's part of a request.
func (s *listSoak) note(server int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if late := at.Sub(s.since); server == s.draining && late > listSoakGrace {
		s.broken = append(s.broken, fmt.Sprintf("server %d got a request %v behind its drain", server, late.Round(time.Millisecond)))
	}
}

// entries lists the servers.
func (s *listSoak) entries() (entries []string) {
	for i, b := range s.servers {
		state := "Ready"
		if i == s.draining {
			state = "Terminating"
		}
		entries = append(entries, agenttest.EntryText(fmt.Sprint("s-", i), b.Addr().String(), state, 0))
	}
	return entries
}

// drainAnother lists another server as draining, and the one before as ready again.
func (s *listSoak) drainAnother() {
	s.mu.Lock()
	s.draining, s.since = (s.draining+1+s.rnd.IntN(2))%len(s.servers), time.Now()
	s.mu.Unlock()
	s.version++
	s.discovery.Set(s.version, true, s.entries()...)
}

// moveDiscovery gives the process another discovery, which counts from a lower version, by SIGHUP.
func (s *listSoak) moveDiscovery() {
	before := s.discovery
	s.version = 1 + s.rnd.IntN(3)
	s.discovery = agenttest.NewDiscovery(s.t, s.version, s.entries()...)
	s.reload(s.current, s.discovery.Addr().String())
	time.Sleep(listSoakTold)
	before.Silence(true)
}

func (s *listSoak) startNext() *version { return s.start(s.discovery.Addr().String()) }

// replace replaces the process in one of several ways.
func (s *listSoak) replace() (how string) {
	old := s.current
	switch s.rnd.IntN(5) {
	case 0:
		s.current = s.ready(s.startNext())
		s.retire(old)
		return "upgraded"
	case 1:
		s.current = s.startNext()
		s.kill(old)
		s.ready(s.current)
		return "killed before the yes of the next"
	case 2:
		s.kill(old)
		s.listen = ""
		s.current = s.ready(s.startNext())
		return "killed before the next was started"
	case 3:
		s.retire(old)
		s.listen = ""
		s.current = s.ready(s.startNext())
		return "ended before the next was started"
	}
	between := s.startNext()
	s.current = s.startNext()
	s.kill(between)
	s.ready(s.current)
	s.retire(old)
	return "upgraded beside a third one that was killed"
}

// Failure: processes of an agent forgot what one of them had been told. Again and again a server drains, discovery falls silent, and the process is replaced
// in one of many ways, also behind another discovery: the server gets nothing until discovery is back.
func TestSoakOfListsOverReplacedProcesses(t *testing.T) {
	t.Parallel()
	cycles, seed := listSoakCycles, uint64(82)
	if os.Getenv("APPLELEDGE_LONG") != "" {
		cycles = listSoakLongCycles
	}
	s := &listSoak{installation: &installation{t: t, dir: t.TempDir()}, rnd: rand.New(rand.NewPCG(seed, seed)), version: 1, draining: -1}
	for i := range 3 {
		s.servers = append(s.servers, agenttest.NewStampedBackend(t, func(c *agenttest.StampedConn, _ *http.Request) bool {
			s.note(i, c.Arrived())
			_, err := c.Write([]byte(agenttest.Served))
			return err == nil
		}))
	}
	s.discovery = agenttest.NewDiscovery(t, s.version, s.entries()...)
	known := agenttest.ListText(s.version, true, s.entries()...)
	s.config = func(discovery string) []byte { return agenttest.ConfigText(discovery, known) }
	s.current = s.ready(s.startNext())
	for range cycles {
		s.drainAnother()
		time.Sleep(listSoakTold)
		how := ""
		if s.rnd.IntN(3) == 0 {
			s.moveDiscovery()
			how = "moved, and "
		}
		s.discovery.Silence(true)
		how += s.replace()
		s.askFor(time.Second)
		s.mu.Lock()
		if len(s.broken) > 0 {
			t.Errorf("%s: %d requests, the first: %s", how, len(s.broken), s.broken[0])
		}
		s.broken = nil
		s.mu.Unlock()
		s.discovery.Silence(false)
	}
	besteffort.Ignore(s.current.Process.Kill())
	if s.sent < 50*cycles {
		t.Errorf("%d requests reached a server", s.sent)
	}
}
