package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/denylist"
)

// denylistOverlay calls servers draining that operators deny.
type denylistOverlay struct {
	engine  *Engine
	set     *denylist.Set
	members map[string]Member // as it got them: a server can be allowed again
	drop    float64           // as the list said last
}

// SetDenylist lets operators deny servers. It is called before Run.
func (e *Engine) SetDenylist(set *denylist.Set) {
	e.denylist = &denylistOverlay{engine: e, set: set, members: map[string]Member{}}
	e.overlays[overlayDenylist] = e.denylist
}

// WithDenylist runs do with the set on the engine's goroutine and waits until what it changed is in force: by then a denied
// server gets no new attempt. It returns do's error, or why do was not run.
func (e *Engine) WithDenylist(ctx context.Context, do func(now time.Duration, s *denylist.Set) error) error {
	var failed error
	err := e.execute(ctx, func(now time.Duration) {
		before := e.denylist.changedMembers()
		failed = do(now, e.denylist.set)
		e.denylist.applyChangesSince(before)
	})
	if err != nil {
		return err
	}
	return failed
}

func (d *denylistOverlay) overlayEndpoints(_ time.Duration, u EndpointUpdate) EndpointUpdate {
	before := d.members
	if u.Full {
		d.members = make(map[string]Member, len(u.Members))
	}
	d.drop = u.Drop
	out := overlayMembers(u, func(m Member) Member {
		if m.State == balancer.Removed {
			delete(d.members, m.ID)
			d.set.MarkUnlisted(m.ID)
		} else {
			d.members[m.ID] = m
			d.set.MarkListed(m.ID, m.Started)
		}
		return d.overlay(m)
	})
	if u.Full {
		for id := range before {
			if _, listed := d.members[id]; !listed {
				d.set.MarkUnlisted(id)
			}
		}
	}
	return out
}

// overlay is a member as those behind this overlay see it.
func (d *denylistOverlay) overlay(m Member) Member {
	m.Started = d.set.EffectiveStart(m.ID, m.Started)
	if m.State == balancer.Ready && d.set.IsDenied(m.ID) {
		m.State = balancer.Draining
	}
	return m
}

// changedMembers are the members that the overlay changes, as those behind it see them.
func (d *denylistOverlay) changedMembers() map[string]Member {
	changed := map[string]Member{}
	for id, m := range d.members {
		if o := d.overlay(m); o != m {
			changed[id] = o
		}
	}
	return changed
}

// applyChangesSince brings on the members that are seen otherwise now. before is what changedMembers returned earlier.
func (d *denylistOverlay) applyChangesSince(before map[string]Member) {
	u := EndpointUpdate{Drop: d.drop}
	for id, m := range d.members {
		was, changed := before[id]
		if !changed {
			was = m
		}
		if now := d.overlay(m); now != was {
			u.Members = append(u.Members, m)
		}
	}
	slices.SortFunc(u.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	if len(u.Members) > 0 {
		d.engine.applyEndpoints(u, overlayDenylist)
	}
}
