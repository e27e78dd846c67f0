package connpool

import (
	"testing"
	"time"
)

// Two waits in vain, in stalls, don't keep a backend from repeats for the rest of its life: it is asked again after a while, each time once. One that
// is known to send no 100 (Continue) is not.
func TestBackendThatLeftHeadsUnansweredIsAskedAgain(t *testing.T) {
	b := &Backend{}
	b.RecordUnseenContinue()
	for i := range 3 {
		for b.MaySendContinue() && i == 0 {
			b.RecordContinueTimeout(time.Second)
		}
		if b.RecordContinueTimeout(time.Second); b.MaySendContinue() {
			t.Fatalf("round %d: waited for again at once", i)
		}
		b.continues.lastTimeout = time.Now().Add(-continueRetryInterval)
		if !b.MaySendContinue() {
			t.Errorf("round %d: not asked again", i)
		}
	}
	b.RecordRejectedExpectation()
	if b.MaySendContinue() {
		t.Error("asked again though it rejects the expectation")
	}
}
