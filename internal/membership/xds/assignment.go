package xds

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"unique"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// MetadataKey names the filter metadata in which an endpoint says what the protocol has no field for: id (text; without
// it the address is the id), kind (text, of machine), cell (number) and started_ms (number, Unix time).
const MetadataKey = "appleledge"

// Bounds on what a resource may hold, and Envoy's default ("Priority levels").
const (
	maxEndpoints                  = 200_000
	maxPriority                   = 128 // as in the protocol's own validation
	defaultOverprovisioningFactor = 1.4 // by how much better than its share of healthy endpoints a priority or a locality counts
)

// assignment is a validated ClusterLoadAssignment.
type assignment struct {
	priorities             [][]locality // by priority, none of them empty
	overprovisioningFactor float64
	dropRatio              float64 // share of requests to be shed
	hasLocalityWeights     bool

	parsedEndpoints map[string]engine.Member // by the endpoints' bytes; without their zones
}

type locality struct {
	zone         int
	weight       float64
	members      []engine.Member // those that are not ready included
	healthyCount int
}

// endpointParser turns endpoints into members.
type endpointParser struct {
	Zones []string // names, in the order of the balancer's numbers
	Clock engine.Clock
}

// parse reads a ClusterLoadAssignment and returns the cluster's name, also with an error of what it holds. A change of one endpoint
// brings all of them again, and to parse one takes microseconds: those that are equal to the byte are taken over from the old
// assignment.
func (r *endpointParser) parse(body []byte, old func(cluster string) *assignment) (cluster string, out *assignment, err error) {
	rest, raw, err := splitEndpoints(body)
	if err != nil {
		return "", nil, err
	}
	a := &endpointv3.ClusterLoadAssignment{}
	if err := proto.Unmarshal(rest, a); err != nil {
		return "", nil, err
	}
	var read map[string]engine.Member
	if o := old(a.ClusterName); o != nil {
		read = o.parsedEndpoints
	}
	out, err = r.validate(a, raw, read)
	return a.ClusterName, out, err
}

// validate checks a ClusterLoadAssignment. It rejects what the protocol's own validation and gRFC A27 reject, and names in place of
// addresses, which are not looked up here.
func (r *endpointParser) validate(a *endpointv3.ClusterLoadAssignment, raw [][][]byte, read map[string]engine.Member) (*assignment, error) {
	out := &assignment{overprovisioningFactor: defaultOverprovisioningFactor, parsedEndpoints: map[string]engine.Member{}}
	if f := a.GetPolicy().GetOverprovisioningFactor(); f != nil {
		if f.Value == 0 {
			return nil, errors.New("overprovisioning_factor is 0")
		}
		out.overprovisioningFactor = float64(f.Value) / 100
	}
	var err error
	if out.dropRatio, err = parseDropRatio(a.GetPolicy()); err != nil {
		return nil, err
	}
	seen, endpoints := map[string]bool{}, 0
	for i, l := range a.Endpoints {
		if l == nil {
			return nil, fmt.Errorf("endpoints[%d] is empty", i)
		}
		if endpoints += len(raw[i]); endpoints > maxEndpoints {
			return nil, fmt.Errorf("more than %d endpoints", maxEndpoints)
		}
		if l.Priority > maxPriority {
			return nil, fmt.Errorf("endpoints[%d] has priority %d, %d is the most", i, l.Priority, maxPriority)
		}
		loc, err := r.parseLocality(l, raw[i], seen, read, out.parsedEndpoints)
		if err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
		for len(out.priorities) <= int(l.Priority) {
			out.priorities = append(out.priorities, nil)
		}
		out.priorities[l.Priority] = append(out.priorities[l.Priority], loc)
		out.hasLocalityWeights = out.hasLocalityWeights || l.LoadBalancingWeight != nil
	}
	for p, localities := range out.priorities {
		if len(localities) == 0 {
			return nil, fmt.Errorf("there is no priority %d, though there are later ones", p)
		}
	}
	return out, nil
}

