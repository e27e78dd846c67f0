package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"appleledge/internal/balancer"
)

// agentDowntime is the time from an agent's end to its next start.
const agentDowntime = 500 * time.Millisecond

// drainNoticeTime is how long clients go on sending to an agent that has got SIGTERM; the platform says 0.2 to 0.4 s.
const drainNoticeTime = 300 * time.Millisecond

// scheduleEvents schedules the script's events, counted from the current time.
func (r *scenarioRun) scheduleEvents() {
	for _, e := range r.script.Events {
		at := r.now + e.At.draw(r.random)
		for range max(1, e.Repeat) {
			r.schedule(at, func() { r.execute(e) })
			at += e.Interval.draw(r.random)
		}
	}
}

// execute carries out an event of the script.
func (r *scenarioRun) execute(e Event) {
	lasts := e.Duration.draw(r.random)
	r.report.addEvent(r.now, e.Type, lasts)
	switch e.Type {
	case "list_outage":
		r.startListOutage(lasts)
	case "list_silence":
		r.startListSilence(lasts)
	case "list_lag":
		lag := e.Period.draw(r.random)
		r.listLag += lag
		r.environment.setListLag(r.listLag)
		r.scheduleAfter(lasts, func() { r.listLag -= lag; r.environment.setListLag(r.listLag) })
	case "load":
		r.loadFactor *= e.Factor
		r.scheduleAfter(lasts, func() { r.loadFactor /= e.Factor })
	case "ramp":
		over := e.Period.draw(r.random)
		r.varyLoad(lasts, func(at time.Duration) float64 { return 1 + (e.Factor-1)*min(1, float64(at)/float64(over)) })
	case "wave":
		over := e.Period.draw(r.random)
		r.varyLoad(lasts, func(at time.Duration) float64 {
			return 1 + (e.Factor-1)*(1-math.Cos(2*math.Pi*float64(at)/float64(over)))/2
		})
	case "agent_sigterm":
		for _, number := range r.selectAgents(e) {
			r.environment.restartAgent(number)
		}
	case "agent_kill":
		for _, number := range r.selectAgents(e) {
			r.environment.killAgent(number, agentDowntime, false)
		}
	case "agent_pause":
		for _, number := range r.selectAgents(e) {
			r.environment.pauseAgent(number, lasts)
		}
	case "agent_reload":
		for _, number := range r.selectAgents(e) {
			r.environment.reloadAgent(number)
		}
	case "power_loss":
		r.powerLoss(e, lasts)
	case "rolling_deploy":
		r.rollingDeploy(e)
	case "kill":
		for _, s := range r.selectServers(e) {
			s.state = balancer.Removed
			s.host.kill()
		}
		r.environment.listChanged()
	case "restart":
		for _, s := range r.selectServers(e) {
			s.host.kill()
			r.addServer(s.id, s.kind, s.pod, false)
		}
		r.environment.listChanged()
	default:
		r.injectFaults(e, lasts)
	}
}

// startListOutage makes the endpoint list unavailable for the given time. Outages may overlap.
func (r *scenarioRun) startListOutage(lasts time.Duration) {
	if r.listOutages++; r.listOutages == 1 {
		r.environment.setListOutage(true)
	}
	r.scheduleAfter(lasts, func() {
		if r.listOutages--; r.listOutages == 0 {
			r.environment.setListOutage(false)
		}
	})
}

// startListSilence makes the source of the endpoint list silent for the given time. Silences may overlap.
func (r *scenarioRun) startListSilence(lasts time.Duration) {
	if r.listSilences++; r.listSilences == 1 {
		r.environment.setListSilence(true)
	}
	r.scheduleAfter(lasts, func() {
		if r.listSilences--; r.listSilences == 0 {
			r.environment.setListSilence(false)
		}
	})
}

