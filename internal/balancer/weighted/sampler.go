package weighted

import (
	"math"
	"math/bits"
)

// Classes of weight, by powers of two. What weighs less than the lowest class is never drawn, and what weighs more than the
// highest counts as that.
const (
	weightClasses = 128
	minExponent   = -64 // binary exponent of the lowest class
)

// slot is where a sampler holds a member. The zero value is nowhere.
type slot struct {
	class uint8 // index of the class and one; 0: none
	index int32 // within the class
}

// entry is a member with what a draw needs of it: in a large pool each look at a member itself waits for memory.
type entry[T any] struct {
	weight float64
	value  T
	member *Member[T]
}

// sampler draws members with probability proportional to one part of their weights, by stratified rejection: a class, with
// probability proportional to its size times the bound on the weight of its members; one of its members, evenly; and that
// one with probability weight over bound, which is at least a half. A draw and a change cost the same for any number of
// members, and as nothing but counts is summed up, no rounding error is (after Matias, Vitter and Ni, "Dynamic generation
// of discrete random variates").
type sampler[T any] struct {
	classes  [weightClasses][]entry[T]
	nonEmpty [weightClasses / 64]uint64 // a bit for each class that holds members
	part     int                        // 0: slopes of the weights, 1: intercepts; also the slot of a member that it uses
}

// weight is what the sampler draws the member by.
func (s *sampler[T]) weight(m *Member[T]) float64 {
	if s.part == 0 {
		return m.DrawWeight.Slope
	}
	return m.DrawWeight.Intercept
}

// classBound is above the weight of any member of the class: two to the power of the class's exponent and one.
func classBound(class int) float64 {
	return math.Float64frombits(uint64(class+minExponent+1+1023) << 52)
}

// put takes a member in, or moves it to the class of its present weight.
func (s *sampler[T]) put(m *Member[T]) {
	class := 0
	if w := s.weight(m); w > 0 {
		exponent := int(math.Float64bits(w)>>52) - 1023
		class = min(max(exponent-minExponent, -1), weightClasses-1) + 1
	}
	s.move(m, class)
}

func (s *sampler[T]) remove(m *Member[T]) { s.move(m, 0) }

// move holds a member in that class, counted from 1, from now on; 0: in none.
func (s *sampler[T]) move(m *Member[T], class int) {
	at := &m.slots[s.part]
	if int(at.class) == class {
		if class > 0 {
			s.classes[class-1][at.index].weight = s.weight(m)
		}
		return
	}
	if old := int(at.class) - 1; old >= 0 { // the last of the class takes its place
		list := s.classes[old]
		last := list[len(list)-1]
		list[at.index], last.member.slots[s.part].index = last, at.index
		list[len(list)-1] = entry[T]{}
		if s.classes[old] = list[:len(list)-1]; len(list) == 1 {
			s.nonEmpty[old/64] &^= 1 << (old % 64)
		}
	}
	*at = slot{}
	if class > 0 {
		list := &s.classes[class-1]
		*at = slot{uint8(class), int32(len(*list))}
		*list = append(*list, entry[T]{s.weight(m), m.Value, m})
		s.nonEmpty[(class-1)/64] |= 1 << ((class - 1) % 64)
	}
}

// boundSum is the sum of the bounds on the weights of all members: at least their sum and no more than twice that.
func (s *sampler[T]) boundSum() (sum float64) {
	for word, set := range s.nonEmpty {
		for ; set != 0; set &= set - 1 {
			class := word*64 + bits.TrailingZeros64(set)
			sum += float64(len(s.classes[class])) * classBound(class)
		}
	}
	return sum
}

// trial is an entry that a draw proposes, and how much weight it needs to be accepted.
type trial[T any] struct {
	entry  *entry[T]
	needed float64
}

func (t trial[T]) succeeds() bool { return t.needed < t.entry.weight }

// trialAt returns the trial at x of boundSum, which is above 0.
func (s *sampler[T]) trialAt(x float64) (t trial[T]) {
	for word := len(s.nonEmpty) - 1; word >= 0; word-- {
		for set := s.nonEmpty[word]; set != 0; {
			top := 63 - bits.LeadingZeros64(set)
			set &^= 1 << top
			class := word*64 + top
			list, bound := s.classes[class], classBound(class)
			i := min(int(x/bound), len(list)-1)
			t = trial[T]{&list[i], x - float64(i)*bound}
			total := float64(len(list)) * bound
			if x < total {
				return t
			}
			x -= total
		}
	}
	return t // of the last class, by a rounding error
}
