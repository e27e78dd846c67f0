// Package weighted draws among weighted members at a cost that does not grow with how many there are: by chance
// (Pool) and by a key (its homes, and Race). It knows nothing of servers.
//
// A member's weight is a Part: what it is by the size of the member, times a mean that all share and that changes all
// the time, and what it is by itself. So a change of the mean changes no member.
package weighted

import (
	"math"
	"math/bits"
	"math/rand/v2"
)

// Linear is a figure that hangs on a mean m: Slope*m + Intercept.
type Linear struct{ Slope, Intercept float64 }

// At is the figure at a mean.
func (p Linear) At(mean float64) float64 { return p.Slope*mean + p.Intercept }

// Scaled is the figure times x.
func (p Linear) Scaled(x float64) Linear { return Linear{p.Slope * x, p.Intercept * x} }

// AddScaled adds q, as often as times says; -1 takes it away.
func (p *Linear) AddScaled(q Linear, times float64) {
	p.Slope, p.Intercept = p.Slope+times*q.Slope, p.Intercept+times*q.Intercept
}

// Member is the part of a T that pools look at. A member is in one pool at most, which its owner keeps in mind.
type Member[T any] struct {
	Value T
	Hash  uint64 // the same wherever members are to agree on the homes of keys

	homed Linear  // the share that inner nodes go by
	slots [2]slot // in the samplers of its pool
	in    bool

	DrawWeight Linear // the weight; after a change of it the pool wants a Put
}

// Classes of weight, by powers of two. What weighs less than the least is never drawn, and what weighs more than the
// most counts as that.
const (
	classes    = 128
	classLeast = -64 // the binary exponent of the lowest class
)

// slot is where a sampler has a member: class 0 is nowhere.
type slot struct {
	class uint8 // by one higher than the index
	at    int32
}

// entry is a member with what a draw wants of it: in a large pool each look at a member itself waits for memory.
type entry[T any] struct {
	weight float64
	of     T
	member *Member[T]
}

// sampler draws members with probability proportional to one half of their shares, by stratified rejection: a class,
// drawn by how many it holds times the most that one of them may weigh; a member evenly; and that one by its own
// weight, which is half of that most at least. A draw and a change cost the same for any number of members, and as
// nothing but counts is summed up, no error is (after Matias, Vitter and Ni, "Dynamic generation of discrete random
// variates").
type sampler[T any] struct {
	classes [classes][]entry[T]
	filled  [classes / 64]uint64 // a bit for each class that holds any
	half    int                  // which of a member's slots is this sampler's, and which half of its share
}

// weight is what the sampler draws the member by.
func (m *sampler[T]) weight(s *Member[T]) float64 {
	if m.half == 0 {
		return s.DrawWeight.Slope
	}
	return s.DrawWeight.Intercept
}

// most is above the weight of any member of the class: two to the class's exponent and one.
func most(class int) float64 { return math.Float64frombits(uint64(class+classLeast+1+1023) << 52) }

// put takes a member in, or moves it to the class of its present weight; out takes it out.
func (m *sampler[T]) put(s *Member[T], out bool) {
	class := 0
	if w := m.weight(s); w > 0 && !out {
		exponent := int(math.Float64bits(w)>>52) - 1023
		class = min(max(exponent-classLeast, -1), classes-1) + 1
	}
	at := &s.slots[m.half]
	if int(at.class) == class {
		if class > 0 {
			m.classes[class-1][at.at].weight = m.weight(s)
		}
		return
	}
	if old := int(at.class) - 1; old >= 0 {
		list := m.classes[old]
		last := list[len(list)-1]
		list[at.at], last.member.slots[m.half].at = last, at.at
		list[len(list)-1] = entry[T]{}
		if m.classes[old] = list[:len(list)-1]; len(list) == 1 {
			m.filled[old/64] &^= 1 << (old % 64)
		}
	}
	*at = slot{}
	if class > 0 {
		list := &m.classes[class-1]
		*at = slot{uint8(class), int32(len(*list))}
		*list = append(*list, entry[T]{m.weight(s), s.Value, s})
		m.filled[(class-1)/64] |= 1 << ((class - 1) % 64)
	}
}

// mass is what the classes are drawn by, in all.
func (m *sampler[T]) mass() (sum float64) {
	for word, set := range m.filled {
		for ; set != 0; set &= set - 1 {
			class := word*64 + bits.TrailingZeros64(set)
			sum += float64(len(m.classes[class])) * most(class)
		}
	}
	return sum
}