// powerLoss stops servers and agents at once and starts each again after its own delay. A pod all of whose servers are lost
// forgets its idempotency keys. While servers are down the endpoint list goes on naming them.
func (r *scenarioRun) powerLoss(e Event, dark time.Duration) {
	if list := e.ListDelay.draw(r.random); e.ListDelay.To > 0 {
		r.startListOutage(dark + list)
	}
	var lost []*server
	if e.ServerShare > 0 {
		lost = r.selectServers(e)
	}
	for _, s := range lost {
		s.host.kill()
	}
	for _, s := range lost {
		r.forgetPodIfAllLost(s.pod, lost)
		r.scheduleAfter(dark+e.Stagger.draw(r.random), func() {
			if r.current[s.id] == s {
				r.addServer(s.id, s.kind, s.pod, false)
				r.environment.listChanged()
			}
		})
	}
	if e.AgentShare > 0 {
		for _, number := range r.selectAgents(e) {
			r.environment.killAgent(number, dark+e.Stagger.draw(r.random), true)
		}
	}
}

// forgetPodIfAllLost clears a pod's memory of idempotency keys if all of its servers are in lost.
func (r *scenarioRun) forgetPodIfAllLost(pod int, lost []*server) {
	for _, s := range r.current {
		if s.pod == pod && s.state != balancer.Removed && !slices.Contains(lost, s) {
			return
		}
	}
	r.environment.forgetPod(pod)
}

// loadStepInterval is how often a varying load is adjusted.
const loadStepInterval = 100 * time.Millisecond

// varyLoad multiplies the load by a factor of the time since now, for the given duration.
func (r *scenarioRun) varyLoad(lasts time.Duration, factor func(time.Duration) float64) {
	began, now := r.now, 1.0
	var step func()
	step = func() {
		next := 1.0
		if at := r.now - began; at < lasts {
			next = factor(at)
			r.scheduleAfter(min(loadStepInterval, lasts-at), step)
		}
		r.loadFactor *= next / now
		now = next
	}
	step()
}

// selectAgents returns the numbers of the agents that an event concerns.
func (r *scenarioRun) selectAgents(e Event) []int {
	if e.Agent > 0 {
		return []int{e.Agent - 1}
	}
	agents := r.script.Fleet.Agents
	return r.random.Perm(agents)[:int(math.Ceil(e.AgentShare*float64(agents)-1e-9))]
}

// selectServers returns the servers that an event applies to, out of those that are ready.
func (r *scenarioRun) selectServers(e Event) (chosen []*server) {
	var ready []*server
	for _, s := range r.servers {
		if r.current[s.id] == s && s.state == balancer.Ready && !s.host.hasCollapsed() {
			ready = append(ready, s)
		}
	}
	switch {
	case len(e.Servers) > 0:
		for _, name := range e.Servers {
			i := slices.IndexFunc(ready, func(s *server) bool { return s.id == name })
			if i < 0 {
				r.report.Notes = append(r.report.Notes, fmt.Sprintf("%v: %s at %s, which is not there, does nothing", r.now, e.Type, name))
				continue
			}
			chosen = append(chosen, ready[i])
		}
	case e.MachineKind != "":
		chosen = slices.DeleteFunc(ready, func(s *server) bool { return s.kind.name != e.MachineKind })
	default:
		r.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
		chosen = ready[:min(len(ready), int(math.Ceil(e.ServerShare*float64(len(ready))-1e-9)))]
	}
	return chosen
}

// rollingDeploy replaces servers by cold successors, one batch after another.
func (r *scenarioRun) rollingDeploy(e Event) {
	all := r.selectServers(e)
	size := max(1, int(e.BatchShare*float64(len(r.current))))
	batches := (len(all) + size - 1) / size
	over := e.Period.draw(r.random)
	for i := range batches {
		batch := all[i*size : min(len(all), (i+1)*size)]
		r.scheduleAfter(over*time.Duration(i)/time.Duration(batches), func() {
			for _, s := range batch {
				r.replaceServer(s)
			}
			r.environment.listChanged()
		})
	}
}

// replaceServer drains a server and starts its successor.
func (r *scenarioRun) replaceServer(s *server) {
	if r.current[s.id] != s || s.state != balancer.Ready { // something else has befallen it since
		return
	}
	s.state = balancer.Draining
	r.successors++
	r.addServer(fmt.Sprintf("n-%02d", r.successors), s.kind, s.pod, false)
	r.scheduleAfter(drainTime, func() {
		s.state = balancer.Removed
		s.host.kill()
		r.environment.listChanged()
	})
}
