package xds

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"pgregory.net/rapid"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/harness/controlplane"
)

func testParser() endpointParser {
	now := time.Second
	return endpointParser{Zones: []string{"edinburgh-dc"}, Clock: engine.ManualClock(&now)}
}

func testResource(name, version string, m proto.Message) resource {
	return resource{name, version, controlplane.Packed(m)}
}

// modelPlane is a control plane as the protocol has it, with some resources that are invalid.
type modelPlane struct {
	clusters    map[string]bool             // and whether it can be used
	assignments map[string]*modelAssignment // by cluster
	version     int
}

type modelAssignment struct {
	version int
	ports   []int // of the endpoints; a port of 0 makes the assignment invalid
}

func (a *modelAssignment) isInvalid() bool { return slices.Contains(a.ports, 0) }

func (a *modelAssignment) message(cluster string) *endpointv3.ClusterLoadAssignment {
	var endpoints []controlplane.Endpoint
	for _, port := range a.ports {
		endpoints = append(endpoints, controlplane.Endpoint{Host: "127.0.0.1", Port: port})
	}
	return controlplane.Assignment(cluster, "edinburgh-dc", endpoints...)
}

// A control plane sends clusters and endpoints, some of them invalid, in either variant, and streams break in between. Each response
// is answered once, with the reason where something is invalid; the version that is held is the last good one; and the list is
// that of the last good endpoints of the clusters that exist.
func TestClientMatchesModelOfControlPlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isIncremental := rapid.Bool().Draw(t, "delta")
		m := newProtocolClient(testParser(), isIncremental, nil, 0, 0)
		p := &modelPlane{clusters: map[string]bool{}, assignments: map[string]*modelAssignment{}}
		good := map[string][]int{}     // last good ports, by cluster
		listed := map[string]bool{}    // what the updates add up to
		asked, nonces := []string{}, 0 // clusters whose endpoints are asked for
		var versions map[string]string // held by the client, as it says on a new stream
		takes := func(requests []message) {
			for _, r := range requests {
				if r.typeURL != EndpointType {
					continue
				}
				if !isIncremental {
					asked = r.names
				}
				asked = append(asked, r.subscribe...)
				asked = slices.DeleteFunc(slices.Clone(asked), func(name string) bool { return slices.Contains(r.unsubscribe, name) })
				if r.heldVersions != nil {
					versions = r.heldVersions
				}
			}
		}
		connect := func() {
			asked, versions = nil, nil
			requests := m.openStream()
			if !requests[0].isFirstOnStream || requests[0].typeURL != ClusterType || len(requests) > 1 && requests[1].isFirstOnStream {
				t.Fatalf("a stream begins with %v", requests)
			}
			takes(requests)
			for name, version := range versions {
				if a := p.assignments[name]; a != nil && !a.isInvalid() && version != strconv.Itoa(a.version) && good[name] != nil && slices.Equal(good[name], a.ports) {
					t.Fatalf("%s is held at %s, and is at %d", name, version, a.version)
				}
			}
		}
		respond := func(typeURL string, wantNack bool, r message) {
			nonces++
			r.typeURL, r.nonce, r.version = typeURL, fmt.Sprint("n", nonces), strconv.Itoa(p.version)
			before := m.endpointSub.acceptedVersion
			answers, err := m.handleResponse(r)
			if len(answers) == 0 || answers[0].nonce != r.nonce || answers[0].typeURL != typeURL {
				t.Fatalf("%v is answered with %v", r, answers)
			}
			if (err != nil) != wantNack || (answers[0].nackReason != nil) != wantNack {
				t.Fatalf("refused for %v, want %v", err, wantNack)
			}
			if !isIncremental && typeURL == EndpointType && answers[0].version != map[bool]string{true: before, false: r.version}[wantNack] {
				t.Fatalf("version %q after %q, with %q before", answers[0].version, r.version, before)
			}
			takes(answers[1:])
		}
		sendClusters := func(removed ...string) {
			var r message
			bad := false
			for _, name := range slices.Sorted(maps.Keys(p.clusters)) {
				c := controlplane.Cluster(name)
				if !p.clusters[name] {
					c.ClusterDiscoveryType, bad = nil, true
				}
				r.resources = append(r.resources, testResource(name, strconv.Itoa(p.version), c))
			}
			if isIncremental {
				r.removed = removed
			}
			respond(ClusterType, bad, r)
		}
		sendEndpoints := func(names []string, removed ...string) {
			var r message
			bad := false
			for _, name := range names {
				a := p.assignments[name]
				if a == nil || !slices.Contains(asked, name) {
					continue
				}
				bad = bad || a.isInvalid()
				if !a.isInvalid() {
					good[name] = a.ports
				}
				r.resources = append(r.resources, testResource(name, strconv.Itoa(a.version), a.message(name)))
			}
			if isIncremental {
				r.removed = removed
			}
			if len(r.resources)+len(r.removed) > 0 {
				respond(EndpointType, bad, r)
			}
		}
		connect()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p.version++
			name := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "cluster"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.clusters[name] = rapid.IntRange(0, 4).Draw(t, "usable") > 0
				sendClusters()
			case 1:
				delete(p.clusters, name)
				sendClusters(name)
			case 2:
				connect()
				sendClusters()
			case 3:
				if delete(p.assignments, name); isIncremental && slices.Contains(asked, name) {
					sendEndpoints(nil, name)
					delete(good, name)
				}
			default:
				p.assignments[name] = &modelAssignment{p.version, rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "ports")}
				sendEndpoints([]string{name, fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "other"))})
			}
			for name := range good { // gone with its cluster
				if !slices.Contains(asked, name) {
					delete(good, name)
				}
			}
			want := map[string]bool{}
			for _, ports := range good {
				for _, port := range ports {
					want[fmt.Sprint("127.0.0.1:", port)] = true
				}
			}
			if u, ok := m.takeUpdate(); ok {
				for _, member := range u.Members {
					if listed[member.ID] = true; member.State == balancer.Removed {
						delete(listed, member.ID)
					}
				}
			} else if len(want) > 0 {
				t.Fatal("no update although endpoints are known")
			}
			if !maps.Equal(listed, want) {
				t.Fatalf("listed are %v, want %v", listed, want)
			}
		}
	})
}

