// Package controlplane is a stand-in for a control plane that speaks xDS: clusters and endpoints over aggregated streams,
// in both variants of the protocol, with the faults that clients have to live with. It is written from the protocol's
// description (https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol) and serves tests and rehearsals only.
package controlplane

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"appleledge/internal/besteffort"
)

// Types of resources, by their URLs.
const (
	Clusters  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	Endpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Plane is a control plane on a loopback address.
type Plane struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	addr string
	grpc *grpc.Server

	mu       sync.Mutex
	version  int                             // of all; each change raises it
	have     map[string]map[string]versioned // by type and name
	streams  map[*stream]bool
	silent   bool // sends nothing on any stream
	refusing bool // ends each new stream at once
	stubborn bool // answers each refusal at once with the same again
	counts   Counts
	acked    map[string]string // the last version acknowledged, by type
	refusal  string            // the reason of the last refusal
}

// Counts says what a Plane has seen since its start.
type Counts struct {
	Streams, Requests, Acks, Nacks int
	Sent                           int // resources
}

type versioned struct {
	version string
	body    *anypb.Any
}

// stream is one client's, of either variant.
type stream struct {
	plane *Plane
	wake  chan struct{} // holds one wake-up
	send  func(typeURL string, changed map[string]versioned, removed []string, version, nonce string) error
	delta bool
	subs  map[string]*subscription // by type
	again []string                 // types to be sent once more as they are
	nonce int
}

type subscription struct {
	names  map[string]bool
	all    bool
	sent   map[string]string // versions, by name
	opened bool              // something has been sent, if only that there is nothing
	nonce  string
}

// Start serves on a loopback address until Stop.
func Start(addr string) (*Plane, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("control plane: %w", err)
	}
	p := &Plane{addr: l.Addr().String(), grpc: grpc.NewServer(), have: map[string]map[string]versioned{Clusters: {}, Endpoints: {}},
		streams: map[*stream]bool{}, acked: map[string]string{}}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(p.grpc, p)
	go func() { besteffort.Ignore(p.grpc.Serve(l)) }() // ends with Stop
	return p, nil
}

// Addr is where it listens, host and port.
func (p *Plane) Addr() string { return p.addr }

// Stop ends all streams and the listener.
func (p *Plane) Stop() { p.grpc.Stop() }

// From makes the versions go on after the given one, as those of a control plane that has started anew may be lower.
func (p *Plane) From(version int) { p.change(func() { p.version = version }) }

// Silence makes the plane send nothing, with its streams open; or ends that.
func (p *Plane) Silence(on bool) { p.change(func() { p.silent = on }) }

// Refuse makes the plane end each new stream at once; or ends that.
func (p *Plane) Refuse(on bool) { p.change(func() { p.refusing = on }) }

// Stubborn makes the plane answer each refusal at once with the same again; or ends that.
func (p *Plane) Stubborn(on bool) { p.change(func() { p.stubborn = on }) }

// Break ends all streams.
func (p *Plane) Break() {
	p.change(func() { clear(p.streams) })
}

// Counts returns what it has seen.
func (p *Plane) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Acked is the last version of a type that a client has acknowledged, and Refusal why one was last refused.
func (p *Plane) Acked(typeURL string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acked[typeURL]
}

// Refusal is the reason that a client last gave for refusing something.
func (p *Plane) Refusal() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusal
}

