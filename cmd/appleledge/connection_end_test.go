package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/harness/cluster"
	"appleledge/internal/harness/loopback"
	"appleledge/internal/sockstate"
)

// Limits of the agent that the tests cross, and how long before and after them its process is held up.
const (
	idleLimit     = 20 * time.Second        // of a connection between requests
	headLimit     = 1500 * time.Millisecond // of a request's head
	bodyLimit     = 1200 * time.Millisecond // of a request's body
	drainRest     = 2000 * time.Millisecond // from SIGTERM until connections that rest are ended, at the deadlines of agenttest.SettingsText
	heldBefore    = 500 * time.Millisecond
	heldBehind    = 250 * time.Millisecond
	resetPatience = time.Second // longer than the agent lets a close linger
	clientCount   = 20
)

// stoppableAgent is an agent in a process of its own, with one backend.
type stoppableAgent struct {
	t       *testing.T
	addr    string
	process *os.Process
	log     *agenttest.LockedBuffer
}

// startStoppable starts an agent with a limit on its file descriptors, by another command where wrapper names one. Its backend serves at once.
func startStoppable(t *testing.T, sockets int, wrapper ...string) *stoppableAgent {
	t.Helper()
	return startStoppableAt(t, agenttest.NewBackend(t, agenttest.Says(agenttest.Served)), sockets, wrapper...)
}

