package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/sockstate"
)

// Times of the tests that hold a process up inside the system calls of a close.
const (
	heldUp         = 150 * time.Millisecond // the longest that the platform's page allows for
	sendsBefore    = 100 * time.Millisecond // how long before a limit the earliest client sends
	sendsBehind    = 300 * time.Millisecond // and the latest behind it
	crossingCount  = 80                     // clients that send about when their connection ends
	crowdedSockets = 134                    // descriptors of an agent, of which it gives clients about 60
	crowdCount     = 60                     // clients that connect and say nothing, again and again
	crowdRest      = 400 * time.Millisecond // how long one of them stays
	crowdLasts     = 3 * time.Second
	handoverRest   = 600 * time.Millisecond  // from SIGTERM until connections that rest are ended, beside a new process
	drainEnd       = 2600 * time.Millisecond // from SIGTERM until the process ends, at the deadlines of agenttest.SettingsText
	newCount       = 8                       // clients that connect to an agent which drains
	newFor         = 400 * time.Millisecond  // behind the signal, in which they do
)

// heldCalls are the system calls in which strace holds a thread up: on its way in, where the decision to close was made, or on its way out,
// where a look or read has found nothing. Those that are made for each request are held up now and then.
var heldCalls = map[string][]string{
	"close":    {"close:delay_enter"},
	"shutdown": {"shutdown:delay_enter"},
	"look":     {"recvfrom:delay_exit:when=1+3"},
	"read":     {"read:delay_exit:when=1+5"},
	"write":    {"write:delay_enter:when=1+5"},
	"accept":   {"accept4:delay_exit:when=1+5", "epoll_ctl:delay_exit:when=1+5", "setsockopt:delay_exit:when=1+5"},
	"wait":     {"futex:delay_exit:when=1+41", "epoll_pwait:delay_exit:when=1+41", "nanosleep:delay_exit:when=1+41"},
}

// holdUpBy returns the command that starts another one whose system calls are held up.
func holdUpBy(calls []string) []string {
	command := []string{"strace", "-D", "-f", "-qq", "-o", "/dev/null"}
	for _, call := range calls {
		name, rest, _ := strings.Cut(call, ":")
		phase, when, _ := strings.Cut(rest, ":")
		injection := fmt.Sprintf("inject=%s:%s=%d", name, phase, heldUp.Microseconds())
		if when != "" {
			injection += ":" + when
		}
		command = append(command, "-e", injection)
	}
	return command
}

// crossings counts what became of requests that were sent about when their connection ended.
type crossings struct{ served, refused, unsent, lost atomic.Int64 }

// send sends a request and reads its answer. One that was written whole has to get one; a connection whose end the client has seen is not
// used. It reports whether the connection may be used again.
func (x *crossings) send(c *agentClient, round int) (goesOn bool) {
	if sockstate.HasPeerClosed(c.conn) {
		x.unsent.Add(1)
		return false
	}
	besteffort.Ignore(c.conn.SetDeadline(time.Now().Add(agenttest.Patience)))
	if _, err := io.WriteString(c.conn, c.refundText(round)); err != nil {
		x.unsent.Add(1)
		return false
	}
	sent := time.Now()
	resp, err := http.ReadResponse(c.answer, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		besteffort.Close(resp.Body)
	}
	switch {
	case err != nil:
		x.lost.Add(1)
		c.t.Errorf("client %d: no answer to request %d, the connection ended %v behind it: %v", c.number, round, time.Since(sent).Round(time.Millisecond), err)
		return false
	case resp.StatusCode == http.StatusOK:
		x.served.Add(1)
	default:
		x.refused.Add(1)
	}
	return !resp.Close
}

// report fails a test in which a request was lost, or none was sent.
func (x *crossings) report(t *testing.T, log *agenttest.LockedBuffer) {
	t.Helper()
	t.Logf("%d served, %d refused, %d not sent, as the end was seen", x.served.Load(), x.refused.Load(), x.unsent.Load())
	if n := x.lost.Load(); n > 0 || x.served.Load()+x.refused.Load() == 0 {
		t.Errorf("%d requests got no answer; the log:\n%s", n, log)
	}
}

