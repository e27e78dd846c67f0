package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipelined"] = pipelined }

// pipelined: clients send many requests at once on one connection. Without the trouble they send the same requests one at a time, on as many connections.
func pipelined() {
	const clients, many = 4, 20
	const timeout = 2 * time.Second
	r := newRig()
	r.startServers(3, 2)
	r.behave = func(claim) verdict { return verdict{"ok", 220} } // the site: 54 to 98 ms of work, and 96 to 180 ms of waiting for others
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", "", "")
	r.awaitReady(a)
	stop := r.traffic(100*time.Millisecond, 300*time.Millisecond)
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	late, answered := 0, 0
	var latest time.Duration
	tell := func(client, n int, id string, took time.Duration, what string) {
		mu.Lock()
		defer mu.Unlock()
		r.note("client %d, request %d of %d id=%s: %s after %.3f s", client, n+1, many, id, what, took.Seconds())
		answered++
		latest = max(latest, took)
		if took > timeout+550*time.Millisecond || what == "no answer" {
			late++
		}
	}
	ask := func(client int, first, count int) {
		c, err := net.Dial("tcp", r.listen)
		must(err)
		defer c.Close()
		var text strings.Builder
		ids := make([]string, count)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
			fmt.Fprintf(&text, "GET /form-check HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: edinburgh-airport\r\nX-Route-Key: form-%d-%d\r\nX-Timeout: %dm\r\n\r\n",
				ids[i], client, first+i, timeout.Milliseconds())
		}
		_, err = io.WriteString(c, text.String())
		must(err)
		sent := time.Now()
		must(c.SetReadDeadline(sent.Add(15 * time.Second)))
		in := bufio.NewReader(c)
		for i, id := range ids {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				tell(client, first+i, id, time.Since(sent), "no answer")
				continue
			}
			tell(client, first+i, id, time.Since(sent), resp.Status)
		}
	}
	for client := range clients {
		if r.trouble {
			all.Go(func() { ask(client, 0, many) })
			continue
		}
		for i := range many {
			all.Go(func() { ask(client, i, 1) })
			time.Sleep(20 * time.Millisecond)
		}
	}
	all.Wait()
	stop()
	r.say("%d of %d requests had no answer within their time of %v and 0.55 s; the last answer came %.1f s after its request", late, answered, timeout, latest.Seconds())
	r.end(late > 0)
}
