package xds

import (
	"time"
)

// nackBackoff spaces the refusals of a type of resources whose responses keep being wrong: a control plane may answer each refusal at once
// with the same response, which without a pause would be a busy loop on both sides. Acknowledgements are sent at once.
type nackBackoff struct {
	minBackoff, maxBackoff time.Duration

	consecutive   int           // refusals since the last accepted response
	dueAt         time.Duration // when pending may be sent; 0 if there is none
	pending       message       // the latest refusal
	loggedAt      time.Duration // when one was logged last
	unloggedCount int
}

// schedule takes a refusal, which replaces a pending one: it names the latest nonce.
func (b *nackBackoff) schedule(now time.Duration, answer message) {
	if b.dueAt == 0 {
		wait := time.Duration(0)
		if b.consecutive > 0 {
			wait = min(b.minBackoff<<min(b.consecutive-1, 20), b.maxBackoff)
		}
		b.dueAt = max(now+wait, 1)
	}
	b.consecutive++
	b.pending = answer
}

// reset ends the row of refusals: a response was accepted.
func (b *nackBackoff) reset() {
	b.consecutive = 0
	b.dropPending()
}

// dropPending drops the pending refusal: its nonce means nothing on another stream.
func (b *nackBackoff) dropPending() { b.dueAt, b.pending = 0, message{} }

// takeDue returns the refusal whose time has come.
func (b *nackBackoff) takeDue(now time.Duration) (answer message, ok bool) {
	if b.dueAt == 0 || now < b.dueAt {
		return answer, false
	}
	answer, b.dueAt, b.pending = b.pending, 0, message{}
	return answer, true
}

// shouldLog reports whether a refusal is to be logged, and how many were not since the last one that was.
func (b *nackBackoff) shouldLog(now, interval time.Duration) (skipped int, ok bool) {
	if b.loggedAt != 0 && now < b.loggedAt+interval {
		b.unloggedCount++
		return 0, false
	}
	skipped, b.unloggedCount, b.loggedAt = b.unloggedCount, 0, max(now, 1)
	return skipped, true
}
