package connlimit

import (
	"bytes"
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
	CloseWriteFailed                       // an answer could not be written, or only a part of it
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
	CloseAnswered: "answered", CloseWriteFailed: "write_failed", CloseAborted: "aborted", CloseRoomNew: "room_new", CloseRoomIdle: "room_idle", CloseRoomUnfinished: "room_unfinished",
	CloseDrain: "drain", CloseProcessEnd: "process_end", CloseReasonUnknown: "unknown"}

// CloseCounts counts closed connections.
type CloseCounts struct {
	ByReason [closeReasonCount]uint64
	// Refused counts those that were ended by a refusal, and RefusedRequests those of them behind which a request lay unread when the
	// descriptor was closed: one that crossed the end, and that the refusal answers.
	Refused, RefusedRequests uint64
	// Unread counts those that were closed by this side without a refusal, with bytes that were never read.
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

// closeRecord says how a connection was closed.
type closeRecord struct {
	reason     CloseReason
	isRefused  bool // its refusal was written
	isUnread   bool // bytes lay in its socket that were never read
	owesAnswer bool // a request, or a part of one, was read and not answered
	use        connUse
	useSince   time.Time
	requestID  string
}

// recordClose says how a connection is closed whose descriptor is about to be closed: what came behind the decision to close it is a part of
// that. The lock is not held.
func (c *conn) recordClose() closeRecord {
	c.listener.mu.Lock()
	c.end(c.reasonOfServer())
	r := closeRecord{reason: c.closeReason, isRefused: c.isRefused, owesAnswer: c.owesAnswer() && !c.isRefused, use: c.use, useSince: c.useSince, requestID: c.requestID}
	c.listener.mu.Unlock()
	if r.reason == CloseByClient {
		return closeRecord{reason: CloseByClient}
	}
	switch c.socketState() {
	case sockstate.PeerClosed:
		return closeRecord{reason: r.reason, isRefused: r.isRefused}
	case sockstate.Readable:
		r.isUnread = true
		if r.use == idle {
			r.requestID = c.unreadRequestID()
		}
	case sockstate.Idle, sockstate.Unknown:
	}
	return r
}

// noteClose counts a connection that was closed. The lock is held.
func (l *Listener) noteClose(r closeRecord) {
	l.closes.ByReason[r.reason]++
	if r.isRefused {
		l.closes.Refused++
	}
	switch {
	case r.isUnread && r.isRefused:
		l.closes.RefusedRequests++
	case r.isUnread:
		l.closes.Unread++
	}
	if r.owesAnswer {
		l.closes.Unanswered++
	}
}

// logClose logs a close that a client may miss an answer by. The lock is not held.
func (c *conn) logClose(r closeRecord) {
	if !r.isUnread && !r.owesAnswer || !c.listener.Events.Enabled(slog.LevelWarn) {
		return
	}
	attrs := []slog.Attr{slog.String("reason", CloseReasonNames[r.reason]), slog.String("use", r.use.String()), slog.Bool("unread", r.isUnread), slog.Bool("refused", r.isRefused),
		slog.Bool("unanswered", r.owesAnswer), slog.Int64("use_ms", time.Since(r.useSince).Milliseconds()), slog.String("client", c.RemoteAddr().String())}
	if r.requestID != "" {
		attrs = append(attrs, slog.String("id", r.requestID))
	}
	c.listener.Events.Log(slog.LevelWarn, "client connection closed with a request on it", attrs...)
}

// maxUnreadHead is how many of the bytes that lie unread in a socket are searched for the id of their request.
const maxUnreadHead = 2 << 10

// requestIDHeader names the header with a request's id, as it stands in front of the id.
const requestIDHeader = "\nx-request-id:"

// unreadRequestID returns the id of the request that lies unread in the connection's socket; empty where none is found. Nothing is taken.
func (c *conn) unreadRequestID() string {
	head := sockstate.PeekBytes(c.unwrapped(), maxUnreadHead)
	at := bytes.Index(bytes.ToLower(head), []byte(requestIDHeader))
	if at < 0 {
		return ""
	}
	id, _, _ := bytes.Cut(head[at+len(requestIDHeader):], []byte("\n"))
	return string(bytes.TrimSpace(id))
}

// owesAnswer reports whether bytes of a request were read and its answer was not written, or not whole. The lock is held.
func (c *conn) owesAnswer() bool {
	return c.use != idle && (!c.isAnswered || c.hasWriteFailed) || c.use == idle && c.hasNewBytes
}

// reasonOfServer tells why net/http closes the connection. The lock is held.
func (c *conn) reasonOfServer() CloseReason {
	switch {
	case c.hasPeerEnded:
		return CloseByClient
	case c.hasWriteFailed:
		return CloseWriteFailed
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
	return [...]string{idle: "idle", readingRequest: "reading_request", readingBody: "reading_body", inUse: "in_use"}[u]
}
