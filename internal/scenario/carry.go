package scenario

import (
	"fmt"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/emulator"
	"appleledge/internal/engine"
)

// simRequest is a client's request with all its tries.
type simRequest struct {
	asked
	w       *world
	route   string
	id      string
	agent   *simAgent
	answers int  // final answers of the try under way
	waits   bool // to come back
}

// asked is a request as the report counts it.
type asked struct {
	class, tenant int
	key           string // by which repeats are told; empty for the class that may be repeated
	arrived       time.Duration
	tries         int
	end           end
	took          time.Duration // from the first try to the end
}

// end is how a request ended for its client.
type end int

const (
	open end = iota
	served
	refused
	failed
	lost // no answer before the deadline
)

// send makes a try of a request at its agent.
func (w *world) send(r *simRequest) {
	r.tries++
	r.answers = 0
	began := w.now
	if !r.agent.up && r.key == "" && r.tries == 1 && w.script.Clients.Retry { // as on sockets: nobody has taken it
		r.waits = true
		w.after(ownWait, func() { r.waits = false; w.send(r) })
		return
	}
	if !r.agent.up {
		r.end, r.took = failed, w.now-r.arrived
		return
	}
	call := &engine.Call{ID: fmt.Sprintf("%s.%d", r.id, r.tries), Class: r.class, Tenant: r.tenant, Key: r.route,
		Deadline: began + deadline - marginOfAgent, ClientRetry: r.tries > 1 && w.script.Clients.Mark, IdempotencyKey: r.key, Transport: r.agent, Payload: r}
	if r.class == 0 {
		call.CoalesceDigest = &coalesce.Digest{}
		copy(call.CoalesceDigest[:], r.route)
	}
	if r.key != "" {
		call.Effect, call.IdempotencyWindow = balancer.IdempotentByKey, dropWindow
	}
	answered := &answered{r: r, try: r.tries, life: r.agent.life}
	call.Responder = answered
	life := r.agent.life
	w.plan(began+deadline, func() {
		if r.tries == answered.try && r.end == open && !r.waits {
			r.end, r.took = lost, w.now-r.arrived
			if life == r.agent.life { // what an agent held when it was killed is the client's to retry
				w.broken("1", "request %s had no answer from agent %d by its deadline", call.ID, r.agent.number)
			}
		}
	})
	r.agent.step(engine.CallArrived(call))
}

// answered takes the final answer of one try.
type answered struct {
	r    *simRequest
	try  int
	life int
}

// Answer is of engine.Responder.
func (a *answered) Answer(ans engine.Answer) {
	r, w := a.r, a.r.w
	if w.swallow != nil && w.swallow(r) {
		return
	}
	r.answers++
	if r.answers > 1 {
		w.broken("1", "request %s.%d had %d final answers", r.id, a.try, r.answers)
	}
	if a.life != r.agent.life || a.try != r.tries || r.end != open {
		return
	}
	switch ans.Kind {
	case engine.Served:
		r.end, r.took = served, w.now-r.arrived
	case engine.Rejected:
		w.refuse(r, ans)
	default:
		r.end, r.took = failed, w.now-r.arrived
	}
}

// refuse lets a client come back, or give up.
func (w *world) refuse(r *simRequest, ans engine.Answer) {
	if !w.script.Clients.again(r.tries) {
		r.end, r.took = refused, w.now-r.arrived
		return
	}
	wait := w.script.Clients.wait(w.net)
	if w.script.Clients.Heed && ans.RetryAfter > 0 {
		wait = ans.RetryAfter
	}
	r.waits = true
	w.after(wait, func() { r.waits = false; w.send(r) })
}

// Start is of engine.AsyncTransport: an attempt on its way over the simulated network.
func (a *simAgent) Start(at *engine.Attempt) {
	w := a.w
	s, _ := at.Incarnation.(*simServer)
	if w.tamper != nil {
		s = w.tamper(a, at, s)
	}
	life := a.life
	ended := func(result balancer.Result, report balancer.Report) {
		if a.life == life {
			a.step(engine.Outcome{Attempt: at, Result: result, Report: report})
		}
	}
	if s == nil || a.knows[s.id].state == balancer.Removed || a.barred(at) {
		w.after(0, func() { ended(balancer.NotSent, balancer.NoReport) })
		return
	}
	if told, is := a.told[s.id]; is && w.now-told > drainGrace && w.byID[s.id] == s {
		w.broken("3", "agent %d sent to %s, %v after it was told that it drains", a.number, s.id, w.now-told)
	}
	timedOut := false
	w.plan(at.Deadline, func() { timedOut = true; ended(balancer.TimedOut, balancer.NoReport) })
	if s.effects.cut > 0 {
		w.after(min(connectTimeout, at.Deadline-w.now), func() {
			if !timedOut {
				ended(balancer.ConnectFailed, balancer.NoReport)
			}
		})
		return
	}
	w.after(w.way(), func() { s.take(at, &timedOut, ended) })
}

// take is a request's arrival at a server.
func (s *simServer) take(at *engine.Attempt, timedOut *bool, ended func(balancer.Result, balancer.Report)) {
	w, r := s.w, at.Call.Payload.(*simRequest)
	s.look()
	reply := func(result balancer.Result, report balancer.Report) {
		w.after(w.way(), func() {
			if !*timedOut {
				ended(result, report)
			}
		})
	}
	s.last++
	w.order++
	work, wait := classes[r.class].Draw(0, at.Call.ID)
	verdict := s.model.Arrive(w.now, emulator.Request{ID: s.last, Class: classes[r.class].Name, Key: r.key, RouteKey: r.route,
		Work: work, Wait: wait}, w.order)
	switch verdict {
	case emulator.Down:
		if s.model.Toppled() && !s.toppledNoted {
			s.toppledNoted = true
			w.broken("4", "the cold server %s was pushed over", s.id)
		}
		reply(balancer.ConnectFailed, balancer.NoReport)
		return
	case emulator.Full:
		reply(balancer.Rejected, s.report())
		return
	}
	s.peak = max(s.peak, s.model.Held())
	if s.model.Faults().Hung { // nothing will ever be heard of it
		return
	}
	s.waiting[s.last] = waiter{broke: func() { reply(balancer.Reset, balancer.NoReport) }, ended: func(d emulator.Done) {
		switch {
		case s.effects.cut > 0: // the answer does not get out
		case w.net.Float64() < either(s.effects.reset):
			reply(balancer.Reset, balancer.NoReport)
		case w.net.Float64() < either(s.effects.spoil): // nor is there a report that could be read
			reply(balancer.Failed, balancer.NoReport)
		case d.Failed:
			reply(balancer.Failed, s.report())
		default:
			s.served++
			reply(balancer.OK, s.report())
		}
	}}
	s.look()
}

// report is the load that an answer shows.
func (s *simServer) report() balancer.Report {
	l := s.model.Report(s.w.now)
	r := balancer.NoReport
	r.Utilization, r.ServedRate, r.ErrorRate = l.Util, l.Rate, l.Errors
	return r
}
