package emulator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// readStall is a time in which a server reads nothing. What comes meanwhile it takes at the end.
type readStall struct{ begin, end time.Duration }

// takes returns when the server takes what comes at that time.
func (s readStall) takes(arrival time.Duration) time.Duration {
	if arrival >= s.begin && arrival < s.end {
		return s.end
	}
	return arrival
}

// repeatSchedule is a first attempt, written at 0, and its repeat by key at another server of the pod.
type repeatSchedule struct {
	window        time.Duration
	firstTransit  time.Duration
	headWritten   time.Duration // of the repeat
	headTransit   time.Duration
	sendsContinue bool          // the repeat's server
	continueDelay time.Duration // from when it has read the head to when the agent has 100 (Continue)
	bodyTransit   time.Duration
	firstStall    readStall // of the first attempt's server
	repeatStall   readStall // of the repeat's
}

// repeatTimes is when things happen in a schedule.
type repeatTimes struct {
	firstTaken, headRead, bodyWritten, repeatTaken time.Duration
	isBodyWritten                                  bool
}

// times applies the agent's rule: the body follows the head when 100 (Continue) has come, at once where the server sends none, and in
// either case only while the first send is less than a window ago.
func (r repeatSchedule) times() repeatTimes {
	out := repeatTimes{firstTaken: r.firstStall.takes(r.firstTransit), bodyWritten: r.headWritten}
	if r.sendsContinue {
		out.headRead = r.repeatStall.takes(r.headWritten + r.headTransit)
		out.bodyWritten = out.headRead + r.continueDelay
	}
	out.isBodyWritten = out.bodyWritten < r.window
	out.repeatTaken = r.repeatStall.takes(out.bodyWritten + r.bodyTransit)
	return out
}

// effects returns how often the schedule's effect runs in a pod.
func (r repeatSchedule) effects() int {
	ledger, at := NewLedger(), r.times()
	pod := NewPod(0, r.window, ledger)
	first, repeat := func() { pod.claim(at.firstTaken, Request{IdempotencyKey: "k"}, "a") }, func() { pod.claim(at.repeatTaken, Request{IdempotencyKey: "k"}, "b") }
	switch {
	case !at.isBodyWritten:
		first()
	case at.firstTaken <= at.repeatTaken:
		first()
		repeat()
	default:
		repeat()
		first()
	}
	return len(ledger.Effects())
}

// isFirstTakenTooLate is the first side of the bound: the pod has forgotten the repeat when the first attempt is taken.
func (r repeatSchedule) isFirstTakenTooLate() bool {
	at := r.times()
	return at.isBodyWritten && at.firstTaken >= at.repeatTaken+r.window
}

// isBodyTakenTooLate is the other side: from its write on, the body's server takes longer than was left of the window then.
func (r repeatSchedule) isBodyTakenTooLate() bool {
	at := r.times()
	return at.isBodyWritten && at.repeatTaken-at.bodyWritten >= r.window-at.bodyWritten
}

func drawSpan(t *rapid.T, label string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, label))
}

func drawReadStall(t *rapid.T, label string, window time.Duration) readStall {
	begin := drawSpan(t, label+" begins", 0, 2*window)
	return readStall{begin, begin + drawSpan(t, label+" lasts", 0, 3*window)}
}

// drawSchedule draws a schedule in which no server stalls.
func drawSchedule(t *rapid.T) repeatSchedule {
	window := drawSpan(t, "window", 300*time.Millisecond, 5*time.Second)
	transit := func(label string) time.Duration { return drawSpan(t, label, 0, window/10) }
	return repeatSchedule{window: window, firstTransit: transit("transit of the first"), headWritten: drawSpan(t, "head is written", 0, window-1),
		headTransit: transit("transit of the head"), sendsContinue: rapid.Bool().Draw(t, "sends 100"), continueDelay: 1 + transit("delay of 100"),
		bodyTransit: transit("transit of the body")}
}

// A refund may have run, and is repeated at a server that sends 100 (Continue) or at one that doesn't; both servers may stop reading at
// any time for any time. It runs twice only beyond the bound, on one of its sides. Where the body waited for 100, the second side takes
// a stall that began behind the head's reading: a server that does not read when the repeat comes never gets the body.
func TestNoScheduleBelowTheBoundRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawSchedule(t)
		r.firstStall, r.repeatStall = drawReadStall(t, "stall of the first's server", r.window), drawReadStall(t, "stall of the repeat's server", r.window)
		at, ran := r.times(), r.effects()
		if ran > 1 && !r.isFirstTakenTooLate() && !r.isBodyTakenTooLate() {
			t.Fatalf("it ran %d times below the bound: %+v", ran, at)
		}
		if isBeyond := at.isBodyWritten && (at.firstTaken-at.repeatTaken).Abs() >= r.window; isBeyond != (ran > 1) {
			t.Fatalf("it ran %d times: %+v", ran, at)
		}
		isStallToBlame := r.sendsContinue && at.bodyWritten+r.bodyTransit < r.window && r.isBodyTakenTooLate()
		if isStallToBlame && r.repeatStall.begin <= at.headRead {
			t.Fatalf("a body went to a server that did not read: %+v", at)
		}
	})
}

// Both sides of the bound can be reached, and by nothing less: a stall of either server that ends where the bound is makes the effect
// repeat, and one that ends a nanosecond before does not. The repeat's server stops reading just behind the head where it sends 100,
// and at any time before where it sends none.
func TestBothSidesOfTheBoundAreReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawSchedule(t)
		r.headWritten %= r.window / 2 // so that 100 comes inside the window
		before := r.times()
		late := r
		late.firstStall = readStall{0, before.repeatTaken + r.window}
		if ran := late.effects(); ran != 2 || !late.isFirstTakenTooLate() || late.isBodyTakenTooLate() {
			t.Fatalf("first attempt taken at the bound: %d runs", ran)
		}
		late.firstStall.end--
		if ran := late.effects(); ran != 1 || late.isFirstTakenTooLate() {
			t.Fatalf("first attempt taken before the bound: %d runs", ran)
		}
		late = r
		late.repeatStall = readStall{before.headRead + 1, before.firstTaken + r.window}
		if !r.sendsContinue {
			late.repeatStall.begin = 0
		}
		if ran := late.effects(); ran != 2 || !late.isBodyTakenTooLate() || late.isFirstTakenTooLate() {
			t.Fatalf("body taken at the bound: %d runs", ran)
		}
		late.repeatStall.end--
		if ran := late.effects(); ran != 1 {
			t.Fatalf("body taken just before it: %d runs", ran)
		}
		late.repeatStall.end = r.window - 1
		if ran := late.effects(); ran != 1 || late.isBodyTakenTooLate() {
			t.Fatalf("body taken before the bound: %d runs", ran)
		}
	})
}
