package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"appleledge/internal/engine"
	"appleledge/internal/fleet/gossip"
)

// GossipOptions configure the exchange between agents.
type GossipOptions struct {
	Listen        string   // where datagrams come; empty: as the platform says
	Members       []string // all agents' addresses, by number; none: as the platform says
	KeyFile       string
	ProbeInterval time.Duration // between two probes
	PeerPollTime  time.Duration // for which others are asked after a loss of power
}

const gossipDescriptors = 2 // descriptors: the socket, and the file of the key

// openGossip opens the agent's place among the others. They hear nothing before connectGossip.
func (a *assembly) openGossip() (err error) {
	a.gossip, err = a.features.openGossip(a.cfg, a.clock, a.log)
	return err
}

// connectGossip lets the engine send observations to the other agents and handle theirs.
func (a *assembly) connectGossip() error {
	if a.gossip == nil {
		return nil
	}
	a.engine.SetGossip(a.features.listIsCurrent(a.discovery), a.gossip.Broadcast)
	a.components.add(untilDrain, func(ctx context.Context) { a.gossip.Run(ctx, a.engine) })
	return nil
}

// openGossip returns the gossip node of the agent; nil where the feature is off.
func (x Features) openGossip(cfg Config, clk engine.Clock, log *slog.Logger) (*gossip.Node, error) {
	if x.Gossip == nil {
		return nil, nil
	}
	listen, members := x.Gossip.Listen, x.Gossip.Members
	var self int
	if listen == "" {
		if !cfg.AllowsGossip || cfg.PeerListen == "" || len(cfg.Peers) == 0 {
			return nil, errors.New("peers: the platform's configuration does not let agents send each other datagrams, or names none; see listen and members")
		}
		listen, members, self = cfg.PeerListen, cfg.Peers, cfg.Site.Balancer.Index
	} else if self = slices.Index(members, listen); self < 0 {
		return nil, fmt.Errorf("peers: %s is not among the members", listen)
	}
	keys, err := gossip.ReadKeys(x.Gossip.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers: the key: %w", err)
	}
	o := gossip.NodeOptions{Self: self, Keys: keys, ProbeInterval: x.Gossip.ProbeInterval, Now: clk.Now, Log: log}
	if x.hotRestart != nil {
		o.HasSuccessor = x.hotRestart.HasSuccessor
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

// statusOf returns a function that reads how the node sees the other agents; it returns nil without a node.
func statusOf(n *gossip.Node) func() *gossip.Status {
	return func() *gossip.Status {
		if n == nil {
			return nil
		}
		st := n.Status()
		return &st
	}
}

// peerPollTime returns how long the other agents are asked after a loss of power.
func (x Features) peerPollTime() time.Duration {
	if x.Gossip == nil {
		return 0
	}
	return x.Gossip.PeerPollTime
}
