package balancer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer/weighted"

	"github.com/cespare/xxhash/v2"
)

// Membership, and what is kept of the servers. Servers stand in the balancer's own order, its view is a
// beginning of it, and those of the view that may be drawn are in a pool. A change costs what changed, not
// what there is.

// view is what the servers of a view can do that may be drawn.
type view struct {
	warm  weighted.Linear // of those that are warm
	cold  weighted.Linear // of the others at present
	whole weighted.Linear // and when they will be warm
	size  int             // warm ones by coldUnits, cold ones by what of their capacity they have
}

// coldUnits are those in which views measure what servers have of their capacity.
const coldUnits = 64

func (v *view) add(u view, sign int) {
	v.warm.AddScaled(u.warm, float64(sign))
	v.cold.AddScaled(u.cold, float64(sign))
	v.whole.AddScaled(u.whole, float64(sign))
	if v.size += sign * u.size; v.size == 0 { // what is left of the sums are errors of rounding
		*v = view{}
	}
}

// partOf is what a server adds to the view.
func (b *Balancer) partOf(s *server) view {
	warm := s.coldShare(b)
	if warm == 1 {
		return view{warm: s.DrawWeight, size: coldUnits}
	}
	return view{cold: s.DrawWeight.Scaled(warm / b.crowded(s)), whole: s.DrawWeight, size: max(1, int(coldUnits*warm))}
}

// crowded is in how many views a server is, over the mean: those that begin on the arc before it on which as
// many servers lie as a view holds. Hashes leave gaps, behind which all see the same few.
func (b *Balancer) crowded(s *server) float64 {
	n := len(b.servers)
	if b.edge < b.subset || b.edge >= n {
		return 1
	}
	at, _ := slices.BinarySearchFunc(b.servers, s, inOrder)
	arc := s.rank - b.servers[(at-b.edge+n)%n].rank
	return max(crowdLeast, math.Ldexp(float64(arc), -64)*float64(n)/float64(b.edge))
}

// recountAfter is how many changes a server the sums may see before they are added up anew, as errors of
// rounding stay.
const recountAfter = 64

// A look lets so many estimates fade, or this part of them: so each is behind by fadeRounds looks at most,
// and by none in a fleet of fadeMost.
const (
	fadeMost   = 128
	fadeRounds = 16
)

// Weights of the list that are further from one than this count as that far.
const weightMost = 1 << 20

func (b *Balancer) newServer(e Server) *server {
	s := &server{heard: b.now}
	s.Value, s.Hash = s, xxhash.Sum64String(e.ID)
	s.rank = s.Hash - uint64(b.set.Index)*0x9E3779B97F4A7C15
	return s
}

// inOrder compares by the balancer's own order: round the ring of all hashes, from its own place on.
// Balancers' places are multiples of the golden ratio, which lie evenly for any number of them (Knuth, volume
// 3, 6.4). So each server is in the beginnings of about as many orders as any other, and a change of the list
// changes those few that it falls in.
func inOrder(x, y *server) int {
	if x.rank != y.rank {
		return cmp.Compare(x.rank, y.rank)
	}
	return strings.Compare(x.ID, y.ID)
}

// list takes the list or a change of it. Every change counts from the same event on.
func (b *Balancer) list(l ServerList) {
	b.tries, b.drop = 0, l.DropRatio
	b.round++
	added, gone := b.added[:0], b.gone[:0]
	for _, e := range l.Servers {
		if !b.set.UseListWeights || !(e.Weight > 0) { // no number is not above 0 either
			e.Weight = 1
		}
		e.Weight = min(max(e.Weight, 1.0/weightMost), weightMost)
		s := b.byID[e.ID]
		switch {
		case s == nil && e.State == Removed:
			continue
		case s == nil:
			s = b.newServer(e)
			b.byID[e.ID] = s
			added = append(added, s)
		case s.Server == e:
			s.round = b.round
			continue
		case e.Started != s.Started:
			b.restarted(s)
		}
		s.round = b.round
		b.moveCell(s, e.Cell, s.listed)
		if s.Server = e; !s.listed {
			continue
		}
		if e.State == Removed {
			gone = append(gone, s)
		}
		b.refresh(s)
	}
	if l.Full {
		for _, s := range b.servers {
			if s.round != b.round {
				s.State = Removed // attempts in flight still hold it
				gone = append(gone, s)
			}
		}
	}
	b.remove(gone)
	b.insert(added)
	if len(added)+len(gone) > len(b.servers) {
		b.recount()
	}
	b.added, b.gone = added[:0], gone[:0]
	clear(added)
	clear(gone)
	b.subset = max(subsetLeast, int(coverLeast*float64(len(b.servers))/float64(b.set.Balancers)))
	b.settle()
}

// restarted forgets: a process that has started anew is cold and well, and what an earlier life showed says
// nothing of it.
func (b *Balancer) restarted(s *server) {
	b.unfold(s)
	*s = server{Member: s.Member, Server: s.Server, inFlight: s.inFlight, heard: b.now, rank: s.rank,
		listed: s.listed, celled: s.celled, seen: s.seen,
		isActive: s.isActive, isFresh: s.isFresh, isYoung: s.isYoung}
}

