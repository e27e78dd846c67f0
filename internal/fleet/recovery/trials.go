package recovery

import (
	"slices"
	"time"

	"appleledge/internal/admission"
)

// When a server is tried again that hasn't answered.
const (
	minTrialBackoff = 250 * time.Millisecond // doubled by each failed trial
	maxTrialBackoff = 2 * time.Second
	maxDoublings    = 8 // of minTrialBackoff, so that the shift doesn't overflow
	// An agent waits so many times longer if another one has the turn to try the server.
	otherAgentsBackoffFactor = 4
)

// minLiveAgents is how many agents have to be alive, as far as is known, for that knowledge to count. With fewer it is likelier that gossip
// is cut off than that all other agents are down.
const minLiveAgents = 2

// PeerReportsResponding is called when another agent reports that a server answers. That only says which server to try next: it is no proof
// that the server answers this agent.
func (r *Controller) PeerReportsResponding(now time.Duration, id string) {
	if s := r.servers[id]; s != nil && s.firstAnswerAt == 0 && s.peerReportedAt < r.startedAt {
		s.peerReportedAt, s.nextTrialAt = now, min(s.nextTrialAt, now+time.Duration(r.rng.Int64N(int64(minTrialBackoff))))
	}
}

// SetLiveAgents is called with which agents are alive, by number, as far as is known. The Controller keeps the slice.
func (r *Controller) SetLiveAgents(isAlive []bool) { r.isAgentAlive = isAlive }

// mayRisk reports whether a request may be sent to servers that are not known to answer. Until a trial has failed any may. After that only
// an idempotent one may: any other would be lost at a server that hangs.
func (r *Controller) mayRisk(a admission.Request) bool {
	hasFailed := r.counts.FailedTrials > r.failedTrialsBefore
	return !hasFailed || r.options.Classes[a.Class].Idempotent || !r.hasIdempotentClass()
}

// chooseTrial returns the server that a request may try. Servers of which no trial has failed are tried within the admission rate.
func (r *Controller) chooseTrial(now time.Duration, a admission.Request) (id string, ok bool) {
	if !r.mayRisk(a) {
		return "", false
	}
	best := r.nextToTry(now)
	if best == nil || best.failedTrials == 0 && !r.takeToken(now, a) {
		return "", false
	}
	best.isTrialPending = true
	backoff := min(maxTrialBackoff, minTrialBackoff<<min(best.failedTrials, maxDoublings))
	if !r.hasTurn(best) {
		backoff *= otherAgentsBackoffFactor
	}
	best.nextTrialAt = now + backoff/2 + time.Duration(r.rng.Int64N(int64(backoff)))
	r.counts.Trials++
	return best.id, true
}

// nextToTry returns the server with the fewest failed trials whose time has come, and of several the one for which this agent's rendezvous
// weight is the highest; nil if there is none.
func (r *Controller) nextToTry(now time.Duration) (best *server) {
	for _, s := range r.serverOrder {
		if !s.isReady || now < s.nextTrialAt {
			continue
		}
		if s.isTrialPending { // the last trial had no result: the server hangs, or the request wasn't sent there
			s.isTrialPending = false
			r.countFailedTrial(s)
		}
		if best == nil || s.failedTrials < best.failedTrials ||
			s.failedTrials == best.failedTrials && rendezvousWeight(s, r.options.Self) > rendezvousWeight(best, r.options.Self) {
			best = s
		}
	}
	return best
}

func (r *Controller) countFailedTrial(s *server) {
	s.failedTrials++
	r.counts.FailedTrials++
}

func (r *Controller) hasIdempotentClass() bool {
	return slices.ContainsFunc(r.options.Classes, func(c Class) bool { return c.Idempotent })
}

// hasTurn reports whether a server's trials fall to this agent: by rendezvous hashing over the agents that are alive (D. Thaler and
// C. Ravishankar, 1998), so that the agents needn't agree on it.
func (r *Controller) hasTurn(s *server) bool {
	own := rendezvousWeight(s, r.options.Self)
	for i := range r.options.Agents {
		if i != r.options.Self && r.mayTakeTurns(i) && rendezvousWeight(s, i) > own {
			return false
		}
	}
	return true
}

// mayTakeTurns reports whether an agent may be alive.
func (r *Controller) mayTakeTurns(agent int) bool {
	alive := 0
	for _, is := range r.isAgentAlive {
		if is {
			alive++
		}
	}
	return alive < minLiveAgents || agent < len(r.isAgentAlive) && r.isAgentAlive[agent]
}

func rendezvousWeight(s *server, agent int) uint64 {
	x := s.hash ^ uint64(agent+1)*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}
