package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["limit"] = limitCase }

// limitConfig is what the operators apply: at most twelve requests at a time.
const limitConfig = `limit "all" {
  in_flight = 12
  come_back = "200ms"
}

watch {
  for = "1s"
}
`

// ctl runs appleledgectl against the agent's socket.
func (r *rig) ctl(socket string, args ...string) string {
	c := exec.Command(filepath.Join(r.root, "bin", "appleledgectl"), args...)
	c.Env = append(os.Environ(), "APPLELEDGE_SOCKET="+socket)
	out, err := c.CombinedOutput()
	r.note("appleledgectl %s: %s", strings.Join(args, " "), strings.TrimSpace(string(out)))
	if err != nil {
		r.cannot("appleledgectl %v: %v: %s", args, err, out)
	}
	return string(out)
}

// limitCase: form-checks are joined, and operators have applied a limit of twelve requests at a time. Of 4,000 clients that come one after the other,
// 1 in 100 closes their connection before the answer. A few seconds later nobody has an open request, and 24 clients ask again.
func limitCase(r *rig) {
	f := r.newFleet()
	f.answer = func(s *server, a attempt, w http.ResponseWriter, req *http.Request) {
		time.Sleep(50 * time.Millisecond)
		s.serve(w, a)
	}
	a, b := f.add("s-a", 1), f.add("s-b", 1)
	d := r.newDiscovery(a.entry, b.entry)
	cfg := r.newConfig(d, settings(refundClasses(), nil))
	socket := filepath.Join(r.tmp, "admin.sock")
	own := r.write("own.toml", fmt.Sprintf("[join]\nclasses = [\"form-check\"]\n\n[generations]\nsocket = %q\nstate = %q\n", socket, filepath.Join(r.tmp, "generations")))
	r.start("agent", "", r.write("config.json", cfg), cfg.Listen, "-settings "+own)
	folder := filepath.Join(r.tmp, "fleet")
	r.must(os.Mkdir(folder, 0o700))
	r.must(os.WriteFile(filepath.Join(folder, "limit.hcl"), []byte(limitConfig), 0o600))
	plan := filepath.Join(r.tmp, "change.plan")
	r.ctl(socket, "plan", folder, "-o", plan)
	r.ctl(socket, "apply", plan, "--auto-approve", "--why", "ticket 312")
	time.Sleep(3 * time.Second) // the watch of the change ends
	r.ctl(socket, "history")

	var clients sync.WaitGroup
	first := time.Now()
	for i := range 4000 {
		time.Sleep(time.Until(first.Add(time.Duration(i) * 10 * time.Millisecond)))
		q := request{method: "GET", path: fmt.Sprintf("/form-check/%d", i), id: newID(), tenant: refundTenants[i%2], route: fmt.Sprint("k", i), timeout: 2 * time.Second}
		leaves := r.trouble && i%100 == 57
		clients.Go(func() {
			if !leaves {
				r.ask(cfg.Listen, q)
				return
			}
			c, err := r.send(cfg.Listen, q)
			if err != nil {
				return
			}
			time.Sleep(25 * time.Millisecond)
			c.Close()
			r.note("client of id=%s closes its connection", q.id)
		})
	}
	clients.Wait()
	r.note("no client has an open request any more")
	time.Sleep(4 * time.Second) // longer than the longest deadline

	refused, others, began := 0, 0, time.Now()
	for i := range 24 {
		q := request{method: "GET", path: fmt.Sprintf("/form-check/later-%d", i), id: newID(), tenant: refundTenants[i%2], route: fmt.Sprint("l", i), timeout: 2 * time.Second}
		if i%3 == 0 {
			q.method, q.path, q.key = "POST", "/refund-record", newKey()
		}
		if status, _, err := r.ask(cfg.Listen, q); err == nil && (status == 503 || status == 429) {
			refused++
		} else {
			others++
		}
		time.Sleep(200 * time.Millisecond)
	}
	took := time.Since(began)
	sent := len(f.got(func(a attempt) bool { return a.at.After(began) }))
	r.note("%d of 24 refused in %v, %d attempts at the servers", refused, took.Round(time.Millisecond), sent)
	r.ctl(socket, "status")
	if refused == 24 && others == 0 && sent == 0 && took > 4*time.Second {
		r.breaks("the agent has rejected all of 24 requests for %v with no attempt in between, and no request was open", took.Round(100*time.Millisecond))
	}
}
