package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["dropped-class"] = droppedClass
	cases["dropped-join"] = droppedJoin
	cases["upgrade-processor"] = upgradeProcessor
}

// droppedClass: an operator applies a configuration with a limit for a class, and later one without; then the platform drops the class with SIGHUP,
// and the agent is killed and started again. With TROUBLE=0 the platform does not drop the class.
func droppedClass() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(withScan(settings(2*time.Second)), r.discovery.text())
	socket := filepath.Join(r.dir, "admin.sock")
	own := fmt.Sprintf("[generations]\nsocket = %q\nstate = %q\n", socket, filepath.Join(r.dir, "generations"))
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	stop := r.traffic(50*time.Millisecond, 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	folder := filepath.Join(r.dir, "fleet")
	must(os.MkdirAll(folder, 0o700))
	for _, text := range []string{"limit \"scans\" {\n  class     = \"form-scan\"\n  in_flight = 50\n}\n", "limit \"checks\" {\n  class     = \"form-check\"\n  in_flight = 200\n}\n"} {
		must(os.WriteFile(filepath.Join(folder, "limits.hcl"), []byte(text+"\nwatch {\n  for = \"2s\"\n}\n"), 0o600))
		plan := filepath.Join(r.dir, "change.plan")
		r.control(socket, "plan", folder, "-o", plan)
		r.control(socket, "apply", plan, "--auto-approve", "--why", "limits of a day")
		time.Sleep(4 * time.Second)
	}
	r.control(socket, "show")
	r.control(socket, "status")
	if r.trouble {
		r.writeConfig(settings(2*time.Second), r.discovery.text())
		r.signal(a, syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second)
	stop()
	r.kill(a)
	r.judgeStart(own)
}

// judgeStart starts the agent again and ends the run: broken if the process ends by itself or is not ready within 30 s.
func (r *rig) judgeStart(own string) {
	a := r.startAgent("agent-2", own, r.ops)
	ready, began := false, time.Now()
	for time.Since(began) < 31*time.Second && !ready {
		select {
		case <-a.done:
			r.say("the agent has ended by itself %.2f s after its start, with %v", time.Since(began).Seconds(), a.cmd.ProcessState)
			r.end(true)
		case <-time.After(50 * time.Millisecond):
		}
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + r.listen + "/ready")
		if err == nil {
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
	}
	r.say("the agent is ready: %v, %.2f s after its start", ready, time.Since(began).Seconds())
	r.end(!ready)
}

// control calls appleledgectl at an agent.
func (r *rig) control(socket string, args ...string) {
	cmd := exec.Command(filepath.Join(r.root, "bin/appleledgectl"), args...)
	cmd.Env = append(os.Environ(), "APPLELEDGE_SOCKET="+socket)
	out, err := cmd.CombinedOutput()
	r.note("appleledgectl %s: %v\n%s", strings.Join(args, " "), err, out)
	if err != nil {
		must(fmt.Errorf("appleledgectl %s: %w: %s", args[0], err, out))
	}
}

// withScan adds a class to the settings.
func withScan(s map[string]any) map[string]any {
	s["Classes"] = append(s["Classes"].([]any), map[string]any{"Name": "form-scan", "Effect": "repeatable", "Group": "all", "AimNs": 600000000, "DeadlineNs": 2000000000, "WindowNs": 5000000000, "Worth": 1.0})
	return s
}

// droppedJoin: the platform drops a class with SIGHUP that the section [join] names, and the agent is killed and started again.
func droppedJoin() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(withScan(settings(2*time.Second)), r.discovery.text())
	own := "[join]\nclasses = [\"form-check\", \"form-scan\"]\n"
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.writeConfig(settings(2*time.Second), r.discovery.text())
		r.signal(a, syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second)
	r.kill(a)
	r.judgeStart(own)
}

// upgradeProcessor: the agent with the external processor is replaced under load as the operators' page says. With TROUBLE=0 the section is not there.
func upgradeProcessor() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	r.program = "exec bin/appleledge-extproc"
	own := "[affinity]\n"
	if r.trouble {
		own = fmt.Sprintf("[external_processor]\nlisten = %q\n", freeAddr())
	}
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	time.Sleep(3 * time.Second)
	b := r.startAgent("agent-2", own, freeAddr())
	select {
	case <-b.done:
		r.say("the new version has ended by itself, with %v", b.cmd.ProcessState)
		r.end(true)
	case <-time.After(6 * time.Second):
	}
	r.say("the new version runs")
	r.end(false)
}
