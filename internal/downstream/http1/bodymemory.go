package http1

import (
	"context"
	"errors"
	"net/http"
	"time"

	"appleledge/internal/downstream/requesthead"
)

const (
	// freeBody is the longest body, in bytes, that needs no memory of the budget: usual requests don't wait for it.
	freeBody = 4 << 10

	// largePrefix is how many bytes of a large body are read before its attempt is made. Each attempt can send them.
	largePrefix = 8 << 10

	// copyBuffer is how many bytes net/http's writer takes at a time of a body that it forwards.
	copyBuffer = 32 << 10

	// smallBodyCopies: a body that is read whole is copied once when it is written behind its head.
	smallBodyCopies = 2

	// MaxBodyMemory is the most, in bytes, that the body of one request takes of the budget: where no length is stated it may turn out to
	// be a small one that is kept whole, or a large one.
	MaxBodyMemory = smallBodyCopies * (requesthead.MaxBody + 1)
)

// maxLongRatio is the part of the clients' connections that may have a request which takes long: its body has more than freeBody bytes, or its
// answer goes in parts. The others are left to usual requests, whatever a crowd sends.
const maxLongRatio = 0.5

// Why there is no room for a body. Nothing of its request was forwarded.
var (
	errFull     = errors.New("no room for another body")         // in the budget
	errLongFull = errors.New("no room for another long request") // among the connections
)

// bodyMemory returns how much of the budget a body of a length takes, in bytes.
func bodyMemory(length int64) int64 {
	switch {
	case length < 0:
		return MaxBodyMemory
	case length <= freeBody:
		return 0
	case length <= requesthead.MaxBody:
		return smallBodyCopies * length
	}
	return largePrefix + copyBuffer
}

// bodyReservation is what a request takes that is not a usual one: memory for its body, and a place among the long requests. It belongs to the
// goroutine of the request.
type bodyReservation struct {
	server *Server
	r      *http.Request
	held   int64 // bytes of the budget
	isLong bool  // it has a place among the long requests
}

// acquirePlace takes a place among the long requests, unless the request has one. The error is errLongFull.
func (m *bodyReservation) acquirePlace() error {
	if m.isLong {
		return nil
	}
	if m.server.longRequests.Add(1) > int64(maxLongRatio*float64(m.server.clients.Limit())) {
		m.server.longRequests.Add(-1)
		return errLongFull
	}
	m.isLong = true
	return nil
}

// takePlace takes a place among the long requests, whether there is one or not: the request's answer has begun.
func (m *bodyReservation) takePlace() {
	if !m.isLong {
		m.server.longRequests.Add(1)
		m.isLong = true
	}
}

// acquire takes a place among the long requests, and the memory, for which it waits until then: the body's last byte may have been sent
// already. The error is errLongFull or errFull.
func (m *bodyReservation) acquire(until time.Time) error {
	count := bodyMemory(m.r.ContentLength)
	if count == 0 || m.held > 0 {
		return nil
	}
	if err := m.acquirePlace(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(m.r.Context(), until)
	defer cancel()
	if m.server.Memory.Acquire(ctx, count) != nil {
		return errFull
	}
	m.held = count
	return nil
}

// release gives all back.
func (m *bodyReservation) release() {
	if m.isLong {
		m.server.longRequests.Add(-1)
		m.isLong = false
	}
	if m.held > 0 {
		m.server.Memory.Release(m.held)
		m.held = 0
	}
}
