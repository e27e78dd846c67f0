package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// ConnState is for http.Server.ConnState: it is called with each change of a connection's state.
func ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setUse(readingRequest)
	case http.StateIdle:
		c.setUse(idle)
	}
}

type connKey struct{}

// ConnContext is for http.Server.ConnContext. Handlers find the connection of their request in its context, which ends when the client has left.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if ctx, c.cancelRequest = context.WithCancel(ctx); c.isClosing { // it was closed to make room in the meantime
			c.cancelRequest()
		}
	}
	return context.WithValue(ctx, connKey{}, raw)
}

// IsEnded reports whether the connection of a request was ended before the request began. It is not to be served then: no answer can be
// written, and its client sends it once more.
func IsEnded(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.isEnded
}

// Underlying returns the connection of a request as the Listener's own listener has accepted it; nil where there is none.
func Underlying(ctx context.Context) net.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.Conn
	}
	return nil
}

// HasClientLeft reports whether the client of a request has closed its connection by now, and ends the request's context then. It may be called
// from any goroutine, also behind the request.
func HasClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || !c.isPeerGone() {
		return false
	}
	c.cancelRequest()
	return true
}

// AwaitedUntil returns when the server last got bytes of a request, or of the one before, for which it had waited: what it had not read
// then was not sent before. While it waits that is now. It is zero where there was no such wait.
func AwaitedUntil(ctx context.Context) time.Time {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return time.Time{}
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.hasFoundNothing {
		return time.Now()
	}
	return c.awaitedUntil
}

// MayHaveSent reports whether the client of a request may have sent so many bytes more than were read. It can't have where fewer lie in the
// sockets on the way.
func MayHaveSent(ctx context.Context, count int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || count <= int64(sockstate.MaxSendBuffer()) {
		return true
	}
	unread, isKnown := sockstate.CountUnread(c.unwrapped())
	return !isKnown || count <= int64(unread)+int64(sockstate.MaxSendBuffer())
}

// LimitSendBuffer bounds how many bytes of an answer wait in the socket of a request's connection. A write that waits for room goes on when a
// third of the buffer is free, so that with a large one a client that takes little at a time looks like one that takes nothing.
func LimitSendBuffer(ctx context.Context, size int) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if buffered, ok := c.unwrapped().(interface{ SetWriteBuffer(bytes int) error }); ok {
		besteffort.Ignore(buffered.SetWriteBuffer(size)) // the answer is written as well, and may be cut off
	}
}

// Abort notes that the handler gives its request up, so that net/http closes the connection without an answer.
func Abort(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.isAborted = true
	}
}

// NameRequest states the id of a request for log lines about its connection.
func NameRequest(ctx context.Context, id string) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.requestID = id
	}
}

// MarkRequestRead marks a request as read to its end: what comes behind it is another one.
func MarkRequestRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.isRequestWhole = true
	}
}

// MarkReadingBody marks the connection of a valid request as one whose body is read before anything is forwarded.
func MarkReadingBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setUse(readingBody)
	}
}

// MarkInUse marks the connection of a request as in use, until net/http has written the answer.
func MarkInUse(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setUse(inUse)
	}
}
