package overload

import (
	"math"
	"time"
)

// leastPart of the limit is let in at the least, whatever waits.
const leastPart = 0.4

// pushback is by how much of it the limit is lower for what servers are busier than they should be, at once: what agents say of their
// arrivals comes later than what servers say of their use.
const pushback = 1.1

// plan is who is let in for now.
type plan struct {
	trust    float64      // how far the picture is trusted, from 0 to 1
	limit    float64      // tries a second that the fleet lets in
	chances  [][4]float64 // by class and bucket; nil: all are let in
	excess   [][]float64  // by class and tenant: part of what it asks that is over its share
	refused  float64      // part of all that is asked that is refused
	asked    Demand
	capacity float64
	use      float64
}

// chance is that of a tenant's try of a class to be let in. What is over its share has the lesser one.
func (p *plan) chance(class, tenant int, repeat bool) float64 {
	if class >= len(p.chances) {
		return 1
	}
	over := 0.0
	if of := p.excess[class]; tenant >= 0 && len(of) > 0 {
		over = of[kind(tenant, len(of))]
	}
	chances := &p.chances[class]
	return (1-over)*chances[bucket(repeat, false)] + over*chances[bucket(repeat, true)]
}

const (
	agrees    = 1.15 // times what agents say that they let in, up to which servers may do more
	mostGrown = 2.5
	peakFor   = 2 * time.Second
)

// bucket is a kind of request within a class, the worthiest first: tenants within their share before those over it, first tries before
// repeats.
func bucket(repeat, excess bool) int {
	n := 0
	if excess {
		n = 2
	}
	if repeat {
		n++
	}
	return n
}

// newPlan fills the fleet's limit in the order of worth. That of an agent whose own servers are not busy counts for nothing.
func (d *AdmissionController) newPlan(now time.Duration, asked Demand, capacity, use float64) plan {
	// What servers do at present is heard of sooner than what all agents are asked: where servers do more than agents say that they let in,
	// what is asked has grown as much meanwhile.
	d.peak = max(d.peak*math.Exp(-float64(now-d.peakAt)/float64(peakFor)), asked.Admitted+asked.ExtraAttempts) // what servers do is of a moment ago
	d.peakAt = now
	if done := use * capacity; d.peak > 0 && done > agrees*d.peak {
		grown := min(done/d.peak, mostGrown)
		for _, rates := range [][]float64{asked.NewRequests, asked.ClientRetries, asked.Tenants} {
			for i := range rates {
				rates[i] *= grown
			}
		}
	}
	p := plan{asked: asked, use: use, capacity: capacity, limit: d.gain * targetUse * capacity * (1 - pushback*max(0, use-aimedUse(asked.lateShare())))}
	all := 0.0
	for c := range asked.NewRequests {
		all += asked.NewRequests[c] + asked.ClientRetries[c]
	}
	// What waits at servers beyond what is usual is worked off first.
	waits := max(0, asked.InFlight-p.limit*openTime*d.set.Classes[d.order[0]].LatencyObjective.Seconds())
	left := max(leastPart*p.limit, p.limit-asked.ExtraAttempts-waits/drainIn.Seconds())
	if all <= left || capacity == 0 {
		return p
	}
	proof := 1.0
	if d.useAt != 0 && now-d.useAt < proofFor {
		proof = min(max((d.usePeak-proofFrom)/(proofFull-proofFrom), 0), 1)
	}
	if proof == 0 {
		return p
	}
	tenants := 0.0
	for _, x := range asked.Tenants {
		tenants += x
	}
	p.chances, p.excess = make([][4]float64, len(asked.NewRequests)), make([][]float64, len(asked.NewRequests))
	letIn := 0.0
	for _, c := range d.order {
		of := make([]float64, len(asked.Tenants)) // what each tenant asks of the class, as far as all ask alike
		for t, x := range asked.Tenants {
			of[t] = x * asked.NewRequests[c] / max(tenants, math.SmallestNonzeroFloat64)
		}
		p.excess[c] = excess(of, d.set.TenantQuotas, left)
		over := 0.0
		for t, x := range of {
			over += x * p.excess[c][t] / max(asked.NewRequests[c], math.SmallestNonzeroFloat64)
		}
		for b := range p.chances[c] {
			want := asked.NewRequests[c]
			if b%2 == 1 {
				want = asked.ClientRetries[c]
			}
			if b < 2 {
				want *= 1 - over
			} else {
				want *= over
			}
			chance := 1.0
			switch {
			case left <= 0: // also for what nobody has asked yet
				chance = 0
			case want > left:
				chance = left / want
			}
			letIn += want * chance
			if left -= want; chance < 1 {
				left = 0 // exactly: of what rounding left of it, kinds of which next to nothing is asked would all be let in
			}
			p.chances[c][b] = 1 - proof*(1-chance)
		}
	}
	p.refused = proof * max(0, 1-letIn/all)
	return p
}

