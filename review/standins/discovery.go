package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server of the list, in the form of PROTOCOL.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the platform's list on the agent's own machine: pushed, answered at once, silent while it is out of reach.
type discovery struct {
	addr    string
	mu      sync.Mutex
	current list
	changes []list        // each with the entries of one version
	news    chan struct{} // closed at the next change
	silent  bool
	told    map[int64]time.Time // when a version was first written to the agent
}

func newDiscovery(version int64, servers []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{addr: l.Addr().String(), current: list{Version: version, Full: true, Servers: servers}, news: make(chan struct{}), told: map[int64]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	go http.Serve(l, mux)
	return d
}

// set changes the state of a server.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Version++
	servers := append([]entry(nil), d.current.Servers...)
	for i := range servers {
		if servers[i].ID == id {
			servers[i].State = state
			d.changes = append(d.changes, list{Version: d.current.Version, Servers: []entry{servers[i]}})
		}
	}
	d.current.Servers = servers
	close(d.news)
	d.news = make(chan struct{})
}

// setSilent puts discovery out of reach, or back. Open watches end.
func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	close(d.news)
	d.news = make(chan struct{})
}

func (d *discovery) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.current)
	must(err)
	return string(text)
}

// toldAt is when a version was first written to an agent; zero: not yet.
func (d *discovery) toldAt(version int64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[version]
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		answer, news, silent := d.current, d.news, d.silent
		if !whole {
			answer = list{Version: d.current.Version}
			for _, c := range d.changes {
				if c.Version > since {
					answer.Servers = append(answer.Servers, c.Servers...)
				}
			}
		}
		if !silent && (whole || answer.Version > since) && d.told[answer.Version].IsZero() {
			d.told[answer.Version] = time.Now()
		}
		d.mu.Unlock()
		if silent {
			select {
			case <-news:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if whole || answer.Version > since {
			json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-news:
		case <-limit:
			json.NewEncoder(w).Encode(list{Version: since, Servers: []entry{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// add adds servers, in one version.
func (d *discovery) add(servers ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Version++
	d.current.Servers = append(append([]entry(nil), d.current.Servers...), servers...)
	d.changes = append(d.changes, list{Version: d.current.Version, Servers: servers})
	close(d.news)
	d.news = make(chan struct{})
}
