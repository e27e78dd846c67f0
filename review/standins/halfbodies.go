package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["half-bodies"] = halfBodies }

// halfBodies: bad clients write a head and half of a short body, and stay; usual clients send refunds on new connections meanwhile. With TROUBLE=0
// only the usual clients come.
func halfBodies() {
	const bad, refunds, timeout = 600, 60, 2 * time.Second
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	r.limit(96, 256)
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	time.Sleep(time.Second)
	over := make(chan struct{})
	var written, inTime atomic.Int64
	var crowd, usual sync.WaitGroup
	for i := range bad {
		if !r.trouble {
			break
		}
		crowd.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				default:
				}
				if r.stopHalfWay(fmt.Sprintf("00000half%03d%04d", i, n), 4*time.Second) {
					inTime.Add(1)
				}
				written.Add(1)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	var late atomic.Int64
	for i := range refunds {
		usual.Go(func() {
			if r.sendShort(i, timeout) {
				late.Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	usual.Wait()
	close(over)
	crowd.Wait()
	r.say("%d of %d refunds of usual clients had no answer within their time of %v and 0.55 s; %d connections were half-written, %d of them had an error or a close within 3 s",
		late.Load(), refunds, timeout, written.Load(), inTime.Load())
	r.end(late.Load() > 0)
}

// stopHalfWay writes a head and half of the body, and stays until the agent answers or closes, or for so long. It reports whether that came within 3 s.
func (r *rig) stopHalfWay(id string, stays time.Duration) (inTime bool) {
	c, err := net.DialTimeout("tcp", r.listen, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return false
	}
	defer c.Close()
	began := time.Now()
	if _, err := fmt.Fprintf(c, "%sContent-Length: 200\r\n\r\n%0100d", refundHead(id, "ba"+id, 2*time.Second), 0); err != nil {
		return true
	}
	c.SetReadDeadline(began.Add(stays))
	_, err = c.Read(make([]byte, 1000))
	timeout, ok := err.(net.Error)
	return !(ok && timeout.Timeout()) && time.Since(began) <= 3*time.Second
}

// sendShort sends a short refund on a new connection and reports whether its answer came too late or not at all.
func (r *rig) sendShort(n int, timeout time.Duration) (tooLate bool) {
	c, err := net.DialTimeout("tcp", r.listen, time.Second)
	if err != nil {
		r.note("refund %d: no connection: %v", n, err)
		return false
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
	if _, err = fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\n%0100d", refundHead(id, key(n), timeout), 0); err != nil {
		r.note("refund %d id=%s: not written: %v", n, id, err)
		return false
	}
	sent := time.Now()
	c.SetReadDeadline(sent.Add(15 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	what := fmt.Sprint(err)
	if err == nil {
		what = resp.Status
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(sent)
	r.note("refund %d id=%s: written, then %s %.2f s after its last byte", n, id, what, took.Seconds())
	return err != nil || took > timeout+550*time.Millisecond
}
