package balancer

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"appleledge/internal/balancer/weighted"
)

// Subsetting: a balancer spreads its requests over a part of a large fleet, so that connections and the news
// of servers' loads are not spread too thin. Servers stand in the balancer's own order, and the subset is a
// beginning of it.
const (
	minSubsetSize           = 6   // servers, at least
	inFlightPerSubsetServer = 2   // own attempts in flight for each server of the subset, from which it grows
	minSubsetsPerServer     = 20  // balancers that have the same server in their subset, at least
	minMembershipRatio      = 0.5 // of the mean number of subsets, what a server is taken to be in at least
	unitsPerServer          = 64  // in which the present capacity of one warm server is counted
)

// subset is the part of the servers that get this balancer's requests, and the pools that it draws them from.
type subset struct {
	size            int            // servers of it: the first so many of endpoints.servers
	minSize         int            // warm servers wanted, by the sizes of fleet and list
	growthThreshold int            // warm servers wanted for the own attempts in flight
	capacity        subsetCapacity // sum over its servers that may be drawn
	warmPool        *pool          // its warm servers that may be drawn
	warmingPool     *pool          // and those in slow start
}

// subsetCapacity is what the servers of a subset that may be drawn can do.
type subsetCapacity struct {
	warm     weighted.Linear // draw weight of warm servers
	warming  weighted.Linear // of the others, at present
	warmedUp weighted.Linear // and of these when they will be warm
	units    int             // unitsPerServer for each warm server, for others the part of it that they have
}

func (c *subsetCapacity) add(other subsetCapacity, sign int) {
	c.warm.AddScaled(other.warm, float64(sign))
	c.warming.AddScaled(other.warming, float64(sign))
	c.warmedUp.AddScaled(other.warmedUp, float64(sign))
	if c.units += sign * other.units; c.units == 0 { // what is left of the sums is rounding error
		*c = subsetCapacity{}
	}
}

// subsetPartOf is what a server that may be drawn adds to the capacity of the subset.
func (b *Balancer) subsetPartOf(s *server) subsetCapacity {
	ratio := b.warmRatio(s)
	if ratio == 1 {
		return subsetCapacity{warm: s.DrawWeight, units: unitsPerServer}
	}
	return subsetCapacity{warming: s.DrawWeight.Scaled(ratio / b.membershipRatio(s)), warmedUp: s.DrawWeight,
		units: max(1, int(unitsPerServer*ratio))}
}

// membershipRatio is the number of subsets that a server is in, over the mean. It is in those that begin on
// the arc before it which holds as many servers as a subset. Hashes leave gaps on the ring, behind which all
// balancers see the same few.
func (b *Balancer) membershipRatio(s *server) float64 {
	servers := b.endpoints.servers
	n := len(servers)
	if b.subset.size < b.subset.minSize || b.subset.size >= n {
		return 1
	}
	at, _ := slices.BinarySearchFunc(servers, s, inRingOrder)
	arc := s.ringPosition - servers[(at-b.subset.size+n)%n].ringPosition
	return max(minMembershipRatio, math.Ldexp(float64(arc), -64)*float64(n)/float64(b.subset.size))
}

// inRingOrder compares by the balancer's own order: round the ring of all hashes, from its own place on.
// Balancers' places are multiples of the golden ratio, which lie evenly for any number of them (Knuth, volume
// 3, 6.4). So each server is in the beginnings of about as many orders as any other, and a change of the list
// moves only the servers that it names.
func inRingOrder(x, y *server) int {
	if x.ringPosition != y.ringPosition {
		return cmp.Compare(x.ringPosition, y.ringPosition)
	}
	return strings.Compare(x.ID, y.ID)
}

// ringPosition is the place of a hash in the order of the balancer of that index.
func ringPosition(hash uint64, index int) uint64 { return hash - uint64(index)*0x9E3779B97F4A7C15 }

// place puts a server into the pool that it is drawn from, if any, and counts it in the capacity of the
// subset.
func (b *Balancer) place(s *server) {
	isEligible := s.isInSubset && s.State == Ready && !b.isEjected(s)
	b.subset.capacity.add(s.subsetPart, -1)
	if s.subsetPart = (subsetCapacity{}); isEligible {
		s.subsetPart = b.subsetPartOf(s)
		b.subset.capacity.add(s.subsetPart, 1)
	}
	switch {
	case !isEligible:
		b.moveToPool(s, nil)
	case b.warmRatio(s) < 1:
		b.moveToPool(s, b.subset.warmingPool)
	default:
		b.moveToPool(s, b.subset.warmPool)
	}
}

func (b *Balancer) moveToPool(s *server, to *pool) {
	if s.pool != nil && s.pool != to {
		s.pool.Remove(&s.Member)
	}
	if s.pool = to; to != nil {
		to.Put(&s.Member, b.capacity.meanRate)
	}
}

// fitSubset grows or shrinks the subset until the servers of it that may be drawn come up to as many warm
// servers as are wanted. So subsets of many warming servers are wider, and no server's part of the requests
// depends on whose subset it is in.
func (b *Balancer) fitSubset() {
	want := unitsPerServer * max(b.subset.minSize, b.subset.growthThreshold)
	servers := b.endpoints.servers
	for b.subset.capacity.units < want && b.subset.size < len(servers) {
		s := servers[b.subset.size]
		b.subset.size++
		s.isInSubset = true
		b.place(s)
	}
	for b.subset.size > 0 {
		s := servers[b.subset.size-1]
		if b.subset.capacity.units-s.subsetPart.units < want {
			break
		}
		b.subset.size--
		s.isInSubset = false
		b.place(s)
	}
}
