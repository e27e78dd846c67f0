package weighted

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node is a node of the tree in which a key finds the member that is its home: whoever has the same members with the
// same weights finds the same one. Inner nodes part their members by three bits of their hashes; a key takes the
// child, and at the leaf the member, that wins a weighted rendezvous. A key has its home at a member with probability
// weight over total. What a member gains or loses of weight moves no more keys at each node than it must, so that in
// all few times the least possible move: the number of nodes from the root to a leaf. The weights that it goes by are
// behind by homeStale of each member's share at most; in a pool that is one leaf they are those at present.
type node[T any] struct {
	leaf  []rival[T] // homeLeaf at most but below homeDeep
	inner *inner[T]  // nil of a leaf
	count int
	sum   Linear // of the members' homed shares
}

// inner has the sums beside the nodes, since each look at a node itself waits for memory.
type inner[T any] struct {
	kids [8]*node[T] // empty ones are nil
	sums [8]Linear
}

// rival is what a race looks at of a member.
type rival[T any] struct {
	hash   uint64
	homed  Linear
	of     T
	member *Member[T]
}

const (
	homeLeaf  = 32
	homeDeep  = 20 // levels; members whose hashes agree in so many bits stay together
	homeStale = 0.1
)

func kidOf(hash uint64, depth int) int { return int(hash >> (61 - 3*depth) & 7) }

func (h *node[T]) add(s *Member[T], depth int) {
	h.put(rival[T]{s.Hash, s.homed, s.Value, s}, depth)
}

func (h *node[T]) put(r rival[T], depth int) {
	if h.count++; h.inner != nil {
		h.descend(r, depth)
	} else if h.leaf = append(h.leaf, r); h.count > homeLeaf && depth < homeDeep {
		all := h.leaf
		h.leaf, h.inner = nil, &inner[T]{}
		for _, r := range all {
			h.descend(r, depth)
		}
	}
	h.resum()
}

func (h *node[T]) descend(r rival[T], depth int) {
	k := kidOf(r.hash, depth)
	if h.inner.kids[k] == nil {
		h.inner.kids[k] = &node[T]{}
	}
	h.inner.kids[k].put(r, depth+1)
	h.inner.sums[k] = h.inner.kids[k].sum
}

func (h *node[T]) remove(s *Member[T], depth int) {
	if h.count--; h.inner == nil {
		i, last := h.at(s), len(h.leaf)-1
		h.leaf[i], h.leaf[last] = h.leaf[last], rival[T]{}
		h.leaf = h.leaf[:last]
	} else {
		k := kidOf(s.Hash, depth)
		kid := h.inner.kids[k]
		kid.remove(s, depth+1)
		if h.inner.sums[k] = kid.sum; kid.count == 0 {
			h.inner.kids[k] = nil
		}
		if h.count <= homeLeaf { // as if the others had come alone: who has another past must agree
			h.leaf, h.inner = h.gather(nil), nil
		}
	}
	h.resum()
}

// at is the place of a member in its leaf.
func (h *node[T]) at(s *Member[T]) int {
	return slices.IndexFunc(h.leaf, func(r rival[T]) bool { return r.member == s })
}

func (h *node[T]) gather(into []rival[T]) []rival[T] {
	if h.inner == nil {
		return append(into, h.leaf...)
	}
	for _, kid := range h.inner.kids {
		if kid != nil {
			into = kid.gather(into)
		}
	}
	return into
}

// changed takes note of a member's new share. What errors of rounding this leaves, the next resum clears.
func (h *node[T]) changed(s *Member[T]) {
	was := s.homed
	s.homed = s.DrawWeight
	for depth := 0; ; depth++ {
		h.sum.AddScaled(s.DrawWeight, 1)
		h.sum.AddScaled(was, -1)
		if h.inner == nil {
			h.leaf[h.at(s)].homed = s.DrawWeight
			return
		}
		k := kidOf(s.Hash, depth)
		h.inner.sums[k].AddScaled(s.DrawWeight, 1)
		h.inner.sums[k].AddScaled(was, -1)
		h = h.inner.kids[k]
	}
}

// resum adds up anew, so that no error of rounding stays.
func (h *node[T]) resum() {
	h.sum = Linear{}
	for i := range h.leaf {
		h.sum.AddScaled(h.leaf[i].homed, 1)
	}
	if h.inner != nil {
		for _, sum := range h.inner.sums {
			h.sum.AddScaled(sum, 1)
		}
	}
}

// Rendezvous is a weighted rendezvous for a key (exponential times, as in "Weighted distributed hash tables" by
// Schindelhauer and Schomaker): who has the least time over weight wins.
type Rendezvous struct {
	source rand.PCG
	rng    *rand.Rand
	key    uint64
	lowest float64
}

func NewRendezvous() *Rendezvous {
	r := &Rendezvous{}
	r.rng = rand.New(&r.source)
	return r
}

func (r *Rendezvous) SetKey(key string) { r.key = xxhash.Sum64String(key) }

// leastWeight stands for a weight of 0 in a race, and for one that is no number: less than any that a draw knows, so that
// it loses to all of them, while two such ones still race. Their times would be infinite else, and the first one to be
// looked at would win: by the order in which the members came, which agents don't share.
const leastWeight = 1e-300

// wins reports whether the one with that hash and weight is ahead of all before it.
func (r *Rendezvous) wins(first bool, hash uint64, weight float64) bool {
	if !(weight > leastWeight) {
		weight = leastWeight
	}
	r.source.Seed(r.key, hash)
	if x := r.rng.ExpFloat64() / weight; first || x < r.lowest {
		r.lowest = x
		return true
	}
	return false
}

// Owner returns the home of the key that the race was started for; ok is false in a pool without members or homes.
func (d *Distribution[T]) Owner(r *Rendezvous) (of T, ok bool) {
	h, path := d.pool.homes, uint64(1)
	for h != nil && h.inner != nil {
		best := -1
		for i, kid := range h.inner.kids {
			if kid != nil && r.wins(best < 0, path<<3|uint64(i), h.inner.sums[i].At(d.mean)) {
				best = i
			}
		}
		h, path = h.inner.kids[best], path<<3|uint64(best)
	}
	if h == nil {
		return of, false
	}
	for i := range h.leaf {
		if e := &h.leaf[i]; r.wins(!ok, e.hash, e.homed.At(d.mean)) {
			of, ok = e.of, true
		}
	}
	return of, ok
}

// OwnerAmong returns the home among a few members, or nil without any.
func OwnerAmong[T any](r *Rendezvous, members []*Member[T], mean float64) (best *Member[T]) {
	for _, s := range members {
		if r.wins(best == nil, s.Hash, s.DrawWeight.At(mean)) {
			best = s
		}
	}
	return best
}
