package balancer

import "time"

// Repeats of what may have run: a pod recognizes a repeat by its idempotency key only if it takes the repeat
// inside the dedup window, and only if it has not forgotten the repeat when it takes the first attempt. A
// server that stalls reads nothing meanwhile, and may take what was sent to it long after.
//
// With the first attempt sent at t0 and its repeat at t1, the effect repeats only if the server of the first
// takes it later than t1-t0 plus the window after its send, or the server of the repeat takes that later than
// the window less t1-t0 after its send. How long a server may take is not stated anywhere, so a sign is asked
// for: the server of the first has answered something that was sent no earlier, and so has read the first.

const (
	// lateAnswerFactor is the multiple of the usual latency from which on an answer tells of a stall.
	lateAnswerFactor = 4
	// minUnanswered is how many attempts in a row have to stay without any answer until the server counts as
	// one that stalls: a single answer may be lost on its way.
	minUnanswered = 2
	// stallMemoryHorizons is for how many horizons a server's longest stall is kept, at least; at most for
	// twice as many.
	stallMemoryHorizons = 16
	// unknownDelay is the delay of a server that has not been seen to end its stall: longer than a window.
	unknownDelay = 24 * time.Hour
)

// stallHistory keeps the longest recent stall of one server, in two periods of which the older one is dropped
// as a whole.
type stallHistory struct {
	answeredAt        time.Duration // the server's latest answer
	answeredSend      time.Duration // the latest send among the attempts that it answered
	unreadSend        time.Duration // the latest send among the attempts whose head it did not read in time
	unanswered        int           // attempts in a row that it left without one
	current, previous time.Duration
	since             time.Duration // when the current period began
}

// record takes a stall of that length.
func (h *stallHistory) record(now, period, length time.Duration) {
	h.rotate(now, period)
	h.current = max(h.current, length)
}

// longest returns the longest recent stall.
func (h *stallHistory) longest(now, period time.Duration) time.Duration {
	h.rotate(now, period)
	return max(h.current, h.previous)
}

// rotate begins a new period if the current one is over.
func (h *stallHistory) rotate(now, period time.Duration) {
	switch age := now - h.since; {
	case age >= 2*period:
		h.current, h.previous, h.since = 0, 0, now
	case age >= period:
		h.current, h.previous, h.since = 0, h.current, now
	}
}

// recordStall learns from the outcome of an attempt how late its server takes requests. A server that could
// not be connected to was cut off, and has not read late.
func (b *Balancer) recordStall(a *attempt, o Outcome) {
	h := &a.server.stalls
	a.server.omitsContinue = o.OmitsContinue
	switch o.Result {
	case OK, Failed, Rejected:
		h.answeredAt, h.unanswered = b.now, 0
		h.answeredSend = max(h.answeredSend, a.sentAt)
		if float64(o.Waited) >= lateAnswerFactor*b.classLatency[a.request.Class] {
			h.record(b.now, stallMemoryHorizons*b.horizon, o.Waited)
		}
	case TimedOut:
		if a.sentAt < h.answeredAt {
			return
		}
		if h.unanswered++; h.unanswered >= minUnanswered {
			h.record(b.now, stallMemoryHorizons*b.horizon, unknownDelay)
		}
	case NotSent:
		if o.Unread {
			h.unreadSend = max(h.unreadSend, a.sentAt)
			b.repeats.unread++
		}
	case ConnectFailed:
		if o.HeadWritten { // the server was not cut off
			return
		}
		*h = stallHistory{answeredAt: b.now, answeredSend: h.answeredSend}
	}
}

// forgetUnread lets an attempt whose head was not read count neither as one of its request nor as a retry: it
// has cost its server nothing, and another one may read.
func (b *Balancer) forgetUnread(r *request, o Outcome) {
	if o.Result == NotSent && o.Unread {
		r.unread++
		b.retries.tokens = min(b.retries.tokens+1, maxRetryBudget)
	}
}

