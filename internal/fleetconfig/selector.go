package fleetconfig

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go4.org/netipx"
)

// Server is what is known of a server, as selectors and plans see it.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host and port
	Kind      string  `json:"kind,omitempty"`
	Zone      string  `json:"zone,omitempty"`
	Pod       int     `json:"pod"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // its latest start on the agent's clock; tells two lives apart
	Draining  bool    `json:"draining,omitempty"`
}

// Selector names servers. A server is selected that fits every list which is not empty; in a list any word does. With no
// list all servers are.
type Selector struct {
	Kinds    []string       `json:"kinds,omitempty"`
	Zones    []string       `json:"zones,omitempty"`
	Pods     []int          `json:"pods,omitempty"`
	IDs      []string       `json:"ids,omitempty"`
	Networks []netip.Prefix `json:"networks,omitempty"` // of their addresses
}

func (s *Selector) normalize() {
	s.Kinds, s.Zones, s.IDs, s.Pods = sorted(s.Kinds), sorted(s.Zones), sorted(s.IDs), sorted(s.Pods)
	for i, p := range s.Networks {
		s.Networks[i] = p.Masked()
	}
	slices.SortFunc(s.Networks, netipx.ComparePrefix)
	s.Networks = slices.Compact(s.Networks)
}

func sorted[T cmp.Ordered](words []T) []T {
	slices.Sort(words)
	return slices.Compact(words)
}

func (s *Selector) words() int {
	return len(s.Kinds) + len(s.Zones) + len(s.Pods) + len(s.IDs) + len(s.Networks)
}

// Matcher is a Selector that is ready for use.
type Matcher struct {
	selector Selector
	networks *netipx.IPSet // nil without any
}

// Matcher prepares a normalized selector.
func (s Selector) Matcher() (*Matcher, error) {
	m := &Matcher{selector: s}
	if len(s.Networks) == 0 {
		return m, nil
	}
	var b netipx.IPSetBuilder
	for _, p := range s.Networks {
		b.AddPrefix(p)
	}
	set, err := b.IPSet()
	if err != nil {
		return nil, fmt.Errorf("networks: %w", err)
	}
	m.networks = set
	return m, nil
}

// MatchesAll reports whether all servers are selected, whatever they are.
func (m *Matcher) MatchesAll() bool { return m.selector.words() == 0 }

// Matches reports whether a server is selected.
func (m *Matcher) Matches(s *Server) bool {
	sel := &m.selector
	if !fits(sel.Kinds, s.Kind) || !fits(sel.Zones, s.Zone) || !fits(sel.Pods, s.Pod) || !fits(sel.IDs, s.ID) {
		return false
	}
	if m.networks == nil {
		return true
	}
	at, err := netip.ParseAddrPort(s.Addr)
	return err == nil && m.networks.Contains(at.Addr().Unmap())
}

func fits[T cmp.Ordered](words []T, word T) bool {
	if len(words) == 0 {
		return true
	}
	_, found := slices.BinarySearch(words, word)
	return found
}

// SelectShare returns the given share of the servers, rounded up: the first by a hash of id and salt. A larger share holds the
// servers of a smaller one, and one that comes or goes moves few others.
func SelectShare(servers []*Server, salt string, share float64) []*Server {
	n := int(math.Ceil(share * float64(len(servers)) * (1 - 1e-9))) // 0.25 of 4 is 1 whatever the rounding
	n = min(max(n, 0), len(servers))
	if n == len(servers) {
		return servers
	}
	type ranked struct {
		server *Server
		rank   uint64
	}
	order := make([]ranked, len(servers))
	for i, s := range servers {
		order[i] = ranked{s, xxhash.Sum64String(salt + "\x00" + s.ID)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.server.ID, b.server.ID))
	})
	part := make([]*Server, n)
	for i := range part {
		part[i] = order[i].server
	}
	return part
}
