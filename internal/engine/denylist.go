package engine

import (
	"context"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/denylist"
)

// held is what the engine keeps of servers that operators hold out: the set, and the list as it was told, since bans lie
// over it and are taken off again.
type denylistOverlay struct {
	set  *denylist.Set
	told map[string]Member
	drop float64 // as the list said last
}

// SetDenylist lets operators hold servers out. It is called before Run.
func (e *Engine) SetDenylist(set *denylist.Set) {
	e.denylist = &denylistOverlay{set: set, told: map[string]Member{}}
}

// WithDenylist runs do with the set on the engine's goroutine and waits until what it has changed holds: by then a server that is
// held out gets nothing new.
func (e *Engine) WithDenylist(ctx context.Context, do func(now time.Duration, s *denylist.Set) error) error {
	var told error
	err := e.execute(ctx, func(now time.Duration) {
		before := e.denylist.overlaid()
		told = do(now, e.denylist.set)
		e.tellHeld(before)
	})
	if err != nil {
		return err
	}
	return told
}

// listed takes a list over and returns it with the bans.
func (h *denylistOverlay) listed(l EndpointUpdate) EndpointUpdate {
	if l.Full {
		before := h.told
		h.told = make(map[string]Member, len(l.Members))
		defer func() {
			for id := range before {
				if _, still := h.told[id]; !still {
					h.set.MarkUnlisted(id)
				}
			}
		}()
	}
	h.drop = l.Drop
	out := EndpointUpdate{Full: l.Full, Drop: l.Drop, Members: make([]Member, 0, len(l.Members))}
	for _, m := range l.Members {
		if m.State == balancer.Removed {
			delete(h.told, m.ID)
			h.set.MarkUnlisted(m.ID)
		} else {
			h.told[m.ID] = m
			h.set.MarkListed(m.ID, m.Started)
		}
		out.Members = append(out.Members, h.overlay(m))
	}
	return out
}

// overlay is a member as the fleet and the module are to see it.
func (h *denylistOverlay) overlay(m Member) Member {
	m.Started = h.set.EffectiveStart(m.ID, m.Started)
	if m.State == balancer.Ready && h.set.IsDenied(m.ID) {
		m.State = balancer.Draining
	}
	return m
}

// overlaid are the members that differ from what the list says.
func (h *denylistOverlay) overlaid() map[string]Member {
	out := map[string]Member{}
	for id, m := range h.told {
		if o := h.overlay(m); o != m {
			out[id] = o
		}
	}
	return out
}

// tellHeld tells the fleet and the module of servers that are seen otherwise than before.
func (e *Engine) tellHeld(before map[string]Member) {
	l := EndpointUpdate{Drop: e.denylist.drop}
	for id, m := range e.denylist.told {
		was, overlaid := before[id]
		if !overlaid {
			was = m
		}
		if now := e.denylist.overlay(m); now != was {
			l.Members = append(l.Members, m)
		}
	}
	if len(l.Members) > 0 {
		e.update(l)
	}
}

// EndpointCounts say what an engine's list holds.
type EndpointCounts struct {
	Listed  int // servers of the list
	Avoided int // of which the agent keeps away now, held out by hand or ejected by the module
}

// EndpointCounts counts the servers of the list. It waits for the engine.
func (e *Engine) EndpointCounts(ctx context.Context) (n EndpointCounts, err error) {
	err = e.execute(ctx, func(time.Duration) {
		n.Listed = len(e.denylist.told)
		ill := e.balancer.Ejected()
		for id := range e.denylist.told {
			if e.denylist.set.IsDenied(id) || ill[id] {
				n.Avoided++
			}
		}
	})
	return n, err
}
