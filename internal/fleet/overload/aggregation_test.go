package overload

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// aggregation is a method by which each agent estimates the demand of all. Each sends at most 20 messages a second.
type aggregation interface {
	// step advances by a round of 50 ms, in which each agent is asked for so much. A message is lost where lost says so.
	step(now time.Duration, asked []float64, lost func(from, to int) bool)
	// estimate is what an agent takes the sum for.
	estimate(agent int) float64
}

// digestAggregation is the method that was chosen: digests of all agents, passed on.
type digestAggregation struct {
	random *rand.Rand
	all    []*FleetView
	asked  []float64
	now    time.Duration
}

func newDigestAggregation(n int) aggregation {
	g := &digestAggregation{random: rand.New(rand.NewPCG(1, 1))}
	for i := range n {
		p := newFleetView(i, n, 2, 8)
		p.setLiveness(slices.Repeat([]bool{true}, n))
		g.all = append(g.all, p)
	}
	return g
}

func (g *digestAggregation) own(i int) LoadDigest {
	of := make([]float64, 8)
	for t := range of {
		of[t] = g.asked[i] / 8
	}
	return LoadDigest{Agent: i, NewRequests: []float64{g.asked[i], 0}, ClientRetries: []float64{0, 0}, Tenants: of}
}

func (g *digestAggregation) step(now time.Duration, asked []float64, lost func(from, to int) bool) {
	g.now, g.asked = now, asked
	for i, p := range g.all {
		if to := g.random.IntN(len(g.all)); to != i && !lost(i, to) {
			if b, err := parsePayload(p.buildPayload(now, g.own(i), true, 203)); err == nil {
				g.all[to].applyPayload(now, i, b)
			}
		}
	}
}

func (g *digestAggregation) estimate(i int) float64 {
	return g.all[i].totalDemand(g.now, g.own(i), 0).NewRequests[0]
}

// pushSum averages (D. Kempe, A. Dobra and J. Gehrke, 2003), with each change added as it comes.
type pushSum struct {
	random       *rand.Rand
	sum, weight  []float64
	last         []float64
	nextS, nextW []float64
}

func newPushSum(n int) aggregation {
	return &pushSum{random: rand.New(rand.NewPCG(2, 2)), sum: make([]float64, n), weight: slices.Repeat([]float64{1}, n), last: make([]float64, n),
		nextS: make([]float64, n), nextW: make([]float64, n)}
}

func (p *pushSum) step(_ time.Duration, asked []float64, lost func(from, to int) bool) {
	n := len(asked)
	for i := range n {
		p.sum[i] += asked[i] - p.last[i]
		p.last[i] = asked[i]
	}
	clear(p.nextS)
	clear(p.nextW)
	for i := range n {
		s, w, to := p.sum[i]/2, p.weight[i]/2, p.random.IntN(n)
		p.nextS[i], p.nextW[i] = p.nextS[i]+s, p.nextW[i]+w
		if !lost(i, to) {
			p.nextS[to], p.nextW[to] = p.nextS[to]+s, p.nextW[to]+w
		}
	}
	copy(p.sum, p.nextS)
	copy(p.weight, p.nextW)
}

func (p *pushSum) estimate(i int) float64 {
	return p.sum[i] / max(p.weight[i], 1e-12) * float64(len(p.sum))
}

// tree adds up in groups of about the square root of all agents, and the groups at a first agent; the sum goes back the same way. With one
// group one agent adds all up. Who adds up accepts 30 messages a round, as an agent accepts 600 a second.
type tree struct {
	groups          int
	part, estimates []float64 // what an adder knows of its group's agents; what an agent was sent last
	total           []float64 // by group, at the root
	atRoot, down    []float64
	taken           []int
}

func newTree(n int) aggregation   { return treeOf(n, int(math.Sqrt(float64(n)))) }
func newHolder(n int) aggregation { return treeOf(n, 1) }

func treeOf(n, groups int) aggregation {
	return &tree{groups: groups, part: make([]float64, n), estimates: make([]float64, n), total: make([]float64, groups), atRoot: make([]float64, groups),
		down: make([]float64, groups), taken: make([]int, groups)}
}

func (t *tree) step(now time.Duration, asked []float64, lost func(from, to int) bool) {
	clear(t.taken)
	round, sum := int(now/(50*time.Millisecond)), 0.0
	for _, x := range t.atRoot {
		sum += x
	}
	clear(t.total)
	for i := range asked {
		g := i % t.groups
		// An adder has so many agents to answer that each has its turn only now and then.
		mine := t.taken[g] < 30 && (i/t.groups+round)%max(1, (len(asked)/t.groups+29)/30) == 0
		if mine {
			t.taken[g]++
			if !lost(i, g) {
				t.part[i] = asked[i]
			}
			if !lost(g, i) {
				t.estimates[i] = t.down[g]
			}
		}
		t.total[g] += t.part[i]
	}
	for g := range t.groups {
		if !lost(g, 0) {
			t.atRoot[g] = t.total[g]
		}
		if !lost(0, g) {
			t.down[g] = sum
		}
	}
}

func (t *tree) estimate(i int) float64 { return t.estimates[i] }

// The demand of all agents rises to two and a half times the usual at once. The test logs how far off each method is before and after, and
// how soon it is within 15%. It measures, and checks nothing.
func TestDemandAggregationMethods(t *testing.T) {
	if os.Getenv("FLEET_MEASURE") == "" {
		t.Skip("FLEET_MEASURE=1 measures")
	}
	for _, n := range []int{10, 100, 1000} {
		for _, loss := range []float64{0, 0.3} {
			for _, w := range []struct {
				name string
				make func(int) aggregation
			}{{"digests", newDigestAggregation}, {"push-sum", newPushSum}, {"tree", newTree}, {"holder", newHolder}} {
				random := rand.New(rand.NewPCG(3, uint64(n)))
				asked, sum := make([]float64, n), 0.0
				for i := range asked {
					asked[i] = 4 * math.Exp(random.NormFloat64()/2)
					sum += asked[i]
				}
				lost := func(int, int) bool { return random.Float64() < loss }
				method, now := w.make(n), time.Second
				off := func() float64 { // at nine in ten agents
					var all []float64
					for i := range min(n, 100) {
						all = append(all, math.Abs(method.estimate(i)/sum-1))
					}
					slices.Sort(all)
					return all[len(all)*9/10]
				}
				for range 400 {
					now += 50 * time.Millisecond
					method.step(now, asked, lost)
				}
				calm := off()
				for i := range asked {
					asked[i] *= 2.5
				}
				sum *= 2.5
				late := time.Duration(-1)
				for round := range 200 {
					now += 50 * time.Millisecond
					if method.step(now, asked, lost); late < 0 && off() < 0.15 {
						late = time.Duration(round+1) * 50 * time.Millisecond
					}
				}
				t.Logf("%4d agents, %.1f lost, %-8s: off by %.3f at rest, within 0.15 after %v, by %.3f after 10s", n, loss, w.name, calm, late, off())
			}
		}
	}
}
