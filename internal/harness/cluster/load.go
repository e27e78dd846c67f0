package cluster

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
)

// Request is a client's, with all its tries.
type Request struct {
	Refund bool
	Agent  int
	Key    string
}

// Ask makes a request as a desk does: what brought no answer, or a failure, it tries again under the same key at the same agent until
// it gives up. It reports whether it was served. An answer that breaks a rule is noted.
func (f *Fleet) Ask(r Request, client *http.Client, giveUp time.Duration) (served bool) {
	for began, try := time.Now(), 0; time.Since(began) < giveUp; try++ {
		method, path, body := http.MethodGet, "/form-check", ""
		if r.Refund {
			method, path, body = http.MethodPost, "/refund-record", "form"
		}
		q, err := http.NewRequest(method, "http://"+f.Agents[r.Agent].Addr+path, strings.NewReader(body))
		f.must(err)
		q.Header.Set("X-Request-ID", fmt.Sprintf("%016x", f.last.Add(1)))
		q.Header.Set("X-Tenant-Id", "glasgow-airport")
		q.Header.Set("X-Route-Key", r.Key)
		q.Header.Set("X-Timeout", "1500m")
		if r.Refund {
			q.Header.Set("Idempotency-Key", r.Key)
		}
		if try > 0 {
			q.Header.Set("X-Retried", "1")
		}
		resp, err := client.Do(q)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, err := io.ReadAll(resp.Body)
		besteffort.Close(resp.Body)
		if err == nil && resp.StatusCode == http.StatusOK {
			if len(bytes.TrimSpace(text)) == 0 {
				f.Broken("%s was served with nothing", r.Key)
			}
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Load is what clients make of a fleet until it is ended.
type Load struct {
	Served, Lost atomic.Int64
	stop         chan struct{}
	all          sync.WaitGroup
}

// Load lets so many clients at each agent ask again and again, with a pause; every third is a refund.
func (f *Fleet) Load(clients int, pause time.Duration) *Load {
	l := &Load{stop: make(chan struct{})}
	for agent := range f.Agents {
		for c := range clients {
			l.all.Go(func() {
				client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
				defer client.CloseIdleConnections()
				for n := 0; ; n++ {
					select {
					case <-l.stop:
						return
					case <-time.After(pause):
					}
					r := Request{Refund: (n+c)%3 == 0, Agent: agent, Key: fmt.Sprintf("k-%d-%d-%d", agent, c, n)}
					if f.Ask(r, client, 2500*time.Millisecond) {
						l.Served.Add(1)
					} else {
						l.Lost.Add(1)
					}
				}
			})
		}
	}
	return l
}

// End ends the load and waits for its last answers.
func (l *Load) End() {
	close(l.stop)
	l.all.Wait()
}
