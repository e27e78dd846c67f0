package connlimit

import (
	"log/slog"
	"time"

	"appleledge/internal/sockstate"
)

// CloseReason says why a connection was closed.
type CloseReason int

// The reasons, as the listener can tell them.
const (
	CloseByClient       CloseReason = iota // the client has ended its side, or the connection broke
	CloseIdle                              // nothing came for the idle limit, between requests
	CloseSilent                            // nothing came for the header timeout, on a new connection
	CloseUnfinished                        // a request had begun and did not come whole in time
	CloseAnswered                          // an answer ended the connection, as it said
	CloseAborted                           // the handler gave its request up
	CloseRoomNew                           // room was needed, and it had brought nothing
	CloseRoomIdle                          // room was needed, and it was between requests
	CloseRoomUnfinished                    // room was needed, and it was in the midst of a request
	CloseDrain                             // the process drains, and it was between requests
	CloseProcessEnd                        // the process ends
	CloseReasonUnknown                     // none of these: the server closed it
	closeReasonCount
)

// CloseReasonNames are the reasons' names in logs and metrics.
var CloseReasonNames = [closeReasonCount]string{CloseByClient: "client", CloseIdle: "idle", CloseSilent: "silent", CloseUnfinished: "unfinished",
	CloseAnswered: "answered", CloseAborted: "aborted", CloseRoomNew: "room_new", CloseRoomIdle: "room_idle", CloseRoomUnfinished: "room_unfinished",
	CloseDrain: "drain", CloseProcessEnd: "process_end", CloseReasonUnknown: "unknown"}

// CloseCounts counts closed connections.
type CloseCounts struct {
	ByReason [closeReasonCount]uint64
	// Unread counts those of all that were closed by this side with bytes that were never read: a request that crossed the close.
	Unread uint64
	// Unanswered counts those that were closed by this side with a request, or a part of one, that was read and not answered.
	Unanswered uint64
}

// CloseCounts returns what was counted since the listener was made.
func (l *Listener) CloseCounts() CloseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closes
}

// noteClose counts a connection that is about to be closed, once, and logs one that still owes an answer or leaves bytes unread. The lock
// is held.
func (c *conn) noteClose(reason CloseReason) {
	if c.isCloseNoted {
		return
	}
	c.isCloseNoted = true
	closes := &c.listener.closes
	closes.ByReason[reason]++
	if reason == CloseByClient {
		return
	}
	state := c.socketState()
	if state == sockstate.PeerClosed {
		return
	}
	isUnread, owesAnswer := state == sockstate.Readable, c.owesAnswer()
	if isUnread {
		closes.Unread++
	}
	if owesAnswer {
		closes.Unanswered++
	}
	if isUnread || owesAnswer {
		c.logClose(reason, isUnread, owesAnswer)
	}
}

// logClose logs a close that a client may miss an answer by.
func (c *conn) logClose(reason CloseReason, isUnread, owesAnswer bool) {
	if !c.listener.Events.Enabled(slog.LevelWarn) {
		return
	}
	attrs := []slog.Attr{slog.String("reason", CloseReasonNames[reason]), slog.String("use", c.use.String()), slog.Bool("unread", isUnread),
		slog.Bool("unanswered", owesAnswer), slog.Int64("use_ms", time.Since(c.useSince).Milliseconds()), slog.String("client", c.RemoteAddr().String())}
	if c.requestID != "" {
		attrs = append(attrs, slog.String("id", c.requestID))
	}
	c.listener.Events.Log(slog.LevelWarn, "client connection closed with a request on it", attrs...)
}

// owesAnswer reports whether bytes of a request were read and no byte of its answer was written. The lock is held.
func (c *conn) owesAnswer() bool {
	return c.use != idle && !c.isAnswered || c.use == idle && c.hasNewBytes
}

// closeReason tells why net/http closes the connection. The lock is held.
func (c *conn) closeReason() CloseReason {
	switch {
	case c.hasPeerEnded:
		return CloseByClient
	case c.isAborted:
		return CloseAborted
	case c.use != idle && c.isAnswered:
		return CloseAnswered
	case c.hasTimedOut && c.use == idle && !c.hasNewBytes && c.hasServed:
		return CloseIdle
	case c.hasTimedOut && c.use == idle && !c.hasNewBytes:
		return CloseSilent
	case c.hasTimedOut:
		return CloseUnfinished
	case c.listener.isDraining && c.use == idle:
		return CloseDrain
	}
	return CloseReasonUnknown
}

// roomReason tells what a connection was doing that is closed to make room. The lock is held.
func (c *conn) roomReason() CloseReason {
	switch {
	case c.use != idle || c.hasNewBytes:
		return CloseRoomUnfinished
	case c.hasServed:
		return CloseRoomIdle
	}
	return CloseRoomNew
}

// socketState says what waits in the connection's socket.
func (c *conn) socketState() sockstate.State { return sockstate.Peek(c.unwrapped()) }

// String is the use's name in logs.
func (u connUse) String() string {
	return [...]string{idle: "idle", readingRequest: "reading_request", inUse: "in_use"}[u]
}
