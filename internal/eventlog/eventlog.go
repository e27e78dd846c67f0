// Package eventlog writes log lines about single requests and connections, at a bounded rate: why a request was retried or not served,
// and why a connection was closed. Lines over the rate are left out, and the next line that is written says how many they were.
package eventlog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"appleledge/internal/besteffort"
)

// Limits of a Logger.
const (
	linesPerSecond = 5
	burst          = 50 // lines
)

// suppressedKey is the attribute that says how many lines were left out before this one.
const suppressedKey = "suppressed"

// Logger writes lines at a bounded rate. A nil Logger writes none. It is safe for concurrent use.
type Logger struct {
	log        *slog.Logger
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

// New returns a Logger that writes to log; nil where log is nil.
func New(log *slog.Logger) *Logger {
	if log == nil {
		return nil
	}
	return &Logger{log: log, limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Log writes a line, if the rate allows one more and the level is on. Attributes are built by the caller; ask Enabled first where that
// costs something.
func (l *Logger) Log(level slog.Level, message string, attrs ...slog.Attr) {
	l.LogAt(time.Now(), level, message, attrs...)
}

// LogAt is Log for what happened at another time than now.
func (l *Logger) LogAt(at time.Time, level slog.Level, message string, attrs ...slog.Attr) {
	if !l.Enabled(level) {
		return
	}
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	if n := l.suppressed.Swap(0); n > 0 {
		attrs = append(attrs, slog.Uint64(suppressedKey, n))
	}
	record := slog.NewRecord(at, level, message, 0)
	record.AddAttrs(attrs...)
	besteffort.Ignore(l.log.Handler().Handle(context.Background(), record))
}

// Suppress counts a line that its caller leaves out.
func (l *Logger) Suppress() {
	if l != nil {
		l.suppressed.Add(1)
	}
}

// Enabled reports whether lines of the level are written at all.
func (l *Logger) Enabled(level slog.Level) bool {
	return l != nil && l.log.Enabled(context.Background(), level)
}