// trial is an entry that a draw falls on, and how far its weight has to reach for it.
type trial[T any] struct {
	entry *entry[T]
	reach float64
}

func (t trial[T]) succeeds() bool { return t.reach < t.entry.weight }

// at returns the trial at x of the mass, which is above 0.
func (m *sampler[T]) at(x float64) (t trial[T]) {
	for word := len(m.filled) - 1; word >= 0; word-- {
		for set := m.filled[word]; set != 0; {
			top := 63 - bits.LeadingZeros64(set)
			set &^= 1 << top
			class := word*64 + top
			list, one := m.classes[class], most(class)
			i := min(int(x/one), len(list)-1)
			t = trial[T]{&list[i], x - float64(i)*one}
			if all := float64(len(list)) * one; x < all {
				return t
			} else {
				x -= all
			}
		}
	}
	return t // of the last class, by an error of rounding
}

// Pool holds members that may be drawn. Draws follow the shares and the mean at the time: neither is ever stale.
type Pool[T any] struct {
	halves [2]sampler[T]
	homes  *node[T] // nil where there are none
}

// NewPool returns an empty pool, with homes for keys or without.
func NewPool[T any](homes bool) *Pool[T] {
	p := &Pool[T]{}
	p.halves[1].half = 1
	if homes {
		p.homes = &node[T]{}
	}
	return p
}

// Put takes a member in, or takes note that its share has changed.
func (p *Pool[T]) Put(s *Member[T], mean float64) {
	p.halves[0].put(s, false)
	p.halves[1].put(s, false)
	if p.homes != nil {
		is, was := s.DrawWeight.At(mean), s.homed.At(mean)
		if !s.in {
			s.homed = s.DrawWeight
			p.homes.add(s, 0)
		} else if is != was && (p.homes.inner == nil || math.Abs(is-was) > homeStale*was) {
			p.homes.changed(s)
		}
	}
	s.in = true
}

// Remove takes out a member that is in the pool.
func (p *Pool[T]) Remove(s *Member[T]) {
	p.halves[0].put(s, true)
	p.halves[1].put(s, true)
	if p.homes != nil {
		p.homes.remove(s, 0)
	}
	s.in = false
}

// Distribution is a pool at one mean. It holds until the pool changes.
type Distribution[T any] struct {
	pool  *Pool[T]
	mean  float64
	sizes float64 // mass by size, times the mean
	total float64
}

// At returns the pool at a mean above 0.
func (p *Pool[T]) At(mean float64) Distribution[T] {
	d := Distribution[T]{pool: p, mean: mean, sizes: mean * p.halves[0].mass()}
	d.total = d.sizes + p.halves[1].mass()
	return d
}

// WeightBound is at least the sum of all shares, and no more than twice that.
func (d *Distribution[T]) WeightBound() float64 { return d.total }

func (d *Distribution[T]) trial(rng *rand.Rand) trial[T] {
	x := rng.Float64() * d.total
	if x < d.sizes {
		return d.pool.halves[0].at(x / d.mean)
	}
	return d.pool.halves[1].at(x - d.sizes)
}

// TryDraw returns each member with probability share over Bound, or else none.
func (d *Distribution[T]) TryDraw(rng *rand.Rand) (of T, ok bool) {
	if !(d.total > 0) {
		return of, false
	}
	if t := d.trial(rng); t.succeeds() {
		return t.entry.of, true
	}
	return of, false
}

// rounds of a draw succeed half the time each, so that the bound on them is met by weights alone that are no numbers.
const rounds = 200

// Draw returns a member with probability share over the sum of all, or none where the pool is empty.
func (d *Distribution[T]) Draw(rng *rand.Rand) (of T, ok bool) {
	for left := rounds; !ok && left > 0 && d.total > 0; left-- {
		of, ok = d.TryDraw(rng)
	}
	return of, ok
}

// batch is how many trials Fill makes at a time, so that their looks at memory do not wait for one another.
const batch = 16

// Fill fills out with draws as of Draw. It reports false where the pool is empty.
func (d *Distribution[T]) Fill(rng *rand.Rand, out []T) bool {
	var trials [batch]trial[T]
	var met [batch]bool
	for left := rounds; len(out) > 0 && left > 0 && d.total > 0; left-- {
		for i := range trials {
			trials[i] = d.trial(rng)
		}
		for i := range trials {
			met[i] = trials[i].succeeds()
		}
		for i := range trials {
			if met[i] && len(out) > 0 {
				out[0] = trials[i].entry.of
				out = out[1:]
			}
		}
	}
	return len(out) == 0
}
