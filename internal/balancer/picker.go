package balancer

import (
	"math"
	"slices"

	"appleledge/internal/balancer/weighted"
)

// The pick: Algorithm 1 of "Balls into non-uniform bins". Servers are drawn with probability capacity over
// total; the lowest load after the request wins, then the largest capacity, then any.
const (
	drawsPerPick         = 16   // servers drawn for a request, the paper's d
	tieTolerance         = 0.01 // loads that differ by less than this ratio count as equal
	keyOwnerWeightFactor = 2    // the rendezvous owner of a request's key counts as larger by this factor
	maxRedraws           = 32   // draws for one pick that may fall on servers that a repeat may not go to
)

// pool is what servers are drawn from, and member a server as the pool holds it.
type (
	pool   = weighted.Pool[*server]
	member = weighted.Member[*server]
)

// picker holds the working memory of one pick, kept between picks to save allocations.
type picker struct {
	drawn      [drawsPerPick]*server
	keyOwner   *server // the one of them that is the rendezvous owner of the key; nil: none
	rendezvous *weighted.Rendezvous
	warm       []*member // candidates that are listed one by one, warm ones
	warming    []*member // and ones in slow start
	bound      []*server // the servers that a request is bound to
}

// pick chooses the server for the next attempt of a request, or nil where none is allowed or eligible.
func (b *Balancer) pick(r *request) *server {
	if !b.mayAttempt(r) {
		return nil
	}
	if s := b.dueTrial(r); s != nil {
		s.health.isOnTrial, s.health.lastSignOfLife = true, b.now
		return s
	}
	turn := b.rng.Float64()
	if b.picker.keyOwner = nil; b.drawFromPools(r, turn) || b.drawFromCandidates(r, turn) {
		return b.leastLoaded()
	}
	return nil
}

// drawFromPools draws from the pools. It reports false where that finds no server that the request may go to:
// then the candidates are to be listed one by one, as they always are for requests that are bound to few
// servers.
func (b *Balancer) drawFromPools(r *request, turn float64) bool {
	if r.AllowedServers != nil || r.cellAttempt() != nil {
		return false
	}
	useWarming := b.useWarmingServers(b.subset.capacity, turn)
	distribution := b.subset.warmPool.At(b.capacity.meanRate)
	if useWarming {
		distribution = b.subset.warmingPool.At(b.capacity.meanRate)
	}
	drawn := b.picker.drawn[:]
	if !distribution.Fill(b.rng, drawn) {
		return false
	}
	misses := 0
	for i := range drawn {
		for !b.mayRepeatOn(r, drawn[i]) {
			if misses++; misses > maxRedraws {
				return false
			}
			drawn[i], _ = distribution.Draw(b.rng)
		}
	}
	if !useWarming && b.startRendezvous(r) {
		if s, ok := distribution.Owner(b.picker.rendezvous); ok && b.mayRepeatOn(r, s) {
			b.preferOwner(s)
		}
	}
	return true
}

// drawFromCandidates lists the candidates one by one and draws from them. It reports false where there is
// none.
func (b *Balancer) drawFromCandidates(r *request, turn float64) bool {
	useWarming := b.useWarmingServers(b.listCandidates(r), turn)
	from := b.picker.warm
	if useWarming {
		from = b.picker.warming
	}
	if len(from) == 0 {
		return false
	}
	for i := range b.picker.drawn {
		b.picker.drawn[i] = b.drawByWeight(from)
	}
	if !useWarming && b.startRendezvous(r) {
		b.preferOwner(weighted.OwnerAmong(b.picker.rendezvous, from, b.capacity.meanRate).Value)
	}
	return true
}

// mayRepeatOn reports whether a server of a pool, which a first attempt may always go to, may get this
// request.
func (b *Balancer) mayRepeatOn(r *request, s *server) bool {
	return len(r.attempts) == 0 && !r.Earlier.MayHaveRun || !r.hasTried(s) && b.maySend(r, s)
}

