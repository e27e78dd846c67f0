package weighted

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The tree of owners.
const (
	maxLeafSize         = 32  // members of a leaf; with more it branches
	maxDepth            = 20  // levels; members whose hashes agree in that many times three bits stay in one leaf
	maxOwnerWeightDrift = 0.1 // ratio of its weight by which a member's weight in the tree may be out of date
)

// ownerTree is a tree in which a key finds the member that owns it: whoever has the same members with the same weights
// finds the same one. Branches divide their members by three bits of their hashes; a key takes the child, and in the leaf
// the member, that wins a weighted rendezvous, so that a member owns a key with probability weight over total. When a
// member's weight changes, no more keys move at each level than must, so in all at most the number of levels times the
// fewest possible. Weights in the tree drift from the members' by maxOwnerWeightDrift at most; in a pool that is one leaf
// they never drift.
type ownerTree[T any] struct {
	leaf   []leafEntry[T] // its members, if it has no branch
	branch *branch[T]     // nil of a leaf
	size   int            // members below it
	weight Linear         // sum of their owner weights
}

// branch has the weights of the children beside them, since each look at a child itself waits for memory.
type branch[T any] struct {
	children [8]*ownerTree[T] // nil where there would be no member
	weights  [8]Linear
}

// leafEntry is what a rendezvous looks at of a member.
type leafEntry[T any] struct {
	hash        uint64
	ownerWeight Linear
	value       T
	member      *Member[T]
}

// childIndex is the child of a branch at that depth to which the hash belongs.
func childIndex(hash uint64, depth int) int { return int(hash >> (61 - 3*depth) & 7) }

func (t *ownerTree[T]) add(m *Member[T], depth int) {
	t.insert(leafEntry[T]{m.Hash, m.ownerWeight, m.Value, m}, depth)
}

func (t *ownerTree[T]) insert(e leafEntry[T], depth int) {
	if t.size++; t.branch != nil {
		t.insertBelow(e, depth)
	} else if t.leaf = append(t.leaf, e); t.size > maxLeafSize && depth < maxDepth {
		all := t.leaf
		t.leaf, t.branch = nil, &branch[T]{}
		for _, e := range all {
			t.insertBelow(e, depth)
		}
	}
	t.recomputeWeight()
}

func (t *ownerTree[T]) insertBelow(e leafEntry[T], depth int) {
	k := childIndex(e.hash, depth)
	if t.branch.children[k] == nil {
		t.branch.children[k] = &ownerTree[T]{}
	}
	t.branch.children[k].insert(e, depth+1)
	t.branch.weights[k] = t.branch.children[k].weight
}

func (t *ownerTree[T]) remove(m *Member[T], depth int) {
	if t.size--; t.branch == nil {
		i, last := t.indexInLeaf(m), len(t.leaf)-1
		t.leaf[i], t.leaf[last] = t.leaf[last], leafEntry[T]{}
		t.leaf = t.leaf[:last]
	} else {
		k := childIndex(m.Hash, depth)
		child := t.branch.children[k]
		child.remove(m, depth+1)
		if t.branch.weights[k] = child.weight; child.size == 0 {
			t.branch.children[k] = nil
		}
		if t.size <= maxLeafSize { // the shape follows from the members alone: agents with other histories must agree
			t.leaf, t.branch = t.appendEntries(nil), nil
		}
	}
	t.recomputeWeight()
}

func (t *ownerTree[T]) indexInLeaf(m *Member[T]) int {
	return slices.IndexFunc(t.leaf, func(e leafEntry[T]) bool { return e.member == m })
}

// appendEntries appends the entries of all leaves below.
func (t *ownerTree[T]) appendEntries(to []leafEntry[T]) []leafEntry[T] {
	if t.branch == nil {
		return append(to, t.leaf...)
	}
	for _, child := range t.branch.children {
		if child != nil {
			to = child.appendEntries(to)
		}
	}
	return to
}

