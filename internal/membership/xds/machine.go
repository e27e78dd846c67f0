package xds

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
)

// The types of resources that are asked for, in the order in which they are.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// message is a response or a request of either variant of the protocol.
type message struct {
	typeURL, version, nonce string

	// Of responses:
	resources []resource
	removed   []string // of the incremental variant

	// Of requests:
	names       []string // all that are asked for, of the state of the world
	subscribe   []string // of the incremental variant, as are those that follow
	unsubscribe []string
	initial     map[string]string // versions held, by name
	refused     error             // of what the request answers; nil where it is taken
	first       bool              // of the stream, so that it says who asks
}

type resource struct {
	name, version string // of the incremental variant
	body          *anypb.Any
}

// reader turns endpoints into members.
type reader struct {
	Zones []string // names, in the order of the module's numbers
	Clock engine.Clock
}

// machine is the client's side of an aggregated stream: what is subscribed to, what has been accepted, and what is
// answered. It is a deterministic state machine without I/O: messages go in, messages come out. See "xDS REST and gRPC
// protocol" in Envoy's documentation, and gRFC A27 and A46.
//
// A resource that can't be used is refused with its reason, and the last good one stands; the good ones of the same
// response are taken all the same (gRFC A46), for one of them may tell of a drain.
type machine struct {
	reader   reader
	delta    bool
	clusters []string // wanted by the settings; nil: those that the control plane names
	subset   int      // how many of those are taken, of the incremental variant; 0: all
	place    uint64   // of this agent on the ring by which it takes them

	named       map[string]string // clusters of the control plane, and the names of their endpoints
	assignments map[string]*assignment
	clusterSub  subscription
	endpointSub subscription
	opened      bool // the first request of the stream has been made
	heard       bool // endpoints have been told, or that there are none

	dirty map[string]bool                     // clusters whose endpoints have changed since the last update
	held  map[string]map[string]engine.Member // what that update had of each, by id
	in    map[string][]string                 // the clusters that held an id then
	begun bool                                // there was one
}

// subscription is what is known of one type of resources.
type subscription struct {
	typeURL  string
	asked    []string          // names that the stream has asked for
	begun    bool              // the stream has asked at all
	version  string            // the last that was accepted
	nonce    string            // of the latest response of the stream
	versions map[string]string // by name, of the incremental variant
}

func newMachine(r reader, delta bool, clusters []string, subset, me int) *machine {
	m := &machine{reader: r, delta: delta, clusters: clusters, subset: subset, place: uint64(me) * 0x9E3779B97F4A7C15,
		named: map[string]string{}, assignments: map[string]*assignment{}, dirty: map[string]bool{},
		held: map[string]map[string]engine.Member{}, in: map[string][]string{}}
	m.clusterSub = subscription{typeURL: ClusterType, versions: map[string]string{}}
	m.endpointSub = subscription{typeURL: EndpointType, versions: map[string]string{}}
	return m
}

// connected begins a stream and returns its first requests: they say what is held from streams before.
func (m *machine) connected() []message {
	m.opened = false
	for _, s := range []*subscription{&m.clusterSub, &m.endpointSub} {
		s.nonce, s.asked, s.begun = "", nil, false
	}
	if m.clusters != nil {
		return m.ask(&m.endpointSub, m.clusters)
	}
	return append(m.ask(&m.clusterSub, nil), m.askEndpoints()...)
}

// askEndpoints asks for the endpoints of the clusters that are wanted now, if that has changed.
func (m *machine) askEndpoints() []message {
	if m.clusters != nil {
		return nil
	}
	names := slices.Sorted(maps.Values(m.named))
	if names = slices.Compact(names); m.delta && m.subset > 0 && m.subset < len(names) {
		names = m.nearest(names)
	}
	for name := range m.assignments {
		if !slices.Contains(names, name) {
			m.assign(name, nil, "")
		}
	}
	if len(names) == 0 && !m.endpointSub.begun {
		return nil // an empty list would ask for all
	}
	return m.ask(&m.endpointSub, names)
}

// nearest are the clusters that follow this agent's place on the ring of all hashes: few of them change when some come
// and go.
func (m *machine) nearest(names []string) []string {
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(x)-m.place, xxhash.Sum64String(y)-m.place), strings.Compare(x, y))
	})
	names = names[:m.subset]
	slices.Sort(names)
	return names
}

