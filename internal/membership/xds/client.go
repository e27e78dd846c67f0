package xds

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	"google.golang.org/protobuf/proto"

	"appleledge/internal/engine"
)

// The types of resources that are subscribed to, in the order in which they are.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// protocolClient is the client's side of aggregated streams: what is subscribed to, what has been accepted, and what is answered. It
// is a deterministic state machine without I/O: messages go in, messages come out. See "xDS REST and gRPC protocol" in Envoy's
// documentation, and gRFC A27 and A46.
//
// A resource that can't be used is refused (NACK) with its reason, and its last good version stays; the good ones of the same
// response are used all the same (gRFC A46), as one of them may tell of a drain.
type protocolClient struct {
	parser         endpointParser
	isIncremental  bool
	wantedClusters []string // of the settings; nil: those that the control plane names
	maxClusters    int      // how many of those are used, of the incremental variant; 0: all
	ringPosition   uint64   // of this agent among the clusters' hashes, by which it selects them

	endpointNames   map[string]string // names of their endpoint resources, by cluster of the control plane
	assignments     map[string]*assignment
	clusterSub      subscription
	endpointSub     subscription
	hasOpenedStream bool // the first request of the stream has been made
	hasEndpoints    bool // endpoints have been received, or that there are none

	// Of the updates. Invariant: clustersByID names exactly the clusters whose reportedMembers hold the id.
	changedClusters map[string]bool                     // since the last update
	reportedMembers map[string]map[string]engine.Member // by cluster and id, as of the last update
	clustersByID    map[string][]string
	hasReported     bool // there was an update
}

// subscription is what is known of one type of resources.
type subscription struct {
	typeURL         string
	requestedNames  []string          // on the present stream
	isRequested     bool              // on the present stream
	acceptedVersion string            // the last one
	nonce           string            // of the latest response of the stream
	heldVersions    map[string]string // by name, of the incremental variant
}

// newProtocolClient returns a client that has received nothing. agentIndex places it among the clusters, of which it selects maxClusters.
func newProtocolClient(parser endpointParser, isIncremental bool, wantedClusters []string, maxClusters, agentIndex int) *protocolClient {
	c := &protocolClient{parser: parser, isIncremental: isIncremental, wantedClusters: wantedClusters, maxClusters: maxClusters, ringPosition: uint64(agentIndex) * 0x9E3779B97F4A7C15,
		endpointNames: map[string]string{}, assignments: map[string]*assignment{}, changedClusters: map[string]bool{},
		reportedMembers: map[string]map[string]engine.Member{}, clustersByID: map[string][]string{}}
	c.clusterSub = subscription{typeURL: ClusterType, heldVersions: map[string]string{}}
	c.endpointSub = subscription{typeURL: EndpointType, heldVersions: map[string]string{}}
	return c
}

// openStream begins a stream and returns its first requests. They say what is held from streams before.
func (c *protocolClient) openStream() []message {
	c.hasOpenedStream = false
	for _, s := range []*subscription{&c.clusterSub, &c.endpointSub} {
		s.nonce, s.requestedNames, s.isRequested = "", nil, false
	}
	if c.wantedClusters != nil {
		return c.subscribe(&c.endpointSub, c.wantedClusters)
	}
	return append(c.subscribe(&c.clusterSub, nil), c.subscribeEndpoints()...)
}

// subscribeEndpoints subscribes to the endpoints of the clusters that are wanted now, if that has changed.
func (c *protocolClient) subscribeEndpoints() []message {
	if c.wantedClusters != nil {
		return nil
	}
	names := slices.Sorted(maps.Values(c.endpointNames))
	if names = slices.Compact(names); c.isIncremental && c.maxClusters > 0 && c.maxClusters < len(names) {
		names = c.selectClusters(names)
	}
	for name := range c.assignments {
		if !slices.Contains(names, name) {
			c.setAssignment(name, nil, "")
		}
	}
	if len(names) == 0 && !c.endpointSub.isRequested {
		return nil // an empty list would subscribe to all
	}
	return c.subscribe(&c.endpointSub, names)
}

// selectClusters returns the clusters that follow this agent's position on the ring of their hashes, sorted: few of them change when some
// come and go.
func (c *protocolClient) selectClusters(names []string) []string {
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(x)-c.ringPosition, xxhash.Sum64String(y)-c.ringPosition), strings.Compare(x, y))
	})
	names = names[:c.maxClusters]
	slices.Sort(names)
	return names
}

// subscribe subscribes to exactly these names. Without a change there is nothing to send.
func (c *protocolClient) subscribe(s *subscription, names []string) []message {
	if s.isRequested && slices.Equal(s.requestedNames, names) {
		return nil
	}
	out := message{typeURL: s.typeURL, isFirstOnStream: !c.hasOpenedStream}
	if c.isIncremental {
		out.subscribe, out.unsubscribe = without(names, s.requestedNames), without(s.requestedNames, names)
		if !s.isRequested && len(s.heldVersions) > 0 {
			out.heldVersions = maps.Clone(s.heldVersions)
		}
	} else {
		out.names, out.version, out.nonce = names, s.acceptedVersion, s.nonce
	}
	s.requestedNames, s.isRequested, c.hasOpenedStream = names, true, true
	return []message{out}
}

