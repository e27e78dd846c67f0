package scenario

import (
	"container/heap"
	"time"
)

// scheduler holds the tasks to come, ordered by time; tasks of one time keep the order in which they were scheduled.
type scheduler struct {
	now   time.Duration
	queue taskQueue
	seq   uint64
}

// scheduledTask is a function to run at a time.
type scheduledTask struct {
	at  time.Duration
	seq uint64
	run func()
}

// taskQueue is the heap of a scheduler.
type taskQueue []scheduledTask

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *taskQueue) Push(x any) { *q = append(*q, x.(scheduledTask)) }

func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = scheduledTask{}
	*q = (*q)[:last]
	return t
}

// pop removes and returns the first task.
func (a *scheduler) pop() scheduledTask { return heap.Pop(&a.queue).(scheduledTask) }

// schedule runs a function at a time, or at once if that has passed.
func (a *scheduler) schedule(at time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, scheduledTask{max(at, a.now), a.seq, do})
}

// scheduleAfter runs a function after a delay.
func (a *scheduler) scheduleAfter(d time.Duration, do func()) { a.schedule(a.now+d, do) }
