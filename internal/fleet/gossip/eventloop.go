package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// eventLoop is the state of Node.Run, which its goroutine alone uses.
type eventLoop struct {
	node        *Node
	socket      *net.UDPConn
	handler     Handler
	core        *Core
	link        *Link
	totalLimit  leakyBucket
	dropLogged  time.Duration // when a dropped datagram was logged last; 0: never
	isReachable []bool        // by number, as HandleLiveness was called with last
}

func newEventLoop(n *Node, socket *net.UDPConn, handler Handler) *eventLoop {
	agents := len(n.options.Members)
	return &eventLoop{node: n, socket: socket, handler: handler, isReachable: make([]bool, agents),
		core: New(Options{Self: n.options.Self, Agents: agents, ProbeInterval: n.options.ProbeInterval, Seed: randomUint64()}),
		link: NewLink(n.options.Self, agents, n.options.Keys, randomUint64)}
}

// run joins the fleet and handles events until the context ends, and then announces that.
func (l *eventLoop) run(ctx context.Context, datagrams <-chan datagram) {
	now := l.node.options.Now
	select {
	case k := <-l.node.keys: // reloaded while Run waited for the address
		l.setKeys(k)
	default:
	}
	l.join()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.leave()
			return
		case k := <-l.node.keys:
			l.setKeys(k)
		case o := <-l.node.observations:
			l.core.Broadcast(now(), o)
		case p := <-l.node.payloads:
			l.send(l.core.SendPayload(now(), p.payload, p.agents))
		case d := <-datagrams:
			l.handleDatagram(d)
		case <-timer.C:
		}
		if at := now(); l.core.NextTimer() <= at {
			l.send(l.core.Tick(at))
		}
		l.report()
		timer.Reset(max(l.core.NextTimer()-now(), time.Millisecond))
	}
}

// join starts the Core and pings a few members.
func (l *eventLoop) join() {
	now := l.node.options.Now
	l.core.Start(now())
	for _, i := range l.core.Seeds() {
		l.send(l.core.Ping(now(), i))
	}
	l.node.updateStatus(func(s *Status) { s.Listening = true })
}

// leave announces the agent's end, unless another process of it goes on: the fleet would take a hot restart for an end.
func (l *eventLoop) leave() {
	if hasSuccessor := l.node.options.HasSuccessor; hasSuccessor == nil || !hasSuccessor() {
		l.send(l.core.Leave(l.node.options.Now()))
	}
}

// setKeys puts keys in force and logs that: operators change keys agent by agent, as the log says that the step before is done.
func (l *eventLoop) setKeys(keys Keys) {
	l.link.SetKeys(l.node.options.Now(), keys)
	l.node.options.Log.Info("keys reloaded", "keys", len(keys.Open))
}

// handleDatagram checks a datagram and hands its message to the Core.
func (l *eventLoop) handleDatagram(d datagram) {
	now := l.node.options.Now
	from, isMember := l.node.agentByAddr[d.from]
	switch {
	case !l.totalLimit.allow(now(), maxTotalDatagramsPerSecond, maxTotalDatagramsPerSecond):
		l.drop(dropTotalLimit, d.from, nil)
		return
	case !isMember || from == l.node.options.Self:
		l.drop(dropUnknownPeer, d.from, nil)
		return
	}
	m, reply, err := l.link.Open(now(), from, d.text)
	l.write(from, reply)
	switch {
	case errors.Is(err, ErrStale): // usual after a start: not logged
		l.node.updateStatus(func(s *Status) { s.Dropped[dropStale]++ })
	case err != nil:
		l.drop(dropReason(err), d.from, err)
	case m.IsNewSession:
		l.send(l.core.Ping(now(), from))
	case m.Kind != Hello:
		l.node.updateStatus(func(s *Status) { s.Received++ })
		l.send(l.core.Receive(now(), m))
		if m.Kind == Payload {
			l.handler.HandleOverloadReport(from, m.Payload)
		}
	}
}

// dropReason returns the reason for an error of Link.Open.
func dropReason(err error) string {
	switch {
	case errors.Is(err, ErrForged):
		return dropForged
	case errors.Is(err, ErrUnsupportedFormat):
		return dropOtherFormat
	case errors.Is(err, ErrRateLimited):
		return dropRateLimited
	}
	return dropMalformed
}

// drop counts a dropped datagram, and logs one now and then: whoever floods the agent must not fill its log.
func (l *eventLoop) drop(reason string, from netip.AddrPort, err error) {
	l.node.updateStatus(func(s *Status) { s.Dropped[reason]++ })
	if now := l.node.options.Now(); l.dropLogged == 0 || now-l.dropLogged > dropLogInterval {
		l.dropLogged = now
		l.node.options.Log.Warn("datagrams are dropped; further ones are not logged for a while", "why", reason, "from", from, "error", err)
	}
}

// send seals and sends messages of the Core.
func (l *eventLoop) send(messages []Message) {
	for _, m := range messages {
		l.write(m.To, l.link.Seal(m))
	}
}

// write sends a datagram to a member; nil is none. One that the socket doesn't take is lost, as datagrams may be.
func (l *eventLoop) write(to int, text []byte) {
	if text == nil {
		return
	}
	if _, err := l.socket.WriteToUDPAddrPort(text, l.node.options.Members[to]); err == nil {
		l.node.updateStatus(func(s *Status) { s.Sent++; s.SentBytes += uint64(len(text)) })
	}
}

// report hands the handler what the Core has received and brings the status up to date.
func (l *eventLoop) report() {
	for _, o := range l.core.TakeObservations() {
		l.handler.HandleGossip(o.From, o.Observation)
	}
	hasChanged := false
	for i := range l.isReachable {
		if is := isReachable(l.core.State(i)); is != l.isReachable[i] {
			l.isReachable[i], hasChanged = is, true
		}
	}
	l.node.updateStatus(func(s *Status) {
		s.Alive, s.Counts = l.core.AliveCount(), l.core.Counts()
		for i := range s.States {
			s.States[i] = l.core.State(i)
		}
	})
	if hasChanged {
		l.handler.HandleLiveness(slices.Clone(l.isReachable))
	}
}
