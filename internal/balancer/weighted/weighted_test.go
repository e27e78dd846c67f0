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

// crowd is a pool with its members, as an owner keeps it.
type crowd struct {
	pool *Pool[int]
	mean float64
	all  map[int]*Member[int]
}

func newCrowd() *crowd {
	return &crowd{pool: NewPool[int](true), mean: 1, all: map[int]*Member[int]{}}
}

func (c *crowd) set(i int, share Linear) {
	m := c.all[i]
	if m == nil {
		m = &Member[int]{Value: i, Hash: xxhash.Sum64String(fmt.Sprint("m", i))}
		c.all[i] = m
	}
	m.DrawWeight = share
	c.pool.Put(m, c.mean)
}

func (c *crowd) remove(i int) {
	c.pool.Remove(c.all[i])
	delete(c.all, i)
}

func (c *crowd) homes(r *Rendezvous, keys int) []int {
	d := c.pool.At(c.mean)
	out := make([]int, keys)
	for k := range out {
		r.SetKey(fmt.Sprint("key", k))
		out[k], _ = d.Owner(r)
	}
	return out
}

// fits tells by Pearson's chi-squared test how far counts are from the wanted shares, in standard deviations of a draw
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

// Draws and homes follow the weights at every size, when new and after churn, and the test would see a draw that does
// not: one that ignores weights, and one by weights a fifth of which are off by a quarter, are both found out.
func TestDrawsFollowWeights(t *testing.T) {
	const most = 5 // standard deviations: a true draw goes beyond that once in three million times
	for _, size := range []int{14, 100, 1000, 10_000} {
		rng := rand.New(rand.NewPCG(1, uint64(size)))
		c := newCrowd()
		share := func() Linear { // sizes of one to ten, some of them by their own reports in part
			p := Linear{Slope: 1 + 9*rng.Float64()}
			if rng.IntN(2) == 0 {
				p = Linear{p.Slope / 4, 20 * p.Slope}
			}
			return p
		}
		for i := range size {
			c.set(i, share())
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
			c.set(i, share())
		}
		check("with half of the weights changed")
		for range 5 * size {
			i := rng.IntN(size)
			if rng.IntN(3) == 0 {
				c.remove(i)
			}
			c.set(i, share())
		}
		c.mean = 17
		check("after churn")
	}
}

// One huge member among many small ones, and weights over more than five orders of size, none of which is a number at
// the ends: the draw follows what is a weight and always ends.
func TestExtremeWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := newCrowd()
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

// Whatever comes and goes, in whatever order: the pool holds exactly the members, and keys have the homes that they
// would have in a pool that is filled anew.
func TestPoolModel(t *testing.T) {
	race := NewRendezvous()
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd()
		for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(1, 120).Draw(t, "changes") {
				i := rapid.IntRange(0, 99).Draw(t, "member")
				if c.all[i] != nil && rapid.IntRange(0, 3).Draw(t, "what") <= 3*(round%2) { // it grows, then shrinks
					c.remove(i)
					continue
				}
				c.set(i, Linear{float64(rapid.IntRange(0, 5).Draw(t, "size")), float64(rapid.IntRange(0, 90).Draw(t, "rate")) / 8})
			}
			fresh := newCrowd()
			for i, m := range c.all {
				m.homed = m.DrawWeight // else the two may lawfully differ by homeStale
				fresh.set(i, m.DrawWeight)
			}
			rebuild(c.pool.homes)
			var held []int
			for half := range c.pool.halves {
				m := &c.pool.halves[half]
				for class, list := range m.classes {
					if filled := m.filled[class/64]>>(class%64)&1 == 1; filled != (len(list) > 0) {
						t.Fatalf("class %d with %d members is marked %v", class, len(list), filled)
					}
					for at, e := range list {
						w := m.weight(e.member)
						if e.weight != w || w >= most(class) || w < most(class)/2 || e.member.slots[half] != (slot{uint8(class + 1), int32(at)}) {
							t.Fatalf("member %d of weight %v stands in class %d as %v", e.of, w, class, e)
						}
						held = append(held, e.of)
					}
				}
			}
			slices.Sort(held)
			for i, m := range c.all {
				if _, is := slices.BinarySearch(held, i); is != (m.DrawWeight.Slope > 0 || m.DrawWeight.Intercept > 0) {
					t.Fatalf("member %d with %v is held: %v", i, m.DrawWeight, is)
				}
			}
			if n := c.pool.homes.count; n != len(c.all) {
				t.Fatalf("the homes count %d members of %d", n, len(c.all))
			}
			if got, want := c.homes(race, 50), fresh.homes(race, 50); !slices.Equal(got, want) {
				t.Fatalf("homes after changes are %v, in a new pool %v", got, want)
			}
		}
	})
}