// sendAbout sends a request some time about a limit that began at start: from a little before it to a little behind.
func (x *crossings) sendAbout(c *agentClient, start time.Time, limit time.Duration, round int) {
	spread := time.Duration(rand.Int64N(int64(sendsBefore + sendsBehind)))
	time.Sleep(time.Until(start.Add(limit - sendsBefore + spread)))
	x.send(c, round)
}

// closeDoors are the ways in which an agent ends connections of clients that may send in that moment.
var closeDoors = map[string]func(t *testing.T, a *stoppableAgent, ends *crossings){
	"idle limit": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		each(a.connectAll(crossingCount), func(c *agentClient) {
			if ends.send(c, 1) {
				ends.sendAbout(c, time.Now(), idleLimit, 2)
			}
		})
	},
	"silent new client": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		each(a.connectAll(crossingCount), func(c *agentClient) { ends.sendAbout(c, time.Now(), headLimit, 1) })
	},
	"half a head": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		each(a.connectAll(crossingCount), func(c *agentClient) { ends.sendInParts(c, 40, headLimit) })
	},
	"half a body": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		each(a.connectAll(crossingCount), func(c *agentClient) { ends.sendInParts(c, len(c.refundText(1))-3, bodyLimit) })
	},
	"drain, at rest": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		clients := a.connectAll(crossingCount)
		each(clients[:crossingCount/2], func(c *agentClient) { ends.send(c, 1) })
		ends.send(clients[crossingCount-1], 1) // all before it are accepted then
		a.signal(syscall.SIGTERM)
		start := time.Now()
		each(clients, func(c *agentClient) { ends.sendAbout(c, start, drainRest, 2) })
	},
	"drain, new connections": func(t *testing.T, a *stoppableAgent, ends *crossings) {
		a.signal(syscall.SIGTERM)
		agenttest.Eventually(t, "the agent drains", func() bool { return strings.Contains(a.log.String(), "draining") })
		var all sync.WaitGroup
		for i := range newCount {
			all.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(newFor))))
				if c, err := a.tryConnect(i); err == nil {
					ends.send(c, 1)
				}
			})
		}
		all.Wait()
	},
	"drain, at work": func(_ *testing.T, a *stoppableAgent, ends *crossings) {
		clients := a.connectAll(crossingCount)
		each(clients, func(c *agentClient) { ends.send(c, 1) })
		a.signal(syscall.SIGTERM)
		each(clients, func(c *agentClient) {
			for round := 2; ends.send(c, round); round++ {
				time.Sleep(time.Duration(rand.Int64N(int64(4 * heldUp))))
			}
		})
	},
}

// sendInParts sends the rest of a request about when the agent's limit for it is over.
func (x *crossings) sendInParts(c *agentClient, first int, limit time.Duration) {
	text := c.refundText(1)
	start := time.Now()
	c.write(text[:first])
	spread := time.Duration(rand.Int64N(int64(sendsBefore + sendsBehind)))
	time.Sleep(time.Until(start.Add(limit - sendsBefore + spread)))
	if !sockstate.HasPeerClosed(c.conn) {
		x.sendRest(c, text[first:])
	}
}

// sendRest sends the rest of a request, whose answer has to come.
func (x *crossings) sendRest(c *agentClient, rest string) {
	if _, err := io.WriteString(c.conn, rest); err != nil {
		x.unsent.Add(1)
		return
	}
	switch status, err := c.read(); {
	case err != nil:
		x.lost.Add(1)
		c.t.Errorf("client %d: no answer to a request in two parts: %v", c.number, err)
	case status == http.StatusOK:
		x.served.Add(1)
	default:
		x.refused.Add(1)
	}
}

// An agent ends a connection, and its process is held up for 0.15 s inside a system call of that close: it has found nothing on the connection, a
// request comes, and the close takes effect. The request gets an answer, whatever the door and the call.
func TestRequestThatCrossesACloseIsAnsweredThoughTheProcessIsHeldUpInIt(t *testing.T) {
	for door, cross := range closeDoors {
		for call, injections := range heldCalls {
			t.Run(door+", held up in "+call, func(t *testing.T) {
				t.Parallel()
				a := startStoppable(t, 1024, holdUpBy(injections)...)
				var ends crossings
				cross(t, a, &ends)
				ends.report(t, a.log)
			})
		}
	}
}

