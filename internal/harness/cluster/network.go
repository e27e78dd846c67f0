package cluster

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/fleet/gossip"
)

// Weather is what becomes of datagrams from one agent to another.
type Weather struct {
	Lose, Double, Delay float64 // shares; what is delayed is overtaken by others
	By                  time.Duration
	Change              func(text []byte) []byte // what a message says, by who has the key; nil: it is as it is
	Version             byte                     // that the datagrams say, in place of their own, with a record behind that nobody knows; 0: as they are
}

// Network carries datagrams between agents: each sees each other one at an address of its own, which a relay of the network holds. So
// it can be cut, in one direction too, and lose, double, delay and reorder.
type Network struct {
	sockets [][]*net.UDPConn // by whose view, and of whom
	reading sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	weather func(from, to int) Weather // nil: all arrives
	key     gossip.Key                 // of the agents, for who wants to change what they say
	at      []netip.AddrPort           // where the agents listen
	seen    [][]byte                   // the last datagrams, for who wants to send them again
	carried int
}

const mostSeen = 64

// newNetwork opens the relays for agents that listen at these addresses.
func newNetwork(at []string, key gossip.Key, seed uint64) (*Network, error) {
	n := &Network{key: key, random: rand.New(rand.NewPCG(seed, 31))}
	for _, a := range at {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		n.at = append(n.at, addr)
	}
	for i := range at {
		row := make([]*net.UDPConn, len(at))
		n.sockets = append(n.sockets, row)
		for j := range at {
			if i == j {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				n.Close()
				return nil, err
			}
			row[j] = c
		}
	}
	for i, row := range n.sockets {
		for j, c := range row {
			if c != nil {
				n.reading.Go(func() { n.carry(i, j, c) })
			}
		}
	}
	return n, nil
}

// members are all agents' addresses as one of them sees them.
func (n *Network) members(of int) (all []string) {
	for _, c := range n.sockets[of] {
		if c == nil {
			all = append(all, n.at[of].String())
			continue
		}
		all = append(all, c.LocalAddr().String())
	}
	return all
}

// Set changes the weather; nil is fine.
func (n *Network) Set(weather func(from, to int) Weather) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weather = weather
}

// Key is the one that agents start with.
func (n *Network) Key() gossip.Key { return n.key }

// Carried counts the datagrams that agents have sent.
func (n *Network) Carried() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried
}

// carry takes what an agent sends to another.
func (n *Network) carry(from, to int, c *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		size, _, err := c.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		text := append([]byte(nil), buffer[:size]...)
		n.mu.Lock()
		n.carried++
		if n.seen = append(n.seen, text); len(n.seen) > mostSeen {
			n.seen = n.seen[1:]
		}
		var w Weather
		if n.weather != nil {
			w = n.weather(from, to)
		}
		copies := 1
		if n.random.Float64() < w.Lose {
			copies = 0
		} else if n.random.Float64() < w.Double {
			copies = 2
		}
		if w.Version != 0 {
			text = n.key.Reseal(text, func(text []byte) []byte { return otherVersion(text, w.Version) })
		}
		if w.Change != nil {
			text = n.key.Reseal(text, w.Change)
		}
		late := n.random.Float64() < w.Delay
		n.mu.Unlock()
		for range copies {
			if late {
				time.AfterFunc(w.By, func() { n.Inject(from, to, text) })
			} else {
				n.Inject(from, to, text)
			}
		}
	}
}

// otherVersion is a message as another version of the program would send it.
func otherVersion(text []byte, version byte) []byte {
	const hello, unknown, size = 1, 99, 3
	if text[0] = version; text[1] != hello && len(text)+size <= gossip.MaxDatagramBytes-16 {
		text = append(text, unknown, 1, 2)
	}
	return text
}

// Inject sends a datagram to an agent as if another had.
func (n *Network) Inject(from, to int, text []byte) {
	besteffort.IgnoreResult(n.sockets[to][from].WriteToUDPAddrPort(text, n.at[to])) // what can't be sent is lost, as datagrams are
}

// Seen are the last datagrams that passed.
func (n *Network) Seen() [][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([][]byte(nil), n.seen...)
}

// Close ends the network.
func (n *Network) Close() {
	for _, row := range n.sockets {
		for _, c := range row {
			if c != nil {
				besteffort.Close(c)
			}
		}
	}
	n.reading.Wait()
}
