package rehearsal

import (
	"fmt"
	"math"
	"slices"
	"time"

	"appleledge/logic"
)

// agentDown is how long an agent is away when it is killed.
const agentDown = 500 * time.Millisecond

// timeline plans the script's events.
func (w *world) timeline() {
	for _, e := range w.script.Events {
		at := e.At.draw(w.random)
		for range max(1, e.Repeat) {
			w.plan(at, func() { w.happen(e) })
			at += e.Every.draw(w.random)
		}
	}
}

// happen carries an event out.
func (w *world) happen(e Event) {
	lasts := e.For.draw(w.random)
	w.day.note(w.now, e.Do, lasts)
	switch e.Do {
	case "list_outage":
		w.outage++
		w.after(lasts, func() {
			if w.outage--; w.outage == 0 {
				w.changed()
			}
		})
	case "list_lag":
		lag := e.Over.draw(w.random)
		w.lag += lag
		w.after(lasts, func() { w.lag -= lag })
	case "load":
		w.times *= e.To
		w.after(lasts, func() { w.times /= e.To })
	case "agent_kill":
		w.killAgent(w.agents[e.Agent-1])
	case "rolling_deploy":
		w.deploy(e)
	case "kill":
		for _, s := range w.choose(e) {
			s.state = logic.Gone
			s.die()
		}
		w.changed()
	case "restart":
		for _, s := range w.choose(e) {
			s.die()
			w.start(s.id, s.kind, s.pod, false)
		}
		w.changed()
	default:
		w.hold(e, lasts)
	}
}

// hold lets an effect hold servers for a time.
func (w *world) hold(e Event, lasts time.Duration) {
	add := func(list *[]float64) (undo func()) {
		*list = append(*list, e.To)
		return func() {
			i := slices.Index(*list, e.To)
			*list = slices.Delete(*list, i, i+1)
		}
	}
	count := func(n *int) (undo func()) {
		*n++
		return func() { *n-- }
	}
	for _, s := range w.choose(e) {
		var undo func()
		s.change(func(x *effects) {
			switch e.Do {
			case "hang":
				undo = count(&x.hung)
			case "pause":
				undo = count(&x.paused)
			case "partition":
				undo = count(&x.cut)
			case "throttle":
				undo = add(&x.throttle)
			case "fast_errors":
				undo = add(&x.errors)
			case "reset":
				undo = add(&x.reset)
			}
		})
		w.after(lasts, func() { s.change(func(*effects) { undo() }) })
	}
}

// choose returns the servers that an event concerns, of those that are ready.
func (w *world) choose(e Event) (chosen []*simServer) {
	var ready []*simServer
	for _, s := range w.servers {
		if w.byID[s.id] == s && s.state == logic.Ready && !s.model.Toppled() {
			ready = append(ready, s)
		}
	}
	switch {
	case len(e.Servers) > 0:
		for _, name := range e.Servers {
			i := slices.IndexFunc(ready, func(s *simServer) bool { return s.id == name })
			if i < 0 {
				w.day.Notes = append(w.day.Notes, fmt.Sprintf("%v: %s at %s, which is not there, does nothing", w.now, e.Do, name))
				continue
			}
			chosen = append(chosen, ready[i])
		}
	case e.Kind != "":
		chosen = slices.DeleteFunc(ready, func(s *simServer) bool { return s.kind.name != e.Kind })
	default:
		w.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
		chosen = ready[:min(len(ready), int(math.Ceil(e.Share*float64(len(ready))-1e-9)))]
	}
	return chosen
}

// deploy replaces servers by cold successors, batch by batch.
func (w *world) deploy(e Event) {
	all := w.choose(e)
	size := max(1, int(e.Batch*float64(len(w.byID))))
	batches := (len(all) + size - 1) / size
	over := e.Over.draw(w.random)
	for i := range batches {
		batch := all[i*size : min(len(all), (i+1)*size)]
		w.after(over*time.Duration(i)/time.Duration(batches), func() {
			for _, s := range batch {
				w.replace(s)
			}
			w.changed()
		})
	}
}

// replace lets a server drain and starts its successor.
func (w *world) replace(s *simServer) {
	if w.byID[s.id] != s || s.state != logic.Ready { // something else has befallen it since
		return
	}
	s.state = logic.Draining
	w.successors++
	w.start(fmt.Sprintf("n-%02d", w.successors), s.kind, s.pod, false)
	w.after(drainTime, func() {
		s.state = logic.Gone
		s.die()
		w.changed()
	})
}

// changed tells the agents of the list, each when its turn comes.
func (w *world) changed() {
	for _, a := range w.agents {
		w.after(w.lag+time.Duration(w.net.Int64N(int64(listEvery))), func() { a.list(false) })
	}
}

// killAgent ends an agent, with all that it held, and starts it anew.
func (w *world) killAgent(a *simAgent) {
	if !a.up {
		return
	}
	a.up = false
	a.life++
	for _, r := range w.requests {
		if r.agent != a || r.end != open || r.waits {
			continue
		}
		if r.key == "" && r.tries == 1 && w.script.Clients.Retry { // its connection broke; this one may be sent again
			r.waits = true
			w.after(agentDown+ownWait, func() { r.waits = false; w.send(r) })
			continue
		}
		r.end, r.took = failed, w.now-r.arrived
	}
	w.after(agentDown, a.boot)
}