// parseAssignment reads an assignment as it comes over the wire.
func parseAssignment(t *testing.T, m *endpointv3.ClusterLoadAssignment) (*assignment, error) {
	t.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	r := testParser()
	_, a, err := r.parse(body, func(string) *assignment { return nil })
	return a, err
}

// A control plane sends assignments that can't be used. Each is rejected with what is wrong and where, so that its owner can find it.
func TestInvalidAssignmentsAreRejectedWithTheirReason(t *testing.T) {
	one := func(change func(*endpointv3.ClusterLoadAssignment, *endpointv3.LbEndpoint)) *endpointv3.ClusterLoadAssignment {
		a := controlplane.Assignment("c", "edinburgh-dc", controlplane.Endpoint{Host: "127.0.0.1", Port: 80})
		change(a, a.Endpoints[0].LbEndpoints[0])
		return a
	}
	for name, c := range map[string]struct {
		a    *endpointv3.ClusterLoadAssignment
		want string
	}{
		"a name in place of an address": {controlplane.Assignment("c", "", controlplane.Endpoint{Host: "server.example", Port: 80}),
			`endpoints[0]: lb_endpoints[0]: "server.example" is no IP address, and names are not looked up`},
		"no port":       {controlplane.Assignment("c", "", controlplane.Endpoint{Host: "::1"}), "endpoints[0]: lb_endpoints[0]: ::1 has no TCP port"},
		"a port beyond": {controlplane.Assignment("c", "", controlplane.Endpoint{Host: "::1", Port: 65536}), "endpoints[0]: lb_endpoints[0]: ::1 has no TCP port"},
		"an address twice": {controlplane.Assignment("c", "", controlplane.Endpoint{Host: "127.0.0.1", Port: 1}, controlplane.Endpoint{Host: "::ffff:127.0.0.1", Port: 1}),
			"endpoints[0]: lb_endpoints[1]: 127.0.0.1:1 with id \"127.0.0.1:1\" is named twice"},
		"an id at two addresses": {controlplane.Assignment("c", "", controlplane.Endpoint{ID: "a", Host: "127.0.0.1", Port: 1}, controlplane.Endpoint{ID: "a", Host: "127.0.0.1", Port: 2}),
			"endpoints[0]: lb_endpoints[1]: 127.0.0.1:2 with id \"a\" is named twice"},
		"no address": {one(func(_ *endpointv3.ClusterLoadAssignment, e *endpointv3.LbEndpoint) { e.HostIdentifier = nil }), "endpoints[0]: lb_endpoints[0]: no socket address"},
		"a weight of 0": {one(func(_ *endpointv3.ClusterLoadAssignment, e *endpointv3.LbEndpoint) {
			e.LoadBalancingWeight = wrapperspb.UInt32(0)
		}), "endpoints[0]: lb_endpoints[0]: 127.0.0.1:80 has a weight of 0"},
		"a hole in the priorities": {one(func(a *endpointv3.ClusterLoadAssignment, _ *endpointv3.LbEndpoint) { a.Endpoints[0].Priority = 2 }),
			"there is no priority 0"},
		"endpoints by reference": {one(func(a *endpointv3.ClusterLoadAssignment, _ *endpointv3.LbEndpoint) {
			a.Endpoints[0].LbConfig = &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{}
		}), "endpoints[0]: lists of endpoints by reference"},
		"a factor of 0": {one(func(a *endpointv3.ClusterLoadAssignment, _ *endpointv3.LbEndpoint) {
			a.Policy = &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(0)}
		}), "overprovisioning_factor is 0"},
		"a drop of no category": {one(func(a *endpointv3.ClusterLoadAssignment, _ *endpointv3.LbEndpoint) {
			a.Policy = &endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{}}}
		}), "drop_overloads: "},
	} {
		if _, err := parseAssignment(t, c.a); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// Assignments have unhealthy endpoints, reserve priorities, locality weights and drops. Members come out with the state and weight that
// the protocol gives them.
func TestHealthPrioritiesAndWeightsBecomeMembers(t *testing.T) {
	endpoints := func(health ...corev3.HealthStatus) (out []controlplane.Endpoint) {
		for _, h := range health {
			out = append(out, controlplane.Endpoint{Host: "127.0.0.1", Port: 1 + len(out), Weight: 2, Health: h})
		}
		return out
	}
	const ok, ill, drain = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_DRAINING
	locality := func(priority uint32, weight uint32, port int, health ...corev3.HealthStatus) *endpointv3.LocalityLbEndpoints {
		e := endpoints(health...)
		for i := range e {
			e[i].Port += port
		}
		l := controlplane.Assignment("c", "edinburgh-dc", e...).Endpoints[0]
		if l.Priority = priority; weight > 0 {
			l.LoadBalancingWeight = wrapperspb.UInt32(weight)
		}
		return l
	}
	for name, c := range map[string]struct {
		localities []*endpointv3.LocalityLbEndpoints
		want       string // port:weight, d for one that drains
	}{
		"health": {[]*endpointv3.LocalityLbEndpoints{locality(0, 0, 0, ok, ill, drain, corev3.HealthStatus_DEGRADED, corev3.HealthStatus_UNKNOWN,
			corev3.HealthStatus_TIMEOUT)}, "1:2 2:2d 3:2d 4:2 5:2 6:2d"},
		"a reserve stays in reserve":         {[]*endpointv3.LocalityLbEndpoints{locality(0, 0, 0, ok, ok, ok, ill), locality(1, 0, 100, ok)}, "1:2 2:2 3:2 4:2d"},
		"and takes what the first can't":     {[]*endpointv3.LocalityLbEndpoints{locality(0, 0, 0, ok, ill), locality(1, 0, 100, ok, ok)}, "1:1.4 2:1.4d 101:0.6 102:0.6"},
		"and all where the first is gone":    {[]*endpointv3.LocalityLbEndpoints{locality(0, 0, 0, ill), locality(1, 0, 100, ok)}, "1:2d 101:2"},
		"localities by their weights":        {[]*endpointv3.LocalityLbEndpoints{locality(0, 3, 0, ok, ok), locality(0, 1, 100, ok)}, "1:1.5 2:1.5 101:1"},
		"one without weight gets nothing":    {[]*endpointv3.LocalityLbEndpoints{locality(0, 3, 0, ok), locality(0, 0, 100, ok)}, "1:3"},
		"less as its health falls":           {[]*endpointv3.LocalityLbEndpoints{locality(0, 4, 0, ok, ill), locality(0, 4, 100, ok, ok)}, "1:2.8 2:2.8d 101:2 102:2"},
		"all ill: nobody is to get anything": {[]*endpointv3.LocalityLbEndpoints{locality(0, 0, 0, ill, drain)}, "1:2d 2:2d"},
	} {
		a, err := parseAssignment(t, &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: c.localities})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got []string
		for _, m := range a.activeMembers() {
			text := fmt.Sprintf("%s:%.3g", strings.TrimPrefix(m.Addr, "127.0.0.1:"), m.Weight)
			if m.State == balancer.Draining {
				text += "d"
			}
			got = append(got, text)
		}
		if text := strings.Join(got, " "); text != c.want {
			t.Errorf("%s: %s, want %s", name, text, c.want)
		}
	}
	drop := func(n uint32, of typev3.FractionalPercent_DenominatorType) *endpointv3.ClusterLoadAssignment_Policy_DropOverload {
		return &endpointv3.ClusterLoadAssignment_Policy_DropOverload{Category: "lb", DropPercentage: &typev3.FractionalPercent{Numerator: n, Denominator: of}}
	}
	share, err := parseDropRatio(&endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
		drop(50, typev3.FractionalPercent_HUNDRED), drop(2000, typev3.FractionalPercent_TEN_THOUSAND)}})
	if err != nil || share < 0.599 || share > 0.601 {
		t.Errorf("half, and a fifth of the rest, make %v, %v", share, err)
	}
}