// excess is the part of what each tenant asks that is over its share of the limit. What one does not ask of its share the others have
// (max-min fairness by shares).
func excess(asked, shares []float64, limit float64) []float64 {
	over := make([]float64, len(asked))
	given := make([]bool, len(asked))
	for range asked {
		sum, again := 0.0, false
		for t := range asked {
			if !given[t] {
				sum += shares[t]
			}
		}
		left := limit
		for t := range asked {
			if given[t] {
				left -= asked[t]
			}
		}
		for t := range asked {
			if !given[t] && asked[t] <= left*shares[t]/max(sum, math.SmallestNonzeroFloat64) {
				given[t], again = true, true
			}
		}
		if again {
			continue
		}
		for t := range asked {
			if !given[t] && asked[t] > 0 {
				over[t] = min(1, max(0, 1-max(0, left)*shares[t]/max(sum, math.SmallestNonzeroFloat64)/asked[t]))
			}
		}
		break
	}
	return over
}

// rates are what this agent is asked, a second.
type rates struct {
	first, again, tenants         []fading
	all, letIn, extra, good, late fading
}

func (r *rates) room(classes, tenants int) {
	for len(r.first) < classes {
		r.first, r.again = append(r.first, fading{}), append(r.again, fading{})
	}
	for len(r.tenants) < tenants {
		r.tenants = append(r.tenants, fading{})
	}
}

// asked counts a request. Unmarked repeats can't be told from first tries one by one; but first tries draw any lot, and of those whose lot
// is let in nobody comes again. So these tell how many first tries there are, and the others are repeats.
func (r *rates) asked(now time.Duration, class, tenant int, repeat bool, lot, chance float64) {
	r.all.add(now, 1)
	chance = max(chance, leastLots)
	switch {
	case repeat:
		r.again[class].add(now, 1)
	case lot < chance:
		r.first[class].add(now, 1/chance)
		if tenant >= 0 && len(r.tenants) > 0 {
			r.tenants[kind(tenant, len(r.tenants))].add(now, 1/chance)
		}
	}
}

func (r *rates) digest(now time.Duration, self, open int) LoadDigest {
	d := LoadDigest{Agent: self, Requests: r.all.rate(now), InFlight: float64(open), Admitted: r.letIn.rate(now), ExtraAttempts: r.extra.rate(now), ServedInTime: r.good.rate(now), LateOrFailed: r.late.rate(now)}
	for c := range r.first {
		d.NewRequests, d.ClientRetries = append(d.NewRequests, r.first[c].rate(now)), append(d.ClientRetries, r.again[c].rate(now))
	}
	for t := range r.tenants {
		d.Tenants = append(d.Tenants, r.tenants[t].rate(now))
	}
	return d
}

// fading is a rate over the last while.
type fading struct {
	count float64
	at    time.Duration
}

func (f *fading) add(now time.Duration, n float64) {
	f.count = f.count*math.Exp(-float64(now-f.at)/float64(rateOver)) + n
	f.at = now
}

func (f *fading) rate(now time.Duration) float64 {
	return f.count * math.Exp(-float64(now-f.at)/float64(rateOver)) / rateOver.Seconds()
}