// change changes the plane and wakes its streams.
func (p *Plane) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := slices.Collect(maps.Keys(p.streams))
	f()
	for _, s := range old {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Set puts a resource in force, under its own name, and tells it.
func (p *Plane) Set(resources ...proto.Message) {
	p.change(func() {
		p.version++
		for _, r := range resources {
			body := Packed(r)
			name := ""
			switch r := r.(type) {
			case *clusterv3.Cluster:
				name = r.Name
			case *endpointv3.ClusterLoadAssignment:
				name = r.ClusterName
			}
			p.have[body.TypeUrl][name] = versioned{strconv.Itoa(p.version), body}
		}
	})
}

// Packed is a resource as a response carries it. As with go-control-plane, the same resource gives the same bytes.
func Packed(r proto.Message) *anypb.Any {
	body := &anypb.Any{}
	if err := anypb.MarshalFrom(body, r, proto.MarshalOptions{Deterministic: true}); err != nil {
		panic(err) // the messages are our own
	}
	return body
}

// Remove takes a resource away and tells it.
func (p *Plane) Remove(typeURL string, names ...string) {
	p.change(func() {
		p.version++
		for _, name := range names {
			delete(p.have[typeURL], name)
		}
	})
}

// StreamAggregatedResources serves the state of the world.
func (p *Plane) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	s := p.stream(false)
	s.send = func(typeURL string, changed map[string]versioned, _ []string, version, nonce string) error {
		r := &discoveryv3.DiscoveryResponse{TypeUrl: typeURL, VersionInfo: version, Nonce: nonce}
		for _, name := range slices.Sorted(maps.Keys(changed)) {
			r.Resources = append(r.Resources, changed[name].body)
		}
		return g.Send(r)
	}
	return s.serve(g.Context(), func() (request, error) {
		r, err := g.Recv()
		return request{typeURL: r.GetTypeUrl(), nonce: r.GetResponseNonce(), version: r.GetVersionInfo(), names: r.GetResourceNames(),
			refusal: r.GetErrorDetail().GetMessage(), refused: r.GetErrorDetail() != nil}, err
	})
}

// DeltaAggregatedResources serves the incremental variant.
func (p *Plane) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	s := p.stream(true)
	s.send = func(typeURL string, changed map[string]versioned, removed []string, version, nonce string) error {
		r := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: typeURL, SystemVersionInfo: version, Nonce: nonce, RemovedResources: removed}
		for _, name := range slices.Sorted(maps.Keys(changed)) {
			r.Resources = append(r.Resources, &discoveryv3.Resource{Name: name, Version: changed[name].version, Resource: changed[name].body})
		}
		return g.Send(r)
	}
	return s.serve(g.Context(), func() (request, error) {
		r, err := g.Recv()
		return request{typeURL: r.GetTypeUrl(), nonce: r.GetResponseNonce(), names: r.GetResourceNamesSubscribe(),
			drop: r.GetResourceNamesUnsubscribe(), initial: r.GetInitialResourceVersions(),
			refusal: r.GetErrorDetail().GetMessage(), refused: r.GetErrorDetail() != nil}, err
	})
}

// request is one of either variant.
type request struct {
	typeURL, nonce, version, refusal string
	refused                          bool
	names, drop                      []string
	initial                          map[string]string
}

