package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeOutage }

// upgradeOutage: discovery tells the agent that a server drains, and is out of reach later; meanwhile the program is replaced by a new version. With
// TROUBLE=0 discovery is not out of reach.
func upgradeOutage() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	stop := r.traffic(20*time.Millisecond, 200*time.Millisecond)
	time.Sleep(4 * time.Second)
	r.discovery.set("s-3", "Terminating")
	time.Sleep(3 * time.Second)
	told := r.discovery.toldAt(42)
	if told.IsZero() {
		must(fmt.Errorf("the agent was not told"))
	}
	r.say("version 42, in which s-3 drains, was told to the agent at %.3f", told.Sub(r.began).Seconds())
	before := len(r.arrivedAt("s-3", told.Add(550*time.Millisecond), time.Now()))
	if r.trouble {
		r.discovery.setSilent(true)
		r.say("discovery is silent")
	}
	time.Sleep(time.Second)
	ops2 := freeAddr()
	r.startAgent("agent-2", "", ops2)
	r.awaitYes(ops2)
	r.say("agent-2 has said yes")
	r.signal(a, syscall.SIGTERM)
	time.Sleep(4 * time.Second)
	end := time.Now()
	r.discovery.setSilent(false)
	time.Sleep(time.Second)
	stop()
	late := r.arrivedAt("s-3", told.Add(550*time.Millisecond), end)
	for _, l := range late {
		r.note("to the draining s-3 at %.3f: %s id=%s key=%s", l.at.Sub(r.began).Seconds(), l.Class, l.ID, l.Key)
	}
	r.say("%d requests were sent to a server that the agent had been told drains, %d of them by the old process alone", len(late), before)
	r.end(len(late) > 0)
}
