package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["upgrade-kill"] = upgradeKill }

// upgradeKill: a new version runs beside the old one and has said yes; the old one is killed while refunds are under way, and clients repeat
// at once what it held. With TROUBLE=0 there is no new version beside it: it is killed and started again. Each is played three times in a row.
func upgradeKill() {
	const rounds, refunds = 3, 40
	r := newRig()
	r.startServers(4, 2)
	r.writeConfig(coldKeys(settings(2*time.Second)), r.discovery.text())
	own := r.ties()
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 120*time.Millisecond)
	r.mu.Lock()
	r.behave = func(c claim) verdict {
		if c.Key != "" {
			return verdict{"ok", 300}
		}
		return verdict{"ok", 40}
	}
	r.mu.Unlock()
	for round := range rounds {
		time.Sleep(4 * time.Second)
		a = r.killWhileRefundsRun(a, own, fmt.Sprintf("agent-%d", round+2), round*refunds, refunds)
	}
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(rounds * refunds)
	r.say("%d of %d refunds ran twice", double, rounds*refunds)
	r.end(double > 0)
}

// killWhileRefundsRun sends refunds, the first of which has that number, on connections that the process holds already, and kills it behind the last.
// The clients repeat what had no answer. It returns the process that serves from then on.
func (r *rig) killWhileRefundsRun(old *process, own, name string, first, refunds int) (next *process) {
	clients := make([]*http.Client, refunds) // each with a kept connection
	for i := range clients {
		clients[i] = newClient()
		r.sendBy(clients[i], request{class: "form-check", timeout: 2 * time.Second})
	}
	if r.trouble {
		ops := freeAddr()
		next = r.startAgent(name, own, ops)
		r.awaitYes(ops)
		r.say("%s has said yes", name)
		time.Sleep(500 * time.Millisecond)
	}
	var all sync.WaitGroup
	isBack := make(chan struct{})
	for i := range refunds {
		all.Go(func() {
			q := request{class: "refund-record", key: key(first + i), timeout: 2 * time.Second}
			if _, status, _ := r.sendBy(clients[i], q); status != 0 {
				return
			}
			<-isBack // the process was killed: the client is left to repeat what it held
			q.retried = true
			r.sendBy(newClient(), q)
		})
		time.Sleep(5 * time.Millisecond)
	}
	r.kill(old)
	if !r.trouble {
		next = r.startAgent(name, own, r.ops)
		r.awaitReady(next)
	}
	close(isBack)
	all.Wait()
	return next
}
