package main

import (
	"sync"
	"time"
)

func init() { cases["slow-tie"] = slowTie }

// slowTie: refunds with long bodies run and are answered 500, and their clients repeat them 0.4 s later. With the trouble the bodies come at 64 kB a second.
// No other refunds come: the agent looks at its ties only when a refund does.
func slowTie() {
	const refunds, length = 8, 900 << 10
	r := newRig()
	r.startServers(4, 2)
	r.writeConfig(coldKeys(settings(2*time.Second)), r.discovery.text())
	a := r.startAgent("agent", r.ties(), r.ops)
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 0)
	time.Sleep(3 * time.Second)
	rate := int64(64_000)
	if !r.trouble {
		rate = 4_000_000
	}
	r.mu.Lock()
	failed := map[string]bool{}
	r.behave = func(c claim) verdict {
		if c.Key != "" && !failed[c.Key] {
			failed[c.Key] = true
			return verdict{"error", 80}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() {
			q := request{class: "refund-record", key: key(i), timeout: 2 * time.Second, body: &slowReader{left: length, rate: rate}, length: length}
			if _, status := r.send(q); status == 200 {
				return
			}
			time.Sleep(400 * time.Millisecond)
			q.body, q.retried = &slowReader{left: length, rate: 4_000_000}, true
			r.send(q)
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}