// ask subscribes to exactly these names.
func (m *machine) ask(s *subscription, names []string) []message {
	if s.begun && slices.Equal(s.asked, names) {
		return nil
	}
	out := message{typeURL: s.typeURL, first: !m.opened}
	if m.delta {
		out.subscribe, out.unsubscribe = without(names, s.asked), without(s.asked, names)
		if !s.begun && len(s.versions) > 0 {
			out.initial = maps.Clone(s.versions)
		}
	} else {
		out.names, out.version, out.nonce = names, s.version, s.nonce
	}
	s.asked, s.begun, m.opened = names, true, true
	return []message{out}
}

func without(names, others []string) (out []string) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			out = append(out, name)
		}
	}
	return out
}

// response takes what the control plane sends. It returns what is answered, of which the first is the acknowledgement or
// the refusal, and the reason of a refusal. An error of a type that was never asked for is answered with nothing.
func (m *machine) response(r message) (answers []message, refused error) {
	var s *subscription
	switch r.typeURL {
	case ClusterType:
		s = &m.clusterSub
	case EndpointType:
		s = &m.endpointSub
	}
	switch {
	case s == nil || !s.begun:
		return nil, fmt.Errorf("a response of type %q, which was not asked for", r.typeURL)
	case s == &m.clusterSub:
		refused = m.takeClusters(r)
	default:
		refused = m.takeEndpoints(r)
	}
	s.nonce = r.nonce
	if refused == nil {
		s.version = r.version
	}
	answer := message{typeURL: r.typeURL, nonce: r.nonce, refused: refused}
	if !m.delta {
		answer.version, answer.names = s.version, s.asked
	}
	answers = []message{answer}
	if r.typeURL == ClusterType {
		answers = append(answers, m.askEndpoints()...)
		m.heard = m.heard || refused == nil && len(m.named) == 0
	}
	return answers, refused
}

// takeClusters takes a response of clusters: all there are, or what has changed.
func (m *machine) takeClusters(r message) error {
	named := map[string]string{}
	if m.delta {
		named = maps.Clone(m.named)
		for _, name := range r.removed {
			delete(named, name)
			delete(m.clusterSub.versions, name)
		}
	}
	var faults []error
	for _, res := range r.resources {
		c := &clusterv3.Cluster{}
		if err := unpack(res, c); err != nil { // whose it is can't be told: none is taken away by such a response
			faults = append(faults, err)
			for name, endpoints := range m.named {
				if _, there := named[name]; !there && !slices.Contains(r.removed, name) {
					named[name] = endpoints
				}
			}
			continue
		}
		if c.Name == "" || c.GetType() != clusterv3.Cluster_EDS {
			faults = append(faults, fmt.Errorf("cluster %q: only clusters with a name and of type EDS can be used", c.Name))
			if old, had := m.named[c.Name]; had {
				named[c.Name] = old
			}
			continue
		}
		named[c.Name] = cmp.Or(c.GetEdsClusterConfig().GetServiceName(), c.Name)
		m.clusterSub.versions[cmp.Or(res.name, c.Name)] = res.version
	}
	m.named = named
	return errors.Join(faults...)
}

// takeEndpoints takes a response of endpoints. A state of the world names only what changed, too, and takes nothing away.
func (m *machine) takeEndpoints(r message) error {
	for _, name := range r.removed {
		m.assign(name, nil, "")
		m.heard = true
	}
	var faults []error
	for _, res := range r.resources {
		if res.body.GetTypeUrl() != EndpointType {
			faults = append(faults, fmt.Errorf("resource %q is a %q", res.name, res.body.GetTypeUrl()))
			continue
		}
		name, checked, err := m.reader.parse(res.body.Value, func(cluster string) *assignment { return m.assignments[cluster] })
		if name != "" && !slices.Contains(m.endpointSub.asked, name) {
			continue // lawful: it may be more than was asked for
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("endpoints of %q: %w", cmp.Or(name, res.name), err))
			continue
		}
		m.assign(name, checked, res.version)
		m.heard = true
	}
	return errors.Join(faults...)
}

