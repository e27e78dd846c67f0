package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

// agentDowntime is how long an agent is away when it is killed.
const agentDowntime = 500 * time.Millisecond

// drainNoticeTime is how long clients go on sending to an agent that has been told to end (0.2 to 0.4 s by the platform).
const drainNoticeTime = 300 * time.Millisecond

// timeline plans, from now on, the script's events.
func (st *scenarioRun) scheduleEvents() {
	for _, e := range st.script.Events {
		at := st.now + e.At.draw(st.random)
		for range max(1, e.Repeat) {
			st.schedule(at, func() { st.execute(e) })
			at += e.Interval.draw(st.random)
		}
	}
}

// happen carries an event out.
func (st *scenarioRun) execute(e Event) {
	lasts := e.Duration.draw(st.random)
	st.report.addEvent(st.now, e.Type, lasts)
	switch e.Type {
	case "list_outage":
		if st.listOutages++; st.listOutages == 1 {
			st.environment.setListOutage(true)
		}
		st.scheduleAfter(lasts, func() {
			if st.listOutages--; st.listOutages == 0 {
				st.environment.setListOutage(false)
			}
		})
	case "list_lag":
		lag := e.Period.draw(st.random)
		st.listLag += lag
		st.environment.setListLag(st.listLag)
		st.scheduleAfter(lasts, func() { st.listLag -= lag; st.environment.setListLag(st.listLag) })
	case "load":
		st.loadFactor *= e.Factor
		st.scheduleAfter(lasts, func() { st.loadFactor /= e.Factor })
	case "ramp":
		over := e.Period.draw(st.random)
		st.varyLoad(lasts, func(at time.Duration) float64 { return 1 + (e.Factor-1)*min(1, float64(at)/float64(over)) })
	case "wave":
		over := e.Period.draw(st.random)
		st.varyLoad(lasts, func(at time.Duration) float64 {
			return 1 + (e.Factor-1)*(1-math.Cos(2*math.Pi*float64(at)/float64(over)))/2
		})
	case "agent_sigterm":
		for _, number := range st.selectAgents(e) {
			st.environment.restartAgent(number)
		}
	case "agent_kill":
		for _, number := range st.selectAgents(e) {
			st.environment.killAgent(number, agentDowntime, false)
		}
	case "power_loss":
		st.powerLoss(e, lasts)
	case "rolling_deploy":
		st.rollingDeploy(e)
	case "kill":
		for _, s := range st.selectServers(e) {
			s.state = balancer.Removed
			s.host.kill()
		}
		st.environment.listChanged()
	case "restart":
		for _, s := range st.selectServers(e) {
			s.host.kill()
			st.addServer(s.id, s.kind, s.pod, false)
		}
		st.environment.listChanged()
	default:
		st.injectFaults(e, lasts)
	}
}

// powerLoss takes power away from servers and agents, and gives it back to each at its time. A pod of which no server runs on has
// forgotten what it was sent. While servers are dark the list, which hears late, goes on naming them.
func (st *scenarioRun) powerLoss(e Event, dark time.Duration) {
	if list := e.ListDelay.draw(st.random); e.ListDelay.To > 0 {
		if st.listOutages++; st.listOutages == 1 {
			st.environment.setListOutage(true)
		}
		st.scheduleAfter(dark+list, func() {
			if st.listOutages--; st.listOutages == 0 {
				st.environment.setListOutage(false)
			}
		})
	}
	var lost []*server
	if e.ServerShare > 0 {
		lost = st.selectServers(e)
	}
	for _, s := range lost {
		s.host.kill()
	}
	for _, s := range lost {
		st.forgetPodIfAllLost(s.pod, lost)
		st.scheduleAfter(dark+e.Stagger.draw(st.random), func() {
			if st.current[s.id] == s {
				st.addServer(s.id, s.kind, s.pod, false)
				st.environment.listChanged()
			}
		})
	}
	if e.AgentShare > 0 {
		for _, number := range st.selectAgents(e) {
			st.environment.killAgent(number, dark+e.Stagger.draw(st.random), true)
		}
	}
}

// forgotten lets a pod forget if all of its servers are among those that are lost.
func (st *scenarioRun) forgetPodIfAllLost(pod int, lost []*server) {
	for _, s := range st.current {
		if s.pod == pod && s.state != balancer.Removed && !slices.Contains(lost, s) {
			return
		}
	}
	st.environment.forgetPod(pod)
}

