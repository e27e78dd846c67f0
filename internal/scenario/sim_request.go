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
	requestRecord
	w            *simulation
	route        string
	id           string
	agent        *simAgent
	answers      int  // final answers of the try under way
	isBackingOff bool // to come back
}

// asked is a request as the report counts it.
type requestRecord struct {
	class, tenant  int
	idempotencyKey string // by which repeats are told; empty for the class that may be repeated
	arrived        time.Duration
	attempts       int
	result         requestResult
	latency        time.Duration // from the first try to the end
}

// end is how a request ended for its client.
type requestResult int

const (
	pending requestResult = iota
	served
	rejected
	failed
	unanswered // no answer before the deadline
)

// send makes a try of a request at its agent.
func (w *simulation) send(r *simRequest) {
	r.attempts++
	r.answers = 0
	began := w.now
	if !r.agent.isUp && r.idempotencyKey == "" && r.attempts == 1 && w.script.Clients.Retry { // as on sockets: nobody has taken it
		r.isBackingOff = true
		w.scheduleAfter(clientRetryDelay, func() { r.isBackingOff = false; w.send(r) })
		return
	}
	if !r.agent.isUp {
		r.result, r.latency = failed, w.now-r.arrived
		return
	}
	call := &engine.Call{ID: fmt.Sprintf("%s.%d", r.id, r.attempts), Class: r.class, Tenant: r.tenant, Key: r.route,
		Deadline: began + deadline - agentDeadlineMargin, ClientRetry: r.attempts > 1 && w.script.Clients.MarkRetries, IdempotencyKey: r.idempotencyKey, Transport: r.agent, Payload: r}
	if r.class == 0 {
		call.CoalesceDigest = &coalesce.Digest{}
		copy(call.CoalesceDigest[:], r.route)
	}
	if r.idempotencyKey != "" {
		call.Effect, call.IdempotencyWindow = balancer.IdempotentByKey, dedupWindow
	}
	answered := &simResponder{r: r, try: r.attempts, life: r.agent.incarnation}
	call.Responder = answered
	life := r.agent.incarnation
	w.schedule(began+deadline, func() {
		if r.attempts == answered.try && r.result == pending && !r.isBackingOff {
			r.result, r.latency = unanswered, w.now-r.arrived
			if life == r.agent.incarnation { // what an agent held when it was killed is the client's to retry
				w.addViolation("1", "request %s had no answer from agent %d by its deadline", call.ID, r.agent.number)
			}
		}
	})
	r.agent.handle(engine.CallArrived(call))
}

// answered takes the final answer of one try.
type simResponder struct {
	r    *simRequest
	try  int
	life int
}

// Answer is of engine.Responder.
func (a *simResponder) Answer(ans engine.Answer) {
	r, w := a.r, a.r.w
	if w.dropAnswer != nil && w.dropAnswer(r) {
		return
	}
	r.answers++
	if r.answers > 1 {
		w.addViolation("1", "request %s.%d had %d final answers", r.id, a.try, r.answers)
	}
	if a.life != r.agent.incarnation || a.try != r.attempts || r.result != pending {
		return
	}
	switch ans.Kind {
	case engine.Served:
		r.result, r.latency = served, w.now-r.arrived
	case engine.Rejected:
		w.handleRejection(r, ans)
	default:
		r.result, r.latency = failed, w.now-r.arrived
	}
}

// refuse lets a client come back, or give up.
func (w *simulation) handleRejection(r *simRequest, ans engine.Answer) {
	if !w.script.Clients.allowsRetry(r.attempts) {
		r.result, r.latency = rejected, w.now-r.arrived
		return
	}
	wait := w.script.Clients.drawBackoff(w.networkRandom)
	if w.script.Clients.HonorRetryAfter && ans.RetryAfter > 0 {
		wait = ans.RetryAfter
	}
	r.isBackingOff = true
	w.scheduleAfter(wait, func() { r.isBackingOff = false; w.send(r) })
}

