package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"appleledge/internal/besteffort"
	"appleledge/internal/harness/loopback"
)

// liveAgent is an agent in a process of its own.
type liveAgent struct {
	number       int
	flags        []string
	machineBoots int            // of the emulated machine
	listener     *loopback.Host // held from the first start to the end of the run
	addr         string
	client       *http.Client

	mu           sync.Mutex
	cmd          *exec.Cmd
	incarnation  agentIncarnation
	drained      int  // number of the latest incarnation that was told to end, in time to answer all that it takes
	dialsRefused bool // until the next start
}

// errNoNewConnections says that a client makes no new connection to an agent that it knows to drain.
var errNoNewConnections = errors.New("no new connections are made")

// dial connects to the agent, unless its clients make no new connections.
func (a *liveAgent) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	a.mu.Lock()
	refused := a.dialsRefused
	a.mu.Unlock()
	if refused {
		return nil, errNoNewConnections
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// refuseDials says that clients make no new connections to this incarnation.
func (a *liveAgent) refuseDials() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialsRefused = true
}

// agentIncarnation tells one start of an agent from the next, and whether the agent accepts requests. Numbers begin with 1.
type agentIncarnation struct {
	number      int
	isAvailable bool
}

// writeAgentSettings writes the agent's own settings file, where the script asks for any.
func (l *liveRun) writeAgentSettings(a *liveAgent) error {
	own := map[string]any{}
	if len(l.script.Agents.CoalescedClasses) > 0 {
		own["join"] = map[string]any{"classes": l.script.Agents.CoalescedClasses}
	}
	if l.script.Agents.ConfirmedRepeats || l.script.Agents.AllowUnconfirmedRepeats {
		own["repeats"] = map[string]any{"confirmed_only": l.script.Agents.ConfirmedRepeats}
	}
	switch l.script.Agents.Admission {
	case "":
	case "storm":
		own["storm"] = map[string]any{}
	case fleetAdmission:
		own["overload"] = map[string]any{}
	default:
		return fmt.Errorf("the door %q is for simulated time alone: agents on sockets have \"storm\", \"fleet\" or none", l.script.Agents.Admission)
	}
	if l.script.Agents.Recovery {
		dir := filepath.Join(l.dir, a.fileName("kept"))
		own["recovery"] = map[string]any{"dir": dir, "run_file": l.runFile(a)}
		ties := filepath.Join(l.dir, a.fileName("ties"))
		if err := os.Mkdir(ties, 0o700); err != nil {
			return err
		}
		own["affinity"] = map[string]any{"dir": ties, "sync": true}
		if err := l.nextMachineBoot(a); err != nil {
			return err
		}
	}
	if l.script.Agents.Gossip || l.script.Agents.Admission == fleetAdmission {
		var all []string
		for i := range l.script.Fleet.Agents {
			at, err := l.listener(fmt.Sprint("agent-", i))
			if err != nil {
				return err
			}
			all = append(all, at.Addr())
		}
		key := filepath.Join(l.dir, "key")
		if err := os.WriteFile(key, []byte(strings.Repeat("5e", 32)+"\n"), 0o600); err != nil { // the agents of a run talk only to each other
			return err
		}
		own["peers"] = map[string]any{"listen": all[a.number], "members": all, "key_file": key}
	}
	if len(own) == 0 {
		return nil
	}
	text, err := toml.Marshal(own)
	if err != nil {
		return fmt.Errorf("the agents' own settings: %w", err)
	}
	path := filepath.Join(l.dir, a.fileName("own.toml"))
	a.flags = []string{"-settings", path}
	return os.WriteFile(path, text, 0o600)
}

// fileName returns the name of one of the agent's files, by its extension.
func (a *liveAgent) fileName(of string) string { return fmt.Sprintf("agent-%d.%s", a.number, of) }

// runFile returns the path of the file that identifies the boot of the agent's machine.
func (l *liveRun) runFile(a *liveAgent) string { return filepath.Join(l.dir, a.fileName("run")) }

// nextMachineBoot writes the identity of a new boot of the agent's machine.
func (l *liveRun) nextMachineBoot(a *liveAgent) error {
	a.machineBoots++
	return os.WriteFile(l.runFile(a), fmt.Appendf(nil, "run-%d\n", a.machineBoots), 0o600)
}

// killAgent implements environment.
func (l *liveRun) killAgent(number int, down time.Duration, power bool) {
	l.agents[number].stop(syscall.SIGKILL)
	if power {
		besteffort.Ignore(l.nextMachineBoot(l.agents[number]))
	}
	l.startAgainAfter(l.agents[number], down)
}

// restartAgent implements environment. Clients go on for drainNoticeTime; the agent has to answer what it accepts until then, and
// its incarnation ends with the process.
func (l *liveRun) restartAgent(number int) {
	a := l.agents[number]
	if l.script.Agents.KilledEarly {
		l.restartWithEarlyKill(a)
		return
	}
	a.signal(syscall.SIGTERM)
	l.scheduleAfter(drainNoticeTime, a.markUnavailable)
	l.scheduleAfter(drainNoticeTime+deadline+answerTolerance, func() {
		a.stop(syscall.SIGTERM)
		l.startAgainAfter(a, agentDowntime)
	})
}

