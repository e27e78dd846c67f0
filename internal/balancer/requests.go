package balancer

import (
	"slices"
	"time"
)

// maxPooledRequests is how many closed requests are kept to be used again, so that a request costs no
// allocation.
const maxPooledRequests = 256

// requestTable holds the requests that are open or have attempts in flight.
type requestTable struct {
	byID          map[string]*request
	byTimer       map[uint64]*request // open ones, by the token of the timer for their deadline
	lastToken     uint64              // of a timer
	closed        []*request          // closed ones without attempts in flight, to be used again
	activeServers []*server           // those with attempts in flight, and some that had them lately
}

type request struct {
	Request
	class        *Class // as of its arrival
	attempts     []*attempt
	inFlight     int  // attempts
	unread       int  // attempts that have ended with their head unread
	isClosed     bool // it is owed no final answer any more
	token        uint64
	firstAttempt attempt // room for the first of attempts, which most requests have alone
	earlier      attempt // of an earlier request for the same key, where one may have run

	isHedgeWithheld bool // counted as such
}

type attempt struct {
	request       *request
	server        *server
	zone, cell    int // the server's at the time of the send: a list may move it
	sentAt        time.Duration
	isInFlight    bool
	hasNotRun     bool // its outcome proves that it had no effect
	isBrokenOff   bool // its connection broke, or its caller ended it, before an answer
	isUnread      bool // a repeat was not sent, as nothing shows that the server has read this one
	isSendingBody bool // the request's body still arrives: the server owes nothing yet
}

// addRequest takes a new request and sends or rejects it. In an overload all requests of a class may be
// rejected, but never one that a server is due for as its trial: else ejected servers would stand idle to the
// end of the overload.
func (b *Balancer) addRequest(e Request) {
	classes := b.settings.Classes
	if e.UsesPreviousClasses {
		classes = b.previousClasses
	}
	if e.Class < 0 || e.Class >= len(classes) || b.requests.byID[e.ID] != nil {
		return
	}
	r := b.newRequest()
	r.Request, r.class = e, &classes[e.Class]
	r.earlier = attempt{zone: e.Earlier.Zone, cell: e.Earlier.Cell, sentAt: e.Earlier.SentAt}
	b.requests.byID[e.ID] = r
	b.retries.tokens = min(b.retries.tokens+retryBudgetRatio, maxRetryBudget)
	b.requests.lastToken++
	r.token, b.requests.byTimer[b.requests.lastToken] = b.requests.lastToken, r
	b.setTimer(r.token, r.Deadline-b.now)
	switch drop := b.shedder.listDropRatio; {
	case drop > 0 && b.rng.Float64() < drop:
		b.finish(r, ReasonListDrop)
	case b.shouldShed(b.recordPriority(r)) && b.dueTrial(r) == nil:
		b.finish(r, ReasonLoadShed)
	default:
		b.sendOrFinish(r)
	}
}

// sendOrFinish sends the request to the best server, or ends it where there is none.
func (b *Balancer) sendOrFinish(r *request) {
	b.repeats.isWithheld = false
	s := b.pick(r)
	if s == nil && b.repeats.isWithheld {
		b.repeats.withheldRetries++
	}
	switch {
	case s != nil:
		b.send(r, s)
	case b.mayAttempt(r):
		b.finish(r, ReasonNoServer)
	default:
		b.finish(r, ReasonExhausted)
	}
}

func (b *Balancer) send(r *request, s *server) {
	isRepeat := r.class.Effect == IdempotentByKey && r.firstThatMayHaveRun() != nil
	if len(s.inFlight) == 0 {
		s.health.lastSignOfLife, s.health.owesSince = b.now, b.now
	}
	b.requests.activeServers = enlist(b.requests.activeServers, s, &s.isActive)
	a := &r.firstAttempt
	if len(r.attempts) > 0 {
		a = &attempt{}
	}
	*a = attempt{request: r, server: s, zone: s.Zone, cell: s.Cell, sentAt: b.now, isInFlight: true,
		isSendingBody: r.StreamsBody}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	s.inFlight = append(s.inFlight, a)
	b.traffic.sends++
	action := Action{Kind: Send, Request: r.ID, Server: s.ID, WarmingUp: b.warmRatio(s) < 1}
	if isRepeat {
		action.TakeDelay = b.maxTakeDelay(s)
	}
	b.act(action)
}

// markBodySent starts the time of the answer to the latest attempt, and moves the deadline of the request.
func (b *Balancer) markBodySent(e BodySent) {
	r := b.requests.byID[e.Request]
	if r == nil || r.isClosed || r.inFlight == 0 || e.Attempt != len(r.attempts)-1 {
		return
	}
	a := r.attempts[e.Attempt]
	a.isSendingBody, a.sentAt, r.Deadline = false, b.now, e.Deadline
	b.setTimer(r.token, r.Deadline-b.now)
}

// endAttempt takes the outcome of an attempt, and retries the request where it failed and nothing else is in
// flight.
func (b *Balancer) endAttempt(o Outcome) {
	r := b.requests.byID[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].isInFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.isInFlight, a.hasNotRun = false, o.Result.ProvesNotRun()
	a.isBrokenOff = o.Result == Reset || o.Result == Cancelled
	r.inFlight--
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(other *attempt) bool { return other == a })
	b.recordReport(a.server, o.Report)
	b.recordStall(a, o)
	b.forgetUnread(r, o)
	r.markOriginalUnread(o)
	b.recordOutcome(a, o)
	switch {
	case r.isClosed || o.RequestClosed:
		b.closeRequest(r)
	case r.inFlight > 0: // the other attempt goes on
	case o.RetryForbidden:
		b.finish(r, ReasonRetryBudget)
	case r.ManualRetry: // its caller asks, if it wants another attempt
	default:
		b.sendRetry(r)
	}
}

// finish ends a request that was not served. A Reject promises that repeating it does no harm; where that is
// not known to hold, it is a Fail.
func (b *Balancer) finish(r *request, reason Reason) {
	if r.isClosed {
		return
	}
	kind := Fail
	if r.mayReject() {
		kind = Reject
	}
	b.act(Action{Kind: kind, Request: r.ID, Reason: reason,
		After: min(b.settings.MaxRetryAfter, r.class.retryAfter())})
	b.closeRequest(r)
}

// closeRequest marks the request as ended; it is kept while attempts are in flight.
func (b *Balancer) closeRequest(r *request) {
	r.isClosed = true
	delete(b.requests.byTimer, r.token) // it would hold the request until its deadline
	if r.inFlight == 0 && b.requests.byID[r.ID] == r {
		delete(b.requests.byID, r.ID)
		if len(b.requests.closed) < maxPooledRequests {
			b.requests.closed = append(b.requests.closed, r)
		}
	}
}

// newRequest returns an empty request. Closed ones are used again: nothing holds them or their attempts any
// more.
func (b *Balancer) newRequest() *request {
	last := len(b.requests.closed) - 1
	if last < 0 {
		return &request{}
	}
	r := b.requests.closed[last]
	b.requests.closed[last] = nil
	b.requests.closed = b.requests.closed[:last]
	clear(r.attempts)
	*r = request{attempts: r.attempts[:0]}
	return r
}
