package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is what a server got.
type attempt struct {
	server, id, key, path, timeout string
	number                         int // of those under this id at all servers, from 1
	at                             time.Time
	begun                          bool // its last byte has come
	body                           string
}

// fleet is the servers of a case, and what they got.
type fleet struct {
	r *rig

	mu       sync.Mutex
	attempts []attempt
	ids      map[string]int

	// answer answers an attempt that has begun; nil: 200 with the id.
	answer func(s *server, a attempt, w http.ResponseWriter, req *http.Request)
}

// server is a stand-in for a form server.
type server struct {
	entry
	fleet *fleet
	http  *http.Server
}

func (r *rig) newFleet() *fleet { return &fleet{r: r, ids: map[string]int{}} }

// add starts a server.
func (f *fleet) add(id string, cell int) *server {
	s := &server{fleet: f, entry: entry{ID: id, Zone: "edinburgh-dc", Kind: "twin-core", Cell: cell, State: "Ready", Weight: 1}}
	s.http, s.Addr = f.r.serve("", s)
	return s
}

// restart starts the server's process again, at its address.
func (s *server) restart() {
	s.http.Close()
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", s.Addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.fleet.r.must(err)
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	s.fleet.r.note("server %s starts again", s.ID)
}

func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f := s.fleet
	body, err := io.ReadAll(req.Body)
	f.mu.Lock()
	id := req.Header.Get("X-Request-ID")
	a := attempt{server: s.ID, id: id, key: req.Header.Get("Idempotency-Key"), path: req.URL.RequestURI(), timeout: req.Header.Get("X-Timeout"), at: time.Now(),
		begun: err == nil, body: string(body)}
	if a.begun {
		f.ids[id]++
		a.number = f.ids[id]
	}
	f.attempts = append(f.attempts, a)
	f.mu.Unlock()
	if err != nil {
		f.r.note("server %s gets a part of id=%s: %v", s.ID, id, err)
		return
	}
	f.r.note("server %s gets %s %s id=%s key=%s attempt %d X-Timeout=%s", s.ID, req.Method, a.path, id, a.key, a.number, a.timeout)
	if f.answer != nil {
		f.answer(s, a, w, req)
		return
	}
	s.serve(w, a)
}

// serve answers 200 with a body that was made for the request.
func (s *server) serve(w http.ResponseWriter, a attempt) {
	w.Header().Set("X-Server-Load", "util=0.2,qps=20,eps=0")
	fmt.Fprintf(w, "made for %s by %s", a.path, s.ID)
}

// got returns the attempts that have begun and that a filter takes.
func (f *fleet) got(filter func(attempt) bool) (out []attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.attempts {
		if a.begun && filter(a) {
			out = append(out, a)
		}
	}
	return out
}
