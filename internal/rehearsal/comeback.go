package rehearsal

import (
	"slices"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/recovery"
	"appleledge/logic"
)

// disk is what a simulated agent keeps, as it was written last.
type disk struct {
	before  recovery.Before
	members []engine.Member
	lost    bool // the machine has lost power since
}

// saveEvery is between two writes of what changes all the time.
const saveEvery = time.Second

// comeBack puts a recovery before the agent's engine, by what its disk has.
func (a *simAgent) comeBack(set logic.Settings) {
	w := a.w
	o := recovery.Options{Agents: set.Balancers, Self: a.number, ColdFrom: set.ColdFrom, ColdFor: set.ColdFor, Overload: set.Overload,
		MaxAfter: set.MaxRetryAfter, Seed: uint64(a.number*1000 + a.life)}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, recovery.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Safe: c.Effect == logic.Safe})
	}
	var behind recovery.Door
	if a.door != nil {
		behind = a.door
	}
	a.back = recovery.New(o, behind)
	a.engine.Return(a.back, func() bool { return a.heard }, func() {})
	if a.disk.lost {
		a.back.Begin(w.now, a.disk.before, "the machine has started anew")
	} else {
		a.back.Resume(a.disk.before)
	}
	life := a.life
	var save func()
	save = func() {
		if a.life == life && a.up {
			a.save()
			w.after(saveEvery, save)
		}
	}
	w.after(saveEvery, save)
}

// restore lets the agent begin with the servers that its disk has. Whether they have started since is not known.
func (a *simAgent) restore() {
	if a.back == nil || len(a.disk.members) == 0 {
		return
	}
	l := engine.Listed{Full: true}
	for _, m := range a.disk.members {
		if a.disk.lost {
			m.Started = 0
		}
		a.knows[m.ID] = known{m.State, m.Started}
		l.Members = append(l.Members, m)
	}
	a.disk.lost = false
	a.step(l)
}

// save writes what the agent knows.
func (a *simAgent) save() {
	if a.back == nil {
		return
	}
	a.disk.before = a.back.Before()
	if !a.heard {
		return
	}
	a.disk.members = a.disk.members[:0]
	for id, k := range a.knows {
		if s := a.w.byID[id]; s != nil && k.state != logic.Gone {
			m := s.listed()
			m.State, m.Started = k.state, k.started
			a.disk.members = append(a.disk.members, m)
		}
	}
	slices.SortFunc(a.disk.members, func(x, y engine.Member) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
}

// barred reports whether an attempt must not go out to a server, as httpcarrier has it: a repeat goes only over a connection from
// before. The agent keeps one to each life of a server that it has met.
func (a *simAgent) barred(at *engine.Attempt) bool {
	since, met := a.met[at.Life]
	if !met {
		a.met[at.Life] = a.w.now
	}
	return at.Barred || at.OnlySince != 0 && (!met || since > at.OnlySince)
}
