package connpool

import "sync/atomic"

// ContinueSupport says whether a backend answers Expect: 100-continue by an interim response (RFC 9110, section 10.1.1).
type ContinueSupport int32

// What may be known of a backend.
const (
	ContinueUnknown ContinueSupport = iota
	ContinueUnseen                  // it answered a request whose body followed at once, where it need not send one
	ContinueSent                    // it has sent 100 (Continue)
	ContinueOmitted                 // it sends none, or rejects the expectation
)

// maxUnansweredExpectations is how many requests wait in vain for 100 (Continue) of a backend of which nothing else is known.
const maxUnansweredExpectations = 2

// continueRecord is what was learned of one backend. It is safe for concurrent use.
type continueRecord struct {
	support    atomic.Int32
	unanswered atomic.Int32
}

// ContinueSupport returns what is known of this incarnation of the backend.
func (b *Backend) ContinueSupport() ContinueSupport {
	return ContinueSupport(b.continues.support.Load())
}

// MayConfirm reports whether the backend may be waited for to send 100 (Continue).
func (b *Backend) MayConfirm() bool {
	switch b.ContinueSupport() {
	case ContinueOmitted:
		return false
	case ContinueUnknown:
		return b.continues.unanswered.Load() < maxUnansweredExpectations
	}
	return true
}

// RecordContinue notes that the backend has sent 100 (Continue).
func (b *Backend) RecordContinue() { b.continues.support.Store(int32(ContinueSent)) }

// RecordUnseenContinue notes that the backend has served a request that expected 100 (Continue) without sending one.
func (b *Backend) RecordUnseenContinue() {
	b.continues.support.CompareAndSwap(int32(ContinueUnknown), int32(ContinueUnseen))
}

// RecordOmittedContinue notes that the backend sends no 100 (Continue), or rejects the expectation. One that has sent it
// before may not have read the request yet.
func (b *Backend) RecordOmittedContinue() {
	if s := b.ContinueSupport(); s != ContinueSent {
		b.continues.support.CompareAndSwap(int32(s), int32(ContinueOmitted))
	}
}

// RecordUnansweredExpectation notes that the backend has said nothing in the time for which 100 (Continue) was waited for.
func (b *Backend) RecordUnansweredExpectation() { b.continues.unanswered.Add(1) }