// A control plane repeats an invalid response for an hour, as fast as it is answered. It is refused ever less often, and one line a
// minute is logged. The first refusal after a good response goes out at once.
func TestNacksBackOff(t *testing.T) {
	r := nackBackoff{minBackoff: 100 * time.Millisecond, maxBackoff: 10 * time.Second}
	sent, lines := 0, 0
	for now := time.Second; now < time.Hour; now += 10 * time.Millisecond {
		if r.dueAt == 0 {
			r.schedule(now, message{nonce: fmt.Sprint(now)})
			if _, ok := r.shouldLog(now, time.Minute); ok {
				lines++
			}
		}
		if _, ok := r.takeDue(now); ok {
			sent++
		}
	}
	if sent < 300 || sent > 400 || lines != 60 {
		t.Errorf("%d refusals and %d lines of log in an hour", sent, lines)
	}
	r.schedule(time.Hour, message{nonce: "old", nackReason: errors.New("x")})
	r.schedule(time.Hour, message{nonce: "new", nackReason: errors.New("x")})
	if answer, ok := r.takeDue(2 * time.Hour); !ok || answer.nonce != "new" {
		t.Errorf("the refusal names %q", answer.nonce)
	}
	if r.schedule(2*time.Hour, message{}); r.dueAt > 2*time.Hour+r.maxBackoff {
		t.Errorf("the next one waits until %v", r.dueAt)
	}
	r.reset()
	if r.schedule(time.Hour, message{}); r.dueAt != time.Hour {
		t.Error("the first refusal after something good waits")
	}
}

