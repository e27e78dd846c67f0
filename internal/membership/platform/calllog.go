package platform

import (
	"log/slog"
	"sync"
	"time"

	"appleledge/internal/eventlog"
)

// maxRegularDelay is how long past its wait a call may take and count as regular.
const maxRegularDelay = 100 * time.Millisecond

// callRecord is what the log says of a call to discovery.
type callRecord struct {
	number    uint64 // of the calls of this process, from 1
	since     int64  // version from which on changes are asked for; -1: the whole list
	wait      time.Duration
	begun     time.Time
	isRegular bool // the only one that was open when it began, and none had failed before it
}

// maxQueuedLines is how many lines may wait to be written; further ones are dropped.
const maxQueuedLines = 128

// callLog writes a line when an irregular call begins, and when any call ends other than a regular one that brings nothing new. The lines
// of all regular calls are of the debug level. It is used by the goroutine that runs the Discovery, and writes in one of its own while
// that runs: a write that is held up delays no list.
type callLog struct {
	events     *eventlog.Logger
	lastNumber uint64
	listSeen   time.Time    // when discovery last answered with a list; zero: never
	lines      chan logLine // nil: lines are written at once
	writing    sync.WaitGroup
}

// logLine is a line that is not written yet.
type logLine struct {
	at      time.Time
	level   slog.Level
	message string
	attrs   []slog.Attr
}

func newCallLog(log *slog.Logger) callLog { return callLog{events: eventlog.New(log)} }

// start writes the lines that follow in a goroutine of their own, until stop.
func (l *callLog) start() {
	l.lines = make(chan logLine, maxQueuedLines)
	l.writing.Go(func() {
		for line := range l.lines {
			l.events.LogAt(line.at, line.level, line.message, line.attrs...)
		}
	})
}

// stop returns when all lines are written.
func (l *callLog) stop() {
	close(l.lines)
	l.writing.Wait()
}

// begin notes that a call begins beside so many others, and returns its record.
func (l *callLog) begin(since int64, wait time.Duration, openCalls int, isReachable bool) callRecord {
	l.lastNumber++
	c := callRecord{number: l.lastNumber, since: since, wait: wait, begun: time.Now(), isRegular: openCalls == 0 && isReachable}
	l.write(c.level(), "call to discovery begun", c, slog.Int("open", openCalls))
	return c
}

// answered notes that a call brought a list, and which version was held before.
func (l *callLog) answered(c callRecord, version, heldVersion int64, isFullList bool, servers int) {
	level := c.level()
	if version != heldVersion || time.Since(c.begun) > c.wait+maxRegularDelay {
		level = slog.LevelInfo
	}
	l.write(level, "call to discovery answered", c, slog.Int64("listed", version), slog.Int64("held", heldVersion), slog.Bool("full", isFullList),
		slog.Int("entries", servers))
	l.listSeen = time.Now()
}

// failed notes that a call brought nothing that can be used.
func (l *callLog) failed(c callRecord, err error) {
	l.write(slog.LevelInfo, "call to discovery failed", c, slog.Any("error", err))
}

// givenUp notes that the agent ended a call that had no answer.
func (l *callLog) givenUp(c callRecord, reason string) {
	l.write(slog.LevelInfo, "call to discovery given up", c, slog.String("reason", reason))
}

// level is that of a line on the call.
func (c callRecord) level() slog.Level {
	if c.isRegular {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// write writes a line with the facts that all have: the call, how long ago it began, and how long ago the last list came.
func (l *callLog) write(level slog.Level, message string, c callRecord, attrs ...slog.Attr) {
	if !l.events.Enabled(level) {
		return
	}
	listAge := int64(-1)
	if !l.listSeen.IsZero() {
		listAge = time.Since(l.listSeen).Milliseconds()
	}
	line := logLine{time.Now(), level, message, append([]slog.Attr{slog.Uint64("call", c.number), slog.Int64("since", c.since), slog.Int64("wait_ms", c.wait.Milliseconds()),
		slog.Int64("delay_ms", time.Since(c.begun).Milliseconds()), slog.Int64("list_age_ms", listAge)}, attrs...)}
	if l.lines == nil {
		l.events.LogAt(line.at, line.level, line.message, line.attrs...)
		return
	}
	select {
	case l.lines <- line:
	default:
		l.events.Suppress()
	}
}
