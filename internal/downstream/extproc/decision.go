package extproc

import (
	"strconv"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"appleledge/internal/downstream/requesthead"
)

// routingDecision is a decision in the terms of the protocol.
type routingDecision struct {
	addr          string
	metadata      *structpb.Struct
	validFor      time.Duration // how long it may be used
	useBy         time.Time
	timeout       time.Duration // left until the client's deadline
	overridesMode bool          // ask the proxy to send the ends of responses
}

// metadataCache caches the dynamic metadata of endpoints, which saves a few allocations a decision. Its values are shared
// and must not be changed. It is safe for concurrent use.
type metadataCache struct {
	mu        sync.Mutex
	byAddress map[string]*structpb.Struct
}

const maxCachedEndpoints = 4096 // a further one empties the cache

// get returns the dynamic metadata that names an endpoint as the destination.
func (e *metadataCache) get(addr string) *structpb.Struct {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.byAddress[addr]; m != nil {
		return m
	}
	if e.byAddress == nil || len(e.byAddress) >= maxCachedEndpoints {
		e.byAddress = map[string]*structpb.Struct{}
	}
	m := &structpb.Struct{Fields: map[string]*structpb.Value{
		MetadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			DestinationHeader: structpb.NewStringValue(addr),
		}}),
	}}
	e.byAddress[addr] = m
	return m
}

// responseEndMode is the processing mode by which a proxy sends the heads and the trailers of responses.
var responseEndMode = &filterv3.ProcessingMode{ResponseHeaderMode: filterv3.ProcessingMode_SEND,
	ResponseTrailerMode: filterv3.ProcessingMode_SEND}

// decisionParts are the messages of a decision, in one allocation.
type decisionParts struct {
	response extprocv3.ProcessingResponse
	kind     extprocv3.ProcessingResponse_RequestHeaders
	headers  extprocv3.HeadersResponse
	common   extprocv3.CommonResponse
	mutation extprocv3.HeaderMutation
	options  [4]corev3.HeaderValueOption
	values   [4]corev3.HeaderValue
	set      [4]*corev3.HeaderValueOption
}

// decisionResponse returns the message that tells a proxy where the request goes.
func decisionResponse(c routingDecision) *extprocv3.ProcessingResponse {
	p := &decisionParts{}
	for i, h := range [...]struct{ name, value string }{
		{DestinationHeader, c.addr},
		{ValidForHeader, milliseconds(c.validFor)},
		{UseByHeader, strconv.FormatInt(c.useBy.UnixMilli(), 10)},
		{timeoutHeaderName, milliseconds(c.timeout)},
	} {
		p.values[i].Key, p.values[i].RawValue = h.name, []byte(h.value)
		p.options[i].Header, p.options[i].AppendAction = &p.values[i], corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD
		p.set[i] = &p.options[i]
	}
	p.mutation.SetHeaders = p.set[:]
	p.common.ClearRouteCache, p.common.HeaderMutation = true, &p.mutation
	p.headers.Response = &p.common
	p.kind.RequestHeaders = &p.headers
	p.response.Response, p.response.DynamicMetadata = &p.kind, c.metadata
	if c.overridesMode { // a proxy that does not allow mode overrides ignores it
		p.response.ModeOverride = responseEndMode
	}
	return &p.response
}

// timeoutHeaderName is the name in lower case of the header that tells a backend how long the client waits.
var timeoutHeaderName = strings.ToLower(requesthead.TimeoutHeader)

// milliseconds formats a duration as X-Timeout has it, in whole milliseconds, rounded down; negative ones are 0.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10) + "m"
}