// One cluster of a response can't be read. It removes no other cluster, and its refusal is not sent on another stream.
func TestUnreadableClusterRemovesNoOther(t *testing.T) {
	m := newProtocolClient(testParser(), false, nil, 0, 0)
	m.openStream()
	good := []resource{testResource("a", "1", controlplane.Cluster("a")), testResource("b", "1", controlplane.Cluster("b"))}
	if _, err := m.handleResponse(message{typeURL: ClusterType, nonce: "1", resources: good}); err != nil {
		t.Fatal(err)
	}
	bad := testResource("b", "2", controlplane.Cluster("b"))
	bad.body.Value = []byte{0xff}
	if _, err := m.handleResponse(message{typeURL: ClusterType, nonce: "2", resources: []resource{good[0], bad}}); err == nil || len(m.endpointNames) != 2 {
		t.Errorf("%v, and the clusters are %v", err, m.endpointNames)
	}
	r := nackBackoff{minBackoff: time.Second, maxBackoff: time.Minute}
	r.schedule(time.Second, message{nonce: "old"})
	if r.dropPending(); r.consecutive != 1 {
		t.Error("a new stream ends the row")
	}
	if _, ok := r.takeDue(time.Hour); ok {
		t.Error("a refusal of the old stream is sent on the new one")
	}
}

// Two hundred agents use eight of 64 clusters each. An agent selects the same ones again, at most one other when a cluster goes, and
// each cluster is used by enough agents.
func TestSubsetOfClusters(t *testing.T) {
	names := make([]string, 64)
	for i := range names {
		names[i] = fmt.Sprintf("form-servers/%d", i)
	}
	taken := map[string]int{}
	for me := range 200 {
		m := newProtocolClient(testParser(), true, nil, 8, me)
		before := slices.Clone(m.selectClusters(slices.Clone(names)))
		after := m.selectClusters(slices.Clone(names[1:]))
		if lost := without(before, after); len(before) != 8 || len(lost) > 1 || len(lost) == 1 && lost[0] != names[0] {
			t.Fatalf("agent %d takes %v, and %v with one less", me, before, after)
		}
		for _, name := range before {
			taken[name]++
		}
	}
	for _, name := range names {
		if n := taken[name]; n < 8 || n > 60 { // 25 on the mean
			t.Errorf("%s is taken by %d agents of 200", name, n)
		}
	}
}

