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

// Server is what is known of a server, as selectors and plans see it. Its JSON is part of plans.
type Server struct {
	ID         string  `json:"id"`
	Addr       string  `json:"addr"` // host and port
	Kind       string  `json:"kind,omitempty"`
	Zone       string  `json:"zone,omitempty"`
	Pod        int     `json:"pod"`
	Weight     float64 `json:"weight"`
	StartedMS  int64   `json:"started_ms"` // its latest start on the agent's clock, in milliseconds; tells two incarnations apart
	IsDraining bool    `json:"draining,omitempty"`
}

// Selector selects servers. A server is selected that matches every list which is not empty; it matches a list by any of its terms.
// Without lists all servers are selected.
type Selector struct {
	Kinds    []string       `json:"kinds,omitempty"`
	Zones    []string       `json:"zones,omitempty"`
	Pods     []int          `json:"pods,omitempty"`
	IDs      []string       `json:"ids,omitempty"`
	Networks []netip.Prefix `json:"networks,omitempty"` // of the servers' addresses
}

func (s *Selector) normalize() {
	s.Kinds, s.Zones, s.IDs, s.Pods = sortUnique(s.Kinds), sortUnique(s.Zones), sortUnique(s.IDs), sortUnique(s.Pods)
	for i, p := range s.Networks {
		s.Networks[i] = p.Masked()
	}
	slices.SortFunc(s.Networks, netipx.ComparePrefix)
	s.Networks = slices.Compact(s.Networks)
}

func sortUnique[T cmp.Ordered](terms []T) []T {
	slices.Sort(terms)
	return slices.Compact(terms)
}

// termCount returns the number of terms in all lists.
func (s *Selector) termCount() int {
	return len(s.Kinds) + len(s.Zones) + len(s.Pods) + len(s.IDs) + len(s.Networks)
}

// Matcher tests servers against a Selector. It is safe for concurrent use.
type Matcher struct {
	selector Selector
	networks *netipx.IPSet // nil where the selector has none
}

// Matcher returns the matcher of a normalized selector.
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

// MatchesAll reports whether every server is selected, whatever it is.
func (m *Matcher) MatchesAll() bool { return m.selector.termCount() == 0 }

// Matches reports whether a server is selected.
func (m *Matcher) Matches(s *Server) bool {
	sel := &m.selector
	if !matchesList(sel.Kinds, s.Kind) || !matchesList(sel.Zones, s.Zone) || !matchesList(sel.Pods, s.Pod) || !matchesList(sel.IDs, s.ID) {
		return false
	}
	if m.networks == nil {
		return true
	}
	at, err := netip.ParseAddrPort(s.Addr)
	return err == nil && m.networks.Contains(at.Addr().Unmap())
}

// matchesList reports whether a sorted list has a term or is empty.
func matchesList[T cmp.Ordered](terms []T, term T) bool {
	if len(terms) == 0 {
		return true
	}
	_, found := slices.BinarySearch(terms, term)
	return found
}

// SelectShare returns a share of the servers, rounded up: the first by a hash of salt and id. A larger share includes the servers of a
// smaller one, and a server that comes or goes moves few others.
func SelectShare(servers []*Server, salt string, share float64) []*Server {
	n := int(math.Ceil(share * float64(len(servers)) * (1 - 1e-9))) // 0.25 of 4 is 1 whatever the rounding
	n = min(max(n, 0), len(servers))
	if n == len(servers) {
		return servers
	}
	type rankedServer struct {
		server *Server
		rank   uint64
	}
	order := make([]rankedServer, len(servers))
	for i, s := range servers {
		order[i] = rankedServer{s, xxhash.Sum64String(salt + "\x00" + s.ID)}
	}
	slices.SortFunc(order, func(a, b rankedServer) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.server.ID, b.server.ID))
	})
	selected := make([]*Server, n)
	for i := range selected {
		selected[i] = order[i].server
	}
	return selected
}