func unpack(r resource, into proto.Message) error {
	if r.body == nil {
		return fmt.Errorf("resource %q has no body", r.name)
	}
	if err := r.body.UnmarshalTo(into); err != nil {
		return fmt.Errorf("resource %q: %w", r.name, err)
	}
	return nil
}

// assign takes the endpoints of a cluster; nil takes them away.
func (m *machine) assign(name string, a *assignment, version string) {
	if m.dirty[name] = true; a == nil {
		delete(m.assignments, name)
		delete(m.endpointSub.versions, name)
		return
	}
	m.assignments[name] = a
	m.endpointSub.versions[name] = version
}

// update is what has changed since the last one, or the whole list at first; ok is false before anything is known of it.
// It costs what the clusters hold that have changed.
func (m *machine) update() (u membership.Update, ok bool) {
	if !m.heard {
		return u, false
	}
	touched := map[string]bool{}
	for name := range m.dirty {
		m.hold(name, touched)
	}
	clear(m.dirty)
	for _, a := range m.assignments {
		u.DropRatio = max(u.DropRatio, a.drop)
	}
	u.Full, m.begun = !m.begun, true
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		u.Members = append(u.Members, m.member(id))
	}
	return u, true
}

// hold brings what is held of a cluster up to date and marks the ids that this touches.
func (m *machine) hold(name string, touched map[string]bool) {
	fresh, old := map[string]engine.Member{}, m.held[name]
	if a := m.assignments[name]; a != nil {
		for _, member := range a.members() {
			fresh[member.ID] = member
		}
	}
	for id, member := range fresh {
		if was, had := old[id]; !had {
			m.in[id] = append(m.in[id], name)
		} else if was == member {
			continue
		}
		touched[id] = true
	}
	for id := range old {
		if _, still := fresh[id]; !still {
			touched[id] = true
			if m.in[id] = slices.DeleteFunc(m.in[id], func(other string) bool { return other == name }); len(m.in[id]) == 0 {
				delete(m.in, id)
			}
		}
	}
	if m.held[name] = fresh; len(fresh) == 0 {
		delete(m.held, name)
	}
}

// member is a server as the clusters that hold it have it: the first of them by name, but draining where any says so.
func (m *machine) member(id string) engine.Member {
	out := engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	for i, name := range slices.Sorted(slices.Values(m.in[id])) {
		member := m.held[name][id]
		if i == 0 {
			out = member
		} else if member.State == balancer.Draining {
			out.State = balancer.Draining
		}
	}
	return out
}

// refusals spaces the refusals of what keeps coming wrong, since a control plane may answer each at once with the same.
// What is accepted is acknowledged at once.
type refusals struct {
	least, most time.Duration
	row         int           // refusals in a row
	due         time.Duration // when the one that waits may go; 0 if none waits
	waiting     message       // the latest
	lastLog     time.Duration
	unlogged    int
}

// hold takes a refusal, which replaces one that waits: it names the latest nonce.
func (r *refusals) hold(now time.Duration, answer message) {
	if r.due == 0 {
		wait := time.Duration(0)
		if r.row > 0 {
			wait = min(r.least<<min(r.row-1, 20), r.most)
		}
		r.due = max(now+wait, 1)
	}
	r.row++
	r.waiting = answer
}

// accepted ends the row.
func (r *refusals) accepted() {
	r.row = 0
	r.forget()
}

// forget drops the refusal that waits: its nonce means nothing on another stream.
func (r *refusals) forget() { r.due, r.waiting = 0, message{} }

// ready returns the refusal whose time has come.
func (r *refusals) ready(now time.Duration) (answer message, ok bool) {
	if r.due == 0 || now < r.due {
		return answer, false
	}
	answer, r.due, r.waiting = r.waiting, 0, message{}
	return answer, true
}

// logNow reports whether a refusal is to be logged, and how many were not since the last that was.
func (r *refusals) logNow(now, every time.Duration) (skipped int, ok bool) {
	if r.lastLog != 0 && now < r.lastLog+every {
		r.unlogged++
		return 0, false
	}
	skipped, r.unlogged, r.lastLog = r.unlogged, 0, max(now, 1)
	return skipped, true
}
