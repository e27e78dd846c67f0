package cluster

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleet/gossip"
	"appleledge/internal/harness/loopback"
)

// Environment variables by which a test binary that stands in for the program is told.
const (
	AsProgram = "APPLELEDGE_AS_PROGRAM"
	DiskAt    = "APPLELEDGE_DISK"
	ClockOff  = "APPLELEDGE_CLOCK_OFF"
)

// tiesFor is longer than a disk takes that other work holds up, and shorter than a client waits.
const tiesFor = 1500 * time.Millisecond

// Agent is an agent's machine, with its process.
type Agent struct {
	Number   int
	Addr     string
	Operator string
	fleet    *Fleet
	host     *loopback.Host
	dir      string
	runs     int
	starts   int
	config   string
	cmd      *exec.Cmd // nil: it is down
	ended    chan error
	ClockOff time.Duration // by which the machine's wall clock is ahead, from the next start on
	Log      *agenttest.LockedBuffer
}

// NewKey is a key for agents to know each other by.
func NewKey() (k gossip.Key) {
	rand.Read(k[:])
	return k
}

// Keys writes the agent's file of keys; the first seals.
func (a *Agent) Keys(keys ...gossip.Key) {
	text := ""
	for _, k := range keys {
		text += hex.EncodeToString(k[:]) + "\n"
	}
	a.fleet.must(os.WriteFile(a.keys(), []byte(text), 0o600))
}

func (a *Agent) keys() string { return filepath.Join(a.dir, "key") }

func (a *Agent) disk() string { return filepath.Join(a.dir, "disk") }

// newRun begins another run of the agent's machine.
func (a *Agent) newRun() {
	a.runs++
	a.fleet.must(os.WriteFile(filepath.Join(a.dir, "run"), fmt.Appendf(nil, "run-%d\n", a.runs), 0o600))
}

// Wipe leaves the agent's machine with an empty disk. It must be down.
func (a *Agent) Wipe() { a.fleet.must(os.RemoveAll(a.disk())) }

// Backup keeps a copy of the disk. The agent must be down.
func (a *Agent) Backup() { a.fleet.must(Copy(a.disk(), a.disk()+".backup")) }

// Restore puts the copy that Backup kept in the place of the disk. The agent must be down.
func (a *Agent) Restore() { a.fleet.must(Copy(a.disk()+".backup", a.disk())) }

// configure writes the agent's configuration and its own settings.
func (a *Agent) configure(at string) {
	f := a.fleet
	discovery := f.Discovery.Addr
	if f.Lines != nil {
		var err error
		discovery, err = f.Lines.list(a.Number, discovery)
		f.must(err)
	}
	text := strings.Replace(string(agenttest.ConfigText(discovery, "null")), `"Balancers":2,"Me":0`,
		fmt.Sprintf(`"Balancers":%d,"Me":%d`, f.options.Agents, a.Number), 1)
	a.config = text
	own := fmt.Sprintf("[affinity]\ndir = %q\nsync = true\nbudget = %q\n[recovery]\ndir = %q\nrun_file = %q\nevery = \"300ms\"\n",
		filepath.Join(a.dir, "ties"), cmp.Or(f.options.Ties, tiesFor).String(), filepath.Join(a.dir, "kept"), filepath.Join(a.dir, "run"))
	if f.Net != nil {
		quoted := []string{}
		for _, m := range f.Net.members(a.Number) {
			quoted = append(quoted, strconv.Quote(m))
		}
		own += fmt.Sprintf("[peers]\nlisten = %q\nkey_file = %q\nmembers = [%s]\n", at, a.keys(), strings.Join(quoted, ", "))
	}
	if f.options.Overload != nil && f.options.Overload(a.Number) {
		own += "[overload]\n"
	}
	if f.options.Figures {
		own += "[figures]\nevery = \"1s\"\n"
	}
	f.must(os.WriteFile(filepath.Join(a.dir, "own.toml"), []byte(own), 0o600))
}

