package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
)

// Peers says how agents tell each other what they know.
type Peers struct {
	Listen  string   // where datagrams come; empty: as the platform says
	Members []string // all agents' addresses, by number; none: as the platform says
	KeyFile string
	Period  time.Duration // between two probes
	AskFor  time.Duration // for which others are asked after a loss of power
}

const peerSockets = 2 // descriptors: the socket, and the file of the key

// openPeers is the agent's place among the others; nil where there is none.
func (x Extras) openPeers(cfg Config, clk engine.Clock, log *slog.Logger) (*gossip.Node, error) {
	if x.Peers == nil {
		return nil, nil
	}
	listen, members := x.Peers.Listen, x.Peers.Members
	var self int
	if listen == "" {
		if !cfg.MayTell || cfg.PeerListen == "" || len(cfg.Peers) == 0 {
			return nil, errors.New("peers: the platform's configuration does not let agents send each other datagrams, or names none; see listen and members")
		}
		listen, members, self = cfg.PeerListen, cfg.Peers, cfg.Site.Balancer.Index
	} else if self = slices.Index(members, listen); self < 0 {
		return nil, fmt.Errorf("peers: %s is not among the members", listen)
	}
	keys, err := gossip.ReadKeys(x.Peers.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers: the key: %w", err)
	}
	o := gossip.NodeOptions{Self: self, Keys: keys, ProbeInterval: x.Peers.Period, Now: clk.Now, Log: log}
	if x.link != nil {
		o.HasSuccessor = x.link.Succeeded
	}
	for _, m := range members {
		at, err := netip.ParseAddrPort(m)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		o.Members = append(o.Members, at)
	}
	n, err := gossip.NewNode(listen, o)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return n, nil
}

// statusOf reads how the others are seen.
func statusOf(n *gossip.Node) func() *gossip.Status {
	return func() *gossip.Status {
		if n == nil {
			return nil
		}
		st := n.Status()
		return &st
	}
}

// askFor is for how long others are asked after a loss of power.
func (x Extras) askFor() time.Duration {
	if x.Peers == nil {
		return 0
	}
	return x.Peers.AskFor
}
