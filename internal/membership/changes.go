package membership

import (
	"maps"
	"slices"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// mark notes that a member may have changed for the engine. What takes capacity away goes to the front, even of an id that already
// waits behind thousands of new ones: until the engine receives a drain it sends requests to a server that shuts down.
func (t *Table) mark(id string) {
	isEnding, isPending := t.pending[id]
	switch current, known := t.current(id), t.delivered[id]; {
	case isEnding:
	case current.State != balancer.Ready && known.ID != "":
		t.pending[id] = true
		t.endings = append(t.endings, id)
	case !isPending:
		t.pending[id] = false
		t.others = append(t.others, id)
	}
}

// markAddress marks the members of a source at an address.
func (t *Table) markAddress(s *sourceState, addr string) {
	for _, id := range s.idsByAddr[addr] {
		t.mark(id)
	}
}

// markDraining marks the members that a source has as draining, in all sources, as its connection decides whether that counts.
func (t *Table) markDraining(s *sourceState) {
	if len(t.sources) == 1 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if m := s.members[id]; m.State == balancer.Draining {
			for _, other := range t.sources {
				t.markAddress(other, m.Addr)
			}
			t.mark(m.ID)
		}
	}
}

// current returns a member as the engine is to have it; State Removed where there is none.
func (t *Table) current(id string) engine.Member {
	if t.active == noSource {
		return engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	}
	m, ok := t.sources[t.active].members[id]
	if !ok {
		return engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	}
	if m.State == balancer.Ready && len(t.sources) > 1 && t.isDrainingElsewhere(m) {
		m.State = balancer.Draining
	}
	return m
}

// isDrainingElsewhere reports whether a connected source other than the active one has the server as draining.
func (t *Table) isDrainingElsewhere(m engine.Member) bool {
	for i, s := range t.sources {
		if i == t.active || s.isDisconnected {
			continue
		}
		if s.members[m.ID].State == balancer.Draining {
			return true
		}
		for _, id := range s.idsByAddr[m.Addr] {
			if s.members[id].State == balancer.Draining {
				return true
			}
		}
	}
	return false
}

// TakeChanges returns changes for the engine, so many at most: those first that take capacity away. It returns none when all are
// taken.
func (t *Table) TakeChanges(limit int) (changes []engine.Member) {
	for len(changes) < limit {
		queue, isEnding := &t.endings, true
		if len(*queue) == 0 {
			queue, isEnding = &t.others, false
		}
		if len(*queue) == 0 {
			t.endings, t.others = nil, nil
			break
		}
		id := (*queue)[0]
		*queue = (*queue)[1:]
		if _, isPending := t.pending[id]; !isPending {
			continue
		}
		m, known := t.current(id), t.delivered[id]
		if isEnding && m.State == balancer.Ready { // the drain or removal was taken back
			t.pending[id] = false
			t.others = append(t.others, id)
			continue
		}
		delete(t.pending, id)
		switch {
		case m.State == balancer.Removed && known.ID == "" || m == known:
			continue
		case m.State == balancer.Removed:
			delete(t.delivered, id)
		default:
			t.delivered[id] = m
		}
		changes = append(changes, m)
	}
	return changes
}
