package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/engine"
)

// simRequest is a client's request with all its attempts.
type simRequest struct {
	requestRecord
	sim          *simulation
	route        string
	id           string
	agent        *simAgent
	answers      int  // final answers to the current attempt
	isBackingOff bool // before a retry
}

// send sends an attempt of a request to its agent.
func (w *simulation) send(r *simRequest) {
	r.attempts++
	r.answers = 0
	began := w.now
	if !r.agent.isUp && r.idempotencyKey == "" && r.attempts == 1 && w.script.Clients.Retry { // connection refused: no server can have run it
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
		call.Effect, call.IdempotencyWindow = balancer.IdempotentByKey, w.script.Fleet.dedupWindow()
	}
	answered := &simResponder{request: r, try: r.attempts, life: r.agent.incarnation}
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

// simResponder receives the final answer of one attempt.
type simResponder struct {
	request *simRequest
	try     int
	life    int
}

// Answer implements engine.Responder.
func (a *simResponder) Answer(ans engine.Answer) {
	r, w := a.request, a.request.sim
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

// handleRejection schedules a client's retry, or ends the request.
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

// scheduleArrivals sends a request now and schedules the ones that follow until end.
func (w *simulation) scheduleArrivals(end time.Duration) {
	clients := rand.New(rand.NewPCG(w.random.Uint64(), 3))
	zipf := rand.NewZipf(clients, 1.2, 8, uint64(w.script.Clients.DistinctForms-1))
	weights := cumulativeWeights(len(w.agents), clients)
	var one func()
	one = func() {
		if w.now >= end {
			return
		}
		w.sendNewRequest(clients, zipf, weights)
		w.scheduleAfter(time.Duration(clients.ExpFloat64()/(w.script.Clients.Rate*w.loadFactor)*float64(time.Second)), one)
	}
	one()
}

// sendNewRequest draws a request and sends it.
func (w *simulation) sendNewRequest(random *rand.Rand, zipf *rand.Zipf, weights []float64) {
	d := drawRequest(random, weights)
	r := &simRequest{requestRecord: d.requestRecord, sim: w, agent: w.agents[d.agent], id: fmt.Sprint("r", len(w.requests)),
		route: fmt.Sprint("form-", zipf.Uint64())}
	if r.arrived = w.now; r.class == 1 {
		r.idempotencyKey = "refund-" + r.id
	}
	w.requests = append(w.requests, r)
	w.send(r)
}