// crowd keeps the agent full of clients that connect, say nothing and go, until the context ends.
func (a *stoppableAgent) crowd(ctx context.Context, running *sync.WaitGroup) {
	for range crowdCount {
		running.Go(func() {
			for ctx.Err() == nil {
				if c, err := a.tryConnect(0); err == nil {
					time.Sleep(time.Duration(rand.Int64N(int64(crowdRest))))
					besteffort.Close(c.conn)
				}
			}
		})
	}
}

// The same where room is made for a crowd of clients that say nothing: by clients that have just connected and send a moment later, and by
// clients that rest between their requests.
func TestRequestThatCrossesACloseForRoomIsAnsweredThoughTheProcessIsHeldUpInIt(t *testing.T) {
	for call, injections := range heldCalls {
		t.Run("held up in "+call, func(t *testing.T) {
			t.Parallel()
			a := startStoppable(t, crowdedSockets, holdUpBy(injections)...)
			ctx, cancel := context.WithTimeout(t.Context(), crowdLasts)
			defer cancel()
			var ends crossings
			var running sync.WaitGroup
			a.crowd(ctx, &running)
			for i := range clientCount {
				running.Go(func() { a.crossUntil(ctx, i, &ends) })
			}
			running.Wait()
			ends.report(t, a.log)
		})
	}
}

// crossUntil connects, rests for a moment, sends, rests and sends again, over and over until the context ends.
func (a *stoppableAgent) crossUntil(ctx context.Context, number int, ends *crossings) {
	rest := func() { time.Sleep(time.Duration(rand.Int64N(int64(2 * crowdRest)))) }
	for round := 0; ctx.Err() == nil; {
		c, err := a.tryConnect(number)
		if err != nil {
			continue
		}
		for goesOn := true; goesOn && ctx.Err() == nil; round++ {
			rest()
			goesOn = ends.send(c, round)
		}
		besteffort.Close(c.conn)
	}
}

// An agent drains whose backend gives no answer, and its process is held up for 0.15 s when the last answers are due before its end. They are
// written all the same.
func TestLastAnswerIsWrittenThoughTheProcessIsHeldUp(t *testing.T) {
	for _, beforeEnd := range []time.Duration{heldUp + 100*time.Millisecond, heldUp + 50*time.Millisecond, heldUp, heldUp / 2} {
		t.Run(fmt.Sprint(beforeEnd, " before the end"), func(t *testing.T) {
			t.Parallel()
			a := startStoppableAt(t, agenttest.NewBackend(t, agenttest.Silent), 1024)
			clients := a.connectAll(clientCount)
			start := time.Now()
			a.signal(syscall.SIGTERM)
			agenttest.Eventually(t, "the agent drains", func() bool { return strings.Contains(a.log.String(), "draining") })
			var ends crossings
			var held sync.WaitGroup
			held.Go(func() {
				time.Sleep(time.Until(start.Add(drainEnd - beforeEnd)))
				a.stop()
				time.Sleep(time.Until(start.Add(drainEnd - beforeEnd + heldUp)))
				a.resume()
			})
			each(clients, func(c *agentClient) { ends.sendAbout(c, start, drainRest/2, 1) })
			held.Wait()
			ends.report(t, a.log)
		})
	}
}

// The same where a new process of the agent has taken the clients' socket over, and the old one ends the connections that it has.
func TestRequestThatCrossesAHandOverIsAnsweredThoughTheProcessIsHeldUpInIt(t *testing.T) {
	for call, injections := range heldCalls {
		t.Run("held up in "+call, func(t *testing.T) {
			t.Parallel()
			in := install(t)
			in.wrapper = holdUpBy(injections)
			old := in.ready(in.start(in.disco.Addr().String()))
			var ends crossings
			clients := (&stoppableAgent{t: t, addr: in.listen}).connectAll(crossingCount / 2)
			each(clients, func(c *agentClient) { ends.send(c, 1) })
			in.ready(in.start(in.disco.Addr().String()))
			if err := old.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			each(clients, func(c *agentClient) { ends.sendAbout(c, start, handoverRest, 2) })
			ends.report(t, old.log)
		})
	}
}
