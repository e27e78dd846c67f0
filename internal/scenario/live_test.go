package scenario

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/emulator"
	"appleledge/internal/settings"
)

// program builds the agent.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "appleledge")
	if out, err := exec.Command("go", "build", "-o", path, "../../cmd/appleledge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// A day on sockets, with real agents: a hang, a deploy, resets, a list that is away, and a killed agent. The rules are
// kept, and most is served.
func TestLiveDay(t *testing.T) {
	s := script(t, `length = "6s"
[fleet]
servers = 6
agents = 2
[clients]
rate = 60
retry = true
[[event]]
do = "hang"
at = "1s"
for = "1s"
servers = ["s-02"]
[[event]]
do = "reset"
at = "1s"
for = "2s"
share = 0.3
to = 0.2
[[event]]
do = "rolling_deploy"
at = "1500ms"
over = "1s"
share = 0.4
batch = 0.2
[[event]]
do = "list_outage"
at = "3s"
for = "500ms"
[[event]]
do = "agent_kill"
at = "4s"
agent = 2
`)
	d, err := LiveRunner{Script: s, Seed: 3, AgentProgram: program(t), Out: io.Discard}.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if d.ViolationCount != 0 {
		t.Errorf("%v", d.Violations)
	}
	asked, inTime := 0, 0
	for _, c := range d.Classes {
		asked, inTime = asked+c.Offered, inTime+c.InTime
	}
	if asked < 200 || inTime < asked/2 { // a noisy machine may be late, but not for most
		t.Errorf("%d of %d in time: %+v", inTime, asked, d.Classes)
	}
	if len(d.Events) != 5 || len(d.Servers) < 8 {
		t.Errorf("%d events, %d servers", len(d.Events), len(d.Servers))
	}
}

// writer is told what is written.
type writer func(p []byte)

func (w writer) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}

// Ctrl-C ends a day in order, with the report of what ran; an agent that can't start is said plainly.
func TestLiveDayEndsEarly(t *testing.T) {
	s := script(t, "length = \"1h\"\n[fleet]\nservers = 3\nagents = 1\n[clients]\nrate = 20.0\n")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := sync.OnceFunc(func() { time.AfterFunc(2*time.Second, stop) }) // processes may be slow to start
	d, err := LiveRunner{Script: s, Seed: 1, AgentProgram: program(t), Out: writer(func(p []byte) { began() })}.Run(ctx)
	if err != nil || len(d.Classes) != 2 || d.Classes[0].Offered == 0 || d.ViolationCount != 0 {
		t.Errorf("%v: %+v %v", err, d.Classes, d.Violations)
	}
	if _, err := (LiveRunner{Script: s, AgentProgram: "/no/such/program", Out: io.Discard}).Run(context.Background()); err == nil ||
		!strings.Contains(err.Error(), "/no/such/program") {
		t.Errorf("%v", err)
	}
}

// A server that drains and that no request ever reached is not blamed for one: the zero time is 292 years before any drain, which wraps round.
func TestServerWithoutRequestsIsNotLateInADrain(t *testing.T) {
	model := emulator.NewServer("s", emulator.Spec{Cores: 1, Speed: 1, Slots: 1}, emulator.NewPod(0, time.Second, emulator.NewLedger()), 1, 0, true)
	f, err := emulator.Listen("s", model, classes, 0, time.Now(), emulator.ListenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	s := &liveServer{formServer: f, run: &liveRun{epoch: time.Now()}, drainListedAt: 3 * time.Second}
	if after, tooLate := s.arrivedAfterDrain(); tooLate {
		t.Errorf("a request %v after the drain", after)
	}
}

// A script's confirmed_only reaches the agents on sockets, too: in their own settings.
func TestConfirmedOnlyIsInTheAgentsSettings(t *testing.T) {
	l, a := &liveRun{dir: t.TempDir()}, &liveAgent{}
	l.script.Agents.ConfirmedRepeats = true
	if err := l.writeAgentSettings(a); err != nil {
		t.Fatal(err)
	}
	if len(a.flags) != 2 {
		t.Fatalf("the agent's flags are %q", a.flags)
	}
	if set, err := settings.Load(a.flags[1]); err != nil || set.Repeats == nil || !set.Repeats.ConfirmedOnly {
		t.Errorf("%+v, %v", set.Repeats, err)
	}
}
