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

// Tally is what clients have seen.
type Tally struct {
	Offered, Served, InAim  int
	Refused, Failed, Broken int // 503 or 429; any other answer; none
	Waiting                 int // have no answer yet
	times                   []time.Duration
}

// Percentile is the time to an answer below which that share of the served requests lies.
func (t Tally) Percentile(share float64) time.Duration {
	if len(t.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.times))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Clients send requests to an agent, as the deployment's do: arrivals at random, that do not wait for answers.
type Clients struct {
	url    string
	rate   float64
	random *rand.Rand
	http   *http.Client

	mu    sync.Mutex
	tally Tally
	all   sync.WaitGroup
}

// keys is how many distinct forms there are; a few are far more popular than the rest.
const keys = 2500

// mostOpen is how many requests clients have open at a time; what would come beyond that is not sent, and counts as
// broken.
const mostOpen = 2000

// NewClients returns clients that send so many requests a second.
func NewClients(url string, rate float64, seed uint64) *Clients {
	return &Clients{url: url, rate: rate, random: rand.New(rand.NewPCG(seed, 2)), http: &http.Client{Timeout: deadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen, IdleConnTimeout: time.Second}}}
}

// Run sends until the context ends, and returns when all have their answers.
func (c *Clients) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.all.Wait()
	zipf := rand.NewZipf(c.random, 1.2, 8, keys-1)
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
		r.Header.Set("X-Tenant-Id", c.point())
		r.Header.Set("X-Route-Key", fmt.Sprint("form-", zipf.Uint64()))
		r.Header.Set("X-Timeout", fmt.Sprint(deadline.Milliseconds(), "m"))
		if method == http.MethodPost {
			r.Header.Set("Idempotency-Key", "refund-"+id)
		}
		if c.begin() {
			c.all.Go(func() { c.one(r) })
		}
	}
}

// point draws a refund point by the shares.
func (c *Clients) point() string {
	x := c.random.Float64()
	for _, p := range points {
		if x -= p.share; x < 0 {
			return p.name
		}
	}
	return points[0].name
}

func (c *Clients) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Offered++
	if c.tally.Waiting >= mostOpen {
		c.tally.Broken++
		return false
	}
	c.tally.Waiting++
	return true
}

func (c *Clients) one(r *http.Request) {
	began := time.Now()
	resp, err := c.http.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		besteffort.Close(resp.Body)
	}
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Waiting--
	switch {
	case err != nil:
		c.tally.Broken++
	case resp.StatusCode == http.StatusOK:
		c.tally.Served++
		c.tally.times = append(c.tally.times, took)
		if took <= aim {
			c.tally.InAim++
		}
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		c.tally.Refused++
	default:
		c.tally.Failed++
	}
}

// Tally returns what the clients have seen so far.
func (c *Clients) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	t.times = slices.Clone(t.times)
	return t
}
