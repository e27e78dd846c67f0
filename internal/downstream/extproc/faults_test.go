package extproc

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/extprocproxy"
)

// effect is one execution of a refund at a server.
type effect struct {
	server, cell int
	at           time.Time
}

// ledger is the witness at the servers: what ran, for which key, where and when.
type ledger struct {
	mu  sync.Mutex
	ran map[string][]effect
}

func (l *ledger) note(key string, e effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[key] = append(l.ran[key], e)
}

// faulty is a form server that misbehaves by the request's key and its own number, the same at each run.
type faulty struct {
	ledger *ledger
	number int
	cell   int
}

func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	besteffort.IgnoreResult(io.Copy(io.Discard, r.Body))
	h := fnv.New32a()
	fmt.Fprint(h, key, f.number)
	fault := h.Sum32() % 100
	if fault < 10 { // turned away unseen
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.ledger.note(key, effect{f.number, f.cell, time.Now()})
	switch {
	case fault < 20:
		w.WriteHeader(http.StatusInternalServerError)
	case fault < 30: // the connection breaks when it has run
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			besteffort.Ignore(c.(*net.TCPConn).SetLinger(0))
			besteffort.Close(c)
		}
	case fault < 40: // longer than the proxy waits
		time.Sleep(400 * time.Millisecond)
		fallthrough
	default:
		w.Header().Set("X-Server-Load", "util=0.3,qps=20,eps=0")
		besteffort.IgnoreResult(io.WriteString(w, "booked"))
	}
}

// Over a run with errors, resets, slow servers, give-ups and retries, what the servers saw keeps rule 2: the executions
// of a key are all in one cell, which drops its repeats, and within the window for which that remembers them. And each
// request gets one final answer.
func TestRefundsUnderFaults(t *testing.T) {
	const servers, requests, atOnce, window = 8, 400, 16, 2 * time.Second
	witness := &ledger{ran: map[string][]effect{}}
	var members []engine.Member
	for i := range servers {
		srv := httptest.NewServer(&faulty{witness, i, i / 2})
		defer srv.Close()
		members = append(members, engine.Member{Addr: srv.Listener.Addr().String(),
			Server: balancer.Server{ID: fmt.Sprint("s", i), Cell: i / 2, Weight: 1}})
	}
	r := newRig(t, options{})
	r.engine.Post(engine.EndpointUpdate{Full: true, Members: members})
	proxy := extprocproxy.New(r.client())
	proxy.AttemptTimeout = 250 * time.Millisecond
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	proxy.AbortsStream = func() bool { mu.Lock(); defer mu.Unlock(); return random.IntN(8) == 0 }
	front := httptest.NewServer(proxy)
	defer front.Close()

	answers := map[int]int{}
	work := make(chan string)
	var clients sync.WaitGroup
	for range atOnce {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: agenttest.Patience}
			defer client.CloseIdleConnections()
			for key := range work {
				req, err := http.NewRequest(http.MethodPost, front.URL+"/refund-record", strings.NewReader("form"))
				if err != nil {
					t.Error(err)
					return
				}
				for name, value := range map[string]string{"X-Request-ID": newID(), "X-Tenant-Id": "lerwick-port",
					"X-Timeout": "2000m", "Idempotency-Key": key} {
					req.Header.Set(name, value)
				}
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("%s got no answer: %v", key, err)
					continue
				}
				besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
				besteffort.Close(resp.Body)
				mu.Lock()
				answers[resp.StatusCode]++
				mu.Unlock()
			}
		})
	}
	for i := range requests {
		work <- fmt.Sprint("key-", i)
	}
	close(work)
	clients.Wait()
	r.noneOut()

	witness.mu.Lock()
	defer witness.mu.Unlock()
	repeated := 0
	for key, ran := range witness.ran {
		for _, e := range ran[1:] {
			repeated++
			if first := ran[0]; e.cell != first.cell || e.at.Sub(first.at) >= window {
				t.Errorf("%s ran at server %d and, %v later, at server %d", key, first.server, e.at.Sub(first.at), e.server)
			}
		}
	}
	if repeated == 0 || answers[http.StatusOK] < requests/2 {
		t.Errorf("%d repeats, answers %v: the run tested little", repeated, answers)
	}
	total := 0
	for _, n := range answers {
		total += n
	}
	if total != requests {
		t.Errorf("%d answers for %d requests", total, requests)
	}
}
