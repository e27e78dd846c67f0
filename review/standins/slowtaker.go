package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-taker"] = slowTaker }

// slowTaker: clients take long answers at 64 kB a second, or twice that, without a pause. With TROUBLE=0 they take them as fast as they come.
func slowTaker() {
	const clients, length = 4, 32 << 20
	r := newRig()
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		name := fmt.Sprintf("s-%d", i+1)
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.giveLong(name, length, w, req) }))
		r.entries = append(r.entries, entry{ID: name, Addr: l.Addr().String(), Zone: "edinburgh-dc", Kind: "twin-core", Cell: i + 1, State: "Ready", Weight: 1})
	}
	r.discovery = newDiscovery(41, r.entries)
	r.listen, r.ops = freeAddr(), freeAddr()
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	var cut atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			if got := r.takeLong(fmt.Sprintf("9b1f03aa5c7e%04d", i), 64_000*(1+i%2), 95*time.Second); got >= 0 && got < length {
				cut.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	r.say("%d of %d answers were cut off by the agent while their clients went on taking them", cut.Load(), clients)
	r.end(cut.Load() > 0)
}

// giveLong is a server that gives a long answer as fast as it is taken.
func (r *rig) giveLong(name string, length int, w http.ResponseWriter, req *http.Request) {
	id, began := req.Header.Get("X-Request-ID"), time.Now()
	w.Header().Set("Content-Length", strconv.Itoa(length))
	buf := make([]byte, 32<<10)
	for sent := 0; sent < length; sent += len(buf) {
		if _, err := w.Write(buf); err != nil {
			r.note("server %s: id=%s: the connection ended after %d bytes and %.1f s: %v", name, id, sent, time.Since(began).Seconds(), err)
			return
		}
	}
	r.note("server %s: id=%s: all %d bytes given after %.1f s", name, id, length, time.Since(began).Seconds())
}

// takeLong asks for a long answer and takes it at that rate, for as long as the case lasts. It returns how many bytes came before the answer
// ended, or -1 if it went on.
func (r *rig) takeLong(id string, rate int, atMost time.Duration) int64 {
	c, err := net.Dial("tcp", r.listen)
	must(err)
	defer c.Close()
	fmt.Fprintf(c, "GET /form-check HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: edinburgh-airport\r\nX-Timeout: 2000m\r\n\r\n", id)
	began := time.Now()
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	must(err)
	if resp.StatusCode != http.StatusOK {
		must(fmt.Errorf("id=%s: status %d", id, resp.StatusCode))
	}
	r.note("client id=%s: 200 with a length of %d after %.3f s", id, resp.ContentLength, time.Since(began).Seconds())
	began = time.Now()
	var got int64
	var longest time.Duration
	last, noted, buf := began, began, make([]byte, rate/20)
	for time.Since(began) < atMost {
		n, err := io.ReadFull(resp.Body, buf)
		got += int64(n)
		if err != nil {
			r.say("client id=%s, at %d bytes a second: the answer ended after %d of %d bytes and %.1f s (%v); it never paused for more than %.2f s", id, rate, got, resp.ContentLength,
				time.Since(began).Seconds(), err, longest.Seconds())
			return got
		}
		if now := time.Now(); now.Sub(noted) > 10*time.Second {
			noted = now
			r.note("client id=%s: %d bytes taken after %.1f s", id, got, now.Sub(began).Seconds())
		}
		longest, last = max(longest, time.Since(last)), time.Now()
		if r.trouble {
			time.Sleep(time.Until(began.Add(time.Duration(float64(got) / float64(rate) * float64(time.Second)))))
		}
	}
	r.note("client id=%s: %d bytes taken, and the answer went on", id, got)
	return -1
}
