package weighted

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// poolFixture is a pool with its members, as an owner keeps it.
type poolFixture struct {
	pool *Pool[int]
	mean float64
	all  map[int]*Member[int]
}

func newPoolFixture() *poolFixture {
	return &poolFixture{pool: NewPool[int](true), mean: 1, all: map[int]*Member[int]{}}
}

func (c *poolFixture) set(i int, weight Linear) {
	m := c.all[i]
	if m == nil {
		m = &Member[int]{Value: i, Hash: xxhash.Sum64String(fmt.Sprint("m", i))}
		c.all[i] = m
	}
	m.DrawWeight = weight
	c.pool.Put(m, c.mean)
}

func (c *poolFixture) remove(i int) {
	c.pool.Remove(c.all[i])
	delete(c.all, i)
}

func (c *poolFixture) ownersOf(r *Rendezvous, keys int) []int {
	d := c.pool.At(c.mean)
	out := make([]int, keys)
	for k := range out {
		r.SetKey(fmt.Sprint("key", k))
		out[k], _ = d.Owner(r)
	}
	return out
}

// fits tells by Pearson's chi-squared test how far counts are from the wanted weights, in standard deviations of a draw
// that follows them (by Wilson and Hilferty's approximation).
func fits(got map[int]int, want map[int]float64, n int) float64 {
	chi, total := 0.0, 0.0
	for _, w := range want {
		total += w
	}
	for i, w := range want {
		expected := float64(n) * w / total
		d := float64(got[i]) - expected
		chi += d * d / expected
	}
	k := float64(len(want) - 1)
	return (math.Cbrt(chi/k) - (1 - 2/(9*k))) / math.Sqrt(2/(9*k))
}

// Draws and owners of keys follow the weights at every size, when new and after churn, and the test would see a draw that does
// not: one that ignores weights, and one by weights a fifth of which are off by a quarter, are both found out.
func TestDrawsFollowWeights(t *testing.T) {
	const most = 5 // standard deviations: a true draw goes beyond that once in three million times
	for _, size := range []int{14, 100, 1000, 10_000} {
		rng := rand.New(rand.NewPCG(1, uint64(size)))
		c := newPoolFixture()
		newWeight := func() Linear { // sizes of one to ten, some of them by their own reports in part
			p := Linear{Slope: 1 + 9*rng.Float64()}
			if rng.IntN(2) == 0 {
				p = Linear{p.Slope / 4, 20 * p.Slope}
			}
			return p
		}
		for i := range size {
			c.set(i, newWeight())
		}
		check := func(when string) {
			t.Helper()
			want, skewed := map[int]float64{}, map[int]float64{}
			for i, m := range c.all {
				want[i] = m.DrawWeight.At(c.mean)
				if skewed[i] = want[i]; i%5 == 0 {
					skewed[i] *= 1.25
				}
			}
			n := max(400*size, 40_000)
			d := c.pool.At(c.mean)
			got, even := map[int]int{}, map[int]int{}
			out := make([]int, 16)
			for range n / len(out) {
				d.Fill(rng, out)
				for _, i := range out {
					got[i]++
				}
			}
			for range n {
				even[rng.IntN(size)]++
			}
			n = n / len(out) * len(out)
			if z := fits(got, want, n); z > most {
				t.Errorf("%d members, %s: draws are %.1f standard deviations off", size, when, z)
			}
			if z := fits(got, skewed, n); z < most {
				t.Errorf("%d members, %s: weights that are off pass the test at %.1f", size, when, z)
			}
			if z := fits(even, want, n); z < most {
				t.Errorf("%d members, %s: an even draw passes the test at %.1f", size, when, z)
			}
		}
		check("new")
		for i := range size / 2 {
			c.set(i, newWeight())
		}
		check("with half of the weights changed")
		for range 5 * size {
			i := rng.IntN(size)
			if rng.IntN(3) == 0 {
				c.remove(i)
			}
			c.set(i, newWeight())
		}
		c.mean = 17
		check("after churn")
	}
}

// One huge member among many small ones, and weights over more than five orders of size, none of which is a number at
// the ends: the draw follows what is a weight and always ends.
func TestExtremeWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := newPoolFixture()
	for i := range 1000 {
		c.set(i, Linear{Slope: 1})
	}
	c.set(1000, Linear{Slope: 1e5})
	c.set(1001, Linear{Slope: math.SmallestNonzeroFloat64})
	c.set(1002, Linear{Slope: math.NaN(), Intercept: -3})
	d := c.pool.At(c.mean)
	huge := 0
	for range 10_000 {
		switch i, ok := d.Draw(rng); {
		case !ok || i > 1000:
			t.Fatalf("drew %d, %v", i, ok)
		case i == 1000:
			huge++
		}
	}
	if huge < 9800 || huge > 9980 {
		t.Errorf("a member of 99%% of the weight was drawn %d times of 10000", huge)
	}
	for i := range 1003 {
		c.remove(i)
	}
	d = c.pool.At(c.mean)
	if _, ok := d.Draw(rng); ok || d.WeightBound() != 0 {
		t.Error("an empty pool has something to draw")
	}
	c.set(1, Linear{Slope: math.Inf(1)})
	d = c.pool.At(c.mean)
	if _, ok := d.Draw(rng); !ok {
		t.Error("an infinite weight counts as the most that there is, and was not drawn")
	}
}