// loadStepInterval is how often a load that swings is set anew.
const loadStepInterval = 100 * time.Millisecond

// swing multiplies the load by a factor that moves with the time since now, until it has lasted.
func (st *scenarioRun) varyLoad(lasts time.Duration, factor func(time.Duration) float64) {
	began, now := st.now, 1.0
	var step func()
	step = func() {
		next := 1.0
		if at := st.now - began; at < lasts {
			next = factor(at)
			st.scheduleAfter(min(loadStepInterval, lasts-at), step)
		}
		st.loadFactor *= next / now
		now = next
	}
	step()
}

// hold lets an effect hold servers for a time.
func (st *scenarioRun) injectFaults(e Event, lasts time.Duration) {
	add := func(list *[]float64) (undo func()) {
		*list = append(*list, e.Factor)
		return func() {
			i := slices.Index(*list, e.Factor)
			*list = slices.Delete(*list, i, i+1)
		}
	}
	count := func(n *int) (undo func()) {
		*n++
		return func() { *n-- }
	}
	for _, s := range st.selectServers(e) {
		var undo func()
		s.changeFaults(func(x *faultSet) {
			switch e.Type {
			case "hang":
				undo = count(&x.hung)
			case "pause":
				undo = count(&x.paused)
			case "partition":
				undo = count(&x.partitioned)
			case "throttle":
				undo = add(&x.throttle)
			case "fast_errors":
				undo = add(&x.errors)
			case "reset":
				undo = add(&x.reset)
			case "spoil":
				undo = add(&x.corrupt)
			}
		})
		st.scheduleAfter(lasts, func() { s.changeFaults(func(*faultSet) { undo() }) })
	}
}

// selectAgents returns the numbers of the agents that an event concerns.
func (st *scenarioRun) selectAgents(e Event) []int {
	if e.Agent > 0 {
		return []int{e.Agent - 1}
	}
	agents := st.script.Fleet.Agents
	return st.random.Perm(agents)[:int(math.Ceil(e.AgentShare*float64(agents)-1e-9))]
}

// choose returns the servers that an event concerns, of those that are ready.
func (st *scenarioRun) selectServers(e Event) (chosen []*server) {
	var ready []*server
	for _, s := range st.servers {
		if st.current[s.id] == s && s.state == balancer.Ready && !s.host.hasCollapsed() {
			ready = append(ready, s)
		}
	}
	switch {
	case len(e.Servers) > 0:
		for _, name := range e.Servers {
			i := slices.IndexFunc(ready, func(s *server) bool { return s.id == name })
			if i < 0 {
				st.report.Notes = append(st.report.Notes, fmt.Sprintf("%v: %s at %s, which is not there, does nothing", st.now, e.Type, name))
				continue
			}
			chosen = append(chosen, ready[i])
		}
	case e.MachineKind != "":
		chosen = slices.DeleteFunc(ready, func(s *server) bool { return s.kind.name != e.MachineKind })
	default:
		st.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
		chosen = ready[:min(len(ready), int(math.Ceil(e.ServerShare*float64(len(ready))-1e-9)))]
	}
	return chosen
}

// deploy replaces servers by cold successors, batch by batch.
func (st *scenarioRun) rollingDeploy(e Event) {
	all := st.selectServers(e)
	size := max(1, int(e.BatchShare*float64(len(st.current))))
	batches := (len(all) + size - 1) / size
	over := e.Period.draw(st.random)
	for i := range batches {
		batch := all[i*size : min(len(all), (i+1)*size)]
		st.scheduleAfter(over*time.Duration(i)/time.Duration(batches), func() {
			for _, s := range batch {
				st.replaceServer(s)
			}
			st.environment.listChanged()
		})
	}
}

// replace lets a server drain and starts its successor.
func (st *scenarioRun) replaceServer(s *server) {
	if st.current[s.id] != s || s.state != balancer.Ready { // something else has befallen it since
		return
	}
	s.state = balancer.Draining
	st.successors++
	st.addServer(fmt.Sprintf("n-%02d", st.successors), s.kind, s.pod, false)
	st.scheduleAfter(drainTime, func() {
		s.state = balancer.Removed
		s.host.kill()
		st.environment.listChanged()
	})
}
