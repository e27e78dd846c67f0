package engine

import (
	"time"

	"appleledge/internal/fleet/recovery"
	"appleledge/logic"
)

// returning is what the engine keeps for a recovery: the list as it was told, since starts that the recovery sees otherwise lie over
// it.
type returning struct {
	*recovery.Recovery
	heard func() bool // the list is of now, and not from before
	told  map[string]Member
}

// Return puts a recovery at the door. heard says whether the list has been confirmed since the start. It is called before Run, and
// in place of Guard.
func (e *Engine) Return(r *recovery.Recovery, heard func() bool) {
	e.returning = &returning{Recovery: r, heard: heard, told: map[string]Member{}}
	e.Guard(r)
}

// listed takes a list over and returns it as the module is to see it.
func (r *returning) listed(now time.Duration, l Listed) Listed {
	heard := r.heard()
	if l.Full {
		named := make(map[string]bool, len(l.Members))
		for _, m := range l.Members {
			named[m.ID] = true
		}
		for id := range r.told {
			if !named[id] {
				delete(r.told, id)
				r.Recovery.Listed(now, recovery.Server{ID: id, Gone: true}, heard)
			}
		}
	}
	for _, m := range l.Members {
		if m.State == logic.Gone {
			delete(r.told, m.ID)
		} else {
			r.told[m.ID] = m
		}
		r.Recovery.Listed(now, recovery.Server{ID: m.ID, Cell: m.Cell, Ready: m.State == logic.Ready, Gone: m.State == logic.Gone,
			Started: m.Started}, heard)
	}
	r.Settled(now)
	out := Listed{Full: l.Full, Drop: l.Drop, Members: make([]Member, 0, len(l.Members))}
	for _, m := range l.Members {
		m.Started = r.Started(m.ID, m.Started)
		out.Members = append(out.Members, m)
	}
	return out
}

// moved tells the module of servers whose start is seen otherwise than before.
func (e *Engine) moved() {
	var servers []logic.Server
	for _, id := range e.returning.Moved() {
		if m, there := e.returning.told[id]; there {
			m.Started = e.returning.Started(id, m.Started)
			servers = append(servers, m.Server)
		}
	}
	if len(servers) > 0 {
		e.decide(logic.ServerList{Servers: servers, Drop: e.drop})
	}
}

// returned tells the recovery how an attempt ended.
func (e *Engine) returned(o Outcome) {
	broke := o.Result == logic.ConnectFailed || o.Result == logic.Reset
	answered := o.Result == logic.OK || o.Result == logic.Failed || o.Result == logic.Rejected
	e.returning.Outcome(e.clock.Now(), o.Attempt.Server, answered, broke, o.Report.Rate, o.Report.Util)
	e.moved()
}

// repeats says of a repeat of what may have run whether it may go out at all, and if so, that only over a connection from before:
// who holds the other end of it has run on, and knows what it was sent. Elsewhere nobody may be left who drops it.
func (r *returning) repeats(c *Call, a *Attempt, since time.Duration) {
	if c.Effect != logic.Keyed || since == 0 {
		return
	}
	a.OnlySince = since
	if m, there := r.told[a.Server]; there {
		a.Barred = !r.MayRepeat(m.Cell, since)
	}
}

// recovery returns how the agent's recovery stands; nil where none is switched on.
func (e *Engine) recovery() *recovery.Status {
	if e.returning == nil {
		return nil
	}
	st := e.returning.Status(e.clock.Now())
	return &st
}
