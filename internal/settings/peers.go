package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Peers is the section [peers]: gossip among the agents, of who is alive and of what makes them more careful.
type Peers struct {
	Listen  string   `toml:"listen"`   // IPv4 address and port for datagrams; empty: the platform's
	Members []string `toml:"members"`  // addresses of all agents, in the order of their numbers; none: the platform's
	KeyFile string   `toml:"key_file"` // one key, or two during a rotation
	Period  Duration `toml:"period"`   // interval of probes
	AskFor  Duration `toml:"ask_for"`  // how long the others are polled after a loss of power, before the first request is forwarded
}

// DefaultPeers returns the section's defaults.
func DefaultPeers() Peers {
	return Peers{Period: Duration(time.Second), AskFor: Duration(100 * time.Millisecond)}
}

const maxMembers = 1 << 16

func (p *Peers) check() (key string, err error) {
	if p.KeyFile == "" {
		return "key_file", errors.New("it must name a file with a key of 64 hexadecimal digits, such as \"openssl rand -hex 32\" writes")
	}
	if (p.Listen == "") != (len(p.Members) == 0) {
		return "members", errors.New("listen and members are named both, or neither where the platform does")
	}
	if len(p.Members) > maxMembers {
		return "members", fmt.Errorf("%d are more than %d", len(p.Members), maxMembers)
	}
	for _, m := range append([]string{p.Listen}, p.Members...) {
		if at, err := netip.ParseAddrPort(m); m != "" && (err != nil || !at.Addr().Is4()) {
			return "members", fmt.Errorf("%q is no IPv4 address with a port, such as \"10.0.0.4:7946\"", m)
		}
	}
	return checkBounds(nil, durationBounds{{"period", p.Period, 100 * time.Millisecond, time.Minute}, {"ask_for", p.AskFor, 0, 10 * time.Second}})
}
