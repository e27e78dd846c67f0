package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeCase }

// isReadyToServe waits until GET /ops/readiness says yes.
func isReadyToServe(operator string, most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if status, _, err := get("http://" + operator + "/ops/readiness"); err == nil && status == 200 {
			return true
		}
	}
	return false
}

// upgradeCase: a server begins to drain, which the agent is told and keeps to. The list goes out of reach for 12 s, and the agent is upgraded
// meanwhile: a second process says yes, and the first is told to end.
func upgradeCase(r *rig) {
	f := r.newFleet()
	a, b, c := f.add("s-a", 1), f.add("s-b", 1), f.add("s-c", 2)
	d := r.newDiscovery(a.entry, b.entry, c.entry)
	cfg := r.newConfig(d, settings(refundClasses(), nil))
	path := r.write("config.json", cfg)
	operators := [2]string{r.freeAddr(), r.freeAddr()}
	old := r.start("old", "", path, cfg.Listen, "", "PROXY_OPERATOR="+operators[0])
	if !isReadyToServe(operators[0], 5*time.Second) {
		r.cannot("the old process is not ready")
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			clients.Go(func() {
				r.ask(cfg.Listen, request{method: "GET", path: fmt.Sprintf("/form-check/%d", i), id: newID(), tenant: refundTenants[i%2], route: fmt.Sprint("k", i%50), timeout: 2 * time.Second})
			})
		}
	})
	defer func() {
		close(stop)
		clients.Wait()
	}()

	time.Sleep(2 * time.Second)
	draining := a.entry
	draining.State = "Terminating"
	d.set(draining)
	listed := time.Now()
	time.Sleep(2 * time.Second)
	if n := len(f.got(func(x attempt) bool { return x.server == "s-a" && x.at.Sub(listed) > 600*time.Millisecond })); n > 0 {
		r.cannot("the old process has sent %d requests to the draining server", n)
	}
	if r.trouble {
		d.setDown(true)
	}
	down := time.Now()
	time.Sleep(500 * time.Millisecond)
	r.startProcess("new", "", path, cfg.Listen, "", "PROXY_OPERATOR="+operators[1])
	if !isReadyToServe(operators[1], 6*time.Second) {
		r.cannot("the new process does not say yes within 6 s")
	}
	yes := time.Now()
	r.note("the new process says yes")
	old.signal(syscall.SIGTERM)
	time.Sleep(12*time.Second - time.Since(down))
	if r.trouble {
		d.setDown(false)
	}
	back := time.Now()
	time.Sleep(1500 * time.Millisecond)

	// The page counts news as told 2 s after the yes; 0.5 s of grace and 50 ms of slack come on top.
	from := yes.Add(2550 * time.Millisecond)
	late := f.got(func(x attempt) bool { return x.server == "s-a" && x.at.After(from) && x.at.Before(back) })
	all := f.got(func(x attempt) bool { return x.at.After(from) && x.at.Before(back) })
	r.note("%d of %d attempts went to the draining server from 2.55 s behind the yes on", len(late), len(all))
	if len(late) > 0 {
		r.breaks("%d of %d attempts went to s-a, of which the agent had been told %v before the yes that it drains; the first %v behind the yes", len(late), len(all),
			yes.Sub(listed).Round(100*time.Millisecond), late[0].at.Sub(yes).Round(10*time.Millisecond))
	}
}
