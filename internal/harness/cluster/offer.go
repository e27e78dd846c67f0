package cluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Offered is what clients ask of a fleet that do not wait for answers: requests come evenly, whatever becomes of them.
type Offered struct {
	Rate   float64 // a second, of all agents
	For    time.Duration
	Agent  func(n int) int // who is asked; nil: all in turn
	Tenant string          // empty: glasgow-airport
}

// Ended is what became of a class of requests.
type Ended struct{ Asked, InTime, Late, Refused, Failed int }

// Part is the share that was served in time.
func (e Ended) Part() float64 { return float64(e.InTime) / float64(max(e.Asked, 1)) }

func (e Ended) String() string {
	return fmt.Sprintf("%d asked: %d in time, %d late, %d refused, %d failed", e.Asked, e.InTime, e.Late, e.Refused, e.Failed)
}

// Outcome is what became of what was offered, by agent and in all.
type Outcome struct {
	Checks, Refunds     Ended
	ChecksAt, RefundsAt []Ended
}

// mostOffered is how many requests are open at a time; more are not sent, and have failed.
const mostOffered = 600

// Offer asks a fleet, and returns when all answers are there. Every third request is a refund.
func (f *Fleet) Offer(o Offered) Outcome {
	out := Outcome{ChecksAt: make([]Ended, len(f.Agents)), RefundsAt: make([]Ended, len(f.Agents))}
	if o.Agent == nil {
		o.Agent = func(n int) int { return n / 3 % len(f.Agents) }
	}
	if o.Tenant == "" {
		o.Tenant = "glasgow-airport"
	}
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: mostOffered,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	room := make(chan struct{}, mostOffered)
	began := time.Now()
	for n := 0; float64(n) < o.Rate*o.For.Seconds(); n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))))
		refund, agent := n%3 == 0, o.Agent(n)
		note := func(change func(e *Ended)) {
			mu.Lock()
			defer mu.Unlock()
			for _, e := range map[bool][]*Ended{true: {&out.Refunds, &out.RefundsAt[agent]}, false: {&out.Checks, &out.ChecksAt[agent]}}[refund] {
				change(e)
			}
		}
		note(func(e *Ended) { e.Asked++ })
		select {
		case room <- struct{}{}:
		default:
			note(func(e *Ended) { e.Failed++ })
			continue
		}
		all.Go(func() {
			defer func() { <-room }()
			status, took := f.once(client, refund, agent, o.Tenant)
			note(func(e *Ended) {
				switch {
				case status == http.StatusOK && took <= aim:
					e.InTime++
				case status == http.StatusOK:
					e.Late++
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					e.Refused++
				default:
					e.Failed++
				}
			})
		})
	}
	all.Wait()
	return out
}

// aim is the classes', of testbed's settings.
const aim = 600 * time.Millisecond

// once makes one try.
func (f *Fleet) once(client *http.Client, refund bool, agent int, tenant string) (status int, took time.Duration) {
	id := fmt.Sprintf("%016x", f.last.Add(1))
	method, path, body := http.MethodGet, "/form-check", ""
	if refund {
		method, path, body = http.MethodPost, "/refund-record", "form"
	}
	q, err := http.NewRequest(method, "http://"+f.Agents[agent].Addr+path, strings.NewReader(body))
	f.must(err)
	q.Header.Set("X-Request-ID", id)
	q.Header.Set("X-Tenant-Id", tenant)
	q.Header.Set("X-Route-Key", id)
	q.Header.Set("X-Timeout", "1500m")
	if refund {
		q.Header.Set("Idempotency-Key", id)
	}
	began := time.Now()
	resp, err := client.Do(q)
	if err != nil {
		return 0, time.Since(began)
	}
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	besteffort.Close(resp.Body)
	return resp.StatusCode, time.Since(began)
}
