package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// ClientStats counts requests by their result.
type ClientStats struct {
	Offered, Served, InTime    int
	Rejected, Failed, NoAnswer int // 503 or 429; other statuses; no answer
	InFlight                   int // without an answer yet
	latencies                  []time.Duration
}

// Percentile is the time to an answer below which that share of the served requests lies.
func (t ClientStats) Percentile(share float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.latencies))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// LoadGenerator sends requests to an agent at random times, without waiting for answers.
type LoadGenerator struct {
	url    string
	rate   float64
	random *rand.Rand
	client *http.Client

	mu       sync.Mutex
	stats    ClientStats
	requests sync.WaitGroup
}

// distinctForms is the number of distinct route keys; a few are far more frequent than the rest.
const distinctForms = 2500

// maxInFlight is how many requests the clients keep in flight. A request beyond that isn't sent and counts as unanswered.
const maxInFlight = 2000

// NewLoadGenerator returns a generator that sends rate requests a second to the agent at url.
func NewLoadGenerator(url string, rate float64, seed uint64) *LoadGenerator {
	return &LoadGenerator{url: url, rate: rate, random: rand.New(rand.NewPCG(seed, 2)), client: &http.Client{Timeout: deadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Second}}}
}

// Run sends until the context ends, and returns when all have their answers.
func (c *LoadGenerator) Run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	defer c.requests.Wait()
	zipf := rand.NewZipf(c.random, 1.2, 8, distinctForms-1)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(c.random.ExpFloat64() / c.rate * float64(time.Second)))
		pause := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		class, method, body := "form-check", http.MethodGet, ""
		if c.random.Float64() < 0.33 {
			class, method, body = "refund-record", http.MethodPost, "form"
		}
		r, err := http.NewRequest(method, c.url+"/"+class, strings.NewReader(body))
		if err != nil { // the address is our own
			panic(err)
		}
		id := fmt.Sprintf("%016x", c.random.Uint64())
		r.Header.Set("X-Request-ID", id)
		r.Header.Set("X-Tenant-Id", c.drawRefundPoint())
		r.Header.Set("X-Route-Key", fmt.Sprint("form-", zipf.Uint64()))
		r.Header.Set("X-Timeout", fmt.Sprint(deadline.Milliseconds(), "m"))
		if method == http.MethodPost {
			r.Header.Set("Idempotency-Key", "refund-"+id)
		}
		if c.admitRequest() {
			c.requests.Go(func() { c.send(r) })
		}
	}
}

// drawRefundPoint draws a refund point by its share of the traffic.
func (c *LoadGenerator) drawRefundPoint() string {
	x := c.random.Float64()
	for _, p := range refundPoints {
		if x -= p.share; x < 0 {
			return p.name
		}
	}
	return refundPoints[0].name
}

// admitRequest counts a request and reports whether it may be sent.
func (c *LoadGenerator) admitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Offered++
	if c.stats.InFlight >= maxInFlight {
		c.stats.NoAnswer++
		return false
	}
	c.stats.InFlight++
	return true
}

// send sends a request and counts its result.
func (c *LoadGenerator) send(r *http.Request) {
	began := time.Now()
	resp, err := c.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		besteffort.Close(resp.Body)
	}
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.InFlight--
	switch {
	case err != nil:
		c.stats.NoAnswer++
	case resp.StatusCode == http.StatusOK:
		c.stats.Served++
		c.stats.latencies = append(c.stats.latencies, took)
		if took <= latencyObjective {
			c.stats.InTime++
		}
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		c.stats.Rejected++
	default:
		c.stats.Failed++
	}
}

// Stats returns a copy of the counts so far. It is safe for concurrent use.
func (c *LoadGenerator) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.stats
	t.latencies = slices.Clone(t.latencies)
	return t
}
