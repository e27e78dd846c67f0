package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["full-room"] = fullRoom }

// fullRoom: many clients send long bodies at 64 kB a second; others send refunds meanwhile, each written whole at once. With TROUBLE=0 the long
// bodies come as fast as they are taken.
func fullRoom() {
	const uploads, length, refunds, timeout = 200, 4 << 20, 12, 2 * time.Second
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	r.limit(64, 1024)
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	stop := r.traffic(100*time.Millisecond, 0)
	time.Sleep(time.Second)
	var served, refused atomic.Int64
	over := make(chan struct{})
	var slow, fast sync.WaitGroup
	for i := range uploads {
		slow.Go(func() {
			switch r.sendLong(i, length, over) {
			case 200:
				served.Add(1)
			case 503:
				refused.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	var late atomic.Int64
	for i := range refunds {
		fast.Go(func() {
			if r.sendWhole(i, timeout) {
				late.Add(1)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	fast.Wait()
	stop()
	close(over)
	slow.Wait()
	r.say("%d of %d refunds had no answer within their time of %v and 0.55 s (of %d long bodies %d were served and %d refused, the others were still on their way)",
		late.Load(), refunds, timeout, uploads, served.Load(), refused.Load())
	r.end(late.Load() > 0)
}

// limit changes the limits in the platform's configuration, before an agent starts with it.
func (r *rig) limit(memoryMB, sockets int) {
	text, err := os.ReadFile(r.configFile)
	must(err)
	text = bytes.Replace(text, []byte(`"memory_mb":192`), fmt.Appendf(nil, `"memory_mb":%d`, memoryMB), 1)
	text = bytes.Replace(text, []byte(`"sockets":1024`), fmt.Appendf(nil, `"sockets":%d`, sockets), 1)
	must(os.WriteFile(r.configFile, text, 0o600))
}

// refundHead is the head of a refund up to the line on its body.
func refundHead(id, key string, timeout time.Duration) string {
	return fmt.Sprintf("POST /refund-record HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: edinburgh-airport\r\nX-Timeout: %dm\r\nIdempotency-Key: %s\r\n",
		id, timeout.Milliseconds(), key)
}

// sendLong sends a refund with a long body, at 64 kB a second where there is trouble, until all is sent or the case is over, and returns the
// status of its answer; 0: there was none yet.
func (r *rig) sendLong(n, length int, over <-chan struct{}) (status int) {
	c, err := net.Dial("tcp", r.listen)
	must(err)
	defer c.Close()
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
	_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", refundHead(id, key(10_000+n), 2*time.Second), length)
	must(err)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- 0
			return
		}
		answered <- resp.StatusCode
	}()
	const part = 6400 // a tenth of a second's
	piece, began := make([]byte, part), time.Now()
	for sent := 0; sent < length; sent += part {
		if _, err := c.Write(piece[:min(part, length-sent)]); err != nil {
			break
		}
		pause := time.Duration(0)
		if r.trouble {
			pause = time.Until(began.Add(time.Duration(sent/part) * 100 * time.Millisecond))
		}
		select {
		case status = <-answered:
			r.note("client of a long body %d id=%s: status %d after %.1f s and %d bytes", n, id, status, time.Since(began).Seconds(), sent)
			return status
		case <-over:
			return 0
		case <-time.After(pause):
		}
	}
	select {
	case status = <-answered:
	case <-over:
	}
	return status
}

// sendWhole sends a refund, written whole at once, and reports whether its answer came too late or not at all.
func (r *rig) sendWhole(n int, timeout time.Duration) (tooLate bool) {
	c, err := net.Dial("tcp", r.listen)
	must(err)
	defer c.Close()
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
	form, text := "in chunks, 200 bytes", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\nc8\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 200))
	if n%2 == 0 {
		form, text = "with a length, 100,000 bytes", fmt.Sprintf("Content-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
	}
	_, err = io.WriteString(c, refundHead(id, key(n), timeout)+text)
	must(err)
	written := time.Now()
	must(c.SetReadDeadline(written.Add(10 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took, what := time.Since(written), "no answer"
	if err == nil {
		what = resp.Status
	}
	r.say("refund %d id=%s %s: written whole, then %s %.2f s after its last byte", n, id, form, what, took.Seconds())
	return err != nil || took > timeout+550*time.Millisecond
}
