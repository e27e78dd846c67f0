package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["hidden"] = hiddenRequest }

// hiddenRequest: bad clients send requests with both Content-Length and Transfer-Encoding, in whose bodies others hide. It is played at an agent
// without an address for operators, and at one with.
func hiddenRequest() {
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	plain := r.hideRequests("agent", "", 0)
	operated := r.hideRequests("agent-2", r.ops, 3)
	r.say("%d and %d requests that were hidden in the bodies of others were passed on to servers (without and with an address for operators)", plain, operated)
	r.end(plain+operated > 0)
}

// hideRequests starts an agent, lets bad clients hide requests beside the usual clients, and counts how many of these came to servers. Each bad
// client sends so many OPTIONS first.
func (r *rig) hideRequests(name, operator string, options int) (passedOn int) {
	const clients = 10
	r.listen = freeAddr()
	a := r.startAgent(name, "", operator)
	r.awaitReady(a)
	stop := r.traffic(40*time.Millisecond, 120*time.Millisecond)
	time.Sleep(2 * time.Second)
	began := time.Now()
	for i := range clients {
		if r.trouble {
			r.sendHiding(i, options)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.Phase == "whole" && a.at.After(began) && strings.HasPrefix(a.ID, hiddenID) {
			passedOn++
			r.note("passed on: the hidden %s id=%s key=%s to %s at %.3f", a.Class, a.ID, a.Key, a.Server, a.at.Sub(r.began).Seconds())
		}
	}
	return passedOn
}

// hiddenID begins the ids of requests that no client sent: they lie in a chunk of another request's body.
const hiddenID = "00000000hidden"

// sendHiding sends the n-th request with both headers, behind so many OPTIONS, and notes what comes for an answer.
func (r *rig) sendHiding(n, options int) {
	hidden := fmt.Sprintf("POST /refund-record HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s%02d\r\nX-Tenant-Id: edinburgh-airport\r\nX-Timeout: 2000m\r\n"+
		"Idempotency-Key: %032x\r\nContent-Length: 6\r\n\r\nrefund", hiddenID, n, 0xdead0000+100*options+n)
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	length := strings.Index(body, "\n") + 1 // by its length the body ends behind the size of the chunk, by its chunks behind the last
	outer := fmt.Sprintf("POST /refund-record HTTP/1.0\r\nHost: origin.svc\r\nConnection: keep-alive\r\nX-Request-ID: 00000000outer%03d\r\nX-Tenant-Id: edinburgh-airport\r\n"+
		"X-Timeout: 2000m\r\nIdempotency-Key: %032x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", n, 0xbad0000+100*options+n, length, body)
	c, err := net.Dial("tcp", r.listen)
	must(err)
	defer c.Close()
	_, err = io.WriteString(c, strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: origin.svc\r\n\r\n", options)+outer)
	must(err)
	must(c.SetReadDeadline(time.Now().Add(time.Second)))
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "HTTP/") || strings.HasPrefix(line, "answer") {
			r.note("bad client %d got: %s", n, line)
		}
		if err != nil {
			r.note("bad client %d: %v", n, err)
			return
		}
	}
}
