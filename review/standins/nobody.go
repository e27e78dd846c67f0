package main

import (
	"bytes"
	"sync"
	"syscall"
	"time"
)

func init() { cases["no-body"] = noBody }

// noBody: refunds without a body run at a server and are answered by an error, as the other server of the pod has just stopped; it goes on six
// seconds later.
func noBody() {
	const refunds = 60
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(coldKeys(settings(2*time.Second)), r.discovery.text())
	a := r.startAgent("agent", "", "")
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 120*time.Millisecond)
	time.Sleep(5 * time.Second)
	failing := map[string]bool{}
	r.mu.Lock()
	for i := range refunds {
		failing[key(i)] = true
	}
	r.behave = func(c claim) verdict {
		if failing[c.Key] && c.Server == "s-1" { // the first attempt runs, and its answer is an error
			return verdict{"error", 20}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	if r.trouble {
		r.signal(r.servers[1], syscall.SIGSTOP)
	}
	began := time.Now()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() {
			r.send(request{class: "refund-record", key: key(i), timeout: 2 * time.Second, body: bytes.NewReader(nil)})
		})
		time.Sleep(4 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	if r.trouble {
		r.signal(r.servers[1], syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}
