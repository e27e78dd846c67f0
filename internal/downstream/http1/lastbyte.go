package http1

import (
	"context"
	"sync"
	"time"

	"appleledge/internal/connlimit"
)

// lastByteClock tells from when a request's time counts: from its last byte. That byte may lie in sockets for long before it is read, as the
// agent reads a long body only as fast as a server takes it. So the time counts from when the byte certainly was not sent yet: the request
// had not begun, the client was waited for, or more was missing than the sockets hold. It is safe for concurrent use.
type lastByteClock struct {
	ctx    context.Context // of the request
	length int64           // of its body, in bytes; -1 where it is not stated

	mu       sync.Mutex
	unsentAt time.Time
}

// startLastByteClock returns the clock of a request whose head was not sent before a time.
func startLastByteClock(ctx context.Context, length int64, headSentAfter time.Time) *lastByteClock {
	return &lastByteClock{ctx: ctx, length: length, unsentAt: headSentAfter}
}

// noteRead says how many bytes of the body were read so far.
func (l *lastByteClock) noteRead(count int64) {
	if connlimit.MayHaveSent(l.ctx, l.length-count) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsentAt = time.Now()
}

// sentAfter returns the latest time before which the last byte certainly was not sent.
func (l *lastByteClock) sentAfter() time.Time {
	awaited := connlimit.AwaitedUntil(l.ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if awaited.After(l.unsentAt) {
		return awaited
	}
	return l.unsentAt
}
