package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stopped-upload"] = stoppedUpload }

// stoppedUpload: one of six servers stops for 8 s; clients write refunds with long bodies meanwhile, as fast as they can.
func stoppedUpload() {
	const refunds, timeout = 60, 2 * time.Second
	r := newRig()
	r.startServers(3, 2)
	r.writeConfig(settings(2*time.Second), r.discovery.text())
	a := r.startAgent("agent", "", r.ops)
	r.awaitReady(a)
	stop := r.traffic(50*time.Millisecond, 150*time.Millisecond)
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.signal(r.servers[0], syscall.SIGSTOP)
	}
	began := time.Now()
	var late atomic.Int64
	var all sync.WaitGroup
	for i := range refunds {
		all.Go(func() {
			if r.sendFast(i, (3+i%4)<<20, timeout) {
				late.Add(1)
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(8 * time.Second)))
	if r.trouble {
		r.signal(r.servers[0], syscall.SIGCONT)
	}
	all.Wait()
	stop()
	r.say("%d of %d refunds had no answer within their time of %v and 0.55 s", late.Load(), refunds, timeout)
	r.end(late.Load() > 0)
}

// sendFast sends a refund with a long body as fast as it is taken, and reports whether its answer came too late or not at all, counted from
// when its last byte was written.
func (r *rig) sendFast(n, length int, timeout time.Duration) (tooLate bool) {
	c, err := net.Dial("tcp", r.listen)
	must(err)
	defer c.Close()
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID.Add(1))
	began := time.Now()
	_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", refundHead(id, key(n), timeout), length)
	must(err)
	if _, err := c.Write(make([]byte, length)); err != nil {
		r.note("refund %d id=%s: not written whole: %v", n, id, err)
		return false
	}
	written := time.Now()
	must(c.SetReadDeadline(written.Add(15 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	took, what := time.Since(written), fmt.Sprint(err)
	if err == nil {
		what = resp.Status
		resp.Body.Close()
	}
	r.note("refund %d id=%s of %d bytes: written whole in %.3f s, then %s %.2f s after its last byte", n, id, length, written.Sub(began).Seconds(), what, took.Seconds())
	return err != nil || took > timeout+550*time.Millisecond
}
