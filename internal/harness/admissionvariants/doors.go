// Package admissionvariants holds the ways that were weighed of saying who is let in during a storm, to be played on the same days as
// package storm: each as its source has it, with nothing of worth but what the source has. They are for the rig alone.
package admissionvariants

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"appleledge/internal/admission"
)

// Names lists the doors.
func Names() []string { return []string{"storm", "budget", "throttle", "envoy", "gradient"} }

// Door is what all of them are.
type Door interface {
	Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection)
	Done(now time.Duration, p *admission.Permit, end admission.Outcome)
	Counts() admission.Counts
}

// New returns a door by its name, which is one of Names.
func New(name string, o admission.Options) Door {
	if name == "storm" {
		return admission.New(o)
	}
	r := &rival{set: o, rng: rand.New(rand.NewPCG(o.Seed, 6)), began: map[*admission.Permit]time.Duration{}}
	switch name {
	case "budget":
		r.letsIn, r.seen = (&budget{}).both()
	case "throttle":
		r.letsIn, r.seen = (&throttle{rng: r.rng}).both()
	case "envoy":
		r.letsIn, r.seen = (&envoy{rng: r.rng}).both()
	case "gradient":
		r.letsIn, r.seen = (&gradient{limit: 20}).both()
	}
	return r
}

// rival lets in by a rule of its own.
type rival struct {
	set    admission.Options
	rng    *rand.Rand
	began  map[*admission.Permit]time.Duration
	letsIn func(now time.Duration, a admission.Request) bool
	seen   func(now, took time.Duration, end admission.Outcome)
}

func (r *rival) Arrive(now time.Duration, a admission.Request) (*admission.Permit, admission.Rejection) {
	if !r.letsIn(now, a) && !a.MayHaveRun {
		return nil, admission.Rejection{RetryAfter: r.set.MaxRetryAfter * time.Duration(50+r.rng.IntN(51)) / 100}
	}
	p := &admission.Permit{}
	r.began[p] = now
	return p, admission.Rejection{}
}

func (r *rival) Done(now time.Duration, p *admission.Permit, end admission.Outcome) {
	r.seen(now, now-r.began[p], end)
	delete(r.began, p)
}

func (r *rival) Counts() admission.Counts { return admission.Counts{InFlight: len(r.began)} }

// fading is a count over the last seconds.
type fading struct {
	over  time.Duration
	count float64
	at    time.Duration
}

func (f *fading) add(now time.Duration, n float64) float64 {
	f.count = f.count*math.Exp(-float64(now-f.at)/float64(f.over)) + n
	f.at = now
	return f.count
}

// budget lets in repeats up to a fifth of the first tries of ten seconds, as Finagle and Linkerd do.
type budget struct{ saved float64 }

func (b *budget) both() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	return func(_ time.Duration, a admission.Request) bool {
		if !a.IsRetry {
			b.saved = min(b.saved+0.2, 100)
			return true
		}
		if b.saved < 1 {
			return false
		}
		b.saved--
		return true
	}, func(time.Duration, time.Duration, admission.Outcome) {}
}

// throttle is adaptive throttling: "Site Reliability Engineering", chapter 21, with K = 2 over half a minute there and ten
// seconds here, as days here are short. An answer after the aim is no accept: nobody has a use for it.
type throttle struct {
	rng               *rand.Rand
	requests, accepts fading
}

func (t *throttle) both() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	t.requests.over, t.accepts.over = 10*time.Second, 10*time.Second
	return func(now time.Duration, _ admission.Request) bool {
			requests, accepts := t.requests.add(now, 1), t.accepts.add(now, 0)
			return t.rng.Float64() >= max(0, (requests-2*accepts)/(requests+1))
		}, func(now, took time.Duration, end admission.Outcome) {
			if end == admission.OutcomeServed && took <= 600*time.Millisecond {
				t.accepts.add(now, 1)
			}
		}
}

// envoy is Envoy's admission control filter with its defaults: success from 95%, aggression 1, at most 80% refused, over 30 s
// there and ten here.
type envoy struct {
	rng         *rand.Rand
	all, served fading
}

func (e *envoy) both() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	e.all.over, e.served.over = 10*time.Second, 10*time.Second
	return func(now time.Duration, _ admission.Request) bool {
			all, served := e.all.add(now, 0), e.served.add(now, 0)
			return e.rng.Float64() >= min(0.8, max(0, (all-served/0.95)/(all+1)))
		}, func(now, took time.Duration, end admission.Outcome) {
			e.all.add(now, 1)
			if end == admission.OutcomeServed && took <= 600*time.Millisecond {
				e.served.add(now, 1)
			}
		}
}

// gradient is Netflix's concurrency-limits, Gradient2Limit: the limit follows the ratio of the long-term time to an answer and
// the latest one. What is not served counts as a whole aim and more.
type gradient struct {
	limit, long float64
	out         int
}

func (g *gradient) both() (func(time.Duration, admission.Request) bool, func(time.Duration, time.Duration, admission.Outcome)) {
	return func(time.Duration, admission.Request) bool {
			if float64(g.out) >= g.limit {
				return false
			}
			g.out++
			return true
		}, func(_, took time.Duration, end admission.Outcome) {
			g.out--
			short := took.Seconds()
			if end != admission.OutcomeServed {
				short = max(short, 0.6)
			}
			if g.long == 0 {
				g.long = short
			}
			g.long += (short - g.long) * 2 / 601
			if g.long/short > 2 {
				g.long *= 0.95
			}
			if float64(g.out) < g.limit/2 {
				return
			}
			slope := max(0.5, min(1, 1.5*g.long/short))
			g.limit = slices.Max([]float64{20, g.limit*0.8 + 0.2*(g.limit*slope+4)})
		}
}
