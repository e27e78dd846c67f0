// Package weighted samples among weighted members at a cost that doesn't grow with their number: at random (Pool) and by a
// key (Rendezvous). It knows nothing of servers.
//
// A member's weight is linear in a mean that all members share and that changes all the time. So a change of the mean
// changes no member.
package weighted

import (
	"math"
	"math/rand/v2"
)

// Linear is a figure that depends on a mean: Slope*mean + Intercept.
type Linear struct{ Slope, Intercept float64 }

// At is the figure at that mean.
func (l Linear) At(mean float64) float64 { return l.Slope*mean + l.Intercept }

// Scaled is the figure times x.
func (l Linear) Scaled(x float64) Linear { return Linear{l.Slope * x, l.Intercept * x} }

// AddScaled adds x times other; -1 takes it away.
func (l *Linear) AddScaled(other Linear, x float64) {
	l.Slope, l.Intercept = l.Slope+x*other.Slope, l.Intercept+x*other.Intercept
}

// Member is what pools know of a T. A member is in at most one pool at a time, which its owner keeps in mind.
type Member[T any] struct {
	Value T
	Hash  uint64 // of its identity; the same wherever pools are to agree on the owners of keys

	ownerWeight Linear  // the weight by which the tree of owners counts it
	slots       [2]slot // where each sampler of its pool holds it
	isInPool    bool

	DrawWeight Linear // after a change of it the pool needs a Put
}

// Pool holds members that may be drawn. Draws follow the weights and the mean at the time of the draw, never older ones. It
// is not safe for concurrent use.
type Pool[T any] struct {
	samplers [2]sampler[T] // by the slopes of the weights and by their intercepts
	owners   *ownerTree[T] // nil: keys have no owners
}

// NewPool returns an empty pool, in which keys have owners or not.
func NewPool[T any](hasOwners bool) *Pool[T] {
	p := &Pool[T]{}
	p.samplers[1].part = 1
	if hasOwners {
		p.owners = &ownerTree[T]{}
	}
	return p
}

// Put takes a member in, or takes note that its weight has changed. The mean is the present one.
func (p *Pool[T]) Put(m *Member[T], mean float64) {
	p.samplers[0].put(m)
	p.samplers[1].put(m)
	if p.owners != nil {
		weight, old := m.DrawWeight.At(mean), m.ownerWeight.At(mean)
		if !m.isInPool {
			m.ownerWeight = m.DrawWeight
			p.owners.add(m, 0)
		} else if weight != old && (p.owners.branch == nil || math.Abs(weight-old) > maxOwnerWeightDrift*old) {
			p.owners.updateWeight(m)
		}
	}
	m.isInPool = true
}

// Remove takes out a member that is in the pool.
func (p *Pool[T]) Remove(m *Member[T]) {
	p.samplers[0].remove(m)
	p.samplers[1].remove(m)
	if p.owners != nil {
		p.owners.remove(m, 0)
	}
	m.isInPool = false
}

// Distribution is a pool at one mean. It holds until the pool changes.
type Distribution[T any] struct {
	pool       *Pool[T]
	mean       float64
	slopeBound float64 // bound of the sampler by slopes, times the mean
	totalBound float64 // bound of both samplers
}

// At returns the pool's distribution at a mean above 0.
func (p *Pool[T]) At(mean float64) Distribution[T] {
	d := Distribution[T]{pool: p, mean: mean, slopeBound: mean * p.samplers[0].boundSum()}
	d.totalBound = d.slopeBound + p.samplers[1].boundSum()
	return d
}

// WeightBound is at least the sum of all weights, and no more than twice that.
func (d *Distribution[T]) WeightBound() float64 { return d.totalBound }

func (d *Distribution[T]) trial(rng *rand.Rand) trial[T] {
	x := rng.Float64() * d.totalBound
	if x < d.slopeBound {
		return d.pool.samplers[0].trialAt(x / d.mean)
	}
	return d.pool.samplers[1].trialAt(x - d.slopeBound)
}

// TryDraw returns each member with probability weight over WeightBound, and else reports false.
func (d *Distribution[T]) TryDraw(rng *rand.Rand) (value T, ok bool) {
	if !(d.totalBound > 0) {
		return value, false
	}
	if t := d.trial(rng); t.succeeds() {
		return t.entry.value, true
	}
	return value, false
}

const (
	maxRounds      = 200 // of a draw, each of which succeeds half the time: only weights that are NaN exhaust them
	trialsPerRound = 16  // that Fill makes at a time, so that their looks at memory don't wait for one another
)

// Draw returns a member with probability weight over the sum of all. It reports false where the pool is empty.
func (d *Distribution[T]) Draw(rng *rand.Rand) (value T, ok bool) {
	for left := maxRounds; !ok && left > 0 && d.totalBound > 0; left-- {
		value, ok = d.TryDraw(rng)
	}
	return value, ok
}

// Fill fills out with draws as of Draw. It reports false where the pool is empty.
func (d *Distribution[T]) Fill(rng *rand.Rand, out []T) bool {
	var trials [trialsPerRound]trial[T]
	var accepted [trialsPerRound]bool
	for left := maxRounds; len(out) > 0 && left > 0 && d.totalBound > 0; left-- {
		for i := range trials {
			trials[i] = d.trial(rng)
		}
		for i := range trials {
			accepted[i] = trials[i].succeeds()
		}
		for i := range trials {
			if accepted[i] && len(out) > 0 {
				out[0] = trials[i].entry.value
				out = out[1:]
			}
		}
	}
	return len(out) == 0
}
