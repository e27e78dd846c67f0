package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["kept-drain"] = keptDrain }

// keptDrain: discovery tells that a server drains, which [recovery] writes to the disk at once; discovery falls silent; the agent is killed and
// started again. With TROUBLE=0 discovery answers all the time.
func keptDrain() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	own := fmt.Sprintf("[recovery]\ndir = %q\n", filepath.Join(r.dir, "kept"))
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	r.discovery.set("s-3", "Terminating")
	time.Sleep(4 * time.Second)
	told := r.discovery.toldAt(42)
	if told.IsZero() {
		must(fmt.Errorf("the agent was not told"))
	}
	r.say("version 42, in which s-3 drains, was told to the agent at %.3f", told.Sub(r.began).Seconds())
	text, err := os.ReadFile(filepath.Join(r.dir, "kept", "knowledge"))
	must(err)
	r.note("what the agent has kept: %s", text)
	if r.trouble {
		r.discovery.setSilent(true)
		r.say("discovery is silent")
	}
	r.kill(a)
	a = r.startAgent("agent-2", own, r.ops)
	r.awaitReady(a)
	time.Sleep(6 * time.Second)
	end := time.Now()
	r.discovery.setSilent(false)
	time.Sleep(time.Second)
	stop()
	late := r.arrivedAt("s-3", told.Add(550*time.Millisecond), end)
	for _, l := range late {
		r.note("to the draining s-3 at %.3f: %s id=%s key=%s", l.at.Sub(r.began).Seconds(), l.Class, l.ID, l.Key)
	}
	r.say("%d requests were sent to a server that the agent had been told drains", len(late))
	r.end(len(late) > 0)
}
