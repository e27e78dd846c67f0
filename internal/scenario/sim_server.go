package scenario

import (
	"maps"
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
	"appleledge/internal/engine"
)

// simServer is a form server in simulated time.
type simServer struct {
	*server
	sim              *simulation
	model            *emulator.Server
	pendingAttempts  map[uint64]pendingAttempt // by the id of the request at the model
	lastRequestID    uint64
	nextAdvance      time.Duration // when the model's timer is scheduled; 0: it isn't
	peak             int           // most requests in it at a time
	collapseReported bool
	served           int
	inFlightSamples  []int    // sampled once a second
	unread           []func() // take what came while the server read nothing, in order
}

// pendingAttempt is an attempt whose request a server holds.
type pendingAttempt struct {
	onDone  func(emulator.Completion)
	onReset func() // the server has ended
}

// kill implements serverHost. The connections break in the order in which the requests came.
func (s *simServer) kill() {
	s.deliverEnded(s.model.ChangeFaults(s.sim.now, func(f *emulator.Faults) { f.Killed = true }))
	for _, id := range slices.Sorted(maps.Keys(s.pendingAttempts)) {
		s.pendingAttempts[id].onReset()
	}
	clear(s.pendingAttempts)
}

// advance lets the model do what is due, and schedules the next time.
func (s *simServer) advance() {
	s.deliverEnded(s.model.Advance(s.sim.now))
}

// deliverEnded answers the attempts whose requests have ended, and schedules the model's next timer.
func (s *simServer) deliverEnded(ended []emulator.Completion) {
	for _, d := range ended {
		if wait, ok := s.pendingAttempts[d.ID]; ok {
			delete(s.pendingAttempts, d.ID)
			wait.onDone(d)
		}
	}
	if at, ok := s.model.NextTimer(); ok && at != s.nextAdvance {
		s.nextAdvance = at
		s.sim.schedule(at, func() {
			if s.nextAdvance == at {
				s.nextAdvance = 0
				s.advance()
			}
		})
	}
}

// applyFaults implements serverHost.
func (s *simServer) applyFaults(e faultSet) {
	s.deliverEnded(s.model.ChangeFaults(s.sim.now, e.writeTo))
	if e.readStalls > 0 {
		return
	}
	unread := s.unread
	s.unread = nil
	for _, handle := range unread {
		handle()
	}
}

// hasCollapsed implements serverHost.
func (s *simServer) hasCollapsed() bool { return s.model.Collapsed() }

// asMember returns the server's entry in the endpoint list.
func (s *simServer) asMember() engine.Member {
	return engine.Member{Addr: s.id, Server: balancer.Server{ID: s.id, State: s.state, Cell: s.pod, Weight: 1, Started: s.started}}
}

// IsIncarnation makes a simServer an engine.Incarnation.
func (*simServer) IsIncarnation() {}

// receive takes an attempt whose bytes have come, or keeps it unread while the server reads nothing.
func (s *simServer) receive(handle func()) {
	if s.faults.readStalls > 0 {
		s.unread = append(s.unread, handle)
		return
	}
	handle()
}

// handleAttempt handles an attempt that the server has read.
func (s *simServer) handleAttempt(at *engine.Attempt, timedOut *bool, ended func(balancer.Result, balancer.Report)) {
	w, r := s.sim, at.Call.Payload.(*simRequest)
	if *timedOut && w.script.Fleet.RejectsAbandoned {
		return
	}
	if !w.script.Fleet.OmitsContinue { // its 100 (Continue) says so
		at.MarkRead()
	}
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
	verdict := s.model.Arrive(w.now, emulator.Request{ID: s.lastRequestID, Class: classes[r.class].Name, IdempotencyKey: r.idempotencyKey, RouteKey: r.route,
		Work: work, Wait: wait, TimeLeft: at.Deadline - at.Sent}, w.arrivals)
	switch verdict {
	case emulator.Unreachable:
		if s.model.Collapsed() && !s.collapseReported {
			s.collapseReported = true
			w.addViolation("4", "the cold server %s was pushed over", s.id)
		}
		reply(balancer.ConnectFailed, balancer.NoReport)
		return
	case emulator.Rejected:
		reply(balancer.Rejected, s.loadReport())
		return
	}
	s.peak = max(s.peak, s.model.InFlight())
	if s.model.Faults().Hung { // nothing will ever be heard of it
		return
	}
	s.pendingAttempts[s.lastRequestID] = pendingAttempt{onReset: func() { reply(balancer.Reset, balancer.NoReport) }, onDone: func(d emulator.Completion) {
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

// loadReport returns the load report that goes with an answer.
func (s *simServer) loadReport() balancer.Report {
	l := s.model.LoadReport(s.sim.now)
	r := balancer.NoReport
	r.Utilization, r.ServedRate, r.ErrorRate = l.Utilization, l.ServedRate, l.ErrorRate
	return r
}