// Start starts the agent's process and does not wait.
func (a *Agent) Start() {
	a.fleet.t.Helper()
	a.starts++
	seed := fmt.Sprintf("%016x", (uint64(a.starts)<<32+uint64(a.Number)+a.fleet.options.Seed)*0x9E3779B97F4A7C15) // new with each start
	text := strings.Replace(a.config, `"seed":"8c1f30d27a5be964"`, `"seed":"`+seed+`"`, 1)
	a.fleet.must(os.WriteFile(filepath.Join(a.dir, "config.json"), []byte(text), 0o600))
	turn := a.Number + a.starts - 1 // with two versions: both among the first processes, and the other one at each agent's next start
	a.cmd = exec.Command(Program(turn), "-settings", filepath.Join(a.dir, "own.toml"))
	a.cmd.Env = append(os.Environ(), AsProgram+"=1", DiskAt+"="+a.disk(), ClockOff+"="+a.ClockOff.String(), "TMPDIR="+a.dir, "GOMAXPROCS=1",
		"PROXY_CONFIG="+filepath.Join(a.dir, "config.json"), "PROXY_NAME="+fmt.Sprint("n", a.Number), "PROXY_LISTEN="+a.Addr, "PROXY_OPERATOR="+a.Operator)
	a.cmd.Stderr = a.Log
	a.fleet.must(a.cmd.Start())
	ended := make(chan error, 1)
	a.ended = ended
	go func(cmd *exec.Cmd) { ended <- cmd.Wait() }(a.cmd)
}

// Upgrade starts another process of the agent beside the one that runs, as operators do, waits until it is ready, and then ends the
// old one in order.
func (a *Agent) Upgrade() {
	a.fleet.t.Helper()
	old, ended := a.cmd, a.ended
	a.fleet.t.Cleanup(func() { besteffort.Ignore(old.Process.Kill()) })
	a.Operator = a.host.Port(2 + a.starts) // the old one still answers at its own
	a.Start()
	a.Ready()
	a.fleet.must(old.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		a.fleet.must(err)
	case <-time.After(agenttest.Patience):
		besteffort.Ignore(old.Process.Kill())
		a.fleet.t.Fatalf("the old process of agent %d does not end\n%s", a.Number, a.Log)
	}
}

// Ready waits until the agent has servers to send to.
func (a *Agent) Ready() {
	a.fleet.t.Helper()
	agenttest.Eventually(a.fleet.t, fmt.Sprintf("agent %d is ready", a.Number), func() bool {
		select {
		case err := <-a.ended:
			a.cmd = nil // nobody else is to wait for its end
			a.fleet.t.Fatalf("agent %d has ended: %v\n%s", a.Number, err, a.Log)
		default:
		}
		return a.Call("GET", "/ops/readiness") == http.StatusOK
	})
}

// Keeps waits until what the agent knows is on its disk.
func (a *Agent) Keeps() {
	a.fleet.t.Helper()
	agenttest.Eventually(a.fleet.t, fmt.Sprintf("agent %d keeps what it knows", a.Number), func() bool {
		return strings.Contains(a.Sees(), `"keeping": "written`)
	})
}

// Call is an operator's call.
func (a *Agent) Call(method, path string) int {
	r, err := http.NewRequest(method, "http://"+a.Operator+path, nil)
	a.fleet.must(err)
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	defer besteffort.Close(resp.Body)
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	return resp.StatusCode
}

// Pid is the process' number.
func (a *Agent) Pid() int { return a.cmd.Process.Pid }

// Signal tells the process.
func (a *Agent) Signal(s syscall.Signal) {
	if a.cmd != nil {
		besteffort.Ignore(a.cmd.Process.Signal(s))
	}
}

// Sees is the fleet as the agent sees it, as text.
func (a *Agent) Sees() string {
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + a.Operator + "/ops/fleet")
	if err != nil {
		return err.Error()
	}
	defer besteffort.Close(resp.Body)
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

func (a *Agent) cutOff() { a.Signal(syscall.SIGKILL) }

func (a *Agent) wait() {
	if a.cmd != nil {
		besteffort.Ignore(<-a.ended)
		a.cmd = nil
	}
}

// Kill ends the process at once.
func (a *Agent) Kill() {
	a.cutOff()
	a.wait()
}
