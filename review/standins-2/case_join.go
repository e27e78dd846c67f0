package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["join"] = joinCase }

// joinCase: two clients ask for the same form; the first closes its connection while the attempt under its id is out. That one is answered late,
// as by a server that pauses, so that another is sent.
func joinCase(r *rig) {
	f := r.newFleet()
	f.answer = func(s *server, a attempt, w http.ResponseWriter, req *http.Request) {
		if a.number == 1 && a.path == "/form-check/f1" {
			time.Sleep(900 * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
		s.serve(w, a)
	}
	a, b, c := f.add("s-a", 1), f.add("s-b", 1), f.add("s-c", 2)
	d := r.newDiscovery(a.entry, b.entry, c.entry)
	cfg := r.newConfig(d, settings(refundClasses(), nil))
	own := r.write("own.toml", "[join]\nclasses = [\"form-check\"]\n")
	r.start("agent", "", r.write("config.json", cfg), cfg.Listen, "-settings "+own)
	for range 12 { // usual work before, so that there is a usual latency
		var clients sync.WaitGroup
		for i := range 10 {
			clients.Go(func() {
				r.ask(cfg.Listen, request{method: "GET", path: "/form-check/w" + newID(), id: newID(), tenant: refundTenants[0], route: fmt.Sprint("k", i), timeout: 2 * time.Second})
			})
		}
		clients.Wait()
	}
	first := request{method: "GET", path: "/form-check/f1", id: newID(), tenant: refundTenants[0], route: "f1", timeout: 2 * time.Second}
	second := first
	second.id = newID()
	c1, err := r.send(cfg.Listen, first)
	r.must(err)
	time.Sleep(20 * time.Millisecond)
	c2, err := r.send(cfg.Listen, second)
	r.must(err)
	time.Sleep(80 * time.Millisecond)
	closed := time.Now()
	if r.trouble {
		c1.Close()
		r.note("client of id=%s closes its connection", first.id)
	}
	r.await(c2, second, 3*time.Second)
	if !r.trouble {
		r.await(c1, first, 3*time.Second)
		return
	}
	time.Sleep(300 * time.Millisecond)
	for _, at := range f.got(func(a attempt) bool { return a.id == first.id }) {
		if late := at.at.Sub(closed); late > 150*time.Millisecond {
			r.breaks("attempt %d of id=%s began %v after its client had closed its connection", at.number, first.id, late.Round(time.Millisecond))
		}
	}
}
