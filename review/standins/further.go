package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// What was found beside the five cases; the report has it.

// stalledFirst: one of six servers stops for six seconds; refunds that lie unread there are repeated by their clients.
func stalledFirst() {
	const refunds = 60
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", r.ties(), "")
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 120*time.Millisecond)
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.signal(r.servers[0], syscall.SIGSTOP)
	}
	began := time.Now()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() {
			q := request{class: "refund-record", key: key(i), timeout: 1400 * time.Millisecond} // a try is given up after 70 to 100% of the 2 s
			if _, status := r.send(q); status != 200 {
				q.retried = true
				r.send(q)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	if r.trouble {
		r.signal(r.servers[0], syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}

// longerWindow: SIGHUP brings a longer window of the keyed class; a refund fails in its pod; the client repeats it within the window.
func longerWindow() {
	const refunds, window = 12, 15 * time.Second
	r := newRig()
	r.startServers(4, 2)
	r.window = window // what the pods do from the start on
	first := 2 * time.Second
	if !r.trouble {
		first = window
	}
	r.writeConfig(coldKeys(settings(first)), r.discovery.text())
	a := r.startAgent("agent", r.ties(), "")
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 250*time.Millisecond)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.writeConfig(coldKeys(settings(window)), r.discovery.text())
		r.signal(a, syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)
	failing := map[string]bool{}
	r.mu.Lock()
	for i := range refunds {
		failing[key(i)] = true
	}
	r.behave = func(c claim) verdict {
		if failing[c.Key] { // it runs, and its answer is an error
			return verdict{"error", 80}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() { r.send(request{class: "refund-record", key: key(i), timeout: 2 * time.Second}) })
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(12300 * time.Millisecond) // within the window, which began with the first attempts
	r.mu.Lock()
	clear(failing)
	r.mu.Unlock()
	for i := range refunds {
		all.Go(func() { r.send(request{class: "refund-record", key: key(i), timeout: 2 * time.Second}) })
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}

// powerLoss: discovery tells that a server drains; the agent loses power; the list is away when it comes back.
func powerLoss() {
	r := newRig()
	r.startServers(3, 2)
	known := r.discovery.text()
	r.writeConfig(settings(2*time.Second), known)
	run := filepath.Join(r.dir, "run")
	must(os.WriteFile(run, []byte("run-1\n"), 0o600))
	own := fmt.Sprintf("[recovery]\ndir = %q\nrun_file = %q\n", filepath.Join(r.dir, "kept"), run) + r.ties() + "sync = true\n"
	a := r.startAgent("agent", own, r.ops)
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	r.discovery.set("s-3", "Terminating")
	time.Sleep(3 * time.Second)
	told := r.discovery.toldAt(42)
	if told.IsZero() {
		must(fmt.Errorf("the agent was not told"))
	}
	r.note("version 42 was told at %.3f", told.Sub(r.began).Seconds())
	if r.trouble {
		stop()
		r.discovery.setSilent(true)
		r.say("discovery is silent")
		r.kill(a)
		must(os.WriteFile(run, []byte("run-2\n"), 0o600))
		time.Sleep(500 * time.Millisecond)
		a = r.startAgent("agent-2", own, r.ops)
		stop = r.traffic(40*time.Millisecond, 200*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
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

// twoSources: a file and the platform's list; the platform tells that a server drains, and is out of reach then.
func twoSources() {
	r := newRig()
	r.startServers(3, 2)
	known := r.discovery.text()
	r.writeConfig(settings(2*time.Second), known)
	file := filepath.Join(r.dir, "servers.json")
	must(os.WriteFile(file, []byte(known), 0o600))
	own := fmt.Sprintf("[membership]\nsources = [\"file\", \"platform\"]\n[membership.file]\npath = %q\n", file)
	a := r.startAgent("agent", own, "")
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 200*time.Millisecond)
	time.Sleep(4 * time.Second)
	r.discovery.set("s-3", "Terminating")
	time.Sleep(3 * time.Second)
	told := r.discovery.toldAt(42)
	if told.IsZero() {
		must(fmt.Errorf("the agent was not told"))
	}
	r.note("version 42 was told at %.3f", told.Sub(r.began).Seconds())
	if r.trouble {
		r.discovery.setSilent(true)
		r.say("discovery is silent")
	}
	time.Sleep(8 * time.Second)
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