func (p *Plane) stream(delta bool) *stream {
	s := &stream{plane: p, wake: make(chan struct{}, 1), delta: delta, subs: map[string]*subscription{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Streams++
	if !p.refusing {
		p.streams[s] = true
	}
	return s
}

func (s *stream) serve(ctx context.Context, receive func() (request, error)) error {
	ended := make(chan error, 1)
	go func() { // ends with the stream, whose handler returns
		for {
			r, err := receive()
			if err != nil {
				ended <- err
				return
			}
			s.plane.change(func() { s.request(r) })
		}
	}()
	defer s.plane.change(func() { delete(s.plane.streams, s) })
	for {
		if err := s.push(); err != nil {
			return err
		}
		select {
		case <-s.wake:
		case err := <-ended:
			besteffort.Ignore(err)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// request takes what a client asks, with the plane locked.
func (s *stream) request(r request) {
	p := s.plane
	p.counts.Requests++
	sub := s.subs[r.typeURL]
	if sub == nil {
		sub = &subscription{names: map[string]bool{}, sent: map[string]string{}, all: r.typeURL == Clusters && len(r.names) == 0}
		s.subs[r.typeURL] = sub
		for name, version := range r.initial {
			sub.sent[name] = version
		}
		if r.version != "" && !s.delta && r.version == strconv.Itoa(p.version) {
			sub.opened = true
			for name, v := range p.have[r.typeURL] {
				sub.sent[name] = v.version
			}
		}
	} else if r.nonce != "" && r.nonce == sub.nonce {
		if r.refused {
			p.counts.Nacks++
			if p.refusal = r.refusal; p.stubborn {
				s.again = append(s.again, r.typeURL)
			}
		} else {
			p.counts.Acks++
			p.acked[r.typeURL] = r.version
		}
	}
	if !s.delta {
		clear(sub.names)
	}
	for _, name := range r.names {
		sub.names[name] = true
	}
	for _, name := range r.drop {
		delete(sub.names, name)
		delete(sub.sent, name)
	}
}

// changes returns the resources that the client does not have in their present version, and the names of those that are
// gone. The latter no longer count as sent.
func (s *subscription) changes(have map[string]versioned) (changed map[string]versioned, removed []string) {
	changed = map[string]versioned{}
	for name, v := range have {
		if (s.all || s.names[name]) && s.sent[name] != v.version {
			changed[name] = v
		}
	}
	for name := range s.sent {
		if _, there := have[name]; !there {
			removed = append(removed, name)
			delete(s.sent, name)
		}
	}
	return changed, removed
}

// push sends what the client does not have.
func (s *stream) push() error {
	p := s.plane
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.streams[s] {
		return status.Error(codes.Unavailable, "the control plane goes away")
	}
	if p.silent {
		return nil
	}
	for _, typeURL := range []string{Clusters, Endpoints} {
		sub := s.subs[typeURL]
		if sub == nil {
			continue
		}
		if slices.Contains(s.again, typeURL) {
			clear(sub.sent)
		}
		changed, removed := sub.changes(p.have[typeURL])
		if len(changed) == 0 && len(removed) == 0 && (sub.opened || typeURL == Endpoints) {
			continue
		}
		if !s.delta && typeURL == Clusters { // always the whole of it
			changed = p.have[typeURL]
		} else if !s.delta && len(changed) == 0 {
			continue // endpoints are taken away with their clusters
		}
		s.nonce++
		sub.opened, sub.nonce = true, strconv.Itoa(s.nonce)
		for name, v := range changed {
			sub.sent[name] = v.version
		}
		p.counts.Sent += len(changed)
		if err := s.send(typeURL, changed, removed, strconv.Itoa(p.version), sub.nonce); err != nil {
			return err
		}
	}
	s.again = nil
	return nil
}

// Cluster is a cluster whose endpoints are told by the same stream.
func Cluster(name string) *clusterv3.Cluster {
	ads := &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
		ResourceApiVersion: corev3.ApiVersion_V3}
	return &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: ads}}
}

// Endpoint is a server of an assignment.
type Endpoint struct {
	ID        string // told as metadata where it is not empty
	Host      string
	Port      int
	Weight    int // 0: not told
	Health    corev3.HealthStatus
	Kind      string // of machine
	Cell      int
	StartedMS int64
}

// Assignment is the endpoints of a cluster, all in one zone and of the first priority.
func Assignment(cluster, zone string, endpoints ...Endpoint) *endpointv3.ClusterLoadAssignment {
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: zone}}
	for _, e := range endpoints {
		l.LbEndpoints = append(l.LbEndpoints, e.message())
	}
	return &endpointv3.ClusterLoadAssignment{ClusterName: cluster, Endpoints: []*endpointv3.LocalityLbEndpoints{l}}
}

func (e Endpoint) message() *endpointv3.LbEndpoint {
	out := &endpointv3.LbEndpoint{HealthStatus: e.Health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: e.Host,
			PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(e.Port)}}}}}}}
	if e.Weight > 0 {
		out.LoadBalancingWeight = wrapperspb.UInt32(uint32(e.Weight))
	}
	if e.ID != "" {
		out.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"appleledge": {Fields: map[string]*structpb.Value{
			"id": structpb.NewStringValue(e.ID), "kind": structpb.NewStringValue(e.Kind), "cell": structpb.NewNumberValue(float64(e.Cell)),
			"started_ms": structpb.NewNumberValue(float64(e.StartedMS))}}}}
	}
	return out
}
