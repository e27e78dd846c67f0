package generation

import (
	"slices"
	"strings"

	"appleledge/internal/fleetconfig"
)

// ServerCount are the servers of the list, by id. The entries are only read: a server that changes is another entry.
type Servers map[string]*fleetconfig.Server

// pool is a pool that is ready for use.
type pool struct {
	name  string
	match *fleetconfig.Matcher
	// ids of its servers, sorted; nil of a pool of all. A request in flight may hold the slice, which is never changed but
	// replaced.
	ids   []string
	sign  uint64
	fresh []string // to be put in, of one round of changes
	gone  bool     // some have to go
}

// drain is a drain that is ready for use.
type drain struct {
	fleetconfig.Drain
	match   *fleetconfig.Matcher
	servers []*fleetconfig.Server // selected, sorted by id
	stale   bool
}

// fleet is how one generation divides the servers.
type fleet struct {
	pools  map[string]*pool
	drains []*drain
	told   Servers         // as of the last update
	out    map[string]bool // ids that the drains take out
}

// update brings the fleet to the servers that there are; ids are those that may have changed. It costs what has changed.
func (f *fleet) update(servers Servers, ids []string) {
	for _, id := range ids {
		old, now := f.told[id], servers[id]
		if old == now || old != nil && now != nil && samePlace(old, now) {
			continue
		}
		if now == nil {
			delete(f.told, id)
		} else {
			f.told[id] = now
		}
		for _, p := range f.pools {
			p.change(id, old, now)
		}
		for _, d := range f.drains {
			d.change(old, now)
		}
	}
	for _, p := range f.pools {
		p.settle(f.told)
	}
	f.settleDrains()
}

// samePlace reports whether selectors can't tell the two apart.
func samePlace(a, b *fleetconfig.Server) bool {
	return a.Addr == b.Addr && a.Kind == b.Kind && a.Zone == b.Zone && a.Pod == b.Pod
}

func (p *pool) change(id string, old, now *fleetconfig.Server) {
	if p.match.Everything() {
		return
	}
	was, is := old != nil && p.match.Has(old), now != nil && p.match.Has(now)
	switch {
	case is && !was:
		p.fresh = append(p.fresh, id)
	case was && !is:
		p.gone = true
	}
}

// settle makes the pool's list anew, if it has changed.
func (p *pool) settle(told Servers) {
	if p.match.Everything() || len(p.fresh) == 0 && !p.gone && p.ids != nil {
		return
	}
	ids := make([]string, 0, len(p.ids)+len(p.fresh))
	for _, id := range p.ids {
		if s := told[id]; s != nil && p.match.Has(s) {
			ids = append(ids, id)
		}
	}
	ids = append(ids, p.fresh...)
	slices.Sort(ids)
	p.ids, p.fresh, p.gone = slices.Compact(ids), nil, false
}

func (d *drain) change(old, now *fleetconfig.Server) {
	byID := func(s *fleetconfig.Server, id string) int { return strings.Compare(s.ID, id) }
	if old != nil && d.match.Has(old) {
		if i, there := slices.BinarySearchFunc(d.servers, old.ID, byID); there {
			d.servers, d.stale = slices.Delete(d.servers, i, i+1), true
		}
	}
	if now != nil && d.match.Has(now) {
		i, _ := slices.BinarySearchFunc(d.servers, now.ID, byID)
		d.servers, d.stale = slices.Insert(d.servers, i, now), true
	}
}

// settleDrains says anew who is out, if any drain has changed.
func (f *fleet) settleDrains() {
	if !slices.ContainsFunc(f.drains, func(d *drain) bool { return d.stale }) {
		return
	}
	f.out = map[string]bool{}
	for _, d := range f.drains {
		d.stale = false
		for _, s := range fleetconfig.Part(d.servers, d.Name, d.Share) {
			f.out[s.ID] = true
		}
	}
}
