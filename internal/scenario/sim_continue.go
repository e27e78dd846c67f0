package scenario

import (
	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	upstreamhttp1 "appleledge/internal/upstream/http1"
)

// continueExchange sends a repeat as the real transport does to a server that sends 100 (Continue): its head first, and its body
// when the server has read that. What servers do is known from the start: there is nothing to learn.
type continueExchange struct {
	agent   *simAgent
	life    int // the agent's incarnation
	attempt *engine.Attempt
	server  *simServer
	write   func() // sends the body
	isOver  bool   // the body is written, or will not be
}

// start sends the head.
func (c *continueExchange) start() {
	w := c.agent.sim
	w.schedule(min(c.attempt.WriteDeadline, w.now+upstreamhttp1.MaxContinueWait), c.giveUp)
	w.scheduleAfter(w.drawNetworkDelay(), func() { c.server.receive(c.headRead) })
}

// giveUp ends an attempt whose head was not read in time.
func (c *continueExchange) giveUp() {
	if c.isOver {
		return
	}
	c.isOver = true
	c.endNotSent(engine.Outcome{Unread: true})
}

// endNotSent ends an attempt whose body was not written.
func (c *continueExchange) endNotSent(out engine.Outcome) {
	out.Attempt, out.Result, out.Report = c.attempt, balancer.NotSent, balancer.NoReport
	if c.agent.incarnation == c.life {
		c.agent.handle(out)
	}
}

// headRead lets the server answer a head that it has read.
func (c *continueExchange) headRead() {
	w := c.agent.sim
	if c.isOver {
		return
	}
	c.attempt.MarkRead()
	w.scheduleAfter(w.drawNetworkDelay(), c.continued)
}

// continued writes the body, if the attempt may still be sent.
func (c *continueExchange) continued() {
	if c.isOver {
		return
	}
	c.isOver = true
	isOriginalRead := c.attempt.Original == nil || c.attempt.Original.IsRead()
	if !c.maySend() || !isOriginalRead {
		c.endNotSent(engine.Outcome{OriginalUnread: !isOriginalRead})
		return
	}
	c.write()
}

// maySend reports whether the body may be written, by the rule of the real transport.
func (c *continueExchange) maySend() bool {
	w, s := c.agent.sim, c.server
	return c.agent.incarnation == c.life && w.now < c.attempt.WriteDeadline && !c.attempt.Call.Closed() &&
		w.serversByID[s.id] == s && c.agent.knownServers[s.id].state == balancer.Ready
}
