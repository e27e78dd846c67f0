package http1

import (
	"context"
	"time"

	"appleledge/internal/besteffort"
)

// finalAnswerMargin is the time for writing the last answers before the process ends, which may be held up for 0.15 s meanwhile.
const finalAnswerMargin = 200 * time.Millisecond

// handoverKeepTime is how long idle connections are kept once another process serves. A request that crosses their close is
// lost, so each ends with its next answer; a later request might not be answered before the process is killed.
const handoverKeepTime = 600 * time.Millisecond

// closingPeriod is how long answers close their connections before idle connections are closed, as a close may cross a request.
const closingPeriod = 300 * time.Millisecond

// drainPoll is the time between two checks of a condition during a drain.
const drainPoll = 10 * time.Millisecond

// drain ends the server in the order in which clients stop sending. They stop to connect first, and go on using open
// connections while no other process answers for this agent: so connections stay open, and requests are accepted, for wait,
// as long as an answer may be in time. Where another process serves, new connections go there, and an idle one may bring one
// more request. drain reports whether no client is connected any more.
func (s *Server) drain(ctx context.Context, wait time.Duration) bool {
	s.draining.Store(true)
	hasSuccessor := s.OnDrain != nil && s.OnDrain()
	s.Log.Info("draining", "succeeded", hasSuccessor) // by another process of the agent
	if hasSuccessor {
		wait = handoverKeepTime
		s.closing.Store(true)
	}
	s.lameDuck(ctx, wait)
	s.closing.Store(true)
	s.clients.Drain()  // net/http's Shutdown would close an idle connection also while a request arrives on it
	if !hasSuccessor { // to whom the accept queue belongs otherwise
		s.emptyAcceptQueue(ctx)
	}
	besteffort.Close(s.clients)
	select {
	case <-s.acceptEnded: // so that each accepted connection is among those that are open
	case <-ctx.Done():
	}
	return s.waitUntil(ctx, func() bool { return s.clients.OpenCount() == 0 })
}

// emptyAcceptQueue waits until no connection waits to be accepted, or the last answers are due: the system resets those that wait when the
// listener closes, with the requests that were sent on them.
func (s *Server) emptyAcceptQueue(ctx context.Context) {
	until := time.Duration(s.drainDeadline.Load())
	s.waitUntil(ctx, func() bool { return !s.clients.HasPending() || s.Clock.Now() >= until })
}

// lameDuck goes on accepting requests: for DrainAcceptDuration in any case, and up to wait while clients are connected. In the
// last part of it answers close their connections.
func (s *Server) lameDuck(ctx context.Context, wait time.Duration) {
	began := s.Clock.Now()
	s.waitUntil(ctx, func() bool {
		gone := s.Clock.Now() - began
		s.closing.Store(s.closing.Load() || gone >= wait-closingPeriod)
		return gone >= wait || gone >= s.DrainAcceptDuration && s.clients.OpenCount() == 0
	})
}

// waitUntil polls until the condition holds, and reports whether that came before the context's end.
func (s *Server) waitUntil(ctx context.Context, holds func() bool) bool {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !holds() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