// startStoppableAt is startStoppable with a backend of its own.
func startStoppableAt(t *testing.T, backend *agenttest.Backend, sockets int, wrapper ...string) *stoppableAgent {
	t.Helper()
	host, err := loopback.Hold()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	discovery := agenttest.NewDiscovery(t, 1, agenttest.EntryText("s-1", backend.Addr().String(), "Ready", 0))
	config := strings.Replace(string(agenttest.ConfigText(discovery.Addr().String(), "null")), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	a := &stoppableAgent{t: t, addr: host.Addr(), log: &agenttest.LockedBuffer{}}
	command := slices.Concat(wrapper, []string{cluster.Program(0)})
	program := exec.Command(command[0], command[1:]...)
	program.Env = append(os.Environ(), "APPLELEDGE_AS_PROGRAM=1", "PROXY_CONFIG="+file, "PROXY_LISTEN="+a.addr)
	program.Stderr = a.log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	a.process = program.Process
	t.Cleanup(func() { besteffort.Ignore(program.Process.Kill()); besteffort.Ignore(program.Wait()) })
	agenttest.Eventually(t, "the agent is ready", func() bool {
		resp, err := http.Get("http://" + a.addr + "/ready")
		if err != nil {
			return false
		}
		besteffort.Close(resp.Body)
		return resp.StatusCode == http.StatusOK
	})
	return a
}

// stop holds the process up until resume.
func (a *stoppableAgent) stop() {
	a.t.Helper()
	a.signal(syscall.SIGSTOP)
	agenttest.Eventually(a.t, "the process has stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.process.Pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	})
}

func (a *stoppableAgent) resume() { a.signal(syscall.SIGCONT) }

func (a *stoppableAgent) signal(s os.Signal) {
	a.t.Helper()
	if err := a.process.Signal(s); err != nil {
		a.t.Fatal(err)
	}
}

// stopAcross holds the process up across a limit that began at start, and calls send meanwhile.
func (a *stoppableAgent) stopAcross(start time.Time, limit time.Duration, send func()) {
	time.Sleep(time.Until(start.Add(limit - heldBefore)))
	a.stop()
	send()
	time.Sleep(time.Until(start.Add(limit + heldBehind)))
	a.resume()
}

// agentClient is a client's connection to an agent.
type agentClient struct {
	t      *testing.T
	number int
	conn   net.Conn
	answer *bufio.Reader
}

// tryConnect connects a client.
func (a *stoppableAgent) tryConnect(number int) (*agentClient, error) {
	conn, err := net.Dial("tcp", a.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	if err := conn.SetDeadline(time.Now().Add(agenttest.Patience)); err != nil {
		return nil, fmt.Errorf("setting the deadline: %w", err)
	}
	return &agentClient{t: a.t, number: number, conn: conn, answer: bufio.NewReader(conn)}, nil
}

// connectAll connects some clients.
func (a *stoppableAgent) connectAll(count int) (all []*agentClient) {
	a.t.Helper()
	for i := range count {
		c, err := a.tryConnect(i)
		if err != nil {
			a.t.Fatal(err)
		}
		a.t.Cleanup(func() { besteffort.Close(c.conn) })
		all = append(all, c)
	}
	return all
}

// refundText is the text of a request whose body is "refund"; round tells a client's requests apart.
func (c *agentClient) refundText(round int) string {
	return fmt.Sprintf("POST /refund-record HTTP/1.1\r\nHost: a\r\nX-Request-ID: %016x\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: 2000m\r\n"+
		"Idempotency-Key: %032x\r\nContent-Length: 6\r\n\r\nrefund", 1000*round+c.number, 1000*round+c.number)
}

// write sends a text, on a connection that must be open.
func (c *agentClient) write(text string) {
	c.t.Helper()
	if sockstate.HasPeerClosed(c.conn) {
		c.t.Fatalf("client %d: its connection was ended before it sent", c.number)
	}
	besteffort.Ignore(c.conn.SetDeadline(time.Now().Add(agenttest.Patience)))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// read reads an answer and returns its status, or the error that came in its place.
func (c *agentClient) read() (status int, err error) {
	resp, err := http.ReadResponse(c.answer, nil)
	if err != nil {
		return 0, fmt.Errorf("reading the answer: %w", err)
	}
	defer besteffort.Close(resp.Body)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("reading the body: %w", err)
	}
	return resp.StatusCode, nil
}

// mustAnswer reads the clients' answers, each of which has to come, with one of the statuses.
func mustAnswer(t *testing.T, clients []*agentClient, log *agenttest.LockedBuffer, statuses ...int) {
	t.Helper()
	ends := map[string]int{}
	for _, c := range clients {
		if status, err := c.read(); !slices.Contains(statuses, status) {
			ends[fmt.Sprintf("status %d, %v", status, errors.Unwrap(err))]++
		}
	}
	if len(ends) > 0 {
		t.Errorf("of %d requests that were sent on open connections, %v; the log:\n%s", len(clients), ends, log)
	}
}

// each calls f for all clients, beside each other.
func each(clients []*agentClient, f func(*agentClient)) {
	var all sync.WaitGroup
	for _, c := range clients {
		all.Go(func() { f(c) })
	}
	all.Wait()
}

// A process does not run for a moment, as others have the processor. Meanwhile requests come, and a time limit of their connections
// passes. When the process runs again it has both before it, and serves the requests.
func TestRequestThatComesBeforeALimitIsServedThoughTheProcessRunsAfterIt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limit  time.Duration
		before func(c *agentClient) // the limit begins with it
		rest   func(c *agentClient) // comes while the process is held up
	}{
		{"between requests", idleLimit, func(c *agentClient) {
			c.write(c.refundText(1))
			if status, err := c.read(); status != http.StatusOK {
				c.t.Errorf("the first request: %d, %v", status, err)
			}
		}, func(c *agentClient) { c.write(c.refundText(2)) }},
		{"a new connection", headLimit, func(*agentClient) {}, func(c *agentClient) { c.write(c.refundText(1)) }},
		{"in the midst of a head", headLimit, func(c *agentClient) { c.write(c.refundText(1)[:40]) }, func(c *agentClient) { c.write(c.refundText(1)[40:]) }},
		{"in the midst of a body", bodyLimit, func(c *agentClient) { c.write(strings.TrimSuffix(c.refundText(1), "fund")) }, func(c *agentClient) { c.write("fund") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := startStoppable(t, 1024)
			clients := a.connectAll(clientCount)
			start := time.Now()
			each(clients, tt.before)
			a.stopAcross(start, tt.limit, func() { each(clients, tt.rest) })
			mustAnswer(t, clients, a.log, http.StatusOK)
		})
	}
}

// clientEnds counts how requests ended.
type clientEnds struct{ answered, unread, lost atomic.Int64 }

// send sends a request and counts its end. It reports whether the connection may be used again.
func (e *clientEnds) send(c *agentClient, round int) (goesOn bool) {
	if sockstate.HasPeerClosed(c.conn) {
		return false // between requests
	}
	if _, err := io.WriteString(c.conn, c.refundText(round)); err != nil {
		e.unread.Add(1)
		return false
	}
	resp, err := http.ReadResponse(c.answer, nil)
	switch {
	case err == nil:
		e.answered.Add(1)
		besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
		besteffort.Close(resp.Body)
		return !resp.Close
	case sockstate.WasReset(c.conn, err, resetPatience):
		e.unread.Add(1)
	default:
		e.lost.Add(1)
	}
	return false
}

// sendUntil sends one request after another, on one connection as long as that is open, until the context ends.
func (a *stoppableAgent) sendUntil(ctx context.Context, number int, ends *clientEnds) {
	for round := 0; ctx.Err() == nil; {
		c, err := a.tryConnect(number)
		if err != nil {
			continue
		}
		for goesOn := true; goesOn && ctx.Err() == nil; round++ {
			goesOn = ends.send(c, round)
		}
		besteffort.Close(c.conn)
	}
}

// Fifteen clients send one request after another on connections that they keep, beside idle clients that come and go and take more places
// than there are, and the process stands still now and then. A connection may be closed to make room before its request was read, and the
// client sees that by the reset. None is read and dropped.
func TestNoRequestIsReadAndDroppedBesideIdleClients(t *testing.T) {
	const (
		sockets     = 134 // of which the agent gives clients about 60
		lasts       = 2 * time.Second
		workerCount = 15
		idleCount   = 100
		idleFor     = 50 * time.Millisecond
		standstill  = 60 * time.Millisecond
	)
	a := startStoppable(t, sockets)
	ctx, cancel := context.WithTimeout(t.Context(), lasts)
	defer cancel()
	var ends clientEnds
	var running sync.WaitGroup
	for i := range workerCount {
		running.Go(func() { a.sendUntil(ctx, i, &ends) })
	}
	for range idleCount {
		running.Go(func() {
			for ctx.Err() == nil {
				if c, err := a.tryConnect(0); err == nil {
					time.Sleep(idleFor)
					besteffort.Close(c.conn)
				}
			}
		})
	}
	for ctx.Err() == nil {
		a.stop()
		time.Sleep(standstill)
		a.resume()
		time.Sleep(2 * standstill)
	}
	running.Wait()
	t.Logf("%d answered, %d unread, %d lost", ends.answered.Load(), ends.unread.Load(), ends.lost.Load())
	if n := ends.lost.Load(); n > 0 || ends.answered.Load() == 0 {
		t.Errorf("%d requests were lost, %d answered; the log:\n%s", n, ends.answered.Load(), a.log)
	}
}

// An agent that drains does not run for a moment, in which it is to end connections that rest, and requests come on them. It serves them
// when it runs again.
func TestRequestThatComesBeforeADrainEndsItsConnectionIsServed(t *testing.T) {
	a := startStoppable(t, 1024)
	clients := a.connectAll(clientCount)
	start := time.Now()
	a.signal(syscall.SIGTERM)
	agenttest.Eventually(t, "the agent drains", func() bool { return strings.Contains(a.log.String(), "draining") })
	each(clients, func(c *agentClient) {
		c.write(c.refundText(1))
		if status, err := c.read(); status != http.StatusOK {
			t.Errorf("client %d: %d, %v", c.number, status, err)
		}
	})
	a.stopAcross(start, drainRest, func() { each(clients, func(c *agentClient) { c.write(c.refundText(2)) }) })
	mustAnswer(t, clients, a.log, http.StatusOK)
}
