package gossip

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Handler is what a Node calls with what it receives. All methods are called from the goroutine of Run, one at a time, and must not block:
// while one does, no member gets an Ack from this agent.
type Handler interface {
	// HandleGossip is called with each observation that another member has sent, repeated ones among them. from is the sender's number.
	HandleGossip(from int, o Observation)
	// HandleOverloadReport is called with the payload of each Payload message. The handler may keep the payload.
	HandleOverloadReport(from int, payload []byte)
	// HandleLiveness is called when a member became reachable or unreachable, with one value for each member by number. The handler may
	// keep the slice.
	HandleLiveness(alive []bool)
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Self          int              // the agent's own number, an index of Members
	Members       []netip.AddrPort // the addresses of all agents, by number
	Keys          Keys
	ProbeInterval time.Duration        // between two probes; 0: a second
	Now           func() time.Duration // the agent's monotonic clock; called from the goroutine of Run
	HasSuccessor  func() bool          // another process of this agent goes on, so that the end of Run isn't announced; nil: none does
	Log           *slog.Logger
}

const (
	maxTotalDatagramsPerSecond = 600 // that are looked at, whoever sends them
	dropLogInterval            = 10 * time.Second
	rebindInterval             = 200 * time.Millisecond // between two tries to listen while another process of the agent still does
	queueLength                = 256                    // datagrams that wait to be read, and observations that wait to be sent
)

// Why a datagram was dropped: the keys of Status.Dropped, the label in metrics and the attribute in the log.
const (
	dropTotalLimit  = "too many in all"
	dropUnknownPeer = "from nobody that is known"
	dropStale       = "not of now"
	dropForged      = "forged"
	dropOtherFormat = "of another form"
	dropRateLimited = "too many of one"
	dropMalformed   = "not understood"
)

// Node connects a Core and a Link to a UDP socket and the clock. Its methods are safe for concurrent use, except that SetKeys and ReloadKeys
// need one caller at a time; Run is called once.
type Node struct {
	options      NodeOptions
	listenAddr   string
	agentByAddr  map[netip.AddrPort]int
	observations chan Observation     // from Broadcast to Run
	payloads     chan outgoingPayload // from SendPayload to Run
	keys         chan Keys            // from SetKeys to Run

	mu     sync.Mutex
	status Status // guarded by mu
}

// outgoingPayload is a payload and to how many members it goes.
type outgoingPayload struct {
	payload []byte
	agents  int
}

// Status is how a Node sees the other members, and what it has sent and received.
type Status struct {
	Listening bool
	Alive     int     // members that are Alive or Suspect, this agent among them
	States    []State // by number
	Counts    Counts
	Sent      uint64 // datagrams
	SentBytes uint64
	Received  uint64            // datagrams that were accepted, Hellos apart
	Dropped   map[string]uint64 // datagrams, by reason
}

// NewNode returns a Node that listens on a UDP address once it runs. It fails if the agent isn't one of the members, or two members have
// the same address.
func NewNode(listenAddr string, o NodeOptions) (*Node, error) {
	if o.Self < 0 || o.Self >= len(o.Members) || len(o.Members) > maxAgents {
		return nil, fmt.Errorf("agent %d is none of the %d members", o.Self, len(o.Members))
	}
	n := &Node{options: o, listenAddr: listenAddr, agentByAddr: map[netip.AddrPort]int{}, observations: make(chan Observation, queueLength),
		payloads: make(chan outgoingPayload, 1), keys: make(chan Keys, 1)}
	for i, addr := range o.Members {
		if other, isDuplicate := n.agentByAddr[addr]; isDuplicate {
			return nil, fmt.Errorf("the members %d and %d have one address, %v", other, i, addr)
		}
		n.agentByAddr[addr] = i
	}
	n.status = Status{States: make([]State, len(o.Members)), Alive: 1, Dropped: map[string]uint64{}}
	return n, nil
}

// Self returns the agent's own number.
func (n *Node) Self() int { return n.options.Self }

// Agents returns how many members there are, this agent among them.
func (n *Node) Agents() int { return len(n.options.Members) }

// Broadcast sends an observation to all other members. It never blocks; where too many wait the observation is lost, as gossip may be.
func (n *Node) Broadcast(o Observation) {
	select {
	case n.observations <- o:
	default:
	}
}

// SendPayload sends a payload of at most MaxPayloadBytes to so many random members that are alive. It never blocks; while another payload
// waits it is lost, as gossip may be. The payload must not be changed afterwards.
func (n *Node) SendPayload(payload []byte, agents int) {
	select {
	case n.payloads <- outgoingPayload{payload, agents}:
	default:
	}
}

// SetKeys replaces the keys. It doesn't wait until they are in force, which the log says then; before Run the last ones count.
func (n *Node) SetKeys(k Keys) {
	select {
	case <-n.keys: // keys that Run hasn't taken yet are out of date
	default:
	}
	n.keys <- k
}

// ReloadKeys reads the file of keys again and replaces the keys. After an error the old ones stay in force.
func (n *Node) ReloadKeys(path string) error {
	keys, err := ReadKeys(path)
	if err != nil {
		return err
	}
	n.SetKeys(keys)
	return nil
}

// Status returns a copy of the status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := n.status
	st.States, st.Dropped = slices.Clone(st.States), maps.Clone(st.Dropped)
	return st
}

func (n *Node) updateStatus(change func(*Status)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.status)
}

// Run takes part in the fleet until the context ends, announces that end and returns. While another process of the agent has the address,
// as in a hot restart, Run waits for it: two processes are one member, and only one may speak for it.
func (n *Node) Run(ctx context.Context, handler Handler) {
	socket := n.bind(ctx)
	if socket == nil {
		return
	}
	n.options.Log.Info("listening for other agents", "addr", n.listenAddr, "self", n.options.Self, "agents", len(n.options.Members))
	datagrams := make(chan datagram, queueLength)
	var reader sync.WaitGroup
	reader.Go(func() { readDatagrams(socket, datagrams) }) // ends when the socket is closed
	newEventLoop(n, socket, handler).run(ctx, datagrams)
	besteffort.Close(socket)
	reader.Wait()
}

// bind opens the socket, as soon as it can; nil if the context ends before.
func (n *Node) bind(ctx context.Context) *net.UDPConn {
	for isLogged := false; ; {
		addr, err := net.ResolveUDPAddr("udp4", n.listenAddr)
		if err == nil {
			var socket *net.UDPConn
			if socket, err = net.ListenUDP("udp4", addr); err == nil {
				return socket
			}
		}
		if !isLogged {
			isLogged = true
			n.options.Log.Warn("can't listen for other agents yet", "addr", n.listenAddr, "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rebindInterval):
		}
	}
}

// datagram is what came, and from where.
type datagram struct {
	from netip.AddrPort
	text []byte
}

// readDatagrams reads until the socket is closed. Datagrams that find the queue full are lost, as datagrams may be.
func readDatagrams(socket *net.UDPConn, queue chan<- datagram) {
	buffer := make([]byte, MaxDatagramBytes+1) // one more, so that a longer datagram is known for one
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an ICMP answer that nobody listens at a member's address
			continue
		}
		select {
		case queue <- datagram{netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), slices.Clone(buffer[:size])}:
		default:
		}
	}
}

// randomUint64 returns a number that nobody can guess.
func randomUint64() uint64 {
	var b [8]byte
	crand.Read(b[:]) // never fails: it would end the process
	return binary.LittleEndian.Uint64(b[:])
}
