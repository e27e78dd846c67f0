package xds

import (
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"
)

// message is a response or a request of either variant of the protocol.
type message struct {
	typeURL, version, nonce string

	// Of responses:
	resources []resource
	removed   []string // of the incremental variant

	// Of requests:
	names           []string // all that are subscribed to, of the state-of-the-world variant
	subscribe       []string // of the incremental variant, as are those that follow
	unsubscribe     []string
	heldVersions    map[string]string // by name
	nackReason      error             // why the response that is answered is refused; nil where it is accepted
	isFirstOnStream bool              // so that it says which node asks
}

type resource struct {
	name, version string // of the incremental variant
	body          *anypb.Any
}

// maxErrorTextBytes is how much of an error goes into the log and into a refusal: a control plane's own text may be long.
const maxErrorTextBytes = 400

// oneLine returns an error's text in one line, cut to maxErrorTextBytes.
func oneLine(err error) string {
	text := strings.Join(strings.Fields(err.Error()), " ")
	if len(text) > maxErrorTextBytes {
		text = text[:maxErrorTextBytes] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// node says who this agent is. The protocol wants it in the first request of a stream alone.
func (s *stream) node(m message) *corev3.Node {
	if !m.isFirstOnStream {
		return nil
	}
	return &corev3.Node{Id: s.options.NodeID, Cluster: s.options.NodeCluster, UserAgentName: "appleledge"}
}

// errorDetail is the reason of a refusal; nil in an acknowledgement.
func errorDetail(err error) *status.Status {
	if err == nil {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: oneLine(err)}
}

// worldRequest and deltaRequest write a message as a request of their variant; fromWorld and fromDelta read responses.
func (s *stream) worldRequest(m message) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{Node: s.node(m), TypeUrl: m.typeURL, VersionInfo: m.version, ResponseNonce: m.nonce,
		ResourceNames: m.names, ErrorDetail: errorDetail(m.nackReason)}
}

func (s *stream) deltaRequest(m message) *discoveryv3.DeltaDiscoveryRequest {
	return &discoveryv3.DeltaDiscoveryRequest{Node: s.node(m), TypeUrl: m.typeURL, ResponseNonce: m.nonce,
		ResourceNamesSubscribe: m.subscribe, ResourceNamesUnsubscribe: m.unsubscribe, InitialResourceVersions: m.heldVersions,
		ErrorDetail: errorDetail(m.nackReason)}
}

func fromWorld(r *discoveryv3.DiscoveryResponse, err error) (message, error) {
	m := message{typeURL: r.GetTypeUrl(), version: r.GetVersionInfo(), nonce: r.GetNonce()}
	for _, body := range r.GetResources() {
		m.resources = append(m.resources, resource{body: body})
	}
	return m, err
}

func fromDelta(r *discoveryv3.DeltaDiscoveryResponse, err error) (message, error) {
	m := message{typeURL: r.GetTypeUrl(), version: r.GetSystemVersionInfo(), nonce: r.GetNonce(), removed: r.GetRemovedResources()}
	for _, res := range r.GetResources() {
		m.resources = append(m.resources, resource{res.GetName(), res.GetVersion(), res.GetResource()})
	}
	return m, err
}
