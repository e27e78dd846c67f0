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
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// MetadataKey names the filter metadata in which an endpoint says what the protocol has no field for: id (text; without
// it the address is the id), kind (text, of machine), cell (number) and started_ms (number, Unix time).
const MetadataKey = "appleledge"

// Bounds on what a resource may hold.
const (
	endpointsMost = 200_000
	priorityMost  = 128 // as in the protocol's own validation
	// overprovisioning is how much better than its share of healthy endpoints a priority or a locality counts, where the
	// assignment does not say (Envoy, "Priority levels").
	overprovisioning = 1.4
)

// assignment is a checked ClusterLoadAssignment.
type assignment struct {
	priorities [][]locality // by priority, none of them empty
	over       float64      // the overprovisioning factor
	drop       float64      // the share of requests to be turned away
	weighted   bool         // localities have weights

	read map[string]engine.Member // the endpoints as they came, and what they were read as, but for their zones
}

type locality struct {
	zone    int
	weight  float64
	members []engine.Member // those that are not ready included
	healthy int
}

// Numbers of fields of the protocol's messages: ClusterLoadAssignment.endpoints and LocalityLbEndpoints.lb_endpoints.
const (
	fieldEndpoints   protowire.Number = 2
	fieldLbEndpoints protowire.Number = 2
)

// parse reads a ClusterLoadAssignment and returns the cluster's name, also with an error of what it holds. A change of one
// endpoint brings all of them again, and to read one takes microseconds: those that came before, to the byte, are taken
// over from the old assignment.
func (r *reader) parse(body []byte, old func(cluster string) *assignment) (cluster string, out *assignment, err error) {
	rest, raw, err := split(body)
	if err != nil {
		return "", nil, err
	}
	a := &endpointv3.ClusterLoadAssignment{}
	if err := proto.Unmarshal(rest, a); err != nil {
		return "", nil, err
	}
	var read map[string]engine.Member
	if o := old(a.ClusterName); o != nil {
		read = o.read
	}
	out, err = r.check(a, raw, read)
	return a.ClusterName, out, err
}

// split takes the endpoints out of a ClusterLoadAssignment: what is left of it, and the endpoints by locality.
func split(body []byte) (rest []byte, endpoints [][][]byte, err error) {
	rest, err = each(body, func(number protowire.Number, value []byte, rest []byte) ([]byte, error) {
		if number != fieldEndpoints {
			return nil, errKeep
		}
		var own [][]byte
		inner, err := each(value, func(number protowire.Number, value, rest []byte) ([]byte, error) {
			if number != fieldLbEndpoints {
				return nil, errKeep
			}
			own = append(own, value)
			return rest, nil
		})
		endpoints = append(endpoints, own)
		return protowire.AppendBytes(protowire.AppendTag(rest, fieldEndpoints, protowire.BytesType), inner), err
	})
	return rest, endpoints, err
}

// errKeep is what a function given to each returns for a field that stays as it is.
var errKeep = errors.New("the field stays")

// each goes through a message's fields and hands those that are messages, texts or bytes to f, which returns what is left
// with its own addition.
func each(body []byte, f func(number protowire.Number, value, rest []byte) ([]byte, error)) (rest []byte, err error) {
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		size := protowire.ConsumeFieldValue(number, kind, body[n:])
		if size < 0 {
			return nil, protowire.ParseError(size)
		}
		field := body[:n+size]
		body = body[n+size:]
		if kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(field[n:])
			changed, err := f(number, value, rest)
			if err == nil {
				rest = changed
				continue
			}
			if !errors.Is(err, errKeep) {
				return nil, err
			}
		}
		rest = append(rest, field...)
	}
	return rest, nil
}

