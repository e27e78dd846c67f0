package http1

import (
	"sync"

	"appleledge/internal/engine"
)

// caller receives the one answer of a call, so that the engine never waits for a client. An answer that comes after the
// client has left is discarded.
type caller struct {
	answer chan engine.Answer
	mu     sync.Mutex
	left   bool
}

func newCaller() *caller { return &caller{answer: make(chan engine.Answer, 1)} }

// Answer implements engine.Responder. It does not block.
func (c *caller) Answer(a engine.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		discard(a)
		return
	}
	c.answer <- a
}

// leave discards the answer, if there is one, and each that is still to come.
func (c *caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	select {
	case a := <-c.answer:
		discard(a)
	default:
	}
}

// discard releases what an answer holds.
func discard(a engine.Answer) {
	if d, ok := a.Payload.(engine.Discarder); ok {
		d.Discard()
	}
}
