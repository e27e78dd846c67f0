package gossip

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Handler is who a Node tells what it hears.
type Handler interface {
	// HandleGossip takes a fact that another agent has told. It must not block for long.
	HandleGossip(from int, f Observation)
	// HandleOverloadReport takes what another agent's other parts tell. It must not block for long.
	HandleOverloadReport(from int, body []byte)
	// HandleLiveness takes which agents live now, whenever that has changed.
	HandleLiveness(alive []bool)
}

// NodeOptions are what a Node goes by.
type NodeOptions struct {
	Self          int
	Members       []netip.AddrPort // of all agents, in the order of their numbers
	Keys          Keys
	ProbeInterval time.Duration
	Now           func() time.Duration // of the agent's clock
	HasSuccessor  func() bool          // another process of the agent goes on, so that no farewell is said; nil: none does
	Log           *slog.Logger
}

const (
	mostTotal   = 600 // datagrams a second that are looked at, whoever sends them
	troubleLog  = 10 * time.Second
	rebindPause = 200 * time.Millisecond // between two tries to listen where another process of the agent still does
	queueMost   = 256                    // facts that wait to be told
)

// Node is an agent's place among the others: it holds the socket and the timers of a Core and a Link.
type Node struct {
	set    NodeOptions
	listen string
	index  map[netip.AddrPort]int
	tell   chan Observation
	share  chan sharing
	keys   chan Keys

	mu     sync.Mutex
	status Status
}

// Status is how a Node sees the others.
type Status struct {
	Listening bool
	Alive     int
	States    []State // by number
	Counts    Counts
	Sent      uint64 // datagrams
	SentBytes uint64
	Received  uint64
	Dropped   map[string]uint64 // by why
}

// NewNode returns a Node that listens at an address when it runs.
func NewNode(listen string, o NodeOptions) (*Node, error) {
	if o.Self < 0 || o.Self >= len(o.Members) || len(o.Members) > mostPeers {
		return nil, fmt.Errorf("agent %d is none of the %d members", o.Self, len(o.Members))
	}
	n := &Node{set: o, listen: listen, index: map[netip.AddrPort]int{}, tell: make(chan Observation, queueMost), share: make(chan sharing, 1), keys: make(chan Keys, 1)}
	for i, m := range o.Members {
		if other, twice := n.index[m]; twice {
			return nil, fmt.Errorf("the members %d and %d have one address, %v", other, i, m)
		}
		n.index[m] = i
	}
	n.status = Status{States: make([]State, len(o.Members)), Alive: 1, Dropped: map[string]uint64{}}
	return n, nil
}

// Self is the agent's own number.
func (n *Node) Self() int { return n.set.Self }

// Agents is how many there are, this one among them.
func (n *Node) Agents() int { return len(n.set.Members) }

// Broadcast lets a fact be told to the others; where too many wait it is lost, as word may be.
func (n *Node) Broadcast(f Observation) {
	select {
	case n.tell <- f:
	default:
	}
}

// sharing is a body on its way, and to how many others it goes.
type sharing struct {
	body []byte
	to   int
}

// SendPayload lets a body be told to so many others, drawn from those that live; where one waits already it is lost, as word may be.
func (n *Node) SendPayload(body []byte, to int) {
	select {
	case n.share <- sharing{body, to}:
	default:
	}
}

// SetKeys changes the keys.
func (n *Node) SetKeys(k Keys) {
	select {
	case <-n.keys: // one that waits is out of date
	default:
	}
	n.keys <- k
}

// ReloadKeys reads the keys again and puts them in force. An error changes nothing.
func (n *Node) ReloadKeys(path string) error {
	keys, err := ReadKeys(path)
	if err != nil {
		return err
	}
	n.SetKeys(keys)
	n.set.Log.Info("keys reloaded", "keys", len(keys.Open))
	return nil
}

// Status returns how the others are seen.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := n.status
	st.States = append([]State(nil), st.States...)
	st.Dropped = map[string]uint64{}
	for why, count := range n.status.Dropped {
		st.Dropped[why] = count
	}
	return st
}

// datagram is what came, and from where.
type datagram struct {
	from netip.AddrPort
	text []byte
}

// Run takes part until the context ends, and says farewell then. Where another process of the agent has the address it waits until
// that ends: two processes are one agent, and one of them speaks.
func (n *Node) Run(ctx context.Context, host Handler) {
	var socket *net.UDPConn
	for waited := false; ; {
		at, err := net.ResolveUDPAddr("udp4", n.listen)
		if err == nil {
			socket, err = net.ListenUDP("udp4", at)
		}
		if err == nil {
			break
		}
		if !waited {
			waited = true
			n.set.Log.Warn("can't listen for other agents yet", "addr", n.listen, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebindPause):
		}
	}
	n.set.Log.Info("listening for other agents", "addr", n.listen, "self", n.set.Self, "agents", len(n.set.Members))
	came := make(chan datagram, queueMost)
	var reading sync.WaitGroup
	reading.Go(func() { read(socket, came) })
	n.loop(ctx, socket, came, host)
	besteffort.Close(socket)
	reading.Wait()
}

