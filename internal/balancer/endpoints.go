package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The endpoint list: its updates, and the backoff before it is asked for again.
const (
	pollsPerHorizon         = 5 // balancers that may ask for the list in the same horizon
	maxPollBackoffDoublings = 4 // doublings of the wait before the list is asked for again
	// A balancer counts as notified of what was listed after four MaxPollIntervals, and waits for less.
	maxBackoffPollIntervals = 2.5
	maxIncrementalChanges   = 16 // added or removed servers that are handled one by one; more are merged
)

// endpoints holds the listed servers. A change of the list costs what changed, not what there is.
type endpoints struct {
	servers    []*server // by inRingOrder; subset.size of them, from the first on, form the subset
	byID       map[string]*server
	cells      map[int][]*server // by cell, in the same order; nil where no class is deduplicated by cell
	generation uint64            // number of the present list

	failedPolls          int  // in a row
	isSubscribeScheduled bool // a timer to ask for the list is set

	added   []*server // working memory of one update
	removed []*server
}

// scheduleSubscribe asks for the list again after a wait that grows with each failure and is drawn at random:
// balancers that lost the list together must not overload its owner.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.Subscribe || b.endpoints.isSubscribeScheduled {
		return
	}
	b.endpoints.isSubscribeScheduled = true // one timer is enough, however many calls have failed
	spread := max(1, float64(b.settings.Balancers)/pollsPerHorizon)
	wait := min(spread*math.Exp2(float64(b.endpoints.failedPolls)),
		max(math.Exp2(maxPollBackoffDoublings), 2*spread))
	wait *= float64(b.horizon)
	if b.endpoints.failedPolls++; b.settings.MaxPollInterval > 0 {
		wait = min(wait, maxBackoffPollIntervals*float64(b.settings.MaxPollInterval))
	}
	b.setTimer(subscribeToken, time.Duration(wait*(0.5+b.rng.Float64())/2))
}

// updateList takes the list or a change of it. Every entry counts from this event on.
func (b *Balancer) updateList(l ServerList) {
	list := &b.endpoints
	list.failedPolls, b.shedder.listDropRatio = 0, l.DropRatio
	list.generation++
	list.added, list.removed = list.added[:0], list.removed[:0]
	for _, e := range l.Servers {
		b.updateEntry(e)
	}
	if l.Full {
		for _, s := range list.servers {
			if s.generation != list.generation {
				s.State = Removed // attempts in flight still hold it
				list.removed = append(list.removed, s)
			}
		}
	}
	b.removeServers(list.removed)
	b.insertServers(list.added)
	if len(list.added)+len(list.removed) > len(list.servers) {
		b.recount()
	}
	clear(list.added)
	clear(list.removed)
	b.subset.minSize = max(minSubsetSize,
		int(minSubsetsPerServer*float64(len(list.servers))/float64(b.settings.Balancers)))
	b.updateSuspension()
}

// updateEntry takes one entry of an update. Servers to add or remove are only noted.
func (b *Balancer) updateEntry(e Server) {
	if !b.settings.UseListWeights || !(e.Weight > 0) { // NaN is not above 0 either
		e.Weight = 1
	}
	e.Weight = min(max(e.Weight, 1.0/maxListWeight), maxListWeight)
	list := &b.endpoints
	s := list.byID[e.ID]
	switch {
	case s == nil && e.State == Removed:
		return
	case s == nil:
		s = b.newServer(e)
		list.byID[e.ID] = s
		list.added = append(list.added, s)
	case s.Server == e:
		s.generation = list.generation
		return
	case e.Started != s.Started:
		b.forget(s)
	}
	s.generation = list.generation
	b.moveCell(s, e.Cell, s.isListed)
	if s.Server = e; !s.isListed {
		return
	}
	if e.State == Removed {
		list.removed = append(list.removed, s)
	}
	b.refresh(s)
}

func (b *Balancer) newServer(e Server) *server {
	s := &server{health: serverHealth{lastSignOfLife: b.now}}
	s.Value, s.Hash = s, xxhash.Sum64String(e.ID)
	s.ringPosition = ringPosition(s.Hash, b.settings.Index)
	return s
}

