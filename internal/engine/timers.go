package engine

import (
	"container/heap"
	"time"

	"appleledge/internal/balancer"
)

// NextTimer returns the time of the next timer, if there is one.
func (e *Engine) NextTimer() (at time.Duration, ok bool) {
	if len(e.timers) > 0 {
		at, ok = e.timers[0].due, true
	}
	for _, x := range e.timed {
		if x == nil {
			continue
		}
		if due, set := x.nextTimer(); set && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// fireTimers tells the balancer of its timers that are due, and then lets the extensions do what is due.
func (e *Engine) fireTimers() {
	for len(e.timers) > 0 && e.timers[0].due <= e.clock.Now() {
		e.decide(balancer.TimerFired{Token: heap.Pop(&e.timers).(timer).token})
	}
	for _, x := range e.timed {
		if x != nil {
			x.fireTimers()
		}
	}
}

// timer is a timer of the balancer.
type timer struct {
	due   time.Duration
	token uint64
}

// timers is a heap by due time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