// Whatever comes and goes, in whatever order: the pool holds exactly the members, and keys have the owners that they
// would have in a pool that is filled anew.
func TestPoolModel(t *testing.T) {
	rendezvous := NewRendezvous()
	rapid.Check(t, func(t *rapid.T) {
		c := newPoolFixture()
		for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(1, 120).Draw(t, "changes") {
				i := rapid.IntRange(0, 99).Draw(t, "member")
				if c.all[i] != nil && rapid.IntRange(0, 3).Draw(t, "what") <= 3*(round%2) { // it grows, then shrinks
					c.remove(i)
					continue
				}
				c.set(i, Linear{float64(rapid.IntRange(0, 5).Draw(t, "size")), float64(rapid.IntRange(0, 90).Draw(t, "rate")) / 8})
			}
			fresh := newPoolFixture()
			for i, m := range c.all {
				m.ownerWeight = m.DrawWeight // else the two may lawfully differ by maxOwnerWeightDrift
				fresh.set(i, m.DrawWeight)
			}
			refreshOwnerWeights(c.pool.owners)
			var held []int
			for half := range c.pool.samplers {
				m := &c.pool.samplers[half]
				for class, list := range m.classes {
					if filled := m.nonEmpty[class/64]>>(class%64)&1 == 1; filled != (len(list) > 0) {
						t.Fatalf("class %d with %d members is marked %v", class, len(list), filled)
					}
					for at, e := range list {
						w := m.weight(e.member)
						if e.weight != w || w >= classBound(class) || w < classBound(class)/2 || e.member.slots[half] != (slot{uint8(class + 1), int32(at)}) {
							t.Fatalf("member %d of weight %v stands in class %d as %v", e.value, w, class, e)
						}
						held = append(held, e.value)
					}
				}
			}
			slices.Sort(held)
			for i, m := range c.all {
				if _, is := slices.BinarySearch(held, i); is != (m.DrawWeight.Slope > 0 || m.DrawWeight.Intercept > 0) {
					t.Fatalf("member %d with %v is held: %v", i, m.DrawWeight, is)
				}
			}
			if n := c.pool.owners.size; n != len(c.all) {
				t.Fatalf("the tree counts %d members of %d", n, len(c.all))
			}
			if got, want := c.ownersOf(rendezvous, 50), fresh.ownersOf(rendezvous, 50); !slices.Equal(got, want) {
				t.Fatalf("owners after changes are %v, in a new pool %v", got, want)
			}
		}
	})
}

// Members without weight have no say in the owners of keys beside one that has some; where none has any, keys still have
// the same owners whatever the order in which the members came.
func TestOwnersWithoutWeight(t *testing.T) {
	rendezvous := NewRendezvous()
	here, there := newPoolFixture(), newPoolFixture()
	for i := range 4 {
		here.set(i, Linear{})
		there.set(3-i, Linear{Intercept: math.NaN()})
	}
	got, want := here.ownersOf(rendezvous, 50), there.ownersOf(rendezvous, 50)
	if !slices.Equal(got, want) || slices.Min(got) == slices.Max(got) {
		t.Errorf("owners are %v, and %v where the members came in another order", got, want)
	}
	here.set(2, Linear{Intercept: 1e-9})
	if got := here.ownersOf(rendezvous, 50); slices.Min(got) != 2 || slices.Max(got) != 2 {
		t.Errorf("owners are %v, where only member 2 has a weight", got)
	}
}

// refreshOwnerWeights brings the copies of weights in a tree up to date.
func refreshOwnerWeights(h *ownerTree[int]) {
	for i := range h.leaf {
		h.leaf[i].ownerWeight = h.leaf[i].member.ownerWeight
	}
	if h.branch != nil {
		for k, child := range h.branch.children {
			if child != nil {
				refreshOwnerWeights(child)
				h.branch.weights[k] = child.weight
			}
		}
	}
	h.recomputeWeight()
}

// Few keys move when few members change: at each level of the tree no more than must, so within the number of levels
// times the least possible in all. Homes follow the weights all the time.
func TestFewKeysMove(t *testing.T) {
	rendezvous := NewRendezvous()
	for _, tt := range []struct {
		size   int
		levels float64
	}{{30, 1}, {1000, 3}, {10_000, 4}} {
		for name, change := range map[string]func(c *poolFixture, i int){
			"gone":       func(c *poolFixture, i int) { c.remove(i) },
			"twice":      func(c *poolFixture, i int) { c.set(i, c.all[i].DrawWeight.Scaled(2)) },
			"new beside": func(c *poolFixture, i int) { c.set(c.all[i].Value+1_000_000, c.all[i].DrawWeight) },
		} {
			c := newPoolFixture()
			rng := rand.New(rand.NewPCG(3, 4))
			weights, total := map[int]float64{}, 0.0
			for i := range tt.size {
				c.set(i, Linear{Slope: 1 + 4*rng.Float64()})
				weights[i] = c.all[i].DrawWeight.Slope
				total += weights[i]
			}
			const keys = 40_000
			before := c.ownersOf(rendezvous, keys)
			got := map[int]int{}
			for _, i := range before {
				got[i]++
			}
			if z := fits(got, weights, keys); z > 5 {
				t.Errorf("%d members: owners are %.1f standard deviations off the weights", tt.size, z)
			}
			least := 0.0
			for i := range max(1, tt.size/100) {
				least += weights[i*50] / total
				change(c, i*50)
			}
			if name != "gone" { // of a larger total
				least /= 1 + least
			}
			moved := 0
			for k, i := range c.ownersOf(rendezvous, keys) {
				if i != before[k] {
					moved++
				}
			}
			ratio := float64(moved) / keys
			t.Logf("%d members, 1%% of them %s: %.2f%% of the keys move, the least is %.2f%%", tt.size, name, 100*ratio, 100*least)
			if ratio > least*tt.levels*1.25 || ratio < least/2 {
				t.Errorf("%d members, %s: %.2f%% of the keys moved, where %.2f%% must", tt.size, name, 100*ratio, 100*least)
			}
		}
	}
}
