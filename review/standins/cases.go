package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// key is the n-th idempotency key of a case's own refunds.
func key(n int) string { return fmt.Sprintf("%032x", 0x5c0f6e1a00000000+n) }

// ties makes the folder of [affinity] and returns the section.
func (r *rig) ties() string {
	dir := filepath.Join(r.dir, "ties")
	must(os.MkdirAll(dir, 0o700))
	return fmt.Sprintf("[affinity]\ndir = %q\n", dir)
}

// countDouble counts the keys whose effect was made more than once, and writes them down.
func (r *rig) countDouble(keys int) (double int) {
	for i := range keys {
		runs := r.executions(key(i))
		if len(runs) < 2 {
			continue
		}
		double++
		text := ""
		for _, a := range runs {
			text += fmt.Sprintf("; at %.3f in pod %d by %s id=%s", a.at.Sub(r.began).Seconds(), a.Pod, a.Server, a.ID)
		}
		r.say("key %s ran %d times%s", key(i), len(runs), text)
	}
	return double
}

// withOnce adds a class that is unsafe to repeat, which states neither Group nor WindowNs: those are for keyed classes.
func withOnce(s map[string]any) map[string]any {
	s["Classes"] = append(s["Classes"].([]any), map[string]any{"Name": "desk-close", "Effect": "once", "AimNs": 600000000, "DeadlineNs": 2000000000, "Worth": 1.0})
	return s
}

// missingKey: SIGHUP brings a file in which refund-record has no Group; the first attempts of refunds run and are answered by an error.
func missingKey() {
	const refunds = 12
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(coldKeys(withOnce(settings(2*time.Second))), r.discovery.text())
	a := r.startAgent("agent", "", "")
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 60*time.Millisecond)
	time.Sleep(4 * time.Second)
	if r.trouble {
		s := coldKeys(withOnce(settings(2 * time.Second)))
		delete(s["Classes"].([]any)[1].(map[string]any), "Group")
		r.writeConfig(s, r.discovery.text())
		r.signal(a, syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)
	failing := map[string]bool{}
	r.mu.Lock()
	for i := range refunds {
		failing[key(i)] = true
	}
	r.behave = func(c claim) verdict {
		if failing[c.Key] {
			delete(failing, c.Key) // the first attempt runs, and its answer is an error
			return verdict{"error", 80}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() { r.send(request{class: "refund-record", key: key(i), timeout: 2 * time.Second}) })
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}

// zoned are settings with these zones, in each of which servers drop each other's repeats.
func zoned(zones ...string) map[string]any {
	s := coldKeys(settings(2 * time.Second))
	s["Zones"] = zones
	s["Classes"].([]any)[1].(map[string]any)["Group"] = "zone"
	return s
}

// newZones: SIGHUP brings two more zones, and discovery lists servers there; the first attempts of refunds run and are answered by an error.
func newZones() {
	const refunds = 16
	r := newRig()
	r.startServers(3, 2)
	names := []string{"edinburgh-dc", "glasgow-dc", "aberdeen-dc"}
	for i := range r.entries {
		r.entries[i].Zone = names[i/2]
	}
	r.discovery = newDiscovery(41, r.entries[:2])
	first := zoned(names[0])
	if !r.trouble {
		first = zoned(names...)
	}
	r.writeConfig(first, r.discovery.text())
	a := r.startAgent("agent", "", "")
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 60*time.Millisecond)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.writeConfig(zoned(names...), r.discovery.text())
		r.signal(a, syscall.SIGHUP)
		time.Sleep(time.Second)
	}
	r.discovery.add(r.entries[2:]...)
	time.Sleep(3 * time.Second)
	failing := map[string]bool{}
	r.mu.Lock()
	for i := range refunds {
		failing[key(i)] = true
	}
	r.behave = func(c claim) verdict {
		if failing[c.Key] {
			delete(failing, c.Key) // the first attempt runs, and its answer is an error
			return verdict{"error", 80}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() { r.send(request{class: "refund-record", key: key(i), timeout: 2 * time.Second}) })
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}

