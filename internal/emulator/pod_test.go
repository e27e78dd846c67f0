package emulator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A first attempt sent at 0 and its repeat sent at resent, both inside the window, are taken by two servers of a pod after delays of their
// own. Both run if and only if one of them is taken a whole window after the other: below that bound no schedule repeats the effect.
func TestEffectRepeatsOnlyBeyondTheBound(t *testing.T) {
	duration := func(from, to time.Duration) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.Int64Range(int64(from), int64(to)), func(n int64) time.Duration { return time.Duration(n) })
	}
	rapid.Check(t, func(t *rapid.T) {
		window := duration(300*time.Millisecond, 5*time.Second).Draw(t, "window")
		resent := duration(0, window-1).Draw(t, "time from the first send to the repeat's")
		firstDelay := duration(0, 3*window).Draw(t, "delay of the first attempt")
		repeatDelay := duration(0, 3*window).Draw(t, "delay of the repeat")
		isBeyond := firstDelay >= resent+repeatDelay+window || resent+repeatDelay >= firstDelay+window
		if firstDelay < resent+window && repeatDelay < window-resent && isBeyond {
			t.Fatal("the bound that the agent goes by is below this one")
		}
		ledger := NewLedger()
		pod := NewPod(0, window, ledger)
		first, repeat := func() { pod.claim(firstDelay, Request{IdempotencyKey: "k"}, "a") },
			func() { pod.claim(resent+repeatDelay, Request{IdempotencyKey: "k"}, "b") }
		if firstDelay <= resent+repeatDelay {
			first()
			repeat()
		} else {
			repeat()
			first()
		}
		if ran := len(ledger.Effects()); (ran == 2) != isBeyond {
			t.Fatalf("it ran %d times", ran)
		}
	})
}
