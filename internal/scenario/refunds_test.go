package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/balancer"
)

// loadScenario loads a scenario of the repository.
func loadScenario(t *testing.T, file string) Script {
	t.Helper()
	s, err := LoadScript("../../scenarios/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// playsCleanly plays a scenario in simulated time on seeds 1 to 8, and holds it to the rules.
func playsCleanly(t *testing.T, s Script) {
	t.Helper()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			if d := Simulate(s, seed+1); len(d.Violations) > 0 {
				t.Errorf("%d broken, the first %v", d.ViolationCount, d.Violations[0])
			}
		})
	}
}

// Guards against a refund that runs twice because servers, others in each stall, took it when the pod had forgotten the hedge.
func TestRefundsRunOnceWhereServersTakeTurnsToReadLate(t *testing.T) {
	s := loadScenario(t, "21-server-reads-late.toml")
	s.Events[0].Servers, s.Events[0].ServerShare = nil, 0.34
	playsCleanly(t, s)
}

// Guards against a refund that runs twice because a reset made the agent repeat it to a server that stalled just then.
func TestRefundsRunOnceWhereARepeatMeetsAStall(t *testing.T) {
	s := loadScenario(t, "22-resets-while-servers-stall.toml")
	playsCleanly(t, s)
}

// resetsWhileServersStall returns the day on which connections break while servers stall.
func resetsWhileServersStall(t *testing.T) Script {
	t.Helper()
	return loadScenario(t, "22-resets-while-servers-stall.toml")
}

// dedupInWholeFleet returns resetsWhileServersStall in a fleet whose servers all drop each other's repeats.
func dedupInWholeFleet(t *testing.T) Script {
	t.Helper()
	s := resetsWhileServersStall(t)
	s.Fleet.DedupScope = fleetDedupScope
	return s
}

// The scope of a script is that of the pods, of simulated balancers and of the file that agents on sockets read: where they differ, a day proves
// nothing of the scope.
func TestDedupScopeReachesPodsAndAgents(t *testing.T) {
	const refundClass = 1 // its number
	for body, want := range map[string]struct {
		pods  int
		scope balancer.DedupScope
	}{
		"[fleet]\nservers = 6\n":                    {2, balancer.DedupCell},
		"[fleet]\nservers = 6\nscope = \"pod\"\n":   {2, balancer.DedupCell},
		"[fleet]\nservers = 6\nscope = \"fleet\"\n": {1, balancer.DedupFleet},
	} {
		s := script(t, body)
		w := newSimulation(s, 1)
		w.startFleet()
		if simulated := w.balancerSettings().Classes[refundClass].DedupScope; len(w.pods) != want.pods || simulated != want.scope {
			t.Errorf("%q: %d pods, scope %v", body, len(w.pods), simulated)
		}
		if got := loadPlatformFile(t, s.Fleet).Site.Balancer.Classes[refundClass].DedupScope; got != want.scope {
			t.Errorf("%q: agents on sockets have scope %v", body, got)
		}
	}
}