// unfold takes a server out of all sums and pools.
func (b *Balancer) unfold(s *server) {
	b.sums.add(&s.sums, -1)
	s.sums = sums{}
	b.readmit(s)
	b.view.add(s.part, -1)
	s.part = view{}
	b.move(s, nil)
}

// few is up to how many changes of membership are carried out one by one.
const few = 16

func (b *Balancer) remove(gone []*server) {
	edge := 0 // how many of the view go
	for _, s := range gone {
		if !s.listed || s.State != Removed { // named twice, or taken away and named again
			continue
		}
		s.listed = false
		if s.seen {
			edge++
		}
		b.unfold(s)
		b.moveCell(s, s.Cell, false)
		delete(b.byID, s.ID)
		if len(gone) <= few {
			i, _ := slices.BinarySearchFunc(b.servers, s, inOrder)
			b.servers = slices.Delete(b.servers, i, i+1)
		}
	}
	if len(gone) > few {
		b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return !s.listed })
	}
	b.edge -= edge
}

func (b *Balancer) insert(added []*server) {
	added = slices.DeleteFunc(added, func(s *server) bool {
		if s.State == Removed { // named and taken back in one change
			delete(b.byID, s.ID)
		}
		return s.State == Removed
	})
	slices.SortFunc(added, inOrder)
	for _, s := range added {
		s.listed = true
		b.moveCell(s, s.Cell, true)
		if len(added) <= few {
			i, _ := slices.BinarySearchFunc(b.servers, s, inOrder)
			b.servers = slices.Insert(b.servers, i, s)
			if s.seen = i < b.edge; s.seen {
				b.edge++
			}
		}
	}
	if len(added) > few {
		b.merge(added)
	}
	for _, s := range added {
		b.refresh(s)
	}
}

// merge puts servers in their places from the end on; what comes to stand before the edge is in the view.
func (b *Balancer) merge(added []*server) {
	i, j := len(b.servers)-1, len(added)-1
	b.servers = append(b.servers, added...)
	edge := b.edge
	for at := len(b.servers) - 1; j >= 0; at-- {
		if i >= 0 && inOrder(b.servers[i], added[j]) > 0 {
			b.servers[at] = b.servers[i]
			i--
			continue
		}
		b.servers[at] = added[j]
		if added[j].seen = i+1 < b.edge; added[j].seen {
			edge++
		}
		j--
	}
	b.edge = edge
}

// moveCell keeps the lists of the servers by cell, where repeats have to stay in one.
func (b *Balancer) moveCell(s *server, to int, listed bool) {
	if b.cells == nil || s.celled && listed && s.Cell == to {
		return
	}
	if s.celled {
		list := b.cells[s.Cell]
		list = slices.DeleteFunc(list, func(other *server) bool { return other == s })
		if b.cells[s.Cell] = list; len(list) == 0 {
			delete(b.cells, s.Cell)
		}
	}
	if s.celled = listed; listed {
		i, _ := slices.BinarySearchFunc(b.cells[to], s, inOrder)
		b.cells[to] = slices.Insert(b.cells[to], i, s)
	}
}

// refresh follows a change of what is known of a server.
func (b *Balancer) refresh(s *server) {
	if !s.listed {
		return
	}
	b.sums.add(&s.sums, -1)
	warm := s.coldShare(b)
	capacity := weighted.Linear{Slope: s.Weight * (1 - s.trust), Intercept: s.rate * s.trust}
	s.sums = sums{known: weighted.Linear{Slope: s.Weight * s.trust, Intercept: s.rate * s.trust}}
	if s.State == Ready {
		s.sums.whole = capacity
		s.sums.total = capacity.Scaled(warm * (1 - s.failing))
		if s.until == 0 {
			s.sums.well = s.sums.total
		}
	}
	if s.reported > 0 && s.until == 0 {
		s.sums.told, s.sums.use, s.sums.tellers = capacity, capacity.Scaled(s.busy), 1
	}
	b.sums.add(&s.sums, 1)
	if k := b.sums.known; k.Slope > trustLeast/weightMost && k.Intercept > 0 {
		b.mean = k.Intercept / k.Slope
	}
	if b.changes++; b.changes > recountAfter*(len(b.servers)+few) {
		b.recount()
	}
	s.DrawWeight = capacity.Scaled(1 - s.failing)
	if warm == 1 && s.Zone == b.set.Zone {
		s.DrawWeight = s.DrawWeight.Scaled(1 + nearTimes*b.set.CrossZoneCost*max(0, 1-s.util))
	}
	if warm < 1 {
		b.young = marked(b.young, s, &s.isYoung)
	}
	if s.trust > 0 {
		b.fresh = marked(b.fresh, s, &s.isFresh)
	}
	b.place(s)
	b.adjust()
}

