package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

// agentDown is how long an agent is away when it is killed.
const agentDown = 500 * time.Millisecond

// noticeTime is how long clients go on sending to an agent that has been told to end (0.2 to 0.4 s by the platform).
const noticeTime = 300 * time.Millisecond

// timeline plans, from now on, the script's events.
func (st *stage) timeline() {
	for _, e := range st.script.Events {
		at := st.now + e.At.draw(st.random)
		for range max(1, e.Repeat) {
			st.plan(at, func() { st.happen(e) })
			at += e.Every.draw(st.random)
		}
	}
}

// happen carries an event out.
func (st *stage) happen(e Event) {
	lasts := e.For.draw(st.random)
	st.day.note(st.now, e.Do, lasts)
	switch e.Do {
	case "list_outage":
		if st.outage++; st.outage == 1 {
			st.in.reach(true)
		}
		st.after(lasts, func() {
			if st.outage--; st.outage == 0 {
				st.in.reach(false)
			}
		})
	case "list_lag":
		lag := e.Over.draw(st.random)
		st.lag += lag
		st.in.late(st.lag)
		st.after(lasts, func() { st.lag -= lag; st.in.late(st.lag) })
	case "load":
		st.times *= e.To
		st.after(lasts, func() { st.times /= e.To })
	case "ramp":
		over := e.Over.draw(st.random)
		st.swing(lasts, func(at time.Duration) float64 { return 1 + (e.To-1)*min(1, float64(at)/float64(over)) })
	case "wave":
		over := e.Over.draw(st.random)
		st.swing(lasts, func(at time.Duration) float64 {
			return 1 + (e.To-1)*(1-math.Cos(2*math.Pi*float64(at)/float64(over)))/2
		})
	case "agent_sigterm":
		for _, number := range st.chooseAgents(e) {
			st.in.endAgent(number)
		}
	case "agent_kill":
		for _, number := range st.chooseAgents(e) {
			st.in.killAgent(number, agentDown, false)
		}
	case "power_loss":
		st.powerLoss(e, lasts)
	case "rolling_deploy":
		st.deploy(e)
	case "kill":
		for _, s := range st.choose(e) {
			s.state = balancer.Removed
			s.at.die()
		}
		st.in.changed()
	case "restart":
		for _, s := range st.choose(e) {
			s.at.die()
			st.start(s.id, s.kind, s.pod, false)
		}
		st.in.changed()
	default:
		st.hold(e, lasts)
	}
}

// powerLoss takes power away from servers and agents, and gives it back to each at its time. A pod of which no server runs on has
// forgotten what it was sent. While servers are dark the list, which hears late, goes on naming them.
func (st *stage) powerLoss(e Event, dark time.Duration) {
	if list := e.List.draw(st.random); e.List.To > 0 {
		if st.outage++; st.outage == 1 {
			st.in.reach(true)
		}
		st.after(dark+list, func() {
			if st.outage--; st.outage == 0 {
				st.in.reach(false)
			}
		})
	}
	var lost []*member
	if e.Share > 0 {
		lost = st.choose(e)
	}
	for _, s := range lost {
		s.at.die()
	}
	for _, s := range lost {
		st.forgotten(s.pod, lost)
		st.after(dark+e.Apart.draw(st.random), func() {
			if st.current[s.id] == s {
				st.start(s.id, s.kind, s.pod, false)
				st.in.changed()
			}
		})
	}
	if e.Agents > 0 {
		for _, number := range st.chooseAgents(e) {
			st.in.killAgent(number, dark+e.Apart.draw(st.random), true)
		}
	}
}

// forgotten lets a pod forget if all of its servers are among those that are lost.
func (st *stage) forgotten(pod int, lost []*member) {
	for _, s := range st.current {
		if s.pod == pod && s.state != balancer.Removed && !slices.Contains(lost, s) {
			return
		}
	}
	st.in.forget(pod)
}

// swingStep is how often a load that swings is set anew.
const swingStep = 100 * time.Millisecond

// swing multiplies the load by a factor that moves with the time since now, until it has lasted.
func (st *stage) swing(lasts time.Duration, factor func(time.Duration) float64) {
	began, now := st.now, 1.0
	var step func()
	step = func() {
		next := 1.0
		if at := st.now - began; at < lasts {
			next = factor(at)
			st.after(min(swingStep, lasts-at), step)
		}
		st.times *= next / now
		now = next
	}
	step()
}

// hold lets an effect hold servers for a time.
func (st *stage) hold(e Event, lasts time.Duration) {
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
	for _, s := range st.choose(e) {
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
			case "spoil":
				undo = add(&x.spoil)
			}
		})
		st.after(lasts, func() { s.change(func(*effects) { undo() }) })
	}
}

// chooseAgents returns the numbers of the agents that an event concerns.
func (st *stage) chooseAgents(e Event) []int {
	if e.Agent > 0 {
		return []int{e.Agent - 1}
	}
	agents := st.script.Fleet.Agents
	return st.random.Perm(agents)[:int(math.Ceil(e.Agents*float64(agents)-1e-9))]
}

// choose returns the servers that an event concerns, of those that are ready.
func (st *stage) choose(e Event) (chosen []*member) {
	var ready []*member
	for _, s := range st.members {
		if st.current[s.id] == s && s.state == balancer.Ready && !s.at.toppled() {
			ready = append(ready, s)
		}
	}
	switch {
	case len(e.Servers) > 0:
		for _, name := range e.Servers {
			i := slices.IndexFunc(ready, func(s *member) bool { return s.id == name })
			if i < 0 {
				st.day.Notes = append(st.day.Notes, fmt.Sprintf("%v: %s at %s, which is not there, does nothing", st.now, e.Do, name))
				continue
			}
			chosen = append(chosen, ready[i])
		}
	case e.Kind != "":
		chosen = slices.DeleteFunc(ready, func(s *member) bool { return s.kind.name != e.Kind })
	default:
		st.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
		chosen = ready[:min(len(ready), int(math.Ceil(e.Share*float64(len(ready))-1e-9)))]
	}
	return chosen
}

// deploy replaces servers by cold successors, batch by batch.
func (st *stage) deploy(e Event) {
	all := st.choose(e)
	size := max(1, int(e.Batch*float64(len(st.current))))
	batches := (len(all) + size - 1) / size
	over := e.Over.draw(st.random)
	for i := range batches {
		batch := all[i*size : min(len(all), (i+1)*size)]
		st.after(over*time.Duration(i)/time.Duration(batches), func() {
			for _, s := range batch {
				st.replace(s)
			}
			st.in.changed()
		})
	}
}

// replace lets a server drain and starts its successor.
func (st *stage) replace(s *member) {
	if st.current[s.id] != s || s.state != balancer.Ready { // something else has befallen it since
		return
	}
	s.state = balancer.Draining
	st.successors++
	st.start(fmt.Sprintf("n-%02d", st.successors), s.kind, s.pod, false)
	st.after(drainTime, func() {
		s.state = balancer.Removed
		s.at.die()
		st.in.changed()
	})
}
