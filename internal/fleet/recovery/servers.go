package recovery

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How start times are compared.
const (
	// Servers that start within this time of the first one count as started together.
	simultaneousStartWindow = 2 * time.Second
	// A start time on the list that is later than a server's first answer by no more than this is the start that led to the answer.
	sameStartTolerance = time.Second
)

// server is what is known of one server.
type server struct {
	id           string
	hash         uint64 // of id
	cell         int    // the pod that it belongs to
	isReady      bool
	warmCapacity float64       // requests a second when warm; 0: not known
	mayRunSince  time.Duration // since when it may have run without a break; see AllowsRetryIn
	brokenAt     time.Duration // when a connection last broke or couldn't be had; 0: never

	isListed       bool          // named by a confirmed list, or by any list with a start time, since this agent started or since the outage
	listedStart    time.Duration // as the list says; 0: long ago, or not known
	effectiveStart time.Duration // the list's, or else the first answer; 0: not known
	isStartMasked  bool          // the start is hidden from the balancer, which takes the server as warm

	firstAnswerAt  time.Duration // in this recovery; 0: none
	peerReportedAt time.Duration // when another agent reported that it responds; 0: none did
	failedTrials   int           // in a row
	nextTrialAt    time.Duration
	isTrialPending bool

	reportedAt          time.Duration // of the last report; 0: none
	reportedRate        float64       // requests a second
	reportedUtilization float64
}

// server returns the server with an id, which it adds if it isn't known.
func (r *Controller) server(id string) *server {
	s := r.servers[id]
	if s == nil {
		s = &server{id: id, hash: xxhash.Sum64String(id)}
		r.servers[id] = s
		i, _ := r.orderOf(id)
		r.serverOrder = slices.Insert(r.serverOrder, i, s)
	}
	return s
}

// remove forgets a server.
func (r *Controller) remove(id string) {
	delete(r.servers, id)
	if i, known := r.orderOf(id); known {
		r.serverOrder = slices.Delete(r.serverOrder, i, i+1)
	}
}

// orderOf returns the index of a server in serverOrder, or the one at which it is to be inserted.
func (r *Controller) orderOf(id string) (index int, known bool) {
	return slices.BinarySearchFunc(r.serverOrder, id, func(s *server, id string) int { return strings.Compare(s.id, id) })
}

// Server is a server as the endpoint list has it.
type Server struct {
	ID      string
	Cell    int // the pod that it belongs to
	Ready   bool
	Gone    bool          // it is no longer on the list
	Started time.Duration // 0: long ago, or not known
}

// UpdateServer takes over what the agent's endpoint list says of a server. isConfirmed is false for a cached list that nobody has
// confirmed; its start times count only where they aren't 0, as they are known otherwise then. Call ListApplied after the last one.
func (r *Controller) UpdateServer(now time.Duration, l Server, isConfirmed bool) {
	if l.Gone {
		r.remove(l.ID)
		return
	}
	s := r.server(l.ID)
	if s.cell, s.isReady = l.Cell, l.Ready; !isConfirmed && l.Started == 0 {
		return
	}
	s.mayRunSince = max(s.mayRunSince, l.Started)
	hasRestarted := s.isListed && s.listedStart != l.Started ||
		!s.isListed && s.firstAnswerAt != 0 && l.Started > s.firstAnswerAt+sameStartTolerance
	if hasRestarted {
		s.firstAnswerAt, s.reportedAt = 0, 0
	}
	s.isListed, s.listedStart = true, l.Started
	r.updateEffectiveStart(s)
}

// updateEffectiveStart follows a change of what is known of a server's start, and decides whether the balancer is told of it. While the
// fleet is cold as a whole it is told of no start of servers that came back together: here the whole fleet's rate is limited by priority,
// whereas slow start in the balancer would limit server by server and reject by chance. A server that came back later than the others is
// cold beside them, and slow start applies to it.
func (r *Controller) updateEffectiveStart(s *server) {
	start := s.firstAnswerAt
	if s.isListed {
		start = s.listedStart
	}
	previous := s.effectiveStart
	if start == previous {
		return
	}
	if s.effectiveStart = start; start == 0 {
		return
	}
	if r.phase != FullService && (r.fleetStart == 0 || start < r.fleetStart) {
		r.fleetStart = start
	}
	isSameStart := s.isStartMasked && previous != 0 && start < previous+sameStartTolerance
	r.setStartMasked(s, isSameStart || r.phase != FullService && start <= r.fleetStart+simultaneousStartWindow)
}

func (r *Controller) setStartMasked(s *server, isMasked bool) {
	if s.isStartMasked != isMasked || !isMasked {
		s.isStartMasked = isMasked
		r.startChanges = append(r.startChanges, s.id)
	}
}

// EffectiveStart returns the start time that the balancer is to be told of a server, where the endpoint list says listed; 0 is long ago.
func (r *Controller) EffectiveStart(id string, listed time.Duration) time.Duration {
	s := r.servers[id]
	switch {
	case s == nil:
		return listed
	case s.isStartMasked:
		return 0
	}
	return s.effectiveStart
}

// TakeStartChanges returns the servers whose EffectiveStart may have changed since the last call, sorted by id.
func (r *Controller) TakeStartChanges() (ids []string) {
	if len(r.startChanges) == 0 {
		return nil
	}
	slices.Sort(r.startChanges)
	ids, r.startChanges = slices.Compact(r.startChanges), nil
	return ids
}

// coldServerRatio returns the part of the ready servers that have just started, by the agent's own list.
func (r *Controller) coldServerRatio(now time.Duration) float64 {
	cold, all := 0.0, 0.0
	for _, s := range r.serverOrder {
		if s.isReady {
			all++
			if s.isListed && s.listedStart != 0 && now-s.listedStart < r.options.WarmupTime {
				cold++
			}
		}
	}
	return cold / max(all, 1)
}

// hasRestarted reports whether most servers have a start that the last recovery was not for.
func (r *Controller) hasRestarted(now time.Duration) bool {
	restarted, all := 0.0, 0.0
	for _, s := range r.serverOrder {
		if s.isReady {
			all++
			if s.isListed && !s.isStartMasked && s.listedStart > r.recoveredUntil && now-s.listedStart < r.options.WarmupTime {
				restarted++
			}
		}
	}
	return restarted >= coldFleetRatio*all
}

// TakeResponding returns the servers that have answered for the first time in this recovery since the last call, to tell other agents.
func (r *Controller) TakeResponding() (ids []string) {
	ids, r.newlyResponding = r.newlyResponding, nil
	return ids
}

// AllowsRetryIn reports whether a pod may still remember a request that was sent to it at the time since, so that it would recognize a
// retry as one: whether one of its servers may have run without a break from then on. Where all have started, have broken off or have lost
// power since, nobody is left who would drop the retry, and the request could run twice.
func (r *Controller) AllowsRetryIn(cell int, since time.Duration) bool {
	for _, s := range r.serverOrder {
		if s.cell == cell && s.mayRunSince <= since {
			return true
		}
	}
	return false
}
