// Package admissionvariants holds published admission-control algorithms, to run the same scenarios with them and with
// package admission. Each does what its source says and knows nothing of priorities. Only tests and the scenario runner
// use them; their controllers aren't safe for concurrent use.
package admissionvariants

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/admission"
)

// Names returns the names that New knows; "storm" is package admission itself.
func Names() []string { return []string{"storm", "budget", "throttle", "envoy", "gradient"} }

// Controller decides which requests are admitted, and is told how they end.
type Controller interface {
	Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection)
	Done(now time.Duration, p *admission.Permit, end admission.Outcome)
	Counts() admission.Counts
}

// New returns the controller of the name, which is one of Names. Any other name panics at the first request.
func New(name string, o admission.Options) Controller {
	if name == "storm" {
		return admission.New(o)
	}
	r := &variant{options: o, random: rand.New(rand.NewPCG(o.Seed, 6)), admittedAt: map[*admission.Permit]time.Duration{}}
	switch name {
	case "budget":
		r.admits, r.observe = (&retryBudget{}).rules()
	case "throttle":
		r.admits, r.observe = (&adaptiveThrottle{random: r.random}).rules()
	case "envoy":
		r.admits, r.observe = (&envoyFilter{random: r.random}).rules()
	case "gradient":
		r.admits, r.observe = (&gradientLimit{limit: 20}).rules()
	}
	return r
}

// variant is a controller that admits by one of the rules below.
type variant struct {
	options    admission.Options
	random     *rand.Rand
	admittedAt map[*admission.Permit]time.Duration
	admits     func(now time.Duration, a admission.Request) bool
	observe    func(now, took time.Duration, end admission.Outcome)
}

// Arrive implements Controller. A retry that may have run is always admitted.
func (r *variant) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	if !r.admits(now, a) && !a.MayHaveRun {
		return nil, admission.Rejection{RetryAfter: r.options.MaxRetryAfter * time.Duration(50+r.random.IntN(51)) / 100}
	}
	p := &admission.Permit{}
	r.admittedAt[p] = now
	return p, admission.Rejection{}
}

// Done implements Controller.
func (r *variant) Done(now time.Duration, p *admission.Permit, end admission.Outcome) {
	r.observe(now, now-r.admittedAt[p], end)
	delete(r.admittedAt, p)
}

// Counts implements Controller; it counts only the requests in flight.
func (r *variant) Counts() admission.Counts { return admission.Counts{InFlight: len(r.admittedAt)} }

// decayingCount is a count that decays exponentially with its time constant.
type decayingCount struct {
	timeConstant time.Duration
	count        float64
	updatedAt    time.Duration
}

// add adds n and returns the decayed count.
func (f *decayingCount) add(now time.Duration, n float64) float64 {
	f.count = f.count*math.Exp(-float64(now-f.updatedAt)/float64(f.timeConstant)) + n
	f.updatedAt = now
	return f.count
}

// retryBudget admits retries up to a fifth of the first attempts, with at most 100 saved, as Finagle and Linkerd do.
type retryBudget struct{ tokens float64 }

// rules returns the decision on a request and the observer of its end.
func (b *retryBudget) rules() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	return func(_ time.Duration, a admission.Request) bool {
		if !a.IsRetry {
			b.tokens = min(b.tokens+0.2, 100)
			return true
		}
		if b.tokens < 1 {
			return false
		}
		b.tokens--
		return true
	}, func(time.Duration, time.Duration, admission.Outcome) {}
}

// adaptiveThrottle is adaptive throttling: "Site Reliability Engineering", chapter 21, with K = 2 over half a minute there and ten
// seconds here, as scenarios are short. An answer after the latency objective doesn't count as accepted.
type adaptiveThrottle struct {
	random            *rand.Rand
	requests, accepts decayingCount
}

// rules returns the decision on a request and the observer of its end.
func (t *adaptiveThrottle) rules() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	t.requests.timeConstant, t.accepts.timeConstant = 10*time.Second, 10*time.Second
	return func(now time.Duration, _ admission.Request) bool {
			requests, accepts := t.requests.add(now, 1), t.accepts.add(now, 0)
			return t.random.Float64() >= max(0, (requests-2*accepts)/(requests+1))
		}, func(now, took time.Duration, end admission.Outcome) {
			if end == admission.OutcomeServed && took <= 600*time.Millisecond {
				t.accepts.add(now, 1)
			}
		}
}

// envoyFilter is Envoy's admission control filter with its defaults: success from 95%, aggression 1, at most 80% rejected, over 30 s
// there and ten here.
type envoyFilter struct {
	random      *rand.Rand
	all, served decayingCount
}

// rules returns the decision on a request and the observer of its end.
func (e *envoyFilter) rules() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	e.all.timeConstant, e.served.timeConstant = 10*time.Second, 10*time.Second
	return func(now time.Duration, _ admission.Request) bool {
			all, served := e.all.add(now, 0), e.served.add(now, 0)
			return e.random.Float64() >= min(0.8, max(0, (all-served/0.95)/(all+1)))
		}, func(now, took time.Duration, end admission.Outcome) {
			e.all.add(now, 1)
			if end == admission.OutcomeServed && took <= 600*time.Millisecond {
				e.served.add(now, 1)
			}
		}
}

// gradientLimit is Netflix's concurrency-limits, Gradient2Limit: the limit follows the ratio of the long-term latency to
// the latest one. A request that isn't served counts with the latency objective at least.
type gradientLimit struct {
	limit, longTermLatency float64
	inFlight               int
}

// rules returns the decision on a request and the observer of its end.
func (g *gradientLimit) rules() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	return func(time.Duration, admission.Request) bool {
			if float64(g.inFlight) >= g.limit {
				return false
			}
			g.inFlight++
			return true
		}, func(_, took time.Duration, end admission.Outcome) {
			g.inFlight--
			short := took.Seconds()
			if end != admission.OutcomeServed {
				short = max(short, 0.6)
			}
			if g.longTermLatency == 0 {
				g.longTermLatency = short
			}
			g.longTermLatency += (short - g.longTermLatency) * 2 / 601
			if g.longTermLatency/short > 2 {
				g.longTermLatency *= 0.95
			}
			if float64(g.inFlight) < g.limit/2 {
				return
			}
			slope := max(0.5, min(1, 1.5*g.longTermLatency/short))
			g.limit = slices.Max([]float64{20, g.limit*0.8 + 0.2*(g.limit*slope+4)})
		}
}
