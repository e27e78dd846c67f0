package generation

import (
	"slices"
	"strings"

	"appleledge/internal/fleetconfig"
)

// Servers are the servers of the endpoint list, by id. The entries are only read: a server that changes gets a new entry.
type Servers map[string]*fleetconfig.Server

// serverSets are the sets of servers that a configuration's pools and drains select. They are kept up to date incrementally, as
// an endpoint list of ten thousand servers changes by a few at a time.
type serverSets struct {
	pools   map[string]*serverPool // by name
	drains  []*compiledDrain
	known   Servers         // as of the last update
	drained map[string]bool // ids that the drains select; replaced, never changed
}

// serverPool is a pool with its servers.
type serverPool struct {
	match *fleetconfig.Matcher
	// ids of its servers, sorted; nil of a pool that selects all. A request in flight may hold the slice, so it is replaced and
	// never changed.
	ids         []string
	fingerprint uint64 // of the selector
	added       []string
	hasRemoved  bool // added and hasRemoved collect changes until rebuild
}

// compiledDrain is a drain with the servers that it selects.
type compiledDrain struct {
	fleetconfig.Drain
	match      *fleetconfig.Matcher
	servers    []*fleetconfig.Server // all that the selector selects, of which a share drains; sorted by id
	hasChanged bool                  // since rebuildDrains
}

// update brings the sets to the given servers; ids are those that may have changed. It costs what has changed.
func (f *serverSets) update(servers Servers, ids []string) {
	for _, id := range ids {
		old, current := f.known[id], servers[id]
		if old == current || old != nil && current != nil && sameForSelectors(old, current) {
			continue
		}
		if current == nil {
			delete(f.known, id)
		} else {
			f.known[id] = current
		}
		for _, p := range f.pools {
			p.applyChange(id, old, current)
		}
		for _, d := range f.drains {
			d.applyChange(old, current)
		}
	}
	for _, p := range f.pools {
		p.rebuild(f.known)
	}
	f.rebuildDrains()
}

// sameForSelectors reports whether every selector selects both entries or neither.
func sameForSelectors(a, b *fleetconfig.Server) bool {
	return a.Addr == b.Addr && a.Kind == b.Kind && a.Zone == b.Zone && a.Pod == b.Pod
}

// applyChange notes whether a server joins or leaves the pool; nil is a server that is not listed.
func (p *serverPool) applyChange(id string, old, current *fleetconfig.Server) {
	if p.match.MatchesAll() {
		return
	}
	was, is := old != nil && p.match.Matches(old), current != nil && p.match.Matches(current)
	switch {
	case is && !was:
		p.added = append(p.added, id)
	case was && !is:
		p.hasRemoved = true
	}
}

// rebuild replaces the pool's list if the changes since the last one concern it.
func (p *serverPool) rebuild(known Servers) {
	if p.match.MatchesAll() || len(p.added) == 0 && !p.hasRemoved && p.ids != nil {
		return
	}
	ids := make([]string, 0, len(p.ids)+len(p.added))
	for _, id := range p.ids {
		if s := known[id]; s != nil && p.match.Matches(s) {
			ids = append(ids, id)
		}
	}
	ids = append(ids, p.added...)
	slices.Sort(ids)
	p.ids, p.added, p.hasRemoved = slices.Compact(ids), nil, false
}

// applyChange puts a server into the drain's list or takes it out; nil is a server that is not listed.
func (d *compiledDrain) applyChange(old, current *fleetconfig.Server) {
	byID := func(s *fleetconfig.Server, id string) int { return strings.Compare(s.ID, id) }
	if old != nil && d.match.Matches(old) {
		if i, found := slices.BinarySearchFunc(d.servers, old.ID, byID); found {
			d.servers, d.hasChanged = slices.Delete(d.servers, i, i+1), true
		}
	}
	if current != nil && d.match.Matches(current) {
		i, _ := slices.BinarySearchFunc(d.servers, current.ID, byID)
		d.servers, d.hasChanged = slices.Insert(d.servers, i, current), true
	}
}

// rebuildDrains determines anew which servers the drains select, if any drain has changed.
func (f *serverSets) rebuildDrains() {
	if !slices.ContainsFunc(f.drains, func(d *compiledDrain) bool { return d.hasChanged }) {
		return
	}
	f.drained = map[string]bool{}
	for _, d := range f.drains {
		d.hasChanged = false
		for _, s := range fleetconfig.SelectShare(d.servers, d.Name, d.Share) {
			f.drained[s.ID] = true
		}
	}
}
