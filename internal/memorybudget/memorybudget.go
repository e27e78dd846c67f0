// Package memorybudget bounds the memory of the messages that clients have begun. There is one budget in a process: whoever keeps a part
// of a message for longer than a few kilobytes takes its memory from it first, and waits, or keeps less, where there is none.
package memorybudget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

const (
	// fixedMemory is what the process takes in bytes before any client comes, with the stacks and buffers of its connections.
	fixedMemory = 20 << 20

	// budgetDivisor: a quarter of the rest is for messages. As much again may wait to be collected, and the requests and answers of
	// which the engine and the transport hold copies need the other half.
	budgetDivisor = 4

	// requestMemory is what an open request takes in bytes besides its body: the buffers and stacks of two connections and a part of an
	// answer.
	requestMemory = 40 << 10

	// minRequests may be open under any limit.
	minRequests = 64

	// connectionMemory is what a client's connection takes in bytes: its buffers, its stacks and the head that it brings.
	connectionMemory = 40 << 10

	// minConnections may be open under any limit.
	minConnections = 64
)

// ErrTooManyWaiting reports that as many wait for memory already as the whole budget has room for: one more would wait too long.
var ErrTooManyWaiting = errors.New("too many wait for memory")

// MaxConnections returns how many connections clients may have under a limit on the memory of the process in bytes.
func MaxConnections(limit int64) int {
	return int(max(minConnections, (limit-fixedMemory)/connectionMemory))
}

// MaxRequests returns how many requests may be open at a time under a limit on the memory of the process in bytes.
func MaxRequests(limit int64) int { return int(max(minRequests, (limit-fixedMemory)/requestMemory)) }

// SizeFor returns the size of the budget in bytes under a limit on the memory of the process in bytes.
func SizeFor(limit int64) int64 { return max(0, limit-fixedMemory) / budgetDivisor }

// Budget is an amount of memory in bytes that is taken and given back. It is safe for concurrent use. Nothing is limited where it is nil.
type Budget struct {
	free *semaphore.Weighted
	size int64

	inUse   atomic.Int64 // bytes that were taken
	waiting atomic.Int64 // calls of Acquire that wait

	mu       sync.Mutex
	withheld int64 // bytes that are left to another process of the agent
	unit     int64 // bytes that are withheld at a time
}

// New returns a budget of a size. unit is the most that one message takes: the budget has room for one at least, and a part that is left to
// another process is counted in such units.
func New(size, unit int64) *Budget {
	size = max(size, unit)
	return &Budget{free: semaphore.NewWeighted(size), size: size, unit: unit}
}

// Acquire takes memory, and waits for it until the context ends. The error is the context's, or ErrTooManyWaiting.
func (b *Budget) Acquire(ctx context.Context, count int64) error {
	if b.TryAcquire(count) {
		return nil
	}
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > max(1, b.size/b.unit) {
		return ErrTooManyWaiting
	}
	if err := b.free.Acquire(ctx, count); err != nil {
		return err
	}
	b.inUse.Add(count)
	return nil
}

// TryAcquire takes memory, if there is enough now.
func (b *Budget) TryAcquire(count int64) bool {
	if b == nil {
		return true
	}
	isFree := b.free.TryAcquire(count)
	if isFree {
		b.inUse.Add(count)
	}
	return isFree
}

// InUse returns how many bytes are taken.
func (b *Budget) InUse() int64 {
	if b == nil {
		return 0
	}
	return b.inUse.Load()
}

// Release gives memory back.
func (b *Budget) Release(count int64) {
	if b != nil {
		b.inUse.Add(-count)
		b.free.Release(count)
	}
}

// SetRatio limits the budget to a part of it, from 0 to 1. Memory in use stays in use: the limit comes into force as far as the budget is
// free.
func (b *Budget) SetRatio(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	want := int64((1 - part) * float64(b.size))
	if want < b.withheld {
		b.free.Release(b.withheld - want)
		b.withheld = want
	}
	for ; b.withheld+b.unit <= want && b.free.TryAcquire(b.unit); b.withheld += b.unit {
	}
}