// read reads until the socket is closed. What finds no room is lost, as datagrams may be.
func read(socket *net.UDPConn, to chan<- datagram) {
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an answer that nobody listens there
			continue
		}
		select {
		case to <- datagram{netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buffer[:size]...)}:
		default:
		}
	}
}

func (n *Node) loop(ctx context.Context, socket *net.UDPConn, came <-chan datagram, host Handler) {
	now := n.set.Now
	core := New(Options{Self: n.set.Self, Agents: len(n.set.Members), ProbeInterval: n.set.ProbeInterval, Seed: random()})
	link := NewLink(n.set.Self, len(n.set.Members), n.set.Keys, random)
	var total bucket
	var logged time.Duration
	write := func(to int, text []byte) {
		if text == nil {
			return
		}
		if _, err := socket.WriteToUDPAddrPort(text, n.set.Members[to]); err == nil {
			n.note(func(s *Status) { s.Sent++; s.SentBytes += uint64(len(text)) })
		}
	}
	send := func(out []Message) {
		for _, m := range out {
			write(m.To, link.Seal(m))
		}
	}
	drop := func(why string, from netip.AddrPort, err error) {
		n.note(func(s *Status) { s.Dropped[why]++ })
		if at := now(); logged == 0 || at-logged > troubleLog {
			logged = at
			n.set.Log.Warn("datagrams are dropped; further ones are not logged for a while", "why", why, "from", from, "error", err)
		}
	}
	core.Start(now())
	for _, i := range core.Seeds() {
		send(core.Ping(now(), i))
	}
	n.note(func(s *Status) { s.Listening = true })
	alive := make([]bool, len(n.set.Members))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if n.set.HasSuccessor == nil || !n.set.HasSuccessor() {
				send(core.Leave(now()))
			}
			return
		case k := <-n.keys:
			link.SetKeys(k)
		case f := <-n.tell:
			core.Broadcast(now(), f)
		case s := <-n.share:
			send(core.SendPayload(now(), s.body, s.to))
		case d := <-came:
			from, known := n.index[d.from]
			switch {
			case !total.take(now(), mostTotal, mostTotal):
				drop("too many in all", d.from, nil)
			case !known || from == n.set.Self:
				drop("from nobody that is known", d.from, nil)
			default:
				m, reply, err := link.Open(now(), from, d.text)
				write(from, reply)
				switch {
				case errors.Is(err, ErrStale): // usual after a start
					n.note(func(s *Status) { s.Dropped["not of now"]++ })
				case errors.Is(err, ErrForged):
					drop("forged", d.from, err)
				case errors.Is(err, ErrUnsupportedFormat):
					drop("of another form", d.from, err)
				case errors.Is(err, ErrRateLimited):
					drop("too many of one", d.from, err)
				case err != nil:
					drop("not understood", d.from, err)
				case m.IsNewSession:
					send(core.Ping(now(), from))
				case m.Kind != Hello:
					n.note(func(s *Status) { s.Received++ })
					send(core.Receive(now(), m))
					if m.Kind == Payload {
						host.HandleOverloadReport(from, m.Payload)
					}
				}
			}
		case <-timer.C:
		}
		if at := now(); core.NextTimer() <= at {
			send(core.Tick(at))
		}
		for _, h := range core.TakeObservations() {
			host.HandleGossip(h.From, h.Observation)
		}
		changed := false
		for i := range alive {
			if is := living(core.State(i)) == 1; is != alive[i] {
				alive[i], changed = is, true
			}
		}
		n.note(func(s *Status) {
			s.Alive, s.Counts = core.AliveCount(), core.Counts()
			for i := range s.States {
				s.States[i] = core.State(i)
			}
		})
		if changed {
			host.HandleLiveness(append([]bool(nil), alive...))
		}
		timer.Reset(max(core.NextTimer()-now(), time.Millisecond))
	}
}

func (n *Node) note(change func(*Status)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.status)
}

// random is a number that nobody can guess.
func random() uint64 {
	var b [8]byte
	crand.Read(b[:]) // never fails: it would end the process
	return binary.LittleEndian.Uint64(b[:])
}

// ReadKeys reads a file of one or two lines with a key each, of 64 hexadecimal digits. The first seals; both open, so that keys change
// without a gap: the new one is added behind everywhere, then put first everywhere, then the old one is taken away.
func ReadKeys(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, err
	}
	var keys Keys
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var k Key
		if len(line) != 2*len(k) {
			return Keys{}, fmt.Errorf("%s:%d: a key has %d hexadecimal digits, not %d", path, number, 2*len(k), len(line))
		}
		if _, err := hex.Decode(k[:], []byte(line)); err != nil {
			return Keys{}, fmt.Errorf("%s:%d: a key has hexadecimal digits alone", path, number)
		}
		keys.Open = append(keys.Open, k)
	}
	if len(keys.Open) == 0 || len(keys.Open) > 2 {
		return Keys{}, fmt.Errorf("%s: it has %d keys; one, or two while they change", path, len(keys.Open))
	}
	keys.Seal = keys.Open[0]
	return keys, nil
}