// Members without weight have no say in the homes of keys beside one that has some; where none has any, keys still have
// the same homes whatever the order in which the members came.
func TestHomesWithoutWeight(t *testing.T) {
	race := NewRendezvous()
	here, there := newCrowd(), newCrowd()
	for i := range 4 {
		here.set(i, Linear{})
		there.set(3-i, Linear{Intercept: math.NaN()})
	}
	got, want := here.homes(race, 50), there.homes(race, 50)
	if !slices.Equal(got, want) || slices.Min(got) == slices.Max(got) {
		t.Errorf("homes are %v, and %v where the members came in another order", got, want)
	}
	here.set(2, Linear{Intercept: 1e-9})
	if got := here.homes(race, 50); slices.Min(got) != 2 || slices.Max(got) != 2 {
		t.Errorf("homes are %v, where only member 2 has a weight", got)
	}
}

// rebuild brings a tree's copies of shares up to date.
func rebuild(h *node[int]) {
	for i := range h.leaf {
		h.leaf[i].homed = h.leaf[i].member.homed
	}
	if h.inner != nil {
		for k, kid := range h.inner.kids {
			if kid != nil {
				rebuild(kid)
				h.inner.sums[k] = kid.sum
			}
		}
	}
	h.resum()
}

// Few keys move when few members change: at each level of the tree no more than must, so within the number of levels
// times the least possible in all. Homes follow the weights all the time.
func TestFewKeysMove(t *testing.T) {
	race := NewRendezvous()
	for _, tt := range []struct {
		size   int
		levels float64
	}{{30, 1}, {1000, 3}, {10_000, 4}} {
		for name, change := range map[string]func(c *crowd, i int){
			"gone":       func(c *crowd, i int) { c.remove(i) },
			"twice":      func(c *crowd, i int) { c.set(i, c.all[i].DrawWeight.Scaled(2)) },
			"new beside": func(c *crowd, i int) { c.set(c.all[i].Value+1_000_000, c.all[i].DrawWeight) },
		} {
			c := newCrowd()
			rng := rand.New(rand.NewPCG(3, 4))
			weights, total := map[int]float64{}, 0.0
			for i := range tt.size {
				c.set(i, Linear{Slope: 1 + 4*rng.Float64()})
				weights[i] = c.all[i].DrawWeight.Slope
				total += weights[i]
			}
			const keys = 40_000
			before := c.homes(race, keys)
			got := map[int]int{}
			for _, i := range before {
				got[i]++
			}
			if z := fits(got, weights, keys); z > 5 {
				t.Errorf("%d members: homes are %.1f standard deviations off the weights", tt.size, z)
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
			for k, i := range c.homes(race, keys) {
				if i != before[k] {
					moved++
				}
			}
			share := float64(moved) / keys
			t.Logf("%d members, 1%% of them %s: %.2f%% of the keys move, the least is %.2f%%", tt.size, name, 100*share, 100*least)
			if share > least*tt.levels*1.25 || share < least/2 {
				t.Errorf("%d members, %s: %.2f%% of the keys moved, where %.2f%% must", tt.size, name, 100*share, 100*least)
			}
		}
	}
}
