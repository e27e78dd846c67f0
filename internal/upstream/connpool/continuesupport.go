package connpool

import (
	"sync"
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
// before counts as not known, and another one is not waited for until continueRetryInterval has passed: silence does not tell a
// backend that stalled from one that sends none.
const (
	maxContinueTimeouts   = 2
	continueRetryInterval = 30 * time.Second
)

// continueRecord is what was learned of one backend. It is safe for concurrent use.
type continueRecord struct {
	support       atomic.Int32
	timeouts      atomic.Int32
	answeredWrite atomic.Int64 // the latest time at which a request was written that it has answered, on the clock of the callers
	sendsWithBody atomic.Bool  // it has sent 100 (Continue) where the body followed at once, each time so far

	mu          sync.Mutex
	answered    chan struct{} // closed by the next answer; nil: nobody waits for it
	lastTimeout time.Time     // when 100 (Continue) did not come in time, the last time
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
	if b.continues.timeouts.Load() < maxContinueTimeouts {
		return true
	}
	b.continues.mu.Lock()
	defer b.continues.mu.Unlock()
	return time.Since(b.continues.lastTimeout) >= continueRetryInterval
}

// RecordContinue notes that the backend has sent 100 (Continue).
func (b *Backend) RecordContinue() {
	b.continues.timeouts.Store(0)
	b.continues.support.Store(int32(ContinueSent))
}

// RecordContinueWithBody notes that the backend has sent 100 (Continue) to a request whose body followed at once.
func (b *Backend) RecordContinueWithBody() {
	b.continues.sendsWithBody.Store(true)
	b.RecordContinue()
}

// SendsContinueWithBody reports whether the backend sends 100 (Continue) also where the body follows at once: then one that is
// missing behind a break shows that the request may not have been read.
func (b *Backend) SendsContinueWithBody() bool {
	return b.ContinueSupport() == ContinueSent && b.continues.sendsWithBody.Load()
}

// RecordUnseenContinue notes that the backend has served a request that expected 100 (Continue) without sending one.
func (b *Backend) RecordUnseenContinue() {
	b.continues.sendsWithBody.Store(false)
	b.continues.support.CompareAndSwap(int32(ContinueUnknown), int32(ContinueUnseen))
}

// RecordRejectedExpectation notes that the backend rejects requests that expect 100 (Continue).
func (b *Backend) RecordRejectedExpectation() { b.continues.support.Store(int32(ContinueOmitted)) }

// RecordAnswer notes that the backend has answered a request that was written from that time on.
func (b *Backend) RecordAnswer(written time.Duration) {
	for {
		latest := b.continues.answeredWrite.Load()
		if int64(written) <= latest {
			return
		}
		if b.continues.answeredWrite.CompareAndSwap(latest, int64(written)) {
			break
		}
	}
	b.continues.mu.Lock()
	defer b.continues.mu.Unlock()
	if b.continues.answered != nil {
		close(b.continues.answered)
		b.continues.answered = nil
	}
}

// hasAnswered reports whether the backend has answered a request that was written at that time or later.
func (b *Backend) hasAnswered(written time.Duration) bool {
	latest := b.continues.answeredWrite.Load()
	return latest != 0 && latest >= int64(written)
}

// nextAnswer returns a channel that the next answer closes.
func (b *Backend) nextAnswer() <-chan struct{} {
	b.continues.mu.Lock()
	defer b.continues.mu.Unlock()
	if b.continues.answered == nil {
		b.continues.answered = make(chan struct{})
	}
	return b.continues.answered
}

// AwaitAnswer waits until the backend has answered a request that was written at that time or later, for the wait at most. It
// reports whether it has: then it has read what it was sent before.
func (b *Backend) AwaitAnswer(written, wait time.Duration) bool {
	if wait <= 0 || b.hasAnswered(written) {
		return b.hasAnswered(written)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		next := b.nextAnswer()
		if b.hasAnswered(written) {
			return true
		}
		select {
		case <-next:
		case <-timeout.C:
			return false
		}
	}
}

// RecordContinueTimeout notes that nothing came in the time for which 100 (Continue) was waited for, behind a head that was
// written then. It reports whether the backend is known to send none now: it has answered what was written later.
func (b *Backend) RecordContinueTimeout(headWritten time.Duration) (isOmitted bool) {
	support := b.ContinueSupport()
	hasReadLater := b.continues.answeredWrite.Load() > int64(headWritten)
	b.continues.mu.Lock()
	b.continues.lastTimeout = time.Now()
	b.continues.mu.Unlock()
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