// loadPlatformFile returns what an agent reads from the platform's file for the fleet.
func loadPlatformFile(t *testing.T, fleet FleetSize) agent.Config {
	t.Helper()
	text, err := configuration("127.0.0.1:1", "127.0.0.1:2", 0, 1, fleet)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), configFileName)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := agent.LoadConfig(func(name string) string { return map[string]string{"PROXY_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against a refund that runs twice because the agent rejected it though it may have run, and so told the client that a retry is harmless. The
// client's retry is a new request, which is written at once. A server that has just stalled takes it when the key is forgotten.
func TestRefundsRunOnceWhereClientsRetryWhatIsRejected(t *testing.T) {
	for name, change := range map[string]func(*Script){
		"servers send 100":                         func(*Script) {},
		"servers send no 100":                      func(s *Script) { s.Fleet.OmitsContinue = true },
		"half of the servers stall, all are reset": stallHalfResetAll,
		"a window of 20 s, and stalls longer than it": func(s *Script) {
			s.Fleet.DedupWindow = Span{20 * time.Second, 20 * time.Second}
			s.Events[0].Duration, s.Events[0].Repeat = Span{20 * time.Second, 25 * time.Second}, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := dedupInWholeFleet(t)
			change(&s)
			playsCleanly(t, s)
		})
	}
}

// stallHalfResetAll lets half of the servers stall, and break all connections behind what has run.
func stallHalfResetAll(s *Script) {
	s.Events[0].ServerShare, s.Events[1].ServerShare, s.Events[1].Factor = 0.5, 1, 1
}

// A server sends 100 (Continue) to the head of a repeat, and stalls before it has read the body, which lies there until the key is forgotten. By the trace of each of
// these days the refund that ran twice was not rejected, and its server did not stall when the attempt was made.
func TestRefundsRunOnceWhereAServerStallsBehindItsContinue(t *testing.T) {
	for name, c := range map[string]struct {
		seed uint64
		day  func() Script
	}{
		"whole fleet": {110, func() Script { return dedupInWholeFleet(t) }},
		"whole fleet, fewer stalls": {10, func() Script {
			s := dedupInWholeFleet(t)
			s.Events[0].ServerShare, s.Events[1].Factor = 0.25, 0.3
			return s
		}},
		"pods, half stall, all are reset": {116, func() Script {
			s := resetsWhileServersStall(t)
			s.Events[0].ServerShare, s.Events[1].ServerShare = 0.5, 1
			return s
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if d := Simulate(c.day(), c.seed); len(d.Violations) > 0 {
				t.Errorf("%d broken, the first %v", d.ViolationCount, d.Violations[0])
			}
		})
	}
}

// Guards against a refund that runs twice because a reset made the agent repeat it to a server that stalled just then and sends no 100 (Continue).
func TestRefundsRunOnceWhereARepeatMeetsAStallWithoutContinue(t *testing.T) {
	s := resetsWhileServersStall(t)
	s.Fleet.OmitsContinue = true
	playsCleanly(t, s)
}

// Guards against a refund that runs twice where servers that read late send no 100 (Continue), so that hedges are withheld, or written at once where
// unconfirmed repeats are allowed.
func TestRefundsRunOnceWhereServersReadLateWithoutContinue(t *testing.T) {
	s := loadScenario(t, "21-server-reads-late.toml")
	for _, allowsUnconfirmed := range []bool{false, true} {
		s.Fleet.OmitsContinue, s.Agents.AllowUnconfirmedRepeats = true, allowsUnconfirmed
		playsCleanly(t, s)
	}
}

// Agents that repeat by key only to servers that send 100 (Continue) run no refund twice where none does, and none where all do.
func TestConfirmedRepeatsRunRefundsOnce(t *testing.T) {
	for _, omitsContinue := range []bool{false, true} {
		s := resetsWhileServersStall(t)
		s.Fleet.OmitsContinue, s.Agents.ConfirmedRepeats = omitsContinue, true
		playsCleanly(t, s)
	}
}

// Servers that don't run what was given up before they took it run no refund twice, whenever they stall.
func TestServersThatRejectAbandonedRequestsRunRefundsOnce(t *testing.T) {
	for _, file := range []string{"21-server-reads-late.toml", "22-resets-while-servers-stall.toml"} {
		s := loadScenario(t, file)
		s.Fleet.RejectsAbandoned = true
		playsCleanly(t, s)
	}
}

// The same where pods forget sooner than an agent would wait for a repeat: it gives the repeat up when its window ends. The servers send no
// 100 (Continue) and unconfirmed repeats are allowed, so that repeats are written into stalls.
func TestAbandonedRepeatsRunOnceWithShortWindows(t *testing.T) {
	for _, window := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		s := resetsWhileServersStall(t)
		s.Fleet.RejectsAbandoned, s.Fleet.OmitsContinue, s.Fleet.DedupWindow = true, true, Span{window, window}
		s.Agents.AllowUnconfirmedRepeats = true
		playsCleanly(t, s)
	}
}

// Guards against a refund that runs twice because one server stalled: it took its request when the pod had forgotten the repeat.
func TestRefundsRunOnceWhereAServerReadsLate(t *testing.T) {
	s := loadScenario(t, "21-server-reads-late.toml")
	for seed := range uint64(8) {
		if d := Simulate(s, seed+1); len(d.Violations) > 0 {
			t.Errorf("seed %d: %d broken, the first %v", seed+1, len(d.Violations), d.Violations[0])
		}
	}
}