// restartWithEarlyKill ends an agent by SIGTERM, and kills it at the earliest time that the platform allows. Until then clients use
// the connections that are open, and make none behind drainNoticeTime.
func (l *liveRun) restartWithEarlyKill(a *liveAgent) {
	a.signal(syscall.SIGTERM)
	a.markDrained()
	l.scheduleAfter(drainNoticeTime, a.refuseDials)
	l.scheduleAfter(deadline+killMargin, func() {
		a.stop(syscall.SIGKILL)
		l.startAgainAfter(a, agentDowntime)
	})
}

// pauseAgent implements environment.
func (l *liveRun) pauseAgent(number int, lasts time.Duration) {
	a := l.agents[number]
	a.signal(syscall.SIGSTOP)
	l.scheduleAfter(lasts, func() { a.signal(syscall.SIGCONT) })
}

// reloadAgent implements environment.
func (l *liveRun) reloadAgent(number int) { l.agents[number].signal(syscall.SIGHUP) }

// startAgainAfter starts an agent again after the delay.
func (l *liveRun) startAgainAfter(a *liveAgent, down time.Duration) {
	l.scheduleAfter(down, func() {
		if err := l.startProcess(a); err != nil {
			l.report.Notes = append(l.report.Notes, err.Error())
			return
		}
		started := l.elapsed()
		l.inFlight.Go(func() {
			if waitReady(a.addr) == nil {
				a.markAvailable()
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.report.AgentStarts = append(l.report.AgentStarts, l.elapsed()-started)
		})
	})
}

// startAgent starts an agent and waits until it is ready.
func (l *liveRun) startAgent(number int, seed uint64) error {
	place, err := loopback.Hold()
	if err != nil {
		return err
	}
	text, err := configuration(l.discovery.Addr, place.Addr(), number, seed, l.script.Fleet)
	if err != nil {
		place.Close()
		return err
	}
	a := &liveAgent{number: number, listener: place, addr: place.Addr(), incarnation: agentIncarnation{number: 1}}
	a.client = &http.Client{Timeout: deadline + answerTolerance,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Second, DialContext: a.dial}}
	l.agents = append(l.agents, a)
	if err := l.writeAgentSettings(a); err != nil {
		return err
	}
	if err := os.WriteFile(l.configFile(a), text, 0o600); err != nil {
		return err
	}
	if err := l.startProcess(a); err != nil {
		return err
	}
	if err := waitReady(a.addr); err != nil {
		return fmt.Errorf("%w; its log ends with %q", err, l.lastLine(a))
	}
	a.markAvailable()
	return nil
}

// logFile returns the path of an agent's log.
func (l *liveRun) logFile(a *liveAgent) string { return filepath.Join(l.dir, a.fileName("log")) }

// lastLine returns the last line of an agent's log.
func (l *liveRun) lastLine(a *liveAgent) string {
	text, err := os.ReadFile(l.logFile(a))
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// configFile returns the path of an agent's configuration.
func (l *liveRun) configFile(a *liveAgent) string {
	return filepath.Join(l.dir, fmt.Sprintf("agent-%d.json", a.number))
}

// startProcess starts an agent's process. Its log is appended to the one of earlier incarnations.
func (l *liveRun) startProcess(a *liveAgent) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cmd := exec.Command(l.program, a.flags...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+l.configFile(a))
	log, err := os.OpenFile(l.logFile(a), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer besteffort.Close(log)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %d: %w", a.number+1, err)
	}
	a.cmd, a.dialsRefused = cmd, false
	return nil
}

// signal sends a signal to the agent's process, if it runs.
func (a *liveAgent) signal(s os.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd != nil {
		besteffort.Ignore(a.cmd.Process.Signal(s))
	}
}

// markUnavailable says that clients send nothing more to this incarnation.
func (a *liveAgent) markUnavailable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation.isAvailable = false
}

// markDrained says that this incarnation was told to end, in time to answer all that it takes.
func (a *liveAgent) markDrained() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained = a.incarnation.number
}

// owesAnswers reports whether what an incarnation took was still owed an answer: it runs, or was told to end in time.
func (a *liveAgent) owesAnswers(taker agentIncarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return taker.isAvailable && (taker.number == a.incarnation.number || taker.number == a.drained)
}

// stop ends the agent's process by the signal, or by SIGKILL after agentStopTimeout, and waits for it.
func (a *liveAgent) stop(s os.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = agentIncarnation{number: a.incarnation.number + 1}
	if a.cmd == nil {
		return
	}
	besteffort.Ignore(a.cmd.Process.Signal(s))
	force := time.AfterFunc(agentStopTimeout, func() { besteffort.Ignore(a.cmd.Process.Kill()) })
	besteffort.Ignore(a.cmd.Wait())
	force.Stop()
	a.cmd = nil
}

// markAvailable says that the agent accepts requests.
func (a *liveAgent) markAvailable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation.isAvailable = true
}

// currentIncarnation returns the agent's incarnation now.
func (a *liveAgent) currentIncarnation() agentIncarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// waitReady polls an agent's /ready until it answers 200. It fails after agentStartTimeout.
func waitReady(addr string) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for until := time.Now().Add(agentStartTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/ready"); err == nil {
			besteffort.Close(resp.Body)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("the agent at %s was not ready within %v", addr, agentStartTimeout)
}
