package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

func init() { cases["silent-callers"] = silentCallers }

// silentCallers: again and again thirty callers of the operators' address say nothing, or half a call, and another one calls. The agent has four
// cores. With TROUBLE=0 the others do not come.
func silentCallers() {
	const silent = 30
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	text, err := os.ReadFile(r.configFile)
	must(err)
	must(os.WriteFile(r.configFile, bytes.Replace(text, []byte(`"cores":1`), []byte(`"cores":4`), 1), 0o600))
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	stop := r.traffic(20*time.Millisecond, 200*time.Millisecond)
	time.Sleep(2 * time.Second)
	late, calls := 0, 0
	for began := time.Now(); time.Since(began) < 90*time.Second; calls++ {
		var others []net.Conn
		for i := 0; r.trouble && i < silent; i++ {
			c, err := net.Dial("tcp", r.ops)
			must(err)
			if i%2 == 0 {
				fmt.Fprint(c, "GET /ops/stats HTTP/1.1\r\nHo")
			}
			others = append(others, c)
		}
		if took := r.callOperator("GET /ops/readiness"); took > time.Second {
			late++
			r.say("call %d was answered after %.2f s", calls, took.Seconds())
		}
		for _, c := range others {
			c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	r.say("%d of %d calls of operators were answered later than after 1 s", late, calls)
	r.end(late > 0)
}

// callOperator makes an operator's call and returns how long the answer took.
func (r *rig) callOperator(call string) time.Duration {
	began := time.Now()
	c, err := net.Dial("tcp", r.ops)
	must(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: a\r\n\r\n", call)
	must(err)
	must(c.SetReadDeadline(began.Add(15 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		resp.Body.Close()
	}
	return time.Since(began)
}
