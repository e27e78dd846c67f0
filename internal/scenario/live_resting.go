package scenario

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

const (
	// agentIdleLimit is how long an agent keeps a client's connection on which no request is open.
	agentIdleLimit = 20 * time.Second

	// agentHeaderLimit is how long a client may be silent on a new connection.
	agentHeaderLimit = 1500 * time.Millisecond

	// longestRest is that of clients that send again before the agent's limit is near. A drain meets them at rest.
	longestRest = 2100 * time.Millisecond

	// redialPause is the time between two tries of a resting client to connect.
	redialPause = 100 * time.Millisecond
)

// restHabit says when a resting client sends.
type restHabit int

// The habits, by the client's number.
const (
	restsShortly       restHabit = iota // for up to longestRest between its requests
	restsToIdleLimit                    // about until the agent would end its connection
	sendsAtHeaderLimit                  // as restsShortly, and first about when the agent would end a new connection
	restHabitCount
)

// restingClient has one connection to an agent, and rests before or between its requests, so that they cross the end of the connection: at
// the agent's limits and at a drain.
type restingClient struct {
	run    *liveRun
	agent  *liveAgent
	number int
	habit  restHabit
	random *rand.Rand
	sent   int // requests, over all connections
}

// startRestingClients starts the script's resting clients of all agents. They end with the context.
func (l *liveRun) startRestingClients(ctx context.Context) {
	for _, a := range l.agents {
		for i := range l.script.Clients.RestingConns {
			c := &restingClient{run: l, agent: a, number: i, habit: restHabit(i % int(restHabitCount)), random: rand.New(rand.NewPCG(l.clientSeed(), uint64(a.number)<<32|uint64(i)))}
			l.inFlight.Go(func() { c.loop(ctx) })
		}
	}
}

// loop sends over one connection after another until the context ends.
func (c *restingClient) loop(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.agent.dial(ctx, "tcp", c.agent.addr)
		if err != nil {
			c.rest(ctx, redialPause)
			continue
		}
		c.useConn(ctx, conn.(*clientConn).Conn)
		besteffort.Close(conn)
	}
}

// useConn sends requests over a connection as long as the agent leaves it open.
func (c *restingClient) useConn(ctx context.Context, conn net.Conn) {
	answers := bufio.NewReader(conn)
	if c.habit == sendsAtHeaderLimit {
		c.rest(ctx, c.about(agentHeaderLimit))
	}
	for ctx.Err() == nil && !sockstate.HasPeerClosed(conn) {
		c.sent++
		id := fmt.Sprintf("rest-%d-%d.%d", c.agent.number+1, c.number, c.sent)
		taker := c.agent.currentIncarnation()
		written := time.Now()
		resp, err := c.exchange(conn, answers, id)
		if err != nil {
			c.judge(id, taker, written, err)
			return
		}
		if resp.Close {
			return
		}
		if c.habit == restsToIdleLimit {
			c.rest(ctx, c.about(agentIdleLimit))
		} else {
			c.rest(ctx, time.Duration(c.random.Int64N(int64(longestRest))))
		}
	}
}

// about returns a time from a little before a limit to a little behind it.
func (c *restingClient) about(limit time.Duration) time.Duration {
	return limit + time.Duration(c.random.Int64N(int64(2*maxStandstill))) - maxStandstill
}

// errNotSent reports that a request was not written whole, as the agent had ended its connection.
var errNotSent = errors.New("the request was not sent")

// exchange sends a request and reads the whole answer.
func (c *restingClient) exchange(conn net.Conn, answers *bufio.Reader, id string) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(deadline + answerTolerance)); err != nil {
		return nil, fmt.Errorf("setting the deadline: %w", err)
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: agent\r\nX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\n\r\n", classes[0].Name, id,
		refundPoints[0].name, deadline.Milliseconds()); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	defer besteffort.Close(resp.Body)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, fmt.Errorf("reading the answer's body: %w", err)
	}
	return resp, nil
}

// judge records a violation where the agent owed an answer: its process lives, or was told to end in time, and the request was written whole.
func (c *restingClient) judge(id string, taker agentIncarnation, written time.Time, err error) {
	after := time.Since(written).Round(time.Millisecond)
	if errors.Is(err, errNotSent) || !c.agent.owesAnswers(taker) {
		return
	}
	c.run.addViolation("1", "agent %d ended the connection of request %s without a whole answer, %v after it was sent: %v", c.agent.number+1, id, after, err)
}

// rest waits, or until the context ends.
func (*restingClient) rest(ctx context.Context, lasts time.Duration) {
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