// markOriginalUnread notes that a repeat was not sent as the first attempt may lie unread.
func (r *request) markOriginalUnread(o Outcome) {
	if first := r.firstThatMayHaveRun(); o.Result == NotSent && o.OriginalUnread && first != nil {
		first.isUnread = true
	}
}

// maxTakeDelay is how long after its send a server may take a request, by what was seen of it lately.
func (b *Balancer) maxTakeDelay(s *server) time.Duration {
	return s.stalls.longest(b.now, stallMemoryHorizons*b.horizon)
}

// isRecognizedAt reports whether a repeat sent to the server now, of an attempt that may have run, will be
// recognized: it is taken inside the window, a tick before its end at the latest, since the server may see it
// that much later; and the first attempt is not taken when the repeat is forgotten.
func (b *Balancer) isRecognizedAt(s *server, first *attempt, window time.Duration) bool {
	left := first.sentAt + window - b.settings.Tick - b.now
	if left <= 0 {
		return false
	}
	if left <= b.maxTakeDelay(s) || b.isSilent(s) || b.mayBeTakenLater(first, s, window) || b.isUnconfirmed(s) {
		b.repeats.isWithheld = true
		return false
	}
	return true
}

// mayBeTakenLater reports whether the server of the first attempt may take it when the pod has forgotten a
// repeat that is sent to a server now. Of an attempt whose connection broke, the transport holds the repeat
// until there is a sign that the first one was read, and of one that an external caller ended, that one knows
// more: there only a stall that was seen lately counts, but where repeats are confirmed only. Where there was
// no sign, the repeat goes to the server of the first attempt, once: if that asks for its body, it reads.
func (b *Balancer) mayBeTakenLater(first *attempt, to *server, window time.Duration) bool {
	s := first.server
	switch {
	case s == nil: // an attempt of an earlier request: its server is not known
		return false
	case s.stalls.answeredSend >= first.sentAt:
		return false
	case first.isUnread:
		return to != s || first.request.countAttempts(s) > 1
	case first.isBrokenOff && !b.settings.ConfirmedRepeatsOnly:
		return first.sentAt+b.maxTakeDelay(s) >= b.now+window
	}
	return true
}

// isSilent reports whether the server owes an answer for longer than is usual, or has not read the head of a
// repeat, and has answered nothing that was sent since: it may have stopped reading.
func (b *Balancer) isSilent(s *server) bool {
	unread := s.stalls.unreadSend
	if unread > s.stalls.answeredSend && b.now-unread < stallMemoryHorizons*b.horizon {
		return true
	}
	for _, a := range s.inFlight {
		waited := float64(b.now - a.sentAt)
		if !a.isSendingBody && a.sentAt > s.stalls.answeredSend && waited > b.classLatency[a.request.Class] {
			return true
		}
	}
	return false
}

// isUnconfirmed reports whether repeats are withheld from the server because it does not show that it reads:
// in the first moments of a stall nothing tells it from one that does.
func (b *Balancer) isUnconfirmed(s *server) bool {
	return !b.settings.AllowUnconfirmedRepeats && s.omitsContinue
}

// mayBeConfirmed reports whether the agent writes the request itself, where repeats are confirmed only: it
// can't hold back what an external caller writes.
func (b *Balancer) mayBeConfirmed(r *request) bool {
	isExternal := r.ManualRetry && !r.StreamsBody
	if b.settings.ConfirmedRepeatsOnly && isExternal {
		b.repeats.isWithheld = true
		return false
	}
	return true
}

// repeatGuard counts what is not repeated because a server might not recognize it.
type repeatGuard struct {
	isWithheld      bool   // isRecognizedAt has refused a server only for a stall, since this was cleared
	withheldRetries uint64 // requests that got no further attempt for that
	withheldHedges  uint64 // requests that were not hedged for that
	unread          uint64 // repeats whose head their server did not read in time
}
