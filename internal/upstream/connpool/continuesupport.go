package connpool

import (
	"sync/atomic"
	"time"
)

// ContinueSupport says whether a backend answers Expect: 100-continue by an interim response (RFC 9110, section 10.1.1).
type ContinueSupport int32

// What may be known of a backend.
const (
	ContinueUnknown ContinueSupport = iota
	ContinueUnseen                  // it answered a request whose body followed at once, where it need not send one
	ContinueSent                    // it has sent 100 (Continue)
	ContinueOmitted                 // it sends none, or rejects the expectation
)

// maxContinueTimeouts is after how many requests in a row that 100 (Continue) did not come for in time a backend that has sent it
// before counts as not known, and another one is not waited for any more.
const maxContinueTimeouts = 2

// continueRecord is what was learned of one backend. It is safe for concurrent use.
type continueRecord struct {
	support       atomic.Int32
	timeouts      atomic.Int32
	answeredWrite atomic.Int64 // the latest time at which a request was written that it has answered, on the clock of the callers
}

// ContinueSupport returns what is known of this incarnation of the backend.
func (b *Backend) ContinueSupport() ContinueSupport {
	return ContinueSupport(b.continues.support.Load())
}

// MaySendContinue reports whether the backend may be waited for to send 100 (Continue).
func (b *Backend) MaySendContinue() bool {
	switch b.ContinueSupport() {
	case ContinueOmitted:
		return false
	case ContinueSent:
		return true
	}
	return b.continues.timeouts.Load() < maxContinueTimeouts
}

// RecordContinue notes that the backend has sent 100 (Continue).
func (b *Backend) RecordContinue() {
	b.continues.timeouts.Store(0)
	b.continues.support.Store(int32(ContinueSent))
}

// RecordUnseenContinue notes that the backend has served a request that expected 100 (Continue) without sending one.
func (b *Backend) RecordUnseenContinue() {
	b.continues.support.CompareAndSwap(int32(ContinueUnknown), int32(ContinueUnseen))
}

// RecordRejectedExpectation notes that the backend rejects requests that expect 100 (Continue).
func (b *Backend) RecordRejectedExpectation() { b.continues.support.Store(int32(ContinueOmitted)) }

// RecordAnswer notes that the backend has answered a request that was written from that time on.
func (b *Backend) RecordAnswer(written time.Duration) {
	for {
		latest := b.continues.answeredWrite.Load()
		if int64(written) <= latest || b.continues.answeredWrite.CompareAndSwap(latest, int64(written)) {
			return
		}
	}
}

// RecordContinueTimeout notes that nothing came in the time for which 100 (Continue) was waited for, behind a head that was
// written then. It reports whether the backend is known to send none now: it has answered what was written later.
func (b *Backend) RecordContinueTimeout(headWritten time.Duration) (isOmitted bool) {
	support := b.ContinueSupport()
	hasReadLater := b.continues.answeredWrite.Load() > int64(headWritten)
	isLast := b.continues.timeouts.Add(1) >= maxContinueTimeouts
	switch {
	case support == ContinueSent && (hasReadLater || isLast):
		b.continues.timeouts.Store(0)
		b.continues.support.CompareAndSwap(int32(support), int32(ContinueUnknown))
	case support != ContinueSent && hasReadLater:
		b.continues.support.CompareAndSwap(int32(support), int32(ContinueOmitted))
	}
	return b.ContinueSupport() == ContinueOmitted
}