// FuzzResponse checks that no response makes the client panic, that each that was subscribed to is answered once, and that
// no member comes out without an address.
func FuzzResponse(f *testing.F) {
	add := func(m proto.Message, isIncremental bool) {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, isIncremental)
	}
	a := controlplane.Packed(controlplane.Assignment("c", "edinburgh-dc", controlplane.Endpoint{ID: "x", Host: "127.0.0.1", Port: 80, Cell: 3}))
	c := controlplane.Packed(controlplane.Cluster("c"))
	add(&discoveryv3.DiscoveryResponse{TypeUrl: EndpointType, VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{a}}, false)
	add(&discoveryv3.DiscoveryResponse{TypeUrl: ClusterType, VersionInfo: "1", Nonce: "n", Resources: []*anypb.Any{c}}, false)
	add(&discoveryv3.DeltaDiscoveryResponse{TypeUrl: EndpointType, Nonce: "n", RemovedResources: []string{"c"},
		Resources: []*discoveryv3.Resource{{Name: "c", Version: "2", Resource: a}}}, true)
	f.Fuzz(func(t *testing.T, data []byte, isIncremental bool) {
		m := newProtocolClient(testParser(), isIncremental, []string{"c"}, 0, 0)
		m.openStream()
		var in message
		if isIncremental {
			var r discoveryv3.DeltaDiscoveryResponse
			if proto.Unmarshal(data, &r) != nil {
				return
			}
			in, _ = fromDelta(&r, nil)
		} else {
			var r discoveryv3.DiscoveryResponse
			if proto.Unmarshal(data, &r) != nil {
				return
			}
			in, _ = fromWorld(&r, nil)
		}
		answers, err := m.handleResponse(in)
		if asked := in.typeURL == EndpointType; asked != (len(answers) == 1) || asked && (answers[0].nackReason != nil) != (err != nil) {
			t.Fatalf("%v, %v", answers, err)
		}
		if u, ok := m.takeUpdate(); ok {
			for _, member := range u.Members {
				if member.ID == "" || member.State != balancer.Removed && (member.Addr == "" || !(member.Weight > 0)) {
					t.Fatalf("%+v", member)
				}
			}
		}
	})
}

// FuzzSplit checks that an assignment without its endpoints, and these, are what the whole message is.
func FuzzSplit(f *testing.F) {
	a := controlplane.Assignment("c", "edinburgh-dc", controlplane.Endpoint{ID: "x", Host: "127.0.0.1", Port: 80}, controlplane.Endpoint{Host: "::1", Port: 81})
	a.Endpoints = append(a.Endpoints, &endpointv3.LocalityLbEndpoints{Priority: 1})
	body, err := proto.Marshal(a)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add(append(slices.Clone(body), body...))
	f.Fuzz(func(t *testing.T, body []byte) {
		whole := &endpointv3.ClusterLoadAssignment{}
		wrong := proto.Unmarshal(body, whole)
		rest, raw, err := splitEndpoints(body)
		got := &endpointv3.ClusterLoadAssignment{}
		if err != nil || proto.Unmarshal(rest, got) != nil || len(got.Endpoints) != len(raw) {
			if wrong == nil {
				t.Fatalf("%v, where the whole can be read", err)
			}
			return
		}
		for i, all := range raw {
			for _, text := range all {
				e := &endpointv3.LbEndpoint{}
				if proto.Unmarshal(text, e) != nil {
					if wrong == nil {
						t.Fatal("an endpoint can't be read, where the whole can")
					}
					return
				}
				got.Endpoints[i].LbEndpoints = append(got.Endpoints[i].LbEndpoints, e)
			}
		}
		if wrong == nil && !proto.Equal(got, whole) {
			t.Fatalf("%v, want %v", got, whole)
		}
	})
}

// BenchmarkResponse is an assignment of 160 endpoints of which one has changed, as a shard of a fleet of 10,000 sends it.
func BenchmarkResponse(b *testing.B) {
	m := newProtocolClient(testParser(), true, []string{"c"}, 0, 0)
	m.openStream()
	endpoints := make([]controlplane.Endpoint, 160)
	for i := range endpoints {
		endpoints[i] = controlplane.Endpoint{ID: fmt.Sprintf("s-%06d", i), Host: "127.0.0.1", Port: 1 + i, Weight: 1 + i%7, Cell: i / 5}
	}
	responses := make([]message, 2)
	for i := range responses {
		endpoints[7].Weight = 10 + i
		responses[i] = message{typeURL: EndpointType, nonce: "n", resources: []resource{testResource("c", fmt.Sprint(i), controlplane.Assignment("c", "edinburgh-dc", endpoints...))}}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := m.handleResponse(responses[i%2]); err != nil {
			b.Fatal(err)
		}
		if u, ok := m.takeUpdate(); !ok || i > 0 && len(u.Members) != 1 {
			b.Fatalf("%d members changed", len(u.Members))
		}
	}
}
