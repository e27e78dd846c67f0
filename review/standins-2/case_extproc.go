package main

import (
	"syscall"
	"time"
)

func init() { cases["extproc"] = extprocCase }

// extprocCase: a new version is started beside the running process of the agent, which is an external processor as well.
func extprocCase(r *rig) {
	f := r.newFleet()
	a, b := f.add("s-a", 1), f.add("s-b", 1)
	d := r.newDiscovery(a.entry, b.entry)
	cfg := r.newConfig(d, settings(refundClasses(), nil))
	path := r.write("config.json", cfg)
	own := r.write("own.toml", "[external_processor]\nlisten = \""+r.freeAddr()+"\"\n")
	operators := [2]string{r.freeAddr(), r.freeAddr()}
	args := "-settings " + own
	first := r.start("old", "appleledge-extproc", path, cfg.Listen, args, "PROXY_OPERATOR="+operators[0])
	isReady := func(operator string, most time.Duration) bool {
		for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			if status, _, err := get("http://" + operator + "/ops/readiness"); err == nil && status == 200 {
				return true
			}
		}
		return false
	}
	if !isReady(operators[0], 5*time.Second) {
		r.cannot("the old process is not ready")
	}
	if !r.trouble { // a planned restart: the old process ends before the new one starts
		first.signal(syscall.SIGTERM)
		first.waitEnd(5 * time.Second)
	}
	second := r.startProcess("new", "appleledge-extproc", path, cfg.Listen, args, "PROXY_OPERATOR="+operators[1])
	switch {
	case isReady(operators[1], 6*time.Second):
		r.note("the new process says yes")
	case second.hasEnded():
		r.breaks("the new process has refused to start: %v", second.cmd.ProcessState)
	default:
		r.breaks("the new process does not say yes within 6 s")
	}
}