// startRendezvous sets the request's key as the one whose owner is looked for. It reports false where keys
// don't count.
func (b *Balancer) startRendezvous(r *request) bool {
	if !b.settings.KeyAffinity || r.Key == "" {
		return false
	}
	b.picker.rendezvous.SetKey(r.Key)
	return true
}

// preferOwner puts the owner of the request's key in the place of the first draw.
func (b *Balancer) preferOwner(s *server) { b.picker.drawn[0], b.picker.keyOwner = s, s }

// presentWeight is the draw weight of a server at present: in slow start the ratio of its capacity that it
// has.
func (b *Balancer) presentWeight(s *server) float64 {
	if s.pool == b.subset.warmPool {
		return s.DrawWeight.At(b.capacity.meanRate)
	}
	return s.DrawWeight.At(b.capacity.meanRate) * b.warmRatio(s)
}

// leastLoaded picks among the servers drawn.
func (b *Balancer) leastLoaded() *server {
	var weights, loads [drawsPerPick]float64
	lowest := math.Inf(1)
	for i, s := range b.picker.drawn {
		weights[i] = b.presentWeight(s)
		if s == b.picker.keyOwner {
			weights[i] *= keyOwnerWeightFactor
		}
		loads[i] = float64(len(s.inFlight)+1) / weights[i]
		lowest = min(lowest, loads[i])
	}
	best, ties := -1, 0
	for i := range b.picker.drawn {
		switch {
		case loads[i] > lowest*(1+tieTolerance) || best >= 0 && weights[i] < weights[best]:
			continue
		case best < 0 || weights[i] > weights[best]:
			best, ties = i, 1
		default:
			if ties++; b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 { // no load is below infinity: none has any capacity left
		best = b.rng.IntN(drawsPerPick)
	}
	return b.picker.drawn[best]
}

// drawByWeight draws one of a list with probability present weight over total.
func (b *Balancer) drawByWeight(from []*member) *server {
	total := 0.0
	for _, m := range from {
		total += b.presentWeight(m.Value)
	}
	x := b.rng.Float64() * total
	for _, m := range from {
		if x -= b.presentWeight(m.Value); x < 0 {
			return m.Value
		}
	}
	return from[len(from)-1].Value
}

// listCandidates lists the servers that may get the request, warm ones and ones in slow start apart, and
// returns what they can do: servers that are not ejected and that the request hasn't tried, or else any that
// the rules allow. It goes through the servers that the request is bound to, and through all only where
// hardly any is left to go to.
func (b *Balancer) listCandidates(r *request) (of subsetCapacity) {
	from := b.boundServers(r)
	for _, strict := range []bool{true, false} {
		n := 0
		b.picker.warm, b.picker.warming, of = b.picker.warm[:0], b.picker.warming[:0], subsetCapacity{}
		for _, s := range from {
			if n >= max(b.subset.minSize, b.subset.growthThreshold) {
				break
			}
			if !b.maySend(r, s) || strict && (b.isEjected(s) || r.hasTried(s)) {
				continue
			}
			n++
			of.add(b.subsetPartOf(s), 1)
			if b.warmRatio(s) < 1 {
				b.picker.warming = append(b.picker.warming, &s.Member)
			} else {
				b.picker.warm = append(b.picker.warm, &s.Member)
			}
		}
		if n > 0 {
			break
		}
	}
	return of
}

// boundServers lists the servers that a request has to keep to, in the balancer's order.
func (b *Balancer) boundServers(r *request) []*server {
	if a := r.cellAttempt(); a != nil {
		return b.endpoints.cells[a.cell]
	}
	if r.AllowedServers == nil {
		return b.endpoints.servers
	}
	b.picker.bound = b.picker.bound[:0]
	for _, id := range r.AllowedServers {
		if s := b.endpoints.byID[id]; s != nil {
			b.picker.bound = append(b.picker.bound, s)
		}
	}
	slices.SortFunc(b.picker.bound, inRingOrder)
	return b.picker.bound
}