// forget drops what an earlier incarnation of a server showed: a process that has started anew is warming up
// and healthy.
func (b *Balancer) forget(s *server) {
	b.withdraw(s)
	*s = server{Member: s.Member, Server: s.Server, inFlight: s.inFlight,
		health: serverHealth{lastSignOfLife: b.now}, ringPosition: s.ringPosition,
		isListed: s.isListed, isInCells: s.isInCells, isInSubset: s.isInSubset,
		isActive: s.isActive, isEstimated: s.isEstimated, isWarming: s.isWarming}
}

// withdraw takes a server out of all totals, pools and ejections.
func (b *Balancer) withdraw(s *server) {
	b.capacity.totals.add(&s.totals, -1)
	s.totals = capacityTotals{}
	b.readmit(s)
	b.subset.capacity.add(s.subsetPart, -1)
	s.subsetPart = subsetCapacity{}
	b.moveToPool(s, nil)
}

func (b *Balancer) removeServers(removed []*server) {
	list := &b.endpoints
	leaving := 0 // servers that leave the subset
	for _, s := range removed {
		if !s.isListed || s.State != Removed { // named twice, or removed and named again in one update
			continue
		}
		s.isListed = false
		if s.isInSubset {
			leaving++
		}
		b.withdraw(s)
		b.moveCell(s, s.Cell, false)
		delete(list.byID, s.ID)
		if len(removed) <= maxIncrementalChanges {
			i, _ := slices.BinarySearchFunc(list.servers, s, inRingOrder)
			list.servers = slices.Delete(list.servers, i, i+1)
		}
	}
	if len(removed) > maxIncrementalChanges {
		list.servers = slices.DeleteFunc(list.servers, func(s *server) bool { return !s.isListed })
	}
	b.subset.size -= leaving
}

func (b *Balancer) insertServers(added []*server) {
	list := &b.endpoints
	added = slices.DeleteFunc(added, func(s *server) bool {
		if s.State == Removed { // named and removed in one update
			delete(list.byID, s.ID)
		}
		return s.State == Removed
	})
	slices.SortFunc(added, inRingOrder)
	for _, s := range added {
		s.isListed = true
		b.moveCell(s, s.Cell, true)
		if len(added) <= maxIncrementalChanges {
			i, _ := slices.BinarySearchFunc(list.servers, s, inRingOrder)
			list.servers = slices.Insert(list.servers, i, s)
			if s.isInSubset = i < b.subset.size; s.isInSubset {
				b.subset.size++
			}
		}
	}
	if len(added) > maxIncrementalChanges {
		b.mergeServers(added)
	}
	for _, s := range added {
		b.refresh(s)
	}
}

// mergeServers merges sorted servers into the list, from its end on. Those that come to stand before the end
// of the subset are in it.
func (b *Balancer) mergeServers(added []*server) {
	servers, size := b.endpoints.servers, b.subset.size
	i, j := len(servers)-1, len(added)-1
	servers = append(servers, added...)
	for at := len(servers) - 1; j >= 0; at-- {
		if i >= 0 && inRingOrder(servers[i], added[j]) > 0 {
			servers[at] = servers[i]
			i--
			continue
		}
		servers[at] = added[j]
		if added[j].isInSubset = i+1 < b.subset.size; added[j].isInSubset {
			size++
		}
		j--
	}
	b.endpoints.servers, b.subset.size = servers, size
}

// indexCells begins to keep the servers by cell, which is done once a class needs it.
func (b *Balancer) indexCells() {
	if b.endpoints.cells != nil {
		return
	}
	b.endpoints.cells = map[int][]*server{}
	for _, s := range b.endpoints.servers {
		b.moveCell(s, s.Cell, true)
	}
}

// moveCell keeps the index by cell, where there is one: the server is in that cell from now on, or in none if
// not listed.
func (b *Balancer) moveCell(s *server, to int, isListed bool) {
	cells := b.endpoints.cells
	if cells == nil || s.isInCells && isListed && s.Cell == to {
		return
	}
	if s.isInCells {
		list := slices.DeleteFunc(cells[s.Cell], func(other *server) bool { return other == s })
		if cells[s.Cell] = list; len(list) == 0 {
			delete(cells, s.Cell)
		}
	}
	if s.isInCells = isListed; isListed {
		i, _ := slices.BinarySearchFunc(cells[to], s, inRingOrder)
		cells[to] = slices.Insert(cells[to], i, s)
	}
}