// updateWeight takes a member's present weight into the tree. The rounding errors that this leaves are cleared by the next
// recomputeWeight.
func (t *ownerTree[T]) updateWeight(m *Member[T]) {
	old := m.ownerWeight
	m.ownerWeight = m.DrawWeight
	for depth := 0; ; depth++ {
		t.weight.AddScaled(m.DrawWeight, 1)
		t.weight.AddScaled(old, -1)
		if t.branch == nil {
			t.leaf[t.indexInLeaf(m)].ownerWeight = m.DrawWeight
			return
		}
		k := childIndex(m.Hash, depth)
		t.branch.weights[k].AddScaled(m.DrawWeight, 1)
		t.branch.weights[k].AddScaled(old, -1)
		t = t.branch.children[k]
	}
}

// recomputeWeight adds up the weight of a leaf or a branch anew, so that no rounding error stays.
func (t *ownerTree[T]) recomputeWeight() {
	t.weight = Linear{}
	for i := range t.leaf {
		t.weight.AddScaled(t.leaf[i].ownerWeight, 1)
	}
	if t.branch != nil {
		for _, weight := range t.branch.weights {
			t.weight.AddScaled(weight, 1)
		}
	}
}

// Rendezvous finds owners of keys by weighted rendezvous hashing: each contender draws an exponential time from the hashes
// of key and contender, and the least time over weight wins ("Weighted distributed hash tables" by Schindelhauer and
// Schomaker). It is not safe for concurrent use.
type Rendezvous struct {
	source     rand.PCG
	rng        *rand.Rand
	key        uint64
	lowestTime float64 // of the contenders of the present round
}

// NewRendezvous returns a Rendezvous that needs a SetKey before its use.
func NewRendezvous() *Rendezvous {
	r := &Rendezvous{}
	r.rng = rand.New(&r.source)
	return r
}

// SetKey sets the key whose owner is looked for from now on.
func (r *Rendezvous) SetKey(key string) { r.key = xxhash.Sum64String(key) }

// minRendezvousWeight stands for a weight of 0, and for NaN: less than any that a draw knows, so that it loses to all of
// them, while two such ones still compete. Else their times would be infinite and the first one looked at would win: by the
// order in which the members came, which agents don't share.
const minRendezvousWeight = 1e-300

// beatsLowest reports whether the contender with that hash and weight is ahead of all before it in this round.
func (r *Rendezvous) beatsLowest(isFirst bool, hash uint64, weight float64) bool {
	if !(weight > minRendezvousWeight) {
		weight = minRendezvousWeight
	}
	r.source.Seed(r.key, hash)
	if x := r.rng.ExpFloat64() / weight; isFirst || x < r.lowestTime {
		r.lowestTime = x
		return true
	}
	return false
}

// Owner returns the owner of the key set in r. It reports false in a pool that is empty or has no owners.
func (d *Distribution[T]) Owner(r *Rendezvous) (value T, ok bool) {
	t, path := d.pool.owners, uint64(1)
	for t != nil && t.branch != nil {
		best := -1
		for i, child := range t.branch.children {
			if child != nil && r.beatsLowest(best < 0, path<<3|uint64(i), t.branch.weights[i].At(d.mean)) {
				best = i
			}
		}
		t, path = t.branch.children[best], path<<3|uint64(best)
	}
	if t == nil {
		return value, false
	}
	for i := range t.leaf {
		if e := &t.leaf[i]; r.beatsLowest(!ok, e.hash, e.ownerWeight.At(d.mean)) {
			value, ok = e.value, true
		}
	}
	return value, ok
}

// OwnerAmong returns the owner of the key set in r among a few members, by their present weights at that mean; nil if there
// is no member.
func OwnerAmong[T any](r *Rendezvous, members []*Member[T], mean float64) (best *Member[T]) {
	for _, m := range members {
		if r.beatsLowest(best == nil, m.Hash, m.DrawWeight.At(mean)) {
			best = m
		}
	}
	return best
}
