package engine

import (
	"log/slog"
	"time"
)

// AttemptPhase is what an attempt waits for, or has waited for last.
type AttemptPhase int32

// The phases, in the order in which an attempt passes them. A retry under an idempotency key may wait for AwaitsContinue twice.
const (
	AwaitsBinding    AttemptPhase = iota // its binding is to be stored
	AwaitsConnection                     // a connection to its server
	AwaitsWrite                          // its server is to take the request
	AwaitsContinue                       // 100 (Continue), or a sign that the first attempt was read
	AwaitsHead                           // the head of the response
	AwaitsBody                           // the body of the response
)

// attemptPhaseNames are the phases' names in logs.
var attemptPhaseNames = [...]string{AwaitsBinding: "binding", AwaitsConnection: "connection", AwaitsWrite: "write", AwaitsContinue: "continue",
	AwaitsHead: "head", AwaitsBody: "body"}

// SetPhase says what the attempt waits for from now on. It may be called from any goroutine.
func (a *Attempt) SetPhase(p AttemptPhase) {
	a.phase.Store(int32(p))
	if a.engine != nil {
		a.phaseSince.Store(int64(a.engine.clock.Now()))
	}
}

// NoteResponseBytes says how many bytes of the response's body have come. It may be called from any goroutine.
func (a *Attempt) NoteResponseBytes(count int) { a.responseBytes.Store(int64(count)) }

// progress says, for a log line, what the attempt waits for, for how long it has, and how far its response has come.
func (a *Attempt) progress(now time.Duration) []slog.Attr {
	since := max(a.Sent, time.Duration(a.phaseSince.Load()))
	return []slog.Attr{slog.String("waited_for", attemptPhaseNames[a.phase.Load()]), slog.Int64("waited_ms", (now - since).Milliseconds()),
		slog.Int64("response_bytes", a.responseBytes.Load())}
}
