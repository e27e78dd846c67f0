package coalesce

import (
	"container/heap"
	"time"
)

// NextTimer returns when HandleTimers is to be called next, if at all.
func (t *Table[T]) NextTimer() (at time.Duration, ok bool) {
	if len(t.timers) == 0 {
		return 0, false
	}
	return t.timers[0].wakeAt, true
}

// HandleTimers expires members whose deadline has come, and starts flights of followers for which the others are late.
func (t *Table[T]) HandleTimers(now time.Duration) (c Changes[T]) {
	for len(t.timers) > 0 && t.timers[0].wakeAt <= now {
		m := t.timers[0]
		if now >= m.deadline {
			c.Expired = append(c.Expired, m)
			t.removeMember(now, m, &c)
			continue
		}
		if at := t.ownFlightAt(now, m); at > now {
			t.setTimer(m, min(at, m.deadline))
			continue
		}
		t.counts.LateFlights++
		t.followerQuota.release(m.tenant)
		t.startFlight(now, m)
		c.NewLeaders = append(c.NewLeaders, m)
	}
	return c
}

// setTimer sets when a member is looked at again.
func (t *Table[T]) setTimer(m *Member[T], at time.Duration) {
	m.wakeAt = at
	if m.timerIndex < 0 {
		heap.Push(&t.timers, m)
	} else {
		heap.Fix(&t.timers, m.timerIndex)
	}
}

// timerHeap is members in the order in which something is due for them.
type timerHeap[T any] []*Member[T]

// Len, Less, Swap, Push and Pop are heap.Interface, whose elements are of type any; they keep timerIndex in step.
func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

func (h *timerHeap[T]) Push(x any) {
	m := x.(*Member[T])
	m.timerIndex = len(*h)
	*h = append(*h, m)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h, m.timerIndex = (*h)[:last], -1
	return m
}