// check reads a ClusterLoadAssignment. What it refuses is what the protocol's own validation and gRFC A27 refuse, and
// names in place of addresses, which are not looked up here.
func (r *reader) check(a *endpointv3.ClusterLoadAssignment, raw [][][]byte, read map[string]engine.Member) (*assignment, error) {
	out := &assignment{over: overprovisioning, read: map[string]engine.Member{}}
	if f := a.GetPolicy().GetOverprovisioningFactor(); f != nil {
		if f.Value == 0 {
			return nil, errors.New("overprovisioning_factor is 0")
		}
		out.over = float64(f.Value) / 100
	}
	var err error
	if out.drop, err = dropped(a.GetPolicy()); err != nil {
		return nil, err
	}
	seen, endpoints := map[string]bool{}, 0
	for i, l := range a.Endpoints {
		if l == nil {
			return nil, fmt.Errorf("endpoints[%d] is empty", i)
		}
		if endpoints += len(raw[i]); endpoints > endpointsMost {
			return nil, fmt.Errorf("more than %d endpoints", endpointsMost)
		}
		if l.Priority > priorityMost {
			return nil, fmt.Errorf("endpoints[%d] has priority %d, %d is the most", i, l.Priority, priorityMost)
		}
		loc, err := r.locality(l, raw[i], seen, read, out.read)
		if err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
		for len(out.priorities) <= int(l.Priority) {
			out.priorities = append(out.priorities, nil)
		}
		out.priorities[l.Priority] = append(out.priorities[l.Priority], loc)
		out.weighted = out.weighted || l.LoadBalancingWeight != nil
	}
	for p, localities := range out.priorities {
		if len(localities) == 0 {
			return nil, fmt.Errorf("there is no priority %d, though there are later ones", p)
		}
	}
	return out, nil
}

// dropped is the share that is turned away by a policy's drop_overloads, each of which drops from what the ones before
// it left.
func dropped(p *endpointv3.ClusterLoadAssignment_Policy) (float64, error) {
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

func (r *reader) locality(l *endpointv3.LocalityLbEndpoints, raw [][]byte, seen map[string]bool, before, read map[string]engine.Member) (out locality, err error) {
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
			m, err = r.member(text)
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
			out.healthy++
		}
		out.members = append(out.members, m)
	}
	return out, nil
}

func (r *reader) member(text []byte) (m engine.Member, err error) {
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
	m.Cell = int(clamp(fields["cell"].GetNumberValue(), math.MaxInt32))
	m.Started = r.Clock.FromUnix(int64(clamp(fields["started_ms"].GetNumberValue(), 1<<52)))
	return m, nil
}

// clamp makes a whole number from 0 to most of what may be none.
func clamp(x, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return math.Trunc(min(x, most))
}

// members are those of an assignment that the priorities leave in use, with the weights that follow from them. With one
// priority in use and no weights of localities they are those of the endpoints, so that the health of one changes
// nothing of the others.
func (a *assignment) members() (out []engine.Member) {
	loads := a.loads()
	for p, localities := range a.priorities {
		if loads[p] == 0 && p > 0 {
			continue // in reserve
		}
		for _, l := range localities {
			scale := 1.0
			if a.weighted {
				scale = l.scale(a.over)
			}
			if loads[p] > 0 {
				scale *= loads[p]
			}
			for _, m := range l.members {
				if scale != 1 {
					m.Weight = round(m.Weight * scale)
				}
				if m.Weight == 0 {
					continue // of a locality that is to get nothing
				}
				out = append(out, m)
			}
		}
	}
	return out
}

// loads are the shares of the requests that priorities get: each takes what its health allows of what is left.
func (a *assignment) loads() []float64 {
	loads, left, health := make([]float64, len(a.priorities)), 1.0, 0.0
	for p, localities := range a.priorities {
		all, healthy := 0, 0
		for _, l := range localities {
			all, healthy = all+len(l.members), healthy+l.healthy
		}
		if all == 0 {
			continue
		}
		able := min(1, a.over*float64(healthy)/float64(all))
		health += able
		loads[p] = min(left, able)
		left -= loads[p]
	}
	if health > 0 && health < 1 {
		for p := range loads {
			loads[p] /= health
		}
	}
	return loads
}

// scale brings the weights of a locality's endpoints to the locality's own, less as its health falls.
func (l locality) scale(over float64) float64 {
	sum := 0.0
	for _, m := range l.members {
		if m.State == balancer.Ready {
			sum += m.Weight
		}
	}
	if sum == 0 {
		sum = 1
	}
	return l.weight * min(1, over*float64(l.healthy)/float64(max(1, len(l.members)))) / sum
}

// round leaves two figures, so that small changes elsewhere change no member.
func round(w float64) float64 {
	if !(w > 0) {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(w))-1)
	return math.Round(w/unit) * unit
}
