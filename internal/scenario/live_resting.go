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
	"os"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

const (
	// agentIdleLimit is how long an agent keeps a client's connection on which no request is open.
	agentIdleLimit = 2100 * time.Millisecond

	// redialPause is the time between two tries of a resting client to connect.
	redialPause = 100 * time.Millisecond

	// resetTolerance is within what time the system tells of the reset of a connection that its agent has ended: the agent lets a close
	// linger for 250 ms, and may stand still meanwhile.
	resetTolerance = time.Second
)

// restingClient has one connection to an agent, and rests between its requests until shortly before the agent would end the connection, so
// that requests cross that end where the agent stands still.
type restingClient struct {
	run    *liveRun
	agent  *liveAgent
	number int
	random *rand.Rand
	sent   int // requests, over all connections
}

// startRestingClients starts the script's resting clients of all agents. They end with the context.
func (l *liveRun) startRestingClients(ctx context.Context) {
	for _, a := range l.agents {
		for i := range l.script.Clients.RestingConns {
			c := &restingClient{run: l, agent: a, number: i, random: rand.New(rand.NewPCG(l.clientSeed(), uint64(a.number)<<32|uint64(i)))}
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
	for ctx.Err() == nil && !sockstate.HasPeerClosed(conn) {
		c.sent++
		id := fmt.Sprintf("rest-%d-%d.%d", c.agent.number+1, c.number, c.sent)
		taker := c.agent.currentIncarnation()
		written := time.Now()
		resp, err := c.exchange(conn, answers, id)
		if err != nil {
			c.judge(conn, id, taker, written, err)
			return
		}
		if resp.Close {
			return
		}
		c.rest(ctx, agentIdleLimit-time.Duration(c.random.Int64N(int64(maxStandstill))))
	}
}

// exchange sends a request and reads the whole answer.
func (c *restingClient) exchange(conn net.Conn, answers *bufio.Reader, id string) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(deadline + answerTolerance)); err != nil {
		return nil, fmt.Errorf("setting the deadline: %w", err)
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: agent\r\nX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\n\r\n", classes[0].Name, id,
		refundPoints[0].name, deadline.Milliseconds()); err != nil {
		return nil, fmt.Errorf("sending: %w", err)
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

// judge records a violation where the agent owed an answer: its process lives, or was told to end in time, and it has read the request. A
// reset says that it has not.
func (c *restingClient) judge(conn net.Conn, id string, taker agentIncarnation, written time.Time, err error) {
	after := time.Since(written).Round(time.Millisecond)
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if !isTimeout && sockstate.WasReset(conn, err, resetTolerance) || !c.agent.owesAnswers(taker) {
		return
	}
	c.run.addViolation("1", "agent %d ended the connection of request %s without a whole answer, %v after it was sent, and not for want of reading it: %v",
		c.agent.number+1, id, after, err)
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
