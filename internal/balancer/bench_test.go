package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkRequest is one request and its outcome in the module, with keys and reports, over fleets of growing size.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{14, 100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			h, all := fleetOf(b, n)
			h.Handle(time.Hour, ServerList{Full: true, Servers: all})
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = "key" + strconv.Itoa(i)
			}
			at := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at += time.Millisecond
				if i%75 == 0 {
					h.Handle(at, TimerFired{tickToken})
				}
				to := ""
				for _, a := range h.Handle(at, Request{ID: "r", Class: 0, Key: keys[i%len(keys)], Deadline: at + time.Second}) {
					if a.Kind == Send {
						to = a.Server
					}
				}
				h.Handle(at, Outcome{Request: "r", Server: to, Result: OK, Latency: 20 * time.Millisecond, RequestClosed: true,
					Report: report(0.5, 50)})
			}
		})
	}
}

// fleetOf is a balancer of two, so that its subset is the whole fleet, and a list for it.
func fleetOf(tb testing.TB, n int) (*Balancer, []Server) {
	set := testSettings()
	set.KeyAffinity, set.UseListWeights = true, true
	h, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	h.Start(time.Hour)
	all := make([]Server, n)
	for i := range all {
		all[i] = Server{ID: fmt.Sprintf("s-%05d", i), Weight: 1 + float64(i%7), Cell: i / 5}
	}
	return h, all
}