// without returns the names that are not among the others.
func without(names, others []string) (out []string) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			out = append(out, name)
		}
	}
	return out
}

// handleResponse takes what the control plane sends. It returns the answers, of which the first acknowledges or refuses the response, and
// the reason of a refusal. A response of a type that was never subscribed to is answered with nothing, and an error.
func (c *protocolClient) handleResponse(r message) (answers []message, nackReason error) {
	var s *subscription
	switch r.typeURL {
	case ClusterType:
		s = &c.clusterSub
	case EndpointType:
		s = &c.endpointSub
	}
	switch {
	case s == nil || !s.isRequested:
		return nil, fmt.Errorf("a response of type %q, which was not asked for", r.typeURL)
	case s == &c.clusterSub:
		nackReason = c.applyClusters(r)
	default:
		nackReason = c.applyEndpoints(r)
	}
	s.nonce = r.nonce
	if nackReason == nil {
		s.acceptedVersion = r.version
	}
	answer := message{typeURL: r.typeURL, nonce: r.nonce, nackReason: nackReason}
	if !c.isIncremental {
		answer.version, answer.names = s.acceptedVersion, s.requestedNames
	}
	answers = []message{answer}
	if r.typeURL == ClusterType {
		answers = append(answers, c.subscribeEndpoints()...)
		c.hasEndpoints = c.hasEndpoints || nackReason == nil && len(c.endpointNames) == 0
	}
	return answers, nackReason
}

// applyClusters takes a response of clusters: all there are, or what has changed. One that can't be read may be any of those held, so none
// of them is removed by such a response: the agent would lose the endpoints of a cluster that still exists.
func (c *protocolClient) applyClusters(r message) error {
	named := map[string]string{}
	if c.isIncremental {
		named = maps.Clone(c.endpointNames)
		for _, name := range r.removed {
			delete(named, name)
			delete(c.clusterSub.heldVersions, name)
		}
	}
	var faults []error
	for _, res := range r.resources {
		cluster := &clusterv3.Cluster{}
		if err := unpack(res, cluster); err != nil {
			faults = append(faults, err)
			for name, endpoints := range c.endpointNames {
				if _, isNamed := named[name]; !isNamed && !slices.Contains(r.removed, name) {
					named[name] = endpoints
				}
			}
			continue
		}
		if cluster.Name == "" || cluster.GetType() != clusterv3.Cluster_EDS {
			faults = append(faults, fmt.Errorf("cluster %q: only clusters with a name and of type EDS can be used", cluster.Name))
			if old, isHeld := c.endpointNames[cluster.Name]; isHeld {
				named[cluster.Name] = old
			}
			continue
		}
		named[cluster.Name] = cmp.Or(cluster.GetEdsClusterConfig().GetServiceName(), cluster.Name)
		c.clusterSub.heldVersions[cmp.Or(res.name, cluster.Name)] = res.version
	}
	c.endpointNames = named
	return errors.Join(faults...)
}

// applyEndpoints takes a response of endpoints. Also in the state-of-the-world variant it names only what has changed, and removes nothing.
func (c *protocolClient) applyEndpoints(r message) error {
	for _, name := range r.removed {
		c.setAssignment(name, nil, "")
		c.hasEndpoints = true
	}
	var faults []error
	for _, res := range r.resources {
		if res.body.GetTypeUrl() != EndpointType {
			faults = append(faults, fmt.Errorf("resource %q is a %q", res.name, res.body.GetTypeUrl()))
			continue
		}
		name, parsed, err := c.parser.parse(res.body.Value, func(cluster string) *assignment { return c.assignments[cluster] })
		if name != "" && !slices.Contains(c.endpointSub.requestedNames, name) {
			continue // the protocol allows more than was subscribed to
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("endpoints of %q: %w", cmp.Or(name, res.name), err))
			continue
		}
		c.setAssignment(name, parsed, res.version)
		c.hasEndpoints = true
	}
	return errors.Join(faults...)
}

// unpack decodes the body of a resource.
func unpack(r resource, into proto.Message) error {
	if r.body == nil {
		return fmt.Errorf("resource %q has no body", r.name)
	}
	if err := r.body.UnmarshalTo(into); err != nil {
		return fmt.Errorf("resource %q: %w", r.name, err)
	}
	return nil
}

// setAssignment takes the endpoints of a cluster; nil removes them.
func (c *protocolClient) setAssignment(name string, a *assignment, version string) {
	if c.changedClusters[name] = true; a == nil {
		delete(c.assignments, name)
		delete(c.endpointSub.heldVersions, name)
		return
	}
	c.assignments[name] = a
	c.endpointSub.heldVersions[name] = version
}
