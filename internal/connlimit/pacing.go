package connlimit

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"golang.org/x/time/rate"

	"appleledge/internal/besteffort"
)

const (
	// unpacedSteps is how many requests and reads a connection may bring in a row without a wait for its client.
	unpacedSteps = 32

	// maxUnawaited bounds what a connection has to wait for until it may bring as many again.
	maxUnawaited = 2 * unpacedSteps

	// stepsPerWait is for how many steps a wait for the client makes up: a request, and the reads of its head.
	stepsPerWait = 4

	// awaitedStepTime: a wait of so long makes up for one more.
	awaitedStepTime = time.Millisecond

	// pacedStepsPerSecond is how many requests and reads of heads all connections at full speed may bring in a second, on a whole core.
	pacedStepsPerSecond = 2000

	pacedBurst = 8 // of these, at once
)

// A connection whose client writes faster than it is served never waits, and so never gives the core up: each waits for the rest of the process
// for as long as the scheduler allows it to, and so do others behind the locks that it takes meanwhile. So what comes without a wait in between
// is paced: all such connections share one rate, whatever they ask for and however many they are, and yield before each step. A body that comes
// at full speed is only made to yield: how fast long ones go is for the servers to say.

// newPace returns the rate of the connections at full speed under so many cores, of which a part may be one.
func newPace(cores float64) *rate.Limiter {
	if cores <= 0 {
		cores = 1
	}
	return rate.NewLimiter(rate.Limit(pacedStepsPerSecond*cores), pacedBurst)
}

// Pace is called at the start of a request, and waits if its connection brings requests at full speed.
func Pace(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	mustPace := c.noteStep()
	c.listener.mu.Unlock()
	if mustPace {
		c.pace(ctx)
	}
}

// noteStep counts a request, or a read, and reports whether the connection has to be paced. The lock is held.
func (c *conn) noteStep() bool {
	c.unawaited = min(c.unawaited+1, maxUnawaited)
	return c.unawaited > unpacedSteps
}

// noteAwaited notes that the connection waits for its client from now on. The lock is held.
func (c *conn) noteAwaited(now time.Time) {
	if c.awaitsSince.IsZero() {
		c.awaitsSince = now
	}
}

// noteAwaitedEnd notes that what the connection has waited for has come. The lock is held.
func (c *conn) noteAwaitedEnd(now time.Time) {
	if c.awaitsSince.IsZero() {
		return
	}
	waited := now.Sub(c.awaitsSince)
	c.awaitsSince = time.Time{}
	c.unawaited = max(0, c.unawaited-stepsPerWait-int(min(waited/awaitedStepTime, maxUnawaited)))
}

// pace waits for the connection's turn. No lock is held.
func (c *conn) pace(ctx context.Context) {
	c.listener.notePaced(c)
	besteffort.Ignore(c.listener.steps.Wait(ctx)) // it ends early where the client has left
	runtime.Gosched()
}

// notePaced counts a step that is paced, and logs the first of its connection.
func (l *Listener) notePaced(c *conn) {
	l.mu.Lock()
	l.paced++
	isFirst := !c.isPaced
	c.isPaced = true
	l.mu.Unlock()
	if isFirst {
		l.Events.Log(slog.LevelInfo, "client connection at full speed is paced", slog.String("client", c.RemoteAddr().String()))
	}
}

// PacedCount returns how many requests and reads of connections at full speed were paced since the listener was made.
func (l *Listener) PacedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paced
}