// parseDropRatio returns the share of requests that a policy's drop_overloads shed. Each drops from what the ones before it left.
func parseDropRatio(p *endpointv3.ClusterLoadAssignment_Policy) (float64, error) {
	left := 1.0
	for _, d := range p.GetDropOverloads() {
		parts := map[typev3.FractionalPercent_DenominatorType]float64{typev3.FractionalPercent_HUNDRED: 100,
			typev3.FractionalPercent_TEN_THOUSAND: 1e4, typev3.FractionalPercent_MILLION: 1e6}
		of, ok := parts[d.GetDropPercentage().GetDenominator()]
		if !ok || d.GetCategory() == "" || d.GetDropPercentage() == nil {
			return 0, fmt.Errorf("drop_overloads: %q of %v is no category and share", d.GetCategory(), d.GetDropPercentage())
		}
		left *= 1 - min(1, float64(d.DropPercentage.Numerator)/of)
	}
	return 1 - left, nil
}

// parseLocality reads the endpoints of a locality. An address or an id that was seen before in the assignment is an error.
func (r *endpointParser) parseLocality(l *endpointv3.LocalityLbEndpoints, raw [][]byte, seen map[string]bool, before, read map[string]engine.Member) (out locality, err error) {
	if l.LbConfig != nil {
		return out, errors.New("lists of endpoints by reference (LEDS) are not fetched; split the cluster in place of it")
	}
	out = locality{zone: slices.Index(r.Zones, l.GetLocality().GetZone()), members: make([]engine.Member, 0, len(raw))}
	if w := l.LoadBalancingWeight; w != nil {
		out.weight = float64(w.Value)
	}
	for i, text := range raw {
		m, known := before[string(text)]
		if !known {
			m, err = r.parseEndpoint(text)
		}
		if err == nil && (seen[m.Addr] || seen["id "+m.ID]) {
			err = fmt.Errorf("%s with id %q is named twice", m.Addr, m.ID)
		}
		if err != nil {
			return out, fmt.Errorf("lb_endpoints[%d]: %w", i, err)
		}
		seen[m.Addr], seen["id "+m.ID] = true, true
		read[string(text)] = m
		m.Zone = out.zone
		if m.State == balancer.Ready {
			out.healthyCount++
		}
		out.members = append(out.members, m)
	}
	return out, nil
}

// parseEndpoint reads one endpoint. Whatever is not healthy counts as draining: it gets no new requests, and those in flight go on.
func (r *endpointParser) parseEndpoint(text []byte) (m engine.Member, err error) {
	e := &endpointv3.LbEndpoint{}
	if err := proto.Unmarshal(text, e); err != nil {
		return m, err
	}
	socket := e.GetEndpoint().GetAddress().GetSocketAddress()
	if socket == nil {
		return m, errors.New("no socket address")
	}
	ip, err := netip.ParseAddr(socket.Address)
	if err != nil {
		return m, fmt.Errorf("%q is no IP address, and names are not looked up", socket.Address)
	}
	port := socket.GetPortValue()
	if port == 0 || port > math.MaxUint16 || socket.Protocol != corev3.SocketAddress_TCP {
		return m, fmt.Errorf("%s has no TCP port from 1 to 65535", socket.Address)
	}
	m.Addr = net.JoinHostPort(ip.Unmap().String(), strconv.Itoa(int(port)))
	m.ID, m.Weight, m.State = m.Addr, 1, balancer.Draining
	switch e.HealthStatus {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		m.State = balancer.Ready
	}
	if w := e.LoadBalancingWeight; w != nil {
		if w.Value == 0 {
			return m, fmt.Errorf("%s has a weight of 0, 1 is the least", m.Addr)
		}
		m.Weight = float64(w.Value)
	}
	fields := e.GetMetadata().GetFilterMetadata()[MetadataKey].GetFields()
	if id := fields["id"].GetStringValue(); id != "" {
		m.ID = id
	}
	m.Kind = unique.Make(fields["kind"].GetStringValue()).Value()
	m.Cell = int(clampToInteger(fields["cell"].GetNumberValue(), math.MaxInt32))
	m.Started = r.Clock.FromUnix(int64(clampToInteger(fields["started_ms"].GetNumberValue(), 1<<52)))
	return m, nil
}

// clampToInteger makes a whole number from 0 to most of a number that may be none.
func clampToInteger(x, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return math.Trunc(min(x, most))
}