// Start is of engine.AsyncTransport: an attempt on its way over the simulated network.
func (a *simAgent) Start(at *engine.Attempt) {
	w := a.w
	s, _ := at.Incarnation.(*simServer)
	if w.redirectAttempt != nil {
		s = w.redirectAttempt(a, at, s)
	}
	life := a.incarnation
	ended := func(result balancer.Result, report balancer.Report) {
		if a.incarnation == life {
			a.handle(engine.Outcome{Attempt: at, Result: result, Report: report})
		}
	}
	if s == nil || a.knownServers[s.id].state == balancer.Removed || a.isForbidden(at) {
		w.scheduleAfter(0, func() { ended(balancer.NotSent, balancer.NoReport) })
		return
	}
	if told, is := a.drainToldAt[s.id]; is && w.now-told > drainGrace && w.serversByID[s.id] == s {
		w.addViolation("3", "agent %d sent to %s, %v after it was told that it drains", a.number, s.id, w.now-told)
	}
	timedOut := false
	w.schedule(at.Deadline, func() { timedOut = true; ended(balancer.TimedOut, balancer.NoReport) })
	if s.faults.partitioned > 0 {
		w.scheduleAfter(min(connectTimeout, at.Deadline-w.now), func() {
			if !timedOut {
				ended(balancer.ConnectFailed, balancer.NoReport)
			}
		})
		return
	}
	w.scheduleAfter(w.drawNetworkDelay(), func() { s.handleAttempt(at, &timedOut, ended) })
}

// take is a request's arrival at a server.
func (s *simServer) handleAttempt(at *engine.Attempt, timedOut *bool, ended func(balancer.Result, balancer.Report)) {
	w, r := s.w, at.Call.Payload.(*simRequest)
	s.advance()
	reply := func(result balancer.Result, report balancer.Report) {
		w.scheduleAfter(w.drawNetworkDelay(), func() {
			if !*timedOut {
				ended(result, report)
			}
		})
	}
	s.lastRequestID++
	w.arrivals++
	work, wait := classes[r.class].Draw(0, at.Call.ID)
	verdict := s.model.Arrive(w.now, emulator.Request{ID: s.lastRequestID, Class: classes[r.class].Name, Key: r.idempotencyKey, RouteKey: r.route,
		Work: work, Wait: wait}, w.arrivals)
	switch verdict {
	case emulator.Down:
		if s.model.Toppled() && !s.collapseReported {
			s.collapseReported = true
			w.addViolation("4", "the cold server %s was pushed over", s.id)
		}
		reply(balancer.ConnectFailed, balancer.NoReport)
		return
	case emulator.Full:
		reply(balancer.Rejected, s.loadReport())
		return
	}
	s.peak = max(s.peak, s.model.Held())
	if s.model.Faults().Hung { // nothing will ever be heard of it
		return
	}
	s.pendingAttempts[s.lastRequestID] = pendingAttempt{onReset: func() { reply(balancer.Reset, balancer.NoReport) }, onDone: func(d emulator.Done) {
		switch {
		case s.faults.partitioned > 0: // the answer does not get out
		case w.networkRandom.Float64() < probabilityOfAny(s.faults.reset):
			reply(balancer.Reset, balancer.NoReport)
		case w.networkRandom.Float64() < probabilityOfAny(s.faults.corrupt): // nor is there a report that could be read
			reply(balancer.Failed, balancer.NoReport)
		case d.Failed:
			reply(balancer.Failed, s.loadReport())
		default:
			s.served++
			reply(balancer.OK, s.loadReport())
		}
	}}
	s.advance()
}

// report is the load that an answer shows.
func (s *simServer) loadReport() balancer.Report {
	l := s.model.Report(s.w.now)
	r := balancer.NoReport
	r.Utilization, r.ServedRate, r.ErrorRate = l.Util, l.Rate, l.Errors
	return r
}