// slowReader is a body that comes at an even rate.
type slowReader struct {
	left, rate int64
	began      time.Time
	sent       int64
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if s.began.IsZero() {
		s.began = time.Now()
	}
	n := min(int64(len(p)), s.left, 8<<10)
	for i := range p[:n] {
		p[i] = 'x'
	}
	s.left, s.sent = s.left-n, s.sent+n
	time.Sleep(time.Until(s.began.Add(time.Duration(float64(s.sent) / float64(s.rate) * float64(time.Second)))))
	return int(n), nil
}

// slowUpload: refunds with long bodies come from slow clients; the agent is killed while servers work on them; the clients repeat them.
func slowUpload() {
	const refunds, length = 8, 900 << 10
	r := newRig()
	r.startServers(4, 2)
	r.writeConfig(coldKeys(settings(2*time.Second)), r.discovery.text())
	a := r.startAgent("agent", r.ties(), r.ops)
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 250*time.Millisecond)
	time.Sleep(3 * time.Second)
	r.mu.Lock()
	came, allCame := 0, make(chan struct{})
	r.behave = func(c claim) verdict {
		if c.Key < key(0) || c.Key >= key(refunds) {
			return verdict{"ok", 80}
		}
		if came++; came == refunds {
			close(allCame)
		}
		return verdict{"ok", 600}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	restarted := make(chan struct{})
	for i := range refunds {
		all.Go(func() {
			q := request{class: "refund-record", key: key(i), timeout: 2 * time.Second, body: &slowReader{left: length, rate: 64_000}, length: length}
			if _, status := r.send(q); status != 0 {
				return
			}
			<-restarted // the agent was killed: the client is left to repeat what it held
			q.body, q.retried = &slowReader{left: length, rate: 4_000_000}, true
			r.send(q)
		})
	}
	select {
	case <-allCame:
	case <-time.After(30 * time.Second):
		must(fmt.Errorf("the bodies did not come through"))
	}
	if r.trouble {
		time.Sleep(100 * time.Millisecond)
		r.kill(a)
		a = r.startAgent("agent-2", r.ties(), r.ops)
		r.awaitReady(a)
		close(restarted)
	}
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}

// coldKeys are settings of a site whose servers do not work less for a key that they have met, so that keys do not draw requests to one server.
func coldKeys(s map[string]any) map[string]any {
	s["Domain"] = map[string]any{"WarmKeys": false}
	return s
}

// compacted: an operator compacts the folder of [affinity] beside a running agent whose run_file is its own; the agent is killed later and clients
// repeat what it held.
func compacted() {
	const refunds = 12
	r := newRig()
	r.startServers(4, 2)
	r.writeConfig(coldKeys(settings(2*time.Second)), r.discovery.text())
	run := filepath.Join(r.dir, "run")
	must(os.WriteFile(run, []byte("run-1\n"), 0o600))
	own := r.ties() + fmt.Sprintf("sync = true\n[recovery]\ndir = %q\nrun_file = %q\n", filepath.Join(r.dir, "kept"), run)
	a := r.startAgent("agent", own, "")
	r.awaitReady(a)
	stop := r.traffic(60*time.Millisecond, 120*time.Millisecond)
	time.Sleep(5 * time.Second)
	if r.trouble {
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		out, err := exec.CommandContext(ctx, filepath.Join(r.root, "bin/appleledgectl"), "affinity", "--dir", filepath.Join(r.dir, "ties"), "compact").CombinedOutput()
		must(err)
		r.say("appleledgectl affinity compact: %s", strings.TrimSpace(string(out)))
	}
	time.Sleep(time.Second)
	r.mu.Lock()
	r.behave = func(c claim) verdict {
		if c.Key != "" {
			return verdict{"ok", 500}
		}
		return verdict{"ok", 80}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	restarted := make(chan struct{})
	for i := range refunds {
		all.Go(func() {
			q := request{class: "refund-record", key: key(i), timeout: 2 * time.Second}
			if _, status := r.send(q); status != 0 {
				return
			}
			<-restarted // the agent was killed: the client is left to repeat what it held
			q.retried = true
			r.send(q)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	r.kill(a)
	a = r.startAgent("agent-2", own, "")
	r.awaitReady(a)
	close(restarted)
	all.Wait()
	time.Sleep(time.Second)
	stop()
	double := r.countDouble(refunds)
	r.say("%d of %d refunds ran twice", double, refunds)
	r.end(double > 0)
}