func (b *Balancer) recount() {
	b.changes, b.sums, b.view = 0, sums{}, view{}
	for _, s := range b.servers {
		b.sums.add(&s.sums, 1)
		b.view.add(s.part, 1)
	}
}

// marked adds a server to a list that sweep looks through, unless it is there.
func marked(list []*server, s *server, is *bool) []*server {
	if *is {
		return list
	}
	*is = true
	return append(list, s)
}

// place puts a server into the pool that it is drawn from, if any.
func (b *Balancer) place(s *server) {
	in := s.seen && s.State == Ready && !b.ejected(s)
	b.view.add(s.part, -1)
	if s.part = (view{}); in {
		s.part = b.partOf(s)
		b.view.add(s.part, 1)
	}
	switch {
	case !in:
		b.move(s, nil)
	case s.coldShare(b) < 1:
		b.move(s, b.cold)
	default:
		b.move(s, b.warm)
	}
}

func (b *Balancer) move(s *server, to *pool) {
	if s.pool != nil && s.pool != to {
		s.pool.Remove(&s.Member)
	}
	if s.pool = to; to != nil {
		to.Put(&s.Member, b.mean)
	}
}

// adjust moves the edge of the view until what it holds that may be drawn comes up to as many warm servers
// as are wanted. So views of many cold ones are wider, and no server's share of requests hangs on whose view
// it is in.
func (b *Balancer) adjust() {
	want := coldUnits * max(b.subset, b.crowd)
	for b.view.size < want && b.edge < len(b.servers) {
		s := b.servers[b.edge]
		b.edge++
		s.seen = true
		b.place(s)
	}
	for b.edge > 0 {
		s := b.servers[b.edge-1]
		if b.view.size-s.part.size < want {
			break
		}
		b.edge--
		s.seen = false
		b.place(s)
	}
}

// settle looks whether ejections count. When most of the capacity seems ill, the suspicion is: in a jam all
// servers are late, and none is kept out for it.
func (b *Balancer) settle() {
	if doubt := b.sums.well.At(b.mean) < healthyPart*b.sums.total.At(b.mean); doubt != b.doubt {
		b.doubt = doubt
		for _, s := range b.ill {
			b.place(s)
		}
	}
	b.adjust()
}

// ejected reports whether the server is kept out as ill.
func (b *Balancer) ejected(s *server) bool { return s.until > 0 && !b.doubt }

// eject keeps a server out of the draws for a horizon, for twice as long after each trial in vain; then one
// request to spare tries it.
func (b *Balancer) eject(s *server) {
	if s.vain++; !s.trial {
		s.vain = 0
	}
	b.readmit(s)
	if s.until = b.now + b.horizon<<min(s.vain, vainMost); s.listed {
		i, _ := slices.BinarySearchFunc(b.ill, s.until, func(o *server, at time.Duration) int {
			return cmp.Compare(o.until, at)
		})
		b.ill = slices.Insert(b.ill, i, s) // the earliest first
	}
	b.refresh(s)
	b.settle()
}

func (b *Balancer) readmit(s *server) {
	if s.until > 0 {
		if i := slices.Index(b.ill, s); i >= 0 {
			b.ill = slices.Delete(b.ill, i, i+1)
		}
	}
	s.until, s.trial = 0, false
}

// sweep drops from a list what it is not for any more.
func sweep(list []*server, is func(*server) *bool, keep func(*server) bool) []*server {
	return slices.DeleteFunc(list, func(s *server) bool {
		if s.listed && keep(s) {
			return false
		}
		*is(s) = false
		return true
	})
}

// fadeNext lets the trust in the estimate of the next server in turn fade. What had no word for long is left
// alone from then on, so that the work goes by what the balancer itself has asked lately.
func (b *Balancer) fadeNext() {
	b.next = (b.next + 1) % len(b.fresh)
	s := b.fresh[b.next]
	s.trust *= math.Exp(-float64(b.now-s.faded) / (reportTime * float64(b.horizon)))
	if s.faded = b.now; s.trust < trustLeast {
		s.trust = 0
	}
	if b.refresh(s); s.listed && s.trust > 0 {
		return
	}
	s.isFresh = false
	last := len(b.fresh) - 1
	b.fresh[b.next], b.fresh[last] = b.fresh[last], nil
	b.fresh = b.fresh[:last]
}

// age follows the time: trust in estimates fades, and who was cold warms up.
func (b *Balancer) age() {
	b.young = sweep(b.young, func(s *server) *bool { return &s.isYoung }, func(s *server) bool {
		b.refresh(s)
		return s.coldShare(b) < 1
	})
	for left := min(max(fadeMost, len(b.fresh)/fadeRounds), len(b.fresh)); left > 0 && len(b.fresh) > 0; left-- {
		b.fadeNext()
	}
	b.active = sweep(b.active, func(s *server) *bool { return &s.isActive }, func(s *server) bool {
		return len(s.inFlight) > 0
	})
}
