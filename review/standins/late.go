package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Of the answers of a twice-answering server.
const (
	secondShare  = 0.2                   // that come a second time
	secondAfter  = 26 * time.Millisecond // behind the first, at the least
	secondSpread = 4 * time.Millisecond  // and at most so much later
)

// twiceMain is a form server that writes some answers a second time, some milliseconds late, if nothing else waits on the connection then. It is
// a process of its own.
func twiceMain(args []string) {
	flags := flag.NewFlagSet("twice", flag.ExitOnError)
	name := flags.String("name", "", "id of the server")
	share := flags.Float64("share", 0, "of the answers that come twice")
	began := flags.Int64("began", 0, "from when times count, in nanoseconds of Unix time")
	must(flags.Parse(args))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		must(err)
		go answerConn(c, *share, func(format string, args ...any) { // the rig adds it to the record
			line := fmt.Sprintf("%8.3f server %s: ", time.Since(time.Unix(0, *began)).Seconds(), *name) + fmt.Sprintf(format, args...)
			io.WriteString(os.Stderr, line+"\n")
		})
	}
}

// answerConn answers the requests of a connection, and notes what it does.
func answerConn(c net.Conn, share float64, note func(format string, args ...any)) {
	defer c.Close()
	in := bufio.NewReader(c)
	var mu sync.Mutex
	isWaiting := false // a request has come, in part or whole, and has no answer
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		mu.Lock()
		isWaiting = true
		mu.Unlock()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
		body := "made for " + r.Header.Get("X-Request-ID") + "\n"
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Load: util=0.300,qps=20.00,eps=0.00\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		mu.Lock()
		isWaiting = false
		io.WriteString(c, text)
		mu.Unlock()
		id := r.Header.Get("X-Request-ID")
		note("%s id=%s key=%s run and answered to %v", r.URL.Path[1:], id, r.Header.Get("Idempotency-Key"), c.RemoteAddr())
		if rand.Float64() >= share {
			continue
		}
		time.AfterFunc(secondAfter+rand.N(secondSpread), func() {
			mu.Lock()
			defer mu.Unlock()
			if !isWaiting {
				io.WriteString(c, text)
				note("id=%s answered a second time to %v", id, c.RemoteAddr())
			}
		})
	}
}

// lateSecond: servers write some answers twice; each client looks whether what it gets was made for its own request.
func lateSecond() {
	const clients, length = 32, 25 * time.Second
	r := newRig()
	self, err := os.Executable()
	must(err)
	share := fmt.Sprint(secondShare)
	if !r.trouble {
		share = "0"
	}
	for i := range 6 {
		p, addr := r.start(fmt.Sprintf("s-%d", i+1), exec.Command(self, "twice", "-name", fmt.Sprintf("s-%d", i+1), "-share", share, "-began", fmt.Sprint(r.began.UnixNano())), true)
		r.servers = append(r.servers, p)
		r.entries = append(r.entries, entry{ID: p.name, Addr: addr, Zone: "edinburgh-dc", Kind: "twin-core", Cell: i/2 + 1, State: "Ready", Weight: 1})
	}
	r.discovery = newDiscovery(41, r.entries)
	r.listen = freeAddr()
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", "", "")
	r.awaitReady(a)
	var served, foreign atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond) {
				q := request{class: "form-check", timeout: 2 * time.Second}
				if i%3 == 0 {
					q.class, q.key = "refund-record", fmt.Sprintf("%016x%016x", i, rand.Int64())
				}
				id, status, text := r.ask(q)
				if status != http.StatusOK {
					continue
				}
				served.Add(1)
				if text != "made for "+id+"\n" {
					foreign.Add(1)
					r.say("the client of %s %s got: %s", q.class, id, strings.TrimSpace(text))
				}
			}
		})
	}
	all.Wait()
	r.say("%d of %d served requests got an answer made for another", foreign.Load(), served.Load())
	r.end(foreign.Load() > 0)
}
