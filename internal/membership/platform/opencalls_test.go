package platform

import (
	"testing"
	"time"
)

// beginAll begins calls one after another, giving up the surplus, and returns those that are open.
func beginAll(o *openCalls, count int, interval time.Duration, isFullList bool) {
	start := time.Now()
	since := int64(40)
	if isFullList {
		since = -1
	}
	for i := range count {
		if c := o.surplus(isFullList); c != nil {
			o.remove(c)
		}
		o.calls = append(o.calls, &call{callRecord: callRecord{number: uint64(i), since: since, begun: start.Add(time.Duration(i) * interval)}})
	}
}

// Discovery is silent for so long that not all calls of that time may stay open. Those that do are spread over the whole time, the first one
// and the last two among them, so that one of them is never far from the head of discovery's queue.
func TestOpenCallsAreSpreadOverALongSilence(t *testing.T) {
	for limit, maxGap := range map[int]int{64: 2, 32: 4, 16: 8} { // in calls, of 92: twice what even gaps would be, rounded
		o := newOpenCalls(limit)
		beginAll(&o, 92, minRetryBackoff, false)
		if len(o.calls) != limit || o.calls[0].number != 0 || o.calls[limit-1].number != 91 || o.calls[limit-2].number != 90 {
			t.Errorf("of 92 calls %d are open, from %d to %d and %d", len(o.calls), o.calls[0].number, o.calls[limit-2].number, o.calls[limit-1].number)
		}
		for i := range len(o.calls) - 1 {
			if skipped := o.calls[i+1].number - o.calls[i].number; int(skipped) > maxGap {
				t.Errorf("limit %d: call %d is open, and then %d, more than %d later", limit, o.calls[i].number, o.calls[i+1].number, maxGap)
			}
		}
	}
}

// Answers with the whole list are long, so few such calls are open; they leave calls for changes alone.
func TestFewCallsForTheWholeListAreOpen(t *testing.T) {
	o := newOpenCalls(64)
	beginAll(&o, 20, minRetryBackoff, false)
	beginAll(&o, 40, minRetryBackoff, true)
	if len(o.calls) != 20+maxOpenFullLists {
		t.Errorf("%d calls are open", len(o.calls))
	}
}

// A call that a later one has overtaken will hardly be answered: it is the first to be given up for others, and is given up by itself after a time.
func TestOvertakenCallsAreGivenUpFirst(t *testing.T) {
	o := newOpenCalls(4)
	beginAll(&o, 4, time.Second, false)
	session, now := newSession("a"), time.Now()
	for _, c := range o.calls {
		c.session = session
	}
	answered := o.calls[2]
	o.remove(answered)
	o.noteAnswer(answered, now)
	if !o.hasLater(answered) || o.hasLater(o.calls[2]) {
		t.Error("the call behind the answered one is not known to be due")
	}
	if n := len(o.expired(now.Add(defaultOvertakenTimeout))); n != 0 {
		t.Errorf("%d calls are given up early", n)
	}
	if n := len(o.expired(now.Add(defaultOvertakenTimeout + 1))); n != 2 {
		t.Errorf("%d calls are given up at their time, not 2", n)
	}
	if c := leastUseful(o.calls); c.number != 0 {
		t.Errorf("call %d would be given up", c.number)
	}
}
